/* Declarations of cornelpickd: one process beside each target, with an
   outbound side that takes calls and an inbound side that guards the
   target.  */
#ifndef CORNELPICKD_H
#define CORNELPICKD_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "cornelpickd/fleet.h"
#include "cornelpickd/measure.h"
#include "cornelpickd/policies.h"
#include "http/http.h"
#include "lib/admission.h"
#include "lib/balancer.h"
#include "lib/chart.h"
#include "lib/clock.h"
#include "lib/counter.h"
#include "lib/decision.h"
#include "lib/document.h"
#include "lib/id.h"
#include "lib/life.h"
#include "lib/log.h"
#include "lib/peer_clock.h"
#include "lib/register.h"
#include "lib/report.h"
#include "lib/settings.h"

#define CORNELPICK_VERSION "0.1.0"

/* Headers between daemons, to callers and to targets.  */
#define HEADER_PREFIX "Cornelpick-"
#define HEADER_REQUEST "Cornelpick-Request"
#define HEADER_OUTCOME "Cornelpick-Outcome"
#define HEADER_REMAINING "Cornelpick-Remaining-Ms"
#define HEADER_RETRY "Cornelpick-Retry"
#define HEADER_IDEMPOTENT "Cornelpick-Idempotent"
#define HEADER_ATTEMPT "Cornelpick-Attempt"
#define HEADER_INCARNATION "Cornelpick-Incarnation"
#define HEADER_REMAINING_US "Cornelpick-Remaining-Us"
#define HEADER_START_BY "Cornelpick-Start-By-Us"
#define HEADER_CLOCK "Cornelpick-Clock"
#define HEADER_LOAD "Cornelpick-Load"
#define HEADER_TARGET "Cornelpick-Target"
#define HEADER_PRIORITY "Cornelpick-Priority"
#define HEADER_FROM "Cornelpick-From"
#define HEADER_PATH "Cornelpick-Path"

/* The status by which an inbound side refuses for lack of room; callers never
   see it.  */
#define STATUS_NO_ROOM 429

struct daemon;

/* Counters of a daemon; metrics.c names and describes them.  */
enum daemon_counter
{
  COUNT_CALLS,
  COUNT_FORWARDED,
  COUNT_RAN,
  COUNT_NOT_RUN,
  COUNT_UNKNOWN,
  COUNT_RETRIES,
  COUNT_HEDGES,
  COUNT_FENCES,
  COUNT_BAD_REQUESTS,
  COUNT_NO_ROUTE,
  COUNT_CUT_ANSWERS,
  COUNT_CALLERS_GONE,
  COUNT_SILENT_CONNECTIONS,
  COUNT_REFUSED_PEERS,
  COUNT_REFUSED_LEAVING,
  COUNT_REFUSED_INCARNATION,
  COUNT_REFUSED_DUPLICATE,
  COUNT_REFUSED_FULL,
  COUNT_REFUSED_DEADLINE,
  COUNT_REFUSED_UNVERIFIED,
  COUNT_RPC_CALLS,
  COUNT_RPC_REFUSED,
  COUNT_CONFIGURATION_READS,
  COUNT_CONFIGURATION_ACCEPTED,
  COUNT_CONFIGURATION_REFUSED,
  COUNT_CONFIGURATION_OLDER,
  COUNT_PAUSES,
  COUNT_LATE_STARTS,
  COUNT_MIXED_ANSWERS,
  COUNT_LEAVING_STARTS,
  COUNT_PROBES,
  COUNT_PROBES_HUNG,
  COUNT_BUDGET_REFUSED,
  COUNT_QUERIES_REFUSED,
  COUNT_LIST_READS,
  COUNT_DIGESTS_SENT,
  COUNT_SECTIONS_FETCHED,
  COUNT_CONTROL_MESSAGES,
  COUNT_CONTROL_BYTES,
  COUNT_END
};

/* forward.c: what both sides do to pass a call on.  */

/* Returns the value of the answer's header NAME in VALUE, or false.  */
bool upstream_header_value (const struct upstream_head *head, const char *name,
                            char *value, size_t size);

/* Copies the request's headers but for hop-by-hop ones and our own.  */
struct curl_slist *forward_headers (const struct request *request);

/* Appends "NAME: VALUE" to *HEADERS.  */
void append_header (struct curl_slist **headers, const char *name,
                    const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* An answer on its way to the caller.  */
struct answer
{
  struct request *request;
  bool head_sent;
  bool chunked;
  bool without_body;
  int status;
  int64_t length;
  int64_t sent;
};

/* Sends the head of an answer; OWN holds further header lines.  Headers that
   start with Cornelpick- are not passed on.  */
bool answer_head (struct answer *answer, const struct upstream_head *head,
                  const char *extra_headers);
bool answer_body (struct answer *answer, const char *data, size_t size);

/* Ends the answer: WHOLE tells whether it came whole.  An answer that was cut
   short closes the connection without a proper end.  */
void answer_end (struct answer *answer, bool complete);

/* outbound.c */
struct outbound
{
  struct daemon *daemon;
  pthread_mutex_t lock;
  struct cds_list_head balancers;
  struct cp_chart chart; /* of a target's health */
  pthread_t query_thread;
  pthread_mutex_t query_lock;
  pthread_cond_t query_stopped;
  bool query_running;
  bool stop_queries;
  struct cp_histogram latency;
  struct cp_peer_clocks peers;
  unsigned in_flight;
};

int outbound_init (struct outbound *outbound, struct daemon *daemon,
                   struct cp_error *error);
void outbound_finish (struct outbound *outbound);
void outbound_handle (void *context, struct request *request);

/* Takes a new document.  */
void outbound_update (struct outbound *outbound,
                      const struct cp_document *document);
json_t *outbound_dump (struct outbound *outbound);

/* Returns the balancer number INDEX, or NULL after the last; balancers are
   never removed while the daemon runs.  */
struct cp_balancer *outbound_balancer_at (struct outbound *outbound,
                                          unsigned index);

/* outbound_query.c: queries for load to inbound sides that send none. */

/* Asks those inbound sides that BALANCER names.  */
void outbound_query_loads (struct cp_balancer *balancer);

/* Starts and ends the thread that goes on asking.  */
int outbound_start_load_queries (struct outbound *outbound,
                                 struct cp_error *error);
void outbound_stop_load_queries (struct outbound *outbound);

/* call.c: one call, with its retries and hedges.  */
/* One call of a caller.  */
struct call
{
  struct outbound *outbound;
  struct request *request;
  const struct cp_route *route;
  struct cp_balancer *balancer;
  struct policy *policy;
  struct cp_id id;
  uint64_t deadline_us;
  bool idempotent;
  bool may_retry;
  uint64_t hedge_after_us; /* 0: not hedged */
  struct cp_tried_targets tried;
  GByteArray *body;     /* what was read of the body, for another attempt */
  bool body_incomplete; /* more was read than is kept */
  bool hedging;         /* two attempts are under way */
  bool timed_out;       /* an attempt ran into its deadline */
  struct answer answer;
};

/* attempt.c: one try of a call at one target.  */

/* What an attempt has come to.  */
enum attempt_outcome
{
  ATTEMPT_RAN,
  ATTEMPT_NOT_RUN,
  ATTEMPT_UNKNOWN
};

/* One try of a call at one target.  */
struct attempt
{
  struct call *call;
  struct cp_id id;
  struct cp_target target;
  uint64_t incarnation;
  uint64_t started_us;
  uint64_t head_us;     /* when the head of the answer came; 0 for never */
  int status;           /* of that head */
  size_t body_at;       /* how much of the call's kept body was sent */
  bool chosen;          /* its answer is passed on */
  uint64_t deadline_us; /* earlier than the call's, to leave time to fence */
  uint64_t start_by_us; /* on the clock of the inbound side; 0: not known */
  uint64_t silence_timeout_us; /* how long to wait before the next question */
  unsigned fence_failures; /* questions without a reply, one after the other */
  bool peer_answered;      /* the inbound side says that it has answered */
  bool discard;            /* the answer is not for the caller */
  enum attempt_outcome outcome;
  char from[CP_NAME_BYTES];
};

/* Makes attempts until the call has its answer, and answers it.  */
void call_run (struct call *call);

/* Chooses a target for another attempt of the call.  Returns false when there
   is none left.  */
bool call_pick_target (struct call *call, struct attempt *attempt);

/* A non-idempotent attempt must name the incarnation it is meant for and the
   time after which it may not start; asks for the clock of the inbound side
   when it is not known.  Returns false when it can not be had.  */
bool attempt_ensure_incarnation (struct attempt *attempt);

/* What an attempt sends; released by attempt_release.  */
struct attempt_request
{
  struct upstream_call upstream;
  char *path;
  struct curl_slist *headers;
};

/* Begins an attempt: composes what it sends.  */
void attempt_begin (struct attempt *attempt, struct attempt_request *outgoing);
void attempt_release (struct attempt_request *outgoing);

/* Ends an attempt, whose outcome it sets: asks for proof when that is not
   known, and tells the balancer.  */
void attempt_end (struct attempt *attempt, enum upstream_result result);

/* hedge.c */

/* Makes an attempt and, when that has no answer in time, a second one at
   another target.  FIRST gives the target; SECOND is filled in when it was
   made.  Returns how many were made.  Neither has been ended by attempt_end
   yet.  */
unsigned hedge_attempts (struct attempt *first, struct attempt *second,
                         enum upstream_result results[UPSTREAM_HEDGED]);

/* inbound.c */
struct inbound
{
  struct daemon *daemon;
  pthread_mutex_t lock;
  struct cp_chart chart;
  struct cp_register attempts;
  struct cp_admission admission;
  struct cp_histogram latency;
  unsigned in_flight;
};

int inbound_init (struct inbound *inbound, struct daemon *daemon,
                  struct cp_error *error);
void inbound_finish (struct inbound *inbound);
void inbound_handle (void *context, struct request *request);
void inbound_update (struct inbound *inbound,
                     const struct cp_document *document);
void inbound_report (struct inbound *inbound, struct cp_report *report);
json_t *inbound_dump (struct inbound *inbound);

/* rpc.c: ONC RPC between daemons.  */
struct rpc_server
{
  struct daemon *daemon;
  pthread_t udp_thread;
  pthread_t tcp_thread;
  int udp_fd;
  int tcp_fd;
  int stop_fd;
  bool running;
};

int rpc_start (struct rpc_server *server, struct daemon *daemon,
               struct cp_error *error);
void rpc_stop (struct rpc_server *server);

/* What a fence has shown.  */
enum fence_result
{
  FENCE_FENCED,
  FENCE_STARTED,
  FENCE_ANSWERED,
  FENCE_NO_PROOF
};

/* Asks the inbound side at ADDRESS to give up an attempt that may not start
   after START_BY_US on its clock.  Without CANCEL, an attempt that has arrived
   there is left alone.  */
enum fence_result rpc_fence (const struct cp_address *address,
                             const struct cp_id *attempt, uint64_t incarnation,
                             uint64_t start_by_us, bool cancel,
                             uint64_t timeout_us);

/* Asks the inbound side at ADDRESS for its load.  */
bool rpc_load (const struct cp_address *address, struct cp_report *report,
               uint64_t timeout_us);

/* admin.c and metrics.c */
void admin_handle (void *context, struct request *request);
char *metrics_text (struct daemon *daemon);

/* metrics_gauges.c: appends gauges and histograms to TEXT.  */
void metrics_gauges (struct daemon *daemon, GString *text);

/* daemon.c */
struct daemon
{
  struct cp_settings settings;
  const struct cp_clock *clock;
  struct cp_counters counters;
  struct cp_decisions decisions;
  struct cp_chart life_chart;
  pthread_mutex_t life_lock;
  int life;
  uint64_t incarnation;
  uint64_t started_us;
  uint64_t drain_started_us; /* when the drain began, 0 for not yet */
  struct upstream_pool upstreams;
  struct outbound outbound;
  struct inbound inbound;
  struct measure measure;
  struct policies policies;
  struct configuration configuration;
  struct members members;
  struct spread spread;
  struct rpc_server rpc;
  struct listener calls;
  struct listener peers;
  struct listener admin;
};

/* Starts all parts.  SETTINGS is copied.  */
int daemon_start (struct daemon *daemon, const struct cp_settings *settings,
                  struct cp_error *error);

/* Refuses new work from now on; calls in flight go on.  */
void daemon_drain (struct daemon *daemon);

/* Waits until no call is in flight, at most the drain's limit.  Returns
   whether all ended.  */
bool daemon_wait_idle (struct daemon *daemon);

/* Ends all parts.  */
void daemon_stop (struct daemon *daemon);

enum cp_life daemon_life (struct daemon *daemon);
bool daemon_step (struct daemon *daemon, enum cp_life_event event);
json_t *daemon_dump (struct daemon *daemon);

/* Adds a decision record, whose time is set here.  */
void daemon_record (struct daemon *daemon, struct cp_decision *decision);

static inline void
daemon_count (struct daemon *daemon, enum daemon_counter counter)
{
  cp_counters_add (&daemon->counters, counter, 1);
}

#endif

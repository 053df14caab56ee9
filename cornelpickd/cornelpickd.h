/* Declarations of cornelpickd.  One daemon runs beside each target: its
   outbound side accepts calls and sends each to a target, through the daemon
   there if it has one; its inbound side admits calls from daemons to the
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
#include "lib/attempt_table.h"
#include "lib/balancer.h"
#include "lib/chart.h"
#include "lib/clock.h"
#include "lib/counter.h"
#include "lib/decision.h"
#include "lib/document.h"
#include "lib/id.h"
#include "lib/load_report.h"
#include "lib/log.h"
#include "lib/peer_clock.h"
#include "lib/settings.h"

#define CORNELPICK_VERSION "0.1.0"

/* Headers sent between daemons, to callers and to targets.  */
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

/* Status with which an inbound side refuses a call for lack of capacity.  It
   is sent to daemons only, never to callers.  */
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

/* forward.c: forwarding of headers and answers, used by both sides.  */

/* Copies the value of header NAME of an upstream's answer to VALUE.  Returns
   false when there is no such header.  */
bool upstream_header_value (const struct upstream_head *head, const char *name,
                            char *value, size_t size);

/* Copies the request's headers except hop-by-hop ones and those that start
   with Cornelpick-.  */
struct curl_slist *forward_headers (const struct request *request);

/* Appends "NAME: VALUE" to *HEADERS.  */
void append_header (struct curl_slist **headers, const char *name,
                    const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/* State of an answer that is being sent to the caller.  */
struct answer
{
  struct request *request;
  bool head_sent;
  bool chunked;
  bool without_body; /* HEAD, 1xx, 204 or 304 */

  int status;
  int64_t length; /* -1: not given by the upstream */

  int64_t sent;
};

/* Sends the head of an answer, with the header lines EXTRA_HEADERS added.
   Hop-by-hop headers and those that start with Cornelpick- are dropped.  */
bool answer_head (struct answer *answer, const struct upstream_head *head,
                  const char *extra_headers);

/* Sends a part of the body.  */
bool answer_body (struct answer *answer, const char *data, size_t size);

/* Ends the answer.  Unless it is COMPLETE, the connection is closed in a way
   that the caller can tell from a proper end.  */
void answer_end (struct answer *answer, bool complete);

/* outbound.c */
struct outbound
{
  struct daemon *daemon;
  pthread_mutex_t lock;
  struct cds_list_head balancers;
  struct cp_chart chart; /* state chart of a target's health */
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

/* Applies a new document.  */
void outbound_update (struct outbound *outbound,
                      const struct cp_document *document);
json_t *outbound_dump (struct outbound *outbound);

/* Returns the balancer number INDEX, or NULL after the last; balancers are
   never removed while the daemon runs.  */
struct cp_balancer *outbound_balancer_at (struct outbound *outbound,
                                          unsigned index);

/* outbound_query.c: load queries to the inbound sides of targets whose load
   reports are missing or old.  */

/* Queries the inbound sides that cp_balancer_due_queries lists.  */
void outbound_query_loads (struct cp_balancer *balancer);

/* Start and stop the thread that sends load queries periodically.  */
int outbound_start_load_queries (struct outbound *outbound,
                                 struct cp_error *error);
void outbound_stop_load_queries (struct outbound *outbound);

/* call.c: one call, with its retries and hedges.  */

/* A call from a caller.  */
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
  GByteArray *body;     /* body read so far, for another attempt */
  bool body_incomplete; /* more was read than replay_bytes allows */
  bool hedging;         /* two attempts are in progress */
  bool timed_out;       /* an attempt reached its deadline */
  /* Target of an attempt that did not arrive since its connection was silent;
     it is used once more if no other is left.  */
  char silent_target[CP_NAME_BYTES];
  bool silent_target_used;
  struct answer answer;
};

/* attempt.c: one attempt of a call at one target.  */

/* Whether an attempt was executed by the target.  */
enum attempt_outcome
{
  ATTEMPT_RAN,
  ATTEMPT_NOT_RUN,
  ATTEMPT_UNKNOWN
};

/* An attempt of a call at one target.  */
struct attempt
{
  struct call *call;
  struct cp_id id;
  struct cp_target target;
  uint64_t incarnation;
  uint64_t started_us;
  uint64_t head_us;     /* when the head of the answer came; 0: never */
  int status;           /* of that head */
  size_t body_at;       /* bytes of the call's kept body sent */
  bool chosen;          /* its answer is sent to the caller */
  uint64_t deadline_us; /* earlier than the call's, to leave time to fence */
  uint64_t start_by_us; /* on the clock of the inbound side; 0: not known */
  uint64_t silence_timeout_us; /* wait before the next fence query */
  unsigned fence_failures;     /* consecutive fence queries without a reply */
  bool peer_answered;          /* the inbound side has sent its answer */
  bool discard;                /* do not send the answer to the caller */
  enum attempt_outcome outcome;
  char from[CP_NAME_BYTES];
};

/* Makes attempts until one succeeds or none may follow, and answers the
   call.  */
void call_run (struct call *call);

/* Chooses a target for another attempt of the call.  Returns false when there
   is none left.  */
bool call_pick_target (struct call *call, struct attempt *attempt);

/* A non-idempotent attempt must state the incarnation it is sent to and the
   time after which it may not start.  Queries the inbound side when these are
   not known.  Returns false when the query fails.  */
bool attempt_ensure_incarnation (struct attempt *attempt);

/* The request of an attempt; freed by attempt_release.  */
struct attempt_request
{
  struct upstream_call upstream;
  char *path;
  struct curl_slist *headers;
};

/* Starts an attempt: sets its deadline and composes its request.  */
void attempt_begin (struct attempt *attempt, struct attempt_request *outgoing);
void attempt_release (struct attempt_request *outgoing);

/* Ends an attempt: sets its outcome, fences it when the outcome is unknown,
   and reports the result to the balancer.  */
void attempt_end (struct attempt *attempt, enum upstream_result result);

/* hedge.c */

/* Makes the attempt FIRST, whose target is set, and a second one at another
   target if the first has no answer after the call's hedge delay.  SECOND is
   filled in when it was made.  Returns the number of attempts made; the caller
   must end each by attempt_end.  */
unsigned hedge_attempts (struct attempt *first, struct attempt *second,
                         enum upstream_result results[UPSTREAM_HEDGED]);

/* inbound.c */
struct inbound
{
  struct daemon *daemon;
  pthread_mutex_t lock;
  struct cp_chart chart;
  struct cp_attempt_table attempts;
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
void inbound_report (struct inbound *inbound, struct cp_load_report *report);
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

/* Result of a fence.  */
enum fence_result
{
  FENCE_FENCED,
  FENCE_STARTED,
  FENCE_ANSWERED,
  FENCE_NO_PROOF
};

/* Asks the inbound side at ADDRESS never to start an attempt, whose start-by
   time on the clock of the inbound side is START_BY_US.  Without CANCEL, an
   attempt that has arrived there is not affected.  */
enum fence_result rpc_fence (const struct cp_address *address,
                             const struct cp_id *attempt, uint64_t incarnation,
                             uint64_t start_by_us, bool cancel,
                             uint64_t timeout_us);

/* Queries the load of the inbound side at ADDRESS.  */
bool rpc_load (const struct cp_address *address, struct cp_load_report *report,
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
  uint64_t drain_started_us; /* start of the drain; 0: not draining */
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

/* Starts all components.  SETTINGS is copied.  */
int daemon_start (struct daemon *daemon, const struct cp_settings *settings,
                  struct cp_error *error);

/* Starts the drain: new calls are refused, calls in flight continue.  */
void daemon_drain (struct daemon *daemon);

/* Waits until no call is in flight, at most for the time limit of the drain.
   Returns whether all calls ended.  */
bool daemon_wait_idle (struct daemon *daemon);

/* Stops all components.  */
void daemon_stop (struct daemon *daemon);

enum cp_daemon_state daemon_life (struct daemon *daemon);
bool daemon_step (struct daemon *daemon, enum cp_daemon_event event);
json_t *daemon_dump (struct daemon *daemon);

/* Sets the time of a decision record and adds it to the log of decisions.  */
void daemon_record (struct daemon *daemon, struct cp_decision *decision);

static inline void
daemon_count (struct daemon *daemon, enum daemon_counter counter)
{
  cp_counters_add (&daemon->counters, counter, 1);
}

#endif

/* Shared by the files of the outbound side: calls and their attempts.

   call.c makes attempts and ends calls, attempt.c handles the results of
   attempts, call_room.c judges whether there is room, call_budget.c takes
   repeats from the retry budget, outbound.c accepts the requests.  */
#ifndef MESHD_OUTBOUND_INTERNAL_H
#define MESHD_OUTBOUND_INTERNAL_H

#include "lib/service_room.h"
#include "meshd/outbound.h"

/* Maximum number of servers that one call is sent to, even if each refuses
   it.  */
#define MESH_CALL_SERVERS_MAX 5

/* The same for a call of a running request: its parent's work is lost if it is
   refused.  */
#define MESH_NESTED_CALL_SERVERS_MAX 10

/* Maximum number of parallel attempts of one call.  */
#define MESH_CALL_ATTEMPTS_MAX 2

/* Minimum time left for another attempt, as a share of the objective.  An
   attempt takes about a third of the objective on a server that is not
   slow.  */
#define MESH_RETRY_TIME_SHARE 0.2

struct mesh_call;

struct mesh_attempt
{
  uint64_t stream;
  struct mesh_call *call;
  struct cp_server *server;
  uint64_t sent_us;
  uint64_t token_us;    /* when its repeat was taken from the budget, or 0 */
  bool link_lost;       /* the link to the peer broke after sending */
  bool server_was_slow; /* when it was sent */
};

/* State of a server when a call was sent there, and the result; for the
   log.  */
struct mesh_trial
{
  uint64_t stream;
  uint64_t sent_us;
  uint64_t report_age_us;
  unsigned busy;
  unsigned limit;
  unsigned slowness_percent;
  uint64_t cold_us;     /* remaining warm-up time that the server reported */
  enum mesh_reason end; /* NONE while it is open, and for an answer */
  bool link_failed;     /* the link failed or was slow, not the server, which
                           may be tried again */
};

struct mesh_call
{
  uv_timer_t timer;
  struct mesh_outbound *outbound;
  struct net_exchange *exchange;
  struct cp_route_table *table;
  struct cp_route_table_entry *route;
  const char *service;
  const char *request_id; /* owned by the exchange; "" for none */
  uint64_t digest;        /* of the request's content */
  bool nested;            /* a call of a request that the local server runs */
  struct mesh_parent parent; /* that request, if nested */
  GString *head;
  uint64_t began_us;
  uint64_t deadline_us;
  uint64_t next_check_us; /* time of the next check for a hedge, or 0 */
  struct mesh_attempt *open[MESH_CALL_ATTEMPTS_MAX];
  unsigned n_open;
  struct cp_server *tried[MESH_NESTED_CALL_SERVERS_MAX];
  /* Parallel to tried[].  */
  struct mesh_trial trials[MESH_NESTED_CALL_SERVERS_MAX];
  unsigned n_tried;
  unsigned n_sent;   /* attempts that may have reached a server */
  uint64_t token_us; /* when the repeat for the next attempt was taken from the
                        budget; 0 for none */
  bool may_have_run;
  bool held; /* in the outbound side's list of held calls */
  struct cds_list_head held_node;
  struct cp_peer_answer failure; /* first failed answer, or status 0 */
  enum mesh_reason reason;       /* why the last attempt ended */
  struct cp_room_view room;      /* at its beginning, or when it was refused */
  uint64_t retry_us;             /* the Retry-After of its answer, or 0 */
};

/* Starts CALL, whose route and times are set.  */
void mesh_call_begin (struct mesh_call *call);

/* Ends CALL without an answer, because its caller has disconnected.  */
void mesh_call_abandon (struct mesh_call *call);

/* Returns whether CALL is sent at all: whether there is or may be room, or it
   is sent to find out.  */
bool mesh_call_may_enter (struct mesh_call *call);

/* Returns the time for Retry-After of CALL, which is refused.  */
uint64_t mesh_call_retry_after_us (struct mesh_call *call);

/* Returns the usual time of a run at a server that is not slow.  */
uint64_t mesh_call_expected_work (const struct mesh_call *call);

/* Sends the call to the next server, or ends it if there is none.  While the
   event loop is behind, the call is held: its caller may have left.  */
void mesh_call_try_next (struct mesh_call *call);

/* Takes CALL off the list of held calls, if it is there.  */
void mesh_call_release (struct mesh_call *call);

/* Ends a call for which no further attempt is allowed: with the failure that a
   server answered, with 502 or 504 if it may have run, otherwise with 503.  */
void mesh_call_give_up (struct mesh_call *call);

/* Returns whether a call that a server may have received may be sent again.
   Takes the repeat from the retry budget if so.  */
bool mesh_call_take_repeat (struct mesh_call *call);

/* Takes a repeat from the retry budget for the next attempt, if that needs one
   and CALL does not hold it: a server may have received the call before, or a
   repeat makes it.  Returns false if the budget has none.  */
bool mesh_call_take_token (struct mesh_call *call);

/* Give back a repeat that was taken for an arrival that did not happen: of an
   attempt that no server received, or of a call that ends.  */
void mesh_attempt_give_back_token (struct mesh_attempt *attempt);
void mesh_call_give_back_token (struct mesh_call *call);

/* Sends a repeatable call to another server after the link to the first one
   broke.  The first attempt may still be answered over a new link.  */
void mesh_call_try_in_parallel (struct mesh_call *call);

/* Returns whether there is a server that CALL has not tried.  */
bool mesh_call_has_untried_server (const struct mesh_call *call);

/* Schedules a check of CALL after a short time.  */
void mesh_call_check_soon (struct mesh_call *call);

/* Keeps a failure that a server answered, as the answer to give if no other
   attempt succeeds.  */
void mesh_call_keep_failure (struct mesh_call *call,
                             const struct cp_peer_answer *answer);

/* Sends ANSWER to the caller, cancels the open attempts and ends CALL.  */
void mesh_call_deliver (struct mesh_call *call,
                        const struct cp_peer_answer *answer);

/* Removes ATTEMPT from its call and frees it.  */
void mesh_attempt_free (struct mesh_attempt *attempt);

/* Log lines of calls.  */
void mesh_call_log_failed (const struct mesh_call *call, unsigned status);
void mesh_call_log_send (const struct mesh_call *call,
                         const struct mesh_attempt *attempt);
void mesh_call_log_next_attempt (const struct mesh_call *call);
void mesh_call_log_no_retry (const struct mesh_call *call, const char *reason);
void mesh_call_log_answer (const struct mesh_call *call, unsigned status,
                           uint64_t took_us);
void mesh_call_log_abandoned (const struct mesh_call *call);

/* Record the state of the server of ATTEMPT when it is sent, and how the
   attempt ended.  */
void mesh_call_record_trial (struct mesh_call *call,
                             const struct mesh_attempt *attempt);
void mesh_call_record_end (const struct mesh_attempt *attempt,
                           enum mesh_reason reason);

#endif

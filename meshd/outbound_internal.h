/* What the files of the outbound side share: calls, and their attempts.

   call.c makes attempts and ends calls, attempt.c takes what the inbound sides
   say, outbound.c takes the requests.  */
#ifndef MESHD_OUTBOUND_INTERNAL_H
#define MESHD_OUTBOUND_INTERNAL_H

#include "meshd/outbound.h"

/* Servers that one call may ask, also when each turns it away.  */
#define MESH_TRIED_MAX 5

/* Attempts of one call that may be open at once.  */
#define MESH_OPEN_MAX 2

struct mesh_call;

struct mesh_attempt
{
  uint64_t stream;
  struct mesh_call *call;
  struct cp_server *server;
  uint64_t sent_us;
  bool link_lost; /* the way to the server broke meanwhile */
};

/* What was known of a server when a call was sent there, and how that went;
   for the log.  */
struct mesh_trial
{
  uint64_t stream;
  uint64_t sent_us;
  uint64_t report_age_us;
  unsigned busy;
  unsigned limit;
  unsigned slowness_percent;
  enum mesh_reason end; /* none while it is open, and for an answer */
  bool link_failed;     /* the way failed, not the server */
};

struct mesh_call
{
  uv_timer_t timer;
  struct mesh_outbound *outbound;
  struct net_exchange *exchange;
  struct cp_table *table;
  struct cp_table_route *route;
  const char *service;
  const char *request_id; /* of the exchange; "" for none */
  GString *head;
  uint64_t began_us;
  uint64_t deadline_us;
  uint64_t next_check_us; /* when it is next looked at, or 0 */
  struct mesh_attempt *open[MESH_OPEN_MAX];
  unsigned n_open;
  struct cp_server *tried[MESH_TRIED_MAX];
  struct mesh_trial trials[MESH_TRIED_MAX]; /* of each server tried */
  unsigned n_tried;
  unsigned n_sent; /* attempts but those that reached no server */
  bool may_have_run;
  struct cp_peer_answer failure; /* a server's own, or status 0 */
  enum mesh_reason reason;       /* why the last attempt ended */
};

/* Begins CALL, whose route and times are set.  */
void mesh_call_begin (struct mesh_call *call);

/* Ends CALL without an answer: its caller has left.  */
void mesh_call_abandon (struct mesh_call *call);

/* Tries the next server, or gives up.  */
void mesh_call_try_next (struct mesh_call *call);

/* Ends a call for which nothing more may be tried.  */
void mesh_call_give_up (struct mesh_call *call);

/* Returns whether a call that a server may have seen may be sent again, and
   takes that from the budget.  */
bool mesh_call_take_repeat (struct mesh_call *call);

/* Sends a call whose way to the server broke to another server as well, while
   its first attempt may still be answered over a new link.  */
void mesh_call_try_in_parallel (struct mesh_call *call);

/* Returns whether there is a server that CALL has not asked.  */
bool mesh_call_has_untried_server (const struct mesh_call *call);

/* Looks at CALL again soon.  */
void mesh_call_check_soon (struct mesh_call *call);

/* Keeps the failure that a server answered, for the case that no other attempt
   does better.  */
void mesh_call_keep_failure (struct mesh_call *call,
                             const struct cp_peer_answer *answer);

/* Gives the caller ANSWER and ends CALL and its open attempts.  */
void mesh_call_deliver (struct mesh_call *call,
                        const struct cp_peer_answer *answer);

/* Forgets ATTEMPT.  */
void mesh_attempt_free (struct mesh_attempt *attempt);

/* The log lines of calls.  */
void mesh_call_log_failed (const struct mesh_call *call, unsigned status);
void mesh_call_log_send (const struct mesh_call *call,
                         const struct mesh_attempt *attempt);
void mesh_call_log_again (const struct mesh_call *call);
void mesh_call_log_answer (const struct mesh_call *call, unsigned status,
                           uint64_t took_us);
void mesh_call_log_abandoned (const struct mesh_call *call);

/* Notes what is known of the server of ATTEMPT, and how it ended.  */
void mesh_call_record_trial (struct mesh_call *call,
                             const struct mesh_attempt *attempt);
void mesh_call_record_end (const struct mesh_attempt *attempt,
                           enum mesh_reason reason);

#endif

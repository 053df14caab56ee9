/* Calls of the outbound side: choosing the next server, hedging, and ending a
   call.  */
#include <stdlib.h>

#include "lib/counter.h"
#include "meshd/outbound_internal.h"
#include "net/turns.h"
#include "platform/headers.h"

/* When a repeatable call is checked for a hedge, as shares of its objective:
   first, then at each step until the last.  A run takes about half of the
   objective on a server that is not slow, so a second attempt that starts
   after the last check seldom ends in time.  */
#define HEDGE_CHECK_FIRST 0.2
#define HEDGE_CHECK_STEP 0.1
#define HEDGE_CHECK_LAST 0.6

/* Interval between checks of a call whose link to the peer broke while no
   other server could be reached.  A new link is up within some
   milliseconds.  */
#define LINK_LOST_CHECK_US UINT64_C (50000)

/* Minimum slowness of a server whose call is hedged, and maximum slowness of
   the server that takes the hedge.  */
#define HEDGE_FROM_SLOWNESS_PERCENT 200
#define HEDGE_TO_SLOWNESS_PERCENT 130

/* Maximum share of busy slots of a server that takes a hedge, so that hedges
   do not displace first attempts.  */
#define HEDGE_BUSY_SHARE 0.7

/* How long a ping may be unanswered before the peer counts as silent.  The
   round trip takes 2 ms.  */
#define PING_OVERDUE_US UINT64_C (60000)

/* Time of an attempt assumed before one was answered, as a share of the
   objective.  */
#define WORK_DEFAULT_SHARE 0.33

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

static void
on_call_closed (uv_handle_t *handle)
{
  struct mesh_call *call = handle->data;

  for (unsigned i = 0; i < call->n_tried; i++)
    cp_server_unref (call->tried[i]);
  g_string_free (call->head, TRUE);
  g_free (call->failure.head);
  g_free (call->failure.body.cp_peer_body_val);
  cp_route_table_unref (call->table);
  g_free (call);
}

void
mesh_attempt_free (struct mesh_attempt *attempt)
{
  struct mesh_call *call = attempt->call;
  struct mesh_outbound *outbound = call->outbound;
  unsigned i = 0;

  while (call->open[i] != attempt)
    i++;
  call->open[i] = call->open[--call->n_open];
  attempt->server->own_in_flight--;
  g_hash_table_remove (outbound->attempts, &attempt->stream);
  cp_server_unref (attempt->server);
  g_free (attempt);
}

/* Ends CALL and cancels its open attempts.  The call is taken out first, so
   that nothing that the cancels cause can reach it.  It is freed when the
   event loop comes round; until then its answer may be used.  */
static void
call_end (struct mesh_call *call)
{
  struct mesh_outbound *outbound = call->outbound;
  struct cp_peer_message cancels[MESH_CALL_ATTEMPTS_MAX];
  struct cp_server *servers[MESH_CALL_ATTEMPTS_MAX];
  unsigned count = 0;

  while (call->n_open > 0)
    {
      cancels[count].kind = CP_PEER_CANCEL;
      cancels[count].cp_peer_message_u.stream = call->open[0]->stream;
      servers[count++] = cp_server_ref (call->open[0]->server);
      mesh_attempt_free (call->open[0]);
    }
  mesh_call_give_back_token (call);
  mesh_call_release (call);
  call->exchange->owner = NULL;
  call->exchange = NULL;
  uv_close ((uv_handle_t *)&call->timer, on_call_closed);
  for (unsigned i = 0; i < count; i++)
    {
      outbound->events->send (outbound->context, servers[i], &cancels[i]);
      cp_server_unref (servers[i]);
    }
}

/* Ends CALL with an empty response of STATUS from this daemon.  RETRY_US is
   the time for Retry-After, or 0 for none.  */
static void
call_end_with_status (struct mesh_call *call, unsigned status,
                      uint64_t retry_us)
{
  struct net_exchange *exchange = call->exchange;
  GString *head = g_string_new (NULL);

  call->retry_us = retry_us;
  mesh_call_log_failed (call, status);
  platform_write_local_response (
      head, call->request_id[0] == '\0' ? NULL : call->request_id, retry_us);
  call_end (call);
  net_exchange_respond (exchange, status, head->str, NULL, 0);
  g_string_free (head, TRUE);
}

void
mesh_call_keep_failure (struct mesh_call *call,
                        const struct cp_peer_answer *answer)
{
  struct cp_peer_answer *kept = &call->failure;

  if (kept->status != 0)
    return;
  kept->status = answer->status;
  kept->head = g_strdup (answer->head);
  kept->body.cp_peer_body_len = answer->body.cp_peer_body_len;
  kept->body.cp_peer_body_val = g_memdup2 (answer->body.cp_peer_body_val,
                                           answer->body.cp_peer_body_len);
}

void
mesh_call_deliver (struct mesh_call *call, const struct cp_peer_answer *answer)
{
  struct mesh_outbound *outbound = call->outbound;
  struct net_exchange *exchange = call->exchange;
  uint64_t took_us = now_us () - call->began_us;

  outbound->counts.answered++;
  cp_histogram_add (outbound->latency, took_us);
  if (answer->status >= 400)
    mesh_call_log_failed (call, answer->status);
  else
    mesh_call_log_answer (call, answer->status, took_us);
  call_end (call);
  net_exchange_respond (exchange, answer->status, answer->head,
                        answer->body.cp_peer_body_val,
                        answer->body.cp_peer_body_len);
}

void
mesh_call_give_up (struct mesh_call *call)
{
  struct mesh_outbound *outbound = call->outbound;
  uint64_t held_back_us;

  if (call->failure.status != 0)
    {
      mesh_call_deliver (call, &call->failure);
      return;
    }
  if (call->may_have_run)
    {
      outbound->counts.failed++;
      call_end_with_status (
          call, call->reason == MESH_REASON_TIMEOUT ? 504 : 502, 0);
      return;
    }
  outbound->counts.refused++;
  outbound->counts.refused_by_reason[call->reason]++;
  held_back_us = mesh_suspects_held_back_us (outbound->suspects, call->digest);
  call_end_with_status (call, 503,
                        held_back_us > 0 ? held_back_us
                                         : mesh_call_retry_after_us (call));
}

/* Ends CALL with 504: the route's timeout or the caller's deadline has
   passed.  */
static void
call_time_out (struct mesh_call *call)
{
  struct mesh_outbound *outbound = call->outbound;

  for (unsigned i = 0; i < call->n_open; i++)
    {
      cp_server_record_outcome (call->open[i]->server, true, now_us ());
      cp_lateness_add (&call->route->lateness, call->open[i]->server_was_slow,
                       true);
    }
  call->reason = MESH_REASON_TIMEOUT;
  outbound->counts.timed_out++;
  call_end_with_status (call, 504, 0);
}

/* Returns the time from NOW until UNTIL_US in ms, 0 if it has passed.  */
static u_int
ms_left (uint64_t until_us, uint64_t now)
{
  return (u_int)((until_us - MIN (until_us, now)) / CP_US_PER_MS);
}

/* Returns the time until which a server may work on CALL.  The answer to a
   call of a running request is lost once its parent's deadline has passed, and
   any answer when this daemon has stopped.  */
static uint64_t
work_until (const struct mesh_call *call)
{
  const struct cp_stop_plan *stop = call->outbound->stop;
  uint64_t until_us = call->deadline_us;

  if (call->nested)
    until_us = MIN (until_us, call->parent.deadline_us);
  if (stop != NULL)
    until_us = MIN (until_us, stop->work_until_us);
  return until_us;
}

static void
fill_request (struct mesh_call *call, struct mesh_attempt *attempt,
              struct cp_peer_request *request)
{
  const GByteArray *body = call->exchange->request.body;
  uint64_t now = now_us ();

  request->stream = attempt->stream;
  request->clock = now;
  request->digest = call->digest;
  request->request_id = (char *)call->request_id;
  request->instance = attempt->server->instance;
  request->left = MAX (1U, ms_left (work_until (call), now));
  request->objective_left
      = ms_left (call->began_us + call->route->objective_us, now);
  request->objective = (u_int)(call->route->objective_us / CP_US_PER_MS);
  request->priority = call->route->priority;
  request->tried = call->n_tried;
  request->nested = call->nested;
  request->parent_priority = call->parent.priority;
  request->repeat = call->n_sent > 1 || call->parent.repeat;
  request->idempotent = call->route->idempotency == CP_IDEMPOTENT;
  request->hedge = call->n_open > 1;
  request->head = call->head->str;
  request->body.cp_peer_body_len = body->len;
  request->body.cp_peer_body_val = (char *)body->data;
}

/* Sends the call to SERVER.  Returns false, and keeps no attempt, if its peer
   is not connected.  */
static bool
call_send (struct mesh_call *call, struct cp_server *server)
{
  struct mesh_outbound *outbound = call->outbound;
  struct mesh_attempt *attempt = g_new0 (struct mesh_attempt, 1);
  struct cp_peer_message message = { .kind = CP_PEER_REQUEST };

  attempt->stream = ++outbound->last_stream;
  attempt->call = call;
  attempt->server = cp_server_ref (server);
  attempt->sent_us = now_us ();
  attempt->token_us = call->token_us;
  call->token_us = 0;
  attempt->server_was_slow = cp_server_is_slow (server, now_us ());
  call->open[call->n_open++] = attempt;
  call->n_sent++;
  mesh_call_record_trial (call, attempt);
  call->tried[call->n_tried++] = cp_server_ref (server);
  server->own_in_flight++;
  server->sent_since++;
  g_hash_table_insert (outbound->attempts, &attempt->stream, attempt);
  outbound->counts.attempts++;
  fill_request (call, attempt, &message.cp_peer_message_u.request);
  mesh_call_log_send (call, attempt);
  if (outbound->events->send (outbound->context, server, &message))
    return true;
  call->token_us = attempt->token_us;
  mesh_attempt_free (attempt);
  call->n_sent--;
  return false;
}

/* Returns the time until the objective, or until the deadline if the objective
   has been missed.  */
static uint64_t
time_left (const struct mesh_call *call, uint64_t now)
{
  uint64_t due_us = call->began_us + call->route->objective_us;

  if (due_us <= now || due_us > call->deadline_us)
    due_us = call->deadline_us;
  return due_us - MIN (due_us, now);
}

uint64_t
mesh_call_expected_work (const struct mesh_call *call)
{
  const struct cp_route_table_entry *route = call->route;

  if (route->work_us > 0)
    return route->work_us;
  return (uint64_t)(WORK_DEFAULT_SHARE * (double)route->objective_us);
}

/* Returns how many servers the call may be sent to, those that refuse it
   included.  */
static unsigned
servers_max (const struct mesh_call *call)
{
  uint64_t needs_us
      = (uint64_t)(MESH_RETRY_TIME_SHARE * (double)call->route->objective_us);

  return call->nested && now_us () + needs_us <= call->deadline_us
             ? MESH_NESTED_CALL_SERVERS_MAX
             : MESH_CALL_SERVERS_MAX;
}

/* Returns the best server that the call has not tried, or NULL.  A server that
   refused the call since its domain is evacuated knows of that before us, so
   the other servers of its domain are left out.  */
static struct cp_server *
next_server (const struct mesh_call *call)
{
  struct mesh_outbound *outbound = call->outbound;
  struct cp_server *tried[MESH_NESTED_CALL_SERVERS_MAX];
  const struct cp_domain *refused[MESH_NESTED_CALL_SERVERS_MAX];
  struct cp_server_request request = {
    .service = call->service,
    .now_us = now_us (),
    .work_us = mesh_call_expected_work (call),
    .lateness = &call->route->lateness,
    .time_left_us = time_left (call, now_us ()),
    .tried = tried,
    .regions = call->route->regions,
    .refused = refused,
  };

  if (call->n_tried >= servers_max (call))
    return NULL;
  for (unsigned i = 0; i < call->n_tried; i++)
    {
      if (!call->trials[i].link_failed)
        tried[request.n_tried++] = call->tried[i];
      if (call->trials[i].end == MESH_REASON_EVACUATED)
        refused[request.n_refused++] = call->tried[i]->domain;
    }
  return cp_server_pool_pick (outbound->pool, &request, outbound->random);
}

/* Returns the reason why no server is eligible for CALL, which was not sent
   yet.  */
static enum mesh_reason
no_server_reason (const struct mesh_call *call)
{
  const struct cp_server_request request
      = { .service = call->service, .regions = call->route->regions };

  switch (cp_server_pool_explain (call->outbound->pool, &request))
    {
    case CP_PICK_EVACUATED:
      return MESH_REASON_EVACUATED;
    case CP_PICK_REGION:
      return MESH_REASON_REGION;
    default:
      return MESH_REASON_NO_SERVER;
    }
}

/* Returns whether CALL may be sent, again or for the first time, while this
   daemon stops.  */
static bool
fits_into_stop (const struct mesh_call *call)
{
  const struct cp_stop_plan *stop = call->outbound->stop;

  return stop == NULL
         || cp_stop_plan_admits (
             stop, now_us (), call->deadline_us,
             MAX (call->route->objective_us, mesh_call_expected_work (call)));
}

static void
call_hold (struct mesh_call *call)
{
  if (call->held)
    return;
  call->held = true;
  cds_list_add_tail (&call->held_node, &call->outbound->held);
}

void
mesh_call_release (struct mesh_call *call)
{
  if (!call->held)
    return;
  call->held = false;
  cds_list_del (&call->held_node);
}

void
mesh_call_try_next (struct mesh_call *call)
{
  struct cp_server *server;

  if (net_turns_is_behind (call->outbound->loop))
    {
      call_hold (call);
      return;
    }
  if (!fits_into_stop (call))
    {
      call->reason = MESH_REASON_LEAVING;
      mesh_call_give_up (call);
      return;
    }
  server = next_server (call);

  if (server != NULL && !mesh_call_take_token (call))
    {
      call->reason = MESH_REASON_NO_BUDGET;
      mesh_call_give_up (call);
      return;
    }
  while (server != NULL && !call_send (call, server))
    server = next_server (call);
  if (server != NULL)
    return;
  if (call->n_tried == 0)
    call->reason = no_server_reason (call);
  mesh_call_give_up (call);
}

/* Returns whether the server of ATTEMPT reports that it is slow, or its peer
   leaves a ping unanswered.  */
static bool
is_slow_or_silent (const struct mesh_attempt *attempt, uint64_t now)
{
  const struct cp_server *server = attempt->server;

  return server->load.slowness_percent >= HEDGE_FROM_SLOWNESS_PERCENT
         || cp_server_unanswered_ping_us (server, now) > PING_OVERDUE_US;
}

/* Hedges a call whose server is slow or silent: sends a second attempt to a
   server that is not slow.  */
static void
call_hedge (struct mesh_call *call)
{
  struct cp_server *server;

  if (call->n_open != 1 || !is_slow_or_silent (call->open[0], now_us ())
      || !fits_into_stop (call))
    return;
  server = next_server (call);
  if (server == NULL
      || server->load.slowness_percent > HEDGE_TO_SLOWNESS_PERCENT
      || cp_server_utilization (server) > HEDGE_BUSY_SHARE
      || !mesh_call_take_repeat (call))
    return;
  call->outbound->counts.hedges++;
  call->reason = MESH_REASON_HEDGED;
  mesh_call_log_next_attempt (call);
  call_send (call, server);
}

void
mesh_call_try_in_parallel (struct mesh_call *call)
{
  struct cp_server *server;

  if (call->n_open != 1 || call->route->idempotency != CP_IDEMPOTENT
      || !fits_into_stop (call))
    return;
  if (net_turns_is_behind (call->outbound->loop))
    {
      mesh_call_check_soon (call);
      return;
    }
  server = next_server (call);
  if (server == NULL || !mesh_call_take_repeat (call))
    return;
  call->reason = MESH_REASON_LINK_LOST;
  mesh_call_log_next_attempt (call);
  call_send (call, server);
}

static void on_call_timer (uv_timer_t *timer);

/* Sets the timer to the next check or the deadline, whichever comes first.  */
static void
set_timer (struct mesh_call *call, uint64_t now)
{
  uint64_t at = call->deadline_us;

  if (call->next_check_us != 0 && call->next_check_us < at)
    at = call->next_check_us;
  uv_update_time (call->outbound->loop);
  uv_timer_start (&call->timer, on_call_timer,
                  at <= now ? 0 : (at - now) / CP_US_PER_MS, 0);
}

/* Sends a second attempt if the first one needs it, and schedules the next
   check.  */
static void
check_call (struct mesh_call *call)
{
  double objective_us = (double)call->route->objective_us;

  if (call->n_open == 1 && call->open[0]->link_lost)
    {
      call->next_check_us = now_us () + LINK_LOST_CHECK_US;
      mesh_call_try_in_parallel (call);
      return;
    }
  call->next_check_us += (uint64_t)(HEDGE_CHECK_STEP * objective_us);
  if (call->next_check_us
      > call->began_us + (uint64_t)(HEDGE_CHECK_LAST * objective_us))
    call->next_check_us = 0;
  call_hedge (call);
}

static void
on_call_timer (uv_timer_t *timer)
{
  struct mesh_call *call = timer->data;
  uint64_t now = now_us ();

  if (net_turns_defer (timer, on_call_timer))
    return;
  if (now + CP_US_PER_MS > call->deadline_us)
    {
      call_time_out (call);
      return;
    }
  if (call->next_check_us != 0 && now + CP_US_PER_MS > call->next_check_us)
    check_call (call);
  set_timer (call, now);
}

void
mesh_call_check_soon (struct mesh_call *call)
{
  uint64_t now = now_us ();

  call->next_check_us = now + LINK_LOST_CHECK_US;
  set_timer (call, now);
}

bool
mesh_call_has_untried_server (const struct mesh_call *call)
{
  return next_server (call) != NULL;
}

void
mesh_call_begin (struct mesh_call *call)
{
  const struct cp_route_table_entry *route = call->route;
  uint64_t now = now_us ();

  /* Calls of repeats count as repeats.  */
  if (call->parent.repeat)
    call->outbound->counts.repeat_calls++;
  else
    cp_repeat_budgets_count_request (call->outbound->budgets, call->service,
                                     now);
  if (call->deadline_us <= now)
    {
      call->reason = MESH_REASON_TIMEOUT;
      call_end_with_status (call, 504, 0);
      return;
    }
  if (call->outbound->stop != NULL)
    call->deadline_us
        = MIN (call->deadline_us, call->outbound->stop->answer_until_us);
  if (mesh_suspects_hold_back (call->outbound->suspects, call->digest))
    {
      call->reason = MESH_REASON_HELD_BACK;
      mesh_call_give_up (call);
      return;
    }
  if (!mesh_call_may_enter (call))
    {
      call->reason = MESH_REASON_NO_ROOM;
      mesh_call_give_up (call);
      return;
    }
  if (route->idempotency == CP_IDEMPOTENT && route->attempts > 1)
    call->next_check_us
        = call->began_us
          + (uint64_t)(HEDGE_CHECK_FIRST * (double)route->objective_us);
  set_timer (call, now);
  mesh_call_try_next (call);
}

void
mesh_call_abandon (struct mesh_call *call)
{
  mesh_call_log_abandoned (call);
  call_end (call);
}

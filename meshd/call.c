/* Calls of the outbound side: which server is asked next, when another is
   asked beside it, and how a call ends.  */
#include <stdlib.h>

#include "lib/counter.h"
#include "meshd/outbound_internal.h"
#include "platform/headers.h"

/* Least time left for another attempt, as a share of the objective.  An
   attempt takes about a third of it on a calm server.  */
#define AGAIN_SHARE 0.2

/* Times at which a call that may be repeated is looked at, as shares of its
   objective: first, then again after each step until the last.  A run takes
   about half of the objective on a calm server, so a second attempt that
   begins later than the last look seldom ends in time.  */
#define LOOK_FIRST 0.2
#define LOOK_STEP 0.1
#define LOOK_LAST 0.6

/* Time between looks at a call whose way to the server broke while no other
   server could be reached; a new link is up within some milliseconds.  */
#define LOOK_LOST_US UINT64_C (50000)

/* Slowness from which a server is left for another, and up to which the other
   is taken.  */
#define SLOW_PERCENT 200
#define CALM_PERCENT 130

/* Share of busy slots up to which a server is taken for a hedge, so that
   hedges do not push out first attempts.  */
#define HEDGE_BUSY_SHARE 0.7

/* How long a ping may be unanswered before the way counts as silent; the way
   there and back takes 2 ms.  */
#define SILENT_US UINT64_C (60000)

/* When a refused caller may come back, as shares of the objective, drawn at
   random between them so that callers do not return together.  */
#define RETRY_LEAST 0.1
#define RETRY_MOST 0.3

/* Weight of one answer in the moving mean of a route's answer bytes.  */
#define ANSWER_WEIGHT_SHIFT 4

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

static struct cp_repeat *
budget_of (struct mesh_outbound *outbound, const char *service)
{
  struct cp_repeat *budget = g_hash_table_lookup (outbound->budgets, service);

  if (budget == NULL)
    {
      budget = g_new0 (struct cp_repeat, 1);
      cp_repeat_init (budget, outbound->settings.repeat_window_us);
      g_hash_table_insert (outbound->budgets, g_strdup (service), budget);
    }
  return budget;
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
  cp_table_unref (call->table);
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

static void
call_free (struct mesh_call *call)
{
  while (call->n_open > 0)
    mesh_attempt_free (call->open[0]);
  call->exchange = NULL;
  uv_close ((uv_handle_t *)&call->timer, on_call_closed);
}

static void
send_cancel (struct mesh_attempt *attempt)
{
  struct mesh_outbound *outbound = attempt->call->outbound;
  struct cp_peer_message message = { .kind = CP_PEER_CANCEL };

  message.cp_peer_message_u.stream = attempt->stream;
  outbound->events->send (outbound->context, attempt->server, &message);
}

static void
cancel_all (struct mesh_call *call)
{
  for (unsigned i = 0; i < call->n_open; i++)
    send_cancel (call->open[i]);
}

/* Gives the call an answer of our own.  */
static void
call_refuse (struct mesh_call *call, unsigned status, uint64_t retry_us)
{
  GString *head = g_string_new (NULL);

  mesh_call_log_failed (call, status);
  platform_write_local_response (
      head, call->request_id[0] == '\0' ? NULL : call->request_id, retry_us);
  net_exchange_respond (call->exchange, status, head->str, NULL, 0);
  g_string_free (head, TRUE);
  call_free (call);
}

/* Keeps the failure that a server answered, for the case that no other attempt
   does better.  */
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
  struct cp_table_route *route = call->route;
  uint64_t took_us = now_us () - call->began_us;

  route->answer_bytes += ((int64_t)answer->body.cp_peer_body_len
                          - (int64_t)route->answer_bytes)
                         >> ANSWER_WEIGHT_SHIFT;
  outbound->counts.answered++;
  cp_histogram_add (outbound->latency, took_us);
  if (answer->status >= 400)
    mesh_call_log_failed (call, answer->status);
  else
    mesh_call_log_answer (call, answer->status, took_us);
  cancel_all (call);
  net_exchange_respond (call->exchange, answer->status, answer->head,
                        answer->body.cp_peer_body_val,
                        answer->body.cp_peer_body_len);
  call_free (call);
}

/* Ends a call for which nothing more may be tried.  */
void
mesh_call_give_up (struct mesh_call *call)
{
  struct mesh_outbound *outbound = call->outbound;
  double share
      = RETRY_LEAST
        + (RETRY_MOST - RETRY_LEAST) * cp_random_unit (outbound->random);

  if (call->failure.status != 0)
    {
      mesh_call_deliver (call, &call->failure);
      return;
    }
  if (call->may_have_run)
    {
      outbound->counts.failed++;
      call_refuse (call, call->reason == MESH_REASON_TIMEOUT ? 504 : 502, 0);
      return;
    }
  outbound->counts.refused++;
  call_refuse (call, 503,
               (uint64_t)(share * (double)call->route->objective_us));
}

/* The route's time-out or the caller's deadline has come.  */
static void
call_time_out (struct mesh_call *call)
{
  struct mesh_outbound *outbound = call->outbound;

  for (unsigned i = 0; i < call->n_open; i++)
    cp_server_count_end (call->open[i]->server, true, now_us ());
  cancel_all (call);
  call->reason = MESH_REASON_TIMEOUT;
  outbound->counts.timed_out++;
  call_refuse (call, 504, 0);
}

static void
fill_request (struct mesh_call *call, struct mesh_attempt *attempt,
              struct cp_peer_request *request)
{
  const GByteArray *body = call->exchange->request.body;
  uint64_t now = now_us ();

  request->stream = attempt->stream;
  request->request_id = (char *)call->request_id;
  request->instance = attempt->server->instance;
  request->left = call->deadline_us <= now
                      ? 1
                      : (u_int)((call->deadline_us - now) / CP_US_PER_MS);
  request->objective = (u_int)(call->route->objective_us / CP_US_PER_MS);
  request->priority = call->route->priority;
  request->idempotent = call->route->repeatable == CP_REPEAT_ANY;
  request->hedge = call->n_open > 1;
  request->head = call->head->str;
  request->body.cp_peer_body_len = body->len;
  request->body.cp_peer_body_val = (char *)body->data;
}

/* Sends the call to SERVER.  Returns false, and leaves nothing behind, when
   there is no way there.  */
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
  call->open[call->n_open++] = attempt;
  call->n_sent++;
  mesh_call_note_trial (call, attempt);
  call->tried[call->n_tried++] = cp_server_ref (server);
  server->own_in_flight++;
  server->sent_since++;
  g_hash_table_insert (outbound->attempts, &attempt->stream, attempt);
  outbound->counts.attempts++;
  fill_request (call, attempt, &message.cp_peer_message_u.request);
  mesh_call_log_send (call, attempt);
  if (outbound->events->send (outbound->context, server, &message))
    return true;
  mesh_attempt_free (attempt);
  call->n_sent--;
  return false;
}

/* Returns the server that the call should be sent to next, or NULL.  */
static struct cp_server *
next_server (const struct mesh_call *call)
{
  struct mesh_outbound *outbound = call->outbound;
  struct cp_server *tried[MESH_TRIED_MAX];
  struct cp_server_wish wish = {
    .service = call->service,
    .now_us = now_us (),
    .bytes = call->exchange->request.body->len + call->route->answer_bytes,
    .tried = tried,
  };

  if (call->n_tried >= MESH_TRIED_MAX)
    return NULL;
  for (unsigned i = 0; i < call->n_tried; i++)
    if (!call->trials[i].again)
      tried[wish.n_tried++] = call->tried[i];
  return cp_roster_pick (outbound->roster, &wish, outbound->random);
}

/* Tries the next server, or gives up.  */
void
mesh_call_try (struct mesh_call *call)
{
  struct cp_server *server = next_server (call);

  while (server != NULL && !call_send (call, server))
    server = next_server (call);
  if (server != NULL)
    return;
  if (call->n_tried == 0)
    call->reason = MESH_REASON_NO_SERVER;
  mesh_call_give_up (call);
}

/* Returns whether a call that a server may have seen may be sent again.  */
bool
mesh_call_may_repeat (struct mesh_call *call)
{
  struct mesh_outbound *outbound = call->outbound;
  const struct mesh_outbound_settings *settings = &outbound->settings;
  uint64_t now = now_us ();
  uint64_t needs_us
      = (uint64_t)(AGAIN_SHARE * (double)call->route->objective_us);

  if (call->may_have_run && call->route->repeatable != CP_REPEAT_ANY)
    return false;
  if (call->n_sent >= call->route->attempts
      || now + needs_us > call->deadline_us)
    return false;
  if (!cp_repeat_take (budget_of (outbound, call->service), now,
                       settings->repeat_ratio,
                       settings->repeat_slack / (outbound->peers->n_up + 1)))
    {
      outbound->counts.no_budget++;
      return false;
    }
  outbound->counts.repeats++;
  return true;
}

/* Returns whether the server of ATTEMPT is in trouble: its machine is slow, or
   the way there silent.  */
static bool
is_troubled (const struct mesh_attempt *attempt, uint64_t now)
{
  const struct cp_server *server = attempt->server;

  return server->load.slowness_percent >= SLOW_PERCENT
         || cp_server_silent_us (server, now) > SILENT_US;
}

/* Sends a call whose server is in trouble to a calm one as well.  */
static void
call_hedge (struct mesh_call *call)
{
  struct cp_server *server;

  if (call->n_open != 1 || !is_troubled (call->open[0], now_us ()))
    return;
  server = next_server (call);
  if (server == NULL || server->load.slowness_percent > CALM_PERCENT
      || cp_server_busy (server) > HEDGE_BUSY_SHARE
      || !mesh_call_may_repeat (call))
    return;
  call->outbound->counts.hedges++;
  call->reason = MESH_REASON_HEDGED;
  mesh_call_log_again (call);
  call_send (call, server);
}

/* Sends a call that may be repeated to another server while its first attempt
   may still be answered over a new link.  */
void
mesh_call_again_beside (struct mesh_call *call)
{
  struct cp_server *server;

  if (call->n_open != 1 || call->route->repeatable != CP_REPEAT_ANY)
    return;
  server = next_server (call);
  if (server == NULL || !mesh_call_may_repeat (call))
    return;
  call->reason = MESH_REASON_LINK_LOST;
  mesh_call_log_again (call);
  call_send (call, server);
}

static void on_call_timer (uv_timer_t *timer);

/* Sets the timer to the next look, or to the end.  */
static void
set_timer (struct mesh_call *call, uint64_t now)
{
  uint64_t at = call->deadline_us;

  if (call->look_us != 0 && call->look_us < at)
    at = call->look_us;
  uv_update_time (call->outbound->loop);
  uv_timer_start (&call->timer, on_call_timer,
                  at <= now ? 0 : (at - now) / CP_US_PER_MS, 0);
}

/* Asks another server beside the one that is in trouble, and sets the time of
   the next look.  */
static void
look (struct mesh_call *call)
{
  double objective_us = (double)call->route->objective_us;

  if (call->n_open == 1 && call->open[0]->lost)
    {
      call->look_us = now_us () + LOOK_LOST_US;
      mesh_call_again_beside (call);
      return;
    }
  call->look_us += (uint64_t)(LOOK_STEP * objective_us);
  if (call->look_us > call->began_us + (uint64_t)(LOOK_LAST * objective_us))
    call->look_us = 0;
  call_hedge (call);
}

static void
on_call_timer (uv_timer_t *timer)
{
  struct mesh_call *call = timer->data;
  uint64_t now = now_us ();

  if (now + CP_US_PER_MS > call->deadline_us)
    {
      call_time_out (call);
      return;
    }
  if (call->look_us != 0 && now + CP_US_PER_MS > call->look_us)
    look (call);
  set_timer (call, now);
}

void
mesh_call_look_soon (struct mesh_call *call)
{
  uint64_t now = now_us ();

  call->look_us = now + LOOK_LOST_US;
  set_timer (call, now);
}

bool
mesh_call_has_other (const struct mesh_call *call)
{
  return next_server (call) != NULL;
}

void
mesh_call_begin (struct mesh_call *call)
{
  const struct cp_table_route *route = call->route;
  uint64_t now = now_us ();

  cp_repeat_request (budget_of (call->outbound, call->service), now);
  if (call->deadline_us <= now)
    {
      call->reason = MESH_REASON_TIMEOUT;
      call_refuse (call, 504, 0);
      return;
    }
  if (route->repeatable == CP_REPEAT_ANY && route->attempts > 1)
    call->look_us = call->began_us
                    + (uint64_t)(LOOK_FIRST * (double)route->objective_us);
  set_timer (call, now);
  mesh_call_try (call);
}

void
mesh_call_abandon (struct mesh_call *call)
{
  mesh_call_log_abandoned (call);
  cancel_all (call);
  call_free (call);
}

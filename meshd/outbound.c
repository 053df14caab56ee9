#include <stdlib.h>
#include <string.h>

#include "lib/cleanup.h"
#include "lib/counter.h"
#include "meshd/log.h"
#include "meshd/outbound.h"
#include "platform/headers.h"

/* Servers that one call may ask, also when each turns it away.  */
#define TRIED_MAX 5

/* Least time left for another attempt, as a share of the objective.  An
   attempt takes about a third of it on a calm server.  */
#define AGAIN_SHARE 0.2

/* Attempts of one call that may be open at once.  */
#define OPEN_MAX 2

/* Times at which a call that may be repeated is looked at, as shares of its
   objective: first, then again after each step until the last.  A run takes
   about half of the objective on a calm server, so a second attempt that
   begins later than the last look seldom ends in time.  */
#define LOOK_FIRST 0.2
#define LOOK_STEP 0.1
#define LOOK_LAST 0.6

/* Slowness from which a server is left for another, and up to which the other
   is taken.  */
#define SLOW_PERCENT 200
#define CALM_PERCENT 130

/* Share of busy slots up to which a server is taken for a hedge, so that
   hedges do not push out first attempts.  */
#define HEDGE_BUSY_SHARE 0.7

/* An inbound side remembers every attempt for longer than this.  Only within
   it does "never seen" prove that an attempt has not run.  */
#define REMEMBERED_US UINT64_C (2500000)

/* How long a ping may be unanswered before the way counts as silent; the way
   there and back takes 2 ms.  */
#define SILENT_US UINT64_C (60000)

/* When a refused caller may come back, as shares of the objective, drawn at
   random between them so that callers do not return together.  */
#define RETRY_LEAST 0.1
#define RETRY_MOST 0.3

/* The same for a daemon that does not know its configuration yet; it reads
   the store within some tens of milliseconds.  */
#define RETRY_UNKNOWN_US UINT64_C (200000)

/* Limits before the first configuration, those of the platform's examples.  */
static const struct net_server_limits first_limits
    = { 16384, 64U << 20, 3000, 15000 };

struct mesh_call;

struct mesh_attempt
{
  uint64_t stream;
  struct mesh_call *call;
  struct cp_server *server;
  uint64_t sent_us;
  bool lost; /* the way to the server broke meanwhile */
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
  uint64_t look_us; /* when it is next looked at, or 0 */
  struct mesh_attempt *open[OPEN_MAX];
  unsigned n_open;
  struct cp_server *tried[TRIED_MAX];
  struct mesh_trial trials[TRIED_MAX]; /* of each server tried */
  unsigned n_tried;
  unsigned n_sent; /* attempts but those that reached no server */
  bool may_have_run;
  struct cp_peer_answer failure; /* a server's own, or status 0 */
  enum mesh_reason reason;       /* why the last attempt ended */
};

static void call_try (struct mesh_call *call);

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

static void
attempt_free (struct mesh_attempt *attempt)
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
    attempt_free (call->open[0]);
  call->exchange = NULL;
  uv_close ((uv_handle_t *)&call->timer, on_call_closed);
}

/* Returns the trials of CALL as a JSON list, which the caller frees.  */
static char *
trials_text (const struct mesh_call *call)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = 0; i < call->n_tried; i++)
    {
      const struct mesh_trial *trial = &call->trials[i];

      g_string_append_printf (
          text,
          "%s{\"server\":\"%s\",\"stream\":%" G_GUINT64_FORMAT
          ",\"after_us\":%" G_GUINT64_FORMAT ",\"busy\":%u,\"limit\":%u,"
          "\"slowness\":%u,\"report_age_us\":%" G_GUINT64_FORMAT
          ",\"end\":\"%s\"}",
          i == 0 ? "" : ",", call->tried[i]->instance, trial->stream,
          trial->sent_us - MIN (trial->sent_us, call->began_us), trial->busy,
          trial->limit, trial->slowness_percent, trial->report_age_us,
          mesh_reason_names[trial->end]);
    }
  return g_string_free (text, FALSE);
}

/* Writes the line from which the cause of a failure follows, whatever other
   lines were left out.  */
static void
log_failed (const struct mesh_call *call, unsigned status)
{
  CP_AUTO_FREE char *trials = NULL;
  char id[128];

  if (!mesh_log_due (MESH_LOG_FAILED))
    return;
  trials = trials_text (call);
  mesh_log (
      MESH_LOG_FAILED,
      "\"request\":\"%s\",\"status\":%u,\"reason\":\"%s\",\"route\":\"%s\","
      "\"service\":\"%s\",\"config\":%" G_GUINT64_FORMAT
      ",\"tried\":%u,\"sent\":%u,\"may_have_run\":%s,\"took_us\":"
      "%" G_GUINT64_FORMAT ",\"left_us\":%" G_GUINT64_FORMAT
      ",\"trials\":[%s]",
      mesh_log_quote (call->request_id, id, sizeof id), status,
      mesh_reason_names[call->reason], call->route->name, call->service,
      call->table->version, call->n_tried, call->n_sent,
      call->may_have_run ? "true" : "false", now_us () - call->began_us,
      call->deadline_us - MIN (call->deadline_us, now_us ()), trials);
}

/* Gives the call an answer of our own.  */
static void
call_refuse (struct mesh_call *call, unsigned status, uint64_t retry_us)
{
  GString *head = g_string_new (NULL);

  log_failed (call, status);
  platform_write_own (
      head, call->request_id[0] == '\0' ? NULL : call->request_id, retry_us);
  net_exchange_answer (call->exchange, status, head->str, NULL, 0);
  g_string_free (head, TRUE);
  call_free (call);
}

static void deliver (struct mesh_call *call,
                     const struct cp_peer_answer *answer);

/* Keeps the failure that a server answered, for the case that no other attempt
   does better.  */
static void
keep_failure (struct mesh_call *call, const struct cp_peer_answer *answer)
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

/* Ends a call for which nothing more may be tried.  */
static void
call_give_up (struct mesh_call *call)
{
  struct mesh_outbound *outbound = call->outbound;
  double share
      = RETRY_LEAST
        + (RETRY_MOST - RETRY_LEAST) * cp_random_unit (outbound->random);

  if (call->failure.status != 0)
    {
      deliver (call, &call->failure);
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

/* Notes what is known of SERVER for the log.  */
static void
note_trial (struct mesh_call *call, const struct mesh_attempt *attempt)
{
  const struct cp_server *server = attempt->server;

  call->trials[call->n_tried] = (struct mesh_trial){
    .stream = attempt->stream,
    .sent_us = attempt->sent_us,
    .report_age_us
    = server->load_us == 0 ? 0 : attempt->sent_us - server->load_us,
    .busy = server->load.running + server->load.queued + server->sent_since,
    .limit = server->load.limit,
    .slowness_percent = server->load.slowness_percent,
  };
}

static void
log_send (const struct mesh_call *call, const struct mesh_attempt *attempt)
{
  const struct mesh_trial *trial = &call->trials[call->n_tried - 1];
  char id[128];

  if (!mesh_log_due (MESH_LOG_SEND))
    return;
  mesh_log (
      MESH_LOG_SEND,
      "\"request\":\"%s\",\"stream\":%" G_GUINT64_FORMAT
      ",\"server\":\"%s\",\"service\":\"%s\",\"config\":%" G_GUINT64_FORMAT
      ",\"busy\":%u,\"limit\":%u,\"slowness\":%u,\"report_age_us\":"
      "%" G_GUINT64_FORMAT ",\"own\":%u,\"failures\":%.2f,\"tried\":%u",
      mesh_log_quote (call->request_id, id, sizeof id), attempt->stream,
      attempt->server->instance, call->service, call->table->version,
      trial->busy, trial->limit, trial->slowness_percent, trial->report_age_us,
      attempt->server->own_in_flight, attempt->server->failures,
      call->n_tried);
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
  note_trial (call, attempt);
  call->tried[call->n_tried++] = cp_server_ref (server);
  server->own_in_flight++;
  server->sent_since++;
  g_hash_table_insert (outbound->attempts, &attempt->stream, attempt);
  outbound->counts.attempts++;
  fill_request (call, attempt, &message.cp_peer_message_u.request);
  log_send (call, attempt);
  if (outbound->events->send (outbound->context, server, &message))
    return true;
  attempt_free (attempt);
  call->n_sent--;
  return false;
}

/* Returns the server that the call should be sent to next, or NULL.  */
static struct cp_server *
next_server (const struct mesh_call *call)
{
  struct mesh_outbound *outbound = call->outbound;
  struct cp_server_wish wish = {
    .service = call->service,
    .now_us = now_us (),
    .bytes = call->exchange->request.body->len + call->route->answer_bytes,
    .tried = call->tried,
    .n_tried = call->n_tried,
  };

  if (call->n_tried >= TRIED_MAX)
    return NULL;
  return cp_roster_pick (outbound->roster, &wish, outbound->random);
}

/* Tries the next server, or gives up.  */
static void
call_try (struct mesh_call *call)
{
  struct cp_server *server = next_server (call);

  while (server != NULL && !call_send (call, server))
    server = next_server (call);
  if (server != NULL)
    return;
  if (call->n_tried == 0)
    call->reason = MESH_REASON_NO_SERVER;
  call_give_up (call);
}

/* Returns whether a call that a server may have seen may be sent again.  */
static bool
may_repeat (struct mesh_call *call)
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

static void
log_again (const struct mesh_call *call)
{
  char id[128];

  if (mesh_log_due (MESH_LOG_AGAIN))
    mesh_log (MESH_LOG_AGAIN,
              "\"request\":\"%s\",\"reason\":\"%s\",\"tried\":%u,\"sent\":%u,"
              "\"server\":\"%s\"",
              mesh_log_quote (call->request_id, id, sizeof id),
              mesh_reason_names[call->reason], call->n_tried, call->n_sent,
              call->tried[call->n_tried - 1]->instance);
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
      || cp_server_busy (server) > HEDGE_BUSY_SHARE || !may_repeat (call))
    return;
  call->outbound->counts.hedges++;
  call->reason = MESH_REASON_HEDGED;
  log_again (call);
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

static void
on_call_timer (uv_timer_t *timer)
{
  struct mesh_call *call = timer->data;
  uint64_t now = now_us ();
  uint64_t objective_us = call->route->objective_us;

  if (now + CP_US_PER_MS > call->deadline_us)
    {
      call_time_out (call);
      return;
    }
  if (call->look_us != 0 && now + CP_US_PER_MS > call->look_us)
    {
      call->look_us += (uint64_t)(LOOK_STEP * (double)objective_us);
      if (call->look_us
          > call->began_us + (uint64_t)(LOOK_LAST * (double)objective_us))
        call->look_us = 0;
      call_hedge (call);
    }
  set_timer (call, now);
}

/* Notes for the log how ATTEMPT ended.  */
static void
note_end (const struct mesh_attempt *attempt, enum mesh_reason reason)
{
  struct mesh_call *call = attempt->call;

  for (unsigned i = 0; i < call->n_tried; i++)
    if (call->trials[i].stream == attempt->stream)
      call->trials[i].end = reason;
}

/* The open attempt ended without an answer.  REACHED: the server may have
   seen it; RAN: it may have run there.  */
static void
attempt_failed (struct mesh_attempt *attempt, enum mesh_reason reason,
                bool reached, bool ran)
{
  struct mesh_call *call = attempt->call;
  bool servers_fault = reached || reason == MESH_REASON_NO_SERVER;

  if (reason == MESH_REASON_OTHER_INSTANCE)
    attempt->server->replaced = true;
  if (servers_fault)
    cp_server_count_end (attempt->server, true, now_us ());
  note_end (attempt, reason);
  attempt_free (attempt);
  call->reason = reason;
  call->n_sent -= !reached;
  call->may_have_run = call->may_have_run || ran;
  if (call->n_open > 0)
    return;
  if (reached && !may_repeat (call))
    {
      call_give_up (call);
      return;
    }
  log_again (call);
  call_try (call);
}

/* Returns whether a refusal for REASON leaves it open that ATTEMPT ran: the
   inbound side does not know it, and may have forgotten it.  */
static bool
may_be_forgotten (const struct mesh_attempt *attempt, enum mesh_reason reason)
{
  return reason == MESH_REASON_UNKNOWN_ATTEMPT
         && (attempt->call->route->repeatable == CP_REPEAT_ANY
             || now_us () - attempt->sent_us > REMEMBERED_US);
}

static void
take_refusal (struct mesh_attempt *attempt,
              const struct cp_peer_refusal *refusal)
{
  enum mesh_reason reason = MIN (refusal->reason, MESH_REASON_COUNT - 1U);
  bool forgotten = may_be_forgotten (attempt, reason);

  attempt_failed (attempt, reason, refusal->reached || forgotten, forgotten);
}

static struct mesh_attempt *
find_attempt (struct mesh_outbound *outbound, uint64_t stream)
{
  return g_hash_table_lookup (outbound->attempts, &stream);
}

static void
take_load (struct mesh_outbound *outbound, struct cp_server *server,
           const struct cp_peer_load *load)
{
  struct cp_server_load to;

  if (server == NULL)
    server = cp_roster_find (outbound->roster, load->instance);
  if (server == NULL)
    return;
  mesh_load_read (&to, load);
  cp_server_take_load (server, &to, now_us ());
}

/* Weight of one answer in the moving mean of a route's answer bytes.  */
#define ANSWER_WEIGHT_SHIFT 4

static void
deliver (struct mesh_call *call, const struct cp_peer_answer *answer)
{
  struct mesh_outbound *outbound = call->outbound;
  struct cp_table_route *route = call->route;
  uint64_t took_us = now_us () - call->began_us;
  char id[128];

  route->answer_bytes += ((int64_t)answer->body.cp_peer_body_len
                          - (int64_t)route->answer_bytes)
                         >> ANSWER_WEIGHT_SHIFT;
  outbound->counts.answered++;
  cp_histogram_add (outbound->latency, took_us);
  if (answer->status >= 400)
    log_failed (call, answer->status);
  else if (mesh_log_due (MESH_LOG_ANSWER))
    mesh_log (MESH_LOG_ANSWER,
              "\"request\":\"%s\",\"status\":%u,\"tried\":%u,\"took_us\":"
              "%" G_GUINT64_FORMAT,
              mesh_log_quote (call->request_id, id, sizeof id), answer->status,
              call->n_tried, took_us);
  net_exchange_answer (call->exchange, answer->status, answer->head,
                       answer->body.cp_peer_body_val,
                       answer->body.cp_peer_body_len);
  call_free (call);
}

static void
take_answer (struct mesh_outbound *outbound,
             const struct cp_peer_answer *answer)
{
  struct mesh_attempt *attempt = find_attempt (outbound, answer->stream);
  struct mesh_call *call;
  bool failed = answer->status >= 500;

  if (attempt == NULL)
    return;
  call = attempt->call;
  take_load (outbound, attempt->server, &answer->load);
  cp_server_count_end (attempt->server, failed, now_us ());
  if (failed && call->route->repeatable == CP_REPEAT_ANY
      && answer->status != 504)
    {
      call->may_have_run = true;
      call->reason = MESH_REASON_NONE;
      keep_failure (call, answer);
      if (call->n_open > 1)
        {
          attempt_free (attempt);
          return;
        }
      if (may_repeat (call))
        {
          attempt_free (attempt);
          log_again (call);
          call_try (call);
          return;
        }
    }
  attempt_free (attempt);
  cancel_all (call);
  deliver (call, answer);
}

void
mesh_outbound_receive (struct mesh_outbound *outbound,
                       const struct cp_peer_message *message)
{
  const struct cp_peer_refusal *refusal = &message->cp_peer_message_u.refusal;
  const struct cp_peer_failure *failure = &message->cp_peer_message_u.failure;
  struct mesh_attempt *attempt;

  switch (message->kind)
    {
    case CP_PEER_ANSWER:
      take_answer (outbound, &message->cp_peer_message_u.answer);
      break;
    case CP_PEER_REFUSAL:
      attempt = find_attempt (outbound, refusal->stream);
      if (attempt == NULL)
        break;
      take_load (outbound, attempt->server, &refusal->load);
      take_refusal (attempt, refusal);
      break;
    case CP_PEER_FAILURE:
      attempt = find_attempt (outbound, failure->stream);
      if (attempt == NULL)
        break;
      take_load (outbound, attempt->server, &failure->load);
      attempt_failed (attempt, MIN (failure->reason, MESH_REASON_COUNT - 1U),
                      true, true);
      break;
    case CP_PEER_LOAD:
      take_load (outbound, NULL, &message->cp_peer_message_u.load);
      break;
    default:
      break;
    }
}

static struct mesh_attempt **
attempts_at (struct mesh_outbound *outbound, const void *way, unsigned *count)
{
  GPtrArray *found = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, outbound->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct mesh_attempt *)value)->server->owner == way)
      g_ptr_array_add (found, value);
  *count = found->len;
  return (struct mesh_attempt **)g_ptr_array_free (found, FALSE);
}

/* Sends a call that may be repeated to another server while its first attempt
   may still be answered over a new link.  */
static void
call_again_beside (struct mesh_call *call)
{
  struct cp_server *server;

  if (call->n_open != 1 || call->route->repeatable != CP_REPEAT_ANY)
    return;
  server = next_server (call);
  if (server == NULL || !may_repeat (call))
    return;
  call->reason = MESH_REASON_LINK_LOST;
  log_again (call);
  call_send (call, server);
}

void
mesh_outbound_lost (struct mesh_outbound *outbound, const void *way)
{
  unsigned count;
  struct mesh_attempt **found = attempts_at (outbound, way, &count);

  for (unsigned i = 0; i < count; i++)
    if (found[i]->lost)
      attempt_failed (found[i], MESH_REASON_LINK_LOST, true, true);
    else
      {
        found[i]->lost = true;
        call_again_beside (found[i]->call);
      }
  g_free (found);
}

void
mesh_outbound_back (struct mesh_outbound *outbound, const void *way,
                    bool restarted)
{
  unsigned count;
  struct mesh_attempt **found = attempts_at (outbound, way, &count);

  for (unsigned i = 0; i < count; i++)
    {
      struct cp_peer_message message = { .kind = CP_PEER_RESUME };

      if (!found[i]->lost)
        continue;
      found[i]->lost = false;
      message.cp_peer_message_u.stream = found[i]->stream;
      if (restarted)
        attempt_failed (found[i], MESH_REASON_RESTARTED, true, true);
      else
        outbound->events->send (outbound->context, found[i]->server, &message);
    }
  g_free (found);
}

/* Answers EXCHANGE without making it a call.  */
static void
answer_own (struct mesh_outbound *outbound, struct net_exchange *exchange,
            unsigned status, const char *reason, uint64_t retry_us)
{
  struct platform_request says;
  GString *head = g_string_new (NULL);
  char id[128];

  platform_read_request (&says, &exchange->request.headers);
  platform_write_own (head, says.request_id, retry_us);
  outbound->counts.refused++;
  if (mesh_log_due (MESH_LOG_REFUSED))
    mesh_log (MESH_LOG_REFUSED,
              "\"request\":\"%s\",\"status\":%u,\"reason\":\"%s\","
              "\"config\":%" G_GUINT64_FORMAT,
              mesh_log_quote (says.request_id, id, sizeof id), status, reason,
              outbound->table == NULL ? 0 : outbound->table->version);
  net_exchange_answer (exchange, status, head->str, NULL, 0);
  g_string_free (head, TRUE);
}

static struct mesh_call *
call_create (struct mesh_outbound *outbound, struct net_exchange *exchange,
             struct cp_table_route *route)
{
  struct mesh_call *call = g_new0 (struct mesh_call, 1);
  struct platform_request says;
  uint64_t now = now_us ();
  uint64_t reading_us
      = (exchange->read_ms - exchange->began_ms) * CP_US_PER_MS;
  uint64_t left_us;

  platform_read_request (&says, &exchange->request.headers);
  left_us = says.left_us > 0 ? MIN (says.left_us, route->timeout_us)
                             : route->timeout_us;
  call->outbound = outbound;
  call->exchange = exchange;
  call->table = cp_table_ref (outbound->table);
  call->route = route;
  call->service = cp_table_pick_part (route);
  call->request_id = says.request_id == NULL ? "" : says.request_id;
  call->began_us = now - MIN (now, reading_us);
  call->deadline_us = call->began_us + left_us;
  call->head = g_string_sized_new (512);
  g_string_append_printf (
      call->head, "%s %s HTTP/1.1\r\n",
      http_method_str ((enum http_method)exchange->request.parser.method),
      exchange->request.target->str);
  platform_write_request (call->head, &exchange->request.headers,
                          outbound->settings.service);
  exchange->owner = call;
  uv_timer_init (outbound->loop, &call->timer);
  call->timer.data = call;
  return call;
}

static void
on_request (void *context, struct net_exchange *exchange)
{
  struct mesh_outbound *outbound = context;
  const struct net_message *request = &exchange->request;
  struct cp_table_route *route;
  struct mesh_call *call;
  uint64_t now;

  outbound->counts.calls++;
  if (outbound->table == NULL)
    {
      answer_own (outbound, exchange, 503, "no configuration yet",
                  RETRY_UNKNOWN_US);
      return;
    }
  if (outbound->server.kept_bytes > outbound->settings.body_bytes_max)
    {
      answer_own (outbound, exchange, 503, "bodies take too much memory",
                  RETRY_UNKNOWN_US);
      return;
    }
  route = cp_table_route (outbound->table,
                          net_headers_find (&request->headers, "Host"),
                          request->target->str);
  if (route == NULL)
    {
      answer_own (outbound, exchange, 404, "no route", 0);
      return;
    }
  call = call_create (outbound, exchange, route);
  now = now_us ();
  cp_repeat_request (budget_of (outbound, call->service), now);
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
  call_try (call);
}

static void
on_abandoned (void *context, struct net_exchange *exchange)
{
  struct mesh_outbound *outbound = context;
  struct mesh_call *call = exchange->owner;
  char id[128];

  outbound->counts.abandoned++;
  if (mesh_log_due (MESH_LOG_ABANDONED))
    mesh_log (MESH_LOG_ABANDONED,
              "\"request\":\"%s\",\"tried\":%u,\"took_us\":%" G_GUINT64_FORMAT,
              mesh_log_quote (call->request_id, id, sizeof id), call->n_tried,
              now_us () - call->began_us);
  cancel_all (call);
  call_free (call);
}

static void
on_refused (void *context, unsigned status, const char *reason)
{
  struct mesh_outbound *outbound = context;

  outbound->counts.refused++;
  if (mesh_log_due (MESH_LOG_REFUSED))
    mesh_log (MESH_LOG_REFUSED, "\"status\":%u,\"reason\":\"%s\"", status,
              reason);
}

static const struct net_server_events server_events
    = { on_request, on_abandoned, on_refused };

int
mesh_outbound_init (struct mesh_outbound *outbound, uv_loop_t *loop,
                    const struct cp_address *address,
                    const struct mesh_outbound_settings *settings,
                    struct cp_roster *roster, struct mesh_peers *peers,
                    const struct cp_random *random,
                    const struct mesh_outbound_events *events, void *context)
{
  *outbound = (struct mesh_outbound){ .loop = loop,
                                      .settings = *settings,
                                      .roster = roster,
                                      .peers = peers,
                                      .random = random,
                                      .events = events,
                                      .context = context };
  outbound->attempts = g_hash_table_new (g_int64_hash, g_int64_equal);
  outbound->budgets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  outbound->latency = g_new0 (struct cp_histogram, 1);
  return net_server_init (&outbound->server, loop, address, &first_limits,
                          &server_events, outbound);
}

void
mesh_outbound_set_table (struct mesh_outbound *outbound,
                         struct cp_table *table)
{
  const struct cp_client_limits *limits = &table->limits;

  cp_table_unref (outbound->table);
  outbound->table = cp_table_ref (table);
  if (limits->head_bytes > 0)
    outbound->server.limits = (struct net_server_limits){
      .head_bytes = limits->head_bytes,
      .body_bytes = limits->body_bytes,
      .head_ms = limits->head_us / CP_US_PER_MS,
      .idle_ms = limits->idle_us / CP_US_PER_MS,
    };
}

void
mesh_outbound_stop (struct mesh_outbound *outbound)
{
  net_server_finish (&outbound->server);
}

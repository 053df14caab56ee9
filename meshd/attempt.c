/* Processes the results of attempts, and the loss and return of connections to
   peers.  */
#include "meshd/log.h"
#include "meshd/outbound_internal.h"

/* An inbound side remembers every attempt for longer than this.  Only within
   this time does "unknown attempt" prove that an attempt has not run.  */
#define UNKNOWN_PROVES_UNRUN_US UINT64_C (2500000)

/* Weight of one answer in a route's mean time of attempts, as a right
   shift.  */
#define WORK_WEIGHT_SHIFT 4

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

/* Ends ATTEMPT, which got no answer.  REACHED: the server may have received
   it; MAY_HAVE_RUN: the server may have run it.  */
static void
attempt_failed (struct mesh_attempt *attempt, enum mesh_reason reason,
                bool reached, bool may_have_run)
{
  struct mesh_call *call = attempt->call;
  bool counts_as_failure = reached || reason == MESH_REASON_NO_SERVER;

  if (reason == MESH_REASON_OTHER_INSTANCE)
    cp_server_pool_mark_replaced (call->outbound->pool, attempt->server);
  if (counts_as_failure)
    cp_server_record_outcome (attempt->server, true, now_us ());
  if (reached)
    cp_repeat_budgets_record_attempt (call->outbound->budgets, call->service,
                                      reason == MESH_REASON_SERVER_FULL);
  else
    mesh_attempt_give_back_token (attempt);
  mesh_call_record_end (attempt, reason);
  mesh_attempt_free (attempt);
  call->reason = reason;
  call->n_sent -= !reached;
  call->may_have_run = call->may_have_run || may_have_run;
  if (call->n_open > 0)
    return;
  if (reason == MESH_REASON_HELD_BACK
      || (reached && !mesh_call_take_repeat (call)))
    {
      mesh_call_give_up (call);
      return;
    }
  mesh_call_log_next_attempt (call);
  mesh_call_try_next (call);
}

/* Returns whether ATTEMPT may have run despite a refusal for REASON: the
   inbound side does not know it, but may have forgotten it.  */
static bool
may_be_forgotten (const struct mesh_attempt *attempt, enum mesh_reason reason)
{
  return reason == MESH_REASON_UNKNOWN_ATTEMPT
         && (attempt->call->route->idempotency == CP_IDEMPOTENT
             || now_us () - attempt->sent_us > UNKNOWN_PROVES_UNRUN_US);
}

static void
receive_refusal (struct mesh_attempt *attempt,
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
receive_load (struct mesh_outbound *outbound, struct cp_server *server,
              const struct cp_peer_load *load)
{
  struct cp_server_load to;

  if (server == NULL)
    server = cp_server_pool_find_id (outbound->pool, load->server);
  if (server == NULL)
    return;
  mesh_load_from_wire (&to, load);
  cp_server_set_load (server, &to, now_us ());
}

/* Counts the attempts that ATTEMPT overtook, although sent later, as late:
   they were repeated for being slow.  */
static void
record_overtaken (const struct mesh_attempt *attempt)
{
  const struct mesh_call *call = attempt->call;

  for (unsigned i = 0; i < call->n_open; i++)
    if (call->open[i]->sent_us < attempt->sent_us)
      cp_lateness_add (&call->route->lateness, call->open[i]->server_was_slow,
                       true);
}

/* Adds the time of ATTEMPT, which was answered, to what is known of its
   route.  */
static void
record_time (const struct mesh_attempt *attempt)
{
  const struct mesh_call *call = attempt->call;
  struct cp_route_table_entry *route = call->route;
  uint64_t now = now_us ();
  uint64_t took_us = now - attempt->sent_us;

  if (call->n_tried == 1)
    cp_lateness_add (&route->lateness, attempt->server_was_slow,
                     now - call->began_us > route->objective_us);
  else if (call->n_open > 1)
    record_overtaken (attempt);
  if (attempt->server_was_slow)
    return;
  if (route->work_us == 0)
    route->work_us = took_us;
  else
    route->work_us += (uint64_t)(((int64_t)took_us - (int64_t)route->work_us)
                                 >> WORK_WEIGHT_SHIFT);
}

static void
receive_answer (struct mesh_outbound *outbound,
                const struct cp_peer_answer *answer)
{
  struct mesh_attempt *attempt = find_attempt (outbound, answer->stream);
  struct mesh_call *call;
  bool failed = answer->status >= 500;

  if (attempt == NULL)
    return;
  call = attempt->call;
  receive_load (outbound, attempt->server, &answer->load);
  cp_server_record_outcome (attempt->server, failed, now_us ());
  cp_repeat_budgets_record_attempt (outbound->budgets, call->service, false);
  if (failed && call->route->idempotency == CP_IDEMPOTENT
      && answer->status != 504)
    {
      call->may_have_run = true;
      call->reason = MESH_REASON_NONE;
      mesh_call_keep_failure (call, answer);
      if (call->n_open > 1)
        {
          mesh_attempt_free (attempt);
          return;
        }
      if (mesh_call_take_repeat (call))
        {
          mesh_attempt_free (attempt);
          mesh_call_log_next_attempt (call);
          mesh_call_try_next (call);
          return;
        }
    }
  if (!failed)
    record_time (attempt);
  mesh_attempt_free (attempt);
  mesh_call_deliver (call, answer);
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
      receive_answer (outbound, &message->cp_peer_message_u.answer);
      break;
    case CP_PEER_REFUSAL:
      attempt = find_attempt (outbound, refusal->stream);
      if (attempt == NULL)
        break;
      receive_load (outbound, attempt->server, &refusal->load);
      receive_refusal (attempt, refusal);
      break;
    case CP_PEER_FAILURE:
      attempt = find_attempt (outbound, failure->stream);
      if (attempt == NULL)
        break;
      receive_load (outbound, attempt->server, &failure->load);
      attempt_failed (attempt, MIN (failure->reason, MESH_REASON_COUNT - 1U),
                      true, true);
      break;
    case CP_PEER_LOAD:
      receive_load (outbound, NULL, &message->cp_peer_message_u.load);
      break;
    default:
      break;
    }
}

/* Returns the streams of the attempts through PEER.  The end of one may end
   the calls of others, so each is looked up when its turn comes.  The caller
   frees the list.  */
static GArray *
streams_through (const struct mesh_outbound *outbound, const void *peer)
{
  GArray *streams = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, outbound->attempts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct mesh_attempt *attempt = value;

      if (attempt->server->user_data == peer)
        g_array_append_val (streams, attempt->stream);
    }
  return streams;
}

/* Handles the failure of another link to the peer of ATTEMPT.  If no process
   listens there, nobody knows the attempt any more.  Otherwise an attempt that
   must not be repeated waits for the next link, since only that peer can
   answer it; so does a repeatable one for which no other server is left.  */
static void
handle_repeated_link_loss (struct mesh_attempt *attempt, bool refused)
{
  struct mesh_call *call = attempt->call;
  bool repeatable = call->route->idempotency == CP_IDEMPOTENT;
  bool no_other_server
      = call->n_open == 1 && !mesh_call_has_untried_server (call);

  if (refused || (repeatable && !no_other_server))
    attempt_failed (attempt, MESH_REASON_LINK_LOST, true, true);
  else if (repeatable)
    mesh_call_check_soon (call);
}

void
mesh_outbound_peer_down (struct mesh_outbound *outbound, const void *peer,
                         bool refused)
{
  g_autoptr (GArray) streams = streams_through (outbound, peer);

  for (guint i = 0; i < streams->len; i++)
    {
      struct mesh_attempt *attempt
          = find_attempt (outbound, g_array_index (streams, uint64_t, i));

      if (attempt == NULL)
        continue;
      if (attempt->link_lost)
        handle_repeated_link_loss (attempt, refused);
      else
        {
          attempt->link_lost = true;
          mesh_call_try_in_parallel (attempt->call);
        }
    }
}

void
mesh_outbound_peer_up (struct mesh_outbound *outbound, const void *peer,
                       bool restarted)
{
  g_autoptr (GArray) streams = streams_through (outbound, peer);

  for (guint i = 0; i < streams->len; i++)
    {
      struct mesh_attempt *attempt
          = find_attempt (outbound, g_array_index (streams, uint64_t, i));
      struct cp_peer_message message = { .kind = CP_PEER_RESUME };

      if (attempt == NULL || !attempt->link_lost)
        continue;
      attempt->link_lost = false;
      message.cp_peer_message_u.stream = attempt->stream;
      if (restarted)
        attempt_failed (attempt, MESH_REASON_RESTARTED, true, true);
      else
        outbound->events->send (outbound->context, attempt->server, &message);
    }
}

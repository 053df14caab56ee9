/* What inbound sides say of attempts, and ways that break and come back.  */
#include "meshd/log.h"
#include "meshd/outbound_internal.h"

/* An inbound side remembers every attempt for longer than this.  Only within
   it does "never seen" prove that an attempt has not run.  */
#define REMEMBERED_US UINT64_C (2500000)

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
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
    cp_server_pool_mark_replaced (call->outbound->roster, attempt->server);
  if (servers_fault)
    cp_server_record_outcome (attempt->server, true, now_us ());
  mesh_call_note_end (attempt, reason);
  mesh_attempt_free (attempt);
  call->reason = reason;
  call->n_sent -= !reached;
  call->may_have_run = call->may_have_run || ran;
  if (call->n_open > 0)
    return;
  if (reached && !mesh_call_may_repeat (call))
    {
      mesh_call_give_up (call);
      return;
    }
  mesh_call_log_again (call);
  mesh_call_try (call);
}

/* Returns whether a refusal for REASON leaves it open that ATTEMPT ran: the
   inbound side does not know it, and may have forgotten it.  */
static bool
may_be_forgotten (const struct mesh_attempt *attempt, enum mesh_reason reason)
{
  return reason == MESH_REASON_UNKNOWN_ATTEMPT
         && (attempt->call->route->idempotency == CP_IDEMPOTENT
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
    server = cp_server_pool_find (outbound->roster, load->instance);
  if (server == NULL)
    return;
  mesh_load_read (&to, load);
  cp_server_set_load (server, &to, now_us ());
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
  cp_server_record_outcome (attempt->server, failed, now_us ());
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
      if (mesh_call_may_repeat (call))
        {
          mesh_attempt_free (attempt);
          mesh_call_log_again (call);
          mesh_call_try (call);
          return;
        }
    }
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
    if (((struct mesh_attempt *)value)->server->user_data == way)
      g_ptr_array_add (found, value);
  *count = found->len;
  return (struct mesh_attempt **)g_ptr_array_free (found, FALSE);
}

/* A new link of ATTEMPT's way failed too.  When no process is there, nobody
   knows of the attempt any more.  Else what may not be repeated waits for
   the next one, since nobody else can answer it; so does what no other server
   can be asked for.  */
static void
lost_again (struct mesh_attempt *attempt, bool refused)
{
  struct mesh_call *call = attempt->call;
  bool repeatable = call->route->idempotency == CP_IDEMPOTENT;
  bool alone = call->n_open == 1 && !mesh_call_has_other (call);

  if (refused || (repeatable && !alone))
    attempt_failed (attempt, MESH_REASON_LINK_LOST, true, true);
  else if (repeatable)
    mesh_call_look_soon (call);
}

void
mesh_outbound_lost (struct mesh_outbound *outbound, const void *way,
                    bool refused)
{
  unsigned count;
  struct mesh_attempt **found = attempts_at (outbound, way, &count);

  for (unsigned i = 0; i < count; i++)
    if (found[i]->lost)
      lost_again (found[i], refused);
    else
      {
        found[i]->lost = true;
        mesh_call_again_beside (found[i]->call);
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

/* The retry budget of calls.  */
#include "meshd/outbound_internal.h"

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

bool
mesh_call_take_token (struct mesh_call *call)
{
  struct mesh_outbound *outbound = call->outbound;
  uint64_t now = now_us ();

  if (call->token_us != 0 || (call->n_sent == 0 && !call->parent.repeat))
    return true;
  if (!cp_repeat_budgets_take (outbound->budgets, call->service, now))
    {
      if (call->n_sent > 0)
        outbound->counts.no_budget++;
      else
        outbound->counts.repeat_calls_no_budget++;
      mesh_call_log_no_retry (call, "no-budget");
      return false;
    }
  call->token_us = now;
  return true;
}

void
mesh_attempt_give_back_token (struct mesh_attempt *attempt)
{
  struct mesh_call *call = attempt->call;

  if (attempt->token_us != 0)
    cp_repeat_budgets_give_back (call->outbound->budgets, call->service,
                                 attempt->token_us);
  attempt->token_us = 0;
}

void
mesh_call_give_back_token (struct mesh_call *call)
{
  if (call->token_us != 0)
    cp_repeat_budgets_give_back (call->outbound->budgets, call->service,
                                 call->token_us);
  call->token_us = 0;
}

bool
mesh_call_take_repeat (struct mesh_call *call)
{
  struct mesh_outbound *outbound = call->outbound;
  uint64_t needs_us
      = (uint64_t)(MESH_RETRY_TIME_SHARE * (double)call->route->objective_us);

  if (mesh_suspects_hold_back (outbound->suspects, call->digest))
    return false;
  if (call->may_have_run && call->route->idempotency != CP_IDEMPOTENT)
    return false;
  if (call->n_sent >= call->route->attempts
      || now_us () + needs_us > call->deadline_us)
    return false;
  if (!cp_repeat_budgets_allow_retry (outbound->budgets, call->service,
                                      outbound->random))
    {
      outbound->counts.stopped++;
      mesh_call_log_no_retry (call, "service-rejects");
      return false;
    }
  if (!mesh_call_take_token (call))
    return false;
  outbound->counts.repeats++;
  return true;
}

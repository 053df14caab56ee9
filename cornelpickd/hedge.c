#include <string.h>

#include "cornelpickd/cornelpickd.h"

/* The first and the second attempt of a hedged call.  */
struct hedged_pair
{
  struct attempt *attempts[UPSTREAM_HEDGED];
  struct attempt_request outgoing[UPSTREAM_HEDGED];
};

/* Returns whether the whole body has been read and kept, so that a second
   attempt can send it.  */
static bool
body_available (const struct call *call)
{
  return call->request->body_size == 0
         || (call->request->body_ended && !call->body_incomplete);
}

static bool
may_hedge (const struct call *call)
{
  return call->idempotent && call->may_retry && body_available (call)
         && !call->answer.head_sent
         && configuration_usable (&call->outbound->daemon->configuration);
}

/* Picks a target for the second attempt and starts it.  Returns NULL when no
   second attempt may be made.  */
static const struct upstream_call *
begin_second (void *context)
{
  struct hedged_pair *pair = context;
  struct attempt *second = pair->attempts[1];
  struct call *call = second->call;

  if (!may_hedge (call) || !cp_hedge_take_token (&call->policy->hedge))
    return NULL;
  if (!call_pick_target (call, second))
    {
      cp_hedge_return_token (&call->policy->hedge);
      return NULL;
    }
  daemon_count (call->outbound->daemon, COUNT_HEDGES);
  call->hedging = true;
  attempt_begin (second, &pair->outgoing[1]);
  return &pair->outgoing[1].upstream;
}

/* Returns the index of the attempt whose answer is sent, or -1.  */
static int
chosen_index (void *context)
{
  const struct hedged_pair *pair = context;

  for (int i = 0; i < UPSTREAM_HEDGED; i++)
    if (pair->attempts[i]->chosen)
      return i;
  return -1;
}

/* Called when either attempt has ended.  */
static void
end_hedging (void *context)
{
  struct hedged_pair *pair = context;

  pair->attempts[0]->call->hedging = false;
}

unsigned
hedge_attempts (struct attempt *first, struct attempt *second,
                enum upstream_result results[UPSTREAM_HEDGED])
{
  struct call *call = first->call;
  struct upstream_pool *pool = &call->outbound->daemon->upstreams;
  struct hedged_pair pair = { .attempts = { first, second } };
  struct upstream_hedge hedge = { .context = &pair,
                                  .begin = begin_second,
                                  .chosen = chosen_index,
                                  .ended = end_hedging };
  unsigned count = 1;

  attempt_begin (first, &pair.outgoing[0]);
  if (call->hedge_after_us == 0)
    results[0] = upstream_perform (pool, &pair.outgoing[0].upstream);
  else
    {
      hedge.start_us = first->started_us + call->hedge_after_us;
      count = upstream_perform_hedged (pool, &pair.outgoing[0].upstream,
                                       &hedge, results);
    }
  for (unsigned i = 0; i < count; i++)
    attempt_release (&pair.outgoing[i]);
  if (count > 1 && second->chosen)
    cp_hedge_count_win (&call->policy->hedge);
  return count;
}

#include "lib/balancer.h"
#include "lib/cleanup.h"

/* A target whose report is older than this is queried by RPC.  */
#define MAX_REPORT_AGE_US (1 * CP_US_PER_S)

static bool
is_query_due (const struct cp_target_state *state, uint64_t now_us)
{
  if (!state->target.has_daemon
      || (state->last_query_us != 0
          && now_us < state->last_query_us + CP_QUERY_INTERVAL_US))
    return false;
  return state->report_us == 0 || state->health.state == CP_HEALTH_LEAVING
         || (state->health.state == CP_HEALTH_GONE
             && now_us >= state->health.until_us);
}

/* Returns the target with the oldest report, if that is too old and calls have
   been picked since the last such query, else NULL.  */
static struct cp_target_state *
find_stale_target (struct cp_balancer *balancer, uint64_t now_us)
{
  struct cp_target_state *oldest = NULL;

  if (balancer->sequence == balancer->last_query_sequence)
    return NULL;
  for (unsigned i = 0; i < balancer->n_targets; i++)
    {
      struct cp_target_state *state = &balancer->targets[i];

      if (state->target.has_daemon && state->report_us != 0
          && now_us > state->report_us + MAX_REPORT_AGE_US
          && (oldest == NULL || state->report_us < oldest->report_us))
        oldest = state;
    }
  if (oldest != NULL)
    balancer->last_query_sequence = balancer->sequence;
  return oldest;
}

unsigned
cp_balancer_due_queries (struct cp_balancer *balancer,
                         struct cp_target *targets, unsigned max)
{
  uint64_t now_us;
  struct cp_target_state *stale;
  unsigned count = 0;

  CP_LOCK_SCOPE (&balancer->lock);
  now_us = cp_clock_now_us (balancer->clock);
  for (unsigned i = 0; i < balancer->n_targets && count < max; i++)
    {
      struct cp_target_state *state = &balancer->targets[i];

      if (!is_query_due (state, now_us))
        continue;
      state->last_query_us = now_us;
      targets[count++] = state->target;
    }
  stale = find_stale_target (balancer, now_us);
  if (stale != NULL && count < max && stale->last_query_us != now_us)
    {
      stale->last_query_us = now_us;
      targets[count++] = stale->target;
    }
  return count;
}

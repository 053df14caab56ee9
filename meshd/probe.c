/* How often the local server is probed by health checks.  */
#include "meshd/inbound_internal.h"

/* Interval between probes of a server that refuses connections.  Most of them
   are refused, which costs little.  */
#define PROBE_DOWN_INTERVAL_US UINT64_C (100000)

/* Interval between probes of a server that has not answered yet.  */
#define PROBE_UNPROVED_INTERVAL_US UINT64_C (300000)

/* Interval after which a server that has sent no load is probed for its
   slowness, which changes about every 300 ms according to the site files.  */
#define PROBE_INTERVAL_US UINT64_C (50000)

/* A server that has had no job for this long is not probed.  */
#define PROBE_STOP_US UINT64_C (5000000)

/* Interval between probes of a server that was slow when it got its last job.
   It gets none as long as it counts as slow, so it must be found to be normal
   again without one.  */
#define PROBE_SLOW_INTERVAL_US UINT64_C (200000)

/* Interval between probes of a server that gets requests and would tolerate
   only some if it were cold, which it may become unannounced.  A probe costs
   it about 6 ms.  */
#define PROBE_WARM_UP_INTERVAL_US UINT64_C (200000)

/* Probes of a server that limits its rate, as a share of what it takes.  Those
   of a server that takes next to nothing are no further apart than the
   maximum.
 */
#define PROBE_RATE_SHARE 0.25
#define PROBE_RATE_INTERVAL_MAX_US 2e6

static bool
is_slow (const struct mesh_inbound *inbound)
{
  return inbound->slowness_percent > CP_SLOWNESS_NORMAL_PERCENT;
}

/* Returns whether the server must be probed for its warm-up.  */
static bool
may_turn_cold (const struct mesh_inbound *inbound, uint64_t now)
{
  const struct cp_warm_up *warm_up = &inbound->queue.warm_up;

  return warm_up->per_s > 0
         && (!warm_up->proved || now - inbound->last_job_us <= PROBE_STOP_US);
}

/* Returns the interval between probes that the load and state of the server
   require; 0 for no probes.  */
static uint64_t
required_interval (const struct mesh_inbound *inbound, uint64_t now)
{
  if (!inbound->reached)
    return PROBE_DOWN_INTERVAL_US;
  if (inbound->queue.unproved)
    return PROBE_UNPROVED_INTERVAL_US;
  if (now - inbound->slowness_read_us < PROBE_INTERVAL_US)
    return 0;
  if (now - inbound->last_job_us <= PROBE_STOP_US)
    return PROBE_INTERVAL_US;
  return is_slow (inbound) ? PROBE_SLOW_INTERVAL_US : 0;
}

uint64_t
mesh_probe_interval_us (const struct mesh_inbound *inbound, uint64_t now)
{
  const struct cp_rate_limit *rate = &inbound->queue.rate;
  uint64_t required_us = required_interval (inbound, now);
  double allowed_us;

  if (may_turn_cold (inbound, now)
      && (required_us == 0 || required_us > PROBE_WARM_UP_INTERVAL_US))
    required_us = PROBE_WARM_UP_INTERVAL_US;

  if (required_us == 0 || !rate->active)
    return required_us;
  allowed_us = 1e6 / (PROBE_RATE_SHARE * rate->per_s);
  return MAX (required_us,
              (uint64_t)MIN (allowed_us, PROBE_RATE_INTERVAL_MAX_US));
}

#include "lib/retry_after.h"

/* Callers wait at most this share of the time that they have left.  */
#define WAIT_MAX_SHARE (1.0 / 3)

/* The header has three decimals; 0 would be no wait at all.  */
#define WAIT_MIN_US CP_US_PER_MS

/* Part of the range that is told, by priority.  */
static const double range_shares[] = { 1.0 / 3, 2.0 / 3, 1.0 };

uint64_t
cp_retry_after_us (const struct cp_refused_request *request,
                   const struct cp_random *random)
{
  double latest = (double)request->left_us * WAIT_MAX_SHARE;
  double earliest = MIN ((double)request->room_us, latest);
  double share
      = range_shares[MIN (request->priority, G_N_ELEMENTS (range_shares) - 1)];
  double wait_us = latest;

  /* If no wait leaves enough time, the latest return adds least load.  */
  if (earliest + (double)request->work_us <= (double)request->left_us)
    wait_us = earliest + (latest - earliest) * share * cp_random_unit (random);
  return MAX ((uint64_t)wait_us, WAIT_MIN_US);
}

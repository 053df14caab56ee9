#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lib/limit.h"

/* Lowest limit, unless MAX is lower.  */
#define MIN_LIMIT 3
/* The median may exceed the baseline by this factor before the limit
   shrinks.  */
#define LATENCY_TOLERANCE 1.5
/* Lowest gradient.  */
#define MIN_GRADIENT 0.5
/* Weight of the desired limit when the limit is updated.  */
#define LIMIT_WEIGHT 0.3
/* Number of windows over which the baseline is averaged.  */
#define BASELINE_WINDOWS 40
/* Factor by which the baseline is reduced after each window while it is more
   than twice the median.  */
#define BASELINE_DECAY 0.95

void
cp_limit_init (struct cp_limit *limit, unsigned max)
{
  memset (limit, 0, sizeof *limit);
  cp_limit_set_max (limit, max);
  limit->current = max;
}

void
cp_limit_set_max (struct cp_limit *limit, unsigned max)
{
  if (limit->current >= limit->max)
    limit->current = max;
  limit->max = max;
}

unsigned
cp_limit_value (const struct cp_limit *limit)
{
  unsigned min = limit->max < MIN_LIMIT ? limit->max : MIN_LIMIT;
  unsigned value = (unsigned)lround (limit->current);

  if (value > limit->max)
    return limit->max;
  return value < min ? min : value;
}

static int
compare_latencies (const void *a, const void *b)
{
  uint64_t first = *(const uint64_t *)a;
  uint64_t second = *(const uint64_t *)b;

  return (first > second) - (first < second);
}

static void
update_baseline (struct cp_limit *limit, double median_us)
{
  if (limit->baseline_us == 0)
    limit->baseline_us = median_us;
  limit->baseline_us += (median_us - limit->baseline_us) / BASELINE_WINDOWS;
  if (limit->baseline_us > 2 * median_us)
    limit->baseline_us *= BASELINE_DECAY;
}

static void
adjust_limit (struct cp_limit *limit)
{
  double gradient
      = LATENCY_TOLERANCE * limit->baseline_us / (double)limit->median_us;
  double min = limit->max < MIN_LIMIT ? limit->max : MIN_LIMIT;
  double desired;

  gradient = fmin (1, fmax (MIN_GRADIENT, gradient));
  desired = limit->current * gradient + sqrt (limit->current);
  limit->current += (desired - limit->current) * LIMIT_WEIGHT;
  limit->current = fmin (limit->max, fmax (min, limit->current));
}

static void
end_window (struct cp_limit *limit)
{
  qsort (limit->window, CP_LIMIT_WINDOW, sizeof limit->window[0],
         compare_latencies);
  limit->fastest_us = limit->window[0];
  limit->median_us = limit->window[CP_LIMIT_WINDOW / 2];
  if (limit->median_us == 0)
    limit->median_us = 1;
  update_baseline (limit, (double)limit->median_us);
  /* When less than half of the limit is in use, the latency is not caused by
     the number of calls in flight.  */
  if (limit->peak * 2 >= cp_limit_value (limit))
    adjust_limit (limit);
  limit->count = 0;
  limit->peak = 0;
}

void
cp_limit_add_sample (struct cp_limit *limit, uint64_t latency_us,
                     unsigned in_flight)
{
  if (in_flight > limit->peak)
    limit->peak = in_flight;
  if (latency_us < limit->fastest_us)
    limit->fastest_us = latency_us;
  limit->window[limit->count++] = latency_us;
  if (limit->count == CP_LIMIT_WINDOW)
    end_window (limit);
}

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lib/limit.h"

#define LIMIT_LEAST 3
#define TOLERANCE 1.5 /* latency may rise by this factor unanswered */
#define GRADIENT_LEAST 0.5
#define SMOOTHING 0.3
#define PAST_WEIGHT 40  /* windows */
#define PAST_DECAY 0.95 /* when the past is far slower than the present */

void
cp_limit_init (struct cp_limit *limit, unsigned most)
{
  memset (limit, 0, sizeof *limit);
  cp_limit_set_most (limit, most);
  limit->current = most;
}

void
cp_limit_set_most (struct cp_limit *limit, unsigned most)
{
  if (limit->current >= limit->most)
    limit->current = most;
  limit->most = most;
}

unsigned
cp_limit_value (const struct cp_limit *limit)
{
  unsigned least = limit->most < LIMIT_LEAST ? limit->most : LIMIT_LEAST;
  unsigned value = (unsigned)lround (limit->current);

  if (value > limit->most)
    return limit->most;
  return value < least ? least : value;
}

static int
compare (const void *a, const void *b)
{
  uint64_t first = *(const uint64_t *)a;
  uint64_t second = *(const uint64_t *)b;

  return (first > second) - (first < second);
}

static void
learn_past (struct cp_limit *limit, double median_us)
{
  if (limit->past_us == 0)
    limit->past_us = median_us;
  limit->past_us += (median_us - limit->past_us) / PAST_WEIGHT;
  if (limit->past_us > 2 * median_us)
    limit->past_us *= PAST_DECAY;
}

static void
adapt (struct cp_limit *limit)
{
  double gradient = TOLERANCE * limit->past_us / (double)limit->median_us;
  double least = limit->most < LIMIT_LEAST ? limit->most : LIMIT_LEAST;
  double wanted;

  gradient = fmin (1, fmax (GRADIENT_LEAST, gradient));
  wanted = limit->current * gradient + sqrt (limit->current);
  limit->current += (wanted - limit->current) * SMOOTHING;
  limit->current = fmin (limit->most, fmax (least, limit->current));
}

static void
end_window (struct cp_limit *limit)
{
  qsort (limit->window, CP_LIMIT_WINDOW, sizeof limit->window[0], compare);
  limit->fastest_us = limit->window[0];
  limit->median_us = limit->window[CP_LIMIT_WINDOW / 2];
  if (limit->median_us == 0)
    limit->median_us = 1;
  learn_past (limit, (double)limit->median_us);
  /* With less than half of the limit in use, latency does not come from the
     calls in flight.  */
  if (limit->peak * 2 >= cp_limit_value (limit))
    adapt (limit);
  limit->count = 0;
  limit->peak = 0;
}

void
cp_limit_sample (struct cp_limit *limit, uint64_t latency_us,
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

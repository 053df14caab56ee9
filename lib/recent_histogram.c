#include <string.h>

#include "lib/recent_histogram.h"

/* A cached quantile is used until one in this many values is new.  */
#define CACHE_SHARE 16

void
cp_recent_histogram_init (struct cp_recent_histogram *histogram,
                          uint64_t now_us)
{
  memset (histogram, 0, sizeof *histogram);
  histogram->since_us = now_us;
}

static void
rotate (struct cp_recent_histogram *histogram, uint64_t now_us)
{
  histogram->current = 1 - histogram->current;
  memset (&histogram->parts[histogram->current], 0,
          sizeof histogram->parts[0]);
  histogram->counts[histogram->current] = 0;
  histogram->since_us = now_us;
}

void
cp_recent_histogram_add (struct cp_recent_histogram *histogram,
                         uint64_t now_us, uint64_t value_us)
{
  if (histogram->counts[histogram->current] >= CP_RECENT_HISTOGRAM_VALUES
      || now_us >= histogram->since_us + CP_RECENT_HISTOGRAM_MAX_US)
    rotate (histogram, now_us);
  cp_histogram_add (&histogram->parts[histogram->current], value_us);
  histogram->counts[histogram->current]++;
  histogram->added++;
}

uint64_t
cp_recent_histogram_count (const struct cp_recent_histogram *histogram)
{
  return histogram->counts[0] + histogram->counts[1];
}

static uint64_t
find_quantile (const struct cp_recent_histogram *histogram, double quantile)
{
  struct cp_histogram sum;

  for (unsigned i = 0; i < CP_HISTOGRAM_BUCKETS; i++)
    sum.buckets[i]
        = histogram->parts[0].buckets[i] + histogram->parts[1].buckets[i];
  return cp_histogram_quantile (&sum, quantile);
}

uint64_t
cp_recent_histogram_quantile (struct cp_recent_histogram *histogram,
                              double quantile)
{
  if (quantile != histogram->cached_quantile
      || histogram->added >= histogram->cached_until)
    {
      histogram->cached_us = find_quantile (histogram, quantile);
      histogram->cached_quantile = quantile;
      histogram->cached_until
          = histogram->added
            + cp_recent_histogram_count (histogram) / CACHE_SHARE + 1;
    }
  return histogram->cached_us;
}

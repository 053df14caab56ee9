#include <string.h>

#include "lib/recent_histogram.h"

#define CACHE_SHARE 16

void
cp_recent_init (struct cp_recent *recent, uint64_t now_us)
{
  memset (recent, 0, sizeof *recent);
  recent->since_us = now_us;
}

static void
turn_over (struct cp_recent *recent, uint64_t now_us)
{
  recent->newer = 1 - recent->newer;
  memset (&recent->parts[recent->newer], 0, sizeof recent->parts[0]);
  recent->counts[recent->newer] = 0;
  recent->since_us = now_us;
}

void
cp_recent_add (struct cp_recent *recent, uint64_t now_us, uint64_t value_us)
{
  if (recent->counts[recent->newer] >= CP_RECENT_VALUES
      || now_us >= recent->since_us + CP_RECENT_US_MAX)
    turn_over (recent, now_us);
  cp_histogram_add (&recent->parts[recent->newer], value_us);
  recent->counts[recent->newer]++;
  recent->added++;
}

uint64_t
cp_recent_count (const struct cp_recent *recent)
{
  return recent->counts[0] + recent->counts[1];
}

static uint64_t
find_quantile (const struct cp_recent *recent, double quantile)
{
  struct cp_histogram both;

  for (unsigned i = 0; i < CP_HISTOGRAM_BUCKETS; i++)
    both.buckets[i]
        = recent->parts[0].buckets[i] + recent->parts[1].buckets[i];
  return cp_histogram_quantile (&both, quantile);
}

uint64_t
cp_recent_quantile (struct cp_recent *recent, double quantile)
{
  if (quantile != recent->cached_share
      || recent->added >= recent->cached_until)
    {
      recent->cached_us = find_quantile (recent, quantile);
      recent->cached_share = quantile;
      recent->cached_until
          = recent->added + cp_recent_count (recent) / CACHE_SHARE + 1;
    }
  return recent->cached_us;
}

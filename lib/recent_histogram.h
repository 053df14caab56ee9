/* Quantiles of recent durations: two histograms, of which the older one is
   dropped when the newer one is full or old.  Not thread-safe.  */
#ifndef CP_RECENT_HISTOGRAM_H
#define CP_RECENT_HISTOGRAM_H

#include <stdint.h>

#include "lib/counter.h"

#define CP_RECENT_HISTOGRAM_VALUES 1024
#define CP_RECENT_HISTOGRAM_MAX_US UINT64_C (10000000)

struct cp_recent_histogram
{
  struct cp_histogram parts[2];
  unsigned current;
  uint64_t counts[2];
  uint64_t since_us;      /* when the newer part began */
  double cached_quantile; /* of the last question */
  uint64_t cached_us;     /* its answer */
  uint64_t cached_until;  /* count of values up to which it holds */
  uint64_t added;
};

void cp_recent_histogram_init (struct cp_recent_histogram *histogram,
                               uint64_t now_us);
void cp_recent_histogram_add (struct cp_recent_histogram *histogram,
                              uint64_t now_us, uint64_t value_us);

/* Returns how many values are kept.  */
uint64_t
cp_recent_histogram_count (const struct cp_recent_histogram *histogram);

/* Returns the value below which the share QUANTILE of the values lies; 0 when
   there are none.  The answer may be as old as the last sixteenth of the
   values.  */
uint64_t cp_recent_histogram_quantile (struct cp_recent_histogram *histogram,
                                       double quantile);

#endif

/* Quantiles of recent durations, from two histograms: when the current one is
   full or old, it replaces the previous one.  Not thread-safe.  */
#ifndef CP_RECENT_HISTOGRAM_H
#define CP_RECENT_HISTOGRAM_H

#include <stdint.h>

#include "lib/counter.h"

/* Number of values and age at which the current part is full or old.  */
#define CP_RECENT_HISTOGRAM_VALUES 1024
#define CP_RECENT_HISTOGRAM_MAX_US UINT64_C (10000000)

struct cp_recent_histogram
{
  struct cp_histogram parts[2];
  unsigned current;
  uint64_t counts[2];
  uint64_t since_us;      /* when the current part was started */
  double cached_quantile; /* quantile of the cached result */
  uint64_t cached_us;     /* cached result */
  uint64_t cached_until;  /* value of ADDED up to which it is valid */
  uint64_t added;
};

void cp_recent_histogram_init (struct cp_recent_histogram *histogram,
                               uint64_t now_us);
void cp_recent_histogram_add (struct cp_recent_histogram *histogram,
                              uint64_t now_us, uint64_t value_us);

/* Returns the number of values in both parts.  */
uint64_t
cp_recent_histogram_count (const struct cp_recent_histogram *histogram);

/* Returns the value below which the share QUANTILE of the values lies, or 0
   when there are none.  The result is cached until a sixteenth of the values
   is new.  */
uint64_t cp_recent_histogram_quantile (struct cp_recent_histogram *histogram,
                                       double quantile);

#endif

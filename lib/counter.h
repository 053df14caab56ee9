/* Counters and latency counters that threads add to without locks.

   Each thread has its own block of cells, which a reader sums without
   stopping the writers (the split counters of the liburcu manual).  When a
   thread ends, its block is folded into the set's total.  */
#ifndef CP_COUNTER_H
#define CP_COUNTER_H

#include <pthread.h>
#include <stdint.h>
#include <urcu/list.h>

/* A set of COUNT counters, owned by the caller.  */
struct cp_counters
{
  unsigned count;
  pthread_key_t key;
  pthread_mutex_t lock;
  struct cds_list_head blocks;
  uint64_t *ended_totals;
};

/* Returns 0, or -1 when memory ran out.  */
int cp_counters_init (struct cp_counters *counters, unsigned count);

/* No other thread may use COUNTERS any more.  */
void cp_counters_finish (struct cp_counters *counters);

void cp_counters_add (struct cp_counters *counters, unsigned index,
                      uint64_t amount);

/* Returns the sum over all threads, past and present.  */
uint64_t cp_counters_read (struct cp_counters *counters, unsigned index);

/* A log-linear histogram of durations in microseconds: 16 steps for each
   power of two, so that a value read back is within 1/16 of the one added.
   All cells are relaxed atomics; adding is safe from every thread.  */
#define CP_HISTOGRAM_STEP_BITS 4
#define CP_HISTOGRAM_BUCKETS                                                  \
  ((64 - CP_HISTOGRAM_STEP_BITS + 1) << CP_HISTOGRAM_STEP_BITS)

struct cp_histogram
{
  uint64_t buckets[CP_HISTOGRAM_BUCKETS];
  uint64_t sum_us;
};

void cp_histogram_add (struct cp_histogram *histogram, uint64_t value_us);
uint64_t cp_histogram_count (const struct cp_histogram *histogram);

/* Returns how many values below 1 << POWER were added.  */
uint64_t cp_histogram_count_below (const struct cp_histogram *histogram,
                                   unsigned power);

/* Returns the sum of all values added, in microseconds.  */
uint64_t cp_histogram_sum_us (const struct cp_histogram *histogram);

/* Returns the value below which the share QUANTILE, 0 to 1, of all values
   lies; 0 when there are none.  */
uint64_t cp_histogram_quantile (const struct cp_histogram *histogram,
                                double quantile);

#endif

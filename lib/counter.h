/* Counters and latency histograms that threads update without locks.

   Each thread has its own block of counters, which a reader sums without
   stopping the writers (the split counters of the liburcu manual).  When a
   thread ends, its block is added to the totals of ended threads.  */
#ifndef CP_COUNTER_H
#define CP_COUNTER_H

#include <pthread.h>
#include <stdint.h>
#include <urcu/list.h>

/* A set of COUNT counters.  */
struct cp_counters
{
  unsigned count;
  pthread_key_t key;
  pthread_mutex_t lock;
  struct cds_list_head blocks;
  uint64_t *ended_totals; /* sums of ended threads, by counter */
};

/* Returns 0, or -1 when memory ran out.  */
int cp_counters_init (struct cp_counters *counters, unsigned count);

/* Frees COUNTERS, which no other thread may use any more.  */
void cp_counters_finish (struct cp_counters *counters);

void cp_counters_add (struct cp_counters *counters, unsigned index,
                      uint64_t amount);

/* Returns the sum over all threads, including those that ended.  */
uint64_t cp_counters_read (struct cp_counters *counters, unsigned index);

/* A log-linear histogram of durations in microseconds with 16 buckets for each
   power of two, so that a value read back is within 1/16 of the one added.
   All buckets are relaxed atomics; any thread may add.  */
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

/* Returns the QUANTILE, 0 to 1, of all values added; 0 when there are none.
 */
uint64_t cp_histogram_quantile (const struct cp_histogram *histogram,
                                double quantile);

#endif

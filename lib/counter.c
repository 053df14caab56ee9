#include <stdlib.h>

#include "lib/cleanup.h"
#include "lib/counter.h"

struct counter_block
{
  struct cds_list_head node;
  struct cp_counters *owner;
  uint64_t cells[];
};

/* Adds the block of an ended thread to the totals and frees it.  */
static void
fold_block (void *value)
{
  struct counter_block *block = value;
  struct cp_counters *owner = block->owner;

  CP_LOCK_SCOPE (&owner->lock);
  for (unsigned i = 0; i < owner->count; i++)
    owner->ended_totals[i] += block->cells[i];
  cds_list_del (&block->node);
  free (block);
}

int
cp_counters_init (struct cp_counters *counters, unsigned count)
{
  counters->count = count;
  counters->ended_totals = calloc (count, sizeof *counters->ended_totals);
  if (counters->ended_totals == NULL)
    return -1;
  if (pthread_key_create (&counters->key, fold_block) != 0)
    {
      free (counters->ended_totals);
      return -1;
    }
  pthread_mutex_init (&counters->lock, NULL);
  CDS_INIT_LIST_HEAD (&counters->blocks);
  return 0;
}

void
cp_counters_finish (struct cp_counters *counters)
{
  struct counter_block *block, *next;

  pthread_key_delete (counters->key);
  cds_list_for_each_entry_safe (block, next, &counters->blocks, node)
  {
    cds_list_del (&block->node);
    free (block);
  }
  pthread_mutex_destroy (&counters->lock);
  free (counters->ended_totals);
}

/* Returns the block of the calling thread, created on first use.  */
static struct counter_block *
thread_block (struct cp_counters *counters)
{
  struct counter_block *block = pthread_getspecific (counters->key);

  if (block != NULL)
    return block;
  block = calloc (1, sizeof *block + counters->count * sizeof (uint64_t));
  if (block == NULL)
    abort ();
  block->owner = counters;
  pthread_setspecific (counters->key, block);
  CP_LOCK_SCOPE (&counters->lock);
  cds_list_add (&block->node, &counters->blocks);
  return block;
}

void
cp_counters_add (struct cp_counters *counters, unsigned index, uint64_t amount)
{
  struct counter_block *block = thread_block (counters);
  uint64_t value = __atomic_load_n (&block->cells[index], __ATOMIC_RELAXED);

  __atomic_store_n (&block->cells[index], value + amount, __ATOMIC_RELAXED);
}

uint64_t
cp_counters_read (struct cp_counters *counters, unsigned index)
{
  struct counter_block *block;
  uint64_t sum;

  CP_LOCK_SCOPE (&counters->lock);
  sum = counters->ended_totals[index];
  cds_list_for_each_entry (block, &counters->blocks, node) sum
      += __atomic_load_n (&block->cells[index], __ATOMIC_RELAXED);
  return sum;
}

static unsigned
bucket_of (uint64_t value)
{
  unsigned shift;

  if (value < (1 << CP_HISTOGRAM_STEP_BITS))
    return (unsigned)value;
  shift = 63 - (unsigned)__builtin_clzll (value) - CP_HISTOGRAM_STEP_BITS;
  return ((shift + 1) << CP_HISTOGRAM_STEP_BITS)
         + (unsigned)((value >> shift) - (1 << CP_HISTOGRAM_STEP_BITS));
}

/* Returns the largest value that falls into BUCKET.  */
static uint64_t
bucket_max (unsigned bucket)
{
  unsigned shift;
  uint64_t base;

  if (bucket < (1 << CP_HISTOGRAM_STEP_BITS))
    return bucket;
  shift = (bucket >> CP_HISTOGRAM_STEP_BITS) - 1;
  base = (bucket & ((1 << CP_HISTOGRAM_STEP_BITS) - 1))
         + (1 << CP_HISTOGRAM_STEP_BITS);
  return ((base + 1) << shift) - 1;
}

void
cp_histogram_add (struct cp_histogram *histogram, uint64_t value_us)
{
  __atomic_fetch_add (&histogram->buckets[bucket_of (value_us)], 1,
                      __ATOMIC_RELAXED);
  __atomic_fetch_add (&histogram->sum_us, value_us, __ATOMIC_RELAXED);
}

uint64_t
cp_histogram_count_below (const struct cp_histogram *histogram, unsigned power)
{
  unsigned end = bucket_of ((uint64_t)1 << power);
  uint64_t count = 0;

  for (unsigned i = 0; i < end; i++)
    count += __atomic_load_n (&histogram->buckets[i], __ATOMIC_RELAXED);
  return count;
}

uint64_t
cp_histogram_sum_us (const struct cp_histogram *histogram)
{
  return __atomic_load_n (&histogram->sum_us, __ATOMIC_RELAXED);
}

uint64_t
cp_histogram_count (const struct cp_histogram *histogram)
{
  uint64_t count = 0;

  for (unsigned i = 0; i < CP_HISTOGRAM_BUCKETS; i++)
    count += __atomic_load_n (&histogram->buckets[i], __ATOMIC_RELAXED);
  return count;
}

uint64_t
cp_histogram_quantile (const struct cp_histogram *histogram, double quantile)
{
  uint64_t count = cp_histogram_count (histogram);
  uint64_t rank = (uint64_t)((double)count * quantile);
  uint64_t seen = 0;

  if (count == 0)
    return 0;
  if (rank >= count)
    rank = count - 1;
  for (unsigned i = 0; i < CP_HISTOGRAM_BUCKETS; i++)
    {
      seen += __atomic_load_n (&histogram->buckets[i], __ATOMIC_RELAXED);
      if (seen > rank)
        return bucket_max (i);
    }
  return bucket_max (CP_HISTOGRAM_BUCKETS - 1);
}

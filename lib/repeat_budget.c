#include "lib/repeat_budget.h"

/* Number of buckets, the current one included, that lie within half a window.
   A window spans CP_REPEAT_BUCKETS - 1.  */
#define HALF_WINDOW_BUCKETS ((CP_REPEAT_BUCKETS - 2) / 2)

void
cp_repeat_budget_init (struct cp_repeat_budget *budget, uint64_t window_us)
{
  /* There is one bucket more than a window spans, since the oldest is only
     partly inside it.  */
  *budget = (struct cp_repeat_budget){ .bucket_us
                                       = window_us / (CP_REPEAT_BUCKETS - 1) };
}

/* Returns the bucket of NOW_US, cleared when it held older counts.  */
static struct cp_repeat_bucket *
current_bucket (struct cp_repeat_budget *budget, uint64_t now_us)
{
  uint64_t number = now_us / budget->bucket_us;
  struct cp_repeat_bucket *bucket
      = &budget->buckets[number % CP_REPEAT_BUCKETS];

  if (bucket->number != number)
    *bucket = (struct cp_repeat_bucket){ .number = number };
  return bucket;
}

void
cp_repeat_budget_count_request (struct cp_repeat_budget *budget,
                                uint64_t now_us)
{
  current_bucket (budget, now_us)->requests++;
}

bool
cp_repeat_budget_take (struct cp_repeat_budget *budget, uint64_t now_us,
                       double ratio, double slack)
{
  struct cp_repeat_bucket *bucket = current_bucket (budget, now_us);
  uint64_t window_start = bucket->number < CP_REPEAT_BUCKETS
                              ? 0
                              : bucket->number - CP_REPEAT_BUCKETS + 1;
  uint64_t half_start = bucket->number < HALF_WINDOW_BUCKETS
                            ? 0
                            : bucket->number - HALF_WINDOW_BUCKETS + 1;
  uint64_t requests = 0;
  uint64_t repeats = 0;

  for (unsigned i = 0; i < CP_REPEAT_BUCKETS; i++)
    {
      if (budget->buckets[i].number >= window_start)
        repeats += budget->buckets[i].repeats;
      if (budget->buckets[i].number >= half_start)
        requests += budget->buckets[i].requests;
    }
  if ((double)(repeats + 1) > ratio * (double)requests + slack)
    return false;
  bucket->repeats++;
  return true;
}

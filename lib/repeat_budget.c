#include <math.h>
#include <string.h>

#include "lib/repeat_budget.h"

/* Weight of one attempt in the share that servers reject: about the last 32
   attempts count.  */
#define REJECTED_WEIGHT (1.0 / 32)

/* Accepted share below which retries are thinned out.  */
#define ACCEPTED_ENOUGH 0.5

/* Budget of one service.  */
struct cp_repeat_budget
{
  struct cp_repeat_bucket buckets[CP_REPEAT_BUCKETS];
  double reserved;
  double rejected_share; /* of recent attempts */
};

void
cp_repeat_budgets_init (struct cp_repeat_budgets *budgets, uint64_t now_us)
{
  *budgets = (struct cp_repeat_budgets){ 0 };
  budgets->by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cp_repeat_budgets_configure (budgets, 0, 0, CP_REPEAT_WINDOW_BUCKETS,
                               now_us);
}

void
cp_repeat_budgets_finish (struct cp_repeat_budgets *budgets)
{
  g_hash_table_unref (budgets->by_service);
}

/* Returns how long the slack is not used after a start: until what was taken
   before is out of the window, and the others have seen this daemon.  For as
   long, the highest number of daemons is kept.  */
static uint64_t
slack_pause_us (const struct cp_repeat_budgets *budgets)
{
  return (CP_REPEAT_WINDOW_BUCKETS + 2) * budgets->bucket_us
         + CP_REPEAT_SETTLE_US;
}

void
cp_repeat_budgets_configure (struct cp_repeat_budgets *budgets, double ratio,
                             double slack, uint64_t window_us, uint64_t now_us)
{
  uint64_t bucket_us = MAX (1, window_us / CP_REPEAT_WINDOW_BUCKETS);

  budgets->ratio = ratio;
  budgets->slack = slack;
  if (bucket_us == budgets->bucket_us)
    return;
  budgets->bucket_us = bucket_us;
  g_hash_table_remove_all (budgets->by_service);
  memset (budgets->seen, 0, sizeof budgets->seen);
  budgets->seen_bucket_us
      = slack_pause_us (budgets) / (CP_REPEAT_BUCKETS - 2) + 1;
  budgets->seen_us = now_us;
  budgets->slack_from_us = now_us + slack_pause_us (budgets);
}

static struct cp_repeat_budget *
find_budget (struct cp_repeat_budgets *budgets, const char *service)
{
  struct cp_repeat_budget *budget
      = g_hash_table_lookup (budgets->by_service, service);

  if (budget == NULL)
    {
      budget = g_new0 (struct cp_repeat_budget, 1);
      g_hash_table_insert (budgets->by_service, g_strdup (service), budget);
    }
  return budget;
}

/* Returns the bucket of NOW_US, cleared when it held older counts.  */
static struct cp_repeat_bucket *
current_bucket (struct cp_repeat_bucket buckets[CP_REPEAT_BUCKETS],
                uint64_t bucket_us, uint64_t now_us)
{
  uint64_t number = now_us / bucket_us;
  struct cp_repeat_bucket *bucket = &buckets[number % CP_REPEAT_BUCKETS];

  if (bucket->number != number)
    *bucket = (struct cp_repeat_bucket){ .number = number };
  return bucket;
}

/* Returns whether the daemons were counted so long before NOW_US that others
   may have come or gone unnoticed.  */
static bool
is_sight_stale (const struct cp_repeat_budgets *budgets, uint64_t now_us)
{
  return now_us - MIN (now_us, budgets->seen_us) > CP_REPEAT_SETTLE_US / 2;
}

void
cp_repeat_budgets_see_daemons (struct cp_repeat_budgets *budgets,
                               unsigned n_daemons, uint64_t now_us)
{
  struct cp_repeat_bucket *bucket
      = current_bucket (budgets->seen, budgets->seen_bucket_us, now_us);

  bucket->daemons = MAX (bucket->daemons, n_daemons);
  /* The others may have divided the slack without this daemon.  */
  if (is_sight_stale (budgets, now_us))
    budgets->slack_from_us = now_us + slack_pause_us (budgets);
  budgets->seen_us = now_us;
}

double
cp_repeat_budgets_slack (const struct cp_repeat_budgets *budgets,
                         uint64_t now_us)
{
  uint64_t number = now_us / budgets->seen_bucket_us;
  unsigned daemons = 1;

  if (now_us < budgets->slack_from_us || is_sight_stale (budgets, now_us))
    return 0;
  for (unsigned i = 0; i < CP_REPEAT_BUCKETS; i++)
    if (budgets->seen[i].number + CP_REPEAT_BUCKETS > number)
      daemons = MAX (daemons, budgets->seen[i].daemons);
  return budgets->slack / daemons;
}

/* Requests and repeats of the newest buckets: each item has the sum of those
   before it, the newest bucket being the first.  */
struct sums
{
  uint64_t requests[CP_REPEAT_BUCKETS + 1];
  uint64_t repeats[CP_REPEAT_BUCKETS + 1];
};

static void
sum_buckets (const struct cp_repeat_budgets *budgets,
             const struct cp_repeat_budget *budget, uint64_t now_us,
             struct sums *sums)
{
  uint64_t number = now_us / budgets->bucket_us;

  sums->requests[0] = 0;
  sums->repeats[0] = 0;
  for (unsigned i = 0; i < CP_REPEAT_BUCKETS; i++)
    {
      const struct cp_repeat_bucket *bucket
          = &budget->buckets[(number - MIN (number, i)) % CP_REPEAT_BUCKETS];
      bool counts = bucket->number + i == number;

      sums->requests[i + 1] = sums->requests[i] + counts * bucket->requests;
      sums->repeats[i + 1] = sums->repeats[i] + counts * bucket->repeats;
    }
}

/* Returns the requests of the buckets that are FIRST to LAST older than the
   newest one.  Those that lie in the future are none as yet.  */
static uint64_t
requests_between (const struct sums *sums, int first, int last)
{
  return last < 0 ? 0
                  : sums->requests[last + 1] - sums->requests[MAX (first, 0)];
}

/* Returns how many repeats the budget allows at NOW_US.

   A window that starts in bucket B + 1 holds all requests from bucket B + 2
   until now, and at most repeats that were taken from bucket B on.  The one
   half a window earlier holds at least the buckets B + 2 - W / 2 to B + W / 2,
   where W is the number in a window.  A repeat that is taken now counts for
   the windows with B from W + 1 buckets ago until now.  */
static double
find_room (const struct cp_repeat_budgets *budgets,
           const struct cp_repeat_budget *budget, uint64_t now_us)
{
  const int window = CP_REPEAT_WINDOW_BUCKETS;
  const int half = window / 2;
  struct sums sums;
  double least = HUGE_VAL;

  sum_buckets (budgets, budget, now_us, &sums);
  for (int age = 0; age <= window + 1; age++)
    {
      uint64_t requests
          = requests_between (&sums, 0, age - 2)
            + requests_between (&sums, age - window + half, age - 2 + half);

      least = MIN (least, budgets->ratio * (double)requests / 2
                              - (double)sums.repeats[age + 1]);
    }
  return least + cp_repeat_budgets_slack (budgets, now_us);
}

void
cp_repeat_budgets_count_request (struct cp_repeat_budgets *budgets,
                                 const char *service, uint64_t now_us)
{
  current_bucket (find_budget (budgets, service)->buckets, budgets->bucket_us,
                  now_us)
      ->requests++;
}

bool
cp_repeat_budgets_take (struct cp_repeat_budgets *budgets, const char *service,
                        uint64_t now_us)
{
  struct cp_repeat_budget *budget = find_budget (budgets, service);

  if (find_room (budgets, budget, now_us) < 1 + budget->reserved)
    return false;
  current_bucket (budget->buckets, budgets->bucket_us, now_us)->repeats++;
  return true;
}

void
cp_repeat_budgets_give_back (struct cp_repeat_budgets *budgets,
                             const char *service, uint64_t taken_us)
{
  uint64_t number = taken_us / budgets->bucket_us;
  struct cp_repeat_bucket *bucket
      = &find_budget (budgets, service)->buckets[number % CP_REPEAT_BUCKETS];

  if (bucket->number == number && bucket->repeats > 0)
    bucket->repeats--;
}

bool
cp_repeat_budgets_reserve (struct cp_repeat_budgets *budgets,
                           const char *service, double repeats,
                           uint64_t now_us)
{
  struct cp_repeat_budget *budget = find_budget (budgets, service);

  if (find_room (budgets, budget, now_us) < repeats + budget->reserved)
    return false;
  budget->reserved += repeats;
  return true;
}

void
cp_repeat_budgets_release (struct cp_repeat_budgets *budgets,
                           const char *service, double repeats)
{
  struct cp_repeat_budget *budget = find_budget (budgets, service);

  budget->reserved = MAX (0, budget->reserved - repeats);
}

void
cp_repeat_budgets_record_attempt (struct cp_repeat_budgets *budgets,
                                  const char *service, bool rejected)
{
  struct cp_repeat_budget *budget = find_budget (budgets, service);

  budget->rejected_share
      += (rejected - budget->rejected_share) * REJECTED_WEIGHT;
}

bool
cp_repeat_budgets_allow_retry (struct cp_repeat_budgets *budgets,
                               const char *service,
                               const struct cp_random *random)
{
  double accepted = 1 - find_budget (budgets, service)->rejected_share;

  return accepted >= ACCEPTED_ENOUGH
         || cp_random_unit (random) < accepted / ACCEPTED_ENOUGH;
}

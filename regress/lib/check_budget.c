/* The probing budget, with time passed in.  */
#include "lib/budget.h"
#include "lib/clock.h"
#include "regress/harness/suite.h"

#define WORK_US_PER_S 12000
#define BYTES_PER_S 4000
#define SEEDS 40
#define STEPS 4000
#define OPEN_MAX 8

/* Actual cost of one grant, from reservation to settlement.  */
struct charge
{
  uint64_t started_us;
  uint64_t ended_us;
  uint64_t work_us;
  uint64_t bytes;
};

/* A seeded random workload and what the budget granted.  */
struct workload
{
  struct cp_budget budget;
  struct cp_seeded_random random;
  uint64_t now_us;
  struct charge settled[STEPS];
  unsigned n_settled;
  struct charge open[OPEN_MAX];
  unsigned grants[OPEN_MAX];
  unsigned n_open;
};

static uint64_t
random_below (struct workload *workload, uint64_t limit)
{
  return cp_random_below (&workload->random.random, limit);
}

static void
settle_one (struct workload *workload)
{
  unsigned i = (unsigned)random_below (workload, workload->n_open);
  struct charge charge = workload->open[i];

  charge.ended_us = workload->now_us;
  charge.work_us = random_below (workload, charge.work_us + 1);
  charge.bytes = random_below (workload, charge.bytes + 1);
  cp_budget_settle (&workload->budget, workload->grants[i], workload->now_us,
                    charge.work_us, charge.bytes);
  workload->settled[workload->n_settled++] = charge;
  workload->n_open--;
  workload->open[i] = workload->open[workload->n_open];
  workload->grants[i] = workload->grants[workload->n_open];
}

static void
reserve_one (struct workload *workload)
{
  struct charge charge = { .started_us = workload->now_us,
                           .work_us = random_below (workload, 9000),
                           .bytes = random_below (workload, 900) };

  if (cp_budget_reserve (&workload->budget, workload->now_us, charge.work_us,
                         charge.bytes, &workload->grants[workload->n_open])
      == CP_BUDGET_GRANTED)
    workload->open[workload->n_open++] = charge;
}

static void
run_workload (struct workload *workload, uint64_t seed)
{
  uint64_t max_gap_us = UINT64_C (1000) << seed % 9;

  workload->n_settled = 0;
  workload->n_open = 0;
  workload->now_us = 1;
  cp_budget_init (&workload->budget, WORK_US_PER_S, BYTES_PER_S);
  cp_seeded_random_init (&workload->random, seed);
  for (unsigned step = 0; step < STEPS; step++)
    {
      workload->now_us += random_below (workload, max_gap_us);
      if (workload->n_open == OPEN_MAX
          || (workload->n_open > 0 && random_below (workload, 2) == 0))
        settle_one (workload);
      else
        reserve_one (workload);
    }
  cp_seeded_random_finish (&workload->random);
}

/* Checks the window of 1 s that ends at AT_US.  A charge that overlaps the
   window counts in full.  */
static void
check_window (const struct workload *workload, uint64_t seed, uint64_t at_us)
{
  uint64_t work_us = 0;
  uint64_t bytes = 0;

  for (unsigned i = 0; i < workload->n_settled; i++)
    {
      const struct charge *charge = &workload->settled[i];

      if (charge->started_us > at_us
          || charge->ended_us + CP_BUDGET_WINDOW_US <= at_us)
        continue;
      work_us += charge->work_us;
      bytes += charge->bytes;
    }
  ck_assert_msg (work_us <= WORK_US_PER_S && bytes <= BYTES_PER_S,
                 "seed %llu: %llu us and %llu bytes in the window to %llu us",
                 (unsigned long long)seed, (unsigned long long)work_us,
                 (unsigned long long)bytes, (unsigned long long)at_us);
}

START_TEST (no_window_exceeds_the_budget)
{
  static struct workload workload;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      run_workload (&workload, seed);
      ck_assert_uint_gt (workload.n_settled, 20);
      for (unsigned i = 0; i < workload.n_settled; i++)
        {
          check_window (&workload, seed, workload.settled[i].started_us);
          check_window (&workload, seed, workload.settled[i].ended_us);
        }
      ck_assert_uint_eq (workload.budget.overdrafts, 0);
    }
}
END_TEST

START_TEST (the_whole_budget_can_be_used)
{
  struct cp_budget budget;
  unsigned granted = 0;

  cp_budget_init (&budget, WORK_US_PER_S, BYTES_PER_S);
  for (uint64_t now = 0; now < 10 * CP_US_PER_S; now += 10000)
    {
      unsigned grant;

      if (cp_budget_reserve (&budget, now, 6000, 100, &grant)
          != CP_BUDGET_GRANTED)
        continue;
      granted++;
      cp_budget_settle (&budget, grant, now, 6000, 100);
    }
  ck_assert_uint_eq (granted, 20);
}
END_TEST

START_TEST (refusals_are_counted_by_cause)
{
  struct cp_budget budget;
  unsigned grant;

  cp_budget_init (&budget, WORK_US_PER_S, BYTES_PER_S);
  ck_assert_int_eq (cp_budget_reserve (&budget, 0, 12001, 1, &grant),
                    CP_BUDGET_NO_WORK);
  ck_assert_int_eq (cp_budget_reserve (&budget, 0, 1, 4001, &grant),
                    CP_BUDGET_NO_BYTES);
  ck_assert (!cp_budget_spend_bytes (&budget, 0, 4001));
  ck_assert_uint_eq (budget.refusals[CP_BUDGET_NO_WORK], 1);
  ck_assert_uint_eq (budget.refusals[CP_BUDGET_NO_BYTES], 2);
}
END_TEST

START_TEST (a_cost_over_the_limit_is_an_overdraft)
{
  struct cp_budget budget;
  unsigned grant;

  cp_budget_init (&budget, WORK_US_PER_S, BYTES_PER_S);
  cp_budget_reserve (&budget, 0, 6000, 100, &grant);
  cp_budget_settle (&budget, grant, 7000, 7000, 100);
  ck_assert_uint_eq (budget.overdrafts, 0);
  ck_assert_uint_eq (cp_budget_work_left (&budget, 7000), 5000);
  cp_budget_reserve (&budget, 7000, 5000, 100, &grant);
  cp_budget_settle (&budget, grant, 14000, 7000, 100);
  ck_assert_uint_eq (budget.overdrafts, 1);
}
END_TEST

START_TEST (many_small_charges_stay_within_the_window)
{
  struct cp_budget budget;
  uint64_t spent[2000];
  unsigned count = 0;

  cp_budget_init (&budget, WORK_US_PER_S, BYTES_PER_S);
  for (uint64_t now = 0; now < 4 * CP_US_PER_S; now += 2000)
    if (cp_budget_spend_bytes (&budget, now, 20))
      spent[count++] = now;
  ck_assert_uint_gt (count, 200);
  for (unsigned i = 200; i < count; i++)
    ck_assert_uint_ge (spent[i] - spent[i - 200], CP_BUDGET_WINDOW_US);
}
END_TEST

START_TEST (shares_sum_to_at_most_the_budget)
{
  for (unsigned spenders = 1; spenders < 300; spenders++)
    ck_assert_uint_le (cp_budget_share (WORK_US_PER_S, spenders) * spenders,
                       WORK_US_PER_S);
  ck_assert_uint_eq (cp_budget_share (WORK_US_PER_S, 0), 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, no_window_exceeds_the_budget);
  tcase_add_test (tests, the_whole_budget_can_be_used);
  tcase_add_test (tests, refusals_are_counted_by_cause);
  tcase_add_test (tests, a_cost_over_the_limit_is_an_overdraft);
  tcase_add_test (tests, many_small_charges_stay_within_the_window);
  tcase_add_test (tests, shares_sum_to_at_most_the_budget);
}

int
main (void)
{
  return suite_run ("budget", add_tests, 60);
}

/* The budget of measuring, on a virtual clock.  */
#include "lib/budget.h"
#include "lib/clock.h"
#include "regress/harness/suite.h"

#define WORK_US_PER_S 12000
#define BYTES_PER_S 4000
#define SEEDS 40
#define STEPS 4000
#define OPEN_MAX 8

/* What was really spent, from its start to its end.  */
struct spending
{
  uint64_t started_us;
  uint64_t ended_us;
  uint64_t work_us;
  uint64_t bytes;
};

/* A seeded demand and what the budget granted it.  */
struct demand
{
  struct cp_budget budget;
  struct cp_seeded_random random;
  uint64_t now_us;
  struct spending done[STEPS];
  unsigned n_done;
  struct spending open[OPEN_MAX];
  unsigned grants[OPEN_MAX];
  unsigned n_open;
};

static uint64_t
draw (struct demand *demand, uint64_t limit)
{
  return cp_random_below (&demand->random.random, limit);
}

static void
settle_one (struct demand *demand)
{
  unsigned i = (unsigned)draw (demand, demand->n_open);
  struct spending spending = demand->open[i];

  spending.ended_us = demand->now_us;
  spending.work_us = draw (demand, spending.work_us + 1);
  spending.bytes = draw (demand, spending.bytes + 1);
  cp_budget_settle (&demand->budget, demand->grants[i], demand->now_us,
                    spending.work_us, spending.bytes);
  demand->done[demand->n_done++] = spending;
  demand->n_open--;
  demand->open[i] = demand->open[demand->n_open];
  demand->grants[i] = demand->grants[demand->n_open];
}

static void
ask_one (struct demand *demand)
{
  struct spending spending = { .started_us = demand->now_us,
                               .work_us = draw (demand, 9000),
                               .bytes = draw (demand, 900) };

  if (cp_budget_reserve (&demand->budget, demand->now_us, spending.work_us,
                         spending.bytes, &demand->grants[demand->n_open])
      == CP_BUDGET_GRANTED)
    demand->open[demand->n_open++] = spending;
}

static void
run_demand (struct demand *demand, uint64_t seed)
{
  uint64_t pace_us = UINT64_C (1000) << seed % 9;

  demand->n_done = 0;
  demand->n_open = 0;
  demand->now_us = 1;
  cp_budget_init (&demand->budget, WORK_US_PER_S, BYTES_PER_S);
  cp_seeded_random_init (&demand->random, seed);
  for (unsigned step = 0; step < STEPS; step++)
    {
      demand->now_us += draw (demand, pace_us);
      if (demand->n_open == OPEN_MAX
          || (demand->n_open > 0 && draw (demand, 2) == 0))
        settle_one (demand);
      else
        ask_one (demand);
    }
  cp_seeded_random_finish (&demand->random);
}

/* Checks the window of 1 s that ends with AT_US, taking every spending that
   touches it as spent in it.  */
static void
check_window (const struct demand *demand, uint64_t seed, uint64_t at_us)
{
  uint64_t work_us = 0;
  uint64_t bytes = 0;

  for (unsigned i = 0; i < demand->n_done; i++)
    {
      const struct spending *spending = &demand->done[i];

      if (spending->started_us > at_us
          || spending->ended_us + CP_BUDGET_WINDOW_US <= at_us)
        continue;
      work_us += spending->work_us;
      bytes += spending->bytes;
    }
  ck_assert_msg (work_us <= WORK_US_PER_S && bytes <= BYTES_PER_S,
                 "seed %llu: %llu us and %llu bytes in the window to %llu us",
                 (unsigned long long)seed, (unsigned long long)work_us,
                 (unsigned long long)bytes, (unsigned long long)at_us);
}

START_TEST (no_window_passes_the_budget)
{
  static struct demand demand;

  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      run_demand (&demand, seed);
      ck_assert_uint_gt (demand.n_done, 20);
      for (unsigned i = 0; i < demand.n_done; i++)
        {
          check_window (&demand, seed, demand.done[i].started_us);
          check_window (&demand, seed, demand.done[i].ended_us);
        }
      ck_assert_uint_eq (demand.budget.overdrafts, 0);
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

START_TEST (many_small_spendings_stay_within)
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
  tcase_add_test (tests, no_window_passes_the_budget);
  tcase_add_test (tests, the_whole_budget_can_be_used);
  tcase_add_test (tests, refusals_are_counted_by_cause);
  tcase_add_test (tests, a_cost_over_the_limit_is_an_overdraft);
  tcase_add_test (tests, many_small_spendings_stay_within);
  tcase_add_test (tests, shares_sum_to_at_most_the_budget);
}

int
main (void)
{
  return suite_run ("budget", add_tests, 60);
}

/* The time that refused callers are told to wait.  */
#include "lib/retry_after.h"
#include "regress/harness/suite.h"

#define CALLERS 3000
#define BINS 10

static struct cp_seeded_random seeded;

static void
setup (void)
{
  cp_seeded_random_init (&seeded, 1);
}

static void
teardown (void)
{
  cp_seeded_random_finish (&seeded);
}

static uint64_t
wait_of (uint64_t left_us, uint64_t room_us, uint64_t work_us,
         unsigned priority)
{
  const struct cp_refused_request request = { .left_us = left_us,
                                              .room_us = room_us,
                                              .work_us = work_us,
                                              .priority = priority };

  return cp_retry_after_us (&request, &seeded.random);
}

/* Load: 3,000 callers of one priority are refused at the same moment, with
   900 ms left; room is expected in 60 ms.  Guards against a second wave, and
   against callers that are told more than they wait or less than is needed.
 */
START_TEST (a_wave_of_refused_callers_comes_back_spread_evenly)
{
  const uint64_t earliest = 60000;
  const uint64_t latest
      = earliest + (300000 - earliest) * (uint64_t)(_i + 1) / 3;
  unsigned bins[BINS] = { 0 };

  for (unsigned i = 0; i < CALLERS; i++)
    {
      uint64_t wait = wait_of (900000, earliest, 50000, (unsigned)_i);

      ck_assert_uint_ge (wait, earliest);
      ck_assert_uint_le (wait, latest);
      bins[(wait - earliest) * BINS / (latest - earliest + 1)]++;
    }
  /* 300 are expected in each; the standard deviation is 16.  */
  for (unsigned i = 0; i < BINS; i++)
    {
      ck_assert_uint_ge (bins[i], 230);
      ck_assert_uint_le (bins[i], 370);
    }
}
END_TEST

/* Load: the same wave, of four priorities.  Guards against less urgent callers
   that come back before the more urgent ones.  */
START_TEST (more_urgent_callers_come_back_first)
{
  double means[4] = { 0 };

  for (unsigned priority = 0; priority < 4; priority++)
    for (unsigned i = 0; i < CALLERS; i++)
      means[priority]
          += (double)wait_of (900000, 60000, 50000, priority) / CALLERS;
  ck_assert_double_lt (means[0] + 30000, means[1]);
  ck_assert_double_lt (means[1] + 30000, means[2]);
  ck_assert_double_eq_tol (means[2], means[3], 5000);
}
END_TEST

/* Load: callers that can't be answered in time after any wait, or have next to
   no time left.  Guards against an early return that only adds load, and
   against a wait of 0.  */
START_TEST (callers_with_next_to_no_time_left_are_told_a_third_of_it)
{
  for (unsigned i = 0; i < 100; i++)
    {
      ck_assert_uint_eq (wait_of (90000, 0, 100000, 0), 30000);
      ck_assert_uint_eq (wait_of (90000, 80000, 70000, 0), 30000);
      ck_assert_uint_eq (wait_of (2000, 0, 50000, 1), 1000);
      ck_assert_uint_eq (wait_of (0, 0, 50000, 1), 1000);
      ck_assert_uint_eq (wait_of (0, UINT64_MAX / 2, 0, 2), 1000);
    }
}
END_TEST

/* Load: room is expected only after a third of the time that is left.  The
   caller would not wait so long.  */
START_TEST (no_more_than_a_third_of_the_time_left_is_told)
{
  for (unsigned i = 0; i < 100; i++)
    ck_assert_uint_eq (wait_of (900000, 700000, 50000, (unsigned)i % 4),
                       300000);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_loop_test (
      tests, a_wave_of_refused_callers_comes_back_spread_evenly, 0, 3);
  tcase_add_test (tests, more_urgent_callers_come_back_first);
  tcase_add_test (tests,
                  callers_with_next_to_no_time_left_are_told_a_third_of_it);
  tcase_add_test (tests, no_more_than_a_third_of_the_time_left_is_told);
}

int
main (void)
{
  return suite_run ("retry_after", add_tests, 20);
}

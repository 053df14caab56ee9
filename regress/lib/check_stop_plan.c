/* Tests of the times of a planned stop.  */
#include "lib/clock.h"
#include "lib/stop_plan.h"
#include "regress/harness/suite.h"

#define NOW_US (1000 * CP_US_PER_S)

static const uint64_t graces_ms[]
    = { 0, 1, 100, 500, 1000, 2000, 6000, 60000 };

/* Guards against a step that never comes, or comes in the wrong order, when
   the grace time is short.  */
START_TEST (the_steps_follow_each_other_within_any_grace_time)
{
  uint64_t grace_us = graces_ms[_i] * CP_US_PER_MS;
  struct cp_stop_plan plan;

  cp_stop_plan_init (&plan, NOW_US, grace_us);
  ck_assert (plan.announce_us >= NOW_US);
  ck_assert (plan.close_us >= plan.announce_us);
  ck_assert (plan.work_until_us >= plan.close_us);
  ck_assert (plan.answer_until_us >= plan.work_until_us);
  ck_assert (plan.end_us >= plan.answer_until_us);
  ck_assert (plan.end_us <= NOW_US + grace_us);
}
END_TEST

/* Guards against work that is let in although it outlasts the process, and
   against the refusal of what ends in time.  */
START_TEST (work_is_let_in_that_ends_before_the_process)
{
  struct cp_stop_plan plan;
  uint64_t late_us;

  cp_stop_plan_init (&plan, NOW_US, 6 * CP_US_PER_S);
  late_us = plan.work_until_us - 300 * CP_US_PER_MS;
  /* It usually takes as long as is left; then longer.  */
  ck_assert (
      cp_stop_plan_admits (&plan, late_us, UINT64_MAX, 300 * CP_US_PER_MS));
  ck_assert (
      !cp_stop_plan_admits (&plan, late_us, UINT64_MAX, 301 * CP_US_PER_MS));
  /* Its own deadline ends it in time.  */
  ck_assert (
      cp_stop_plan_admits (&plan, late_us, plan.work_until_us, CP_US_PER_S));
  ck_assert (!cp_stop_plan_admits (&plan, plan.end_us, UINT64_MAX, 1));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests,
                       the_steps_follow_each_other_within_any_grace_time, 0,
                       sizeof graces_ms / sizeof graces_ms[0]);
  tcase_add_test (tests, work_is_let_in_that_ends_before_the_process);
}

int
main (void)
{
  return suite_run ("stop_plan", add_tests, 20);
}

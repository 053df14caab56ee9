/* The rules of the budget of repeats at one daemon, and the calls per run. */
#include "lib/call_fan_out.h"
#include "lib/repeat_budget.h"
#include "regress/harness/suite.h"

#define STEP_US (50 * CP_US_PER_MS)

static uint64_t
time_of (unsigned step)
{
  return 1000 * CP_US_PER_S + step * STEP_US;
}

static struct cp_repeat_budgets budgets;

static void
set_up (double ratio, double slack)
{
  cp_repeat_budgets_init (&budgets, time_of (0));
  cp_repeat_budgets_configure (&budgets, ratio, slack, 10 * CP_US_PER_S,
                               time_of (0));
}

static unsigned
take_all (const char *service, unsigned step)
{
  unsigned taken = 0;

  while (taken < 1000
         && cp_repeat_budgets_take (&budgets, service, time_of (step)))
    taken++;
  return taken;
}

/* Sees N_DAEMONS from step FIRST up to LAST.  */
static void
see_daemons (unsigned first, unsigned last, unsigned n_daemons)
{
  for (unsigned step = first; step <= last; step += 4)
    cp_repeat_budgets_see_daemons (&budgets, n_daemons, time_of (step));
}

/* Guards against a restart that gives a daemon its part of the slack a second
   time.  */
START_TEST (the_slack_is_not_used_in_the_first_window)
{
  set_up (0.2, 40);
  see_daemons (0, 200, 4);
  ck_assert_uint_eq (take_all ("called", 200), 0);
  see_daemons (204, 240, 4);
  ck_assert_uint_eq (take_all ("called", 240), 10);
  ck_assert_uint_eq (take_all ("caller", 240), 10);
  cp_repeat_budgets_finish (&budgets);
}
END_TEST

/* Guards against parts of the slack that grow when daemons lose sight of each
   other, and against their use after a pause.  */
START_TEST (the_slack_is_divided_by_the_most_daemons_of_the_window)
{
  set_up (0.2, 40);
  see_daemons (0, 240, 4);
  see_daemons (244, 420, 1);
  ck_assert_double_eq_tol (cp_repeat_budgets_slack (&budgets, time_of (420)),
                           10, 1e-9);
  see_daemons (424, 480, 1);
  ck_assert_double_eq_tol (cp_repeat_budgets_slack (&budgets, time_of (480)),
                           40, 1e-9);
  see_daemons (520, 600, 4);
  ck_assert_uint_eq (take_all ("called", 600), 0);
  cp_repeat_budgets_finish (&budgets);
}
END_TEST

/* Guards against a short window that makes each count of the daemons seem
   late, so that the slack is never used.  */
START_TEST (the_slack_is_used_with_a_short_window)
{
  cp_repeat_budgets_init (&budgets, time_of (0));
  cp_repeat_budgets_configure (&budgets, 0.2, 40, CP_US_PER_S, time_of (0));
  see_daemons (0, 80, 4);
  ck_assert_uint_eq (take_all ("called", 80), 10);
  cp_repeat_budgets_finish (&budgets);
}
END_TEST

/* Guards against runs that are wasted since their calls find the budget
   used.  */
START_TEST (what_is_reserved_for_calls_is_kept_for_them)
{
  set_up (1, 0);
  /* Half of the ratio may be used before half a window has passed.  */
  for (unsigned i = 0; i < 20; i++)
    cp_repeat_budgets_count_request (&budgets, "called", time_of (1));
  ck_assert (cp_repeat_budgets_reserve (&budgets, "called", 6.5, time_of (1)));
  ck_assert (!cp_repeat_budgets_reserve (&budgets, "called", 4, time_of (1)));
  ck_assert_uint_eq (take_all ("called", 1), 3);
  cp_repeat_budgets_release (&budgets, "called", 6.5);
  ck_assert_uint_eq (take_all ("called", 1), 7);
  cp_repeat_budgets_give_back (&budgets, "called", time_of (1));
  ck_assert_uint_eq (take_all ("called", 2), 1);
  cp_repeat_budgets_finish (&budgets);
}
END_TEST

/* Guards against retries that use up the budget, and the servers, while a
   service rejects nearly all.  */
START_TEST (retries_stop_where_servers_reject_nearly_all)
{
  struct cp_seeded_random seeded;
  unsigned allowed = 0;

  cp_seeded_random_init (&seeded, 1);
  set_up (1, 0);
  for (unsigned i = 0; i < 400; i++)
    cp_repeat_budgets_record_attempt (&budgets, "called", i % 10 > 0);
  for (unsigned i = 0; i < 1000; i++)
    {
      allowed += cp_repeat_budgets_allow_retry (&budgets, "called",
                                                &seeded.random);
      ck_assert (
          cp_repeat_budgets_allow_retry (&budgets, "caller", &seeded.random));
    }
  ck_assert_uint_gt (allowed, 100);
  ck_assert_uint_lt (allowed, 300);
  for (unsigned i = 0; i < 100; i++)
    cp_repeat_budgets_record_attempt (&budgets, "called", i % 3 == 0);
  for (unsigned i = 0; i < 100; i++)
    ck_assert (
        cp_repeat_budgets_allow_retry (&budgets, "called", &seeded.random));
  cp_repeat_budgets_finish (&budgets);
  cp_seeded_random_finish (&seeded);
}
END_TEST

/* Guards against means of another route, and means that do not follow.  */
START_TEST (the_calls_of_a_route_are_learned)
{
  struct cp_call_fan_out fan_out;
  struct cp_run_calls run = { 0 };

  cp_call_fan_out_init (&fan_out);
  ck_assert_ptr_null (cp_call_fan_out_find (&fan_out, "a.test", "/r/"));
  cp_run_calls_add (&run, "called", 2);
  cp_call_fan_out_record (&fan_out, "a.test", "/r/", &run);
  ck_assert_double_eq_tol (
      cp_run_calls_get (cp_call_fan_out_find (&fan_out, "a.test", "/r/"),
                        "called"),
      2, 1e-9);
  ck_assert_ptr_null (cp_call_fan_out_find (&fan_out, "a.test", "/w/"));
  cp_run_calls_finish (&run);
  cp_run_calls_add (&run, "other", 1);
  for (unsigned i = 0; i < 100; i++)
    cp_call_fan_out_record (&fan_out, "a.test", "/r/", &run);
  ck_assert_double_lt (
      cp_run_calls_get (cp_call_fan_out_find (&fan_out, "a.test", "/r/"),
                        "called"),
      0.1);
  ck_assert_double_gt (
      cp_run_calls_get (cp_call_fan_out_find (&fan_out, "a.test", "/r/"),
                        "other"),
      0.9);
  cp_run_calls_finish (&run);
  cp_call_fan_out_finish (&fan_out);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, the_slack_is_not_used_in_the_first_window);
  tcase_add_test (tests,
                  the_slack_is_divided_by_the_most_daemons_of_the_window);
  tcase_add_test (tests, the_slack_is_used_with_a_short_window);
  tcase_add_test (tests, what_is_reserved_for_calls_is_kept_for_them);
  tcase_add_test (tests, retries_stop_where_servers_reject_nearly_all);
  tcase_add_test (tests, the_calls_of_a_route_are_learned);
}

int
main (void)
{
  return suite_run ("repeat_rules", add_tests, 20);
}

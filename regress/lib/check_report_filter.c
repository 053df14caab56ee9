/* Which changes of load are reported, and how far.  */
#include "lib/report_filter.h"
#include "regress/harness/suite.h"

#define LIMIT 12

static struct cp_report_filter filter;

static void
setup (void)
{
  cp_report_filter_init (&filter);
  cp_report_filter_check (
      &filter,
      &(struct cp_server_load){ .limit = LIMIT, .slowness_percent = 100 });
}

static enum cp_report_scope
check (unsigned running, unsigned slowness_percent)
{
  struct cp_server_load load = { .running = running,
                                 .limit = LIMIT,
                                 .slowness_percent = slowness_percent };

  return cp_report_filter_check (&filter, &load);
}

START_TEST (a_small_change_is_not_reported)
{
  ck_assert_int_eq (check (LIMIT / 4, 100), CP_REPORT_NONE);
  ck_assert_int_eq (check (0, 120), CP_REPORT_NONE);
}
END_TEST

START_TEST (busy_slots_are_reported_in_the_own_domain)
{
  ck_assert_int_eq (check (LIMIT / 2, 100), CP_REPORT_OWN_DOMAIN);
  ck_assert_int_eq (check (LIMIT / 2, 100), CP_REPORT_NONE);
  ck_assert_int_eq (check (1, 100), CP_REPORT_OWN_DOMAIN);
}
END_TEST

START_TEST (slowness_is_reported_to_all)
{
  ck_assert_int_eq (check (0, 400), CP_REPORT_ALL);
  ck_assert_int_eq (check (0, 400), CP_REPORT_NONE);
  ck_assert_int_eq (check (0, 100), CP_REPORT_ALL);
}
END_TEST

/* A server that stays nearly full is not reported to all for each request that
   starts or ends.  */
START_TEST (a_full_server_is_reported_once_until_it_has_room)
{
  ck_assert_int_eq (check (LIMIT, 100), CP_REPORT_ALL);
  for (unsigned i = 0; i < 20; i++)
    ck_assert_int_ne (check (LIMIT - i % 2, 100), CP_REPORT_ALL);
  ck_assert_int_eq (check (LIMIT / 2, 100), CP_REPORT_ALL);
  ck_assert_int_eq (check (LIMIT / 2, 100), CP_REPORT_NONE);
}
END_TEST

/* What was reported only in the own domain is not forgotten: a slow change of
   slowness reaches the others too.  */
START_TEST (changes_that_others_did_not_get_add_up)
{
  check (LIMIT / 2, 120);
  ck_assert_int_eq (check (LIMIT / 2, 130), CP_REPORT_ALL);
}
END_TEST

/* Guards against daemons of other domains that send to a server which has said
   that it leaves.  */
START_TEST (a_server_that_leaves_is_reported_to_all)
{
  struct cp_server_load load
      = { .limit = LIMIT, .slowness_percent = 100, .leaving = true };

  ck_assert_int_eq (cp_report_filter_check (&filter, &load), CP_REPORT_ALL);
  ck_assert_int_eq (cp_report_filter_check (&filter, &load), CP_REPORT_NONE);
}
END_TEST

/* Guards against daemons that go on choosing a server which refuses
   connections, or that learn late of its return.  */
START_TEST (a_server_that_is_down_or_back_is_reported_to_all)
{
  struct cp_server_load load
      = { .limit = LIMIT, .slowness_percent = 100, .down = true };

  ck_assert_int_eq (cp_report_filter_check (&filter, &load), CP_REPORT_ALL);
  ck_assert_int_eq (cp_report_filter_check (&filter, &load), CP_REPORT_NONE);
  load.down = false;
  ck_assert_int_eq (cp_report_filter_check (&filter, &load), CP_REPORT_ALL);
  ck_assert_int_eq (cp_report_filter_check (&filter, &load), CP_REPORT_NONE);
}
END_TEST

/* Guards against senders that learn late that a server has turned cold or is
   warm again, and against a message to all each time that less time is left.
   */
START_TEST (a_server_that_turns_cold_or_warm_is_reported_to_all)
{
  struct cp_server_load load
      = { .limit = LIMIT, .slowness_percent = 100, .cold_us = 3000000 };

  ck_assert_int_eq (cp_report_filter_check (&filter, &load), CP_REPORT_ALL);
  load.cold_us = 2000000;
  ck_assert_int_eq (cp_report_filter_check (&filter, &load), CP_REPORT_NONE);
  load.cold_us = 0;
  ck_assert_int_eq (cp_report_filter_check (&filter, &load), CP_REPORT_ALL);
}
END_TEST

/* Guards against senders that keep what an earlier server reported.  */
START_TEST (the_first_report_goes_to_all)
{
  cp_report_filter_init (&filter);
  ck_assert_int_eq (check (0, 100), CP_REPORT_ALL);
  ck_assert_int_eq (check (0, 100), CP_REPORT_NONE);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, NULL);
  tcase_add_test (tests, a_small_change_is_not_reported);
  tcase_add_test (tests, busy_slots_are_reported_in_the_own_domain);
  tcase_add_test (tests, slowness_is_reported_to_all);
  tcase_add_test (tests, a_full_server_is_reported_once_until_it_has_room);
  tcase_add_test (tests, a_server_that_leaves_is_reported_to_all);
  tcase_add_test (tests, a_server_that_is_down_or_back_is_reported_to_all);
  tcase_add_test (tests, a_server_that_turns_cold_or_warm_is_reported_to_all);
  tcase_add_test (tests, the_first_report_goes_to_all);
  tcase_add_test (tests, changes_that_others_did_not_get_add_up);
}

int
main (void)
{
  return suite_run ("report_filter", add_tests, 10);
}

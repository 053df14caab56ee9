/* The whole path over real processes.  */
#include <stdio.h>
#include <string.h>

#include "regress/harness/harness.h"
#include "regress/harness/suite.h"

#define CALLERS 10
#define CALLS_EACH 1000

START_TEST (one_call_reaches_a_target)
{
  struct fleet fleet;
  struct reply reply;
  char value[128];

  fleet_start (&fleet, 3, 3, NULL);
  reply_init (&reply);
  fleet_call (&fleet, &reply, 1, "GET", "/items/1?x=%20y", NULL, NULL);
  ck_assert_int_eq (reply.status, 200);
  ck_assert (reply_header (&reply, "Cornelpick-Outcome", value, sizeof value));
  ck_assert_str_eq (value, "ran");
  ck_assert (reply_header (&reply, "Cornelpick-Request", value, sizeof value));
  ck_assert_ptr_nonnull (strstr (reply.body->str, value));
  ck_assert_uint_eq (fleet_runs (&fleet, value), 1);
  reply_finish (&reply);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (an_order_is_run_once)
{
  struct fleet fleet;
  struct reply reply;
  char value[128];

  fleet_start (&fleet, 3, 3, NULL);
  reply_init (&reply);
  fleet_call (&fleet, &reply, 2, "POST", "/orders", NULL, "elephant");
  ck_assert_int_eq (reply.status, 200);
  ck_assert (reply_header (&reply, "Cornelpick-Request", value, sizeof value));
  ck_assert_uint_eq (fleet_runs (&fleet, value), 1);
  ck_assert_ptr_nonnull (strstr (reply.body->str, "\"bytes\": 8"));
  reply_finish (&reply);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (unknown_paths_are_not_forwarded)
{
  struct fleet fleet;
  struct reply reply;
  char value[128];

  fleet_start (&fleet, 1, 1, NULL);
  reply_init (&reply);
  fleet_call (&fleet, &reply, 1, "GET", "/nothing", NULL, NULL);
  ck_assert_int_eq (reply.status, 404);
  ck_assert (reply_header (&reply, "Cornelpick-Request", value, sizeof value));
  ck_assert (reply_header (&reply, "Cornelpick-Outcome", value, sizeof value));
  ck_assert_str_eq (value, "not-run");
  fleet_call (&fleet, &reply, 1, "DELETE", "/items/1", NULL, NULL);
  ck_assert_int_eq (reply.status, 405);
  ck_assert_uint_eq (fleet_counter (&fleet, 1, "attempts_total"), 0);
  reply_finish (&reply);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (ten_thousand_calls_over_kept_connections)
{
  struct fleet fleet;
  struct kept_caller callers[CALLERS];

  fleet_start (&fleet, 3, 3, NULL);
  for (unsigned vm = 1; vm <= 3; vm++)
    fleet_control (&fleet, vm, "{\"service_ms\": 0.2}");
  for (unsigned i = 0; i < CALLERS; i++)
    kept_caller_start (&callers[i], &fleet, 1 + i % 3, CALLS_EACH);
  for (unsigned i = 0; i < CALLERS; i++)
    ck_assert_uint_eq (kept_caller_join (&callers[i]), 0);
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, one_call_reaches_a_target);
  tcase_add_test (tests, an_order_is_run_once);
  tcase_add_test (tests, unknown_paths_are_not_forwarded);
  tcase_add_test (tests, ten_thousand_calls_over_kept_connections);
}

int
main (void)
{
  return suite_run ("path", add_tests, 120);
}

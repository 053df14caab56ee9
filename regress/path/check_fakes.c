/* Tests behaviour of the fakes that other tests rely on.  */
#include <stdio.h>
#include <string.h>

#include "fakes/fakes.h"
#include "lib/cleanup.h"
#include "regress/harness/harness.h"
#include "regress/harness/suite.h"

START_TEST (the_load_page_lags)
{
  static struct fake_load_history lag;

  ck_assert_uint_eq (fake_load_history_at (&lag, 5), 0);
  fake_load_history_add (&lag, 100, 3);
  fake_load_history_add (&lag, 200, 7);
  ck_assert_uint_eq (fake_load_history_at (&lag, 99), 0);
  ck_assert_uint_eq (fake_load_history_at (&lag, 100), 3);
  ck_assert_uint_eq (fake_load_history_at (&lag, 199), 3);
  ck_assert_uint_eq (fake_load_history_at (&lag, 1000), 7);
  for (unsigned i = 0; i < FAKE_LOAD_SAMPLES; i++)
    fake_load_history_add (&lag, 1000 + i, 9);
  ck_assert_uint_eq (fake_load_history_at (&lag, 5), 9);
}
END_TEST

static bool
list_has_vm (void *context)
{
  char address[56];
  struct reply reply;
  bool found;

  reply_init (&reply);
  http_call (&reply, fleet_address (context, 250, 9000, address), "GET",
             "/vms", NULL, NULL, 5000);
  found = strstr (reply.body->str, "vm-9") != NULL;
  reply_finish (&reply);
  return found;
}

START_TEST (the_vm_list_lags)
{
  struct fleet fleet;

  fleet_start (&fleet, 1, 1, NULL);
  fleet_control (&fleet, 0,
                 "{\"vms_lag_ms\": 600, \"vms\": [{\"name\": \"vm-9\", "
                 "\"ip\": \"127.9.9.9\", \"failure_domain\": \"domain-1\", "
                 "\"state\": \"live\"}]}");
  ck_assert (!list_has_vm (&fleet));
  wait_until (list_has_vm, &fleet);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (unknown_control_keys_are_refused)
{
  struct fleet fleet;
  char address[56];
  struct reply reply;

  fleet_start (&fleet, 1, 1, NULL);
  reply_init (&reply);
  http_call (&reply, fleet_address (&fleet, 1, 8080, address), "POST",
             "/fake/control", NULL, "{\"slow\": 1}", 5000);
  ck_assert_int_eq (reply.status, 400);
  reply_finish (&reply);
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, the_load_page_lags);
  tcase_add_test (tests, the_vm_list_lags);
  tcase_add_test (tests, unknown_control_keys_are_refused);
}

int
main (void)
{
  return suite_run ("fakes", add_tests, 60);
}

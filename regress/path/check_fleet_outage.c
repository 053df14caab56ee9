/* Tests outages of the configuration service: restarted daemons get the
   document from peers, and a daemon that finds neither peers nor service does
   not serve.  */
#include <signal.h>
#include <string.h>

#include "regress/harness/spread.h"
#include "regress/harness/suite.h"

#define VMS 6
#define DOMAINS 3

START_TEST (restarted_daemons_get_the_document_from_peers)
{
  struct fleet fleet;

  fleet_start (&fleet, VMS, DOMAINS, NULL);
  fleet_list (&fleet, 0);
  fleet_change (&fleet, NULL);
  fleet_wait_version (&fleet, 1, VMS, 2);
  fleet_control (&fleet, 0, "{\"document_down\": true}");
  for (unsigned vm = 1; vm <= VMS; vm++)
    {
      process_signal (&fleet.daemons[vm], SIGKILL);
      fleet_start_daemon (&fleet, vm);
      fleet_wait_serving (&fleet, vm);
      ck_assert_uint_eq (fleet_version (&fleet, vm), 2);
    }
  fleet_wait_calls (&fleet, 1, 10);
  fleet_control (&fleet, 0, "{\"document_down\": false}");
  fleet_change (&fleet, NULL);
  fleet_wait_version (&fleet, 1, VMS, 3);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (a_daemon_without_a_document_does_not_serve)
{
  struct fleet fleet;
  struct reply reply;
  char value[64];

  fleet_start (&fleet, 2, 2, NULL);
  fleet_control (&fleet, 0, "{\"down\": true}");
  process_signal (&fleet.daemons[1], SIGKILL);
  process_signal (&fleet.daemons[2], SIGKILL);
  fleet_start_daemon (&fleet, 1);
  fleet_wait_configuration (&fleet, 1, "state", "unconfigured");
  reply_init (&reply);
  fleet_call (&fleet, &reply, 1, "GET", "/items/1", NULL, NULL);
  ck_assert_int_eq (reply.status, 503);
  ck_assert (reply_header (&reply, "Cornelpick-Outcome", value, sizeof value));
  ck_assert_str_eq (value, "not-run");
  reply_finish (&reply);
  fleet_control (&fleet, 0, "{\"down\": false}");
  fleet_wait_serving (&fleet, 1);
  fleet_wait_configuration (&fleet, 1, "state", "current");
  fleet_stop (&fleet);
}
END_TEST

/* Half of the fleet is partitioned from the service and the other half, which
   gets a change.  The service goes down before the partition heals, so that
   the change can come from peers only.  */
START_TEST (a_change_crosses_a_healed_partition_without_the_service)
{
  struct fleet fleet;

  fleet_allow_cuts ();
  fleet_start (&fleet, VMS, DOMAINS, NULL);
  fleet_list (&fleet, 0);
  fleet_cut (4, 6, 1, 3);
  fleet_cut (4, 6, 250, 250);
  fleet_change (&fleet, NULL);
  fleet_wait_version (&fleet, 1, 3, 2);
  for (unsigned vm = 4; vm <= 6; vm++)
    ck_assert_uint_eq (fleet_version (&fleet, vm), 1);
  fleet_control (&fleet, 0, "{\"down\": true}");
  fleet_heal ();
  fleet_wait_version (&fleet, 1, VMS, 2);
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, restarted_daemons_get_the_document_from_peers);
  tcase_add_test (tests, a_daemon_without_a_document_does_not_serve);
  tcase_add_test (tests,
                  a_change_crosses_a_healed_partition_without_the_service);
}

int
main (void)
{
  return suite_run ("fleet_outage", add_tests, 90);
}

/* Tests a partition of the fleet into halves: both keep serving, and after it
   heals the newest version is in force at all daemons.  */
#include <signal.h>
#include <stdio.h>

#include "lib/cleanup.h"
#include "regress/harness/spread.h"
#include "regress/harness/suite.h"

#define VMS 6
#define DOMAINS 3

/* Starts a fleet and partitions it: VMs 1 to 3 reach the service, 4 to 6 do
   not.  */
static void
start_partitioned (struct fleet *fleet)
{
  fleet_allow_cuts ();
  fleet_start (fleet, VMS, DOMAINS, NULL);
  fleet_list (fleet, 0);
  fleet_wait_calls (fleet, 1, 1);
  fleet_cut (1, 3, 4, 6);
  fleet_cut (4, 6, 250, 250);
}

START_TEST (both_halves_serve_and_converge_on_the_newest_version)
{
  struct fleet fleet;

  start_partitioned (&fleet);
  fleet_change (&fleet, NULL);
  fleet_wait_version (&fleet, 1, 3, 2);
  fleet_wait_calls (&fleet, 2, 10);
  fleet_wait_calls (&fleet, 5, 10);
  for (unsigned vm = 4; vm <= 6; vm++)
    ck_assert_uint_eq (fleet_version (&fleet, vm), 1);
  fleet_change (&fleet, NULL);
  fleet_wait_version (&fleet, 1, 3, 3);
  fleet_heal ();
  fleet_wait_version (&fleet, 1, VMS, 3);
  fleet_stop (&fleet);
}
END_TEST

/* Each half reaches a different replica of the service: that of VMs 4 to 6
   has an older version than that of 1 to 3, but a newer one than is in force
   there.  */
START_TEST (a_stale_replica_reverts_no_newer_version)
{
  struct fleet fleet;
  CP_AUTO_JSON json_t *control = NULL;
  CP_AUTO_FREE char *text = NULL;

  start_partitioned (&fleet);
  fleet.version = 4;
  fleet_change (&fleet, NULL);
  fleet_wait_version (&fleet, 1, 3, 5);
  fleet_cut (1, 3, 250, 250);
  fleet.version = 3;
  control = json_pack ("{s:o}", "stale", fleet_document (&fleet));
  text = json_dumps (control, 0);
  fleet_control (&fleet, 0, text);
  fleet_reconnect (4, 6, 250, 250);
  fleet_wait_version (&fleet, 4, 6, 3);
  for (unsigned vm = 1; vm <= 3; vm++)
    ck_assert_uint_eq (fleet_version (&fleet, vm), 5);
  fleet_heal ();
  fleet_wait_version (&fleet, 1, VMS, 5);
  fleet_stop (&fleet);
}
END_TEST

/* VM 5 is killed and restarted while its half is partitioned.  */
START_TEST (a_daemon_restarted_in_the_isolated_half_catches_up)
{
  struct fleet fleet;

  fleet_allow_cuts ();
  fleet_start (&fleet, VMS, DOMAINS, NULL);
  fleet_list (&fleet, 0);
  fleet_cut (1, 3, 4, 6);
  fleet_control (&fleet, 0, "{\"document_down\": true}");
  process_signal (&fleet.daemons[5], SIGKILL);
  fleet_start_daemon (&fleet, 5);
  fleet_wait_serving (&fleet, 5);
  ck_assert_uint_eq (fleet_version (&fleet, 5), 1);
  fleet_cut (4, 6, 250, 250);
  fleet_control (&fleet, 0, "{\"document_down\": false}");
  fleet_change (&fleet, NULL);
  fleet_wait_version (&fleet, 1, 3, 2);
  ck_assert_uint_eq (fleet_version (&fleet, 5), 1);
  fleet_wait_calls (&fleet, 5, 5);
  fleet_heal ();
  fleet_wait_version (&fleet, 1, VMS, 2);
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, both_halves_serve_and_converge_on_the_newest_version);
  tcase_add_test (tests, a_stale_replica_reverts_no_newer_version);
  tcase_add_test (tests, a_daemon_restarted_in_the_isolated_half_catches_up);
}

int
main (void)
{
  return suite_run ("fleet_partition", add_tests, 90);
}

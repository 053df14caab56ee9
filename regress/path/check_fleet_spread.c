/* Tests that changes reach all daemons section by section, and that the
   daemons stay within the read limit of the configuration service.  */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/spread.h"
#include "regress/harness/suite.h"

#define VMS 12
#define DOMAINS 3
#define CHANGES 5

static json_t *
section (json_t *document, const char *name)
{
  return json_object_get (json_object_get (document, "sections"), name);
}

/* Adds a second service, with a target that has no daemon.  */
static void
add_stock (json_t *document)
{
  json_t *stock = json_deep_copy (section (document, "shop"));
  json_t *route
      = json_deep_copy (json_array_get (json_object_get (stock, "routes"), 0));

  json_object_set_new (route, "host", json_string ("stock.example"));
  json_object_set_new (stock, "routes", json_pack ("[o]", route));
  json_object_set_new (stock, "targets",
                       json_pack ("{s:{s:s, s:b, s:s}}", "stock-1", "address",
                                  "127.0.0.9:8080", "daemon", 0,
                                  "failure_domain", "domain-1"));
  json_object_set_new (json_object_get (document, "sections"), "stock", stock);
}

static void
make_stock_invalid (json_t *document)
{
  json_object_set_new (section (document, "stock"), "slots",
                       json_integer (-1));
  json_object_set_new (section (document, "shop"), "deadline_ms",
                       json_integer (2500));
}

static uint64_t
section_number (struct fleet *fleet, unsigned vm, const char *name,
                const char *key)
{
  CP_AUTO_JSON json_t *state = fleet_state (fleet, vm);
  json_t *list
      = json_object_get (json_object_get (state, "configuration"), "sections");

  return (uint64_t)json_integer_value (
      json_object_get (json_object_get (list, name), key));
}

START_TEST (a_change_is_in_force_everywhere)
{
  struct fleet fleet;
  uint64_t reads;
  gint64 started;
  double allowed;

  fleet_start (&fleet, VMS, DOMAINS, NULL);
  fleet_list (&fleet, 0);
  reads = fleet_reads (&fleet);
  started = g_get_monotonic_time ();
  for (unsigned i = 0; i < CHANGES; i++)
    {
      fleet_change (&fleet, NULL);
      fleet_wait_version (&fleet, 1, VMS, fleet.version);
    }
  allowed = 2000 * 0.25 * (double)(g_get_monotonic_time () - started)
            / G_USEC_PER_SEC;
  ck_assert_double_lt ((double)(fleet_reads (&fleet) - reads), allowed);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (an_invalid_section_delays_no_other)
{
  struct fleet fleet;

  fleet_start (&fleet, VMS, DOMAINS, add_stock);
  ck_assert_uint_eq (section_number (&fleet, 1, "stock", "version"), 1);
  fleet_change (&fleet, make_stock_invalid);
  fleet_wait_version (&fleet, 1, VMS, 2);
  for (unsigned vm = 1; vm <= VMS; vm++)
    {
      ck_assert_uint_eq (section_number (&fleet, vm, "stock", "version"), 1);
      ck_assert_uint_eq (
          section_number (&fleet, vm, "stock", "refused_version"), 2);
      ck_assert_uint_eq (section_number (&fleet, vm, "shop", "version"), 2);
    }
  fleet_change (&fleet, NULL);
  fleet_wait_version (&fleet, 1, VMS, 3);
  for (unsigned vm = 1; vm <= VMS; vm++)
    {
      ck_assert_uint_eq (section_number (&fleet, vm, "stock", "version"), 3);
      ck_assert_uint_eq (
          section_number (&fleet, vm, "stock", "refused_version"), 0);
    }
  fleet_stop (&fleet);
}
END_TEST

/* A daemon that starts when the newest text of a section is invalid gets the
   last accepted text, which only peers have.  */
START_TEST (a_restarted_daemon_gets_the_last_accepted_text)
{
  struct fleet fleet;

  fleet_start (&fleet, 6, DOMAINS, add_stock);
  fleet_list (&fleet, 0);
  fleet_change (&fleet, make_stock_invalid);
  fleet_wait_version (&fleet, 1, 6, 2);
  process_signal (&fleet.daemons[3], SIGKILL);
  fleet_start_daemon (&fleet, 3);
  fleet_wait_serving (&fleet, 3);
  fleet_wait_version (&fleet, 3, 3, 2);
  ck_assert_uint_eq (section_number (&fleet, 3, "stock", "version"), 1);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (a_stale_service_reverts_no_daemon)
{
  struct fleet fleet;
  CP_AUTO_JSON json_t *control = NULL;
  CP_AUTO_FREE char *text = NULL;

  fleet_start (&fleet, 6, DOMAINS, NULL);
  fleet_list (&fleet, 0);
  control = json_pack ("{s:o}", "stale", fleet_document (&fleet));
  text = json_dumps (control, 0);
  fleet_change (&fleet, NULL);
  fleet_wait_version (&fleet, 1, 6, 2);
  fleet_control (&fleet, 0, text);
  process_signal (&fleet.daemons[2], SIGKILL);
  fleet_start_daemon (&fleet, 2);
  fleet_wait_serving (&fleet, 2);
  for (unsigned vm = 1; vm <= 6; vm++)
    ck_assert_uint_eq (fleet_version (&fleet, vm), 2);
  while (fleet_counter (&fleet, 1, "configuration_older_total")
             + fleet_counter (&fleet, 4, "configuration_older_total")
         == 0)
    g_usleep (100000);
  for (unsigned vm = 1; vm <= 6; vm++)
    ck_assert_uint_eq (fleet_version (&fleet, vm), 2);
  fleet_control (&fleet, 0, "{\"stale\": null}");
  fleet_change (&fleet, NULL);
  fleet_wait_version (&fleet, 1, 6, 3);
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, a_change_is_in_force_everywhere);
  tcase_add_test (tests, an_invalid_section_delays_no_other);
  tcase_add_test (tests, a_restarted_daemon_gets_the_last_accepted_text);
  tcase_add_test (tests, a_stale_service_reverts_no_daemon);
}

int
main (void)
{
  return suite_run ("fleet_spread", add_tests, 90);
}

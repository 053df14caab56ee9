/* Planned stops (SIGTERM) must not interrupt or lose calls in flight.  */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "regress/harness/campaign.h"
#include "regress/harness/suite.h"

#define CALLERS 8
#define DRAIN_WITHIN_MS 500
#define DRAIN_MS 1000

static void
shorten_drain (json_t *document)
{
  static const char *const names[] = { "shop", "gate" };

  campaign_gate (document);
  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    json_object_set_new (
        json_object_get (json_object_get (document, "sections"), names[i]),
        "drain",
        json_pack ("{s:i, s:i}", "within_ms", DRAIN_WITHIN_MS, "finish_ms",
                   DRAIN_MS));
}

static void
set_up (struct fleet *fleet, struct campaign *campaign, unsigned n_vms,
        void (*edit) (json_t *document))
{
  fleet_start (fleet, n_vms, 2, edit);
  memset (campaign, 0, sizeof *campaign);
  campaign->fleet = fleet;
  campaign->method = "POST";
  campaign->path = "/orders";
  campaign->body = "elephant";
  campaign->first_vm = 1;
  campaign->last_vm = n_vms;
  campaign->n_callers = CALLERS;
}

/* Each daemon in turn is stopped and restarted under load.  Calls are
   answered, get not-run or are refused a connection; none is truncated or
   unknown.  */
START_TEST (a_rolling_restart_loses_no_call)
{
  static struct fleet fleet;
  static struct campaign campaign;
  struct campaign_totals totals;

  set_up (&fleet, &campaign, 4, NULL);
  for (unsigned vm = 1; vm <= 4; vm++)
    fleet_control (&fleet, vm, "{\"service_ms\": 20}");
  campaign_start (&campaign);
  for (unsigned vm = 1; vm <= 4; vm++)
    {
      usleep (100000);
      ck_assert_int_eq (process_signal (&fleet.daemons[vm], SIGTERM), 0);
      fleet_start_daemon (&fleet, vm);
      fleet_wait_serving (&fleet, vm);
    }
  __atomic_store_n (&campaign.stop, true, __ATOMIC_RELEASE);
  campaign_check (&campaign, &totals);
  ck_assert_uint_gt (totals.told[TOLD_RAN], 0);
  ck_assert_uint_eq (totals.told[TOLD_UNKNOWN], 0);
  ck_assert_uint_eq (totals.told[TOLD_NOTHING], 0);
  fleet_stop (&fleet);
}
END_TEST

/* Returns whether a call is in flight at VM 2's inbound side.  */
static bool
is_in_flight (void *context)
{
  json_t *state = fleet_state (context, 2);
  json_t *inbound = json_object_get (state, "inbound");
  bool found = json_integer_value (json_object_get (inbound, "in_flight")) > 0;

  json_decref (state);
  return found;
}

START_TEST (a_hanging_call_ends_at_the_limit_of_the_drain)
{
  static struct fleet fleet;
  static struct campaign campaign;
  struct campaign_totals totals;

  set_up (&fleet, &campaign, 2, shorten_drain);
  campaign.last_vm = 1;
  campaign.n_callers = 1;
  campaign.calls_each = 1;
  fleet_control (&fleet, 2, "{\"mode\": \"silent\"}");
  campaign_start (&campaign);
  wait_until (is_in_flight, &fleet);
  ck_assert_int_eq (process_signal (&fleet.daemons[2], SIGTERM), 0);
  campaign_check (&campaign, &totals);
  ck_assert_uint_eq (totals.told[TOLD_UNKNOWN], 1);
  ck_assert_uint_eq (totals.runs, 1);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (a_draining_daemon_tells_its_callers_to_leave)
{
  static struct fleet fleet;
  static struct campaign campaign;
  struct campaign_totals totals;
  struct reply reply;
  char value[32];
  int status;

  set_up (&fleet, &campaign, 2, shorten_drain);
  campaign.last_vm = 1;
  campaign.n_callers = 1;
  campaign.calls_each = 1;
  fleet_control (&fleet, 2, "{\"mode\": \"silent\"}");
  campaign_start (&campaign);
  wait_until (is_in_flight, &fleet);
  kill (fleet.daemons[1].pid, SIGTERM);
  usleep (100000);
  reply_init (&reply);
  fleet_call (&fleet, &reply, 1, "GET", "/items/1", NULL, NULL);
  ck_assert_int_eq (reply.status, 503);
  ck_assert (reply_header (&reply, "Cornelpick-Outcome", value, sizeof value));
  ck_assert_str_eq (value, "not-run");
  ck_assert (reply_header (&reply, "Connection", value, sizeof value));
  ck_assert_str_eq (value, "close");
  reply_finish (&reply);
  campaign_check (&campaign, &totals);
  ck_assert_uint_eq (totals.told[TOLD_UNKNOWN], 1);
  ck_assert_int_eq (waitpid (fleet.daemons[1].pid, &status, 0),
                    fleet.daemons[1].pid);
  ck_assert_int_eq (status, 0);
  fleet.daemons[1].pid = 0;
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, a_rolling_restart_loses_no_call);
  tcase_add_test (tests, a_hanging_call_ends_at_the_limit_of_the_drain);
  tcase_add_test (tests, a_draining_daemon_tells_its_callers_to_leave);
}

int
main (void)
{
  return suite_run ("attempts_stops", add_tests, 90);
}

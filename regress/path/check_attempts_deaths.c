/* Daemons that are killed or stopped with attempts in progress.  The targets
   keep running; their journals show how often each call ran.  */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "regress/harness/campaign.h"
#include "regress/harness/suite.h"

#define CALLERS 8

static void
shorten_order_deadline (json_t *document)
{
  json_t *routes;

  campaign_gate (document);
  routes = json_object_get (
      json_object_get (json_object_get (document, "sections"), "shop"),
      "routes");
  json_object_set_new (json_array_get (routes, 1), "deadline_ms",
                       json_integer (1000));
}

/* The target that has_started checks.  */
struct awaited_run
{
  struct fleet *fleet;
  unsigned vm;
};

/* Returns whether the target has started to run an order.  */
static bool
has_started (void *context)
{
  struct awaited_run *awaited = context;
  char address[56];
  struct reply reply;
  bool started;

  reply_init (&reply);
  http_call (&reply,
             fleet_address (awaited->fleet, awaited->vm, 8080, address), "GET",
             "/fake/journal", NULL, NULL, 5000);
  started = strstr (reply.body->str, "POST") != NULL;
  reply_finish (&reply);
  return started;
}

static void
set_up (struct fleet *fleet, struct campaign *campaign, unsigned n_vms,
        unsigned callers, unsigned calls_each)
{
  fleet_start (fleet, n_vms, 2, shorten_order_deadline);
  memset (campaign, 0, sizeof *campaign);
  campaign->fleet = fleet;
  campaign->method = "POST";
  campaign->path = "/orders";
  campaign->body = "elephant";
  campaign->first_vm = campaign->last_vm = 1;
  campaign->n_callers = callers;
  campaign->calls_each = calls_each;
}

START_TEST (inbound_side_dies_before_the_answer)
{
  struct fleet fleet;
  struct campaign campaign;
  struct campaign_totals totals;
  struct awaited_run awaited = { &fleet, 2 };

  set_up (&fleet, &campaign, 2, 1, 1);
  fleet_control (&fleet, 2, "{\"fixed_ms\": 300}");
  campaign_start (&campaign);
  wait_until (has_started, &awaited);
  process_signal (&fleet.daemons[2], SIGKILL);
  campaign_check (&campaign, &totals);
  ck_assert_uint_eq (totals.told[TOLD_UNKNOWN], 1);
  fleet_start_daemon (&fleet, 2);
  fleet_wait_serving (&fleet, 2);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (inbound_side_dies_before_the_start)
{
  struct fleet fleet;
  struct campaign campaign;
  struct campaign_totals totals;

  set_up (&fleet, &campaign, 2, 1, 1);
  process_signal (&fleet.daemons[2], SIGSTOP);
  campaign_start (&campaign);
  usleep (200000);
  process_signal (&fleet.daemons[2], SIGKILL);
  campaign_check (&campaign, &totals);
  ck_assert_uint_eq (totals.told[TOLD_RAN], 0);
  ck_assert_uint_eq (totals.runs, 0);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (inbound_side_dies_in_the_middle_of_an_answer)
{
  struct fleet fleet;
  struct campaign campaign;
  struct campaign_totals totals;

  set_up (&fleet, &campaign, 2, 4, 4);
  campaign.path = "/orders?bytes=30000000";
  campaign_start (&campaign);
  usleep (50000);
  process_signal (&fleet.daemons[2], SIGKILL);
  campaign_check (&campaign, &totals);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (inbound_sides_die_and_return_under_load)
{
  struct fleet fleet;
  struct campaign campaign;
  struct campaign_totals totals;

  set_up (&fleet, &campaign, 4, CALLERS, 0);
  campaign_start (&campaign);
  for (unsigned i = 0; i < 6; i++)
    {
      unsigned vm = 2 + i % 3;

      usleep (150000);
      process_signal (&fleet.daemons[vm], SIGKILL);
      usleep (50000);
      fleet_start_daemon (&fleet, vm);
      fleet_wait_serving (&fleet, vm);
    }
  __atomic_store_n (&campaign.stop, true, __ATOMIC_RELEASE);
  campaign_check (&campaign, &totals);
  ck_assert_uint_gt (totals.told[TOLD_RAN], 0);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (outbound_side_dies_under_load)
{
  struct fleet fleet;
  struct campaign campaign;
  struct campaign_totals totals;

  set_up (&fleet, &campaign, 3, CALLERS, 0);
  campaign.last_vm = 2;
  campaign_start (&campaign);
  usleep (300000);
  process_signal (&fleet.daemons[1], SIGKILL);
  usleep (300000);
  __atomic_store_n (&campaign.stop, true, __ATOMIC_RELEASE);
  campaign_check (&campaign, &totals);
  ck_assert_uint_gt (totals.told[TOLD_RAN], 0);
  fleet_stop (&fleet);
}
END_TEST

/* The inbound side is stopped for longer than the deadline while it holds
   attempts, some of them unread in its sockets.  */
START_TEST (inbound_side_pauses_beyond_the_deadline)
{
  struct fleet fleet;
  struct campaign campaign;
  struct campaign_totals totals;

  set_up (&fleet, &campaign, 3, CALLERS, 0);
  campaign_start (&campaign);
  usleep (200000);
  process_signal (&fleet.daemons[2], SIGSTOP);
  usleep (1500000);
  process_signal (&fleet.daemons[2], SIGCONT);
  usleep (300000);
  __atomic_store_n (&campaign.stop, true, __ATOMIC_RELEASE);
  campaign_check (&campaign, &totals);
  ck_assert_uint_gt (totals.told[TOLD_RAN], 0);
  ck_assert_uint_eq (totals.told[TOLD_NOTHING], 0);
  fleet_stop (&fleet);
}
END_TEST

/* While the outbound side is stopped, an inbound side is killed and restarted.
   Only then does the outbound side fence its attempts, which were sent to the
   earlier incarnation.  */
START_TEST (outbound_side_pauses_while_an_inbound_side_restarts)
{
  struct fleet fleet;
  struct campaign campaign;
  struct campaign_totals totals;

  set_up (&fleet, &campaign, 3, CALLERS, 0);
  campaign_start (&campaign);
  usleep (200000);
  process_signal (&fleet.daemons[1], SIGSTOP);
  process_signal (&fleet.daemons[2], SIGKILL);
  fleet_start_daemon (&fleet, 2);
  fleet_wait_serving (&fleet, 2);
  usleep (1200000);
  process_signal (&fleet.daemons[1], SIGCONT);
  usleep (300000);
  __atomic_store_n (&campaign.stop, true, __ATOMIC_RELEASE);
  campaign_check (&campaign, &totals);
  ck_assert_uint_gt (totals.told[TOLD_RAN], 0);
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, inbound_side_dies_before_the_answer);
  tcase_add_test (tests, inbound_side_dies_before_the_start);
  tcase_add_test (tests, inbound_side_dies_in_the_middle_of_an_answer);
  tcase_add_test (tests, inbound_sides_die_and_return_under_load);
  tcase_add_test (tests, outbound_side_dies_under_load);
  tcase_add_test (tests, inbound_side_pauses_beyond_the_deadline);
  tcase_add_test (tests, outbound_side_pauses_while_an_inbound_side_restarts);
}

int
main (void)
{
  return suite_run ("attempts_deaths", add_tests, 90);
}

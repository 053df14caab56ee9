/* Established connections that stop passing data while new ones work.  A relay
   in front of VM 2's inbound side drops the bytes of both directions or of the
   answers only, or holds them back; RPC does not pass through it.  */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "regress/harness/campaign.h"
#include "regress/harness/relay.h"
#include "regress/harness/suite.h"

#define CALLS_WARM 25
#define ROUNDS_MAX 10
#define CALLERS_WARM 4
#define CALLS 200

struct fixture
{
  struct fleet fleet;
  struct relay relay;
  struct campaign campaign;
  struct campaign_totals totals;
  unsigned calls; /* made so far */
};

/* Makes calls with several concurrent callers, so that several connections are
   opened and kept.  */
static void
run_calls (struct fixture *fixture, unsigned callers, unsigned calls,
           const char *method)
{
  struct campaign *campaign = &fixture->campaign;

  memset (campaign, 0, sizeof *campaign);
  campaign->fleet = &fixture->fleet;
  campaign->method = method;
  campaign->path = strcmp (method, "POST") == 0 ? "/orders" : "/items/1";
  campaign->body = strcmp (method, "POST") == 0 ? "leopard" : NULL;
  campaign->first_vm = campaign->last_vm = 1;
  campaign->n_callers = callers;
  campaign->calls_each = calls;
  fixture->calls += callers * calls;
  campaign_start (campaign);
}

static void
set_up (struct fixture *fixture)
{
  char address[56];
  char server[56];
  char from[56];
  struct fleet *fleet = &fixture->fleet;

  fleet_start_relayed (fleet, 3, 3, campaign_gate, 2);
  relay_start (&fixture->relay, fleet_address (fleet, 2, 7400, address),
               fleet_address (fleet, 1, 1, from),
               fleet_address (fleet, 2, 7500, server));
  /* Make the other target slower, so that the one behind the relay is
     preferred.  */
  fleet_control (fleet, 3, "{\"fixed_ms\": 5}");
  run_calls (fixture, CALLERS_WARM, CALLS_WARM, "POST");
  campaign_check (&fixture->campaign, &fixture->totals);
  ck_assert_uint_eq (fixture->totals.told[TOLD_RAN],
                     CALLERS_WARM * CALLS_WARM);
  ck_assert_uint_gt (relay_connections (&fixture->relay), 0);
}

static void
tear_down (struct fixture *fixture)
{
  fleet_stop (&fixture->fleet);
  relay_stop (&fixture->relay);
}

/* Opens connections, silences them and makes calls, until a call used a silent
   connection.  That may take several rounds: a call may go to the other target
   or find that the connections were idle for too long.  */
static void
call_until_swallowed (struct fixture *fixture, enum relay_mode mode,
                      const char *method)
{
  for (unsigned round = 0; round < ROUNDS_MAX; round++)
    {
      run_calls (fixture, CALLERS_WARM, CALLS_WARM, "POST");
      campaign_check (&fixture->campaign, &fixture->totals);
      ck_assert_uint_eq (fixture->totals.told[TOLD_RAN],
                         CALLERS_WARM * CALLS_WARM);
      relay_silence (&fixture->relay, mode);
      run_calls (fixture, 1, CALLS, method);
      campaign_check (&fixture->campaign, &fixture->totals);
      if (relay_swallowed (&fixture->relay) > 0)
        return;
      ck_assert_uint_eq (fixture->totals.told[TOLD_RAN], CALLS);
    }
  ck_abort_msg ("no call met a silent connection");
}

START_TEST (idempotent_calls_succeed_elsewhere)
{
  static struct fixture fixture;
  unsigned swallowed;

  set_up (&fixture);
  call_until_swallowed (&fixture, RELAY_SWALLOW, "GET");
  ck_assert_uint_eq (fixture.totals.told[TOLD_RAN], CALLS);
  swallowed = relay_swallowed (&fixture.relay);
  run_calls (&fixture, CALLERS_WARM, CALLS, "GET");
  campaign_check (&fixture.campaign, &fixture.totals);
  ck_assert_uint_eq (relay_swallowed (&fixture.relay), swallowed);
  tear_down (&fixture);
}
END_TEST

START_TEST (orders_that_never_arrived_run_elsewhere)
{
  static struct fixture fixture;

  set_up (&fixture);
  call_until_swallowed (&fixture, RELAY_SWALLOW, "POST");
  ck_assert_uint_eq (fixture.totals.told[TOLD_RAN], CALLS);
  ck_assert_uint_eq (
      fleet_counter (&fixture.fleet, 1, "silent_connections_total"), 1);
  tear_down (&fixture);
}
END_TEST

/* Guards against a call that is refused although its only target works: the
   connection is silent, not the target.  */
START_TEST (orders_that_never_arrived_run_at_the_only_target)
{
  static struct fixture fixture;

  set_up (&fixture);
  process_signal (&fixture.fleet.daemons[3], SIGKILL);
  call_until_swallowed (&fixture, RELAY_SWALLOW, "POST");
  ck_assert_uint_eq (fixture.totals.told[TOLD_RAN], CALLS);
  ck_assert_uint_eq (fixture.totals.runs, fixture.calls);
  tear_down (&fixture);
}
END_TEST

START_TEST (orders_whose_answer_is_lost_are_unknown)
{
  static struct fixture fixture;

  set_up (&fixture);
  call_until_swallowed (&fixture, RELAY_DROP_ANSWER, "POST");
  ck_assert_uint_eq (fixture.totals.told[TOLD_UNKNOWN], 1);
  ck_assert_uint_eq (fixture.totals.told[TOLD_RAN], CALLS - 1);
  ck_assert_uint_eq (fixture.totals.runs, fixture.calls);
  tear_down (&fixture);
}
END_TEST

static bool
was_refused (void *context)
{
  return fleet_counter (context, 2, "refused_duplicate_total") > 0;
}

/* An attempt is delayed in the relay, fenced and run elsewhere before it
   arrives.  */
START_TEST (a_held_order_that_arrives_after_its_fence_is_refused)
{
  static struct fixture fixture;

  set_up (&fixture);
  for (unsigned round = 0; round < ROUNDS_MAX; round++)
    {
      run_calls (&fixture, CALLERS_WARM, CALLS_WARM, "POST");
      campaign_check (&fixture.campaign, &fixture.totals);
      relay_hold (&fixture.relay, true);
      run_calls (&fixture, 1, CALLS, "POST");
      campaign_check (&fixture.campaign, &fixture.totals);
      ck_assert_uint_eq (fixture.totals.told[TOLD_RAN], CALLS);
      relay_hold (&fixture.relay, false);
      if (fleet_counter (&fixture.fleet, 1, "silent_connections_total") > 0)
        break;
    }
  wait_until (was_refused, &fixture.fleet);
  run_calls (&fixture, 1, 1, "POST");
  campaign_check (&fixture.campaign, &fixture.totals);
  ck_assert_uint_eq (fixture.totals.runs, fixture.calls);
  tear_down (&fixture);
}
END_TEST

/* A slow target must not be treated as a silent connection.  */
START_TEST (slow_answers_are_waited_for)
{
  static struct fixture fixture;

  set_up (&fixture);
  fleet_control (&fixture.fleet, 2, "{\"fixed_ms\": 700}");
  fleet_control (&fixture.fleet, 3, "{\"fixed_ms\": 700}");
  run_calls (&fixture, 2, 3, "POST");
  campaign_check (&fixture.campaign, &fixture.totals);
  ck_assert_uint_eq (fixture.totals.told[TOLD_RAN], 6);
  ck_assert_uint_eq (
      fleet_counter (&fixture.fleet, 1, "silent_connections_total"), 0);
  tear_down (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, idempotent_calls_succeed_elsewhere);
  tcase_add_test (tests, orders_that_never_arrived_run_elsewhere);
  tcase_add_test (tests, orders_that_never_arrived_run_at_the_only_target);
  tcase_add_test (tests, orders_whose_answer_is_lost_are_unknown);
  tcase_add_test (tests, a_held_order_that_arrives_after_its_fence_is_refused);
  tcase_add_test (tests, slow_answers_are_waited_for);
}

int
main (void)
{
  return suite_run ("attempts_silence", add_tests, 90);
}

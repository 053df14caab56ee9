/* Pickers, the estimates that they use and the reports that a balancer
   accepts.  */
#include <stdio.h>
#include <string.h>

#include "lib/balancer.h"
#include "regress/harness/suite.h"

#define TARGETS 5
#define PICKS 4000

static struct cp_seeded_random seeded;

/* Five idle, healthy targets, none in the own failure domain, each with a
   current report.  */
struct fixture
{
  struct cp_target_state states[TARGETS];
  struct cp_target_state *pointers[TARGETS];
  struct cp_pick_view view;
};

static void
set_up (struct fixture *fixture)
{
  memset (fixture, 0, sizeof *fixture);
  cp_seeded_random_init (&seeded, 7);
  for (unsigned i = 0; i < TARGETS; i++)
    {
      struct cp_target_state *state = &fixture->states[i];

      fixture->pointers[i] = state;
      state->health.state = CP_HEALTH_HEALTHY;
      state->report.limit = 12;
      state->report_us = 10 * CP_US_PER_S;
      state->latency_us = 10000;
      state->latency_updated_us = 10 * CP_US_PER_S;
      state->load_drift = 100;
    }
  fixture->view.targets = fixture->pointers;
  fixture->view.n_targets = TARGETS;
  fixture->view.now_us = 10 * CP_US_PER_S;
  fixture->view.random = &seeded.random;
  fixture->view.slots = 12;
  fixture->view.cross_domain_rtt_us = 2000;
  fixture->view.mean_latency_us = 10000;
  fixture->view.latency_noise = 0.2;
}

/* Picks PICKS times with PICKER and counts the picks by target in COUNTS.  */
static void
count_picks (struct fixture *fixture, const struct cp_picker *picker,
             unsigned counts[TARGETS])
{
  const char *reason = NULL;

  memset (counts, 0, TARGETS * sizeof counts[0]);
  for (unsigned i = 0; i < PICKS; i++)
    {
      fixture->view.sequence = i;
      counts[picker->pick (picker->context, &fixture->view, &reason)]++;
    }
  ck_assert_ptr_nonnull (reason);
}

START_TEST (every_picker_spreads_over_equals)
{
  struct fixture fixture;
  unsigned counts[TARGETS];

  set_up (&fixture);
  for (unsigned i = 0; i < CP_PICKER_COUNT; i++)
    {
      ck_assert_ptr_eq (cp_picker_find (cp_pickers[i]->name), cp_pickers[i]);
      count_picks (&fixture, cp_pickers[i], counts);
      for (unsigned j = 0; j < TARGETS; j++)
        ck_assert_msg (counts[j] > PICKS / TARGETS * 8 / 10
                           && counts[j] < PICKS / TARGETS * 12 / 10,
                       "%s: %u", cp_pickers[i]->name, counts[j]);
    }
  ck_assert_ptr_null (cp_picker_find ("best"));
}
END_TEST

START_TEST (fewer_calls_in_flight_are_preferred)
{
  struct fixture fixture;
  unsigned counts[TARGETS];

  set_up (&fixture);
  for (unsigned i = 0; i < TARGETS; i++)
    {
      fixture.states[i].own_in_flight = 4;
      fixture.states[i].report.in_flight = 4;
    }
  fixture.states[3].own_in_flight = 2;
  fixture.states[3].report.in_flight = 2;
  count_picks (&fixture, &cp_picker_least_in_flight, counts);
  ck_assert_uint_eq (counts[3], PICKS);
  count_picks (&fixture, &cp_picker_hot_cold, counts);
  ck_assert_uint_eq (counts[3], PICKS);
  count_picks (&fixture, &cp_picker_two_choices, counts);
  for (unsigned i = 0; i < TARGETS; i++)
    ck_assert (i == 3 || counts[3] > counts[i]);
}
END_TEST

START_TEST (a_slow_target_gets_no_calls)
{
  struct fixture fixture;
  unsigned counts[TARGETS];

  set_up (&fixture);
  fixture.states[2].latency_us = 60000;
  count_picks (&fixture, &cp_picker_hot_cold, counts);
  ck_assert_uint_eq (counts[2], 0);
}
END_TEST

START_TEST (unanswered_calls_raise_the_latency_estimate)
{
  struct fixture fixture;
  unsigned counts[TARGETS];

  set_up (&fixture);
  for (unsigned i = 0; i < TARGETS; i++)
    {
      fixture.states[i].own_in_flight = 1;
      fixture.states[i].n_start_times = 1;
      fixture.states[i].start_times_us[0] = fixture.view.now_us - 5000;
    }
  fixture.states[1].start_times_us[0] = fixture.view.now_us - 50000;
  ck_assert_double_eq (
      cp_estimate_latency_us (&fixture.states[1], &fixture.view), 50000);
  count_picks (&fixture, &cp_picker_hot_cold, counts);
  ck_assert_uint_eq (counts[1], 0);
}
END_TEST

START_TEST (a_target_that_fails_fast_gets_no_calls)
{
  struct fixture fixture;
  unsigned counts[TARGETS];

  set_up (&fixture);
  for (unsigned i = 0; i < TARGETS; i++)
    fixture.states[i].other_calls = 20;
  fixture.states[4].other_calls = 0;
  fixture.states[4].latency_us = 200;
  fixture.states[4].health.error_share = 0.5;
  fixture.states[4].health.error_share_updated_us = fixture.view.now_us;
  count_picks (&fixture, &cp_picker_hot_cold, counts);
  ck_assert_msg (counts[4] <= PICKS / TARGETS, "%u", counts[4]);
  for (unsigned i = 0; i < TARGETS; i++)
    fixture.states[i].other_calls = 0;
  count_picks (&fixture, &cp_picker_hot_cold, counts);
  ck_assert_uint_eq (counts[4], 0);
}
END_TEST

START_TEST (a_target_in_the_own_domain_is_preferred_until_it_fills)
{
  struct fixture fixture;
  unsigned counts[TARGETS];

  set_up (&fixture);
  fixture.states[0].same_domain = true;
  count_picks (&fixture, &cp_picker_hot_cold, counts);
  ck_assert_uint_gt (counts[0], PICKS / 2);
  fixture.states[0].other_calls = 11;
  count_picks (&fixture, &cp_picker_hot_cold, counts);
  ck_assert_uint_eq (counts[0], 0);
  for (unsigned i = 1; i < TARGETS; i++)
    fixture.states[i].other_calls = 14;
  count_picks (&fixture, &cp_picker_hot_cold, counts);
  ck_assert_uint_eq (counts[0], PICKS);
}
END_TEST

START_TEST (a_ramping_target_gets_only_its_share)
{
  struct fixture fixture;
  unsigned counts[TARGETS];

  set_up (&fixture);
  fixture.states[2].health.state = CP_HEALTH_COLD;
  fixture.states[2].health.since_us = fixture.view.now_us;
  count_picks (&fixture, &cp_picker_hot_cold, counts);
  ck_assert_uint_gt (counts[2], 0);
  ck_assert_uint_lt (counts[2], PICKS / TARGETS / 4);
  for (unsigned i = 0; i < TARGETS; i++)
    fixture.states[i].health = fixture.states[2].health;
  count_picks (&fixture, &cp_picker_hot_cold, counts);
  ck_assert_uint_gt (counts[2], PICKS / TARGETS * 8 / 10);
}
END_TEST

START_TEST (a_report_counts_less_with_age_and_load_drift)
{
  struct fixture fixture;
  struct cp_target_state *state;
  double fresh, old, moving;

  set_up (&fixture);
  state = &fixture.states[0];
  state->other_calls = 10;
  state->own_in_flight = 3;
  fixture.view.mean_other_calls = 2;
  fixture.view.other_calls_variance = 3;
  fresh = cp_estimate_load (state, &fixture.view);
  ck_assert_double_eq_tol (fresh, 13, 0.01);
  fixture.view.now_us += 100 * CP_US_PER_MS;
  old = cp_estimate_load (state, &fixture.view);
  ck_assert (old < fresh && old > 5);
  state->load_drift *= 10;
  moving = cp_estimate_load (state, &fixture.view);
  ck_assert (moving < old && moving > 5);
  state->report_us = 0;
  ck_assert_double_eq_tol (cp_estimate_load (state, &fixture.view), 5, 0.01);
}
END_TEST

/* A balancer of two targets.  */
struct pair
{
  struct cp_chart chart;
  struct cp_virtual_clock clock;
  struct cp_target targets[2];
  struct cp_service service;
  struct cp_balancer balancer;
};

static void
set_up_pair (struct pair *pair)
{
  struct cp_error error;
  char path[256];

  memset (pair, 0, sizeof *pair);
  snprintf (path, sizeof path, "%s/charts/target.json", getenv ("TOP"));
  ck_assert_int_eq (
      cp_chart_load (&pair->chart, path, &cp_health_names, &error), 0);
  cp_virtual_clock_init (&pair->clock, 1000 * CP_US_PER_S);
  cp_seeded_random_init (&seeded, 7);
  strcpy (pair->targets[0].name, "a");
  strcpy (pair->targets[1].name, "b");
  pair->targets[0].has_daemon = pair->targets[1].has_daemon = true;
  pair->service.targets = pair->targets;
  pair->service.n_targets = 2;
  pair->service.slots = 12;
  pair->service.eject_most_share = 0.5;
  cp_balancer_init (&pair->balancer, &cp_picker_hot_cold, &pair->chart,
                    &pair->clock.clock, "shop", "vm-1", "x");
  ck_assert_int_eq (cp_balancer_update (&pair->balancer, &pair->service, 2000),
                    0);
}

START_TEST (invalid_reports_are_counted_and_ignored)
{
  struct pair pair;
  struct cp_balancer *balancer = &pair.balancer;
  struct cp_load_report report
      = { .incarnation = 3, .life = CP_DAEMON_SERVING, .in_flight = 4 };

  set_up_pair (&pair);
  cp_balancer_add_report (balancer, "nobody", &report);
  ck_assert_uint_eq (balancer->report_counts.unknown_target, 1);
  report.in_flight = (uint32_t)-1;
  cp_balancer_add_report (balancer, "a", &report);
  report.in_flight = 4;
  report.age_us = (uint64_t)-5000; /* made 5 ms in the future */
  cp_balancer_add_report (balancer, "a", &report);
  ck_assert_uint_eq (balancer->report_counts.invalid, 2);
  ck_assert_uint_eq (balancer->targets[0].report_us, 0);
  report.age_us = 100;
  cp_balancer_add_report (balancer, "a", &report);
  ck_assert_uint_eq (balancer->report_counts.accepted, 1);
  report.age_us = 3000;
  report.in_flight = 9;
  cp_balancer_add_report (balancer, "a", &report);
  ck_assert_uint_eq (balancer->report_counts.outdated, 1);
  ck_assert_uint_eq (balancer->targets[0].report.in_flight, 4);
  cp_balancer_finish (balancer);
}
END_TEST

START_TEST (a_new_balancer_queries_all_targets)
{
  struct pair pair;
  struct cp_target queried[4];
  struct cp_load_report report
      = { .incarnation = 3, .life = CP_DAEMON_SERVING };

  set_up_pair (&pair);
  ck_assert_uint_eq (cp_balancer_due_queries (&pair.balancer, queried, 4), 2);
  ck_assert_uint_eq (cp_balancer_due_queries (&pair.balancer, queried, 4), 0);
  cp_balancer_add_report (&pair.balancer, "a", &report);
  pair.clock.time_us += CP_QUERY_INTERVAL_US;
  ck_assert_uint_eq (cp_balancer_due_queries (&pair.balancer, queried, 4), 1);
  ck_assert_str_eq (queried[0].name, "b");
  cp_balancer_finish (&pair.balancer);
}
END_TEST

static void
store_pick (void *context, struct cp_decision *decision)
{
  if (decision->kind == CP_DECISION_PICK)
    *(struct cp_decision *)context = *decision;
}

START_TEST (a_pick_is_recorded_with_its_candidates)
{
  struct pair pair;
  struct cp_decision decision = { .kind = CP_DECISION_NONE };
  const struct cp_balancer_observer observer = { store_pick, &decision };
  struct cp_tried_targets tried = { .request = { { 5 } } };
  struct cp_load_report report
      = { .incarnation = 3, .life = CP_DAEMON_SERVING, .in_flight = 4 };
  struct cp_target target;
  uint64_t incarnation;

  set_up_pair (&pair);
  cp_balancer_set_observer (&pair.balancer, &observer);
  cp_balancer_add_report (&pair.balancer, "a", &report);
  pair.clock.time_us += 7;
  ck_assert (cp_balancer_pick (&pair.balancer, &tried, &seeded.random, &target,
                               &incarnation));
  ck_assert_int_eq (decision.kind, CP_DECISION_PICK);
  ck_assert (cp_id_equal (&decision.request, &tried.request));
  ck_assert_str_eq (decision.target, target.name);
  ck_assert_str_ne (decision.reason, "");
  ck_assert_uint_eq (decision.n_candidates, 2);
  for (unsigned i = 0; i < 2; i++)
    ck_assert (decision.candidates[i].report_age_us
               == (strcmp (decision.candidates[i].target, "a") == 0
                       ? 7
                       : UINT64_MAX));
  cp_balancer_finish (&pair.balancer);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, every_picker_spreads_over_equals);
  tcase_add_test (tests, fewer_calls_in_flight_are_preferred);
  tcase_add_test (tests, a_slow_target_gets_no_calls);
  tcase_add_test (tests, unanswered_calls_raise_the_latency_estimate);
  tcase_add_test (tests, a_target_that_fails_fast_gets_no_calls);
  tcase_add_test (tests,
                  a_target_in_the_own_domain_is_preferred_until_it_fills);
  tcase_add_test (tests, a_ramping_target_gets_only_its_share);
  tcase_add_test (tests, a_report_counts_less_with_age_and_load_drift);
  tcase_add_test (tests, invalid_reports_are_counted_and_ignored);
  tcase_add_test (tests, a_new_balancer_queries_all_targets);
  tcase_add_test (tests, a_pick_is_recorded_with_its_candidates);
}

int
main (void)
{
  return suite_run ("picker", add_tests, 30);
}

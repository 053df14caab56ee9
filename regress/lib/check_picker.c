/* Rules for choosing a target, and what a balancer takes for true.  */
#include <stdio.h>
#include <string.h>

#include "lib/balancer.h"
#include "regress/harness/suite.h"

#define TARGETS 5
#define PICKS 4000

static struct cp_seeded_random seeded;

/* Five idle, healthy targets in as many failure domains, all reported now.  */
struct scene
{
  struct cp_target_state states[TARGETS];
  struct cp_target_state *pointers[TARGETS];
  struct cp_pick_view view;
};

static void
set_scene (struct scene *scene)
{
  memset (scene, 0, sizeof *scene);
  cp_seeded_random_init (&seeded, 7);
  for (unsigned i = 0; i < TARGETS; i++)
    {
      struct cp_target_state *state = &scene->states[i];

      scene->pointers[i] = state;
      state->health.state = CP_HEALTH_HEALTHY;
      state->report.limit = 12;
      state->report_us = 10 * CP_US_PER_S;
      state->latency_us = 10000;
      state->latency_at_us = 10 * CP_US_PER_S;
      state->load_drift = 100;
    }
  scene->view.targets = scene->pointers;
  scene->view.n_targets = TARGETS;
  scene->view.now_us = 10 * CP_US_PER_S;
  scene->view.random = &seeded.random;
  scene->view.slots = 12;
  scene->view.remote_us = 2000;
  scene->view.mean_latency_us = 10000;
  scene->view.latency_noise = 0.2;
}

/* Counts PICKS choices of PICKER.  */
static void
count_picks (struct scene *scene, const struct cp_picker *picker,
             unsigned counts[TARGETS])
{
  const char *reason = NULL;

  memset (counts, 0, TARGETS * sizeof counts[0]);
  for (unsigned i = 0; i < PICKS; i++)
    {
      scene->view.sequence = i;
      counts[picker->pick (picker->context, &scene->view, &reason)]++;
    }
  ck_assert_ptr_nonnull (reason);
}

START_TEST (every_picker_spreads_over_equals)
{
  struct scene scene;
  unsigned counts[TARGETS];

  set_scene (&scene);
  for (unsigned i = 0; i < CP_PICKERS; i++)
    {
      ck_assert_ptr_eq (cp_picker_find (cp_pickers[i]->name), cp_pickers[i]);
      count_picks (&scene, cp_pickers[i], counts);
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
  struct scene scene;
  unsigned counts[TARGETS];

  set_scene (&scene);
  for (unsigned i = 0; i < TARGETS; i++)
    {
      scene.states[i].own_in_flight = 4;
      scene.states[i].report.in_flight = 4;
    }
  scene.states[3].own_in_flight = 2;
  scene.states[3].report.in_flight = 2;
  count_picks (&scene, &cp_picker_least_in_flight, counts);
  ck_assert_uint_eq (counts[3], PICKS);
  count_picks (&scene, &cp_picker_hot_cold, counts);
  ck_assert_uint_eq (counts[3], PICKS);
  count_picks (&scene, &cp_picker_two_choices, counts);
  for (unsigned i = 0; i < TARGETS; i++)
    ck_assert (i == 3 || counts[3] > counts[i]);
}
END_TEST

START_TEST (a_slow_target_draws_no_calls)
{
  struct scene scene;
  unsigned counts[TARGETS];

  set_scene (&scene);
  scene.states[2].latency_us = 60000;
  count_picks (&scene, &cp_picker_hot_cold, counts);
  ck_assert_uint_eq (counts[2], 0);
}
END_TEST

START_TEST (unanswered_calls_tell_of_a_slow_target)
{
  struct scene scene;
  unsigned counts[TARGETS];

  set_scene (&scene);
  for (unsigned i = 0; i < TARGETS; i++)
    {
      scene.states[i].own_in_flight = 1;
      scene.states[i].n_started = 1;
      scene.states[i].started_us[0] = scene.view.now_us - 5000;
    }
  scene.states[1].started_us[0] = scene.view.now_us - 50000;
  ck_assert_double_eq (cp_estimate_latency_us (&scene.states[1], &scene.view),
                       50000);
  count_picks (&scene, &cp_picker_hot_cold, counts);
  ck_assert_uint_eq (counts[1], 0);
}
END_TEST

START_TEST (a_fast_failer_draws_no_calls)
{
  struct scene scene;
  unsigned counts[TARGETS];

  set_scene (&scene);
  for (unsigned i = 0; i < TARGETS; i++)
    scene.states[i].others = 20;
  scene.states[4].others = 0;
  scene.states[4].latency_us = 200;
  scene.states[4].health.error_share = 0.5;
  scene.states[4].health.error_us = scene.view.now_us;
  count_picks (&scene, &cp_picker_hot_cold, counts);
  ck_assert_msg (counts[4] <= PICKS / TARGETS, "%u", counts[4]);
  for (unsigned i = 0; i < TARGETS; i++)
    scene.states[i].others = 0;
  count_picks (&scene, &cp_picker_hot_cold, counts);
  ck_assert_uint_eq (counts[4], 0);
}
END_TEST

START_TEST (a_near_target_is_preferred_until_it_fills)
{
  struct scene scene;
  unsigned counts[TARGETS];

  set_scene (&scene);
  scene.states[0].same_domain = true;
  count_picks (&scene, &cp_picker_hot_cold, counts);
  ck_assert_uint_gt (counts[0], PICKS / 2);
  scene.states[0].others = 11;
  count_picks (&scene, &cp_picker_hot_cold, counts);
  ck_assert_uint_eq (counts[0], 0);
  for (unsigned i = 1; i < TARGETS; i++)
    scene.states[i].others = 14;
  count_picks (&scene, &cp_picker_hot_cold, counts);
  ck_assert_uint_eq (counts[0], PICKS);
}
END_TEST

START_TEST (a_ramping_target_gets_its_share_only)
{
  struct scene scene;
  unsigned counts[TARGETS];

  set_scene (&scene);
  scene.states[2].health.state = CP_HEALTH_COLD;
  scene.states[2].health.since_us = scene.view.now_us;
  count_picks (&scene, &cp_picker_hot_cold, counts);
  ck_assert_uint_gt (counts[2], 0);
  ck_assert_uint_lt (counts[2], PICKS / TARGETS / 4);
  for (unsigned i = 0; i < TARGETS; i++)
    scene.states[i].health = scene.states[2].health;
  count_picks (&scene, &cp_picker_hot_cold, counts);
  ck_assert_uint_gt (counts[2], PICKS / TARGETS * 8 / 10);
}
END_TEST

START_TEST (a_report_counts_less_with_age_and_movement)
{
  struct scene scene;
  struct cp_target_state *state;
  double fresh, old, moving;

  set_scene (&scene);
  state = &scene.states[0];
  state->others = 10;
  state->own_in_flight = 3;
  scene.view.mean_others = 2;
  scene.view.others_variance = 3;
  fresh = cp_estimate_load (state, &scene.view);
  ck_assert_double_eq_tol (fresh, 13, 0.01);
  scene.view.now_us += 100 * CP_US_PER_MS;
  old = cp_estimate_load (state, &scene.view);
  ck_assert (old < fresh && old > 5);
  state->load_drift *= 10;
  moving = cp_estimate_load (state, &scene.view);
  ck_assert (moving < old && moving > 5);
  state->report_us = 0;
  ck_assert_double_eq_tol (cp_estimate_load (state, &scene.view), 5, 0.01);
}
END_TEST

/* A balancer over two targets.  */
struct pair
{
  struct cp_chart chart;
  struct cp_virtual_clock clock;
  struct cp_target targets[2];
  struct cp_service service;
  struct cp_balancer balancer;
};

static void
make_pair (struct pair *pair)
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

START_TEST (reports_that_cannot_be_true_are_counted_and_ignored)
{
  struct pair pair;
  struct cp_balancer *balancer = &pair.balancer;
  struct cp_load_report report
      = { .incarnation = 3, .life = CP_DAEMON_SERVING, .in_flight = 4 };

  make_pair (&pair);
  cp_balancer_report (balancer, "nobody", &report);
  ck_assert_uint_eq (balancer->counts.unknown_target, 1);
  report.in_flight = (uint32_t)-1;
  cp_balancer_report (balancer, "a", &report);
  report.in_flight = 4;
  report.age_us = (uint64_t)-5000; /* made 5 ms from now */
  cp_balancer_report (balancer, "a", &report);
  ck_assert_uint_eq (balancer->counts.impossible, 2);
  ck_assert_uint_eq (balancer->targets[0].report_us, 0);
  report.age_us = 100;
  cp_balancer_report (balancer, "a", &report);
  ck_assert_uint_eq (balancer->counts.taken, 1);
  report.age_us = 3000;
  report.in_flight = 9;
  cp_balancer_report (balancer, "a", &report);
  ck_assert_uint_eq (balancer->counts.overtaken, 1);
  ck_assert_uint_eq (balancer->targets[0].report.in_flight, 4);
  cp_balancer_finish (balancer);
}
END_TEST

START_TEST (an_outbound_side_that_starts_asks_first)
{
  struct pair pair;
  struct cp_target asked[4];
  struct cp_load_report report
      = { .incarnation = 3, .life = CP_DAEMON_SERVING };

  make_pair (&pair);
  ck_assert_uint_eq (cp_balancer_due_queries (&pair.balancer, asked, 4), 2);
  ck_assert_uint_eq (cp_balancer_due_queries (&pair.balancer, asked, 4), 0);
  cp_balancer_report (&pair.balancer, "a", &report);
  pair.clock.time_us += CP_QUERY_INTERVAL_US;
  ck_assert_uint_eq (cp_balancer_due_queries (&pair.balancer, asked, 4), 1);
  ck_assert_str_eq (asked[0].name, "b");
  cp_balancer_finish (&pair.balancer);
}
END_TEST

static void
keep_pick (void *context, struct cp_decision *decision)
{
  if (decision->kind == CP_DECISION_PICK)
    *(struct cp_decision *)context = *decision;
}

START_TEST (a_pick_is_recorded_with_its_candidates)
{
  struct pair pair;
  struct cp_decision decision = { .kind = CP_DECISION_NONE };
  const struct cp_balancer_observer observer = { keep_pick, &decision };
  struct cp_tried tried = { .request = { { 5 } } };
  struct cp_load_report report
      = { .incarnation = 3, .life = CP_DAEMON_SERVING, .in_flight = 4 };
  struct cp_target target;
  uint64_t incarnation;

  make_pair (&pair);
  cp_balancer_observe (&pair.balancer, &observer);
  cp_balancer_report (&pair.balancer, "a", &report);
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
  tcase_add_test (tests, a_slow_target_draws_no_calls);
  tcase_add_test (tests, unanswered_calls_tell_of_a_slow_target);
  tcase_add_test (tests, a_fast_failer_draws_no_calls);
  tcase_add_test (tests, a_near_target_is_preferred_until_it_fills);
  tcase_add_test (tests, a_ramping_target_gets_its_share_only);
  tcase_add_test (tests, a_report_counts_less_with_age_and_movement);
  tcase_add_test (tests, reports_that_cannot_be_true_are_counted_and_ignored);
  tcase_add_test (tests, an_outbound_side_that_starts_asks_first);
  tcase_add_test (tests, a_pick_is_recorded_with_its_candidates);
}

int
main (void)
{
  return suite_run ("picker", add_tests, 30);
}

/* Health of targets: state changes, ejection and recovery.  */
#include <stdio.h>
#include <string.h>

#include "lib/balancer.h"
#include "regress/harness/suite.h"

#define TARGETS 5
#define STEP_US (1 * CP_US_PER_MS)

/* A balancer of five targets.  RESULTS tells how calls to each end; when
   SEND_REPORTS is set, targets also report REPORTED_LIVES.  */
struct fixture
{
  struct cp_chart chart;
  struct cp_virtual_clock clock;
  struct cp_seeded_random random;
  struct cp_target targets[TARGETS];
  struct cp_service service;
  struct cp_balancer balancer;
  enum cp_call_result results[TARGETS];
  bool send_reports;
  enum cp_daemon_state reported_lives[TARGETS];
};

static void
set_up (struct fixture *fixture, bool has_daemon)
{
  struct cp_error error;
  char path[256];

  memset (fixture, 0, sizeof *fixture);
  snprintf (path, sizeof path, "%s/charts/target.json", getenv ("TOP"));
  ck_assert_int_eq (
      cp_chart_load (&fixture->chart, path, &cp_health_names, &error), 0);
  cp_virtual_clock_init (&fixture->clock, 1000 * CP_US_PER_S);
  cp_seeded_random_init (&fixture->random, 11);
  for (unsigned i = 0; i < TARGETS; i++)
    {
      snprintf (fixture->targets[i].name, CP_NAME_BYTES, "target-%u", i);
      snprintf (fixture->targets[i].address.text,
                sizeof fixture->targets[i].address.text, "127.0.0.%u:1", i);
      fixture->targets[i].has_daemon = has_daemon;
      fixture->reported_lives[i] = CP_DAEMON_SERVING;
    }
  fixture->service.targets = fixture->targets;
  fixture->service.n_targets = TARGETS;
  fixture->service.slots = 12;
  fixture->service.eject_most_share = 0.4;
  cp_balancer_init (&fixture->balancer, &cp_picker_hot_cold, &fixture->chart,
                    &fixture->clock.clock, "shop", "vm-1", "x");
  ck_assert_int_eq (
      cp_balancer_update (&fixture->balancer, &fixture->service, 0), 0);
}

static void
tear_down (struct fixture *fixture)
{
  cp_balancer_finish (&fixture->balancer);
  cp_seeded_random_finish (&fixture->random);
}

static unsigned
index_of (const char *name)
{
  return (unsigned)(name[strlen (name) - 1] - '0');
}

static int
state_of (const struct fixture *fixture, unsigned index)
{
  return fixture->balancer.targets[index].health.state;
}

/* Makes CALLS calls, one per millisecond, and counts them by target in
   COUNTS.  */
static void
make_calls (struct fixture *fixture, unsigned calls, unsigned counts[TARGETS])
{
  const struct cp_tried_targets tried = { .count = 0 };

  memset (counts, 0, TARGETS * sizeof counts[0]);
  for (unsigned i = 0; i < calls; i++)
    {
      struct cp_target target;
      uint64_t incarnation;
      unsigned index;

      ck_assert (cp_balancer_pick (&fixture->balancer, &tried,
                                   &fixture->random.random, &target,
                                   &incarnation));
      index = index_of (target.name);
      counts[index]++;
      fixture->clock.time_us += STEP_US;
      if (fixture->send_reports
          && fixture->results[index] != CP_CALL_NO_CONNECTION)
        {
          struct cp_load_report report
              = { .incarnation = 1, .life = fixture->reported_lives[index] };

          cp_balancer_add_report (&fixture->balancer, target.name, &report);
        }
      cp_balancer_end_call (&fixture->balancer, target.name,
                            fixture->results[index], STEP_US);
    }
}

/* Makes calls until all targets are healthy.  */
static void
warm_up (struct fixture *fixture)
{
  unsigned counts[TARGETS];

  make_calls (fixture, 2200, counts);
  for (unsigned i = 0; i < TARGETS; i++)
    ck_assert_int_eq (state_of (fixture, i), CP_HEALTH_HEALTHY);
}

START_TEST (a_failing_target_is_ejected_and_returns)
{
  struct fixture fixture;
  unsigned counts[TARGETS];

  set_up (&fixture, true);
  warm_up (&fixture);
  fixture.results[2] = CP_CALL_FAILED;
  make_calls (&fixture, 1000, counts);
  ck_assert_uint_le (counts[2], 1000 / TARGETS);
  make_calls (&fixture, 1000, counts);
  make_calls (&fixture, 4000, counts);
  ck_assert_msg (counts[2] < 40, "%u of 4000", counts[2]);
  fixture.results[2] = CP_CALL_ANSWERED;
  make_calls (&fixture, 40000, counts);
  make_calls (&fixture, 1000, counts);
  ck_assert_int_eq (state_of (&fixture, 2), CP_HEALTH_HEALTHY);
  ck_assert_uint_gt (counts[2], 1000 / TARGETS / 2);
  tear_down (&fixture);
}
END_TEST

START_TEST (five_failures_in_a_row_eject)
{
  struct fixture fixture;
  struct cp_health *health;
  uint64_t now;

  set_up (&fixture, true);
  warm_up (&fixture);
  health = &fixture.balancer.targets[0].health;
  now = fixture.clock.time_us;
  for (unsigned i = 0; i < 4; i++)
    cp_health_add_result (health, &fixture.chart, CP_CALL_FAILED, now, true);
  ck_assert_int_eq (health->state, CP_HEALTH_SUSPECT);
  cp_health_add_result (health, &fixture.chart, CP_CALL_FAILED, now, true);
  ck_assert_int_eq (health->state, CP_HEALTH_EJECTED);
  ck_assert (!cp_health_takes_calls (health));
  ck_assert (!cp_health_tick (health, &fixture.chart, now + CP_US_PER_S));
  now = health->until_us;
  ck_assert (cp_health_tick (health, &fixture.chart, now));
  ck_assert_int_eq (health->state, CP_HEALTH_PROBATION);
  ck_assert (cp_health_wants_trial (health, now));
  cp_health_add_result (health, &fixture.chart, CP_CALL_FAILED, now, true);
  ck_assert_int_eq (health->state, CP_HEALTH_EJECTED);
  ck_assert_uint_gt (health->until_us - now, 3 * CP_US_PER_S);
  cp_health_tick (health, &fixture.chart, health->until_us);
  for (unsigned i = 0; i < 3; i++)
    cp_health_add_result (health, &fixture.chart, CP_CALL_ANSWERED, now, true);
  ck_assert_int_eq (health->state, CP_HEALTH_COLD);
  ck_assert (cp_health_ramp_share (health, health->since_us) < 0.2);
  tear_down (&fixture);
}
END_TEST

START_TEST (ejection_is_bounded_and_calls_spread_over_all_targets)
{
  struct fixture fixture;
  unsigned counts[TARGETS];
  unsigned ejected = 0;

  set_up (&fixture, true);
  warm_up (&fixture);
  for (unsigned i = 0; i < TARGETS; i++)
    fixture.results[i] = CP_CALL_FAILED;
  for (unsigned round = 0; round < 20; round++)
    {
      make_calls (&fixture, 100, counts);
      ejected = 0;
      for (unsigned i = 0; i < TARGETS; i++)
        ejected += state_of (&fixture, i) == CP_HEALTH_EJECTED
                   || state_of (&fixture, i) == CP_HEALTH_PROBATION;
      ck_assert_uint_le (ejected, 2);
    }
  ck_assert_uint_eq (ejected, 2);
  make_calls (&fixture, 1000, counts);
  for (unsigned i = 0; i < TARGETS; i++)
    ck_assert_msg (counts[i] > 1000 / TARGETS / 2, "%u: %u", i, counts[i]);
  tear_down (&fixture);
}
END_TEST

START_TEST (a_draining_report_makes_a_target_leaving)
{
  struct fixture fixture;
  unsigned counts[TARGETS];
  struct cp_target queried[TARGETS];
  struct cp_load_report report
      = { .incarnation = 1, .life = CP_DAEMON_DRAINING, .in_flight = 1 };

  set_up (&fixture, true);
  fixture.send_reports = true;
  warm_up (&fixture);
  cp_balancer_add_report (&fixture.balancer, "target-1", &report);
  ck_assert_int_eq (state_of (&fixture, 1), CP_HEALTH_LEAVING);
  make_calls (&fixture, 3000, counts);
  ck_assert_uint_eq (counts[1], 0);
  /* An older report of serving that arrives after the one of draining.  */
  report.life = CP_DAEMON_SERVING;
  report.age_us = 2500 * CP_US_PER_MS;
  cp_balancer_add_report (&fixture.balancer, "target-1", &report);
  ck_assert_int_eq (state_of (&fixture, 1), CP_HEALTH_LEAVING);
  ck_assert_uint_ge (
      cp_balancer_due_queries (&fixture.balancer, queried, TARGETS), 1);
  ck_assert_str_eq (queried[0].name, "target-1");
  report.incarnation = 2;
  report.age_us = 0;
  cp_balancer_add_report (&fixture.balancer, "target-1", &report);
  ck_assert_int_eq (state_of (&fixture, 1), CP_HEALTH_COLD);
  tear_down (&fixture);
}
END_TEST

START_TEST (refused_connections_make_a_target_gone)
{
  struct fixture fixture;
  unsigned counts[TARGETS];
  struct cp_target queried[TARGETS];
  struct cp_load_report report
      = { .incarnation = 9, .life = CP_DAEMON_SERVING };

  set_up (&fixture, true);
  fixture.send_reports = true;
  warm_up (&fixture);
  fixture.results[3] = CP_CALL_NO_CONNECTION;
  make_calls (&fixture, 1000, counts);
  ck_assert_uint_le (counts[3], 3);
  make_calls (&fixture, 10000, counts);
  ck_assert_int_eq (state_of (&fixture, 3), CP_HEALTH_GONE);
  ck_assert_uint_eq (counts[3], 0);
  ck_assert_uint_ge (
      cp_balancer_due_queries (&fixture.balancer, queried, TARGETS), 1);
  cp_balancer_add_report (&fixture.balancer, "target-3", &report);
  ck_assert_int_eq (state_of (&fixture, 3), CP_HEALTH_COLD);
  tear_down (&fixture);
}
END_TEST

START_TEST (a_gone_target_without_daemon_gets_trial_calls)
{
  struct fixture fixture;
  unsigned counts[TARGETS];

  set_up (&fixture, false);
  warm_up (&fixture);
  fixture.results[3] = CP_CALL_NO_CONNECTION;
  make_calls (&fixture, 1000, counts);
  fixture.results[3] = CP_CALL_ANSWERED;
  make_calls (&fixture, 10000, counts);
  ck_assert_int_eq (state_of (&fixture, 3), CP_HEALTH_HEALTHY);
  tear_down (&fixture);
}
END_TEST

START_TEST (unanswered_calls_make_a_target_suspect_only)
{
  struct fixture fixture;
  const struct cp_tried_targets tried = { .count = 0 };
  struct cp_target target;
  uint64_t incarnation;
  unsigned counts[TARGETS];

  set_up (&fixture, true);
  warm_up (&fixture);
  ck_assert (cp_balancer_pick (&fixture.balancer, &tried,
                               &fixture.random.random, &target, &incarnation));
  fixture.clock.time_us += CP_US_PER_S;
  make_calls (&fixture, 200, counts);
  ck_assert_int_eq (state_of (&fixture, index_of (target.name)),
                    CP_HEALTH_SUSPECT);
  ck_assert_uint_eq (counts[index_of (target.name)], 0);
  cp_balancer_end_call (&fixture.balancer, target.name, CP_CALL_ANSWERED,
                        1200 * CP_US_PER_MS);
  make_calls (&fixture, 20000, counts);
  ck_assert_int_eq (state_of (&fixture, index_of (target.name)),
                    CP_HEALTH_HEALTHY);
  tear_down (&fixture);
}
END_TEST

/* Answers the load queries that are due, for targets that can be reached.  */
static void
answer_queries (struct fixture *fixture)
{
  struct cp_target queried[TARGETS];
  unsigned count
      = cp_balancer_due_queries (&fixture->balancer, queried, TARGETS);

  for (unsigned i = 0; i < count; i++)
    {
      struct cp_load_report report
          = { .incarnation = 1, .life = CP_DAEMON_SERVING };

      if (fixture->results[index_of (queried[i].name)]
          != CP_CALL_NO_CONNECTION)
        cp_balancer_add_report (&fixture->balancer, queried[i].name, &report);
    }
}

START_TEST (calls_go_on_when_all_seem_gone)
{
  struct fixture fixture;
  unsigned counts[TARGETS];

  set_up (&fixture, true);
  warm_up (&fixture);
  for (unsigned i = 0; i < TARGETS; i++)
    fixture.results[i] = CP_CALL_NO_CONNECTION;
  make_calls (&fixture, 200, counts);
  for (unsigned i = 0; i < TARGETS; i++)
    fixture.results[i] = CP_CALL_ANSWERED;
  for (unsigned round = 0; round < 24; round++)
    {
      make_calls (&fixture, 250, counts);
      answer_queries (&fixture);
    }
  for (unsigned i = 0; i < TARGETS; i++)
    ck_assert_int_eq (state_of (&fixture, i), CP_HEALTH_HEALTHY);
  tear_down (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, a_failing_target_is_ejected_and_returns);
  tcase_add_test (tests, five_failures_in_a_row_eject);
  tcase_add_test (tests,
                  ejection_is_bounded_and_calls_spread_over_all_targets);
  tcase_add_test (tests, a_draining_report_makes_a_target_leaving);
  tcase_add_test (tests, refused_connections_make_a_target_gone);
  tcase_add_test (tests, a_gone_target_without_daemon_gets_trial_calls);
  tcase_add_test (tests, unanswered_calls_make_a_target_suspect_only);
  tcase_add_test (tests, calls_go_on_when_all_seem_gone);
}

int
main (void)
{
  return suite_run ("health", add_tests, 30);
}

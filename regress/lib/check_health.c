/* Health of targets: the chart, ejection and the way back.  */
#include <stdio.h>
#include <string.h>

#include "lib/balancer.h"
#include "regress/harness/suite.h"

#define TARGETS 5
#define STEP_US (1 * CP_US_PER_MS)

/* A balancer over five targets that answer or fail as FAILS says.  */
struct bench
{
  struct cp_chart chart;
  struct cp_virtual_clock clock;
  struct cp_seeded_random random;
  struct cp_target targets[TARGETS];
  struct cp_service service;
  struct cp_balancer balancer;
  enum cp_call_result results[TARGETS];
  bool has_reports;
  enum cp_daemon_state lives[TARGETS];
};

static void
set_up (struct bench *bench, bool has_daemon)
{
  struct cp_error error;
  char path[256];

  memset (bench, 0, sizeof *bench);
  snprintf (path, sizeof path, "%s/charts/target.json", getenv ("TOP"));
  ck_assert_int_eq (
      cp_chart_load (&bench->chart, path, &cp_health_names, &error), 0);
  cp_virtual_clock_init (&bench->clock, 1000 * CP_US_PER_S);
  cp_seeded_random_init (&bench->random, 11);
  for (unsigned i = 0; i < TARGETS; i++)
    {
      snprintf (bench->targets[i].name, CP_NAME_BYTES, "target-%u", i);
      snprintf (bench->targets[i].address.text,
                sizeof bench->targets[i].address.text, "127.0.0.%u:1", i);
      bench->targets[i].has_daemon = has_daemon;
      bench->lives[i] = CP_DAEMON_SERVING;
    }
  bench->service.targets = bench->targets;
  bench->service.n_targets = TARGETS;
  bench->service.slots = 12;
  bench->service.eject_most_share = 0.4;
  cp_balancer_init (&bench->balancer, &cp_picker_hot_cold, &bench->chart,
                    &bench->clock.clock, "shop", "vm-1", "x");
  ck_assert_int_eq (cp_balancer_update (&bench->balancer, &bench->service, 0),
                    0);
}

static void
tear_down (struct bench *bench)
{
  cp_balancer_finish (&bench->balancer);
  cp_seeded_random_finish (&bench->random);
}

static unsigned
index_of (const char *name)
{
  return (unsigned)(name[strlen (name) - 1] - '0');
}

static int
state_of (const struct bench *bench, unsigned index)
{
  return bench->balancer.targets[index].health.state;
}

/* Makes CALLS calls, one in each ms; adds them to COUNTS.  */
static void
call (struct bench *bench, unsigned calls, unsigned counts[TARGETS])
{
  const struct cp_tried tried = { .count = 0 };

  memset (counts, 0, TARGETS * sizeof counts[0]);
  for (unsigned i = 0; i < calls; i++)
    {
      struct cp_target target;
      uint64_t incarnation;
      unsigned index;

      ck_assert (cp_balancer_pick (&bench->balancer, &tried,
                                   &bench->random.random, &target,
                                   &incarnation));
      index = index_of (target.name);
      counts[index]++;
      bench->clock.time_us += STEP_US;
      if (bench->has_reports && bench->results[index] != CP_CALL_NO_CONTACT)
        {
          struct cp_load_report report
              = { .incarnation = 1, .life = bench->lives[index] };

          cp_balancer_report (&bench->balancer, target.name, &report);
        }
      cp_balancer_done (&bench->balancer, target.name, bench->results[index],
                        STEP_US);
    }
}

/* Ramps all targets up.  */
static void
warm_up (struct bench *bench)
{
  unsigned counts[TARGETS];

  call (bench, 2200, counts);
  for (unsigned i = 0; i < TARGETS; i++)
    ck_assert_int_eq (state_of (bench, i), CP_HEALTH_HEALTHY);
}

START_TEST (a_failing_target_is_kept_out_and_comes_back)
{
  struct bench bench;
  unsigned counts[TARGETS];

  set_up (&bench, true);
  warm_up (&bench);
  bench.results[2] = CP_CALL_FAILED;
  call (&bench, 1000, counts);
  ck_assert_uint_le (counts[2], 1000 / TARGETS);
  call (&bench, 1000, counts);
  call (&bench, 4000, counts);
  ck_assert_msg (counts[2] < 40, "%u of 4000", counts[2]);
  bench.results[2] = CP_CALL_ANSWERED;
  call (&bench, 40000, counts);
  call (&bench, 1000, counts);
  ck_assert_int_eq (state_of (&bench, 2), CP_HEALTH_HEALTHY);
  ck_assert_uint_gt (counts[2], 1000 / TARGETS / 2);
  tear_down (&bench);
}
END_TEST

START_TEST (five_failures_in_a_row_eject)
{
  struct bench bench;
  struct cp_health *health;
  uint64_t now;

  set_up (&bench, true);
  warm_up (&bench);
  health = &bench.balancer.targets[0].health;
  now = bench.clock.time_us;
  for (unsigned i = 0; i < 4; i++)
    cp_health_result (health, &bench.chart, CP_CALL_FAILED, now, true);
  ck_assert_int_eq (health->state, CP_HEALTH_SUSPECT);
  cp_health_result (health, &bench.chart, CP_CALL_FAILED, now, true);
  ck_assert_int_eq (health->state, CP_HEALTH_EJECTED);
  ck_assert (!cp_health_takes_calls (health));
  ck_assert (!cp_health_tick (health, &bench.chart, now + CP_US_PER_S));
  now = health->until_us;
  ck_assert (cp_health_tick (health, &bench.chart, now));
  ck_assert_int_eq (health->state, CP_HEALTH_PROBATION);
  ck_assert (cp_health_wants_trial (health, now));
  cp_health_result (health, &bench.chart, CP_CALL_FAILED, now, true);
  ck_assert_int_eq (health->state, CP_HEALTH_EJECTED);
  ck_assert_uint_gt (health->until_us - now, 3 * CP_US_PER_S);
  cp_health_tick (health, &bench.chart, health->until_us);
  for (unsigned i = 0; i < 3; i++)
    cp_health_result (health, &bench.chart, CP_CALL_ANSWERED, now, true);
  ck_assert_int_eq (health->state, CP_HEALTH_COLD);
  ck_assert (cp_health_ramp (health, health->since_us) < 0.2);
  tear_down (&bench);
}
END_TEST

START_TEST (ejection_is_bounded_and_calls_spread_below_that)
{
  struct bench bench;
  unsigned counts[TARGETS];
  unsigned ejected = 0;

  set_up (&bench, true);
  warm_up (&bench);
  for (unsigned i = 0; i < TARGETS; i++)
    bench.results[i] = CP_CALL_FAILED;
  for (unsigned round = 0; round < 20; round++)
    {
      call (&bench, 100, counts);
      ejected = 0;
      for (unsigned i = 0; i < TARGETS; i++)
        ejected += state_of (&bench, i) == CP_HEALTH_EJECTED
                   || state_of (&bench, i) == CP_HEALTH_PROBATION;
      ck_assert_uint_le (ejected, 2);
    }
  ck_assert_uint_eq (ejected, 2);
  call (&bench, 1000, counts);
  for (unsigned i = 0; i < TARGETS; i++)
    ck_assert_msg (counts[i] > 1000 / TARGETS / 2, "%u: %u", i, counts[i]);
  tear_down (&bench);
}
END_TEST

START_TEST (a_draining_target_leaves_with_its_report)
{
  struct bench bench;
  unsigned counts[TARGETS];
  struct cp_target asked[TARGETS];
  struct cp_load_report report
      = { .incarnation = 1, .life = CP_DAEMON_DRAINING, .in_flight = 1 };

  set_up (&bench, true);
  bench.has_reports = true;
  warm_up (&bench);
  cp_balancer_report (&bench.balancer, "target-1", &report);
  ck_assert_int_eq (state_of (&bench, 1), CP_HEALTH_LEAVING);
  call (&bench, 3000, counts);
  ck_assert_uint_eq (counts[1], 0);
  /* Its last report of serving, overtaken by the one of draining.  */
  report.life = CP_DAEMON_SERVING;
  report.age_us = 2500 * CP_US_PER_MS;
  cp_balancer_report (&bench.balancer, "target-1", &report);
  ck_assert_int_eq (state_of (&bench, 1), CP_HEALTH_LEAVING);
  ck_assert_uint_ge (cp_balancer_due_queries (&bench.balancer, asked, TARGETS),
                     1);
  ck_assert_str_eq (asked[0].name, "target-1");
  report.incarnation = 2;
  report.age_us = 0;
  cp_balancer_report (&bench.balancer, "target-1", &report);
  ck_assert_int_eq (state_of (&bench, 1), CP_HEALTH_COLD);
  tear_down (&bench);
}
END_TEST

START_TEST (refused_connections_are_evidence)
{
  struct bench bench;
  unsigned counts[TARGETS];
  struct cp_target asked[TARGETS];
  struct cp_load_report report
      = { .incarnation = 9, .life = CP_DAEMON_SERVING };

  set_up (&bench, true);
  bench.has_reports = true;
  warm_up (&bench);
  bench.results[3] = CP_CALL_NO_CONTACT;
  call (&bench, 1000, counts);
  ck_assert_uint_le (counts[3], 3);
  call (&bench, 10000, counts);
  ck_assert_int_eq (state_of (&bench, 3), CP_HEALTH_GONE);
  ck_assert_uint_eq (counts[3], 0);
  ck_assert_uint_ge (cp_balancer_due_queries (&bench.balancer, asked, TARGETS),
                     1);
  cp_balancer_report (&bench.balancer, "target-3", &report);
  ck_assert_int_eq (state_of (&bench, 3), CP_HEALTH_COLD);
  tear_down (&bench);
}
END_TEST

START_TEST (a_gone_target_without_daemon_is_tried)
{
  struct bench bench;
  unsigned counts[TARGETS];

  set_up (&bench, false);
  warm_up (&bench);
  bench.results[3] = CP_CALL_NO_CONTACT;
  call (&bench, 1000, counts);
  bench.results[3] = CP_CALL_ANSWERED;
  call (&bench, 10000, counts);
  ck_assert_int_eq (state_of (&bench, 3), CP_HEALTH_HEALTHY);
  tear_down (&bench);
}
END_TEST

START_TEST (silence_is_only_suspicion)
{
  struct bench bench;
  const struct cp_tried tried = { .count = 0 };
  struct cp_target target;
  uint64_t incarnation;
  unsigned counts[TARGETS];

  set_up (&bench, true);
  warm_up (&bench);
  ck_assert (cp_balancer_pick (&bench.balancer, &tried, &bench.random.random,
                               &target, &incarnation));
  bench.clock.time_us += CP_US_PER_S;
  call (&bench, 200, counts);
  ck_assert_int_eq (state_of (&bench, index_of (target.name)),
                    CP_HEALTH_SUSPECT);
  ck_assert_uint_eq (counts[index_of (target.name)], 0);
  cp_balancer_done (&bench.balancer, target.name, CP_CALL_ANSWERED,
                    1200 * CP_US_PER_MS);
  call (&bench, 20000, counts);
  ck_assert_int_eq (state_of (&bench, index_of (target.name)),
                    CP_HEALTH_HEALTHY);
  tear_down (&bench);
}
END_TEST

/* Answers the queries that the balancer asks for.  */
static void
answer_queries (struct bench *bench)
{
  struct cp_target asked[TARGETS];
  unsigned count = cp_balancer_due_queries (&bench->balancer, asked, TARGETS);

  for (unsigned i = 0; i < count; i++)
    {
      struct cp_load_report report
          = { .incarnation = 1, .life = CP_DAEMON_SERVING };

      if (bench->results[index_of (asked[i].name)] != CP_CALL_NO_CONTACT)
        cp_balancer_report (&bench->balancer, asked[i].name, &report);
    }
}

START_TEST (calls_go_on_when_all_seem_gone)
{
  struct bench bench;
  unsigned counts[TARGETS];

  set_up (&bench, true);
  warm_up (&bench);
  for (unsigned i = 0; i < TARGETS; i++)
    bench.results[i] = CP_CALL_NO_CONTACT;
  call (&bench, 200, counts);
  for (unsigned i = 0; i < TARGETS; i++)
    bench.results[i] = CP_CALL_ANSWERED;
  for (unsigned round = 0; round < 24; round++)
    {
      call (&bench, 250, counts);
      answer_queries (&bench);
    }
  for (unsigned i = 0; i < TARGETS; i++)
    ck_assert_int_eq (state_of (&bench, i), CP_HEALTH_HEALTHY);
  tear_down (&bench);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, a_failing_target_is_kept_out_and_comes_back);
  tcase_add_test (tests, five_failures_in_a_row_eject);
  tcase_add_test (tests, ejection_is_bounded_and_calls_spread_below_that);
  tcase_add_test (tests, a_draining_target_leaves_with_its_report);
  tcase_add_test (tests, refused_connections_are_evidence);
  tcase_add_test (tests, a_gone_target_without_daemon_is_tried);
  tcase_add_test (tests, silence_is_only_suspicion);
  tcase_add_test (tests, calls_go_on_when_all_seem_gone);
}

int
main (void)
{
  return suite_run ("health", add_tests, 30);
}

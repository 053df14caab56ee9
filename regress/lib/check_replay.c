/* Parsing, writing and replay of traces, and the bounds of the outcomes in the
   recorded traces.  */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "lib/replay.h"
#include "regress/harness/suite.h"

#define FIRST_SEED 1
#define SEEDS 12

#define HEADER                                                                \
  "{\"format\":1,\"trace\":\"small\",\"deployment\":\"none\","                \
  "\"service\":\"shop\",\"source\":\"written for a test\",\"slots\":2,"       \
  "\"one_way_us\":1000,\"eject_most_share\":0.4,\"deadline_us\":2000000,"     \
  "\"targets\":[[\"a\",\"x\"],[\"b\",\"y\"]],\"outbound\":[[\"o\",\"x\"]],"   \
  "\"outcomes\":{\"errors\":0}}\n"
#define CALL "{\"call\":1,\"t\":5,\"from\":0}\n"
#define ANSWER                                                                \
  "{\"answer\":1,\"t\":900,\"target\":1,\"service_us\":800,\"status\":200,"   \
  "\"load\":0,\"age_us\":0}\n"

static void
load_chart (struct cp_chart *chart)
{
  struct cp_error error;
  char path[256];

  snprintf (path, sizeof path, "%s/charts/target.json", getenv ("TOP"));
  ck_assert_int_eq (cp_chart_load (chart, path, &cp_health_names, &error), 0);
}

static void
load_trace (struct cp_trace *trace, const char *name)
{
  struct cp_error error;
  char path[256];
  char text[900];

  snprintf (path, sizeof path, "%s/regress/traces/%s.jsonl", getenv ("TOP"),
            name);
  cp_trace_init (trace);
  if (cp_trace_load (trace, path, &error) == 0)
    return;
  cp_error_text (&error, text, sizeof text);
  ck_abort_msg ("%s", text);
}

START_TEST (invalid_traces_are_rejected_with_line_and_remedy)
{
  static const struct
  {
    const char *text;
    const char *place;
    const char *problem;
  } cases[] = {
    { "", "t:0", "truncated" },
    { "not JSON\n", "t:1", "not a JSON object" },
    { "{\"format\":2}\n", "t:1", "not a trace of format 1" },
    { "{\"kind\":\"pick\"}\n", "t:1", "not a trace of format 1" },
    { HEADER CALL ANSWER, "t:3", "truncated" },
    { HEADER CALL "{\"answer\":1,\"t\":9", "t:3", "not a JSON object" },
    { HEADER CALL "{\"end\":2}\n", "t:3", "number of calls" },
    { HEADER CALL "{\"end\":1}\n" CALL, "t:4", "after the end" },
    { HEADER CALL "{\"call\":2,\"t\":4,\"from\":0}\n", "t:3", "earlier" },
    { HEADER ANSWER, "t:2", "no call before it" },
    { HEADER CALL CALL, "t:3", "used before" },
    { HEADER "{\"call\":1,\"t\":5,\"from\":1}\n", "t:2", "unknown outbound" },
    { HEADER "{\"call\":1,\"t\":-5,\"from\":0}\n", "t:2", "negative" },
    { HEADER CALL "{\"answer\":1,\"t\":9,\"target\":2}\n", "t:3",
      "unknown target" },
    { HEADER CALL "{\"answer\":1,\"t\":9,\"target\":0,\"service_us\":4,"
                  "\"status\":200,\"load\":-1,\"age_us\":0}\n",
      "t:3", "negative" },
    { HEADER "{\"fault\":\"storm\",\"t\":1,\"target\":0,\"value\":1}\n", "t:2",
      "kind of fault" },
    { HEADER "{\"t\":1}\n", "t:2", "unknown kind" },
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      struct cp_trace trace;
      struct cp_error error;

      cp_trace_init (&trace);
      ck_assert_int_eq (cp_trace_parse (&trace, "t", cases[i].text, &error),
                        -1);
      ck_assert_str_eq (error.place, cases[i].place);
      ck_assert_msg (strstr (error.problem, cases[i].problem) != NULL,
                     "%u: %s", i, error.problem);
      ck_assert_str_ne (error.remedy, "");
      cp_trace_finish (&trace);
    }
}
END_TEST

START_TEST (a_trace_round_trips_through_text)
{
  struct cp_trace trace;
  struct cp_error error;
  GString *text = g_string_new (NULL);

  cp_trace_init (&trace);
  ck_assert_int_eq (cp_trace_parse (&trace, "t",
                                    HEADER CALL
                                    "{\"fault\":\"slow\",\"t\":6,\"target\":1,"
                                    "\"value\":3}\n" ANSWER "{\"end\":1}\n",
                                    &error),
                    0);
  cp_trace_write (&trace, text);
  ck_assert_ptr_nonnull (strstr (text->str, CALL));
  ck_assert_ptr_nonnull (strstr (text->str, ANSWER "{\"end\":1}\n"));
  ck_assert_ptr_nonnull (strstr (text->str, "\"fault\":\"slow\",\"t\":6"));
  g_string_free (text, TRUE);
  cp_trace_finish (&trace);
}
END_TEST

START_TEST (an_unknown_outcome_is_an_error)
{
  struct cp_trace trace;
  struct cp_chart chart;
  struct cp_error error;
  struct cp_replay_options options
      = { &cp_picker_hot_cold, &chart, FIRST_SEED, false };
  struct cp_replay_result result;
  struct cp_replay_finding findings[CP_TRACE_OUTCOMES_MAX];
  unsigned count;

  load_chart (&chart);
  cp_trace_init (&trace);
  ck_assert_int_eq (
      cp_trace_parse (&trace, "t", HEADER CALL ANSWER "{\"end\":1}\n", &error),
      0);
  ck_assert_int_eq (cp_replay_run (&trace, &options, &result, &error), 0);
  ck_assert_uint_eq (result.calls, 1);
  ck_assert_uint_eq (result.errors, 0);
  ck_assert_int_eq (
      cp_replay_check (&trace, &options, 1, &result, findings, &count, &error),
      0);
  ck_assert (count == 1 && findings[0].holds);
  strcpy (trace.outcomes[0].name, "luck");
  ck_assert_int_eq (
      cp_replay_check (&trace, &options, 1, &result, findings, &count, &error),
      -1);
  cp_replay_result_finish (&result);
  cp_trace_finish (&trace);
}
END_TEST

START_TEST (the_same_seed_gives_the_same_result)
{
  struct cp_trace trace;
  struct cp_chart chart;
  struct cp_error error;
  struct cp_replay_options options
      = { &cp_picker_hot_cold, &chart, 42, false };
  struct cp_replay_result first;
  struct cp_replay_result second;

  load_chart (&chart);
  load_trace (&trace, "lankagiri-moving-neighbour");
  ck_assert_int_eq (cp_replay_run (&trace, &options, &first, &error), 0);
  ck_assert_int_eq (cp_replay_run (&trace, &options, &second, &error), 0);
  ck_assert_uint_eq (first.latencies_us->len, second.latencies_us->len);
  ck_assert_mem_eq (first.latencies_us->data, second.latencies_us->data,
                    first.latencies_us->len * sizeof (uint64_t));
  ck_assert_mem_eq (first.per_target, second.per_target,
                    sizeof first.per_target);
  cp_replay_result_finish (&first);
  cp_replay_result_finish (&second);
  cp_trace_finish (&trace);
}
END_TEST

static bool
is_baseline (const char *outcome)
{
  return g_str_has_prefix (outcome, "p99_of_")
         && strcmp (outcome, "p99_of_best_blind") != 0
         && strcmp (outcome, "p99_of_no_fault") != 0;
}

/* Checks the outcomes of a trace that compare with a baseline picker, or those
   that do not.  */
static void
check_outcomes (const char *name, bool baselines)
{
  struct cp_trace trace;
  struct cp_chart chart;
  struct cp_error error;
  struct cp_replay_options options
      = { &cp_picker_hot_cold, &chart, FIRST_SEED, false };
  struct cp_replay_result result;
  struct cp_replay_finding findings[CP_TRACE_OUTCOMES_MAX];
  GString *failures = g_string_new (NULL);
  unsigned count;
  unsigned n_selected = 0;

  load_chart (&chart);
  load_trace (&trace, name);
  for (unsigned i = 0; i < trace.n_outcomes; i++)
    if (is_baseline (trace.outcomes[i].name) == baselines)
      trace.outcomes[n_selected++] = trace.outcomes[i];
  trace.n_outcomes = n_selected;
  ck_assert_int_eq (
      cp_replay_run_seeds (&trace, &options, SEEDS, &result, &error), 0);
  ck_assert_uint_eq (result.calls, (uint64_t)trace.calls->len * SEEDS);
  ck_assert_int_eq (cp_replay_check (&trace, &options, SEEDS, &result,
                                     findings, &count, &error),
                    0);
  for (unsigned i = 0; i < count; i++)
    if (!findings[i].holds)
      g_string_append_printf (failures, " %s %.4f, at most %.4f;",
                              findings[i].name, findings[i].found,
                              findings[i].bound);
  ck_assert_msg (failures->len == 0, "%s: %s", name, failures->str);
  g_string_free (failures, TRUE);
  cp_replay_result_finish (&result);
  cp_trace_finish (&trace);
}

/* Two tests for each trace of both deployments.  */
#define TRACES(X)                                                             \
  X (ordinary_hour, "ordinary-hour")                                          \
  X (holiday_surge, "holiday-surge")                                          \
  X (moving_neighbour, "moving-neighbour")                                    \
  X (straggler, "straggler")                                                  \
  X (fast_failer, "fast-failer")                                              \
  X (rolling_drain, "rolling-drain")                                          \
  X (cold_start, "cold-start")                                                \
  X (load_pages_lag, "load-pages-lag")                                        \
  X (load_pages_idle, "load-pages-idle")                                      \
  X (load_pages_hang, "load-pages-hang")                                      \
  X (paused_outbound, "paused-outbound")                                      \
  X (quiet_night, "quiet-night")                                              \
  X (half_lost, "half-lost")

#define TRACE_TESTS(test, file)                                               \
  START_TEST (lankagiri_##test##_baselines)                                   \
  {                                                                           \
    check_outcomes ("lankagiri-" file, true);                                 \
  }                                                                           \
  END_TEST                                                                    \
  START_TEST (lankagiri_##test##_outcomes)                                    \
  {                                                                           \
    check_outcomes ("lankagiri-" file, false);                                \
  }                                                                           \
  END_TEST                                                                    \
  START_TEST (wattlebird_##test##_baselines)                                  \
  {                                                                           \
    check_outcomes ("wattlebird-" file, true);                                \
  }                                                                           \
  END_TEST                                                                    \
  START_TEST (wattlebird_##test##_outcomes)                                   \
  {                                                                           \
    check_outcomes ("wattlebird-" file, false);                               \
  }                                                                           \
  END_TEST

TRACES (TRACE_TESTS)

#define ADD_TRACE_TESTS(test, file)                                           \
  tcase_add_test (tests, lankagiri_##test##_baselines);                       \
  tcase_add_test (tests, lankagiri_##test##_outcomes);                        \
  tcase_add_test (tests, wattlebird_##test##_baselines);                      \
  tcase_add_test (tests, wattlebird_##test##_outcomes);

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, invalid_traces_are_rejected_with_line_and_remedy);
  tcase_add_test (tests, a_trace_round_trips_through_text);
  tcase_add_test (tests, an_unknown_outcome_is_an_error);
  tcase_add_test (tests, the_same_seed_gives_the_same_result);
  TRACES (ADD_TRACE_TESTS)
}

int
main (void)
{
  return suite_run ("replay", add_tests, 60);
}

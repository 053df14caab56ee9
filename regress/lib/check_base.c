/* Errors, addresses, histograms, counters, identifiers, reports, charts and
   the register.  */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "lib/address.h"
#include "lib/attempt_table.h"
#include "lib/chart.h"
#include "lib/counter.h"
#include "lib/id.h"
#include "lib/load_report.h"
#include "regress/harness/suite.h"

START_TEST (errors_name_place_and_remedy)
{
  struct cp_error error;
  char text[900];

  ck_assert_int_eq (cp_error_set (&error, CP_ERROR_IO, "file:3", "repair it",
                                  "is %s", "broken"),
                    -1);
  cp_error_text (&error, text, sizeof text);
  ck_assert_str_eq (text, "file:3: is broken; repair it");
}
END_TEST

START_TEST (addresses_are_ip_numbers_with_port)
{
  static const char *const invalid[]
      = { "localhost:80",   "10.1.1.1",     "10.1.1.1:0",
          "10.1.1.1:65536", "10.1.1.1:-1",  "::1:80",
          "[::1]",          "10.1.1.1:80x", "" };
  struct cp_address address;

  ck_assert (cp_address_parse (&address, "10.1.1.1:80"));
  ck_assert_uint_eq (cp_address_port (&address), 80);
  ck_assert (cp_address_parse (&address, "[2001:db8::1]:443"));
  ck_assert_uint_eq (cp_address_port (&address), 443);
  for (unsigned i = 0; i < sizeof invalid / sizeof invalid[0]; i++)
    ck_assert_msg (!cp_address_parse (&address, invalid[i]), "%s", invalid[i]);
}
END_TEST

START_TEST (histogram_quantiles_are_within_a_sixteenth)
{
  static struct cp_histogram histogram;

  for (uint64_t value = 1; value <= 100000; value++)
    cp_histogram_add (&histogram, value);
  ck_assert_uint_eq (cp_histogram_count (&histogram), 100000);
  for (unsigned percent = 1; percent < 100; percent++)
    {
      double quantile = percent / 100.0;
      double exact = quantile * 100000;
      double got = (double)cp_histogram_quantile (&histogram, quantile);

      ck_assert_msg (got >= exact * 15 / 16 - 1 && got <= exact * 17 / 16 + 1,
                     "%f: %f", exact, got);
    }
}
END_TEST

static void *
add_thousand (void *context)
{
  for (unsigned i = 0; i < 1000; i++)
    cp_counters_add (context, 1, 2);
  return NULL;
}

START_TEST (counters_include_ended_threads)
{
  struct cp_counters counters;
  pthread_t threads[8];

  ck_assert_int_eq (cp_counters_init (&counters, 3), 0);
  for (unsigned i = 0; i < 8; i++)
    pthread_create (&threads[i], NULL, add_thousand, &counters);
  for (unsigned i = 0; i < 8; i++)
    pthread_join (threads[i], NULL);
  cp_counters_add (&counters, 1, 5);
  ck_assert_uint_eq (cp_counters_read (&counters, 1), 16005);
  ck_assert_uint_eq (cp_counters_read (&counters, 2), 0);
  cp_counters_finish (&counters);
}
END_TEST

START_TEST (identifiers_round_trip_through_text)
{
  struct cp_seeded_random random;
  struct cp_id id;
  struct cp_id parsed;
  char text[CP_ID_TEXT_BYTES];

  cp_seeded_random_init (&random, 1);
  cp_id_create (&id, &random.random);
  cp_id_text (&id, text);
  ck_assert (cp_id_parse (&parsed, text));
  ck_assert (cp_id_equal (&id, &parsed));
  text[3] = 'x';
  ck_assert (!cp_id_parse (&parsed, text));
  ck_assert (!cp_id_parse (&parsed, NULL));
  cp_seeded_random_finish (&random);
}
END_TEST

START_TEST (reports_round_trip_through_text)
{
  struct cp_load_report report = { .incarnation = 0xfedcba9876543210,
                                   .life = CP_DAEMON_DRAINING,
                                   .in_flight = 3,
                                   .queued = 4,
                                   .limit = 12,
                                   .latency_us = 5000,
                                   .errors_permille = 7,
                                   .age_us = 9 };
  struct cp_load_report parsed;
  char text[CP_LOAD_REPORT_TEXT_BYTES];

  cp_load_report_format (&report, text);
  ck_assert (cp_load_report_parse (&parsed, text));
  ck_assert_uint_eq (parsed.incarnation, report.incarnation);
  ck_assert_int_eq (parsed.life, report.life);
  ck_assert_uint_eq (parsed.in_flight, report.in_flight);
  ck_assert_uint_eq (parsed.queued, report.queued);
  ck_assert_uint_eq (parsed.limit, report.limit);
  ck_assert_uint_eq (parsed.latency_us, report.latency_us);
  ck_assert_uint_eq (parsed.errors_permille, report.errors_permille);
  ck_assert_uint_eq (parsed.age_us, report.age_us);
  ck_assert (!cp_load_report_parse (&parsed, "inc=1 life=serving fl=-1"));
  ck_assert (!cp_load_report_parse (&parsed, NULL));
}
END_TEST

static int
load_text (const char *text, struct cp_chart *chart, struct cp_error *error)
{
  char path[] = "/tmp/cornelpick-chart-XXXXXX";
  int fd = mkstemp (path);
  int status;

  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  close (fd);
  status = cp_chart_load (chart, path, &cp_attempt_names, error);
  unlink (path);
  return status;
}

START_TEST (invalid_charts_are_rejected)
{
  static const struct
  {
    const char *text;
    const char *problem;
  } cases[] = {
    { "{", "line 1" },
    { "{\"name\": \"x\", \"initial\": \"nowhere\", \"states\": {}}",
      "\"initial\" is missing" },
    { "{\"name\": \"x\", \"initial\": \"unknown\", \"states\": {}}",
      "0 states" },
    { "{\"name\": \"x\", \"initial\": \"unknown\", \"states\": "
      "{\"unknown\": {\"on\": {\"jump\": \"queued\"}}, \"queued\": {}, "
      "\"started\": {}, \"answered\": {}, \"failed\": {}, \"cancelled\": {}, "
      "\"fenced\": {}}}",
      "unknown event" },
    { "{\"name\": \"x\", \"initial\": \"unknown\", \"states\": "
      "{\"unknown\": {\"on\": {\"arrive\": \"there\"}}, \"queued\": {}, "
      "\"started\": {}, \"answered\": {}, \"failed\": {}, \"cancelled\": {}, "
      "\"fenced\": {}}}",
      "unknown state" },
    { "{\"name\": \"x\", \"initial\": \"unknown\", \"states\": "
      "{\"unknown\": {\"on\": {\"arrive\": \"queued\"}}, \"queued\": {}, "
      "\"started\": {}, \"answered\": {}, \"failed\": {}, \"cancelled\": {}, "
      "\"fenced\": {}}, \"final\": [\"queued\"]}",
      "can not be reached" },
  };
  struct cp_chart chart;
  struct cp_error error;

  for (unsigned i = 0; i < sizeof cases / sizeof cases[0]; i++)
    {
      ck_assert_int_eq (load_text (cases[i].text, &chart, &error), -1);
      ck_assert_msg (strstr (error.problem, cases[i].problem) != NULL,
                     "%u: %s", i, error.problem);
    }
}
END_TEST

START_TEST (a_fence_stays_in_the_register_until_its_deadline)
{
  struct cp_virtual_clock clock;
  struct cp_attempt_table attempts;
  struct cp_chart chart;
  struct cp_error error;
  struct cp_id id = { { 1, 2, 3 } };
  enum cp_attempt_state state;
  char path[256];

  snprintf (path, sizeof path, "%s/charts/attempt.json", getenv ("TOP"));
  ck_assert_int_eq (cp_chart_load (&chart, path, &cp_attempt_names, &error),
                    0);
  cp_virtual_clock_init (&clock, 1000);
  cp_attempt_table_init (&attempts, &clock.clock, &chart, 1);
  ck_assert_int_eq (
      cp_attempt_table_step (&attempts, &id, CP_ATTEMPT_FENCE, 5000, &state),
      CP_ATTEMPT_TABLE_DONE);
  ck_assert_int_eq (
      cp_attempt_table_step (&attempts, &id, CP_ATTEMPT_ARRIVE, 5000, &state),
      CP_ATTEMPT_TABLE_NO_TRANSITION);
  ck_assert_int_eq (state, CP_ATTEMPT_FENCED);
  id.bytes[0] = 9;
  ck_assert_int_eq (
      cp_attempt_table_step (&attempts, &id, CP_ATTEMPT_ARRIVE, 5000, &state),
      CP_ATTEMPT_TABLE_FULL);
  clock.time_us += 10 * CP_US_PER_S;
  ck_assert_int_eq (
      cp_attempt_table_step (&attempts, &id, CP_ATTEMPT_ARRIVE, 5000, &state),
      CP_ATTEMPT_TABLE_LATE);
  ck_assert_int_eq (cp_attempt_table_step (&attempts, &id, CP_ATTEMPT_ARRIVE,
                                           clock.time_us + 5000, &state),
                    CP_ATTEMPT_TABLE_DONE);
  cp_attempt_table_finish (&attempts);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, errors_name_place_and_remedy);
  tcase_add_test (tests, addresses_are_ip_numbers_with_port);
  tcase_add_test (tests, histogram_quantiles_are_within_a_sixteenth);
  tcase_add_test (tests, counters_include_ended_threads);
  tcase_add_test (tests, identifiers_round_trip_through_text);
  tcase_add_test (tests, reports_round_trip_through_text);
  tcase_add_test (tests, invalid_charts_are_rejected);
  tcase_add_test (tests, a_fence_stays_in_the_register_until_its_deadline);
}

int
main (void)
{
  return suite_run ("base", add_tests, 30);
}

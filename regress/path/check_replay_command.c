/* Tests the commands cornelpick record and cornelpick replay.  */
#include <curl/curl.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "regress/harness/harness.h"
#include "regress/harness/suite.h"

#define CALLS 40

/* Runs cornelpick with ARGUMENTS; returns its exit status and, in OUTPUT, what
   it wrote to both streams.  */
static int
run (GString *output, const char *arguments)
{
  CP_AUTO_FREE char *line = g_strdup_printf (
      "%s/cornelpick/cornelpick %s 2>&1", getenv ("BUILD"), arguments);
  FILE *stream = popen (line, "r");
  char buffer[4096];
  size_t count;

  ck_assert_ptr_nonnull (stream);
  g_string_truncate (output, 0);
  while ((count = fread (buffer, 1, sizeof buffer, stream)) > 0)
    g_string_append_len (output, buffer, (gssize)count);
  return WEXITSTATUS (pclose (stream));
}

/* Replays TRACE, a file of regress/traces or a path, with OPTIONS.  */
static int
replay (GString *output, const char *options, const char *trace)
{
  CP_AUTO_FREE char *arguments
      = g_strdup_printf ("replay --charts %s/charts %s %s%s%s", getenv ("TOP"),
                         options, *trace == '/' ? "" : getenv ("TOP"),
                         *trace == '/' ? "" : "/regress/traces/", trace);

  return run (output, arguments);
}

START_TEST (the_same_trace_and_seed_give_the_same_bytes)
{
  GString *first = g_string_new (NULL);
  GString *second = g_string_new (NULL);
  CP_AUTO_JSON json_t *value = NULL;

  ck_assert_int_eq (
      replay (first, "--json --seed 3", "lankagiri-straggler.jsonl"),
      replay (second, "--json --seed 3", "lankagiri-straggler.jsonl"));
  ck_assert_str_eq (first->str, second->str);
  value = json_loads (first->str, 0, NULL);
  ck_assert_str_eq (json_string_value (json_object_get (value, "picker")),
                    "hot-cold");
  ck_assert_int_gt (json_integer_value (json_object_get (value, "calls")), 0);
  ck_assert_int_ne (
      replay (second, "--json --seed 4", "lankagiri-straggler.jsonl"), 2);
  ck_assert_str_ne (first->str, second->str);
  g_string_free (first, TRUE);
  g_string_free (second, TRUE);
}
END_TEST

START_TEST (the_exit_status_tells_whether_the_outcomes_hold)
{
  GString *output = g_string_new (NULL);

  ck_assert_int_eq (replay (output, "", "lankagiri-straggler.jsonl"), 0);
  ck_assert_int_eq (
      replay (output, "--picker random", "lankagiri-straggler.jsonl"), 1);
  ck_assert_ptr_nonnull (strstr (output->str, "finding"));
  ck_assert_int_eq (
      replay (output, "--picker best", "lankagiri-straggler.jsonl"), 2);
  ck_assert_ptr_nonnull (strstr (output->str, "use random, round-robin"));
  ck_assert_int_eq (replay (output, "", "no-such-trace.jsonl"), 1);
  ck_assert_ptr_nonnull (strstr (output->str, "name a file"));
  ck_assert_int_eq (run (output, "replay"), 2);
  ck_assert_int_eq (run (output, "record"), 2);
  g_string_free (output, TRUE);
}
END_TEST

START_TEST (what_a_daemon_decided_can_be_recorded_and_replayed)
{
  struct fleet fleet;
  struct reply reply;
  GString *output = g_string_new (NULL);
  char address[56];
  CP_AUTO_FREE char *arguments = NULL;
  CP_AUTO_FREE char *trace = NULL;

  fleet_start (&fleet, 3, 3, NULL);
  reply_init (&reply);
  for (unsigned i = 0; i < CALLS; i++)
    {
      fleet_call (&fleet, &reply, 1, "GET", "/items/1", NULL, NULL);
      ck_assert_int_eq (reply.status, 200);
    }
  trace = g_strdup_printf ("%s/trace.jsonl", fleet.folder);
  arguments = g_strdup_printf ("record --out %s %s", trace,
                               fleet_address (&fleet, 1, 7402, address));
  ck_assert_int_eq (run (output, arguments), 0);
  ck_assert_int_eq (replay (output, "--json", trace), 0);
  ck_assert_ptr_nonnull (strstr (output->str, "\"calls\":40"));
  ck_assert_int_eq (unlink (trace), 0);
  reply_finish (&reply);
  g_string_free (output, TRUE);
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, the_same_trace_and_seed_give_the_same_bytes);
  tcase_add_test (tests, the_exit_status_tells_whether_the_outcomes_hold);
  tcase_add_test (tests, what_a_daemon_decided_can_be_recorded_and_replayed);
}

int
main (void)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
  return suite_run ("replay_command", add_tests, 60);
}

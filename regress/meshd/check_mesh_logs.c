/* The structured log: its schema, its rate limits, and the reports that
   cornelpick makes from it.  */
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "regress/harness/stage_fixture.h"

#define FLOOD 1500

static int
call (const char *method, const char *path, const char *id)
{
  stage_call (&stage, &reply, 3, method, "alpha.test", path, id,
              method[0] == 'P' ? "order" : NULL);
  return reply.status;
}

/* Returns the members that docs/LOGS.md lists for KIND, or NULL if it has no
   such row.  The caller frees them.  */
static char *
documented_members (const char *page, const char *kind)
{
  CP_AUTO_FREE char *begin = g_strdup_printf ("\n| `%s` | ", kind);
  const char *at = strstr (page, begin);

  if (at == NULL)
    return NULL;
  at += strlen (begin);
  if (g_str_has_prefix (at, "the same"))
    return documented_members (page, "job_end");
  return g_strndup (at, strcspn (at, "|"));
}

static void
check_line (const char *page, const char *text)
{
  CP_AUTO_JSON json_t *line = json_loads (text, 0, NULL);
  const char *kind = json_string_value (json_object_get (line, "kind"));
  CP_AUTO_FREE char *members = NULL;
  const char *name;
  json_t *value;

  ck_assert_msg (kind != NULL, "%s", text);
  ck_assert (json_is_real (json_object_get (line, "t")));
  ck_assert (json_is_string (json_object_get (line, "vm")));
  members = documented_members (page, kind);
  ck_assert_msg (members != NULL, "not documented: %s", text);
  json_object_foreach (line, name, value)
  {
    CP_AUTO_FREE char *quoted = g_strdup_printf ("`%s`", name);

    if (strcmp (name, "t") != 0 && strcmp (name, "vm") != 0
        && strcmp (name, "kind") != 0 && strcmp (name, "left_out") != 0)
      ck_assert_msg (strstr (members, quoted) != NULL, "%s in %s", name, text);
  }
}

static char *
log_of (unsigned vm)
{
  CP_AUTO_FREE char *path
      = g_strdup_printf ("%s/daemon-%u.log", stage.folder, vm);
  char *text = NULL;

  ck_assert (g_file_get_contents (path, &text, NULL, NULL));
  return text;
}

static bool
all_watch (void *context)
{
  (void)context;
  return stage_watches (&stage) == VMS;
}

/* Both servers admit few requests a second, so some calls are refused.  */
static bool
a_server_crashed (void *context)
{
  (void)context;
  return call ("POST", "/write/1?crash", "a6") == 502;
}

START_TEST (every_line_is_as_documented)
{
  static const char *const kinds[]
      = { "\"rate_limit\"",       "\"leaving\"",       "\"server_ended\"",
          "\"suspect\"",          "\"era\":2",         "\"kind\":\"era\"",
          "\"kind\":\"reached\"", "\"kind\":\"cold\"", "\"evacuation\"" };
  bool written[G_N_ELEMENTS (kinds)] = { false };
  const char *top = getenv ("TOP");
  CP_AUTO_FREE char *path = NULL;
  CP_AUTO_FREE char *page = NULL;
  unsigned lines = 0;

  path = g_strdup_printf ("%s/docs/LOGS.md", top == NULL ? "." : top);
  ck_assert (g_file_get_contents (path, &page, NULL, NULL));
  g_strlcpy (stage.warm_up, ",\"warmup\":\"3s\",\"warmupPerS\":11.0",
             sizeof stage.warm_up);
  stage_server_cold (&stage, 2, 1000);
  stage_configure (&stage, "");
  stage_store_copy (&stage);
  stage_put (&stage, "other/key", "value");
  stage_put (&stage, "op/evacuate/zone\"\\", "{}");
  stage_server_say (&stage, 1, "Server-Limit: 50\r\n");
  stage_server_say (&stage, 3, "Server-Leaving: 1\r\n");
  call ("GET", "/read/1", "a1");
  call ("GET", "/read/1?cut-once", "a2");
  call ("POST", "/write/1?shed", "a3");
  call ("POST", "/short/1?hang", "a4");
  call ("GET", "/nowhere/1", "a\"5\\");
  wait_until (a_server_crashed, NULL);
  stage_call (&stage, &reply, 2, "GET", "beta.test", "/read/1", "a7", NULL);
  stage_put (&stage, "servers/forged\"\\", "no entry");
  stage_write_settings (&stage, 3, ",\"zone\":7");
  kill (stage.daemons[3].pid, SIGHUP);
  wait_until (all_watch, NULL);
  stage_store_return (&stage);
  /* The daemon beside the ended server writes its lines first.  */
  g_usleep (500000);
  process_signal (&stage.daemons[1], SIGKILL);
  g_usleep (800000);
  for (unsigned vm = 1; vm <= VMS; vm++)
    {
      CP_AUTO_FREE char *text = log_of (vm);
      g_auto (GStrv) split = g_strsplit (text, "\n", -1);

      for (unsigned i = 0; split[i] != NULL && split[i][0] != '\0'; i++)
        {
          check_line (page, split[i]);
          for (unsigned k = 0; k < G_N_ELEMENTS (kinds); k++)
            written[k] = written[k] || strstr (split[i], kinds[k]) != NULL;
          lines++;
        }
    }
  ck_assert_uint_gt (lines, 20);
  for (unsigned k = 0; k < G_N_ELEMENTS (kinds); k++)
    ck_assert_msg (written[k], "no line of kind %s", kinds[k]);
}
END_TEST

/* Runs cornelpick with ARGUMENTS, the logs of all VMs and LAST.  Returns its
   output, which the caller frees.  */
static char *
run_cornelpick (const char *arguments, const char *last)
{
  const char *build = getenv ("BUILD");
  CP_AUTO_FREE char *script = g_strdup_printf (
      "%s/cornelpick/cornelpick %s %s/daemon-*.log %s",
      build == NULL ? "build" : build, arguments, stage.folder, last);
  char *command[] = { "sh", "-c", script, NULL };
  char *out = NULL;

  ck_assert (g_spawn_sync (NULL, command, NULL, G_SPAWN_SEARCH_PATH, NULL,
                           NULL, &out, NULL, NULL, NULL));
  return out;
}

static void
expect_substring (const char *text, const char *part)
{
  ck_assert_msg (strstr (text, part) != NULL, "no \"%s\" in:\n%s", part, text);
}

START_TEST (failures_are_reported_with_their_causes)
{
  CP_AUTO_FREE char *causes = NULL;
  CP_AUTO_FREE char *refused = NULL;
  CP_AUTO_FREE char *late = NULL;

  ck_assert_int_eq (call ("POST", "/write/1?shed", "b1"), 503);
  ck_assert_int_eq (call ("POST", "/short/1?hang", "b2"), 504);
  ck_assert_int_eq (call ("POST", "/write/1?cut", "b3"), 502);
  g_usleep (600000);
  causes = run_cornelpick ("log", "");
  expect_substring (causes, "503  server-full");
  expect_substring (causes, "504  timeout");
  expect_substring (causes, "502  cut");
  refused = run_cornelpick ("explain --log", "b1");
  expect_substring (refused, "answers 503: server-full; 2 asked, 2 reached");
  expect_substring (refused, "has not run");
  expect_substring (refused, "ended: server-full");
  late = run_cornelpick ("explain --log", "b2");
  expect_substring (late, "answers 504: timeout; 1 asked, 1 reached");
}
END_TEST

static bool
knows_two_evacuated (void *context)
{
  (void)context;
  return stage_counter (&stage, 3, "domains_evacuated") == 2;
}

START_TEST (the_reason_of_an_evacuated_domain_is_explained)
{
  CP_AUTO_FREE char *causes = NULL;
  CP_AUTO_FREE char *refused = NULL;

  stage_put (&stage, "op/evacuate/zone-a", "{}");
  stage_put (&stage, "op/evacuate/zone-b", "{}");
  wait_until (knows_two_evacuated, NULL);
  ck_assert_int_eq (call ("GET", "/read/1", "c1"), 503);
  g_usleep (600000);
  causes = run_cornelpick ("log", "");
  expect_substring (causes, "503  evacuated");
  refused = run_cornelpick ("explain --log", "c1");
  expect_substring (refused, "answers 503: evacuated: the failure domain is "
                             "evacuated; 0 asked, 0 reached");
}
END_TEST

START_TEST (foreign_and_truncated_lines_are_skipped)
{
  CP_AUTO_FREE char *path = g_strdup_printf ("%s/daemon-9.log", stage.folder);
  CP_AUTO_FREE char *filler = g_strnfill (200000, 'x');
  CP_AUTO_FREE char *text = g_strdup_printf (
      "another program\n{\"t\":1,\"kind\":\"failed\",\"request\":\"c1\",\"st\n"
      "%s\n{\"t\":1.5,\"vm\":\"v\",\"kind\":\"failed\",\"status\":503,"
      "\"reason\":\"full\",\"request\":\"c2\"}\n{\"t\":2,",
      filler);
  CP_AUTO_FREE char *causes = NULL;

  ck_assert (g_file_set_contents (path, text, -1, NULL));
  causes = run_cornelpick ("log", "");
  expect_substring (causes, "503  full              c2");
}
END_TEST

/* The standard output of VM 3's daemon is a pipe that nobody reads.  Log lines
   must be dropped, and the daemon must neither block nor hang at exit.  */
START_TEST (a_flood_of_failures_is_bounded_and_blocks_nothing)
{
  CP_AUTO_FREE char *path = g_strdup_printf ("%s/daemon-3.log", stage.folder);
  char buffer[65536];
  gint64 began;
  ssize_t count;
  int fd;

  process_signal (&stage.daemons[3], SIGKILL);
  unlink (path);
  ck_assert_int_eq (mkfifo (path, 0600), 0);
  fd = open (path, O_RDWR | O_NONBLOCK);
  /* One page, a small part of the lines that the calls cause.  */
  ck_assert_int_gt (fcntl (fd, F_SETPIPE_SZ, 4096), 0);
  stage_start_daemon (&stage, 3);
  stage_wait_ready (&stage, 3);
  began = g_get_monotonic_time ();
  for (unsigned i = 0; i < FLOOD; i++)
    ck_assert_int_eq (call ("GET", "/nowhere/1", "d1"), 404);
  /* 4 ms each would be slow on a busy machine; a blocked daemon takes
     forever.  */
  ck_assert_int_lt (g_get_monotonic_time () - began, FLOOD * 10000);
  ck_assert_int_eq (call ("GET", "/nowhere/1", "d2"), 404);
  began = g_get_monotonic_time ();
  kill (stage.daemons[3].pid, SIGTERM);
  ck_assert_int_eq (process_wait (&stage.daemons[3]), 0);
  ck_assert_int_lt (g_get_monotonic_time () - began, 6000000);
  count = read (fd, buffer, sizeof buffer);
  ck_assert_int_gt (count, 0);
  close (fd);
}
END_TEST

START_TEST (each_kind_is_rate_limited)
{
  CP_AUTO_FREE char *text = NULL;
  gint64 began = g_get_monotonic_time ();
  unsigned lines = 0;
  unsigned seconds;

  for (unsigned i = 0; i < FLOOD; i++)
    call ("GET", "/nowhere/1", "e1");
  g_usleep (1300000);
  call ("GET", "/nowhere/1", "e2");
  g_usleep (600000);
  seconds = (unsigned)((g_get_monotonic_time () - began) / G_USEC_PER_SEC) + 2;
  text = log_of (3);
  for (const char *at = text; (at = strstr (at, "\"refused\"")) != NULL; at++)
    lines++;
  ck_assert_uint_gt (lines, 0);
  ck_assert_uint_le (lines, seconds * 201);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, every_line_is_as_documented);
  tcase_add_test (tests, failures_are_reported_with_their_causes);
  tcase_add_test (tests, the_reason_of_an_evacuated_domain_is_explained);
  tcase_add_test (tests, foreign_and_truncated_lines_are_skipped);
  tcase_add_test (tests, a_flood_of_failures_is_bounded_and_blocks_nothing);
  tcase_add_test (tests, each_kind_is_rate_limited);
}

int
main (void)
{
  return suite_run ("mesh_logs", add_tests, 90);
}

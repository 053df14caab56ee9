/* Tests cornelpick top, terminal output, shell completion and metrics on a
   running fleet.  */
#include <pty.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "regress/harness/command.h"
#include "regress/harness/exposition.h"
#include "regress/harness/harness.h"
#include "regress/harness/suite.h"

#define PORT_ADMIN 7402
#define SERIES_MAX 20

START_TEST (top_prints_one_table_to_a_pipe)
{
  struct fleet fleet;
  char first[56];
  char second[56];
  char id[64];
  struct result result;

  fleet_start (&fleet, 2, 2, NULL);
  call_for_id (&fleet, "GET", "/items/1", id);
  fleet_address (&fleet, 1, PORT_ADMIN, first);
  fleet_address (&fleet, 2, PORT_ADMIN, second);
  result = command_run_with ("top", first, second, NULL);
  ck_assert_msg (result.status == 0, "%s", result.err);
  assert_has (result.out, "TARGET");
  assert_has (result.out, "MEAS%");
  assert_has (result.out, "\nshop-1 shop ");
  assert_has (result.out, "\nshop-2 shop ");
  ck_assert_ptr_null (strchr (result.out, '\033'));
  result_release (&result);
  process_signal (&fleet.daemons[2], SIGKILL);
  result = command_run_with ("top", first, second, NULL);
  ck_assert_int_eq (result.status, 1);
  assert_has (result.out, "\nshop-1 shop ");
  assert_has (result.err, "does not answer");
  result_release (&result);
  fleet_stop (&fleet);
}
END_TEST

/* Reads from a terminal until PART has appeared twice.  */
static void
read_terminal (int fd, const char *part, GString *text)
{
  char buffer[512];
  ssize_t count;

  while ((count = read (fd, buffer, sizeof buffer)) > 0)
    {
      const char *at;

      g_string_append_len (text, buffer, count);
      at = strstr (text->str, part);
      if (at != NULL && strstr (at + 1, part) != NULL)
        return;
    }
}

START_TEST (top_fits_a_narrow_terminal)
{
  struct fleet fleet;
  struct winsize size = { .ws_row = 10, .ws_col = 24 };
  char admin[56];
  GString *text = g_string_new (NULL);
  gchar **lines;
  int fd;
  pid_t pid;

  fleet_start (&fleet, 2, 2, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  pid = forkpty (&fd, NULL, NULL, &size);
  if (pid == 0)
    {
      setenv ("NO_COLOR", "1", 1);
      execl (command_path (), "cornelpick", "top", "--interval-ms", "100",
             admin, NULL);
      _exit (127);
    }
  read_terminal (fd, "TARGET", text);
  kill (pid, SIGINT);
  waitpid (pid, NULL, 0);
  close (fd);
  ck_assert_ptr_null (strstr (text->str, "\033[3"));
  assert_has (text->str, "shop-1");
  lines = g_strsplit (text->str, "\n", -1);
  for (gchar **line = lines; *line != NULL; line++)
    {
      const char *start = strrchr (*line, '\033');

      start = start == NULL ? *line : start + strlen ("\033[J");
      ck_assert_msg (strlen (start) <= 24 + strlen ("\r"), "too wide: %s",
                     start);
    }
  g_strfreev (lines);
  g_string_free (text, TRUE);
  fleet_stop (&fleet);
}
END_TEST

/* Runs "state --wait-serving 4" on a terminal for an address where nothing
   listens.  */
static void
wait_on_terminal (GString *text)
{
  char buffer[512];
  ssize_t count;
  int fd;
  pid_t pid = forkpty (&fd, NULL, NULL, NULL);

  if (pid == 0)
    {
      execl (command_path (), "cornelpick", "state", "--wait-serving", "4",
             "127.255.255.1:9", NULL);
      _exit (127);
    }
  while ((count = read (fd, buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, count);
  waitpid (pid, NULL, 0);
  close (fd);
}

START_TEST (long_waits_are_shown_on_a_terminal_only)
{
  GString *text = g_string_new (NULL);

  wait_on_terminal (text);
  assert_has (text->str, "waiting until the daemon serves, 2 s");
  g_string_free (text, TRUE);
  assert_fault (command_run_with ("state", "--wait-serving", "3",
                                  "127.255.255.1:9", NULL),
                1, "is not serving after 3 s; look at the daemon's log");
}
END_TEST

START_TEST (output_that_can_not_be_written_is_a_finding)
{
  struct fleet fleet;
  char admin[56];
  char *path = command_path ();
  char *script = NULL;
  char *err = NULL;
  int status;

  fleet_start (&fleet, 1, 1, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  script = g_strdup_printf ("%s state %s >/dev/full", path, admin);
  char *arguments[] = { "sh", "-c", script, NULL };

  ck_assert (g_spawn_sync (NULL, arguments, NULL, G_SPAWN_SEARCH_PATH, NULL,
                           NULL, NULL, &err, &status, NULL));
  ck_assert_int_eq (WEXITSTATUS (status), 1);
  assert_has (err, "standard output: No space left on device; write to");
  g_free (err);
  g_free (script);
  g_free (path);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (completion_offers_commands_options_and_files)
{
  static const char *const script
      = "cd \"$TOP\" && PATH=$BUILD/cornelpick:$PATH\n"
        "source cornelpick/completion.bash\n"
        "try () { COMP_WORDS=(\"$@\"); COMP_CWORD=$(($# - 1)); _cornelpick;"
        " echo \"[${COMPREPLY[*]}]\"; }\n"
        "try cornelpick ''; try cornelpick st; try cornelpick explain --ad;"
        " try cornelpick check READ; try cornelpick top --n\n";
  char *arguments[] = { "bash", "--norc", "-c", (char *)script, (char *)NULL };
  char *out = NULL;
  char *err = NULL;
  int status;

  g_setenv ("BUILD", getenv ("BUILD") == NULL ? "build" : getenv ("BUILD"),
            TRUE);
  g_setenv ("TOP", getenv ("TOP") == NULL ? "." : getenv ("TOP"), TRUE);
  ck_assert (g_spawn_sync (NULL, arguments, NULL, G_SPAWN_SEARCH_PATH, NULL,
                           NULL, &out, &err, &status, NULL));
  ck_assert_int_eq (WEXITSTATUS (status), 0);
  ck_assert_str_eq (err, "");
  assert_has (out, "check ");
  assert_has (out, " top]");
  assert_has (out, "\n[state]\n[--admin-port]\n[README.md]\n[]\n");
  g_free (out);
  g_free (err);
}
END_TEST

struct metrics_page
{
  struct fleet *fleet;
  struct reply reply;
};

/* A call is counted when its answer has been sent, which its caller may see
   first.  */
static bool
two_calls_are_counted (void *context)
{
  struct metrics_page *page = context;
  char admin[56];

  http_call (&page->reply, fleet_address (page->fleet, 1, PORT_ADMIN, admin),
             "GET", "/metrics", NULL, NULL, 5000);
  return strstr (page->reply.body->str,
                 "\ncornelpick_call_duration_seconds_count 2\n")
         != NULL;
}

START_TEST (metrics_are_right_to_a_strict_parser)
{
  static const char *const zero_counters[]
      = { "late_starts_total", "leaving_starts_total",
          "configuration_older_total", "budget_overdrafts_total" };
  struct fleet fleet;
  struct metrics_page page = { .fleet = &fleet };
  char id[64];
  char *fault;

  fleet_start (&fleet, 1, 1, NULL);
  call_for_id (&fleet, "GET", "/items/1", id);
  call_for_id (&fleet, "POST", "/orders", id);
  reply_init (&page.reply);
  wait_until (two_calls_are_counted, &page);
  fault = exposition_check (page.reply.body->str, SERIES_MAX);
  ck_assert_msg (fault == NULL, "%s", fault);
  for (unsigned i = 0; i < G_N_ELEMENTS (zero_counters); i++)
    ck_assert_uint_eq (fleet_counter (&fleet, 1, zero_counters[i]), 0);
  reply_finish (&page.reply);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (the_strict_parser_finds_faults)
{
  static const char *const faulty[] = {
    "# HELP a_total A.\n# TYPE a_total counter\na_total 1",
    "# TYPE a_total counter\na_total 1\n",
    "# HELP a_total A.\n# TYPE a_total gauge\na_total 1\n",
    "# HELP a A.\n# TYPE a counter\na 1\n",
    "# HELP a A.\n# TYPE a gauge\n",
    "# HELP a A.\n# TYPE a gauge\na{b=\"c} 1\n",
    "# HELP a A.\n# TYPE a gauge\na{b=\"c\"} x\n",
    "# HELP a A.\n# TYPE a gauge\na 1\na 2\n",
    "# HELP a A.\n# TYPE a gauge\na 1\n# HELP a A.\n# TYPE a gauge\na 1\n",
    ("# HELP a A.\n# TYPE a histogram\na_bucket{le=\"1\"} 2\n"
     "a_bucket{le=\"+Inf\"} 1\na_sum 1\na_count 1\n"),
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (faulty); i++)
    {
      char *fault = exposition_check (faulty[i], SERIES_MAX);

      ck_assert_msg (fault != NULL, "no fault found in %s", faulty[i]);
      g_free (fault);
    }
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, top_prints_one_table_to_a_pipe);
  tcase_add_test (tests, top_fits_a_narrow_terminal);
  tcase_add_test (tests, long_waits_are_shown_on_a_terminal_only);
  tcase_add_test (tests, output_that_can_not_be_written_is_a_finding);
  tcase_add_test (tests, completion_offers_commands_options_and_files);
  tcase_add_test (tests, metrics_are_right_to_a_strict_parser);
  tcase_add_test (tests, the_strict_parser_finds_faults);
}

int
main (void)
{
  return suite_run ("operators-tables", add_tests, 120);
}

/* The operator's commands on a fleet that runs, and what they print.  */
#include <fcntl.h>
#include <pty.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "regress/harness/exposition.h"
#include "regress/harness/harness.h"
#include "regress/harness/suite.h"

#define ARGUMENTS_MAX 12
#define PORT_ADMIN 7402
#define PORT_TARGET 8080
#define SERIES_MAX 20
#define RING_RECORDS 4096
#define UNKNOWN_ID "0123456789abcdef0123456789abcdef"

/* What a command printed.  */
struct result
{
  char *out;
  char *err;
  int status;
};

static const char *
folder_of (const char *name, const char *fallback)
{
  const char *folder = getenv (name);

  return folder == NULL ? fallback : folder;
}

static char *
command_path (void)
{
  return g_strconcat (folder_of ("BUILD", "build"), "/cornelpick/cornelpick",
                      NULL);
}

static void
release (struct result *result)
{
  g_free (result->out);
  g_free (result->err);
}

/* Runs cornelpick with the arguments that follow, up to NULL.  */
static struct result
run (const char *first, ...)
{
  char *path = command_path ();
  char *arguments[ARGUMENTS_MAX] = { path, (char *)first };
  unsigned count = 2;
  struct result result = { 0 };
  va_list list;

  va_start (list, first);
  while ((arguments[count] = va_arg (list, char *)) != NULL)
    ck_assert_uint_lt (++count, ARGUMENTS_MAX);
  va_end (list);
  ck_assert (g_spawn_sync (NULL, arguments, NULL, G_SPAWN_DEFAULT, NULL, NULL,
                           &result.out, &result.err, &result.status, NULL));
  ck_assert_msg (WIFEXITED (result.status), "ended by signal: %s", result.err);
  result.status = WEXITSTATUS (result.status);
  g_free (path);
  return result;
}

static void
assert_has (const char *text, const char *part)
{
  ck_assert_msg (strstr (text, part) != NULL, "\"%s\" is not in:\n%s", part,
                 text);
}

/* Asserts a fault: nothing printed, one line with TEXT on standard error.  */
static void
assert_fault (struct result result, int status, const char *text)
{
  ck_assert_msg (result.status == status, "status %d: %s", result.status,
                 result.err);
  ck_assert_str_eq (result.out, "");
  assert_has (result.err, text);
  ck_assert_ptr_eq (strchr (result.err, '\n'),
                    result.err + strlen (result.err) - 1);
  release (&result);
}

/* Calls through VM 1 and copies the request's ID.  */
static int
call (struct fleet *fleet, const char *method, const char *path, char id[64])
{
  struct reply reply;
  int status;

  reply_init (&reply);
  fleet_call (fleet, &reply, 1, method, path, NULL,
              strcmp (method, "POST") == 0 ? "leopard" : NULL);
  ck_assert (reply_header (&reply, "Cornelpick-Request", id, 64));
  status = reply.status;
  reply_finish (&reply);
  return status;
}

START_TEST (state_shows_every_part)
{
  struct fleet fleet;
  char admin[56];
  char id[64];
  struct result result;
  json_t *dump;

  fleet_start (&fleet, 2, 2, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  ck_assert_int_eq (call (&fleet, "GET", "/items/1", id), 200);
  result = run ("state", admin, NULL);
  ck_assert_int_eq (result.status, 0);
  assert_has (result.out, "vm             vm-1 (domain-1)");
  assert_has (result.out, "life           serving");
  assert_has (result.out, "configuration  version 1, hash ");
  assert_has (result.out, "decisions      ");
  assert_has (result.out, "outbound       ");
  assert_has (result.out, "shop-2");
  assert_has (result.out, "inbound        shop-1: ");
  assert_has (result.out, "connections    ");
  release (&result);
  result = run ("state", "--json", admin, NULL);
  dump = json_loads (result.out, JSON_REJECT_DUPLICATES, NULL);
  ck_assert_ptr_nonnull (json_object_get (dump, "uptime_us"));
  ck_assert_ptr_nonnull (json_object_get (dump, "decisions"));
  json_decref (dump);
  release (&result);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (explain_tells_a_call_across_its_hops)
{
  struct fleet fleet;
  char admin[56];
  char id[64];
  struct result result;
  json_t *records;

  fleet_start (&fleet, 2, 2, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  ck_assert_int_eq (call (&fleet, "POST", "/orders", id), 200);
  result = run ("explain", admin, id, NULL);
  ck_assert_msg (result.status == 0, "%s%s", result.out, result.err);
  assert_has (result.out, id);
  assert_has (result.out, "Sent attempt ");
  assert_has (result.out, "Admitted attempt ");
  assert_has (result.out, "sent by vm-1");
  assert_has (result.out, "with status 200: ran");
  assert_has (result.out, "What proves it");
  assert_has (result.out, "came whole, and its inbound side saw it end");
  release (&result);
  result = run ("explain", "--json", admin, id, NULL);
  records = json_loads (result.out, JSON_REJECT_DUPLICATES, NULL);
  ck_assert_uint_eq (json_array_size (json_object_get (records, "hops")), 1);
  json_decref (records);
  release (&result);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (explain_tells_what_proves_that_a_call_did_not_run)
{
  struct fleet fleet;
  char admin[56];
  char id[64];
  struct result result;

  fleet_start (&fleet, 1, 1, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  process_signal (&fleet.targets[1], SIGKILL);
  ck_assert_int_eq (call (&fleet, "POST", "/orders", id), 503);
  result = run ("explain", admin, id, NULL);
  assert_has (result.out, "did not run: the inbound side of shop-1 refused");
  assert_has (result.out, "with status 503: not-run");
  release (&result);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (explain_tells_that_a_call_may_have_run)
{
  struct fleet fleet;
  char admin[56];
  char id[64];
  struct reply reply;
  struct result result;

  fleet_start (&fleet, 1, 1, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  fleet_control (&fleet, 1, "{\"mode\": \"silent\"}");
  reply_init (&reply);
  fleet_call (&fleet, &reply, 1, "POST", "/orders",
              "Cornelpick-Remaining-Ms: 500", "leopard");
  ck_assert (reply_header (&reply, "Cornelpick-Request", id, sizeof id));
  reply_finish (&reply);
  result = run ("explain", admin, id, NULL);
  assert_has (result.out, "may have run at shop-1");
  assert_has (result.out, ": unknown");
  release (&result);
  fleet_stop (&fleet);
}
END_TEST

/* A call that should reach VM 2.  */
struct sought
{
  struct fleet *fleet;
  char id[64];
};

/* Calls through VM 1; returns whether VM 2 served it.  */
static bool
went_to_vm_2 (void *context)
{
  struct sought *sought = context;
  struct reply reply;
  char path[128] = "";
  bool there;

  reply_init (&reply);
  fleet_call (sought->fleet, &reply, 1, "GET", "/items/1", NULL, NULL);
  reply_header (&reply, "Cornelpick-Path", path, sizeof path);
  there = strstr (path, "vm-2") != NULL;
  if (there)
    reply_header (&reply, "Cornelpick-Request", sought->id, 64);
  reply_finish (&reply);
  return there;
}

START_TEST (explain_says_which_daemon_can_not_be_asked)
{
  struct fleet fleet;
  char admin[56];
  char other[56];
  struct result result;
  struct sought sought = { .fleet = &fleet };
  const char *id = sought.id;

  fleet_start (&fleet, 2, 1, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  fleet_address (&fleet, 2, PORT_ADMIN, other);
  wait_until (went_to_vm_2, &sought);
  result = run ("explain", other, id, NULL);
  ck_assert_int_eq (result.status, 0);
  assert_has (result.out, "vm-1 sent it here; ask that daemon");
  release (&result);
  process_signal (&fleet.daemons[2], SIGKILL);
  result = run ("explain", admin, id, NULL);
  ck_assert_int_eq (result.status, 1);
  assert_has (result.out, "Not told: ");
  assert_has (result.out, other);
  assert_has (result.out, "--admin-port");
  release (&result);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (bad_input_gives_one_line_with_the_remedy)
{
  struct fleet fleet;
  char admin[56];
  char target[56];
  char nobody[56];

  fleet_start (&fleet, 1, 1, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  fleet_address (&fleet, 1, PORT_TARGET, target);
  fleet_address (&fleet, 99, PORT_ADMIN, nobody);
  assert_fault (run ("explain", admin, UNKNOWN_ID, NULL), 1,
                "was never seen by");
  assert_fault (run ("explain", admin, "12", NULL), 2, "is no request ID");
  assert_fault (run ("explain", nobody, UNKNOWN_ID, NULL), 1,
                "check that the daemon runs");
  assert_fault (run ("explain", "localhost", UNKNOWN_ID, NULL), 2,
                "is no IP number with port");
  assert_fault (run ("state", nobody, NULL), 1, "does not answer");
  assert_fault (run ("state", target, NULL), 1, "admin address of a daemon");
  assert_fault (run ("state", "127.0.0.1", NULL), 2, "is no IP number");
  assert_fault (run ("top", "nonsense", NULL), 2, "is no IP number");
  fleet_stop (&fleet);
}
END_TEST

START_TEST (an_id_that_left_the_ring_is_said_to_be_gone)
{
  struct fleet fleet;
  char admin[56];
  char first[64];
  char id[64];

  fleet_start (&fleet, 1, 1, NULL);
  fleet_control (&fleet, 1, "{\"service_ms\": 0}");
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  call (&fleet, "GET", "/items/1", first);
  for (unsigned i = 0; i < RING_RECORDS / 4; i++)
    call (&fleet, "GET", "/items/1", id);
  assert_fault (run ("explain", admin, first, NULL), 1,
                "is not among the last 4096 records");
  fleet_stop (&fleet);
}
END_TEST

START_TEST (top_prints_one_table_to_a_pipe)
{
  struct fleet fleet;
  char first[56];
  char second[56];
  char id[64];
  struct result result;

  fleet_start (&fleet, 2, 2, NULL);
  call (&fleet, "GET", "/items/1", id);
  fleet_address (&fleet, 1, PORT_ADMIN, first);
  fleet_address (&fleet, 2, PORT_ADMIN, second);
  result = run ("top", first, second, NULL);
  ck_assert_msg (result.status == 0, "%s", result.err);
  assert_has (result.out, "TARGET");
  assert_has (result.out, "MEAS%");
  assert_has (result.out, "\nshop-1 shop ");
  assert_has (result.out, "\nshop-2 shop ");
  ck_assert_ptr_null (strchr (result.out, '\033'));
  release (&result);
  process_signal (&fleet.daemons[2], SIGKILL);
  result = run ("top", first, second, NULL);
  ck_assert_int_eq (result.status, 1);
  assert_has (result.out, "\nshop-1 shop ");
  assert_has (result.err, "does not answer");
  release (&result);
  fleet_stop (&fleet);
}
END_TEST

/* Reads from a terminal until PART has come twice.  */
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

  g_setenv ("BUILD", folder_of ("BUILD", "build"), TRUE);
  g_setenv ("TOP", folder_of ("TOP", "."), TRUE);
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

START_TEST (metrics_are_right_to_a_strict_parser)
{
  static const char *const promises[]
      = { "late_starts_total", "leaving_starts_total",
          "configuration_older_total", "budget_overdrafts_total" };
  struct fleet fleet;
  struct reply reply;
  char admin[56];
  char id[64];
  char *fault;

  fleet_start (&fleet, 1, 1, NULL);
  call (&fleet, "GET", "/items/1", id);
  call (&fleet, "POST", "/orders", id);
  reply_init (&reply);
  http_call (&reply, fleet_address (&fleet, 1, PORT_ADMIN, admin), "GET",
             "/metrics", NULL, NULL, 5000);
  fault = exposition_check (reply.body->str, SERIES_MAX);
  ck_assert_msg (fault == NULL, "%s", fault);
  assert_has (reply.body->str, "\ncornelpick_call_duration_seconds_count 2\n");
  for (unsigned i = 0; i < G_N_ELEMENTS (promises); i++)
    ck_assert_uint_eq (fleet_counter (&fleet, 1, promises[i]), 0);
  reply_finish (&reply);
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
  tcase_add_test (tests, state_shows_every_part);
  tcase_add_test (tests, explain_tells_a_call_across_its_hops);
  tcase_add_test (tests, explain_tells_what_proves_that_a_call_did_not_run);
  tcase_add_test (tests, explain_tells_that_a_call_may_have_run);
  tcase_add_test (tests, explain_says_which_daemon_can_not_be_asked);
  tcase_add_test (tests, bad_input_gives_one_line_with_the_remedy);
  tcase_add_test (tests, an_id_that_left_the_ring_is_said_to_be_gone);
  tcase_add_test (tests, top_prints_one_table_to_a_pipe);
  tcase_add_test (tests, top_fits_a_narrow_terminal);
  tcase_add_test (tests, output_that_can_not_be_written_is_a_finding);
  tcase_add_test (tests, completion_offers_commands_options_and_files);
  tcase_add_test (tests, metrics_are_right_to_a_strict_parser);
  tcase_add_test (tests, the_strict_parser_finds_faults);
}

int
main (void)
{
  return suite_run ("operators", add_tests, 120);
}

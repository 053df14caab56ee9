/* Tests the command line, settings and signals of the daemon, and that it does
   not forward malformed requests.  */
#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lib/address.h"
#include "lib/cleanup.h"
#include "regress/harness/harness.h"
#include "regress/harness/suite.h"

#define ANSWER_WAIT_MS 5000

/* Runs cornelpickd with one or two arguments.  Returns its exit status and
   sets *OUTPUT to what it printed.  */
static int
run_daemon (const char *first, const char *second, char **output)
{
  char log[] = "/tmp/cornelpick-log-XXXXXX";
  struct process process;
  int status;
  gsize length;

  close (mkstemp (log));
  process_start (&process, log, "cornelpickd/cornelpickd", first, second,
                 NULL);
  ck_assert_int_eq (waitpid (process.pid, &status, 0), process.pid);
  ck_assert (WIFEXITED (status));
  ck_assert (g_file_get_contents (log, output, &length, NULL));
  unlink (log);
  return WEXITSTATUS (status);
}

/* Invalid settings and a part of the error message.  */
struct bad_settings
{
  const char *text;
  const char *expected;
};

#define REQUIRED_SETTINGS                                                     \
  "\"vm\": \"vm-1\", \"failure_domain\": \"a\", \"calls\": "                  \
  "\"127.0.0.9:8000\", \"peers\": \"127.0.0.9:7400\", \"admin\": "            \
  "\"127.0.0.9:7402\", \"configuration_service\": \"127.0.0.9:9000\""

static const struct bad_settings bad_settings[] = {
  { "{" REQUIRED_SETTINGS ", \"call\": 1}",
    "\"call\" is no setting; remove it" },
  { "{" REQUIRED_SETTINGS ", \"call_threads\": \"many\"}",
    "whole number from 1 to 4096" },
  { "{" REQUIRED_SETTINGS ", \"call_threads\": 0}",
    "whole number from 1 to 4096" },
  { "{" REQUIRED_SETTINGS ", \"charts\": 3}", "\"charts\" is no text" },
  { "{" REQUIRED_SETTINGS ", \"log_level\": \"loud\"}", "use debug, info" },
  { "{" REQUIRED_SETTINGS ", \"vm_list\": \"host:80\"}",
    "is no IP number with port" },
  { "{\"vm\": \"vm-1\"}", "\"failure_domain\" is missing" },
  { "{" REQUIRED_SETTINGS, "line 1" },
  { "[]", "no JSON object" },
  { "{" REQUIRED_SETTINGS ", \"vm\": \"vm-2\"}", "duplicate" },
};

START_TEST (invalid_settings_are_reported)
{
  char path[] = "/tmp/cornelpick-settings-XXXXXX";
  int fd = mkstemp (path);
  const char *text = bad_settings[_i].text;
  CP_AUTO_FREE char *output = NULL;

  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
  close (fd);
  ck_assert_int_eq (run_daemon ("--settings", path, &output), 1);
  unlink (path);
  ck_assert_msg (strstr (output, bad_settings[_i].expected) != NULL, "%s",
                 output);
  ck_assert_ptr_nonnull (strstr (output, path));
  /* The message is a single line.  */
  ck_assert_ptr_eq (strchr (output, '\n'), output + strlen (output) - 1);
}
END_TEST

START_TEST (usage_has_status_2)
{
  CP_AUTO_FREE char *unknown = NULL;
  CP_AUTO_FREE char *nothing = NULL;
  CP_AUTO_FREE char *version = NULL;
  CP_AUTO_FREE char *missing = NULL;

  ck_assert_int_eq (run_daemon ("--nonsense", NULL, &unknown), 2);
  ck_assert_ptr_nonnull (strstr (unknown, "usage: cornelpickd"));
  ck_assert_int_eq (run_daemon ("--foreground", NULL, &nothing), 2);
  ck_assert_int_eq (run_daemon ("--version", NULL, &version), 0);
  ck_assert_ptr_nonnull (strstr (version, "cornelpickd 0."));
  ck_assert_int_eq (run_daemon ("--settings", "/nowhere.json", &missing), 1);
  ck_assert_ptr_nonnull (strstr (missing, "/nowhere.json"));
}
END_TEST

START_TEST (a_port_in_use_is_reported)
{
  struct fleet fleet;
  char path[256];
  CP_AUTO_FREE char *output = NULL;

  fleet_start (&fleet, 1, 1, NULL);
  snprintf (path, sizeof path, "%s/vm-1.json", fleet.folder);
  ck_assert_int_eq (run_daemon ("--settings", path, &output), 1);
  ck_assert_msg (strstr (output, "cannot listen") != NULL, "%s", output);
  ck_assert_ptr_nonnull (strstr (output, "choose another address"));
  fleet_stop (&fleet);
}
END_TEST

START_TEST (an_invalid_chart_is_reported)
{
  struct fleet fleet;
  char path[256];
  char charts[256];
  CP_AUTO_FREE char *output = NULL;
  CP_AUTO_JSON json_t *settings = NULL;

  fleet_start (&fleet, 1, 1, NULL);
  ck_assert_int_eq (process_signal (&fleet.daemons[1], SIGTERM), 0);
  snprintf (path, sizeof path, "%s/vm-1.json", fleet.folder);
  settings = json_load_file (path, 0, NULL);
  json_object_set_new (settings, "charts", json_string (fleet.folder));
  json_dump_file (settings, path, 0);
  snprintf (charts, sizeof charts, "%s/daemon.json", fleet.folder);
  ck_assert (g_file_set_contents (charts, "{\"name\"", -1, NULL));
  ck_assert_int_eq (run_daemon ("--settings", path, &output), 1);
  ck_assert_msg (strstr (output, charts) != NULL, "%s", output);
  ck_assert_ptr_nonnull (strstr (output, "restore the chart file"));
  fleet_stop (&fleet);
}
END_TEST

static bool
log_has (struct fleet *fleet, const char *wanted)
{
  char path[256];
  CP_AUTO_FREE char *text = NULL;

  snprintf (path, sizeof path, "%s/daemon-1.log", fleet->folder);
  return g_file_get_contents (path, &text, NULL, NULL)
         && strstr (text, wanted) != NULL;
}

static bool
settings_were_read (void *context)
{
  return log_has (context, "Settings read");
}

static bool
settings_were_kept (void *context)
{
  return log_has (context, "Settings kept");
}

START_TEST (sighup_reads_the_settings_again)
{
  struct fleet fleet;
  char path[256];

  fleet_start (&fleet, 1, 1, NULL);
  process_signal (&fleet.daemons[1], SIGHUP);
  wait_until (settings_were_read, &fleet);
  snprintf (path, sizeof path, "%s/vm-1.json", fleet.folder);
  ck_assert (g_file_set_contents (path, "{", -1, NULL));
  process_signal (&fleet.daemons[1], SIGHUP);
  wait_until (settings_were_kept, &fleet);
  fleet_wait_serving (&fleet, 1);
  fleet_stop (&fleet);
}
END_TEST

static void *
make_hanging_call (void *context)
{
  struct reply reply;

  reply_init (&reply);
  fleet_call (context, &reply, 1, "POST", "/orders", NULL, "x");
  reply_finish (&reply);
  return NULL;
}

static bool
call_is_in_flight (void *context)
{
  CP_AUTO_JSON json_t *state = fleet_state (context, 1);

  return json_integer_value (
             json_object_get (json_object_get (state, "inbound"), "in_flight"))
         == 1;
}

static bool
is_draining (void *context)
{
  return log_has (context, "is draining");
}

START_TEST (a_second_sigterm_exits_at_once)
{
  struct fleet fleet;
  pthread_t thread;
  int status;
  gint64 start;

  fleet_start (&fleet, 1, 1, NULL);
  fleet_control (&fleet, 1, "{\"mode\": \"silent\"}");
  pthread_create (&thread, NULL, make_hanging_call, &fleet);
  wait_until (call_is_in_flight, &fleet);
  kill (fleet.daemons[1].pid, SIGTERM);
  wait_until (is_draining, &fleet);
  start = g_get_monotonic_time ();
  status = process_signal (&fleet.daemons[1], SIGTERM);
  ck_assert_msg (WIFEXITED (status) && WEXITSTATUS (status) == 1, "%x",
                 (unsigned)status);
  /* The call would end at its deadline of 10 s.  */
  ck_assert_int_lt (g_get_monotonic_time () - start, 5 * G_USEC_PER_SEC);
  pthread_join (thread, NULL);
  fleet_stop (&fleet);
}
END_TEST

/* Sends TEXT to the port for calls.  Returns the status of the answer, or 0
   when the connection was closed without one.  END shuts down the sending
   side, so that the daemon does not wait for more; to the daemon this is a
   caller that left.  */
static int
send_raw (struct fleet *fleet, const char *text, size_t length, bool end)
{
  struct cp_address address;
  char where[56];
  char answer[256];
  ssize_t count;
  struct pollfd wait = { .events = POLLIN };

  ck_assert (
      cp_address_parse (&address, fleet_address (fleet, 1, 8000, where)));
  wait.fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (connect (wait.fd, &address.socket.any, address.length), 0);
  ck_assert_int_eq (send (wait.fd, text, length, MSG_NOSIGNAL),
                    (ssize_t)length);
  if (end)
    shutdown (wait.fd, SHUT_WR);
  ck_assert_int_eq (poll (&wait, 1, ANSWER_WAIT_MS), 1);
  count = recv (wait.fd, answer, sizeof answer - 1, 0);
  close (wait.fd);
  if (count <= 0)
    return 0;
  answer[count] = '\0';
  return atoi (answer + strcspn (answer, " "));
}

#define REQUEST_START "GET /items/1 HTTP/1.1\r\nHost: shop.example\r\n"

static const char *const malformed[] = {
  REQUEST_START
  "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
  REQUEST_START "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
  REQUEST_START "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
  REQUEST_START "Content-Length: -3\r\n\r\nabc",
  REQUEST_START "Content-Length: +3\r\n\r\nabc",
  REQUEST_START "Content-Length: 3, 3\r\n\r\nabc",
  REQUEST_START "Content-Length: 99999999999999999999\r\n\r\nabc",
  REQUEST_START "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
  REQUEST_START
  "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
  "0\r\n\r\n",
  REQUEST_START "X-One: 1\nX-Two: 2\r\n\r\n",
  "GET /items/1 HTTP/1.1\r\nHost: shop.example\nX: y\r\n\r\n",
  REQUEST_START "X One: 1\r\n\r\n",
  REQUEST_START "X-One : 1\r\n\r\n",
  REQUEST_START " folded: 1\r\n\r\n",
  REQUEST_START "Host: other.example\r\n\r\n",
  REQUEST_START ": no name\r\n\r\n",
  "GET /items/1\r\n\r\n",
  "GET /items/ 1 HTTP/1.1\r\nHost: shop.example\r\n\r\n",
  "GET items/1 HTTP/1.1\r\nHost: shop.example\r\n\r\n",
  "GET /items/1 HTTP/9.9\r\nHost: shop.example\r\n\r\n",
  "\r\n\r\n",
  "nonsense",
};

START_TEST (malformed_requests_are_not_forwarded)
{
  struct fleet fleet;
  GString *huge = g_string_new (REQUEST_START "X: ");
  GString *many = g_string_new (REQUEST_START);

  fleet_start (&fleet, 1, 1, NULL);
  ck_assert_int_eq (send_raw (&fleet, REQUEST_START "\r\n",
                              strlen (REQUEST_START "\r\n"), false),
                    200);
  ck_assert_uint_eq (fleet_counter (&fleet, 1, "attempts_total"), 1);
  for (unsigned i = 0; i < G_N_ELEMENTS (malformed); i++)
    {
      int status
          = send_raw (&fleet, malformed[i], strlen (malformed[i]), true);

      ck_assert_msg (status == 0 || (status >= 400 && status <= 505), "%s: %d",
                     malformed[i], status);
      ck_assert_msg (fleet_counter (&fleet, 1, "attempts_total") == 1,
                     "forwarded: %s", malformed[i]);
    }
  for (unsigned i = 0; i < 100000; i++)
    g_string_append_c (huge, 'x');
  g_string_append (huge, "\r\n\r\n");
  for (unsigned i = 0; i < 70; i++)
    g_string_append (many, "X: y\r\n");
  g_string_append (many, "\r\n");
  ck_assert_int_eq (send_raw (&fleet, many->str, many->len, false), 400);
  g_string_free (many, TRUE);
  ck_assert_int_ne (send_raw (&fleet, huge->str, huge->len, true), 200);
  ck_assert_int_ne (
      send_raw (&fleet, REQUEST_START "X: a\0b\r\n\r\n",
                strlen (REQUEST_START) + sizeof "X: a\0b\r\n\r\n" - 1, true),
      200);
  ck_assert_uint_eq (fleet_counter (&fleet, 1, "attempts_total"), 1);
  g_string_free (huge, TRUE);
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, invalid_settings_are_reported, 0,
                       G_N_ELEMENTS (bad_settings));
  tcase_add_test (tests, usage_has_status_2);
  tcase_add_test (tests, a_port_in_use_is_reported);
  tcase_add_test (tests, an_invalid_chart_is_reported);
  tcase_add_test (tests, sighup_reads_the_settings_again);
  tcase_add_test (tests, a_second_sigterm_exits_at_once);
  tcase_add_test (tests, malformed_requests_are_not_forwarded);
}

int
main (void)
{
  return suite_run ("daemon", add_tests, 120);
}

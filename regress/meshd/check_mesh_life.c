/* Client connections, signals, killed daemons and callers that disconnect.  */
#include <pthread.h>
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "regress/harness/stage_fixture.h"

static void
send_text (int fd, const char *text)
{
  ck_assert_int_eq (write (fd, text, strlen (text)), (ssize_t)strlen (text));
}

/* Reads until TEXT has COUNT answers or the connection ends.  */
static void
read_answers (int fd, GString *text, unsigned count)
{
  char buffer[4096];
  ssize_t got;

  for (;;)
    {
      const char *at = text->str;
      unsigned found = 0;

      while ((at = strstr (at, "HTTP/1.1 ")) != NULL)
        {
          found++;
          at++;
        }
      if (found >= count && g_str_has_suffix (text->str, "whole"))
        return;
      got = read (fd, buffer, sizeof buffer);
      if (got <= 0)
        return;
      g_string_append_len (text, buffer, got);
    }
}

static char *
request (const char *path, const char *id)
{
  return g_strdup_printf ("GET %s HTTP/1.1\r\nHost: alpha.test\r\n"
                          "X-Cornelpick-Request-Id: %s\r\n"
                          "X-Cornelpick-Deadline-Ms: 3000\r\n\r\n",
                          path, id);
}

START_TEST (pipelined_requests_run_concurrently_and_are_answered_in_order)
{
  CP_AUTO_FREE char *first = request ("/read/1?slow=400", "p0");
  GString *text = g_string_new (first);
  gint64 began = g_get_monotonic_time ();
  int fd = stage_open (&stage, 3, 8000);
  const char *at;

  for (unsigned i = 1; i < 6; i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("p%u", i);
      CP_AUTO_FREE char *next = request ("/read/1?slow=300", id);

      g_string_append (text, next);
    }
  send_text (fd, text->str);
  g_string_truncate (text, 0);
  read_answers (fd, text, 6);
  ck_assert_int_lt (g_get_monotonic_time () - began, 900000);
  at = text->str;
  for (unsigned i = 0; i < 6; i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("Request-Id: p%u", i);

      at = strstr (at, id);
      ck_assert_ptr_nonnull (at);
    }
  g_string_free (text, TRUE);
  close (fd);
}
END_TEST

/* Sends TEXT and returns the status of the answer.  */
static int
status_of (const char *text)
{
  int fd = stage_open (&stage, 3, 8000);
  char buffer[1024] = "";
  ssize_t got;

  send_text (fd, text);
  got = read (fd, buffer, sizeof buffer - 1);
  close (fd);
  return got < 13 ? 0 : atoi (buffer + 9);
}

START_TEST (configured_request_limits_are_enforced)
{
  CP_AUTO_FREE char *filler = g_strnfill (9000, 'x');
  CP_AUTO_FREE char *long_head = g_strdup_printf (
      "GET /read/1 HTTP/1.1\r\nHost: alpha.test\r\nX-Long: %s\r\n\r\n",
      filler);

  ck_assert_int_eq (status_of (long_head), 431);
  ck_assert_int_eq (status_of ("POST /write/1 HTTP/1.1\r\nHost: alpha.test\r\n"
                               "Content-Length: 100001\r\n\r\n"),
                    413);
  ck_assert_int_eq (status_of ("GET /read/1 HTTP/1.1\r\nHost: al"), 408);
}
END_TEST

/* Guards against a daemon that ends because a value from a client is longer
   than a message between daemons allows for its kind.  */
START_TEST (a_request_id_of_any_length_is_forwarded)
{
  static const size_t lengths[] = { 256, 257, 300, 4000, 7000 };

  for (unsigned i = 0; i < G_N_ELEMENTS (lengths); i++)
    {
      CP_AUTO_FREE char *id = g_strnfill (lengths[i], 'i');

      stage_call (&stage, &reply, 3, "POST", "alpha.test", "/write/1", id,
                  "order");
      ck_assert_int_eq (reply.status, 200);
      ck_assert_uint_eq (stage_runs (&stage, id), 1);
    }
}
END_TEST

START_TEST (ambiguous_message_framing_is_refused)
{
  ck_assert_int_eq (
      status_of ("POST /write/1 HTTP/1.1\r\nHost: alpha.test\r\n"
                 "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "0\r\n\r\nGET /read/smuggled HTTP/1.1\r\n\r\n"),
      400);
  ck_assert_int_eq (
      status_of ("POST /write/1 HTTP/1.1\r\nHost: alpha.test\r\n"
                 "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd"),
      400);
  ck_assert_uint_eq (
      stage_server_runs (&stage, 1) + stage_server_runs (&stage, 2), 0);
}
END_TEST

START_TEST (a_chunked_body_is_forwarded_whole)
{
  ck_assert_int_eq (
      status_of ("POST /write/1 HTTP/1.1\r\nHost: alpha.test\r\n"
                 "X-Cornelpick-Request-Id: c1\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n5\r\norder\r\n0\r\n\r\n"),
      200);
  ck_assert_uint_eq (stage_runs (&stage, "c1"), 1);
}
END_TEST

static bool
has_run (void *context)
{
  return stage_runs (&stage, context) > 0;
}

static bool
server_saw_disconnect (void *context)
{
  (void)context;
  return stage_server_left (&stage, 1) + stage_server_left (&stage, 2) > 0;
}

START_TEST (a_callers_disconnect_reaches_the_server_within_500_ms)
{
  CP_AUTO_FREE char *text = request ("/read/1?hang", "gone");
  int fd = stage_open (&stage, 3, 8000);
  gint64 since;

  send_text (fd, text);
  wait_until (has_run, "gone");
  since = g_get_monotonic_time ();
  close (fd);
  wait_until (server_saw_disconnect, NULL);
  ck_assert_int_lt (g_get_monotonic_time () - since, 500000);
}
END_TEST

/* A thread that makes one call.  */
struct caller
{
  pthread_t thread;
  const char *path;
  const char *method;
  const char *id;
  int status;
};

static void *
make_call (void *context)
{
  struct caller *caller = context;
  struct reply own;

  reply_init (&own);
  stage_call (&stage, &own, 3, caller->method, "alpha.test", caller->path,
              caller->id, caller->method[0] == 'P' ? "order" : NULL);
  caller->status = own.status;
  reply_finish (&own);
  return NULL;
}

static void
start_call (struct caller *caller)
{
  ck_assert_int_eq (pthread_create (&caller->thread, NULL, make_call, caller),
                    0);
}

/* The daemons of both servers are killed while one of the servers runs the
   call.  The caller must get 502, since the call may have run, and no second
   attempt may be made.  */
START_TEST (a_call_at_a_killed_daemon_runs_once_and_gives_502)
{
  struct caller caller
      = { .path = "/write/1?slow=300", .method = "POST", .id = "w1" };

  start_call (&caller);
  wait_until (has_run, "w1");
  process_signal (&stage.daemons[1], SIGKILL);
  process_signal (&stage.daemons[2], SIGKILL);
  pthread_join (caller.thread, NULL);
  ck_assert_int_eq (caller.status, 502);
  ck_assert_uint_eq (stage_runs (&stage, "w1"), 1);
}
END_TEST

START_TEST (a_read_at_a_daemon_that_freezes_is_served_by_another)
{
  gint64 began;

  process_signal (&stage.daemons[1], SIGSTOP);
  began = g_get_monotonic_time ();
  for (unsigned i = 0; i < 4; i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("f%u", i);

      stage_call (&stage, &reply, 3, "GET", "alpha.test", "/read/1", id, NULL);
      ck_assert_int_eq (reply.status, 200);
    }
  ck_assert_int_lt (g_get_monotonic_time () - began, 1500000);
  kill (stage.daemons[1].pid, SIGCONT);
}
END_TEST

/* Routes whose timeout is longer than the time to detect a silent peer.  */
#define LONG_RULE(kind, path)                                                 \
  ",{\"name\":\"" path "\",\"kind\":\"" kind "\",\"targetLatency\":"          \
  "\"200ms\",\"priority\":1,\"match\":{\"prefix\":\"/" path "/\"},"           \
  "\"action\":{\"service\":\"alpha\",\"timeout\":\"3000ms\",\"maxAttempts\":" \
  "3}}"
#define LONG_ROUTES                                                           \
  LONG_RULE ("non_idempotent", "long") LONG_RULE ("idempotent", "longread")

static bool
has_long_route (void *context)
{
  (void)context;
  stage_call (&stage, &reply, 3, "POST", "alpha.test", "/long/0", "w0",
              "order");
  return reply.status == 200;
}

/* The daemon is stopped while its server runs the call, and the link is given
   up.  In the longer pause the next link fails as well: silence is detected
   within 1.3 s, and a link without a hello is given up within another 0.4 s.
   The result must be fetched when the daemon goes on.  */
START_TEST (an_answer_is_fetched_over_a_new_link_after_a_pause)
{
  static const unsigned pauses_us[] = { 450000, 1900000 };
  struct caller caller
      = { .path = "/long/1?slow=600", .method = "POST", .id = "w1" };
  unsigned runs_at_1;
  unsigned vm;

  stage_configure (&stage, LONG_ROUTES);
  wait_until (has_long_route, NULL);
  runs_at_1 = stage_server_runs (&stage, 1);
  start_call (&caller);
  wait_until (has_run, "w1");
  vm = runs_at_1 < stage_server_runs (&stage, 1) ? 1 : 2;
  process_signal (&stage.daemons[vm], SIGSTOP);
  g_usleep (pauses_us[_i]);
  kill (stage.daemons[vm].pid, SIGCONT);
  pthread_join (caller.thread, NULL);
  ck_assert_int_eq (caller.status, 200);
  ck_assert_uint_eq (stage_runs (&stage, "w1"), 1);
}
END_TEST

/* Both daemons with a server are stopped, and each link fails twice.  The read
   must wait until they go on.  */
START_TEST (a_read_waits_for_the_only_server_that_may_come_back)
{
  struct caller caller
      = { .path = "/longread/1", .method = "GET", .id = "r1" };

  stage_configure (&stage, LONG_ROUTES);
  wait_until (has_long_route, NULL);
  for (unsigned vm = 1; vm <= 2; vm++)
    process_signal (&stage.daemons[vm], SIGSTOP);
  start_call (&caller);
  g_usleep (1800000);
  for (unsigned vm = 1; vm <= 2; vm++)
    kill (stage.daemons[vm].pid, SIGCONT);
  pthread_join (caller.thread, NULL);
  ck_assert_int_eq (caller.status, 200);
}
END_TEST

START_TEST (sigterm_loses_no_call)
{
  struct caller caller
      = { .path = "/write/1?slow=1500", .method = "POST", .id = "w1" };
  CP_AUTO_FREE char *text = request ("/read/1", "k1");
  GString *answers = g_string_new (NULL);
  int fd = stage_open (&stage, 3, 8000);
  gint64 since;

  start_call (&caller);
  wait_until (has_run, "w1");
  since = g_get_monotonic_time ();
  kill (stage.daemons[3].pid, SIGTERM);
  while (stage_is_ready (&stage, 3))
    ck_assert_int_lt (g_get_monotonic_time () - since, 1000000);
  send_text (fd, text);
  read_answers (fd, answers, 1);
  ck_assert_ptr_nonnull (strstr (answers->str, "HTTP/1.1 200"));
  pthread_join (caller.thread, NULL);
  ck_assert_int_eq (caller.status, 200);
  ck_assert_int_eq (process_wait (&stage.daemons[3]), 0);
  ck_assert_int_lt (g_get_monotonic_time () - since, 6000000);
  g_string_free (answers, TRUE);
  close (fd);
}
END_TEST

/* The local server never answers; its daemon must not wait for it.  */
START_TEST (sigterm_ends_the_daemon_within_the_grace_time)
{
  struct caller caller
      = { .path = "/write/1?hang", .method = "POST", .id = "w1" };
  gint64 since;
  unsigned vm;

  start_call (&caller);
  wait_until (has_run, "w1");
  vm = stage_server_runs (&stage, 1) > 0 ? 1 : 2;
  since = g_get_monotonic_time ();
  kill (stage.daemons[vm].pid, SIGTERM);
  ck_assert_int_eq (process_wait (&stage.daemons[vm]), 0);
  ck_assert_int_lt (g_get_monotonic_time () - since, 6000000);
  pthread_join (caller.thread, NULL);
  ck_assert_int_ne (caller.status, 503);
}
END_TEST

/* A health check is pending when the daemon is stopped by SIGTERM.  */
START_TEST (a_pending_health_check_does_not_delay_the_exit)
{
  gint64 since;

  stage_server_mute_health (&stage, 1);
  stage_server_mute_health (&stage, 2);
  for (unsigned i = 0; i < 8; i++)
    {
      stage_call (&stage, &reply, 3, "GET", "alpha.test", "/read/1", "h",
                  NULL);
      ck_assert_int_eq (reply.status, 200);
    }
  g_usleep (300000);
  since = g_get_monotonic_time ();
  kill (stage.daemons[1].pid, SIGTERM);
  ck_assert_int_eq (process_wait (&stage.daemons[1]), 0);
  ck_assert_int_lt (g_get_monotonic_time () - since, 6000000);
}
END_TEST

START_TEST (invalid_settings_leave_the_old_ones_in_force)
{
  stage_write_settings (&stage, 3, ",\"zone\":7");
  kill (stage.daemons[3].pid, SIGHUP);
  g_usleep (300000);
  stage_call (&stage, &reply, 3, "GET", "alpha.test", "/read/1", "r1", NULL);
  ck_assert_int_eq (reply.status, 200);
  ck_assert (stage_is_ready (&stage, 3));
}
END_TEST

static void *
resume_peers (void *context)
{
  (void)context;
  g_usleep (300000);
  kill (stage.daemons[1].pid, SIGCONT);
  kill (stage.daemons[2].pid, SIGCONT);
  return NULL;
}

/* Guards against callers that are refused by a daemon that has just started
   and says that it is ready, but has no link to another daemon yet.  */
START_TEST (a_daemon_that_is_ready_serves_its_first_call)
{
  pthread_t thread;

  process_signal (&stage.daemons[3], SIGKILL);
  process_signal (&stage.daemons[1], SIGSTOP);
  process_signal (&stage.daemons[2], SIGSTOP);
  ck_assert_int_eq (pthread_create (&thread, NULL, resume_peers, NULL), 0);
  stage_start_daemon (&stage, 3);
  stage_wait_ready (&stage, 3);
  stage_call (&stage, &reply, 3, "GET", "alpha.test", "/read/1", "first",
              NULL);
  pthread_join (thread, NULL);
  ck_assert_int_eq (reply.status, 200);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (
      tests, pipelined_requests_run_concurrently_and_are_answered_in_order);
  tcase_add_test (tests, configured_request_limits_are_enforced);
  tcase_add_test (tests, a_request_id_of_any_length_is_forwarded);
  tcase_add_test (tests, ambiguous_message_framing_is_refused);
  tcase_add_test (tests, a_chunked_body_is_forwarded_whole);
  tcase_add_test (tests,
                  a_callers_disconnect_reaches_the_server_within_500_ms);
  tcase_add_test (tests, a_call_at_a_killed_daemon_runs_once_and_gives_502);
  tcase_add_test (tests, a_read_at_a_daemon_that_freezes_is_served_by_another);
  tcase_add_loop_test (
      tests, an_answer_is_fetched_over_a_new_link_after_a_pause, 0, 2);
  tcase_add_test (tests, a_read_waits_for_the_only_server_that_may_come_back);
  tcase_add_test (tests, sigterm_loses_no_call);
  tcase_add_test (tests, sigterm_ends_the_daemon_within_the_grace_time);
  tcase_add_test (tests, a_pending_health_check_does_not_delay_the_exit);
  tcase_add_test (tests, invalid_settings_leave_the_old_ones_in_force);
  tcase_add_test (tests, a_daemon_that_is_ready_serves_its_first_call);
}

int
main (void)
{
  return suite_run ("mesh_life", add_tests, 60);
}

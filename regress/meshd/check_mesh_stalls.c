/* Callers of a daemon that stands for a while: what has arrived meanwhile is
   read before anything is started or given up.  */
#include <signal.h>
#include <string.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "regress/harness/stage_fixture.h"

/* The daemon that stands; its server is of another service than the one that
   is called.  */
#define VM 3

/* Time after which a request that is sent has arrived at a server.  */
#define ARRIVAL_US 300000

#define GRACE_US 6000000

static int
send_text (const char *text)
{
  int fd = stage_open (&stage, VM, 8000);

  ck_assert_int_eq (write (fd, text, strlen (text)), strlen (text));
  return fd;
}

/* Guards against a request that reaches a server although its caller has
   left, because the daemon stood and reads the request before the close.  */
START_TEST (a_request_whose_caller_left_while_the_daemon_stood_is_not_sent)
{
  int fd;

  process_signal (&stage.daemons[VM], SIGSTOP);
  fd = send_text ("GET /read/1 HTTP/1.1\r\nHost: alpha.test\r\n"
                  "X-Cornelpick-Request-Id: left\r\n\r\n");
  close (fd);
  g_usleep (200000);
  process_signal (&stage.daemons[VM], SIGCONT);
  g_usleep (ARRIVAL_US);
  ck_assert_uint_eq (stage_runs (&stage, "left"), 0);
}
END_TEST

static bool
has_run (void *context)
{
  return stage_runs (&stage, context) > 0;
}

/* Guards against a time-out of a call whose answer has arrived, because the
   timer runs before the answer is read.  */
START_TEST (an_answer_that_came_while_the_daemon_stood_is_passed_on)
{
  char status[16] = "";
  int fd = send_text ("GET /short/1?slow=100 HTTP/1.1\r\nHost: alpha.test\r\n"
                      "X-Cornelpick-Request-Id: answered\r\n\r\n");

  wait_until (has_run, "answered");
  process_signal (&stage.daemons[VM], SIGSTOP);
  g_usleep (600000);
  process_signal (&stage.daemons[VM], SIGCONT);
  ck_assert_int_gt (read (fd, status, sizeof status - 1), 0);
  ck_assert_msg (g_str_has_prefix (status, "HTTP/1.1 200"), "%s", status);
  close (fd);
}
END_TEST

/* Guards against a second attempt of a call whose caller has left: the
   server's daemon is silent, and the timer of the call runs before the close
   is read.  */
START_TEST (a_call_whose_caller_left_while_the_daemon_stood_is_not_repeated)
{
  for (unsigned i = 0; i < 10; i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("h%u", i);
      CP_AUTO_FREE char *text = g_strdup_printf (
          "GET /read/1?slow=50 HTTP/1.1\r\nHost: alpha.test\r\n"
          "X-Cornelpick-Request-Id: %s\r\n\r\n",
          id);
      struct process *silent = &stage.daemons[1 + i % 2];
      unsigned runs;
      int fd;

      process_signal (silent, SIGSTOP);
      fd = send_text (text);
      g_usleep (10000);
      process_signal (&stage.daemons[VM], SIGSTOP);
      close (fd);
      g_usleep (200000);
      runs = stage_runs (&stage, id);
      process_signal (&stage.daemons[VM], SIGCONT);
      g_usleep (ARRIVAL_US);
      process_signal (silent, SIGCONT);
      g_usleep (ARRIVAL_US);
      ck_assert_uint_eq (stage_runs (&stage, id), runs);
    }
}
END_TEST

/* Guards against a call that is refused although its only server has room,
   because the attempt waited unread while the daemon beside it stood.  */
START_TEST (a_call_whose_only_server_stood_is_sent_there_again)
{
  for (unsigned i = 0; i < 5; i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("s%u", i);
      struct process *only = &stage.daemons[VM];
      int fd = stage_open (&stage, 1, 8000);
      CP_AUTO_FREE char *text
          = g_strdup_printf ("GET /read/1 HTTP/1.1\r\nHost: beta.test\r\n"
                             "X-Cornelpick-Request-Id: %s\r\n\r\n",
                             id);
      char status[16] = "";

      process_signal (only, SIGSTOP);
      ck_assert_int_eq (write (fd, text, strlen (text)), strlen (text));
      g_usleep (350000);
      process_signal (only, SIGCONT);
      ck_assert_int_gt (read (fd, status, sizeof status - 1), 0);
      ck_assert_msg (g_str_has_prefix (status, "HTTP/1.1 200"), "%s", status);
      close (fd);
      g_usleep (ARRIVAL_US);
    }
}
END_TEST

/* Guards against a stop that ends after the grace time, when everything that
   is left is cut, because the daemon stood when it was asked to stop.  */
START_TEST (a_stop_that_was_asked_for_while_the_daemon_stood_ends_in_time)
{
  /* The rest of the body never comes.  */
  int fd = send_text ("POST /write/1 HTTP/1.1\r\nHost: alpha.test\r\n"
                      "Content-Length: 10\r\n\r\nabc");
  gint64 asked_us;

  g_usleep (ARRIVAL_US);
  process_signal (&stage.daemons[VM], SIGSTOP);
  asked_us = g_get_monotonic_time ();
  kill (stage.daemons[VM].pid, SIGTERM);
  g_usleep (1000000);
  process_signal (&stage.daemons[VM], SIGCONT);
  ck_assert_int_eq (process_wait (&stage.daemons[VM]), 0);
  ck_assert_int_lt (g_get_monotonic_time () - asked_us, GRACE_US);
  close (fd);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (
      tests, a_request_whose_caller_left_while_the_daemon_stood_is_not_sent);
  tcase_add_test (tests,
                  an_answer_that_came_while_the_daemon_stood_is_passed_on);
  tcase_add_test (
      tests, a_call_whose_caller_left_while_the_daemon_stood_is_not_repeated);
  tcase_add_test (tests, a_call_whose_only_server_stood_is_sent_there_again);
  tcase_add_test (
      tests, a_stop_that_was_asked_for_while_the_daemon_stood_ends_in_time);
}

int
main (void)
{
  return suite_run ("mesh_stalls", add_tests, 60);
}

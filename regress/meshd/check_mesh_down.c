/* Servers that refuse connections, with real daemons.  */
#include <signal.h>
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/stage_fixture.h"

#define REFUSED "jobs_refused_total{reason=\"no-server\"}"

/* Time in which all daemons must know that a server has ended or returned.  A
   daemon checks a server that is down every 100 ms.  */
#define KNOWN_US (500 * 1000)

static unsigned number;

/* Calls alpha through VM's daemon COUNT times, every few milliseconds.
   Returns how many calls were answered with 200.  */
static unsigned
call_alpha (unsigned vm, unsigned count)
{
  unsigned answered = 0;

  for (unsigned i = 0; i < count; i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("d%u", ++number);

      stage_call (&stage, &reply, vm, "GET", "alpha.test", "/read/1", id,
                  NULL);
      answered += reply.status == 200;
      g_usleep (5000);
    }
  return answered;
}

/* Guards against attempts at a server that has ended without a running
   request: its daemon used to report all slots free.  The daemon notices that
   its connections close, before any request is sent there.  */
START_TEST (a_server_that_has_ended_gets_no_attempts)
{
  call_alpha (1, 10);
  stage_server_stop (&stage, 1);
  g_usleep (KNOWN_US);
  ck_assert_uint_eq (stage_counter (&stage, 1, "server_down"), 1);
  ck_assert_uint_eq (call_alpha (1, 100) + call_alpha (3, 100), 200);
  ck_assert_uint_eq (stage_counter (&stage, 1, REFUSED), 0);
}
END_TEST

/* Guards against a wait longer than the checks of the server when it
   returns, under its name or another one.  */
START_TEST (a_server_that_returns_gets_requests_at_once)
{
  unsigned before;

  stage_server_stop (&stage, 1);
  g_usleep (3 * G_USEC_PER_SEC);
  before = stage_server_runs (&stage, 1);
  if (_i == 0)
    stage_server_relisten (&stage, 1);
  else
    {
      stage_server_restart (&stage, 1);
      stage_enter (&stage, 1, "ready");
    }
  g_usleep (KNOWN_US);
  ck_assert_uint_eq (stage_counter (&stage, 1, "server_down"), 0);
  ck_assert_uint_eq (call_alpha (3, 100), 100);
  ck_assert_uint_gt (stage_server_runs (&stage, 1) - before, 20);
}
END_TEST

/* Guards against a report of "down" that outlives its 2 s only because it is
   not repeated: a request would be tried there every 2 s by each daemon.  */
START_TEST (a_server_stays_out_of_the_choice_while_it_is_down)
{
  stage_server_stop (&stage, 1);
  g_usleep (KNOWN_US);
  for (unsigned i = 0; i < 5; i++)
    {
      ck_assert_uint_eq (call_alpha (3, 20), 20);
      g_usleep (G_USEC_PER_SEC);
    }
  ck_assert_uint_eq (stage_counter (&stage, 1, REFUSED), 0);
}
END_TEST

/* Guards against requests that are refused because a daemon that has just
   started does not know its server yet.  */
START_TEST (a_restarted_daemon_takes_requests_for_its_server)
{
  unsigned before;

  for (unsigned vm = 1; vm <= 2; vm++)
    {
      process_signal (&stage.daemons[vm], SIGKILL);
      stage_start_daemon (&stage, vm);
    }
  for (unsigned vm = 1; vm <= 2; vm++)
    stage_wait_ready (&stage, vm);
  ck_assert_uint_eq (stage_counter (&stage, 1, "server_down"), 0);
  g_usleep (KNOWN_US);
  before = stage_server_runs (&stage, 1);
  ck_assert_uint_eq (call_alpha (3, 50), 50);
  ck_assert_uint_gt (stage_server_runs (&stage, 1) - before, 10);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, a_server_that_has_ended_gets_no_attempts);
  tcase_add_loop_test (tests, a_server_that_returns_gets_requests_at_once, 0,
                       2);
  tcase_add_test (tests, a_server_stays_out_of_the_choice_while_it_is_down);
  tcase_add_test (tests, a_restarted_daemon_takes_requests_for_its_server);
}

int
main (void)
{
  return suite_run ("mesh_down", add_tests, 60);
}

/* Limits that servers name in their answers.  */
#include <signal.h>
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/stage_fixture.h"

/* The limit that the servers of alpha name, in requests a second, and how much
   more than it allows they may get within a window: rule LIMIT of the
   users.  */
#define LIMIT_PER_S 10
#define WINDOW_US (4 * G_USEC_PER_SEC)
#define ALLOWED_IN_WINDOW (1.5 * 4 * LIMIT_PER_S + 5)

/* A server should get most of what it takes.  */
#define WANTED_IN_WINDOW (0.75 * 4 * LIMIT_PER_S)

/* The limit must hold from this time after it was first named.  */
#define IN_FORCE_US (3 * G_USEC_PER_SEC)

static unsigned number;

/* Calls alpha through the VMs from FIRST on by turns for US, every few
   milliseconds.  */
static void
call_from (unsigned first, gint64 us)
{
  gint64 until = g_get_monotonic_time () + us;

  while (g_get_monotonic_time () < until)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("l%u", ++number);

      stage_call (&stage, &reply, first + number % (VMS + 1 - first), "GET",
                  "alpha.test", "/read/1", id, NULL);
      ck_assert (reply.status == 200 || reply.status == 503);
      g_usleep (5000);
    }
}

static void
call_for (gint64 us)
{
  call_from (1, us);
}

static void
name_limits (const char *notice)
{
  stage_server_say (&stage, 1, notice);
  stage_server_say (&stage, 2, notice);
}

/* Guards against servers that get more requests than the limit that they name,
   summed over all daemons.  */
START_TEST (a_server_gets_no_more_than_the_limit_that_it_names)
{
  unsigned before[3];

  name_limits ("Server-Limit: 10.0\r\n");
  call_for (IN_FORCE_US);
  for (unsigned vm = 1; vm <= 2; vm++)
    before[vm] = stage_server_runs (&stage, vm);
  call_for (WINDOW_US);
  for (unsigned vm = 1; vm <= 2; vm++)
    {
      unsigned got = stage_server_runs (&stage, vm) - before[vm];

      ck_assert_uint_le (got, ALLOWED_IN_WINDOW);
      ck_assert_uint_ge (got, WANTED_IN_WINDOW);
    }
}
END_TEST

/* Guards against a daemon that forgets the limit when it is restarted.  */
START_TEST (a_limit_holds_when_the_daemon_beside_the_server_restarts)
{
  unsigned before;

  name_limits ("Server-Limit: 2\r\n");
  call_for (IN_FORCE_US);
  before = stage_server_runs (&stage, 1);
  for (unsigned i = 0; i < 3; i++)
    {
      call_for (WINDOW_US / 4);
      process_signal (&stage.daemons[1], SIGKILL);
      stage_start_daemon (&stage, 1);
      stage_wait_ready (&stage, 1);
    }
  call_for (WINDOW_US / 4);
  ck_assert_uint_le (stage_server_runs (&stage, 1) - before, 1.5 * 4 * 2 + 5);
}
END_TEST

/* Guards against a limit that outlives its need.  */
START_TEST (a_limit_ends_when_the_server_names_it_no_more)
{
  unsigned before;

  name_limits ("Server-Limit: 0.5\r\n");
  call_for (G_USEC_PER_SEC);
  name_limits ("");
  /* A server that takes so little has its next turn after two seconds.  */
  call_for (IN_FORCE_US);
  before = stage_server_runs (&stage, 1);
  call_for (G_USEC_PER_SEC);
  ck_assert_uint_gt (stage_server_runs (&stage, 1) - before, 20);
}
END_TEST

/* The servers of the stage may get requests for this long after they have said
   that they leave: "drain" of the settings.  */
#define DRAIN_US (2 * G_USEC_PER_SEC)

/* Guards against requests to a server that says in its answers that it leaves,
   while its entry in the store does not say so yet.  Case 1: after a restart
   of the daemon beside it, which has forgotten it; those of VMs 2 and 3 have
   not.  */
START_TEST (a_server_that_says_it_leaves_gets_no_requests_after_the_drain_time)
{
  unsigned before;

  stage_server_say (&stage, 1, "Server-Leaving: 1\r\n");
  call_for (DRAIN_US);
  if (_i == 1)
    {
      process_signal (&stage.daemons[1], SIGKILL);
      stage_start_daemon (&stage, 1);
      stage_wait_ready (&stage, 1);
    }
  before = stage_server_runs (&stage, 1);
  call_from (_i == 1 ? 2 : 1, DRAIN_US);
  ck_assert_uint_eq (stage_server_runs (&stage, 1), before);
  ck_assert_uint_gt (stage_server_runs (&stage, 2), 100);
}
END_TEST

/* Guards against a new server that is taken for the one that left.  */
START_TEST (the_server_that_follows_one_that_left_gets_requests)
{
  unsigned before;

  stage_server_say (&stage, 1, "Server-Leaving: 1\r\n");
  call_for (G_USEC_PER_SEC / 2);
  stage_server_stop (&stage, 1);
  stage_server_say (&stage, 1, "");
  stage_server_restart (&stage, 1);
  stage_enter (&stage, 1, "ready");
  call_for (G_USEC_PER_SEC);
  before = stage_server_runs (&stage, 1);
  call_for (G_USEC_PER_SEC);
  ck_assert_uint_gt (stage_server_runs (&stage, 1) - before, 20);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, a_server_gets_no_more_than_the_limit_that_it_names);
  tcase_add_test (tests,
                  a_limit_holds_when_the_daemon_beside_the_server_restarts);
  tcase_add_test (tests, a_limit_ends_when_the_server_names_it_no_more);
  tcase_add_loop_test (
      tests,
      a_server_that_says_it_leaves_gets_no_requests_after_the_drain_time, 0,
      2);
  tcase_add_test (tests, the_server_that_follows_one_that_left_gets_requests);
}

int
main (void)
{
  return suite_run ("mesh_limits", add_tests, 60);
}

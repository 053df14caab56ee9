/* Cold servers, with real daemons.  */
#include <signal.h>
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/stage_fixture.h"

#define PER_S 11
#define BOUND (1.5 * PER_S + 8)
#define COLD_MS 3000

/* Calls are made from this many threads, each at this interval: 75 a second
   in all, so that alpha's two servers get 37 each.  */
#define CALLERS 3
#define INTERVAL_US 40000

/* Time in which the configuration is in force, and in which a health check
   proves a server warm.  */
#define SETTLE_US (600 * 1000)

static gint number;

struct caller
{
  pthread_t thread;
  unsigned vm;
  gint64 until_us;
  unsigned answered;
  unsigned refused;
};

static void *
run_caller (void *context)
{
  struct caller *caller = context;
  struct reply answer;

  reply_init (&answer);
  while (g_get_monotonic_time () < caller->until_us)
    {
      CP_AUTO_FREE char *id
          = g_strdup_printf ("c%d", g_atomic_int_add (&number, 1));

      stage_call (&stage, &answer, caller->vm, "GET", "alpha.test",
                  "/read/1?slow=10", id, NULL);
      caller->answered += answer.status == 200;
      caller->refused += answer.status != 200;
      g_usleep (INTERVAL_US - 10000);
    }
  reply_finish (&answer);
  return NULL;
}

static struct caller callers[CALLERS];

static void
start_callers (gint64 us)
{
  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i] = (struct caller){ .vm = i + 1,
                                    .until_us = g_get_monotonic_time () + us };
      ck_assert_int_eq (
          pthread_create (&callers[i].thread, NULL, run_caller, &callers[i]),
          0);
    }
}

/* Returns how many of the calls were answered.  */
static unsigned
join_callers (void)
{
  unsigned answered = 0;

  for (unsigned i = 0; i < CALLERS; i++)
    {
      pthread_join (callers[i].thread, NULL);
      answered += callers[i].answered;
    }
  return answered;
}

static void
configure (void)
{
  g_strlcpy (stage.warm_up, ",\"warmup\":\"3s\",\"warmupPerS\":11.0",
             sizeof stage.warm_up);
  stage_configure (&stage, "");
  g_usleep (SETTLE_US);
}

/* Guards against too many requests to a warm server that turns cold without
   notice while it gets requests.  */
START_TEST (a_server_that_turns_cold_under_load_gets_its_rate)
{
  gint64 turned_us;
  unsigned before;

  configure ();
  start_callers (6 * G_USEC_PER_SEC);
  g_usleep (1500000);
  turned_us = g_get_monotonic_time ();
  stage_server_cold (&stage, 1, COLD_MS);
  g_usleep (1500000);
  before = stage_server_runs (&stage, 1);
  ck_assert_uint_gt (stage_counter (&stage, 1, "server_cold_ms"), 0);
  g_usleep (1000000);
  ck_assert_uint_ge (stage_server_runs (&stage, 1) - before, PER_S / 2);
  ck_assert_double_le (stage_server_most_in_a_second (&stage, 1, turned_us),
                       BOUND);
  join_callers ();
  ck_assert_uint_eq (stage_counter (&stage, 1, "server_cold_ms"), 0);
}
END_TEST

/* Guards against a restart of the daemon that gives a cold server a second
   allowance.  */
START_TEST (a_restart_of_the_daemon_keeps_the_bound)
{
  gint64 from_us;

  configure ();
  stage_server_cold (&stage, 1, 6000);
  g_usleep (SETTLE_US);
  start_callers (5 * G_USEC_PER_SEC);
  g_usleep (SETTLE_US);
  from_us = g_get_monotonic_time ();
  for (unsigned i = 0; i < 2; i++)
    {
      g_usleep (1200000);
      process_signal (&stage.daemons[1], SIGKILL);
      stage_start_daemon (&stage, 1);
      stage_wait_ready (&stage, 1);
    }
  ck_assert_double_le (stage_server_most_in_a_second (&stage, 1, from_us),
                       BOUND);
  join_callers ();
}
END_TEST

/* Guards against a new server that gets all requests at once because its entry
   and its health checks have not been read yet.  Both servers are new, as in a
   domain that comes back.  */
START_TEST (new_servers_get_their_rate_and_then_all)
{
  gint64 from_us;
  unsigned before;
  unsigned answered;

  configure ();
  for (unsigned vm = 1; vm <= 2; vm++)
    stage_server_stop (&stage, vm);
  g_usleep (SETTLE_US);
  from_us = g_get_monotonic_time ();
  for (unsigned vm = 1; vm <= 2; vm++)
    {
      stage_server_cold (&stage, vm, COLD_MS);
      stage_server_restart (&stage, vm);
      /* The entry says, wrongly, that the server is warm.  */
      stage_enter (&stage, vm, "ready");
    }
  start_callers (4 * G_USEC_PER_SEC);
  g_usleep (COLD_MS * 1000);
  for (unsigned vm = 1; vm <= 2; vm++)
    ck_assert_double_le (stage_server_most_in_a_second (&stage, vm, from_us),
                         BOUND);
  join_callers ();
  before = stage_server_runs (&stage, 1) + stage_server_runs (&stage, 2);
  start_callers (2 * G_USEC_PER_SEC);
  answered = join_callers ();
  ck_assert_uint_ge (stage_server_runs (&stage, 1)
                         + stage_server_runs (&stage, 2) - before,
                     answered);
  ck_assert_uint_ge (answered, 2 * 50);
  for (unsigned i = 0; i < CALLERS; i++)
    ck_assert_uint_eq (callers[i].refused, 0);
}
END_TEST

/* Guards against a limit on services that set no rate.  */
START_TEST (without_a_rate_a_cold_server_gets_all_requests)
{
  unsigned before = stage_server_runs (&stage, 1);

  stage_server_cold (&stage, 1, 60000);
  stage_server_cold (&stage, 2, 60000);
  start_callers (2 * G_USEC_PER_SEC);
  ck_assert_uint_ge (join_callers (), 2 * 50);
  ck_assert_uint_gt (stage_server_runs (&stage, 1) - before, 2 * PER_S);
  ck_assert_uint_eq (stage_counter (&stage, 1, "server_cold_ms"), 0);
}
END_TEST

/* Guards against a header that cannot be read and makes a cold server warm, or
   ends the daemon.  */
START_TEST (an_invalid_header_changes_nothing)
{
  CP_AUTO_FREE char *path = g_strdup_printf ("%s/daemon-1.log", stage.folder);
  CP_AUTO_FREE char *text = NULL;

  configure ();
  stage_server_cold (&stage, 1, 10000);
  start_callers (G_USEC_PER_SEC);
  join_callers ();
  stage_server_cold (&stage, 1, 0);
  stage_server_say (&stage, 1, "X-Cornelpick-Warmup-Remaining-Ms: soon\r\n");
  start_callers (G_USEC_PER_SEC);
  join_callers ();
  ck_assert_uint_gt (stage_counter (&stage, 1, "server_cold_ms"), 0);
  g_usleep (SETTLE_US);
  ck_assert (g_file_get_contents (path, &text, NULL, NULL));
  ck_assert_ptr_nonnull (strstr (text, "\"kind\":\"unreadable\""));
  stage_server_say (&stage, 1, "X-Cornelpick-Warmup-Remaining-Ms: 0\r\n");
  start_callers (G_USEC_PER_SEC);
  join_callers ();
  ck_assert_uint_eq (stage_counter (&stage, 1, "server_cold_ms"), 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, a_server_that_turns_cold_under_load_gets_its_rate);
  tcase_add_test (tests, a_restart_of_the_daemon_keeps_the_bound);
  tcase_add_test (tests, new_servers_get_their_rate_and_then_all);
  tcase_add_test (tests, without_a_rate_a_cold_server_gets_all_requests);
  tcase_add_test (tests, an_invalid_header_changes_nothing);
}

int
main (void)
{
  return suite_run ("mesh_cold", add_tests, 60);
}

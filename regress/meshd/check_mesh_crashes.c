/* Requests that end the servers that run them.  */
#include <signal.h>
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/stage_fixture.h"

/* Rule BUDGET of the users: from this time after the third server has ended,
   the request reaches at most this many more.  */
#define SERVERS 3
#define CONTACT_US (3 * G_USEC_PER_SEC)
#define MORE_MAX 3

/* Interval between two requests that end a server, and the time until it is
   back.  */
#define COPY_INTERVAL_US (G_USEC_PER_SEC / 5)
#define BACK_AFTER_US (G_USEC_PER_SEC / 4)

static unsigned number;
static gint64 ended_us[VMS + 1]; /* when VM's server ended, 0 while it runs */

static int
call (unsigned vm, const char *method, const char *path, const char *body)
{
  CP_AUTO_FREE char *id = g_strdup_printf ("c%u", ++number);

  stage_call (&stage, &reply, vm, method, "alpha.test", path, id, body);
  return reply.status;
}

static unsigned
crashes (void)
{
  return stage_server_crashes (&stage, 1) + stage_server_crashes (&stage, 2);
}

/* Starts ended servers again.  */
static void
restart_servers (void)
{
  static unsigned seen[VMS + 1];
  gint64 now = g_get_monotonic_time ();

  for (unsigned vm = 1; vm <= 2; vm++)
    {
      if (stage_server_crashes (&stage, vm) != seen[vm] && ended_us[vm] == 0)
        {
          seen[vm] = stage_server_crashes (&stage, vm);
          ended_us[vm] = now;
        }
      if (ended_us[vm] != 0 && now - ended_us[vm] > BACK_AFTER_US)
        {
          stage_server_restart (&stage, vm);
          stage_enter (&stage, vm, "ready");
          ended_us[vm] = 0;
        }
    }
}

/* Waits until all servers run and are known to.  */
static void
wait_for_servers (void)
{
  gint64 until = g_get_monotonic_time () + 2 * BACK_AFTER_US;

  while (g_get_monotonic_time () < until)
    {
      restart_servers ();
      g_usleep (10000);
    }
  g_usleep (G_USEC_PER_SEC);
}

/* Sends copies of a request that ends servers through the VMs by turns for
   US.  Returns when CRASHES servers have ended, if that comes earlier.  */
static void
send_copies (const char *method, const char *path, gint64 us, unsigned most)
{
  gint64 until = g_get_monotonic_time () + us;

  while (g_get_monotonic_time () < until && crashes () < most)
    {
      call (1 + number % VMS, method, path,
            strcmp (method, "POST") == 0 ? "order" : NULL);
      g_usleep (COPY_INTERVAL_US);
      restart_servers ();
    }
}

static const struct
{
  const char *method;
  const char *path;
} requests[] = { { "GET", "/read/1?crash" }, { "POST", "/write/1?crash" } };

/* Guards against a request that ends one server after the other, sent again by
   its callers through any daemon.  */
START_TEST (a_request_that_ended_three_servers_is_not_sent_on)
{
  const char *method = requests[_i].method;
  const char *path = requests[_i].path;
  unsigned before;

  send_copies (method, path, 20 * G_USEC_PER_SEC, SERVERS);
  ck_assert_uint_ge (crashes (), SERVERS);
  send_copies (method, path, CONTACT_US, G_MAXUINT);
  before = crashes ();
  send_copies (method, path, 6 * G_USEC_PER_SEC, G_MAXUINT);
  ck_assert_uint_le (crashes () - before, MORE_MAX);
  /* It has not run, which the caller is told at once.  */
  ck_assert_int_eq (call (3, method, path, _i == 1 ? "order" : NULL), 503);
}
END_TEST

/* Guards against a daemon that starts and has not heard of the request.  */
START_TEST (a_daemon_that_starts_learns_of_a_request_that_ends_servers)
{
  unsigned before;

  send_copies ("GET", "/read/1?crash", 20 * G_USEC_PER_SEC, SERVERS);
  send_copies ("GET", "/read/1?crash", CONTACT_US, G_MAXUINT);
  process_signal (&stage.daemons[3], SIGKILL);
  stage_start_daemon (&stage, 3);
  stage_wait_ready (&stage, 3);
  wait_for_servers ();
  before = crashes ();
  for (unsigned i = 0; i < 10; i++)
    call (3, "GET", "/read/1?crash", NULL);
  ck_assert_uint_eq (crashes (), before);
}
END_TEST

static void *
call_all_the_time (void *context)
{
  const gint *stop = context;
  struct reply own;
  unsigned served = 0;
  char id[32];

  reply_init (&own);
  while (!g_atomic_int_get (stop))
    {
      g_snprintf (id, sizeof id, "w%u", served);
      stage_call (&stage, &own, 3, "GET", "alpha.test", "/read/2?slow=10", id,
                  NULL);
      served += own.status == 200;
      g_usleep (1000);
    }
  reply_finish (&own);
  return GUINT_TO_POINTER (served);
}

/* Guards against a request that is held back because it ran beside the one
   that ends servers.  */
START_TEST (a_request_that_ran_beside_it_is_served_on)
{
  gint stop = 0;
  pthread_t thread;

  pthread_create (&thread, NULL, call_all_the_time, &stop);
  send_copies ("GET", "/read/1?crash", 20 * G_USEC_PER_SEC, SERVERS);
  send_copies ("GET", "/read/1?crash", CONTACT_US, G_MAXUINT);
  g_atomic_int_set (&stop, 1);
  pthread_join (thread, NULL);
  wait_for_servers ();
  for (unsigned i = 0; i < 10; i++)
    ck_assert_int_eq (call (1 + i % VMS, "GET", "/read/2?slow=10", NULL), 200);
}
END_TEST

/* Guards against an ordinary restart of servers, after which requests that
   were cut off would be held back.  */
START_TEST (requests_that_servers_survive_are_not_held_back)
{
  for (unsigned i = 0; i < 6; i++)
    {
      call (3, "GET", "/read/3?cut", NULL);
      call (3, "GET", "/read/3?reset", NULL);
    }
  ck_assert_int_eq (call (3, "GET", "/read/3?cut", NULL), 502);
  ck_assert_uint_ge (stage_server_runs (&stage, 1), 7);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_loop_test (tests,
                       a_request_that_ended_three_servers_is_not_sent_on, 0,
                       G_N_ELEMENTS (requests));
  tcase_add_test (tests,
                  a_daemon_that_starts_learns_of_a_request_that_ends_servers);
  tcase_add_test (tests, a_request_that_ran_beside_it_is_served_on);
  tcase_add_test (tests, requests_that_servers_survive_are_not_held_back);
}

int
main (void)
{
  return suite_run ("mesh_crashes", add_tests, 90);
}

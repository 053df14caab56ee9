/* The store comes back from an older copy: its revisions are given out again,
   and what was written since the copy is lost until it is written again.  */
#include <signal.h>

#include "lib/cleanup.h"
#include "regress/harness/stage_fixture.h"

/* Maximum time from a change in the store until it is in force.  */
#define IN_FORCE_US (2 * G_USEC_PER_SEC)

/* The store's loss lasts at most this long: then all have written again.  */
#define WRITTEN_AGAIN_US (3 * G_USEC_PER_SEC / 2)

#define ROUTE(name)                                                           \
  ",{\"name\":\"" name "\",\"kind\":\"idempotent\",\"targetLatency\":"        \
  "\"200ms\",\"priority\":1,\"match\":{\"prefix\":\"/" name                   \
  "/\"},\"action\":{\"service\":\"alpha\",\"timeout\":\"2000ms\","            \
  "\"maxAttempts\":2}}"

static unsigned number;

static int
status_at (unsigned vm, const char *path)
{
  CP_AUTO_FREE char *id = g_strdup_printf ("s%u", ++number);

  stage_call (&stage, &reply, vm, "GET", "alpha.test", path, id, NULL);
  return reply.status;
}

/* Waits until PATH gives STATUS at all VMs; fails IN_FORCE_US after SINCE.  */
static void
wait_in_force (const char *path, int status, gint64 since)
{
  for (unsigned vm = 1; vm <= VMS; vm++)
    while (status_at (vm, path) != status)
      {
        ck_assert_int_lt (g_get_monotonic_time () - since, IN_FORCE_US);
        g_usleep (10000);
      }
}

/* Checks for US that PATH gives 200 at all VMs.  */
static void
check_served (const char *path, gint64 us)
{
  gint64 until = g_get_monotonic_time () + us;

  while (g_get_monotonic_time () < until)
    {
      for (unsigned vm = 1; vm <= VMS; vm++)
        ck_assert_int_eq (status_at (vm, path), 200);
      g_usleep (10000);
    }
}

/* Writes items that nobody reads, so that the copy is some revisions behind.
 */
static void
write_more (unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    stage_put (&stage, "other/key", "value");
}

/* Guards against changes that are left out because the store gives out
   revisions again.  */
START_TEST (what_is_written_after_a_return_is_in_force_in_time)
{
  stage_store_copy (&stage);
  write_more (20);
  stage_configure (&stage, ROUTE ("old"));
  wait_in_force ("/old/1", 200, g_get_monotonic_time ());
  for (unsigned i = 0; i < 2; i++)
    {
      gint64 since;

      stage_store_return (&stage);
      since = g_get_monotonic_time ();
      stage_configure (&stage, i == 0 ? ROUTE ("new") : ROUTE ("newer"));
      wait_in_force (i == 0 ? "/new/1" : "/newer/1", 200, since);
      wait_in_force ("/old/1", 404, since);
    }
}
END_TEST

/* Guards against a configuration that goes back to the one in the copy.  */
START_TEST (a_configuration_stays_in_force_when_the_store_has_lost_it)
{
  stage_store_copy (&stage);
  stage_configure (&stage, ROUTE ("kept"));
  wait_in_force ("/kept/1", 200, g_get_monotonic_time ());
  stage_store_return (&stage);
  check_served ("/kept/1", WRITTEN_AGAIN_US);
}
END_TEST

/* Guards against a server that has left and is in the copy.  */
START_TEST (a_server_that_left_does_not_come_back_with_the_copy)
{
  CP_AUTO_FREE char *key = stage_server_key (&stage, 1);
  unsigned before;

  stage_store_copy (&stage);
  stage_enter (&stage, 1, "draining");
  stage_remove (&stage, key);
  check_served ("/read/1", IN_FORCE_US);
  stage_store_return (&stage);
  before = stage_server_runs (&stage, 1);
  check_served ("/read/1", 2 * WRITTEN_AGAIN_US);
  ck_assert_uint_eq (stage_server_runs (&stage, 1), before);
}
END_TEST

/* Guards against a server that is dropped because it came after the copy, and
   against one that stays after it has really gone.  */
START_TEST (a_server_that_the_copy_lacks_is_kept_while_it_may_write_again)
{
  CP_AUTO_FREE char *key = NULL;
  unsigned before;

  stage_server_stop (&stage, 1);
  key = stage_server_key (&stage, 1);
  stage_remove (&stage, key);
  check_served ("/read/1", IN_FORCE_US);
  stage_store_copy (&stage);
  write_more (20);
  stage_server_restart (&stage, 1);
  stage_enter (&stage, 1, "ready");
  check_served ("/read/1", IN_FORCE_US);
  before = stage_server_runs (&stage, 1);
  stage_store_return (&stage);
  check_served ("/read/1", WRITTEN_AGAIN_US);
  ck_assert_uint_gt (stage_server_runs (&stage, 1), before);
  if (_i == 0)
    stage_enter (&stage, 1, "ready");
  check_served ("/read/1", 2 * G_USEC_PER_SEC);
  before = stage_server_runs (&stage, 1);
  check_served ("/read/1", WRITTEN_AGAIN_US);
  ck_assert_int_eq (stage_server_runs (&stage, 1) > before, _i == 0);
}
END_TEST

/* Guards against a daemon that starts during the return and takes the state of
   the lost time for the newer one.  */
START_TEST (a_daemon_that_starts_after_a_return_agrees_with_the_others)
{
  gint64 since;

  stage_store_copy (&stage);
  write_more (30);
  stage_configure (&stage, ROUTE ("lost"));
  wait_in_force ("/lost/1", 200, g_get_monotonic_time ());
  process_signal (&stage.daemons[3], SIGKILL);
  stage_store_return (&stage);
  stage_start_daemon (&stage, 3);
  stage_wait_ready (&stage, 3);
  since = g_get_monotonic_time ();
  stage_configure (&stage, ROUTE ("later"));
  wait_in_force ("/later/1", 200, since);
  wait_in_force ("/lost/1", 404, since);
}
END_TEST

static const char *const bad_eras[]
    = { "", "x", "0", "-3", "18446744073709551615", "99999999999999999999" };

/* Guards against a wrong era: what is known stays in force, and the next
   answer with the right one is used.  */
START_TEST (a_wrong_era_loses_nothing)
{
  gint64 since;

  stage_store_say_era (&stage, "5");
  check_served ("/read/1", G_USEC_PER_SEC);
  stage_store_say_era (&stage, bad_eras[_i]);
  stage_put (&stage, "other/key", "value");
  check_served ("/read/1", G_USEC_PER_SEC);
  stage_store_say_era (&stage, "5");
  since = g_get_monotonic_time ();
  stage_configure (&stage, ROUTE ("after"));
  wait_in_force ("/after/1", 200, since);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, what_is_written_after_a_return_is_in_force_in_time);
  tcase_add_test (tests,
                  a_configuration_stays_in_force_when_the_store_has_lost_it);
  tcase_add_test (tests, a_server_that_left_does_not_come_back_with_the_copy);
  tcase_add_loop_test (
      tests, a_server_that_the_copy_lacks_is_kept_while_it_may_write_again, 0,
      2);
  tcase_add_test (tests,
                  a_daemon_that_starts_after_a_return_agrees_with_the_others);
  tcase_add_loop_test (tests, a_wrong_era_loses_nothing, 0,
                       G_N_ELEMENTS (bad_eras));
}

int
main (void)
{
  return suite_run ("mesh_returns", add_tests, 60);
}

/* Configurations and leaving servers after an outage of the store that takes
   calls and never answers them.  */
#include "lib/cleanup.h"
#include "regress/harness/stage.h"
#include "regress/harness/suite.h"

/* Six VMs in each of two failure domains; four in each domain watch.  */
#define VMS 12

/* Maximum time from a change in the store until it is in force, and from the
   removal of a server's entry until requests reach it no more.  */
#define IN_FORCE_US 2000000
#define DRAIN_US 2000000

/* The bounds hold when the store has been without trouble for this long.  */
#define CONTACT_US 3000000

/* From a change until shortly before the watchers begin their first long
   watch.  */
#define LONG_WATCH_US 1100000

#define NEW_ROUTE                                                             \
  ",{\"name\":\"new\",\"kind\":\"idempotent\",\"targetLatency\":\"200ms\","   \
  "\"priority\":1,\"match\":{\"prefix\":\"/new/\"},\"action\":{\"service\":"  \
  "\"alpha\",\"timeout\":\"2000ms\",\"maxAttempts\":2}}"

static struct stage stage;
static struct reply reply;

static void
setup (void)
{
  stage_start (&stage, VMS);
  reply_init (&reply);
}

static void
teardown (void)
{
  reply_finish (&reply);
  stage_finish (&stage);
}

static void
set_store_mode (enum stage_store_mode mode)
{
  for (unsigned vm = 1; vm <= VMS; vm++)
    stage_store_mode (&stage, vm, mode);
}

static int
status_at (unsigned vm, const char *path)
{
  static unsigned number;
  CP_AUTO_FREE char *id = g_strdup_printf ("o%u", ++number);

  stage_call (&stage, &reply, vm, "GET", "alpha.test", path, id, NULL);
  return reply.status;
}

static void
sleep_until (gint64 time)
{
  gint64 left = time - g_get_monotonic_time ();

  if (left > 0)
    g_usleep ((gulong)left);
}

/* Waits until the new route is in force at all VMs, which must be IN_FORCE_US
   after SINCE at the latest.  */
static void
wait_in_force (gint64 since)
{
  for (unsigned vm = 1; vm <= VMS; vm++)
    while (status_at (vm, "/new/1") != 200)
      {
        gint64 late_us = g_get_monotonic_time () - since - IN_FORCE_US;

        ck_assert_msg (late_us < 0, "not in force at VM %u", vm);
        g_usleep (10000);
      }
}

static const unsigned outages_ms[] = { 1000, 3000, 5000 };

/* Guards against a change that is not in force because all watchers wait for
   answers to calls that the store took during an outage and has forgotten.  */
START_TEST (a_change_is_in_force_after_an_outage_at_the_next_watch)
{
  gint64 returned;

  g_usleep (2 * LONG_WATCH_US);
  /* The long watches that follow a change begin at all watchers together.  */
  stage_put (&stage, "other/key", "value");
  g_usleep (LONG_WATCH_US);
  set_store_mode (STAGE_STORE_SILENT);
  g_usleep (outages_ms[_i] * 1000);
  set_store_mode (STAGE_STORE_NORMAL);
  returned = g_get_monotonic_time ();
  sleep_until (returned + CONTACT_US - IN_FORCE_US);
  stage_configure (&stage, NEW_ROUTE);
  wait_in_force (returned + CONTACT_US - IN_FORCE_US);
}
END_TEST

/* Sends requests of all VMs until END and returns how many reached the server
   of VM after FROM.  */
static unsigned
count_late_runs (unsigned vm, gint64 from, gint64 end)
{
  unsigned before = 0;

  for (unsigned i = 0; g_get_monotonic_time () < end; i++)
    {
      if (g_get_monotonic_time () < from)
        before = stage_server_runs (&stage, vm);
      status_at (1 + i % VMS, "/read/1");
    }
  return stage_server_runs (&stage, vm) - before;
}

/* Guards against requests to a server that has left, when calls that were sent
   into an outage of the store fail only after it: the loss of the entry must
   not count as an effect of the outage then.  */
START_TEST (a_server_that_left_after_an_outage_gets_no_requests)
{
  CP_AUTO_FREE char *key = stage_server_key (&stage, 1);
  gint64 removed;

  set_store_mode (STAGE_STORE_SILENT);
  stage_drop_history (&stage);
  g_usleep (300000);
  set_store_mode (STAGE_STORE_NORMAL);
  g_usleep (CONTACT_US);
  /* The removal is learned with the longest delay between two watches.  */
  stage_put (&stage, "other/key", "value");
  g_usleep (50000);
  stage_remove (&stage, key);
  removed = g_get_monotonic_time ();
  ck_assert_uint_eq (
      count_late_runs (1, removed + DRAIN_US, removed + 2 * DRAIN_US), 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_loop_test (tests,
                       a_change_is_in_force_after_an_outage_at_the_next_watch,
                       0, G_N_ELEMENTS (outages_ms));
  tcase_add_test (tests, a_server_that_left_after_an_outage_gets_no_requests);
}

int
main (void)
{
  return suite_run ("mesh_outages", add_tests, 60);
}

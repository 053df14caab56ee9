/* Few daemons watch the store, and a change reaches all daemons in time, even
   if watchers die or lose the store.  */
#include <signal.h>

#include "lib/cleanup.h"
#include "regress/harness/stage.h"
#include "regress/harness/suite.h"

/* Six VMs in each of two failure domains; four in each domain watch.  */
#define VMS 12
#define WATCHERS 8

/* Maximum time from a change in the store until it is in force.  */
#define IN_FORCE_US 2000000

#define NEW_ROUTE                                                             \
  ",{\"name\":\"new\",\"kind\":\"idempotent\",\"targetLatency\":\"200ms\","   \
  "\"priority\":1,\"match\":{\"prefix\":\"/new/\"},\"action\":{\"service\":"  \
  "\"alpha\",\"timeout\":\"2000ms\",\"maxAttempts\":2}}"

static struct stage stage;
static struct reply reply;

static bool
watches (unsigned vm)
{
  return stage_counter (&stage, vm, "store_watching") > 0;
}

/* Returns the number of VMs that watch, without EXCEPT.  */
static unsigned
count_watchers (unsigned except)
{
  unsigned count = 0;

  for (unsigned vm = 1; vm <= VMS; vm++)
    if (vm != except)
      count += watches (vm);
  return count;
}

static bool
all_watchers_elected (void *except)
{
  return count_watchers (*(unsigned *)except) == WATCHERS;
}

static void
setup (void)
{
  unsigned none = 0;

  stage_start (&stage, VMS);
  reply_init (&reply);
  wait_until (all_watchers_elected, &none);
}

static void
teardown (void)
{
  reply_finish (&reply);
  stage_finish (&stage);
}

/* Waits until the new route is in force at VM.  */
static void
wait_in_force (unsigned vm, gint64 since)
{
  static unsigned number;

  do
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("x%u", ++number);

      ck_assert_int_lt (g_get_monotonic_time () - since, IN_FORCE_US);
      stage_call (&stage, &reply, vm, "GET", "alpha.test", "/new/1", id, NULL);
    }
  while (reply.status != 200);
}

/* Changes the configuration and waits until it is in force at all VMs but
   EXCEPT.  */
static void
change_configuration (unsigned except)
{
  gint64 since = g_get_monotonic_time ();

  stage_configure (&stage, NEW_ROUTE);
  for (unsigned vm = 1; vm <= VMS; vm++)
    if (vm != except)
      wait_in_force (vm, since);
}

static unsigned
first_watcher (void)
{
  unsigned vm = 1;

  while (!watches (vm))
    vm++;
  return vm;
}

START_TEST (daemons_that_do_not_watch_learn_from_peers)
{
  uint64_t calls[VMS + 1];

  for (unsigned vm = 1; vm <= VMS; vm++)
    calls[vm]
        = watches (vm) ? 0 : stage_counter (&stage, vm, "store_calls_total");
  change_configuration (0);
  for (unsigned vm = 1; vm <= VMS; vm++)
    if (calls[vm] != 0)
      ck_assert_uint_le (stage_counter (&stage, vm, "store_calls_total"),
                         calls[vm] + 1);
}
END_TEST

START_TEST (a_killed_watcher_is_replaced)
{
  unsigned vm = first_watcher ();

  process_signal (&stage.daemons[vm], SIGKILL);
  change_configuration (vm);
  wait_until (all_watchers_elected, &vm);
}
END_TEST

START_TEST (all_learn_in_time_when_a_domains_watchers_lose_the_store)
{
  for (unsigned vm = 1; vm <= VMS; vm += 2)
    if (watches (vm))
      stage_store_mode (&stage, vm,
                        _i == 0 ? STAGE_STORE_BUSY : STAGE_STORE_SILENT);
  change_configuration (0);
}
END_TEST

START_TEST (others_watch_when_all_watchers_lose_the_store)
{
  for (unsigned vm = 1; vm <= VMS; vm++)
    if (watches (vm))
      stage_store_mode (&stage, vm, STAGE_STORE_BUSY);
  change_configuration (0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, daemons_that_do_not_watch_learn_from_peers);
  tcase_add_test (tests, a_killed_watcher_is_replaced);
  tcase_add_loop_test (
      tests, all_learn_in_time_when_a_domains_watchers_lose_the_store, 0, 2);
  tcase_add_test (tests, others_watch_when_all_watchers_lose_the_store);
}

int
main (void)
{
  return suite_run ("mesh_exchange", add_tests, 60);
}

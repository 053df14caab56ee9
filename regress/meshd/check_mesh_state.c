/* Configuration in force and servers chosen while the store's content changes,
   is invalid, or the store is unavailable.  */
#include <signal.h>
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/stage_fixture.h"

/* Maximum time from a change in the store until it is in force.  */
#define IN_FORCE_US 2000000

#define NEW_ROUTE                                                             \
  ",{\"name\":\"new\",\"kind\":\"idempotent\",\"targetLatency\":\"200ms\","   \
  "\"priority\":1,\"match\":{\"prefix\":\"/new/\"},\"action\":{\"service\":"  \
  "\"alpha\",\"timeout\":\"2000ms\",\"maxAttempts\":2}}"

static int
status_at (unsigned vm, const char *path)
{
  static unsigned number;
  CP_AUTO_FREE char *id = g_strdup_printf ("s%u", ++number);

  stage_call (&stage, &reply, vm, "GET", "alpha.test", path, id, NULL);
  return reply.status;
}

/* Waits until PATH at VM gives STATUS; fails IN_FORCE_US after SINCE.  */
static void
wait_in_force (unsigned vm, const char *path, int status, gint64 since)
{
  while (status_at (vm, path) != status)
    {
      ck_assert_int_lt (g_get_monotonic_time () - since, IN_FORCE_US);
      g_usleep (10000);
    }
}

START_TEST (a_configuration_change_is_in_force_everywhere_in_time)
{
  gint64 since;

  ck_assert_int_eq (status_at (1, "/new/1"), 404);
  since = g_get_monotonic_time ();
  stage_configure (&stage, NEW_ROUTE);
  for (unsigned vm = 1; vm <= VMS; vm++)
    wait_in_force (vm, "/new/1", 200, since);
  since = g_get_monotonic_time ();
  stage_configure (&stage, "");
  for (unsigned vm = 1; vm <= VMS; vm++)
    wait_in_force (vm, "/new/1", 404, since);
}
END_TEST

static bool
all_watch (void *context)
{
  (void)context;
  return stage_watches (&stage) == VMS;
}

/* A watch misses a change, is cut, and the store drops its history.  The next
   watch would report the gap only at the next change, so the daemon must
   compare revisions after the cut.  */
START_TEST (a_change_in_a_gap_of_the_history_is_in_force_in_time)
{
  gint64 since;

  wait_until (all_watch, NULL);
  stage_mute_watches (&stage);
  stage_configure (&stage, NEW_ROUTE);
  g_usleep (200000);
  since = g_get_monotonic_time ();
  stage_drop_history (&stage);
  for (unsigned vm = 1; vm <= VMS; vm++)
    wait_in_force (vm, "/new/1", 200, since);
}
END_TEST

START_TEST (a_vm_without_the_store_learns_from_peers)
{
  gint64 since;

  stage_store_mode (&stage, 3,
                    _i == 0 ? STAGE_STORE_BUSY : STAGE_STORE_SILENT);
  g_usleep (500000);
  since = g_get_monotonic_time ();
  stage_configure (&stage, NEW_ROUTE);
  for (unsigned vm = 1; vm <= VMS; vm++)
    wait_in_force (vm, "/new/1", 200, since);
}
END_TEST

START_TEST (a_starting_daemon_learns_from_peers_while_the_store_is_down)
{
  for (unsigned vm = 1; vm <= VMS; vm++)
    stage_store_mode (&stage, vm, STAGE_STORE_BUSY);
  process_signal (&stage.daemons[3], SIGKILL);
  stage_start_daemon (&stage, 3);
  stage_wait_ready (&stage, 3);
  wait_in_force (3, "/read/1", 200, g_get_monotonic_time ());
}
END_TEST

START_TEST (an_unconfigured_daemon_answers_pipelined_requests_with_503)
{
  static const char requests[] = "GET /read/1 HTTP/1.1\r\nHost: alpha.test\r\n"
                                 "X-Cornelpick-Request-Id: p1\r\n\r\n"
                                 "GET /read/2 HTTP/1.1\r\nHost: alpha.test\r\n"
                                 "X-Cornelpick-Request-Id: p2\r\n\r\n";
  char answers[2048] = "";
  size_t length = 0;
  int fd;

  for (unsigned vm = 1; vm <= VMS; vm++)
    {
      stage_store_mode (&stage, vm, STAGE_STORE_BUSY);
      process_signal (&stage.daemons[vm], SIGKILL);
    }
  stage_start_daemon (&stage, 1);
  while (stage_counter (&stage, 1, "store_calls_total") == 0)
    g_usleep (10000);
  ck_assert (!stage_is_ready (&stage, 1));
  fd = stage_open (&stage, 1, 8000);
  ck_assert_int_gt (write (fd, requests, strlen (requests)), 0);
  while (strstr (answers, "p2") == NULL)
    {
      ssize_t count = read (fd, answers + length, sizeof answers - 1 - length);

      ck_assert_int_gt (count, 0);
      length += (size_t)count;
      answers[length] = '\0';
    }
  close (fd);
  ck_assert_ptr_nonnull (strstr (answers, "HTTP/1.1 503"));
  ck_assert_ptr_nonnull (strstr (answers, "Retry-After: "));
  ck_assert (strstr (answers, "p1") < strstr (answers, "p2"));
}
END_TEST

/* Makes CALLS calls.  Returns how many of them the server of VM ran.  */
static unsigned
runs_in_calls (unsigned vm, unsigned calls)
{
  unsigned before = stage_server_runs (&stage, vm);

  for (unsigned i = 0; i < calls; i++)
    ck_assert_int_eq (status_at (3, "/read/1"), 200);
  return stage_server_runs (&stage, vm) - before;
}

START_TEST (a_draining_server_gets_no_calls)
{
  ck_assert_uint_gt (runs_in_calls (1, 40), 0);
  stage_enter (&stage, 1, "draining");
  g_usleep (1500000);
  ck_assert_uint_eq (runs_in_calls (1, 40), 0);
}
END_TEST

/* Removes the entry of VM's server.  */
static void
remove_entry (unsigned vm)
{
  CP_AUTO_FREE char *entry = NULL;
  char instance[128];

  stage_server_header (&stage, vm, "X-Cornelpick-Expect-Instance", instance,
                       sizeof instance);
  entry = g_strdup_printf ("servers/%s", instance);
  stage_remove (&stage, entry);
}

START_TEST (a_server_whose_entry_was_removed_gets_no_calls)
{
  ck_assert_uint_gt (runs_in_calls (1, 40), 0);
  remove_entry (1);
  g_usleep (1500000);
  ck_assert_uint_eq (runs_in_calls (1, 40), 0);
}
END_TEST

static bool
knows_two_servers (void *context)
{
  (void)context;
  return stage_counter (&stage, 3, "servers") == 2;
}

/* One daemon is stopped and has no store.  The other daemons start after the
   entry was removed and never had it, so the removal must be learned from the
   absence of the entry.  */
START_TEST (a_removal_is_learned_from_daemons_that_started_after_it)
{
  ck_assert_uint_gt (runs_in_calls (1, 40), 0);
  stage_store_mode (&stage, 3, STAGE_STORE_SILENT);
  process_signal (&stage.daemons[3], SIGSTOP);
  remove_entry (1);
  for (unsigned vm = 1; vm <= 2; vm++)
    {
      process_signal (&stage.daemons[vm], SIGKILL);
      stage_start_daemon (&stage, vm);
      stage_wait_ready (&stage, vm);
    }
  kill (stage.daemons[3].pid, SIGCONT);
  wait_until (knows_two_servers, NULL);
}
END_TEST

/* Restarts both servers of alpha as new instances.  The entries of the old
   instances remain, as they do for some heartbeats in operation.  */
static void
restart_servers (void)
{
  for (unsigned vm = 1; vm <= 2; vm++)
    stage_server_stop (&stage, vm);
  g_usleep (300000);
  for (unsigned vm = 1; vm <= 2; vm++)
    stage_server_restart (&stage, vm);
  g_usleep (500000);
}

START_TEST (an_instance_that_has_ended_is_asked_for_once)
{
  restart_servers ();
  for (unsigned vm = 1; vm <= 3; vm++)
    ck_assert_int_eq (status_at (vm, "/read/1"), 503);
  for (unsigned vm = 1; vm <= 2; vm++)
    ck_assert_uint_eq (stage_server_misdirected (&stage, vm), 1);
}
END_TEST

static bool
knows_five_servers (void *context)
{
  (void)context;
  return stage_counter (&stage, 3, "servers") == 5;
}

START_TEST (the_later_born_of_two_servers_at_an_address_is_asked)
{
  restart_servers ();
  for (unsigned vm = 1; vm <= 2; vm++)
    stage_enter (&stage, vm, "ready");
  wait_until (knows_five_servers, NULL);
  for (unsigned i = 0; i < 40; i++)
    ck_assert_int_eq (status_at (3, "/read/1"), 200);
  for (unsigned vm = 1; vm <= 2; vm++)
    ck_assert_uint_eq (stage_server_misdirected (&stage, vm), 0);
}
END_TEST

/* A thread that makes one call.  */
static void *
make_slow_call (void *status)
{
  struct reply own;

  reply_init (&own);
  stage_call (&stage, &own, 3, "POST", "alpha.test", "/write/1?slow=700", "w1",
              "order");
  *(int *)status = own.status;
  reply_finish (&own);
  return NULL;
}

/* A server completes the calls that it runs after its entry was removed.  */
START_TEST (a_running_call_is_answered_after_its_servers_entry_is_removed)
{
  pthread_t thread;
  int status = 0;
  unsigned vm;

  ck_assert_int_eq (pthread_create (&thread, NULL, make_slow_call, &status),
                    0);
  while (stage_runs (&stage, "w1") == 0)
    g_usleep (10000);
  vm = stage_server_runs (&stage, 1) > 0 ? 1 : 2;
  remove_entry (vm);
  pthread_join (thread, NULL);
  ck_assert_int_eq (status, 200);
}
END_TEST

START_TEST (invalid_entries_and_configurations_are_ignored)
{
  static const char *const values[]
      = { "not json", "{\"service\":\"alpha\"}", "[]",
          "{\"service\":\"alpha\",\"address\":\"127.0.0.1:1\",\"zone\":"
          "\"zone-a\",\"version\":\"v1\",\"capacity\":\"13\",\"state\":"
          "\"ready\",\"warmupLeft\":\"0ms\",\"sequence\":4}",
          "{\"service\":\"alpha\",\"address\":\"127.0.0.1:1\",\"zone\":"
          "\"zone-a\",\"version\":\"v1\",\"capacity\":13,\"state\":"
          "\"dancing\",\"warmupLeft\":\"0ms\",\"sequence\":4}" };
  unsigned before;

  for (unsigned i = 0; i < G_N_ELEMENTS (values); i++)
    {
      CP_AUTO_FREE char *key = g_strdup_printf ("servers/forged-%u", i);

      stage_put (&stage, key, values[i]);
    }
  stage_put (&stage, "op/config", "{\"version\": 99, \"listeners\": 4}");
  g_usleep (700000);
  ck_assert_uint_eq (stage_counter (&stage, 3, "servers"), VMS);
  before = stage_server_runs (&stage, 1) + stage_server_runs (&stage, 2);
  ck_assert_uint_eq (runs_in_calls (3, 20), 0);
  ck_assert_uint_eq (stage_server_runs (&stage, 1)
                         + stage_server_runs (&stage, 2),
                     before + 20);
}
END_TEST

#define FAULTY_ROUTES                                                         \
  ",{\"name\":\"odd\",\"kind\":\"sometimes\",\"match\":{\"prefix\":"          \
  "\"/odd/\"},\"action\":{\"service\":\"alpha\",\"timeout\":\"2000ms\","      \
  "\"maxAttempts\":3}},{\"name\":\"bad\",\"kind\":\"idempotent\",\"match\":"  \
  "{\"prefix\":\"/bad/\"},\"action\":{\"service\":\"alpha\"}},"               \
  "{\"name\":\"new\",\"kind\":\"idempotent\",\"match\":{\"prefix\":"          \
  "\"/new/\"},\"action\":{\"weightedServices\":7,\"timeout\":\"2s\"}},"       \
  "{\"name\":\"lost\",\"kind\":\"idempotent\",\"action\":{}}"

/* Guards against daemons that refuse a whole configuration for one route, as
   they did for a route of an unknown kind, and against a route that goes out
   of service by a faulty change.  */
START_TEST (a_faulty_route_disables_only_itself)
{
  char value[32];
  gint64 since;

  stage_configure (&stage, NEW_ROUTE);
  wait_in_force (3, "/new/1", 200, g_get_monotonic_time ());
  since = g_get_monotonic_time ();
  stage_configure (&stage, FAULTY_ROUTES);
  wait_in_force (3, "/bad/1", 503, since);
  ck_assert (reply_header (&reply, "Retry-After", value, sizeof value));
  ck_assert_int_eq (status_at (3, "/read/1"), 200);
  ck_assert_int_eq (status_at (3, "/new/1"), 200);
  ck_assert_int_eq (status_at (3, "/odd/1"), 200);
  ck_assert_int_eq (status_at (3, "/lost/1"), 404);
  /* A request of an unknown kind runs at most once.  */
  stage_call (&stage, &reply, 3, "GET", "alpha.test", "/odd/1?error", "odd-1",
              NULL);
  ck_assert_int_eq (reply.status, 500);
  ck_assert_uint_eq (stage_runs (&stage, "odd-1"), 1);
  ck_assert_uint_eq (
      stage_counter (&stage, 3, "config_faults{effect=\"kind\"}"), 1);
  ck_assert_uint_eq (
      stage_counter (&stage, 3, "config_faults{effect=\"unusable\"}"), 1);
  ck_assert_uint_eq (
      stage_counter (&stage, 3, "config_faults{effect=\"kept\"}"), 1);
  ck_assert_uint_eq (
      stage_counter (&stage, 3, "config_faults{effect=\"left-out\"}"), 1);
}
END_TEST

START_TEST (traffic_is_split_exactly_by_weight)
{
  static const char weighted[]
      = ",{\"name\":\"mix\",\"kind\":\"idempotent\",\"targetLatency\":"
        "\"200ms\",\"priority\":1,\"match\":{\"prefix\":\"/mix/\"},\"action\":"
        "{\"weightedServices\":[{\"service\":\"alpha\",\"weight\":70},"
        "{\"service\":\"beta\",\"weight\":30}],\"timeout\":\"2000ms\","
        "\"maxAttempts\":2}}";
  unsigned before;

  stage_configure (&stage, weighted);
  wait_in_force (1, "/mix/1", 200, g_get_monotonic_time ());
  for (unsigned i = 0; i < 9; i++)
    ck_assert_int_eq (status_at (1, "/mix/1"), 200);
  before = stage_server_runs (&stage, 3);
  for (unsigned i = 0; i < 100; i++)
    ck_assert_int_eq (status_at (1, "/mix/1"), 200);
  ck_assert_uint_eq (stage_server_runs (&stage, 3) - before, 30);
}
END_TEST

static bool
is_normal (void *context)
{
  unsigned vm = *(const unsigned *)context;

  return stage_counter (&stage, vm, "server_slowness_percent") == 100;
}

/* A server that is left for being slow gets no request that would show that it
   is normal again, and no health check some seconds after its last request. */
START_TEST (a_slow_server_without_requests_is_found_normal_again)
{
  unsigned vm = 1;

  stage_server_slow (&stage, vm, 500);
  while (is_normal (&vm))
    status_at (vm, "/read/1");
  g_usleep (6000000);
  stage_server_slow (&stage, vm, 100);
  wait_until (is_normal, &vm);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, a_slow_server_without_requests_is_found_normal_again);
  tcase_add_test (tests,
                  a_configuration_change_is_in_force_everywhere_in_time);
  tcase_add_test (tests, a_change_in_a_gap_of_the_history_is_in_force_in_time);
  tcase_add_loop_test (tests, a_vm_without_the_store_learns_from_peers, 0, 2);
  tcase_add_test (tests,
                  a_starting_daemon_learns_from_peers_while_the_store_is_down);
  tcase_add_test (tests,
                  an_unconfigured_daemon_answers_pipelined_requests_with_503);
  tcase_add_test (tests, a_draining_server_gets_no_calls);
  tcase_add_test (tests, a_server_whose_entry_was_removed_gets_no_calls);
  tcase_add_test (tests,
                  a_removal_is_learned_from_daemons_that_started_after_it);
  tcase_add_test (tests, an_instance_that_has_ended_is_asked_for_once);
  tcase_add_test (tests, the_later_born_of_two_servers_at_an_address_is_asked);
  tcase_add_test (
      tests, a_running_call_is_answered_after_its_servers_entry_is_removed);
  tcase_add_test (tests, invalid_entries_and_configurations_are_ignored);
  tcase_add_test (tests, a_faulty_route_disables_only_itself);
  tcase_add_test (tests, traffic_is_split_exactly_by_weight);
}

int
main (void)
{
  return suite_run ("mesh_state", add_tests, 60);
}

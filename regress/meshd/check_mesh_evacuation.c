/* Evacuated failure domains and routes that name regions.  VM 2 alone is in
   zone-b; VMs 1 and 3 are in zone-a.  In one day of the platform, 5,420
   requests were sent to a domain after its evacuation was acknowledged.  */
#include <signal.h>
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/stage_fixture.h"

#define KEY_A "op/evacuate/zone-a"
#define KEY_B "op/evacuate/zone-b"

/* Maximum time from the acknowledgement of a change until it is in force.  */
#define BOUND_US 5000000

/* Time in which a domain that is brought back gets its full share.  */
#define RETURN_US 3000000

/* More than one server of the stage runs at once, and fewer than two do.  */
#define LONG_CALLS 13

#define EVACUATED "calls_refused_by_reason_total{reason=\"evacuated\"}"
#define JOBS_EVACUATED "jobs_refused_total{reason=\"evacuated\"}"
#define REGION "calls_refused_by_reason_total{reason=\"region\"}"

static unsigned n_calls;

static int
call_at (unsigned vm, const char *path)
{
  CP_AUTO_FREE char *id = g_strdup_printf ("e%u", ++n_calls);

  stage_call (&stage, &reply, vm, "GET", "alpha.test", path, id, NULL);
  return reply.status;
}

/* Makes CALLS calls through VM, all of which must succeed.  Returns how many
   of them the server of VM 2 ran.  */
static unsigned
runs_at_b (unsigned vm, unsigned calls)
{
  unsigned before = stage_server_runs (&stage, 2);

  for (unsigned i = 0; i < calls; i++)
    ck_assert_int_eq (call_at (vm, "/read/1"), 200);
  return stage_server_runs (&stage, 2) - before;
}

struct expected_domains
{
  unsigned vm;
  unsigned count;
};

static bool
has_evacuated (void *context)
{
  const struct expected_domains *expected = context;

  return stage_counter (&stage, expected->vm, "domains_evacuated")
         == expected->count;
}

/* Waits until all daemons know of COUNT evacuated domains.  */
static void
wait_evacuated (unsigned count)
{
  for (unsigned vm = 1; vm <= VMS; vm++)
    {
      struct expected_domains expected = { vm, count };

      wait_until (has_evacuated, &expected);
    }
}

static void
evacuate_b (void)
{
  gint64 since = g_get_monotonic_time ();

  stage_put (&stage, KEY_B, "{}");
  wait_evacuated (1);
  ck_assert_int_lt (g_get_monotonic_time () - since, BOUND_US);
}

/* Guards against requests that reach an evacuated domain from any daemon,
   also from its own; callers that enter there are served elsewhere.  */
START_TEST (an_evacuated_domain_gets_no_requests)
{
  ck_assert_uint_gt (runs_at_b (2, 20), 0);
  evacuate_b ();
  for (unsigned vm = 1; vm <= VMS; vm++)
    ck_assert_uint_eq (runs_at_b (vm, 40), 0);
  /* Any value counts, and a second evacuation changes nothing.  */
  stage_put (&stage, KEY_B, "no json");
  g_usleep (300000);
  ck_assert_uint_eq (runs_at_b (2, 20), 0);
  stage_remove (&stage, KEY_B);
  wait_evacuated (0);
  g_usleep (RETURN_US + 300000);
  ck_assert_uint_gt (runs_at_b (2, 20), 0);
}
END_TEST

/* One of many calls that are made at the same time.  */
struct long_call
{
  pthread_t thread;
  char id[16];
  int status;
  bool has_retry_after;
};

static void *
make_long_call (void *context)
{
  struct long_call *call = context;
  struct reply own;
  char value[32];

  reply_init (&own);
  stage_call (&stage, &own, 2, "POST", "alpha.test", "/long/1?slow=1600",
              call->id, "order");
  call->status = own.status;
  call->has_retry_after
      = reply_header (&own, "Retry-After", value, sizeof value);
  reply_finish (&own);
  return NULL;
}

static bool
have_arrived (void *context)
{
  (void)context;
  return stage_counter (&stage, 2, "jobs_running")
             + stage_counter (&stage, 2, "jobs_queued")
         == LONG_CALLS;
}

/* Sends calls to VM 2's server only.  Some of them wait there.  */
static void
begin_long_calls (struct long_call calls[LONG_CALLS])
{
  static const char route[]
      = ",{\"name\":\"long\",\"kind\":\"non_idempotent\",\"targetLatency\":"
        "\"9s\",\"priority\":1,\"match\":{\"prefix\":\"/long/\"},\"action\":{"
        "\"service\":\"alpha\",\"timeout\":\"9s\",\"maxAttempts\":1}}";

  stage_configure (&stage, route);
  stage_enter (&stage, 1, "draining");
  g_usleep (1500000);
  for (unsigned i = 0; i < LONG_CALLS; i++)
    {
      g_snprintf (calls[i].id, sizeof calls[i].id, "q%u", i);
      pthread_create (&calls[i].thread, NULL, make_long_call, &calls[i]);
    }
  wait_until (have_arrived, NULL);
  ck_assert_uint_gt (stage_counter (&stage, 2, "jobs_queued"), 0);
}

/* Ends the calls.  Those that were not answered have not run.  Returns how
   many were answered.  */
static unsigned
end_long_calls (struct long_call calls[LONG_CALLS])
{
  unsigned answered = 0;

  for (unsigned i = 0; i < LONG_CALLS; i++)
    {
      pthread_join (calls[i].thread, NULL);
      ck_assert (calls[i].status == 200 || calls[i].status == 503);
      ck_assert_uint_eq (stage_runs (&stage, calls[i].id),
                         calls[i].status == 200);
      ck_assert (calls[i].status == 200 || calls[i].has_retry_after);
      answered += calls[i].status == 200;
    }
  return answered;
}

/* Guards against queued requests that start at a server after its domain was
   evacuated, and against running ones that are cut off.  */
START_TEST (queued_requests_are_refused_and_running_ones_finish)
{
  struct long_call calls[LONG_CALLS] = { 0 };
  CP_AUTO_FREE char *path = g_strdup_printf ("%s/daemon-2.log", stage.folder);
  CP_AUTO_FREE char *log = NULL;
  CP_AUTO_FREE char *line = NULL;
  unsigned answered;
  unsigned refused;

  begin_long_calls (calls);
  stage_put (&stage, KEY_B, "{}");
  wait_evacuated (1);
  ck_assert_uint_eq (stage_counter (&stage, 2, "jobs_queued"), 0);
  answered = end_long_calls (calls);
  refused = LONG_CALLS - answered;
  ck_assert_uint_gt (answered, 0);
  ck_assert_uint_gt (refused, 0);
  ck_assert_uint_eq (stage_counter (&stage, 2, EVACUATED), refused);
  ck_assert_uint_eq (stage_counter (&stage, 2, JOBS_EVACUATED), refused);
  ck_assert (g_file_get_contents (path, &log, NULL, NULL));
  line = g_strdup_printf ("\"refused\":%u,\"running\":%u", refused, answered);
  ck_assert_msg (strstr (log, line) != NULL, "no %s in %s", line, log);
}
END_TEST

/* Guards against a refusal that counts as an arrival at the server: these
   calls may arrive at one only.  */
START_TEST (queued_requests_are_served_elsewhere)
{
  struct long_call calls[LONG_CALLS] = { 0 };

  begin_long_calls (calls);
  stage_enter (&stage, 1, "ready");
  g_usleep (500000);
  ck_assert_uint_eq (stage_server_runs (&stage, 1), 0);
  stage_put (&stage, KEY_B, "{}");
  wait_evacuated (1);
  ck_assert_uint_eq (end_long_calls (calls), LONG_CALLS);
  ck_assert_uint_gt (stage_server_runs (&stage, 1), 0);
  ck_assert_uint_gt (stage_counter (&stage, 2, JOBS_EVACUATED), 0);
}
END_TEST

/* Guards against requests that wait or are sent somewhere when no domain is
   left.  */
START_TEST (without_a_domain_requests_are_refused_at_once)
{
  gint64 since;
  char value[32];

  stage_put (&stage, KEY_A, "{}");
  stage_put (&stage, KEY_B, "{}");
  wait_evacuated (2);
  since = g_get_monotonic_time ();
  ck_assert_int_eq (call_at (3, "/read/1"), 503);
  ck_assert_int_lt (g_get_monotonic_time () - since, 200000);
  ck_assert (reply_header (&reply, "Retry-After", value, sizeof value));
  ck_assert_uint_eq (stage_counter (&stage, 3, EVACUATED), 1);
  ck_assert_uint_eq (stage_counter (&stage, 3, "attempts_total"), 0);
  /* An unknown domain changes nothing.  */
  stage_put (&stage, "op/evacuate/zone-x", "{}");
  wait_evacuated (3);
  stage_remove (&stage, KEY_A);
  wait_evacuated (2);
  ck_assert_int_eq (call_at (3, "/read/1"), 200);
}
END_TEST

/* Asserts that ANSWER tells of success.  Otherwise the reasons that the log of
   VM has for failures are shown.  */
static void
expect_served (const char *answer, unsigned vm)
{
  CP_AUTO_FREE char *path
      = g_strdup_printf ("%s/daemon-%u.log", stage.folder, vm);
  CP_AUTO_FREE char *log = NULL;
  const char *line;

  if (g_str_has_prefix (answer, "HTTP/1.1 200"))
    return;
  /* The line is written after the answer.  */
  g_usleep (300000);
  ck_assert (g_file_get_contents (path, &log, NULL, NULL));
  line = strstr (log, "\"kind\":\"failed\"");
  ck_abort_msg ("%s%.2000s", answer, line == NULL ? "no reason" : line);
}

/* Guards against requests that a daemon takes before it learns of an
   evacuation: the daemon beside the server refuses them, and they are served
   elsewhere.  */
START_TEST (a_daemon_that_learns_late_sends_nothing_to_the_server)
{
  enum
  {
    LATE = 20
  };
  static const char request[]
      = "POST /write/1 HTTP/1.1\r\nHost: alpha.test\r\n"
        "X-Cornelpick-Request-Id: late\r\n"
        "Content-Length: 0\r\n\r\n";
  unsigned before = stage_server_runs (&stage, 2);
  int fds[LATE];
  struct expected_domains expected = { 2, 1 };

  stage_store_mode (&stage, 3, STAGE_STORE_SILENT);
  process_signal (&stage.daemons[3], SIGSTOP);
  for (unsigned i = 0; i < LATE; i++)
    {
      fds[i] = stage_open (&stage, 3, 8000);
      ck_assert_int_gt (write (fds[i], request, strlen (request)), 0);
    }
  stage_put (&stage, KEY_B, "{}");
  wait_until (has_evacuated, &expected);
  kill (stage.daemons[3].pid, SIGCONT);
  for (unsigned i = 0; i < LATE; i++)
    {
      char answer[512] = "";

      ck_assert_int_gt (read (fds[i], answer, sizeof answer - 1), 0);
      expect_served (answer, 3);
      close (fds[i]);
    }
  ck_assert_uint_eq (stage_server_runs (&stage, 2), before);
}
END_TEST

/* Guards against a daemon that starts while the store is unavailable and sends
   requests to an evacuated domain, or lets them pass to its server.  */
START_TEST (a_starting_daemon_learns_of_evacuations_from_peers)
{
  evacuate_b ();
  for (unsigned vm = 1; vm <= VMS; vm++)
    stage_store_mode (&stage, vm, STAGE_STORE_BUSY);
  for (unsigned vm = 2; vm <= VMS; vm++)
    {
      struct expected_domains expected = { vm, 1 };

      process_signal (&stage.daemons[vm], SIGKILL);
      stage_start_daemon (&stage, vm);
      stage_wait_ready (&stage, vm);
      wait_until (has_evacuated, &expected);
      ck_assert_uint_eq (runs_at_b (vm, 20), 0);
    }
}
END_TEST

START_TEST (a_server_of_an_evacuated_domain_gets_no_health_checks)
{
  uint64_t probes;

  ck_assert_uint_gt (runs_at_b (2, 20), 0);
  evacuate_b ();
  probes = stage_counter (&stage, 2, "server_probes_total");
  g_usleep (1500000);
  ck_assert_uint_eq (stage_counter (&stage, 2, "server_probes_total"), probes);
  stage_remove (&stage, KEY_B);
  g_usleep (1500000);
  ck_assert_uint_gt (stage_counter (&stage, 2, "server_probes_total"), probes);
}
END_TEST

/* Guards against an evacuation that is lost with a copy of the store that
   lacks it, before its writer can write it again.  */
START_TEST (an_evacuation_that_a_copy_lacks_stays_for_a_time)
{
  gint64 since;

  stage_store_copy (&stage);
  evacuate_b ();
  since = g_get_monotonic_time ();
  stage_store_return (&stage);
  while (g_get_monotonic_time () - since < BOUND_US - 500000)
    for (unsigned vm = 1; vm <= VMS; vm++)
      ck_assert_uint_eq (runs_at_b (vm, 2), 0);
  wait_evacuated (0);
}
END_TEST

START_TEST (an_evacuation_that_a_copy_has_takes_effect_again)
{
  evacuate_b ();
  stage_store_copy (&stage);
  stage_remove (&stage, KEY_B);
  wait_evacuated (0);
  stage_store_return (&stage);
  wait_evacuated (1);
  ck_assert_uint_eq (runs_at_b (2, 20), 0);
  stage_remove (&stage, KEY_B);
  wait_evacuated (0);
}
END_TEST

static void
configure_region (const char *regions)
{
  CP_AUTO_FREE char *route = g_strdup_printf (
      ",{\"name\":\"bound\",\"kind\":\"idempotent\",\"targetLatency\":"
      "\"200ms\",\"priority\":1,\"match\":{\"prefix\":\"/bound/\"},"
      "\"allowedRegions\":%s,\"action\":{\"service\":\"alpha\",\"timeout\":"
      "\"2000ms\",\"maxAttempts\":3}}",
      regions);

  stage_configure (&stage, route);
  for (unsigned vm = 1; vm <= VMS; vm++)
    {
      stage_write_settings (&stage, vm,
                            ",\"region\":\"east\",\"zones\":{\"zone-a\":"
                            "\"east\",\"zone-b\":\"west\"}");
      kill (stage.daemons[vm].pid, SIGHUP);
    }
  g_usleep (1500000);
}

/* Guards against requests of a route that leave its regions.  */
START_TEST (a_route_is_served_in_its_regions_only)
{
  unsigned before;

  configure_region ("[\"west\",\"nowhere\"]");
  before = stage_server_runs (&stage, 1);
  for (unsigned i = 0; i < 20; i++)
    ck_assert_int_eq (call_at (1, "/bound/1"), 200);
  ck_assert_uint_eq (stage_server_runs (&stage, 1), before);
  evacuate_b ();
  ck_assert_int_eq (call_at (1, "/bound/1"), 503);
  ck_assert_uint_eq (stage_counter (&stage, 1, REGION), 1);
  ck_assert_int_eq (call_at (1, "/read/1"), 200);
}
END_TEST

static const char *const own_region_only[]
    = { "[]", "\"west\"", "[\"west\",7]", "null" };

/* Guards against a list of regions that cannot be read and allows more than
   the caller's own region.  */
START_TEST (an_invalid_list_of_regions_allows_the_own_region)
{
  unsigned before = stage_server_runs (&stage, 2);
  CP_AUTO_FREE char *path = g_strdup_printf ("%s/daemon-1.log", stage.folder);
  CP_AUTO_FREE char *log = NULL;

  configure_region (own_region_only[_i]);
  for (unsigned i = 0; i < 20; i++)
    ck_assert_int_eq (call_at (2, "/bound/1"), 200);
  ck_assert_uint_eq (stage_server_runs (&stage, 2), before);
  ck_assert (g_file_get_contents (path, &log, NULL, NULL));
  ck_assert_ptr_nonnull (strstr (log, "allowedRegions"));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, an_evacuated_domain_gets_no_requests);
  tcase_add_test (tests, queued_requests_are_refused_and_running_ones_finish);
  tcase_add_test (tests, queued_requests_are_served_elsewhere);
  tcase_add_test (tests, without_a_domain_requests_are_refused_at_once);
  tcase_add_test (tests,
                  a_daemon_that_learns_late_sends_nothing_to_the_server);
  tcase_add_test (tests, a_starting_daemon_learns_of_evacuations_from_peers);
  tcase_add_test (tests,
                  a_server_of_an_evacuated_domain_gets_no_health_checks);
  tcase_add_test (tests, an_evacuation_that_a_copy_lacks_stays_for_a_time);
  tcase_add_test (tests, an_evacuation_that_a_copy_has_takes_effect_again);
  tcase_add_test (tests, a_route_is_served_in_its_regions_only);
  tcase_add_loop_test (tests, an_invalid_list_of_regions_allows_the_own_region,
                       0, G_N_ELEMENTS (own_region_only));
}

int
main (void)
{
  return suite_run ("mesh_evacuation", add_tests, 60);
}

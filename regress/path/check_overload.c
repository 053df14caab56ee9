/* Probes, admission, retries and hedges, tested with real processes.  */
#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/harness.h"
#include "regress/harness/suite.h"

#define WINDOW_US 1000000
#define REFUSED_WAIT_US 2000
#define PROBES_PER_WINDOW 2 /* 12 ms/s allow two probes of 6 ms */

/* Returns the times at which the fake target's pages were read.  */
static json_t *
probe_times (struct fleet *fleet, unsigned vm)
{
  char address[56];
  struct reply reply;
  json_t *root;

  reply_init (&reply);
  http_call (&reply, fleet_address (fleet, vm, 8080, address), "GET",
             "/fake/probes", NULL, NULL, 5000);
  root = json_loads (reply.body->str, 0, NULL);
  reply_finish (&reply);
  ck_assert_ptr_nonnull (root);
  return root;
}

static unsigned
probe_count (struct fleet *fleet, unsigned vm)
{
  CP_AUTO_JSON json_t *root = probe_times (fleet, vm);

  return (unsigned)json_integer_value (json_object_get (root, "count"));
}

/* Checks that no window of 1 s contains more probes than the budget allows. */
static void
check_budget (struct fleet *fleet, unsigned vm)
{
  CP_AUTO_JSON json_t *root = probe_times (fleet, vm);
  json_t *times = json_object_get (root, "times_us");
  CP_AUTO_JSON json_t *state = fleet_state (fleet, vm);
  json_t *budget
      = json_object_get (json_object_get (state, "measuring"), "budget");

  for (size_t i = PROBES_PER_WINDOW; i < json_array_size (times); i++)
    ck_assert_int_ge (json_integer_value (json_array_get (times, i))
                          - json_integer_value (
                              json_array_get (times, i - PROBES_PER_WINDOW)),
                      WINDOW_US);
  ck_assert_int_eq (
      json_integer_value (json_object_get (budget, "overdrafts")), 0);
}

/* The number of probes that has_probes or was_hung waits for.  */
struct expected
{
  struct fleet *fleet;
  unsigned vm;
  unsigned probes;
};

static bool
has_probes (void *context)
{
  const struct expected *expected = context;

  return probe_count (expected->fleet, expected->vm) >= expected->probes;
}

static bool
was_hung (void *context)
{
  const struct expected *expected = context;

  return fleet_counter (expected->fleet, expected->vm, "probes_hung_total")
         >= expected->probes;
}

/* Makes one call and returns its status; OUTCOME may be NULL.  */
static int
call_once (struct fleet *fleet, unsigned vm, const char *method,
           const char *path, const char *body, char outcome[32])
{
  struct reply reply;
  int status;

  reply_init (&reply);
  fleet_call (fleet, &reply, vm, method, path, NULL, body);
  status = reply.status;
  if (outcome != NULL
      && !reply_header (&reply, "Cornelpick-Outcome", outcome, 32))
    outcome[0] = '\0';
  reply_finish (&reply);
  return status;
}

START_TEST (probes_stay_within_the_budget)
{
  struct fleet fleet;
  struct expected expected = { &fleet, 1, 6 };

  fleet_start (&fleet, 2, 2, NULL);
  /* Calls and changes of load make probes due.  */
  while (!has_probes (&expected))
    for (unsigned i = 0; i < 20; i++)
      call_once (&fleet, 1 + i % 2, "GET", "/items/1", NULL, NULL);
  check_budget (&fleet, 1);
  check_budget (&fleet, 2);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (a_hung_page_is_backed_off_and_calls_go_on)
{
  struct fleet fleet;
  struct expected expected = { &fleet, 1, 2 };
  unsigned answered = 0;

  fleet_start (&fleet, 1, 1, NULL);
  fleet_control (&fleet, 1, "{\"hang_pages\": true}");
  while (!was_hung (&expected))
    answered += call_once (&fleet, 1, "GET", "/items/1", NULL, NULL) == 200;
  ck_assert_uint_gt (answered, 0);
  ck_assert_int_eq (call_once (&fleet, 1, "GET", "/items/1", NULL, NULL), 200);
  check_budget (&fleet, 1);
  fleet_stop (&fleet);
}
END_TEST

static bool
pages_report_draining (struct fleet *fleet, unsigned vm)
{
  CP_AUTO_JSON json_t *state = fleet_state (fleet, vm);
  json_t *measuring = json_object_get (state, "measuring");

  return json_is_true (
      json_object_get (json_object_get (measuring, "pages"), "draining"));
}

START_TEST (a_draining_target_gets_no_new_work)
{
  struct fleet fleet;
  char outcome[32];
  unsigned runs_before;

  fleet_start (&fleet, 1, 1, NULL);
  ck_assert_int_eq (call_once (&fleet, 1, "GET", "/items/1", NULL, NULL), 200);
  runs_before = fleet_runs (&fleet, "GET");
  fleet_control (&fleet, 1, "{\"draining\": true}");
  /* The fake target refuses calls while it drains.  A draining target must be
     known within 3 s.  */
  g_usleep (3 * G_USEC_PER_SEC);
  ck_assert_int_eq (call_once (&fleet, 1, "GET", "/items/1", NULL, outcome),
                    503);
  ck_assert_str_eq (outcome, "not-run");
  ck_assert_uint_eq (fleet_runs (&fleet, "GET"), runs_before);
  /* Check the pages, not failed calls: which side refused depends on which
     report the outbound side had.  */
  ck_assert (pages_report_draining (&fleet, 1));
  fleet_stop (&fleet);
}
END_TEST

/* Concurrent callers at one VM, each with its own connection.  */
struct caller_group
{
  struct fleet *fleet;
  unsigned vm;
  unsigned calls; /* number per caller */
  bool stop;      /* ends the callers early */
  unsigned answered;
  unsigned refused; /* 503 with the outcome not-run */
  unsigned other;
};

struct group_caller
{
  pthread_t thread;
  struct caller_group *caller_group;
};

static void *
group_caller_run (void *context)
{
  struct caller_group *caller_group
      = ((struct group_caller *)context)->caller_group;

  for (unsigned i = 0; i < caller_group->calls; i++)
    {
      char outcome[32];
      int status;

      if (__atomic_load_n (&caller_group->stop, __ATOMIC_RELAXED))
        break;
      status = call_once (caller_group->fleet, caller_group->vm, "GET",
                          "/items/1", NULL, outcome);
      /* A caller that was refused waits before its next call.  */
      if (status != 200)
        g_usleep (REFUSED_WAIT_US);
      if (status == 200)
        __atomic_fetch_add (&caller_group->answered, 1, __ATOMIC_RELAXED);
      else if (status == 503 && strcmp (outcome, "not-run") == 0)
        __atomic_fetch_add (&caller_group->refused, 1, __ATOMIC_RELAXED);
      else
        __atomic_fetch_add (&caller_group->other, 1, __ATOMIC_RELAXED);
    }
  return NULL;
}

static void
group_start (struct caller_group *caller_group, struct group_caller *callers,
             unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      callers[i].caller_group = caller_group;
      pthread_create (&callers[i].thread, NULL, group_caller_run, &callers[i]);
    }
}

static void
group_join (struct group_caller *callers, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    pthread_join (callers[i].thread, NULL);
}

/* Leaves the service one target, on VM 1.  The others are moved to a second
   service, so that VM 1's daemon still knows their daemons.  */
static void
one_target (json_t *document)
{
  json_t *sections = json_object_get (document, "sections");
  json_t *shop = json_object_get (sections, "shop");
  json_t *side = json_deep_copy (shop);
  size_t i;
  json_t *route;

  json_object_del (json_object_get (shop, "targets"), "shop-2");
  json_object_del (json_object_get (shop, "targets"), "shop-3");
  json_object_set_new (shop, "slots", json_integer (4));
  json_object_del (json_object_get (side, "targets"), "shop-1");
  json_array_foreach (json_object_get (side, "routes"), i, route)
  {
    json_object_set_new (route, "host", json_string ("side.example"));
  }
  json_object_set_new (sections, "side", side);
}

START_TEST (a_flooding_vm_leaves_another_its_share)
{
  struct fleet fleet;
  struct caller_group flood = { .fleet = &fleet, .vm = 2, .calls = 100000 };
  struct caller_group small = { .fleet = &fleet, .vm = 3, .calls = 150 };
  struct group_caller flooders[24];
  struct group_caller caller;

  fleet_start (&fleet, 3, 3, one_target);
  fleet_control (&fleet, 1, "{\"service_ms\": 10, \"slots\": 4}");
  group_start (&flood, flooders, 24);
  while (fleet_counter (&fleet, 1, "refused_full_total") < 20)
    g_usleep (10000);
  group_start (&small, &caller, 1);
  group_join (&caller, 1);
  __atomic_store_n (&flood.stop, true, __ATOMIC_RELAXED);
  group_join (flooders, 24);
  /* One caller uses at most one of the four slots; its VM's share is two.  */
  ck_assert_uint_eq (small.answered, small.calls);
  ck_assert_uint_gt (flood.refused, 0);
  ck_assert_uint_eq (flood.other, 0);
  fleet_stop (&fleet);
}
END_TEST

/* Counts the lines of a target's journal.  */
static unsigned
journal_lines (struct fleet *fleet, unsigned vm)
{
  char address[56];
  struct reply reply;
  unsigned lines = 0;

  reply_init (&reply);
  http_call (&reply, fleet_address (fleet, vm, 8080, address), "GET",
             "/fake/journal", NULL, NULL, 10000);
  for (const char *at = reply.body->str; (at = strchr (at, '\n')) != NULL;
       at++)
    lines++;
  reply_finish (&reply);
  return lines;
}

START_TEST (shed_calls_are_not_run)
{
  struct fleet fleet;
  struct caller_group caller_group = { .fleet = &fleet, .vm = 2, .calls = 40 };
  struct group_caller callers[24];

  fleet_start (&fleet, 3, 3, one_target);
  fleet_control (&fleet, 1, "{\"service_ms\": 10, \"slots\": 4}");
  group_start (&caller_group, callers, 24);
  group_join (callers, 24);
  ck_assert_uint_gt (caller_group.refused, 0);
  ck_assert_uint_eq (caller_group.other, 0);
  ck_assert_uint_eq (caller_group.answered + caller_group.refused, 24 * 40);
  /* A run without an answer would be a hedge or a retry, and there is no other
     target for one.  */
  ck_assert_uint_eq (journal_lines (&fleet, 1), caller_group.answered);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (retries_and_hedges_add_at_most_their_shares)
{
  struct fleet fleet;
  struct caller_group caller_group
      = { .fleet = &fleet, .vm = 1, .calls = 300 };
  struct group_caller callers[4];
  uint64_t calls;
  uint64_t retries;
  uint64_t hedges;

  fleet_start (&fleet, 3, 3, NULL);
  /* One target is slow, one never answers.  */
  fleet_control (&fleet, 2, "{\"service_ms\": 30}");
  fleet_control (&fleet, 3, "{\"mode\": \"silent\"}");
  group_start (&caller_group, callers, 4);
  group_join (callers, 4);
  calls = fleet_counter (&fleet, 1, "calls_total");
  retries = fleet_counter (&fleet, 1, "retries_total");
  hedges = fleet_counter (&fleet, 1, "hedges_total");
  ck_assert_uint_eq (calls, 4 * 300);
  ck_assert_uint_le (retries, 10 + calls / 10);
  ck_assert_uint_le (hedges, calls / 20);
  ck_assert_uint_eq (fleet_counter (&fleet, 1, "attempts_total"),
                     calls + retries + hedges);
  fleet_stop (&fleet);
}
END_TEST

/* Returns whether VM 2's target has no call in flight.  */
static bool
target_is_free (void *context)
{
  struct fleet *fleet = context;
  CP_AUTO_JSON json_t *state = fleet_state (fleet, 2);
  json_t *admission
      = json_object_get (json_object_get (state, "inbound"), "admission");

  return json_integer_value (json_object_get (admission, "in_flight")) == 0;
}

static json_int_t
hedges_won (struct fleet *fleet, unsigned vm)
{
  CP_AUTO_JSON json_t *state = fleet_state (fleet, vm);
  json_t *policies = json_object_get (state, "policies");
  json_t *hedge
      = json_object_get (json_object_get (policies, "shop"), "hedge");

  return json_integer_value (json_object_get (hedge, "won"));
}

START_TEST (a_hedge_wins_and_the_loser_is_cancelled)
{
  struct fleet fleet;
  struct caller_group caller_group = { .fleet = &fleet, .vm = 2, .calls = 60 };
  struct group_caller callers[6];

  fleet_start (&fleet, 2, 2, NULL);
  fleet_control (&fleet, 1, "{\"service_ms\": 5}");
  fleet_control (&fleet, 2, "{\"service_ms\": 5}");
  group_start (&caller_group, callers, 6);
  group_join (callers, 6);
  ck_assert_uint_eq (caller_group.answered, 6 * 60);
  /* The target on VM 2 accepts calls and never answers.  With several
     concurrent callers the picker uses it even if it prefers the other one.  A
     call sent there is answered only when its hedge wins.  */
  fleet_control (&fleet, 2, "{\"mode\": \"silent\"}");
  group_start (&caller_group, callers, 6);
  group_join (callers, 6);
  ck_assert_int_gt (hedges_won (&fleet, 2), 0);
  wait_until (target_is_free, &fleet);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (a_call_that_is_given_up_is_answered_at_once)
{
  struct fleet fleet;
  struct reply reply;
  char value[64];
  gint64 before;

  fleet_start (&fleet, 1, 1, NULL);
  process_signal (&fleet.targets[1], SIGKILL);
  reply_init (&reply);
  before = g_get_monotonic_time ();
  fleet_call (&fleet, &reply, 1, "POST", "/orders", NULL, "leopard");
  ck_assert_int_eq (reply.status, 503);
  /* The answer must come before the deadline of this route, 10 s.  */
  ck_assert_int_lt (g_get_monotonic_time () - before, 10 * G_USEC_PER_SEC);
  ck_assert (reply_header (&reply, "Cornelpick-Outcome", value, sizeof value));
  ck_assert_str_eq (value, "not-run");
  ck_assert (reply_header (&reply, "Retry-After", value, sizeof value));
  ck_assert_int_ge (atoi (value), 1);
  ck_assert_int_le (atoi (value), 10);
  reply_finish (&reply);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (calls_that_forbid_retries_are_not_retried)
{
  struct fleet fleet;
  struct reply reply;

  fleet_start (&fleet, 2, 2, NULL);
  process_signal (&fleet.targets[1], SIGKILL);
  process_signal (&fleet.targets[2], SIGKILL);
  reply_init (&reply);
  for (unsigned i = 0; i < 10; i++)
    {
      fleet_call (&fleet, &reply, 1, "GET", "/items/1",
                  "Cornelpick-Retry: none", NULL);
      ck_assert_int_eq (reply.status, 503);
    }
  ck_assert_uint_eq (fleet_counter (&fleet, 1, "retries_total"), 0);
  ck_assert_uint_eq (fleet_counter (&fleet, 1, "hedges_total"), 0);
  reply_finish (&reply);
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, probes_stay_within_the_budget);
  tcase_add_test (tests, a_hung_page_is_backed_off_and_calls_go_on);
  tcase_add_test (tests, a_draining_target_gets_no_new_work);
  tcase_add_test (tests, a_flooding_vm_leaves_another_its_share);
  tcase_add_test (tests, shed_calls_are_not_run);
  tcase_add_test (tests, retries_and_hedges_add_at_most_their_shares);
  tcase_add_test (tests, a_hedge_wins_and_the_loser_is_cancelled);
  tcase_add_test (tests, a_call_that_is_given_up_is_answered_at_once);
  tcase_add_test (tests, calls_that_forbid_retries_are_not_retried);
}

int
main (void)
{
  return suite_run ("overload", add_tests, 120);
}

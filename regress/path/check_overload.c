/* Measuring, admission, retries and hedges over real processes.  */
#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/harness.h"
#include "regress/harness/suite.h"

#define WINDOW_US 1000000
#define PROBES_PER_WINDOW 2 /* 12 ms/s allow two probes of 6 ms */

/* Reads when the stand-in's pages were read.  */
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

/* Checks that no window of 1 s holds more readings than the budget allows. */
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

/* What a test waits for.  */
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

START_TEST (the_budget_holds_by_the_target_s_own_count)
{
  struct fleet fleet;
  struct expected expected = { &fleet, 1, 6 };

  fleet_start (&fleet, 2, 2, NULL);
  /* Calls and changes of load make readings worth it.  */
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
  unsigned good = 0;

  fleet_start (&fleet, 1, 1, NULL);
  fleet_control (&fleet, 1, "{\"hang_pages\": true}");
  while (!was_hung (&expected))
    good += call_once (&fleet, 1, "GET", "/items/1", NULL, NULL) == 200;
  ck_assert_uint_gt (good, 0);
  ck_assert_int_eq (call_once (&fleet, 1, "GET", "/items/1", NULL, NULL), 200);
  check_budget (&fleet, 1);
  fleet_stop (&fleet);
}
END_TEST

/* Returns whether VM 1's outbound side knows that the target leaves; then it
   sends the call to no inbound side that could count a refusal.  */
static bool
is_seen_leaving (struct fleet *fleet)
{
  json_t *state = fleet_state (fleet, 1);
  json_t *services
      = json_object_get (json_object_get (state, "outbound"), "services");
  json_t *target = json_array_get (json_object_get (services, "shop"), 0);
  const char *health = json_string_value (json_object_get (target, "health"));
  bool leaving = health != NULL && strcmp (health, "leaving") == 0;

  json_decref (state);
  return leaving;
}

START_TEST (a_target_that_says_it_leaves_gets_no_new_work)
{
  struct fleet fleet;
  char outcome[32];
  unsigned at_first;

  fleet_start (&fleet, 1, 1, NULL);
  ck_assert_int_eq (call_once (&fleet, 1, "GET", "/items/1", NULL, NULL), 200);
  at_first = fleet_runs (&fleet, "GET");
  fleet_control (&fleet, 1, "{\"draining\": true}");
  /* The stand-in refuses while it drains; the promise is 3 s.  */
  g_usleep (3 * G_USEC_PER_SEC);
  ck_assert_int_eq (call_once (&fleet, 1, "GET", "/items/1", NULL, outcome),
                    503);
  ck_assert_str_eq (outcome, "not-run");
  ck_assert_uint_eq (fleet_runs (&fleet, "GET"), at_first);
  ck_assert_msg (fleet_counter (&fleet, 1, "refused_leaving_total") >= 1
                     || is_seen_leaving (&fleet),
                 "neither side knows that the target leaves");
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, the_budget_holds_by_the_target_s_own_count);
  tcase_add_test (tests, a_hung_page_is_backed_off_and_calls_go_on);
  tcase_add_test (tests, a_target_that_says_it_leaves_gets_no_new_work);
}

int
main (void)
{
  return suite_run ("overload", add_tests, 120);
}

/* Callers that leave, and deadlines.  */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "regress/harness/campaign.h"
#include "regress/harness/suite.h"

#define LEAVE_MS 300

/* Waits until no call is in flight at an inbound side.  */
static bool
is_free (void *context)
{
  json_t *state = fleet_state (context, 2);
  json_t *inbound = json_object_get (state, "inbound");
  bool none = json_integer_value (json_object_get (inbound, "in_flight")) == 0;

  json_decref (state);
  return none;
}

START_TEST (a_caller_that_leaves_cancels_at_the_target)
{
  static struct fleet fleet;
  struct reply reply;
  char address[56];

  fleet_start (&fleet, 2, 2, campaign_gate);
  fleet_control (&fleet, 2, "{\"fixed_ms\": 8000}");
  reply_init (&reply);
  http_call (&reply, fleet_address (&fleet, 1, 8000, address), "POST",
             "/orders", "Host: shop.example", "leopard", LEAVE_MS);
  ck_assert_int_eq (reply.status, 0);
  wait_until (is_free, &fleet);
  http_call (&reply, fleet_address (&fleet, 2, 8080, address), "GET",
             "/fake/journal", NULL, NULL, 5000);
  ck_assert_ptr_nonnull (strstr (reply.body->str, "POST"));
  ck_assert_msg (strstr (reply.body->str, "ended") == NULL, "%s",
                 reply.body->str);
  reply_finish (&reply);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (no_attempt_starts_without_time)
{
  static struct fleet fleet;
  struct reply reply;
  char outcome[16];
  char address[56];

  fleet_start (&fleet, 2, 2, campaign_gate);
  reply_init (&reply);
  fleet_call (&fleet, &reply, 1, "POST", "/orders",
              "Cornelpick-Remaining-Ms: 0", "leopard");
  ck_assert_int_eq (reply.status, 504);
  ck_assert (
      reply_header (&reply, "Cornelpick-Outcome", outcome, sizeof outcome));
  ck_assert_str_eq (outcome, "not-run");
  http_call (&reply, fleet_address (&fleet, 2, 8080, address), "GET",
             "/fake/journal", NULL, NULL, 5000);
  ck_assert_ptr_null (strstr (reply.body->str, "POST"));
  reply_finish (&reply);
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, a_caller_that_leaves_cancels_at_the_target);
  tcase_add_test (tests, no_attempt_starts_without_time);
}

int
main (void)
{
  return suite_run ("attempts_cancel", add_tests, 90);
}

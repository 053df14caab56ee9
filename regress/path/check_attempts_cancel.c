/* Cancellation when a caller disconnects, and deadlines.  */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib/address.h"
#include "regress/harness/campaign.h"
#include "regress/harness/script_target.h"
#include "regress/harness/suite.h"

#define DISCONNECT_MS 300
#define DISCONNECT_DELAY_MS 20
#define LATE_BODIES 40
#define LATE_STEP_US 50
#define HOPS 12

/* Returns whether no call is in flight at VM 2's inbound side.  */
static bool
is_idle (void *context)
{
  json_t *state = fleet_state (context, 2);
  json_t *inbound = json_object_get (state, "inbound");
  bool none = json_integer_value (json_object_get (inbound, "in_flight")) == 0;

  json_decref (state);
  return none;
}

START_TEST (a_caller_that_disconnects_cancels_at_the_target)
{
  static struct fleet fleet;
  struct reply reply;
  char address[56];

  fleet_start (&fleet, 2, 2, campaign_gate);
  fleet_control (&fleet, 2, "{\"fixed_ms\": 8000}");
  reply_init (&reply);
  http_call (&reply, fleet_address (&fleet, 1, 8000, address), "POST",
             "/orders", "Host: shop.example", "leopard", DISCONNECT_MS);
  ck_assert_int_eq (reply.status, 0);
  wait_until (is_idle, &fleet);
  http_call (&reply, fleet_address (&fleet, 2, 8080, address), "GET",
             "/fake/journal", NULL, NULL, 5000);
  ck_assert_ptr_nonnull (strstr (reply.body->str, "POST"));
  ck_assert_msg (strstr (reply.body->str, "ended") == NULL, "%s",
                 reply.body->str);
  reply_finish (&reply);
  fleet_stop (&fleet);
}
END_TEST

/* Sends an order, its body PAUSE_US after its head, and disconnects.  */
static void
send_in_parts_and_disconnect (struct fleet *fleet, unsigned pause_us)
{
  static const char head[] = "POST /orders HTTP/1.1\r\nHost: shop.example\r\n"
                             "Content-Length: 7\r\n\r\n";
  struct cp_address address;
  char text[56];
  int fd;

  ck_assert (
      cp_address_parse (&address, fleet_address (fleet, 1, 8000, text)));
  fd = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (connect (fd, &address.socket.any, address.length), 0);
  ck_assert_int_eq (send (fd, head, sizeof head - 1, 0), sizeof head - 1);
  g_usleep (pause_us);
  ck_assert_int_eq (send (fd, "leopard", 7, 0), 7);
  g_usleep (DISCONNECT_DELAY_MS * 1000);
  close (fd);
}

START_TEST (a_caller_whose_body_came_late_cancels_at_the_target)
{
  static struct fleet fleet;
  struct reply reply;
  char address[56];

  fleet_start (&fleet, 2, 2, campaign_gate);
  fleet_control (&fleet, 2, "{\"fixed_ms\": 8000}");
  /* The body arrives before, during and after the connection between the
     daemons is set up.  */
  for (unsigned i = 0; i < LATE_BODIES; i++)
    send_in_parts_and_disconnect (&fleet, i * LATE_STEP_US);
  wait_until (is_idle, &fleet);
  reply_init (&reply);
  http_call (&reply, fleet_address (&fleet, 2, 8080, address), "GET",
             "/fake/journal", NULL, NULL, 5000);
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

/* A fleet whose targets make a further call through daemon 1.  */
struct chain
{
  struct fleet fleet;
  struct script_target targets[5];
};

static void
chain_start (struct chain *chain)
{
  char next[56];
  char address[56];

  fleet_start (&chain->fleet, 4, 4, campaign_gate);
  for (unsigned vm = 2; vm <= 4; vm++)
    {
      process_signal (&chain->fleet.targets[vm], SIGKILL);
      script_target_start_chained (
          &chain->targets[vm],
          fleet_address (&chain->fleet, vm, 8080, address),
          fleet_address (&chain->fleet, 1, 8000, next));
    }
}

static void
chain_stop (struct chain *chain)
{
  fleet_stop (&chain->fleet);
  for (unsigned vm = 2; vm <= 4; vm++)
    script_target_stop (&chain->targets[vm]);
}

START_TEST (deadlines_shrink_over_twelve_hops)
{
  static struct chain chain;
  struct reply reply;
  char *at;
  long last;
  unsigned hops = 0;

  chain_start (&chain);
  reply_init (&reply);
  fleet_call (&chain.fleet, &reply, 1, "GET", "/items/chain",
              "Test-Depth: 12\nCornelpick-Remaining-Ms: 1500", NULL);
  ck_assert_msg (reply.status == 200, "%d %s", reply.status, reply.body->str);
  last = 1501;
  for (at = reply.body->str; *at != '\0'; hops++)
    {
      long left = strtol (at, &at, 10);

      ck_assert_int_lt (left, last);
      last = left - CHAIN_WORK_US / 1000 + 1;
      at += strspn (at, "\n");
    }
  ck_assert_uint_eq (hops, HOPS);
  reply_finish (&reply);
  chain_stop (&chain);
}
END_TEST

START_TEST (a_chain_ends_when_its_time_is_over)
{
  static struct chain chain;
  struct reply reply;

  chain_start (&chain);
  reply_init (&reply);
  fleet_call (&chain.fleet, &reply, 1, "GET", "/items/chain",
              "Test-Depth: 12\nCornelpick-Remaining-Ms: 40", NULL);
  ck_assert_int_ge (reply.status, 500);
  for (unsigned vm = 1; vm <= 4; vm++)
    ck_assert_uint_eq (fleet_counter (&chain.fleet, vm, "late_starts_total"),
                       0);
  reply_finish (&reply);
  chain_stop (&chain);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, a_caller_that_disconnects_cancels_at_the_target);
  tcase_add_test (tests, a_caller_whose_body_came_late_cancels_at_the_target);
  tcase_add_test (tests, no_attempt_starts_without_time);
  tcase_add_test (tests, deadlines_shrink_over_twelve_hops);
  tcase_add_test (tests, a_chain_ends_when_its_time_is_over);
}

int
main (void)
{
  return suite_run ("attempts_cancel", add_tests, 90);
}

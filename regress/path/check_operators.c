/* Tests the output of cornelpick state and explain on a running fleet.  */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/command.h"
#include "regress/harness/harness.h"
#include "regress/harness/suite.h"

#define PORT_ADMIN 7402
#define PORT_TARGET 8080
#define RING_RECORDS 4096
#define UNKNOWN_ID "0123456789abcdef0123456789abcdef"

START_TEST (state_shows_every_part)
{
  struct fleet fleet;
  char admin[56];
  char id[64];
  struct result result;
  json_t *dump;

  fleet_start (&fleet, 2, 2, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  ck_assert_int_eq (call_for_id (&fleet, "GET", "/items/1", id), 200);
  result = command_run_with ("state", admin, NULL);
  ck_assert_int_eq (result.status, 0);
  assert_has (result.out, "vm             vm-1 (domain-1)");
  assert_has (result.out, "life           serving");
  assert_has (result.out, "configuration  version 1, hash ");
  assert_has (result.out, "decisions      ");
  assert_has (result.out, "outbound       ");
  assert_has (result.out, "shop-2");
  assert_has (result.out, "inbound        shop-1: ");
  assert_has (result.out, "connections    ");
  result_release (&result);
  result = command_run_with ("state", "--json", admin, NULL);
  dump = json_loads (result.out, JSON_REJECT_DUPLICATES, NULL);
  ck_assert_ptr_nonnull (json_object_get (dump, "uptime_us"));
  ck_assert_ptr_nonnull (json_object_get (dump, "decisions"));
  json_decref (dump);
  result_release (&result);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (explain_tells_a_call_across_its_hops)
{
  struct fleet fleet;
  char admin[56];
  char id[64];
  struct result result;
  json_t *records;

  fleet_start (&fleet, 2, 2, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  ck_assert_int_eq (call_for_id (&fleet, "POST", "/orders", id), 200);
  result = command_run_with ("explain", admin, id, NULL);
  ck_assert_msg (result.status == 0, "%s%s", result.out, result.err);
  assert_has (result.out, id);
  assert_has (result.out, "Sent attempt ");
  assert_has (result.out, "Admitted attempt ");
  assert_has (result.out, "sent by vm-1");
  assert_has (result.out, "with status 200: ran");
  assert_has (result.out, "What proves it");
  assert_has (result.out, "came whole, and its inbound side saw it end");
  result_release (&result);
  result = command_run_with ("explain", "--json", admin, id, NULL);
  records = json_loads (result.out, JSON_REJECT_DUPLICATES, NULL);
  ck_assert_uint_eq (json_array_size (json_object_get (records, "hops")), 1);
  json_decref (records);
  result_release (&result);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (explain_tells_what_proves_that_a_call_did_not_run)
{
  struct fleet fleet;
  char admin[56];
  char id[64];
  struct result result;

  fleet_start (&fleet, 1, 1, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  process_signal (&fleet.targets[1], SIGKILL);
  ck_assert_int_eq (call_for_id (&fleet, "POST", "/orders", id), 503);
  result = command_run_with ("explain", admin, id, NULL);
  assert_has (result.out, "did not run: the inbound side of shop-1 refused");
  assert_has (result.out, "with status 503: not-run");
  result_release (&result);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (explain_tells_that_a_call_may_have_run)
{
  struct fleet fleet;
  char admin[56];
  char id[64];
  struct reply reply;
  struct result result;

  fleet_start (&fleet, 1, 1, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  fleet_control (&fleet, 1, "{\"mode\": \"silent\"}");
  reply_init (&reply);
  fleet_call (&fleet, &reply, 1, "POST", "/orders",
              "Cornelpick-Remaining-Ms: 500", "leopard");
  ck_assert (reply_header (&reply, "Cornelpick-Request", id, sizeof id));
  reply_finish (&reply);
  result = command_run_with ("explain", admin, id, NULL);
  assert_has (result.out, "may have run at shop-1");
  assert_has (result.out, ": unknown");
  result_release (&result);
  fleet_stop (&fleet);
}
END_TEST

/* A call that VM 2 served, and its ID.  */
struct vm_2_search
{
  struct fleet *fleet;
  char id[64];
};

/* Calls through VM 1; returns whether VM 2 served it.  */
static bool
vm_2_served_call (void *context)
{
  struct vm_2_search *vm_2_search = context;
  struct reply reply;
  char path[128] = "";
  bool there;

  reply_init (&reply);
  fleet_call (vm_2_search->fleet, &reply, 1, "GET", "/items/1", NULL, NULL);
  reply_header (&reply, "Cornelpick-Path", path, sizeof path);
  there = strstr (path, "vm-2") != NULL;
  if (there)
    reply_header (&reply, "Cornelpick-Request", vm_2_search->id, 64);
  reply_finish (&reply);
  return there;
}

START_TEST (explain_says_which_daemon_can_not_be_asked)
{
  struct fleet fleet;
  char admin[56];
  char other[56];
  struct result result;
  struct vm_2_search vm_2_search = { .fleet = &fleet };
  const char *id = vm_2_search.id;

  fleet_start (&fleet, 2, 1, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  fleet_address (&fleet, 2, PORT_ADMIN, other);
  wait_until (vm_2_served_call, &vm_2_search);
  result = command_run_with ("explain", other, id, NULL);
  ck_assert_int_eq (result.status, 0);
  assert_has (result.out, "vm-1 sent it here; ask that daemon");
  result_release (&result);
  process_signal (&fleet.daemons[2], SIGKILL);
  result = command_run_with ("explain", admin, id, NULL);
  ck_assert_int_eq (result.status, 1);
  assert_has (result.out, "Not available: ");
  assert_has (result.out, other);
  assert_has (result.out, "--admin-port");
  result_release (&result);
  fleet_stop (&fleet);
}
END_TEST

/* A call that needed a second attempt, and its ID.  */
struct retried
{
  struct fleet *fleet;
  char id[64];
};

/* Calls through VM 1; returns whether the call was sent twice.  */
static bool
was_retried (void *context)
{
  struct retried *retried = context;
  uint64_t before = fleet_counter (retried->fleet, 1, "retries_total");

  call_for_id (retried->fleet, "GET", "/items/1", retried->id);
  return fleet_counter (retried->fleet, 1, "retries_total") > before;
}

START_TEST (explain_tells_each_attempt_of_a_call)
{
  struct fleet fleet;
  struct retried retried = { .fleet = &fleet };
  char admin[56];
  struct result result;
  const char *refused;

  fleet_start (&fleet, 2, 1, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  process_signal (&fleet.targets[2], SIGKILL);
  wait_until (was_retried, &retried);
  result = command_run_with ("explain", admin, retried.id, NULL);
  ck_assert_int_eq (result.status, 0);
  refused = strstr (result.out, "inbound side of shop-2");
  ck_assert_ptr_nonnull (refused);
  assert_has (refused, "Refused attempt ");
  assert_has (refused, "inbound side of shop-1");
  assert_has (refused, "did not run: the inbound side of shop-2 refused it");
  assert_has (refused, "ran: the answer of shop-1 came whole");
  result_release (&result);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (bad_input_gives_one_line_with_the_remedy)
{
  struct fleet fleet;
  char admin[56];
  char target[56];
  char unused_address[56];

  fleet_start (&fleet, 1, 1, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  fleet_address (&fleet, 1, PORT_TARGET, target);
  fleet_address (&fleet, 99, PORT_ADMIN, unused_address);
  assert_fault (command_run_with ("explain", admin, UNKNOWN_ID, NULL), 1,
                "was never seen by");
  assert_fault (command_run_with ("explain", admin, "12", NULL), 2,
                "is not a request ID");
  assert_fault (command_run_with ("explain", unused_address, UNKNOWN_ID, NULL),
                1, "check that the daemon runs");
  assert_fault (command_run_with ("explain", "localhost", UNKNOWN_ID, NULL), 2,
                "is no IP number with port");
  assert_fault (command_run_with ("state", unused_address, NULL), 1,
                "does not answer");
  assert_fault (command_run_with ("state", target, NULL), 1,
                "admin address of a daemon");
  assert_fault (command_run_with ("state", "127.0.0.1", NULL), 2,
                "is no IP number");
  assert_fault (command_run_with ("top", "nonsense", NULL), 2,
                "is no IP number");
  fleet_stop (&fleet);
}
END_TEST

START_TEST (an_id_that_left_the_ring_is_said_to_be_gone)
{
  struct fleet fleet;
  char admin[56];
  char first[64];
  char id[64];

  fleet_start (&fleet, 1, 1, NULL);
  fleet_control (&fleet, 1, "{\"service_ms\": 0}");
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  call_for_id (&fleet, "GET", "/items/1", first);
  for (unsigned i = 0; i < RING_RECORDS / 4; i++)
    call_for_id (&fleet, "GET", "/items/1", id);
  assert_fault (command_run_with ("explain", admin, first, NULL), 1,
                "is not among the last 4096 records");
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, state_shows_every_part);
  tcase_add_test (tests, explain_tells_a_call_across_its_hops);
  tcase_add_test (tests, explain_tells_what_proves_that_a_call_did_not_run);
  tcase_add_test (tests, explain_tells_that_a_call_may_have_run);
  tcase_add_test (tests, explain_says_which_daemon_can_not_be_asked);
  tcase_add_test (tests, explain_tells_each_attempt_of_a_call);
  tcase_add_test (tests, bad_input_gives_one_line_with_the_remedy);
  tcase_add_test (tests, an_id_that_left_the_ring_is_said_to_be_gone);
}

int
main (void)
{
  return suite_run ("operators", add_tests, 120);
}

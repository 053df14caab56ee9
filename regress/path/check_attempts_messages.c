/* Attempts and fences that arrive late, twice or out of order.  */
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "lib/clock.h"
#include "regress/harness/suite.h"
#include "regress/harness/wire.h"
#include "rpc/cornelpick.h"

#define DEADLINE_US (2 * CP_US_PER_S)
#define SHORT_US (300 * CP_US_PER_MS)

static const char request_id[] = "0123456789abcdef0123456789abcdef";

static struct wire_attempt
order (struct fleet *fleet, const char *attempt_id, uint64_t time_us)
{
  return (struct wire_attempt){ .method = "POST",
                                .path = "/orders",
                                .request = request_id,
                                .attempt = attempt_id,
                                .incarnation = wire_incarnation (fleet, 2),
                                .remaining_us = time_us,
                                .start_by_us = wire_now_us () + time_us,
                                .body = "leopard" };
}

START_TEST (an_attempt_sent_twice_runs_once)
{
  struct fleet fleet;
  GString *answer = g_string_new (NULL);
  struct wire_attempt attempt;

  fleet_start (&fleet, 2, 2, NULL);
  attempt = order (&fleet, "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa", DEADLINE_US);
  ck_assert_int_eq (wire_attempt (&fleet, 2, &attempt, answer), 200);
  ck_assert_int_eq (wire_attempt (&fleet, 2, &attempt, answer), 409);
  ck_assert_ptr_nonnull (strstr (answer->str, "Cornelpick-Outcome: unknown"));
  ck_assert_uint_eq (fleet_runs (&fleet, request_id), 1);
  g_string_free (answer, TRUE);
  fleet_stop (&fleet);
}
END_TEST

/* Sends an order to VM 2 while its daemon is stopped for STOP_US.  The request
   waits in the socket until the daemon continues.  */
static void
send_to_stopped_daemon (struct fleet *fleet, unsigned stop_us, GString *answer)
{
  struct wire_attempt attempt
      = order (fleet, "bbbbbbbbbbbbbbbbbbbbbbbbbbbbbbbb", SHORT_US);
  char *text = wire_attempt_text (&attempt);
  char address[56];
  int fd;

  process_signal (&fleet->daemons[2], SIGSTOP);
  fd = wire_open (fleet, 1, fleet_address (fleet, 2, 7400, address));
  wire_send (fd, text);
  usleep (stop_us);
  process_signal (&fleet->daemons[2], SIGCONT);
  wire_read (fd, answer, 15000);
  close (fd);
  free (text);
}

/* Returns whether ANSWER refuses the attempt because the configuration is
   unverified.  A daemon answers so after a pause of a second or more, when
   nobody confirms its configuration within another second.  */
static bool
says_unverified (const GString *answer)
{
  return strstr (answer->str, "Cornelpick-Outcome: not-run") != NULL
         && strstr (answer->str, "this daemon has no verified view") != NULL;
}

/* When the daemon continues, its own clock shows that the start-by time has
   passed.  On a busy machine the stop may last a second, which the daemon
   counts as a pause.  */
START_TEST (an_attempt_that_waited_in_a_stopped_daemon_does_not_start)
{
  struct fleet fleet;
  GString *answer = g_string_new (NULL);
  bool late;

  fleet_start (&fleet, 2, 2, NULL);
  send_to_stopped_daemon (&fleet, 2 * SHORT_US, answer);
  late = strstr (answer->str, "Cornelpick-Outcome: unknown") != NULL;
  if (fleet_counter (&fleet, 2, "pauses_total") > 0)
    late = late || says_unverified (answer);
  ck_assert_msg (late, "%s", answer->str);
  ck_assert_uint_eq (fleet_runs (&fleet, request_id), 0);
  g_string_free (answer, TRUE);
  fleet_stop (&fleet);
}
END_TEST

/* Neither the platform nor the other daemon can confirm its configuration.  */
START_TEST (an_attempt_that_waited_in_a_paused_daemon_is_refused)
{
  struct fleet fleet;
  GString *answer = g_string_new (NULL);

  fleet_start (&fleet, 2, 2, NULL);
  process_signal (&fleet.platform, SIGSTOP);
  process_signal (&fleet.daemons[1], SIGSTOP);
  send_to_stopped_daemon (&fleet, 5 * SHORT_US, answer);
  ck_assert_msg (says_unverified (answer), "%s", answer->str);
  process_signal (&fleet.daemons[1], SIGCONT);
  process_signal (&fleet.platform, SIGCONT);
  ck_assert_uint_eq (fleet_runs (&fleet, request_id), 0);
  ck_assert_uint_ge (fleet_counter (&fleet, 2, "pauses_total"), 1);
  g_string_free (answer, TRUE);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (another_incarnation_refuses)
{
  struct fleet fleet;
  GString *answer = g_string_new (NULL);
  struct wire_attempt attempt;

  fleet_start (&fleet, 2, 2, NULL);
  attempt = order (&fleet, "cccccccccccccccccccccccccccccccc", DEADLINE_US);
  process_signal (&fleet.daemons[2], SIGKILL);
  fleet_start_daemon (&fleet, 2);
  fleet_wait_serving (&fleet, 2);
  ck_assert_int_eq (wire_attempt (&fleet, 2, &attempt, answer), 503);
  ck_assert_ptr_nonnull (strstr (answer->str, "Cornelpick-Outcome: not-run"));
  ck_assert_uint_eq (fleet_runs (&fleet, request_id), 0);
  g_string_free (answer, TRUE);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (an_attempt_that_comes_after_its_fence_does_not_start)
{
  static const char id[] = "dddddddddddddddddddddddddddddddd";
  struct fleet fleet;
  GString *answer = g_string_new (NULL);
  struct wire_attempt attempt;

  fleet_start (&fleet, 2, 2, NULL);
  attempt = order (&fleet, id, DEADLINE_US);
  ck_assert_int_eq (wire_fence (&fleet, 1, 2, id, attempt.incarnation,
                                attempt.start_by_us, true),
                    CP_RPC_FENCED);
  ck_assert_int_eq (wire_fence (&fleet, 1, 2, id, attempt.incarnation + 2,
                                attempt.start_by_us, true),
                    CP_RPC_OTHER_INCARNATION);
  ck_assert_int_eq (wire_attempt (&fleet, 2, &attempt, answer), 409);
  ck_assert_ptr_nonnull (strstr (answer->str, "Cornelpick-Outcome: not-run"));
  ck_assert_uint_eq (fleet_runs (&fleet, request_id), 0);
  g_string_free (answer, TRUE);
  fleet_stop (&fleet);
}
END_TEST

static bool
register_is_empty (void *context)
{
  json_t *state = fleet_state (context, 2);
  json_t *inbound = json_object_get (state, "inbound");
  bool empty
      = json_integer_value (json_object_get (inbound, "register_entries"))
        == 0;

  json_decref (state);
  return empty;
}

START_TEST (fences_from_unknown_addresses_are_refused)
{
  static const char id[] = "ffffffffffffffffffffffffffffffff";
  struct fleet fleet;
  GString *answer = g_string_new (NULL);
  struct wire_attempt attempt;
  uint64_t refused;

  fleet_start (&fleet, 2, 2, NULL);
  attempt = order (&fleet, id, DEADLINE_US);
  refused = fleet_counter (&fleet, 2, "rpc_refused_total");
  ck_assert_int_eq (wire_fence (&fleet, 77, 2, id, attempt.incarnation,
                                attempt.start_by_us, true),
                    -1);
  ck_assert_uint_gt (fleet_counter (&fleet, 2, "rpc_refused_total"), refused);
  ck_assert_int_eq (wire_attempt (&fleet, 2, &attempt, answer), 200);
  g_string_free (answer, TRUE);
  fleet_stop (&fleet);
}
END_TEST

/* The attempt ran and its register entry has expired.  A fence that arrives
   now must not count as proof that the attempt did not run.  */
START_TEST (a_fence_after_the_entry_expired_proves_nothing)
{
  static const char id[] = "eeeeeeeeeeeeeeeeeeeeeeeeeeeeeeee";
  struct fleet fleet;
  GString *answer = g_string_new (NULL);
  struct wire_attempt attempt;

  fleet_start (&fleet, 2, 2, NULL);
  attempt = order (&fleet, id, SHORT_US);
  ck_assert_int_eq (wire_attempt (&fleet, 2, &attempt, answer), 200);
  ck_assert_int_eq (wire_fence (&fleet, 1, 2, id, attempt.incarnation,
                                attempt.start_by_us, true),
                    CP_RPC_ANSWERED);
  wait_until (register_is_empty, &fleet);
  ck_assert_int_eq (wire_fence (&fleet, 1, 2, id, attempt.incarnation,
                                attempt.start_by_us, true),
                    CP_RPC_FENCE_LATE);
  g_string_free (answer, TRUE);
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, an_attempt_sent_twice_runs_once);
  tcase_add_test (tests,
                  an_attempt_that_waited_in_a_stopped_daemon_does_not_start);
  tcase_add_test (tests, an_attempt_that_waited_in_a_paused_daemon_is_refused);
  tcase_add_test (tests, another_incarnation_refuses);
  tcase_add_test (tests, an_attempt_that_comes_after_its_fence_does_not_start);
  tcase_add_test (tests, fences_from_unknown_addresses_are_refused);
  tcase_add_test (tests, a_fence_after_the_entry_expired_proves_nothing);
}

int
main (void)
{
  return suite_run ("attempts_messages", add_tests, 90);
}

/* Conversion of load reports to and from their form in messages.  */
#include "lib/clock.h"
#include "meshd/wire.h"
#include "regress/harness/suite.h"

static struct cp_server_load
convert (const struct cp_server_load *from)
{
  struct cp_peer_load wire;
  struct cp_server_load to;

  mesh_load_to_wire (&wire, from, "i-1");
  ck_assert (wire.server == cp_server_id ("i-1"));
  mesh_load_from_wire (&to, &wire);
  return to;
}

START_TEST (a_report_arrives_as_it_was_sent)
{
  struct cp_server_load from = { .running = 7,
                                 .queued = 3,
                                 .limit = 9,
                                 .slowness_percent = 400,
                                 .pace_permille = 333,
                                 .leaving = true,
                                 .down = true,
                                 .cold_us = 2500 * CP_US_PER_MS };
  struct cp_server_load to = convert (&from);

  ck_assert_uint_eq (to.running, 7);
  ck_assert_uint_eq (to.queued, 3);
  ck_assert_uint_eq (to.limit, 9);
  ck_assert_uint_eq (to.slowness_percent, 400);
  ck_assert_uint_eq (to.pace_permille, 333);
  ck_assert (to.leaving);
  ck_assert (to.down);
  ck_assert (to.cold_us == 2500 * CP_US_PER_MS);
}
END_TEST

/* Guards against numbers that spill into the other half of their word: a long
   queue would change the number of running requests.  */
START_TEST (a_number_that_is_too_large_is_sent_as_the_largest)
{
  struct cp_server_load from
      = { .running = 1, .queued = 70000, .limit = 70000, .pace_permille = 2 };
  struct cp_server_load to = convert (&from);

  ck_assert_uint_eq (to.running, 1);
  ck_assert_uint_eq (to.queued, 65535);
  ck_assert_uint_eq (to.limit, 65535);
  ck_assert_uint_eq (to.pace_permille, 2);
  ck_assert (!to.leaving && !to.down);
}
END_TEST

/* Guards against a process that ends because a message has a part that is too
   long.  */
START_TEST (a_message_with_a_part_that_is_too_long_is_not_encoded)
{
  g_autofree char *name = g_strnfill (CP_PEER_NAME_MAX + 1, 'n');
  struct cp_peer_message message = { .kind = CP_PEER_HELLO };

  message.cp_peer_message_u.hello.domain = name;
  ck_assert_ptr_null (mesh_message_encode (&message));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests,
                  a_message_with_a_part_that_is_too_long_is_not_encoded);
  tcase_add_test (tests, a_report_arrives_as_it_was_sent);
  tcase_add_test (tests, a_number_that_is_too_large_is_sent_as_the_largest);
}

int
main (void)
{
  return suite_run ("mesh_wire", add_tests, 10);
}

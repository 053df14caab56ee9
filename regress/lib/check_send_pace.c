/* Tests of the pace of long messages.  */
#include <stdlib.h>

#include "lib/clock.h"
#include "lib/send_pace.h"
#include "regress/harness/suite.h"

#define START_US (1000 * CP_US_PER_S)
#define LONGEST 200000
#define MESSAGES 10000

/* Guards against a link that is full for long, and against one that stays
   idle although much is to be sent: messages of any length, as many as are
   allowed, at any times.  */
START_TEST (a_link_is_neither_full_for_long_nor_idle)
{
  struct cp_send_pace pace = { 0 };
  unsigned seed = 1;
  uint64_t now_us = START_US;
  uint64_t sent = 0;

  for (unsigned i = 0; i < MESSAGES; i++)
    {
      size_t bytes = (size_t)(rand_r (&seed) % LONGEST);
      uint64_t carried;

      while (!cp_send_pace_allows (&pace, now_us))
        now_us += (uint64_t)(rand_r (&seed) % 10000);
      cp_send_pace_add (&pace, bytes, now_us);
      sent += bytes;
      carried = (now_us - START_US) * CP_SEND_PACE_BYTES_PER_S / CP_US_PER_S;
      ck_assert_uint_le (sent, carried
                                   + (uint64_t)CP_SEND_PACE_BYTES_PER_S
                                         * CP_SEND_PACE_BACKLOG_US
                                         / CP_US_PER_S
                                   + LONGEST + MESSAGES);
      ck_assert_uint_ge (sent, carried);
    }
}
END_TEST

START_TEST (time_without_messages_is_not_saved_up)
{
  struct cp_send_pace pace = { 0 };
  unsigned sent = 0;

  while (cp_send_pace_allows (&pace, START_US))
    {
      cp_send_pace_add (&pace, CP_SEND_PACE_BYTES_PER_S / 20, START_US);
      sent++;
    }
  ck_assert_uint_eq (sent, 3);
  ck_assert (!cp_send_pace_allows (&pace, START_US + 49999));
  ck_assert (cp_send_pace_allows (&pace, START_US + 50000));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, a_link_is_neither_full_for_long_nor_idle);
  tcase_add_test (tests, time_without_messages_is_not_saved_up);
}

int
main (void)
{
  return suite_run ("send_pace", add_tests, 30);
}

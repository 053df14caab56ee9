/* Tests of the lower bounds of other processes' clocks.  */
#include <stdlib.h>

#include "lib/peer_clock.h"
#include "regress/harness/suite.h"

#define INCARNATION 7
#define START_US (1000 * CP_US_PER_S)
#define SAMPLES 100000

/* Guards against an attempt or an item that counts as older than it is, since
   the bound runs ahead of the clock: samples that took any time on their way,
   from a clock that is slower by the drift.  */
START_TEST (the_bound_is_never_ahead_of_the_clock)
{
  struct cp_peer_clock clock = { 0 };
  unsigned seed = 1;
  uint64_t now_us = START_US;
  double shown_us = 5000;

  for (unsigned i = 0; i < SAMPLES; i++)
    {
      uint64_t step_us = (uint64_t)(rand_r (&seed) % 3000000);
      uint64_t way_us = (uint64_t)(rand_r (&seed) % 500000);

      now_us += step_us;
      shown_us += (double)step_us * (1 - CP_CLOCK_DRIFT_PPM / 1e6);
      if (way_us < step_us)
        cp_peer_clock_update (&clock, INCARNATION,
                              (uint64_t)(shown_us - (double)way_us), now_us);
      if (clock.incarnation != 0)
        /* Each sample is rounded.  */
        ck_assert_uint_le (cp_peer_clock_bound (&clock, now_us),
                           (uint64_t)shown_us + 2);
    }
}
END_TEST

/* Guards against time on the way that is not counted: a message that waited
   must not take the place of one that came at once.  */
START_TEST (a_late_message_does_not_lower_the_bound)
{
  struct cp_peer_clock clock = { 0 };
  uint64_t bound_us;

  cp_peer_clock_update (&clock, INCARNATION, 5000, START_US);
  ck_assert_uint_eq (cp_peer_clock_bound (&clock, START_US), 5000);
  cp_peer_clock_update (&clock, INCARNATION, 5000 + CP_US_PER_S,
                        START_US + 2 * CP_US_PER_S);
  bound_us = cp_peer_clock_bound (&clock, START_US + 2 * CP_US_PER_S);
  ck_assert_uint_le (bound_us, 5000 + 2 * CP_US_PER_S);
  ck_assert_uint_ge (bound_us, 5000 + 2 * (CP_US_PER_S - CP_CLOCK_DRIFT_PPM));
  /* One that came sooner than all before raises it.  */
  cp_peer_clock_update (&clock, INCARNATION, 9000 + 2 * CP_US_PER_S,
                        START_US + 2 * CP_US_PER_S);
  ck_assert_uint_eq (cp_peer_clock_bound (&clock, START_US + 2 * CP_US_PER_S),
                     9000 + 2 * CP_US_PER_S);
}
END_TEST

/* Guards against the clock of a process that has ended, which counts for the
   next one although its VM was started again.  */
START_TEST (another_process_has_another_clock)
{
  struct cp_peer_clock clock = { 0 };

  ck_assert_uint_eq (cp_peer_clock_bound (&clock, START_US), 0);
  cp_peer_clock_update (&clock, INCARNATION, CP_US_PER_S, START_US);
  cp_peer_clock_update (&clock, INCARNATION + 1, 10, START_US);
  ck_assert_uint_eq (cp_peer_clock_bound (&clock, START_US), 10);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, the_bound_is_never_ahead_of_the_clock);
  tcase_add_test (tests, a_late_message_does_not_lower_the_bound);
  tcase_add_test (tests, another_process_has_another_clock);
}

int
main (void)
{
  return suite_run ("peer_clock", add_tests, 30);
}

/* When the watches of all watchers end, on a store without changes.  */
#include <glib.h>
#include <stdlib.h>

#include "lib/watchers.h"
#include "regress/harness/suite.h"

/* Pause between two watches of one watcher, as the store's client makes it. */
#define PAUSE_MS 400

#define RUN_MS 120000
#define WATCHERS_MAX 32

/* A change must be found when the store has been without trouble for three
   seconds.  A watch that has not ended is overdue after one second, and one
   more is left for the comparison, the listing and the way to all daemons.  */
#define GAP_MAX_MS (3000 - 1000 - 1000)

static const unsigned fleets[] = { 1, 2, 4, 8, 18, 30 };

static int
compare_times (const void *a, const void *b)
{
  const uint64_t *x = a;
  const uint64_t *y = b;

  return *x < *y ? -1 : *x > *y;
}

/* Returns the sorted times at which the watches of WATCHERS watchers end that
   have seen a change at 0.  The one at place MISSING makes none.  */
static GArray *
watch_ends (unsigned watchers, unsigned missing)
{
  GArray *ends = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (unsigned place = 0; place < watchers; place++)
    {
      struct cp_watch_turn turn = { place, watchers };
      uint64_t end = 0;

      for (unsigned n_quiet = 0; end < RUN_MS && place != missing; n_quiet++)
        {
          end += PAUSE_MS + cp_watch_wait_ms (&turn, n_quiet);
          g_array_append_val (ends, end);
        }
    }
  qsort (ends->data, ends->len, sizeof (uint64_t), compare_times);
  return ends;
}

/* Returns the longest time without an end.  */
static uint64_t
longest_gap (const GArray *ends)
{
  uint64_t longest = 0;
  uint64_t last = 0;

  for (unsigned i = 0; i < ends->len && last < RUN_MS; i++)
    {
      uint64_t end = ((const uint64_t *)(const void *)ends->data)[i];

      longest = MAX (longest, end - last);
      last = end;
    }
  return longest;
}

/* Guards against watches that all begin and end together: an outage of the
   store would be noticed by none until the longest wait is over.  */
START_TEST (a_watch_ends_in_each_second_whatever_the_number_of_watchers)
{
  GArray *ends = watch_ends (fleets[_i], WATCHERS_MAX);

  ck_assert_uint_le (longest_gap (ends), GAP_MAX_MS + PAUSE_MS);
  g_array_unref (ends);
}
END_TEST

START_TEST (a_missing_watcher_leaves_a_gap_of_two_seconds)
{
  for (unsigned missing = 0; missing < 8; missing++)
    {
      GArray *ends = watch_ends (8, missing);

      ck_assert_uint_le (longest_gap (ends), 2 * GAP_MAX_MS + PAUSE_MS);
      g_array_unref (ends);
    }
}
END_TEST

/* Guards against a cost that grows with the fleet: all calls to the store are
   counted.  */
START_TEST (an_idle_store_answers_one_watch_a_second)
{
  GArray *ends = watch_ends (fleets[_i], WATCHERS_MAX);

  ck_assert_uint_le (ends->len, RUN_MS / 1000 + 2 * fleets[_i]);
  g_array_unref (ends);
}
END_TEST

/* Daemons that do not know each other yet may have any place.  */
START_TEST (any_place_gives_a_wait_within_the_turn)
{
  for (unsigned place = 0; place < 100; place++)
    {
      struct cp_watch_turn turn = { place, 8 };
      struct cp_watch_turn none = { place, 0 };

      ck_assert_uint_ge (cp_watch_wait_ms (&turn, 1), 1000);
      ck_assert_uint_le (cp_watch_wait_ms (&turn, 1), 8000);
      ck_assert_uint_eq (cp_watch_wait_ms (&none, 1), 1000);
      ck_assert_uint_eq (cp_watch_wait_ms (&none, 5), 1000);
    }
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (
      tests, a_watch_ends_in_each_second_whatever_the_number_of_watchers, 0,
      G_N_ELEMENTS (fleets));
  tcase_add_test (tests, a_missing_watcher_leaves_a_gap_of_two_seconds);
  tcase_add_loop_test (tests, an_idle_store_answers_one_watch_a_second, 0,
                       G_N_ELEMENTS (fleets));
  tcase_add_test (tests, any_place_gives_a_wait_within_the_turn);
}

int
main (void)
{
  return suite_run ("watch_turns", add_tests, 10);
}

/* Requests that may end servers: who is blamed, held back and cleared, and how
   daemons agree.  */
#include "lib/clock.h"
#include "lib/suspects.h"
#include "regress/harness/suite.h"

#define NOW_US (1000 * CP_US_PER_S)
#define DAEMONS 5

enum
{
  BAD = 1,
  GOOD,
  OTHER
};

static struct cp_suspects tables[DAEMONS];
static struct cp_suspects *const own = &tables[0];

static void
setup (void)
{
  for (unsigned i = 0; i < DAEMONS; i++)
    cp_suspects_init (&tables[i]);
}

static void
teardown (void)
{
  for (unsigned i = 0; i < DAEMONS; i++)
    cp_suspects_finish (&tables[i]);
}

/* A server ends while it runs the requests of two digests; 0 stands for
   none.  Returns how many records change.  */
static unsigned
end_server (struct cp_suspects *table, uint64_t server_end, uint64_t first,
            uint64_t second)
{
  uint64_t digests[] = { first, second };
  GArray *changed = cp_suspects_blame (table, digests, second == 0 ? 1 : 2,
                                       server_end, NOW_US);
  unsigned count = changed->len;

  g_array_unref (changed);
  return count;
}

static unsigned
ends_of (const struct cp_suspects *table, uint64_t digest)
{
  const struct cp_suspect *record = cp_suspects_find (table, digest, NOW_US);

  return record == NULL ? 0 : record->n_ends;
}

/* Guards against a request that ends one server after the other.  */
START_TEST (a_request_is_held_back_after_the_third_end)
{
  for (unsigned i = 1; i <= CP_SUSPECT_ENDS; i++)
    {
      ck_assert (!cp_suspects_hold_back (own, BAD, NOW_US));
      ck_assert_uint_eq (end_server (own, i, BAD, 0), 1);
      ck_assert (cp_suspects_contain (own, BAD, NOW_US));
    }
  ck_assert (cp_suspects_hold_back (own, BAD, NOW_US));
  ck_assert_uint_gt (cp_suspects_held_back_us (own, BAD, NOW_US), 0);
  ck_assert_uint_eq (end_server (own, 4, BAD, 0), 0);
}
END_TEST

/* Guards against one end that is seen twice, or by two copies of the request
   that ran there.  */
START_TEST (an_end_counts_once)
{
  ck_assert_uint_eq (end_server (own, 1, BAD, BAD), 1);
  ck_assert_uint_eq (end_server (own, 1, BAD, BAD), 0);
  ck_assert_uint_eq (ends_of (own, BAD), 1);
  ck_assert (cp_suspects_find (own, BAD, NOW_US)->alone);
}
END_TEST

/* Guards against suspicion of all that runs beside a known suspect.  */
START_TEST (what_runs_beside_a_suspect_is_not_blamed)
{
  end_server (own, 1, BAD, 0);
  end_server (own, 2, GOOD, BAD);
  ck_assert (!cp_suspects_contain (own, GOOD, NOW_US));
  ck_assert_uint_eq (ends_of (own, BAD), 2);
}
END_TEST

/* Guards against a popular request that is held back because it happened to
   run at the end of three servers, beside the one that ended them.  */
START_TEST (a_request_that_was_never_the_only_suspect_is_not_held_back)
{
  for (unsigned i = 1; i <= 4; i++)
    end_server (own, i, BAD, GOOD);
  ck_assert_uint_eq (ends_of (own, GOOD), CP_SUSPECT_ENDS);
  ck_assert (!cp_suspects_hold_back (own, GOOD, NOW_US));
  ck_assert (!cp_suspects_hold_back (own, BAD, NOW_US));
  ck_assert (cp_suspects_clear (own, GOOD, NOW_US));
  ck_assert (!cp_suspects_contain (own, GOOD, NOW_US));
  ck_assert_uint_eq (end_server (own, 5, BAD, GOOD), 1);
  ck_assert (cp_suspects_hold_back (own, BAD, NOW_US));
}
END_TEST

/* Guards against a request that is held back for good.  */
START_TEST (a_request_is_tried_again_after_some_minutes)
{
  uint64_t later;

  for (unsigned i = 1; i <= CP_SUSPECT_ENDS; i++)
    end_server (own, i, BAD, 0);
  later = NOW_US + cp_suspects_held_back_us (own, BAD, NOW_US);
  ck_assert (cp_suspects_hold_back (own, BAD, later - 1));
  ck_assert (!cp_suspects_hold_back (own, BAD, later));
  ck_assert_uint_ge (later - NOW_US, 60 * CP_US_PER_S);
  cp_suspects_expire (own, later);
  ck_assert_uint_eq (g_hash_table_size (own->by_digest), 0);
}
END_TEST

/* Hands the record of DIGEST from one table to another.  */
static bool
hand_over (unsigned from, unsigned to, uint64_t digest)
{
  const struct cp_suspect *record
      = cp_suspects_find (&tables[from], digest, NOW_US);

  return record != NULL && cp_suspects_merge (&tables[to], record, NOW_US);
}

/* Guards against daemons that each count for themselves: three ends seen by
   three daemons hold a request back at all of them.  */
START_TEST (ends_seen_by_different_daemons_add_up)
{
  for (unsigned i = 0; i < CP_SUSPECT_ENDS; i++)
    end_server (&tables[i], 100 - i, BAD, 0);
  for (unsigned i = 0; i < CP_SUSPECT_ENDS; i++)
    for (unsigned to = 0; to < DAEMONS; to++)
      hand_over (i, to, BAD);
  for (unsigned i = 0; i < DAEMONS; i++)
    ck_assert (cp_suspects_hold_back (&tables[i], BAD, NOW_US));
}
END_TEST

/* Guards against news that go round for ever.  */
START_TEST (a_record_that_is_known_changes_nothing)
{
  end_server (own, 1, BAD, 0);
  ck_assert (hand_over (0, 1, BAD));
  ck_assert (!hand_over (0, 1, BAD));
  ck_assert (!hand_over (1, 0, BAD));
}
END_TEST

/* Guards against old news that bring a cleared suspicion back.  */
START_TEST (a_clearing_wins_over_what_was_before)
{
  end_server (own, 1, GOOD, 0);
  hand_over (0, 1, GOOD);
  ck_assert (cp_suspects_clear (own, GOOD, NOW_US));
  ck_assert (!cp_suspects_clear (own, GOOD, NOW_US));
  ck_assert (!hand_over (1, 0, GOOD));
  ck_assert (!cp_suspects_contain (own, GOOD, NOW_US));
  ck_assert (hand_over (0, 1, GOOD));
  ck_assert (!cp_suspects_contain (&tables[1], GOOD, NOW_US));
}
END_TEST

static bool
same (const struct cp_suspect *a, const struct cp_suspect *b)
{
  if (a->epoch != b->epoch || a->n_ends != b->n_ends || a->alone != b->alone)
    return false;
  for (unsigned i = 0; i < a->n_ends; i++)
    if (a->ends[i] != b->ends[i])
      return false;
  return true;
}

/* Guards against daemons that disagree for ever: with seeded random ends,
   clearings and hand-overs in any order, all tables are equal after each has
   heard from each.  */
START_TEST (daemons_agree_in_any_order)
{
  struct cp_seeded_random seeded;
  const struct cp_random *random = &seeded.random;

  cp_seeded_random_init (&seeded, (uint64_t)_i);
  for (unsigned step = 0; step < 300; step++)
    {
      unsigned at = (unsigned)cp_random_below (random, DAEMONS);
      uint64_t digest = 1 + cp_random_below (random, 3);

      switch (cp_random_below (random, 6))
        {
        case 0:
          end_server (&tables[at], 1 + cp_random_below (random, 20), digest,
                      cp_random_below (random, 4));
          break;
        case 1:
          cp_suspects_clear (&tables[at], digest, NOW_US);
          break;
        default:
          hand_over (at, (unsigned)cp_random_below (random, DAEMONS), digest);
        }
    }
  for (unsigned round = 0; round < 2; round++)
    for (unsigned from = 0; from < DAEMONS; from++)
      for (unsigned to = 0; to < DAEMONS; to++)
        for (uint64_t digest = BAD; digest <= OTHER; digest++)
          hand_over (from, to, digest);
  for (unsigned i = 1; i < DAEMONS; i++)
    for (uint64_t digest = BAD; digest <= OTHER; digest++)
      {
        const struct cp_suspect *first
            = cp_suspects_find (own, digest, NOW_US);

        if (first != NULL)
          ck_assert (
              same (first, cp_suspects_find (&tables[i], digest, NOW_US)));
      }
  cp_seeded_random_finish (&seeded);
}
END_TEST

/* Guards against memory without bound, and against a request that is forgotten
   for a flood of others.  */
START_TEST (a_full_table_keeps_what_is_held_back)
{
  for (unsigned i = 1; i <= CP_SUSPECT_ENDS; i++)
    end_server (own, i, BAD, 0);
  for (uint64_t digest = 10; digest < 10 + 3 * CP_SUSPECTS_MAX; digest++)
    end_server (own, digest, digest, 0);
  ck_assert_uint_eq (g_hash_table_size (own->by_digest), CP_SUSPECTS_MAX);
  ck_assert (cp_suspects_hold_back (own, BAD, NOW_US));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, a_request_is_held_back_after_the_third_end);
  tcase_add_test (tests, an_end_counts_once);
  tcase_add_test (tests, what_runs_beside_a_suspect_is_not_blamed);
  tcase_add_test (tests,
                  a_request_that_was_never_the_only_suspect_is_not_held_back);
  tcase_add_test (tests, a_request_is_tried_again_after_some_minutes);
  tcase_add_test (tests, ends_seen_by_different_daemons_add_up);
  tcase_add_test (tests, a_record_that_is_known_changes_nothing);
  tcase_add_test (tests, a_clearing_wins_over_what_was_before);
  tcase_add_loop_test (tests, daemons_agree_in_any_order, 1, 41);
  tcase_add_test (tests, a_full_table_keeps_what_is_held_back);
}

int
main (void)
{
  return suite_run ("suspects", add_tests, 30);
}

/* The table of attempts: its memory bound and the expiry of entries.  */
#include <malloc.h>
#include <stdio.h>

#include "lib/attempt_table.h"
#include "lib/peer_clock.h"
#include "regress/harness/suite.h"

/* A table on a virtual clock, which the test advances.  */
struct fixture
{
  struct cp_virtual_clock clock;
  struct cp_chart chart;
  struct cp_attempt_table table;
};

static void
set_up (struct fixture *fixture, unsigned capacity)
{
  struct cp_error error;
  char path[256];

  snprintf (path, sizeof path, "%s/charts/attempt.json", getenv ("TOP"));
  ck_assert_int_eq (
      cp_chart_load (&fixture->chart, path, &cp_attempt_names, &error), 0);
  cp_virtual_clock_init (&fixture->clock, CP_US_PER_S);
  cp_attempt_table_init (&fixture->table, &fixture->clock.clock,
                         &fixture->chart, capacity);
}

static enum cp_attempt_table_result
fence_new_attempt (struct fixture *fixture, const struct cp_random *random,
                   uint64_t keep_us)
{
  enum cp_attempt_state state;
  struct cp_id id;

  cp_id_create (&id, random);
  return cp_attempt_table_step (&fixture->table, &id, CP_ATTEMPT_FENCE,
                                fixture->clock.time_us + keep_us, &state);
}

START_TEST (memory_is_bounded_at_the_stated_rate)
{
  static struct fixture fixture;
  struct cp_seeded_random random;
  size_t before;
  size_t after;

  cp_seeded_random_init (&random, 5);
  set_up (&fixture, CP_ATTEMPT_TABLE_CAPACITY);
  before = mallinfo2 ().uordblks;
  for (unsigned i = 0; i < CP_ATTEMPT_TABLE_CAPACITY; i++)
    ck_assert_int_eq (fence_new_attempt (&fixture, &random.random,
                                         CP_ATTEMPT_TABLE_KEEP_MAX_US),
                      CP_ATTEMPT_TABLE_DONE);
  after = mallinfo2 ().uordblks;
  printf ("%u entries, %zu bytes each\n", CP_ATTEMPT_TABLE_CAPACITY,
          (after - before) / CP_ATTEMPT_TABLE_CAPACITY);
  ck_assert_uint_le ((after - before) / CP_ATTEMPT_TABLE_CAPACITY,
                     CP_ATTEMPT_TABLE_ENTRY_BYTES);
  ck_assert_int_eq (fence_new_attempt (&fixture, &random.random, CP_US_PER_S),
                    CP_ATTEMPT_TABLE_FULL);
  ck_assert_uint_eq (cp_attempt_table_count (&fixture.table),
                     CP_ATTEMPT_TABLE_CAPACITY);
  cp_attempt_table_finish (&fixture.table);
  cp_seeded_random_finish (&random);
}
END_TEST

START_TEST (entries_expire_on_time)
{
  static struct fixture fixture;
  struct cp_seeded_random random;

  cp_seeded_random_init (&random, 6);
  set_up (&fixture, 100);
  for (unsigned i = 1; i <= 100; i++)
    ck_assert_int_eq (
        fence_new_attempt (&fixture, &random.random, i * CP_US_PER_S),
        CP_ATTEMPT_TABLE_DONE);
  ck_assert_int_eq (fence_new_attempt (&fixture, &random.random, CP_US_PER_S),
                    CP_ATTEMPT_TABLE_FULL);
  fixture.clock.time_us += 50 * CP_US_PER_S;
  ck_assert_uint_ge (cp_attempt_table_count (&fixture.table), 50);
  ck_assert_uint_le (cp_attempt_table_count (&fixture.table), 52);
  fixture.clock.time_us += 2000 * CP_US_PER_S;
  ck_assert_uint_eq (cp_attempt_table_count (&fixture.table), 0);
  cp_attempt_table_finish (&fixture.table);
  cp_seeded_random_finish (&random);
}
END_TEST

/* A started attempt is kept beyond its keep time until it has ended.  */
START_TEST (running_attempts_do_not_expire)
{
  static struct fixture fixture;
  const struct cp_id id = { { 7 } };
  enum cp_attempt_state state;
  uint64_t until;

  set_up (&fixture, 10);
  until = fixture.clock.time_us + CP_US_PER_S;
  cp_attempt_table_step (&fixture.table, &id, CP_ATTEMPT_ARRIVE, until,
                         &state);
  cp_attempt_table_step (&fixture.table, &id, CP_ATTEMPT_START, until, &state);
  fixture.clock.time_us += 5000 * CP_US_PER_S;
  ck_assert_uint_eq (cp_attempt_table_count (&fixture.table), 1);
  ck_assert_int_eq (cp_attempt_table_step (&fixture.table, &id,
                                           CP_ATTEMPT_FENCE, until, &state),
                    CP_ATTEMPT_TABLE_NO_TRANSITION);
  ck_assert_int_eq (state, CP_ATTEMPT_STARTED);
  cp_attempt_table_step (&fixture.table, &id, CP_ATTEMPT_ANSWER, until,
                         &state);
  fixture.clock.time_us += 5 * CP_US_PER_S;
  ck_assert_uint_eq (cp_attempt_table_count (&fixture.table), 0);
  cp_attempt_table_finish (&fixture.table);
}
END_TEST

/* A query leaves a queued attempt alone; a fence cancels it.  */
START_TEST (queries_do_not_cancel_queued_attempts)
{
  static struct fixture fixture;
  const struct cp_id id = { { 8 } };
  enum cp_attempt_state state;
  uint64_t until;

  set_up (&fixture, 10);
  until = fixture.clock.time_us + CP_US_PER_S;
  cp_attempt_table_step (&fixture.table, &id, CP_ATTEMPT_ARRIVE, until,
                         &state);
  ck_assert_int_eq (cp_attempt_table_step (&fixture.table, &id,
                                           CP_ATTEMPT_QUERY, until, &state),
                    CP_ATTEMPT_TABLE_NO_TRANSITION);
  ck_assert_int_eq (state, CP_ATTEMPT_QUEUED);
  ck_assert_int_eq (cp_attempt_table_step (&fixture.table, &id,
                                           CP_ATTEMPT_FENCE, until, &state),
                    CP_ATTEMPT_TABLE_DONE);
  ck_assert_int_eq (cp_attempt_table_step (&fixture.table, &id,
                                           CP_ATTEMPT_START, until, &state),
                    CP_ATTEMPT_TABLE_NO_TRANSITION);
  ck_assert_int_eq (state, CP_ATTEMPT_FENCED);
  cp_attempt_table_finish (&fixture.table);
}
END_TEST

START_TEST (bounds_of_peer_clocks_are_never_late)
{
  struct cp_virtual_clock clock;
  struct cp_peer_clocks peers;
  struct cp_peer_clock known;
  uint64_t bound;

  cp_virtual_clock_init (&clock, CP_US_PER_S);
  cp_peer_clocks_init (&peers, &clock.clock);
  ck_assert (!cp_peer_clocks_get (&peers, "a", &known, &bound));
  cp_peer_clocks_update (&peers, "a", 3, 5000);
  clock.time_us += 100 * CP_US_PER_S;
  ck_assert (cp_peer_clocks_get (&peers, "a", &known, &bound));
  ck_assert_uint_le (bound, 5000 + 100 * CP_US_PER_S);
  ck_assert_uint_ge (bound, 5000 + 99 * CP_US_PER_S);
  /* A delayed answer does not lower the bound.  */
  cp_peer_clocks_update (&peers, "a", 3, 6000);
  ck_assert (cp_peer_clocks_get (&peers, "a", &known, &bound));
  ck_assert_uint_ge (bound, 5000 + 99 * CP_US_PER_S);
  cp_peer_clocks_update (&peers, "a", 4, 6000);
  ck_assert (cp_peer_clocks_get (&peers, "a", &known, &bound));
  ck_assert_uint_eq (bound, 6000);
  cp_peer_clocks_finish (&peers);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, memory_is_bounded_at_the_stated_rate);
  tcase_add_test (tests, entries_expire_on_time);
  tcase_add_test (tests, running_attempts_do_not_expire);
  tcase_add_test (tests, queries_do_not_cancel_queued_attempts);
  tcase_add_test (tests, bounds_of_peer_clocks_are_never_late);
}

int
main (void)
{
  return suite_run ("attempt_table", add_tests, 30);
}

/* The server pool and the choice of a server.  */
#include <stdio.h>
#include <string.h>

#include "lib/server_pool.h"
#include "regress/harness/suite.h"

#define NOW_US UINT64_C (100000000)
#define PICKS 400

static struct cp_server_pool pool;
static struct cp_seeded_random seeded;
static unsigned n_added;
static unsigned n_removed;
static unsigned n_released;
static struct cp_lateness lateness;

static void
on_added (void *context, struct cp_server *server)
{
  (void)context;
  server->reachable = true;
  n_added++;
}

static void
on_removed (void *context, struct cp_server *server)
{
  (void)context;
  (void)server;
  n_removed++;
}

static void
on_released (void *context, void *user_data)
{
  (void)context;
  (void)user_data;
  n_released++;
}

static const struct cp_server_pool_events events
    = { .added = on_added, .removed = on_removed, .released = on_released };

static struct cp_server *
add_server (const char *instance, const char *domain, uint64_t born_ms,
            bool draining)
{
  struct cp_server_entry entry = { .instance = instance,
                                   .service = "shop",
                                   .domain = domain,
                                   .born_ms = born_ms,
                                   .capacity = 10,
                                   .draining = draining };
  char address[64];

  snprintf (address, sizeof address, "10.0.0.%u:80", (unsigned)instance[0]);
  cp_address_parse (&entry.address, address);
  cp_server_pool_update (&pool, &entry, NOW_US);
  return cp_server_pool_find (&pool, instance);
}

static void
setup (void)
{
  n_added = n_removed = n_released = 0;
  cp_seeded_random_init (&seeded, 7);
  cp_lateness_init (&lateness);
  cp_server_pool_init (&pool, "near", "self", &events, NULL);
}

static void
teardown (void)
{
  cp_server_pool_finish (&pool);
  cp_seeded_random_finish (&seeded);
}

static struct cp_server *
pick (struct cp_server *const *tried, unsigned n_tried)
{
  struct cp_server_request request = { .service = "shop",
                                       .now_us = NOW_US,
                                       .work_us = 60000,
                                       .time_left_us = 200000,
                                       .lateness = &lateness,
                                       .tried = tried,
                                       .n_tried = n_tried };

  return cp_server_pool_pick (&pool, &request, &seeded.random);
}

static unsigned
count_picks (const struct cp_server *server)
{
  unsigned count = 0;

  for (unsigned i = 0; i < PICKS; i++)
    count += pick (NULL, 0) == server;
  return count;
}

static void
set_load (struct cp_server *server, unsigned running, unsigned slowness)
{
  struct cp_server_load reported
      = { .running = running, .limit = 8, .slowness_percent = slowness };

  cp_server_set_load (server, &reported, NOW_US);
}

START_TEST (equal_servers_get_equal_shares)
{
  struct cp_server *a = add_server ("a", "near", 1, false);

  add_server ("b", "near", 1, false);
  ck_assert_uint_gt (count_picks (a), PICKS * 2 / 5);
  ck_assert_uint_lt (count_picks (a), PICKS * 3 / 5);
}
END_TEST

START_TEST (a_slow_machine_is_avoided_until_the_others_are_full)
{
  struct cp_server *a = add_server ("a", "near", 1, false);
  struct cp_server *b = add_server ("b", "near", 1, false);

  set_load (a, 0, 400);
  set_load (b, 6, 100);
  ck_assert_uint_eq (count_picks (a), 0);
  set_load (b, 60, 100);
  ck_assert_uint_eq (count_picks (a), PICKS);
}
END_TEST

/* Many daemons have the same view of the loads and do not know each other's
   choices: when each sends one request, these must not all go to the same few
   servers, nor to slow servers while others are not slow.  */
START_TEST (daemons_with_the_same_view_spread_their_requests)
{
  enum
  {
    SERVERS = 36,
    SLOW = 12,
    REQUESTS = 7200
  };
  struct cp_server *servers[SERVERS];
  unsigned picks[SERVERS] = { 0 };
  unsigned slow = 0;

  for (unsigned i = 0; i < SERVERS; i++)
    {
      char instance[16];

      snprintf (instance, sizeof instance, "%u", i);
      servers[i] = add_server (instance, "near", 1, false);
      set_load (servers[i], i % 4, i < SLOW ? 400 : 100);
    }
  for (unsigned n = 0; n < REQUESTS; n++)
    {
      const struct cp_server *picked = pick (NULL, 0);

      for (unsigned i = 0; i < SERVERS; i++)
        picks[i] += servers[i] == picked;
    }
  for (unsigned i = 0; i < SERVERS; i++)
    {
      ck_assert_uint_le (picks[i], 4 * REQUESTS / SERVERS);
      slow += i < SLOW ? picks[i] : 0;
    }
  ck_assert_uint_le (slow, REQUESTS / 100);
}
END_TEST

START_TEST (own_attempts_since_the_report_are_counted)
{
  struct cp_server *a = add_server ("a", "near", 1, false);
  struct cp_server *b = add_server ("b", "near", 1, false);

  set_load (a, 0, 100);
  set_load (b, 2, 100);
  a->sent_since = 8;
  ck_assert_uint_eq (count_picks (a), 0);
}
END_TEST

START_TEST (failures_raise_the_cost_and_decay)
{
  struct cp_server *a = add_server ("a", "near", 1, false);
  struct cp_server_request request = { .service = "shop", .now_us = NOW_US };

  add_server ("b", "near", 1, false);
  for (unsigned i = 0; i < 5; i++)
    cp_server_record_outcome (a, true, NOW_US);
  ck_assert_uint_eq (count_picks (a), 0);
  request.now_us = NOW_US + 30 * CP_US_PER_S;
  ck_assert_double_lt (cp_server_cost (a, &request, 0), 1.05);
}
END_TEST

START_TEST (unanswered_pings_raise_the_cost)
{
  struct cp_server *a = add_server ("a", "near", 1, false);
  uint64_t ping_sent_us = NOW_US - 100000;

  add_server ("b", "near", 1, false);
  a->ping_sent_us = &ping_sent_us;
  ck_assert_uint_eq (count_picks (a), 0);
  ping_sent_us = 0;
  ck_assert_uint_gt (count_picks (a), 0);
}
END_TEST

START_TEST (requests_stay_in_the_domain_until_its_server_is_slow)
{
  struct cp_server *a = add_server ("a", "near", 1, false);
  struct cp_server *b = add_server ("b", "far", 1, false);

  set_load (a, 5, 100);
  set_load (b, 0, 100);
  ck_assert_uint_eq (count_picks (a), PICKS);
  lateness.slow = 1;
  set_load (a, 5, 400);
  ck_assert_uint_gt (count_picks (b), PICKS * 9 / 10);
}
END_TEST

START_TEST (ineligible_servers_are_not_chosen)
{
  struct cp_server *a = add_server ("a", "near", 1, false);
  struct cp_server *b = add_server ("b", "near", 1, true);
  struct cp_server *c = add_server ("c", "near", 1, false);
  struct cp_server *d = add_server ("d", "near", 1, false);

  c->leaving = true;
  d->reachable = false;
  ck_assert_uint_eq (count_picks (a), PICKS);
  ck_assert_ptr_null (pick (&a, 1));
  b->draining = false;
  ck_assert_ptr_eq (pick (&a, 1), b);
}
END_TEST

START_TEST (a_new_incarnation_has_no_history)
{
  struct cp_server *a = cp_server_ref (add_server ("a", "near", 1, false));
  struct cp_server *again;

  set_load (a, 5, 400);
  again = add_server ("a", "near", 2, false);
  ck_assert_ptr_ne (a, again);
  ck_assert_uint_eq (again->load_us, 0);
  ck_assert_uint_eq (n_added, 2);
  ck_assert_uint_eq (n_removed, 1);
  ck_assert_ptr_eq (add_server ("a", "near", 2, true), again);
  ck_assert_uint_eq (n_released, 0);
  cp_server_unref (a);
  ck_assert_uint_eq (n_released, 1);
}
END_TEST

START_TEST (an_unconfirmed_removal_is_delayed)
{
  add_server ("a", "near", 1, false);
  add_server ("b", "near", 1, false);
  cp_server_pool_remove (&pool, "a", NOW_US + 1);
  ck_assert (!cp_server_pool_expire (&pool, NOW_US));
  ck_assert_ptr_nonnull (cp_server_pool_find (&pool, "a"));
  add_server ("a", "near", 1, false);
  ck_assert (!cp_server_pool_expire (&pool, NOW_US + 1));
  ck_assert_ptr_nonnull (cp_server_pool_find (&pool, "a"));
  cp_server_pool_remove (&pool, "a", NOW_US + 1);
  /* What is learned again does not extend the time.  */
  cp_server_pool_remove (&pool, "a", NOW_US + 2);
  ck_assert (cp_server_pool_expire (&pool, NOW_US + 1));
  ck_assert_ptr_null (cp_server_pool_find (&pool, "a"));
  cp_server_pool_remove (&pool, "b", 0);
  ck_assert_uint_eq (cp_server_pool_count (&pool), 0);
}
END_TEST

/* The entry of a server may remain for some heartbeats after the server has
   ended.  */
START_TEST (the_later_started_server_at_one_address_is_chosen)
{
  struct cp_server *late;

  /* The order in which the entries arrive does not matter.  */
  if (_i == 0)
    add_server ("a-old", "zone-a", 1000, false);
  late = add_server ("a-new", "zone-a", 2000, false);
  if (_i == 1)
    add_server ("a-old", "zone-a", 1000, false);
  for (unsigned i = 0; i < 20; i++)
    ck_assert_str_eq (pick (NULL, 0)->instance, "a-new");
  ck_assert_str_eq (cp_server_pool_find_at (&pool, "10.0.0.97:80")->instance,
                    "a-new");
  /* Its start time came from a wrong clock.  */
  cp_server_pool_mark_replaced (&pool, late);
  ck_assert_str_eq (pick (NULL, 0)->instance, "a-old");
  add_server ("a-new", "zone-a", 2000, false);
  ck_assert_str_eq (pick (NULL, 0)->instance, "a-new");
  cp_server_pool_remove (&pool, "a-new", 0);
  ck_assert_str_eq (pick (NULL, 0)->instance, "a-old");
}
END_TEST

/* Entries of servers without a start time.  */
START_TEST (servers_at_one_address_without_start_time_are_both_chosen)
{
  unsigned counts[2] = { 0, 0 };

  add_server ("a-1", "zone-a", 0, false);
  add_server ("a-2", "zone-a", 0, false);
  for (unsigned i = 0; i < 100; i++)
    counts[strcmp (pick (NULL, 0)->instance, "a-1") == 0]++;
  ck_assert_uint_gt (counts[0], 0);
  ck_assert_uint_gt (counts[1], 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, equal_servers_get_equal_shares);
  tcase_add_test (tests, a_slow_machine_is_avoided_until_the_others_are_full);
  tcase_add_test (tests, daemons_with_the_same_view_spread_their_requests);
  tcase_add_test (tests, own_attempts_since_the_report_are_counted);
  tcase_add_test (tests, failures_raise_the_cost_and_decay);
  tcase_add_test (tests, unanswered_pings_raise_the_cost);
  tcase_add_test (tests, requests_stay_in_the_domain_until_its_server_is_slow);
  tcase_add_test (tests, ineligible_servers_are_not_chosen);
  tcase_add_loop_test (
      tests, the_later_started_server_at_one_address_is_chosen, 0, 2);
  tcase_add_test (tests,
                  servers_at_one_address_without_start_time_are_both_chosen);
  tcase_add_test (tests, a_new_incarnation_has_no_history);
  tcase_add_test (tests, an_unconfirmed_removal_is_delayed);
}

int
main (void)
{
  return suite_run ("server_pool", add_tests, 20);
}

/* The choice among servers of which some are reported as down or cold.

   The load: a service under steady requests while servers restart.  Nothing
   runs at a server that refuses connections, so it looks idle, and requests
   used up their attempts on such servers.  */
#include <stdio.h>

#include "lib/server_pool.h"
#include "regress/harness/suite.h"

#define NOW_US UINT64_C (100000000)
#define PICKS 400

static struct cp_server_pool pool;
static struct cp_seeded_random seeded;
static struct cp_lateness lateness;

static void
on_added (void *context, struct cp_server *server)
{
  (void)context;
  server->reachable = true;
}

static void
ignore_removed (void *context, struct cp_server *server)
{
  (void)context;
  (void)server;
}

static void
ignore_released (void *context, void *user_data)
{
  (void)context;
  (void)user_data;
}

static const struct cp_server_pool_events events = {
  .added = on_added, .removed = ignore_removed, .released = ignore_released
};

static struct cp_server *
add_server (const char *instance, const char *domain)
{
  struct cp_server_entry entry = { .instance = instance,
                                   .service = "shop",
                                   .domain = domain,
                                   .born_ms = 1,
                                   .capacity = 10 };
  char address[64];

  snprintf (address, sizeof address, "10.0.0.%u:80", (unsigned)instance[0]);
  cp_address_parse (&entry.address, address);
  cp_server_pool_update (&pool, &entry, NOW_US);
  return cp_server_pool_find (&pool, instance);
}

static void
setup (void)
{
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

static unsigned
count_picks (const struct cp_server *server, uint64_t now_us)
{
  struct cp_server_request request = { .service = "shop",
                                       .now_us = now_us,
                                       .work_us = 60000,
                                       .time_left_us = 200000,
                                       .lateness = &lateness };
  unsigned count = 0;

  for (unsigned i = 0; i < PICKS; i++)
    count += cp_server_pool_pick (&pool, &request, &seeded.random) == server;
  return count;
}

static void
set_load (struct cp_server *server, unsigned running, bool down)
{
  struct cp_server_load load = {
    .running = running, .limit = 8, .slowness_percent = 100, .down = down
  };

  cp_server_set_load (server, &load, NOW_US);
}

/* Guards against requests to a server that looks idle because it refuses
   connections, while the others are busy.  */
START_TEST (a_server_that_is_down_is_not_chosen)
{
  struct cp_server *down = add_server ("a", "near");
  struct cp_server *busy = add_server ("b", "near");

  set_load (down, 0, true);
  set_load (busy, 40, false);
  ck_assert_uint_eq (count_picks (busy, NOW_US), PICKS);
  ck_assert_uint_eq (count_picks (busy, NOW_US + 1900000), PICKS);
}
END_TEST

/* Guards against a request that is sent although every server is down: each
   attempt would end with "no-server".  */
START_TEST (no_server_is_chosen_when_all_are_down)
{
  set_load (add_server ("a", "near"), 0, true);
  set_load (add_server ("b", "far"), 0, true);
  ck_assert_uint_eq (count_picks (NULL, NOW_US), PICKS);
}
END_TEST

/* Guards against a server that stays out of the choice after its return.  */
START_TEST (a_report_without_down_brings_a_server_back_at_once)
{
  struct cp_server *back = add_server ("a", "near");

  set_load (back, 0, true);
  set_load (back, 0, false);
  ck_assert_uint_eq (count_picks (back, NOW_US), PICKS);
}
END_TEST

/* Guards against a server that is left out forever because its daemon ended
   or froze after it had reported the server as down.  */
START_TEST (an_old_report_of_down_has_no_effect)
{
  struct cp_server *server = add_server ("a", "near");

  set_load (server, 0, true);
  ck_assert_uint_eq (count_picks (server, NOW_US + 2000000), PICKS);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, a_server_that_is_down_is_not_chosen);
  tcase_add_test (tests, no_server_is_chosen_when_all_are_down);
  tcase_add_test (tests, a_report_without_down_brings_a_server_back_at_once);
  tcase_add_test (tests, an_old_report_of_down_has_no_effect);
}

int
main (void)
{
  return suite_run ("down_servers", add_tests, 20);
}

/* The servers to whose daemons links are kept, in a fleet of hundreds.  */
#include <stdio.h>

#include "lib/server_pool.h"
#include "regress/harness/suite.h"

#define NOW_US UINT64_C (100000000)
#define DOMAINS 6
#define SERVERS 40 /* of the service in each domain */
#define LINKS 8

static struct cp_server_pool pool;
static unsigned n_linked;
static unsigned n_unlinked;

static void
ignore (void *context, struct cp_server *server)
{
  (void)context;
  (void)server;
}

static void
on_linked (void *context, struct cp_server *server)
{
  (void)context;
  server->reachable = true;
  n_linked++;
}

static void
on_unlinked (void *context, struct cp_server *server)
{
  (void)context;
  server->reachable = false;
  n_unlinked++;
}

static void
on_released (void *context, void *user_data)
{
  (void)context;
  (void)user_data;
}

static const struct cp_server_pool_events events = { .added = ignore,
                                                     .removed = ignore,
                                                     .linked = on_linked,
                                                     .unlinked = on_unlinked,
                                                     .released = on_released };

static void
add_server (unsigned domain, unsigned server)
{
  char instance[32];
  char zone[32];
  char address[64];
  struct cp_server_entry entry = { .service = "shop",
                                   .instance = instance,
                                   .domain = zone,
                                   .born_ms = 1,
                                   .capacity = 10 };

  snprintf (instance, sizeof instance, "s-%u-%u", domain, server);
  snprintf (zone, sizeof zone, "zone-%u", domain);
  snprintf (address, sizeof address, "10.0.%u.%u:80", domain, server + 1);
  cp_address_parse (&entry.address, address);
  cp_server_pool_update (&pool, &entry, NOW_US);
}

static struct cp_server *
find (unsigned domain, unsigned server)
{
  char instance[32];

  snprintf (instance, sizeof instance, "s-%u-%u", domain, server);
  return cp_server_pool_find (&pool, instance);
}

/* Starts the pool of the daemon beside server SELF of DOMAIN, with
   SERVERS_EACH servers in each domain.  */
static void
start_pool (unsigned domain, unsigned self, unsigned servers_each)
{
  char zone[32];
  char name[32];

  n_linked = n_unlinked = 0;
  snprintf (zone, sizeof zone, "zone-%u", domain);
  snprintf (name, sizeof name, "10.0.%u.%u:7000", domain, self + 1);
  cp_server_pool_init (&pool, zone, name, &events, NULL);
  for (unsigned i = 0; i < DOMAINS; i++)
    for (unsigned k = 0; k < servers_each; k++)
      add_server (i, k);
  cp_server_pool_update_links (&pool);
}

static unsigned
count_linked (bool own)
{
  const struct cp_server_group *group = cp_server_pool_group (&pool, "shop");
  const GPtrArray *servers = own ? group->own : group->others;
  unsigned count = 0;

  for (unsigned i = 0; i < servers->len; i++)
    count += ((const struct cp_server *)servers->pdata[i])->linked;
  return count;
}

START_TEST (links_do_not_grow_with_the_other_domains)
{
  start_pool (0, 0, SERVERS);
  ck_assert_uint_eq (count_linked (true), SERVERS);
  ck_assert_uint_eq (count_linked (false), LINKS);
  cp_server_pool_finish (&pool);
  start_pool (0, 0, 1);
  ck_assert_uint_eq (count_linked (false), DOMAINS - 1);
  cp_server_pool_finish (&pool);
}
END_TEST

/* Every server is linked by daemons of other domains, by about as many as any
   other: five times as many callers at one than at another would herd there
   when a domain is lost.  */
START_TEST (servers_are_linked_evenly)
{
  const double mean = (double)LINKS;
  unsigned counts[DOMAINS][SERVERS] = { 0 };

  for (unsigned i = 0; i < DOMAINS; i++)
    for (unsigned k = 0; k < SERVERS; k++)
      {
        start_pool (i, k, SERVERS);
        for (unsigned domain = 0; domain < DOMAINS; domain++)
          for (unsigned server = 0; server < SERVERS; server++)
            counts[domain][server]
                += domain != i && find (domain, server)->linked;
        cp_server_pool_finish (&pool);
      }
  for (unsigned i = 0; i < DOMAINS; i++)
    for (unsigned k = 0; k < SERVERS; k++)
      {
        ck_assert_uint_ge (counts[i][k], 1);
        ck_assert_double_le (counts[i][k], 3 * mean);
      }
}
END_TEST

START_TEST (a_lost_server_is_replaced_and_the_others_stay)
{
  struct cp_server *lost = NULL;

  start_pool (0, 0, SERVERS);
  for (unsigned i = 1; i < DOMAINS && lost == NULL; i++)
    for (unsigned k = 0; k < SERVERS && lost == NULL; k++)
      if (find (i, k)->linked)
        lost = find (i, k);
  ck_assert_ptr_nonnull (lost);
  lost->link_failed = true;
  n_linked = 0;
  cp_server_pool_update_links (&pool);
  /* It is still tried, and one more is linked in its place.  */
  ck_assert (lost->linked);
  ck_assert_uint_eq (n_linked, 1);
  ck_assert_uint_eq (n_unlinked, 0);
  lost->link_failed = false;
  cp_server_pool_update_links (&pool);
  ck_assert_uint_eq (n_unlinked, 1);
  ck_assert_uint_eq (count_linked (false), LINKS);
  cp_server_pool_finish (&pool);
}
END_TEST

START_TEST (a_lost_domain_leaves_enough_links)
{
  unsigned usable = 0;

  start_pool (0, 0, SERVERS);
  for (unsigned k = 0; k < SERVERS; k++)
    find (1, k)->link_failed = find (2, k)->draining = true;
  cp_server_pool_update_links (&pool);
  ck_assert_uint_ge (count_linked (false), LINKS);
  for (unsigned i = 3; i < DOMAINS; i++)
    for (unsigned k = 0; k < SERVERS; k++)
      usable += find (i, k)->linked;
  ck_assert_uint_eq (usable, LINKS);
  cp_server_pool_finish (&pool);
}
END_TEST

/* Returns the linked server of another domain that has the lowest rank.  */
static struct cp_server *
find_last_linked (void)
{
  struct cp_server *last = NULL;

  for (unsigned i = 1; i < DOMAINS; i++)
    for (unsigned k = 0; k < SERVERS; k++)
      {
        struct cp_server *server = find (i, k);

        if (server->linked && (last == NULL || server->rank < last->rank))
          last = server;
      }
  return last;
}

START_TEST (a_link_stays_while_attempts_are_open)
{
  struct cp_server *last;

  start_pool (0, 0, SERVERS);
  last = find_last_linked ();
  last->own_in_flight = 1;
  /* Servers of a higher rank take its place.  */
  for (unsigned k = SERVERS; k < 5 * SERVERS; k++)
    add_server (1, k);
  cp_server_pool_update_links (&pool);
  ck_assert (last->linked);
  last->own_in_flight = 0;
  cp_server_pool_update_links (&pool);
  ck_assert (!last->linked);
  ck_assert_uint_eq (count_linked (false), LINKS);
  cp_server_pool_finish (&pool);
}
END_TEST

START_TEST (requests_go_to_linked_servers_only)
{
  struct cp_seeded_random seeded;
  struct cp_lateness lateness;
  struct cp_server_request request = { .service = "shop",
                                       .now_us = NOW_US,
                                       .work_us = 60000,
                                       .time_left_us = 200000,
                                       .lateness = &lateness };

  cp_seeded_random_init (&seeded, 3);
  cp_lateness_init (&lateness);
  start_pool (0, 0, SERVERS);
  for (unsigned k = 0; k < SERVERS; k++)
    find (0, k)->draining = true;
  for (unsigned i = 0; i < 200; i++)
    ck_assert (cp_server_pool_pick (&pool, &request, &seeded.random)->linked);
  cp_server_pool_finish (&pool);
  cp_seeded_random_finish (&seeded);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, links_do_not_grow_with_the_other_domains);
  tcase_add_test (tests, servers_are_linked_evenly);
  tcase_add_test (tests, a_lost_server_is_replaced_and_the_others_stay);
  tcase_add_test (tests, a_lost_domain_leaves_enough_links);
  tcase_add_test (tests, a_link_stays_while_attempts_are_open);
  tcase_add_test (tests, requests_go_to_linked_servers_only);
}

int
main (void)
{
  return suite_run ("server_links", add_tests, 20);
}

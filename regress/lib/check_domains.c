/* Evacuated failure domains, their return, and regions.  The load: six domains
   with 40 servers of a service each, of which one is evacuated and brought
   back while its servers are idle; in one day of the platform, 5,420 requests
   were sent to an evacuated domain.  */
#include <stdio.h>

#include "lib/server_pool.h"
#include "regress/harness/suite.h"

#define NOW_US UINT64_C (100000000)
#define DOMAINS 6
#define SERVERS 40 /* of the service in each domain */
#define PICKS 2000

static struct cp_server_pool pool;
static struct cp_seeded_random seeded;
static struct cp_lateness lateness;
static struct cp_server_request request;

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
}

static void
on_unlinked (void *context, struct cp_server *server)
{
  (void)context;
  server->reachable = false;
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

/* Starts the pool of a daemon in zone-0.  */
static void
setup (void)
{
  cp_seeded_random_init (&seeded, 5);
  cp_lateness_init (&lateness);
  cp_server_pool_init (&pool, "zone-0", "10.0.0.1:7000", &events, NULL);
  for (unsigned i = 0; i < DOMAINS; i++)
    for (unsigned k = 0; k < SERVERS; k++)
      add_server (i, k);
  request = (struct cp_server_request){ .service = "shop",
                                        .now_us = NOW_US,
                                        .work_us = 60000,
                                        .time_left_us = 200000,
                                        .lateness = &lateness };
  cp_server_pool_update_links (&pool);
}

static void
teardown (void)
{
  cp_server_pool_finish (&pool);
  cp_seeded_random_finish (&seeded);
}

static const struct cp_domain *
find_domain (unsigned number)
{
  char name[32];

  snprintf (name, sizeof name, "zone-%u", number);
  return cp_domains_get (&pool.domains, name);
}

/* Evacuates the domains from FIRST to LAST and chooses the links anew.  */
static void
evacuate (unsigned first, unsigned last)
{
  for (unsigned i = first; i <= last; i++)
    ck_assert (cp_domains_evacuate (&pool.domains, find_domain (i)->name));
  cp_server_pool_update_links (&pool);
}

/* Puts domains 0 and 1 into "eu", 2 and 3 into "us", and the daemon with its
   domain.  */
static void
set_regions (void)
{
  for (unsigned i = 0; i < 4; i++)
    cp_domains_set_region (&pool.domains, find_domain (i)->name,
                           i < 2 ? "eu" : "us");
  cp_domains_set_own_region (&pool.domains, "");
  cp_server_pool_update_links (&pool);
}

static struct cp_server *
pick (void)
{
  return cp_server_pool_pick (&pool, &request, &seeded.random);
}

/* Returns how many of PICKS choices are servers of DOMAIN.  */
static unsigned
count_picks (unsigned domain)
{
  unsigned count = 0;

  for (unsigned i = 0; i < PICKS; i++)
    {
      const struct cp_server *server = pick ();

      ck_assert_ptr_nonnull (server);
      count += server->domain == find_domain (domain);
    }
  return count;
}

/* Guards against requests to an evacuated domain, whose idle servers look
   better than all others.  */
START_TEST (an_evacuated_domain_is_never_chosen)
{
  ck_assert_uint_eq (count_picks (0), PICKS);
  evacuate (0, 1);
  ck_assert_uint_eq (count_picks (0) + count_picks (1), 0);
  /* An unknown domain changes nothing.  */
  ck_assert (cp_domains_evacuate (&pool.domains, "nowhere"));
  ck_assert_uint_eq (count_picks (0) + count_picks (1), 0);
}
END_TEST

START_TEST (evacuating_twice_is_one_evacuation)
{
  ck_assert (cp_domains_evacuate (&pool.domains, "zone-0"));
  ck_assert (!cp_domains_evacuate (&pool.domains, "zone-0"));
  ck_assert_uint_eq (pool.domains.n_evacuated, 1);
  ck_assert (cp_domains_bring_back (&pool.domains, "zone-0", NOW_US));
  ck_assert (!cp_domains_bring_back (&pool.domains, "zone-0", NOW_US));
  ck_assert (!cp_domains_bring_back (&pool.domains, "nowhere", NOW_US));
  ck_assert_uint_eq (pool.domains.n_evacuated, 0);
}
END_TEST

START_TEST (without_a_domain_no_server_is_eligible)
{
  evacuate (0, DOMAINS - 1);
  ck_assert_ptr_null (pick ());
  ck_assert_int_eq (cp_server_pool_explain (&pool, &request),
                    CP_PICK_EVACUATED);
  request.service = "unknown";
  ck_assert_ptr_null (pick ());
  ck_assert_int_eq (cp_server_pool_explain (&pool, &request),
                    CP_PICK_NO_SERVER);
}
END_TEST

/* Guards against too few links elsewhere: those to servers of evacuated
   domains don't count.  */
START_TEST (links_are_replaced_by_those_to_other_domains)
{
  const struct cp_server_group *group = cp_server_pool_group (&pool, "shop");
  unsigned linked = 0;

  evacuate (1, 3);
  for (unsigned i = 0; i < group->others->len; i++)
    {
      const struct cp_server *server = group->others->pdata[i];

      linked += server->linked && !server->domain->evacuated;
    }
  ck_assert_uint_ge (linked, 8);
}
END_TEST

/* Guards against a surge when a domain is brought back: hundreds of daemons
   learn of it at the same time, and its servers are idle.  The share of the
   requests that choose it grows over three seconds.  */
START_TEST (a_domain_that_is_brought_back_gets_a_growing_share)
{
  static const unsigned steps_ms[] = { 1, 300, 750, 1500, 2250, 2700, 3000 };

  evacuate (0, 0);
  ck_assert (cp_domains_bring_back (&pool.domains, "zone-0", NOW_US));
  for (unsigned i = 0; i < G_N_ELEMENTS (steps_ms); i++)
    {
      double expected = steps_ms[i] / 3000.0;

      request.now_us = NOW_US + steps_ms[i] * CP_US_PER_MS;
      ck_assert_double_eq_tol ((double)count_picks (0) / PICKS, expected,
                               0.05);
    }
  request.now_us = NOW_US + 3000 * CP_US_PER_MS;
  ck_assert_uint_eq (count_picks (0), PICKS);
}
END_TEST

/* Guards against refusals while the only domain that is not evacuated
   returns.  */
START_TEST (a_returning_domain_is_chosen_when_no_other_is_left)
{
  evacuate (0, DOMAINS - 1);
  ck_assert (cp_domains_bring_back (&pool.domains, "zone-2", NOW_US));
  cp_server_pool_update_links (&pool);
  request.now_us = NOW_US + 10 * CP_US_PER_MS;
  ck_assert_uint_eq (count_picks (2), PICKS);
}
END_TEST

/* Guards against a domain that is evacuated again during its return, and
   against an old return that counts after a second evacuation.  */
START_TEST (an_evacuation_during_the_return_counts_at_once)
{
  evacuate (0, 0);
  ck_assert (cp_domains_bring_back (&pool.domains, "zone-0", NOW_US));
  request.now_us = NOW_US + 1000 * CP_US_PER_MS;
  evacuate (0, 0);
  ck_assert_uint_eq (count_picks (0), 0);
  ck_assert (cp_domains_bring_back (&pool.domains, "zone-0", request.now_us));
  ck_assert_double_eq (cp_domain_share (find_domain (0), request.now_us), 0);
}
END_TEST

/* Guards against an evacuation that ends at once since the store has lost its
   key, one that the lapse ends although the key came back, and one that never
   ends.  */
START_TEST (a_lost_evacuation_lapses_unless_it_comes_back)
{
  uint64_t until_us = NOW_US + 5 * CP_US_PER_S;

  evacuate (0, 1);
  cp_domains_lapse (&pool.domains, "zone-0", until_us);
  cp_domains_lapse (&pool.domains, "zone-1", until_us);
  cp_domains_lapse (&pool.domains, "zone-1", until_us + CP_US_PER_S);
  cp_domains_lapse (&pool.domains, "zone-2", until_us);
  ck_assert (!cp_domains_evacuate (&pool.domains, "zone-0"));
  ck_assert_ptr_null (cp_domains_expire (&pool.domains, until_us - 1));
  ck_assert_ptr_eq (cp_domains_expire (&pool.domains, until_us),
                    find_domain (1));
  ck_assert_ptr_null (cp_domains_expire (&pool.domains, until_us));
  ck_assert (find_domain (0)->evacuated);
  ck_assert_uint_eq (pool.domains.n_evacuated, 1);
  ck_assert_double_eq (cp_domain_share (find_domain (1), until_us), 0);
}
END_TEST

/* Guards against a call that is sent to one server after another of a domain
   that is evacuated, by a daemon that does not know it yet.  */
START_TEST (a_domain_that_refused_a_request_is_left_out_for_it)
{
  const struct cp_domain *refused[] = { find_domain (0) };

  request.refused = refused;
  request.n_refused = 1;
  ck_assert_uint_eq (count_picks (0), 0);
  request.n_refused = 0;
  ck_assert_uint_eq (count_picks (0), PICKS);
}
END_TEST

/* Guards against requests that leave the regions of their route, and against
   a refusal that names another reason.  */
START_TEST (only_servers_in_allowed_regions_are_chosen)
{
  static char *us[] = { "nowhere", "us", NULL };
  static char *nowhere[] = { "nowhere", NULL };

  set_regions ();
  request.regions = us;
  for (unsigned i = 0; i < PICKS; i++)
    ck_assert_str_eq (pick ()->domain->region->name, "us");
  evacuate (2, 3);
  ck_assert_ptr_null (pick ());
  ck_assert_int_eq (cp_server_pool_explain (&pool, &request), CP_PICK_REGION);
  request.regions = nowhere;
  ck_assert_ptr_null (pick ());
  ck_assert_int_eq (cp_server_pool_explain (&pool, &request), CP_PICK_REGION);
}
END_TEST

START_TEST (an_empty_list_allows_only_the_own_region)
{
  static char *none[] = { NULL };

  request.regions = none;
  /* The own region is not known: only the own domain is surely in it.  */
  ck_assert_uint_eq (count_picks (0), PICKS);
  set_regions ();
  evacuate (0, 0);
  ck_assert_uint_eq (count_picks (1), PICKS);
  cp_domains_set_own_region (&pool.domains, "us");
  ck_assert_uint_eq (count_picks (0) + count_picks (1), 0);
  cp_domains_clear_regions (&pool.domains);
  ck_assert_ptr_null (pick ());
}
END_TEST

START_TEST (every_region_has_links)
{
  const struct cp_server_group *group = cp_server_pool_group (&pool, "shop");
  unsigned linked[DOMAINS] = { 0 };

  set_regions ();
  for (unsigned i = 0; i < group->others->len; i++)
    {
      const struct cp_server *server = group->others->pdata[i];

      for (unsigned k = 1; k < DOMAINS; k++)
        linked[k] += server->linked && server->domain == find_domain (k);
    }
  ck_assert_uint_ge (linked[1], 4);
  ck_assert_uint_ge (linked[2] + linked[3], 4);
  ck_assert_uint_le (linked[1] + linked[2] + linked[3] + linked[4] + linked[5],
                     16);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, an_evacuated_domain_is_never_chosen);
  tcase_add_test (tests, evacuating_twice_is_one_evacuation);
  tcase_add_test (tests, without_a_domain_no_server_is_eligible);
  tcase_add_test (tests, links_are_replaced_by_those_to_other_domains);
  tcase_add_test (tests, a_domain_that_is_brought_back_gets_a_growing_share);
  tcase_add_test (tests, a_returning_domain_is_chosen_when_no_other_is_left);
  tcase_add_test (tests, an_evacuation_during_the_return_counts_at_once);
  tcase_add_test (tests, a_lost_evacuation_lapses_unless_it_comes_back);
  tcase_add_test (tests, a_domain_that_refused_a_request_is_left_out_for_it);
  tcase_add_test (tests, only_servers_in_allowed_regions_are_chosen);
  tcase_add_test (tests, an_empty_list_allows_only_the_own_region);
  tcase_add_test (tests, every_region_has_links);
}

int
main (void)
{
  return suite_run ("domains", add_tests, 20);
}

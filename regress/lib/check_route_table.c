/* Routing: hosts, prefixes, weighted services.  */
#include <string.h>
#include <time.h>

#include "lib/clock.h"
#include "lib/route_table.h"
#include "regress/harness/suite.h"

static struct cp_route_table_entry *
add_route (struct cp_route_table *table, const char *host, const char *prefix,
           const char *service)
{
  struct cp_route_table_entry *route
      = cp_route_table_add_route (table, host, prefix);

  route->name = g_strdup (prefix);
  cp_route_table_add_weighted_service (route, service, 1);
  return route;
}

START_TEST (the_longest_prefix_of_the_host_wins)
{
  struct cp_route_table *table = cp_route_table_create (1);

  add_route (table, "a.test", "/x/", "short");
  add_route (table, "a.test", "/x/y/", "long");
  add_route (table, "b.test", "/x/", "other");
  cp_route_table_finish_build (table, NULL);
  ck_assert_str_eq (
      cp_route_table_find (table, "a.test", "/x/y/z")->services[0].service,
      "long");
  ck_assert_str_eq (
      cp_route_table_find (table, "a.test", "/x/z?q")->services[0].service,
      "short");
  ck_assert_str_eq (
      cp_route_table_find (table, "B.Test:80", "/x/1")->services[0].service,
      "other");
  ck_assert_ptr_null (cp_route_table_find (table, "a.test", "/x"));
  ck_assert_ptr_null (cp_route_table_find (table, "c.test", "/x/1"));
  ck_assert_ptr_null (cp_route_table_find (table, NULL, "/x/1"));
  cp_route_table_unref (table);
}
END_TEST

static struct cp_route_table *
create_weighted (uint64_t version, unsigned first, unsigned second,
                 unsigned third, const struct cp_route_table *old)
{
  struct cp_route_table *table = cp_route_table_create (version);
  struct cp_route_table_entry *route
      = cp_route_table_add_route (table, "a.test", "/");

  route->name = g_strdup ("mix");
  cp_route_table_add_weighted_service (route, "first", first);
  cp_route_table_add_weighted_service (route, "second", second);
  cp_route_table_add_weighted_service (route, "third", third);
  cp_route_table_finish_build (table, old);
  return table;
}

/* In every run of picks, the first service's count differs from its share by
   at most two picks.  */
START_TEST (every_run_of_picks_matches_the_weights)
{
  struct cp_route_table *table = create_weighted (1, 70, 25, 5, NULL);
  struct cp_route_table_entry *route
      = cp_route_table_find (table, "a.test", "/");
  unsigned counts[401] = { 0 };

  for (unsigned i = 1; i <= 400; i++)
    counts[i] = counts[i - 1]
                + (cp_route_table_pick_service (route)[0] == 'f' ? 1 : 0);
  for (unsigned from = 0; from < 400; from += 7)
    for (unsigned to = from + 10; to <= 400; to += 13)
      {
        double share = 0.7 * (to - from);

        ck_assert_double_le (counts[to] - counts[from], share + 2);
        ck_assert_double_ge (counts[to] - counts[from], share - 2);
      }
  cp_route_table_unref (table);
}
END_TEST

/* With a new version after every third pick, the picks must not start with the
   heaviest service each time.  */
START_TEST (new_versions_keep_the_round_robin_state)
{
  struct cp_route_table *table = create_weighted (1, 50, 30, 20, NULL);
  unsigned first = 0;

  for (unsigned version = 2; version < 102; version++)
    {
      struct cp_route_table *next;

      for (unsigned i = 0; i < 3; i++)
        first += cp_route_table_pick_service (
                     cp_route_table_find (table, "a.test", "/"))[0]
                 == 'f';
      next = create_weighted (version, 50, 30, 20, table);
      cp_route_table_unref (table);
      table = next;
    }
  ck_assert_uint_ge (first, 148);
  ck_assert_uint_le (first, 152);
  cp_route_table_unref (table);
}
END_TEST

START_TEST (a_service_of_weight_zero_gets_nothing)
{
  struct cp_route_table *table = create_weighted (1, 0, 1, 1, NULL);

  for (unsigned i = 0; i < 50; i++)
    ck_assert_str_ne (cp_route_table_pick_service (
                          cp_route_table_find (table, "a.test", "/")),
                      "first");
  cp_route_table_unref (table);
  table = create_weighted (1, 0, 0, 0, NULL);
  ck_assert_ptr_null (cp_route_table_pick_service (
      cp_route_table_find (table, "a.test", "/")));
  cp_route_table_unref (table);
}
END_TEST

START_TEST (the_first_of_duplicate_routes_is_kept)
{
  struct cp_route_table *table = cp_route_table_create (1);

  add_route (table, "a.test", "/x/", "first");
  add_route (table, "a.test", "/y/", "other");
  add_route (table, "a.test", "/x/", "second");
  cp_route_table_finish_build (table, NULL);
  ck_assert_str_eq (
      cp_route_table_find (table, "a.test", "/x/1")->services[0].service,
      "first");
  ck_assert_uint_eq (table->n_routes, 2);
  cp_route_table_unref (table);
}
END_TEST

#define WORD_BYTES 16

/* Writes a path of up to three segments, each of one or two characters out of
   three.  With ALLOW_OPEN_END it may lack the final slash.  */
static void
write_path (char path[WORD_BYTES], uint32_t number, bool allow_open_end)
{
  unsigned length = 0;

  path[length++] = '/';
  for (unsigned segments = number % 4; segments > 0; segments--)
    {
      number /= 4;
      path[length++] = "ab-"[number % 3];
      number /= 3;
      if (number % 2 == 1)
        path[length++] = "ab-"[number % 3];
      path[length++] = '/';
    }
  if (allow_open_end && number % 2 == 0)
    path[length++] = 'b';
  path[length] = '\0';
}

/* Finds the longest prefix of PATH by linear search.  */
static const char *
longest_prefix (char prefixes[][WORD_BYTES], unsigned count, const char *path)
{
  const char *best = NULL;

  for (unsigned i = 0; i < count; i++)
    if (strncmp (path, prefixes[i], strlen (prefixes[i])) == 0
        && (best == NULL || strlen (prefixes[i]) > strlen (best)))
      best = prefixes[i];
  return best;
}

#define PREFIXES 40
#define PATHS 400

/* For any set of prefixes, nested or not, the lookup finds the same route as a
   linear search.  */
START_TEST (lookup_matches_a_linear_search)
{
  struct cp_route_table *table = cp_route_table_create (1);
  char prefixes[PREFIXES][WORD_BYTES];
  GRand *random = g_rand_new_with_seed ((guint32)_i + 1);

  for (unsigned i = 0; i < PREFIXES; i++)
    {
      write_path (prefixes[i], g_rand_int (random), false);
      if (strcmp (prefixes[i], "/") == 0 && _i % 2 == 1)
        strcpy (prefixes[i], "/a/");
      add_route (table, "a.test", prefixes[i], prefixes[i]);
    }
  cp_route_table_finish_build (table, NULL);
  for (unsigned i = 0; i < PATHS; i++)
    {
      char path[WORD_BYTES];
      const struct cp_route_table_entry *route;
      const char *expected;

      write_path (path, g_rand_int (random), true);
      route = cp_route_table_find (table, "a.test", path);
      expected = longest_prefix (prefixes, PREFIXES, path);
      ck_assert_int_eq (route == NULL, expected == NULL);
      if (route != NULL)
        ck_assert_str_eq (route->prefix, expected);
    }
  g_rand_free (random);
  cp_route_table_unref (table);
}
END_TEST

static struct cp_route_table *
create_with_routes (uint64_t version, unsigned count,
                    const struct cp_route_table *old)
{
  struct cp_route_table *table = cp_route_table_create (version);

  for (unsigned i = 0; i < count; i++)
    {
      char prefix[WORD_BYTES];

      g_snprintf (prefix, sizeof prefix, "/r%u/", i);
      add_route (table, "a.test", prefix, "s");
    }
  cp_route_table_finish_build (table, old);
  return table;
}

static uint64_t
cpu_us (void)
{
  struct timespec now;

  clock_gettime (CLOCK_THREAD_CPUTIME_ID, &now);
  return (uint64_t)now.tv_sec * CP_US_PER_S + (uint64_t)now.tv_nsec / 1000;
}

/* Returns the least processor time of a few rebuilds with COUNT routes.  */
static uint64_t
measure_update_cpu_us (unsigned count)
{
  struct cp_route_table *table = create_with_routes (1, count, NULL);
  uint64_t least = UINT64_MAX;

  for (unsigned version = 2; version < 5; version++)
    {
      uint64_t began = cpu_us ();
      struct cp_route_table *next = create_with_routes (version, count, table);

      least = MIN (least, cpu_us () - began);
      cp_route_table_unref (table);
      table = next;
    }
  cp_route_table_unref (table);
  return least;
}

/* On a machine with a tenth of a core, an update that takes 10 ms of processor
   time blocks requests for 100 ms.  The time may grow linearly with the number
   of routes, not quadratically: 16 times the routes may take up to 64 times as
   long.  */
START_TEST (update_cost_is_linear_in_the_routes)
{
  uint64_t few = MAX (measure_update_cpu_us (500), 1);
  uint64_t many = measure_update_cpu_us (8000);

  ck_assert_uint_le (many, 64 * few);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, the_longest_prefix_of_the_host_wins);
  tcase_add_test (tests, every_run_of_picks_matches_the_weights);
  tcase_add_test (tests, new_versions_keep_the_round_robin_state);
  tcase_add_test (tests, a_service_of_weight_zero_gets_nothing);
  tcase_add_test (tests, the_first_of_duplicate_routes_is_kept);
  tcase_add_loop_test (tests, lookup_matches_a_linear_search, 0, 20);
  tcase_add_test (tests, update_cost_is_linear_in_the_routes);
}

int
main (void)
{
  return suite_run ("route_table", add_tests, 20);
}

/* Routing: hosts, prefixes, weighted parts.  */
#include "lib/table.h"
#include "regress/harness/suite.h"

static struct cp_table_route *
add (struct cp_table *table, const char *host, const char *prefix,
     const char *service)
{
  struct cp_table_route *route = cp_table_add_route (table, host, prefix);

  route->name = g_strdup (prefix);
  cp_table_add_part (route, service, 1);
  return route;
}

START_TEST (the_longest_prefix_of_the_host_wins)
{
  struct cp_table *table = cp_table_create (1);

  add (table, "a.test", "/x/", "short");
  add (table, "a.test", "/x/y/", "long");
  add (table, "b.test", "/x/", "other");
  cp_table_finish_build (table, NULL);
  ck_assert_str_eq (
      cp_table_route (table, "a.test", "/x/y/z")->parts[0].service, "long");
  ck_assert_str_eq (
      cp_table_route (table, "a.test", "/x/z?q")->parts[0].service, "short");
  ck_assert_str_eq (
      cp_table_route (table, "B.Test:80", "/x/1")->parts[0].service, "other");
  ck_assert_ptr_null (cp_table_route (table, "a.test", "/x"));
  ck_assert_ptr_null (cp_table_route (table, "c.test", "/x/1"));
  ck_assert_ptr_null (cp_table_route (table, NULL, "/x/1"));
  cp_table_unref (table);
}
END_TEST

static struct cp_table *
weighted (uint64_t version, unsigned first, unsigned second, unsigned third,
          const struct cp_table *old)
{
  struct cp_table *table = cp_table_create (version);
  struct cp_table_route *route = cp_table_add_route (table, "a.test", "/");

  route->name = g_strdup ("mix");
  cp_table_add_part (route, "first", first);
  cp_table_add_part (route, "second", second);
  cp_table_add_part (route, "third", third);
  cp_table_finish_build (table, old);
  return table;
}

/* In every run of picks, each part's share is off by less than one pick for
   each part.  */
START_TEST (parts_keep_their_weights_in_every_run)
{
  struct cp_table *table = weighted (1, 70, 25, 5, NULL);
  struct cp_table_route *route = cp_table_route (table, "a.test", "/");
  unsigned counts[401] = { 0 };

  for (unsigned i = 1; i <= 400; i++)
    counts[i] = counts[i - 1] + (cp_table_pick_part (route)[0] == 'f' ? 1 : 0);
  for (unsigned from = 0; from < 400; from += 7)
    for (unsigned to = from + 10; to <= 400; to += 13)
      {
        double share = 0.7 * (to - from);

        ck_assert_double_le (counts[to] - counts[from], share + 2);
        ck_assert_double_ge (counts[to] - counts[from], share - 2);
      }
  cp_table_unref (table);
}
END_TEST

/* A new version after every third pick must not begin with the heaviest part
   each time.  */
START_TEST (new_versions_go_on_from_where_the_parts_were)
{
  struct cp_table *table = weighted (1, 50, 30, 20, NULL);
  unsigned first = 0;

  for (unsigned version = 2; version < 102; version++)
    {
      struct cp_table *next;

      for (unsigned i = 0; i < 3; i++)
        first += cp_table_pick_part (cp_table_route (table, "a.test", "/"))[0]
                 == 'f';
      next = weighted (version, 50, 30, 20, table);
      cp_table_unref (table);
      table = next;
    }
  ck_assert_uint_ge (first, 148);
  ck_assert_uint_le (first, 152);
  cp_table_unref (table);
}
END_TEST

START_TEST (a_part_of_weight_zero_gets_nothing)
{
  struct cp_table *table = weighted (1, 0, 1, 1, NULL);

  for (unsigned i = 0; i < 50; i++)
    ck_assert_str_ne (
        cp_table_pick_part (cp_table_route (table, "a.test", "/")), "first");
  cp_table_unref (table);
  table = weighted (1, 0, 0, 0, NULL);
  ck_assert_ptr_null (
      cp_table_pick_part (cp_table_route (table, "a.test", "/")));
  cp_table_unref (table);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, the_longest_prefix_of_the_host_wins);
  tcase_add_test (tests, parts_keep_their_weights_in_every_run);
  tcase_add_test (tests, new_versions_go_on_from_where_the_parts_were);
  tcase_add_test (tests, a_part_of_weight_zero_gets_nothing);
}

int
main (void)
{
  return suite_run ("table", add_tests, 20);
}

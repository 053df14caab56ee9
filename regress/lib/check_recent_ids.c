/* Tests of the memory for request IDs.  */
#include "lib/clock.h"
#include "lib/recent_ids.h"
#include "regress/harness/suite.h"

#define KEEP_US (5 * CP_US_PER_S)

static struct cp_recent_ids ids;

static void
setup (void)
{
  cp_recent_ids_init (&ids, KEEP_US);
}

static void
teardown (void)
{
  cp_recent_ids_finish (&ids);
}

/* Guards against an ID that is forgotten too soon, wherever its time lies.  */
START_TEST (an_id_is_contained_for_its_time)
{
  uint64_t began_us = 100 * KEEP_US;

  for (uint64_t at_us = began_us; at_us < began_us + 3 * KEEP_US;
       at_us += CP_US_PER_S / 4)
    {
      g_autofree char *id = g_strdup_printf ("r%" G_GUINT64_FORMAT, at_us);

      ck_assert (!cp_recent_ids_add (&ids, id, at_us));
      ck_assert (cp_recent_ids_add (&ids, id, at_us));
      if (at_us - began_us >= KEEP_US)
        {
          g_autofree char *old
              = g_strdup_printf ("r%" G_GUINT64_FORMAT, at_us - KEEP_US);

          ck_assert (cp_recent_ids_add (&ids, old, at_us));
        }
    }
}
END_TEST

/* Guards against a memory that grows without end, and against a request that
   counts as repeated for one of long ago.  */
START_TEST (an_id_is_forgotten_after_twice_its_time)
{
  cp_recent_ids_add (&ids, "a", 100 * KEEP_US);
  cp_recent_ids_add (&ids, "b", 101 * KEEP_US);
  ck_assert (!cp_recent_ids_add (&ids, "c", 102 * KEEP_US));
  ck_assert (!cp_recent_ids_add (&ids, "a", 102 * KEEP_US));
  ck_assert (!cp_recent_ids_add (&ids, "c", 109 * KEEP_US));
  ck_assert_uint_eq (g_hash_table_size (ids.newer), 1);
  ck_assert_uint_eq (g_hash_table_size (ids.older), 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, an_id_is_contained_for_its_time);
  tcase_add_test (tests, an_id_is_forgotten_after_twice_its_time);
}

int
main (void)
{
  return suite_run ("recent_ids", add_tests, 20);
}

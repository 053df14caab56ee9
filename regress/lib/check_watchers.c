/* Reads of the configuration service stay within their share after a start,
   during an outage and after it; digests compare consistently on both sides.
   */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/cleanup.h"
#include "lib/clock.h"
#include "lib/digest.h"
#include "lib/watchers.h"
#include "regress/harness/suite.h"

#define FLEET 4400
#define DOMAINS 9
#define SECONDS 60
#define LIST_BYTES 440000

/* A reader in virtual time.  */
struct reader
{
  uint64_t next_us;
  unsigned failures;
};

static const struct cp_read_budget fleet_budget
    = { .reads_per_s = 2000, .most_share = 0.25, .daemons = FLEET };

/* All daemons start at once: each reads the VM list, then the document; the
   list is read again only after its interval.  Returns the highest number of
   reads in one second.  */
static unsigned
peak_reads_after_start (uint64_t seed)
{
  struct cp_seeded_random seeded;
  uint64_t intervals[2] = { cp_read_document_interval_us (&fleet_budget),
                            cp_read_list_interval_us (&fleet_budget, 0) };
  unsigned counts[SECONDS] = { 0 };
  unsigned most = 0;

  cp_seeded_random_init (&seeded, seed);
  for (unsigned i = 0; i < FLEET; i++)
    {
      uint64_t first_us
          = cp_read_first_delay_us (&fleet_budget, &seeded.random);

      counts[first_us / CP_US_PER_S]++;
      for (unsigned kind = 0; kind < 2; kind++)
        {
          uint64_t at = first_us + (kind == 1 ? intervals[kind] : 0);

          while ((at += cp_read_next_delay_us (intervals[kind], 0,
                                               &seeded.random))
                 < SECONDS * CP_US_PER_S)
            counts[at / CP_US_PER_S]++;
        }
    }
  for (unsigned s = 0; s < SECONDS; s++)
    most = counts[s] > most ? counts[s] : most;
  cp_seeded_random_finish (&seeded);
  return most;
}

START_TEST (reads_are_bounded_after_a_fleet_start)
{
  ck_assert_uint_lt (peak_reads_after_start ((uint64_t)_i + 1), 500);
}
END_TEST

/* Simulates N daemons, each reading the document and the VM list for SECONDS,
   while the reads of the first OUTAGE_S seconds fail.  Returns the highest
   number of reads in one second, of both kinds together.  */
static unsigned
peak_reads (uint64_t seed, unsigned n, uint64_t outage_s)
{
  struct cp_seeded_random seeded;
  struct reader *readers = calloc (2 * n, sizeof *readers);
  uint64_t intervals[2] = { cp_read_document_interval_us (&fleet_budget),
                            cp_read_list_interval_us (&fleet_budget, 0) };
  unsigned counts[SECONDS] = { 0 };
  unsigned most = 0;

  cp_seeded_random_init (&seeded, seed);
  for (unsigned i = 0; i < 2 * n; i++)
    {
      uint64_t interval = intervals[i % 2];

      readers[i].next_us = cp_read_next_delay_us (interval, 0, &seeded.random);
      while (readers[i].next_us < SECONDS * CP_US_PER_S)
        {
          uint64_t second = readers[i].next_us / CP_US_PER_S;

          counts[second]++;
          readers[i].failures
              = second < outage_s ? readers[i].failures + 1 : 0;
          readers[i].next_us += cp_read_next_delay_us (
              interval, readers[i].failures, &seeded.random);
        }
    }
  for (unsigned s = 0; s < SECONDS; s++)
    most = counts[s] > most ? counts[s] : most;
  free (readers);
  cp_seeded_random_finish (&seeded);
  return most;
}

START_TEST (reads_are_bounded_when_all_are_watchers)
{
  ck_assert_uint_lt (peak_reads ((uint64_t)_i + 1, FLEET, 0), 500);
}
END_TEST

START_TEST (reads_are_bounded_after_an_outage)
{
  ck_assert_uint_lt (peak_reads ((uint64_t)_i + 1, FLEET, 30), 500);
}
END_TEST

START_TEST (the_bound_holds_for_any_settings)
{
  struct cp_seeded_random seeded;

  cp_seeded_random_init (&seeded, 7);
  for (unsigned i = 0; i < 10000; i++)
    {
      struct cp_read_budget budget
          = { .reads_per_s = 1 + cp_random_unit (&seeded.random) * 5000,
              .most_share = 0.01 + cp_random_unit (&seeded.random) * 0.99,
              .daemons
              = 1 + (unsigned)cp_random_below (&seeded.random, 9000) };
      double document = 1e6 / (double)cp_read_document_interval_us (&budget);
      double list
          = 1e6 / (double)cp_read_list_interval_us (&budget, LIST_BYTES);

      ck_assert_double_le ((document + list) * budget.daemons,
                           budget.reads_per_s * budget.most_share);
      ck_assert_double_le (list * LIST_BYTES, CP_LIST_BYTES_PER_S);
    }
  cp_seeded_random_finish (&seeded);
}
END_TEST

/* Each domain elects at least the wanted number of watchers even when their
   lists differ, and the watchers together read often enough.  */
START_TEST (each_domain_has_watchers)
{
  static char names[FLEET / DOMAINS][16];
  const char *vms[FLEET / DOMAINS];
  unsigned n = FLEET / DOMAINS;
  unsigned wanted = cp_watchers_per_domain (&fleet_budget, DOMAINS);
  unsigned elected = 0;
  unsigned elected_by_half = 0;

  for (unsigned i = 0; i < n; i++)
    {
      snprintf (names[i], sizeof names[i], "vm-%u", i);
      vms[i] = names[i];
    }
  for (unsigned i = 0; i < n; i++)
    {
      elected += cp_watchers_elected ("east", vms[i], vms, n, wanted);
      elected_by_half
          += cp_watchers_elected ("east", vms[i], vms, n / 2, wanted);
    }
  ck_assert_uint_eq (elected, wanted);
  ck_assert_uint_ge (elected_by_half, wanted);
  ck_assert_double_ge (
      wanted * DOMAINS * 1e6
          / (double)cp_read_document_interval_us (&fleet_budget),
      CP_WATCHER_READS_PER_S);
}
END_TEST

static void
random_digest (struct cp_digest *digest, const struct cp_random *random)
{
  memset (digest, 0, sizeof *digest);
  digest->version = 1 + cp_random_below (random, 4);
  for (unsigned i = 0; i < 4; i++)
    {
      struct cp_digest_entry *entry = &digest->entries[digest->count];

      if (cp_random_unit (random) < 0.3)
        continue;
      snprintf (entry->name, sizeof entry->name, "section-%u", i);
      entry->version = 1 + cp_random_below (random, digest->version);
      entry->since = 1;
      entry->hash = cp_random_below (random, 3);
      digest->count++;
    }
}

/* Of two daemons, at most one fetches a section from the other.  */
START_TEST (at_most_one_side_fetches)
{
  struct cp_seeded_random seeded;
  CP_AUTO_FREE struct cp_digest *a = malloc (sizeof *a);
  CP_AUTO_FREE struct cp_digest *b = malloc (sizeof *b);

  cp_seeded_random_init (&seeded, 11);
  for (unsigned i = 0; i < 20000; i++)
    {
      char name[16];

      random_digest (a, &seeded.random);
      random_digest (b, &seeded.random);
      snprintf (name, sizeof name, "section-%u", i % 4);
      if (cp_digest_compare (a, b, name) == CP_DIGEST_FETCH)
        ck_assert_int_ne (cp_digest_compare (b, a, name), CP_DIGEST_FETCH);
      if (cp_digest_hash (a) == cp_digest_hash (b))
        ck_assert (!cp_digest_has_updates (a, b)
                   && !cp_digest_has_updates (b, a));
    }
  cp_seeded_random_finish (&seeded);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, reads_are_bounded_when_all_are_watchers, 0, 10);
  tcase_add_loop_test (tests, reads_are_bounded_after_an_outage, 0, 10);
  tcase_add_loop_test (tests, reads_are_bounded_after_a_fleet_start, 0, 10);
  tcase_add_test (tests, the_bound_holds_for_any_settings);
  tcase_add_test (tests, each_domain_has_watchers);
  tcase_add_test (tests, at_most_one_side_fetches);
}

int
main (void)
{
  return suite_run ("watchers", add_tests, 60);
}

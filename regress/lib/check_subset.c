/* Subsets of large services.  */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/subset.h"
#include "regress/harness/suite.h"

#define DOMAINS 9
#define SERVICE_TARGETS 1000
#define OUTBOUND_SIDES 4400

static void
make_service (struct cp_service *service, unsigned n_targets)
{
  memset (service, 0, sizeof *service);
  service->targets = calloc (n_targets + 1, sizeof *service->targets);
  service->n_targets = n_targets;
  for (unsigned i = 0; i < n_targets; i++)
    {
      snprintf (service->targets[i].name, CP_NAME_BYTES, "target-%u", i);
      snprintf (service->targets[i].failure_domain, CP_NAME_BYTES, "domain-%u",
                i % DOMAINS);
    }
}

static unsigned
choose (const struct cp_service *service, unsigned outbound,
        unsigned indices[CP_SUBSET_TARGETS])
{
  char vm[32];
  char domain[32];

  snprintf (vm, sizeof vm, "vm-%u", outbound);
  snprintf (domain, sizeof domain, "domain-%u", outbound % DOMAINS);
  return cp_subset_choose (service, vm, domain, CP_SUBSET_TARGETS, indices);
}

START_TEST (a_small_service_is_tracked_whole)
{
  struct cp_service service;
  unsigned indices[CP_SUBSET_TARGETS];

  make_service (&service, CP_SUBSET_TARGETS);
  ck_assert_uint_eq (choose (&service, 7, indices), CP_SUBSET_TARGETS);
  for (unsigned i = 0; i < CP_SUBSET_TARGETS; i++)
    ck_assert_uint_eq (indices[i], i);
  free (service.targets);
}
END_TEST

START_TEST (targets_get_similar_numbers_of_outbound_sides)
{
  struct cp_service service;
  unsigned indices[CP_SUBSET_TARGETS];
  unsigned counts[SERVICE_TARGETS] = { 0 };
  double mean = (double)OUTBOUND_SIDES * CP_SUBSET_TARGETS / SERVICE_TARGETS;
  /* Of 1000 binomial counts, one differs by more than 4.5 standard deviations
     from the mean in about one of 150 samples.  The hash is fixed, so the
     result is the same in every run.  */
  double margin = 4.5 * sqrt (mean);

  make_service (&service, SERVICE_TARGETS);
  for (unsigned i = 0; i < OUTBOUND_SIDES; i++)
    {
      ck_assert_uint_eq (choose (&service, i, indices), CP_SUBSET_TARGETS);
      for (unsigned j = 0; j < CP_SUBSET_TARGETS; j++)
        counts[indices[j]]++;
    }
  for (unsigned i = 0; i < SERVICE_TARGETS; i++)
    ck_assert_msg (fabs (counts[i] - mean) < margin, "%u: %u, mean %f", i,
                   counts[i], mean);
  free (service.targets);
}
END_TEST

START_TEST (a_leaving_target_changes_only_its_own_place)
{
  struct cp_service service;
  struct cp_service smaller;
  unsigned before[CP_SUBSET_TARGETS];
  unsigned after[CP_SUBSET_TARGETS];
  const unsigned removed = 500;

  make_service (&service, SERVICE_TARGETS);
  make_service (&smaller, SERVICE_TARGETS);
  memmove (&smaller.targets[removed], &smaller.targets[removed + 1],
           (SERVICE_TARGETS - removed - 1) * sizeof *smaller.targets);
  smaller.n_targets--;
  for (unsigned i = 0; i < 500; i++)
    {
      unsigned moved = 0;
      bool had = false;

      choose (&service, i, before);
      choose (&smaller, i, after);
      for (unsigned j = 0; j < CP_SUBSET_TARGETS; j++)
        {
          bool kept = false;

          had |= before[j] == removed;
          for (unsigned k = 0; k < CP_SUBSET_TARGETS; k++)
            kept |= strcmp (service.targets[before[j]].name,
                            smaller.targets[after[k]].name)
                    == 0;
          moved += !kept;
        }
      ck_assert_uint_eq (moved, had ? 1 : 0);
    }
  free (service.targets);
  free (smaller.targets);
}
END_TEST

START_TEST (same_domain_targets_do_not_crowd_out_the_others)
{
  struct cp_service service;
  unsigned indices[CP_SUBSET_TARGETS];

  make_service (&service, SERVICE_TARGETS);
  for (unsigned i = 0; i < 200; i++)
    {
      unsigned same_domain = 0;

      choose (&service, i, indices);
      for (unsigned j = 0; j < CP_SUBSET_TARGETS; j++)
        same_domain += indices[j] % DOMAINS == i % DOMAINS;
      ck_assert_uint_ge (same_domain, 1);
      ck_assert_uint_le (
          same_domain,
          (unsigned)(CP_SUBSET_TARGETS * CP_SUBSET_SAME_DOMAIN_SHARE));
    }
  free (service.targets);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, a_small_service_is_tracked_whole);
  tcase_add_test (tests, targets_get_similar_numbers_of_outbound_sides);
  tcase_add_test (tests, a_leaving_target_changes_only_its_own_place);
  tcase_add_test (tests, same_domain_targets_do_not_crowd_out_the_others);
}

int
main (void)
{
  return suite_run ("subset", add_tests, 30);
}

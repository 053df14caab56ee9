#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "lib/cleanup.h"
#include "lib/subset.h"

/* A target with its rank for one outbound side.  */
struct ranked
{
  uint64_t rank;
  unsigned index;
  bool near;
};

static uint64_t
rank_of (const char *vm, const char *target)
{
  return XXH3_64bits_withSeed (target, strlen (target),
                               XXH3_64bits (vm, strlen (vm)));
}

static int
compare_ranks (const void *left, const void *right)
{
  const struct ranked *a = left;
  const struct ranked *b = right;

  if (a->rank != b->rank)
    return a->rank > b->rank ? -1 : 1;
  return a->index < b->index ? -1 : a->index > b->index;
}

static int
compare_indices (const void *left, const void *right)
{
  unsigned a = *(const unsigned *)left;
  unsigned b = *(const unsigned *)right;

  return a < b ? -1 : a > b;
}

/* Takes up to MOST of the highest ranked that are near or are not.  */
static unsigned
take (const struct ranked *ranked, unsigned count, bool near, unsigned most,
      unsigned *indices)
{
  unsigned taken = 0;

  for (unsigned i = 0; i < count && taken < most; i++)
    if (ranked[i].near == near)
      indices[taken++] = ranked[i].index;
  return taken;
}

unsigned
cp_subset_choose (const struct cp_service *service, const char *vm,
                  const char *failure_domain, unsigned most, unsigned *indices)
{
  CP_AUTO_FREE struct ranked *ranked = NULL;
  unsigned n_near = 0;
  unsigned near_most = (unsigned)(most * CP_SUBSET_NEAR_SHARE);
  unsigned taken;

  if (service->n_targets <= most)
    {
      for (unsigned i = 0; i < service->n_targets; i++)
        indices[i] = i;
      return service->n_targets;
    }
  ranked = calloc (service->n_targets, sizeof *ranked);
  if (ranked == NULL)
    abort ();
  for (unsigned i = 0; i < service->n_targets; i++)
    {
      const struct cp_target *target = &service->targets[i];

      ranked[i].rank = rank_of (vm, target->name);
      ranked[i].index = i;
      ranked[i].near = strcmp (target->failure_domain, failure_domain) == 0;
      n_near += ranked[i].near;
    }
  qsort (ranked, service->n_targets, sizeof *ranked, compare_ranks);
  if (service->n_targets - n_near < most - near_most)
    near_most = most - (service->n_targets - n_near);
  taken = take (ranked, service->n_targets, true, near_most, indices);
  taken += take (ranked, service->n_targets, false, most - taken,
                 indices + taken);
  qsort (indices, taken, sizeof *indices, compare_indices);
  return taken;
}

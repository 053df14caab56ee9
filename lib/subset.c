#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "lib/cleanup.h"
#include "lib/subset.h"

/* A target of a service with its rank for one outbound side.  */
struct ranked_target
{
  uint64_t rank;
  unsigned index;
  bool same_domain;
};

static uint64_t
target_rank (const char *vm, const char *target)
{
  return XXH3_64bits_withSeed (target, strlen (target),
                               XXH3_64bits (vm, strlen (vm)));
}

static int
compare_ranks (const void *left, const void *right)
{
  const struct ranked_target *a = left;
  const struct ranked_target *b = right;

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

/* Writes the indices of up to MAX of the highest-ranked targets inside or
   outside the own failure domain to INDICES and returns their number.  */
static unsigned
take_highest (const struct ranked_target *ranked, unsigned count,
              bool same_domain, unsigned max, unsigned *indices)
{
  unsigned taken = 0;

  for (unsigned i = 0; i < count && taken < max; i++)
    if (ranked[i].same_domain == same_domain)
      indices[taken++] = ranked[i].index;
  return taken;
}

unsigned
cp_subset_choose (const struct cp_service *service, const char *vm,
                  const char *failure_domain, unsigned max, unsigned *indices)
{
  CP_AUTO_FREE struct ranked_target *ranked = NULL;
  unsigned n_same_domain = 0;
  unsigned max_same_domain = (unsigned)(max * CP_SUBSET_SAME_DOMAIN_SHARE);
  unsigned taken;

  if (service->n_targets <= max)
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

      ranked[i].rank = target_rank (vm, target->name);
      ranked[i].index = i;
      ranked[i].same_domain
          = strcmp (target->failure_domain, failure_domain) == 0;
      n_same_domain += ranked[i].same_domain;
    }
  qsort (ranked, service->n_targets, sizeof *ranked, compare_ranks);
  if (service->n_targets - n_same_domain < max - max_same_domain)
    max_same_domain = max - (service->n_targets - n_same_domain);
  taken = take_highest (ranked, service->n_targets, true, max_same_domain,
                        indices);
  taken += take_highest (ranked, service->n_targets, false, max - taken,
                         indices + taken);
  qsort (indices, taken, sizeof *indices, compare_indices);
  return taken;
}

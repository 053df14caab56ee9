#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "lib/watchers.h"

#define DOCUMENT_US_MIN (CP_US_PER_S / 2)
#define LIST_US_MIN (2 * CP_US_PER_S)
#define BACKOFF_MAX_US (10 * CP_US_PER_S)
#define BACKOFF_DOUBLINGS_MAX 10
#define PER_DOMAIN_MIN 2

/* A time between reads is at most this many intervals; so few reach it that
   they do not meet there.  */
#define GAPS_MAX 10.0

/* Time between reads of one daemon when all take SHARE of the allowance.  */
static uint64_t
interval (const struct cp_reads *reads, double share)
{
  double allowed = reads->reads_per_s * reads->most_share * share;

  return (uint64_t)ceil (reads->daemons / allowed * (double)CP_US_PER_S);
}

uint64_t
cp_reads_document_us (const struct cp_reads *reads)
{
  return MAX (interval (reads, CP_READS_DOCUMENT_SHARE), DOCUMENT_US_MIN);
}

uint64_t
cp_reads_list_us (const struct cp_reads *reads, uint64_t list_bytes)
{
  uint64_t by_bytes = (uint64_t)ceil ((double)list_bytes / CP_LIST_BYTES_PER_S
                                      * (double)CP_US_PER_S);

  return MAX (MAX (interval (reads, CP_READS_LIST_SHARE), by_bytes),
              LIST_US_MIN);
}

uint64_t
cp_reads_first_us (const struct cp_reads *reads,
                   const struct cp_random *random)
{
  return (uint64_t)((double)interval (reads, CP_READS_FIRST_SHARE)
                    * cp_random_unit (random));
}

unsigned
cp_watchers_per_domain (const struct cp_reads *reads, unsigned n_domains)
{
  double interval_s
      = (double)cp_reads_document_us (reads) / (double)CP_US_PER_S;
  double wanted = CP_WATCHER_READS_PER_S * interval_s;
  unsigned each = (unsigned)ceil (wanted / (n_domains == 0 ? 1 : n_domains));

  return MAX (each, PER_DOMAIN_MIN);
}

uint64_t
cp_watchers_weight (const char *domain, const char *vm)
{
  uint64_t seed = XXH3_64bits (domain, strlen (domain));

  return XXH3_64bits_withSeed (vm, strlen (vm), seed);
}

bool
cp_watchers_elected (const char *domain, const char *vm,
                     const char *const *vms, unsigned n, unsigned wanted)
{
  uint64_t own = cp_watchers_weight (domain, vm);
  unsigned above = 0;

  for (unsigned i = 0; i < n; i++)
    if (strcmp (vms[i], vm) != 0 && cp_watchers_weight (domain, vms[i]) > own)
      above++;
  return above < wanted;
}

/* An exponential time of mean MEAN_US, cut off at GAPS_MAX means.  */
static double
exponential (uint64_t mean_us, const struct cp_random *random)
{
  double gap = -log (1 - cp_random_unit (random));

  return (double)mean_us * MIN (gap, GAPS_MAX);
}

uint64_t
cp_reads_next_us (uint64_t interval_us, unsigned failures,
                  const struct cp_random *random)
{
  unsigned doublings = MIN (failures, BACKOFF_DOUBLINGS_MAX);
  uint64_t window = 0;

  if (failures > 0)
    window = MIN (interval_us << doublings, BACKOFF_MAX_US);
  return (uint64_t)(exponential (interval_us, random)
                    + (double)window * cp_random_unit (random));
}

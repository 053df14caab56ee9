#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

#include "lib/watchers.h"

#define DOCUMENT_US_MIN (CP_US_PER_S / 2)
#define LIST_US_MIN (2 * CP_US_PER_S)
#define BACKOFF_MAX_US (10 * CP_US_PER_S)
#define BACKOFF_DOUBLINGS_MAX 10
#define WATCHERS_PER_DOMAIN_MIN 2

/* Time between two watches that end, of all watchers together.  With the time
   in which an end that is overdue is noticed it must be shorter than the two
   seconds within which a configuration must be in force.  */
#define WATCH_INTERVAL_MS 1000

/* How long the first watch after a change waits.  If the store has come back
   from an older copy in the meantime and has the same revision again, a watch
   gets no answer, and only its end shows that.  */
#define WATCH_FIRST_MS 500

/* A delay is at most this many mean intervals; so few delays reach the maximum
   that they do not synchronize there.  */
#define DELAY_MAX_INTERVALS 10.0

/* Returns the mean time between two reads of one daemon when all daemons
   together use SHARE of the allowed rate.  */
static uint64_t
read_interval_us (const struct cp_read_budget *budget, double share)
{
  double allowed = budget->reads_per_s * budget->most_share * share;

  return (uint64_t)ceil (budget->daemons / allowed * (double)CP_US_PER_S);
}

uint64_t
cp_read_document_interval_us (const struct cp_read_budget *budget)
{
  return MAX (read_interval_us (budget, CP_READ_DOCUMENT_SHARE),
              DOCUMENT_US_MIN);
}

uint64_t
cp_read_list_interval_us (const struct cp_read_budget *budget,
                          uint64_t list_bytes)
{
  uint64_t by_bytes = (uint64_t)ceil ((double)list_bytes / CP_LIST_BYTES_PER_S
                                      * (double)CP_US_PER_S);

  return MAX (MAX (read_interval_us (budget, CP_READ_LIST_SHARE), by_bytes),
              LIST_US_MIN);
}

uint64_t
cp_read_first_delay_us (const struct cp_read_budget *budget,
                        const struct cp_random *random)
{
  return (uint64_t)((double)read_interval_us (budget, CP_READ_FIRST_SHARE)
                    * cp_random_unit (random));
}

unsigned
cp_watchers_per_domain (const struct cp_read_budget *budget,
                        unsigned n_domains)
{
  double interval_s
      = (double)cp_read_document_interval_us (budget) / (double)CP_US_PER_S;
  double wanted = CP_WATCHER_READS_PER_S * interval_s;
  unsigned per_domain
      = (unsigned)ceil (wanted / (n_domains == 0 ? 1 : n_domains));

  return MAX (per_domain, WATCHERS_PER_DOMAIN_MIN);
}

uint64_t
cp_watchers_weight (const char *domain, const char *vm)
{
  uint64_t seed = XXH3_64bits (domain, strlen (domain));

  return XXH3_64bits_withSeed (vm, strlen (vm), seed);
}

unsigned
cp_watchers_rank (const char *domain, const char *vm, const char *const *vms,
                  unsigned n)
{
  uint64_t own = cp_watchers_weight (domain, vm);
  unsigned n_above = 0;

  for (unsigned i = 0; i < n; i++)
    if (strcmp (vms[i], vm) != 0 && cp_watchers_weight (domain, vms[i]) > own)
      n_above++;
  return n_above;
}

bool
cp_watchers_elected (const char *domain, const char *vm,
                     const char *const *vms, unsigned n, unsigned wanted)
{
  return cp_watchers_rank (domain, vm, vms, n) < wanted;
}

uint64_t
cp_watch_wait_ms (const struct cp_watch_turn *turn, unsigned n_quiet)
{
  unsigned watchers = MAX (turn->watchers, 1U);
  uint64_t wait_ms = (uint64_t)watchers * WATCH_INTERVAL_MS;

  if (n_quiet == 0)
    return WATCH_FIRST_MS;
  if (n_quiet == 1)
    wait_ms = (uint64_t)(turn->place % watchers + 1) * WATCH_INTERVAL_MS;
  return wait_ms;
}

/* Draws an exponentially distributed time with mean MEAN_US, capped at
   DELAY_MAX_INTERVALS times the mean.  */
static double
draw_exponential (uint64_t mean_us, const struct cp_random *random)
{
  double delay = -log (1 - cp_random_unit (random));

  return (double)mean_us * MIN (delay, DELAY_MAX_INTERVALS);
}

uint64_t
cp_read_next_delay_us (uint64_t interval_us, unsigned failures,
                       const struct cp_random *random)
{
  unsigned doublings = MIN (failures, BACKOFF_DOUBLINGS_MAX);
  uint64_t window = 0;

  if (failures > 0)
    window = MIN (interval_us << doublings, BACKOFF_MAX_US);
  return (uint64_t)(draw_exponential (interval_us, random)
                    + (double)window * cp_random_unit (random));
}

/* Who watches the configuration service, and how often anybody reads it.

   The allowance of reads is divided by the number of daemons, whether they
   watch or not, so that it holds also when every daemon believes that it is a
   watcher.  The election only saves reads: it needs no agreement.  */
#ifndef CP_WATCHERS_H
#define CP_WATCHERS_H

#include <stdbool.h>
#include <stdint.h>

#include "lib/clock.h"

/* Shares of the allowance: of reads of the document, of the VM list, and of
   the first reads of the VM list, which a starting daemon makes before it
   reads the document.  A quarter stays unused, so that the sum of many
   independent readers stays below the allowance in each second: at 500 reads/s
   the mean is 375 with a standard deviation of 19.  */
#define CP_READS_DOCUMENT_SHARE 0.5
#define CP_READS_LIST_SHARE 0.25
#define CP_READS_FIRST_SHARE 0.3

/* Reads of the document that all watchers make together.  */
#define CP_WATCHER_READS_PER_S 8.0

/* Daemons that do not watch read this many times less often; it repairs a
   group that has lost all its watchers.  */
#define CP_NON_WATCHER_FACTOR 16

/* Bytes per second that reading the VM list may take.  */
#define CP_LIST_BYTES_PER_S 3000.0

/* What the intervals follow from.  */
struct cp_read_budget
{
  double reads_per_s; /* limit of the service */
  double most_share;  /* of it, for all daemons together */
  unsigned daemons;   /* known, or the most that there may be */
};

/* Time between two reads of the document by one watcher.  */
uint64_t cp_read_document_interval_us (const struct cp_read_budget *budget);

/* Time between two reads of the VM list, which had LIST_BYTES last time.  */
uint64_t cp_read_list_interval_us (const struct cp_read_budget *budget,
                                   uint64_t list_bytes);

/* Time from the start to the first read: uniform, so that it is bounded.  */
uint64_t cp_read_first_delay_us (const struct cp_read_budget *budget,
                                 const struct cp_random *random);

/* Returns how many daemons watch in each of N_DOMAINS failure domains.  */
unsigned cp_watchers_per_domain (const struct cp_read_budget *budget,
                                 unsigned n_domains);

/* Returns the weight of VM as a watcher of DOMAIN; the highest ones watch.
   Source: D. Thaler and C. Ravishankar, Using Name-Based Mappings to Increase
   Hit Rates, IEEE/ACM Transactions on Networking 6(1), 1998.  */
uint64_t cp_watchers_weight (const char *domain, const char *vm);

/* Returns whether VM is among the WANTED highest of the N VMs, which are those
   of its DOMAIN believed to be alive; VM need not be in the list.  */
bool cp_watchers_elected (const char *domain, const char *vm,
                          const char *const *vms, unsigned n, unsigned wanted);

/* Time from one read, the start or a wake-up to the next read: exponential
   with the mean INTERVAL_US, so that the reads of many daemons make a Poisson
   process at once, whatever they did before; they neither fall into step nor
   overshoot when the service comes back.  After FAILURES in a row a uniform
   part of a window that doubles is added.  Source: D. R. Cox, Renewal Theory,
   1962, section 6.  */
uint64_t cp_read_next_delay_us (uint64_t interval_us, unsigned failures,
                                const struct cp_random *random);

#endif

/* Election of the daemons that watch the configuration service, and intervals
   of all reads from it.

   The allowed read rate is divided by the number of all daemons, watchers or
   not, so that it is kept even when every daemon believes that it is a
   watcher.  The election only saves reads and needs no agreement.  */
#ifndef CP_WATCHERS_H
#define CP_WATCHERS_H

#include <stdbool.h>
#include <stdint.h>

#include "lib/clock.h"

/* Shares of the allowed read rate: for the document, for the VM list, and for
   the first read of the VM list, which a starting daemon makes before it reads
   the document.  A quarter stays unused, so that the sum of many independent
   readers stays below the allowed rate in each second: at 500 reads/s the mean
   is 375 with a standard deviation of 19.  */
#define CP_READ_DOCUMENT_SHARE 0.5
#define CP_READ_LIST_SHARE 0.25
#define CP_READ_FIRST_SHARE 0.3

/* Document reads per second of all watchers together.  */
#define CP_WATCHER_READS_PER_S 8.0

/* Factor by which daemons that are not watchers read less often.  Their reads
   recover a group that has lost all its watchers.  */
#define CP_NON_WATCHER_FACTOR 16

/* Maximum bytes per second that one daemon spends on reading the VM list.  */
#define CP_LIST_BYTES_PER_S 3000.0

/* Parameters from which the read intervals are computed.  */
struct cp_read_budget
{
  double reads_per_s; /* maximum read rate of the service */
  double most_share;  /* share of it that all daemons together may use */
  unsigned daemons;   /* number of daemons, or the maximum if unknown */
};

/* Mean time between two reads of the document by one watcher.  */
uint64_t cp_read_document_interval_us (const struct cp_read_budget *budget);

/* Mean time between two reads of the VM list by one daemon, given the size of
   the last one in bytes.  */
uint64_t cp_read_list_interval_us (const struct cp_read_budget *budget,
                                   uint64_t list_bytes);

/* Returns the delay from the start to the first read: uniformly distributed,
   and therefore bounded.  */
uint64_t cp_read_first_delay_us (const struct cp_read_budget *budget,
                                 const struct cp_random *random);

/* Returns the number of watchers in each of N_DOMAINS failure domains.  */
unsigned cp_watchers_per_domain (const struct cp_read_budget *budget,
                                 unsigned n_domains);

/* Returns the rendezvous hash weight of VM as a watcher of DOMAIN; the VMs
   with the highest weights watch.  Source: D. Thaler and C. Ravishankar, Using
   Name-Based Mappings to Increase Hit Rates, IEEE/ACM Transactions on
   Networking 6(1), 1998.  */
uint64_t cp_watchers_weight (const char *domain, const char *vm);

/* Returns how many of the N VMs, which are those in DOMAIN that count as
   alive, have a higher weight than VM.  VM itself need not be in the list.  */
unsigned cp_watchers_rank (const char *domain, const char *vm,
                           const char *const *vms, unsigned n);

/* Returns whether VM has one of the WANTED highest weights among the N VMs. */
bool cp_watchers_elected (const char *domain, const char *vm,
                          const char *const *vms, unsigned n, unsigned wanted);

/* The place of a watcher among all WATCHERS, counted from 0.  Watchers that
   see different peers may have the same place.  */
struct cp_watch_turn
{
  unsigned place;
  unsigned watchers;
};

/* Returns how many milliseconds a long-polling watch waits.  N_QUIET is the
   number of watches that have ended without a change since the last change,
   which ended those of all watchers at the same moment.

   The first watch is short.  The second ones end one after the other, an
   interval apart, and the later ones last as many intervals as there are
   watchers, so that a watch ends in each interval.  A watch that the store has
   forgotten is found out at its end only: within an interval one of the
   watchers notices that the store was away, whatever the number of watchers.
   An idle store answers one watch in each interval.  */
uint64_t cp_watch_wait_ms (const struct cp_watch_turn *turn, unsigned n_quiet);

/* Returns the delay from a read, the start or a wake-up to the next read.  It
   is exponentially distributed with mean INTERVAL_US, so that the reads of
   many daemons form a Poisson process whatever happened before: they do not
   synchronize, and there is no burst when the service comes back.  After
   FAILURES consecutive failures a uniformly distributed part of an exponential
   backoff window is added.  Source: D. R. Cox, Renewal Theory, 1962, section
   6.  */
uint64_t cp_read_next_delay_us (uint64_t interval_us, unsigned failures,
                                const struct cp_random *random);

#endif

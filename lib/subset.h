/* Subsets of large services by rendezvous hashing.

   An outbound side does not track all targets of a large service but those
   that its hash ranks highest.  The ranks of different outbound sides are
   independent, so that targets of one failure domain get nearly the same
   number of outbound sides (a binomial distribution); a target that leaves is
   replaced by the next in rank, and nothing else moves.  Source: D. Thaler and
   C. Ravishankar, Using Name-Based Mappings to Increase Hit Rates, IEEE/ACM
   Transactions on Networking 6(1), 1998; the hash is XXH3 of xxHash.  */
#ifndef CP_SUBSET_H
#define CP_SUBSET_H

#include "lib/document.h"

/* A service with more targets than this is cut to a subset of this size.  */
#define CP_SUBSET_TARGETS 37

/* The share of a subset that is taken from the own failure domain, when that
   has so many targets.  */
#define CP_SUBSET_SAME_DOMAIN_SHARE 0.34

/* Writes the indices of the targets of SERVICE that the outbound side VM in
   FAILURE_DOMAIN tracks to INDICES, rising, and returns their number: all when
   there are at most MAX, else MAX.  Those of its own failure domain fill at
   most CP_SUBSET_SAME_DOMAIN_SHARE of the subset.  INDICES has room for MAX.
 */
unsigned cp_subset_choose (const struct cp_service *service, const char *vm,
                           const char *failure_domain, unsigned max,
                           unsigned *indices);

#endif

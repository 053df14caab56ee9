/* Subsets of large services by rendezvous hashing.

   An outbound side tracks only the targets of a large service that its hash
   ranks highest.  The ranks of different outbound sides are independent, so
   targets of one failure domain are tracked by nearly the same number of
   outbound sides (a binomial distribution).  A target that leaves is replaced
   by the next in rank; the rest of the subset stays.  Source: D. Thaler and C.
   Ravishankar, Using Name-Based Mappings to Increase Hit Rates, IEEE/ACM
   Transactions on Networking 6(1), 1998; the hash is XXH3 of xxHash.  */
#ifndef CP_SUBSET_H
#define CP_SUBSET_H

#include "lib/document.h"

/* Size of a subset.  A service with at most this many targets is tracked
   whole.  */
#define CP_SUBSET_TARGETS 37

/* Largest share of a subset that is taken from the own failure domain, unless
   the other domains have too few targets to fill the rest.  */
#define CP_SUBSET_SAME_DOMAIN_SHARE 0.34

/* Writes the indices of the targets of SERVICE that the outbound side on VM in
   FAILURE_DOMAIN tracks to INDICES, in increasing order, and returns their
   number: all targets when there are at most MAX, else MAX.  Targets in its
   own failure domain fill at most CP_SUBSET_SAME_DOMAIN_SHARE of the subset,
   unless the others are too few.  INDICES has room for MAX.  */
unsigned cp_subset_choose (const struct cp_service *service, const char *vm,
                           const char *failure_domain, unsigned max,
                           unsigned *indices);

#endif

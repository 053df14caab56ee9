/* A state of the platform's store: its era, and its revision in that era.

   Revisions rise by one with each change.  When the store comes back from an
   older copy of itself, it gives out revisions again, and its era rises.  A
   state of a later era is newer, whatever the revisions; only states of the
   same era are compared by revision.  */
#ifndef CP_STORE_POSITION_H
#define CP_STORE_POSITION_H

#include <stdbool.h>
#include <stdint.h>

struct cp_store_position
{
  uint64_t era; /* 0 if the store names none */
  uint64_t revision;
};

/* Returns a number below, equal to or above 0 if A is older than B, the same
   or newer.  */
static inline int
cp_store_position_compare (struct cp_store_position a,
                           struct cp_store_position b)
{
  if (a.era != b.era)
    return a.era < b.era ? -1 : 1;
  if (a.revision != b.revision)
    return a.revision < b.revision ? -1 : 1;
  return 0;
}

/* Returns whether A is newer than B.  */
static inline bool
cp_store_position_after (struct cp_store_position a,
                         struct cp_store_position b)
{
  return cp_store_position_compare (a, b) > 0;
}

#endif

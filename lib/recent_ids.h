/* The request IDs of the last seconds.

   An ID is contained for at least the time KEEP_US after it was last added,
   and at most twice as long.  Two IDs with the same hash count as one.  */
#ifndef CP_RECENT_IDS_H
#define CP_RECENT_IDS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

struct cp_recent_ids
{
  GHashTable *newer; /* hashes of the IDs that were added since began_us */
  GHashTable *older; /* of those that were added in the time before */
  uint64_t began_us;
  uint64_t keep_us;
};

void cp_recent_ids_init (struct cp_recent_ids *ids, uint64_t keep_us);
void cp_recent_ids_finish (struct cp_recent_ids *ids);

/* Adds ID.  Returns whether it was contained before.  */
bool cp_recent_ids_add (struct cp_recent_ids *ids, const char *id,
                        uint64_t now_us);

#endif

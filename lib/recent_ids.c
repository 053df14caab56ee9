#include <string.h>
#include <xxhash.h>

#include "lib/recent_ids.h"

void
cp_recent_ids_init (struct cp_recent_ids *ids, uint64_t keep_us)
{
  *ids = (struct cp_recent_ids){
    .newer = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL),
    .older = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, NULL),
    .keep_us = keep_us,
  };
}

void
cp_recent_ids_finish (struct cp_recent_ids *ids)
{
  g_hash_table_unref (ids->newer);
  g_hash_table_unref (ids->older);
}

/* Makes the newer IDs the older ones.  */
static void
turn_over (struct cp_recent_ids *ids, uint64_t now_us)
{
  GHashTable *emptied = ids->older;

  ids->older = ids->newer;
  ids->newer = emptied;
  g_hash_table_remove_all (emptied);
  ids->began_us = now_us;
}

bool
cp_recent_ids_add (struct cp_recent_ids *ids, const char *id, uint64_t now_us)
{
  uint64_t hash = XXH3_64bits (id, strlen (id));
  uint64_t age_us = now_us - ids->began_us;
  bool contained;

  if (age_us >= ids->keep_us)
    turn_over (ids, now_us);
  /* Both are older than KEEP_US if none was added for that long.  */
  if (age_us >= 2 * ids->keep_us)
    turn_over (ids, now_us);
  contained = g_hash_table_contains (ids->newer, &hash)
              || g_hash_table_contains (ids->older, &hash);
  g_hash_table_add (ids->newer, g_memdup2 (&hash, sizeof hash));
  return contained;
}

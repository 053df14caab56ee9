#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "lib/digest.h"

static uint64_t
hash_number (uint64_t seed, uint64_t value)
{
  return XXH3_64bits_withSeed (&value, sizeof value, seed);
}

uint64_t
cp_digest_hash (const struct cp_digest *digest)
{
  uint64_t hash = digest->version;

  if (digest->version == 0 && digest->count == 0)
    return 0;
  for (unsigned i = 0; i < digest->count; i++)
    {
      const struct cp_digest_entry *entry = &digest->entries[i];

      hash = XXH3_64bits_withSeed (entry->name, strlen (entry->name), hash);
      hash = hash_number (hash, entry->version);
      hash = hash_number (hash, entry->since);
      hash = hash_number (hash, entry->hash);
    }
  return hash;
}

static int
compare_names (const void *name, const void *entry)
{
  return strcmp (name, ((const struct cp_digest_entry *)entry)->name);
}

const struct cp_digest_entry *
cp_digest_find (const struct cp_digest *digest, const char *name)
{
  return bsearch (name, digest->entries, digest->count,
                  sizeof digest->entries[0], compare_names);
}

static enum cp_digest_action
compare_entries (const struct cp_digest_entry *local,
                 const struct cp_digest_entry *remote)
{
  if (remote->hash == 0)
    return CP_DIGEST_KEEP;
  if (local->hash == remote->hash)
    {
      if (remote->version > local->version || remote->since < local->since)
        return CP_DIGEST_CONFIRM;
      return CP_DIGEST_KEEP;
    }
  if (remote->version != local->version)
    return remote->version > local->version ? CP_DIGEST_FETCH : CP_DIGEST_KEEP;
  return remote->hash > local->hash ? CP_DIGEST_FETCH : CP_DIGEST_KEEP;
}

enum cp_digest_action
cp_digest_compare (const struct cp_digest *local_digest,
                   const struct cp_digest *remote_digest, const char *name)
{
  const struct cp_digest_entry *local = cp_digest_find (local_digest, name);
  const struct cp_digest_entry *remote = cp_digest_find (remote_digest, name);

  if (local == NULL && remote == NULL)
    return CP_DIGEST_KEEP;
  if (remote == NULL)
    return remote_digest->version > local->version
                   && remote_digest->version >= local_digest->version
               ? CP_DIGEST_REMOVE
               : CP_DIGEST_KEEP;
  if (local != NULL)
    return compare_entries (local, remote);
  return remote_digest->version >= local_digest->version ? CP_DIGEST_FETCH
                                                         : CP_DIGEST_KEEP;
}

bool
cp_digest_has_updates (const struct cp_digest *local_digest,
                       const struct cp_digest *remote_digest)
{
  if (remote_digest->version > local_digest->version)
    return true;
  for (unsigned i = 0; i < remote_digest->count; i++)
    if (cp_digest_compare (local_digest, remote_digest,
                           remote_digest->entries[i].name)
        != CP_DIGEST_KEEP)
      return true;
  return false;
}

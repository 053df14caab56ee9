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
cp_digest_root (const struct cp_digest *digest)
{
  uint64_t root = digest->version;

  if (digest->version == 0 && digest->count == 0)
    return 0;
  for (unsigned i = 0; i < digest->count; i++)
    {
      const struct cp_digest_entry *entry = &digest->entries[i];

      root = XXH3_64bits_withSeed (entry->name, strlen (entry->name), root);
      root = hash_number (root, entry->version);
      root = hash_number (root, entry->since);
      root = hash_number (root, entry->hash);
    }
  return root;
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

static enum cp_digest_step
compare_entries (const struct cp_digest_entry *mine,
                 const struct cp_digest_entry *theirs)
{
  if (theirs->hash == 0)
    return CP_DIGEST_KEEP;
  if (mine->hash == theirs->hash)
    {
      if (theirs->version > mine->version || theirs->since < mine->since)
        return CP_DIGEST_CONFIRM;
      return CP_DIGEST_KEEP;
    }
  if (theirs->version != mine->version)
    return theirs->version > mine->version ? CP_DIGEST_FETCH : CP_DIGEST_KEEP;
  return theirs->hash > mine->hash ? CP_DIGEST_FETCH : CP_DIGEST_KEEP;
}

enum cp_digest_step
cp_digest_compare (const struct cp_digest *held, const struct cp_digest *other,
                   const char *name)
{
  const struct cp_digest_entry *mine = cp_digest_find (held, name);
  const struct cp_digest_entry *theirs = cp_digest_find (other, name);

  if (mine == NULL && theirs == NULL)
    return CP_DIGEST_KEEP;
  if (theirs == NULL)
    return other->version > mine->version && other->version >= held->version
               ? CP_DIGEST_REMOVE
               : CP_DIGEST_KEEP;
  if (mine != NULL)
    return compare_entries (mine, theirs);
  return other->version >= held->version ? CP_DIGEST_FETCH : CP_DIGEST_KEEP;
}

bool
cp_digest_newer (const struct cp_digest *held, const struct cp_digest *other)
{
  if (other->version > held->version)
    return true;
  for (unsigned i = 0; i < other->count; i++)
    if (cp_digest_compare (held, other, other->entries[i].name)
        != CP_DIGEST_KEEP)
      return true;
  return false;
}

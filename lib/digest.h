/* Digests of the document sections that a daemon holds, and their comparison.

   A digest is complete: it lists every section of the newest document version
   that its sender has received, including sections of which no text was ever
   accepted (hash 0).  A section that is missing from a digest of version V is
   therefore not part of version V.  */
#ifndef CP_DIGEST_H
#define CP_DIGEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/document.h"

#define CP_SECTIONS_MAX 256

/* One section.  VERSION is the newest document version known to contain the
   accepted text, SINCE the oldest; HASH is the XXH3 hash of the text, or 0
   when none was accepted.  */
struct cp_digest_entry
{
  char name[CP_NAME_BYTES];
  uint64_t version;
  uint64_t since;
  uint64_t hash;
};

struct cp_digest
{
  uint64_t version; /* newest document version received; 0 for none */
  unsigned count;
  struct cp_digest_entry entries[CP_SECTIONS_MAX]; /* sorted by name */
};

/* Action for one section after the comparison of two digests.  */
enum cp_digest_action
{
  CP_DIGEST_KEEP,    /* no change */
  CP_DIGEST_CONFIRM, /* the same text is part of other versions; update VERSION
                        and SINCE */
  CP_DIGEST_FETCH,   /* fetch the text */
  CP_DIGEST_REMOVE   /* a newer document does not have this section */
};

/* Returns a hash of the whole digest; equal digests have equal hashes.  The
   hash of an empty digest is 0.  */
uint64_t cp_digest_hash (const struct cp_digest *digest);

/* Returns the entry of NAME, or NULL.  */
const struct cp_digest_entry *cp_digest_find (const struct cp_digest *digest,
                                              const char *name);

/* Returns the action for the section NAME in LOCAL_DIGEST, given
   REMOTE_DIGEST.  The higher version wins, and of equal versions the greater
   hash, so that the result does not depend on the order in which digests
   arrive.  */
enum cp_digest_action cp_digest_compare (const struct cp_digest *local_digest,
                                         const struct cp_digest *remote_digest,
                                         const char *name);

/* Returns whether REMOTE_DIGEST has a newer version or a section that
   LOCAL_DIGEST would change for.  */
bool cp_digest_has_updates (const struct cp_digest *local_digest,
                            const struct cp_digest *remote_digest);

#endif

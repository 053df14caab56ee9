/* Digests of the sections that a daemon holds, and their comparison.

   A digest is complete: it lists every section of the newest document version
   that its sender has taken, also those of which no text was ever accepted
   (hash 0).  A section that a digest of version V leaves out is therefore not
   part of version V.  */
#ifndef CP_DIGEST_H
#define CP_DIGEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/document.h"

#define CP_SECTIONS_MAX 256

/* One section.  VERSION is the newest document version known to hold the
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
  uint64_t version; /* of the newest document taken; 0 for none */
  unsigned count;
  struct cp_digest_entry entries[CP_SECTIONS_MAX]; /* by name */
};

/* What is to be done with one section after two digests were compared.  */
enum cp_digest_action
{
  CP_DIGEST_KEEP,    /* what is held stays as it is */
  CP_DIGEST_CONFIRM, /* the same text is known in another version */
  CP_DIGEST_FETCH,   /* the text is needed */
  CP_DIGEST_REMOVE   /* a newer document has no such section */
};

/* Returns one number for the whole digest; equal digests have equal ones.  An
   empty digest has 0.  */
uint64_t cp_digest_hash (const struct cp_digest *digest);

/* Returns the entry of NAME, or NULL.  */
const struct cp_digest_entry *cp_digest_find (const struct cp_digest *digest,
                                              const char *name);

/* Returns what HELD does with the section NAME, seen OTHER.  The higher
   version wins, and of equal versions the greater hash, so that the result
   does not depend on the order in which digests arrive.  */
enum cp_digest_action cp_digest_compare (const struct cp_digest *local_digest,
                                         const struct cp_digest *remote_digest,
                                         const char *name);

/* Returns whether OTHER holds anything that HELD would take.  */
bool cp_digest_has_updates (const struct cp_digest *local_digest,
                            const struct cp_digest *remote_digest);

#endif

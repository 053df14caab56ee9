/* The sections in force, and how new ones are accepted.

   Candidates come from documents of the configuration service and from peers.
   Each section is judged by itself: one that fails its check keeps the text
   that was accepted last, all others take effect.  The version of a section is
   the newest document version known to hold its accepted text; it never goes
   back, whatever the order in which candidates arrive.  When sections that are
   valid by themselves contradict each other (the same route, the same
   address), those in force stay and the newcomer is refused; between two
   newcomers the one with the lower "since", then the lower name, is tried
   first.

   A whole document, or what a peer holds, is an offer.  Not thread-safe; the
   caller locks.  */
#ifndef CP_SECTIONS_H
#define CP_SECTIONS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/digest.h"
#include "lib/document.h"
#include "lib/error.h"

#define CP_REFUSAL_BYTES 320

/* Why a newer text is not in force.  */
struct cp_refusal
{
  uint64_t version; /* of the document with the refused text; 0 for none */
  uint64_t hash;
  char text[CP_REFUSAL_BYTES];
};

struct cp_section
{
  struct cp_digest_entry entry;
  char *text; /* canonical JSON; NULL when none was accepted */
  uint64_t accepted_us;
  struct cp_refusal refusal;
};

struct cp_sections
{
  uint64_t version;        /* of the newest document taken */
  struct cp_section *list; /* by name */
  unsigned count;
};

/* Candidates from one source: a digest with the texts that are known.  The
   text of an entry is NULL when it is not needed or was not received.  */
struct cp_offer
{
  struct cp_digest digest;
  char *texts[CP_SECTIONS_MAX];
  struct cp_refusal refusals[CP_SECTIONS_MAX];
};

enum cp_apply_result
{
  CP_APPLY_CHANGED,   /* a new document is to be put in force */
  CP_APPLY_CONFIRMED, /* only versions rose */
  CP_APPLY_UNCHANGED, /* the offer has nothing newer */
  CP_APPLY_FAILED     /* nothing can be put in force */
};

void cp_sections_init (struct cp_sections *sections);
void cp_sections_finish (struct cp_sections *sections);

/* Splits a document into an offer.  Returns 0, or -1 with ERROR set when the
   text is no document at all; a fault within a section is not found here.  */
int cp_offer_parse (struct cp_offer *offer, const char *name, const char *text,
                    size_t length, struct cp_error *error);
void cp_offer_finish (struct cp_offer *offer);

/* Fills in the digest of what is held.  */
void cp_sections_digest (const struct cp_sections *sections,
                         struct cp_digest *digest);

/* Returns the section NAME, or NULL.  */
const struct cp_section *cp_sections_find (const struct cp_sections *sections,
                                           const char *name);

/* Returns whether the text of ENTRY of an offer with the digest OTHER is to be
   fetched.  A text that was refused is not asked for again until a newer
   document was taken.  */
bool cp_sections_needs_text (const struct cp_sections *sections,
                             const struct cp_digest *held,
                             const struct cp_digest *other,
                             const struct cp_digest_entry *entry);

/* Takes what is newer in OFFER at the time NOW_US.  *DOCUMENT is set to the
   compiled form, which the caller owns, when the result is CP_APPLY_CHANGED or
   CP_APPLY_CONFIRMED with a higher version, else to NULL.  ERROR is set when a
   section was refused or nothing could be put in force; *REFUSED counts the
   sections refused.  */
enum cp_apply_result
cp_sections_apply (struct cp_sections *sections, const struct cp_offer *offer,
                   uint64_t now_us, struct cp_document **document,
                   unsigned *refused, struct cp_error *error);

/* Returns an object that maps each section to its version, hash, age, and why
   a newer one is not in force.  */
json_t *cp_sections_dump (const struct cp_sections *sections, uint64_t now_us);

#endif

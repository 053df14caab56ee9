/* The sections of the configuration in force, and the merge of new ones.

   New texts come from documents of the configuration service and from peers;
   the sections of one such source are an offer.  Each section is accepted or
   refused on its own: one that fails its check keeps the text that was
   accepted last, and all others take effect.  The version of a section is the
   newest document version known to contain its accepted text; it never
   decreases, whatever the order in which offers arrive.  When sections that
   are valid on their own conflict (the same route, the same address), those in
   force stay and the new one is refused; of two new ones, the one with the
   lower "since", then the lower name, is tried first.

   Not thread-safe; the caller locks.  */
#ifndef CP_SECTIONS_H
#define CP_SECTIONS_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/digest.h"
#include "lib/document.h"
#include "lib/error.h"

#define CP_REFUSAL_BYTES 320

/* The refusal of a newer text of a section.  */
struct cp_refusal
{
  uint64_t version; /* of the document with the refused text; 0 for none */
  uint64_t hash;
  char text[CP_REFUSAL_BYTES]; /* error message */
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
  uint64_t version;        /* of the newest document applied */
  struct cp_section *list; /* sorted by name */
  unsigned count;
};

/* Sections from one source: a digest with a text and a refusal for each entry.
   The text is NULL when it is not needed or was not received.  */
struct cp_offer
{
  struct cp_digest digest;
  char *texts[CP_SECTIONS_MAX];
  struct cp_refusal refusals[CP_SECTIONS_MAX];
};

/* The result of applying an offer.  */
enum cp_apply_result
{
  CP_APPLY_CHANGED,   /* the texts in force changed */
  CP_APPLY_CONFIRMED, /* only versions or refusals changed */
  CP_APPLY_UNCHANGED, /* the offer has nothing new */
  CP_APPLY_FAILED     /* no valid document can be composed */
};

void cp_sections_init (struct cp_sections *sections);
void cp_sections_finish (struct cp_sections *sections);

/* Splits the text of a document into an offer.  Returns 0, or -1 with ERROR
   set when the text is not JSON or lacks a valid format, version or list of
   sections.  The sections themselves are not checked.  */
int cp_offer_parse (struct cp_offer *offer, const char *name, const char *text,
                    size_t length, struct cp_error *error);
void cp_offer_finish (struct cp_offer *offer);

/* Fills in the digest of SECTIONS.  */
void cp_sections_digest (const struct cp_sections *sections,
                         struct cp_digest *digest);

/* Returns the section NAME, or NULL.  */
const struct cp_section *cp_sections_find (const struct cp_sections *sections,
                                           const char *name);

/* Returns whether the text of ENTRY, an entry of the digest OTHER, must be
   fetched.  HELD is the digest of SECTIONS.  A text that was refused is not
   fetched again until OTHER is of a newer document version than SECTIONS.  */
bool cp_sections_needs_text (const struct cp_sections *sections,
                             const struct cp_digest *held,
                             const struct cp_digest *other,
                             const struct cp_digest_entry *entry);

/* Merges what is newer in OFFER into SECTIONS; NOW_US is the current time.
   *DOCUMENT is set to the compiled document, which the caller owns, when the
   result is CP_APPLY_CHANGED or CP_APPLY_CONFIRMED with a higher version, else
   to NULL.  ERROR is set when a section was refused or no valid document could
   be composed; *REFUSED is set to the number of sections refused.  */
enum cp_apply_result
cp_sections_apply (struct cp_sections *sections, const struct cp_offer *offer,
                   uint64_t now_us, struct cp_document **document,
                   unsigned *refused, struct cp_error *error);

/* Returns a JSON object that maps each section name to its version, hash, age
   and the refusal of a newer text.  */
json_t *cp_sections_dump (const struct cp_sections *sections, uint64_t now_us);

#endif

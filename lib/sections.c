#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "lib/cleanup.h"
#include "lib/compose.h"
#include "lib/sections.h"

void
cp_sections_init (struct cp_sections *sections)
{
  memset (sections, 0, sizeof *sections);
}

static void
free_sections (struct cp_section *list, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    free (list[i].text);
  free (list);
}

void
cp_sections_finish (struct cp_sections *sections)
{
  free_sections (sections->list, sections->count);
  cp_sections_init (sections);
}

static int
compare_entries (const void *a, const void *b)
{
  return strcmp (((const struct cp_digest_entry *)a)->name,
                 ((const struct cp_digest_entry *)b)->name);
}

/* Fills in the digest, sorted by name, and the canonical text of each section
   of LIST.  */
static int
fill_offer (struct cp_offer *offer, const char *name, json_t *list,
            struct cp_error *error)
{
  struct cp_digest *digest = &offer->digest;
  const char *key;
  json_t *body;

  json_object_foreach (list, key, body)
  {
    struct cp_digest_entry *entry = &digest->entries[digest->count];

    if (strlen (key) >= sizeof entry->name || *key == '\0')
      return cp_error_set (error, CP_ERROR_DOCUMENT, name,
                           "use 1 to 63 bytes for the name of a section",
                           "a section's name is empty or too long");
    g_strlcpy (entry->name, key, sizeof entry->name);
    digest->count++;
  }
  qsort (digest->entries, digest->count, sizeof digest->entries[0],
         compare_entries);
  for (unsigned i = 0; i < digest->count; i++)
    {
      struct cp_digest_entry *entry = &digest->entries[i];

      body = json_object_get (list, entry->name);
      offer->texts[i]
          = json_dumps (body, JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
      if (offer->texts[i] == NULL)
        return cp_error_set (error, CP_ERROR_MEMORY, name, "free memory",
                             "out of memory for the sections");
      entry->version = digest->version;
      entry->since = digest->version;
      entry->hash = XXH3_64bits (offer->texts[i], strlen (offer->texts[i]));
    }
  return 0;
}

int
cp_offer_parse (struct cp_offer *offer, const char *name, const char *text,
                size_t length, struct cp_error *error)
{
  json_error_t fault;
  CP_AUTO_JSON json_t *root
      = json_loadb (text, length, JSON_REJECT_DUPLICATES, &fault);
  json_t *list = json_object_get (root, "sections");
  json_int_t version = json_integer_value (json_object_get (root, "version"));
  char place[192];

  memset (offer, 0, sizeof *offer);
  snprintf (place, sizeof place, "%s:%d", name, root == NULL ? fault.line : 1);
  if (root == NULL)
    return cp_error_set (error, CP_ERROR_DOCUMENT, place, "correct the JSON",
                         "%s", fault.text);
  if (json_integer_value (json_object_get (root, "format")) != 1)
    return cp_error_set (error, CP_ERROR_DOCUMENT, place,
                         "set \"format\" to 1",
                         "the document does not have format 1");
  if (version <= 0)
    return cp_error_set (error, CP_ERROR_DOCUMENT, place,
                         "increase \"version\" with every change",
                         "the version is missing or less than 1");
  if (json_object_size (list) == 0
      || json_object_size (list) > CP_SECTIONS_MAX)
    return cp_error_set (error, CP_ERROR_DOCUMENT, place,
                         "write 1 to 256 sections",
                         "the document has no sections or too many");
  offer->digest.version = (uint64_t)version;
  if (fill_offer (offer, place, list, error) == 0)
    return 0;
  cp_offer_finish (offer);
  return -1;
}

void
cp_offer_finish (struct cp_offer *offer)
{
  for (unsigned i = 0; i < CP_SECTIONS_MAX; i++)
    free (offer->texts[i]);
  memset (offer, 0, sizeof *offer);
}

void
cp_sections_digest (const struct cp_sections *sections,
                    struct cp_digest *digest)
{
  digest->version = sections->version;
  digest->count = sections->count;
  for (unsigned i = 0; i < sections->count; i++)
    digest->entries[i] = sections->list[i].entry;
}

const struct cp_section *
cp_sections_find (const struct cp_sections *sections, const char *name)
{
  for (unsigned i = 0; i < sections->count; i++)
    if (strcmp (sections->list[i].entry.name, name) == 0)
      return &sections->list[i];
  return NULL;
}

bool
cp_sections_needs_text (const struct cp_sections *sections,
                        const struct cp_digest *held,
                        const struct cp_digest *other,
                        const struct cp_digest_entry *entry)
{
  const struct cp_section *section = cp_sections_find (sections, entry->name);

  if (entry->hash == 0
      || cp_digest_compare (held, other, entry->name) != CP_DIGEST_FETCH)
    return false;
  return section == NULL || section->refusal.hash != entry->hash
         || other->version > sections->version;
}

/* State of cp_sections_apply.  */
struct merge
{
  const struct cp_sections *sections;
  const struct cp_offer *offer;
  struct cp_digest held;
  struct cp_section next[CP_SECTIONS_MAX];
  struct cp_section_choice choices[CP_SECTIONS_MAX]; /* parallel to next */
  unsigned count;
  uint64_t version;
  bool incomplete;       /* a needed text was not received */
  bool metadata_changed; /* versions, refusals or the set of sections */
  bool texts_changed;    /* texts in force */
};

/* Keeps REFUSAL, received with the offer, when it is for a newer version than
   the known refusal and the accepted text.  */
static void
merge_refusal (struct merge *merge, struct cp_section *next,
               const struct cp_refusal *refusal)
{
  if (refusal->version <= next->refusal.version
      || refusal->version <= next->entry.version)
    return;
  next->refusal = *refusal;
  merge->metadata_changed = true;
}

/* Merges entry OFFERED of the offer into NEXT and CHOICE.  */
static void
merge_offered_section (struct merge *merge, unsigned offered,
                       struct cp_section *next,
                       struct cp_section_choice *choice)
{
  const struct cp_digest *other = &merge->offer->digest;
  const struct cp_digest_entry *entry = &other->entries[offered];
  enum cp_digest_action step
      = cp_digest_compare (&merge->held, other, entry->name);

  if (step == CP_DIGEST_CONFIRM)
    {
      next->entry.version = MAX (next->entry.version, entry->version);
      next->entry.since = MIN (next->entry.since, entry->since);
      merge->metadata_changed = true;
    }
  if (step == CP_DIGEST_FETCH && entry->hash != 0)
    {
      choice->candidate = merge->offer->texts[offered];
      choice->since = entry->since;
    }
  merge_refusal (merge, next, &merge->offer->refusals[offered]);
}

/* Returns whether the offer lacks a text that is needed.  */
static bool
lacks_needed_text (const struct merge *merge)
{
  const struct cp_offer *offer = merge->offer;

  for (unsigned i = 0; i < offer->digest.count; i++)
    if (offer->texts[i] == NULL
        && cp_sections_needs_text (merge->sections, &merge->held,
                                   &offer->digest, &offer->digest.entries[i]))
      return true;
  return false;
}

/* Returns whether the section NAME is left out of the merged list.  HELD tells
   whether it is in the current one; an incomplete offer removes nothing.  */
static bool
is_left_out (const struct merge *merge, const char *name, bool held)
{
  enum cp_digest_action step
      = cp_digest_compare (&merge->held, &merge->offer->digest, name);

  if (!held)
    return step == CP_DIGEST_KEEP;
  return step == CP_DIGEST_REMOVE && !merge->incomplete;
}

/* Fills in NEXT and CHOICES with the held and the offered sections, both of
   which are sorted by name.  */
static void
merge_sections (struct merge *merge)
{
  const struct cp_sections *sections = merge->sections;
  const struct cp_digest *other = &merge->offer->digest;
  unsigned held = 0;
  unsigned offered = 0;

  while ((held < sections->count || offered < other->count)
         && merge->count < CP_SECTIONS_MAX)
    {
      struct cp_section *next = &merge->next[merge->count];
      struct cp_section_choice *choice = &merge->choices[merge->count];
      int order = held == sections->count ? 1
                  : offered == other->count
                      ? -1
                      : strcmp (sections->list[held].entry.name,
                                other->entries[offered].name);
      const char *name = order <= 0 ? sections->list[held].entry.name
                                    : other->entries[offered].name;
      bool left_out = is_left_out (merge, name, order <= 0);

      if (order <= 0)
        *next = sections->list[held++];
      else
        g_strlcpy (next->entry.name, name, sizeof next->entry.name);
      choice->held = next->text;
      choice->name = next->entry.name;
      if (order >= 0)
        merge_offered_section (merge, offered++, next, choice);
      if (left_out)
        {
          merge->texts_changed |= next->text != NULL;
          merge->metadata_changed |= order <= 0;
          memset (next, 0, sizeof *next);
          memset (choice, 0, sizeof *choice);
          continue;
        }
      merge->metadata_changed |= order > 0;
      merge->count++;
    }
}

/* Updates the entries after cp_document_compose has chosen among the
   candidates.  Returns the number of candidates refused.  */
static unsigned
record_choices (struct merge *merge, uint64_t now_us)
{
  const struct cp_digest *other = &merge->offer->digest;
  unsigned refused = 0;

  for (unsigned i = 0; i < merge->count; i++)
    {
      struct cp_section *next = &merge->next[i];
      struct cp_section_choice *choice = &merge->choices[i];
      const struct cp_digest_entry *entry
          = cp_digest_find (other, next->entry.name);

      if (choice->candidate != NULL && choice->chosen)
        {
          next->entry = *entry;
          next->accepted_us = now_us;
          memset (&next->refusal, 0, sizeof next->refusal);
          merge->texts_changed = true;
        }
      else if (choice->candidate != NULL)
        {
          next->refusal.version = entry->version;
          next->refusal.hash = entry->hash;
          cp_error_text (&choice->error, next->refusal.text,
                         sizeof next->refusal.text);
          merge->metadata_changed = true;
          refused++;
        }
      else if (next->refusal.version <= next->entry.version)
        memset (&next->refusal, 0, sizeof next->refusal);
    }
  return refused;
}

/* Replaces the list of SECTIONS by the merged one.  All texts are copied.  */
static void
replace_sections (struct cp_sections *sections, struct merge *merge)
{
  struct cp_section *list
      = calloc (merge->count == 0 ? 1 : merge->count, sizeof *list);

  if (list == NULL)
    abort ();
  for (unsigned i = 0; i < merge->count; i++)
    {
      const struct cp_section_choice *choice = &merge->choices[i];

      list[i] = merge->next[i];
      if (choice->chosen)
        list[i].text = g_strdup (choice->candidate);
      else if (list[i].text != NULL)
        list[i].text = g_strdup (list[i].text);
    }
  free_sections (sections->list, sections->count);
  sections->list = list;
  sections->count = merge->count;
  sections->version = merge->version;
}

enum cp_apply_result
cp_sections_apply (struct cp_sections *sections, const struct cp_offer *offer,
                   uint64_t now_us, struct cp_document **document,
                   unsigned *refused, struct cp_error *error)
{
  CP_AUTO_FREE struct merge *merge = calloc (1, sizeof *merge);
  uint64_t old_version = sections->version;

  *document = NULL;
  *refused = 0;
  if (merge == NULL)
    return CP_APPLY_FAILED;
  merge->sections = sections;
  merge->offer = offer;
  cp_sections_digest (sections, &merge->held);
  if (!cp_digest_has_updates (&merge->held, &offer->digest))
    return CP_APPLY_UNCHANGED;
  merge->incomplete = lacks_needed_text (merge);
  merge_sections (merge);
  merge->version = merge->incomplete || offer->digest.version < old_version
                       ? old_version
                       : offer->digest.version;
  if (merge->version == 0)
    return CP_APPLY_FAILED;
  *document = cp_document_compose (merge->choices, merge->count,
                                   merge->version, error);
  if (*document == NULL)
    return CP_APPLY_FAILED;
  *refused = record_choices (merge, now_us);
  replace_sections (sections, merge);
  if (merge->texts_changed)
    return CP_APPLY_CHANGED;
  if (merge->version > old_version)
    return CP_APPLY_CONFIRMED;
  cp_document_unref (*document);
  *document = NULL;
  return merge->metadata_changed ? CP_APPLY_CONFIRMED : CP_APPLY_UNCHANGED;
}

json_t *
cp_sections_dump (const struct cp_sections *sections, uint64_t now_us)
{
  json_t *dump = json_object ();

  for (unsigned i = 0; i < sections->count; i++)
    {
      const struct cp_section *section = &sections->list[i];
      char hash[20];

      snprintf (hash, sizeof hash, "%016" PRIx64, section->entry.hash);
      json_object_set_new (
          dump, section->entry.name,
          json_pack ("{s:I, s:s, s:I, s:I, s:I, s:s}", "version",
                     (json_int_t)section->entry.version, "hash", hash, "since",
                     (json_int_t)section->entry.since, "age_us",
                     (json_int_t)(section->text == NULL
                                      ? 0
                                      : now_us - section->accepted_us),
                     "refused_version", (json_int_t)section->refusal.version,
                     "refused", section->refusal.text));
    }
  return dump;
}

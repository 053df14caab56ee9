#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "lib/compose.h"

#define DOCUMENT_NAME "sections"

/* The arguments of cp_document_compose.  */
struct composition
{
  struct cp_section_choice *choices;
  unsigned count;
  uint64_t version;
};

static const char *
selected_text (const struct cp_section_choice *choice)
{
  return choice->chosen ? choice->candidate : choice->held;
}

/* Compiles a document from the selected texts; from those of FIRST and SECOND
   only, when FIRST is not NULL.  */
static struct cp_document *
compile (const struct composition *composition,
         const struct cp_section_choice *first,
         const struct cp_section_choice *second, struct cp_error *error)
{
  GString *text = g_string_new (NULL);
  const char *separator = "";
  struct cp_document *document;

  g_string_append_printf (
      text, "{\"format\":1,\"version\":%" PRIu64 ",\"sections\":{",
      composition->version);
  for (unsigned i = 0; i < composition->count; i++)
    {
      const struct cp_section_choice *choice = &composition->choices[i];

      if (selected_text (choice) == NULL
          || (first != NULL && choice != first && choice != second))
        continue;
      g_string_append_printf (text, "%s\"", separator);
      for (const char *at = choice->name; *at != '\0'; at++)
        {
          if (*at == '"' || *at == '\\')
            g_string_append_c (text, '\\');
          g_string_append_c (text, *at);
        }
      g_string_append_printf (text, "\":%s", selected_text (choice));
      separator = ",";
    }
  g_string_append (text, "}}");
  document = cp_document_compile (DOCUMENT_NAME, text->str, text->len, error);
  g_string_free (text, TRUE);
  return document;
}

/* Recognizes the fleet section by its canonical text, which is compact JSON
   with sorted keys.  */
static bool
is_fleet_section (const char *text)
{
  return text != NULL && strstr (text, "\"kind\":\"fleet\"") != NULL;
}

static struct cp_section_choice *
find_fleet_choice (const struct composition *composition)
{
  for (unsigned i = 0; i < composition->count; i++)
    if (is_fleet_section (selected_text (&composition->choices[i])))
      return &composition->choices[i];
  return NULL;
}

static void
choose_all_candidates (const struct composition *composition)
{
  for (unsigned i = 0; i < composition->count; i++)
    composition->choices[i].chosen = composition->choices[i].candidate != NULL;
}

/* Deselects the candidates that are not valid with the fleet section alone.
   Returns the document compiled from the rest, or NULL when they are not valid
   together.  */
static struct cp_document *
compile_without_invalid (const struct composition *composition,
                         struct cp_error *error)
{
  const struct cp_section_choice *fleet = find_fleet_choice (composition);

  for (unsigned i = 0; i < composition->count && fleet != NULL; i++)
    {
      struct cp_section_choice *choice = &composition->choices[i];
      struct cp_document *alone;

      if (!choice->chosen || choice == fleet)
        continue;
      alone = compile (composition, choice, fleet, &choice->error);
      choice->chosen = alone != NULL;
      cp_document_unref (alone);
    }
  return compile (composition, NULL, NULL, error);
}

/* An element of the array of candidates, sorted in the order of trial.  */
struct ordered_choice
{
  struct cp_section_choice *choice;
};

static int
compare_choices (const void *a, const void *b)
{
  const struct cp_section_choice *first
      = ((const struct ordered_choice *)a)->choice;
  const struct cp_section_choice *second
      = ((const struct ordered_choice *)b)->choice;
  bool first_fleet = is_fleet_section (first->candidate);

  if (first_fleet != is_fleet_section (second->candidate))
    return first_fleet ? -1 : 1;
  if (first->since != second->since)
    return first->since < second->since ? -1 : 1;
  return strcmp (first->name, second->name);
}

/* Adds CHOICE to the selected candidates if they are valid together, and
   replaces *DOCUMENT by the result.  Returns whether it was added.  */
static bool
try_candidate (const struct composition *composition,
               struct cp_section_choice *choice, struct cp_document **document)
{
  struct cp_document *compiled;

  choice->chosen = true;
  compiled = compile (composition, NULL, NULL, &choice->error);
  choice->chosen = compiled != NULL;
  if (compiled == NULL)
    return false;
  cp_document_unref (*document);
  *document = compiled;
  return true;
}

/* Finds a first valid document when the held texts alone do not make one.  A
   service section is never valid without a fleet section, so the fleet
   candidate is tried together with each of the others.  */
static void
select_initial_pair (const struct composition *composition,
                     struct ordered_choice *ordered, unsigned count,
                     struct cp_document **document)
{
  if (count == 0 || !is_fleet_section (ordered[0].choice->candidate))
    return;
  ordered[0].choice->chosen = true;
  for (unsigned i = 1; i < count && *document == NULL; i++)
    try_candidate (composition, ordered[i].choice, document);
  ordered[0].choice->chosen = *document != NULL;
  if (*document == NULL && count > 1)
    ordered[0].choice->error = ordered[1].choice->error;
}

/* Starts from the held texts and adds the candidates in order.  Repeats this
   when one was added, since that may make a refused one valid; at most
   CP_COMPOSE_PASSES_MAX passes.  */
static struct cp_document *
add_one_by_one (const struct composition *composition, struct cp_error *error)
{
  struct ordered_choice ordered[composition->count + 1];
  unsigned count = 0;
  bool progress = true;
  struct cp_document *document;

  for (unsigned i = 0; i < composition->count; i++)
    {
      struct cp_section_choice *choice = &composition->choices[i];

      choice->chosen = false;
      if (choice->candidate != NULL)
        ordered[count++].choice = choice;
    }
  qsort (ordered, count, sizeof *ordered, compare_choices);
  document = compile (composition, NULL, NULL, error);
  if (document == NULL)
    select_initial_pair (composition, ordered, count, &document);
  for (unsigned pass = 0; pass < CP_COMPOSE_PASSES_MAX && progress; pass++)
    {
      progress = false;
      for (unsigned i = 0; i < count; i++)
        if (!ordered[i].choice->chosen
            && try_candidate (composition, ordered[i].choice, &document))
          progress = true;
    }
  return document;
}

struct cp_document *
cp_document_compose (struct cp_section_choice *choices, unsigned count,
                     uint64_t version, struct cp_error *error)
{
  struct composition composition = { choices, count, version };
  struct cp_document *document;

  choose_all_candidates (&composition);
  document = compile (&composition, NULL, NULL, error);
  if (document != NULL)
    return document;
  document = compile_without_invalid (&composition, error);
  if (document != NULL)
    return document;
  return add_one_by_one (&composition, error);
}

#include <glib.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "lib/compose.h"

#define SOURCE "sections"

/* A composition in progress.  */
struct composer
{
  struct cp_choice *choices;
  unsigned count;
  uint64_t version;
};

static const char *
text_of (const struct cp_choice *choice)
{
  return choice->chosen ? choice->candidate : choice->held;
}

/* Compiles what is chosen; only FIRST and SECOND when they are not NULL.  */
static struct cp_document *
compile (const struct composer *composer, const struct cp_choice *first,
         const struct cp_choice *second, struct cp_error *error)
{
  GString *text = g_string_new (NULL);
  const char *separator = "";
  struct cp_document *document;

  g_string_append_printf (
      text, "{\"format\":1,\"version\":%" PRIu64 ",\"sections\":{",
      composer->version);
  for (unsigned i = 0; i < composer->count; i++)
    {
      const struct cp_choice *choice = &composer->choices[i];

      if (text_of (choice) == NULL
          || (first != NULL && choice != first && choice != second))
        continue;
      g_string_append_printf (text, "%s\"", separator);
      for (const char *at = choice->name; *at != '\0'; at++)
        {
          if (*at == '"' || *at == '\\')
            g_string_append_c (text, '\\');
          g_string_append_c (text, *at);
        }
      g_string_append_printf (text, "\":%s", text_of (choice));
      separator = ",";
    }
  g_string_append (text, "}}");
  document = cp_document_compile (SOURCE, text->str, text->len, error);
  g_string_free (text, TRUE);
  return document;
}

/* Sections are told apart by their canonical text, which has its keys in
   order.  */
static bool
is_fleet (const char *text)
{
  return text != NULL && strstr (text, "\"kind\":\"fleet\"") != NULL;
}

static struct cp_choice *
find_fleet (const struct composer *composer)
{
  for (unsigned i = 0; i < composer->count; i++)
    if (is_fleet (text_of (&composer->choices[i])))
      return &composer->choices[i];
  return NULL;
}

static void
choose_all (const struct composer *composer)
{
  for (unsigned i = 0; i < composer->count; i++)
    composer->choices[i].chosen = composer->choices[i].candidate != NULL;
}

/* Leaves out the candidates that are not valid together with the fleet section
   alone.  Returns whether all that remain are valid together.  */
static struct cp_document *
without_faulty (const struct composer *composer, struct cp_error *error)
{
  const struct cp_choice *fleet = find_fleet (composer);

  for (unsigned i = 0; i < composer->count && fleet != NULL; i++)
    {
      struct cp_choice *choice = &composer->choices[i];
      struct cp_document *alone;

      if (!choice->chosen || choice == fleet)
        continue;
      alone = compile (composer, choice, fleet, &choice->error);
      choice->chosen = alone != NULL;
      cp_document_unref (alone);
    }
  return compile (composer, NULL, NULL, error);
}

/* A place in the order in which candidates are tried.  */
struct turn
{
  struct cp_choice *choice;
};

static int
compare_choices (const void *a, const void *b)
{
  const struct cp_choice *first = ((const struct turn *)a)->choice;
  const struct cp_choice *second = ((const struct turn *)b)->choice;
  bool first_fleet = is_fleet (first->candidate);

  if (first_fleet != is_fleet (second->candidate))
    return first_fleet ? -1 : 1;
  if (first->since != second->since)
    return first->since < second->since ? -1 : 1;
  return strcmp (first->name, second->name);
}

/* Tries CHOICE on top of what is chosen.  *DOCUMENT is the result so far.  */
static bool
try_one (const struct composer *composer, struct cp_choice *choice,
         struct cp_document **document)
{
  struct cp_document *fresh;

  choice->chosen = true;
  fresh = compile (composer, NULL, NULL, &choice->error);
  choice->chosen = fresh != NULL;
  if (fresh == NULL)
    return false;
  cp_document_unref (*document);
  *document = fresh;
  return true;
}

/* Starts with what is held.  Where nothing is, no single section is valid, so
   the fleet section is tried with each of the others.  */
static void
start_empty (const struct composer *composer, struct turn *ordered,
             unsigned count, struct cp_document **document)
{
  if (count == 0 || !is_fleet (ordered[0].choice->candidate))
    return;
  ordered[0].choice->chosen = true;
  for (unsigned i = 1; i < count && *document == NULL; i++)
    try_one (composer, ordered[i].choice, document);
  ordered[0].choice->chosen = *document != NULL;
  if (*document == NULL && count > 1)
    ordered[0].choice->error = ordered[1].choice->error;
}

static struct cp_document *
one_by_one (const struct composer *composer, struct cp_error *error)
{
  struct turn ordered[composer->count + 1];
  unsigned count = 0;
  bool progress = true;
  struct cp_document *document;

  for (unsigned i = 0; i < composer->count; i++)
    {
      struct cp_choice *choice = &composer->choices[i];

      choice->chosen = false;
      if (choice->candidate != NULL)
        ordered[count++].choice = choice;
    }
  qsort (ordered, count, sizeof *ordered, compare_choices);
  document = compile (composer, NULL, NULL, error);
  if (document == NULL)
    start_empty (composer, ordered, count, &document);
  for (unsigned pass = 0; pass < CP_COMPOSE_PASSES && progress; pass++)
    {
      progress = false;
      for (unsigned i = 0; i < count; i++)
        if (!ordered[i].choice->chosen
            && try_one (composer, ordered[i].choice, &document))
          progress = true;
    }
  return document;
}

struct cp_document *
cp_compose (struct cp_choice *choices, unsigned count, uint64_t version,
            struct cp_error *error)
{
  struct composer composer = { choices, count, version };
  struct cp_document *document;

  choose_all (&composer);
  document = compile (&composer, NULL, NULL, error);
  if (document != NULL)
    return document;
  document = without_faulty (&composer, error);
  if (document != NULL)
    return document;
  return one_by_one (&composer, error);
}

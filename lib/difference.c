#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/cleanup.h"
#include "lib/difference.h"

#define SENTENCE_BYTES 512
#define PATH_BYTES 256

/* Where the sentences go.  */
struct teller
{
  void (*tell) (void *context, const char *sentence);
  void *context;
  const char *section;
};

static void say (const struct teller *teller, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

static void
say (const struct teller *teller, const char *format, ...)
{
  char sentence[SENTENCE_BYTES];
  int length = snprintf (sentence, sizeof sentence, "%s: ", teller->section);
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (sentence + length, sizeof sentence - (size_t)length, format,
             arguments);
  va_end (arguments);
  teller->tell (teller->context, sentence);
}

static const char *
text_of (json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text == NULL ? "none" : text;
}

static char *
value_text (json_t *value)
{
  return json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT
                                | JSON_REAL_PRECISION (15));
}

/* Tells how the limits differ, member by member.  */
static void
compare_members (const struct teller *teller, const char *path, json_t *old,
                 json_t *fresh)
{
  const char *key;
  json_t *value;

  json_object_foreach (fresh, key, value)
  {
    json_t *before = json_object_get (old, key);
    char inner[PATH_BYTES];
    CP_AUTO_FREE char *from = NULL;
    CP_AUTO_FREE char *to = NULL;

    snprintf (inner, sizeof inner, "%s%s%s", path, *path == '\0' ? "" : "/",
              key);
    if (strcmp (inner, "targets") == 0 || strcmp (inner, "routes") == 0
        || json_equal (before, value))
      continue;
    if (json_is_object (before) && json_is_object (value))
      {
        compare_members (teller, inner, before, value);
        continue;
      }
    from = before == NULL ? strdup ("the default") : value_text (before);
    to = value_text (value);
    say (teller, "%s changes from %s to %s.", inner, from, to);
  }
  json_object_foreach (old, key, value)
  {
    if (json_object_get (fresh, key) == NULL)
      say (teller, "%s%s%s is removed.", path, *path == '\0' ? "" : "/", key);
  }
}

static void
compare_targets (const struct teller *teller, json_t *old, json_t *fresh)
{
  const char *name;
  json_t *body;

  json_object_foreach (fresh, name, body)
  {
    json_t *before = json_object_get (old, name);

    if (before == NULL)
      say (teller, "target %s at %s in %s is added.", name,
           text_of (body, "address"), text_of (body, "failure_domain"));
    else if (!json_equal (before, body))
      say (teller,
           "target %s moves from %s (daemon %s, %s) to %s (daemon %s, %s).",
           name, text_of (before, "address"), text_of (before, "daemon"),
           text_of (before, "failure_domain"), text_of (body, "address"),
           text_of (body, "daemon"), text_of (body, "failure_domain"));
  }
  json_object_foreach (old, name, body)
  {
    if (json_object_get (fresh, name) == NULL)
      say (teller, "target %s at %s is removed.", name,
           text_of (body, "address"));
  }
}

/* Names a route by methods, host and path.  */
static char *
route_name (json_t *route)
{
  GString *name = g_string_new (NULL);
  size_t i;
  json_t *method;

  json_array_foreach (json_object_get (route, "methods"), i, method)
  {
    if (i > 0)
      g_string_append_c (name, '|');
    g_string_append (name, json_string_value (method));
  }
  g_string_append_printf (name, " %s%s", text_of (route, "host"),
                          text_of (route, "path"));
  return g_string_free (name, FALSE);
}

/* Finds the route of LIST that has the same methods, host and path.  */
static json_t *
find_route (json_t *list, const char *name)
{
  size_t i;
  json_t *route;

  json_array_foreach (list, i, route)
  {
    CP_AUTO_FREE char *other = route_name (route);

    if (strcmp (other, name) == 0)
      return route;
  }
  return NULL;
}

static void
compare_routes (const struct teller *teller, json_t *old, json_t *fresh)
{
  size_t i;
  json_t *route;

  json_array_foreach (fresh, i, route)
  {
    CP_AUTO_FREE char *name = route_name (route);
    json_t *before = find_route (old, name);

    if (before == NULL)
      say (teller, "route %s is added.", name);
    else if (!json_equal (before, route))
      {
        char path[PATH_BYTES];

        snprintf (path, sizeof path, "route %s", name);
        compare_members (teller, path, before, route);
      }
  }
  json_array_foreach (old, i, route)
  {
    CP_AUTO_FREE char *name = route_name (route);

    if (find_route (fresh, name) == NULL)
      say (teller, "route %s is removed.", name);
  }
}

static void
compare_sections (struct teller *teller, json_t *old, json_t *fresh)
{
  const char *name;
  json_t *body;

  json_object_foreach (fresh, name, body)
  {
    json_t *before = json_object_get (old, name);

    teller->section = name;
    if (before == NULL)
      {
        say (teller, "the section of %s is added, with %zu targets.",
             text_of (body, "owner"),
             json_object_size (json_object_get (body, "targets")));
        continue;
      }
    compare_targets (teller, json_object_get (before, "targets"),
                     json_object_get (body, "targets"));
    compare_routes (teller, json_object_get (before, "routes"),
                    json_object_get (body, "routes"));
    compare_members (teller, "", before, body);
  }
  json_object_foreach (old, name, body)
  {
    teller->section = name;
    if (json_object_get (fresh, name) == NULL)
      say (teller, "the section of %s is removed.", text_of (body, "owner"));
  }
}

void
cp_difference (json_t *old, json_t *fresh,
               void (*tell) (void *context, const char *sentence),
               void *context)
{
  struct teller teller = { tell, context, "document" };
  json_int_t before = json_integer_value (json_object_get (old, "version"));
  json_int_t after = json_integer_value (json_object_get (fresh, "version"));

  if (after < before)
    say (&teller,
         "version falls from %" JSON_INTEGER_FORMAT " to %" JSON_INTEGER_FORMAT
         "; no daemon takes it.",
         before, after);
  else if (after > before)
    say (&teller,
         "version rises from %" JSON_INTEGER_FORMAT " to %" JSON_INTEGER_FORMAT
         ".",
         before, after);
  compare_sections (&teller, json_object_get (old, "sections"),
                    json_object_get (fresh, "sections"));
}

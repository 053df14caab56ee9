#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/cleanup.h"
#include "lib/difference.h"

#define MESSAGE_BYTES 512
#define PATH_BYTES 256

/* The callback for messages and the section that they are about.  */
struct reporter
{
  void (*report) (void *context, const char *message);
  void *context;
  const char *section;
};

static void report_change (const struct reporter *reporter, const char *format,
                           ...) __attribute__ ((format (printf, 2, 3)));

static void
report_change (const struct reporter *reporter, const char *format, ...)
{
  char message[MESSAGE_BYTES];
  int length = snprintf (message, sizeof message, "%s: ", reporter->section);
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (message + length, sizeof message - (size_t)length, format,
             arguments);
  va_end (arguments);
  reporter->report (reporter->context, message);
}

static const char *
get_string (json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text == NULL ? "none" : text;
}

static char *
format_value (json_t *value)
{
  return json_dumps (value, JSON_ENCODE_ANY | JSON_COMPACT
                                | JSON_REAL_PRECISION (15));
}

/* Reports members that were added, changed or removed.  PATH is the path of
   OLD and UPDATED in the section.  The members "targets" and "routes" of a
   section are left to compare_targets and compare_routes.  */
static void
compare_members (const struct reporter *reporter, const char *path,
                 json_t *old, json_t *updated)
{
  const char *key;
  json_t *value;

  json_object_foreach (updated, key, value)
  {
    json_t *previous = json_object_get (old, key);
    char inner[PATH_BYTES];
    CP_AUTO_FREE char *from = NULL;
    CP_AUTO_FREE char *to = NULL;

    snprintf (inner, sizeof inner, "%s%s%s", path, *path == '\0' ? "" : "/",
              key);
    if (strcmp (inner, "targets") == 0 || strcmp (inner, "routes") == 0
        || json_equal (previous, value))
      continue;
    if (json_is_object (previous) && json_is_object (value))
      {
        compare_members (reporter, inner, previous, value);
        continue;
      }
    from = previous == NULL ? strdup ("the default") : format_value (previous);
    to = format_value (value);
    report_change (reporter, "%s changes from %s to %s.", inner, from, to);
  }
  json_object_foreach (old, key, value)
  {
    if (json_object_get (updated, key) == NULL)
      report_change (reporter, "%s%s%s is removed.", path,
                     *path == '\0' ? "" : "/", key);
  }
}

static void
compare_targets (const struct reporter *reporter, json_t *old, json_t *updated)
{
  const char *name;
  json_t *body;

  json_object_foreach (updated, name, body)
  {
    json_t *previous = json_object_get (old, name);

    if (previous == NULL)
      report_change (reporter, "target %s at %s in %s is added.", name,
                     get_string (body, "address"),
                     get_string (body, "failure_domain"));
    else if (!json_equal (previous, body))
      report_change (
          reporter,
          "target %s moves from %s (daemon %s, %s) to %s (daemon %s, %s).",
          name, get_string (previous, "address"),
          get_string (previous, "daemon"),
          get_string (previous, "failure_domain"),
          get_string (body, "address"), get_string (body, "daemon"),
          get_string (body, "failure_domain"));
  }
  json_object_foreach (old, name, body)
  {
    if (json_object_get (updated, name) == NULL)
      report_change (reporter, "target %s at %s is removed.", name,
                     get_string (body, "address"));
  }
}

/* Returns "METHOD|METHOD HOST/PATH", which identifies a route.  */
static char *
format_route (json_t *route)
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
  g_string_append_printf (name, " %s%s", get_string (route, "host"),
                          get_string (route, "path"));
  return g_string_free (name, FALSE);
}

/* Returns the route of LIST whose format_route is NAME, or NULL.  */
static json_t *
find_route (json_t *list, const char *name)
{
  size_t i;
  json_t *route;

  json_array_foreach (list, i, route)
  {
    CP_AUTO_FREE char *other = format_route (route);

    if (strcmp (other, name) == 0)
      return route;
  }
  return NULL;
}

static void
compare_routes (const struct reporter *reporter, json_t *old, json_t *updated)
{
  size_t i;
  json_t *route;

  json_array_foreach (updated, i, route)
  {
    CP_AUTO_FREE char *name = format_route (route);
    json_t *previous = find_route (old, name);

    if (previous == NULL)
      report_change (reporter, "route %s is added.", name);
    else if (!json_equal (previous, route))
      {
        char path[PATH_BYTES];

        snprintf (path, sizeof path, "route %s", name);
        compare_members (reporter, path, previous, route);
      }
  }
  json_array_foreach (old, i, route)
  {
    CP_AUTO_FREE char *name = format_route (route);

    if (find_route (updated, name) == NULL)
      report_change (reporter, "route %s is removed.", name);
  }
}

static void
compare_sections (struct reporter *reporter, json_t *old, json_t *updated)
{
  const char *name;
  json_t *body;

  json_object_foreach (updated, name, body)
  {
    json_t *previous = json_object_get (old, name);

    reporter->section = name;
    if (previous == NULL)
      {
        report_change (reporter,
                       "the section of %s is added, with %zu targets.",
                       get_string (body, "owner"),
                       json_object_size (json_object_get (body, "targets")));
        continue;
      }
    compare_targets (reporter, json_object_get (previous, "targets"),
                     json_object_get (body, "targets"));
    compare_routes (reporter, json_object_get (previous, "routes"),
                    json_object_get (body, "routes"));
    compare_members (reporter, "", previous, body);
  }
  json_object_foreach (old, name, body)
  {
    reporter->section = name;
    if (json_object_get (updated, name) == NULL)
      report_change (reporter, "the section of %s is removed.",
                     get_string (body, "owner"));
  }
}

void
cp_difference (json_t *old, json_t *updated,
               void (*report) (void *context, const char *message),
               void *context)
{
  struct reporter reporter = { report, context, "document" };
  json_int_t old_version
      = json_integer_value (json_object_get (old, "version"));
  json_int_t new_version
      = json_integer_value (json_object_get (updated, "version"));

  if (new_version < old_version)
    report_change (&reporter,
                   "version falls from %" JSON_INTEGER_FORMAT
                   " to %" JSON_INTEGER_FORMAT "; daemons will ignore it.",
                   old_version, new_version);
  else if (new_version > old_version)
    report_change (&reporter,
                   "version rises from %" JSON_INTEGER_FORMAT
                   " to %" JSON_INTEGER_FORMAT ".",
                   old_version, new_version);
  compare_sections (&reporter, json_object_get (old, "sections"),
                    json_object_get (updated, "sections"));
}

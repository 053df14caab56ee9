#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "lib/document.h"
#include "lib/schema.h"

#define DURATION_MS_MAX 600000
#define REPLAY_BYTES_MAX 67108864
#define EDIT_DISTANCE_BYTES_MAX 40
#define SUGGESTION_DISTANCE_MAX 3

static const struct cp_schema_key domain_keys[]
    = { { "region", CP_VALUE_NAME, true, 0, 0, NULL }, { 0 } };

static const struct cp_schema_key one_way_keys[]
    = { { "between_failure_domains", CP_VALUE_NUMBER, true, 0.001, 1000,
          NULL },
        { "to_callers", CP_VALUE_NUMBER, true, 0.001, 1000, NULL },
        { 0 } };

static const struct cp_schema_key configuration_service_keys[]
    = { { "reads_per_s", CP_VALUE_NUMBER, true, 1, 1000000, NULL },
        { "most_share", CP_VALUE_FRACTION, true, 0, 1, NULL },
        { "in_force_ms", CP_VALUE_NUMBER, true, 100, DURATION_MS_MAX, NULL },
        { 0 } };

static const struct cp_schema_key measuring_keys[]
    = { { "probe_ms", CP_VALUE_NUMBER, true, 0.001, 10000, NULL },
        { "target_ms_per_s", CP_VALUE_NUMBER, true, 0.001, 1000, NULL },
        { "bytes_per_s", CP_VALUE_NUMBER, true, 100, 1000000000, NULL },
        { 0 } };

const struct cp_schema_key cp_fleet_keys[]
    = { { "owner", CP_VALUE_NAME, true, 0, 0, NULL },
        { "kind", CP_VALUE_NAME, true, 0, 0, NULL },
        { "failure_domains", CP_VALUE_MAP, true, 0, 0, domain_keys },
        { "one_way_ms", CP_VALUE_OBJECT, true, 0, 0, one_way_keys },
        { "new_connection_ms", CP_VALUE_NUMBER, true, 0.001, 10000, NULL },
        { "configuration_service", CP_VALUE_OBJECT, true, 0, 0,
          configuration_service_keys },
        { "measuring", CP_VALUE_OBJECT, true, 0, 0, measuring_keys },
        { 0 } };

static const struct cp_schema_key target_keys[]
    = { { "address", CP_VALUE_ADDRESS, true, 0, 0, NULL },
        { "daemon", CP_VALUE_ADDRESS_OR_FALSE, true, 0, 0, NULL },
        { "failure_domain", CP_VALUE_NAME, true, 0, 0, NULL },
        { 0 } };

static const struct cp_schema_key probe_keys[]
    = { { "path", CP_VALUE_PATH, true, 0, 0, NULL },
        { "interval_ms", CP_VALUE_NUMBER, true, 10, DURATION_MS_MAX, NULL },
        { 0 } };

static const struct cp_schema_key drain_keys[]
    = { { "within_ms", CP_VALUE_NUMBER, true, 1, DURATION_MS_MAX, NULL },
        { "finish_ms", CP_VALUE_NUMBER, true, 1, DURATION_MS_MAX, NULL },
        { 0 } };

static const struct cp_schema_key retry_keys[]
    = { { "calls_share", CP_VALUE_FRACTION, true, 0, 1, NULL },
        { "most", CP_VALUE_INTEGER, true, 1, 8, NULL },
        { 0 } };

static const struct cp_schema_key hedge_keys[]
    = { { "calls_share", CP_VALUE_FRACTION, true, 0, 1, NULL },
        { "after_quantile", CP_VALUE_FRACTION, true, 0, 1, NULL },
        { 0 } };

static const struct cp_schema_key eject_keys[]
    = { { "most_share", CP_VALUE_FRACTION, true, 0, 1, NULL }, { 0 } };

static const struct cp_schema_key route_keys[]
    = { { "host", CP_VALUE_HOST, true, 0, 0, NULL },
        { "path", CP_VALUE_PATH, true, 0, 0, NULL },
        { "methods", CP_VALUE_METHODS, true, 0, 0, NULL },
        { "idempotent", CP_VALUE_BOOLEAN, false, 0, 0, NULL },
        { "priority", CP_VALUE_PRIORITY, false, 0, 0, NULL },
        { "deadline_ms", CP_VALUE_NUMBER, false, 1, DURATION_MS_MAX, NULL },
        { "replay_bytes", CP_VALUE_INTEGER, false, 0, REPLAY_BYTES_MAX, NULL },
        { 0 } };

const struct cp_schema_key cp_service_keys[]
    = { { "owner", CP_VALUE_NAME, true, 0, 0, NULL },
        { "kind", CP_VALUE_NAME, true, 0, 0, NULL },
        { "targets", CP_VALUE_MAP, true, 0, 0, target_keys },
        { "slots", CP_VALUE_INTEGER, true, 1, 100000, NULL },
        { "connections", CP_VALUE_INTEGER, true, 1, 100000, NULL },
        { "deadline_ms", CP_VALUE_NUMBER, true, 1, DURATION_MS_MAX, NULL },
        { "load", CP_VALUE_OBJECT, false, 0, 0, probe_keys },
        { "health", CP_VALUE_OBJECT, false, 0, 0, probe_keys },
        { "drain", CP_VALUE_OBJECT, true, 0, 0, drain_keys },
        { "retry", CP_VALUE_OBJECT, false, 0, 0, retry_keys },
        { "hedge", CP_VALUE_OBJECT, false, 0, 0, hedge_keys },
        { "eject", CP_VALUE_OBJECT, false, 0, 0, eject_keys },
        { "routes", CP_VALUE_ARRAY, true, 0, 0, route_keys },
        { 0 } };

const struct cp_schema_key cp_root_keys[]
    = { { "format", CP_VALUE_INTEGER, true, 1, 1, NULL },
        { "version", CP_VALUE_INTEGER, true, 1, 9007199254740991.0, NULL },
        { "sections", CP_VALUE_MAP, true, 0, 0, NULL },
        { 0 } };

void
cp_check_add_fault (const struct cp_check_context *context, const char *path,
                    const char *remedy, const char *problem, ...)
{
  char full_path[CP_PATH_BYTES];
  char text[224];
  va_list arguments;

  if (cp_faults_full (context->faults))
    {
      context->faults->count++;
      return;
    }
  snprintf (full_path, sizeof full_path, "%s%s%s", context->prefix,
            *context->prefix != '\0' && *path != '\0' && *path != '[' ? "/"
                                                                      : "",
            path);
  va_start (arguments, problem);
  vsnprintf (text, sizeof text, problem, arguments);
  va_end (arguments);
  cp_faults_add (context->faults,
                 cp_line_index_find (context->line_index, full_path),
                 context->section, path, context->owner, remedy, "%s", text);
}

/* Returns the Levenshtein distance of A and B (V. Levenshtein, Binary codes
   capable of correcting deletions, insertions and reversals, 1966).  Words
   longer than EDIT_DISTANCE_BYTES_MAX are not compared; their distance is that
   maximum.  */
static unsigned
edit_distance (const char *a, const char *b)
{
  unsigned row[EDIT_DISTANCE_BYTES_MAX + 1];
  size_t a_length = strlen (a);
  size_t b_length = strlen (b);

  if (a_length > EDIT_DISTANCE_BYTES_MAX || b_length > EDIT_DISTANCE_BYTES_MAX)
    return EDIT_DISTANCE_BYTES_MAX;
  for (unsigned j = 0; j <= b_length; j++)
    row[j] = j;
  for (unsigned i = 1; i <= a_length; i++)
    {
      unsigned diagonal = row[0];

      row[0] = i;
      for (unsigned j = 1; j <= b_length; j++)
        {
          unsigned best = diagonal + (a[i - 1] == b[j - 1] ? 0 : 1);

          diagonal = row[j];
          best = MIN (best, row[j] + 1);
          row[j] = MIN (best, row[j - 1] + 1);
        }
    }
  return row[b_length];
}

static const struct cp_schema_key *
find_key (const struct cp_schema_key *keys, const char *name)
{
  for (; keys->name != NULL; keys++)
    if (strcmp (keys->name, name) == 0)
      return keys;
  return NULL;
}

static void
add_unknown_key_fault (const struct cp_check_context *context,
                       const char *path, const char *name,
                       const struct cp_schema_key *keys)
{
  const struct cp_schema_key *nearest = keys;
  unsigned nearest_distance = EDIT_DISTANCE_BYTES_MAX + 1;
  char remedy[160];

  if (cp_faults_full (context->faults))
    {
      context->faults->count++;
      return;
    }
  for (const struct cp_schema_key *key = keys; key->name != NULL; key++)
    if (edit_distance (name, key->name) < nearest_distance)
      {
        nearest = key;
        nearest_distance = edit_distance (name, key->name);
      }
  if (nearest_distance <= SUGGESTION_DISTANCE_MAX)
    snprintf (remedy, sizeof remedy, "write \"%s\"", nearest->name);
  else
    snprintf (remedy, sizeof remedy,
              "remove it; the nearest known key is \"%s\"", nearest->name);
  cp_check_add_fault (context, path, remedy, "unknown key \"%.40s\"", name);
}

static void
check_number (const struct cp_check_context *context, const char *path,
              json_t *value, const struct cp_schema_key *key)
{
  double number = json_number_value (value);
  bool integer = key->type == CP_VALUE_INTEGER;
  char remedy[160];

  snprintf (remedy, sizeof remedy, "write a %snumber from %.15g to %.15g",
            integer ? "whole " : "", key->minimum, key->maximum);
  if (key->type == CP_VALUE_FRACTION)
    snprintf (remedy, sizeof remedy, "write a number above 0, at most 1");
  if (!json_is_number (value) || (integer && !json_is_integer (value)))
    cp_check_add_fault (context, path, remedy, "is not a %snumber",
                        integer ? "whole " : "");
  else if (number < key->minimum || number > key->maximum
           || (key->type == CP_VALUE_FRACTION && number <= 0))
    cp_check_add_fault (context, path, remedy, "%.15g is out of range",
                        number);
}

static bool
is_host_name (const char *text)
{
  size_t length = strspn (text, "abcdefghijklmnopqrstuvwxyz0123456789.-");

  return length > 0 && length <= 253 && text[length] == '\0';
}

static bool
is_path (const char *text)
{
  if (text[0] != '/' || strlen (text) > 255)
    return false;
  for (const char *at = text; *at != '\0'; at++)
    if (*at <= ' ' || *at >= 127 || strchr ("?#%\"\\", *at) != NULL)
      return false;
  return strstr (text, "//") == NULL && strstr (text, "/../") == NULL
         && strstr (text, "/./") == NULL;
}

static void
check_methods (const struct cp_check_context *context, const char *path,
               json_t *list)
{
  size_t i;
  json_t *name;

  if (json_array_size (list) == 0)
    cp_check_add_fault (context, path, "list at least one, as in [\"GET\"]",
                        "is not an array of methods");
  json_array_foreach (list, i, name)
  {
    const char *text = json_string_value (name);

    if (text == NULL || cp_method_parse (text) == 0)
      cp_check_add_fault (context, path,
                          "use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS",
                          "element %zu is not a supported method", i);
  }
}

static bool
is_priority (const char *text)
{
  return strcmp (text, "low") == 0 || strcmp (text, "normal") == 0
         || strcmp (text, "high") == 0;
}

static void
check_text (const struct cp_check_context *context, const char *path,
            json_t *value, enum cp_value_type type)
{
  const char *text = json_string_value (value);
  struct cp_address address;

  if (type == CP_VALUE_ADDRESS_OR_FALSE && json_is_false (value))
    return;
  if (text == NULL)
    {
      cp_check_add_fault (context, path, "write a string in quotes",
                          "is not a string");
      return;
    }
  if (type == CP_VALUE_NAME
      && (*text == '\0' || strlen (text) >= CP_NAME_BYTES))
    cp_check_add_fault (context, path, "use 1 to 63 bytes",
                        "is empty or too long");
  if (type == CP_VALUE_HOST && !is_host_name (text))
    cp_check_add_fault (context, path,
                        "write lower-case letters, digits, \".\" and \"-\"",
                        "\"%.60s\" is not a host name", text);
  if (type == CP_VALUE_PATH && !is_path (text))
    cp_check_add_fault (context, path,
                        "write an absolute path without \"//\", \"..\", "
                        "\"?\", \"#\" or \"%\", at most 255 bytes",
                        "\"%.60s\" is not a valid path", text);
  if ((type == CP_VALUE_ADDRESS || type == CP_VALUE_ADDRESS_OR_FALSE)
      && !cp_address_parse (&address, text))
    cp_check_add_fault (context, path,
                        "write \"10.1.1.1:8080\" or \"[2001:db8::1]:8080\"",
                        "\"%.60s\" is not an IP address with a port", text);
  if (type == CP_VALUE_PRIORITY && !is_priority (text))
    cp_check_add_fault (context, path, "write low, normal or high",
                        "\"%.40s\" is not a priority", text);
}

static void
check_map (const struct cp_check_context *context, const char *path,
           json_t *map, const struct cp_schema_key *keys)
{
  const char *name;
  json_t *member;

  if (!json_is_object (map) || json_object_size (map) == 0)
    cp_check_add_fault (context, path, "add at least one member",
                        "is empty or not an object");
  json_object_foreach (map, name, member)
  {
    char inner[CP_PATH_BYTES];

    snprintf (inner, sizeof inner, "%s/%s", path, name);
    if (*name == '\0' || strlen (name) >= CP_NAME_BYTES)
      cp_check_add_fault (context, inner, "use 1 to 63 bytes",
                          "the name is empty or too long");
    cp_schema_check (context, inner, member, keys);
  }
}

static void
check_array (const struct cp_check_context *context, const char *path,
             json_t *list, const struct cp_schema_key *keys)
{
  size_t i;
  json_t *member;

  if (json_array_size (list) == 0)
    cp_check_add_fault (context, path, "add at least one element",
                        "is empty or not an array");
  json_array_foreach (list, i, member)
  {
    char inner[CP_PATH_BYTES];

    snprintf (inner, sizeof inner, "%s[%zu]", path, i);
    cp_schema_check (context, inner, member, keys);
  }
}

static void
check_value (const struct cp_check_context *context, const char *path,
             json_t *value, const struct cp_schema_key *key)
{
  switch (key->type)
    {
    case CP_VALUE_OBJECT:
      cp_schema_check (context, path, value, key->keys);
      break;
    case CP_VALUE_MAP:
      check_map (context, path, value, key->keys);
      break;
    case CP_VALUE_ARRAY:
      check_array (context, path, value, key->keys);
      break;
    case CP_VALUE_METHODS:
      check_methods (context, path, value);
      break;
    case CP_VALUE_INTEGER:
    case CP_VALUE_NUMBER:
    case CP_VALUE_FRACTION:
      check_number (context, path, value, key);
      break;
    case CP_VALUE_BOOLEAN:
      if (!json_is_boolean (value))
        cp_check_add_fault (context, path, "write true or false",
                            "is not a boolean");
      break;
    default:
      check_text (context, path, value, key->type);
      break;
    }
}

void
cp_schema_check (const struct cp_check_context *context, const char *path,
                 json_t *object, const struct cp_schema_key *keys)
{
  const char *separator = *path == '\0' ? "" : "/";
  const char *name;
  json_t *value;
  char inner[CP_PATH_BYTES];

  if (!json_is_object (object))
    {
      cp_check_add_fault (context, path, "write an object in braces",
                          "is not an object");
      return;
    }
  json_object_foreach (object, name, value)
  {
    const struct cp_schema_key *key = find_key (keys, name);

    snprintf (inner, sizeof inner, "%s%s%s", path, separator, name);
    if (key == NULL)
      add_unknown_key_fault (context, inner, name, keys);
    else if (key->type != CP_VALUE_MAP || key->keys != NULL)
      check_value (context, inner, value, key);
  }
  for (const struct cp_schema_key *key = keys; key->name != NULL; key++)
    if (key->required && json_object_get (object, key->name) == NULL)
      {
        snprintf (inner, sizeof inner, "%s%s%s", path, separator, key->name);
        cp_check_add_fault (context, inner,
                            "add it; cornelpick.json(5) describes it",
                            "is missing");
      }
}

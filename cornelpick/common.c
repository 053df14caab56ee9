#include <stdio.h>

#include "cornelpick/cornelpick.h"

#define ADMIN_TIMEOUT_US (5 * CP_US_PER_S)
#define ADMIN_BYTES_MAX (64 * 1048576)

bool
parse_arguments (int *argc, char ***argv, const GOptionEntry *entries)
{
  GOptionContext *context = g_option_context_new (NULL);
  GError *io_error = NULL;
  bool parsed;

  g_option_context_add_main_entries (context, entries, NULL);
  parsed = g_option_context_parse (context, argc, argv, &io_error);
  g_option_context_free (context);
  if (!parsed)
    fprintf (stderr, "cornelpick: %s\n", io_error->message);
  g_clear_error (&io_error);
  return parsed;
}

int
report_error (const struct cp_error *error)
{
  char text[900];

  cp_error_text (error, text, sizeof text);
  fprintf (stderr, "cornelpick: %s\n", text);
  return error->kind == CP_ERROR_USAGE ? STATUS_USAGE : STATUS_FINDING;
}

int
admin_get (const char *text, const char *path, GString *body,
           struct cp_error *error)
{
  struct cp_address address;
  struct upstream_pool pool;
  int status;

  if (!cp_address_parse (&address, text))
    return cp_error_set (error, CP_ERROR_USAGE, text,
                         "write the admin address as in the settings, for "
                         "example 127.0.0.1:7402",
                         "is no IP number with port");
  if (upstream_pool_init (&pool, &cp_clock_boot, NULL) != 0)
    return cp_error_set (error, CP_ERROR_LIMIT, text,
                         "raise the limit of open files",
                         "cannot be called: no file descriptors left");
  status = upstream_get (&pool, &address, path, ADMIN_BYTES_MAX,
                         ADMIN_TIMEOUT_US, body);
  upstream_pool_finish (&pool);
  if (status == 200)
    return 0;
  if (status == 0)
    return cp_error_set (error, CP_ERROR_NETWORK, text,
                         "check that the daemon runs and that this is its "
                         "admin address",
                         "does not answer");
  return cp_error_set (error, CP_ERROR_PROTOCOL, text,
                       "check that this is the admin address of a daemon",
                       "answered with status %d", status);
}

int
read_file (const char *path, char **text, size_t *length,
           struct cp_error *error)
{
  GError *io_error = NULL;

  if (g_file_get_contents (path, text, length, &io_error))
    return 0;
  cp_error_set (error, CP_ERROR_IO, path, "name a file that can be read", "%s",
                io_error->message);
  g_error_free (io_error);
  return -1;
}

/* Reads PATH and parses it as JSON.  Returns NULL with ERROR set.  */
static json_t *
admin_get_json (const char *text, const char *path, struct cp_error *error)
{
  GString *body = g_string_new (NULL);
  json_t *value = NULL;

  if (admin_get (text, path, body, error) == 0)
    {
      value = json_loads (body->str, 0, NULL);
      if (value == NULL)
        cp_error_set (error, CP_ERROR_PROTOCOL, text,
                      "check that this is the admin address of a daemon",
                      "does not answer %s with JSON", path);
    }
  g_string_free (body, TRUE);
  return value;
}

json_t *
admin_get_state (const char *text, struct cp_error *error)
{
  json_t *state = admin_get_json (text, "/state", error);

  if (state == NULL || *get_string_member (state, "incarnation") != '\0')
    return state;
  json_decref (state);
  cp_error_set (error, CP_ERROR_PROTOCOL, text,
                "check that this is the admin address of a daemon",
                "does not answer /state with a state dump");
  return NULL;
}

json_t *
admin_get_list (const char *text, const char *path, struct cp_error *error)
{
  json_t *list = admin_get_json (text, path, error);

  if (list == NULL || json_is_array (list))
    return list;
  json_decref (list);
  cp_error_set (error, CP_ERROR_PROTOCOL, text,
                "check that this is the admin address of a daemon",
                "does not answer %s with a JSON array", path);
  return NULL;
}

const char *
get_string_member (json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text == NULL ? "" : text;
}

json_int_t
get_integer_member (json_t *object, const char *key)
{
  return json_integer_value (json_object_get (object, key));
}

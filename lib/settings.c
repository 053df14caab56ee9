#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "lib/cleanup.h"
#include "lib/settings.h"

#define CALL_THREADS_DEFAULT 64
#define PEER_THREADS_DEFAULT 300
#define DAEMONS_MOST_DEFAULT 5000
#define THREADS_MAX 4096
#define DAEMONS_MAX 16384
#define CHARTS_DEFAULT "/usr/local/share/cornelpick/charts"

enum setting_type
{
  SETTING_TEXT,
  SETTING_ADDRESS,
  SETTING_COUNT,
  SETTING_LOG_LEVEL,
  SETTING_LOG_FORMAT
};

struct setting
{
  const char *key;
  enum setting_type type;
  bool required;
  size_t offset;
  size_t size;
  unsigned maximum; /* of a SETTING_COUNT */
};

#define FIELD(name)                                                           \
  offsetof (struct cp_settings, name), sizeof ((struct cp_settings *)0)->name

static const struct setting settings_table[] = {
  { "vm", SETTING_TEXT, true, FIELD (vm), 0 },
  { "failure_domain", SETTING_TEXT, true, FIELD (failure_domain), 0 },
  { "calls", SETTING_ADDRESS, true, FIELD (calls), 0 },
  { "peers", SETTING_ADDRESS, true, FIELD (peers), 0 },
  { "peers_listen", SETTING_ADDRESS, false, FIELD (peers_listen), 0 },
  { "rpc_listen", SETTING_ADDRESS, false, FIELD (rpc_listen), 0 },
  { "admin", SETTING_ADDRESS, true, FIELD (admin), 0 },
  { "configuration_service", SETTING_ADDRESS, true,
    FIELD (configuration_service), 0 },
  { "configuration_key", SETTING_TEXT, false, FIELD (configuration_key), 0 },
  { "vm_list", SETTING_ADDRESS, false, FIELD (vm_list), 0 },
  { "charts", SETTING_TEXT, false, FIELD (charts), 0 },
  { "call_threads", SETTING_COUNT, false, FIELD (call_threads), THREADS_MAX },
  { "peer_threads", SETTING_COUNT, false, FIELD (peer_threads), THREADS_MAX },
  { "daemons_most", SETTING_COUNT, false, FIELD (daemons_most), DAEMONS_MAX },
  { "log_level", SETTING_LOG_LEVEL, false, FIELD (log_level), 0 },
  { "log_format", SETTING_LOG_FORMAT, false, FIELD (log_format), 0 },
};

static int
set_setting_error (const char *file, const char *key, const char *problem,
                   const char *remedy, struct cp_error *error)
{
  return cp_error_set (error, CP_ERROR_SETTINGS, file, remedy, "\"%s\" %s",
                       key, problem);
}

static const struct setting *
find_setting (const char *key)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (settings_table); i++)
    if (strcmp (settings_table[i].key, key) == 0)
      return &settings_table[i];
  return NULL;
}

static int
set_text (const char *file, const struct setting *setting, json_t *value,
          char *field, struct cp_error *error)
{
  const char *text = json_string_value (value);

  if (text == NULL || *text == '\0' || strlen (text) >= setting->size)
    return set_setting_error (file, setting->key,
                              "is no text, empty or too long",
                              "write a string in quotes", error);
  g_strlcpy (field, text, setting->size);
  return 0;
}

static int
set_count (const char *file, const struct setting *setting, json_t *value,
           unsigned *field, struct cp_error *error)
{
  json_int_t count = json_integer_value (value);
  char remedy[64];

  snprintf (remedy, sizeof remedy, "write a whole number from 1 to %u",
            setting->maximum);
  if (!json_is_integer (value) || count < 1 || count > setting->maximum)
    return set_setting_error (file, setting->key, "is out of range", remedy,
                              error);
  *field = (unsigned)count;
  return 0;
}

static int
set_value (struct cp_settings *settings, const char *file,
           const struct setting *setting, json_t *value,
           struct cp_error *error)
{
  void *field = (char *)settings + setting->offset;
  const char *text = json_string_value (value);

  switch (setting->type)
    {
    case SETTING_TEXT:
      return set_text (file, setting, value, field, error);
    case SETTING_COUNT:
      return set_count (file, setting, value, field, error);
    case SETTING_ADDRESS:
      if (cp_address_parse (field, text))
        return 0;
      return set_setting_error (
          file, setting->key, "is no IP number with port",
          "write \"127.0.0.1:7400\" or \"[::1]:7400\"", error);
    case SETTING_LOG_LEVEL:
      if (text != NULL && cp_log_level_parse (text, field))
        return 0;
      return set_setting_error (file, setting->key, "is unknown",
                                "use debug, info, warning or error", error);
    case SETTING_LOG_FORMAT:
      if (text != NULL && cp_log_format_parse (text, field))
        return 0;
      return set_setting_error (file, setting->key, "is unknown",
                                "use text or json", error);
    }
  return -1;
}

static void
set_defaults (struct cp_settings *settings)
{
  memset (settings, 0, sizeof *settings);
  g_strlcpy (settings->configuration_key, "/document",
             sizeof settings->configuration_key);
  g_strlcpy (settings->charts, CHARTS_DEFAULT, sizeof settings->charts);
  settings->call_threads = CALL_THREADS_DEFAULT;
  settings->peer_threads = PEER_THREADS_DEFAULT;
  settings->daemons_most = DAEMONS_MOST_DEFAULT;
  settings->log_level = CP_LOG_INFO;
  settings->log_format = CP_LOG_TEXT;
}

static int
check_required (json_t *root, const char *path, struct cp_error *error)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (settings_table); i++)
    if (settings_table[i].required
        && json_object_get (root, settings_table[i].key) == NULL)
      return set_setting_error (
          path, settings_table[i].key, "is missing",
          "add it; cornelpickd(8) describes the settings", error);
  return 0;
}

int
cp_settings_load (struct cp_settings *settings, const char *path,
                  struct cp_error *error)
{
  json_error_t fault;
  CP_AUTO_JSON json_t *root
      = json_load_file (path, JSON_REJECT_DUPLICATES, &fault);
  const char *key;
  json_t *value;

  set_defaults (settings);
  snprintf (settings->file, sizeof settings->file, "%s", path);
  if (root == NULL)
    return cp_error_set (error, CP_ERROR_SETTINGS, path,
                         "correct the file or name another with --settings",
                         "line %d: %s", fault.line, fault.text);
  if (!json_is_object (root))
    return cp_error_set (error, CP_ERROR_SETTINGS, path,
                         "write the settings as one JSON object",
                         "is no JSON object");
  json_object_foreach (root, key, value)
  {
    const struct setting *setting = find_setting (key);

    if (setting == NULL)
      return set_setting_error (path, key, "is no setting",
                                "remove it; cornelpickd(8) lists the settings",
                                error);
    if (set_value (settings, path, setting, value, error) != 0)
      return -1;
  }
  if (check_required (root, path, error) != 0)
    return -1;
  if (settings->peers_listen.length == 0)
    settings->peers_listen = settings->peers;
  if (settings->rpc_listen.length == 0)
    cp_address_rpc (&settings->peers, &settings->rpc_listen);
  if (settings->vm_list.length == 0)
    settings->vm_list = settings->configuration_service;
  return 0;
}

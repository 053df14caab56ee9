#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "regress/harness/cuts.h"
#include "regress/harness/spread.h"

#define PORT_PLATFORM 9000
#define PLATFORM_VM 250

void
fleet_list (struct fleet *fleet, unsigned leaving)
{
  json_t *list = json_array ();
  CP_AUTO_JSON json_t *control = NULL;
  CP_AUTO_FREE char *text = NULL;

  for (unsigned vm = 1; vm <= fleet->n_vms; vm++)
    {
      char name[32];
      char ip[32];
      char domain[32];

      snprintf (name, sizeof name, "vm-%u", vm);
      snprintf (ip, sizeof ip, "%s.%u", fleet->net, vm);
      snprintf (domain, sizeof domain, "domain-%u",
                (vm - 1) % fleet->n_domains + 1);
      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:s, s:s}", "name", name, "ip", ip,
                           "failure_domain", domain, "state",
                           vm == leaving ? "leaving" : "live"));
    }
  control = json_pack ("{s:o}", "vms", list);
  text = json_dumps (control, 0);
  fleet_control (fleet, 0, text);
}

void
fleet_allow_cuts (void)
{
  fleet_behind_cuts = true;
}

void
fleet_cut (unsigned from, unsigned to, unsigned other_from, unsigned other_to)
{
  cuts_add (from, to, other_from, other_to);
}

void
fleet_reconnect (unsigned from, unsigned to, unsigned other_from,
                 unsigned other_to)
{
  cuts_remove (from, to, other_from, other_to);
}

void
fleet_heal (void)
{
  cuts_heal ();
}

uint64_t
fleet_version (struct fleet *fleet, unsigned vm)
{
  CP_AUTO_JSON json_t *state = fleet_state (fleet, vm);

  return (uint64_t)json_integer_value (
      json_object_get (json_object_get (state, "configuration"), "version"));
}

gint64
fleet_in_force_at (const struct fleet *fleet, unsigned vm, uint64_t version)
{
  char path[192];
  char wanted[64];
  CP_AUTO_FREE char *text = NULL;
  CP_AUTO_FREE char *stamp = NULL;
  GDateTime *time;
  const char *at;
  gint64 when;

  snprintf (path, sizeof path, "%s/daemon-%u.log", fleet->folder, vm);
  snprintf (wanted, sizeof wanted, "Version %" G_GUINT64_FORMAT " is in force",
            version);
  if (!g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  at = strstr (text, wanted);
  if (at == NULL)
    return 0;
  while (at > text && at[-1] != '\n')
    at--;
  stamp = g_strndup (at, strcspn (at, " "));
  time = g_date_time_new_from_iso8601 (stamp, NULL);
  if (time == NULL)
    return 0;
  when = g_date_time_to_unix (time) * G_USEC_PER_SEC
         + g_date_time_get_microsecond (time);
  g_date_time_unref (time);
  return when;
}

/* What a test waits for.  */
struct awaited
{
  struct fleet *fleet;
  unsigned vm;
  unsigned to;
  uint64_t version;
  const char *key;
  const char *value;
  unsigned count;
};

static bool
has_version (void *context)
{
  struct awaited *awaited = context;

  while (awaited->vm <= awaited->to
         && fleet_version (awaited->fleet, awaited->vm) == awaited->version)
    awaited->vm++;
  return awaited->vm > awaited->to;
}

void
fleet_wait_version (struct fleet *fleet, unsigned from, unsigned to,
                    uint64_t version)
{
  struct awaited awaited
      = { .fleet = fleet, .vm = from, .to = to, .version = version };

  wait_until (has_version, &awaited);
}

void
fleet_configuration (struct fleet *fleet, unsigned vm, const char *key,
                     char *value, size_t size)
{
  CP_AUTO_JSON json_t *state = fleet_state (fleet, vm);
  const char *text = json_string_value (
      json_object_get (json_object_get (state, "configuration"), key));

  g_strlcpy (value, text == NULL ? "" : text, size);
}

static bool
has_text (void *context)
{
  struct awaited *awaited = context;
  char value[512];

  fleet_configuration (awaited->fleet, awaited->vm, awaited->key, value,
                       sizeof value);
  return strcmp (value, awaited->value) == 0;
}

void
fleet_wait_configuration (struct fleet *fleet, unsigned vm, const char *key,
                          const char *value)
{
  struct awaited awaited
      = { .fleet = fleet, .vm = vm, .key = key, .value = value };

  wait_until (has_text, &awaited);
}

uint64_t
fleet_reads (struct fleet *fleet)
{
  char address[56];
  struct reply reply;
  json_t *counts;
  uint64_t reads;

  reply_init (&reply);
  http_call (&reply,
             fleet_address (fleet, PLATFORM_VM, PORT_PLATFORM, address), "GET",
             "/fake/counts", NULL, NULL, 5000);
  counts = json_loads (reply.body->str, 0, NULL);
  reads = (uint64_t)json_integer_value (json_object_get (counts, "reads"));
  json_decref (counts);
  reply_finish (&reply);
  return reads;
}

static bool
calls_succeed (void *context)
{
  struct awaited *awaited = context;
  struct reply reply;
  bool good = true;

  reply_init (&reply);
  for (unsigned i = 0; good && i < awaited->count; i++)
    {
      fleet_call (awaited->fleet, &reply, awaited->vm, "GET", "/items/1", NULL,
                  NULL);
      good = reply.status == 200;
    }
  reply_finish (&reply);
  return good;
}

void
fleet_wait_calls (struct fleet *fleet, unsigned vm, unsigned count)
{
  struct awaited awaited = { .fleet = fleet, .vm = vm, .count = count };

  wait_until (calls_succeed, &awaited);
}

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cornelpick/cornelpick.h"
#include "lib/cleanup.h"
#include "lib/trace.h"

/* Command line options.  */
struct options
{
  char *out;
  char *from_us;
  char *name;
  char *deployment;
  char *service;
  char *source;
};

static json_t *
get_json (const char *address, const char *path, struct cp_error *error)
{
  GString *body = g_string_new (NULL);
  json_t *value = NULL;

  if (admin_get (address, path, body, error) == 0)
    {
      value = json_loads (body->str, 0, NULL);
      if (value == NULL)
        cp_error_set (error, CP_ERROR_PROTOCOL, address,
                      "check that this is the admin address of a daemon",
                      "does not answer %s with JSON", path);
    }
  g_string_free (body, TRUE);
  return value;
}

/* Adds the targets in the daemon's state dump, with their failure domains.
   Only one service is recorded: the trace's, or else the first.  */
static void
add_targets (struct cp_trace *trace, json_t *state)
{
  json_t *services
      = json_object_get (json_object_get (state, "outbound"), "services");
  const char *service;
  json_t *targets;

  json_object_foreach (services, service, targets)
  {
    size_t index;
    json_t *target;

    if (*trace->service == '\0')
      g_strlcpy (trace->service, service, sizeof trace->service);
    if (strcmp (trace->service, service) != 0)
      continue;
    json_array_foreach (targets, index, target)
    {
      struct cp_trace_member *member;

      if (trace->n_targets == CP_TRACE_MEMBERS_MAX)
        return;
      member = &trace->targets[trace->n_targets++];
      g_strlcpy (member->name,
                 json_string_value (json_object_get (target, "name")),
                 sizeof member->name);
      g_strlcpy (
          member->failure_domain,
          json_string_value (json_object_get (target, "failure_domain")),
          sizeof member->failure_domain);
    }
  }
}

/* Adds the decision records of one daemon.  */
static int
add_daemon (struct cp_trace *trace, const char *address, uint64_t from_us,
            struct cp_error *error)
{
  CP_AUTO_JSON json_t *state = get_json (address, "/state", error);
  CP_AUTO_JSON json_t *records = NULL;
  struct cp_trace_member *member = &trace->outbound[trace->n_outbound];
  const char *vm = json_string_value (json_object_get (state, "vm"));
  const char *domain
      = json_string_value (json_object_get (state, "failure_domain"));

  if (state == NULL)
    return -1;
  if (trace->n_outbound == CP_TRACE_MEMBERS_MAX || vm == NULL
      || domain == NULL)
    return cp_error_set (error, CP_ERROR_PROTOCOL, address,
                         "name at most 64 daemons of this version",
                         "cannot be recorded");
  records = get_json (address, "/decisions", error);
  if (records == NULL)
    return -1;
  g_strlcpy (member->name, vm, sizeof member->name);
  g_strlcpy (member->failure_domain, domain, sizeof member->failure_domain);
  if (trace->n_targets == 0)
    add_targets (trace, state);
  return cp_trace_add_records (trace, trace->n_outbound++, records, from_us,
                               error)
                 < 0
             ? -1
             : 0;
}

/* Shifts all times so that the first call is at 0.  */
static void
shift_times (struct cp_trace *trace)
{
  uint64_t first
      = trace->calls->len == 0
            ? 0
            : g_array_index (trace->calls, struct cp_trace_call, 0).time_us;

  for (guint i = 0; i < trace->calls->len; i++)
    {
      struct cp_trace_call *call
          = &g_array_index (trace->calls, struct cp_trace_call, i);

      call->time_us -= first;
      if (call->answer_us != 0)
        call->answer_us -= first;
    }
}

static int
write_trace (const struct cp_trace *trace, const char *out,
             struct cp_error *error)
{
  GString *text = g_string_new (NULL);
  GError *write_error = NULL;
  int status = 0;

  cp_trace_write (trace, text);
  if (out == NULL)
    fputs (text->str, stdout);
  else if (!g_file_set_contents (out, text->str, (gssize)text->len,
                                 &write_error))
    {
      status = cp_error_set (error, CP_ERROR_IO, out,
                             "name a file that can be written", "%s",
                             write_error->message);
      g_error_free (write_error);
    }
  g_string_free (text, TRUE);
  return status;
}

static void
set_header (struct cp_trace *trace, const struct options *options)
{
  g_strlcpy (trace->name, options->name == NULL ? "ring" : options->name,
             sizeof trace->name);
  g_strlcpy (trace->deployment,
             options->deployment == NULL ? "unnamed" : options->deployment,
             sizeof trace->deployment);
  g_strlcpy (trace->source,
             options->source == NULL ? "recorded from the decision rings of "
                                       "daemons"
                                     : options->source,
             sizeof trace->source);
  if (options->service != NULL)
    g_strlcpy (trace->service, options->service, sizeof trace->service);
  trace->slots = 12;
  trace->one_way_us = 1000;
  trace->eject_most_share = 0.4;
  trace->deadline_us = 2 * G_USEC_PER_SEC;
}

int
command_record (int argc, char **argv)
{
  struct options options = { 0 };
  const GOptionEntry entries[]
      = { { "out", 'o', 0, G_OPTION_ARG_FILENAME, &options.out,
            "Write the trace to FILE", "FILE" },
          { "from-us", 'f', 0, G_OPTION_ARG_STRING, &options.from_us,
            "Leave out calls before this time of the daemons' clock", "TIME" },
          { "name", 'n', 0, G_OPTION_ARG_STRING, &options.name,
            "Name of the trace", "NAME" },
          { "deployment", 'd', 0, G_OPTION_ARG_STRING, &options.deployment,
            "Name of the deployment", "NAME" },
          { "service", 'S', 0, G_OPTION_ARG_STRING, &options.service,
            "Record the calls of this service (default: the first)", "NAME" },
          { "source", 's', 0, G_OPTION_ARG_STRING, &options.source,
            "How the trace was made", "TEXT" },
          G_OPTION_ENTRY_NULL };
  struct cp_trace trace;
  struct cp_error error;
  uint64_t from_us;
  int status = 0;

  if (!parse_arguments (&argc, &argv, entries) || argc < 2)
    return usage ();
  from_us = options.from_us == NULL ? 0 : strtoull (options.from_us, NULL, 10);
  cp_trace_init (&trace);
  set_header (&trace, &options);
  for (int i = 1; i < argc && status == 0; i++)
    status = add_daemon (&trace, argv[i], from_us, &error);
  if (status == 0)
    {
      cp_trace_sort (&trace);
      if (from_us == 0)
        shift_times (&trace);
      status = write_trace (&trace, options.out, &error);
    }
  cp_trace_finish (&trace);
  return status == 0 ? STATUS_OK : report_error (&error);
}

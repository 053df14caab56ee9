#include <stdio.h>
#include <string.h>

#include "lib/cleanup.h"
#include "lib/trace.h"

const char *const cp_trace_fault_names[CP_FAULT_KIND_COUNT]
    = { "slow", "fail", "gone", "drain", "lie", "lag", "hang", "pause" };

/* Parser state.  */
struct parser
{
  struct cp_trace *trace;
  const char *name;
  unsigned line_number;
  uint64_t previous_time_us;
  GHashTable *by_id; /* index into the calls, by ID */
  bool ended;
  struct cp_error *error;
};

static int
fail (const struct parser *parser, const char *remedy, const char *problem)
{
  char place[192];

  snprintf (place, sizeof place, "%s:%u", parser->name, parser->line_number);
  return cp_error_set (parser->error, CP_ERROR_TRACE, place, remedy, "%s",
                       problem);
}

void
cp_trace_init (struct cp_trace *trace)
{
  memset (trace, 0, sizeof *trace);
  trace->calls = g_array_new (FALSE, TRUE, sizeof (struct cp_trace_call));
  trace->faults = g_array_new (FALSE, TRUE, sizeof (struct cp_trace_fault));
}

void
cp_trace_finish (struct cp_trace *trace)
{
  g_array_unref (trace->calls);
  g_array_unref (trace->faults);
}

/* Reads the member KEY, which must be an integer of at least 0.  */
static bool
get_number (json_t *object, const char *key, uint64_t *number)
{
  json_t *value = json_object_get (object, key);

  if (!json_is_integer (value) || json_integer_value (value) < 0)
    return false;
  *number = (uint64_t)json_integer_value (value);
  return true;
}

static bool
get_text (json_t *object, const char *key, char *text, size_t size)
{
  const char *value = json_string_value (json_object_get (object, key));

  if (value == NULL)
    return false;
  g_strlcpy (text, value, size);
  return true;
}

static bool
get_members (json_t *list, struct cp_trace_member *members, unsigned *count)
{
  size_t index;
  json_t *value;

  if (json_array_size (list) == 0
      || json_array_size (list) > CP_TRACE_MEMBERS_MAX)
    return false;
  json_array_foreach (list, index, value)
  {
    const char *name = json_string_value (json_array_get (value, 0));
    const char *domain = json_string_value (json_array_get (value, 1));

    if (name == NULL || domain == NULL)
      return false;
    g_strlcpy (members[index].name, name, CP_NAME_BYTES);
    g_strlcpy (members[index].failure_domain, domain, CP_NAME_BYTES);
  }
  *count = (unsigned)json_array_size (list);
  return true;
}

static bool
get_outcomes (struct cp_trace *trace, json_t *object)
{
  const char *name;
  json_t *value;

  json_object_foreach (object, name, value)
  {
    struct cp_trace_outcome *outcome = &trace->outcomes[trace->n_outcomes];

    if (!json_is_number (value) || trace->n_outcomes == CP_TRACE_OUTCOMES_MAX)
      return false;
    g_strlcpy (outcome->name, name, sizeof outcome->name);
    outcome->bound = json_number_value (value);
    trace->n_outcomes++;
  }
  return true;
}

static int
parse_header (const struct parser *parser, json_t *object)
{
  struct cp_trace *trace = parser->trace;
  uint64_t format = 0;
  uint64_t slots = 0;

  if (!get_number (object, "format", &format) || format != CP_TRACE_FORMAT)
    return fail (parser,
                 "record it with \"cornelpick record\" of this version",
                 "is not a trace of format 1");
  if (!get_text (object, "trace", trace->name, sizeof trace->name)
      || !get_text (object, "deployment", trace->deployment,
                    sizeof trace->deployment)
      || !get_text (object, "service", trace->service, sizeof trace->service)
      || !get_text (object, "source", trace->source, sizeof trace->source))
    return fail (parser,
                 "write trace, deployment, service and source as strings",
                 "the header lacks a string");
  if (!get_number (object, "slots", &slots) || slots == 0
      || !get_number (object, "one_way_us", &trace->one_way_us)
      || !get_number (object, "deadline_us", &trace->deadline_us))
    return fail (parser, "write slots, one_way_us and deadline_us as numbers",
                 "the header lacks a number");
  trace->slots = (unsigned)slots;
  trace->eject_most_share
      = json_number_value (json_object_get (object, "eject_most_share"));
  if (!get_members (json_object_get (object, "targets"), trace->targets,
                    &trace->n_targets)
      || !get_members (json_object_get (object, "outbound"), trace->outbound,
                       &trace->n_outbound))
    return fail (parser,
                 "write targets and outbound as [name, failure domain]",
                 "the header lists no targets or no outbound sides");
  if (!get_outcomes (trace, json_object_get (object, "outcomes")))
    return fail (
        parser, "map at most 16 names to numbers",
        "\"outcomes\" has too many entries or one that is not a number");
  return 0;
}

static int
parse_call (const struct parser *parser, json_t *object, uint64_t time_us)
{
  struct cp_trace_call call = { .time_us = time_us };
  uint64_t from;

  if (!get_number (object, "call", &call.id)
      || !get_number (object, "from", &from)
      || from >= parser->trace->n_outbound)
    return fail (parser, "name an outbound side of the header",
                 "the call has no ID or comes from an unknown outbound side");
  if (g_hash_table_contains (parser->by_id, (gpointer)(uintptr_t)call.id))
    return fail (parser, "give each call an ID of its own",
                 "the call's ID was used before");
  call.outbound = (unsigned)from;
  g_array_append_val (parser->trace->calls, call);
  g_hash_table_insert (parser->by_id, (gpointer)(uintptr_t)call.id,
                       GUINT_TO_POINTER (parser->trace->calls->len));
  return 0;
}

static int
parse_answer (const struct parser *parser, json_t *object, uint64_t time_us)
{
  struct cp_trace *trace = parser->trace;
  struct cp_trace_call *call;
  uint64_t id, target, status, load;
  guint position;

  if (!get_number (object, "answer", &id)
      || !get_number (object, "target", &target) || target >= trace->n_targets)
    return fail (parser, "name a target of the header",
                 "the answer has no ID or comes from an unknown target");
  position = GPOINTER_TO_UINT (
      g_hash_table_lookup (parser->by_id, (gpointer)(uintptr_t)id));
  if (position == 0)
    return fail (parser, "put each call before its answer",
                 "the answer belongs to no call before it");
  call = &g_array_index (trace->calls, struct cp_trace_call, position - 1);
  if (call->answer_us != 0)
    return fail (parser, "remove all but one answer to the call",
                 "the call was answered before");
  if (!get_number (object, "service_us", &call->service_us)
      || !get_number (object, "status", &status)
      || !get_number (object, "load", &load)
      || !get_number (object, "age_us", &call->report_age_us))
    return fail (parser,
                 "write service_us, status, load and age_us as numbers of at "
                 "least 0",
                 "the answer lacks a number or has a negative one");
  if (call->report_age_us > time_us + G_USEC_PER_SEC * 600)
    return fail (parser, "record the trace again",
                 "the report is from more than 600 s before the trace");
  call->target = (unsigned)target;
  call->status = (int)status;
  call->load = (uint32_t)load;
  call->answer_us = time_us;
  return 0;
}

static int
parse_fault (const struct parser *parser, json_t *object, uint64_t time_us)
{
  const char *kind = json_string_value (json_object_get (object, "fault"));
  struct cp_trace_fault fault = { .time_us = time_us };
  uint64_t index, value;
  unsigned limit = parser->trace->n_targets;

  for (unsigned i = 0; kind != NULL && i < CP_FAULT_KIND_COUNT; i++)
    {
      if (strcmp (kind, cp_trace_fault_names[i]) != 0)
        continue;
      fault.kind = (enum cp_trace_fault_kind)i;
      if (fault.kind == CP_FAULT_PAUSE)
        limit = parser->trace->n_outbound;
      if (!get_number (object, "target", &index) || index >= limit
          || !get_number (object, "value", &value))
        return fail (parser, "name a target of the header and a value",
                     "the fault's target is unknown or its value missing");
      fault.index = (unsigned)index;
      fault.value = (unsigned)value;
      g_array_append_val (parser->trace->faults, fault);
      return 0;
    }
  return fail (parser, "use slow, fail, gone, drain, lie, lag, hang or pause",
               "the kind of fault is unknown");
}

static int
parse_end (struct parser *parser, json_t *object)
{
  uint64_t count;

  if (!get_number (object, "end", &count)
      || count != parser->trace->calls->len)
    return fail (parser, "record the trace again; lines are missing",
                 "the number of calls differs from that in the last line");
  parser->ended = true;
  return 0;
}

static int
parse_line (struct parser *parser, json_t *object)
{
  uint64_t time_us;

  if (parser->line_number == 1)
    return parse_header (parser, object);
  if (parser->ended)
    return fail (parser, "remove the lines after the end",
                 "there is a line after the end");
  if (json_object_get (object, "end") != NULL)
    return parse_end (parser, object);
  if (!get_number (object, "t", &time_us))
    return fail (parser, "write \"t\" in microseconds from the start",
                 "the line has no time, or a negative one");
  if (time_us < parser->previous_time_us)
    return fail (parser, "sort the lines by \"t\"",
                 "the line is earlier than the one before it");
  parser->previous_time_us = time_us;
  if (json_object_get (object, "call") != NULL)
    return parse_call (parser, object, time_us);
  if (json_object_get (object, "answer") != NULL)
    return parse_answer (parser, object, time_us);
  if (json_object_get (object, "fault") != NULL)
    return parse_fault (parser, object, time_us);
  return fail (parser, "use call, answer, fault or end",
               "the line is of an unknown kind");
}

static int
parse_lines (struct parser *parser, const char *text)
{
  while (*text != '\0')
    {
      const char *end = strchrnul (text, '\n');
      CP_AUTO_JSON json_t *object = json_loadb (text, (size_t)(end - text),
                                                JSON_REJECT_DUPLICATES, NULL);

      parser->line_number++;
      if (!json_is_object (object))
        return fail (
            parser, "record the trace again; the line is truncated or damaged",
            "the line is not a JSON object");
      if (parse_line (parser, object) != 0)
        return -1;
      text = *end == '\0' ? end : end + 1;
    }
  if (!parser->ended)
    return fail (parser, "record the trace again; its end is missing",
                 "the trace is truncated");
  return 0;
}

int
cp_trace_parse (struct cp_trace *trace, const char *name, const char *text,
                struct cp_error *error)
{
  struct parser parser = { .trace = trace, .name = name, .error = error };
  int status;

  parser.by_id = g_hash_table_new (NULL, NULL);
  status = parse_lines (&parser, text);
  g_hash_table_unref (parser.by_id);
  return status;
}

int
cp_trace_load (struct cp_trace *trace, const char *path,
               struct cp_error *error)
{
  CP_AUTO_FREE char *text = NULL;
  GError *read_error = NULL;

  if (!g_file_get_contents (path, &text, NULL, &read_error))
    {
      cp_error_set (error, CP_ERROR_IO, path, "name a file that can be read",
                    "%s", read_error->message);
      g_error_free (read_error);
      return -1;
    }
  return cp_trace_parse (trace, path, text, error);
}

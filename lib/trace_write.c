#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "lib/cleanup.h"
#include "lib/decision.h"
#include "lib/trace.h"

/* One line of the trace, for sorting by time.  */
struct entry
{
  uint64_t time_us;
  unsigned order;
  bool is_answer;
  const struct cp_trace_call *call;
  const struct cp_trace_fault *fault;
};

static json_t *
members_json (const struct cp_trace_member *members, unsigned count)
{
  json_t *list = json_array ();

  for (unsigned i = 0; i < count; i++)
    json_array_append_new (list, json_pack ("[s, s]", members[i].name,
                                            members[i].failure_domain));
  return list;
}

static void
write_header (const struct cp_trace *trace, GString *text)
{
  CP_AUTO_JSON json_t *header = json_pack (
      "{s:i, s:s, s:s, s:s, s:s, s:i, s:I, s:f, s:I, s:o, s:o}", "format",
      CP_TRACE_FORMAT, "trace", trace->name, "deployment", trace->deployment,
      "service", trace->service, "source", trace->source, "slots",
      (int)trace->slots, "one_way_us", (json_int_t)trace->one_way_us,
      "eject_most_share", trace->eject_most_share, "deadline_us",
      (json_int_t)trace->deadline_us, "targets",
      members_json (trace->targets, trace->n_targets), "outbound",
      members_json (trace->outbound, trace->n_outbound));
  json_t *outcomes = json_object ();
  CP_AUTO_FREE char *line = NULL;

  for (unsigned i = 0; i < trace->n_outcomes; i++)
    json_object_set_new (outcomes, trace->outcomes[i].name,
                         json_real (trace->outcomes[i].bound));
  json_object_set_new (header, "outcomes", outcomes);
  line = json_dumps (header, JSON_COMPACT | JSON_REAL_PRECISION (9));
  g_string_append_printf (text, "%s\n", line);
}

static gint
compare_entries (gconstpointer left, gconstpointer right)
{
  const struct entry *a = left;
  const struct entry *b = right;

  if (a->time_us != b->time_us)
    return a->time_us < b->time_us ? -1 : 1;
  return a->order < b->order ? -1 : a->order > b->order;
}

static GArray *
list_entries (const struct cp_trace *trace)
{
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (struct entry));

  for (guint i = 0; i < trace->faults->len; i++)
    {
      struct entry entry = { .order = entries->len };

      entry.fault = &g_array_index (trace->faults, struct cp_trace_fault, i);
      entry.time_us = entry.fault->time_us;
      g_array_append_val (entries, entry);
    }
  for (guint i = 0; i < trace->calls->len; i++)
    {
      struct entry entry = { .order = entries->len };

      entry.call = &g_array_index (trace->calls, struct cp_trace_call, i);
      entry.time_us = entry.call->time_us;
      g_array_append_val (entries, entry);
      if (entry.call->answer_us == 0)
        continue;
      entry.order++;
      entry.is_answer = true;
      entry.time_us = entry.call->answer_us;
      g_array_append_val (entries, entry);
    }
  g_array_sort (entries, compare_entries);
  return entries;
}

static void
write_entry (const struct entry *entry, GString *text)
{
  if (entry->fault != NULL)
    g_string_append_printf (
        text,
        "{\"fault\":\"%s\",\"t\":%" PRIu64 ",\"target\":%u,\"value\":%u}\n",
        cp_trace_fault_names[entry->fault->kind], entry->time_us,
        entry->fault->index, entry->fault->value);
  else if (entry->is_answer)
    g_string_append_printf (
        text,
        "{\"answer\":%" PRIu64 ",\"t\":%" PRIu64
        ",\"target\":%u,\"service_us\":%" PRIu64
        ",\"status\":%d,\"load\":%" PRIu32 ",\"age_us\":%" PRIu64 "}\n",
        entry->call->id, entry->time_us, entry->call->target,
        entry->call->service_us, entry->call->status, entry->call->load,
        entry->call->report_age_us);
  else
    g_string_append_printf (
        text, "{\"call\":%" PRIu64 ",\"t\":%" PRIu64 ",\"from\":%u}\n",
        entry->call->id, entry->time_us, entry->call->outbound);
}

void
cp_trace_write (const struct cp_trace *trace, GString *text)
{
  GArray *entries = list_entries (trace);

  write_header (trace, text);
  for (guint i = 0; i < entries->len; i++)
    write_entry (&g_array_index (entries, struct entry, i), text);
  g_string_append_printf (text, "{\"end\":%u}\n", trace->calls->len);
  g_array_unref (entries);
}

static gint
compare_calls (gconstpointer left, gconstpointer right)
{
  const struct cp_trace_call *a = left;
  const struct cp_trace_call *b = right;

  if (a->time_us != b->time_us)
    return a->time_us < b->time_us ? -1 : 1;
  return a->outbound < b->outbound ? -1 : a->outbound > b->outbound;
}

static gint
compare_faults (gconstpointer left, gconstpointer right)
{
  const struct cp_trace_fault *a = left;
  const struct cp_trace_fault *b = right;

  return a->time_us < b->time_us ? -1 : a->time_us > b->time_us;
}

void
cp_trace_sort (struct cp_trace *trace)
{
  g_array_sort (trace->calls, compare_calls);
  g_array_sort (trace->faults, compare_faults);
  for (guint i = 0; i < trace->calls->len; i++)
    g_array_index (trace->calls, struct cp_trace_call, i).id = i + 1;
}

/* Returns the index of the target NAME, which is added when it is new, or -1
   when there are too many targets.  */
static int
target_index (struct cp_trace *trace, const char *name)
{
  for (unsigned i = 0; i < trace->n_targets; i++)
    if (strcmp (trace->targets[i].name, name) == 0)
      return (int)i;
  if (trace->n_targets == CP_TRACE_MEMBERS_MAX)
    return -1;
  g_strlcpy (trace->targets[trace->n_targets].name, name, CP_NAME_BYTES);
  return (int)trace->n_targets++;
}

/* Fills in the answer of CALL from the record of an attempt's end.  */
static int
import_attempt_end (struct cp_trace *trace, struct cp_trace_call *call,
                    const struct cp_decision *decision, uint64_t start_us)
{
  int target = target_index (trace, decision->target);

  if (target < 0)
    return -1;
  call->target = (unsigned)target;
  call->service_us = decision->duration_us;
  call->status = decision->status;
  call->answer_us = decision->time_us - start_us;
  if (call->answer_us <= call->time_us)
    call->answer_us = call->time_us + 1;
  return 0;
}

/* State of reading the records of one daemon.  */
struct import_state
{
  struct cp_trace *trace;
  GHashTable *by_request; /* request ID to index into the calls plus one */
  uint32_t
      loads[CP_TRACE_MEMBERS_MAX]; /* calls in flight of the last report */
  uint64_t ages_us[CP_TRACE_MEMBERS_MAX];
  unsigned outbound;
  uint64_t start_us;
};

static int
import_record (struct import_state *state, const struct cp_decision *decision)
{
  struct cp_trace *trace = state->trace;
  char id[CP_ID_TEXT_BYTES];
  gpointer position;
  int target;

  if (decision->time_us < state->start_us
      || (*trace->service != '\0'
          && strcmp (trace->service, decision->service) != 0))
    return 0;
  cp_id_text (&decision->request, id);
  position = g_hash_table_lookup (state->by_request, id);
  if (decision->kind == CP_DECISION_REPORT)
    {
      target = target_index (trace, decision->target);
      if (target < 0)
        return -1;
      state->loads[target] = (uint32_t)decision->value;
      state->ages_us[target] = decision->duration_us;
    }
  if (decision->kind == CP_DECISION_SEND && position == NULL)
    {
      struct cp_trace_call call
          = { .time_us = decision->time_us - state->start_us,
              .outbound = state->outbound };

      g_array_append_val (trace->calls, call);
      g_hash_table_insert (state->by_request, g_strdup (id),
                           GUINT_TO_POINTER (trace->calls->len));
    }
  if (decision->kind == CP_DECISION_ATTEMPT_END && position != NULL)
    {
      struct cp_trace_call *call = &g_array_index (
          trace->calls, struct cp_trace_call, GPOINTER_TO_UINT (position) - 1);

      if (import_attempt_end (trace, call, decision, state->start_us) != 0)
        return -1;
      call->load = state->loads[call->target];
      call->report_age_us = state->ages_us[call->target];
    }
  return 0;
}

int
cp_trace_add_records (struct cp_trace *trace, unsigned outbound,
                      json_t *records, uint64_t start_us,
                      struct cp_error *error)
{
  struct import_state state
      = { .trace = trace, .outbound = outbound, .start_us = start_us };
  guint before = trace->calls->len;
  int status = 0;
  size_t index;
  json_t *value;

  state.by_request
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  json_array_foreach (records, index, value)
  {
    struct cp_decision decision;

    if (status == 0 && cp_decision_parse (&decision, value))
      status = import_record (&state, &decision);
  }
  g_hash_table_unref (state.by_request);
  if (status != 0)
    return cp_error_set (error, CP_ERROR_LIMIT, trace->name,
                         "record one service at a time",
                         "has more than %d targets", CP_TRACE_MEMBERS_MAX);
  return (int)(trace->calls->len - before);
}

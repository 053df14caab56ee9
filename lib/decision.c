#include <stdlib.h>
#include <string.h>

#include "lib/cleanup.h"
#include "lib/decision.h"

/* Records that a dump copies while it holds the lock once.  */
#define BATCH_RECORDS 32

const char *const cp_decision_names[CP_DECISION_KIND_COUNT] = {
  [CP_DECISION_NONE] = "none",
  [CP_DECISION_PICK] = "pick",
  [CP_DECISION_SEND] = "send",
  [CP_DECISION_ATTEMPT_END] = "attempt-end",
  [CP_DECISION_FENCE] = "fence",
  [CP_DECISION_OUTCOME] = "outcome",
  [CP_DECISION_ADMIT] = "admit",
  [CP_DECISION_REFUSE] = "refuse",
  [CP_DECISION_START] = "start",
  [CP_DECISION_END] = "end",
  [CP_DECISION_FENCED] = "fenced",
  [CP_DECISION_PROBE] = "probe",
  [CP_DECISION_BUDGET] = "budget",
  [CP_DECISION_REPORT] = "report",
  [CP_DECISION_HEALTH] = "health",
  [CP_DECISION_CONFIGURATION] = "configuration",
  [CP_DECISION_PAUSE] = "pause",
};

int
cp_decisions_init (struct cp_decisions *decisions)
{
  pthread_mutex_init (&decisions->lock, NULL);
  decisions->added = 0;
  decisions->ring = calloc (CP_DECISIONS_MAX, sizeof *decisions->ring);
  return decisions->ring == NULL ? -1 : 0;
}

void
cp_decisions_finish (struct cp_decisions *decisions)
{
  free (decisions->ring);
  pthread_mutex_destroy (&decisions->lock);
}

void
cp_decisions_add (struct cp_decisions *decisions,
                  const struct cp_decision *decision)
{
  CP_LOCK_SCOPE (&decisions->lock);
  decisions->ring[decisions->added++ % CP_DECISIONS_MAX] = *decision;
}

/* Copies up to SIZE records from number *NEXT on to BATCH and advances *NEXT.
   Skips records that were overwritten meanwhile.  Returns the number
   copied.  */
static unsigned
copy_batch (struct cp_decisions *decisions, uint64_t *next,
            struct cp_decision *batch, unsigned size)
{
  unsigned count = 0;

  CP_LOCK_SCOPE (&decisions->lock);
  if (decisions->added > CP_DECISIONS_MAX
      && *next < decisions->added - CP_DECISIONS_MAX)
    *next = decisions->added - CP_DECISIONS_MAX;
  while (count < size && *next < decisions->added)
    batch[count++] = decisions->ring[(*next)++ % CP_DECISIONS_MAX];
  return count;
}

static bool
matches_id (const struct cp_decision *decision, const struct cp_id *id)
{
  return id == NULL || cp_id_equal (id, &decision->request)
         || cp_id_equal (id, &decision->attempt);
}

json_t *
cp_decisions_dump (struct cp_decisions *decisions, const struct cp_id *id)
{
  json_t *list = json_array ();
  CP_AUTO_FREE struct cp_decision *batch
      = calloc (BATCH_RECORDS, sizeof *batch);
  uint64_t next = 0;
  uint64_t end = cp_decisions_added (decisions);

  while (batch != NULL && next < end)
    {
      unsigned count = copy_batch (decisions, &next, batch, BATCH_RECORDS);

      for (unsigned i = 0; i < count; i++)
        if (matches_id (&batch[i], id))
          json_array_append_new (list, cp_decision_json (&batch[i]));
    }
  return list;
}

uint64_t
cp_decisions_added (struct cp_decisions *decisions)
{
  CP_LOCK_SCOPE (&decisions->lock);
  return decisions->added;
}

uint64_t
cp_decisions_oldest_us (struct cp_decisions *decisions)
{
  CP_LOCK_SCOPE (&decisions->lock);
  if (decisions->added == 0)
    return 0;
  if (decisions->added <= CP_DECISIONS_MAX)
    return decisions->ring[0].time_us;
  return decisions->ring[decisions->added % CP_DECISIONS_MAX].time_us;
}

static void
set_text (json_t *object, const char *key, const char *text)
{
  if (*text != '\0')
    json_object_set_new (object, key, json_string (text));
}

static void
set_number (json_t *object, const char *key, uint64_t number)
{
  if (number != 0)
    json_object_set_new (object, key, json_integer ((json_int_t)number));
}

static void
set_id (json_t *object, const char *key, const struct cp_id *id)
{
  static const struct cp_id none;
  char text[CP_ID_TEXT_BYTES];

  if (cp_id_equal (id, &none))
    return;
  cp_id_text (id, text);
  set_text (object, key, text);
}

static json_t *
candidates_json (const struct cp_decision *decision)
{
  json_t *list = json_array ();

  for (unsigned i = 0; i < decision->n_candidates; i++)
    {
      const struct cp_candidate *candidate = &decision->candidates[i];
      json_t *object = json_object ();

      set_text (object, "target", candidate->target);
      if (candidate->report_age_us != UINT64_MAX)
        json_object_set_new (
            object, "report_age_us",
            json_integer ((json_int_t)candidate->report_age_us));
      set_number (object, "in_flight", candidate->in_flight);
      set_number (object, "latency_us", candidate->latency_us);
      set_text (object, "health", candidate->health);
      json_array_append_new (list, object);
    }
  return list;
}

json_t *
cp_decision_json (const struct cp_decision *decision)
{
  json_t *object = json_object ();

  set_text (object, "kind", cp_decision_names[decision->kind]);
  set_number (object, "time_us", decision->time_us);
  set_id (object, "request", &decision->request);
  set_id (object, "attempt", &decision->attempt);
  set_text (object, "service", decision->service);
  set_text (object, "target", decision->target);
  set_text (object, "reason", decision->reason);
  set_number (object, "status", (uint64_t)decision->status);
  set_number (object, "duration_us", decision->duration_us);
  set_number (object, "value", decision->value);
  if (decision->n_candidates > 0)
    json_object_set_new (object, "candidates", candidates_json (decision));
  return object;
}

static void
get_text (json_t *object, const char *key, char *text, size_t size)
{
  const char *value = json_string_value (json_object_get (object, key));

  g_strlcpy (text, value == NULL ? "" : value, size);
}

static uint64_t
get_number (json_t *object, const char *key)
{
  return (uint64_t)json_integer_value (json_object_get (object, key));
}

static void
get_id (json_t *object, const char *key, struct cp_id *id)
{
  if (!cp_id_parse (id, json_string_value (json_object_get (object, key))))
    memset (id, 0, sizeof *id);
}

static void
get_candidate (json_t *object, struct cp_candidate *candidate)
{
  get_text (object, "target", candidate->target, sizeof candidate->target);
  get_text (object, "health", candidate->health, sizeof candidate->health);
  candidate->in_flight = (uint32_t)get_number (object, "in_flight");
  candidate->latency_us = get_number (object, "latency_us");
  candidate->report_age_us = json_object_get (object, "report_age_us") == NULL
                                 ? UINT64_MAX
                                 : get_number (object, "report_age_us");
}

static bool
get_kind (json_t *object, enum cp_decision_kind *kind)
{
  const char *name = json_string_value (json_object_get (object, "kind"));

  for (unsigned i = 1; name != NULL && i < CP_DECISION_KIND_COUNT; i++)
    if (strcmp (name, cp_decision_names[i]) == 0)
      {
        *kind = (enum cp_decision_kind)i;
        return true;
      }
  return false;
}

bool
cp_decision_parse (struct cp_decision *decision, json_t *value)
{
  json_t *list = json_object_get (value, "candidates");

  memset (decision, 0, sizeof *decision);
  if (!get_kind (value, &decision->kind))
    return false;
  decision->time_us = get_number (value, "time_us");
  get_id (value, "request", &decision->request);
  get_id (value, "attempt", &decision->attempt);
  get_text (value, "service", decision->service, sizeof decision->service);
  get_text (value, "target", decision->target, sizeof decision->target);
  get_text (value, "reason", decision->reason, sizeof decision->reason);
  decision->status = (int)get_number (value, "status");
  decision->duration_us = get_number (value, "duration_us");
  decision->value = get_number (value, "value");
  for (size_t i = 0; i < json_array_size (list) && i < CP_CANDIDATES_MAX; i++)
    get_candidate (json_array_get (list, i),
                   &decision->candidates[decision->n_candidates++]);
  return true;
}

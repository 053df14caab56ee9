#include <inttypes.h>
#include <string.h>

#include "cornelpick/story.h"

#define US_PER_MS 1000.0

int
story_init (struct story *story, json_t *list)
{
  size_t size = json_array_size (list);

  story->count = 0;
  story->records = calloc (size + 1, sizeof *story->records);
  if (story->records == NULL)
    return -1;
  for (size_t i = 0; i < size; i++)
    if (cp_decision_parse (&story->records[story->count],
                           json_array_get (list, i)))
      story->count++;
  return 0;
}

void
story_finish (struct story *story)
{
  free (story->records);
  story->records = NULL;
  story->count = 0;
}

const struct cp_decision *
story_find (const struct story *story, enum cp_decision_kind kind,
            const struct cp_id *attempt)
{
  for (size_t i = 0; i < story->count; i++)
    if (story->records[i].kind == kind
        && (attempt == NULL
            || cp_id_equal (attempt, &story->records[i].attempt)))
      return &story->records[i];
  return NULL;
}

const char *
story_short_id (const struct cp_id *id, char text[STORY_ID_BYTES])
{
  char whole[CP_ID_TEXT_BYTES];

  cp_id_text (id, whole);
  snprintf (text, STORY_ID_BYTES, "%.8s", whole);
  return text;
}

static double
to_ms (uint64_t time_us)
{
  return (double)time_us / US_PER_MS;
}

static void
print_candidate (const struct cp_candidate *candidate, FILE *stream)
{
  fprintf (stream, "%16s%s: %u in flight", "", candidate->target,
           candidate->in_flight);
  if (candidate->latency_us != 0)
    fprintf (stream, ", latency %.3f ms", to_ms (candidate->latency_us));
  if (candidate->report_age_us == UINT64_MAX)
    fputs (", no load report yet", stream);
  else
    fprintf (stream, ", load report %.3f ms old",
             to_ms (candidate->report_age_us));
  if (candidate->health[0] != '\0')
    fprintf (stream, ", %s", candidate->health);
  fputc ('\n', stream);
}

static void
print_pick (const struct cp_decision *record, FILE *stream)
{
  fprintf (stream, "Chose %s", record->target);
  if (record->reason[0] != '\0')
    fprintf (stream, " (%s)", record->reason);
  if (record->n_candidates == 0)
    {
      fputs (".\n", stream);
      return;
    }
  fprintf (stream, " among %u:\n", record->n_candidates);
  for (unsigned i = 0; i < record->n_candidates; i++)
    print_candidate (&record->candidates[i], stream);
}

/* Prints a record of the outbound side.  Returns false for other kinds.  */
static bool
print_outbound (const struct cp_decision *record, const char *id, FILE *stream)
{
  switch (record->kind)
    {
    case CP_DECISION_PICK:
      print_pick (record, stream);
      return true;
    case CP_DECISION_SEND:
      fprintf (stream, "Sent attempt %s to %s.\n", id, record->target);
      return true;
    case CP_DECISION_ATTEMPT_END:
      fprintf (stream, "Attempt %s at %s ended after %.3f ms: %s", id,
               record->target, to_ms (record->duration_us), record->reason);
      if (record->status != 0)
        fprintf (stream, ", status %d", record->status);
      fputs (".\n", stream);
      return true;
    case CP_DECISION_FENCE:
      fprintf (stream, "Asked %s to fence attempt %s; the answer: %s.\n",
               record->target, id, record->reason);
      return true;
    case CP_DECISION_OUTCOME:
      fprintf (stream,
               "Answered the caller after %.3f ms with status %d: %s.\n",
               to_ms (record->duration_us), record->status, record->reason);
      return true;
    default:
      return false;
    }
}

/* Prints a record of the inbound side.  Returns false for other kinds.  */
static bool
print_inbound (const struct cp_decision *record, const char *id, FILE *stream)
{
  switch (record->kind)
    {
    case CP_DECISION_ADMIT:
      fprintf (stream,
               "Admitted attempt %s, sent by %s, %.3f ms after it came.\n", id,
               record->reason, to_ms (record->duration_us));
      return true;
    case CP_DECISION_REFUSE:
      fprintf (stream, "Refused attempt %s with status %d: %s.\n", id,
               record->status, record->reason);
      return true;
    case CP_DECISION_START:
      fprintf (stream, "Sent attempt %s to %s.\n", id, record->target);
      return true;
    case CP_DECISION_END:
      fprintf (stream, "The answer of %s ended after %.3f ms: %s",
               record->target, to_ms (record->duration_us), record->reason);
      if (record->status != 0)
        fprintf (stream, ", status %d", record->status);
      fputs (".\n", stream);
      return true;
    case CP_DECISION_FENCED:
      fprintf (stream, "A fence of attempt %s found it %s.\n", id,
               record->reason);
      return true;
    default:
      return false;
    }
}

static void
print_record (const struct cp_decision *record, uint64_t first_us,
              FILE *stream)
{
  char id[STORY_ID_BYTES];

  story_short_id (&record->attempt, id);
  fprintf (stream, "  +%8.3f ms  ", to_ms (record->time_us - first_us));
  if (print_outbound (record, id, stream)
      || print_inbound (record, id, stream))
    return;
  fprintf (stream, "%s", cp_decision_names[record->kind]);
  if (record->target[0] != '\0')
    fprintf (stream, " %s", record->target);
  if (record->reason[0] != '\0')
    fprintf (stream, ": %s", record->reason);
  fputs (".\n", stream);
}

static bool
is_inbound (enum cp_decision_kind kind)
{
  return kind == CP_DECISION_ADMIT || kind == CP_DECISION_REFUSE
         || kind == CP_DECISION_START || kind == CP_DECISION_END
         || kind == CP_DECISION_FENCED;
}

void
story_print (const struct story *story, enum story_side side, FILE *stream)
{
  const struct cp_decision *first = NULL;

  for (size_t i = 0; i < story->count; i++)
    {
      const struct cp_decision *record = &story->records[i];
      bool inbound = is_inbound (record->kind);

      if (side != STORY_BOTH && (side == STORY_INBOUND) != inbound)
        continue;
      if (first == NULL)
        first = record;
      print_record (record, first->time_us, stream);
    }
}

static void
print_ran (const struct cp_decision *send, const struct story *inbound,
           const char *id, FILE *stream)
{
  const struct cp_decision *end
      = story_find (inbound, CP_DECISION_END, &send->attempt);

  fprintf (stream, "  %s ran: the answer of %s came whole", id, send->target);
  if (end != NULL)
    fprintf (stream, ", and its inbound side saw it end (%s)", end->reason);
  fputs (".\n", stream);
}

static void
print_not_run (const struct cp_decision *send, const struct story *outbound,
               const struct story *inbound, const char *id, FILE *stream)
{
  const struct cp_decision *fence
      = story_find (outbound, CP_DECISION_FENCE, &send->attempt);
  const struct cp_decision *refuse
      = story_find (inbound, CP_DECISION_REFUSE, &send->attempt);

  fprintf (stream, "  %s did not run: ", id);
  if (fence != NULL)
    fprintf (stream, "%s fenced it and refuses it from now on.\n",
             send->target);
  else if (refuse != NULL)
    fprintf (stream, "the inbound side of %s refused it: %s.\n", send->target,
             refuse->reason);
  else
    fprintf (stream, "%s was not reached, or its inbound side refused it.\n",
             send->target);
}

static void
print_unknown (const struct cp_decision *send, const struct story *outbound,
               const struct story *inbound, const char *id, FILE *stream)
{
  const struct cp_decision *fence
      = story_find (outbound, CP_DECISION_FENCE, &send->attempt);
  const struct cp_decision *end
      = story_find (inbound, CP_DECISION_END, &send->attempt);

  fprintf (stream, "  %s may have run at %s: ", id, send->target);
  if (fence != NULL)
    fprintf (stream, "the fence was answered \"%s\"", fence->reason);
  else
    fputs ("no fence could be asked for", stream);
  if (end != NULL)
    fprintf (stream, "; its inbound side saw the target's answer end (%s)",
             end->reason);
  else if (story_find (inbound, CP_DECISION_START, &send->attempt) != NULL)
    fputs ("; its inbound side sent it to the target", stream);
  fputs (".\n", stream);
}

/* Prints the evidence for how one attempt ended.  */
static void
print_attempt (const struct cp_decision *send, const struct story *outbound,
               const struct story *inbound, FILE *stream)
{
  const struct cp_decision *end
      = story_find (outbound, CP_DECISION_ATTEMPT_END, &send->attempt);
  char id[STORY_ID_BYTES];

  story_short_id (&send->attempt, id);
  if (end == NULL)
    fprintf (stream, "  %s has not ended.\n", id);
  else if (strcmp (end->reason, "ran") == 0)
    print_ran (send, inbound, id, stream);
  else if (strcmp (end->reason, "not-run") == 0)
    print_not_run (send, outbound, inbound, id, stream);
  else
    print_unknown (send, outbound, inbound, id, stream);
}

void
story_print_proof (const struct story *outbound, const struct story *inbound,
                   size_t n_inbound, FILE *stream)
{
  static const struct story no_records;
  size_t sends = 0;

  fputs ("\nWhat proves it\n", stream);
  for (size_t i = 0; i < outbound->count; i++)
    if (outbound->records[i].kind == CP_DECISION_SEND)
      {
        print_attempt (&outbound->records[i], outbound,
                       sends < n_inbound ? &inbound[sends] : &no_records,
                       stream);
        sends++;
      }
  if (sends == 0)
    fputs ("  Nothing was sent to any target.\n", stream);
  if (story_find (outbound, CP_DECISION_OUTCOME, NULL) == NULL)
    fputs ("  The caller has not been answered yet.\n", stream);
}

/* Bounded model checker: explores all interleavings of one non-idempotent call
   up to MAX_DEPTH steps.

   The outbound side makes at most two attempts, each at another inbound side.
   Messages may be lost, duplicated and reordered, each inbound side may crash
   and restart once, and time may pass at every step, as in a pause.  An
   attempt is sent once, on one connection, and answered there.  A copy that
   the network replays arrives after it on a connection of its own, and its
   answer does not reach the outbound side.  The inbound sides use lib/register
   with charts/attempt.json.  After each step two invariants must hold: the
   call has run at most once, and if the caller was told not-run, it has not
   run and never will.

   A register can not be copied, so each state is rebuilt by applying its steps
   from the start.  A state that was explored with as many steps left, or more,
   is not explored again.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/attempt_table.h"
#include "regress/harness/suite.h"

#define MAX_DEPTH 9
#define SIDES 2
#define MAX_MESSAGES 12
#define START_BY_US UINT64_C (2000000)
#define STEP_US UINT64_C (1100000)
#define MAX_TIME_US UINT64_C (6000000)

/* Injected defects; the checker must detect each.  */
enum mutation
{
  MUTATION_NONE,
  MUTATION_FENCE_NOT_STORED,        /* the register loses the fence */
  MUTATION_INCARNATION_NOT_CHECKED, /* an incarnation accepts an attempt for
                                       another */
  MUTATION_DEADLINE_NOT_CHECKED,    /* an attempt starts after its deadline */
  MUTATION_LATE_FENCE_ACCEPTED /* a fence after the deadline counts as proof */
};

enum message_kind
{
  MESSAGE_ATTEMPT,
  MESSAGE_ANSWER, /* to an attempt; value: enum caller_outcome */
  MESSAGE_FENCE,
  MESSAGE_FENCE_REPLY /* value: 1 for fenced */
};

enum caller_outcome
{
  OUTCOME_NONE,
  OUTCOME_RAN,
  OUTCOME_NOT_RUN,
  OUTCOME_UNKNOWN
};

struct message
{
  enum message_kind kind;
  unsigned side;
  unsigned incarnation;
  int value;
  bool copy;
};

struct side
{
  unsigned incarnation;
  struct cp_attempt_table attempts;
  bool queued; /* the attempt waits for a slot */
  bool copy;   /* the queued attempt is a copy */
};

/* State of the model: both inbound sides, the outbound side, the messages in
   the network and how often the call ran.  */
struct model
{
  enum mutation mutation;
  struct cp_virtual_clock clock;
  struct side sides[SIDES];
  unsigned runs;
  unsigned attempt; /* inbound side of the current attempt */
  unsigned attempts_max;
  bool fencing;
  bool duplicated;
  enum caller_outcome outcome;
  struct message messages[MAX_MESSAGES];
  unsigned n_messages;
};

/* Transitions.  The index of a step is that of its message or inbound side. */
enum step_kind
{
  STEP_DELIVER,
  STEP_LOSE,
  STEP_DUPLICATE,
  STEP_START,   /* the queued attempt gets a slot */
  STEP_CRASH,   /* an inbound side restarts */
  STEP_TIME,    /* STEP_US pass, as in a pause */
  STEP_GIVE_UP, /* the outbound side times out and sends a fence */
  STEP_UNKNOWN, /* the fence times out: the outcome is unknown */
  STEP_END
};

struct step
{
  enum step_kind kind;
  unsigned index;
};

static struct cp_chart chart;

static const struct cp_id attempt_ids[SIDES] = { { { 1 } }, { { 2 } } };

static void
send_message (struct model *model, enum message_kind kind, unsigned side,
              int value)
{
  if (model->n_messages == MAX_MESSAGES)
    return;
  model->messages[model->n_messages++]
      = (struct message){ kind, side, model->sides[side].incarnation, value,
                          false };
}

/* Sends an answer on the connection of the attempt.  That of a copy is not
   connected to the outbound side, so its answer is dropped.  */
static void
send_answer (struct model *model, unsigned side, bool copy,
             enum caller_outcome outcome)
{
  if (!copy)
    send_message (model, MESSAGE_ANSWER, side, (int)outcome);
}

static void
model_init (struct model *model, enum mutation mutation, unsigned attempts_max)
{
  memset (model, 0, sizeof *model);
  model->mutation = mutation;
  model->attempts_max = attempts_max;
  cp_virtual_clock_init (&model->clock, 0);
  for (unsigned i = 0; i < SIDES; i++)
    {
      model->sides[i].incarnation = 1;
      cp_attempt_table_init (&model->sides[i].attempts, &model->clock.clock,
                             &chart, 8);
    }
  send_message (model, MESSAGE_ATTEMPT, 0, 0);
}

static void
model_finish (struct model *model)
{
  for (unsigned i = 0; i < SIDES; i++)
    cp_attempt_table_finish (&model->sides[i].attempts);
}

static enum cp_attempt_table_result
step_register (struct model *model, unsigned side, enum cp_attempt_event event,
               uint64_t start_by_us, enum cp_attempt_state *state)
{
  return cp_attempt_table_step (&model->sides[side].attempts,
                                &attempt_ids[side], event, start_by_us, state);
}

/* Returns the latest start time of the attempt, which the register also uses
   to expire its entry.  MUTATION_DEADLINE_NOT_CHECKED moves it past now.  */
static uint64_t
start_by (const struct model *model)
{
  uint64_t now = model->clock.time_us;

  if (model->mutation == MUTATION_DEADLINE_NOT_CHECKED && now >= START_BY_US)
    return now + 1;
  return START_BY_US;
}

/* The inbound side receives the attempt.  */
static void
receive_attempt (struct model *model, const struct message *message)
{
  struct side *side = &model->sides[message->side];
  enum cp_attempt_state state;
  enum cp_attempt_table_result result;

  if (message->incarnation != side->incarnation
      && model->mutation != MUTATION_INCARNATION_NOT_CHECKED)
    {
      send_answer (model, message->side, message->copy, OUTCOME_NOT_RUN);
      return;
    }
  result = step_register (model, message->side, CP_ATTEMPT_ARRIVE,
                          start_by (model), &state);
  if (result == CP_ATTEMPT_TABLE_DONE)
    {
      side->queued = true;
      side->copy = message->copy;
    }
  else if (state == CP_ATTEMPT_FENCED || state == CP_ATTEMPT_CANCELLED)
    send_answer (model, message->side, message->copy, OUTCOME_NOT_RUN);
}

/* The queued attempt gets a slot: the last check before it runs.  */
static void
start_attempt (struct model *model, unsigned index)
{
  enum cp_attempt_state state;

  model->sides[index].queued = false;
  if (step_register (model, index, CP_ATTEMPT_START, start_by (model), &state)
      != CP_ATTEMPT_TABLE_DONE)
    {
      step_register (model, index, CP_ATTEMPT_REFUSE, START_BY_US, &state);
      send_answer (model, index, model->sides[index].copy, OUTCOME_NOT_RUN);
      return;
    }
  model->runs++;
  step_register (model, index, CP_ATTEMPT_ANSWER, START_BY_US, &state);
  send_answer (model, index, model->sides[index].copy, OUTCOME_RAN);
}

/* The inbound side receives a fence.  */
static void
receive_fence (struct model *model, const struct message *message)
{
  struct side *side = &model->sides[message->side];
  uint64_t until_us = START_BY_US;
  enum cp_attempt_state state;
  enum cp_attempt_table_result result;

  if (message->incarnation != side->incarnation)
    {
      send_message (model, MESSAGE_FENCE_REPLY, message->side, 0);
      return;
    }
  if (model->mutation == MUTATION_LATE_FENCE_ACCEPTED)
    until_us = UINT64_MAX / 2;
  if (model->mutation == MUTATION_FENCE_NOT_STORED)
    {
      /* Reply as if fenced, but discard the register with the fence.  */
      step_register (model, message->side, CP_ATTEMPT_ANSWER, until_us,
                     &state);
      if (state == CP_ATTEMPT_UNKNOWN)
        {
          cp_attempt_table_finish (&side->attempts);
          cp_attempt_table_init (&side->attempts, &model->clock.clock, &chart,
                                 8);
        }
      send_message (model, MESSAGE_FENCE_REPLY, message->side,
                    state == CP_ATTEMPT_UNKNOWN);
      return;
    }
  result = step_register (model, message->side, CP_ATTEMPT_FENCE, until_us,
                          &state);
  send_message (
      model, MESSAGE_FENCE_REPLY, message->side,
      result != CP_ATTEMPT_TABLE_LATE && result != CP_ATTEMPT_TABLE_FULL
          && (state == CP_ATTEMPT_FENCED || state == CP_ATTEMPT_CANCELLED));
}

/* The outbound side has proof that its attempt did not run: it makes another
   attempt, or reports not-run to the caller after the last one.  */
static void
handle_not_run_proof (struct model *model)
{
  model->fencing = false;
  if (model->attempt + 1 == model->attempts_max)
    {
      model->outcome = OUTCOME_NOT_RUN;
      return;
    }
  model->attempt++;
  send_message (model, MESSAGE_ATTEMPT, model->attempt, 0);
}

static void
deliver (struct model *model, const struct message *message)
{
  switch (message->kind)
    {
    case MESSAGE_ATTEMPT:
      receive_attempt (model, message);
      return;
    case MESSAGE_FENCE:
      receive_fence (model, message);
      return;
    case MESSAGE_ANSWER:
      if (model->outcome != OUTCOME_NONE || message->side != model->attempt
          || model->fencing)
        return;
      if (message->value == OUTCOME_RAN)
        model->outcome = OUTCOME_RAN;
      else
        handle_not_run_proof (model);
      return;
    case MESSAGE_FENCE_REPLY:
      if (model->outcome != OUTCOME_NONE || message->side != model->attempt
          || !model->fencing)
        return;
      if (message->value == 1)
        handle_not_run_proof (model);
      else
        model->outcome = OUTCOME_UNKNOWN;
      return;
    }
}

static void
remove_message (struct model *model, unsigned index)
{
  memmove (&model->messages[index], &model->messages[index + 1],
           (model->n_messages - index - 1) * sizeof model->messages[0]);
  model->n_messages--;
}

static void
crash (struct model *model, unsigned index)
{
  struct side *side = &model->sides[index];

  side->incarnation++;
  side->queued = false;
  cp_attempt_table_finish (&side->attempts);
  cp_attempt_table_init (&side->attempts, &model->clock.clock, &chart, 8);
}

/* Returns whether COPY is a copy of an attempt that is not delivered yet.  */
static bool
waits_for_original (const struct model *model, const struct message *copy)
{
  if (!copy->copy || copy->kind != MESSAGE_ATTEMPT)
    return false;
  for (unsigned i = 0; i < model->n_messages; i++)
    if (model->messages[i].kind == MESSAGE_ATTEMPT
        && model->messages[i].side == copy->side && !model->messages[i].copy)
      return true;
  return false;
}

/* Returns whether STEP is possible in this state.  */
static bool
is_enabled (const struct model *model, const struct step *step)
{
  switch (step->kind)
    {
    case STEP_DELIVER:
      return step->index < model->n_messages
             && !waits_for_original (model, &model->messages[step->index]);
    case STEP_LOSE:
      return step->index < model->n_messages;
    case STEP_DUPLICATE:
      return step->index < model->n_messages && !model->duplicated;
    case STEP_START:
      return step->index < SIDES && model->sides[step->index].queued;
    case STEP_CRASH:
      return step->index < SIDES && model->sides[step->index].incarnation == 1;
    case STEP_TIME:
      return step->index == 0 && model->clock.time_us < MAX_TIME_US;
    case STEP_GIVE_UP:
      return step->index == 0 && model->outcome == OUTCOME_NONE
             && !model->fencing;
    case STEP_UNKNOWN:
      return step->index == 0 && model->outcome == OUTCOME_NONE
             && model->fencing;
    default:
      return false;
    }
}

static void
apply_step (struct model *model, const struct step *step)
{
  struct message message;

  switch (step->kind)
    {
    case STEP_DELIVER:
      message = model->messages[step->index];
      remove_message (model, step->index);
      deliver (model, &message);
      return;
    case STEP_LOSE:
      remove_message (model, step->index);
      return;
    case STEP_DUPLICATE:
      model->duplicated = true;
      message = model->messages[step->index];
      message.copy = true;
      if (model->n_messages < MAX_MESSAGES)
        model->messages[model->n_messages++] = message;
      return;
    case STEP_START:
      start_attempt (model, step->index);
      return;
    case STEP_CRASH:
      crash (model, step->index);
      return;
    case STEP_TIME:
      model->clock.time_us += STEP_US;
      return;
    case STEP_GIVE_UP:
      model->fencing = true;
      send_message (model, MESSAGE_FENCE, model->attempt, 0);
      /* The fence names the incarnation that the attempt was sent to.  */
      model->messages[model->n_messages - 1].incarnation = 1;
      return;
    default:
      model->outcome = OUTCOME_UNKNOWN;
      return;
    }
}

/* Returns the violated invariant, or NULL.  */
static const char *
find_violation (const struct model *model)
{
  if (model->runs > 1)
    return "the call ran twice";
  if (model->outcome == OUTCOME_NOT_RUN && model->runs > 0)
    return "told not-run, but it ran";
  return NULL;
}

/* Serializes a state for the table of explored states.  */
static char *
model_key (struct model *model)
{
  GString *key = g_string_new (NULL);

  g_string_printf (key, "%u %u %d %d %d %lu", model->runs, model->attempt,
                   model->fencing, model->duplicated, (int)model->outcome,
                   (unsigned long)model->clock.time_us);
  for (unsigned i = 0; i < SIDES; i++)
    {
      enum cp_attempt_state state = CP_ATTEMPT_UNKNOWN;

      /* The event ANSWER is refused before the start, and returns the
         state without changing it.  */
      if (cp_attempt_table_count (&model->sides[i].attempts) > 0)
        step_register (model, i, CP_ATTEMPT_ANSWER, 0, &state);
      g_string_append_printf (key, "|%u %d %d %d", model->sides[i].incarnation,
                              model->sides[i].queued, model->sides[i].copy,
                              (int)state);
    }
  for (unsigned i = 0; i < model->n_messages; i++)
    g_string_append_printf (
        key, "|%d %u %u %d %d", (int)model->messages[i].kind,
        model->messages[i].side, model->messages[i].incarnation,
        model->messages[i].value, model->messages[i].copy);
  return g_string_free (key, FALSE);
}

/* Search of the state space under one mutation.  */
struct explorer
{
  enum mutation mutation;
  unsigned attempts_max;
  /* Maps the key of a state to the steps left when it was explored, plus 1. */
  GHashTable *seen;
  unsigned states;
  const char *violation;
  struct step steps[MAX_DEPTH];
};

static void
explore (struct explorer *explorer, unsigned depth)
{
  struct model model;
  char *key;
  bool known;

  model_init (&model, explorer->mutation, explorer->attempts_max);
  for (unsigned i = 0; i < depth; i++)
    apply_step (&model, &explorer->steps[i]);
  explorer->violation = find_violation (&model);
  key = model_key (&model);
  known = GPOINTER_TO_UINT (g_hash_table_lookup (explorer->seen, key))
          >= MAX_DEPTH - depth + 1;
  if (known)
    g_free (key);
  else
    g_hash_table_insert (explorer->seen, key,
                         GUINT_TO_POINTER (MAX_DEPTH - depth + 1));
  explorer->states += !known;
  for (unsigned kind = 0; kind < STEP_END && !known && depth < MAX_DEPTH
                          && explorer->violation == NULL;
       kind++)
    for (unsigned index = 0;
         index < MAX_MESSAGES && explorer->violation == NULL; index++)
      {
        explorer->steps[depth] = (struct step){ (enum step_kind)kind, index };
        if (is_enabled (&model, &explorer->steps[depth]))
          explore (explorer, depth + 1);
      }
  model_finish (&model);
}

static const char *
run_explorer (enum mutation mutation, unsigned attempts_max)
{
  struct explorer explorer
      = { .mutation = mutation, .attempts_max = attempts_max };
  struct cp_error error;
  char path[256];

  snprintf (path, sizeof path, "%s/charts/attempt.json", getenv ("TOP"));
  ck_assert_int_eq (cp_chart_load (&chart, path, &cp_attempt_names, &error),
                    0);

  explorer.seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  explore (&explorer, 0);
  printf ("mutation %d: %u states, %s\n", (int)mutation, explorer.states,
          explorer.violation == NULL ? "no violation" : explorer.violation);
  for (unsigned i = 0; i < MAX_DEPTH && explorer.violation != NULL; i++)
    printf ("  step %d of %u\n", (int)explorer.steps[i].kind,
            explorer.steps[i].index);
  g_hash_table_destroy (explorer.seen);
  return explorer.violation;
}

START_TEST (no_interleaving_runs_a_call_twice)
{
  ck_assert_msg (run_explorer (MUTATION_NONE, 1) == NULL,
                 "an invariant was violated");
  ck_assert_msg (run_explorer (MUTATION_NONE, 2) == NULL,
                 "an invariant was violated");
}
END_TEST

START_TEST (a_fence_that_is_not_stored_is_detected)
{
  ck_assert_ptr_nonnull (run_explorer (MUTATION_FENCE_NOT_STORED, 2));
}
END_TEST

START_TEST (an_unchecked_incarnation_is_detected)
{
  ck_assert_ptr_nonnull (run_explorer (MUTATION_INCARNATION_NOT_CHECKED, 2));
}
END_TEST

START_TEST (an_unchecked_deadline_is_detected)
{
  ck_assert_ptr_nonnull (run_explorer (MUTATION_DEADLINE_NOT_CHECKED, 2));
}
END_TEST

START_TEST (a_late_fence_taken_as_proof_is_detected)
{
  ck_assert_ptr_nonnull (run_explorer (MUTATION_LATE_FENCE_ACCEPTED, 1));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, no_interleaving_runs_a_call_twice);
  tcase_add_test (tests, a_fence_that_is_not_stored_is_detected);
  tcase_add_test (tests, an_unchecked_incarnation_is_detected);
  tcase_add_test (tests, an_unchecked_deadline_is_detected);
  tcase_add_test (tests, a_late_fence_taken_as_proof_is_detected);
}

int
main (void)
{
  return suite_run ("explorer", add_tests, 300);
}

/* All interleavings of one non-idempotent call up to a stated depth.

   The outbound side makes at most two attempts at two inbound sides; messages
   may be lost, duplicated and reordered, each inbound side may crash and
   restart once, and time may pass at every step, as in a pause.  An attempt is
   written once, to one connection, and its answer comes back on that; a copy
   that something on the way replays comes after it, on a connection of its
   own, whose answer does not reach the outbound side.  The inbound
   sides are driven through lib/register and charts/attempt.json.  After each
   step two things must hold: the call has run at most once, and when the
   caller was told not-run it has not run and never will.

   States are rebuilt by replaying their steps from the start, since the
   register can not be copied; a state seen before is not entered again.  */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/attempt_table.h"
#include "regress/harness/suite.h"

#define DEPTH 9
#define SIDES 2
#define MESSAGES_MAX 12
#define START_BY_US UINT64_C (2000000)
#define TICK_US UINT64_C (1100000)
#define TIME_MAX_US UINT64_C (6000000)

/* Faults put in on purpose; the explorer must find each.  */
enum mutation
{
  MUTATION_NONE,
  FENCE_FORGETS,         /* the fence is not remembered */
  INCARNATION_UNCHECKED, /* another incarnation takes the attempt */
  DEADLINE_UNCHECKED,    /* the time is not checked before the start */
  FENCE_AFTER_FORGETTING /* a fence after the time counts as proof */
};

enum message_kind
{
  MESSAGE_ATTEMPT,
  MESSAGE_ANSWER, /* of the attempt: value is enum told */
  MESSAGE_FENCE,
  MESSAGE_FENCE_REPLY /* value: 1 for fenced */
};

enum told
{
  TOLD_NONE,
  TOLD_RAN,
  TOLD_NOT_RUN,
  TOLD_UNKNOWN
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
  bool queued; /* the attempt waits for its slot */
  bool copy;   /* it came as a copy */
};

/* One world: both ends, the target's count of runs and the network.  */
struct world
{
  enum mutation mutation;
  struct cp_virtual_clock clock;
  struct side sides[SIDES];
  unsigned runs;
  unsigned attempt; /* the side that the present attempt is at */
  unsigned attempts_max;
  bool fencing;
  bool duplicated;
  enum told told;
  struct message messages[MESSAGES_MAX];
  unsigned n_messages;
};

/* What can happen next; steps on messages add the message's index.  */
enum step_kind
{
  STEP_DELIVER,
  STEP_LOSE,
  STEP_DUPLICATE,
  STEP_START,   /* the queued attempt gets its slot */
  STEP_CRASH,   /* and restart */
  STEP_TIME,    /* a tick passes, or a pause of that length */
  STEP_GIVE_UP, /* the outbound side hears nothing: it fences */
  STEP_UNKNOWN, /* it hears nothing of the fence: the outcome is unknown */
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
send_message (struct world *world, enum message_kind kind, unsigned side,
              int value)
{
  if (world->n_messages == MESSAGES_MAX)
    return;
  world->messages[world->n_messages++]
      = (struct message){ kind, side, world->sides[side].incarnation, value,
                          false };
}

/* Answers on the connection that the attempt came on.  */
static void
send_answer (struct world *world, unsigned side, bool copy, enum told told)
{
  if (!copy)
    send_message (world, MESSAGE_ANSWER, side, (int)told);
}

static void
world_init (struct world *world, enum mutation mutation, unsigned attempts_max)
{
  memset (world, 0, sizeof *world);
  world->mutation = mutation;
  world->attempts_max = attempts_max;
  cp_virtual_clock_init (&world->clock, 0);
  for (unsigned i = 0; i < SIDES; i++)
    {
      world->sides[i].incarnation = 1;
      cp_attempt_table_init (&world->sides[i].attempts, &world->clock.clock,
                             &chart, 8);
    }
  send_message (world, MESSAGE_ATTEMPT, 0, 0);
}

static void
world_finish (struct world *world)
{
  for (unsigned i = 0; i < SIDES; i++)
    cp_attempt_table_finish (&world->sides[i].attempts);
}

static enum cp_attempt_table_result
step_register (struct world *world, unsigned side, enum cp_attempt_event event,
               uint64_t start_by_us, enum cp_attempt_state *state)
{
  return cp_attempt_table_step (&world->sides[side].attempts,
                                &attempt_ids[side], event, start_by_us, state);
}

/* Returns the time until which the attempt may start: the same for all checks
   and for forgetting, unless the checks are left out.  */
static uint64_t
start_by (const struct world *world)
{
  uint64_t now = world->clock.time_us;

  if (world->mutation == DEADLINE_UNCHECKED && now >= START_BY_US)
    return now + 1;
  return START_BY_US;
}

/* The inbound side gets the attempt.  */
static void
take_attempt (struct world *world, const struct message *message)
{
  struct side *side = &world->sides[message->side];
  enum cp_attempt_state state;
  enum cp_attempt_table_result result;

  if (message->incarnation != side->incarnation
      && world->mutation != INCARNATION_UNCHECKED)
    {
      send_answer (world, message->side, message->copy, TOLD_NOT_RUN);
      return;
    }
  result = step_register (world, message->side, CP_ATTEMPT_ARRIVE,
                          start_by (world), &state);
  if (result == CP_ATTEMPT_TABLE_DONE)
    {
      side->queued = true;
      side->copy = message->copy;
    }
  else if (state == CP_ATTEMPT_FENCED || state == CP_ATTEMPT_CANCELLED)
    send_answer (world, message->side, message->copy, TOLD_NOT_RUN);
}

/* The queued attempt gets its slot: the last check before the target.  */
static void
start_attempt (struct world *world, unsigned index)
{
  enum cp_attempt_state state;

  world->sides[index].queued = false;
  if (step_register (world, index, CP_ATTEMPT_START, start_by (world), &state)
      != CP_ATTEMPT_TABLE_DONE)
    {
      step_register (world, index, CP_ATTEMPT_REFUSE, START_BY_US, &state);
      send_answer (world, index, world->sides[index].copy, TOLD_NOT_RUN);
      return;
    }
  world->runs++;
  step_register (world, index, CP_ATTEMPT_ANSWER, START_BY_US, &state);
  send_answer (world, index, world->sides[index].copy, TOLD_RAN);
}

/* The inbound side gets a fence.  */
static void
take_fence (struct world *world, const struct message *message)
{
  struct side *side = &world->sides[message->side];
  uint64_t until_us = START_BY_US;
  enum cp_attempt_state state;
  enum cp_attempt_table_result result;

  if (message->incarnation != side->incarnation)
    {
      send_message (world, MESSAGE_FENCE_REPLY, message->side, 0);
      return;
    }
  if (world->mutation == FENCE_AFTER_FORGETTING)
    until_us = UINT64_MAX / 2;
  if (world->mutation == FENCE_FORGETS)
    {
      /* A register of its own takes the fence and is thrown away.  */
      step_register (world, message->side, CP_ATTEMPT_ANSWER, until_us,
                     &state);
      if (state == CP_ATTEMPT_UNKNOWN)
        {
          cp_attempt_table_finish (&side->attempts);
          cp_attempt_table_init (&side->attempts, &world->clock.clock, &chart,
                                 8);
        }
      send_message (world, MESSAGE_FENCE_REPLY, message->side,
                    state == CP_ATTEMPT_UNKNOWN);
      return;
    }
  result = step_register (world, message->side, CP_ATTEMPT_FENCE, until_us,
                          &state);
  send_message (
      world, MESSAGE_FENCE_REPLY, message->side,
      result != CP_ATTEMPT_TABLE_LATE && result != CP_ATTEMPT_TABLE_FULL
          && (state == CP_ATTEMPT_FENCED || state == CP_ATTEMPT_CANCELLED));
}

/* The outbound side has proof that its attempt did not run: it makes another,
   or tells the caller after the last.  */
static void
take_proof (struct world *world)
{
  world->fencing = false;
  if (world->attempt + 1 == world->attempts_max)
    {
      world->told = TOLD_NOT_RUN;
      return;
    }
  world->attempt++;
  send_message (world, MESSAGE_ATTEMPT, world->attempt, 0);
}

static void
deliver (struct world *world, const struct message *message)
{
  switch (message->kind)
    {
    case MESSAGE_ATTEMPT:
      take_attempt (world, message);
      return;
    case MESSAGE_FENCE:
      take_fence (world, message);
      return;
    case MESSAGE_ANSWER:
      if (world->told != TOLD_NONE || message->side != world->attempt
          || world->fencing)
        return;
      if (message->value == TOLD_RAN)
        world->told = TOLD_RAN;
      else
        take_proof (world);
      return;
    case MESSAGE_FENCE_REPLY:
      if (world->told != TOLD_NONE || message->side != world->attempt
          || !world->fencing)
        return;
      if (message->value == 1)
        take_proof (world);
      else
        world->told = TOLD_UNKNOWN;
      return;
    }
}

static void
remove_message (struct world *world, unsigned index)
{
  memmove (&world->messages[index], &world->messages[index + 1],
           (world->n_messages - index - 1) * sizeof world->messages[0]);
  world->n_messages--;
}

static void
crash (struct world *world, unsigned index)
{
  struct side *side = &world->sides[index];

  side->incarnation++;
  side->queued = false;
  cp_attempt_table_finish (&side->attempts);
  cp_attempt_table_init (&side->attempts, &world->clock.clock, &chart, 8);
}

/* Whether a copy of an attempt is still behind the attempt itself.  */
static bool
is_behind (const struct world *world, const struct message *copy)
{
  if (!copy->copy || copy->kind != MESSAGE_ATTEMPT)
    return false;
  for (unsigned i = 0; i < world->n_messages; i++)
    if (world->messages[i].kind == MESSAGE_ATTEMPT
        && world->messages[i].side == copy->side && !world->messages[i].copy)
      return true;
  return false;
}

/* Whether the step can be taken now.  */
static bool
is_possible (const struct world *world, const struct step *step)
{
  switch (step->kind)
    {
    case STEP_DELIVER:
      return step->index < world->n_messages
             && !is_behind (world, &world->messages[step->index]);
    case STEP_LOSE:
      return step->index < world->n_messages;
    case STEP_DUPLICATE:
      return step->index < world->n_messages && !world->duplicated;
    case STEP_START:
      return step->index < SIDES && world->sides[step->index].queued;
    case STEP_CRASH:
      return step->index < SIDES && world->sides[step->index].incarnation == 1;
    case STEP_TIME:
      return step->index == 0 && world->clock.time_us < TIME_MAX_US;
    case STEP_GIVE_UP:
      return step->index == 0 && world->told == TOLD_NONE && !world->fencing;
    case STEP_UNKNOWN:
      return step->index == 0 && world->told == TOLD_NONE && world->fencing;
    default:
      return false;
    }
}

static void
take_step (struct world *world, const struct step *step)
{
  struct message message;

  switch (step->kind)
    {
    case STEP_DELIVER:
      message = world->messages[step->index];
      remove_message (world, step->index);
      deliver (world, &message);
      return;
    case STEP_LOSE:
      remove_message (world, step->index);
      return;
    case STEP_DUPLICATE:
      world->duplicated = true;
      message = world->messages[step->index];
      message.copy = true;
      if (world->n_messages < MESSAGES_MAX)
        world->messages[world->n_messages++] = message;
      return;
    case STEP_START:
      start_attempt (world, step->index);
      return;
    case STEP_CRASH:
      crash (world, step->index);
      return;
    case STEP_TIME:
      world->clock.time_us += TICK_US;
      return;
    case STEP_GIVE_UP:
      world->fencing = true;
      send_message (world, MESSAGE_FENCE, world->attempt, 0);
      /* The fence names the incarnation that the attempt was meant for.  */
      world->messages[world->n_messages - 1].incarnation = 1;
      return;
    default:
      world->told = TOLD_UNKNOWN;
      return;
    }
}

/* Returns what is wrong, or NULL.  */
static const char *
find_fault (const struct world *world)
{
  if (world->runs > 1)
    return "the call ran twice";
  if (world->told == TOLD_NOT_RUN && world->runs > 0)
    return "told not-run, but it ran";
  return NULL;
}

/* Describes a state, for comparison.  */
static char *
world_text (struct world *world)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text, "%u %u %d %d %d %lu", world->runs, world->attempt,
                   world->fencing, world->duplicated, (int)world->told,
                   (unsigned long)world->clock.time_us);
  for (unsigned i = 0; i < SIDES; i++)
    {
      enum cp_attempt_state state = CP_ATTEMPT_UNKNOWN;

      /* ANSWER is no step of an attempt not started, and shows the state.  */
      if (cp_attempt_table_count (&world->sides[i].attempts) > 0)
        step_register (world, i, CP_ATTEMPT_ANSWER, 0, &state);
      g_string_append_printf (
          text, "|%u %d %d %d", world->sides[i].incarnation,
          world->sides[i].queued, world->sides[i].copy, (int)state);
    }
  for (unsigned i = 0; i < world->n_messages; i++)
    g_string_append_printf (
        text, "|%d %u %u %d %d", (int)world->messages[i].kind,
        world->messages[i].side, world->messages[i].incarnation,
        world->messages[i].value, world->messages[i].copy);
  return g_string_free (text, FALSE);
}

/* The exploration of one mutation.  */
struct explorer
{
  enum mutation mutation;
  unsigned attempts_max;
  GHashTable *seen; /* state text to the depth left when it was entered */
  unsigned states;
  const char *fault;
  struct step steps[DEPTH];
};

static void
explore (struct explorer *explorer, unsigned depth)
{
  struct world world;
  char *text;
  bool known;

  world_init (&world, explorer->mutation, explorer->attempts_max);
  for (unsigned i = 0; i < depth; i++)
    take_step (&world, &explorer->steps[i]);
  explorer->fault = find_fault (&world);
  text = world_text (&world);
  known = GPOINTER_TO_UINT (g_hash_table_lookup (explorer->seen, text))
          >= DEPTH - depth + 1;
  if (known)
    g_free (text);
  else
    g_hash_table_insert (explorer->seen, text,
                         GUINT_TO_POINTER (DEPTH - depth + 1));
  explorer->states += !known;
  for (unsigned kind = 0;
       kind < STEP_END && !known && depth < DEPTH && explorer->fault == NULL;
       kind++)
    for (unsigned index = 0; index < MESSAGES_MAX && explorer->fault == NULL;
         index++)
      {
        explorer->steps[depth] = (struct step){ (enum step_kind)kind, index };
        if (is_possible (&world, &explorer->steps[depth]))
          explore (explorer, depth + 1);
      }
  world_finish (&world);
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
          explorer.fault == NULL ? "no fault" : explorer.fault);
  for (unsigned i = 0; i < DEPTH && explorer.fault != NULL; i++)
    printf ("  step %d of %u\n", (int)explorer.steps[i].kind,
            explorer.steps[i].index);
  g_hash_table_destroy (explorer.seen);
  return explorer.fault;
}

START_TEST (no_interleaving_runs_a_call_twice)
{
  ck_assert_msg (run_explorer (MUTATION_NONE, 1) == NULL, "a fault was found");
  ck_assert_msg (run_explorer (MUTATION_NONE, 2) == NULL, "a fault was found");
}
END_TEST

START_TEST (a_fence_that_is_not_remembered_is_found)
{
  ck_assert_ptr_nonnull (run_explorer (FENCE_FORGETS, 2));
}
END_TEST

START_TEST (an_incarnation_that_is_not_checked_is_found)
{
  ck_assert_ptr_nonnull (run_explorer (INCARNATION_UNCHECKED, 2));
}
END_TEST

START_TEST (a_deadline_that_is_not_rechecked_is_found)
{
  ck_assert_ptr_nonnull (run_explorer (DEADLINE_UNCHECKED, 2));
}
END_TEST

START_TEST (a_fence_that_proves_too_much_is_found)
{
  ck_assert_ptr_nonnull (run_explorer (FENCE_AFTER_FORGETTING, 1));
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, no_interleaving_runs_a_call_twice);
  tcase_add_test (tests, a_fence_that_is_not_remembered_is_found);
  tcase_add_test (tests, an_incarnation_that_is_not_checked_is_found);
  tcase_add_test (tests, a_deadline_that_is_not_rechecked_is_found);
  tcase_add_test (tests, a_fence_that_proves_too_much_is_found);
}

int
main (void)
{
  return suite_run ("explorer", add_tests, 300);
}

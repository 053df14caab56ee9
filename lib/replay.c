#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/balancer.h"
#include "lib/cleanup.h"
#include "lib/replay.h"
#include "lib/replay_target.h"

#define LOCAL_WAY_US 100
#define ASK_INTERVAL_US (250 * CP_US_PER_MS)
#define FAILED_SERVICE_US 200
#define ATTEMPTS_MOST 3
#define FIRST_WINDOW_US CP_US_PER_S
#define LATE_WINDOW_US (2 * CP_US_PER_S)
#define LEAVING_WINDOW_US (3 * CP_US_PER_S)
/* The virtual clock starts here, so that times before a report exist.  */
#define START_US (1000 * CP_US_PER_S)

enum event_kind
{
  EVENT_CALL,   /* a call comes to its outbound side */
  EVENT_REACH,  /* it reaches the target */
  EVENT_FINISH, /* its service ends */
  EVENT_ANSWER, /* its answer reaches the outbound side */
  EVENT_ASK     /* an outbound side asks for loads */
};

/* One call on its way.  */
struct journey
{
  unsigned index; /* of the call in the trace */
  unsigned outbound;
  unsigned target;
  unsigned attempts;
  uint64_t arrived_us;
  uint64_t sent_us;
  uint64_t reached_us;
  enum cp_call_result result;
  bool has_report;
  struct cp_load_report report;
  struct cp_tried tried;
};

struct event
{
  uint64_t time_us;
  uint64_t order;
  enum event_kind kind;
  struct journey *journey;
};

struct replay
{
  const struct cp_trace *trace;
  const struct cp_replay_options *options;
  struct cp_replay_result *result;
  struct cp_virtual_clock clock;
  struct cp_replay_targets targets;
  struct cp_balancer *balancers;
  struct cp_seeded_random *randoms;
  uint64_t *paused_until_us;
  GSequence *events;
  uint64_t order;
  unsigned open_calls;
  guint next_fault;
};

static gint
compare_events (gconstpointer left, gconstpointer right, gpointer context)
{
  const struct event *a = left;
  const struct event *b = right;

  (void)context;
  if (a->time_us != b->time_us)
    return a->time_us < b->time_us ? -1 : 1;
  return a->order < b->order ? -1 : a->order > b->order;
}

static void
add_event (struct replay *replay, uint64_t time_us, enum event_kind kind,
           struct journey *journey)
{
  struct event *event = g_new0 (struct event, 1);

  event->time_us = time_us;
  event->order = replay->order++;
  event->kind = kind;
  event->journey = journey;
  g_sequence_insert_sorted (replay->events, event, compare_events, NULL);
}

static uint64_t
way_us (const struct replay *replay, const struct journey *journey)
{
  const struct cp_trace *trace = replay->trace;

  if (strcmp (trace->outbound[journey->outbound].failure_domain,
              trace->targets[journey->target].failure_domain)
      == 0)
    return LOCAL_WAY_US;
  return trace->one_way_us;
}

/* Finds when a pause that starts at FAULT ends.  */
static uint64_t
pause_end_us (const struct cp_trace *trace, guint fault)
{
  const struct cp_trace_fault *start
      = &g_array_index (trace->faults, struct cp_trace_fault, fault);

  for (guint i = fault + 1; i < trace->faults->len; i++)
    {
      const struct cp_trace_fault *end
          = &g_array_index (trace->faults, struct cp_trace_fault, i);

      if (end->kind == CP_FAULT_PAUSE && end->index == start->index)
        return end->time_us;
    }
  return start->time_us;
}

/* Puts the faults up to NOW_US in force.  */
static void
apply_faults (struct replay *replay, uint64_t now_us)
{
  const GArray *faults = replay->trace->faults;

  while (replay->next_fault < faults->len && !replay->options->without_faults)
    {
      struct cp_trace_fault fault
          = g_array_index (faults, struct cp_trace_fault, replay->next_fault);

      if (fault.time_us + START_US > now_us)
        return;
      if (fault.kind == CP_FAULT_PAUSE && fault.value != 0)
        replay->paused_until_us[fault.index]
            = START_US + pause_end_us (replay->trace, replay->next_fault);
      fault.time_us += START_US;
      if (fault.kind != CP_FAULT_PAUSE)
        cp_replay_target_fault (&replay->targets, &fault);
      replay->next_fault++;
    }
}

/* Counts an attempt against the windows of the outcomes.  */
static void
count_attempt (struct replay *replay, const struct journey *journey,
               uint64_t now_us)
{
  struct cp_replay_result *result = replay->result;

  result->per_target[journey->target]++;
  for (unsigned i = 0; i < replay->trace->n_targets; i++)
    {
      const struct cp_replay_target *target = &replay->targets.list[i];
      bool here = i == journey->target;
      uint64_t failing_us = now_us - target->since_us[CP_FAULT_FAIL];

      if (target->values[CP_FAULT_DRAIN] != 0 && here
          && now_us - target->since_us[CP_FAULT_DRAIN] >= LEAVING_WINDOW_US)
        result->after_3s_at_leaving++;
      if (target->values[CP_FAULT_FAIL] == 0)
        continue;
      result->first_s_at_all += failing_us < FIRST_WINDOW_US;
      result->first_s_at_failing += here && failing_us < FIRST_WINDOW_US;
      result->after_2s_at_all += failing_us >= LATE_WINDOW_US;
      result->after_2s_at_failing += here && failing_us >= LATE_WINDOW_US;
    }
}

/* Ends a call, well or not.  */
static void
end_call (struct replay *replay, struct journey *journey, bool answered,
          uint64_t now_us)
{
  struct cp_replay_result *result = replay->result;
  uint64_t latency_us = now_us - journey->arrived_us;

  if (!answered || latency_us > replay->trace->deadline_us)
    {
      result->errors++;
      latency_us = replay->trace->deadline_us;
    }
  g_array_append_val (result->latencies_us, latency_us);
  replay->open_calls--;
  g_free (journey);
}

static unsigned
index_of (const struct cp_trace *trace, const char *name)
{
  unsigned index = 0;

  while (strcmp (trace->targets[index].name, name) != 0)
    index++;
  return index;
}

static void
send_call (struct replay *replay, struct journey *journey, uint64_t now_us)
{
  struct cp_target target;
  uint64_t incarnation;

  if (journey->attempts == ATTEMPTS_MOST
      || !cp_balancer_pick (
          &replay->balancers[journey->outbound], &journey->tried,
          &replay->randoms[journey->outbound].random, &target, &incarnation))
    {
      end_call (replay, journey, false, now_us);
      return;
    }
  replay->result->retries += journey->attempts > 0;
  journey->attempts++;
  journey->target = index_of (replay->trace, target.name);
  journey->sent_us = now_us;
  count_attempt (replay, journey, now_us);
  add_event (replay, now_us + way_us (replay, journey), EVENT_REACH, journey);
}

static void
answer (struct replay *replay, struct journey *journey,
        enum cp_call_result result, uint64_t now_us)
{
  const struct cp_replay_target *target
      = &replay->targets.list[journey->target];

  journey->result = result;
  journey->has_report
      = result != CP_CALL_NO_CONTACT
        && cp_replay_target_report (target, now_us, &journey->report);
  add_event (replay, now_us + way_us (replay, journey), EVENT_ANSWER, journey);
}

static void
start_service (struct replay *replay, struct journey *journey, uint64_t now_us)
{
  replay->targets.list[journey->target].in_flight++;
  add_event (replay,
             now_us
                 + cp_replay_service_us (&replay->targets, journey->index,
                                         journey->target),
             EVENT_FINISH, journey);
}

static void
reach (struct replay *replay, struct journey *journey, uint64_t now_us)
{
  struct cp_replay_target *target = &replay->targets.list[journey->target];

  journey->reached_us = now_us;
  if (target->values[CP_FAULT_GONE] != 0)
    answer (replay, journey, CP_CALL_NO_CONTACT, now_us);
  else if (target->values[CP_FAULT_DRAIN] != 0)
    answer (replay, journey, CP_CALL_REFUSED, now_us);
  else if (target->values[CP_FAULT_FAIL] != 0)
    answer (replay, journey, CP_CALL_FAILED, now_us + FAILED_SERVICE_US);
  else if (target->in_flight < target->slots)
    start_service (replay, journey, now_us);
  else
    {
      replay->result->waits++;
      g_queue_push_tail (&target->queue, journey);
    }
  cp_replay_target_changed (target, now_us);
}

static void
finish (struct replay *replay, struct journey *journey, uint64_t now_us)
{
  struct cp_replay_target *target = &replay->targets.list[journey->target];
  struct journey *next = g_queue_pop_head (&target->queue);

  cp_replay_target_ended (target, now_us - journey->reached_us);
  /* As in the daemon, the report counts the call that it rides on.  */
  answer (replay, journey, CP_CALL_ANSWERED, now_us);
  target->in_flight--;
  if (next != NULL)
    start_service (replay, next, now_us);
  cp_replay_target_changed (target, now_us);
}

static void
take_answer (struct replay *replay, struct journey *journey, uint64_t now_us)
{
  struct cp_balancer *balancer = &replay->balancers[journey->outbound];
  const char *name = replay->trace->targets[journey->target].name;

  if (journey->has_report)
    cp_balancer_report (balancer, name, &journey->report);
  cp_balancer_done (balancer, name, journey->result,
                    now_us - journey->sent_us);
  if (journey->result == CP_CALL_ANSWERED || journey->result == CP_CALL_FAILED)
    {
      end_call (replay, journey, journey->result == CP_CALL_ANSWERED, now_us);
      return;
    }
  g_strlcpy (journey->tried.names[journey->tried.count++], name,
             CP_NAME_BYTES);
  send_call (replay, journey, now_us);
}

/* Plays the queries of an outbound side; the journey only names it.  */
static void
ask (struct replay *replay, struct journey *journey, uint64_t now_us)
{
  struct cp_balancer *balancer = &replay->balancers[journey->outbound];
  struct cp_target asked[CP_TRACE_MEMBERS_MAX];
  unsigned count
      = cp_balancer_due_queries (balancer, asked, CP_TRACE_MEMBERS_MAX);

  for (unsigned i = 0; i < count; i++)
    {
      const struct cp_replay_target *target
          = &replay->targets.list[index_of (replay->trace, asked[i].name)];
      struct cp_load_report report;

      if (target->values[CP_FAULT_GONE] == 0
          && cp_replay_target_report (target, now_us, &report))
        cp_balancer_report (balancer, asked[i].name, &report);
    }
  if (replay->open_calls > 0)
    add_event (replay, now_us + ASK_INTERVAL_US, EVENT_ASK, journey);
  else
    g_free (journey);
}

/* Makes EVENT happen, or puts it off while the outbound side is paused.  */
static void
happen (struct replay *replay, const struct event *event)
{
  struct journey *journey = event->journey;
  uint64_t wake_us = replay->paused_until_us[journey->outbound];

  if ((event->kind == EVENT_CALL || event->kind == EVENT_ANSWER
       || event->kind == EVENT_ASK)
      && wake_us > event->time_us)
    {
      if (event->kind == EVENT_CALL)
        journey->arrived_us = wake_us;
      if (event->kind == EVENT_ANSWER)
        journey->arrived_us += wake_us - event->time_us;
      add_event (replay, wake_us, event->kind, journey);
      return;
    }
  switch (event->kind)
    {
    case EVENT_CALL:
      send_call (replay, journey, event->time_us);
      break;
    case EVENT_REACH:
      reach (replay, journey, event->time_us);
      break;
    case EVENT_FINISH:
      finish (replay, journey, event->time_us);
      break;
    case EVENT_ANSWER:
      take_answer (replay, journey, event->time_us);
      break;
    case EVENT_ASK:
      ask (replay, journey, event->time_us);
      break;
    }
}

static void
count_health (void *context, struct cp_decision *decision)
{
  struct cp_replay_result *result = context;

  if (decision->kind == CP_DECISION_HEALTH)
    result->health_changes++;
}

static int
start_balancers (struct replay *replay, struct cp_error *error)
{
  const struct cp_trace *trace = replay->trace;
  const struct cp_balancer_observer observer
      = { count_health, replay->result };
  CP_AUTO_FREE struct cp_target *targets
      = g_new0 (struct cp_target, trace->n_targets);
  struct cp_service service = { .targets = targets,
                                .n_targets = trace->n_targets,
                                .slots = trace->slots,
                                .eject_most_share = trace->eject_most_share };

  for (unsigned i = 0; i < trace->n_targets; i++)
    {
      g_strlcpy (targets[i].name, trace->targets[i].name, CP_NAME_BYTES);
      g_strlcpy (targets[i].failure_domain, trace->targets[i].failure_domain,
                 CP_NAME_BYTES);
      targets[i].has_daemon = true;
    }
  for (unsigned i = 0; i < trace->n_outbound; i++)
    {
      cp_balancer_init (&replay->balancers[i], replay->options->picker,
                        replay->options->chart, &replay->clock.clock,
                        trace->service, trace->outbound[i].name,
                        trace->outbound[i].failure_domain);
      cp_balancer_observe (&replay->balancers[i], &observer);
      cp_seeded_random_init (&replay->randoms[i],
                             replay->options->seed * CP_TRACE_MEMBERS_MAX + i);
      if (cp_balancer_update (&replay->balancers[i], &service,
                              2 * trace->one_way_us)
          != 0)
        return cp_error_set (error, CP_ERROR_MEMORY, trace->name,
                             "free memory", "no memory for a balancer");
    }
  return 0;
}

static void
run_events (struct replay *replay)
{
  for (unsigned i = 0; i < replay->trace->n_outbound; i++)
    {
      struct journey *asker = g_new0 (struct journey, 1);

      asker->outbound = i;
      add_event (replay, START_US, EVENT_ASK, asker);
    }
  for (guint i = 0; i < replay->trace->calls->len; i++)
    {
      const struct cp_trace_call *call
          = &g_array_index (replay->trace->calls, struct cp_trace_call, i);
      struct journey *journey = g_new0 (struct journey, 1);

      journey->index = i;
      journey->outbound = call->outbound;
      journey->arrived_us = call->time_us + START_US;
      add_event (replay, journey->arrived_us, EVENT_CALL, journey);
      replay->open_calls++;
    }
  while (!g_sequence_is_empty (replay->events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (replay->events);
      struct event event = *(struct event *)g_sequence_get (first);

      g_sequence_remove (first);
      apply_faults (replay, event.time_us);
      replay->clock.time_us = event.time_us;
      happen (replay, &event);
    }
}

static gint
compare_latencies (gconstpointer left, gconstpointer right)
{
  uint64_t a = *(const uint64_t *)left;
  uint64_t b = *(const uint64_t *)right;

  return a < b ? -1 : a > b;
}

uint64_t
cp_replay_quantile (const GArray *latencies_us, double quantile)
{
  guint index = (guint)(quantile * latencies_us->len);

  if (latencies_us->len == 0)
    return 0;
  if (index >= latencies_us->len)
    index = latencies_us->len - 1;
  return g_array_index (latencies_us, uint64_t, index);
}

static void
sum_up (struct cp_replay_result *result)
{
  g_array_sort (result->latencies_us, compare_latencies);
  result->calls = result->latencies_us->len;
  result->p50_us = cp_replay_quantile (result->latencies_us, 0.5);
  result->p99_us = cp_replay_quantile (result->latencies_us, 0.99);
  result->p999_us = cp_replay_quantile (result->latencies_us, 0.999);
}

static int
add_run (const struct cp_trace *trace, const struct cp_replay_options *options,
         struct cp_replay_result *result, struct cp_error *error)
{
  struct replay replay
      = { .trace = trace, .options = options, .result = result };
  int status;

  replay.balancers = g_new0 (struct cp_balancer, trace->n_outbound);
  replay.randoms = g_new0 (struct cp_seeded_random, trace->n_outbound);
  replay.paused_until_us = g_new0 (uint64_t, trace->n_outbound);
  replay.events = g_sequence_new (g_free);
  cp_virtual_clock_init (&replay.clock, START_US);
  cp_replay_targets_init (&replay.targets, trace);
  status = start_balancers (&replay, error);
  if (status == 0)
    run_events (&replay);
  cp_replay_targets_finish (&replay.targets);
  for (unsigned i = 0; i < trace->n_outbound && status == 0; i++)
    {
      cp_balancer_finish (&replay.balancers[i]);
      cp_seeded_random_finish (&replay.randoms[i]);
    }
  g_sequence_free (replay.events);
  g_free (replay.paused_until_us);
  g_free (replay.randoms);
  g_free (replay.balancers);
  return status;
}

int
cp_replay_run_seeds (const struct cp_trace *trace,
                     const struct cp_replay_options *options, unsigned seeds,
                     struct cp_replay_result *result, struct cp_error *error)
{
  struct cp_replay_options own = *options;

  memset (result, 0, sizeof *result);
  result->latencies_us = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (unsigned i = 0; i < seeds; i++)
    {
      own.seed = options->seed + i;
      if (add_run (trace, &own, result, error) != 0)
        return -1;
    }
  sum_up (result);
  return 0;
}

int
cp_replay_run (const struct cp_trace *trace,
               const struct cp_replay_options *options,
               struct cp_replay_result *result, struct cp_error *error)
{
  return cp_replay_run_seeds (trace, options, 1, result, error);
}

void
cp_replay_result_finish (struct cp_replay_result *result)
{
  g_array_unref (result->latencies_us);
}

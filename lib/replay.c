#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/balancer.h"
#include "lib/cleanup.h"
#include "lib/replay.h"
#include "lib/replay_target.h"

#define LOCAL_ONE_WAY_US 100
#define QUERY_INTERVAL_US (250 * CP_US_PER_MS)
#define FAILED_SERVICE_US 200
#define MAX_ATTEMPTS 3
/* Windows of failing_first_s, failing_after_2s and leaving_after_3s.  */
#define FIRST_WINDOW_US CP_US_PER_S
#define LATE_WINDOW_US (2 * CP_US_PER_S)
#define LEAVING_WINDOW_US (3 * CP_US_PER_S)
/* Start of the virtual clock, above 0 so that a report can be older than the
   start of the trace.  */
#define CLOCK_START_US (1000 * CP_US_PER_S)

enum event_kind
{
  EVENT_CALL,   /* a call arrives at its outbound side */
  EVENT_ARRIVE, /* an attempt arrives at its target */
  EVENT_FINISH, /* its service ends */
  EVENT_ANSWER, /* its answer arrives at the outbound side */
  EVENT_QUERY   /* an outbound side queries loads */
};

/* A call and its current attempt.  */
struct request
{
  unsigned index; /* of the call in the trace */
  unsigned outbound;
  unsigned target;
  unsigned attempts;
  uint64_t arrived_us;
  uint64_t sent_us;
  uint64_t at_target_us;
  enum cp_call_result result;
  bool has_report;
  struct cp_load_report report;
  struct cp_tried_targets tried;
};

struct event
{
  uint64_t time_us;
  uint64_t sequence;
  enum event_kind kind;
  struct request *request;
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
  uint64_t sequence;
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
  return a->sequence < b->sequence ? -1 : a->sequence > b->sequence;
}

static void
add_event (struct replay *replay, uint64_t time_us, enum event_kind kind,
           struct request *request)
{
  struct event *event = g_new0 (struct event, 1);

  event->time_us = time_us;
  event->sequence = replay->sequence++;
  event->kind = kind;
  event->request = request;
  g_sequence_insert_sorted (replay->events, event, compare_events, NULL);
}

static uint64_t
one_way_delay_us (const struct replay *replay, const struct request *request)
{
  const struct cp_trace *trace = replay->trace;

  if (strcmp (trace->outbound[request->outbound].failure_domain,
              trace->targets[request->target].failure_domain)
      == 0)
    return LOCAL_ONE_WAY_US;
  return trace->one_way_us;
}

/* Returns the end of the pause that starts with fault number FAULT.  */
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

/* Applies the faults up to NOW_US.  */
static void
apply_faults (struct replay *replay, uint64_t now_us)
{
  const GArray *faults = replay->trace->faults;

  while (replay->next_fault < faults->len && !replay->options->without_faults)
    {
      struct cp_trace_fault fault
          = g_array_index (faults, struct cp_trace_fault, replay->next_fault);

      if (fault.time_us + CLOCK_START_US > now_us)
        return;
      if (fault.kind == CP_FAULT_PAUSE && fault.value != 0)
        replay->paused_until_us[fault.index]
            = CLOCK_START_US
              + pause_end_us (replay->trace, replay->next_fault);
      fault.time_us += CLOCK_START_US;
      if (fault.kind != CP_FAULT_PAUSE)
        cp_replay_target_set_fault (&replay->targets, &fault);
      replay->next_fault++;
    }
}

/* Counts an attempt in the time windows that the outcomes use.  */
static void
count_attempt (struct replay *replay, const struct request *request,
               uint64_t now_us)
{
  struct cp_replay_result *result = replay->result;

  result->per_target[request->target]++;
  for (unsigned i = 0; i < replay->trace->n_targets; i++)
    {
      const struct cp_replay_target *target = &replay->targets.list[i];
      bool to_this_target = i == request->target;
      uint64_t failing_us = now_us - target->fault_since_us[CP_FAULT_FAIL];

      if (target->fault_values[CP_FAULT_DRAIN] != 0 && to_this_target
          && now_us - target->fault_since_us[CP_FAULT_DRAIN]
                 >= LEAVING_WINDOW_US)
        result->after_3s_at_leaving++;
      if (target->fault_values[CP_FAULT_FAIL] == 0)
        continue;
      result->first_s_at_all += failing_us < FIRST_WINDOW_US;
      result->first_s_at_failing
          += to_this_target && failing_us < FIRST_WINDOW_US;
      result->after_2s_at_all += failing_us >= LATE_WINDOW_US;
      result->after_2s_at_failing
          += to_this_target && failing_us >= LATE_WINDOW_US;
    }
}

/* Ends a call and records its latency; a failed or late call counts as an
   error with the deadline as its latency.  */
static void
end_call (struct replay *replay, struct request *request, bool answered,
          uint64_t now_us)
{
  struct cp_replay_result *result = replay->result;
  uint64_t latency_us = now_us - request->arrived_us;

  if (!answered || latency_us > replay->trace->deadline_us)
    {
      result->errors++;
      latency_us = replay->trace->deadline_us;
    }
  g_array_append_val (result->latencies_us, latency_us);
  replay->open_calls--;
  g_free (request);
}

static unsigned
target_index (const struct cp_trace *trace, const char *name)
{
  unsigned index = 0;

  while (strcmp (trace->targets[index].name, name) != 0)
    index++;
  return index;
}

static void
send_call (struct replay *replay, struct request *request, uint64_t now_us)
{
  struct cp_target target;
  uint64_t incarnation;

  if (request->attempts == MAX_ATTEMPTS
      || !cp_balancer_pick (
          &replay->balancers[request->outbound], &request->tried,
          &replay->randoms[request->outbound].random, &target, &incarnation))
    {
      end_call (replay, request, false, now_us);
      return;
    }
  replay->result->retries += request->attempts > 0;
  request->attempts++;
  request->target = target_index (replay->trace, target.name);
  request->sent_us = now_us;
  count_attempt (replay, request, now_us);
  add_event (replay, now_us + one_way_delay_us (replay, request), EVENT_ARRIVE,
             request);
}

static void
send_answer (struct replay *replay, struct request *request,
             enum cp_call_result result, uint64_t now_us)
{
  const struct cp_replay_target *target
      = &replay->targets.list[request->target];

  request->result = result;
  request->has_report
      = result != CP_CALL_NO_CONNECTION
        && cp_replay_target_report (target, now_us, &request->report);
  add_event (replay, now_us + one_way_delay_us (replay, request), EVENT_ANSWER,
             request);
}

static void
start_service (struct replay *replay, struct request *request, uint64_t now_us)
{
  replay->targets.list[request->target].in_flight++;
  add_event (replay,
             now_us
                 + cp_replay_service_us (&replay->targets, request->index,
                                         request->target),
             EVENT_FINISH, request);
}

static void
arrive_at_target (struct replay *replay, struct request *request,
                  uint64_t now_us)
{
  struct cp_replay_target *target = &replay->targets.list[request->target];

  request->at_target_us = now_us;
  if (target->fault_values[CP_FAULT_GONE] != 0)
    send_answer (replay, request, CP_CALL_NO_CONNECTION, now_us);
  else if (target->fault_values[CP_FAULT_DRAIN] != 0)
    send_answer (replay, request, CP_CALL_REFUSED, now_us);
  else if (target->fault_values[CP_FAULT_FAIL] != 0)
    send_answer (replay, request, CP_CALL_FAILED, now_us + FAILED_SERVICE_US);
  else if (target->in_flight < target->slots)
    start_service (replay, request, now_us);
  else
    {
      replay->result->waits++;
      g_queue_push_tail (&target->queue, request);
    }
  cp_replay_target_record_load (target, now_us);
}

static void
finish_service (struct replay *replay, struct request *request,
                uint64_t now_us)
{
  struct cp_replay_target *target = &replay->targets.list[request->target];
  struct request *waiting = g_queue_pop_head (&target->queue);

  cp_replay_target_record_latency (target, now_us - request->at_target_us);
  /* As in the daemon, the report includes the call whose answer carries it. */
  send_answer (replay, request, CP_CALL_ANSWERED, now_us);
  target->in_flight--;
  if (waiting != NULL)
    start_service (replay, waiting, now_us);
  cp_replay_target_record_load (target, now_us);
}

static void
receive_answer (struct replay *replay, struct request *request,
                uint64_t now_us)
{
  struct cp_balancer *balancer = &replay->balancers[request->outbound];
  const char *name = replay->trace->targets[request->target].name;

  if (request->has_report)
    cp_balancer_add_report (balancer, name, &request->report);
  cp_balancer_end_call (balancer, name, request->result,
                        now_us - request->sent_us);
  if (request->result == CP_CALL_ANSWERED || request->result == CP_CALL_FAILED)
    {
      end_call (replay, request, request->result == CP_CALL_ANSWERED, now_us);
      return;
    }
  g_strlcpy (request->tried.names[request->tried.count++], name,
             CP_NAME_BYTES);
  send_call (replay, request, now_us);
}

/* Runs the load queries of the outbound side that REQUEST names.  */
static void
query_loads (struct replay *replay, struct request *request, uint64_t now_us)
{
  struct cp_balancer *balancer = &replay->balancers[request->outbound];
  struct cp_target due[CP_TRACE_MEMBERS_MAX];
  unsigned count
      = cp_balancer_due_queries (balancer, due, CP_TRACE_MEMBERS_MAX);

  for (unsigned i = 0; i < count; i++)
    {
      const struct cp_replay_target *target
          = &replay->targets.list[target_index (replay->trace, due[i].name)];
      struct cp_load_report report;

      if (target->fault_values[CP_FAULT_GONE] == 0
          && cp_replay_target_report (target, now_us, &report))
        cp_balancer_add_report (balancer, due[i].name, &report);
    }
  if (replay->open_calls > 0)
    add_event (replay, now_us + QUERY_INTERVAL_US, EVENT_QUERY, request);
  else
    g_free (request);
}

/* Handles EVENT, or postpones it to the end of a pause of the outbound side.
   The time of the pause does not count in the call's latency.  */
static void
handle_event (struct replay *replay, const struct event *event)
{
  struct request *request = event->request;
  uint64_t resume_us = replay->paused_until_us[request->outbound];

  if ((event->kind == EVENT_CALL || event->kind == EVENT_ANSWER
       || event->kind == EVENT_QUERY)
      && resume_us > event->time_us)
    {
      if (event->kind == EVENT_CALL)
        request->arrived_us = resume_us;
      if (event->kind == EVENT_ANSWER)
        request->arrived_us += resume_us - event->time_us;
      add_event (replay, resume_us, event->kind, request);
      return;
    }
  switch (event->kind)
    {
    case EVENT_CALL:
      send_call (replay, request, event->time_us);
      break;
    case EVENT_ARRIVE:
      arrive_at_target (replay, request, event->time_us);
      break;
    case EVENT_FINISH:
      finish_service (replay, request, event->time_us);
      break;
    case EVENT_ANSWER:
      receive_answer (replay, request, event->time_us);
      break;
    case EVENT_QUERY:
      query_loads (replay, request, event->time_us);
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
      cp_balancer_set_observer (&replay->balancers[i], &observer);
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
      struct request *query = g_new0 (struct request, 1);

      query->outbound = i;
      add_event (replay, CLOCK_START_US, EVENT_QUERY, query);
    }
  for (guint i = 0; i < replay->trace->calls->len; i++)
    {
      const struct cp_trace_call *call
          = &g_array_index (replay->trace->calls, struct cp_trace_call, i);
      struct request *request = g_new0 (struct request, 1);

      request->index = i;
      request->outbound = call->outbound;
      request->arrived_us = call->time_us + CLOCK_START_US;
      add_event (replay, request->arrived_us, EVENT_CALL, request);
      replay->open_calls++;
    }
  while (!g_sequence_is_empty (replay->events))
    {
      GSequenceIter *first = g_sequence_get_begin_iter (replay->events);
      struct event event = *(struct event *)g_sequence_get (first);

      g_sequence_remove (first);
      apply_faults (replay, event.time_us);
      replay->clock.time_us = event.time_us;
      handle_event (replay, &event);
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
summarize (struct cp_replay_result *result)
{
  g_array_sort (result->latencies_us, compare_latencies);
  result->calls = result->latencies_us->len;
  result->p50_us = cp_replay_quantile (result->latencies_us, 0.5);
  result->p99_us = cp_replay_quantile (result->latencies_us, 0.99);
  result->p999_us = cp_replay_quantile (result->latencies_us, 0.999);
}

static int
run_seed (const struct cp_trace *trace,
          const struct cp_replay_options *options,
          struct cp_replay_result *result, struct cp_error *error)
{
  struct replay replay
      = { .trace = trace, .options = options, .result = result };
  int status;

  replay.balancers = g_new0 (struct cp_balancer, trace->n_outbound);
  replay.randoms = g_new0 (struct cp_seeded_random, trace->n_outbound);
  replay.paused_until_us = g_new0 (uint64_t, trace->n_outbound);
  replay.events = g_sequence_new (g_free);
  cp_virtual_clock_init (&replay.clock, CLOCK_START_US);
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
  struct cp_replay_options seed_options = *options;

  memset (result, 0, sizeof *result);
  result->latencies_us = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  for (unsigned i = 0; i < seeds; i++)
    {
      seed_options.seed = options->seed + i;
      if (run_seed (trace, &seed_options, result, error) != 0)
        return -1;
    }
  summarize (result);
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

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lib/cleanup.h"
#include "lib/clock.h"
#include "lib/replay_target.h"

#define MIN_SAMPLES 12
#define MAX_HISTORY 4096

static struct cp_replay_samples *
find_samples (GArray *groups, unsigned factor, bool create)
{
  struct cp_replay_samples fresh = { .factor = factor };

  for (guint i = 0; i < groups->len; i++)
    if (g_array_index (groups, struct cp_replay_samples, i).factor == factor)
      return &g_array_index (groups, struct cp_replay_samples, i);
  if (!create)
    return NULL;
  fresh.services_us = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_array_append_val (groups, fresh);
  return &g_array_index (groups, struct cp_replay_samples, groups->len - 1);
}

/* Returns the value of "slow" that was recorded for TARGET at TIME_US.  */
static unsigned
recorded_slow_factor (const struct cp_trace *trace, unsigned target,
                      uint64_t time_us)
{
  unsigned factor = 1;

  for (guint i = 0; i < trace->faults->len; i++)
    {
      const struct cp_trace_fault *fault
          = &g_array_index (trace->faults, struct cp_trace_fault, i);

      if (fault->time_us > time_us)
        break;
      if (fault->kind == CP_FAULT_SLOW && fault->index == target)
        factor = fault->value;
    }
  return factor;
}

static bool
has_service (const struct cp_trace_call *call)
{
  return call->answer_us != 0 && call->status == 200;
}

static const struct cp_trace_call *
get_call (const struct cp_trace *trace, unsigned index)
{
  return &g_array_index (trace->calls, struct cp_trace_call, index);
}

static int
compare_times (const void *left, const void *right)
{
  uint64_t a = *(const uint64_t *)left;
  uint64_t b = *(const uint64_t *)right;

  return a < b ? -1 : a > b;
}

static double
samples_quantile (const struct cp_replay_samples *samples, double quantile)
{
  guint index = (guint)(quantile * samples->services_us->len);

  return (double)g_array_index (samples->services_us, uint64_t, index);
}

static bool
has_enough_samples (const struct cp_replay_samples *samples)
{
  return samples != NULL && samples->services_us->len >= MIN_SAMPLES;
}

/* Returns the half-width of the notch around the median of SAMPLES, an
   estimate of its sampling error.  Source: R. McGill, J. Tukey and W. Larsen,
   Variations of Box Plots, The American Statistician 32(1), 1978.  */
static double
notch_half_width (const struct cp_replay_samples *samples)
{
  return 1.57
         * (samples_quantile (samples, 0.75)
            - samples_quantile (samples, 0.25))
         / sqrt (samples->services_us->len);
}

/* Returns the typical service time at TARGET under FACTOR, a value of "slow":
   the median of all targets, or that of this target when the notches of the
   two do not overlap.  With too few samples under FACTOR, FACTOR times the
   typical time without the fault, or 1 ms when that is unknown too.  */
static double
typical_service_us (const struct cp_replay_targets *targets, unsigned target,
                    unsigned factor)
{
  const struct cp_replay_samples *own
      = find_samples (targets->by_target[target], factor, false);
  const struct cp_replay_samples *all
      = find_samples (targets->all, factor, false);
  double difference;

  if (!has_enough_samples (all))
    return factor == 1 ? (double)CP_US_PER_MS
                       : factor * typical_service_us (targets, target, 1);
  if (!has_enough_samples (own))
    return samples_quantile (all, 0.5);
  difference
      = fabs (samples_quantile (own, 0.5) - samples_quantile (all, 0.5));
  return samples_quantile (
      difference > notch_half_width (own) + notch_half_width (all) ? own : all,
      0.5);
}

/* Returns the service time of CALL divided by the typical one, or 1 when none
   was recorded.  */
static double
relative_work (const struct cp_replay_targets *targets,
               const struct cp_trace_call *call)
{
  unsigned factor
      = recorded_slow_factor (targets->trace, call->target, call->time_us);

  if (!has_service (call))
    return 1;
  return (double)call->service_us
         / typical_service_us (targets, call->target, factor);
}

static void
sort_groups (GArray *groups)
{
  for (guint i = 0; i < groups->len; i++)
    g_array_sort (
        g_array_index (groups, struct cp_replay_samples, i).services_us,
        compare_times);
}

void
cp_replay_targets_init (struct cp_replay_targets *targets,
                        const struct cp_trace *trace)
{
  memset (targets, 0, sizeof *targets);
  targets->trace = trace;
  targets->all = g_array_new (FALSE, FALSE, sizeof (struct cp_replay_samples));
  targets->relative_work = g_new0 (double, trace->calls->len + 1);
  for (unsigned i = 0; i < trace->n_targets; i++)
    {
      struct cp_replay_target *target = &targets->list[i];

      target->slots = trace->slots;
      target->incarnation = i + 1;
      target->fault_values[CP_FAULT_SLOW] = 1;
      g_queue_init (&target->queue);
      target->history
          = g_array_new (FALSE, FALSE, sizeof (struct cp_replay_load_sample));
      targets->by_target[i]
          = g_array_new (FALSE, FALSE, sizeof (struct cp_replay_samples));
    }
  for (unsigned i = 0; i < trace->calls->len; i++)
    {
      const struct cp_trace_call *call = get_call (trace, i);
      uint64_t service_us = call->service_us;
      unsigned factor
          = recorded_slow_factor (trace, call->target, call->time_us);

      if (!has_service (call))
        continue;
      g_array_append_val (
          find_samples (targets->by_target[call->target], factor, true)
              ->services_us,
          service_us);
      g_array_append_val (
          find_samples (targets->all, factor, true)->services_us, service_us);
    }
  for (unsigned i = 0; i < trace->n_targets; i++)
    sort_groups (targets->by_target[i]);
  sort_groups (targets->all);
  for (unsigned i = 0; i < trace->calls->len; i++)
    targets->relative_work[i] = relative_work (targets, get_call (trace, i));
}

static void
free_groups (GArray *groups)
{
  for (guint i = 0; i < groups->len; i++)
    g_array_unref (
        g_array_index (groups, struct cp_replay_samples, i).services_us);
  g_array_unref (groups);
}

void
cp_replay_targets_finish (struct cp_replay_targets *targets)
{
  for (unsigned i = 0; i < targets->trace->n_targets; i++)
    {
      free_groups (targets->by_target[i]);
      g_array_unref (targets->list[i].history);
      g_queue_clear (&targets->list[i].queue);
    }
  free_groups (targets->all);
  g_free (targets->relative_work);
}

void
cp_replay_target_set_fault (struct cp_replay_targets *targets,
                            const struct cp_trace_fault *fault)
{
  struct cp_replay_target *target = &targets->list[fault->index];

  /* A target that returns has a new incarnation.  */
  if ((fault->kind == CP_FAULT_GONE || fault->kind == CP_FAULT_DRAIN)
      && fault->value == 0)
    target->incarnation += CP_TRACE_MEMBERS_MAX;
  if (target->fault_values[fault->kind] == 0)
    target->fault_since_us[fault->kind] = fault->time_us;
  target->fault_values[fault->kind] = fault->value;
}

uint64_t
cp_replay_service_us (const struct cp_replay_targets *targets, unsigned call,
                      unsigned target)
{
  const struct cp_trace_call *recorded = get_call (targets->trace, call);
  unsigned factor = targets->list[target].fault_values[CP_FAULT_SLOW];

  if (recorded->target == target && has_service (recorded)
      && recorded_slow_factor (targets->trace, target, recorded->time_us)
             == factor)
    return recorded->service_us;
  return (uint64_t)(targets->relative_work[call]
                    * typical_service_us (targets, target, factor));
}

void
cp_replay_target_record_load (struct cp_replay_target *target, uint64_t now_us)
{
  struct cp_replay_load_sample load
      = { now_us, target->in_flight, target->queue.length };

  if (target->history->len >= MAX_HISTORY)
    g_array_remove_range (target->history, 0, MAX_HISTORY / 2);
  g_array_append_val (target->history, load);
}

void
cp_replay_target_record_latency (struct cp_replay_target *target,
                                 uint64_t latency_us)
{
  target->recent_latencies_us[target->n_recent++ % CP_REPLAY_RECENT_LATENCIES]
      = latency_us;
}

static uint64_t
median_recent_latency (const struct cp_replay_target *target)
{
  uint64_t sorted[CP_REPLAY_RECENT_LATENCIES];
  unsigned count = target->n_recent < CP_REPLAY_RECENT_LATENCIES
                       ? target->n_recent
                       : CP_REPLAY_RECENT_LATENCIES;

  if (count == 0)
    return 0;
  memcpy (sorted, target->recent_latencies_us, sizeof sorted);
  qsort (sorted, count, sizeof sorted[0], compare_times);
  return sorted[count / 2];
}

/* Sets the load in REPORT to that of LAG_US ago.  */
static void
set_lagged_load (const struct cp_replay_target *target, uint64_t now_us,
                 uint64_t lag_us, struct cp_load_report *report)
{
  report->in_flight = 0;
  report->queued = 0;
  for (guint i = target->history->len; i > 0; i--)
    {
      const struct cp_replay_load_sample *load = &g_array_index (
          target->history, struct cp_replay_load_sample, i - 1);

      if (load->time_us + lag_us > now_us)
        continue;
      report->in_flight = load->in_flight;
      report->queued = load->queued;
      return;
    }
}

bool
cp_replay_target_report (const struct cp_replay_target *target,
                         uint64_t now_us, struct cp_load_report *report)
{
  memset (report, 0, sizeof *report);
  if (target->fault_values[CP_FAULT_HANG] != 0)
    return false;
  report->incarnation = target->incarnation;
  report->life = target->fault_values[CP_FAULT_DRAIN] != 0 ? CP_DAEMON_DRAINING
                                                           : CP_DAEMON_SERVING;
  report->limit = target->slots;
  report->in_flight = target->in_flight;
  report->queued = target->queue.length;
  report->latency_us = median_recent_latency (target);
  if (target->fault_values[CP_FAULT_LAG] != 0)
    set_lagged_load (target, now_us,
                     target->fault_values[CP_FAULT_LAG] * CP_US_PER_MS,
                     report);
  if (target->fault_values[CP_FAULT_LIE] != 0)
    {
      report->in_flight = 0;
      report->queued = 0;
    }
  return true;
}

/* Replay of a trace: the balancer's code under a virtual clock.

   Each outbound side of the trace gets a balancer of its own.  The calls come
   when the trace says so.  A call that is sent to the target which answered it
   in the trace takes its recorded service time there.  One that is sent
   elsewhere keeps its work: its recorded time, divided by the median of the
   calls that were recorded at the target which answered it and multiplied by
   that at the other one, each under the fault "slow" in force there.  Where a
   target's median differs from that of all targets under the same fault by no
   more than chance explains, the latter stands for it; when too few were
   recorded under that fault, the usual ones times the fault's value.
   Each target has the trace's slots and a queue that is first in, first out.
   Reports ride on answers, with the calls in flight of this queue.

   Limits: service times do not depend on the load but by the queue; the queue
   has no bound and the inbound side's admission is not played; a call is not
   hedged, and is retried only when it was refused or met no connection; the
   way there and back is constant; calls do not come later when answers do; a
   pause holds the calls of that outbound side back, and their time is counted
   from its end.

   A call that failed, or that took longer than the deadline, counts in the
   latencies as the deadline.  The same trace, picker and seed give the same
   result.  */
#ifndef CP_REPLAY_H
#define CP_REPLAY_H

#include "lib/chart.h"
#include "lib/picker.h"
#include "lib/trace.h"

struct cp_replay_options
{
  const struct cp_picker *picker;
  const struct cp_chart *chart; /* charts/target.json */
  uint64_t seed;
  bool without_faults; /* play the trace as if its faults had not been */
};

struct cp_replay_result
{
  uint64_t calls;
  uint64_t errors; /* failed, late, or no target left */
  uint64_t retries;
  uint64_t waits; /* calls that found no slot free at their target */
  uint64_t p50_us;
  uint64_t p99_us;
  uint64_t p999_us;
  uint64_t health_changes;
  uint64_t per_target[CP_TRACE_MEMBERS_MAX]; /* attempts */
  /* Attempts sent while a target failed or drained, at such targets and at
     all; a drain ends a second window after which none may come.  */
  uint64_t first_s_at_failing;
  uint64_t first_s_at_all;
  uint64_t after_2s_at_failing;
  uint64_t after_2s_at_all;
  uint64_t after_3s_at_leaving;
  GArray *latencies_us; /* of uint64_t, sorted */
};

/* What a stated outcome came to.  */
struct cp_replay_finding
{
  char name[CP_TRACE_OUTCOME_BYTES];
  double bound;
  double found;
  bool holds;
};

/* Returns 0, or -1 with ERROR set.  */
int cp_replay_run (const struct cp_trace *trace,
                   const struct cp_replay_options *options,
                   struct cp_replay_result *result, struct cp_error *error);
void cp_replay_result_finish (struct cp_replay_result *result);

/* Returns the value below which the share QUANTILE of the sorted LATENCIES_US
   lies; 0 when there are none.  */
uint64_t cp_replay_quantile (const GArray *latencies_us, double quantile);

/* Replays TRACE over SEEDS seeds from OPTIONS->seed on, all latencies in one
   result.  */
int cp_replay_run_seeds (const struct cp_trace *trace,
                         const struct cp_replay_options *options,
                         unsigned seeds, struct cp_replay_result *result,
                         struct cp_error *error);

/* Checks the outcomes that stand in the trace; fills in FINDINGS and *COUNT.
   RESULT is that of the same OPTIONS and SEEDS.

     p99_of_random, p99_of_round_robin, p99_of_least_in_flight,
     p99_of_two_choices   p99 over that of the baseline
     p99_of_best_blind    p99 over the better of random and round robin
     p99_of_no_fault      p99 over that without the trace's faults
     failing_first_s      share of calls at failing targets, first second
     failing_after_2s     the same, 2 s after the fault began and later
     leaving_after_3s     calls at leaving targets 3 s after they said so
     errors               share of calls that failed or came late

   Each must be at most its bound.  Returns 0, or -1 with ERROR set.  */
int cp_replay_check (const struct cp_trace *trace,
                     const struct cp_replay_options *options, unsigned seeds,
                     const struct cp_replay_result *result,
                     struct cp_replay_finding findings[CP_TRACE_OUTCOMES_MAX],
                     unsigned *count, struct cp_error *error);

#endif

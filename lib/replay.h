/* Replays a trace: runs the balancer's code under a virtual clock against
   simulated targets.

   Each outbound side of the trace has its own balancer.  Calls arrive at their
   recorded times.  A call that is sent to the target that answered it in the
   trace takes its recorded service time, when the value of the fault "slow"
   there is the recorded one.  Otherwise its service time is scaled: the
   recorded time, divided by the typical time at the target that answered it
   and multiplied by the typical time at the new target, each under the value
   of "slow" in force there.  The typical time is the median of the calls
   recorded at that target under that value.  The median over all targets is
   used when the target has too few records or its median differs by no more
   than chance explains.  When all targets together have too few records under
   that value, it is the typical time without the fault times the value.
   Each target has the slots of the trace and a FIFO queue.  Answers carry load
   reports with the calls in flight and queued at the simulated target.

   Limits: load affects service times only through the queue; the queue is
   unbounded, and the inbound side's admission is not simulated; calls are not
   hedged, and are retried only when they were refused or found no connection;
   network delay is constant; arrivals do not slow down when answers do; a
   pause delays the calls of its outbound side, and their latency is counted
   from the end of the pause.

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
  bool without_faults; /* ignore the faults of the trace */
};

struct cp_replay_result
{
  uint64_t calls;
  uint64_t errors; /* failed, late, or no target left */
  uint64_t retries;
  uint64_t waits; /* attempts that were queued for a slot */
  uint64_t p50_us;
  uint64_t p99_us;
  uint64_t p999_us;
  uint64_t health_changes;
  uint64_t per_target[CP_TRACE_MEMBERS_MAX]; /* attempts */
  /* Attempts sent in the first second after a target began to fail, and 2 s
     after that or later: those at the failing target, and all; an attempt
     counts once for each target that fails.  Then the attempts at a draining
     target 3 s after the drain began or later, when none may come.  */
  uint64_t first_s_at_failing;
  uint64_t first_s_at_all;
  uint64_t after_2s_at_failing;
  uint64_t after_2s_at_all;
  uint64_t after_3s_at_leaving;
  GArray *latencies_us; /* of uint64_t, sorted */
};

/* Measured value of an outcome of the trace, and whether it is within its
   bound.  */
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

/* Replays TRACE with SEEDS consecutive seeds from OPTIONS->seed on and merges
   the runs into one result.  */
int cp_replay_run_seeds (const struct cp_trace *trace,
                         const struct cp_replay_options *options,
                         unsigned seeds, struct cp_replay_result *result,
                         struct cp_error *error);

/* Checks the outcomes listed in the trace; fills in FINDINGS and *COUNT.
   RESULT is that of a run with the same OPTIONS and SEEDS.

     p99_of_random, p99_of_round_robin, p99_of_least_in_flight,
     p99_of_two_choices   p99 over that of the baseline
     p99_of_best_blind    p99 over the lower of random and round robin, the
                          pickers that do not look at load
     p99_of_no_fault      p99 over that without the trace's faults
     failing_first_s      share of calls at failing targets, first second
     failing_after_2s     the same, 2 s after the fault began or later
     leaving_after_3s     calls at draining targets, 3 s after the drain began
                          and later
     errors               share of calls that failed or missed the deadline

   Each must be at most its bound.  Returns 0, or -1 with ERROR set.  */
int cp_replay_check (const struct cp_trace *trace,
                     const struct cp_replay_options *options, unsigned seeds,
                     const struct cp_replay_result *result,
                     struct cp_replay_finding findings[CP_TRACE_OUTCOMES_MAX],
                     unsigned *count, struct cp_error *error);

#endif

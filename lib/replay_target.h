/* The queueing fake that plays the targets of a trace.  */
#ifndef CP_REPLAY_TARGET_H
#define CP_REPLAY_TARGET_H

#include "lib/load_report.h"
#include "lib/trace.h"

#define CP_REPLAY_RECENT 15

/* Service times that were recorded under one fault, sorted.  */
struct cp_replay_samples
{
  unsigned factor;     /* value of the fault "slow" */
  GArray *services_us; /* of uint64_t */
};

/* A load as it was, for reports that lag.  */
struct cp_replay_load
{
  uint64_t time_us;
  uint32_t in_flight;
  uint32_t queued;
};

struct cp_replay_target
{
  unsigned slots;
  unsigned in_flight;
  unsigned values[CP_FAULT_KIND_COUNT]; /* faults in force */
  uint64_t since_us[CP_FAULT_KIND_COUNT];
  uint64_t incarnation;
  GQueue queue;    /* of calls, by pointer */
  GArray *history; /* of struct cp_replay_load */
  uint64_t recent_us[CP_REPLAY_RECENT];
  unsigned n_recent;
};

struct cp_replay_targets
{
  const struct cp_trace *trace;
  struct cp_replay_target list[CP_TRACE_MEMBERS_MAX];
  GArray *own[CP_TRACE_MEMBERS_MAX]; /* of struct cp_replay_samples */
  GArray *all;
  double *work; /* of each call: its time as a share of the usual */
};

void cp_replay_targets_init (struct cp_replay_targets *targets,
                             const struct cp_trace *trace);
void cp_replay_targets_finish (struct cp_replay_targets *targets);

/* Puts FAULT in force.  */
void cp_replay_target_fault (struct cp_replay_targets *targets,
                             const struct cp_trace_fault *fault);

/* Returns the service time of call CALL at TARGET under the faults in force.
 */
uint64_t cp_replay_service_us (const struct cp_replay_targets *targets,
                               unsigned call, unsigned target);

/* Notes that the load of TARGET changed, or that a call ended there after
   LATENCY_US.  */
void cp_replay_target_changed (struct cp_replay_target *target,
                               uint64_t now_us);
void cp_replay_target_ended (struct cp_replay_target *target,
                             uint64_t latency_us);

/* Composes the report of TARGET.  Returns false when it gives none.  */
bool cp_replay_target_report (const struct cp_replay_target *target,
                              uint64_t now_us, struct cp_load_report *report);

#endif

/* Simulated targets of a replay, each with slots and a queue.  */
#ifndef CP_REPLAY_TARGET_H
#define CP_REPLAY_TARGET_H

#include "lib/load_report.h"
#include "lib/trace.h"

#define CP_REPLAY_RECENT_LATENCIES 15

/* Service times recorded under one value of the fault "slow", sorted.  */
struct cp_replay_samples
{
  unsigned factor;     /* value of the fault */
  GArray *services_us; /* of uint64_t */
};

/* Load at an earlier time, for reports that lag.  */
struct cp_replay_load_sample
{
  uint64_t time_us;
  uint32_t in_flight;
  uint32_t queued;
};

struct cp_replay_target
{
  unsigned slots;
  unsigned in_flight;
  unsigned fault_values[CP_FAULT_KIND_COUNT]; /* of the faults in force */
  uint64_t fault_since_us[CP_FAULT_KIND_COUNT];
  uint64_t incarnation;
  GQueue queue;    /* of struct request in lib/replay.c */
  GArray *history; /* of struct cp_replay_load_sample */
  uint64_t recent_latencies_us[CP_REPLAY_RECENT_LATENCIES];
  unsigned n_recent;
};

struct cp_replay_targets
{
  const struct cp_trace *trace;
  struct cp_replay_target list[CP_TRACE_MEMBERS_MAX];
  GArray *by_target[CP_TRACE_MEMBERS_MAX]; /* of struct cp_replay_samples */
  GArray *all;
  double *relative_work; /* per call: service time over the typical one */
};

void cp_replay_targets_init (struct cp_replay_targets *targets,
                             const struct cp_trace *trace);
void cp_replay_targets_finish (struct cp_replay_targets *targets);

/* Starts or ends FAULT.  */
void cp_replay_target_set_fault (struct cp_replay_targets *targets,
                                 const struct cp_trace_fault *fault);

/* Returns the service time of call CALL at TARGET under the faults in force.
 */
uint64_t cp_replay_service_us (const struct cp_replay_targets *targets,
                               unsigned call, unsigned target);

/* Records the present load of TARGET, to be called after each change, and the
   latency of a call that ended there.  */
void cp_replay_target_record_load (struct cp_replay_target *target,
                                   uint64_t now_us);
void cp_replay_target_record_latency (struct cp_replay_target *target,
                                      uint64_t latency_us);

/* Fills in the report of TARGET.  Returns false when it sends none.  */
bool cp_replay_target_report (const struct cp_replay_target *target,
                              uint64_t now_us, struct cp_load_report *report);

#endif

/* Choice of a target for one call, for one service.

   A balancer belongs to one outbound side.  It holds what that side knows of
   each target, drives each target's health and asks a picker.  All functions
   lock the balancer; none waits.  */
#ifndef CP_BALANCER_H
#define CP_BALANCER_H

#include <pthread.h>

#include "lib/clock.h"
#include "lib/decision.h"
#include "lib/document.h"
#include "lib/load_report.h"
#include "lib/picker.h"

/* Takes the decision records of a balancer.  RECORD is called with the
   balancer locked and must not call it; it may be NULL.  */
struct cp_balancer_observer
{
  void (*record) (void *context, struct cp_decision *decision);
  void *context;
};

/* What was counted of reports that were not taken.  */
struct cp_report_counts
{
  uint64_t taken;
  uint64_t unknown_target;
  uint64_t impossible; /* from the future or of a load that can't be */
  uint64_t overtaken;  /* older than one of the same incarnation */
};

struct cp_balancer
{
  pthread_mutex_t lock;
  const struct cp_clock *clock;
  const struct cp_chart *chart; /* charts/target.json */
  struct cp_picker picker;
  struct cp_balancer_observer observer;
  char vm[CP_NAME_BYTES];
  char failure_domain[CP_NAME_BYTES];
  char service[CP_NAME_BYTES];
  struct cp_target_state *targets;
  unsigned n_targets;
  struct cp_target_state **eligible; /* those that take calls */
  unsigned n_eligible;
  bool spread_over_all; /* too few take calls */
  double eject_most_share;
  unsigned slots;
  uint64_t remote_us;
  uint64_t tick_us; /* when health must be looked at next */
  uint64_t sequence;
  uint64_t trial_sequence; /* SEQUENCE at the last trial call */
  uint64_t trial_us;
  uint64_t queried_sequence; /* SEQUENCE at the last query for its age */
  double mean_others;
  double others_variance;
  double mean_latency_us;
  double latency_noise;
  struct cp_report_counts counts;
};

/* The targets that a call may not go to (again), and the call's request ID for
   the decision records.  */
#define CP_TRIED_MAX 8

struct cp_tried
{
  char names[CP_TRIED_MAX][CP_NAME_BYTES];
  /* Their failure domains, avoided while there are targets in others.  */
  char domains[CP_TRIED_MAX][CP_NAME_BYTES];
  unsigned count;
  struct cp_id request;
};

/* VM in FAILURE_DOMAIN is the outbound side's.  CHART, from charts/target.json
   with cp_health_names, must outlive the balancer.  */
void cp_balancer_init (struct cp_balancer *balancer,
                       const struct cp_picker *picker,
                       const struct cp_chart *chart,
                       const struct cp_clock *clock, const char *service,
                       const char *vm, const char *failure_domain);
void cp_balancer_finish (struct cp_balancer *balancer);

/* Sets who takes decision records; before the first pick.  */
void cp_balancer_observe (struct cp_balancer *balancer,
                          const struct cp_balancer_observer *observer);

/* Takes the targets of SERVICE, or its subset of them; keeps what is known of
   those that stay. REMOTE_US is the way to another failure domain and back.
   Returns 0, or -1 when memory ran out.  */
int cp_balancer_update (struct cp_balancer *balancer,
                        const struct cp_service *service, uint64_t remote_us);

/* Chooses a target that is not in TRIED, copies it to TARGET and counts the
   call as in flight there.  *INCARNATION is that of the daemon beside it, 0
   when not known.  Returns false when there is no target left.  */
bool cp_balancer_pick (struct cp_balancer *balancer,
                       const struct cp_tried *tried,
                       const struct cp_random *random,
                       struct cp_target *target, uint64_t *incarnation);

/* Ends a call that was picked.  LATENCY_US counts from the send.  */
void cp_balancer_done (struct cp_balancer *balancer, const char *target,
                       enum cp_call_result result, uint64_t latency_us);

/* Takes a load report of TARGET.  One that can't be true is counted and
   ignored.  */
void cp_balancer_report (struct cp_balancer *balancer, const char *target,
                         const struct cp_load_report *report);

/* Copies up to MOST targets whose inbound side should be asked for its load
   now, by RPC, to TARGETS and returns their number: those of which no report
   has come, those that are leaving and those that seem gone, each at most once
   in CP_QUERY_INTERVAL_US; and, while calls are picked, the one whose report
   is the oldest, when it is over a second old.  */
#define CP_QUERY_INTERVAL_US (500 * CP_US_PER_MS)
unsigned cp_balancer_due_queries (struct cp_balancer *balancer,
                                  struct cp_target *targets, unsigned most);

/* Returns an array that describes the targets.  */
json_t *cp_balancer_dump (struct cp_balancer *balancer);

#endif

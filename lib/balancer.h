/* Chooses a target for each call to one service.

   A balancer belongs to one outbound side.  It keeps that side's state of each
   target, updates each target's health and calls a picker.  All functions lock
   the balancer; none blocks otherwise.  */
#ifndef CP_BALANCER_H
#define CP_BALANCER_H

#include <pthread.h>

#include "lib/clock.h"
#include "lib/decision.h"
#include "lib/document.h"
#include "lib/load_report.h"
#include "lib/picker.h"

/* Receives the decision records of a balancer.  RECORD is called with the
   balancer locked and must not call its functions; it may be NULL.  */
struct cp_balancer_observer
{
  void (*record) (void *context, struct cp_decision *decision);
  void *context;
};

/* Counters of load reports by how they were handled.  */
struct cp_report_counts
{
  uint64_t accepted;
  uint64_t unknown_target;
  uint64_t invalid;  /* from the future, too old or too high */
  uint64_t outdated; /* older than the last one of the same incarnation */
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
  struct cp_target_state **eligible; /* targets that may be picked */
  unsigned n_eligible;
  bool spread_over_all; /* more targets fail than may be ejected */
  double eject_most_share;
  unsigned slots;
  uint64_t cross_domain_rtt_us;
  uint64_t next_tick_us; /* time of the next health update */
  uint64_t sequence;     /* number of picks, plus a hash of the VM name */
  uint64_t last_trial_sequence; /* SEQUENCE at the last trial call */
  uint64_t last_trial_us;
  uint64_t last_query_sequence; /* SEQUENCE at the last query because of age */
  double mean_other_calls;
  double other_calls_variance;
  double mean_latency_us;
  double latency_noise;
  struct cp_report_counts report_counts;
};

/* The targets to which attempts of a call were already sent, and the call's
   request ID for the decision records.  */
#define CP_TRIED_MAX 8

struct cp_tried_targets
{
  char names[CP_TRIED_MAX][CP_NAME_BYTES];
  /* Their failure domains; targets in others are preferred.  */
  char domains[CP_TRIED_MAX][CP_NAME_BYTES];
  unsigned count;
  struct cp_id request;
};

/* VM and FAILURE_DOMAIN are those of the outbound side.  CHART, loaded from
   charts/target.json with cp_health_names, must outlive the balancer.  */
void cp_balancer_init (struct cp_balancer *balancer,
                       const struct cp_picker *picker,
                       const struct cp_chart *chart,
                       const struct cp_clock *clock, const char *service,
                       const char *vm, const char *failure_domain);
void cp_balancer_finish (struct cp_balancer *balancer);

/* Sets the receiver of decision records.  Call it before the first pick.  */
void cp_balancer_set_observer (struct cp_balancer *balancer,
                               const struct cp_balancer_observer *observer);

/* Replaces the targets by those of SERVICE, or by a subset when it has many.
   The state of a target whose name and address stay is kept.
   CROSS_DOMAIN_RTT_US is the round-trip time to another failure domain.
   Returns 0, or -1 when out of memory.  */
int cp_balancer_update (struct cp_balancer *balancer,
                        const struct cp_service *service,
                        uint64_t cross_domain_rtt_us);

/* Chooses a target that is not in TRIED, copies it to TARGET and counts the
   call as in flight there.  Sets *INCARNATION to that of the daemon on the
   target's VM, 0 when unknown.  Returns false when no target is left.  */
bool cp_balancer_pick (struct cp_balancer *balancer,
                       const struct cp_tried_targets *tried,
                       const struct cp_random *random,
                       struct cp_target *target, uint64_t *incarnation);

/* Ends a call for which TARGET was picked.  LATENCY_US is the time since it
   was sent.  */
void cp_balancer_end_call (struct cp_balancer *balancer, const char *target,
                           enum cp_call_result result, uint64_t latency_us);

/* Adds a load report of TARGET.  A report that is invalid, outdated or of an
   unknown target is counted and ignored.  */
void cp_balancer_add_report (struct cp_balancer *balancer, const char *target,
                             const struct cp_load_report *report);

/* Copies up to MAX targets whose inbound side should be queried for its load
   by RPC now to TARGETS, and returns their number.  Only targets with a daemon
   are queried: those that have not reported yet, those that are leaving and
   those that are gone and whose backoff has ended, each at most once in
   CP_QUERY_INTERVAL_US; and, if calls were picked since the last such query,
   the target with the oldest report, when that is more than a second old.  */
#define CP_QUERY_INTERVAL_US (500 * CP_US_PER_MS)
unsigned cp_balancer_due_queries (struct cp_balancer *balancer,
                                  struct cp_target *targets, unsigned max);

/* Returns a JSON array that describes the targets.  */
json_t *cp_balancer_dump (struct cp_balancer *balancer);

#endif

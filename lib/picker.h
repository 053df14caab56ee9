/* Rules that choose a target from a view of the targets.

   A picker gets the targets that may be picked and returns one of them.  It
   does not block or allocate memory.  */
#ifndef CP_PICKER_H
#define CP_PICKER_H

#include "lib/clock.h"
#include "lib/document.h"
#include "lib/health.h"
#include "lib/load_report.h"

#define CP_START_TIMES_MAX 32

/* State of one target as seen by one outbound side.  */
struct cp_target_state
{
  struct cp_target target;
  struct cp_health health;
  bool same_domain;
  uint32_t own_in_flight;
  uint32_t sent_since_report; /* own calls sent since the last report */
  uint64_t start_times_us[CP_START_TIMES_MAX]; /* of own calls in flight,
                                                  unordered */
  unsigned n_start_times;
  uint64_t report_us; /* when the report was made; 0: no report */
  struct cp_load_report report;
  double other_calls; /* other outbound sides' calls there, by the report */
  uint64_t last_query_us;      /* when a query was last requested; 0: never */
  double load_drift;           /* mean square change of load, calls^2 per s */
  double latency_us;           /* moving mean of latencies; 0: none yet */
  uint64_t latency_updated_us; /* when LATENCY_US was last updated */
  uint64_t own_latency_us;     /* latency of the last own answered call */
};

/* The targets that a picker may choose from.  */
struct cp_pick_view
{
  struct cp_target_state *const *targets;
  unsigned n_targets;
  uint64_t now_us;
  const struct cp_random *random;
  uint64_t sequence;            /* number of earlier picks */
  unsigned slots;               /* slots of each target by the document */
  uint64_t cross_domain_rtt_us; /* round-trip time to another failure domain */
  double mean_other_calls;      /* moving mean of OTHER_CALLS */
  double other_calls_variance;  /* their variance */
  double mean_latency_us;       /* moving mean over all answers */
  double latency_noise;         /* mean relative deviation of a latency */
};

/* A rule for choosing a target.  PICK returns an index into the view, which
   has at least one target, and sets *REASON to a constant string that explains
   the choice.  */
struct cp_picker
{
  const char *name;
  unsigned (*pick) (void *context, const struct cp_pick_view *view,
                    const char **reason);
  void *context;
};

/* Chooses a uniformly random target.  */
extern const struct cp_picker cp_picker_random;

/* Chooses each target in turn.  */
extern const struct cp_picker cp_picker_round_robin;

/* Chooses the target with the fewest own calls in flight; a random one among
   equals.  */
extern const struct cp_picker cp_picker_least_in_flight;

/* Draws two random targets and chooses the one with fewer calls in flight by
   its report and the own count.  Source: M. Mitzenmacher, The Power of Two
   Choices in Randomized Load Balancing, IEEE TPDS 12(10), 2001.  */
extern const struct cp_picker cp_picker_two_choices;

/* The daemon's rule.  It assesses all targets, or a random sample when there
   are many, and splits them into hot and cold.  A target is hot when it is
   nearly full, has many more calls in flight than the others or fails calls.
   Of the cold targets it keeps those whose cost is the lowest, or higher by no
   more than the noise of latencies explains, and chooses the one with the
   lowest utilization.  Targets in the own failure domain get a bonus that
   falls to 0 before they are full.  When all targets are hot, it chooses the
   one with the lowest utilization.  The cost of a target is its latency plus
   the network round trip, raised with utilization and with failed calls.
   Sources: B. Wydrowski et al., Load is not what you should balance:
   Introducing Prequal, NSDI 2024 (hot and cold, then latency); M.
   Mitzenmacher, How Useful Is Old Information?, IEEE TPDS 11(1), 2000 (why the
   target that looks best by an old report must not get all calls).  */
extern const struct cp_picker cp_picker_hot_cold;

#define CP_PICKER_COUNT 5
extern const struct cp_picker *const cp_pickers[CP_PICKER_COUNT];

/* Returns the picker called NAME, or NULL.  */
const struct cp_picker *cp_picker_find (const char *name);

/* Estimates the number of calls in flight at a target, queued ones included:
   the own calls, which are known, plus those of other outbound sides by the
   last report.  The reported number is weighted against the mean over all
   targets by how far the target's load may have drifted since the report (the
   gain of a Kalman filter: variance over variance plus drift times age).  The
   drift is overstated so that outbound sides with the same reports do not all
   choose the same target.  */
double cp_estimate_load (const struct cp_target_state *state,
                         const struct cp_pick_view *view);

/* Returns LATENCY_US, measured AGE_US ago, moved towards MEAN_US with age.  */
double cp_decay_latency_us (double latency_us, double mean_us,
                            uint64_t age_us);

/* Estimates a target's latency in microseconds, 0 when nothing is known: its
   moving mean, moved towards that of all targets with age.  When own calls
   have been in flight for longer than noise explains, returns their mean time
   in flight instead.  */
double cp_estimate_latency_us (const struct cp_target_state *state,
                               const struct cp_pick_view *view);

/* Returns the mean time for which own calls have been in flight, 0 when there
   are none.  */
uint64_t cp_mean_pending_us (const struct cp_target_state *state,
                             uint64_t now_us);

#endif

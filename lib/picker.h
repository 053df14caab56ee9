/* Rules for choosing a target, over one view of the targets.

   A picker sees the targets that take calls and returns one of them.  It
   waits for nothing and allocates nothing.  */
#ifndef CP_PICKER_H
#define CP_PICKER_H

#include "lib/clock.h"
#include "lib/document.h"
#include "lib/health.h"
#include "lib/load_report.h"

#define CP_STARTED_MAX 32

/* What an outbound side knows of one target.  */
struct cp_target_state
{
  struct cp_target target;
  struct cp_health health;
  bool same_domain;
  uint32_t own_in_flight;              /* own calls sent and not yet ended */
  uint32_t sent_since_report;          /* own calls since the last report */
  uint64_t started_us[CP_STARTED_MAX]; /* of own calls in flight, unordered */
  unsigned n_started;
  uint64_t report_us; /* the time that the report speaks of; 0 for none */
  struct cp_load_report report;
  double others;          /* calls that others had there, by the report */
  uint64_t asked_us;      /* when it was last named for a query; 0 for never */
  double load_drift;      /* mean square change of load, calls^2 per s */
  double latency_us;      /* moving mean of answers; 0 for none */
  uint64_t latency_at_us; /* when it was last moved */
  uint64_t own_latency_us; /* the last own answer's */
};

/* The targets that a picker may choose from.  */
struct cp_pick_view
{
  struct cp_target_state *const *targets;
  unsigned n_targets;
  uint64_t now_us;
  const struct cp_random *random;
  uint64_t sequence;      /* number of earlier picks */
  unsigned slots;         /* of each target, by the document */
  uint64_t remote_us;     /* way to another failure domain and back */
  double mean_others;     /* moving mean of others' calls at a target */
  double others_variance; /* their variance */
  double mean_latency_us; /* moving mean over all answers */
  double latency_noise;   /* mean of an answer's share off its target's mean */
};

/* A rule for choosing.  PICK returns an index into the view, which has at
   least one target; *REASON is set to a constant that says why.  */
struct cp_picker
{
  const char *name;
  unsigned (*pick) (void *context, const struct cp_pick_view *view,
                    const char **reason);
  void *context;
};

/* A uniformly random target.  */
extern const struct cp_picker cp_picker_random;

/* Each target in turn.  */
extern const struct cp_picker cp_picker_round_robin;

/* The target with the fewest own calls in flight; random among equals.  */
extern const struct cp_picker cp_picker_least_in_flight;

/* Two random targets; the one with fewer calls in flight by report and own
   count.  Source: M. Mitzenmacher, The Power of Two Choices in Randomized Load
   Balancing, IEEE TPDS 12(10), 2001.  */
extern const struct cp_picker cp_picker_two_choices;

/* The rule of the daemon: targets, or a random sample when there are many, are
   split into hot and cold by their calls in flight; of the cold ones those are
   kept that are the fastest or slower by no more than noise explains, and of
   those the least used is taken, with an allowance for near ones that ends
   before these fill.  When all are hot, the least used.  Cost is latency plus
   the way there, raised as slots fill and by failed calls.  Sources: B.
   Wydrowski et al., Load is not what you should balance: Introducing Prequal,
   NSDI 2024 (hot and cold, then latency); M. Mitzenmacher, How Useful Is Old
   Information?, IEEE TPDS 11(1), 2000 (why the best by an old report must not
   draw all).  */
extern const struct cp_picker cp_picker_hot_cold;

#define CP_PICKERS 5
extern const struct cp_picker *const cp_pickers[CP_PICKERS];

/* Returns the picker called NAME, or NULL.  */
const struct cp_picker *cp_picker_find (const char *name);

/* Estimates the calls in flight at a target, its queue included: the own ones,
   which are known, and those of others, which the last report told.  The
   latter are weighed against their mean over all targets by how far the load
   of this one will have drifted since (the gain of a Kalman filter: variance
   over variance plus drift times age).  The drift is overstated so that many
   outbound sides with the same reports do not all turn to the same target.  */
double cp_estimate_load (const struct cp_target_state *state,
                         const struct cp_pick_view *view);

/* Returns LATENCY_US, of AGE_US, moved towards MEAN_US as it ages.  */
double cp_fade_latency_us (double latency_us, double mean_us, uint64_t age_us);

/* Estimates the time to an answer in microseconds, 0 when nothing is known:
   the moving mean, moved towards that of all targets with age.  When own calls
   have been unanswered for longer than noise explains, it is the mean time for
   which they have.  */
double cp_estimate_latency_us (const struct cp_target_state *state,
                               const struct cp_pick_view *view);

/* Returns the mean time for which own calls have been in flight, 0 when there
   are none.  */
uint64_t cp_pending_us (const struct cp_target_state *state, uint64_t now_us);

#endif

#include <math.h>

#include "lib/picker.h"

/* Most targets that are assessed for one decision.  */
#define MAX_SAMPLE 12

/* A target is hot when more than this share of its limit is in use, ...  */
#define HOT_UTILIZATION 0.9
/* ... when it has more calls in flight than this multiple of the mean plus
   this number, ...  */
#define HOT_MEAN_FACTOR 2.0
#define HOT_MEAN_EXTRA 3.0
/* ... or when its share of failed calls is higher than this.  */
#define HOT_ERRORS 0.1

/* Cold targets count as equally fast when their costs differ by less than this
   share plus this multiple of the noise of latencies.  */
#define MIN_COST_BAND 0.1
#define COST_BAND_NOISE 1.3

/* Cost, in microseconds, that is added for a target that fails all calls.  */
#define FAILURE_COST_US 1e6

/* Below this utilization the estimated load is rounded to whole calls.  */
#define LOW_UTILIZATION 0.25

/* Bonus, as a share of the limit, for an idle target in the own failure
   domain.  It falls linearly to 0 at the second utilization.  */
#define SAME_DOMAIN_BONUS 0.2
#define SAME_DOMAIN_BONUS_END 0.9

/* Utilization that is added for a target that fails all calls.  */
#define ERROR_PENALTY 10.0

/* A target with the values that the picker compares.  */
struct candidate
{
  unsigned index;
  double load; /* estimated calls in flight */
  double limit;
  double utilization; /* share of the limit in use, with one more call */
  double cost_us;
  double errors; /* share of failed calls */
  bool hot;
  bool same_domain;
};

struct candidates
{
  struct candidate list[MAX_SAMPLE];
  unsigned count;
};

/* Returns a target's limit of calls in flight: the reported one, else the
   slots of the document.  */
static double
target_limit (const struct cp_target_state *state,
              const struct cp_pick_view *view)
{
  if (state->report_us != 0 && state->report.limit > 0)
    return state->report.limit;
  return view->slots > 0 ? view->slots : 1;
}

static void
assess_target (struct candidate *candidate, const struct cp_pick_view *view,
               unsigned index)
{
  const struct cp_target_state *state = view->targets[index];
  double load = cp_estimate_load (state, view);
  double latency = cp_estimate_latency_us (state, view);
  double utilization_squared;

  candidate->index = index;
  candidate->same_domain = state->same_domain;
  candidate->errors = cp_health_error_share (&state->health, view->now_us);
  candidate->limit = target_limit (state, view);
  candidate->utilization = (load + 1) / candidate->limit;
  candidate->load = load;
  utilization_squared = candidate->utilization * candidate->utilization;
  candidate->cost_us
      = latency * (1 + utilization_squared * utilization_squared)
        + (state->same_domain ? 0 : (double)view->cross_domain_rtt_us)
        + cp_health_error_share (&state->health, view->now_us)
              * FAILURE_COST_US;
}

/* Returns whether a target takes part in this decision.  A target that is
   ramping up takes part in only a share of the decisions, relative to the one
   that has ramped up furthest.  */
static bool
is_sampled (const struct cp_pick_view *view, unsigned index, double max_ramp)
{
  double ramp
      = cp_health_ramp_share (&view->targets[index]->health, view->now_us);

  return ramp >= max_ramp || cp_random_unit (view->random) * max_ramp < ramp;
}

/* Assesses all targets or, when there are many, a random sample that is drawn
   with replacement.  */
static void
sample_targets (const struct cp_pick_view *view, struct candidates *candidates)
{
  unsigned count = view->n_targets < MAX_SAMPLE ? view->n_targets : MAX_SAMPLE;
  unsigned indices[MAX_SAMPLE];
  double max_ramp = 0;

  for (unsigned i = 0; i < count; i++)
    {
      double ramp;

      indices[i]
          = count == view->n_targets
                ? i
                : (unsigned)cp_random_below (view->random, view->n_targets);
      ramp = cp_health_ramp_share (&view->targets[indices[i]]->health,
                                   view->now_us);
      if (ramp > max_ramp)
        max_ramp = ramp;
    }
  candidates->count = 0;
  for (unsigned i = 0; i < count; i++)
    if (is_sampled (view, indices[i], max_ramp))
      assess_target (&candidates->list[candidates->count++], view, indices[i]);
}

/* Marks the hot targets: those that are nearly full, have many more calls in
   flight than the others or fail calls.  A target that fails calls quickly is
   idle, so its load alone would not show it.  */
static void
mark_hot (struct candidates *candidates)
{
  double sum = 0;

  for (unsigned i = 0; i < candidates->count; i++)
    sum += candidates->list[i].load;
  for (unsigned i = 0; i < candidates->count; i++)
    {
      struct candidate *candidate = &candidates->list[i];

      candidate->hot
          = candidate->utilization > HOT_UTILIZATION
            || candidate->errors > HOT_ERRORS
            || candidate->load > HOT_MEAN_FACTOR * sum / candidates->count
                                     + HOT_MEAN_EXTRA;
    }
}

/* Keeps the cold candidates with the lowest cost, or with a cost that is
   higher by no more than noise explains.  Returns false, and keeps all, when
   all are hot.  */
static bool
keep_cheapest (const struct cp_pick_view *view, struct candidates *candidates)
{
  double band = 1 + MIN_COST_BAND + COST_BAND_NOISE * view->latency_noise;
  bool any_cold = false;
  double best = INFINITY;
  unsigned kept = 0;

  for (unsigned i = 0; i < candidates->count; i++)
    any_cold |= !candidates->list[i].hot;
  if (!any_cold)
    return false;
  for (unsigned i = 0; i < candidates->count; i++)
    if (!candidates->list[i].hot && candidates->list[i].cost_us < best)
      best = candidates->list[i].cost_us;
  for (unsigned i = 0; i < candidates->count; i++)
    if (!candidates->list[i].hot && candidates->list[i].cost_us <= best * band)
      candidates->list[kept++] = candidates->list[i];
  candidates->count = kept;
  return true;
}

/* Returns the key by which candidates are compared, the lowest being the best:
   utilization, less a bonus for the own failure domain that ends before the
   target is full.  At low utilization whole calls are compared, since the
   fraction of an estimate carries no information.  A target that fails calls
   quickly is never full, so its share of failed calls is added.  */
static double
sort_key (const struct candidate *candidate)
{
  double utilization = candidate->utilization;
  double bonus = 0;

  if (utilization < LOW_UTILIZATION)
    utilization = (round (candidate->load) + 1) / candidate->limit;
  if (candidate->same_domain && utilization < SAME_DOMAIN_BONUS_END)
    bonus = SAME_DOMAIN_BONUS * (1 - utilization / SAME_DOMAIN_BONUS_END);
  return utilization + candidate->errors * ERROR_PENALTY - bonus;
}

/* Returns the index of the candidate with the lowest key, a random one among
   equals.  */
static unsigned
least_utilized (const struct cp_pick_view *view,
                const struct candidates *candidates)
{
  const struct candidate *best = &candidates->list[0];
  unsigned first;

  if (candidates->count < 2)
    return best->index;
  first = (unsigned)cp_random_below (view->random, candidates->count);
  best = &candidates->list[first];
  for (unsigned i = 1; i < candidates->count; i++)
    {
      const struct candidate *candidate
          = &candidates->list[(first + i) % candidates->count];

      if (sort_key (candidate) < sort_key (best))
        best = candidate;
    }
  return best->index;
}

static unsigned
pick_hot_cold (void *context, const struct cp_pick_view *view,
               const char **reason)
{
  struct candidates candidates = { .count = 0 };

  (void)context;
  sample_targets (view, &candidates);
  mark_hot (&candidates);
  if (!keep_cheapest (view, &candidates))
    {
      *reason = "all targets hot; least loaded";
      return least_utilized (view, &candidates);
    }
  *reason = candidates.count == 1 ? "fastest cold target"
                                  : "least loaded of the fast cold targets";
  return least_utilized (view, &candidates);
}

const struct cp_picker cp_picker_hot_cold
    = { "hot-cold", pick_hot_cold, NULL };

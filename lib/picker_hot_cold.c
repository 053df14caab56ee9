#include <math.h>

#include "lib/picker.h"

#define SAMPLE_MOST 12
#define HOT_USE 0.9
#define HOT_MEAN_FACTOR 2.0
#define HOT_MEAN_EXTRA 3.0
#define COST_BAND 1.25
#define FAILURE_COST_US 1e6
#define PRESSURE_POWER 4.0
#define NEAR_USE 0.25
#define ERROR_USE 10.0

/* A target as the rule sees it.  */
struct option
{
  unsigned index;
  double use; /* share of the target's limit that is in flight */
  double cost_us;
  double errors; /* share of failed calls */
  bool hot;
  bool near;
};

struct options
{
  struct option list[SAMPLE_MOST];
  unsigned count;
};

static double
limit_of (const struct cp_target_state *state, const struct cp_pick_view *view)
{
  if (state->report_us != 0 && state->report.limit > 0)
    return state->report.limit;
  return view->slots > 0 ? view->slots : 1;
}

static void
assess (struct option *option, const struct cp_pick_view *view, unsigned index)
{
  const struct cp_target_state *state = view->targets[index];
  double load = cp_estimate_load (state, view);
  double latency = cp_estimate_latency_us (state, view);

  option->index = index;
  option->near = state->same_domain;
  option->errors = cp_health_errors (&state->health, view->now_us);
  option->use = (load + 1) / limit_of (state, view);
  option->hot = option->use > HOT_USE
                || load > HOT_MEAN_FACTOR * view->mean_load + HOT_MEAN_EXTRA;
  option->cost_us
      = latency * (1 + pow (option->use, PRESSURE_POWER))
        + (state->same_domain ? 0 : (double)view->remote_us)
        + cp_health_errors (&state->health, view->now_us) * FAILURE_COST_US;
}

/* Lets a target that ramps up take part in only a share of the decisions,
   relative to the one that has ramped up furthest.  */
static bool
takes_part (const struct cp_pick_view *view, unsigned index, double most)
{
  double ramp = cp_health_ramp (&view->targets[index]->health, view->now_us);

  return ramp >= most || cp_random_unit (view->random) * most < ramp;
}

/* Assesses all targets, or a random run of them when there are many.  */
static void
sample (const struct cp_pick_view *view, struct options *options)
{
  unsigned count
      = view->n_targets < SAMPLE_MOST ? view->n_targets : SAMPLE_MOST;
  unsigned indices[SAMPLE_MOST];
  double most = 0;

  for (unsigned i = 0; i < count; i++)
    {
      double ramp;

      indices[i]
          = count == view->n_targets
                ? i
                : (unsigned)cp_random_below (view->random, view->n_targets);
      ramp = cp_health_ramp (&view->targets[indices[i]]->health, view->now_us);
      if (ramp > most)
        most = ramp;
    }
  options->count = 0;
  for (unsigned i = 0; i < count; i++)
    if (takes_part (view, indices[i], most))
      assess (&options->list[options->count++], view, indices[i]);
}

/* Keeps the options that are no hotter and hardly dearer than the best.  */
static bool
keep_best (struct options *options)
{
  bool cold = false;
  double best = INFINITY;
  unsigned kept = 0;

  for (unsigned i = 0; i < options->count; i++)
    cold |= !options->list[i].hot;
  if (!cold)
    return false;
  for (unsigned i = 0; i < options->count; i++)
    if (!options->list[i].hot && options->list[i].cost_us < best)
      best = options->list[i].cost_us;
  for (unsigned i = 0; i < options->count; i++)
    if (!options->list[i].hot && options->list[i].cost_us <= best * COST_BAND)
      options->list[kept++] = options->list[i];
  options->count = kept;
  return true;
}

/* The key by which sampled options are compared: use, with an allowance for
   the near ones that ends before these fill.  A target that fails fast is
   never full; its errors stand in.  */
static double
key_of (const struct option *option)
{
  return option->use + option->errors * ERROR_USE
         - (option->near ? NEAR_USE : 0);
}

static unsigned
least_used (const struct cp_pick_view *view, struct options *options,
            unsigned draws)
{
  const struct option *best = &options->list[0];

  for (unsigned i = 0; i < draws && i < options->count; i++)
    {
      unsigned left = options->count - i;
      unsigned at = i + (unsigned)cp_random_below (view->random, left);
      struct option drawn = options->list[at];

      options->list[at] = options->list[i];
      options->list[i] = drawn;
      if (i == 0 || key_of (&options->list[i]) < key_of (best))
        best = &options->list[i];
    }
  return best->index;
}

static unsigned
pick_hot_cold (void *context, const struct cp_pick_view *view,
               const char **reason)
{
  struct options options;

  (void)context;
  sample (view, &options);
  if (!keep_best (&options))
    {
      *reason = "all are hot; least loaded";
      return least_used (view, &options, options.count);
    }
  *reason = options.count == 1 ? "fastest of the cold"
                               : "least loaded of the fast and cold";
  return least_used (view, &options, options.count / 2 + 1);
}

const struct cp_picker cp_picker_hot_cold
    = { "hot-cold", pick_hot_cold, NULL };

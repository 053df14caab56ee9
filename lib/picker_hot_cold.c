#include <math.h>

#include "lib/picker.h"

/* Targets that one decision assesses.  */
#define SAMPLE_MOST 12

/* A target is hot when more than this share of its limit is in use, ...  */
#define HOT_USE 0.9
/* ... when it has more calls in flight than this multiple of the mean and
   these further calls, ...  */
#define HOT_MEAN_FACTOR 2.0
#define HOT_MEAN_EXTRA 3.0
/* ... or when more than this share of its recent calls failed.  */
#define HOT_ERRORS 0.1

/* Cold targets count as equally fast when their costs differ by less than this
   share, and this multiple of the noise of their latencies.  */
#define COST_BAND_LEAST 0.1
#define COST_BAND_NOISE 1.3

/* Cost of a target all of whose calls fail, in microseconds.  */
#define FAILURE_COST_US 1e6

/* Below this share of its limit a target's load is compared in whole calls. */
#define FREE_USE 0.25

/* Allowance, as a share of the limit, for a target in the own failure domain.
   It falls to 0 at the second share.  */
#define NEAR_USE 0.2
#define NEAR_USE_END 0.9

/* Share of the limit that a target all of whose calls fail seems to use.  */
#define ERROR_USE 10.0

/* A target as the rule sees it.  */
struct option
{
  unsigned index;
  double load;
  double limit;
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
  double use_squared;

  option->index = index;
  option->near = state->same_domain;
  option->errors = cp_health_errors (&state->health, view->now_us);
  option->limit = limit_of (state, view);
  option->use = (load + 1) / option->limit;
  option->load = load;
  use_squared = option->use * option->use;
  option->cost_us
      = latency * (1 + use_squared * use_squared)
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

/* Tells hot from cold: a target is hot when it is nearly full, has many more
   calls in flight than the others, or fails calls, which keeps it idle.  */
static void
set_hot (struct options *options)
{
  double sum = 0;

  for (unsigned i = 0; i < options->count; i++)
    sum += options->list[i].load;
  for (unsigned i = 0; i < options->count; i++)
    {
      struct option *option = &options->list[i];

      option->hot = option->use > HOT_USE || option->errors > HOT_ERRORS
                    || option->load > HOT_MEAN_FACTOR * sum / options->count
                                          + HOT_MEAN_EXTRA;
    }
}

/* Keeps the cold options whose cost is the least, or more by no more than
   noise explains.  Returns false when all are hot.  */
static bool
keep_best (const struct cp_pick_view *view, struct options *options)
{
  double band = 1 + COST_BAND_LEAST + COST_BAND_NOISE * view->latency_noise;
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
    if (!options->list[i].hot && options->list[i].cost_us <= best * band)
      options->list[kept++] = options->list[i];
  options->count = kept;
  return true;
}

/* The key by which options are compared: use, with an allowance for the near
   ones that ends before these fill.  While most slots are free, whole calls
   are compared, since an estimate's fraction is no reason.  A target that
   fails fast is never full; its errors stand in.  */
static double
key_of (const struct option *option)
{
  double use = option->use;
  double near = 0;

  if (use < FREE_USE)
    use = (round (option->load) + 1) / option->limit;
  if (option->near && use < NEAR_USE_END)
    near = NEAR_USE * (1 - use / NEAR_USE_END);
  return use + option->errors * ERROR_USE - near;
}

/* Returns the index of the least used option, a random one among equals.  */
static unsigned
least_used (const struct cp_pick_view *view, const struct options *options)
{
  const struct option *best = &options->list[0];
  unsigned first;

  if (options->count < 2)
    return best->index;
  first = (unsigned)cp_random_below (view->random, options->count);
  best = &options->list[first];
  for (unsigned i = 1; i < options->count; i++)
    {
      const struct option *option
          = &options->list[(first + i) % options->count];

      if (key_of (option) < key_of (best))
        best = option;
    }
  return best->index;
}

static unsigned
pick_hot_cold (void *context, const struct cp_pick_view *view,
               const char **reason)
{
  struct options options = { .count = 0 };

  (void)context;
  sample (view, &options);
  set_hot (&options);
  if (!keep_best (view, &options))
    {
      *reason = "all are hot; least loaded";
      return least_used (view, &options);
    }
  *reason = options.count == 1 ? "fastest of the cold"
                               : "least loaded of the fast and cold";
  return least_used (view, &options);
}

const struct cp_picker cp_picker_hot_cold
    = { "hot-cold", pick_hot_cold, NULL };

#include <string.h>

#include "lib/replay.h"

static const struct
{
  const char *outcome;
  const char *picker;
} baselines[] = { { "p99_of_random", "random" },
                  { "p99_of_round_robin", "round-robin" },
                  { "p99_of_least_in_flight", "least-in-flight" },
                  { "p99_of_two_choices", "two-choices" } };

/* Inputs of the outcomes.  */
struct check_context
{
  const struct cp_trace *trace;
  const struct cp_replay_options *options;
  unsigned seeds;
  const struct cp_replay_result *result;
  struct cp_error *error;
};

/* Replays with PICKER, or with that of the options when NULL.  Returns the p99
   in microseconds, or -1 on error.  */
static double
replay_p99 (const struct check_context *context, const char *picker,
            bool without_faults)
{
  struct cp_replay_options options = *context->options;
  struct cp_replay_result result;
  double p99_us;

  if (picker != NULL)
    options.picker = cp_picker_find (picker);
  options.without_faults = without_faults;
  if (cp_replay_run_seeds (context->trace, &options, context->seeds, &result,
                           context->error)
      != 0)
    return -1;
  p99_us = (double)result.p99_us;
  cp_replay_result_finish (&result);
  return p99_us;
}

static double
ratio (uint64_t part, uint64_t whole)
{
  return whole == 0 ? 0 : (double)part / (double)whole;
}

/* Returns the lower p99 of the two pickers that do not look at load.  */
static double
best_blind_p99 (const struct check_context *context)
{
  double random = replay_p99 (context, "random", false);
  double round_robin = replay_p99 (context, "round-robin", false);

  return random < round_robin ? random : round_robin;
}

/* Computes the outcome NAME.  Returns false when the name is unknown.  */
static bool
measure_outcome (const struct check_context *context, const char *name,
                 double *found)
{
  const struct cp_replay_result *result = context->result;
  double p99_us = (double)result->p99_us;

  for (unsigned i = 0; i < G_N_ELEMENTS (baselines); i++)
    if (strcmp (name, baselines[i].outcome) == 0)
      {
        *found = p99_us / replay_p99 (context, baselines[i].picker, false);
        return true;
      }
  if (strcmp (name, "p99_of_best_blind") == 0)
    *found = p99_us / best_blind_p99 (context);
  else if (strcmp (name, "p99_of_no_fault") == 0)
    *found = p99_us / replay_p99 (context, NULL, true);
  else if (strcmp (name, "failing_first_s") == 0)
    *found = ratio (result->first_s_at_failing, result->first_s_at_all);
  else if (strcmp (name, "failing_after_2s") == 0)
    *found = ratio (result->after_2s_at_failing, result->after_2s_at_all);
  else if (strcmp (name, "leaving_after_3s") == 0)
    *found = (double)result->after_3s_at_leaving;
  else if (strcmp (name, "errors") == 0)
    *found = ratio (result->errors, result->calls);
  else
    return false;
  return true;
}

int
cp_replay_check (const struct cp_trace *trace,
                 const struct cp_replay_options *options, unsigned seeds,
                 const struct cp_replay_result *result,
                 struct cp_replay_finding findings[CP_TRACE_OUTCOMES_MAX],
                 unsigned *count, struct cp_error *error)
{
  const struct check_context context
      = { trace, options, seeds, result, error };

  *count = 0;
  for (unsigned i = 0; i < trace->n_outcomes; i++)
    {
      struct cp_replay_finding *finding = &findings[*count];

      g_strlcpy (finding->name, trace->outcomes[i].name, sizeof finding->name);
      finding->bound = trace->outcomes[i].bound;
      if (!measure_outcome (&context, finding->name, &finding->found))
        return cp_error_set (error, CP_ERROR_TRACE, trace->name,
                             "name an outcome that this version knows",
                             "the outcome \"%s\" is unknown", finding->name);
      finding->holds = finding->found >= 0 && finding->found <= finding->bound;
      (*count)++;
    }
  return 0;
}

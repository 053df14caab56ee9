#include <math.h>
#include <string.h>

#include "lib/picker.h"

/* Outbound sides get nearly the same reports and would all choose the same
   target, so the drift of its load is multiplied by this factor.  */
#define HERD_DRIFT_FACTOR 8
/* Calls in flight count as slow when they exceed the estimated latency by this
   multiple of its noise.  */
#define PENDING_NOISE_FACTOR 2.5
/* Time constant with which a latency approaches the mean of all targets.  */
#define LATENCY_DECAY_US (2.0 * (double)CP_US_PER_S)

const struct cp_picker *const cp_pickers[CP_PICKER_COUNT]
    = { &cp_picker_random, &cp_picker_round_robin, &cp_picker_least_in_flight,
        &cp_picker_two_choices, &cp_picker_hot_cold };

const struct cp_picker *
cp_picker_find (const char *name)
{
  for (unsigned i = 0; i < CP_PICKER_COUNT; i++)
    if (strcmp (cp_pickers[i]->name, name) == 0)
      return cp_pickers[i];
  return NULL;
}

uint64_t
cp_mean_pending_us (const struct cp_target_state *state, uint64_t now_us)
{
  uint64_t sum = 0;

  for (unsigned i = 0; i < state->n_start_times; i++)
    if (now_us > state->start_times_us[i])
      sum += now_us - state->start_times_us[i];
  return state->n_start_times == 0 ? 0 : sum / state->n_start_times;
}

double
cp_estimate_load (const struct cp_target_state *state,
                  const struct cp_pick_view *view)
{
  double own = state->own_in_flight;
  double variance = view->other_calls_variance + 1;
  double age_s;

  if (state->report_us == 0)
    return own + view->mean_other_calls;
  age_s = view->now_us > state->report_us
              ? (double)(view->now_us - state->report_us) / (double)CP_US_PER_S
              : 0;
  return own + view->mean_other_calls
         + (state->other_calls - view->mean_other_calls) * variance
               / (variance + HERD_DRIFT_FACTOR * state->load_drift * age_s);
}

double
cp_decay_latency_us (double latency_us, double mean_us, uint64_t age_us)
{
  return mean_us
         + (latency_us - mean_us) * exp (-(double)age_us / LATENCY_DECAY_US);
}

double
cp_estimate_latency_us (const struct cp_target_state *state,
                        const struct cp_pick_view *view)
{
  double pending = (double)cp_mean_pending_us (state, view->now_us);
  double estimate = view->mean_latency_us;

  if (state->latency_us > 0)
    estimate = cp_decay_latency_us (state->latency_us, view->mean_latency_us,
                                    view->now_us - state->latency_updated_us);
  if (pending > estimate * (1 + PENDING_NOISE_FACTOR * view->latency_noise))
    return pending;
  return estimate;
}

static unsigned
pick_random (void *context, const struct cp_pick_view *view,
             const char **reason)
{
  (void)context;
  *reason = "random";
  return (unsigned)cp_random_below (view->random, view->n_targets);
}

static unsigned
pick_round_robin (void *context, const struct cp_pick_view *view,
                  const char **reason)
{
  (void)context;
  *reason = "next in turn";
  return (unsigned)(view->sequence % view->n_targets);
}

static unsigned
pick_least_in_flight (void *context, const struct cp_pick_view *view,
                      const char **reason)
{
  unsigned first = (unsigned)cp_random_below (view->random, view->n_targets);
  unsigned best = first;

  (void)context;
  *reason = "fewest own calls in flight";
  for (unsigned i = 1; i < view->n_targets; i++)
    {
      unsigned index = (first + i) % view->n_targets;

      if (view->targets[index]->own_in_flight
          < view->targets[best]->own_in_flight)
        best = index;
    }
  return best;
}

/* Returns the calls in flight at a target: those of the last report plus the
   own ones sent since, and at least all own ones in flight.  */
static uint32_t
known_load (const struct cp_target_state *state)
{
  uint32_t reported = state->report.in_flight + state->report.queued
                      + state->sent_since_report;

  if (state->report_us == 0 || reported < state->own_in_flight)
    return state->own_in_flight;
  return reported;
}

static unsigned
pick_two_choices (void *context, const struct cp_pick_view *view,
                  const char **reason)
{
  unsigned first = (unsigned)cp_random_below (view->random, view->n_targets);
  unsigned second = (unsigned)cp_random_below (view->random, view->n_targets);

  (void)context;
  *reason = "less loaded of two";
  if (known_load (view->targets[second]) < known_load (view->targets[first]))
    return second;
  return first;
}

const struct cp_picker cp_picker_random = { "random", pick_random, NULL };
const struct cp_picker cp_picker_round_robin
    = { "round-robin", pick_round_robin, NULL };
const struct cp_picker cp_picker_least_in_flight
    = { "least-in-flight", pick_least_in_flight, NULL };
const struct cp_picker cp_picker_two_choices
    = { "two-choices", pick_two_choices, NULL };

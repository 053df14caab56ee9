#include <math.h>
#include <string.h>

#include "lib/picker.h"

#define LATENCY_FADE_US (2.0 * (double)CP_US_PER_S)

const struct cp_picker *const cp_pickers[CP_PICKERS]
    = { &cp_picker_random, &cp_picker_round_robin, &cp_picker_least_in_flight,
        &cp_picker_two_choices, &cp_picker_hot_cold };

const struct cp_picker *
cp_picker_find (const char *name)
{
  for (unsigned i = 0; i < CP_PICKERS; i++)
    if (strcmp (cp_pickers[i]->name, name) == 0)
      return cp_pickers[i];
  return NULL;
}

uint64_t
cp_pending_us (const struct cp_target_state *state, uint64_t now_us)
{
  uint64_t sum = 0;

  for (unsigned i = 0; i < state->n_started; i++)
    if (now_us > state->started_us[i])
      sum += now_us - state->started_us[i];
  return state->n_started == 0 ? 0 : sum / state->n_started;
}

double
cp_estimate_load (const struct cp_target_state *state,
                  const struct cp_pick_view *view)
{
  double own = state->own_in_flight;
  double sent = state->sent_since_report < state->own_in_flight
                    ? state->sent_since_report
                    : state->own_in_flight;
  double reported = state->report.in_flight + state->report.queued + sent;
  double variance = view->load_variance + 1;
  double age_s;
  double estimate;

  if (state->report_us == 0)
    return own;
  age_s = view->now_us > state->report_us
              ? (double)(view->now_us - state->report_us) / (double)CP_US_PER_S
              : 0;
  estimate = view->mean_load
             + (reported - view->mean_load) * variance
                   / (variance + state->load_drift * age_s);
  return estimate > own ? estimate : own;
}

double
cp_estimate_latency_us (const struct cp_target_state *state,
                        const struct cp_pick_view *view)
{
  double pending = (double)cp_pending_us (state, view->now_us);
  double estimate = view->mean_latency_us;
  double age_us;

  if (state->latency_us > 0)
    {
      age_us = view->now_us > state->latency_at_us
                   ? (double)(view->now_us - state->latency_at_us)
                   : 0;
      estimate += (state->latency_us - view->mean_latency_us)
                  * exp (-age_us / LATENCY_FADE_US);
    }
  return estimate > pending ? estimate : pending;
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
      unsigned at = (first + i) % view->n_targets;

      if (view->targets[at]->own_in_flight
          < view->targets[best]->own_in_flight)
        best = at;
    }
  return best;
}

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

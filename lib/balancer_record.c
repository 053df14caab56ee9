#include <stdio.h>
#include <string.h>

#include "lib/balancer_internal.h"
#include "lib/cleanup.h"

/* Returns the age of a target's last report, UINT64_MAX when there is
   none.  */
static uint64_t
report_age_us (const struct cp_target_state *state, uint64_t now_us)
{
  if (state->report_us == 0)
    return UINT64_MAX;
  return now_us > state->report_us ? now_us - state->report_us : 0;
}

static void
init_record (const struct cp_balancer *balancer,
             const struct cp_target_state *state, enum cp_decision_kind kind,
             struct cp_decision *decision)
{
  memset (decision, 0, sizeof *decision);
  decision->kind = kind;
  decision->time_us = cp_clock_now_us (balancer->clock);
  g_strlcpy (decision->service, balancer->service, sizeof decision->service);
  g_strlcpy (decision->target, state->target.name, sizeof decision->target);
}

static void
emit_record (const struct cp_balancer *balancer, struct cp_decision *decision)
{
  balancer->observer.record (balancer->observer.context, decision);
}

static void
add_candidate (struct cp_decision *decision, const struct cp_pick_view *view,
               const struct cp_target_state *state)
{
  struct cp_candidate *candidate
      = &decision->candidates[decision->n_candidates++];

  g_strlcpy (candidate->target, state->target.name, sizeof candidate->target);
  candidate->report_age_us = report_age_us (state, view->now_us);
  candidate->in_flight = (uint32_t)(cp_estimate_load (state, view) + 0.5);
  candidate->latency_us = (uint64_t)cp_estimate_latency_us (state, view);
  g_strlcpy (candidate->health, cp_health_names.states[state->health.state],
             sizeof candidate->health);
}

void
cp_balancer_record_pick (const struct cp_balancer *balancer,
                         const struct cp_pick_view *view,
                         const struct cp_tried_targets *tried,
                         const struct cp_target_state *chosen,
                         const char *reason)
{
  struct cp_decision decision;

  if (balancer->observer.record == NULL)
    return;
  init_record (balancer, chosen, CP_DECISION_PICK, &decision);
  decision.request = tried->request;
  g_strlcpy (decision.reason, reason, sizeof decision.reason);
  add_candidate (&decision, view, chosen);
  for (unsigned i = 0;
       i < view->n_targets && decision.n_candidates < CP_CANDIDATES_MAX; i++)
    if (view->targets[i] != chosen)
      add_candidate (&decision, view, view->targets[i]);
  emit_record (balancer, &decision);
}

void
cp_balancer_record_report (const struct cp_balancer *balancer,
                           const struct cp_target_state *state)
{
  struct cp_decision decision;

  if (balancer->observer.record == NULL)
    return;
  init_record (balancer, state, CP_DECISION_REPORT, &decision);
  g_strlcpy (decision.reason, cp_daemon_state_names[state->report.life],
             sizeof decision.reason);
  decision.duration_us = state->report.age_us;
  decision.value = state->report.in_flight + state->report.queued;
  emit_record (balancer, &decision);
}

void
cp_balancer_record_health (const struct cp_balancer *balancer,
                           const struct cp_target_state *state,
                           const char *cause)
{
  struct cp_decision decision;

  if (balancer->observer.record == NULL)
    return;
  init_record (balancer, state, CP_DECISION_HEALTH, &decision);
  snprintf (decision.reason, sizeof decision.reason, "%s: %s",
            cp_health_names.states[state->health.state], cause);
  emit_record (balancer, &decision);
}

static json_t *
target_json (const struct cp_target_state *state,
             const struct cp_pick_view *view)
{
  json_t *object = json_pack (
      "{s:s, s:s, s:s, s:I, s:I, s:I, s:f, s:I, s:f, s:f}", "name",
      state->target.name, "failure_domain", state->target.failure_domain,
      "health", cp_health_names.states[state->health.state], "own_in_flight",
      (json_int_t)state->own_in_flight, "in_flight",
      (json_int_t)state->report.in_flight, "queued",
      (json_int_t)state->report.queued, "estimated_load",
      cp_estimate_load (state, view), "own_latency_us",
      (json_int_t)state->own_latency_us, "estimated_latency_us",
      cp_estimate_latency_us (state, view), "error_share",
      cp_health_error_share (&state->health, view->now_us));

  if (state->report_us != 0)
    json_object_set_new (
        object, "report_age_us",
        json_integer ((json_int_t)report_age_us (state, view->now_us)));
  return object;
}

json_t *
cp_balancer_dump (struct cp_balancer *balancer)
{
  json_t *list = json_array ();
  struct cp_pick_view view;

  CP_LOCK_SCOPE (&balancer->lock);
  cp_balancer_view (balancer, NULL, cp_clock_now_us (balancer->clock), &view);
  for (unsigned i = 0; i < balancer->n_targets; i++)
    json_array_append_new (list, target_json (&balancer->targets[i], &view));
  return list;
}

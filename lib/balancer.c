#include <stdlib.h>
#include <string.h>

#include "lib/balancer.h"
#include "lib/cleanup.h"

#define LATENCY_WEIGHT 8

static uint32_t
load_of (const struct cp_target_state *state)
{
  uint32_t reported = state->report.in_flight + state->report.queued
                      + state->sent_since_report;

  if (state->report_us == 0 || reported < state->own_in_flight)
    return state->own_in_flight;
  return reported;
}

static unsigned
pick_two_choices (void *context, const struct cp_pick_view *view)
{
  unsigned first = (unsigned)cp_random_below (view->random, view->n_targets);
  unsigned second = (unsigned)cp_random_below (view->random, view->n_targets);

  (void)context;
  if (load_of (view->targets[second]) < load_of (view->targets[first]))
    return second;
  return first;
}

const struct cp_picker cp_picker_two_choices
    = { "two-choices", pick_two_choices, NULL };

void
cp_balancer_init (struct cp_balancer *balancer, const struct cp_picker *picker,
                  const struct cp_clock *clock, const char *service,
                  const char *failure_domain)
{
  memset (balancer, 0, sizeof *balancer);
  pthread_mutex_init (&balancer->lock, NULL);
  balancer->picker = *picker;
  balancer->clock = clock;
  snprintf (balancer->service, sizeof balancer->service, "%s", service);
  snprintf (balancer->failure_domain, sizeof balancer->failure_domain, "%s",
            failure_domain);
}

void
cp_balancer_finish (struct cp_balancer *balancer)
{
  free (balancer->targets);
  pthread_mutex_destroy (&balancer->lock);
}

static struct cp_target_state *
find_target (struct cp_balancer *balancer, const char *name)
{
  for (unsigned i = 0; i < balancer->n_targets; i++)
    if (strcmp (balancer->targets[i].target.name, name) == 0)
      return &balancer->targets[i];
  return NULL;
}

int
cp_balancer_update (struct cp_balancer *balancer,
                    const struct cp_service *service)
{
  struct cp_target_state *fresh
      = calloc (service->n_targets, sizeof *balancer->targets);

  if (fresh == NULL)
    return -1;
  CP_LOCK_SCOPE (&balancer->lock);
  for (unsigned i = 0; i < service->n_targets; i++)
    {
      const struct cp_target *target = &service->targets[i];
      struct cp_target_state *old = find_target (balancer, target->name);

      if (old != NULL
          && strcmp (old->target.address.text, target->address.text) == 0)
        fresh[i] = *old;
      fresh[i].target = *target;
      fresh[i].same_domain
          = strcmp (target->failure_domain, balancer->failure_domain) == 0;
    }
  free (balancer->targets);
  balancer->targets = fresh;
  balancer->n_targets = service->n_targets;
  return 0;
}

static bool
was_tried (const struct cp_tried *tried, const char *name)
{
  for (unsigned i = 0; i < tried->count; i++)
    if (strcmp (tried->names[i], name) == 0)
      return true;
  return false;
}

bool
cp_balancer_pick (struct cp_balancer *balancer, const struct cp_tried *tried,
                  const struct cp_random *random, struct cp_target *target,
                  uint64_t *incarnation)
{
  struct cp_pick_view view = { .random = random };
  struct cp_target_state *state;
  CP_LOCK_SCOPE (&balancer->lock);
  CP_AUTO_FREE struct cp_target_state **targets
      = calloc (balancer->n_targets + 1, sizeof (struct cp_target_state *));

  if (targets == NULL)
    return false;
  for (unsigned i = 0; i < balancer->n_targets; i++)
    if (!was_tried (tried, balancer->targets[i].target.name))
      targets[view.n_targets++] = &balancer->targets[i];
  if (view.n_targets == 0)
    return false;
  view.targets = targets;
  view.now_us = cp_clock_now_us (balancer->clock);
  state = targets[balancer->picker.pick (balancer->picker.context, &view)];
  state->own_in_flight++;
  state->sent_since_report++;
  *target = state->target;
  *incarnation = state->report_us == 0 ? 0 : state->report.incarnation;
  return true;
}

void
cp_balancer_done (struct cp_balancer *balancer, const char *target,
                  enum cp_call_result result, uint64_t latency_us)
{
  struct cp_target_state *state;

  CP_LOCK_SCOPE (&balancer->lock);
  state = find_target (balancer, target);
  if (state == NULL)
    return;
  if (state->own_in_flight > 0)
    state->own_in_flight--;
  if (result != CP_CALL_ANSWERED)
    return;
  if (state->own_latency_us == 0)
    state->own_latency_us = latency_us;
  state->own_latency_us
      += (latency_us - state->own_latency_us) / LATENCY_WEIGHT;
}

void
cp_balancer_report (struct cp_balancer *balancer, const char *target,
                    const struct cp_report *report)
{
  struct cp_target_state *state;

  CP_LOCK_SCOPE (&balancer->lock);
  state = find_target (balancer, target);
  if (state == NULL)
    return;
  state->report = *report;
  state->report_us = cp_clock_now_us (balancer->clock);
  state->sent_since_report = 0;
}

json_t *
cp_balancer_dump (struct cp_balancer *balancer)
{
  json_t *list = json_array ();

  CP_LOCK_SCOPE (&balancer->lock);
  for (unsigned i = 0; i < balancer->n_targets; i++)
    {
      const struct cp_target_state *state = &balancer->targets[i];

      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:I, s:I, s:I, s:I}", "name",
                           state->target.name, "failure_domain",
                           state->target.failure_domain, "own_in_flight",
                           (json_int_t)state->own_in_flight, "in_flight",
                           (json_int_t)state->report.in_flight, "report_us",
                           (json_int_t)state->report_us, "own_latency_us",
                           (json_int_t)state->own_latency_us));
    }
  return list;
}

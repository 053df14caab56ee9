#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lib/balancer.h"
#include "lib/balancer_internal.h"
#include "lib/cleanup.h"
#include "lib/subset.h"

/* Weights of a new value in moving means: a target's latency, the service's
   latency and its noise, the load that others bring, and its drift.  */
#define LATENCY_WEIGHT 0.25
#define SERVICE_LATENCY_WEIGHT 0.03
#define LOAD_WEIGHT 0.03
#define DRIFT_WEIGHT 0.2

/* A reported latency counts when own calls have said nothing for so long.  */
#define REPORT_LATENCY_WAIT_US (100 * CP_US_PER_MS)

/* Noise of latencies, as a share: before the first call, and the most that one
   call may show.  */
#define NOISE_FIRST 0.5
#define NOISE_MOST 1.0

/* Drift of a target's load, in calls squared per second: before the first
   reports, and the least time between two reports that tell it.  */
#define DRIFT_FIRST 1000.0
#define DRIFT_LEAST_S 0.0005

/* Reports beyond these can not be true.  */
#define LOAD_MOST 1000000
#define AGE_MOST_US (600 * CP_US_PER_S)

/* How often the health of all targets is brought up to date.  */
#define TICK_US (50 * CP_US_PER_MS)

/* A target on probation gets one of so many calls, or one after so long.  */
#define TRIAL_EVERY 250
#define TRIAL_IDLE_US (5 * CP_US_PER_S)

/* A call is silent after this multiple of the mean latency, at least so long.
 */
#define SILENCE_FACTOR 10
#define SILENCE_LEAST_US (100 * CP_US_PER_MS)

void
cp_balancer_init (struct cp_balancer *balancer, const struct cp_picker *picker,
                  const struct cp_chart *chart, const struct cp_clock *clock,
                  const char *service, const char *vm,
                  const char *failure_domain)
{
  memset (balancer, 0, sizeof *balancer);
  balancer->latency_noise = NOISE_FIRST;
  pthread_mutex_init (&balancer->lock, NULL);
  balancer->picker = *picker;
  balancer->chart = chart;
  balancer->clock = clock;
  g_strlcpy (balancer->service, service, sizeof balancer->service);
  g_strlcpy (balancer->vm, vm, sizeof balancer->vm);
  g_strlcpy (balancer->failure_domain, failure_domain,
             sizeof balancer->failure_domain);
  balancer->sequence = g_str_hash (vm);
  balancer->trial_sequence = balancer->sequence;
}

void
cp_balancer_finish (struct cp_balancer *balancer)
{
  free (balancer->targets);
  free (balancer->eligible);
  pthread_mutex_destroy (&balancer->lock);
}

void
cp_balancer_observe (struct cp_balancer *balancer,
                     const struct cp_balancer_observer *observer)
{
  CP_LOCK_SCOPE (&balancer->lock);
  balancer->observer = *observer;
}

static struct cp_target_state *
find_target (struct cp_balancer *balancer, const char *name)
{
  for (unsigned i = 0; i < balancer->n_targets; i++)
    if (strcmp (balancer->targets[i].target.name, name) == 0)
      return &balancer->targets[i];
  return NULL;
}

static unsigned
list_those (struct cp_balancer *balancer,
            bool (*takes_part) (const struct cp_health *health))
{
  unsigned count = 0;

  for (unsigned i = 0; i < balancer->n_targets; i++)
    if (takes_part (&balancer->targets[i].health))
      balancer->eligible[count++] = &balancer->targets[i];
  balancer->n_eligible = count;
  return count;
}

static bool
is_present (const struct cp_health *health)
{
  return health->state != CP_HEALTH_LEAVING && health->state != CP_HEALTH_GONE;
}

static bool
is_not_leaving (const struct cp_health *health)
{
  return health->state != CP_HEALTH_LEAVING;
}

/* Lists the targets that take calls.  When more are bad than may be ejected,
   the fault is the service's and calls are spread over all that are there;
   when none is left, over those that seem gone too.  */
static void
list_eligible (struct cp_balancer *balancer, uint64_t now_us)
{
  unsigned bad = 0;

  for (unsigned i = 0; i < balancer->n_targets; i++)
    bad += cp_health_is_bad (&balancer->targets[i].health, now_us);
  balancer->spread_over_all
      = bad > balancer->eject_most_share * balancer->n_targets;
  if (list_those (balancer, balancer->spread_over_all ? is_present
                                                      : cp_health_takes_calls)
      == 0)
    list_those (balancer, is_not_leaving);
}

/* Returns whether one more target may be ejected.  */
static bool
may_eject (const struct cp_balancer *balancer)
{
  unsigned ejected = 0;

  for (unsigned i = 0; i < balancer->n_targets; i++)
    {
      int state = balancer->targets[i].health.state;

      ejected += state == CP_HEALTH_EJECTED || state == CP_HEALTH_PROBATION;
    }
  return ejected + 1
         <= balancer->eject_most_share * (double)balancer->n_targets;
}

/* Acts on a changed state of health.  */
static void
health_changed (struct cp_balancer *balancer,
                const struct cp_target_state *state, const char *cause)
{
  list_eligible (balancer, cp_clock_now_us (balancer->clock));
  cp_balancer_record_health (balancer, state, cause);
}

static bool
is_silent (const struct cp_balancer *balancer,
           const struct cp_target_state *state, uint64_t now_us)
{
  uint64_t limit = (uint64_t)(SILENCE_FACTOR * balancer->mean_latency_us);

  if (balancer->mean_latency_us <= 0)
    return false;
  return cp_pending_us (state, now_us)
         > (limit > SILENCE_LEAST_US ? limit : SILENCE_LEAST_US);
}

static void
tick (struct cp_balancer *balancer, uint64_t now_us)
{
  if (now_us < balancer->tick_us)
    return;
  balancer->tick_us = now_us + TICK_US;
  for (unsigned i = 0; i < balancer->n_targets; i++)
    {
      struct cp_target_state *state = &balancer->targets[i];

      if (cp_health_tick (&state->health, balancer->chart, now_us))
        health_changed (balancer, state, "time passed");
      if (state->health.state == CP_HEALTH_HEALTHY
          && is_silent (balancer, state, now_us)
          && cp_health_silence (&state->health, balancer->chart, now_us))
        health_changed (balancer, state, "own calls stay unanswered");
    }
  list_eligible (balancer, now_us);
}

/* Fills in what is known of TARGET: that of before, or nothing.  */
static void
take_over (struct cp_balancer *balancer, struct cp_target_state *fresh,
           const struct cp_target *target)
{
  const struct cp_target_state *old = find_target (balancer, target->name);

  if (old != NULL
      && strcmp (old->target.address.text, target->address.text) == 0)
    *fresh = *old;
  else
    {
      cp_health_init (&fresh->health, balancer->chart,
                      cp_clock_now_us (balancer->clock));
      fresh->load_drift = DRIFT_FIRST;
    }
  fresh->target = *target;
  fresh->same_domain
      = strcmp (target->failure_domain, balancer->failure_domain) == 0;
}

int
cp_balancer_update (struct cp_balancer *balancer,
                    const struct cp_service *service, uint64_t remote_us)
{
  unsigned indices[CP_SUBSET_TARGETS];
  unsigned count
      = cp_subset_choose (service, balancer->vm, balancer->failure_domain,
                          CP_SUBSET_TARGETS, indices);
  struct cp_target_state *fresh = calloc (count + 1, sizeof *fresh);
  struct cp_target_state **eligible
      = calloc (count + 1, sizeof (struct cp_target_state *));

  if (fresh == NULL || eligible == NULL)
    {
      free (fresh);
      free (eligible);
      return -1;
    }
  CP_LOCK_SCOPE (&balancer->lock);
  for (unsigned i = 0; i < count; i++)
    take_over (balancer, &fresh[i], &service->targets[indices[i]]);
  free (balancer->targets);
  free (balancer->eligible);
  balancer->targets = fresh;
  balancer->eligible = eligible;
  balancer->n_targets = count;
  balancer->eject_most_share = service->eject_most_share;
  balancer->slots = service->slots;
  balancer->remote_us = remote_us;
  list_eligible (balancer, cp_clock_now_us (balancer->clock));
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

/* Returns a target that waits for a trial call, when one is due.  */
static struct cp_target_state *
due_trial (struct cp_balancer *balancer, const struct cp_tried *tried,
           uint64_t now_us)
{
  if (tried->count > 0
      || (balancer->sequence - balancer->trial_sequence < TRIAL_EVERY
          && now_us - balancer->trial_us < TRIAL_IDLE_US))
    return NULL;
  for (unsigned i = 0; i < balancer->n_targets; i++)
    {
      struct cp_target_state *state
          = &balancer->targets[(balancer->sequence + i) % balancer->n_targets];

      /* One with a daemon beside it is asked by RPC whether it is back.  */
      if (!cp_health_wants_trial (&state->health, now_us)
          || (state->health.state == CP_HEALTH_GONE
              && state->target.has_daemon))
        continue;
      state->health.trial_sent = true;
      balancer->trial_sequence = balancer->sequence;
      balancer->trial_us = now_us;
      return state;
    }
  return NULL;
}

static bool
domain_tried (const struct cp_tried *tried, const char *domain)
{
  for (unsigned i = 0; i < tried->count; i++)
    if (strcmp (tried->domains[i], domain) == 0)
      return true;
  return false;
}

/* Removes the targets that were tried from the list, and those in the same
   failure domains while there are others; when only such take calls, any other
   that has not left will do.  */
static unsigned
list_untried (const struct cp_balancer *balancer, const struct cp_tried *tried,
              struct cp_target_state **list)
{
  unsigned count = 0;

  for (unsigned i = 0; i < balancer->n_eligible; i++)
    if (!was_tried (tried, balancer->eligible[i]->target.name)
        && !domain_tried (tried, balancer->eligible[i]->target.failure_domain))
      list[count++] = balancer->eligible[i];
  for (unsigned i = 0; i < balancer->n_eligible && count == 0; i++)
    if (!was_tried (tried, balancer->eligible[i]->target.name))
      list[count++] = balancer->eligible[i];
  for (unsigned i = 0; i < balancer->n_targets && count == 0; i++)
    if (balancer->targets[i].health.state != CP_HEALTH_LEAVING
        && !was_tried (tried, balancer->targets[i].target.name))
      list[count++] = &balancer->targets[i];
  return count;
}

void
cp_balancer_view (const struct cp_balancer *balancer,
                  const struct cp_random *random, uint64_t now_us,
                  struct cp_pick_view *view)
{
  view->targets = balancer->eligible;
  view->n_targets = balancer->n_eligible;
  view->now_us = now_us;
  view->random = random;
  view->sequence = balancer->sequence;
  view->slots = balancer->slots;
  view->remote_us = balancer->remote_us;
  view->mean_others = balancer->mean_others;
  view->others_variance = balancer->others_variance;
  view->mean_latency_us = balancer->mean_latency_us;
  view->latency_noise = balancer->latency_noise;
}

static void
count_send (struct cp_balancer *balancer, struct cp_target_state *state,
            uint64_t now_us)
{
  state->own_in_flight++;
  state->sent_since_report++;
  if (state->n_started < CP_STARTED_MAX)
    state->started_us[state->n_started++] = now_us;
  balancer->sequence++;
}

bool
cp_balancer_pick (struct cp_balancer *balancer, const struct cp_tried *tried,
                  const struct cp_random *random, struct cp_target *target,
                  uint64_t *incarnation)
{
  uint64_t now_us;
  struct cp_pick_view view;
  struct cp_target_state *state;
  const char *reason = "trial call";
  CP_AUTO_FREE struct cp_target_state **untried = NULL;

  CP_LOCK_SCOPE (&balancer->lock);
  now_us = cp_clock_now_us (balancer->clock);
  tick (balancer, now_us);
  cp_balancer_view (balancer, random, now_us, &view);
  if (tried->count > 0)
    {
      untried = calloc (balancer->n_targets + 1,
                        sizeof (struct cp_target_state *));
      if (untried == NULL)
        return false;
      view.targets = untried;
      view.n_targets = list_untried (balancer, tried, untried);
    }
  state = due_trial (balancer, tried, now_us);
  if (state == NULL && view.n_targets == 0)
    return false;
  if (state == NULL)
    state = view.targets[balancer->picker.pick (balancer->picker.context,
                                                &view, &reason)];
  cp_balancer_record_pick (balancer, &view, tried, state, reason);
  count_send (balancer, state, now_us);
  *target = state->target;
  *incarnation = state->report_us == 0 ? 0 : state->report.incarnation;
  return true;
}

/* Forgets the start of the call in flight that fits best.  */
static void
remove_started (struct cp_target_state *state, uint64_t start_us)
{
  unsigned best = 0;
  uint64_t best_off = UINT64_MAX;

  for (unsigned i = 0; i < state->n_started; i++)
    {
      uint64_t at = state->started_us[i];
      uint64_t off = at > start_us ? at - start_us : start_us - at;

      if (off >= best_off)
        continue;
      best = i;
      best_off = off;
    }
  if (state->n_started > 0)
    state->started_us[best] = state->started_us[--state->n_started];
}

static void
add_latency (const struct cp_balancer *balancer, struct cp_target_state *state,
             double latency_us, uint64_t now_us)
{
  double before = latency_us;

  if (state->latency_us > 0)
    before = cp_fade_latency_us (state->latency_us, balancer->mean_latency_us,
                                 now_us - state->latency_at_us);
  state->latency_us = before + (latency_us - before) * LATENCY_WEIGHT;
  state->latency_at_us = now_us;
}

static void
add_service_latency (struct cp_balancer *balancer,
                     const struct cp_target_state *state, double latency_us)
{
  double off = state->latency_us > 0
                   ? fabs (latency_us / state->latency_us - 1)
                   : balancer->latency_noise;

  /* A target whose latency jumped is no noise.  */
  if (off > NOISE_MOST)
    off = NOISE_MOST;
  balancer->latency_noise
      += (off - balancer->latency_noise) * SERVICE_LATENCY_WEIGHT;
  if (balancer->mean_latency_us <= 0)
    balancer->mean_latency_us = latency_us;
  balancer->mean_latency_us
      += (latency_us - balancer->mean_latency_us) * SERVICE_LATENCY_WEIGHT;
}

static const char *const result_names[]
    = { [CP_CALL_ANSWERED] = "answered",
        [CP_CALL_FAILED] = "failed calls",
        [CP_CALL_REFUSED] = "refused",
        [CP_CALL_NO_CONTACT] = "no connection" };

void
cp_balancer_done (struct cp_balancer *balancer, const char *target,
                  enum cp_call_result result, uint64_t latency_us)
{
  uint64_t now_us;
  struct cp_target_state *state;

  CP_LOCK_SCOPE (&balancer->lock);
  now_us = cp_clock_now_us (balancer->clock);
  state = find_target (balancer, target);
  if (state == NULL)
    return;
  if (state->own_in_flight > 0)
    state->own_in_flight--;
  remove_started (state, now_us > latency_us ? now_us - latency_us : 0);
  if (result == CP_CALL_ANSWERED)
    {
      state->own_latency_us = latency_us;
      add_service_latency (balancer, state, (double)latency_us);
      add_latency (balancer, state, (double)latency_us, now_us);
    }
  else if ((double)latency_us > state->latency_us && state->latency_us > 0)
    {
      /* It gave no answer for so long, which is evidence that it is slow.  */
      add_latency (balancer, state, (double)latency_us, now_us);
    }
  if (cp_health_result (&state->health, balancer->chart, result, now_us,
                        may_eject (balancer)))
    health_changed (balancer, state, result_names[result]);
}

/* Returns whether REPORT can be true and is news of TARGET; counts it when it
   is not.  */
static bool
check_report (struct cp_balancer *balancer,
              const struct cp_target_state *state,
              const struct cp_load_report *report, uint64_t time_us)
{
  if (state == NULL)
    {
      balancer->counts.unknown_target++;
      return false;
    }
  if (report->age_us > AGE_MOST_US || report->in_flight > LOAD_MOST
      || report->queued > LOAD_MOST || report->life >= CP_DAEMON_STATE_COUNT
      || time_us > cp_clock_now_us (balancer->clock))
    {
      balancer->counts.impossible++;
      return false;
    }
  if (state->report_us != 0 && time_us < state->report_us
      && report->incarnation == state->report.incarnation)
    {
      balancer->counts.overtaken++;
      return false;
    }
  return true;
}

static void
add_load (struct cp_balancer *balancer, struct cp_target_state *state,
          const struct cp_load_report *report, uint64_t time_us)
{
  double load = report->in_flight + report->queued;
  double others = load - state->own_in_flight;
  double off;

  state->others = others > 0 ? others : 0;
  off = state->others - balancer->mean_others;
  balancer->mean_others += off * LOAD_WEIGHT;
  balancer->others_variance
      += (off * off - balancer->others_variance) * LOAD_WEIGHT;
  if (state->report_us == 0 || time_us <= state->report_us)
    return;
  off = load - (state->report.in_flight + state->report.queued);
  double gap_s = (double)(time_us - state->report_us) / (double)CP_US_PER_S;
  double drift = off * off / (gap_s < DRIFT_LEAST_S ? DRIFT_LEAST_S : gap_s);
  state->load_drift += (drift - state->load_drift) * DRIFT_WEIGHT;
}

void
cp_balancer_report (struct cp_balancer *balancer, const char *target,
                    const struct cp_load_report *report)
{
  uint64_t now_us;
  uint64_t time_us;
  struct cp_target_state *state;

  CP_LOCK_SCOPE (&balancer->lock);
  now_us = cp_clock_now_us (balancer->clock);
  time_us = now_us > report->age_us ? now_us - report->age_us : 1;
  state = find_target (balancer, target);
  if (!check_report (balancer, state, report, time_us))
    return;
  balancer->counts.taken++;
  add_load (balancer, state, report, time_us);
  state->report = *report;
  state->report_us = time_us;
  state->sent_since_report = 0;
  if (report->latency_us > 0
      && now_us > state->latency_at_us + REPORT_LATENCY_WAIT_US)
    add_latency (balancer, state, (double)report->latency_us, now_us);
  cp_balancer_record_report (balancer, state);
  if (cp_health_life (&state->health, balancer->chart, report->life,
                      report->incarnation, time_us, now_us))
    health_changed (balancer, state, cp_daemon_state_names[report->life]);
}

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lib/balancer.h"
#include "lib/balancer_internal.h"
#include "lib/cleanup.h"
#include "lib/subset.h"

/* Weights of a new value in moving means: of a target's latency; of the
   service's latency and its noise; of the load from other outbound sides; and
   of the load drift.  */
#define TARGET_LATENCY_WEIGHT 0.25
#define SERVICE_LATENCY_WEIGHT 0.03
#define LOAD_WEIGHT 0.03
#define DRIFT_WEIGHT 0.2

/* A reported latency is used only when the target's latency has not been
   updated for this time.  */
#define OWN_LATENCY_MAX_AGE_US (100 * CP_US_PER_MS)

/* Relative noise of latencies: the initial value, and the highest that one
   call may contribute.  */
#define INITIAL_NOISE 0.5
#define MAX_NOISE 1.0

/* Drift of a target's load, in calls squared per second: the initial value,
   and the shortest interval between two reports that is used to compute it; a
   shorter one counts as this long.  */
#define INITIAL_DRIFT 1000.0
#define MIN_DRIFT_INTERVAL_S 0.0005

/* Reports with a higher load or age are invalid.  */
#define MAX_REPORT_LOAD 1000000
#define MAX_REPORT_AGE_US (600 * CP_US_PER_S)

/* Interval between health updates of all targets.  */
#define TICK_INTERVAL_US (50 * CP_US_PER_MS)

/* One call in this many, or one after this time without a trial, is sent as a
   trial call to a target that waits for one.  */
#define TRIAL_INTERVAL_CALLS 250
#define TRIAL_INTERVAL_US (5 * CP_US_PER_S)

/* Own calls are overdue when they have been in flight for this multiple of the
   mean latency on average, and for at least the minimum.  */
#define OVERDUE_FACTOR 10
#define MIN_OVERDUE_US (100 * CP_US_PER_MS)

void
cp_balancer_init (struct cp_balancer *balancer, const struct cp_picker *picker,
                  const struct cp_chart *chart, const struct cp_clock *clock,
                  const char *service, const char *vm,
                  const char *failure_domain)
{
  memset (balancer, 0, sizeof *balancer);
  balancer->latency_noise = INITIAL_NOISE;
  pthread_mutex_init (&balancer->lock, NULL);
  balancer->picker = *picker;
  balancer->chart = chart;
  balancer->clock = clock;
  g_strlcpy (balancer->service, service, sizeof balancer->service);
  g_strlcpy (balancer->vm, vm, sizeof balancer->vm);
  g_strlcpy (balancer->failure_domain, failure_domain,
             sizeof balancer->failure_domain);
  balancer->sequence = g_str_hash (vm);
  balancer->last_trial_sequence = balancer->sequence;
}

void
cp_balancer_finish (struct cp_balancer *balancer)
{
  free (balancer->targets);
  free (balancer->eligible);
  pthread_mutex_destroy (&balancer->lock);
}

void
cp_balancer_set_observer (struct cp_balancer *balancer,
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

/* Makes the targets whose health satisfies MATCHES the eligible ones and
   returns their number.  */
static unsigned
list_matching (struct cp_balancer *balancer,
               bool (*matches) (const struct cp_health *health))
{
  unsigned count = 0;

  for (unsigned i = 0; i < balancer->n_targets; i++)
    if (matches (&balancer->targets[i].health))
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

/* Lists the eligible targets, which are those that take calls.  When more
   targets fail than may be ejected, the fault is taken to be the service's,
   and all targets are eligible but those leaving or gone.  When that leaves
   none, all targets are eligible but those leaving.  */
static void
list_eligible (struct cp_balancer *balancer, uint64_t now_us)
{
  unsigned failing = 0;

  for (unsigned i = 0; i < balancer->n_targets; i++)
    failing += cp_health_is_failing (&balancer->targets[i].health, now_us);
  balancer->spread_over_all
      = failing > balancer->eject_most_share * balancer->n_targets;
  if (list_matching (balancer, balancer->spread_over_all
                                   ? is_present
                                   : cp_health_takes_calls)
      == 0)
    list_matching (balancer, is_not_leaving);
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

/* Updates the eligible targets and records the change after a target's health
   state changed.  */
static void
handle_health_change (struct cp_balancer *balancer,
                      const struct cp_target_state *state, const char *cause)
{
  list_eligible (balancer, cp_clock_now_us (balancer->clock));
  cp_balancer_record_health (balancer, state, cause);
}

/* Returns whether the own calls to a target have been unanswered for too
   long.  */
static bool
has_overdue_calls (const struct cp_balancer *balancer,
                   const struct cp_target_state *state, uint64_t now_us)
{
  uint64_t limit = (uint64_t)(OVERDUE_FACTOR * balancer->mean_latency_us);

  if (balancer->mean_latency_us <= 0)
    return false;
  return cp_mean_pending_us (state, now_us)
         > (limit > MIN_OVERDUE_US ? limit : MIN_OVERDUE_US);
}

/* Updates the health of all targets when an update is due.  */
static void
tick (struct cp_balancer *balancer, uint64_t now_us)
{
  if (now_us < balancer->next_tick_us)
    return;
  balancer->next_tick_us = now_us + TICK_INTERVAL_US;
  for (unsigned i = 0; i < balancer->n_targets; i++)
    {
      struct cp_target_state *state = &balancer->targets[i];

      if (cp_health_tick (&state->health, balancer->chart, now_us))
        handle_health_change (balancer, state, "state time limit reached");
      if (state->health.state == CP_HEALTH_HEALTHY
          && has_overdue_calls (balancer, state, now_us)
          && cp_health_mark_suspect (&state->health, balancer->chart, now_us))
        handle_health_change (balancer, state, "own calls stay unanswered");
    }
  list_eligible (balancer, now_us);
}

/* Initializes the state of TARGET: takes over the old state when the target
   keeps its name and address, else starts a new one.  */
static void
init_target_state (struct cp_balancer *balancer, struct cp_target_state *state,
                   const struct cp_target *target)
{
  const struct cp_target_state *old = find_target (balancer, target->name);

  if (old != NULL
      && strcmp (old->target.address.text, target->address.text) == 0)
    *state = *old;
  else
    {
      cp_health_init (&state->health, balancer->chart,
                      cp_clock_now_us (balancer->clock));
      state->load_drift = INITIAL_DRIFT;
    }
  state->target = *target;
  state->same_domain
      = strcmp (target->failure_domain, balancer->failure_domain) == 0;
}

int
cp_balancer_update (struct cp_balancer *balancer,
                    const struct cp_service *service,
                    uint64_t cross_domain_rtt_us)
{
  unsigned indices[CP_SUBSET_TARGETS];
  unsigned count
      = cp_subset_choose (service, balancer->vm, balancer->failure_domain,
                          CP_SUBSET_TARGETS, indices);
  struct cp_target_state *states = calloc (count + 1, sizeof *states);
  struct cp_target_state **eligible
      = calloc (count + 1, sizeof (struct cp_target_state *));

  if (states == NULL || eligible == NULL)
    {
      free (states);
      free (eligible);
      return -1;
    }
  CP_LOCK_SCOPE (&balancer->lock);
  for (unsigned i = 0; i < count; i++)
    init_target_state (balancer, &states[i], &service->targets[indices[i]]);
  free (balancer->targets);
  free (balancer->eligible);
  balancer->targets = states;
  balancer->eligible = eligible;
  balancer->n_targets = count;
  balancer->eject_most_share = service->eject_most_share;
  balancer->slots = service->slots;
  balancer->cross_domain_rtt_us = cross_domain_rtt_us;
  list_eligible (balancer, cp_clock_now_us (balancer->clock));
  return 0;
}

static bool
was_tried (const struct cp_tried_targets *tried, const char *name)
{
  for (unsigned i = 0; i < tried->count; i++)
    if (strcmp (tried->names[i], name) == 0)
      return true;
  return false;
}

/* Returns a target that waits for a trial call when one is due, else NULL.
   Only first attempts are used as trials.  */
static struct cp_target_state *
find_due_trial (struct cp_balancer *balancer,
                const struct cp_tried_targets *tried, uint64_t now_us)
{
  if (tried->count > 0
      || (balancer->sequence - balancer->last_trial_sequence
              < TRIAL_INTERVAL_CALLS
          && now_us - balancer->last_trial_us < TRIAL_INTERVAL_US))
    return NULL;
  for (unsigned i = 0; i < balancer->n_targets; i++)
    {
      struct cp_target_state *state
          = &balancer->targets[(balancer->sequence + i) % balancer->n_targets];

      /* A gone target with a daemon is queried by RPC instead.  */
      if (!cp_health_wants_trial (&state->health, now_us)
          || (state->health.state == CP_HEALTH_GONE
              && state->target.has_daemon))
        continue;
      state->health.trial_in_flight = true;
      balancer->last_trial_sequence = balancer->sequence;
      balancer->last_trial_us = now_us;
      return state;
    }
  return NULL;
}

static bool
domain_tried (const struct cp_tried_targets *tried, const char *domain)
{
  for (unsigned i = 0; i < tried->count; i++)
    if (strcmp (tried->domains[i], domain) == 0)
      return true;
  return false;
}

/* Fills LIST with the eligible targets that were not tried and are in none of
   the failure domains tried.  When there is none, takes one untried eligible
   target, else one untried target that is not leaving.  Returns the number of
   targets in LIST.  */
static unsigned
list_untried (const struct cp_balancer *balancer,
              const struct cp_tried_targets *tried,
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
  view->cross_domain_rtt_us = balancer->cross_domain_rtt_us;
  view->mean_other_calls = balancer->mean_other_calls;
  view->other_calls_variance = balancer->other_calls_variance;
  view->mean_latency_us = balancer->mean_latency_us;
  view->latency_noise = balancer->latency_noise;
}

static void
count_send (struct cp_balancer *balancer, struct cp_target_state *state,
            uint64_t now_us)
{
  state->own_in_flight++;
  state->sent_since_report++;
  if (state->n_start_times < CP_START_TIMES_MAX)
    state->start_times_us[state->n_start_times++] = now_us;
  balancer->sequence++;
}

bool
cp_balancer_pick (struct cp_balancer *balancer,
                  const struct cp_tried_targets *tried,
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
  state = find_due_trial (balancer, tried, now_us);
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

/* Removes the start time in flight that is closest to START_US.  */
static void
remove_start_time (struct cp_target_state *state, uint64_t start_us)
{
  unsigned best = 0;
  uint64_t smallest_difference = UINT64_MAX;

  for (unsigned i = 0; i < state->n_start_times; i++)
    {
      uint64_t started_us = state->start_times_us[i];
      uint64_t difference = started_us > start_us ? started_us - start_us
                                                  : start_us - started_us;

      if (difference >= smallest_difference)
        continue;
      best = i;
      smallest_difference = difference;
    }
  if (state->n_start_times > 0)
    state->start_times_us[best]
        = state->start_times_us[--state->n_start_times];
}

static void
add_latency (const struct cp_balancer *balancer, struct cp_target_state *state,
             double latency_us, uint64_t now_us)
{
  double previous = latency_us;

  if (state->latency_us > 0)
    previous
        = cp_decay_latency_us (state->latency_us, balancer->mean_latency_us,
                               now_us - state->latency_updated_us);
  state->latency_us
      = previous + (latency_us - previous) * TARGET_LATENCY_WEIGHT;
  state->latency_updated_us = now_us;
}

static void
add_service_latency (struct cp_balancer *balancer,
                     const struct cp_target_state *state, double latency_us)
{
  double deviation = state->latency_us > 0
                         ? fabs (latency_us / state->latency_us - 1)
                         : balancer->latency_noise;

  /* Cap it: a sudden change of latency is not noise.  */
  if (deviation > MAX_NOISE)
    deviation = MAX_NOISE;
  balancer->latency_noise
      += (deviation - balancer->latency_noise) * SERVICE_LATENCY_WEIGHT;
  if (balancer->mean_latency_us <= 0)
    balancer->mean_latency_us = latency_us;
  balancer->mean_latency_us
      += (latency_us - balancer->mean_latency_us) * SERVICE_LATENCY_WEIGHT;
}

static const char *const result_names[]
    = { [CP_CALL_ANSWERED] = "answered",
        [CP_CALL_FAILED] = "failed calls",
        [CP_CALL_REFUSED] = "refused",
        [CP_CALL_NO_CONNECTION] = "no connection" };

void
cp_balancer_end_call (struct cp_balancer *balancer, const char *target,
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
  remove_start_time (state, now_us > latency_us ? now_us - latency_us : 0);
  if (result == CP_CALL_ANSWERED)
    {
      state->own_latency_us = latency_us;
      add_service_latency (balancer, state, (double)latency_us);
      add_latency (balancer, state, (double)latency_us, now_us);
    }
  else if ((double)latency_us > state->latency_us && state->latency_us > 0)
    {
      /* No answer came in LATENCY_US, so the latency is at least that.  */
      add_latency (balancer, state, (double)latency_us, now_us);
    }
  if (cp_health_add_result (&state->health, balancer->chart, result, now_us,
                            may_eject (balancer)))
    handle_health_change (balancer, state, result_names[result]);
}

/* Returns whether REPORT is valid and not older than the last one of the same
   incarnation; counts it when it is not.  */
static bool
check_report (struct cp_balancer *balancer,
              const struct cp_target_state *state,
              const struct cp_load_report *report, uint64_t time_us)
{
  if (state == NULL)
    {
      balancer->report_counts.unknown_target++;
      return false;
    }
  if (report->age_us > MAX_REPORT_AGE_US || report->in_flight > MAX_REPORT_LOAD
      || report->queued > MAX_REPORT_LOAD
      || report->life >= CP_DAEMON_STATE_COUNT
      || time_us > cp_clock_now_us (balancer->clock))
    {
      balancer->report_counts.invalid++;
      return false;
    }
  if (state->report_us != 0 && time_us < state->report_us
      && report->incarnation == state->report.incarnation)
    {
      balancer->report_counts.outdated++;
      return false;
    }
  return true;
}

/* Updates the load of other outbound sides at a target, its mean and variance
   over all targets, and the drift of the target's load from a new report.  */
static void
add_load (struct cp_balancer *balancer, struct cp_target_state *state,
          const struct cp_load_report *report, uint64_t time_us)
{
  double load = report->in_flight + report->queued;
  double other_calls = load - state->own_in_flight;
  double difference;

  state->other_calls = other_calls > 0 ? other_calls : 0;
  difference = state->other_calls - balancer->mean_other_calls;
  balancer->mean_other_calls += difference * LOAD_WEIGHT;
  balancer->other_calls_variance
      += (difference * difference - balancer->other_calls_variance)
         * LOAD_WEIGHT;
  if (state->report_us == 0 || time_us <= state->report_us)
    return;
  difference = load - (state->report.in_flight + state->report.queued);
  double interval_s
      = (double)(time_us - state->report_us) / (double)CP_US_PER_S;
  double drift = difference * difference
                 / (interval_s < MIN_DRIFT_INTERVAL_S ? MIN_DRIFT_INTERVAL_S
                                                      : interval_s);
  state->load_drift += (drift - state->load_drift) * DRIFT_WEIGHT;
}

void
cp_balancer_add_report (struct cp_balancer *balancer, const char *target,
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
  balancer->report_counts.accepted++;
  add_load (balancer, state, report, time_us);
  state->report = *report;
  state->report_us = time_us;
  state->sent_since_report = 0;
  if (report->latency_us > 0
      && now_us > state->latency_updated_us + OWN_LATENCY_MAX_AGE_US)
    add_latency (balancer, state, (double)report->latency_us, now_us);
  cp_balancer_record_report (balancer, state);
  if (cp_health_set_life (&state->health, balancer->chart, report->life,
                          report->incarnation, time_us, now_us))
    handle_health_change (balancer, state,
                          cp_daemon_state_names[report->life]);
}

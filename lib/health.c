#include <math.h>
#include <string.h>

#include "lib/clock.h"
#include "lib/health.h"

/* A cold target's share of its full load rises linearly to 1 within this time
   and starts at this share.  */
#define RAMP_US (2 * CP_US_PER_S)
#define INITIAL_RAMP_SHARE 0.1

/* Length of the first ejection, and of the wait before a gone target is
   contacted again.  It doubles each time up to the maximum.  */
#define INITIAL_BACKOFF_US (2 * CP_US_PER_S)
#define MAX_BACKOFF_US (60 * CP_US_PER_S)

/* A leaving target is taken for gone after this time.  */
#define MAX_LEAVING_US (40 * CP_US_PER_S)

/* Weight of one call in the share of failed calls, the time constant with
   which that share decays, and the value below which it counts as 0.  */
#define ERROR_WEIGHT 0.125
#define ERROR_DECAY_US (5.0 * (double)CP_US_PER_S)
#define MIN_ERROR_SHARE 0.02

/* Share of failed calls for which a refused call or failed connection counts,
   and its time constant.  */
#define REFUSAL_SHARE 0.2
#define REFUSAL_DECAY_US (0.02 * (double)CP_US_PER_S)

/* Consecutive failures that make a target suspect; consecutive failures or the
   share of failed calls that eject it; consecutive failed connections after
   which it is gone; consecutive successes that clear it.  */
#define SUSPECT_FAILURES 2
#define EJECT_FAILURES 5
#define EJECT_ERROR_SHARE 0.5
#define GONE_CONNECT_FAILURES 2
#define CLEAR_SUCCESSES 3

/* A report may be up to this much newer than the one of leaving and still have
   been sent before it.  */
#define REPORT_REORDER_US (1 * CP_US_PER_S)

static const char *const state_names[CP_HEALTH_STATE_COUNT] = {
  "cold", "healthy", "suspect", "ejected", "probation", "leaving", "gone"
};

static const char *const event_names[CP_HEALTH_EVENT_COUNT]
    = { "ramped",    "eject", "suspect", "clear",
        "probation", "leave", "vanish",  "return" };

const struct cp_chart_names cp_health_names
    = { state_names, CP_HEALTH_STATE_COUNT, event_names,
        CP_HEALTH_EVENT_COUNT };

/* Returns when the current state, entered at NOW_US, ends by timeout.  */
static uint64_t
state_end_us (const struct cp_health *health, uint64_t now_us)
{
  switch (health->state)
    {
    case CP_HEALTH_COLD:
      return now_us + RAMP_US;
    case CP_HEALTH_EJECTED:
    case CP_HEALTH_GONE:
      return now_us + health->backoff_us;
    case CP_HEALTH_LEAVING:
      return now_us + MAX_LEAVING_US;
    default:
      return UINT64_MAX;
    }
}

/* Applies EVENT.  Returns whether the state changed.  */
static bool
apply_event (struct cp_health *health, const struct cp_chart *chart,
             enum cp_health_event event, uint64_t now_us)
{
  int before = health->state;

  if (!cp_chart_step (chart, &health->state, (int)event)
      || health->state == before)
    return false;
  health->since_us = now_us;
  health->until_us = state_end_us (health, now_us);
  health->trial_in_flight = false;
  health->successes = 0;
  if (health->state == CP_HEALTH_EJECTED || health->state == CP_HEALTH_GONE)
    {
      health->backoff_us *= 2;
      if (health->backoff_us > MAX_BACKOFF_US)
        health->backoff_us = MAX_BACKOFF_US;
    }
  return true;
}

void
cp_health_init (struct cp_health *health, const struct cp_chart *chart,
                uint64_t now_us)
{
  memset (health, 0, sizeof *health);
  health->state = chart->initial;
  health->since_us = now_us;
  health->backoff_us = INITIAL_BACKOFF_US;
  health->until_us = state_end_us (health, now_us);
  health->error_share_updated_us = now_us;
}

static double
age_us (uint64_t time_us, uint64_t now_us)
{
  return now_us > time_us ? (double)(now_us - time_us) : 0;
}

double
cp_health_error_share (const struct cp_health *health, uint64_t now_us)
{
  double share = health->error_share
                 * exp (-age_us (health->error_share_updated_us, now_us)
                        / ERROR_DECAY_US);

  if (health->last_refusal_us != 0)
    share += REFUSAL_SHARE
             * exp (-age_us (health->last_refusal_us, now_us)
                    / REFUSAL_DECAY_US);
  if (share < MIN_ERROR_SHARE)
    return 0;
  return share < 1 ? share : 1;
}

static void
add_error (struct cp_health *health, bool failed, uint64_t now_us)
{
  double share = health->error_share
                 * exp (-age_us (health->error_share_updated_us, now_us)
                        / ERROR_DECAY_US);

  share += ((failed ? 1 : 0) - share) * ERROR_WEIGHT;
  health->error_share = share;
  health->error_share_updated_us = now_us;
}

static bool
add_success (struct cp_health *health, const struct cp_chart *chart,
             uint64_t now_us)
{
  health->failures = 0;
  health->connect_failures = 0;
  health->successes++;
  add_error (health, false, now_us);
  if (health->state == CP_HEALTH_GONE)
    return apply_event (health, chart, CP_HEALTH_RETURN, now_us);
  if (health->successes < CLEAR_SUCCESSES)
    return false;
  if (health->state == CP_HEALTH_HEALTHY)
    health->backoff_us = INITIAL_BACKOFF_US;
  if (health->state == CP_HEALTH_PROBATION)
    health->error_share = 0;
  return apply_event (health, chart, CP_HEALTH_CLEAR, now_us);
}

bool
cp_health_is_failing (const struct cp_health *health, uint64_t now_us)
{
  if (health->state == CP_HEALTH_EJECTED
      || health->state == CP_HEALTH_PROBATION)
    return true;
  return cp_health_takes_calls (health)
         && (health->failures >= EJECT_FAILURES
             || cp_health_error_share (health, now_us) >= EJECT_ERROR_SHARE);
}

static bool
add_failure (struct cp_health *health, const struct cp_chart *chart,
             uint64_t now_us, bool may_eject)
{
  bool failing;

  health->failures++;
  health->successes = 0;
  add_error (health, true, now_us);
  failing = health->failures >= EJECT_FAILURES
            || health->error_share >= EJECT_ERROR_SHARE
            || health->state == CP_HEALTH_PROBATION;
  if (failing && may_eject
      && apply_event (health, chart, CP_HEALTH_EJECT, now_us))
    return true;
  if (health->failures < SUSPECT_FAILURES)
    return false;
  return apply_event (health, chart, CP_HEALTH_TO_SUSPECT, now_us);
}

static bool
add_connect_failure (struct cp_health *health, const struct cp_chart *chart,
                     uint64_t now_us)
{
  health->connect_failures++;
  health->successes = 0;
  health->last_refusal_us = now_us;
  if (health->state == CP_HEALTH_GONE)
    {
      health->until_us = now_us + health->backoff_us;
      health->backoff_us = health->backoff_us * 2 < MAX_BACKOFF_US
                               ? health->backoff_us * 2
                               : MAX_BACKOFF_US;
      return false;
    }
  if (health->connect_failures < GONE_CONNECT_FAILURES)
    return apply_event (health, chart, CP_HEALTH_TO_SUSPECT, now_us);
  return apply_event (health, chart, CP_HEALTH_VANISH, now_us);
}

bool
cp_health_add_result (struct cp_health *health, const struct cp_chart *chart,
                      enum cp_call_result result, uint64_t now_us,
                      bool may_eject)
{
  health->trial_in_flight = false;
  switch (result)
    {
    case CP_CALL_ANSWERED:
      return add_success (health, chart, now_us);
    case CP_CALL_FAILED:
      return add_failure (health, chart, now_us, may_eject);
    case CP_CALL_NO_CONNECTION:
      return add_connect_failure (health, chart, now_us);
    case CP_CALL_REFUSED:
      health->last_refusal_us = now_us;
      break;
    }
  return false;
}

bool
cp_health_set_life (struct cp_health *health, const struct cp_chart *chart,
                    enum cp_daemon_state life, uint64_t incarnation,
                    uint64_t report_us, uint64_t now_us)
{
  if (life == CP_DAEMON_DRAINING || life == CP_DAEMON_GONE)
    {
      health->leaving_report_us = report_us;
      health->leaving_incarnation = incarnation;
      return apply_event (health, chart, CP_HEALTH_LEAVE, now_us);
    }
  /* A report of serving that arrives after the report of leaving, although it
     was sent before, must not bring the target back.  */
  if (health->state == CP_HEALTH_LEAVING
      && incarnation == health->leaving_incarnation
      && report_us < health->leaving_report_us + REPORT_REORDER_US)
    return false;
  if (life != CP_DAEMON_SERVING
      || (health->state != CP_HEALTH_LEAVING
          && health->state != CP_HEALTH_GONE))
    return false;
  return apply_event (health, chart, CP_HEALTH_RETURN, now_us);
}

bool
cp_health_mark_suspect (struct cp_health *health, const struct cp_chart *chart,
                        uint64_t now_us)
{
  return apply_event (health, chart, CP_HEALTH_TO_SUSPECT, now_us);
}

bool
cp_health_tick (struct cp_health *health, const struct cp_chart *chart,
                uint64_t now_us)
{
  if (now_us < health->until_us)
    return false;
  switch (health->state)
    {
    case CP_HEALTH_COLD:
      return apply_event (health, chart, CP_HEALTH_RAMPED, now_us);
    case CP_HEALTH_EJECTED:
      return apply_event (health, chart, CP_HEALTH_TO_PROBATION, now_us);
    case CP_HEALTH_LEAVING:
      return apply_event (health, chart, CP_HEALTH_VANISH, now_us);
    default:
      return false;
    }
}

bool
cp_health_takes_calls (const struct cp_health *health)
{
  return health->state == CP_HEALTH_COLD || health->state == CP_HEALTH_HEALTHY
         || health->state == CP_HEALTH_SUSPECT;
}

bool
cp_health_wants_trial (const struct cp_health *health, uint64_t now_us)
{
  if (health->trial_in_flight)
    return false;
  return health->state == CP_HEALTH_PROBATION
         || (health->state == CP_HEALTH_GONE && now_us >= health->until_us);
}

double
cp_health_ramp_share (const struct cp_health *health, uint64_t now_us)
{
  double share;

  if (health->state != CP_HEALTH_COLD)
    return 1;
  share = (double)(now_us - health->since_us) / (double)RAMP_US;
  if (share < INITIAL_RAMP_SHARE)
    return INITIAL_RAMP_SHARE;
  return share < 1 ? share : 1;
}

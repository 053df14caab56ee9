#include <math.h>
#include <string.h>

#include "lib/clock.h"
#include "lib/health.h"

/* A cold target's share of calls rises from the first share to its whole one
   within this time.  */
#define RAMP_US (2 * CP_US_PER_S)
#define RAMP_FIRST_SHARE 0.1

/* Time that an ejected target gets no calls; it doubles up to the second.  */
#define BACKOFF_FIRST_US (2 * CP_US_PER_S)
#define BACKOFF_MOST_US (60 * CP_US_PER_S)

/* A target that leaves counts as gone after this time.  */
#define LEAVING_MOST_US (40 * CP_US_PER_S)

/* Weight of a call in the share of errors, which fades with this time constant
   and counts as none below the floor.  */
#define ERROR_WEIGHT 0.125
#define ERROR_FADE_US (5.0 * (double)CP_US_PER_S)
#define ERROR_FLOOR 0.02

/* A refusal counts as this share of errors, which fades likewise.  */
#define REFUSED_SHARE 0.2
#define REFUSED_FADE_US (0.02 * (double)CP_US_PER_S)

/* Failures in a row, or a share of errors, that make a target suspect or
   ejected; missed contacts in a row that make it gone; successes in a row that
   clear it.  */
#define DOUBT_FAILURES 2
#define EJECT_FAILURES 5
#define EJECT_ERROR_SHARE 0.5
#define VANISH_NO_CONTACTS 2
#define CLEAR_SUCCESSES 3

/* Within this time a report may be older than the one that it follows.  */
#define LIFE_ORDER_US (1 * CP_US_PER_S)

static const char *const state_names[CP_HEALTH_STATE_COUNT] = {
  "cold", "healthy", "suspect", "ejected", "probation", "leaving", "gone"
};

static const char *const event_names[CP_HEALTH_EVENT_COUNT]
    = { "ramped",    "eject", "suspect", "clear",
        "probation", "leave", "vanish",  "return" };

const struct cp_chart_names cp_health_names
    = { state_names, CP_HEALTH_STATE_COUNT, event_names,
        CP_HEALTH_EVENT_COUNT };

static uint64_t
state_end (const struct cp_health *health, uint64_t now_us)
{
  switch (health->state)
    {
    case CP_HEALTH_COLD:
      return now_us + RAMP_US;
    case CP_HEALTH_EJECTED:
    case CP_HEALTH_GONE:
      return now_us + health->backoff_us;
    case CP_HEALTH_LEAVING:
      return now_us + LEAVING_MOST_US;
    default:
      return UINT64_MAX;
    }
}

static bool
step (struct cp_health *health, const struct cp_chart *chart,
      enum cp_health_event event, uint64_t now_us)
{
  int before = health->state;

  if (!cp_chart_step (chart, &health->state, (int)event)
      || health->state == before)
    return false;
  health->since_us = now_us;
  health->until_us = state_end (health, now_us);
  health->trial_sent = false;
  health->successes = 0;
  if (health->state == CP_HEALTH_EJECTED || health->state == CP_HEALTH_GONE)
    {
      health->backoff_us *= 2;
      if (health->backoff_us > BACKOFF_MOST_US)
        health->backoff_us = BACKOFF_MOST_US;
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
  health->backoff_us = BACKOFF_FIRST_US;
  health->until_us = state_end (health, now_us);
  health->error_us = now_us;
}

static double
age_us (uint64_t time_us, uint64_t now_us)
{
  return now_us > time_us ? (double)(now_us - time_us) : 0;
}

double
cp_health_errors (const struct cp_health *health, uint64_t now_us)
{
  double share = health->error_share
                 * exp (-age_us (health->error_us, now_us) / ERROR_FADE_US);

  if (health->refused_us != 0)
    share += REFUSED_SHARE
             * exp (-age_us (health->refused_us, now_us) / REFUSED_FADE_US);
  if (share < ERROR_FLOOR)
    return 0;
  return share < 1 ? share : 1;
}

static void
add_error (struct cp_health *health, bool failed, uint64_t now_us)
{
  double share = health->error_share
                 * exp (-age_us (health->error_us, now_us) / ERROR_FADE_US);

  share += ((failed ? 1 : 0) - share) * ERROR_WEIGHT;
  health->error_share = share;
  health->error_us = now_us;
}

static bool
take_success (struct cp_health *health, const struct cp_chart *chart,
              uint64_t now_us)
{
  health->failures = 0;
  health->no_contacts = 0;
  health->successes++;
  add_error (health, false, now_us);
  if (health->state == CP_HEALTH_GONE)
    return step (health, chart, CP_HEALTH_RETURN, now_us);
  if (health->successes < CLEAR_SUCCESSES)
    return false;
  if (health->state == CP_HEALTH_HEALTHY)
    health->backoff_us = BACKOFF_FIRST_US;
  if (health->state == CP_HEALTH_PROBATION)
    health->error_share = 0;
  return step (health, chart, CP_HEALTH_CLEAR, now_us);
}

bool
cp_health_is_bad (const struct cp_health *health, uint64_t now_us)
{
  if (health->state == CP_HEALTH_EJECTED
      || health->state == CP_HEALTH_PROBATION)
    return true;
  return cp_health_takes_calls (health)
         && (health->failures >= EJECT_FAILURES
             || cp_health_errors (health, now_us) >= EJECT_ERROR_SHARE);
}

static bool
take_failure (struct cp_health *health, const struct cp_chart *chart,
              uint64_t now_us, bool may_eject)
{
  bool bad;

  health->failures++;
  health->successes = 0;
  add_error (health, true, now_us);
  bad = health->failures >= EJECT_FAILURES
        || health->error_share >= EJECT_ERROR_SHARE
        || health->state == CP_HEALTH_PROBATION;
  if (bad && may_eject && step (health, chart, CP_HEALTH_EJECT, now_us))
    return true;
  if (health->failures < DOUBT_FAILURES)
    return false;
  return step (health, chart, CP_HEALTH_DOUBT, now_us);
}

static bool
take_no_contact (struct cp_health *health, const struct cp_chart *chart,
                 uint64_t now_us)
{
  health->no_contacts++;
  health->successes = 0;
  health->refused_us = now_us;
  if (health->state == CP_HEALTH_GONE)
    {
      health->until_us = now_us + health->backoff_us;
      health->backoff_us = health->backoff_us * 2 < BACKOFF_MOST_US
                               ? health->backoff_us * 2
                               : BACKOFF_MOST_US;
      return false;
    }
  if (health->no_contacts < VANISH_NO_CONTACTS)
    return step (health, chart, CP_HEALTH_DOUBT, now_us);
  return step (health, chart, CP_HEALTH_VANISH, now_us);
}

bool
cp_health_result (struct cp_health *health, const struct cp_chart *chart,
                  enum cp_call_result result, uint64_t now_us, bool may_eject)
{
  health->trial_sent = false;
  switch (result)
    {
    case CP_CALL_ANSWERED:
      return take_success (health, chart, now_us);
    case CP_CALL_FAILED:
      return take_failure (health, chart, now_us, may_eject);
    case CP_CALL_NO_CONTACT:
      return take_no_contact (health, chart, now_us);
    case CP_CALL_REFUSED:
      health->refused_us = now_us;
      break;
    }
  return false;
}

bool
cp_health_life (struct cp_health *health, const struct cp_chart *chart,
                enum cp_daemon_state life, uint64_t incarnation,
                uint64_t report_us, uint64_t now_us)
{
  if (life == CP_DAEMON_DRAINING || life == CP_DAEMON_GONE)
    {
      health->life_us = report_us;
      health->incarnation = incarnation;
      return step (health, chart, CP_HEALTH_LEAVE, now_us);
    }
  /* A report that was overtaken by the one that said it leaves must not bring
     the target back.  */
  if (health->state == CP_HEALTH_LEAVING && incarnation == health->incarnation
      && report_us < health->life_us + LIFE_ORDER_US)
    return false;
  if (life != CP_DAEMON_SERVING
      || (health->state != CP_HEALTH_LEAVING
          && health->state != CP_HEALTH_GONE))
    return false;
  return step (health, chart, CP_HEALTH_RETURN, now_us);
}

bool
cp_health_silence (struct cp_health *health, const struct cp_chart *chart,
                   uint64_t now_us)
{
  return step (health, chart, CP_HEALTH_DOUBT, now_us);
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
      return step (health, chart, CP_HEALTH_RAMPED, now_us);
    case CP_HEALTH_EJECTED:
      return step (health, chart, CP_HEALTH_TO_PROBATION, now_us);
    case CP_HEALTH_LEAVING:
      return step (health, chart, CP_HEALTH_VANISH, now_us);
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
  if (health->trial_sent)
    return false;
  return health->state == CP_HEALTH_PROBATION
         || (health->state == CP_HEALTH_GONE && now_us >= health->until_us);
}

double
cp_health_ramp (const struct cp_health *health, uint64_t now_us)
{
  double share;

  if (health->state != CP_HEALTH_COLD)
    return 1;
  share = (double)(now_us - health->since_us) / (double)RAMP_US;
  if (share < RAMP_FIRST_SHARE)
    return RAMP_FIRST_SHARE;
  return share < 1 ? share : 1;
}

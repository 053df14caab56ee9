/* Health of one target as seen by one outbound side.

   The state follows charts/target.json.  Failed calls make a target suspect
   and then ejected; an ejected target returns through probation, in which it
   gets single trial calls, and then ramps up like a cold one.  Refused
   connections show that a target is gone; a call that stays unanswered only
   makes it suspect.  A report that its daemon is draining or gone makes it
   leaving at once.

   Source: the outlier detection of Envoy (consecutive errors, ejection time
   that grows with each ejection, bounded share of ejected hosts).  */
#ifndef CP_HEALTH_H
#define CP_HEALTH_H

#include <stdbool.h>
#include <stdint.h>

#include "lib/chart.h"
#include "lib/daemon_state.h"

enum cp_health_state
{
  CP_HEALTH_COLD,
  CP_HEALTH_HEALTHY,
  CP_HEALTH_SUSPECT,
  CP_HEALTH_EJECTED,
  CP_HEALTH_PROBATION,
  CP_HEALTH_LEAVING,
  CP_HEALTH_GONE,
  CP_HEALTH_STATE_COUNT
};

enum cp_health_event
{
  CP_HEALTH_RAMPED,
  CP_HEALTH_EJECT,
  CP_HEALTH_TO_SUSPECT,
  CP_HEALTH_CLEAR,
  CP_HEALTH_TO_PROBATION,
  CP_HEALTH_LEAVE,
  CP_HEALTH_VANISH,
  CP_HEALTH_RETURN,
  CP_HEALTH_EVENT_COUNT
};

/* The states and events of charts/target.json.  */
extern const struct cp_chart_names cp_health_names;

/* How a call at a target ended.  */
enum cp_call_result
{
  CP_CALL_ANSWERED,     /* status below 500 */
  CP_CALL_FAILED,       /* an error answer, or one that was cut off */
  CP_CALL_REFUSED,      /* refused by the inbound side; did not run */
  CP_CALL_NO_CONNECTION /* no connection was established */
};

struct cp_health
{
  int state;
  uint64_t since_us;   /* when the state was entered */
  uint64_t until_us;   /* when it ends by timeout; UINT64_MAX: never */
  uint64_t backoff_us; /* length of the next ejection or wait when gone */
  uint64_t leaving_report_us; /* time of the last report that it is leaving */
  uint64_t leaving_incarnation; /* incarnation of that report; 0: none */
  unsigned failures;            /* in a row */
  unsigned connect_failures;    /* in a row */
  unsigned successes;           /* in a row */
  bool trial_in_flight;
  double error_share;              /* moving mean of failed calls */
  uint64_t error_share_updated_us; /* when ERROR_SHARE was updated */
  uint64_t last_refusal_us;        /* last refusal or failed connection */
};

/* Initializes HEALTH in the chart's initial state.  */
void cp_health_init (struct cp_health *health, const struct cp_chart *chart,
                     uint64_t now_us);

/* Adds the result of a call.  MAY_EJECT tells whether the service's bound
   allows one more ejected target.  Returns whether the state changed.  */
bool cp_health_add_result (struct cp_health *health,
                           const struct cp_chart *chart,
                           enum cp_call_result result, uint64_t now_us,
                           bool may_eject);

/* Applies the daemon's life cycle state LIFE from a report made at REPORT_US.
   A daemon that is starting or warming refuses calls only for a moment and is
   not leaving.  Returns whether the state changed.  */
bool cp_health_set_life (struct cp_health *health,
                         const struct cp_chart *chart,
                         enum cp_daemon_state life, uint64_t incarnation,
                         uint64_t report_us, uint64_t now_us);

/* Makes the target suspect because calls have been unanswered for too long.
   Returns whether the state changed.  */
bool cp_health_mark_suspect (struct cp_health *health,
                             const struct cp_chart *chart, uint64_t now_us);

/* Makes the state change that is due by timeout.  Returns whether the state
   changed.  */
bool cp_health_tick (struct cp_health *health, const struct cp_chart *chart,
                     uint64_t now_us);

/* Returns whether the target takes calls other than trial calls.  */
bool cp_health_takes_calls (const struct cp_health *health);

/* Returns whether the target waits for a trial call.  */
bool cp_health_wants_trial (const struct cp_health *health, uint64_t now_us);

/* Returns the share of its full load that a target may have while it ramps up,
   above 0 and at most 1.  */
double cp_health_ramp_share (const struct cp_health *health, uint64_t now_us);

/* Returns whether the target is ejected or on probation, or would be ejected
   if the service's bound allowed it.  */
bool cp_health_is_failing (const struct cp_health *health, uint64_t now_us);

/* Returns the share of failed calls, discounted by its age, 0 when it is
   small.  A refused call or failed connection raises it for a short time.  */
double cp_health_error_share (const struct cp_health *health, uint64_t now_us);

#endif

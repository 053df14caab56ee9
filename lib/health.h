/* Health of one target as one outbound side sees it.

   charts/target.json drives the state.  Calls that failed make a target
   suspect and then ejected; an ejected one returns through probation, in
   which it gets single trial calls, and then ramps up like a cold one.  A
   connection that was refused is evidence that the target is gone; a call
   that stays unanswered is only grounds for suspicion.  A report that its
   daemon is not serving makes it leaving at once.

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
  CP_HEALTH_DOUBT,
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
  CP_CALL_ANSWERED,  /* status below 500 */
  CP_CALL_FAILED,    /* the target answered with an error, or cut its answer */
  CP_CALL_REFUSED,   /* the inbound side refused; nothing ran */
  CP_CALL_NO_CONTACT /* no connection */
};

struct cp_health
{
  int state;
  uint64_t since_us;    /* when the state was entered */
  uint64_t until_us;    /* when it ends by itself; UINT64_MAX: never */
  uint64_t backoff_us;  /* length of the next ejection */
  uint64_t life_us;     /* time of the last report about its life */
  uint64_t incarnation; /* that left; 0 for none */
  unsigned failures;    /* in a row */
  unsigned no_contacts; /* in a row */
  unsigned successes;   /* in a row */
  bool trial_sent;      /* a trial call is in flight */
  double error_share;   /* moving mean at ERROR_US */
  uint64_t error_us;
  uint64_t refused_us; /* when it last refused or could not be reached */
};

/* Starts in the chart's initial state.  */
void cp_health_init (struct cp_health *health, const struct cp_chart *chart,
                     uint64_t now_us);

/* Takes the result of a call.  MAY_EJECT tells whether the service's bound
   leaves room for one more ejected target.  Returns whether the state
   changed.  */
bool cp_health_result (struct cp_health *health, const struct cp_chart *chart,
                       enum cp_call_result result, uint64_t now_us,
                       bool may_eject);

/* Takes what a report of time REPORT_US says of the daemon's life.  One that
   starts only refuses for a moment and is not leaving.  Returns whether the
   state changed.  */
bool cp_health_life (struct cp_health *health, const struct cp_chart *chart,
                     enum cp_daemon_state life, uint64_t incarnation,
                     uint64_t report_us, uint64_t now_us);

/* Takes that a call has stayed unanswered for long.  Returns whether the
   state changed.  */
bool cp_health_silence (struct cp_health *health, const struct cp_chart *chart,
                        uint64_t now_us);

/* Makes the steps that time brings.  Returns whether the state changed.  */
bool cp_health_tick (struct cp_health *health, const struct cp_chart *chart,
                     uint64_t now_us);

/* Returns whether the target takes ordinary calls.  */
bool cp_health_takes_calls (const struct cp_health *health);

/* Returns whether the target waits for a trial call.  */
bool cp_health_wants_trial (const struct cp_health *health, uint64_t now_us);

/* Returns the share of its full load that a target which ramps up may have,
   above 0 and at most 1.  */
double cp_health_ramp (const struct cp_health *health, uint64_t now_us);

/* Returns whether the target's calls failed so that it is, or would be but for
   the service's bound, ejected.  */
bool cp_health_is_bad (const struct cp_health *health, uint64_t now_us);

/* Returns the share of failed calls, discounted by its age, 0 when it is
   small; a refusal or a missing connection counts for a moment.  */
double cp_health_errors (const struct cp_health *health, uint64_t now_us);

#endif

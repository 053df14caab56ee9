/* Register of attempts at an inbound side.

   Each attempt is entered before the target sees it and is remembered until
   its deadline and a margin have passed.  The chart charts/attempt.json says
   which steps there are.  A fence for an attempt that has not started is
   remembered, so that the attempt is refused when it arrives later.  */
#ifndef CP_REGISTER_H
#define CP_REGISTER_H

#include <pthread.h>

#include "lib/chart.h"
#include "lib/clock.h"
#include "lib/id.h"

enum cp_attempt_state
{
  CP_ATTEMPT_UNKNOWN,
  CP_ATTEMPT_QUEUED,
  CP_ATTEMPT_STARTED,
  CP_ATTEMPT_ANSWERED,
  CP_ATTEMPT_FAILED,
  CP_ATTEMPT_CANCELLED,
  CP_ATTEMPT_FENCED,
  CP_ATTEMPT_STATE_COUNT
};

enum cp_attempt_event
{
  CP_ATTEMPT_ARRIVE,
  CP_ATTEMPT_START,
  CP_ATTEMPT_ANSWER,
  CP_ATTEMPT_FAIL,
  CP_ATTEMPT_CANCEL,
  CP_ATTEMPT_REFUSE,
  CP_ATTEMPT_FENCE,
  CP_ATTEMPT_EVENT_COUNT
};

extern const struct cp_chart_names cp_attempt_names;

struct cp_register
{
  pthread_mutex_t lock;
  const struct cp_clock *clock;
  const struct cp_chart *chart;
  GHashTable *entries;
  unsigned capacity;
  uint64_t next_sweep_us;
};

enum cp_register_result
{
  CP_REGISTER_DONE,    /* the step was made */
  CP_REGISTER_NO_STEP, /* the attempt is in a state without this step */
  CP_REGISTER_FULL     /* no room for a new attempt */
};

void cp_register_init (struct cp_register *attempts,
                       const struct cp_clock *clock,
                       const struct cp_chart *chart, unsigned capacity);
void cp_register_finish (struct cp_register *attempts);

/* Moves the attempt ID by EVENT.  An attempt not known counts as
   CP_ATTEMPT_UNKNOWN and is entered; it is kept until KEEP_UNTIL_US at
   least.  *STATE is the state after the call.  */
enum cp_register_result cp_register_step (struct cp_register *attempts,
                                          const struct cp_id *id,
                                          enum cp_attempt_event event,
                                          uint64_t keep_until_us,
                                          enum cp_attempt_state *state);

unsigned cp_register_count (struct cp_register *attempts);

#endif

/* State charts, read from JSON files and interpreted.

   A chart file has the keys "name", "initial", "final" (a list of states) and
   "states", which maps each state to {"on": {EVENT: NEXT-STATE}}.  The code
   that drives a chart names its states and events in tables; loading checks
   that the file and the tables agree, that every next state exists and that
   every state can be reached.  */
#ifndef CP_CHART_H
#define CP_CHART_H

#include <stdbool.h>

#include "lib/error.h"

#define CP_CHART_STATES_MAX 16
#define CP_CHART_EVENTS_MAX 24
#define CP_CHART_NO_TRANSITION (-1)

/* The names that the code uses: a state's or event's number is its index.  */
struct cp_chart_names
{
  const char *const *states;
  unsigned n_states;
  const char *const *events;
  unsigned n_events;
};

struct cp_chart
{
  char name[32];
  struct cp_chart_names names;
  int initial;
  bool final[CP_CHART_STATES_MAX];
  signed char next[CP_CHART_STATES_MAX][CP_CHART_EVENTS_MAX];
};

/* Reads the chart at PATH.  Returns 0, or -1 with ERROR set.  */
int cp_chart_load (struct cp_chart *chart, const char *path,
                   const struct cp_chart_names *names, struct cp_error *error);

/* Moves *STATE by EVENT.  Returns false, and leaves *STATE, when the chart
   has no such step.  */
bool cp_chart_step (const struct cp_chart *chart, int *state, int event);

#endif

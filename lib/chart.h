/* State charts, read from JSON files and interpreted.

   A chart file has the keys "name", "initial", "final" (a list of states) and
   "states", which maps each state to {"on": {EVENT: NEXT-STATE}}.  The code
   that uses a chart passes tables of its state and event names; loading checks
   that the file has exactly these states and no other events, that every next
   state exists, that every state is reachable and that every state that is not
   final has a transition.  */
#ifndef CP_CHART_H
#define CP_CHART_H

#include <stdbool.h>

#include "lib/error.h"

#define CP_CHART_STATES_MAX 16
#define CP_CHART_EVENTS_MAX 24
#define CP_CHART_NO_TRANSITION (-1)

/* State and event names; the index of a name is the number that the code
   uses.  */
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

/* Applies EVENT to *STATE.  Returns false and leaves *STATE unchanged when the
   chart has no such transition.  */
bool cp_chart_step (const struct cp_chart *chart, int *state, int event);

#endif

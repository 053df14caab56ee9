#include <string.h>

#include "lib/chart.h"
#include "lib/cleanup.h"

static int
find_name (const char *const *names, unsigned count, const char *name)
{
  for (unsigned i = 0; i < count; i++)
    if (strcmp (names[i], name) == 0)
      return (int)i;
  return -1;
}

static int
state_index (const struct cp_chart *chart, const char *name)
{
  if (name == NULL)
    return -1;
  return find_name (chart->names.states, chart->names.n_states, name);
}

static int
load_events (struct cp_chart *chart, const char *path, int state, json_t *on,
             struct cp_error *error)
{
  const char *event_name;
  json_t *target;

  json_object_foreach (on, event_name, target)
  {
    int event
        = find_name (chart->names.events, chart->names.n_events, event_name);
    int next = state_index (chart, json_string_value (target));

    if (event < 0)
      return cp_error_set (error, CP_ERROR_CHART, path,
                           "use an event that the program knows",
                           "unknown event \"%s\"", event_name);
    if (next < 0)
      return cp_error_set (error, CP_ERROR_CHART, path,
                           "name a state of the chart as next state",
                           "event \"%s\" leads to an unknown state",
                           event_name);
    chart->next[state][event] = (signed char)next;
  }
  return 0;
}

static int
load_states (struct cp_chart *chart, const char *path, json_t *states,
             struct cp_error *error)
{
  const char *name;
  json_t *body;

  if (json_object_size (states) != chart->names.n_states)
    return cp_error_set (error, CP_ERROR_CHART, path,
                         "list each state that the program knows once",
                         "\"states\" has %zu states, %u are expected",
                         json_object_size (states), chart->names.n_states);
  json_object_foreach (states, name, body)
  {
    int state = state_index (chart, name);

    if (state < 0)
      return cp_error_set (error, CP_ERROR_CHART, path,
                           "use a state that the program knows",
                           "unknown state \"%s\"", name);
    if (load_events (chart, path, state, json_object_get (body, "on"), error)
        != 0)
      return -1;
  }
  return 0;
}

static int
load_final (struct cp_chart *chart, const char *path, json_t *final,
            struct cp_error *error)
{
  size_t i;
  json_t *name;

  json_array_foreach (final, i, name)
  {
    int state = state_index (chart, json_string_value (name));

    if (state < 0)
      return cp_error_set (error, CP_ERROR_CHART, path,
                           "list states of the chart under \"final\"",
                           "entry %zu of \"final\" is not a state", i);
    chart->final[state] = true;
  }
  return 0;
}

static void
mark_reachable (const struct cp_chart *chart, int state, bool *reached)
{
  if (reached[state])
    return;
  reached[state] = true;
  for (unsigned event = 0; event < chart->names.n_events; event++)
    if (chart->next[state][event] != CP_CHART_NO_TRANSITION)
      mark_reachable (chart, chart->next[state][event], reached);
}

/* Checks that each state is reachable and that each state that is not final
   has a transition.  */
static int
check_reachable (const struct cp_chart *chart, const char *path,
                 struct cp_error *error)
{
  bool reached[CP_CHART_STATES_MAX] = { false };

  mark_reachable (chart, chart->initial, reached);
  for (unsigned state = 0; state < chart->names.n_states; state++)
    {
      bool has_exit = false;

      for (unsigned event = 0; event < chart->names.n_events; event++)
        has_exit
            = has_exit || chart->next[state][event] != CP_CHART_NO_TRANSITION;
      if (!reached[state])
        return cp_error_set (
            error, CP_ERROR_CHART, path, "add an event that leads there",
            "state \"%s\" can not be reached", chart->names.states[state]);
      if (!has_exit && !chart->final[state])
        return cp_error_set (error, CP_ERROR_CHART, path,
                             "add an event, or list it under \"final\"",
                             "state \"%s\" can not be left",
                             chart->names.states[state]);
    }
  return 0;
}

int
cp_chart_load (struct cp_chart *chart, const char *path,
               const struct cp_chart_names *names, struct cp_error *error)
{
  json_error_t fault;
  CP_AUTO_JSON json_t *root
      = json_load_file (path, JSON_REJECT_DUPLICATES, &fault);
  const char *name = json_string_value (json_object_get (root, "name"));

  memset (chart, 0, sizeof *chart);
  memset (chart->next, CP_CHART_NO_TRANSITION, sizeof chart->next);
  chart->names = *names;
  if (root == NULL)
    return cp_error_set (error, CP_ERROR_CHART, path,
                         "restore the chart file of this version",
                         "line %d: %s", fault.line, fault.text);
  if (names->n_states > CP_CHART_STATES_MAX
      || names->n_events > CP_CHART_EVENTS_MAX)
    return cp_error_set (error, CP_ERROR_CHART, path,
                         "raise CP_CHART_STATES_MAX or CP_CHART_EVENTS_MAX",
                         "too many states or events");
  chart->initial = state_index (
      chart, json_string_value (json_object_get (root, "initial")));
  if (name == NULL || chart->initial < 0)
    return cp_error_set (error, CP_ERROR_CHART, path,
                         "set \"name\", and \"initial\" to a state",
                         "\"name\" or \"initial\" is missing or unknown");
  snprintf (chart->name, sizeof chart->name, "%s", name);
  if (load_states (chart, path, json_object_get (root, "states"), error) != 0)
    return -1;
  if (load_final (chart, path, json_object_get (root, "final"), error) != 0)
    return -1;
  return check_reachable (chart, path, error);
}

bool
cp_chart_step (const struct cp_chart *chart, int *state, int event)
{
  int next = chart->next[*state][event];

  if (next == CP_CHART_NO_TRANSITION)
    return false;
  *state = next;
  return true;
}

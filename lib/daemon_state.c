#include <string.h>

#include "lib/daemon_state.h"

const char *const cp_daemon_state_names[CP_DAEMON_STATE_COUNT]
    = { "starting", "warming", "serving", "draining", "gone" };

const char *const cp_daemon_event_names[CP_DAEMON_EVENT_COUNT]
    = { "listening", "configured", "drain", "stop" };

enum cp_daemon_state
cp_daemon_state_parse (const char *name)
{
  for (unsigned i = 0; i < CP_DAEMON_STATE_COUNT; i++)
    if (strcmp (cp_daemon_state_names[i], name) == 0)
      return (enum cp_daemon_state)i;
  return CP_DAEMON_GONE;
}

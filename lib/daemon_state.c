#include <string.h>

#include "lib/daemon_state.h"

const char *const cp_life_names[CP_LIFE_COUNT]
    = { "starting", "warming", "serving", "draining", "gone" };

const char *const cp_life_event_names[CP_LIFE_EVENT_COUNT]
    = { "listening", "configured", "drain", "stop" };

enum cp_life
cp_life_parse (const char *name)
{
  for (unsigned i = 0; i < CP_LIFE_COUNT; i++)
    if (strcmp (cp_life_names[i], name) == 0)
      return (enum cp_life)i;
  return CP_LIFE_GONE;
}

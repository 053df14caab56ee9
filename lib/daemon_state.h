/* The life of a daemon, as others see it.  */
#ifndef CP_LIFE_H
#define CP_LIFE_H

enum cp_life
{
  CP_LIFE_STARTING,
  CP_LIFE_WARMING,
  CP_LIFE_SERVING,
  CP_LIFE_DRAINING,
  CP_LIFE_GONE,
  CP_LIFE_COUNT
};

enum cp_life_event
{
  CP_LIFE_LISTENING,
  CP_LIFE_CONFIGURED,
  CP_LIFE_DRAIN,
  CP_LIFE_STOP,
  CP_LIFE_EVENT_COUNT
};

extern const char *const cp_life_names[CP_LIFE_COUNT];
extern const char *const cp_life_event_names[CP_LIFE_EVENT_COUNT];

/* Returns CP_LIFE_GONE when NAME is no state.  */
enum cp_life cp_life_parse (const char *name);

#endif

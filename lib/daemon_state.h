/* Lifecycle states of a daemon, as published to other daemons and to
   operators.  */
#ifndef CP_DAEMON_STATE_H
#define CP_DAEMON_STATE_H

enum cp_daemon_state
{
  CP_DAEMON_STARTING,
  CP_DAEMON_WARMING,
  CP_DAEMON_SERVING,
  CP_DAEMON_DRAINING,
  CP_DAEMON_GONE,
  CP_DAEMON_STATE_COUNT
};

enum cp_daemon_event
{
  CP_DAEMON_LISTENING,
  CP_DAEMON_CONFIGURED,
  CP_DAEMON_DRAIN,
  CP_DAEMON_STOP,
  CP_DAEMON_EVENT_COUNT
};

extern const char *const cp_daemon_state_names[CP_DAEMON_STATE_COUNT];
extern const char *const cp_daemon_event_names[CP_DAEMON_EVENT_COUNT];

/* Returns CP_DAEMON_GONE when NAME is not a state name.  */
enum cp_daemon_state cp_daemon_state_parse (const char *name);

#endif

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

#define HEARTBEAT_INTERVAL_US (100 * CP_US_PER_MS)

/* When the heartbeat is older than this, the process was paused.  */
#define PAUSE_THRESHOLD_US CP_US_PER_S

/* Longest time that a call waits for the document to be verified.  */
#define USABLE_WAIT_US CP_US_PER_S

static uint64_t
since_heartbeat_us (struct configuration *configuration)
{
  uint64_t now = cp_clock_now_us (configuration->daemon->clock);
  uint64_t heartbeat
      = __atomic_load_n (&configuration->heartbeat_us, __ATOMIC_ACQUIRE);

  return now > heartbeat ? now - heartbeat : 0;
}

static void
handle_pause (struct configuration *configuration, uint64_t late_us)
{
  struct daemon *daemon = configuration->daemon;
  struct cp_decision decision
      = { .kind = CP_DECISION_PAUSE, .duration_us = late_us };

  daemon_count (daemon, COUNT_PAUSES);
  daemon_record (daemon, &decision);
  cp_log (CP_LOG_WARNING, CP_PART_CONFIGURATION,
          "This process was paused for %" G_GUINT64_FORMAT " ms.",
          late_us / CP_US_PER_MS);
  pthread_mutex_lock (&configuration->watch.lock);
  configuration_step (configuration, CONFIGURATION_PAUSE);
  pthread_mutex_unlock (&configuration->watch.lock);
  spread_schedule_verify (&daemon->spread);
}

/* Stores the time of each run and handles a pause when the last run is too
   long ago.  The state is changed before the time is stored, so that a call
   always sees either the old time or the state "unverified".  */
void *
configuration_heartbeat (void *context)
{
  struct configuration *configuration = context;
  const struct cp_clock *clock = configuration->daemon->clock;
  struct worker *heartbeat = &configuration->heartbeat;
  bool go_on = true;

  while (go_on)
    {
      uint64_t late_us = since_heartbeat_us (configuration);

      if (late_us > PAUSE_THRESHOLD_US)
        handle_pause (configuration, late_us);
      __atomic_store_n (&configuration->heartbeat_us, cp_clock_now_us (clock),
                        __ATOMIC_RELEASE);
      pthread_mutex_lock (&heartbeat->lock);
      go_on = worker_wait (heartbeat,
                           cp_clock_now_us (clock) + HEARTBEAT_INTERVAL_US);
      pthread_mutex_unlock (&heartbeat->lock);
    }
  return NULL;
}

static bool
is_usable (struct configuration *configuration)
{
  return configuration_state (configuration) == CONFIGURATION_CURRENT
         && since_heartbeat_us (configuration) <= PAUSE_THRESHOLD_US;
}

bool
configuration_usable (struct configuration *configuration)
{
  const struct cp_clock *clock = configuration->daemon->clock;
  uint64_t until;
  bool go_on = true;

  if (is_usable (configuration))
    return true;
  until = cp_clock_now_us (clock) + USABLE_WAIT_US;
  CP_LOCK_SCOPE (&configuration->watch.lock);
  while (go_on && !is_usable (configuration)
         && cp_clock_now_us (clock) < until)
    go_on = worker_wait (
        &configuration->watch,
        MIN (until, cp_clock_now_us (clock) + HEARTBEAT_INTERVAL_US));
  return is_usable (configuration);
}

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

#define ADMIN_THREADS 4
#define IDLE_POLL_US 2000
/* Time limit of a drain when the document has none.  */
#define DRAIN_LIMIT_DEFAULT_US (30 * CP_US_PER_S)
/* At the start of a drain, new calls are answered with "not-run" for this
   time before connections are refused, so that kept-alive connections close
   after an answer.  */
#define DRAIN_NOTICE_US (500 * CP_US_PER_MS)
/* Time for calls that the drain limit cut off to be fenced and answered.  */
#define DRAIN_CUT_US (2 * CP_US_PER_S)
/* The drain ends when nothing was in flight or unread for this time.  A thread
   takes less from reading a request to counting it as in flight.  */
#define DRAIN_QUIET_US (50 * CP_US_PER_MS)

static int
load_life_chart (struct daemon *daemon, struct cp_error *error)
{
  static const struct cp_chart_names names
      = { cp_daemon_state_names, CP_DAEMON_STATE_COUNT, cp_daemon_event_names,
          CP_DAEMON_EVENT_COUNT };
  char path[320];

  snprintf (path, sizeof path, "%s/daemon.json", daemon->settings.charts);
  if (cp_chart_load (&daemon->life_chart, path, &names, error) != 0)
    return -1;
  daemon->life = daemon->life_chart.initial;
  return 0;
}

enum cp_daemon_state
daemon_life (struct daemon *daemon)
{
  return (enum cp_daemon_state)__atomic_load_n (&daemon->life,
                                                __ATOMIC_ACQUIRE);
}

bool
daemon_step (struct daemon *daemon, enum cp_daemon_event event)
{
  int life;

  CP_LOCK_SCOPE (&daemon->life_lock);
  life = daemon->life;
  if (!cp_chart_step (&daemon->life_chart, &life, (int)event))
    return false;
  if (life != daemon->life)
    cp_log (CP_LOG_INFO, CP_PART_DAEMON, "%s is %s.", daemon->settings.vm,
            cp_daemon_state_names[life]);
  __atomic_store_n (&daemon->life, life, __ATOMIC_RELEASE);
  return true;
}

static int
start_listener (struct daemon *daemon, struct listener *listener,
                void (*handle) (void *, struct request *), void *context,
                const struct cp_address *address, unsigned threads,
                struct cp_error *error)
{
  listener->clock = daemon->clock;
  listener->counters = &daemon->counters;
  listener->bad_requests = COUNT_BAD_REQUESTS;
  listener->handle = handle;
  listener->context = context;
  return listener_start (listener, address, threads, error);
}

static int
start_parts (struct daemon *daemon, struct cp_error *error)
{
  const struct cp_settings *settings = &daemon->settings;

  if (load_life_chart (daemon, error) != 0)
    return -1;
  measure_init (&daemon->measure, daemon);
  policies_init (&daemon->policies, daemon->clock);
  if (configuration_init (&daemon->configuration, daemon, error) != 0)
    return -1;
  members_init (&daemon->members, daemon);
  spread_init (&daemon->spread, daemon);
  spread_rpc_init (daemon);
  if (inbound_init (&daemon->inbound, daemon, error) != 0)
    return -1;
  if (outbound_init (&daemon->outbound, daemon, error) != 0)
    return -1;
  if (start_listener (daemon, &daemon->admin, admin_handle, daemon,
                      &settings->admin, ADMIN_THREADS, error)
          != 0
      || start_listener (daemon, &daemon->peers, inbound_handle,
                         &daemon->inbound, &settings->peers_listen,
                         settings->peer_threads, error)
             != 0
      || start_listener (daemon, &daemon->calls, outbound_handle,
                         &daemon->outbound, &settings->calls,
                         settings->call_threads, error)
             != 0
      || rpc_start (&daemon->rpc, daemon, error) != 0)
    return -1;
  daemon_step (daemon, CP_DAEMON_LISTENING);
  if (members_start (&daemon->members, error) != 0
      || measure_start (&daemon->measure, error) != 0
      || spread_start (&daemon->spread, error) != 0)
    return -1;
  return configuration_start (&daemon->configuration, error);
}

int
daemon_start (struct daemon *daemon, const struct cp_settings *settings,
              struct cp_error *error)
{
  memset (daemon, 0, sizeof *daemon);
  daemon->settings = *settings;
  daemon->clock = &cp_clock_boot;
  daemon->started_us = cp_clock_now_us (daemon->clock);
  daemon->incarnation
      = cp_random_thread ()->next (cp_random_thread ()->context) | 1;
  pthread_mutex_init (&daemon->life_lock, NULL);
  if (cp_counters_init (&daemon->counters, COUNT_END) != 0
      || cp_decisions_init (&daemon->decisions) != 0)
    return cp_error_set (error, CP_ERROR_MEMORY, settings->vm, "free memory",
                         "no memory for counters and decisions");
  if (upstream_pool_init (&daemon->upstreams, daemon->clock, &settings->peers)
      != 0)
    return cp_error_set (error, CP_ERROR_LIMIT, settings->vm,
                         "raise the limit of open files",
                         "no descriptors left");
  return start_parts (daemon, error);
}

void
daemon_drain (struct daemon *daemon)
{
  uint64_t now = cp_clock_now_us (daemon->clock);

  if (daemon_step (daemon, CP_DAEMON_DRAIN))
    __atomic_store_n (&daemon->drain_started_us, now, __ATOMIC_RELEASE);
  listener_disable_keep_alive (&daemon->calls);
  listener_disable_keep_alive (&daemon->peers);
  spread_schedule_push (&daemon->spread);
}

static bool
is_idle (struct daemon *daemon)
{
  return __atomic_load_n (&daemon->outbound.in_flight, __ATOMIC_ACQUIRE) == 0
         && __atomic_load_n (&daemon->inbound.in_flight, __ATOMIC_ACQUIRE)
                == 0;
}

static bool
wait_idle_until (struct daemon *daemon, uint64_t limit_us)
{
  while (!is_idle (daemon))
    {
      if (cp_clock_now_us (daemon->clock) >= limit_us)
        return false;
      usleep (IDLE_POLL_US);
    }
  return true;
}

/* Waits until nothing was in flight or unread for DRAIN_QUIET_US, at most
   until LIMIT_US.  */
static void
wait_quiet_until (struct daemon *daemon, uint64_t limit_us)
{
  uint64_t now = cp_clock_now_us (daemon->clock);
  uint64_t busy_us = now;

  while (now < limit_us && now - busy_us < DRAIN_QUIET_US)
    {
      if (!is_idle (daemon) || listener_has_unread (&daemon->calls)
          || listener_has_unread (&daemon->peers))
        busy_us = now;
      usleep (IDLE_POLL_US);
      now = cp_clock_now_us (daemon->clock);
    }
}

/* Returns the time limit of the drain: the longest of all services.  */
static uint64_t
drain_limit_us (struct daemon *daemon)
{
  struct cp_document *document = configuration_get (&daemon->configuration);
  uint64_t limit_us = 0;

  if (document == NULL)
    return DRAIN_LIMIT_DEFAULT_US;
  for (unsigned i = 0; i < document->n_services; i++)
    if (document->services[i].drain_finish_us > limit_us)
      limit_us = document->services[i].drain_finish_us;
  cp_document_unref (document);
  return limit_us == 0 ? DRAIN_LIMIT_DEFAULT_US : limit_us;
}

bool
daemon_wait_idle (struct daemon *daemon)
{
  uint64_t start_us = cp_clock_now_us (daemon->clock);
  bool idle;

  usleep (DRAIN_NOTICE_US);
  idle = wait_idle_until (daemon, start_us + drain_limit_us (daemon));
  if (!idle)
    {
      upstream_pool_abort (&daemon->upstreams);
      wait_idle_until (daemon, cp_clock_now_us (daemon->clock) + DRAIN_CUT_US);
    }
  listener_stop_accepting (&daemon->calls);
  listener_stop_accepting (&daemon->peers);
  wait_quiet_until (daemon, cp_clock_now_us (daemon->clock) + DRAIN_CUT_US);
  return idle;
}

static void *
stop_listener (void *listener)
{
  listener_stop (listener);
  return NULL;
}

/* Stops both listeners in parallel, since each takes up to 2 s.  */
static void
stop_listeners (struct daemon *daemon)
{
  pthread_t thread;
  bool started
      = pthread_create (&thread, NULL, stop_listener, &daemon->peers) == 0;

  listener_stop (&daemon->calls);
  if (started)
    pthread_join (thread, NULL);
  listener_stop (&daemon->peers);
}

void
daemon_stop (struct daemon *daemon)
{
  stop_listeners (daemon);
  upstream_pool_stop (&daemon->upstreams);
  measure_stop (&daemon->measure);
  spread_stop (&daemon->spread);
  members_stop (&daemon->members);
  rpc_stop (&daemon->rpc);
  configuration_stop (&daemon->configuration);
  daemon_step (daemon, CP_DAEMON_STOP);
  listener_stop (&daemon->admin);
  outbound_finish (&daemon->outbound);
  inbound_finish (&daemon->inbound);
  policies_finish (&daemon->policies);
  members_finish (&daemon->members);
  upstream_pool_finish (&daemon->upstreams);
  cp_counters_finish (&daemon->counters);
  cp_decisions_finish (&daemon->decisions);
  pthread_mutex_destroy (&daemon->life_lock);
}

void
daemon_record (struct daemon *daemon, struct cp_decision *decision)
{
  decision->time_us = cp_clock_now_us (daemon->clock);
  cp_decisions_add (&daemon->decisions, decision);
}

/* Returns the state of the ring buffer of decision records.  */
static json_t *
decisions_dump (struct daemon *daemon)
{
  uint64_t oldest_us = cp_decisions_oldest_us (&daemon->decisions);
  uint64_t now = cp_clock_now_us (daemon->clock);

  return json_pack ("{s:i, s:I, s:I}", "capacity", CP_DECISIONS_MAX, "added",
                    (json_int_t)cp_decisions_added (&daemon->decisions),
                    "oldest_age_us",
                    (json_int_t)(oldest_us == 0 ? 0 : now - oldest_us));
}

/* Returns the addresses of the listeners and of the platform.  */
static json_t *
addresses_dump (const struct cp_settings *settings)
{
  return json_pack ("{s:s, s:s, s:s, s:s, s:s}", "calls", settings->calls.text,
                    "peers", settings->peers.text, "admin",
                    settings->admin.text, "configuration_service",
                    settings->configuration_service.text, "vm_list",
                    settings->vm_list.text);
}

json_t *
daemon_dump (struct daemon *daemon)
{
  char incarnation[20];
  json_t *dump;

  snprintf (incarnation, sizeof incarnation, "%016" PRIx64,
            daemon->incarnation);
  dump = json_pack ("{s:s, s:s, s:s, s:s, s:s}", "vm", daemon->settings.vm,
                    "failure_domain", daemon->settings.failure_domain,
                    "version", CORNELPICK_VERSION, "incarnation", incarnation,
                    "life", cp_daemon_state_names[daemon_life (daemon)]);
  json_object_set_new (
      dump, "uptime_us",
      json_integer (
          (json_int_t)(cp_clock_now_us (daemon->clock) - daemon->started_us)));
  json_object_set_new (dump, "addresses", addresses_dump (&daemon->settings));
  json_object_set_new (dump, "decisions", decisions_dump (daemon));
  json_object_set_new (dump, "pauses",
                       json_integer ((json_int_t)cp_counters_read (
                           &daemon->counters, COUNT_PAUSES)));
  json_object_set_new (dump, "configuration",
                       configuration_dump (&daemon->configuration));
  json_object_set_new (dump, "members", members_dump (&daemon->members));
  json_object_set_new (dump, "outbound", outbound_dump (&daemon->outbound));
  json_object_set_new (dump, "inbound", inbound_dump (&daemon->inbound));
  json_object_set_new (dump, "policies", policies_dump (&daemon->policies));
  json_object_set_new (dump, "measuring", measure_dump (&daemon->measure));
  json_object_set_new (dump, "connections",
                       upstream_dump (&daemon->upstreams));
  return dump;
}

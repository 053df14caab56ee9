/* The daemon's state machine, signal handlers, and the readiness and metrics
   endpoints.  */
#include <string.h>

#include "meshd/daemon_internal.h"
#include "meshd/log.h"
#include "platform/headers.h"

#define TICK_MS 200

/* Interval of the steps of a shutdown.  */
#define SHUTDOWN_TICK_MS 50

/* How long after the peers were told jobs of theirs are still started, which
   they sent before.  */
#define ANNOUNCEMENT_US UINT64_C (200000)

static const char *const state_names[MESH_STATE_COUNT]
    = { "starting", "warming", "serving", "draining", "gone" };
static const char *const event_names[MESH_EVENT_COUNT]
    = { "listening", "configured", "drain", "stop" };

const struct cp_chart_names mesh_daemon_chart
    = { state_names, MESH_STATE_COUNT, event_names, MESH_EVENT_COUNT };

static const int signal_numbers[3] = { SIGTERM, SIGINT, SIGHUP };

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

void
mesh_daemon_handle_event (struct mesh_daemon *daemon, enum mesh_event event)
{
  int before = daemon->state;

  if (!cp_chart_step (&daemon->chart, &daemon->state, event)
      || before == daemon->state)
    return;
  if (mesh_log_allowed (MESH_LOG_STATE))
    mesh_log (MESH_LOG_STATE, "\"from\":\"%s\",\"to\":\"%s\"",
              state_names[before], state_names[daemon->state]);
}

static void
on_ready_request (void *context, struct net_exchange *exchange)
{
  struct mesh_daemon *daemon = context;
  bool known
      = strcmp (exchange->request.target->str, PLATFORM_READY_PATH) == 0;

  net_exchange_respond (exchange,
                        !known                                ? 404
                        : daemon->state == MESH_STATE_SERVING ? 200
                                                              : 503,
                        NULL, NULL, 0);
}

static void
on_metrics_request (void *context, struct net_exchange *exchange)
{
  GString *text = g_string_new (NULL);

  mesh_metrics_write (context, text);
  net_exchange_respond (exchange, 200,
                        "Content-Type: text/plain; version=0.0.4\r\n",
                        text->str, text->len);
  g_string_free (text, TRUE);
}

static void
ignore_abandoned (void *context, struct net_exchange *exchange)
{
  (void)context;
  (void)exchange;
}

static void
log_refused (void *context, unsigned status, const char *reason)
{
  (void)context;
  if (mesh_log_allowed (MESH_LOG_REFUSED))
    mesh_log (MESH_LOG_REFUSED, "\"status\":%u,\"reason\":\"%s\"", status,
              reason);
}

static const struct net_server_events ready_events
    = { on_ready_request, ignore_abandoned, log_refused };
static const struct net_server_events metrics_events
    = { on_metrics_request, ignore_abandoned, log_refused };

static void on_shutdown_tick (uv_timer_t *timer);

/* Starts the shutdown.  */
static void
begin_shutdown (struct mesh_daemon *daemon)
{
  if (daemon->sigterm_us != 0)
    return;
  /* The signal may have come while the loop stood.  */
  daemon->sigterm_us = net_turns_read_until_us (&daemon->loop);
  cp_stop_plan_init (&daemon->stop, daemon->sigterm_us,
                     daemon->settings.grace_us);
  mesh_outbound_plan_stop (&daemon->outbound, &daemon->stop);
  mesh_inbound_plan_stop (&daemon->inbound, &daemon->stop);
  mesh_daemon_handle_event (daemon, MESH_EVENT_DRAIN);
  uv_timer_start (&daemon->shutdown_tick, on_shutdown_tick, SHUTDOWN_TICK_MS,
                  SHUTDOWN_TICK_MS);
}

static void
on_signal (uv_signal_t *handle, int number)
{
  if (number == SIGHUP)
    mesh_daemon_reload (handle->data);
  else
    begin_shutdown (handle->data);
}

/* Closes all handles and stops the components, so that the event loop
   ends.  */
static void
stop_components (struct mesh_daemon *daemon)
{
  mesh_daemon_handle_event (daemon, MESH_EVENT_STOP);
  net_turns_stop (&daemon->turns);
  uv_close ((uv_handle_t *)&daemon->tick, NULL);
  uv_close ((uv_handle_t *)&daemon->shutdown_tick, NULL);
  uv_close ((uv_handle_t *)&daemon->links_timer, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (daemon->signals); i++)
    uv_close ((uv_handle_t *)&daemon->signals[i], NULL);
  mesh_exchange_stop (&daemon->exchange);
  mesh_replies_deliver (&daemon->inbound.replies);
  mesh_outbound_stop (&daemon->outbound);
  mesh_inbound_stop (&daemon->inbound);
  net_server_finish (&daemon->ready);
  if (daemon->has_metrics)
    net_server_finish (&daemon->metrics);
  cp_server_pool_finish (&daemon->pool);
  mesh_peers_stop (&daemon->peers);
  uv_stop (&daemon->loop);
}

/* Returns whether nobody waits for anything from this daemon.  */
static bool
is_idle (const struct mesh_daemon *daemon)
{
  return daemon->outbound.server.n_connections == 0
         && mesh_inbound_count_jobs (&daemon->inbound) == 0
         && !mesh_peers_are_sending (&daemon->peers);
}

/* Logs what is cut off by the end of the grace time, if anything is.  */
static void
log_shutdown (const struct mesh_daemon *daemon, uint64_t now)
{
  if (mesh_log_allowed (MESH_LOG_SHUTDOWN))
    mesh_log (MESH_LOG_SHUTDOWN,
              "\"since_us\":%" G_GUINT64_FORMAT ",\"connections\":%u,"
              "\"calls\":%u,\"jobs\":%u,\"sending\":%s",
              now - daemon->sigterm_us, daemon->outbound.server.n_connections,
              daemon->outbound.server.n_exchanges,
              mesh_inbound_count_jobs (&daemon->inbound),
              mesh_peers_are_sending (&daemon->peers) ? "true" : "false");
}

/* Performs the steps of the shutdown that are due.  */
static void
on_shutdown_tick (uv_timer_t *timer)
{
  struct mesh_daemon *daemon = timer->data;
  const struct cp_stop_plan *plan = &daemon->stop;
  uint64_t now = now_us ();

  if (now >= plan->announce_us && !daemon->leave_announced)
    {
      daemon->leave_announced = true;
      mesh_peers_announce_leaving (&daemon->peers);
      mesh_inbound_set_drain_deadline (&daemon->inbound,
                                       now + ANNOUNCEMENT_US);
    }
  if (now >= plan->close_us && !daemon->outbound.server.draining)
    net_server_drain (&daemon->outbound.server);
  if ((daemon->outbound.server.draining && is_idle (daemon))
      || now >= plan->end_us)
    {
      log_shutdown (daemon, now);
      stop_components (daemon);
    }
}

static void
on_tick (uv_timer_t *timer)
{
  struct mesh_daemon *daemon = timer->data;
  uint64_t now = now_us ();

  if (net_turns_defer (timer, on_tick))
    return;
  if (cp_server_pool_expire (&daemon->pool, now))
    mesh_daemon_update_server (daemon);
  mesh_daemon_expire_evacuations (daemon, now);
  cp_server_pool_update_links (&daemon->pool);
  /* There is a daemon beside each server.  */
  cp_repeat_budgets_see_daemons (
      &daemon->budgets,
      MAX (cp_server_pool_count (&daemon->pool), daemon->peers.n_up + 1), now);
  mesh_exchange_tick (&daemon->exchange);
  if (daemon->sigterm_us == 0)
    mesh_daemon_check_settings (daemon, now);
}

int
mesh_daemon_start_endpoints (struct mesh_daemon *daemon, const char *metrics,
                             struct cp_error *error)
{
  static const struct net_server_limits limits = { 16384, 16384, 3000, 60000 };
  const struct platform_settings *settings = &daemon->settings;
  struct cp_address address;
  int code = net_server_init (&daemon->ready, &daemon->loop,
                              &settings->ready_listen, &limits, &ready_events,
                              daemon);

  if (code != 0)
    return mesh_listen_error (error, &settings->ready_listen, code);
  if (metrics == NULL)
    return 0;
  if (!cp_address_parse (&address, metrics))
    return cp_error_set (error, CP_ERROR_USAGE, metrics,
                         "use --metrics IP:PORT",
                         "the metrics address is not IP:PORT");
  code = net_server_init (&daemon->metrics, &daemon->loop, &address, &limits,
                          &metrics_events, daemon);
  if (code != 0)
    return mesh_listen_error (error, &address, code);
  daemon->has_metrics = true;
  return 0;
}

void
mesh_daemon_start_timers (struct mesh_daemon *daemon)
{
  uv_timer_init (&daemon->loop, &daemon->shutdown_tick);
  daemon->shutdown_tick.data = daemon;
  uv_timer_init (&daemon->loop, &daemon->tick);
  daemon->tick.data = daemon;
  uv_timer_start (&daemon->tick, on_tick, TICK_MS, TICK_MS);
  for (unsigned i = 0; i < G_N_ELEMENTS (daemon->signals); i++)
    {
      uv_signal_init (&daemon->loop, &daemon->signals[i]);
      daemon->signals[i].data = daemon;
      uv_signal_start (&daemon->signals[i], on_signal, signal_numbers[i]);
    }
}

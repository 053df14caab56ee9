#include <string.h>
#include <sys/stat.h>

#include "meshd/daemon.h"
#include "meshd/log.h"
#include "platform/headers.h"

#define TICK_MS 200

/* How long a server whose entry lapsed in a disturbance of the store is kept.
   Entries of living servers are back within two seconds of its return; a
   request may not reach a server later than the drain bound, also two seconds,
   after its entry went.  */
#define LAPSE_US UINT64_C (1800000)

/* After SIGTERM.  Clients stay away after two missed ready questions, a second
   apart; until then they are served as before.  */
#define LEAVE_US UINT64_C (1800000)
#define CLOSE_US UINT64_C (2300000)

/* Kept free of the grace time for the end of the process.  */
#define GRACE_MARGIN_US UINT64_C (400000)

/* Kept free of the drain bound, for the way to the server.  */
#define DRAIN_MARGIN_US UINT64_C (500000)

/* Time between looks at the settings file, which may change without a signal.
   The bound for what it brings is two seconds.  */
#define SETTINGS_CHECK_US UINT64_C (1000000)

/* Share of the machine's memory that request bodies may take.  */
#define BODY_MEMORY_SHARE 0.25

enum state
{
  STATE_STARTING,
  STATE_WARMING,
  STATE_SERVING,
  STATE_DRAINING,
  STATE_GONE,
  STATE_COUNT
};

enum event
{
  EVENT_LISTENING,
  EVENT_CONFIGURED,
  EVENT_DRAIN,
  EVENT_STOP,
  EVENT_COUNT
};

static const char *const state_names[STATE_COUNT]
    = { "starting", "warming", "serving", "draining", "gone" };
static const char *const event_names[EVENT_COUNT]
    = { "listening", "configured", "drain", "stop" };

static const struct cp_chart_names chart_names
    = { state_names, STATE_COUNT, event_names, EVENT_COUNT };

static const int signal_numbers[3] = { SIGTERM, SIGINT, SIGHUP };

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

static void
step (struct mesh_daemon *daemon, enum event event)
{
  int before = daemon->state;

  if (!cp_chart_step (&daemon->chart, &daemon->state, event)
      || before == daemon->state)
    return;
  if (mesh_log_due (MESH_LOG_STATE))
    mesh_log (MESH_LOG_STATE, "\"from\":\"%s\",\"to\":\"%s\"",
              state_names[before], state_names[daemon->state]);
}

/* Returns whether SERVER is the one beside this daemon.  */
static bool
is_beside (const struct mesh_daemon *daemon, const struct cp_server *server)
{
  return cp_address_same_host (&server->address, &daemon->settings.peers);
}

/* Returns the address of the daemon beside SERVER: the same host, and the port
   of our own, which is the same on all VMs.  */
static struct cp_address
daemon_beside (const struct mesh_daemon *daemon,
               const struct cp_server *server)
{
  struct cp_address address = server->address;
  char host[CP_ADDRESS_TEXT_BYTES];
  char text[CP_ADDRESS_TEXT_BYTES + 8];

  cp_address_host (&server->address, host, sizeof host);
  g_snprintf (text, sizeof text, "%s:%u", host,
              cp_address_port (&daemon->settings.peers));
  cp_address_parse (&address, text);
  return address;
}

/* Takes what is known of the server beside this daemon.  */
static void
update_own_server (struct mesh_daemon *daemon)
{
  const struct cp_service_rule *rule = NULL;
  const struct cp_server *server;

  if (daemon->settings.server.length == 0)
    return;
  if (daemon->exchange.registry.table != NULL)
    rule = cp_table_service (daemon->exchange.registry.table,
                             daemon->settings.service);
  server = cp_roster_at (&daemon->roster, daemon->settings.server.text);
  mesh_inbound_set_server (&daemon->inbound, server,
                           rule == NULL ? NULL : rule->health_path);
  if (daemon->term_us != 0)
    return;
  if (server != NULL && !server->draining)
    mesh_inbound_leave (&daemon->inbound, 0);
  else if (server != NULL && daemon->inbound.leave_us == 0)
    mesh_inbound_leave (&daemon->inbound, now_us () + daemon->settings.drain_us
                                              - DRAIN_MARGIN_US);
}

static void
on_added (void *context, struct cp_server *server)
{
  struct mesh_daemon *daemon = context;
  struct cp_address address;
  struct mesh_way *way;

  if (is_beside (daemon, server))
    {
      server->reachable = true;
      return;
    }
  address = daemon_beside (daemon, server);
  way = mesh_way_use (&daemon->peers, &address);
  server->owner = way;
  server->asked_us = &way->pinged_us;
  server->reachable = way->up;
  server->leaving = way->leaving;
}

static void
on_removed (void *context, struct cp_server *server)
{
  (void)context;
  server->reachable = false;
}

/* The way to a removed server is kept until the last attempt there ended.  */
static void
on_server_released (void *context, void *owner)
{
  (void)context;
  if (owner != NULL)
    mesh_way_release (owner);
}

static const struct cp_roster_events roster_events
    = { on_added, on_removed, on_server_released };

static void
on_table (void *context, struct cp_table *table, uint64_t revision)
{
  struct mesh_daemon *daemon = context;

  mesh_outbound_set_table (&daemon->outbound, table);
  update_own_server (daemon);
  step (daemon, EVENT_CONFIGURED);
  if (mesh_log_due (MESH_LOG_TABLE))
    mesh_log (MESH_LOG_TABLE,
              "\"config\":%" G_GUINT64_FORMAT
              ",\"revision\":%" G_GUINT64_FORMAT ",\"routes\":%u",
              table->version, revision, table->n_routes);
}

static void
on_server (void *context, const struct cp_server_entry *entry,
           uint64_t revision)
{
  struct mesh_daemon *daemon = context;
  char id[128];

  cp_roster_update (&daemon->roster, entry, now_us ());
  update_own_server (daemon);
  if (mesh_log_due (MESH_LOG_SERVER))
    mesh_log (MESH_LOG_SERVER,
              "\"server\":\"%s\",\"state\":\"%s\",\"address\":\"%s\","
              "\"born_ms\":%" G_GUINT64_FORMAT
              ",\"revision\":%" G_GUINT64_FORMAT,
              mesh_log_quote (entry->instance, id, sizeof id),
              entry->draining ? "draining" : "ready", entry->address.text,
              entry->born_ms, revision);
}

static void
on_server_removed (void *context, const char *instance, bool unsure,
                   uint64_t revision)
{
  struct mesh_daemon *daemon = context;
  char id[128];

  cp_roster_remove (&daemon->roster, instance, unsure, now_us ());
  update_own_server (daemon);
  if (mesh_log_due (MESH_LOG_SERVER))
    mesh_log (
        MESH_LOG_SERVER,
        "\"server\":\"%s\",\"state\":\"%s\",\"revision\":%" G_GUINT64_FORMAT,
        mesh_log_quote (instance, id, sizeof id), unsure ? "lapsed" : "gone",
        revision);
}

static void
on_unreadable (void *context, const char *key, const struct cp_error *error)
{
  char key_text[CP_PEER_KEY_MAX + 1];
  char problem[sizeof error->problem];

  (void)context;
  if (mesh_log_due (MESH_LOG_UNREADABLE))
    mesh_log (MESH_LOG_UNREADABLE,
              "\"key\":\"%s\",\"problem\":\"%s\",\"consequence\":\"%s\"",
              mesh_log_quote (key, key_text, sizeof key_text),
              mesh_log_quote (error->problem, problem, sizeof problem),
              error->remedy);
}

static const struct platform_registry_events registry_events
    = { on_table, on_server, on_server_removed, on_unreadable };

/* Calls VISIT for each server whose way is WAY.  */
static void
each_server (struct mesh_daemon *daemon, const struct mesh_way *way,
             void (*visit) (struct cp_server *server,
                            const struct mesh_way *way))
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, daemon->roster.instances);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct cp_server *)value)->owner == way)
      visit (value, way);
}

static void
server_up (struct cp_server *server, const struct mesh_way *way)
{
  server->reachable = true;
  server->leaving = way->leaving;
}

static void
server_down (struct cp_server *server, const struct mesh_way *way)
{
  (void)way;
  server->reachable = false;
}

static void
server_leaving (struct cp_server *server, const struct mesh_way *way)
{
  (void)way;
  server->leaving = true;
}

static void
log_way (const struct mesh_way *way, const char *state, const char *reason)
{
  if (mesh_log_due (MESH_LOG_PEER))
    mesh_log (MESH_LOG_PEER,
              "\"peer\":\"%s\",\"state\":\"%s\",\"reason\":\"%s\"",
              way->address.text, state, reason);
}

static void
on_up (void *context, struct mesh_way *way)
{
  struct mesh_daemon *daemon = context;

  log_way (way, "up", "");
  each_server (daemon, way, server_up);
  mesh_outbound_back (&daemon->outbound, way, way->restarted);
}

static void
on_down (void *context, struct mesh_way *way, const char *reason)
{
  struct mesh_daemon *daemon = context;

  log_way (way, "down", reason);
  each_server (daemon, way, server_down);
  mesh_outbound_lost (&daemon->outbound, way, way->refused);
}

static void
send_load (struct mesh_daemon *daemon, struct mesh_link *link)
{
  struct cp_peer_message message = { .kind = CP_PEER_LOAD };
  struct cp_server_load load;

  mesh_inbound_load (&daemon->inbound, &load);
  mesh_load_write (&message.cp_peer_message_u.load, &load,
                   daemon->inbound.instance);
  mesh_link_send (link, &message);
}

static void
on_joined (void *context, struct mesh_link *link)
{
  send_load (context, link);
}

static void
on_lost (void *context, struct mesh_link *link)
{
  struct mesh_daemon *daemon = context;

  mesh_inbound_link_lost (&daemon->inbound, link);
}

static void
on_message (void *context, struct mesh_link *link,
            const struct cp_peer_message *message)
{
  struct mesh_daemon *daemon = context;

  switch (message->kind)
    {
    case CP_PEER_REQUEST:
      mesh_inbound_offer (&daemon->inbound, link,
                          &message->cp_peer_message_u.request);
      break;
    case CP_PEER_CANCEL:
      mesh_inbound_cancel (&daemon->inbound, link,
                           message->cp_peer_message_u.stream);
      break;
    case CP_PEER_RESUME:
      mesh_inbound_resume (&daemon->inbound, link,
                           message->cp_peer_message_u.stream);
      break;
    case CP_PEER_PULL:
      mesh_exchange_answer (&daemon->exchange, link,
                            message->cp_peer_message_u.revision);
      break;
    case CP_PEER_ITEMS:
      mesh_exchange_take (&daemon->exchange,
                          &message->cp_peer_message_u.items);
      break;
    case CP_PEER_LEAVING:
      if (link->way != NULL)
        each_server (daemon, link->way, server_leaving);
      break;
    default:
      mesh_outbound_receive (&daemon->outbound, message);
    }
}

static void
on_viewed (void *context, struct mesh_link *link)
{
  struct mesh_daemon *daemon = context;

  mesh_exchange_viewed (&daemon->exchange, link);
}

static const struct mesh_peers_events peers_events
    = { on_up, on_down, on_joined, on_lost, on_message, on_viewed };

/* Hands MESSAGE to the inbound side of this daemon.  */
static void
send_beside (struct mesh_daemon *daemon, const struct cp_peer_message *message)
{
  if (message->kind == CP_PEER_REQUEST)
    mesh_inbound_offer (&daemon->inbound, NULL,
                        &message->cp_peer_message_u.request);
  else if (message->kind == CP_PEER_CANCEL)
    mesh_inbound_cancel (&daemon->inbound, NULL,
                         message->cp_peer_message_u.stream);
}

static bool
on_send (void *context, struct cp_server *server,
         const struct cp_peer_message *message)
{
  struct mesh_daemon *daemon = context;

  if (is_beside (daemon, server))
    {
      send_beside (daemon, message);
      return true;
    }
  return server->owner != NULL && mesh_way_send (server->owner, message);
}

static const struct mesh_outbound_events outbound_events = { on_send };

static void
on_reply (void *context, const struct cp_peer_message *message)
{
  struct mesh_daemon *daemon = context;

  mesh_outbound_receive (&daemon->outbound, message);
}

static void
on_load (void *context, const struct cp_peer_message *message)
{
  struct mesh_daemon *daemon = context;

  mesh_outbound_receive (&daemon->outbound, message);
  mesh_peers_tell (&daemon->peers, message);
}

static const struct mesh_inbound_events inbound_events = { on_reply, on_load };

static void
on_ready_request (void *context, struct net_exchange *exchange)
{
  struct mesh_daemon *daemon = context;
  bool known
      = strcmp (exchange->request.target->str, PLATFORM_READY_PATH) == 0;

  net_exchange_answer (exchange,
                       !known                           ? 404
                       : daemon->state == STATE_SERVING ? 200
                                                        : 503,
                       NULL, NULL, 0);
}

static void
on_metrics_request (void *context, struct net_exchange *exchange)
{
  GString *text = g_string_new (NULL);

  mesh_metrics_write (context, text);
  net_exchange_answer (exchange, 200,
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
ignore_refused (void *context, unsigned status, const char *reason)
{
  (void)context;
  if (mesh_log_due (MESH_LOG_REFUSED))
    mesh_log (MESH_LOG_REFUSED, "\"status\":%u,\"reason\":\"%s\"", status,
              reason);
}

static const struct net_server_events ready_events
    = { on_ready_request, ignore_abandoned, ignore_refused };
static const struct net_server_events metrics_events
    = { on_metrics_request, ignore_abandoned, ignore_refused };

static void
log_faults (const char *faults)
{
  char text[512];

  if (mesh_log_due (MESH_LOG_RELOAD))
    mesh_log (MESH_LOG_RELOAD, "\"result\":\"refused\",\"faults\":\"%s\"",
              mesh_log_quote (faults, text, sizeof text));
}

static void
apply_settings (struct mesh_daemon *daemon)
{
  const struct platform_settings *settings = &daemon->settings;
  struct mesh_outbound_settings *to = &daemon->outbound.settings;

  g_strlcpy (to->service, settings->service, sizeof to->service);
  to->repeat_ratio = settings->repeat_ratio;
  to->repeat_slack = settings->repeat_slack;
  to->repeat_window_us = settings->repeat_window_us;
  to->body_bytes_max
      = (uint64_t)(BODY_MEMORY_SHARE * (double)settings->memory_bytes);
}

/* Opens ways to the daemons that the settings name.  */
static void
use_seeds (struct mesh_daemon *daemon)
{
  const struct platform_settings *settings = &daemon->settings;

  for (unsigned i = 0; i < daemon->n_seeds; i++)
    mesh_way_release (daemon->seeds[i]);
  daemon->n_seeds = 0;
  for (unsigned i = 0; i < settings->n_seeds; i++)
    if (!cp_address_same_host (&settings->seeds[i], &settings->peers))
      {
        struct cp_server seed = { .address = settings->seeds[i] };
        struct cp_address address = daemon_beside (daemon, &seed);

        daemon->seeds[daemon->n_seeds++]
            = mesh_way_use (&daemon->peers, &address);
      }
}

/* Reads the settings again.  Faulty ones leave those before in force.  */
static void
reload (struct mesh_daemon *daemon)
{
  struct platform_settings settings;
  struct cp_error error = { 0 };
  char *faults = NULL;

  if (platform_settings_load (&settings, daemon->settings_path, &faults,
                              &error)
      != 0)
    {
      log_faults (faults == NULL ? error.problem : faults);
      g_free (faults);
      return;
    }
  daemon->settings = settings;
  apply_settings (daemon);
  use_seeds (daemon);
  update_own_server (daemon);
  if (mesh_log_due (MESH_LOG_RELOAD))
    mesh_log (MESH_LOG_RELOAD, "\"result\":\"in force\",\"service\":\"%s\"",
              settings.service);
}

/* Begins to leave.  */
static void
terminate (struct mesh_daemon *daemon)
{
  if (daemon->term_us != 0)
    return;
  daemon->term_us = now_us ();
  step (daemon, EVENT_DRAIN);
}

static void
on_signal (uv_signal_t *handle, int number)
{
  if (number == SIGHUP)
    reload (handle->data);
  else
    terminate (handle->data);
}

/* Ends what keeps the loop running.  */
static void
stop (struct mesh_daemon *daemon)
{
  step (daemon, EVENT_STOP);
  uv_close ((uv_handle_t *)&daemon->tick, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (daemon->signals); i++)
    uv_close ((uv_handle_t *)&daemon->signals[i], NULL);
  mesh_exchange_stop (&daemon->exchange);
  mesh_outbound_stop (&daemon->outbound);
  mesh_inbound_stop (&daemon->inbound);
  net_server_finish (&daemon->ready);
  if (daemon->has_metrics)
    net_server_finish (&daemon->metrics);
  cp_roster_finish (&daemon->roster);
  mesh_peers_stop (&daemon->peers);
  uv_stop (&daemon->loop);
}

/* Goes on with leaving.  */
static void
leave (struct mesh_daemon *daemon, uint64_t now)
{
  uint64_t since_us = now - daemon->term_us;
  bool idle = daemon->outbound.server.n_connections == 0
              && mesh_inbound_jobs (&daemon->inbound) == 0;

  if (since_us >= LEAVE_US && !daemon->left)
    {
      daemon->left = true;
      mesh_peers_leave (&daemon->peers);
      mesh_inbound_leave (&daemon->inbound, now + TICK_MS * CP_US_PER_MS);
    }
  if (since_us >= CLOSE_US && !daemon->outbound.server.draining)
    net_server_drain (&daemon->outbound.server);
  if ((daemon->outbound.server.draining && idle)
      || since_us + GRACE_MARGIN_US >= daemon->settings.grace_us)
    stop (daemon);
}

/* Reloads when the settings file is another one than before.  */
static void
check_settings_file (struct mesh_daemon *daemon, uint64_t now)
{
  struct stat status;

  if (now - daemon->checked_us < SETTINGS_CHECK_US)
    return;
  daemon->checked_us = now;
  if (stat (daemon->settings_path, &status) != 0
      || (status.st_mtim.tv_sec == daemon->settings_time.tv_sec
          && status.st_mtim.tv_nsec == daemon->settings_time.tv_nsec))
    return;
  daemon->settings_time = status.st_mtim;
  reload (daemon);
}

static void
on_tick (uv_timer_t *timer)
{
  struct mesh_daemon *daemon = timer->data;
  uint64_t now = now_us ();

  cp_roster_expire (&daemon->roster, now - LAPSE_US);
  mesh_exchange_elect (&daemon->exchange);
  if (daemon->term_us != 0)
    leave (daemon, now);
  else
    check_settings_file (daemon, now);
}

static int
listen_error (struct cp_error *error, const struct cp_address *address,
              int code)
{
  return cp_error_set (error, CP_ERROR_NETWORK, address->text,
                       "free the address or name another in the settings",
                       "cannot listen: %s", uv_strerror (code));
}

static int
start_ready (struct mesh_daemon *daemon, const char *metrics,
             struct cp_error *error)
{
  static const struct net_server_limits limits = { 16384, 16384, 3000, 60000 };
  const struct platform_settings *settings = &daemon->settings;
  struct cp_address address;
  int code = net_server_init (&daemon->ready, &daemon->loop, &settings->ready,
                              &limits, &ready_events, daemon);

  if (code != 0)
    return listen_error (error, &settings->ready, code);
  if (metrics == NULL)
    return 0;
  if (!cp_address_parse (&address, metrics))
    return cp_error_set (error, CP_ERROR_USAGE, metrics,
                         "write --metrics IP:PORT",
                         "the address for metrics is none");
  code = net_server_init (&daemon->metrics, &daemon->loop, &address, &limits,
                          &metrics_events, daemon);
  if (code != 0)
    return listen_error (error, &address, code);
  daemon->has_metrics = true;
  return 0;
}

static void
start_timers (struct mesh_daemon *daemon)
{
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

/* Returns a number that tells this process from every other one.  */
static uint64_t
draw_incarnation (void)
{
  const struct cp_random *random = cp_random_thread ();
  uint64_t number;

  do
    number = random->next (random->context);
  while (number == 0);
  return number;
}

static int
start_parts (struct mesh_daemon *daemon, struct cp_error *error)
{
  const struct platform_settings *settings = &daemon->settings;
  uint64_t incarnation = draw_incarnation ();
  int code;

  cp_roster_init (&daemon->roster, settings->domain, &roster_events, daemon);
  mesh_inbound_init (&daemon->inbound, &daemon->loop, &settings->server,
                     incarnation, &inbound_events, daemon);
  code
      = mesh_peers_init (&daemon->peers, &daemon->loop, &settings->peers,
                         incarnation, settings->domain, &peers_events, daemon);
  if (code != 0)
    return listen_error (error, &settings->peers, code);
  code = mesh_outbound_init (
      &daemon->outbound, &daemon->loop, &settings->calls,
      &(struct mesh_outbound_settings){ .repeat_window_us
                                        = settings->repeat_window_us },
      &daemon->roster, &daemon->peers, &daemon->random.random,
      &outbound_events, daemon);
  if (code != 0)
    return listen_error (error, &settings->calls, code);
  apply_settings (daemon);
  mesh_exchange_init (&daemon->exchange, &daemon->loop, &settings->store,
                      &settings->peers, &daemon->peers, &daemon->random.random,
                      &registry_events, daemon);
  return 0;
}

int
mesh_daemon_init (struct mesh_daemon *daemon, const char *path,
                  const char *charts, const char *metrics,
                  struct cp_error *error)
{
  char *chart = g_build_filename (charts, "daemon.json", NULL);
  struct stat status;
  int result;

  *daemon
      = (struct mesh_daemon){ .settings_path = path, .started_us = now_us () };
  result = cp_chart_load (&daemon->chart, chart, &chart_names, error);
  g_free (chart);
  if (result != 0
      || platform_settings_load (&daemon->settings, path, NULL, error) != 0)
    return -1;
  if (stat (path, &status) == 0)
    daemon->settings_time = status.st_mtim;
  daemon->state = daemon->chart.initial;
  cp_seeded_random_init (&daemon->random, draw_incarnation ());
  uv_loop_init (&daemon->loop);
  if (start_parts (daemon, error) != 0
      || start_ready (daemon, metrics, error) != 0)
    return -1;
  start_timers (daemon);
  use_seeds (daemon);
  step (daemon, EVENT_LISTENING);
  mesh_exchange_start (&daemon->exchange);
  return 0;
}

void
mesh_daemon_run (struct mesh_daemon *daemon)
{
  uv_run (&daemon->loop, UV_RUN_DEFAULT);
  /* Lets what was closed be released.  */
  uv_run (&daemon->loop, UV_RUN_DEFAULT);
}

void
mesh_daemon_finish (struct mesh_daemon *daemon)
{
  mesh_exchange_finish (&daemon->exchange);
  uv_loop_close (&daemon->loop);
  cp_seeded_random_finish (&daemon->random);
}

#include <string.h>
#include <sys/stat.h>

#include "meshd/daemon_internal.h"
#include "meshd/log.h"

/* Kept free of the drain bound, for the way to the server.  */
#define DRAIN_MARGIN_US UINT64_C (500000)

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

/* Returns whether SERVER is the one beside this daemon.  */
static bool
is_beside (const struct mesh_daemon *daemon, const struct cp_server *server)
{
  return cp_address_same_host (&server->address,
                               &daemon->settings.peer_listen);
}

/* Returns the address of the daemon beside SERVER: the same host, and the port
   of our own, which is the same on all VMs.  */
struct cp_address
mesh_daemon_beside (const struct mesh_daemon *daemon,
                    const struct cp_server *server)
{
  struct cp_address address = server->address;
  char host[CP_ADDRESS_TEXT_BYTES];
  char text[CP_ADDRESS_TEXT_BYTES + 8];

  cp_address_host (&server->address, host, sizeof host);
  g_snprintf (text, sizeof text, "%s:%u", host,
              cp_address_port (&daemon->settings.peer_listen));
  cp_address_parse (&address, text);
  return address;
}

/* Takes what is known of the server beside this daemon.  */
void
mesh_daemon_update_server (struct mesh_daemon *daemon)
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
  address = mesh_daemon_beside (daemon, server);
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
  mesh_daemon_update_server (daemon);
  mesh_daemon_step (daemon, MESH_EVENT_CONFIGURED);
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
  mesh_daemon_update_server (daemon);
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
  mesh_daemon_update_server (daemon);
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

int
mesh_listen_error (struct cp_error *error, const struct cp_address *address,
                   int code)
{
  return cp_error_set (error, CP_ERROR_NETWORK, address->text,
                       "free the address or name another in the settings",
                       "cannot listen: %s", uv_strerror (code));
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
      = mesh_peers_init (&daemon->peers, &daemon->loop, &settings->peer_listen,
                         incarnation, settings->domain, &peers_events, daemon);
  if (code != 0)
    return mesh_listen_error (error, &settings->peer_listen, code);
  code = mesh_outbound_init (
      &daemon->outbound, &daemon->loop, &settings->call_listen,
      &(struct mesh_outbound_settings){ .repeat_window_us
                                        = settings->repeat_window_us },
      &daemon->roster, &daemon->peers, &daemon->random.random,
      &outbound_events, daemon);
  if (code != 0)
    return mesh_listen_error (error, &settings->call_listen, code);
  mesh_daemon_apply_settings (daemon);
  mesh_exchange_init (&daemon->exchange, &daemon->loop, &settings->store,
                      &settings->peer_listen, &daemon->peers,
                      &daemon->random.random, &registry_events, daemon);
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
  result = cp_chart_load (&daemon->chart, chart, &mesh_daemon_chart, error);
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
      || mesh_daemon_start_ready (daemon, metrics, error) != 0)
    return -1;
  mesh_daemon_start_timers (daemon);
  mesh_daemon_use_seeds (daemon);
  mesh_daemon_step (daemon, MESH_EVENT_LISTENING);
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

#include <string.h>
#include <sys/stat.h>

#include "meshd/daemon_internal.h"
#include "meshd/log.h"

/* Subtracted from the drain time, so that a request started last still reaches
   the server in time.  The second is for a server that itself says that it
   leaves: it may have told the store some time before.  */
#define DRAIN_MARGIN_US UINT64_C (200000)
#define OWN_NOTICE_MARGIN_US UINT64_C (500000)

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

/* Returns whether SERVER runs on the host of this daemon.  */
static bool
is_local_server (const struct mesh_daemon *daemon,
                 const struct cp_server *server)
{
  return cp_address_same_host (&server->address,
                               &daemon->settings.peer_listen);
}

struct cp_address
mesh_daemon_peer_address (const struct mesh_daemon *daemon,
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

/* Returns when the local server gets its last request, by what is known of it
   now: SERVER, or NULL if its entry was removed or has not been seen.  Returns
   0 if there is no end.  */
static uint64_t
find_drain_deadline (const struct mesh_daemon *daemon,
                     const struct cp_server *server)
{
  bool removed = server == NULL && daemon->inbound.instance[0] != '\0';
  uint64_t drain_us = daemon->settings.drain_us;
  uint64_t entry_us = UINT64_MAX;
  uint64_t notice_us = UINT64_MAX;

  if (removed || (server != NULL && server->draining))
    entry_us = daemon->entry_changed_us
               + (drain_us - MIN (drain_us, DRAIN_MARGIN_US));
  if (daemon->inbound.server_leaving)
    notice_us = now_us () + (drain_us - MIN (drain_us, OWN_NOTICE_MARGIN_US));
  if (MIN (entry_us, notice_us) < UINT64_MAX)
    return MIN (entry_us, notice_us);
  return server == NULL ? 0 : server->kept_until_us;
}

void
mesh_daemon_update_server (struct mesh_daemon *daemon)
{
  const struct cp_service_rule *rule = NULL;
  const struct cp_server *server;
  uint64_t deadline_us;

  if (daemon->settings.server.length == 0)
    return;
  if (daemon->exchange.registry.table != NULL)
    rule = cp_route_table_find_service (daemon->exchange.registry.table,
                                        daemon->settings.service);
  if (daemon->exchange.registry.table != NULL)
    mesh_inbound_set_warm_up (&daemon->inbound, rule);
  server
      = cp_server_pool_find_at (&daemon->pool, daemon->settings.server.text);
  mesh_inbound_set_server (&daemon->inbound, server,
                           rule == NULL ? NULL : rule->health_path);
  if (daemon->sigterm_us != 0)
    return;
  deadline_us = find_drain_deadline (daemon, server);
  if (deadline_us == 0 || daemon->inbound.drain_deadline_us == 0
      || deadline_us < daemon->inbound.drain_deadline_us)
    mesh_inbound_set_drain_deadline (&daemon->inbound, deadline_us);
}

static void
on_links_timer (uv_timer_t *timer)
{
  struct mesh_daemon *daemon = timer->data;

  cp_server_pool_update_links (&daemon->pool);
}

void
mesh_daemon_schedule_links (struct mesh_daemon *daemon)
{
  uv_timer_start (&daemon->links_timer, on_links_timer, 0, 0);
}

static void
on_added (void *context, struct cp_server *server)
{
  struct mesh_daemon *daemon = context;

  if (is_local_server (daemon, server))
    server->reachable = true;
  else
    mesh_daemon_schedule_links (daemon);
}

static void
on_linked (void *context, struct cp_server *server)
{
  struct mesh_daemon *daemon = context;
  struct cp_address address;
  struct mesh_peer *peer;

  if (is_local_server (daemon, server))
    return;
  address = mesh_daemon_peer_address (daemon, server);
  peer = mesh_peer_acquire (&daemon->peers, &address);
  server->user_data = peer;
  server->ping_sent_us = &peer->oldest_ping_us;
  server->reachable = peer->up;
  server->leaving = peer->leaving;
}

static void
on_unlinked (void *context, struct cp_server *server)
{
  struct mesh_peer *peer = server->user_data;

  (void)context;
  if (peer == NULL)
    return;
  server->user_data = NULL;
  server->ping_sent_us = NULL;
  server->reachable = false;
  mesh_peer_release (peer);
}

static void
on_removed (void *context, struct cp_server *server)
{
  server->reachable = false;
  mesh_daemon_schedule_links (context);
}

/* The connection to the peer of a removed server is kept until the last
   attempt there has ended.  */
static void
on_server_released (void *context, void *user_data)
{
  (void)context;
  if (user_data != NULL)
    mesh_peer_release (user_data);
}

static const struct cp_server_pool_events pool_events
    = { .added = on_added,
        .removed = on_removed,
        .linked = on_linked,
        .unlinked = on_unlinked,
        .released = on_server_released };

/* Returns the age of a change that was made at CHANGED_US at the earliest, for
   the log; -1 if that is not known.  */
static int64_t
age_us (uint64_t changed_us)
{
  return changed_us == 0 ? -1 : (int64_t)(now_us () - changed_us);
}

static void
on_table (void *context, struct cp_route_table *table,
          struct cp_store_position position)
{
  struct mesh_daemon *daemon = context;

  mesh_outbound_set_table (&daemon->outbound, table);
  mesh_daemon_update_server (daemon);
  mesh_daemon_handle_event (daemon, MESH_EVENT_CONFIGURED);
  if (mesh_log_allowed (MESH_LOG_TABLE))
    mesh_log (MESH_LOG_TABLE,
              "\"config\":%" G_GUINT64_FORMAT ",\"era\":%" G_GUINT64_FORMAT
              ",\"revision\":%" G_GUINT64_FORMAT
              ",\"routes\":%u,\"took_us\":%" G_GUINT64_FORMAT,
              table->version, position.era, position.revision, table->n_routes,
              daemon->exchange.registry.table_took_us);
}

static void
on_server (void *context, const struct cp_server_entry *entry,
           struct cp_store_position position)
{
  struct mesh_daemon *daemon = context;
  char id[128];

  if (cp_address_same_host (&entry->address, &daemon->settings.peer_listen))
    daemon->entry_changed_us = entry->changed_us;
  cp_server_pool_update (&daemon->pool, entry, now_us ());
  mesh_daemon_update_server (daemon);
  if (mesh_log_allowed (MESH_LOG_SERVER))
    mesh_log (MESH_LOG_SERVER,
              "\"server\":\"%s\",\"state\":\"%s\",\"address\":\"%s\","
              "\"born_ms\":%" G_GUINT64_FORMAT ",\"era\":%" G_GUINT64_FORMAT
              ",\"revision\":%" G_GUINT64_FORMAT
              ",\"age_us\":%" G_GINT64_FORMAT,
              mesh_log_sanitize (entry->instance, id, sizeof id),
              entry->draining ? "draining" : "ready", entry->address.text,
              entry->born_ms, position.era, position.revision,
              age_us (entry->changed_us));
}

static void
on_server_removed (void *context, const char *instance,
                   uint64_t unsure_until_us, uint64_t changed_us,
                   struct cp_store_position position)
{
  struct mesh_daemon *daemon = context;
  uint64_t now = now_us ();
  bool lapsed = unsure_until_us > now;
  char id[128];

  if (strcmp (instance, daemon->inbound.instance) == 0)
    daemon->entry_changed_us = changed_us;
  cp_server_pool_remove (&daemon->pool, instance,
                         lapsed ? unsure_until_us : 0);
  mesh_daemon_update_server (daemon);
  if (mesh_log_allowed (MESH_LOG_SERVER))
    mesh_log (
        MESH_LOG_SERVER,
        "\"server\":\"%s\",\"state\":\"%s\",\"kept_us\":%" G_GUINT64_FORMAT
        ",\"era\":%" G_GUINT64_FORMAT ",\"revision\":%" G_GUINT64_FORMAT
        ",\"age_us\":%" G_GINT64_FORMAT,
        mesh_log_sanitize (instance, id, sizeof id),
        lapsed ? "lapsed" : "gone", lapsed ? unsure_until_us - now : 0,
        position.era, position.revision, age_us (changed_us));
}

static void
on_unreadable (void *context, const char *key, const struct cp_error *error)
{
  char key_text[CP_PEER_KEY_MAX + 1];
  char place[sizeof error->place];
  char problem[sizeof error->problem];

  (void)context;
  if (mesh_log_allowed (MESH_LOG_UNREADABLE))
    mesh_log (MESH_LOG_UNREADABLE,
              "\"key\":\"%s\",\"place\":\"%s\",\"problem\":\"%s\","
              "\"consequence\":\"%s\"",
              mesh_log_sanitize (key, key_text, sizeof key_text),
              mesh_log_sanitize (error->place, place, sizeof place),
              mesh_log_sanitize (error->problem, problem, sizeof problem),
              error->remedy);
}

static const struct platform_registry_events registry_events
    = { on_table, on_server, on_server_removed, on_unreadable,
        mesh_daemon_evacuate };

/* Calls VISIT for each server that is reached through PEER.  */
static void
for_each_server_of (struct mesh_daemon *daemon, const struct mesh_peer *peer,
                    void (*visit) (struct cp_server *server,
                                   const struct mesh_peer *peer))
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, daemon->pool.by_instance);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct cp_server *)value)->user_data == peer)
      visit (value, peer);
}

static void
mark_reachable (struct cp_server *server, const struct mesh_peer *peer)
{
  server->reachable = true;
  server->link_failed = false;
  server->leaving = peer->leaving;
}

static void
mark_unreachable (struct cp_server *server, const struct mesh_peer *peer)
{
  server->reachable = false;
  server->link_failed = peer->failures > 1;
}

static void
mark_leaving (struct cp_server *server, const struct mesh_peer *peer)
{
  (void)peer;
  server->leaving = true;
}

static void
log_peer (const struct mesh_peer *peer, const char *state, const char *reason)
{
  if (mesh_log_allowed (MESH_LOG_PEER))
    mesh_log (MESH_LOG_PEER,
              "\"peer\":\"%s\",\"state\":\"%s\",\"reason\":\"%s\"",
              peer->address.text, state, reason);
}

static void
on_peer_up (void *context, struct mesh_peer *peer)
{
  struct mesh_daemon *daemon = context;

  log_peer (peer, "up", "");
  for_each_server_of (daemon, peer, mark_reachable);
  mesh_suspects_introduce (&daemon->suspects, peer->link);
  mesh_outbound_peer_up (&daemon->outbound, peer, peer->restarted);
}

static void
on_peer_down (void *context, struct mesh_peer *peer, const char *reason)
{
  struct mesh_daemon *daemon = context;

  log_peer (peer, "down", reason);
  for_each_server_of (daemon, peer, mark_unreachable);
  mesh_outbound_peer_down (&daemon->outbound, peer, peer->refused);
}

static void
send_load (struct mesh_daemon *daemon, struct mesh_link *link)
{
  struct cp_peer_message message = { .kind = CP_PEER_LOAD };
  struct cp_server_load load;

  mesh_inbound_get_load (&daemon->inbound, &load);
  mesh_load_to_wire (&message.cp_peer_message_u.load, &load,
                     daemon->inbound.instance);
  mesh_link_send (link, &message);
}

static void
on_incoming_up (void *context, struct mesh_link *link)
{
  struct mesh_daemon *daemon = context;

  send_load (daemon, link);
  mesh_suspects_introduce (&daemon->suspects, link);
}

static void
on_incoming_down (void *context, struct mesh_link *link)
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
      mesh_exchange_answer_pull (&daemon->exchange, link,
                                 &message->cp_peer_message_u.position);
      break;
    case CP_PEER_ITEMS:
      mesh_exchange_apply_items (&daemon->exchange, link,
                                 &message->cp_peer_message_u.items);
      break;
    case CP_PEER_SUSPECTS:
      mesh_suspects_receive (&daemon->suspects, link,
                             &message->cp_peer_message_u.suspects);
      break;
    case CP_PEER_LEAVING:
      if (link->peer != NULL)
        for_each_server_of (daemon, link->peer, mark_leaving);
      break;
    default:
      mesh_outbound_receive (&daemon->outbound, message);
    }
}

static void
on_view (void *context, struct mesh_link *link)
{
  struct mesh_daemon *daemon = context;

  mesh_exchange_receive_view (&daemon->exchange, link);
}

static const struct mesh_peers_events peers_events
    = { on_peer_up,       on_peer_down, on_incoming_up,
        on_incoming_down, on_message,   on_view };

/* Passes MESSAGE to the inbound side of this daemon.  */
static void
send_to_local_inbound (struct mesh_daemon *daemon,
                       const struct cp_peer_message *message)
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

  if (is_local_server (daemon, server))
    {
      send_to_local_inbound (daemon, message);
      return true;
    }
  return server->user_data != NULL
         && mesh_peer_send (server->user_data, message);
}

static const struct mesh_outbound_events outbound_events
    = { on_send, mesh_daemon_find_parent };

static void
on_reply (void *context, const struct cp_peer_message *message)
{
  struct mesh_daemon *daemon = context;

  mesh_outbound_receive (&daemon->outbound, message);
}

static void
on_load (void *context, const struct cp_peer_message *message,
         bool own_domain_only)
{
  struct mesh_daemon *daemon = context;

  mesh_outbound_receive (&daemon->outbound, message);
  mesh_peers_broadcast (&daemon->peers, message, own_domain_only);
}

static void
on_stood (void *context, uint64_t duration_us)
{
  struct mesh_daemon *daemon = context;

  daemon->stalls++;
  daemon->longest_stall_us = MAX (daemon->longest_stall_us, duration_us);
  if (mesh_log_allowed (MESH_LOG_STALL))
    mesh_log (MESH_LOG_STALL, "\"stood_us\":%" G_GUINT64_FORMAT, duration_us);
}

static void
on_settled (void *context)
{
  struct mesh_daemon *daemon = context;

  mesh_inbound_settle (&daemon->inbound);
  mesh_outbound_settle (&daemon->outbound);
}

static const struct net_turns_events turns_events = { on_stood, on_settled };

static void
on_server_leaving (void *context)
{
  mesh_daemon_update_server (context);
}

static const struct mesh_inbound_events inbound_events
    = { on_reply,
        on_load,
        on_server_leaving,
        mesh_daemon_reserve_calls,
        mesh_daemon_release_calls,
        mesh_daemon_record_run };

/* Returns a random nonzero number that identifies this process.  */
static uint64_t
random_incarnation (void)
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
  return cp_error_set (
      error, CP_ERROR_NETWORK, address->text,
      "free the address or configure another one in the settings",
      "cannot listen: %s", uv_strerror (code));
}

static int
init_components (struct mesh_daemon *daemon, struct cp_error *error)
{
  const struct platform_settings *settings = &daemon->settings;
  uint64_t incarnation = random_incarnation ();
  int code;

  net_turns_init (&daemon->turns, &daemon->loop, &turns_events, daemon);
  uv_timer_init (&daemon->loop, &daemon->links_timer);
  daemon->links_timer.data = daemon;
  cp_server_pool_init (&daemon->pool, settings->domain,
                       settings->peer_listen.text, &pool_events, daemon);
  mesh_suspects_init (&daemon->suspects, &daemon->peers);
  cp_repeat_budgets_init (&daemon->budgets, now_us ());
  cp_call_fan_out_init (&daemon->fan_out);
  mesh_inbound_init (&daemon->inbound, &daemon->loop, &settings->server,
                     incarnation, &daemon->suspects, &inbound_events, daemon);
  code
      = mesh_peers_init (&daemon->peers, &daemon->loop, &settings->peer_listen,
                         incarnation, settings->domain, &peers_events, daemon);
  if (code != 0)
    return mesh_listen_error (error, &settings->peer_listen, code);
  code = mesh_outbound_init (&daemon->outbound, &daemon->loop,
                             &settings->call_listen, &daemon->pool,
                             &daemon->budgets, &daemon->suspects,
                             &daemon->random.random, &outbound_events, daemon);
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
    daemon->settings_mtime = status.st_mtim;
  daemon->state = daemon->chart.initial;
  cp_seeded_random_init (&daemon->random, random_incarnation ());
  uv_loop_init (&daemon->loop);
  if (init_components (daemon, error) != 0
      || mesh_daemon_start_endpoints (daemon, metrics, error) != 0)
    return -1;
  mesh_daemon_start_timers (daemon);
  mesh_daemon_connect_seeds (daemon);
  mesh_daemon_handle_event (daemon, MESH_EVENT_LISTENING);
  mesh_exchange_start (&daemon->exchange);
  return 0;
}

void
mesh_daemon_run (struct mesh_daemon *daemon)
{
  uv_run (&daemon->loop, UV_RUN_DEFAULT);
  /* Runs the close callbacks of handles that are still closing.  */
  uv_run (&daemon->loop, UV_RUN_DEFAULT);
}

void
mesh_daemon_finish (struct mesh_daemon *daemon)
{
  mesh_exchange_finish (&daemon->exchange);
  mesh_peers_finish (&daemon->peers);
  mesh_suspects_finish (&daemon->suspects);
  cp_repeat_budgets_finish (&daemon->budgets);
  cp_call_fan_out_finish (&daemon->fan_out);
  uv_loop_close (&daemon->loop);
  cp_seeded_random_finish (&daemon->random);
}

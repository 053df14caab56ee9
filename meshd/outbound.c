#include <string.h>

#include "lib/counter.h"
#include "meshd/log.h"
#include "meshd/outbound_internal.h"
#include "platform/headers.h"

/* The same for a daemon that does not know its configuration yet; it reads
   the store within some tens of milliseconds.  */
#define RETRY_UNKNOWN_US UINT64_C (200000)

/* Limits before the first configuration, those of the platform's examples.  */
static const struct net_server_limits first_limits
    = { 16384, 64U << 20, 3000, 15000 };

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

/* Answers EXCHANGE without making it a call.  */
static void
answer_own (struct mesh_outbound *outbound, struct net_exchange *exchange,
            unsigned status, const char *reason, uint64_t retry_us)
{
  struct platform_request says;
  GString *head = g_string_new (NULL);
  char id[128];

  platform_read_request (&says, &exchange->request.headers);
  platform_write_local_response (head, says.request_id, retry_us);
  outbound->counts.refused++;
  if (mesh_log_due (MESH_LOG_REFUSED))
    mesh_log (MESH_LOG_REFUSED,
              "\"request\":\"%s\",\"status\":%u,\"reason\":\"%s\","
              "\"config\":%" G_GUINT64_FORMAT,
              mesh_log_quote (says.request_id, id, sizeof id), status, reason,
              outbound->table == NULL ? 0 : outbound->table->version);
  net_exchange_respond (exchange, status, head->str, NULL, 0);
  g_string_free (head, TRUE);
}

static struct mesh_call *
call_create (struct mesh_outbound *outbound, struct net_exchange *exchange,
             struct cp_table_route *route)
{
  struct mesh_call *call = g_new0 (struct mesh_call, 1);
  struct platform_request says;
  uint64_t now = now_us ();
  uint64_t reading_us
      = (exchange->received_ms - exchange->started_ms) * CP_US_PER_MS;
  uint64_t left_us;

  platform_read_request (&says, &exchange->request.headers);
  left_us = says.remaining_us > 0 ? MIN (says.remaining_us, route->timeout_us)
                                  : route->timeout_us;
  call->outbound = outbound;
  call->exchange = exchange;
  call->table = cp_table_ref (outbound->table);
  call->route = route;
  call->service = cp_table_pick_part (route);
  call->request_id = says.request_id == NULL ? "" : says.request_id;
  call->began_us = now - MIN (now, reading_us);
  call->deadline_us = call->began_us + left_us;
  call->head = g_string_sized_new (512);
  g_string_append_printf (
      call->head, "%s %s HTTP/1.1\r\n",
      http_method_str ((enum http_method)exchange->request.parser.method),
      exchange->request.target->str);
  platform_write_request (call->head, &exchange->request.headers,
                          outbound->settings.service);
  exchange->owner = call;
  uv_timer_init (outbound->loop, &call->timer);
  call->timer.data = call;
  return call;
}

static void
on_request (void *context, struct net_exchange *exchange)
{
  struct mesh_outbound *outbound = context;
  const struct net_message *request = &exchange->request;
  struct cp_table_route *route;

  outbound->counts.calls++;
  if (outbound->table == NULL)
    {
      answer_own (outbound, exchange, 503, "no configuration yet",
                  RETRY_UNKNOWN_US);
      return;
    }
  if (outbound->server.request_body_bytes > outbound->settings.body_bytes_max)
    {
      answer_own (outbound, exchange, 503, "bodies take too much memory",
                  RETRY_UNKNOWN_US);
      return;
    }
  route = cp_table_route (outbound->table,
                          net_headers_find (&request->headers, "Host"),
                          request->target->str);
  if (route == NULL)
    {
      answer_own (outbound, exchange, 404, "no route", 0);
      return;
    }
  mesh_call_begin (call_create (outbound, exchange, route));
}

static void
on_abandoned (void *context, struct net_exchange *exchange)
{
  struct mesh_outbound *outbound = context;

  outbound->counts.abandoned++;
  mesh_call_abandon (exchange->owner);
}

static void
on_refused (void *context, unsigned status, const char *reason)
{
  struct mesh_outbound *outbound = context;

  outbound->counts.refused++;
  if (mesh_log_due (MESH_LOG_REFUSED))
    mesh_log (MESH_LOG_REFUSED, "\"status\":%u,\"reason\":\"%s\"", status,
              reason);
}

static const struct net_server_events server_events
    = { on_request, on_abandoned, on_refused };

int
mesh_outbound_init (struct mesh_outbound *outbound, uv_loop_t *loop,
                    const struct cp_address *address,
                    const struct mesh_outbound_settings *settings,
                    struct cp_roster *roster, struct mesh_peers *peers,
                    const struct cp_random *random,
                    const struct mesh_outbound_events *events, void *context)
{
  *outbound = (struct mesh_outbound){ .loop = loop,
                                      .settings = *settings,
                                      .roster = roster,
                                      .peers = peers,
                                      .random = random,
                                      .events = events,
                                      .context = context };
  outbound->attempts = g_hash_table_new (g_int64_hash, g_int64_equal);
  outbound->budgets
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  outbound->latency = g_new0 (struct cp_histogram, 1);
  return net_server_init (&outbound->server, loop, address, &first_limits,
                          &server_events, outbound);
}

void
mesh_outbound_set_table (struct mesh_outbound *outbound,
                         struct cp_table *table)
{
  const struct cp_client_limits *limits = &table->limits;

  cp_table_unref (outbound->table);
  outbound->table = cp_table_ref (table);
  if (limits->head_bytes > 0)
    outbound->server.limits = (struct net_server_limits){
      .head_bytes = limits->head_bytes,
      .body_bytes = limits->body_bytes,
      .head_ms = limits->head_us / CP_US_PER_MS,
      .idle_ms = limits->idle_us / CP_US_PER_MS,
    };
}

void
mesh_outbound_stop (struct mesh_outbound *outbound)
{
  net_server_finish (&outbound->server);
}

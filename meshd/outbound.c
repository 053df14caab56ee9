#include <string.h>

#include "lib/counter.h"
#include "lib/request_digest.h"
#include "meshd/log.h"
#include "meshd/outbound_internal.h"
#include "platform/headers.h"

/* Retry-After of a daemon that has no configuration yet.  It reads the store
   within some tens of milliseconds.  */
#define RETRY_AFTER_UNCONFIGURED_US UINT64_C (200000)

/* Retry-After of a route that could not be read.  An operator corrects it, so
   a short wait only adds load.  */
#define RETRY_AFTER_UNUSABLE_US CP_US_PER_S

/* A body of up to this length is taken whatever others take.  */
#define SMALL_BODY_BYTES 65536

/* More than this daemon adds to the head of a request that it forwards.  */
#define ADDED_HEAD_BYTES 1024

/* Limits before the first configuration, taken from the platform's
   examples.  */
static const struct net_server_limits initial_limits
    = { 16384, 64U << 20, 3000, 15000 };

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

/* Answers EXCHANGE without creating a call.  */
static void
answer_without_call (struct mesh_outbound *outbound,
                     struct net_exchange *exchange, unsigned status,
                     const char *reason, uint64_t retry_us)
{
  struct platform_request headers;
  GString *head = g_string_new (NULL);
  char id[128];

  platform_read_request (&headers, &exchange->request.headers);
  platform_write_local_response (head, headers.request_id, retry_us);
  outbound->counts.refused++;
  if (mesh_log_allowed (MESH_LOG_REFUSED))
    mesh_log (MESH_LOG_REFUSED,
              "\"request\":\"%s\",\"status\":%u,\"reason\":\"%s\","
              "\"config\":%" G_GUINT64_FORMAT,
              mesh_log_sanitize (headers.request_id, id, sizeof id), status,
              reason, outbound->table == NULL ? 0 : outbound->table->version);
  net_exchange_respond (exchange, status, head->str, NULL, 0);
  g_string_free (head, TRUE);
}

static uint64_t
digest_request (const struct mesh_outbound *outbound,
                const struct net_message *request)
{
  struct cp_request_content content = {
    .method = http_method_str ((enum http_method)request->parser.method),
    .host = net_headers_find (&request->headers, "Host"),
    .target = request->target->str,
    .caller = outbound->settings.service,
    .body = request->body->data,
    .body_bytes = request->body->len,
  };

  return cp_request_digest (&content);
}

static struct mesh_call *
call_create (struct mesh_outbound *outbound, struct net_exchange *exchange,
             struct cp_route_table_entry *route)
{
  struct mesh_call *call = g_new0 (struct mesh_call, 1);
  struct platform_request headers;
  uint64_t now = now_us ();
  uint64_t reading_us
      = (exchange->received_ms - exchange->started_ms) * CP_US_PER_MS;
  uint64_t remaining_us;

  platform_read_request (&headers, &exchange->request.headers);
  remaining_us = headers.remaining_us > 0
                     ? MIN (headers.remaining_us, route->timeout_us)
                     : route->timeout_us;
  call->outbound = outbound;
  call->exchange = exchange;
  call->table = cp_route_table_ref (outbound->table);
  call->route = route;
  call->service = cp_route_table_pick_service (route);
  call->request_id = headers.request_id == NULL ? "" : headers.request_id;
  call->nested = outbound->events->find_parent (
      outbound->context, call->request_id, call->service, &call->parent);
  call->digest = digest_request (outbound, &exchange->request);
  call->began_us = now - MIN (now, reading_us);
  call->deadline_us = call->began_us + remaining_us;
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

/* Returns the status with which REQUEST is refused because it does not fit
   into a message to another daemon, or 0.  The limits of the configuration are
   usually less than that.  */
static unsigned
find_excess (const struct net_message *request)
{
  if (request->head_bytes + ADDED_HEAD_BYTES > CP_PEER_HEAD_MAX)
    return 431;
  return request->body->len > CP_PEER_BODY_MAX ? 413 : 0;
}

static void
on_request (void *context, struct net_exchange *exchange)
{
  struct mesh_outbound *outbound = context;
  const struct net_message *request = &exchange->request;
  struct cp_route_table_entry *route;
  unsigned excess = find_excess (request);

  outbound->counts.calls++;
  if (excess != 0)
    {
      answer_without_call (outbound, exchange, excess,
                           "does not fit into a message", 0);
      return;
    }
  if (outbound->table == NULL)
    {
      answer_without_call (outbound, exchange, 503, "no configuration yet",
                           RETRY_AFTER_UNCONFIGURED_US);
      return;
    }
  route = cp_route_table_find (outbound->table,
                               net_headers_find (&request->headers, "Host"),
                               request->target->str);
  if (route == NULL)
    {
      answer_without_call (outbound, exchange, 404, "no route", 0);
      return;
    }
  if (route->unusable)
    {
      answer_without_call (outbound, exchange, 503, "unusable route",
                           RETRY_AFTER_UNUSABLE_US);
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
  if (mesh_log_allowed (MESH_LOG_REFUSED))
    mesh_log (MESH_LOG_REFUSED, "\"status\":%u,\"reason\":\"%s\"", status,
              reason);
}

static const struct net_server_events server_events
    = { on_request, on_abandoned, on_refused };

int
mesh_outbound_init (struct mesh_outbound *outbound, uv_loop_t *loop,
                    const struct cp_address *address,
                    struct cp_server_pool *pool,
                    struct cp_repeat_budgets *budgets,
                    const struct mesh_suspects *suspects,
                    const struct cp_random *random,
                    const struct mesh_outbound_events *events, void *context)
{
  *outbound = (struct mesh_outbound){ .loop = loop,
                                      .pool = pool,
                                      .budgets = budgets,
                                      .suspects = suspects,
                                      .random = random,
                                      .events = events,
                                      .context = context };
  CDS_INIT_LIST_HEAD (&outbound->held);
  outbound->attempts = g_hash_table_new (g_int64_hash, g_int64_equal);
  outbound->rooms
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  outbound->latency = g_new0 (struct cp_histogram, 1);
  return net_server_init (&outbound->server, loop, address, &initial_limits,
                          &server_events, outbound);
}

void
mesh_outbound_set_table (struct mesh_outbound *outbound,
                         struct cp_route_table *table)
{
  const struct cp_client_limits *limits = &table->limits;
  struct net_server_limits *server_limits = &outbound->server.limits;

  cp_route_table_unref (outbound->table);
  outbound->table = cp_route_table_ref (table);
  if (limits->head_bytes > 0)
    server_limits->head_bytes = limits->head_bytes;
  if (limits->body_bytes > 0)
    server_limits->body_bytes = limits->body_bytes;
  if (limits->head_us > 0)
    server_limits->head_ms = limits->head_us / CP_US_PER_MS;
  if (limits->idle_us > 0)
    server_limits->idle_ms = limits->idle_us / CP_US_PER_MS;
}

void
mesh_outbound_settle (struct mesh_outbound *outbound)
{
  while (!cds_list_empty (&outbound->held))
    {
      struct mesh_call *call = cds_list_first_entry (
          &outbound->held, struct mesh_call, held_node);

      mesh_call_release (call);
      mesh_call_try_next (call);
    }
}

void
mesh_outbound_set_body_memory (struct mesh_outbound *outbound, uint64_t bytes)
{
  outbound->server.body_budget.max = bytes;
  outbound->server.body_budget.share = SMALL_BODY_BYTES;
}

void
mesh_outbound_plan_stop (struct mesh_outbound *outbound,
                         const struct cp_stop_plan *plan)
{
  outbound->stop = plan;
}

void
mesh_outbound_stop (struct mesh_outbound *outbound)
{
  net_server_finish (&outbound->server);
}

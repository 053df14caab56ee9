#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

/* The balancer of one service.  */
struct service_balancer
{
  struct cds_list_head node;
  struct cp_balancer balancer;
};

int
outbound_init (struct outbound *outbound, struct daemon *daemon,
               struct cp_error *error)
{
  char path[320];

  memset (outbound, 0, sizeof *outbound);
  outbound->daemon = daemon;
  pthread_mutex_init (&outbound->lock, NULL);
  CDS_INIT_LIST_HEAD (&outbound->balancers);
  cp_peer_clocks_init (&outbound->peers, daemon->clock);
  snprintf (path, sizeof path, "%s/target.json", daemon->settings.charts);
  if (cp_chart_load (&outbound->chart, path, &cp_health_names, error) != 0)
    return -1;
  return outbound_start_load_queries (outbound, error);
}

void
outbound_finish (struct outbound *outbound)
{
  struct service_balancer *entry, *next;

  outbound_stop_load_queries (outbound);
  cds_list_for_each_entry_safe (entry, next, &outbound->balancers, node)
  {
    cds_list_del (&entry->node);
    cp_balancer_finish (&entry->balancer);
    free (entry);
  }
  cp_peer_clocks_finish (&outbound->peers);
  pthread_mutex_destroy (&outbound->lock);
}

struct cp_balancer *
outbound_balancer_at (struct outbound *outbound, unsigned index)
{
  struct service_balancer *entry;

  CP_LOCK_SCOPE (&outbound->lock);
  cds_list_for_each_entry (entry, &outbound->balancers, node)
  {
    if (index-- == 0)
      return &entry->balancer;
  }
  return NULL;
}

/* Finds the balancer of a service.  The caller holds the lock.  */
static struct cp_balancer *
find_balancer (struct outbound *outbound, const char *service)
{
  struct service_balancer *entry;

  cds_list_for_each_entry (entry, &outbound->balancers, node)
  {
    if (strcmp (entry->balancer.service, service) == 0)
      return &entry->balancer;
  }
  return NULL;
}

static void
record_decision (void *context, struct cp_decision *decision)
{
  daemon_record (context, decision);
}

/* Returns the balancer of a service, which is created if needed.  */
static struct cp_balancer *
get_balancer (struct outbound *outbound, const char *service)
{
  const struct cp_balancer_observer observer
      = { record_decision, outbound->daemon };
  struct cp_balancer *balancer;
  struct service_balancer *entry;

  CP_LOCK_SCOPE (&outbound->lock);
  balancer = find_balancer (outbound, service);
  if (balancer != NULL)
    return balancer;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    abort ();
  cp_balancer_init (&entry->balancer, &cp_picker_hot_cold, &outbound->chart,
                    outbound->daemon->clock, service,
                    outbound->daemon->settings.vm,
                    outbound->daemon->settings.failure_domain);
  cp_balancer_set_observer (&entry->balancer, &observer);
  cds_list_add_tail (&entry->node, &outbound->balancers);
  return &entry->balancer;
}

void
outbound_update (struct outbound *outbound, const struct cp_document *document)
{
  for (unsigned i = 0; i < document->n_services; i++)
    {
      struct cp_balancer *balancer
          = get_balancer (outbound, document->services[i].name);

      cp_balancer_update (balancer, &document->services[i],
                          2 * document->fleet.one_way_us);
      outbound_query_loads (balancer);
    }
}

/* Sets the deadline, idempotency and retry permission of a call from the
   document.  The caller's headers can only restrict them further.  */
static void
set_limits (struct call *call)
{
  const char *remaining = request_header (call->request, HEADER_REMAINING);
  const char *retry = request_header (call->request, HEADER_RETRY);
  const char *idempotent = request_header (call->request, HEADER_IDEMPOTENT);
  uint64_t limit_us = call->route->deadline_us;

  if (remaining != NULL)
    {
      uint64_t requested_us = strtoull (remaining, NULL, 10) * CP_US_PER_MS;

      limit_us = requested_us < limit_us ? requested_us : limit_us;
    }
  call->deadline_us = call->request->arrived_us + limit_us;
  call->idempotent = call->route->idempotent
                     && (idempotent == NULL || strcmp (idempotent, "no") != 0);
  call->may_retry = retry == NULL || strcmp (retry, "none") != 0;
}

/* Refuses a request before any attempt is made.  */
static void
refuse (struct request *request, int status, const char *text)
{
  struct cp_id id;
  char id_text[CP_ID_TEXT_BYTES];
  char headers[160];

  cp_id_create (&id, cp_random_thread ());
  cp_id_text (&id, id_text);
  snprintf (headers, sizeof headers,
            HEADER_REQUEST ": %s\r\n" HEADER_OUTCOME ": not-run\r\n%s",
            id_text, status == 503 ? "Retry-After: 1\r\n" : "");
  request_answer (request, status, headers, "text/plain", text);
}

/* Finds the route of a request and runs the call.  */
static void
serve (struct outbound *outbound, struct request *request,
       const struct cp_document *document)
{
  const char *host = request_header (request, "Host");
  bool path_matched = false;
  struct call call = { .outbound = outbound, .request = request };

  call.route = cp_document_route (
      document, host == NULL ? "" : host, request->info->request_uri,
      cp_method_parse (request->info->request_method), &path_matched);
  if (call.route == NULL)
    {
      daemon_count (outbound->daemon, COUNT_NO_ROUTE);
      if (path_matched)
        refuse (request, 405, "No route takes this method.\n");
      else
        refuse (request, 404, "No route takes this host and path.\n");
      return;
    }
  set_limits (&call);
  cp_id_create (&call.id, cp_random_thread ());
  call.tried.request = call.id;
  call.answer.request = request;
  call.balancer = get_balancer (outbound, call.route->service->name);
  call.body = g_byte_array_new ();
  call_run (&call);
  g_byte_array_unref (call.body);
  cp_histogram_add (&outbound->latency,
                    cp_clock_now_us (outbound->daemon->clock)
                        - request->arrived_us);
}

void
outbound_handle (void *context, struct request *request)
{
  struct outbound *outbound = context;
  struct daemon *daemon = outbound->daemon;
  struct cp_document *document = NULL;

  __atomic_fetch_add (&outbound->in_flight, 1, __ATOMIC_RELAXED);
  daemon_count (daemon, COUNT_CALLS);
  if (configuration_usable (&daemon->configuration))
    document = configuration_get (&daemon->configuration);
  if (document == NULL || daemon_life (daemon) != CP_DAEMON_SERVING)
    {
      daemon_count (daemon, COUNT_NOT_RUN);
      refuse (request, 503, "This daemon is not serving.\n");
    }
  else
    serve (outbound, request, document);
  cp_document_unref (document);
  __atomic_fetch_sub (&outbound->in_flight, 1, __ATOMIC_RELAXED);
}

json_t *
outbound_dump (struct outbound *outbound)
{
  struct service_balancer *entry;
  json_t *services = json_object ();

  CP_LOCK_SCOPE (&outbound->lock);
  cds_list_for_each_entry (entry, &outbound->balancers, node)
      json_object_set_new (services, entry->balancer.service,
                           cp_balancer_dump (&entry->balancer));
  return json_pack (
      "{s:i, s:I, s:I, s:o}", "in_flight",
      (int)__atomic_load_n (&outbound->in_flight, __ATOMIC_RELAXED), "p50_us",
      (json_int_t)cp_histogram_quantile (&outbound->latency, 0.5), "p99_us",
      (json_int_t)cp_histogram_quantile (&outbound->latency, 0.99), "services",
      services);
}

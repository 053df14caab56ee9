#include <stdlib.h>
#include <string.h>
#include <urcu/uatomic.h>
#include <xxhash.h>

#include "lib/check.h"
#include "lib/cleanup.h"
#include "lib/clock.h"
#include "lib/document.h"
#include "lib/route_index.h"

#define REPLAY_BYTES_DEFAULT 65536

/* These functions read a document that has passed cp_document_check, so that
   required keys exist and values have the right type.  */

static void
get_name (json_t *object, const char *key, char name[CP_NAME_BYTES])
{
  g_strlcpy (name, json_string_value (json_object_get (object, key)),
             CP_NAME_BYTES);
}

static double
get_number (json_t *object, const char *key)
{
  return json_number_value (json_object_get (object, key));
}

static uint64_t
get_duration_us (json_t *object, const char *key)
{
  return (uint64_t)(get_number (object, key) * (double)CP_US_PER_MS);
}

static unsigned
get_count (json_t *object, const char *key)
{
  return (unsigned)json_integer_value (json_object_get (object, key));
}

static void
compile_targets (json_t *targets, struct cp_service *service)
{
  const char *name;
  json_t *body;

  service->targets
      = calloc (json_object_size (targets), sizeof *service->targets);
  if (service->targets == NULL)
    abort ();
  json_object_foreach (targets, name, body)
  {
    struct cp_target *target = &service->targets[service->n_targets++];
    json_t *daemon = json_object_get (body, "daemon");

    g_strlcpy (target->name, name, sizeof target->name);
    get_name (body, "failure_domain", target->failure_domain);
    cp_address_parse (&target->address,
                      json_string_value (json_object_get (body, "address")));
    target->has_daemon = json_is_string (daemon);
    if (target->has_daemon)
      cp_address_parse (&target->daemon, json_string_value (daemon));
  }
}

unsigned
cp_method_parse (const char *name)
{
  static const char *const names[]
      = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS" };

  for (unsigned i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (name, names[i]) == 0)
      return 1U << i;
  return 0;
}

static enum cp_priority
get_priority (json_t *route)
{
  const char *name = json_string_value (json_object_get (route, "priority"));

  if (name != NULL && strcmp (name, "high") == 0)
    return CP_PRIORITY_HIGH;
  if (name != NULL && strcmp (name, "low") == 0)
    return CP_PRIORITY_LOW;
  return CP_PRIORITY_NORMAL;
}

static void
compile_route (json_t *body, const struct cp_service *service,
               struct cp_route *route)
{
  size_t i;
  json_t *method;

  route->service = service;
  route->host = strdup (json_string_value (json_object_get (body, "host")));
  route->path = strdup (json_string_value (json_object_get (body, "path")));
  if (route->host == NULL || route->path == NULL)
    abort ();
  route->prefix = route->path[strlen (route->path) - 1] == '/';
  json_array_foreach (json_object_get (body, "methods"), i, method)
      route->methods
      |= cp_method_parse (json_string_value (method));
  route->idempotent = !json_is_false (json_object_get (body, "idempotent"));
  route->priority = get_priority (body);
  route->deadline_us = service->deadline_us;
  if (json_object_get (body, "deadline_ms") != NULL)
    route->deadline_us = get_duration_us (body, "deadline_ms");
  route->replay_bytes = REPLAY_BYTES_DEFAULT;
  if (json_object_get (body, "replay_bytes") != NULL)
    route->replay_bytes = get_count (body, "replay_bytes");
}

static void
compile_routes (json_t *routes, struct cp_service *service)
{
  size_t i;
  json_t *body;

  service->n_routes = (unsigned)json_array_size (routes);
  service->routes = calloc (service->n_routes, sizeof *service->routes);
  if (service->routes == NULL)
    abort ();
  json_array_foreach (routes, i, body)
      compile_route (body, service, &service->routes[i]);
}

static void
compile_probe (json_t *body, struct cp_probe *probe)
{
  if (body == NULL)
    return;
  g_strlcpy (probe->path, json_string_value (json_object_get (body, "path")),
             sizeof probe->path);
  probe->interval_us = get_duration_us (body, "interval_ms");
}

static void
compile_service (const char *name, json_t *section, struct cp_service *service)
{
  json_t *drain = json_object_get (section, "drain");
  json_t *retry = json_object_get (section, "retry");
  json_t *hedge = json_object_get (section, "hedge");

  g_strlcpy (service->name, name, sizeof service->name);
  get_name (section, "owner", service->owner);
  service->slots = get_count (section, "slots");
  service->connections = get_count (section, "connections");
  service->deadline_us = get_duration_us (section, "deadline_ms");
  service->drain_within_us = get_duration_us (drain, "within_ms");
  service->drain_finish_us = get_duration_us (drain, "finish_ms");
  service->retry_share = get_number (retry, "calls_share");
  service->max_retries = get_count (retry, "most");
  service->hedge_share = get_number (hedge, "calls_share");
  service->hedge_quantile = get_number (hedge, "after_quantile");
  service->eject_most_share
      = get_number (json_object_get (section, "eject"), "most_share");
  compile_probe (json_object_get (section, "load"), &service->load);
  compile_probe (json_object_get (section, "health"), &service->health);
  compile_targets (json_object_get (section, "targets"), service);
  compile_routes (json_object_get (section, "routes"), service);
}

static void
compile_domains (json_t *domains, struct cp_fleet *fleet)
{
  const char *name;
  json_t *body;

  fleet->domains = calloc (json_object_size (domains), sizeof *fleet->domains);
  if (fleet->domains == NULL)
    abort ();
  json_object_foreach (domains, name, body)
  {
    struct cp_failure_domain *domain = &fleet->domains[fleet->n_domains++];

    g_strlcpy (domain->name, name, sizeof domain->name);
    get_name (body, "region", domain->region);
  }
}

static void
compile_fleet (json_t *section, struct cp_fleet *fleet)
{
  json_t *one_way = json_object_get (section, "one_way_ms");
  json_t *service = json_object_get (section, "configuration_service");
  json_t *measuring = json_object_get (section, "measuring");

  get_name (section, "owner", fleet->owner);
  fleet->one_way_us = get_duration_us (one_way, "between_failure_domains");
  fleet->one_way_caller_us = get_duration_us (one_way, "to_callers");
  fleet->new_connection_us = get_duration_us (section, "new_connection_ms");
  fleet->reads_per_s = get_number (service, "reads_per_s");
  fleet->reads_most_share = get_number (service, "most_share");
  fleet->in_force_us = get_duration_us (service, "in_force_ms");
  fleet->probe_us = get_duration_us (measuring, "probe_ms");
  fleet->target_us_per_s
      = get_number (measuring, "target_ms_per_s") * (double)CP_US_PER_MS;
  fleet->bytes_per_s = get_number (measuring, "bytes_per_s");
  compile_domains (json_object_get (section, "failure_domains"), fleet);
}

static void
compile_root (json_t *root, struct cp_document *document)
{
  json_t *sections = json_object_get (root, "sections");
  const char *name;
  json_t *section;

  document->version
      = (uint64_t)json_integer_value (json_object_get (root, "version"));
  document->services
      = calloc (json_object_size (sections), sizeof *document->services);
  if (document->services == NULL)
    abort ();
  json_object_foreach (sections, name, section)
  {
    if (json_object_get (section, "targets") == NULL)
      compile_fleet (section, &document->fleet);
    else
      compile_service (name, section,
                       &document->services[document->n_services++]);
  }
}

static void
set_error_from_first_fault (const char *name, const struct cp_faults *faults,
                            struct cp_error *error)
{
  const struct cp_fault *fault
      = cds_list_first_entry (&faults->list, struct cp_fault, node);
  char place[192];

  snprintf (place, sizeof place, "%.60s:%u: %.60s%s%.60s", name, fault->line,
            fault->section, *fault->section != '\0' ? "/" : "", fault->path);
  cp_error_set (error, CP_ERROR_DOCUMENT, place, fault->remedy, "%s",
                fault->problem);
}

struct cp_document *
cp_document_compile (const char *name, const char *text, size_t length,
                     struct cp_error *error)
{
  CP_AUTO_JSON json_t *root = NULL;
  struct cp_document *document;
  struct cp_faults faults;
  bool valid;

  cp_faults_init (&faults);
  valid = cp_document_check (text, length, &faults);
  if (!valid)
    set_error_from_first_fault (name, &faults, error);
  cp_faults_finish (&faults);
  if (!valid)
    return NULL;
  root = json_loadb (text, length, 0, NULL);
  document = calloc (1, sizeof *document);
  if (root == NULL || document == NULL)
    abort ();
  document->references = 1;
  document->hash = XXH3_64bits (text, length);
  compile_root (root, document);
  document->routes = cp_route_index_create (document);
  return document;
}

static void
free_service (struct cp_service *service)
{
  for (unsigned i = 0; i < service->n_routes; i++)
    {
      free (service->routes[i].host);
      free (service->routes[i].path);
    }
  free (service->routes);
  free (service->targets);
}

void
cp_document_ref (struct cp_document *document)
{
  uatomic_inc (&document->references);
}

void
cp_document_unref (struct cp_document *document)
{
  if (document == NULL || uatomic_sub_return (&document->references, 1) > 0)
    return;
  g_hash_table_destroy (document->routes);
  for (unsigned i = 0; i < document->n_services; i++)
    free_service (&document->services[i]);
  free (document->services);
  free (document->fleet.domains);
  free (document);
}

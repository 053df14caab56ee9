#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <urcu/uatomic.h>
#include <xxhash.h>

#include "lib/cleanup.h"
#include "lib/clock.h"
#include "lib/document.h"

#define REPLAY_BYTES_DEFAULT 65536

/* Where the compiler is, for messages.  */
struct compiler
{
  const char *file;
  const char *section;
  struct cp_error *error;
};

static int
fail (const struct compiler *compiler, const char *path, const char *problem,
      const char *remedy)
{
  char place[192];

  snprintf (place, sizeof place, "%s: %s/%s", compiler->file,
            compiler->section, path);
  return cp_error_set (compiler->error, CP_ERROR_DOCUMENT, place, remedy, "%s",
                       problem);
}

static int
get_number (const struct compiler *compiler, json_t *object, const char *key,
            double scale, double *value)
{
  json_t *number = json_object_get (object, key);

  if (!json_is_number (number) || json_number_value (number) <= 0)
    return fail (compiler, key, "is missing or no positive number",
                 "write a number above 0");
  *value = json_number_value (number) * scale;
  return 0;
}

static int
get_duration (const struct compiler *compiler, json_t *object, const char *key,
              uint64_t *value_us)
{
  double value = 0;

  if (get_number (compiler, object, key, (double)CP_US_PER_MS, &value) != 0)
    return -1;
  *value_us = (uint64_t)value;
  return 0;
}

static int
get_count (const struct compiler *compiler, json_t *object, const char *key,
           unsigned *count)
{
  double value = 0;

  if (get_number (compiler, object, key, 1, &value) != 0)
    return -1;
  *count = (unsigned)value;
  return 0;
}

static int
get_name (const struct compiler *compiler, json_t *object, const char *key,
          char *name, size_t size)
{
  const char *text = json_string_value (json_object_get (object, key));

  if (text == NULL || *text == '\0' || strlen (text) >= size)
    return fail (compiler, key, "is missing, empty or too long",
                 "write a short text");
  g_strlcpy (name, text, size);
  return 0;
}

static int
compile_target (const struct compiler *compiler, const char *name,
                json_t *body, struct cp_target *target)
{
  json_t *daemon = json_object_get (body, "daemon");

  if (strlen (name) >= sizeof target->name)
    return fail (compiler, name, "has too long a name",
                 "use at most 63 bytes");
  g_strlcpy (target->name, name, sizeof target->name);
  if (!cp_address_parse (&target->address, json_string_value (json_object_get (
                                               body, "address"))))
    return fail (compiler, "targets/address", "is no IP number with port",
                 "write \"10.1.1.1:8080\" or \"[2001:db8::1]:8080\"");
  target->has_daemon = !json_is_false (daemon);
  if (target->has_daemon
      && !cp_address_parse (&target->daemon, json_string_value (daemon)))
    return fail (compiler, "targets/daemon", "is no IP number with port",
                 "write an address, or false for none");
  return get_name (compiler, body, "failure_domain", target->failure_domain,
                   sizeof target->failure_domain);
}

static int
compile_targets (const struct compiler *compiler, json_t *section,
                 struct cp_service *service)
{
  json_t *targets = json_object_get (section, "targets");
  const char *name;
  json_t *body;

  if (json_object_size (targets) == 0)
    return fail (compiler, "targets", "has no targets", "name at least one");
  service->targets
      = calloc (json_object_size (targets), sizeof *service->targets);
  if (service->targets == NULL)
    return fail (compiler, "targets", "needs more memory", "free memory");
  json_object_foreach (targets, name, body)
  {
    if (compile_target (compiler, name, body,
                        &service->targets[service->n_targets])
        != 0)
      return -1;
    service->n_targets++;
  }
  return 0;
}

unsigned
cp_method_parse (const char *name)
{
  static const char *const names[]
      = { "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS" };

  for (unsigned i = 0; i < sizeof names / sizeof names[0]; i++)
    if (strcmp (name, names[i]) == 0)
      return 1U << i;
  return 0;
}

static int
compile_methods (const struct compiler *compiler, json_t *list,
                 struct cp_route *route)
{
  size_t i;
  json_t *name;

  json_array_foreach (list, i, name)
  {
    unsigned method = json_is_string (name)
                          ? cp_method_parse (json_string_value (name))
                          : 0;

    if (method == 0)
      return fail (compiler, "routes/methods", "has an unknown method",
                   "use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS");
    route->methods |= method;
  }
  if (route->methods == 0)
    return fail (compiler, "routes/methods", "names no method",
                 "name at least one");
  return 0;
}

static int
compile_priority (const struct compiler *compiler, json_t *body,
                  struct cp_route *route)
{
  const char *name = json_string_value (json_object_get (body, "priority"));

  route->priority = CP_PRIORITY_NORMAL;
  if (name == NULL || strcmp (name, "normal") == 0)
    return 0;
  if (strcmp (name, "high") == 0)
    route->priority = CP_PRIORITY_HIGH;
  else if (strcmp (name, "low") == 0)
    route->priority = CP_PRIORITY_LOW;
  else
    return fail (compiler, "routes/priority", "is unknown",
                 "use low, normal or high");
  return 0;
}

static int
compile_idempotent (const struct compiler *compiler, json_t *body,
                    struct cp_route *route)
{
  json_t *idempotent = json_object_get (body, "idempotent");

  if (idempotent != NULL && !json_is_boolean (idempotent))
    return fail (compiler, "routes/idempotent", "is no boolean",
                 "write true or false");
  if (idempotent == NULL
      && (route->methods & (CP_METHOD_POST | CP_METHOD_PATCH)) != 0)
    return fail (compiler, "routes/idempotent", "is missing",
                 "state it for routes with POST or PATCH");
  route->idempotent = idempotent == NULL || json_is_true (idempotent);
  return 0;
}

static int
compile_route (const struct compiler *compiler, json_t *body,
               struct cp_service *service, struct cp_route *route)
{
  const char *host = json_string_value (json_object_get (body, "host"));
  const char *path = json_string_value (json_object_get (body, "path"));

  if (host == NULL || path == NULL || path[0] != '/')
    return fail (compiler, "routes", "lacks a host or an absolute path",
                 "write \"host\" and \"path\"");
  route->service = service;
  route->host = strdup (host);
  route->path = strdup (path);
  if (route->host == NULL || route->path == NULL)
    return fail (compiler, "routes", "needs more memory", "free memory");
  route->prefix = path[strlen (path) - 1] == '/';
  route->deadline_us = service->deadline_us;
  route->replay_bytes = REPLAY_BYTES_DEFAULT;
  if (compile_methods (compiler, json_object_get (body, "methods"), route) != 0
      || compile_idempotent (compiler, body, route) != 0
      || compile_priority (compiler, body, route) != 0)
    return -1;
  if (json_object_get (body, "replay_bytes") != NULL)
    route->replay_bytes = (uint64_t)json_integer_value (
        json_object_get (body, "replay_bytes"));
  if (json_object_get (body, "deadline_ms") == NULL)
    return 0;
  return get_duration (compiler, body, "deadline_ms", &route->deadline_us);
}

static int
compile_routes (const struct compiler *compiler, json_t *section,
                struct cp_service *service)
{
  json_t *routes = json_object_get (section, "routes");
  size_t i;
  json_t *body;

  if (json_array_size (routes) == 0)
    return fail (compiler, "routes", "has no routes", "name at least one");
  service->routes = calloc (json_array_size (routes), sizeof *service->routes);
  if (service->routes == NULL)
    return fail (compiler, "routes", "needs more memory", "free memory");
  json_array_foreach (routes, i, body)
  {
    service->n_routes++;
    if (compile_route (compiler, body, service, &service->routes[i]) != 0)
      return -1;
  }
  return 0;
}

static int
compile_probe (const struct compiler *compiler, json_t *section,
               const char *key, struct cp_probe *probe)
{
  json_t *body = json_object_get (section, key);

  if (body == NULL)
    return 0;
  if (get_name (compiler, body, "path", probe->path, sizeof probe->path) != 0)
    return -1;
  return get_duration (compiler, body, "interval_ms", &probe->interval_us);
}

static int
compile_limits (const struct compiler *compiler, json_t *section,
                struct cp_service *service)
{
  json_t *drain = json_object_get (section, "drain");
  json_t *retry = json_object_get (section, "retry");
  json_t *hedge = json_object_get (section, "hedge");
  json_t *eject = json_object_get (section, "eject");

  if (get_count (compiler, section, "slots", &service->slots) != 0
      || get_count (compiler, section, "connections", &service->connections)
             != 0
      || get_duration (compiler, section, "deadline_ms", &service->deadline_us)
             != 0
      || get_duration (compiler, drain, "within_ms", &service->drain_within_us)
             != 0
      || get_duration (compiler, drain, "finish_ms", &service->drain_finish_us)
             != 0)
    return -1;
  if (retry != NULL
      && (get_number (compiler, retry, "calls_share", 1, &service->retry_share)
              != 0
          || get_count (compiler, retry, "most", &service->retry_most) != 0))
    return -1;
  if (hedge != NULL
      && (get_number (compiler, hedge, "calls_share", 1, &service->hedge_share)
              != 0
          || get_number (compiler, hedge, "after_quantile", 1,
                         &service->hedge_quantile)
                 != 0))
    return -1;
  if (eject == NULL)
    return 0;
  return get_number (compiler, eject, "most_share", 1,
                     &service->eject_most_share);
}

static int
compile_service (const struct compiler *compiler, json_t *section,
                 struct cp_service *service)
{
  if (get_name (compiler, section, "owner", service->owner,
                sizeof service->owner)
          != 0
      || compile_limits (compiler, section, service) != 0
      || compile_probe (compiler, section, "load", &service->load) != 0
      || compile_probe (compiler, section, "health", &service->health) != 0
      || compile_targets (compiler, section, service) != 0)
    return -1;
  return compile_routes (compiler, section, service);
}

static int
compile_domains (const struct compiler *compiler, json_t *section,
                 struct cp_fleet *fleet)
{
  json_t *domains = json_object_get (section, "failure_domains");
  const char *name;
  json_t *body;

  if (json_object_size (domains) == 0)
    return fail (compiler, "failure_domains", "names none",
                 "name at least one");
  fleet->domains = calloc (json_object_size (domains), sizeof *fleet->domains);
  if (fleet->domains == NULL)
    return fail (compiler, "failure_domains", "needs more memory",
                 "free memory");
  json_object_foreach (domains, name, body)
  {
    struct cp_failure_domain *domain = &fleet->domains[fleet->n_domains++];

    if (strlen (name) >= sizeof domain->name)
      return fail (compiler, name, "has too long a name",
                   "use at most 63 bytes");
    g_strlcpy (domain->name, name, sizeof domain->name);
    if (get_name (compiler, body, "region", domain->region,
                  sizeof domain->region)
        != 0)
      return -1;
  }
  return 0;
}

static int
compile_fleet (const struct compiler *compiler, json_t *section,
               struct cp_fleet *fleet)
{
  json_t *one_way = json_object_get (section, "one_way_ms");
  json_t *service = json_object_get (section, "configuration_service");
  json_t *measuring = json_object_get (section, "measuring");

  if (get_name (compiler, section, "owner", fleet->owner, sizeof fleet->owner)
          != 0
      || compile_domains (compiler, section, fleet) != 0
      || get_duration (compiler, one_way, "between_failure_domains",
                       &fleet->one_way_us)
             != 0
      || get_duration (compiler, one_way, "to_callers",
                       &fleet->one_way_caller_us)
             != 0
      || get_duration (compiler, section, "new_connection_ms",
                       &fleet->new_connection_us)
             != 0)
    return -1;
  if (get_number (compiler, service, "reads_per_s", 1, &fleet->reads_per_s)
          != 0
      || get_number (compiler, service, "most_share", 1,
                     &fleet->reads_most_share)
             != 0
      || get_duration (compiler, service, "in_force_ms", &fleet->in_force_us)
             != 0)
    return -1;
  if (get_duration (compiler, measuring, "probe_ms", &fleet->probe_us) != 0
      || get_number (compiler, measuring, "target_ms_per_s",
                     (double)CP_US_PER_MS, &fleet->target_us_per_s)
             != 0)
    return -1;
  return get_number (compiler, measuring, "bytes_per_s", 1,
                     &fleet->bytes_per_s);
}

static int
compile_section (struct compiler *compiler, json_t *section,
                 struct cp_document *document)
{
  const char *kind = json_string_value (json_object_get (section, "kind"));

  if (kind != NULL && strcmp (kind, "fleet") == 0)
    return compile_fleet (compiler, section, &document->fleet);
  if (kind == NULL || strcmp (kind, "service") != 0)
    return fail (compiler, "kind", "is missing or unknown",
                 "use fleet or service");
  snprintf (document->services[document->n_services].name, CP_NAME_BYTES, "%s",
            compiler->section);
  document->n_services++;
  return compile_service (compiler, section,
                          &document->services[document->n_services - 1]);
}

static int
compile_root (struct compiler *compiler, json_t *root,
              struct cp_document *document)
{
  json_t *sections = json_object_get (root, "sections");
  const char *name;
  json_t *section;

  if (json_integer_value (json_object_get (root, "format")) != 1)
    return fail (compiler, "format", "is not 1", "write format 1");
  document->version
      = (uint64_t)json_integer_value (json_object_get (root, "version"));
  if (document->version == 0)
    return fail (compiler, "version", "is missing or not above 0",
                 "raise it with every change");
  document->services
      = calloc (json_object_size (sections) + 1, sizeof *document->services);
  if (document->services == NULL)
    return fail (compiler, "sections", "needs more memory", "free memory");
  json_object_foreach (sections, name, section)
  {
    compiler->section = name;
    if (compile_section (compiler, section, document) != 0)
      return -1;
  }
  compiler->section = "";
  if (document->fleet.n_domains == 0)
    return fail (compiler, "sections", "has no fleet section",
                 "add one of kind fleet");
  return 0;
}

struct cp_document *
cp_document_compile (const char *name, const char *text, size_t length,
                     struct cp_error *error)
{
  struct compiler compiler = { name, "", error };
  json_error_t fault;
  CP_AUTO_JSON json_t *root
      = json_loadb (text, length, JSON_REJECT_DUPLICATES, &fault);
  struct cp_document *document;

  if (root == NULL)
    {
      char place[192];

      snprintf (place, sizeof place, "%s:%d", name, fault.line);
      cp_error_set (error, CP_ERROR_DOCUMENT, place, "correct the JSON", "%s",
                    fault.text);
      return NULL;
    }
  document = calloc (1, sizeof *document);
  if (document == NULL)
    return NULL;
  document->references = 1;
  document->hash = XXH3_64bits (text, length);
  if (compile_root (&compiler, root, document) == 0)
    return document;
  cp_document_unref (document);
  return NULL;
}

static void
finish_service (struct cp_service *service)
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
  for (unsigned i = 0; i < document->n_services; i++)
    finish_service (&document->services[i]);
  free (document->services);
  free (document->fleet.domains);
  free (document);
}

static bool
same_host (const char *wanted, const char *host)
{
  size_t length = strlen (wanted);

  return strncasecmp (wanted, host, length) == 0
         && (host[length] == '\0' || host[length] == ':');
}

static bool
covers_path (const struct cp_route *route, const char *path)
{
  if (route->prefix)
    return strncmp (route->path, path, strlen (route->path)) == 0;
  return strcmp (route->path, path) == 0;
}

const struct cp_route *
cp_document_route (const struct cp_document *document, const char *host,
                   const char *path, unsigned method, bool *known_path)
{
  const struct cp_route *best = NULL;

  *known_path = false;
  for (unsigned s = 0; s < document->n_services; s++)
    for (unsigned r = 0; r < document->services[s].n_routes; r++)
      {
        const struct cp_route *route = &document->services[s].routes[r];

        if (!same_host (route->host, host) || !covers_path (route, path))
          continue;
        *known_path = true;
        if ((route->methods & method) == 0)
          continue;
        if (best == NULL || strlen (route->path) > strlen (best->path))
          best = route;
      }
  return best;
}

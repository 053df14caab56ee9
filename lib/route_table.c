#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include "lib/route_table.h"

#define HOST_BYTES 256

const char *const cp_table_fault_effect_names[CP_TABLE_FAULT_EFFECTS]
    = { "field", "kind", "regions", "kept", "unusable", "left-out" };

static const char *const effect_texts[CP_TABLE_FAULT_EFFECTS] = {
  "the previous value, or else the default, is used",
  "its requests run at most once",
  "only servers in the caller's region are used",
  "the previous route stays in effect",
  "its requests are answered with 503",
  "it is left out",
};

static void
free_route (void *item)
{
  struct cp_route_table_entry *route = item;

  for (unsigned i = 0; i < route->n_services; i++)
    g_free (route->services[i].service);
  g_free (route->name);
  g_free (route->host);
  g_free (route->prefix);
  g_strfreev (route->regions);
  g_free (route);
}

static void
free_service (void *item)
{
  struct cp_service_rule *service = item;

  g_free (service->name);
  g_free (service->health_path);
  g_free (service);
}

static void
free_routes (void *item)
{
  g_ptr_array_unref (item);
}

struct cp_route_table *
cp_route_table_create (uint64_t version)
{
  struct cp_route_table *table = g_new0 (struct cp_route_table, 1);

  table->references = 1;
  table->version = version;
  table->hosts
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_routes);
  table->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_service);
  table->faults = g_ptr_array_new_with_free_func (g_free);
  return table;
}

struct cp_route_table *
cp_route_table_ref (struct cp_route_table *table)
{
  table->references++;
  return table;
}

void
cp_route_table_unref (struct cp_route_table *table)
{
  if (table == NULL || --table->references > 0)
    return;
  g_hash_table_unref (table->hosts);
  g_hash_table_unref (table->services);
  g_ptr_array_unref (table->faults);
  g_free (table);
}

struct cp_route_table_entry *
cp_route_table_add_route (struct cp_route_table *table, const char *host,
                          const char *prefix)
{
  struct cp_route_table_entry *route = g_new0 (struct cp_route_table_entry, 1);
  GPtrArray *routes;

  route->host = g_ascii_strdown (host, -1);
  route->prefix = g_strdup (prefix);
  route->prefix_length = strlen (prefix);
  cp_lateness_init (&route->lateness);
  routes = g_hash_table_lookup (table->hosts, route->host);
  if (routes == NULL)
    {
      routes = g_ptr_array_new_with_free_func (free_route);
      g_hash_table_insert (table->hosts, g_strdup (route->host), routes);
    }
  g_ptr_array_add (routes, route);
  table->n_routes++;
  return route;
}

void
cp_route_table_add_weighted_service (struct cp_route_table_entry *route,
                                     const char *service, unsigned weight)
{
  struct cp_weighted_service *weighted;

  if (route->n_services == CP_WEIGHTED_SERVICES_MAX)
    return;
  weighted = &route->services[route->n_services++];
  weighted->service = g_strdup (service);
  weighted->weight = weight;
}

struct cp_service_rule *
cp_route_table_add_service (struct cp_route_table *table, const char *name)
{
  struct cp_service_rule *service = g_new0 (struct cp_service_rule, 1);

  service->name = g_strdup (name);
  g_hash_table_replace (table->services, service->name, service);
  return service;
}

void
cp_route_table_add_fault (struct cp_route_table *table,
                          enum cp_table_fault_effect effect, const char *place,
                          const char *problem, ...)
{
  char text[sizeof ((struct cp_error *)NULL)->problem];
  struct cp_table_fault *fault;
  va_list arguments;

  table->n_faults[effect]++;
  if (table->faults->len == CP_TABLE_FAULTS_MAX)
    return;
  va_start (arguments, problem);
  g_vsnprintf (text, sizeof text, problem, arguments);
  va_end (arguments);
  fault = g_new0 (struct cp_table_fault, 1);
  fault->effect = effect;
  cp_error_set (&fault->error, CP_ERROR_DOCUMENT, place, effect_texts[effect],
                "%s", text);
  g_ptr_array_add (table->faults, fault);
}

static int
compare_prefixes (const void *a, const void *b)
{
  const struct cp_route_table_entry *const *first = a;
  const struct cp_route_table_entry *const *second = b;

  return strcmp ((*first)->prefix, (*second)->prefix);
}

/* Sorts ROUTES by prefix and removes duplicates.  The sort is stable, so the
   first of several routes with the same prefix is kept.  */
static void
sort_routes (struct cp_route_table *table, GPtrArray *routes)
{
  unsigned kept = 0;

  g_ptr_array_sort (routes, compare_prefixes);
  for (unsigned i = 0; i < routes->len; i++)
    {
      struct cp_route_table_entry *route = routes->pdata[i];
      struct cp_route_table_entry *last
          = kept == 0 ? NULL : routes->pdata[kept - 1];

      if (last != NULL && strcmp (last->prefix, route->prefix) == 0)
        free_route (route);
      else
        routes->pdata[kept++] = route;
    }
  table->n_routes -= routes->len - kept;
  routes->len = kept;
}

static bool
has_prefix (const struct cp_route_table_entry *route, const char *target)
{
  return strncmp (target, route->prefix, route->prefix_length) == 0;
}

/* Sets the parent of each of ROUTES, which are sorted by prefix.  */
static void
link_parents (GPtrArray *routes)
{
  struct cp_route_table_entry *previous = NULL;

  for (unsigned i = 0; i < routes->len; i++)
    {
      struct cp_route_table_entry *route = routes->pdata[i];

      while (previous != NULL && !has_prefix (previous, route->prefix))
        previous = previous->parent;
      route->parent = previous;
      previous = route;
    }
}

/* Returns the last of ROUTES whose prefix is not greater than TARGET in byte
   order, or NULL.  */
static struct cp_route_table_entry *
find_last_not_after (const GPtrArray *routes, const char *target)
{
  unsigned low = 0;
  unsigned high = routes->len;

  while (low < high)
    {
      unsigned middle = low + (high - low) / 2;
      const struct cp_route_table_entry *route = routes->pdata[middle];

      if (strcmp (route->prefix, target) <= 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low == 0 ? NULL : routes->pdata[low - 1];
}

static bool
same_services (const struct cp_route_table_entry *a,
               const struct cp_route_table_entry *b)
{
  if (a->n_services != b->n_services)
    return false;
  for (unsigned i = 0; i < a->n_services; i++)
    if (strcmp (a->services[i].service, b->services[i].service) != 0
        || a->services[i].weight != b->services[i].weight)
      return false;
  return true;
}

static void
copy_state (struct cp_route_table_entry *route,
            const struct cp_route_table *old)
{
  const struct cp_route_table_entry *previous
      = cp_route_table_find_exact (old, route->host, route->prefix);

  if (previous == NULL)
    return;
  route->work_us = previous->work_us;
  route->lateness = previous->lateness;
  if (!same_services (route, previous))
    return;
  for (unsigned i = 0; i < route->n_services; i++)
    route->services[i].credit = previous->services[i].credit;
}

void
cp_route_table_copy_route (struct cp_route_table_entry *route,
                           const struct cp_route_table_entry *previous)
{
  route->idempotency = previous->idempotency;
  route->timeout_us = previous->timeout_us;
  route->objective_us = previous->objective_us;
  route->priority = previous->priority;
  route->attempts = previous->attempts;
  g_strfreev (route->regions);
  route->regions = g_strdupv (previous->regions);
  while (route->n_services > 0)
    g_free (route->services[--route->n_services].service);
  for (unsigned i = 0; i < previous->n_services; i++)
    cp_route_table_add_weighted_service (route, previous->services[i].service,
                                         previous->services[i].weight);
}

void
cp_route_table_finish_build (struct cp_route_table *table,
                             const struct cp_route_table *old)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, table->hosts);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      GPtrArray *routes = value;

      sort_routes (table, routes);
      link_parents (routes);
      for (unsigned i = 0; i < routes->len; i++)
        copy_state (routes->pdata[i], old);
    }
}

/* Writes HOST to KEY in lower case and without its port.  Returns false when
   it is too long.  */
static bool
host_key (const char *host, char key[HOST_BYTES])
{
  size_t length = strcspn (host, ":");

  if (host[0] == '[')
    length = strcspn (host, "]") + 1;
  if (length >= HOST_BYTES)
    return false;
  for (size_t i = 0; i < length; i++)
    key[i] = (char)g_ascii_tolower (host[i]);
  key[length] = '\0';
  return true;
}

struct cp_route_table_entry *
cp_route_table_find (const struct cp_route_table *table, const char *host,
                     const char *target)
{
  char key[HOST_BYTES];
  struct cp_route_table_entry *route;
  GPtrArray *routes;

  if (host == NULL || !host_key (host, key))
    return NULL;
  routes = g_hash_table_lookup (table->hosts, key);
  if (routes == NULL)
    return NULL;
  route = find_last_not_after (routes, target);
  while (route != NULL && !has_prefix (route, target))
    route = route->parent;
  return route;
}

const struct cp_route_table_entry *
cp_route_table_find_exact (const struct cp_route_table *table,
                           const char *host, const char *prefix)
{
  const struct cp_route_table_entry *route
      = table == NULL ? NULL : cp_route_table_find (table, host, prefix);

  return route != NULL && strcmp (route->prefix, prefix) == 0 ? route : NULL;
}

const struct cp_service_rule *
cp_route_table_find_service (const struct cp_route_table *table,
                             const char *name)
{
  return g_hash_table_lookup (table->services, name);
}

const char *
cp_route_table_pick_service (struct cp_route_table_entry *route)
{
  struct cp_weighted_service *best = NULL;
  int64_t total = 0;

  for (unsigned i = 0; i < route->n_services; i++)
    {
      struct cp_weighted_service *weighted = &route->services[i];

      if (weighted->weight == 0)
        continue;
      weighted->credit += weighted->weight;
      total += weighted->weight;
      if (best == NULL || weighted->credit > best->credit)
        best = weighted;
    }
  if (best == NULL)
    return NULL;
  best->credit -= total;
  return best->service;
}

#include <stdio.h>
#include <string.h>

#include "lib/check.h"
#include "lib/cleanup.h"
#include "lib/document.h"
#include "lib/schema.h"

#define SECTIONS_MAX 1024

/* The addresses and routes that the sections checked so far use, to find those
   that are used twice.  */
struct claims
{
  GHashTable *addresses; /* address -> "section/target" */
  GHashTable *routes;    /* "METHOD host path" -> struct claim */
};

struct claim
{
  char section[CP_NAME_BYTES];
  char owner[CP_NAME_BYTES];
};

static const char *
get_string (json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text == NULL ? "" : text;
}

static double
get_number (json_t *object, const char *key)
{
  return json_number_value (json_object_get (object, key));
}

/* Claims ADDRESS for TARGET of the section that is checked.  Adds a fault when
   the address is in use already.  */
static void
claim_address (const struct cp_check_context *context, struct claims *claims,
               const char *path, const char *address, const char *target)
{
  const char *holder = g_hash_table_lookup (claims->addresses, address);

  if (holder == NULL)
    {
      g_hash_table_insert (
          claims->addresses, g_strdup (address),
          g_strdup_printf ("%s/%s", context->section, target));
      return;
    }
  cp_check_add_fault (context, path,
                      "give each target and daemon its own address",
                      "%s is also used by %.100s", address, holder);
}

/* Claims the two ports of a daemon: its own and the next one, which serves
   RPC.  */
static void
claim_daemon (const struct cp_check_context *context, struct claims *claims,
              const char *path, const char *daemon, const char *target)
{
  struct cp_address address;
  struct cp_address rpc;

  claim_address (context, claims, path, daemon, target);
  if (!cp_address_parse (&address, daemon))
    return;
  if (cp_address_port (&address) == CP_PORT_MAX)
    {
      cp_check_add_fault (context, path, "use a port below 65535",
                          "the next port, for RPC, does not exist");
      return;
    }
  cp_address_rpc (&address, &rpc);
  claim_address (context, claims, path, rpc.text, target);
}

static void
check_targets (const struct cp_check_context *context, struct claims *claims,
               json_t *section, json_t *domains)
{
  const char *name;
  json_t *body;

  json_object_foreach (json_object_get (section, "targets"), name, body)
  {
    char path[CP_PATH_BYTES];
    const char *domain = get_string (body, "failure_domain");
    const char *address = get_string (body, "address");
    const char *daemon = get_string (body, "daemon");

    snprintf (path, sizeof path, "targets/%s/failure_domain", name);
    if (*domain != '\0' && domains != NULL
        && json_object_get (domains, domain) == NULL)
      cp_check_add_fault (context, path,
                          "name one of the fleet section's failure_domains",
                          "\"%.60s\" is not a failure domain", domain);
    snprintf (path, sizeof path, "targets/%s/address", name);
    if (*address != '\0')
      claim_address (context, claims, path, address, name);
    snprintf (path, sizeof path, "targets/%s/daemon", name);
    if (*daemon != '\0')
      claim_daemon (context, claims, path, daemon, name);
  }
}

/* Claims the route of METHOD.  Adds a fault when another route has the same
   method, host and path.  */
static void
claim_route (const struct cp_check_context *context, struct claims *claims,
             const char *path, json_t *route, const char *method)
{
  CP_AUTO_FREE char *key
      = g_strdup_printf ("%s %s %s", method, get_string (route, "host"),
                         get_string (route, "path"));
  struct claim *claim = g_hash_table_lookup (claims->routes, key);

  if (claim != NULL)
    {
      cp_check_add_fault (context, path, "remove one of the two routes",
                          "%.80s is also a route of %s (%s)", key,
                          claim->section, claim->owner);
      return;
    }
  claim = g_new0 (struct claim, 1);
  g_strlcpy (claim->section, context->section, sizeof claim->section);
  g_strlcpy (claim->owner, context->owner, sizeof claim->owner);
  g_hash_table_insert (claims->routes, g_strdup (key), claim);
}

static void
check_route (const struct cp_check_context *context, struct claims *claims,
             size_t index, json_t *route)
{
  bool needs_idempotent = false;
  char path[CP_PATH_BYTES];
  size_t i;
  json_t *method;

  snprintf (path, sizeof path, "routes[%zu]/path", index);
  json_array_foreach (json_object_get (route, "methods"), i, method)
  {
    const char *name = json_string_value (method);

    if (name == NULL)
      continue;
    claim_route (context, claims, path, route, name);
    needs_idempotent = needs_idempotent || strcmp (name, "POST") == 0
                       || strcmp (name, "PATCH") == 0;
  }
  snprintf (path, sizeof path, "routes[%zu]/idempotent", index);
  if (needs_idempotent && json_object_get (route, "idempotent") == NULL)
    cp_check_add_fault (
        context, path,
        "write true if a call may be repeated safely, else false",
        "is missing on a route with POST or PATCH");
}

/* Checks that the deadline of OBJECT exceeds the network round trip.  */
static void
check_deadline (const struct cp_check_context *context, const char *path,
                json_t *object, json_t *fleet)
{
  json_t *one_way = json_object_get (fleet, "one_way_ms");
  double round_trip = 2
                      * (get_number (one_way, "between_failure_domains")
                         + get_number (one_way, "to_callers"));
  char remedy[160];

  if (json_object_get (object, "deadline_ms") == NULL
      || get_number (object, "deadline_ms") > round_trip)
    return;
  snprintf (remedy, sizeof remedy, "write more than %.15g", round_trip);
  cp_check_add_fault (context, path, remedy,
                      "is not longer than the network round trip");
}

/* Checks that the work of load and health probes fits the target's measuring
   budget.  */
static void
check_probes (const struct cp_check_context *context, json_t *section,
              json_t *fleet)
{
  json_t *measuring = json_object_get (fleet, "measuring");
  double probe_ms = get_number (measuring, "probe_ms");
  double budget = get_number (measuring, "target_ms_per_s");
  double load_ms
      = get_number (json_object_get (section, "load"), "interval_ms");
  double health_ms
      = get_number (json_object_get (section, "health"), "interval_ms");
  double work = 0;
  char remedy[160];

  if (load_ms > 0)
    work += probe_ms * 1000 / load_ms;
  if (health_ms > 0)
    work += probe_ms * 1000 / health_ms;
  if (work <= budget || budget <= 0)
    return;
  snprintf (remedy, sizeof remedy,
            "raise the intervals until it is at most %.15g ms per s", budget);
  cp_check_add_fault (
      context, load_ms > 0 ? "load/interval_ms" : "health/interval_ms", remedy,
      "the probes cost the target %.15g ms per s", work);
}

static void
check_limits_agree (const struct cp_check_context *context, json_t *section)
{
  json_t *drain = json_object_get (section, "drain");

  if (get_number (section, "connections") > 0
      && get_number (section, "connections") < get_number (section, "slots"))
    cp_check_add_fault (context, "connections",
                        "write at least the number of slots",
                        "is less than slots");
  if (get_number (drain, "finish_ms") > 0
      && get_number (drain, "finish_ms") < get_number (drain, "within_ms"))
    cp_check_add_fault (context, "drain/finish_ms", "write at least within_ms",
                        "is less than within_ms");
}

static void
check_service (const struct cp_check_context *context, struct claims *claims,
               json_t *section, json_t *fleet)
{
  size_t i;
  json_t *route;

  cp_schema_check (context, "", section, cp_service_keys);
  check_targets (context, claims, section,
                 json_object_get (fleet, "failure_domains"));
  json_array_foreach (json_object_get (section, "routes"), i, route)
  {
    char path[CP_PATH_BYTES];

    check_route (context, claims, i, route);
    snprintf (path, sizeof path, "routes[%zu]/deadline_ms", i);
    check_deadline (context, path, route, fleet);
  }
  check_deadline (context, "deadline_ms", section, fleet);
  check_probes (context, section, fleet);
  check_limits_agree (context, section);
}

static bool
is_kind (json_t *section, const char *kind)
{
  return strcmp (get_string (section, "kind"), kind) == 0;
}

/* Returns the first section of kind fleet, or NULL.  */
static json_t *
find_fleet (json_t *sections)
{
  const char *name;
  json_t *section;

  json_object_foreach (sections, name, section)
  {
    if (is_kind (section, "fleet"))
      return section;
  }
  return NULL;
}

static void
check_section (const struct cp_check_context *parent, struct claims *claims,
               const char *name, json_t *section, json_t *fleet)
{
  char prefix[CP_PATH_BYTES];
  struct cp_check_context context = *parent;

  snprintf (prefix, sizeof prefix, "sections/%s", name);
  context.prefix = prefix;
  context.section = name;
  context.owner = get_string (section, "owner");
  if (*name == '\0' || strlen (name) >= CP_NAME_BYTES)
    cp_check_add_fault (&context, "", "use 1 to 63 bytes",
                        "the section's name is empty or too long");
  if (is_kind (section, "service"))
    check_service (&context, claims, section, fleet);
  else if (!is_kind (section, "fleet"))
    cp_check_add_fault (&context, "kind", "write fleet or service",
                        "is missing or unknown");
  else if (section == fleet)
    cp_schema_check (&context, "", section, cp_fleet_keys);
  else
    cp_check_add_fault (&context, "kind",
                        "keep only one section of kind fleet",
                        "the document has another section of kind fleet");
}

static void
check_root (const struct cp_check_context *context, json_t *root)
{
  json_t *sections = json_object_get (root, "sections");
  json_t *fleet = find_fleet (sections);
  struct claims claims;
  const char *name;
  json_t *section;

  cp_schema_check (context, "", root, cp_root_keys);
  if (json_object_size (sections) > SECTIONS_MAX)
    {
      cp_check_add_fault (context, "sections", "write at most 1024 sections",
                          "the document has %zu sections",
                          json_object_size (sections));
      return;
    }
  if (fleet == NULL && json_is_object (root))
    cp_check_add_fault (context, "sections", "add a section of kind fleet",
                        "the document has no section of kind fleet");
  claims.addresses
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  claims.routes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  json_object_foreach (sections, name, section)
      check_section (context, &claims, name, section, fleet);
  g_hash_table_destroy (claims.addresses);
  g_hash_table_destroy (claims.routes);
}

bool
cp_document_check (const char *text, size_t length, struct cp_faults *faults)
{
  struct cp_line_index line_index;
  struct cp_check_context context = { .faults = faults,
                                      .line_index = &line_index,
                                      .prefix = "",
                                      .section = "",
                                      .owner = "" };
  CP_AUTO_JSON json_t *root = NULL;
  json_error_t fault;

  if (length > CP_DOCUMENT_BYTES_MAX)
    {
      cp_faults_add (faults, 1, "", "", "", "write at most 1048576 bytes",
                     "the document has %zu bytes", length);
      return false;
    }
  if (cp_line_index_init (&line_index, text, length, faults))
    {
      root = json_loadb (text, length, 0, &fault);
      if (root == NULL)
        cp_faults_add (faults, (unsigned)MAX (fault.line, 1), "", "", "",
                       "correct the JSON at this line", "%s", fault.text);
      else
        check_root (&context, root);
    }
  cp_line_index_finish (&line_index);
  return faults->count == 0;
}

/* Routing table: maps requests to services, with the rules that apply to them.

   A table is built route by route and is immutable after
   cp_route_table_finish_build, except for the round-robin credit of weighted
   services and the mean response size.  It is reference-counted; the last
   cp_route_table_unref frees it.

   A route is found by binary search among the prefixes of its host in byte
   order.  The last prefix that is not greater than the target either is a
   prefix of the target or leads, through its ever shorter parents, to the
   longest one that is.

   Among the weighted services of a route, requests are distributed by smooth
   weighted round robin, so that any run of picks matches the weights as
   closely as whole picks allow.  Source: the upstream balancer of nginx, 2012.

   Not thread-safe.  */
#ifndef CP_ROUTE_TABLE_H
#define CP_ROUTE_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/error.h"
#include "lib/locality.h"

#define CP_WEIGHTED_SERVICES_MAX 32

/* Whether requests of a route may be executed more than once.  */
enum cp_idempotency
{
  CP_IDEMPOTENT,    /* may run any number of times */
  CP_NON_IDEMPOTENT /* may run at most once */
};

struct cp_weighted_service
{
  char *service;
  unsigned weight;
  int64_t credit; /* of smooth weighted round robin */
};

struct cp_route_table_entry
{
  struct cp_route_table_entry *parent; /* route with the longest proper prefix
                                          of this route's prefix, or NULL */
  char *name;
  char *host;   /* lower case */
  char *prefix; /* begins and ends with a slash */
  size_t prefix_length;
  enum cp_idempotency idempotency;
  uint64_t timeout_us;
  uint64_t objective_us; /* target latency: a response within it earns full
                            credit */
  unsigned priority;     /* 0 is the highest */
  unsigned attempts; /* maximum number of servers that a request is sent to */
  char **regions;    /* where servers may be; NULL for everywhere */
  bool unusable;     /* it could not be read; its requests are refused */
  struct cp_weighted_service services[CP_WEIGHTED_SERVICES_MAX];
  unsigned n_services;
  struct cp_lateness lateness;
  uint64_t work_us; /* moving mean of the time of attempts at servers that were
                       not slow; 0 before the first */
};

struct cp_service_rule
{
  char *name;
  char *health_path;
  unsigned connections; /* maximum per server */
  uint64_t warm_up_us;  /* how long a server is cold after its start */
  double warm_up_per_s; /* requests that a cold server takes; 0 for no limit */
};

/* Limits on the size and duration of client requests.  */
struct cp_client_limits
{
  uint64_t head_bytes;
  uint64_t body_bytes;
  uint64_t head_us;
  uint64_t idle_us;
};

/* What a fault in the document of a table disables.  */
enum cp_table_fault_effect
{
  CP_TABLE_FAULT_FIELD,   /* the field: its previous or default value is
                             used */
  CP_TABLE_FAULT_KIND,    /* repeats: requests of the route run at most once */
  CP_TABLE_FAULT_REGIONS, /* servers outside the caller's region */
  CP_TABLE_FAULT_KEPT,    /* the change: the previous route stays in effect */
  CP_TABLE_FAULT_UNUSABLE, /* the route: its requests are refused */
  CP_TABLE_FAULT_LEFT_OUT, /* the route, listener or service */
  CP_TABLE_FAULT_EFFECTS
};

extern const char *const cp_table_fault_effect_names[CP_TABLE_FAULT_EFFECTS];

/* Maximum number of faults of a table that are kept; the others are only
   counted.  */
#define CP_TABLE_FAULTS_MAX 64

struct cp_table_fault
{
  enum cp_table_fault_effect effect;
  struct cp_error error; /* the remedy says what the effect is */
};

struct cp_route_table
{
  unsigned references;
  uint64_t version;
  struct cp_client_limits limits;
  GHashTable *hosts;    /* host to GPtrArray of routes, sorted by prefix */
  GHashTable *services; /* name to struct cp_service_rule */
  unsigned n_routes;
  GPtrArray *faults; /* of struct cp_table_fault, in the document's order */
  unsigned n_faults[CP_TABLE_FAULT_EFFECTS];
};

struct cp_route_table *cp_route_table_create (uint64_t version);
struct cp_route_table *cp_route_table_ref (struct cp_route_table *table);
void cp_route_table_unref (struct cp_route_table *table);

/* Adds an empty route or service, which the caller fills in.  */
struct cp_route_table_entry *
cp_route_table_add_route (struct cp_route_table *table, const char *host,
                          const char *prefix);
void cp_route_table_add_weighted_service (struct cp_route_table_entry *route,
                                          const char *service,
                                          unsigned weight);
struct cp_service_rule *
cp_route_table_add_service (struct cp_route_table *table, const char *name);

/* Replaces the rules of ROUTE, except host, prefix and name, by those of
   PREVIOUS.  */
void cp_route_table_copy_route (struct cp_route_table_entry *route,
                                const struct cp_route_table_entry *previous);

/* Returns the route of exactly HOST and PREFIX in TABLE, which may be NULL, or
   NULL.  */
const struct cp_route_table_entry *
cp_route_table_find_exact (const struct cp_route_table *table,
                           const char *host, const char *prefix);

/* Records that the part of the document at PLACE has a problem, of which the
   rest of the arguments is a description in the manner of printf.  */
void cp_route_table_add_fault (struct cp_route_table *table,
                               enum cp_table_fault_effect effect,
                               const char *place, const char *problem, ...)
    __attribute__ ((format (printf, 4, 5)));

/* Completes the table.  Of two routes with the same host and prefix the first
   is kept.  A route that is also in OLD, which may be NULL, takes over its
   mean attempt time, its lateness and, if its weighted services are the same,
   their round-robin credit.  */
void cp_route_table_finish_build (struct cp_route_table *table,
                                  const struct cp_route_table *old);

/* Returns the route of TARGET (path and query) at HOST, or NULL.  A port in
   HOST is ignored.  */
struct cp_route_table_entry *
cp_route_table_find (const struct cp_route_table *table, const char *host,
                     const char *target);

const struct cp_service_rule *
cp_route_table_find_service (const struct cp_route_table *table,
                             const char *name);

/* Returns the next of ROUTE's services by smooth weighted round robin, or NULL
   when all weights are 0.  */
const char *cp_route_table_pick_service (struct cp_route_table_entry *route);

#endif

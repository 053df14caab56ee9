/* The routing table in force: which service a request goes to, and what its
   owner allows for it.

   A table is built once, route by route, and not changed after
   cp_route_table_finish_build, but for the shares that weighted parts have
   had.  It is counted by references; the last cp_route_table_unref frees it.

   A route is found by binary search among its host's prefixes in byte order:
   the last one that is not behind the target either begins it or leads, over
   ever wider routes, to the longest that does.

   Parts of a route are taken in turn by smooth weighted round robin, so that
   any run of picks holds each part's weight as nearly as whole picks can.
   Source: the upstream balancer of nginx, 2012.  Not thread-safe.  */
#ifndef CP_ROUTE_TABLE_H
#define CP_ROUTE_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define CP_WEIGHTED_SERVICES_MAX 32

/* What may be done with a request of a route more than once.  */
enum cp_idempotency
{
  CP_IDEMPOTENT,    /* it may run any number of times */
  CP_NON_IDEMPOTENT /* it may run once */
};

struct cp_weighted_service
{
  char *service;
  unsigned weight;
  int64_t credit; /* of the round robin */
};

struct cp_route_table_entry
{
  struct cp_route_table_entry *parent; /* with the longest prefix that begins
                                   this one's; NULL when there is none */
  char *name;
  char *host;   /* lower case */
  char *prefix; /* begins and ends with a slash */
  size_t prefix_length;
  enum cp_idempotency idempotency;
  uint64_t timeout_us;
  uint64_t objective_us; /* an answer within it earns full credit */
  unsigned priority;     /* 0 is the most urgent */
  unsigned attempts;     /* servers that a request may be sent to */
  struct cp_weighted_service services[CP_WEIGHTED_SERVICES_MAX];
  unsigned n_services;
  uint64_t answer_bytes; /* moving mean of its answers' bodies */
};

struct cp_service_rule
{
  char *name;
  char *health_path;
  unsigned connections; /* most that one server takes */
};

/* What clients may send, and how slowly.  */
struct cp_client_limits
{
  uint64_t head_bytes;
  uint64_t body_bytes;
  uint64_t head_us;
  uint64_t idle_us;
};

struct cp_route_table
{
  unsigned references;
  uint64_t version;
  struct cp_client_limits limits;
  GHashTable *hosts;    /* host to GPtrArray of routes, by prefix */
  GHashTable *services; /* name to struct cp_service_rule */
  unsigned n_routes;
};

struct cp_route_table *cp_route_table_create (uint64_t version);
struct cp_route_table *cp_route_table_ref (struct cp_route_table *table);
void cp_route_table_unref (struct cp_route_table *table);

/* Adds an empty route or service, to be filled in by the caller.  */
struct cp_route_table_entry *
cp_route_table_add_route (struct cp_route_table *table, const char *host,
                          const char *prefix);
void cp_route_table_add_weighted_service (struct cp_route_table_entry *route,
                                          const char *service,
                                          unsigned weight);
struct cp_service_rule *
cp_route_table_add_service (struct cp_route_table *table, const char *name);

/* Orders the routes; of two with the same host and prefix the first counts.
   Where a route is the same as in OLD, which may be NULL, its parts go on from
   where they were.  */
void cp_route_table_finish_build (struct cp_route_table *table,
                                  const struct cp_route_table *old);

/* Returns the route of TARGET (path and query) at HOST, or NULL.  A port
   behind HOST is ignored.  */
struct cp_route_table_entry *
cp_route_table_find (const struct cp_route_table *table, const char *host,
                     const char *target);

const struct cp_service_rule *
cp_route_table_find_service (const struct cp_route_table *table,
                             const char *name);

/* Returns the service that is due among the parts of ROUTE.  */
const char *cp_route_table_pick_service (struct cp_route_table_entry *route);

#endif

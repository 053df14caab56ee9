/* The routing table in force: which service a request goes to, and what its
   owner allows for it.

   A table is built once, route by route, and not changed after
   cp_table_finish_build, but for the shares that weighted parts have had.  It
   is counted by references; the last cp_table_unref frees it.

   A route is found by binary search among its host's prefixes in byte order:
   the last one that is not behind the target either begins it or leads, over
   ever wider routes, to the longest that does.

   Parts of a route are taken in turn by smooth weighted round robin, so that
   any run of picks holds each part's weight as nearly as whole picks can.
   Source: the upstream balancer of nginx, 2012.  Not thread-safe.  */
#ifndef CP_TABLE_H
#define CP_TABLE_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#define CP_TABLE_PARTS_MAX 32

/* What may be done with a request of a route more than once.  */
enum cp_repeatable
{
  CP_REPEAT_ANY,  /* it may run any number of times */
  CP_REPEAT_NEVER /* it may run once */
};

struct cp_route_part
{
  char *service;
  unsigned weight;
  int64_t credit; /* of the round robin */
};

struct cp_table_route
{
  struct cp_table_route *wider; /* with the longest prefix that begins this
                                   one's; NULL when there is none */
  char *name;
  char *host;   /* lower case */
  char *prefix; /* begins and ends with a slash */
  size_t prefix_length;
  enum cp_repeatable repeatable;
  uint64_t timeout_us;
  uint64_t objective_us; /* an answer within it earns full credit */
  unsigned priority;     /* 0 is the most urgent */
  unsigned attempts;     /* servers that a request may be sent to */
  struct cp_route_part parts[CP_TABLE_PARTS_MAX];
  unsigned n_parts;
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

struct cp_table
{
  unsigned references;
  uint64_t version;
  struct cp_client_limits limits;
  GHashTable *hosts;    /* host to GPtrArray of routes, by prefix */
  GHashTable *services; /* name to struct cp_service_rule */
  unsigned n_routes;
};

struct cp_table *cp_table_create (uint64_t version);
struct cp_table *cp_table_ref (struct cp_table *table);
void cp_table_unref (struct cp_table *table);

/* Adds an empty route or service, to be filled in by the caller.  */
struct cp_table_route *cp_table_add_route (struct cp_table *table,
                                           const char *host,
                                           const char *prefix);
void cp_table_add_part (struct cp_table_route *route, const char *service,
                        unsigned weight);
struct cp_service_rule *cp_table_add_service (struct cp_table *table,
                                              const char *name);

/* Orders the routes; of two with the same host and prefix the first counts.
   Where a route is the same as in OLD, which may be NULL, its parts go on from
   where they were.  */
void cp_table_finish_build (struct cp_table *table,
                            const struct cp_table *old);

/* Returns the route of TARGET (path and query) at HOST, or NULL.  A port
   behind HOST is ignored.  */
struct cp_table_route *cp_table_route (const struct cp_table *table,
                                       const char *host, const char *target);

const struct cp_service_rule *cp_table_service (const struct cp_table *table,
                                                const char *name);

/* Returns the service that is due among the parts of ROUTE.  */
const char *cp_table_pick_part (struct cp_table_route *route);

#endif

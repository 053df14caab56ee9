/* The compiled form of the configuration document.

   A struct cp_document is immutable.  Readers access it through RCU; a call
   that uses it beyond an RCU read-side critical section holds a reference.
   Durations are in microseconds, whatever their unit in the JSON text.
   cornelpick.json(5) describes the values.  */
#ifndef CP_DOCUMENT_H
#define CP_DOCUMENT_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/address.h"
#include "lib/error.h"

#define CP_NAME_BYTES 64
#define CP_DOCUMENT_BYTES_MAX 1048576

enum cp_method
{
  CP_METHOD_GET = 1 << 0,
  CP_METHOD_HEAD = 1 << 1,
  CP_METHOD_POST = 1 << 2,
  CP_METHOD_PUT = 1 << 3,
  CP_METHOD_PATCH = 1 << 4,
  CP_METHOD_DELETE = 1 << 5,
  CP_METHOD_OPTIONS = 1 << 6
};

enum cp_priority
{
  CP_PRIORITY_LOW,
  CP_PRIORITY_NORMAL,
  CP_PRIORITY_HIGH,
  CP_PRIORITY_COUNT
};

struct cp_target
{
  char name[CP_NAME_BYTES];
  char failure_domain[CP_NAME_BYTES];
  struct cp_address address;
  bool has_daemon;
  struct cp_address daemon; /* peer address of the target's daemon */
};

struct cp_probe
{
  char path[128];
  uint64_t interval_us;
};

struct cp_service;

struct cp_route
{
  char *host;
  char *path;
  bool prefix;      /* the path ends in "/": matches all below it */
  unsigned methods; /* set of enum cp_method */
  bool idempotent;
  enum cp_priority priority;
  uint64_t deadline_us;
  uint64_t replay_bytes;
  const struct cp_service *service;
};

struct cp_service
{
  char name[CP_NAME_BYTES];
  char owner[CP_NAME_BYTES];
  struct cp_target *targets;
  unsigned n_targets;
  unsigned slots;
  unsigned connections;
  uint64_t deadline_us;
  struct cp_probe load;
  struct cp_probe health;
  uint64_t drain_within_us;
  uint64_t drain_finish_us;
  double retry_share;
  unsigned max_retries;
  double hedge_share;
  double hedge_quantile;
  double eject_most_share;
  struct cp_route *routes;
  unsigned n_routes;
};

struct cp_failure_domain
{
  char name[CP_NAME_BYTES];
  char region[CP_NAME_BYTES];
};

struct cp_fleet
{
  char owner[CP_NAME_BYTES];
  struct cp_failure_domain *domains;
  unsigned n_domains;
  uint64_t one_way_us;        /* network latency between failure domains */
  uint64_t one_way_caller_us; /* network latency to outside callers */
  uint64_t new_connection_us;
  double reads_per_s;      /* capacity of the configuration service */
  double reads_most_share; /* share of reads_per_s that the fleet may use */
  uint64_t in_force_us;    /* time for a new version to reach all daemons */
  uint64_t probe_us;       /* work that one probe costs a target */
  double target_us_per_s;  /* budget of probe work per target */
  double bytes_per_s;      /* budget of probe traffic per target */
};

struct cp_document
{
  uint64_t version;
  uint64_t hash;
  struct cp_fleet fleet;
  struct cp_service *services;
  unsigned n_services;
  GHashTable *routes; /* index of all routes, see lib/routes.h */
  unsigned references;
};

/* Checks and compiles TEXT of LENGTH bytes; NAME stands for the file in error
   messages.  Returns a document with one reference, which the caller owns, or
   NULL with ERROR set to the first fault.  */
struct cp_document *cp_document_compile (const char *name, const char *text,
                                         size_t length,
                                         struct cp_error *error);

void cp_document_ref (struct cp_document *document);
void cp_document_unref (struct cp_document *document);

/* Returns the enum cp_method value of NAME, or 0 when routes do not support
   the method.  */
unsigned cp_method_parse (const char *name);

/* Finds the route for a call: the host must match, ignoring a port, and the
   longest matching path wins.  When no route is found, *KNOWN_PATH tells
   whether a route matches the path with another method.  */
const struct cp_route *cp_document_route (const struct cp_document *document,
                                          const char *host, const char *path,
                                          unsigned method, bool *known_path);

#endif

/* The outbound side: accepts calls, chooses a server for each, and returns the
   answer to the caller.

   A call makes attempts until one is answered or no further attempt is
   allowed.  A call that may have run is tried again only if its route allows
   repeats, and within the retry budget that all daemons share.  A response
   that says "not executed" is given only when every attempt is proved not to
   have run.  */
#ifndef MESHD_OUTBOUND_H
#define MESHD_OUTBOUND_H

#include <stdbool.h>
#include <stdint.h>

#include "lib/repeat_budget.h"
#include "lib/route_table.h"
#include "lib/server_pool.h"
#include "lib/stop_plan.h"
#include "meshd/peers.h"
#include "meshd/suspects.h"
#include "net/server.h"

struct mesh_outbound_events
{
  /* Sends MESSAGE to the daemon beside SERVER.  Returns false if it is not
     connected.  */
  bool (*send) (void *context, struct cp_server *server,
                const struct cp_peer_message *message);

  /* Finds the request that the local server runs and for which it makes the
     call of SERVICE with REQUEST_ID, and counts the call.  Returns false if
     there is none.  */
  bool (*find_parent) (void *context, const char *request_id,
                       const char *service, struct mesh_parent *parent);
};

struct mesh_outbound_settings
{
  char service[128]; /* the service on this VM */
};

struct mesh_outbound_counts
{
  uint64_t calls;
  uint64_t answered;
  uint64_t refused;
  uint64_t refused_by_reason[MESH_REASON_COUNT]; /* of calls */
  uint64_t failed;
  uint64_t timed_out;
  uint64_t abandoned;
  uint64_t attempts;
  uint64_t repeats; /* including hedges */
  uint64_t hedges;
  uint64_t no_budget;
  uint64_t no_room;     /* refused at the entry: every server was full */
  uint64_t room_probes; /* sent although every server was full */
  uint64_t stopped;     /* repeats not sent, since servers reject nearly all */
  uint64_t repeat_calls;           /* calls of repeats, at their first try */
  uint64_t repeat_calls_no_budget; /* of these, not sent */
};

struct mesh_outbound
{
  uv_loop_t *loop;
  struct net_server server;
  struct mesh_outbound_settings settings;
  struct cp_route_table *table; /* NULL before the first configuration */
  struct cp_server_pool *pool;
  const struct mesh_suspects *suspects;
  const struct cp_random *random;
  GHashTable *attempts; /* by stream */
  GHashTable *rooms;    /* service to struct cp_service_room */
  struct cp_repeat_budgets *budgets;
  struct cds_list_head held; /* calls whose next attempt waits until the event
                                loop is no longer behind */
  uint64_t last_stream;
  const struct cp_stop_plan *stop; /* while the daemon stops, or NULL */
  const struct mesh_outbound_events *events;
  void *context;
  struct mesh_outbound_counts counts;
  struct cp_histogram *latency; /* of answered calls */
};

/* Listens at ADDRESS.  Returns 0 or a libuv error.  */
int mesh_outbound_init (struct mesh_outbound *outbound, uv_loop_t *loop,
                        const struct cp_address *address,
                        struct cp_server_pool *pool,
                        struct cp_repeat_budgets *budgets,
                        const struct mesh_suspects *suspects,
                        const struct cp_random *random,
                        const struct mesh_outbound_events *events,
                        void *context);
void mesh_outbound_stop (struct mesh_outbound *outbound);

/* Sends the calls that were held until the event loop has read what arrived
   while it stood.  */
void mesh_outbound_settle (struct mesh_outbound *outbound);

/* Limits the memory for the bodies of all calls to BYTES.  */
void mesh_outbound_set_body_memory (struct mesh_outbound *outbound,
                                    uint64_t bytes);

/* Keeps to PLAN, which stays the caller's, from now on: calls that begin end
   in time, or are refused.  */
void mesh_outbound_plan_stop (struct mesh_outbound *outbound,
                              const struct cp_stop_plan *plan);

void mesh_outbound_set_table (struct mesh_outbound *outbound,
                              struct cp_route_table *table);

/* Handles an answer, a refusal, a failure or a load report from an inbound
   side.  */
void mesh_outbound_receive (struct mesh_outbound *outbound,
                            const struct cp_peer_message *message);

/* The link to PEER broke; it may be replaced.  REFUSED: no process listens
   there.  */
void mesh_outbound_peer_down (struct mesh_outbound *outbound, const void *peer,
                              bool refused);

/* The link to PEER is up again.  RESTARTED: the daemon there is another
   process than before.  */
void mesh_outbound_peer_up (struct mesh_outbound *outbound, const void *peer,
                            bool restarted);

#endif

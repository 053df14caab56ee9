/* What is known of the store: read by a few daemons, passed on by all.

   In each failure domain the daemons with the highest weights watch the store;
   the others learn from peers.  Whoever learns of a newer state tells some
   daemons of its failure domain, and those ask for the changes; pings tell the
   rest.  A watcher whose store does not answer says so, and the next ones
   watch beside it.  The election needs no agreement: daemons that see
   different peers differ in who watches, which costs calls and no change.  */
#ifndef MESHD_EXCHANGE_H
#define MESHD_EXCHANGE_H

#include "meshd/peers.h"
#include "platform/registry.h"
#include "platform/store.h"

struct mesh_exchange
{
  struct platform_store store;
  struct platform_registry registry;
  struct mesh_peers *peers;
  const struct cp_random *random;
  char own_address[CP_ADDRESS_TEXT_BYTES]; /* of peers, in the election */
  bool watching;
  uint64_t last_pull_us;    /* when a peer was last asked for changes */
  uint64_t behind_revision; /* of a peer that knew more, */
  uint64_t behind_since_us; /* and since when */
};

/* EVENTS are those of the registry, called with CONTEXT.  */
void mesh_exchange_init (struct mesh_exchange *exchange, uv_loop_t *loop,
                         const struct cp_address *store,
                         const struct cp_address *own,
                         struct mesh_peers *peers,
                         const struct cp_random *random,
                         const struct platform_registry_events *events,
                         void *context);
void mesh_exchange_start (struct mesh_exchange *exchange);
void mesh_exchange_stop (struct mesh_exchange *exchange);
void mesh_exchange_finish (struct mesh_exchange *exchange);

/* Looks again who watches, and whether a peer knows more.  */
void mesh_exchange_tick (struct mesh_exchange *exchange);

/* The daemon behind LINK said what it knows.  */
void mesh_exchange_receive_view (struct mesh_exchange *exchange,
                                 struct mesh_link *link);

/* The daemon behind LINK asks for what changed after REVISION.  */
void mesh_exchange_answer_pull (struct mesh_exchange *exchange,
                                struct mesh_link *link, uint64_t revision);

/* Takes changes that were asked for.  */
void mesh_exchange_apply_items (struct mesh_exchange *exchange,
                                const struct cp_peer_items *items);

#endif

/* Distribution of the store's content: a few daemons watch the store, and all
   pass changes on.

   In each failure domain the daemons with the highest weights watch the store;
   the others learn from peers.  A daemon that learns of a newer state sends
   it to some daemons of its failure domain, which then pull the changes; pings
   inform the rest.  A watcher whose store does not answer reports that, and
   the daemons with the next highest weights watch as well.  The election needs
   no agreement: daemons that see different peers elect different watchers,
   which costs store calls but loses no change.  */
#ifndef MESHD_EXCHANGE_H
#define MESHD_EXCHANGE_H

#include "lib/send_pace.h"
#include "meshd/peers.h"
#include "platform/registry.h"
#include "platform/store.h"

struct mesh_exchange
{
  struct platform_store store;
  struct platform_registry registry;
  struct mesh_peers *peers;
  const struct cp_random *random;
  char own_address[CP_ADDRESS_TEXT_BYTES]; /* own peer address, for the
                                              election */
  bool watching;
  uint64_t last_pull_us;           /* when changes were last pulled */
  uint64_t pulled_from;            /* incarnation of the peer */
  bool pull_answered;              /* they have arrived */
  struct cp_send_pace pace;        /* of answers to pulls */
  struct cp_store_position behind; /* newer state that a peer has, */
  uint64_t behind_since_us;        /* and when that was first seen */
};

/* EVENTS are the registry's, called with CONTEXT.  */
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

/* Repeats the election, pulls changes from a peer that has a newer state, and
   answers pulls that wait.  */
void mesh_exchange_tick (struct mesh_exchange *exchange);

/* Handles a new view of the store from the peer of LINK: pulls changes if the
   peer has a newer state.  */
void mesh_exchange_receive_view (struct mesh_exchange *exchange,
                                 struct mesh_link *link);

/* Sends the peer of LINK the changes after POSITION.  Long ones wait until
   what other peers were sent has left; what the peer reports to have by then
   is not sent.  */
void mesh_exchange_answer_pull (struct mesh_exchange *exchange,
                                struct mesh_link *link,
                                const struct cp_peer_position *position);

/* Applies changes that were pulled from a peer.  */
void mesh_exchange_apply_items (struct mesh_exchange *exchange,
                                struct mesh_link *link,
                                const struct cp_peer_items *items);

#endif

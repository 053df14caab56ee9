/* Links with the other daemons.

   A way is the outgoing link to the daemon beside a server; it is opened when
   the first server there becomes known, and again after it broke, at once and
   then at growing pauses.  Incoming links are the ways of others.  Both sides
   begin with a hello.  A way on which nothing is heard after a ping has gone
   silent and is replaced.  Knows nothing of requests.  */
#ifndef MESHD_PEERS_H
#define MESHD_PEERS_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "lib/address.h"
#include "lib/clock.h"
#include "meshd/wire.h"
#include "net/link.h"

struct mesh_peers;
struct mesh_peer;

struct mesh_link
{
  struct net_link link;
  struct cds_list_head node;
  struct mesh_peers *peers;
  struct mesh_peer *peer;   /* NULL for an incoming link */
  uint64_t incarnation;     /* of the other daemon; 0 before its hello */
  char *domain;             /* its failure domain; NULL before its hello */
  struct cp_peer_view view; /* what it knew of the store when last heard */
};

struct mesh_peer
{
  struct cds_list_head node;
  struct mesh_peers *peers;
  struct cp_address address;
  unsigned n_users;
  struct mesh_link *link; /* NULL when there is none */
  bool up;                /* the other daemon has said hello */
  bool leaving;           /* it says that it goes away */
  bool refused;           /* the last link found no process there */
  bool restarted;         /* it is another process than before */
  uint64_t incarnation;
  uint64_t heard_us;           /* when a record last came */
  uint64_t oldest_ping_us;     /* when the oldest unanswered ping left, or 0 */
  uint64_t last_ping_us;       /* when the last ping left */
  uint64_t connect_started_us; /* when connecting began */
  uint64_t retry_after_us;     /* not to be tried before; 0 for at once */
  unsigned failures;           /* in a row */
};

struct mesh_peers_events
{
  void (*up) (void *context, struct mesh_peer *peer);

  /* The way broke.  */
  void (*down) (void *context, struct mesh_peer *peer, const char *reason);

  /* An incoming link came or went.  */
  void (*incoming_up) (void *context, struct mesh_link *link);
  void (*incoming_down) (void *context, struct mesh_link *link);

  void (*message) (void *context, struct mesh_link *link,
                   const struct cp_peer_message *message);

  /* The daemon behind LINK said what it knows of the store.  */
  void (*view) (void *context, struct mesh_link *link);
};

struct mesh_peers
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  uv_timer_t tick;
  struct cds_list_head outgoing;
  struct cds_list_head incoming;
  uint64_t incarnation;     /* of this daemon */
  const char *domain;       /* of this daemon */
  struct cp_peer_view view; /* of the store, told in pings */
  uint64_t last_tick_us;
  bool leaving;
  bool stopped;
  unsigned n_up;
  const struct mesh_peers_events *events;
  void *context;
};

/* Listens at ADDRESS.  Returns 0 or a libuv error.  */
int mesh_peers_init (struct mesh_peers *peers, uv_loop_t *loop,
                     const struct cp_address *address, uint64_t incarnation,
                     const char *domain,
                     const struct mesh_peers_events *events, void *context);
void mesh_peers_stop (struct mesh_peers *peers);

/* Returns the way to ADDRESS, for one more user.  */
struct mesh_peer *mesh_peer_acquire (struct mesh_peers *peers,
                                     const struct cp_address *address);
void mesh_peer_release (struct mesh_peer *peer);

/* Sends over WAY; returns false when it is not up.  */
bool mesh_peer_send (struct mesh_peer *peer,
                     const struct cp_peer_message *message);
void mesh_link_send (struct mesh_link *link,
                     const struct cp_peer_message *message);

/* Sends to all daemons that have a way here.  */
void mesh_peers_broadcast (struct mesh_peers *peers,
                           const struct cp_peer_message *message);

/* Tells all that this daemon goes away.  */
void mesh_peers_announce_leaving (struct mesh_peers *peers);

#endif

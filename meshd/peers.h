/* Links to the other daemons.

   A peer is the daemon beside a server, together with our outgoing link to it.
   The link is opened when the first server there becomes known.  When it
   breaks, it is reopened, first at once and then after increasing pauses.
   Incoming links are opened by other daemons.  Both sides start with a hello.
   A link on which nothing is received after a ping is considered silent and is
   replaced.  This module knows nothing of requests.  */
#ifndef MESHD_PEERS_H
#define MESHD_PEERS_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "lib/address.h"
#include "lib/clock.h"
#include "lib/peer_clock.h"
#include "meshd/wire.h"
#include "net/link.h"

struct mesh_peers;
struct mesh_peer;

/* Number of kinds of messages, counting the unused kind 0.  */
#define MESH_MESSAGE_KINDS (CP_PEER_SUSPECTS + 1)

/* Bytes and messages sent, by kind of message and by whether the receiver is
   in our own failure domain.  */
struct mesh_traffic
{
  uint64_t bytes[MESH_MESSAGE_KINDS][2];
  uint64_t messages[MESH_MESSAGE_KINDS][2];
};

extern const char *const mesh_message_names[MESH_MESSAGE_KINDS];

/* A request of a peer for the changes after a position.  */
struct mesh_pull
{
  bool waits; /* for the link, which others use */
  struct cp_store_position since;
  uint64_t answered_us; /* when one with the same position was answered */
};

struct mesh_link
{
  struct net_link net;
  struct cds_list_head node;
  struct mesh_peers *peers;
  struct mesh_peer *peer;   /* NULL for an incoming link */
  uint64_t incarnation;     /* of the other daemon; 0 before its hello */
  char *domain;             /* its failure domain; NULL before its hello */
  bool same_domain;         /* that is our own */
  struct cp_peer_view view; /* what it last reported about the store */
  struct mesh_pull pull;    /* the last one */
};

struct mesh_peer
{
  struct cds_list_head node;
  struct mesh_peers *peers;
  struct cp_address address;
  unsigned n_users;
  struct mesh_link *link; /* NULL if not connected */
  bool up;                /* its hello has been received */
  bool leaving;           /* it has announced that it is leaving */
  bool refused;           /* the last connection was refused */
  bool restarted;         /* another process than at the last hello */
  uint64_t incarnation;
  uint64_t heard_us;       /* when the last record was received */
  uint64_t oldest_ping_us; /* when the oldest unanswered ping was sent, or 0 */
  uint64_t last_ping_us;   /* when the last ping was sent */
  uint64_t connect_started_us; /* when connecting started */
  uint64_t reconnect_at_us;    /* no reconnect before; 0 for at once */
  unsigned failures;           /* consecutive */
};

struct mesh_peers_events
{
  void (*up) (void *context, struct mesh_peer *peer);

  /* The link to PEER broke.  */
  void (*down) (void *context, struct mesh_peer *peer, const char *reason);

  /* The hello of an incoming link was received; an incoming link was
     closed.  */
  void (*incoming_up) (void *context, struct mesh_link *link);
  void (*incoming_down) (void *context, struct mesh_link *link);

  void (*message) (void *context, struct mesh_link *link,
                   const struct cp_peer_message *message);

  /* The peer of LINK reported its view of the store.  */
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
  struct cp_peer_view view; /* of the store, sent in pings */
  uint64_t last_tick_us;
  uint64_t other_domain_ping_us; /* when one in another domain was pinged */
  bool leaving;
  bool stopped;
  unsigned n_up;
  GHashTable *clocks; /* incarnation to struct cp_peer_clock */
  struct mesh_traffic traffic;
  const struct mesh_peers_events *events;
  void *context;
};

/* Listens at ADDRESS.  Returns 0 or a libuv error.  */
int mesh_peers_init (struct mesh_peers *peers, uv_loop_t *loop,
                     const struct cp_address *address, uint64_t incarnation,
                     const char *domain,
                     const struct mesh_peers_events *events, void *context);

/* Closes all links.  Peers stay until they are released, since calls that are
   being freed may use them.  */
void mesh_peers_stop (struct mesh_peers *peers);

/* Frees the peers that were not released.  */
void mesh_peers_finish (struct mesh_peers *peers);

/* Returns whether the daemons with a link to this one have not received all
   that was sent to them.  */
bool mesh_peers_are_sending (const struct mesh_peers *peers);

/* Returns the peer at ADDRESS, connecting to it if it is new.  The caller
   releases it with mesh_peer_release.  */
struct mesh_peer *mesh_peer_acquire (struct mesh_peers *peers,
                                     const struct cp_address *address);
void mesh_peer_release (struct mesh_peer *peer);

/* Sends MESSAGE to PEER.  Returns false if it is not connected, or as
   mesh_link_send does.  */
bool mesh_peer_send (struct mesh_peer *peer,
                     const struct cp_peer_message *message);

/* Sends MESSAGE over LINK, unless that has failed.  Returns false if MESSAGE
   cannot be encoded; that is logged.  */
bool mesh_link_send (struct mesh_link *link,
                     const struct cp_peer_message *message);

/* Returns for how long at least a message from LINK was on its way that was
   sent when its sender's clock showed CLOCK_US, 0 for unknown.  It may have
   waited in a link, a socket, or for the event loop.  */
uint64_t mesh_link_delay_us (struct mesh_link *link, uint64_t clock_us);

/* Sends MESSAGE over all incoming links that have said hello, or only over
   those from our own failure domain.  */
void mesh_peers_broadcast (struct mesh_peers *peers,
                           const struct cp_peer_message *message,
                           bool own_domain_only);

/* Calls VISIT for a link to each daemon that is connected: all outgoing links,
   and the incoming ones of other failure domains, since daemons of a domain
   have links to each other both ways.  */
void mesh_peers_for_each_link (struct mesh_peers *peers,
                               void (*visit) (void *context,
                                              struct mesh_link *link),
                               void *context);

/* Announces over all incoming links that this daemon is leaving.  */
void mesh_peers_announce_leaving (struct mesh_peers *peers);

#endif

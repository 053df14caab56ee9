/* What the daemons know together about requests that may end servers.

   Each daemon has a table (lib/suspects.h).  A change is sent over all links
   at once.  A daemon that learns from it passes it on, unless sender and
   receiver are both in its own failure domain, where each has a link to each.
   A new link begins with the whole table.  */
#ifndef MESHD_SUSPECTS_H
#define MESHD_SUSPECTS_H

#include "lib/suspects.h"
#include "meshd/peers.h"

struct mesh_suspects
{
  struct cp_suspects table;
  struct mesh_peers *peers;
};

void mesh_suspects_init (struct mesh_suspects *suspects,
                         struct mesh_peers *peers);
void mesh_suspects_finish (struct mesh_suspects *suspects);

bool mesh_suspects_contain (const struct mesh_suspects *suspects,
                            uint64_t digest);
bool mesh_suspects_hold_back (const struct mesh_suspects *suspects,
                              uint64_t digest);
uint64_t mesh_suspects_held_back_us (const struct mesh_suspects *suspects,
                                     uint64_t digest);

/* The local server has ended (SERVER_END names the end) while it ran the
   requests of the N DIGESTS; it has answered one of DIGEST.  */
void mesh_suspects_blame (struct mesh_suspects *suspects,
                          const uint64_t *digests, unsigned n,
                          uint64_t server_end);
void mesh_suspects_clear (struct mesh_suspects *suspects, uint64_t digest);

/* Takes in what the daemon at the other end of LINK has sent.  */
void mesh_suspects_receive (struct mesh_suspects *suspects,
                            struct mesh_link *link,
                            const cp_peer_suspects *received);

/* Sends the whole table over LINK, which is new.  */
void mesh_suspects_introduce (struct mesh_suspects *suspects,
                              struct mesh_link *link);

#endif

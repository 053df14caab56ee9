/* Peer messages as records of a link.  */
#ifndef MESHD_WIRE_H
#define MESHD_WIRE_H

#include <glib.h>
#include <stdbool.h>

#include "lib/roster.h"
#include "rpc/peer.h"

/* Why an attempt was turned away or has no answer.  */
enum mesh_reason
{
  MESH_REASON_NONE,
  MESH_REASON_FULL,        /* no slot in time */
  MESH_REASON_WAITED,      /* it waited for a slot as long as it might */
  MESH_REASON_LEAVING,     /* the server or the daemon beside it leaves */
  MESH_REASON_NO_SERVER,   /* the server takes no connection */
  MESH_REASON_SERVER_FULL, /* the server turned it away */
  MESH_REASON_OTHER_INSTANCE,
  MESH_REASON_CANCELLED,
  MESH_REASON_UNKNOWN_ATTEMPT, /* never arrived, and never will */
  MESH_REASON_CUT,             /* the answer is not whole */
  MESH_REASON_GARBLED,         /* the answer is none */
  MESH_REASON_UNSIGNED,        /* a success that is not the server's */
  MESH_REASON_CLOSED,          /* the connection ended before the answer */
  MESH_REASON_TIMEOUT,
  MESH_REASON_LINK_LOST, /* the way to the other daemon broke */
  MESH_REASON_RESTARTED, /* the other daemon has started again */
  MESH_REASON_HEDGED,    /* none: another attempt was made beside it */
  MESH_REASON_COUNT
};

extern const char *const mesh_reason_names[MESH_REASON_COUNT];

/* Returns MESSAGE as a record, with room for its length in front.  */
GByteArray *mesh_message_encode (const struct cp_peer_message *message);

/* Decodes a record.  Returns false when it is none; else the caller releases
   MESSAGE with mesh_release.  */
bool mesh_message_decode (struct cp_peer_message *message, char *data,
                          size_t length);
void mesh_message_free (struct cp_peer_message *message);

/* Translates load reports.  INSTANCE is kept, not copied.  */
void mesh_load_to_wire (struct cp_peer_load *to,
                        const struct cp_server_load *from, char *instance);
void mesh_load_from_wire (struct cp_server_load *to,
                          const struct cp_peer_load *from);

#endif

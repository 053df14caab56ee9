/* Encoding of peer messages as records of a link.  */
#ifndef MESHD_WIRE_H
#define MESHD_WIRE_H

#include <glib.h>
#include <stdbool.h>

#include "lib/server_pool.h"
#include "lib/store_position.h"
#include "rpc/peer.h"

/* Why an attempt was refused, failed or was repeated.  */
enum mesh_reason
{
  MESH_REASON_NONE,
  MESH_REASON_FULL,        /* the expected wait for a slot is too long, or the
                              deadline too close */
  MESH_REASON_WAITED,      /* it waited in the queue for as long as allowed */
  MESH_REASON_LEAVING,     /* the server or its daemon is draining */
  MESH_REASON_NO_SERVER,   /* no server, or it cannot be connected to */
  MESH_REASON_SERVER_FULL, /* the server refused it */
  MESH_REASON_OTHER_INSTANCE,
  MESH_REASON_CANCELLED,
  MESH_REASON_UNKNOWN_ATTEMPT, /* it never arrived and will not arrive */
  MESH_REASON_CUT,             /* the answer is truncated */
  MESH_REASON_GARBLED,  /* the answer is malformed, too long or encoded */
  MESH_REASON_UNSIGNED, /* a success without the server's signature */
  MESH_REASON_CLOSED,   /* the connection was closed before the answer */
  MESH_REASON_TIMEOUT,
  MESH_REASON_LINK_LOST, /* the link to the peer broke */
  MESH_REASON_RESTARTED, /* the peer is another process now */
  MESH_REASON_HEDGED,  /* no failure: a second attempt was sent in parallel */
  MESH_REASON_SUSPECT, /* another request that may have ended servers runs
                          there */
  MESH_REASON_HELD_BACK, /* such requests have ended servers */
  MESH_REASON_EVACUATED, /* the failure domain is evacuated */
  MESH_REASON_REGION,    /* no server in the regions that the route allows */
  MESH_REASON_NO_BUDGET, /* the retry budget does not cover its calls */
  MESH_REASON_NO_ROOM,   /* no server has room, by recent reports */
  MESH_REASON_OVERTAKEN, /* more urgent requests leave it no time */
  MESH_REASON_DELAYED,   /* it was on its way for too long */
  MESH_REASON_COUNT
};

struct cp_run_calls;

/* The request that the local server runs and for which it makes a call.  The
   lists are valid until it ends.  */
struct mesh_parent
{
  unsigned priority;
  bool repeat; /* a server may have received it before */
  uint64_t deadline_us;
  struct cp_run_calls *made;     /* calls that it has made */
  struct cp_run_calls *reserved; /* calls for which a budget is reserved */
};

extern const char *const mesh_reason_names[MESH_REASON_COUNT];

/* Returns MESSAGE encoded as a record, with space for the length in front, or
   NULL if a part of it is longer than rpc/peer.x allows.  */
GByteArray *mesh_message_encode (const struct cp_peer_message *message);

/* Decodes a record.  Returns false if it is invalid; otherwise the caller
   frees MESSAGE with mesh_message_free.  */
bool mesh_message_decode (struct cp_peer_message *message, char *data,
                          size_t length);
void mesh_message_free (struct cp_peer_message *message);

/* Convert a state of the store to and from its form in messages.  */
struct cp_peer_position
mesh_position_to_wire (struct cp_store_position position);
struct cp_store_position
mesh_position_from_wire (const struct cp_peer_position *position);

/* Convert load reports to and from their form in messages.  INSTANCE is that
   of the server, empty when it is not known.  */
void mesh_load_to_wire (struct cp_peer_load *to,
                        const struct cp_server_load *from,
                        const char *instance);
void mesh_load_from_wire (struct cp_server_load *to,
                          const struct cp_peer_load *from);

#endif

#include <string.h>

#include "lib/clock.h"
#include "meshd/wire.h"

#define LENGTH_BYTES 4

/* Halves of a word in struct cp_peer_load.  */
#define HALF_BITS 16
#define HALF_MAX 0xffffU

const char *const mesh_reason_names[MESH_REASON_COUNT] = {
  "none",        "full",           "waited",    "leaving",         "no-server",
  "server-full", "other-instance", "cancelled", "unknown-attempt", "cut",
  "garbled",     "unsigned",       "closed",    "timeout",         "link-lost",
  "restarted",   "hedged",         "suspect",   "held-back",       "evacuated",
  "region",      "no-budget",      "no-room",   "overtaken",       "delayed"
};

GByteArray *
mesh_message_encode (const struct cp_peer_message *message)
{
  struct cp_peer_message *value = (struct cp_peer_message *)message;
  unsigned long size = xdr_sizeof ((xdrproc_t)xdr_cp_peer_message, value);
  GByteArray *record = g_byte_array_sized_new ((guint)size + LENGTH_BYTES);
  bool good;
  XDR xdr;

  g_byte_array_set_size (record, (guint)size + LENGTH_BYTES);
  xdrmem_create (&xdr, (char *)record->data + LENGTH_BYTES, (u_int)size,
                 XDR_ENCODE);
  good = size > 0 && xdr_cp_peer_message (&xdr, value);
  xdr_destroy (&xdr);
  if (good)
    return record;
  g_byte_array_unref (record);
  return NULL;
}

bool
mesh_message_decode (struct cp_peer_message *message, char *data,
                     size_t length)
{
  XDR xdr;
  bool good;

  memset (message, 0, sizeof *message);
  xdrmem_create (&xdr, data, (u_int)length, XDR_DECODE);
  good = xdr_cp_peer_message (&xdr, message);
  xdr_destroy (&xdr);
  if (!good)
    mesh_message_free (message);
  return good;
}

void
mesh_message_free (struct cp_peer_message *message)
{
  xdr_free ((xdrproc_t)xdr_cp_peer_message, (char *)message);
}

struct cp_peer_position
mesh_position_to_wire (struct cp_store_position position)
{
  return (struct cp_peer_position){ position.era, position.revision };
}

struct cp_store_position
mesh_position_from_wire (const struct cp_peer_position *position)
{
  return (struct cp_store_position){ position->era, position->revision };
}

/* Returns HIGH and LOW in one word, each at most as large as its half.  */
static u_int
pack (unsigned high, unsigned low)
{
  return MIN (high, HALF_MAX) << HALF_BITS | MIN (low, HALF_MAX);
}

void
mesh_load_to_wire (struct cp_peer_load *to, const struct cp_server_load *from,
                   const char *instance)
{
  unsigned flags = (from->leaving ? CP_PEER_LOAD_LEAVING : 0)
                   | (from->down ? CP_PEER_LOAD_DOWN : 0);

  *to = (struct cp_peer_load){
    .server = instance[0] == '\0' ? 0 : cp_server_id (instance),
    .running_queued = pack (from->running, from->queued),
    .limit_pace = pack (from->limit, from->pace_permille),
    .slowness_flags = pack (from->slowness_percent, flags),
    .cold = (u_int)MIN (from->cold_us / CP_US_PER_MS, UINT32_MAX),
  };
}

void
mesh_load_from_wire (struct cp_server_load *to,
                     const struct cp_peer_load *from)
{
  unsigned flags = from->slowness_flags & HALF_MAX;

  *to = (struct cp_server_load){
    .running = from->running_queued >> HALF_BITS,
    .queued = from->running_queued & HALF_MAX,
    .limit = from->limit_pace >> HALF_BITS,
    .pace_permille = from->limit_pace & HALF_MAX,
    .slowness_percent = from->slowness_flags >> HALF_BITS,
    .leaving = (flags & CP_PEER_LOAD_LEAVING) != 0,
    .down = (flags & CP_PEER_LOAD_DOWN) != 0,
    .cold_us = from->cold * CP_US_PER_MS,
  };
}

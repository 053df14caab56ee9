/* Check of the framing of a chunked body against RFC 9112, section 7.1.

   libhttp-parser skips what stands where it expects the end of a line, and
   whatever follows the size of a chunk, unless it was built in strict mode.
   Bytes that were lost or added within a chunk would go unnoticed.  Not
   thread-safe.  */
#ifndef NET_CHUNKS_H
#define NET_CHUNKS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/http_syntax.h"

enum net_chunks_state
{
  NET_CHUNK_SIZE_START,
  NET_CHUNK_SIZE,
  NET_CHUNK_EXTENSION_SPACE, /* white space before the ";" */
  NET_CHUNK_EXTENSION,
  NET_CHUNK_SIZE_END, /* CR was read, LF must follow */
  NET_CHUNK_DATA,
  NET_CHUNK_DATA_CR,
  NET_CHUNK_DATA_LF,
  NET_CHUNKS_TRAILER,
  NET_CHUNKS_INVALID
};

struct net_chunks
{
  enum net_chunks_state state;
  uint64_t left; /* size of the chunk, or bytes of it that are to come */
  struct cp_http_syntax trailer;
};

void net_chunks_init (struct net_chunks *chunks);

/* Checks LENGTH bytes of DATA, which follow those of the last call and belong
   to the body.  Returns false if they are not what the grammar allows.  */
bool net_chunks_feed (struct net_chunks *chunks, const char *data,
                      size_t length);

#endif

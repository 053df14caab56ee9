#include <glib.h>

#include "net/chunks.h"

/* Returns the state after BYTE behind the size of a chunk.  */
static enum net_chunks_state
end_size (enum net_chunks_state state, char byte)
{
  switch (byte)
    {
    case '\r':
      return state == NET_CHUNK_EXTENSION_SPACE ? NET_CHUNKS_INVALID
                                                : NET_CHUNK_SIZE_END;
    case ';':
      return NET_CHUNK_EXTENSION;
    case ' ':
    case '\t':
      return NET_CHUNK_EXTENSION_SPACE;
    default:
      return NET_CHUNKS_INVALID;
    }
}

static enum net_chunks_state
read_size (struct net_chunks *chunks, char byte)
{
  if (!g_ascii_isxdigit (byte))
    return chunks->state == NET_CHUNK_SIZE_START
               ? NET_CHUNKS_INVALID
               : end_size (chunks->state, byte);
  if (chunks->left > UINT64_MAX >> 4)
    return NET_CHUNKS_INVALID;
  chunks->left = 16 * chunks->left + (uint64_t)g_ascii_xdigit_value (byte);
  return NET_CHUNK_SIZE;
}

/* Extensions are ignored, so only their bytes are checked.  */
static enum net_chunks_state
read_extension (char byte)
{
  if (byte == '\r')
    return NET_CHUNK_SIZE_END;
  return cp_http_is_text_byte (byte) ? NET_CHUNK_EXTENSION
                                     : NET_CHUNKS_INVALID;
}

/* The chunk of size 0 is the last one.  */
static enum net_chunks_state
begin_data (struct net_chunks *chunks, char byte)
{
  if (byte != '\n')
    return NET_CHUNKS_INVALID;
  if (chunks->left > 0)
    return NET_CHUNK_DATA;
  cp_http_syntax_init_trailer (&chunks->trailer);
  return NET_CHUNKS_TRAILER;
}

static enum net_chunks_state
read_byte (struct net_chunks *chunks, char byte)
{
  switch (chunks->state)
    {
    case NET_CHUNK_SIZE_START:
    case NET_CHUNK_SIZE:
      return read_size (chunks, byte);
    case NET_CHUNK_EXTENSION_SPACE:
      return end_size (chunks->state, byte);
    case NET_CHUNK_EXTENSION:
      return read_extension (byte);
    case NET_CHUNK_SIZE_END:
      return begin_data (chunks, byte);
    case NET_CHUNK_DATA_CR:
      return byte == '\r' ? NET_CHUNK_DATA_LF : NET_CHUNKS_INVALID;
    case NET_CHUNK_DATA_LF:
      return byte == '\n' ? NET_CHUNK_SIZE_START : NET_CHUNKS_INVALID;
    default:
      return NET_CHUNKS_INVALID;
    }
}

/* Skips data of the current chunk.  Returns the number of bytes.  */
static size_t
skip_data (struct net_chunks *chunks, size_t length)
{
  size_t n = MIN (length, chunks->left);

  chunks->left -= n;
  if (chunks->left == 0)
    chunks->state = NET_CHUNK_DATA_CR;
  return n;
}

void
net_chunks_init (struct net_chunks *chunks)
{
  *chunks = (struct net_chunks){ .state = NET_CHUNK_SIZE_START };
}

bool
net_chunks_feed (struct net_chunks *chunks, const char *data, size_t length)
{
  size_t at = 0;

  while (at < length && chunks->state != NET_CHUNKS_INVALID)
    switch (chunks->state)
      {
      case NET_CHUNK_DATA:
        at += skip_data (chunks, length - at);
        break;
      case NET_CHUNKS_TRAILER:
        cp_http_syntax_feed (&chunks->trailer, data + at, length - at);
        return chunks->trailer.state != CP_HTTP_INVALID;
      default:
        chunks->state = read_byte (chunks, data[at++]);
      }
  return chunks->state != NET_CHUNKS_INVALID;
}

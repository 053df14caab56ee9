#include <arpa/inet.h>
#include <string.h>

#include "net/link.h"

#define LENGTH_BYTES 4

/* Longest record whose memory is kept for the next one.  */
#define KEPT_BYTES_MAX 65536

static void
fail (struct net_link *link, const char *reason)
{
  if (link->failed)
    return;
  link->failed = true;
  link->events->failed (link, reason);
}

static void
on_connected (struct net_stream *stream, int error)
{
  struct net_link *link = stream->context;

  link->connection_refused = error == UV_ECONNREFUSED;
  if (error != 0)
    fail (link, uv_strerror (error));
  else
    link->events->connected (link);
}

/* Returns the length prefix of the record at DATA, or 0 when fewer than four
   bytes have arrived.  */
static size_t
record_length (const char *data, size_t length)
{
  uint32_t prefix;

  if (length < LENGTH_BYTES)
    return 0;
  memcpy (&prefix, data, sizeof prefix);
  return ntohl (prefix);
}

/* Passes the complete records at DATA to the owner.  Returns the number of
   bytes consumed.  */
static size_t
deliver_records (struct net_link *link, char *data, size_t length)
{
  size_t consumed = 0;

  while (!link->failed && !link->stream.closing)
    {
      size_t size = record_length (data + consumed, length - consumed);

      if (length - consumed < LENGTH_BYTES)
        break;
      if (size == 0 || size > link->record_max)
        {
          fail (link, "record length is 0 or exceeds the limit");
          break;
        }
      if (length - consumed < LENGTH_BYTES + size)
        break;
      link->events->record (link, data + consumed + LENGTH_BYTES, size);
      consumed += LENGTH_BYTES + size;
    }
  return consumed;
}

static void
on_data (struct net_stream *stream, const char *data, size_t length)
{
  struct net_link *link = stream->context;
  size_t consumed;

  if (link->input->len == 0)
    {
      consumed = deliver_records (link, (char *)data, length);
      g_byte_array_append (link->input, (const guint8 *)data + consumed,
                           (guint)(length - consumed));
      return;
    }
  g_byte_array_append (link->input, (const guint8 *)data, (guint)length);
  consumed
      = deliver_records (link, (char *)link->input->data, link->input->len);
  if (consumed == link->input->len && consumed > KEPT_BYTES_MAX)
    {
      g_byte_array_unref (link->input);
      link->input = g_byte_array_new ();
    }
  else if (consumed > 0)
    g_byte_array_remove_range (link->input, 0, (guint)consumed);
}

static void
on_ended (struct net_stream *stream, int error)
{
  fail (stream->context, uv_strerror (error));
}

static void
on_released (struct net_stream *stream)
{
  struct net_link *link = stream->context;

  g_byte_array_unref (link->input);
  link->events->released (link);
}

static const struct net_stream_events stream_events
    = { .connected = on_connected,
        .data = on_data,
        .ended = on_ended,
        .released = on_released };

void
net_link_connect (struct net_link *link, uv_loop_t *loop,
                  const struct cp_address *address,
                  const struct net_link_events *events, void *context)
{
  *link = (struct net_link){ .events = events,
                             .context = context,
                             .record_max = NET_RECORD_MAX,
                             .input = g_byte_array_new () };
  net_stream_connect (&link->stream, loop, address, &stream_events, link);
}

int
net_link_accept (struct net_link *link, uv_stream_t *listener,
                 const struct net_link_events *events, void *context)
{
  *link = (struct net_link){ .events = events,
                             .context = context,
                             .record_max = NET_RECORD_MAX,
                             .input = g_byte_array_new () };
  return net_stream_accept (&link->stream, listener, &stream_events, link);
}

void
net_link_send (struct net_link *link, GByteArray *record)
{
  uint32_t length = htonl (record->len - LENGTH_BYTES);

  if (link->failed)
    {
      g_byte_array_unref (record);
      return;
    }
  memcpy (record->data, &length, sizeof length);
  net_stream_write (&link->stream, record);
}

void
net_link_close (struct net_link *link)
{
  link->failed = true;
  net_stream_close (&link->stream);
}

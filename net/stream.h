/* TCP connection on a libuv loop, the base of HTTP connections and of links
   between daemons.

   Writes are tried immediately; what the socket does not accept is queued.
   The owner must not free a stream before RELEASED is called.  All functions
   run on the event loop's thread.  */
#ifndef NET_STREAM_H
#define NET_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "lib/address.h"

struct net_stream;

/* Callbacks.  ERROR is 0 or a negative libuv error; UV_EOF is an orderly close
   by the peer.  */
struct net_stream_events
{
  void (*connected) (struct net_stream *stream, int error);
  void (*data) (struct net_stream *stream, const char *data, size_t length);
  void (*ended) (struct net_stream *stream, int error);
  void (*released) (struct net_stream *stream);
};

struct net_stream
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  const struct net_stream_events *events;
  void *context;
  size_t unwritten; /* bytes queued for writing */
  bool reading;
  bool closing;
  bool wrote; /* the system took data since net_stream_clear_wrote, or may */
};

/* Accepts a connection from LISTENER.  Returns 0 or a libuv error; after an
   error the stream closes itself.  */
int net_stream_accept (struct net_stream *stream, uv_stream_t *listener,
                       const struct net_stream_events *events, void *context);

/* Starts connecting.  CONNECTED reports success or failure; an immediate
   failure is reported before this returns.  */
void net_stream_connect (struct net_stream *stream, uv_loop_t *loop,
                         const struct cp_address *address,
                         const struct net_stream_events *events,
                         void *context);

/* Starts or stops reading.  */
void net_stream_set_reading (struct net_stream *stream, bool on);

/* Writes DATA and takes over its reference.  An error is reported to ENDED
   when the event loop comes round, not before this returns.  */
void net_stream_write (struct net_stream *stream, GByteArray *data);

/* Returns how many bytes the other side has not acknowledged.  */
size_t net_stream_unacknowledged (const struct net_stream *stream);

/* Clears WROTE.  */
void net_stream_clear_wrote (struct net_stream *stream);

/* Shuts down the write side once all queued data is written.  */
void net_stream_shutdown (struct net_stream *stream);

/* Closes the stream; RELEASED is called later.  Further calls do nothing.  */
void net_stream_close (struct net_stream *stream);

/* Binds LISTENER to ADDRESS and starts listening.  Returns 0 or a libuv
   error.  */
int net_listen (uv_tcp_t *listener, uv_loop_t *loop,
                const struct cp_address *address, uv_connection_cb accept_cb);

#endif

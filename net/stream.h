/* A TCP connection on the loop: the one type below HTTP connections and links
   between daemons.

   Writes are tried at once; what the socket does not take is kept and written
   later.  The owner frees its memory when RELEASED is called, never before.
   All functions run on the loop's thread.  */
#ifndef NET_STREAM_H
#define NET_STREAM_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "lib/address.h"

struct net_stream;

/* What the owner of a stream is told.  ERROR is 0 or a negative libuv code;
   UV_EOF when the peer ended its side.  */
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
  size_t unwritten; /* bytes kept for later */
  bool reading;
  bool closing;
  bool
      wrote; /* a byte was handed to the socket since net_stream_clear_wrote */
};

/* Takes a connection that waits at LISTENER.  Returns 0 or a libuv error, in
   which case the stream is being closed.  */
int net_stream_accept (struct net_stream *stream, uv_stream_t *listener,
                       const struct net_stream_events *events, void *context);

/* Begins to connect; CONNECTED is called later, also on failure.  */
void net_stream_connect (struct net_stream *stream, uv_loop_t *loop,
                         const struct cp_address *address,
                         const struct net_stream_events *events,
                         void *context);

void net_stream_set_reading (struct net_stream *stream, bool on);

/* Writes DATA, which is released.  Returns 0 or a libuv error.  */
int net_stream_write (struct net_stream *stream, GByteArray *data);

/* Forgets what was written before, for WROTE.  */
void net_stream_clear_wrote (struct net_stream *stream);

/* Ends the own side once all is written.  */
void net_stream_shutdown (struct net_stream *stream);

/* Closes; RELEASED follows.  Harmless when repeated.  */
void net_stream_close (struct net_stream *stream);

/* Starts listening.  Returns 0 or a libuv error.  */
int net_listen (uv_tcp_t *listener, uv_loop_t *loop,
                const struct cp_address *address, uv_connection_cb accept_cb);

#endif

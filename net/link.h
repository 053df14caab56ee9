/* Length-prefixed records over a TCP connection.  Each record is preceded by
   its length as four bytes in network byte order.  All functions run on the
   event loop's thread.  */
#ifndef NET_LINK_H
#define NET_LINK_H

#include "net/stream.h"

/* Longest record: 64 MB for the largest body in a peer message and 1 MB for
   its headers.  */
#define NET_RECORD_MAX ((64U << 20) + (1U << 20))

struct net_link;

struct net_link_events
{
  void (*connected) (struct net_link *link);
  void (*record) (struct net_link *link, char *data, size_t length);
  void (*failed) (struct net_link *link, const char *reason);
  void (*released) (struct net_link *link);
};

struct net_link
{
  struct net_stream stream;
  GByteArray *input; /* start of an incomplete record */
  const struct net_link_events *events;
  void *context;
  size_t record_max;       /* longest record that is accepted */
  bool connection_refused; /* the connect failed with ECONNREFUSED */
  bool failed;
};

void net_link_connect (struct net_link *link, uv_loop_t *loop,
                       const struct cp_address *address,
                       const struct net_link_events *events, void *context);

/* Accepts a connection from LISTENER.  Returns 0 or a libuv error; after an
   error RELEASED is called later.  */
int net_link_accept (struct net_link *link, uv_stream_t *listener,
                     const struct net_link_events *events, void *context);

/* Sends RECORD and takes over its reference.  The caller reserves its first
   four bytes for the length, which is filled in here.  FAILED is not called
   before this returns.  */
void net_link_send (struct net_link *link, GByteArray *record);

/* Closes the connection.  RELEASED is called later, FAILED is not.  */
void net_link_close (struct net_link *link);

#endif

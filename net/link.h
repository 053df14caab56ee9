/* Records over a TCP connection: each is a length of four bytes, most
   significant first, and that many bytes.  Runs on the loop's thread.  */
#ifndef NET_LINK_H
#define NET_LINK_H

#include "net/stream.h"

/* Longest record: the largest body that a peer message holds, with its
   headers.  */
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
  GByteArray *input; /* the beginning of a record */
  const struct net_link_events *events;
  void *context;
  bool connection_refused; /* nobody listens at its address */
  bool failed;
};

void net_link_connect (struct net_link *link, uv_loop_t *loop,
                       const struct cp_address *address,
                       const struct net_link_events *events, void *context);

/* Returns 0 or a libuv error, in which case RELEASED follows.  */
int net_link_accept (struct net_link *link, uv_stream_t *listener,
                     const struct net_link_events *events, void *context);

/* Sends RECORD, which is released; its first four bytes are the length, set
   here.  FAILED may be called before this returns.  */
void net_link_send (struct net_link *link, GByteArray *record);

/* Closes; RELEASED follows, FAILED does not.  */
void net_link_close (struct net_link *link);

#endif

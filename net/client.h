/* HTTP/1.1 client connection that carries one request at a time.

   RESPONDED is called for each complete response and returns whether it
   belongs to the pending request; when it returns false, the response is
   discarded and the next one on the connection is awaited.  FAILED is called
   at most once; afterwards the connection accepts no more requests.  All
   functions run on the event loop's thread.  */
#ifndef NET_CLIENT_H
#define NET_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "net/message.h"
#include "net/stream.h"

enum net_failure
{
  NET_FAILED_CONNECT,  /* the connection could not be established */
  NET_FAILED_UNSENT,   /* no byte of the request was written */
  NET_FAILED_RESET,    /* connection error before the response began */
  NET_FAILED_ENDED,    /* orderly close before the response began */
  NET_FAILED_CUT,      /* connection lost in the middle of the response */
  NET_FAILED_GARBLED,  /* the response is malformed or its headers too long,
                          alone or with those of interim responses */
  NET_FAILED_TOO_LONG, /* the response body exceeds the limit */
  NET_FAILED_IDLE,     /* closed, or sent data, with no request pending */
  NET_FAILURE_COUNT
};

extern const char *const net_failure_names[NET_FAILURE_COUNT];

struct net_client;

struct net_client_events
{
  void (*connected) (struct net_client *client);
  bool (*responded) (struct net_client *client,
                     const struct net_message *response);
  void (*failed) (struct net_client *client, enum net_failure failure);
  void (*released) (struct net_client *client);
};

struct net_client
{
  struct net_stream stream;
  struct net_message response;
  const struct net_client_events *events;
  void *context;
  size_t interim_bytes; /* of the interim responses to the pending request */
  bool is_connected;
  bool awaiting_response; /* a request is pending */
  bool reusable;          /* the next request may be sent */
  bool failed;
};

void net_client_connect (struct net_client *client, uv_loop_t *loop,
                         const struct cp_address *address,
                         const struct net_limits *limits,
                         const struct net_client_events *events,
                         void *context);

/* Sends REQUEST and takes over its reference.  BODILESS is true when the
   response has no body, as for HEAD.  */
void net_client_send (struct net_client *client, GByteArray *request,
                      bool bodiless);

/* Closes the connection.  RELEASED is called later, FAILED is not.  */
void net_client_close (struct net_client *client);

/* Returns whether part of the last request is still unwritten.  */
bool net_client_is_writing (const struct net_client *client);

#endif

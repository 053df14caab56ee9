/* One HTTP/1.1 connection to a server, for one request at a time.

   The owner decides what a response is worth: ANSWERED returns whether it is
   the one that was waited for; when not, the next response on the connection
   is read.  FAILED comes once, after it the connection takes no more requests.
   Runs on the loop's thread.  */
#ifndef NET_CLIENT_H
#define NET_CLIENT_H

#include <stdbool.h>
#include <stdint.h>

#include "net/message.h"
#include "net/stream.h"

enum net_failure
{
  NET_FAILED_CONNECT,  /* no connection */
  NET_FAILED_UNSENT,   /* no byte of the request was written */
  NET_FAILED_RESET,    /* the connection broke before the response started */
  NET_FAILED_ENDED,    /* it was ended in order before the response started */
  NET_FAILED_CUT,      /* it broke inside the response */
  NET_FAILED_GARBLED,  /* the bytes are no response */
  NET_FAILED_TOO_LONG, /* the response is over the limit */
  NET_FAILED_IDLE,     /* it ended, or said something, with no request */
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
  bool is_connected;
  bool awaiting_response; /* a request has no response yet */
  bool reusable;          /* after a response: the next request may be sent */
  bool failed;
};

void net_client_connect (struct net_client *client, uv_loop_t *loop,
                         const struct cp_address *address,
                         const struct net_limits *limits,
                         const struct net_client_events *events,
                         void *context);

/* Sends REQUEST, which is released.  BODILESS: its response has no body.  */
void net_client_send (struct net_client *client, GByteArray *request,
                      bool bodiless);

/* Closes; RELEASED follows, FAILED does not.  */
void net_client_close (struct net_client *client);

/* Returns whether a part of the last request is still to be written.  */
bool net_client_is_writing (const struct net_client *client);

#endif

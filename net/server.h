/* HTTP/1.1 server with pipelining.

   Each request on a connection becomes an exchange, also while earlier ones
   are unanswered.  Exchanges may be answered in any order; the responses are
   sent in the order of the requests.  The server itself answers requests that
   exceed a limit or cannot be parsed.  All functions run on the event loop's
   thread.  */
#ifndef NET_SERVER_H
#define NET_SERVER_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "net/message.h"
#include "net/stream.h"

/* Limits for clients, which may be changed while the server runs; 0 for
   none.  */
struct net_server_limits
{
  size_t head_bytes;
  size_t body_bytes;
  uint64_t head_ms; /* time allowed for the headers of a request */
  uint64_t idle_ms; /* time a connection may be idle */
};

struct net_connection;

/* A request and its response.  Owned by the connection.  */
struct net_exchange
{
  struct cds_list_head node;
  struct net_connection *connection;
  struct net_message request;
  uint64_t started_ms;  /* loop time of the first byte */
  uint64_t received_ms; /* loop time of the last byte */
  GByteArray *response; /* NULL until answered */
  bool close;           /* close the connection after the response */
  void *owner; /* user data; ABANDONED is called only while it is set */
};

/* Callbacks.  REQUEST: a request is complete.  ABANDONED: its response can no
   longer be delivered, and the exchange is freed afterwards.  REFUSED: the
   server itself answered a request with STATUS, or STATUS is 0 and a
   connection could not be accepted.  */
struct net_server_events
{
  void (*request) (void *context, struct net_exchange *exchange);
  void (*abandoned) (void *context, struct net_exchange *exchange);
  void (*refused) (void *context, unsigned status, const char *reason);
};

struct net_server
{
  uv_loop_t *loop;
  uv_tcp_t listener;
  uv_timer_t timeout_check;
  const struct net_server_events *events;
  void *context;
  struct net_server_limits limits;
  struct cds_list_head connections;
  unsigned n_connections;
  unsigned n_exchanges;               /* received and not yet answered */
  struct net_body_budget body_budget; /* of the bodies of requests that are
                                         read or unanswered */
  bool listening;
  bool draining;
};

/* Starts listening at ADDRESS.  Returns 0 or a libuv error.  */
int net_server_init (struct net_server *server, uv_loop_t *loop,
                     const struct cp_address *address,
                     const struct net_server_limits *limits,
                     const struct net_server_events *events, void *context);

/* Stops listening and closes idle connections.  Each of the others is closed
   after the responses to the requests that have been read, and to one that has
   been read in part; no other request is read there.  */
void net_server_drain (struct net_server *server);

/* Closes the listener and all connections.  The loop must run until the close
   callbacks have been called.  */
void net_server_finish (struct net_server *server);

/* Answers EXCHANGE with STATUS.  HEAD is NULL or header lines, each ending in
   CRLF.  BODY is NULL or LENGTH bytes, which are copied.  */
void net_exchange_respond (struct net_exchange *exchange, unsigned status,
                           const char *head, const void *body, size_t length);

/* Returns the reason phrase of STATUS.  */
const char *net_status_text (unsigned status);

#endif

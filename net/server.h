/* HTTP/1.1 listener on the loop.

   Requests of a connection are read as they come, also before earlier ones
   are answered; each becomes an exchange.  Exchanges are answered in any order
   and leave in the order of the requests.  What breaks a limit or cannot be
   parsed is answered by the listener itself.  Runs on the loop's thread.  */
#ifndef NET_SERVER_H
#define NET_SERVER_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "net/message.h"
#include "net/stream.h"

/* What clients of a listener may do; may change while it runs.  */
struct net_server_limits
{
  size_t head_bytes;
  size_t body_bytes;
  uint64_t head_ms; /* time to send the headers of a request */
  uint64_t idle_ms; /* time without a request */
};

struct net_connection;

/* A request and, later, its answer.  Belongs to the connection.  */
struct net_exchange
{
  struct cds_list_head node;
  struct net_connection *connection;
  struct net_message request;
  uint64_t started_ms;  /* loop time of its first byte */
  uint64_t received_ms; /* loop time at which it was whole */
  GByteArray *response; /* NULL until it is answered */
  bool close;           /* the connection ends with this answer */
  void *owner;          /* of the user; ABANDONED comes only while it is set */
};

/* What the user of a listener is told.  REFUSED: the listener has answered by
   itself, with STATUS, or could not accept a connection (0).  */
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
  unsigned n_exchanges;      /* read and not yet answered */
  size_t request_body_bytes; /* of request bodies */
  bool listening;
  bool draining;
};

/* Starts to listen at ADDRESS.  Returns 0 or a libuv error.  */
int net_server_init (struct net_server *server, uv_loop_t *loop,
                     const struct cp_address *address,
                     const struct net_server_limits *limits,
                     const struct net_server_events *events, void *context);

/* Takes no new connections, closes idle ones, and ends each of the others
   with the last answer that it owes.  */
void net_server_drain (struct net_server *server);

/* Closes all that is left.  The loop must run until nothing is left.  */
void net_server_finish (struct net_server *server);

/* Answers with STATUS.  HEAD holds header lines, each with its line end, or is
   NULL; BODY may be NULL, else it is copied.  */
void net_exchange_respond (struct net_exchange *exchange, unsigned status,
                           const char *head, const void *body, size_t length);

/* The reason phrase of STATUS.  */
const char *net_status_text (unsigned status);

#endif

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "net/server.h"
#include "net/turns.h"

/* Unanswered requests per connection.  At this number reading pauses, and
   further requests stay in the socket buffer.  */
#define PIPELINED_REQUESTS_MAX 64

/* How long a connection is still read after its write side was shut down and
   the client has received everything, in ms.  Closing with unread input would
   send a reset, which may reach the client before it has read the response. */
#define LINGER_MS 1000

/* Unsent response bytes beyond which a connection is closed.  */
#define UNWRITTEN_BYTES_MAX (16U << 20)

/* When a client may return whose body does not fit beside those of others.  */
#define RETRY_AFTER_BODIES "Retry-After: 0.2\r\n"

/* Interval of the timeout check.  */
#define TIMEOUT_CHECK_MS 250

struct net_connection
{
  struct cds_list_head node;
  struct net_server *server;
  struct net_stream stream;
  struct net_exchange *receiving; /* the request being read, or NULL */
  struct cds_list_head exchanges; /* complete requests, oldest first */
  unsigned n_exchanges;
  uint64_t idle_since_ms;
  uint64_t shutdown_ms;   /* loop time of the write-side shutdown, or when it
                             was last seen to be incomplete; or 0 */
  bool ending;            /* no more requests are accepted */
  bool parsing;           /* input is being parsed */
  GByteArray *held_input; /* input read while the pipeline was full */
};

static void connection_flush (struct net_connection *connection);
static void parse_input (struct net_connection *connection, const char *data,
                         size_t length);

const char *
net_status_text (unsigned status)
{
  return http_status_str ((enum http_status)status);
}

static struct net_exchange *
exchange_create (struct net_connection *connection)
{
  struct net_exchange *exchange = g_new0 (struct net_exchange, 1);
  struct net_limits limits = { .head = connection->server->limits.head_bytes,
                               .body = connection->server->limits.body_bytes,
                               .budget = &connection->server->body_budget };

  exchange->connection = connection;
  exchange->started_ms = uv_now (connection->server->loop);
  net_message_init (&exchange->request, HTTP_REQUEST, &limits);
  return exchange;
}

static void
exchange_free (struct net_exchange *exchange)
{
  if (exchange->response != NULL)
    g_byte_array_unref (exchange->response);
  net_message_finish (&exchange->request);
  free (exchange);
}

/* Returns whether CONNECTION sends no more responses.  */
static bool
is_write_side_closed (const struct net_connection *connection)
{
  return connection->stream.closing || connection->shutdown_ms != 0;
}

/* Drops all exchanges: their responses can no longer be delivered, since the
   write side has been closed.  The owner of one may answer others while it is
   told of the end of its own, so each is taken off the list first, and the
   list is read from its head again.  */
static void
abandon_all (struct net_connection *connection)
{
  struct net_server *server = connection->server;
  struct net_exchange *exchange;

  while (!cds_list_empty (&connection->exchanges))
    {
      exchange = cds_list_first_entry (&connection->exchanges,
                                       struct net_exchange, node);
      cds_list_del (&exchange->node);
      connection->n_exchanges--;
      if (exchange->response == NULL)
        {
          server->n_exchanges--;
          if (exchange->owner != NULL)
            server->events->abandoned (server->context, exchange);
        }
      exchange_free (exchange);
    }
}

static void
connection_close (struct net_connection *connection)
{
  net_stream_close (&connection->stream);
  abandon_all (connection);
}

/* Shuts down the write side; further input is read and discarded.  */
static void
connection_shutdown (struct net_connection *connection)
{
  connection->ending = true;
  if (connection->shutdown_ms != 0)
    return;
  connection->shutdown_ms = uv_now (connection->server->loop);
  net_stream_shutdown (&connection->stream);
  net_stream_set_reading (&connection->stream, true);
}

static GByteArray *
format_head (unsigned status, const char *head, size_t length, bool no_body)
{
  GByteArray *response = g_byte_array_sized_new ((guint)length + 512);
  char line[160];
  int n;

  n = g_snprintf (line, sizeof line, "HTTP/1.1 %u %s\r\n", status,
                  net_status_text (status));
  g_byte_array_append (response, (const guint8 *)line, (guint)n);
  if (head != NULL)
    g_byte_array_append (response, (const guint8 *)head, (guint)strlen (head));
  if (status != 204 && status != 304 && !no_body)
    {
      n = g_snprintf (line, sizeof line, "Content-Length: %zu\r\n", length);
      g_byte_array_append (response, (const guint8 *)line, (guint)n);
    }
  /* The caller adds the empty line; a Connection header may be inserted
     later, when the response is sent.  */
  return response;
}

void
net_exchange_respond (struct net_exchange *exchange, unsigned status,
                      const char *head, const void *body, size_t length)
{
  struct net_connection *connection = exchange->connection;
  bool head_request = exchange->request.parser.method == (unsigned)HTTP_HEAD;

  if (exchange->response != NULL)
    return;
  exchange->owner = NULL;
  exchange->response = format_head (status, head, length, head_request);
  if (!exchange->request.keep_alive)
    exchange->close = true;
  g_byte_array_append (exchange->response, (const guint8 *)"\r\n", 2);
  if (length > 0 && !head_request)
    g_byte_array_append (exchange->response, body, (guint)length);
  connection->server->n_exchanges--;
  if (!connection->parsing)
    connection_flush (connection);
}

/* Inserts "Connection: close" after the status line of RESPONSE.  */
static void
add_connection_close (GByteArray *response)
{
  static const char text[] = "Connection: close\r\n";
  const guint8 *end = memchr (response->data, '\n', response->len);
  guint at = (guint)(end - response->data) + 1;
  guint size = sizeof text - 1;

  g_byte_array_set_size (response, response->len + size);
  memmove (response->data + at + size, response->data + at,
           response->len - size - at);
  memcpy (response->data + at, text, size);
}

/* Returns whether a request has arrived in part.  */
static bool
is_receiving (const struct net_connection *connection)
{
  return connection->receiving != NULL
         && connection->receiving->request.started;
}

/* Parses the input that was held back while the pipeline was full.  */
static void
parse_held_input (struct net_connection *connection)
{
  GByteArray *held_input = connection->held_input;

  if (held_input == NULL || connection->n_exchanges >= PIPELINED_REQUESTS_MAX
      || connection->ending)
    return;
  connection->held_input = NULL;
  parse_input (connection, (const char *)held_input->data, held_input->len);
  g_byte_array_unref (held_input);
  if (connection->held_input == NULL)
    net_stream_set_reading (&connection->stream, true);
}

/* Writes the responses that are ready, in the order of the requests.  */
static void
connection_flush (struct net_connection *connection)
{
  struct net_server *server = connection->server;
  GByteArray *output = NULL;
  bool close = false;

  if (is_write_side_closed (connection))
    return;
  while (!cds_list_empty (&connection->exchanges) && !close)
    {
      struct net_exchange *exchange = cds_list_first_entry (
          &connection->exchanges, struct net_exchange, node);

      if (exchange->response == NULL)
        break;
      cds_list_del (&exchange->node);
      connection->n_exchanges--;
      close = exchange->close
              || (server->draining && connection->n_exchanges == 0
                  && !is_receiving (connection));
      if (close)
        add_connection_close (exchange->response);
      if (output == NULL)
        {
          output = exchange->response;
          exchange->response = NULL;
        }
      else
        g_byte_array_append (output, exchange->response->data,
                             exchange->response->len);
      exchange_free (exchange);
    }
  if (output == NULL)
    return;
  connection->idle_since_ms = uv_now (server->loop);
  net_stream_write (&connection->stream, output);
  if (connection->stream.unwritten > UNWRITTEN_BYTES_MAX)
    connection_close (connection);
  else if (close)
    {
      connection_shutdown (connection);
      abandon_all (connection);
    }
  else if (!connection->parsing)
    parse_held_input (connection);
}

/* Answers a request that is malformed or too large, and closes the
   connection.  */
static void
reject_request (struct net_connection *connection, enum net_parse_state state)
{
  struct net_server *server = connection->server;
  struct net_exchange *exchange = connection->receiving;
  unsigned status = 400;
  const char *reason = "malformed request";
  const char *head = NULL;

  if (state == NET_HEAD_TOO_LONG || state == NET_TOO_MANY_HEADERS)
    {
      status = 431;
      reason = "headers too long";
    }
  else if (state == NET_BODY_TOO_LONG)
    {
      status = 413;
      reason = "body too long";
    }
  else if (state == NET_BODY_OVER_BUDGET)
    {
      status = 503;
      reason = "request bodies exceed the memory limit";
      head = RETRY_AFTER_BODIES;
    }
  server->events->refused (server->context, status, reason);
  connection->receiving = NULL;
  connection->ending = true;
  cds_list_add_tail (&exchange->node, &connection->exchanges);
  connection->n_exchanges++;
  server->n_exchanges++;
  exchange->close = true;
  net_exchange_respond (exchange, status, head, NULL, 0);
}

static void
dispatch_request (struct net_connection *connection)
{
  struct net_server *server = connection->server;
  struct net_exchange *exchange = connection->receiving;

  connection->receiving = NULL;
  cds_list_add_tail (&exchange->node, &connection->exchanges);
  connection->n_exchanges++;
  server->n_exchanges++;
  exchange->received_ms = uv_now (server->loop);
  if (!exchange->request.keep_alive || server->draining)
    connection->ending = true;
  server->events->request (server->context, exchange);
}

/* Sends "100 Continue" when the client waits for it before sending the body
   and no earlier response is outstanding.  */
static void
send_continue (struct net_connection *connection)
{
  static const char text[] = "HTTP/1.1 100 Continue\r\n\r\n";
  struct net_message *request = &connection->receiving->request;
  const char *expect = net_headers_find (&request->headers, "Expect");
  GByteArray *interim;

  if (expect == NULL || strcasecmp (expect, "100-continue") != 0
      || connection->n_exchanges > 0)
    return;
  interim = g_byte_array_new ();
  g_byte_array_append (interim, (const guint8 *)text, sizeof text - 1);
  net_stream_write (&connection->stream, interim);
}

static void
parse_input (struct net_connection *connection, const char *data,
             size_t length)
{
  bool nested = connection->parsing;

  connection->parsing = true;
  while (length > 0 && !connection->ending && !connection->stream.closing)
    {
      struct net_message *request;
      enum net_parse_state state;
      bool had_head;
      size_t used;

      if (connection->n_exchanges >= PIPELINED_REQUESTS_MAX)
        {
          connection->held_input = g_byte_array_new ();
          g_byte_array_append (connection->held_input, (const guint8 *)data,
                               (guint)length);
          net_stream_set_reading (&connection->stream, false);
          break;
        }
      if (connection->receiving == NULL)
        connection->receiving = exchange_create (connection);
      request = &connection->receiving->request;
      had_head = request->headers_complete;
      state = net_message_feed (request, data, length, &used);
      data += used;
      length -= used;
      if (state == NET_COMPLETE)
        dispatch_request (connection);
      else if (state != NET_INCOMPLETE)
        reject_request (connection, state);
      else if (!had_head && request->headers_complete)
        send_continue (connection);
    }
  connection->parsing = nested;
  if (!nested && !connection->stream.closing)
    connection_flush (connection);
}

static void
on_data (struct net_stream *stream, const char *data, size_t length)
{
  struct net_connection *connection = stream->context;

  if (!connection->ending)
    parse_input (connection, data, length);
}

static void
on_ended (struct net_stream *stream, int error)
{
  (void)error;
  connection_close (stream->context);
}

static void
on_released (struct net_stream *stream)
{
  struct net_connection *connection = stream->context;

  abandon_all (connection);
  if (connection->receiving != NULL)
    exchange_free (connection->receiving);
  if (connection->held_input != NULL)
    g_byte_array_unref (connection->held_input);
  cds_list_del (&connection->node);
  connection->server->n_connections--;
  free (connection);
}

static const struct net_stream_events stream_events
    = { .data = on_data, .ended = on_ended, .released = on_released };

static void
on_accept (uv_stream_t *listener, int status)
{
  struct net_server *server = listener->data;
  struct net_connection *connection;

  if (status < 0)
    {
      server->events->refused (server->context, 0, uv_strerror (status));
      return;
    }
  connection = g_new0 (struct net_connection, 1);
  connection->server = server;
  connection->idle_since_ms = uv_now (server->loop);
  CDS_INIT_LIST_HEAD (&connection->exchanges);
  cds_list_add_tail (&connection->node, &server->connections);
  server->n_connections++;
  net_stream_accept (&connection->stream, listener, &stream_events,
                     connection);
}

/* Answers 408 and closes the connection when the headers of a request take too
   long.  */
static void
check_header_timeout (struct net_connection *connection, uint64_t now_ms)
{
  struct net_server *server = connection->server;
  struct net_exchange *exchange = connection->receiving;

  if (exchange->request.headers_complete || server->limits.head_ms == 0
      || now_ms - exchange->started_ms < server->limits.head_ms)
    return;
  server->events->refused (server->context, 408,
                           "timeout while reading headers");
  connection->receiving = NULL;
  connection->ending = true;
  cds_list_add_tail (&exchange->node, &connection->exchanges);
  connection->n_exchanges++;
  server->n_exchanges++;
  exchange->close = true;
  net_exchange_respond (exchange, 408, NULL, NULL, 0);
}

static void
check_timeouts (struct net_connection *connection, uint64_t now_ms)
{
  struct net_server *server = connection->server;

  if (connection->shutdown_ms != 0)
    {
      if (net_stream_unacknowledged (&connection->stream) > 0)
        connection->shutdown_ms = now_ms;
      else if (now_ms - connection->shutdown_ms > LINGER_MS)
        connection_close (connection);
      return;
    }
  if (is_receiving (connection))
    check_header_timeout (connection, now_ms);
  else if (connection->n_exchanges == 0 && server->limits.idle_ms > 0
           && now_ms - connection->idle_since_ms > server->limits.idle_ms)
    connection_shutdown (connection);
}

static void
on_timeout_check (uv_timer_t *timer)
{
  struct net_server *server = timer->data;
  struct net_connection *connection;
  struct net_connection *next;

  if (net_turns_defer (timer, on_timeout_check))
    return;
  cds_list_for_each_entry_safe (connection, next, &server->connections, node)
      check_timeouts (connection, uv_now (server->loop));
}

int
net_server_init (struct net_server *server, uv_loop_t *loop,
                 const struct cp_address *address,
                 const struct net_server_limits *limits,
                 const struct net_server_events *events, void *context)
{
  int error;

  *server = (struct net_server){ .loop = loop,
                                 .limits = *limits,
                                 .body_budget = { .max = SIZE_MAX },
                                 .events = events,
                                 .context = context };
  CDS_INIT_LIST_HEAD (&server->connections);
  error = net_listen (&server->listener, loop, address, on_accept);
  server->listener.data = server;
  if (error != 0)
    return error;
  server->listening = true;
  uv_timer_init (loop, &server->timeout_check);
  server->timeout_check.data = server;
  uv_timer_start (&server->timeout_check, on_timeout_check, TIMEOUT_CHECK_MS,
                  TIMEOUT_CHECK_MS);
  return 0;
}

static void
stop_listening (struct net_server *server)
{
  if (!server->listening)
    return;
  server->listening = false;
  uv_close ((uv_handle_t *)&server->listener, NULL);
}

/* Accepts no more requests on CONNECTION, but for one that has arrived in
   part.  */
static void
connection_drain (struct net_connection *connection)
{
  if (is_receiving (connection))
    return;
  connection->ending = true;
  if (connection->n_exchanges == 0)
    connection_shutdown (connection);
}

void
net_server_drain (struct net_server *server)
{
  struct net_connection *connection;

  server->draining = true;
  stop_listening (server);
  cds_list_for_each_entry (connection, &server->connections, node)
      connection_drain (connection);
}

void
net_server_finish (struct net_server *server)
{
  struct net_connection *connection;
  struct net_connection *next;

  stop_listening (server);
  if (!uv_is_closing ((uv_handle_t *)&server->timeout_check))
    uv_close ((uv_handle_t *)&server->timeout_check, NULL);
  cds_list_for_each_entry_safe (connection, next, &server->connections, node)
      connection_close (connection);
}

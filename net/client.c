#include "net/client.h"

const char *const net_failure_names[NET_FAILURE_COUNT]
    = { "no-connection", "unsent",  "reset",    "ended",
        "cut",           "garbled", "too-long", "idle-ended" };

static void
fail (struct net_client *client, enum net_failure failure)
{
  if (client->failed)
    return;
  client->failed = true;
  client->reusable = false;
  client->events->failed (client, failure);
}

static void
on_connected (struct net_stream *stream, int error)
{
  struct net_client *client = stream->context;

  if (error != 0)
    {
      fail (client, NET_FAILED_CONNECT);
      return;
    }
  client->is_connected = true;
  client->reusable = true;
  client->events->connected (client);
}

/* Skips an interim response.  Returns whether another response is awaited,
   which it is not when a server sends interim ones without end.  */
static bool
skip_interim (struct net_client *client)
{
  const struct net_limits *limits = &client->response.limits;

  client->interim_bytes += client->response.head_bytes;
  if (limits->head > 0 && client->interim_bytes > limits->head)
    {
      fail (client, NET_FAILED_GARBLED);
      return false;
    }
  net_message_reset (&client->response);
  return true;
}

/* Passes a complete response to the owner; interim (1xx) responses are
   skipped.  LEFT is the number of bytes that follow it.  Returns whether
   another response is awaited.  */
static bool
handle_response (struct net_client *client, size_t left)
{
  unsigned status = client->response.parser.status_code;

  /* No request asks for another protocol, so what follows is no HTTP.  */
  if (status == 101)
    {
      fail (client, NET_FAILED_GARBLED);
      return false;
    }
  if (status >= 100 && status < 200)
    return skip_interim (client);
  client->awaiting_response = false;
  client->reusable = client->response.keep_alive && left == 0
                     && !client->response.ends_at_close;
  if (!client->events->responded (client, &client->response))
    {
      client->awaiting_response = true;
      client->reusable = false;
    }
  if (client->stream.closing || client->failed)
    return false;
  net_message_reset (&client->response);
  return client->awaiting_response;
}

static void
on_data (struct net_stream *stream, const char *data, size_t length)
{
  struct net_client *client = stream->context;

  while (length > 0 && !client->failed && !stream->closing)
    {
      enum net_parse_state state;
      size_t used;

      if (!client->awaiting_response)
        {
          fail (client, NET_FAILED_IDLE);
          return;
        }
      state = net_message_feed (&client->response, data, length, &used);
      data += used;
      length -= used;
      if (state == NET_BODY_TOO_LONG || state == NET_BODY_OVER_BUDGET)
        fail (client, NET_FAILED_TOO_LONG);
      else if (state != NET_INCOMPLETE && state != NET_COMPLETE)
        fail (client, NET_FAILED_GARBLED);
      else if (state == NET_COMPLETE && !handle_response (client, length))
        return;
    }
}

/* Returns whether the response is whole now that the connection has ended in
   an orderly way.  A server may reject a request that it has not read, but a
   success without a length that ends while the request is still on its way is
   that of a server that failed meanwhile: its FIN may come before the
   reset.  */
static bool
is_whole_at_end (struct net_client *client)
{
  struct net_message *response = &client->response;

  return net_message_end (response) == NET_COMPLETE
         && (response->parser.status_code >= 300
             || net_stream_unacknowledged (&client->stream) == 0);
}

static void
on_ended (struct net_stream *stream, int error)
{
  struct net_client *client = stream->context;

  if (!client->awaiting_response)
    fail (client, NET_FAILED_IDLE);
  else if (!stream->wrote)
    fail (client, NET_FAILED_UNSENT);
  else if (!client->response.started)
    fail (client, error == UV_EOF ? NET_FAILED_ENDED : NET_FAILED_RESET);
  else if (error != UV_EOF || !is_whole_at_end (client))
    fail (client, NET_FAILED_CUT);
  else if (handle_response (client, 0))
    fail (client, NET_FAILED_ENDED);
  else
    fail (client, NET_FAILED_IDLE);
}

static void
on_released (struct net_stream *stream)
{
  struct net_client *client = stream->context;

  net_message_finish (&client->response);
  client->events->released (client);
}

static const struct net_stream_events stream_events
    = { .connected = on_connected,
        .data = on_data,
        .ended = on_ended,
        .released = on_released };

void
net_client_connect (struct net_client *client, uv_loop_t *loop,
                    const struct cp_address *address,
                    const struct net_limits *limits,
                    const struct net_client_events *events, void *context)
{
  *client = (struct net_client){ .events = events, .context = context };
  net_message_init (&client->response, HTTP_RESPONSE, limits);
  net_stream_connect (&client->stream, loop, address, &stream_events, client);
}

void
net_client_send (struct net_client *client, GByteArray *request, bool bodiless)
{
  client->awaiting_response = true;
  client->reusable = false;
  client->response.bodiless = bodiless;
  client->interim_bytes = 0;
  net_stream_clear_wrote (&client->stream);
  net_stream_write (&client->stream, request);
}

void
net_client_close (struct net_client *client)
{
  client->failed = true;
  client->reusable = false;
  net_stream_close (&client->stream);
}

bool
net_client_is_writing (const struct net_client *client)
{
  return client->stream.unwritten > 0;
}

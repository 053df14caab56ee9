/* libFuzzer: any bytes are read as an HTTP message, a peer message, a
   configuration and a server's entry without a crash or a leak.  The first
   byte chooses which.  */
#include <stdint.h>
#include <string.h>

#include "meshd/wire.h"
#include "net/message.h"
#include "platform/decode.h"
#include "platform/headers.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

/* Feeds DATA in pieces of STEP bytes.  */
static void
read_message (enum http_parser_type kind, const char *data, size_t size,
              size_t step)
{
  static const struct net_limits limits = { .head = 4096, .body = 8192 };
  struct net_message message;
  struct platform_response answer;
  GString *head = g_string_new (NULL);
  enum net_parse_state state = NET_INCOMPLETE;

  net_message_init (&message, kind, &limits);
  while (size > 0 && state == NET_INCOMPLETE)
    {
      size_t used;
      size_t length = MIN (step, size);

      state = net_message_feed (&message, data, length, &used);
      data += length;
      size -= length;
    }
  if (state == NET_INCOMPLETE)
    state = net_message_end (&message);
  if (state == NET_COMPLETE)
    {
      platform_read_response (&answer, &message.headers);
      platform_write_request (head, &message.headers, "service");
      platform_write_response (head, &message.headers);
    }
  g_string_free (head, TRUE);
  net_message_finish (&message);
}

static void
read_peer_message (const char *data, size_t size)
{
  char *copy = g_memdup2 (data, size);
  struct cp_peer_message message;

  if (mesh_message_decode (&message, copy, size))
    mesh_message_free (&message);
  g_free (copy);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  const char *text = (const char *)data + 1;
  struct cp_route_table *table = NULL;
  struct platform_server server;
  struct cp_error error;

  if (size < 2)
    return 0;
  size--;
  switch (data[0] % 5)
    {
    case 0:
      read_message (HTTP_REQUEST, text, size, 1 + data[0]);
      break;
    case 1:
      read_message (HTTP_RESPONSE, text, size, 1 + data[0]);
      break;
    case 2:
      read_peer_message (text, size);
      break;
    case 3:
      if (platform_decode_table (text, size, NULL, &table, &error) == 0)
        {
          struct cp_route_table *old = table;

          struct cp_route_table_entry *route
              = cp_route_table_find (table, "a.test", "/");

          if (route != NULL)
            cp_route_table_pick_service (route);
          /* Routes and fields with a fault are taken over from the first.  */
          if (platform_decode_table (text, size, old, &table, &error) == 0)
            cp_route_table_unref (table);
          cp_route_table_unref (old);
        }
      break;
    default:
      if (platform_decode_server (&server, "i-1", text, size, &error) == 0)
        platform_server_finish (&server);
    }
  return 0;
}

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/address.h"

static bool
parse_port (const char *text, in_port_t *port)
{
  char *end;
  long value;

  if (*text < '0' || *text > '9')
    return false;
  value = strtol (text, &end, 10);
  if (*end != '\0' || value < 1 || value > CP_PORT_MAX)
    return false;
  *port = htons ((in_port_t)value);
  return true;
}

static bool
parse_v6 (struct cp_address *address, const char *text)
{
  char host[INET6_ADDRSTRLEN];
  const char *end = strchr (text, ']');
  size_t length;

  if (end == NULL || end[1] != ':')
    return false;
  length = (size_t)(end - text - 1);
  if (length >= sizeof host)
    return false;
  memcpy (host, text + 1, length);
  host[length] = '\0';
  address->socket.v6.sin6_family = AF_INET6;
  address->length = sizeof address->socket.v6;
  return inet_pton (AF_INET6, host, &address->socket.v6.sin6_addr) == 1
         && parse_port (end + 2, &address->socket.v6.sin6_port);
}

static bool
parse_v4 (struct cp_address *address, const char *text)
{
  char host[INET_ADDRSTRLEN];
  const char *end = strchr (text, ':');
  size_t length;

  if (end == NULL)
    return false;
  length = (size_t)(end - text);
  if (length >= sizeof host)
    return false;
  memcpy (host, text, length);
  host[length] = '\0';
  address->socket.v4.sin_family = AF_INET;
  address->length = sizeof address->socket.v4;
  return inet_pton (AF_INET, host, &address->socket.v4.sin_addr) == 1
         && parse_port (end + 1, &address->socket.v4.sin_port);
}

bool
cp_address_parse (struct cp_address *address, const char *text)
{
  memset (address, 0, sizeof *address);
  if (text == NULL || strlen (text) >= sizeof address->text)
    return false;
  snprintf (address->text, sizeof address->text, "%s", text);
  if (text[0] == '[')
    return parse_v6 (address, text);
  return parse_v4 (address, text);
}

unsigned
cp_address_port (const struct cp_address *address)
{
  if (address->socket.any.sa_family == AF_INET6)
    return ntohs (address->socket.v6.sin6_port);
  return ntohs (address->socket.v4.sin_port);
}

bool
cp_address_same_host (const struct cp_address *a, const struct cp_address *b)
{
  if (a->socket.any.sa_family != b->socket.any.sa_family)
    return false;
  if (a->socket.any.sa_family == AF_INET6)
    return memcmp (&a->socket.v6.sin6_addr, &b->socket.v6.sin6_addr,
                   sizeof a->socket.v6.sin6_addr)
           == 0;
  return a->socket.v4.sin_addr.s_addr == b->socket.v4.sin_addr.s_addr;
}

void
cp_address_rpc (const struct cp_address *peers, struct cp_address *rpc)
{
  unsigned port = cp_address_port (peers) + 1;
  const char *end = strrchr (peers->text, ':');
  char text[CP_ADDRESS_TEXT_BYTES];

  snprintf (text, sizeof text, "%.*s:%u", (int)(end - peers->text),
            peers->text, port);
  cp_address_parse (rpc, text);
}

void
cp_address_host (const struct cp_address *address, char *text, size_t size)
{
  const void *number = &address->socket.v4.sin_addr;

  if (address->socket.any.sa_family == AF_INET6)
    number = &address->socket.v6.sin6_addr;
  inet_ntop (address->socket.any.sa_family, number, text, (socklen_t)size);
}

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib/address.h"
#include "regress/harness/flood_server.h"
#include "regress/harness/harness.h"

#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n\r\n"
#define POLL_MS 50

/* Bytes that are sent at once, at least.  */
#define BLOCK_BYTES 65536

const struct flood floods[] = {
  { "status line", "HTTP/1.1 200 ", "x" },
  { "field", OK "X-Long: ", "x" },
  { "fields", OK, "X-More: a\r\n" },
  { "interim answers", "", "HTTP/1.1 103 Early Hints\r\nX-More: a\r\n\r\n" },
  { "blank lines", "", "\r\n" },
  { "noise", "", "\001\002noise" },
  { "body", OK "\r\n", "x" },
  { "chunks", CHUNKED, "5\r\nwhole\r\n" },
  { "chunk", CHUNKED "fffffffffff\r\n", "x" },
  { "chunk extension", CHUNKED "5;", "x" },
  { "trailer field", CHUNKED "5\r\nwhole\r\n0\r\nX-Long: ", "x" },
  { "trailer fields", CHUNKED "5\r\nwhole\r\n0\r\n", "X-More: a\r\n" },
};

const unsigned n_floods = sizeof floods / sizeof floods[0];

const struct flood *
flood_find (const char *name)
{
  unsigned i = 0;

  while (strcmp (floods[i].name, name) != 0)
    harness_require (++i < n_floods, "there is no flood \"%s\"", name);
  return &floods[i];
}

struct flood_connection
{
  struct flood_server *server;
  int fd;
};

static bool
is_stopping (const struct flood_server *server)
{
  return __atomic_load_n (&server->stop, __ATOMIC_ACQUIRE);
}

/* Sends as much of DATA as the caller takes.  Returns false when it has closed
   the connection or the server is to stop.  */
static bool
send_all (struct flood_server *server, int fd, const char *data, size_t length)
{
  while (length > 0)
    {
      struct pollfd poller = { .fd = fd, .events = POLLOUT };
      ssize_t count;

      if (is_stopping (server))
        return false;
      if (poll (&poller, 1, POLL_MS) == 0)
        continue;
      count = send (fd, data, length, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (count < 0 && errno == EAGAIN)
        continue;
      if (count <= 0)
        return false;
      __atomic_fetch_add (&server->sent, (uint64_t)count, __ATOMIC_RELAXED);
      data += count;
      length -= (size_t)count;
    }
  return true;
}

/* Waits for the first bytes of a request.  */
static bool
wait_for_request (const struct flood_server *server, int fd)
{
  struct pollfd poller = { .fd = fd, .events = POLLIN };
  char buffer[4096];

  while (!is_stopping (server))
    if (poll (&poller, 1, POLL_MS) > 0)
      return recv (fd, buffer, sizeof buffer, 0) > 0;
  return false;
}

static void *
serve (void *context)
{
  struct flood_connection *connection = context;
  struct flood_server *server = connection->server;
  const struct flood *flood = server->flood;
  GString *block = g_string_new (NULL);

  while (block->len < BLOCK_BYTES)
    g_string_append (block, flood->unit);
  if (wait_for_request (server, connection->fd)
      && send_all (server, connection->fd, flood->begin,
                   strlen (flood->begin)))
    while (send_all (server, connection->fd, block->str, block->len))
      continue;
  close (connection->fd);
  g_string_free (block, TRUE);
  g_free (connection);
  return NULL;
}

static void *
accept_all (void *context)
{
  struct flood_server *server = context;

  while (!is_stopping (server)
         && server->n_connections < FLOOD_CONNECTIONS_MAX)
    {
      struct pollfd poller = { .fd = server->listen_fd, .events = POLLIN };
      struct flood_connection *connection;

      if (poll (&poller, 1, POLL_MS) <= 0)
        continue;
      connection = g_new0 (struct flood_connection, 1);
      connection->server = server;
      connection->fd = accept4 (server->listen_fd, NULL, NULL, SOCK_CLOEXEC);
      pthread_create (&server->connections[server->n_connections++], NULL,
                      serve, connection);
    }
  return NULL;
}

void
flood_server_start (struct flood_server *server, const char *address,
                    const struct flood *flood)
{
  struct cp_address own;
  int one = 1;

  memset (server, 0, sizeof *server);
  server->flood = flood;
  harness_require (cp_address_parse (&own, address), "%s", address);
  server->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (server->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  harness_require (
      bind (server->listen_fd, &own.socket.any, own.length) == 0
          && listen (server->listen_fd, SOMAXCONN) == 0
          && pthread_create (&server->thread, NULL, accept_all, server) == 0,
      "cannot listen at %s", address);
}

void
flood_server_stop (struct flood_server *server)
{
  __atomic_store_n (&server->stop, true, __ATOMIC_RELEASE);
  pthread_join (server->thread, NULL);
  for (unsigned i = 0; i < server->n_connections; i++)
    pthread_join (server->connections[i], NULL);
  close (server->listen_fd);
}

uint64_t
flood_server_sent (struct flood_server *server)
{
  return __atomic_load_n (&server->sent, __ATOMIC_RELAXED);
}

#include <check.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib/address.h"
#include "lib/cleanup.h"
#include "regress/harness/relay.h"

#define BUFFER_BYTES 65536
#define POLL_MS 20

static int
connect_to_server (const struct relay *relay, const struct cp_address *from)
{
  struct cp_address server;
  struct cp_address own = *from;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  ck_assert (cp_address_parse (&server, relay->server));
  own.socket.v4.sin_port = 0;
  ck_assert_int_eq (bind (fd, &own.socket.any, own.length), 0);
  if (connect (fd, &server.socket.any, server.length) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
accept_one (struct relay *relay, const struct cp_address *from)
{
  int client = accept4 (relay->listen_fd, NULL, NULL, SOCK_CLOEXEC);
  int server;
  int one = 1;

  if (client < 0)
    return;
  server = connect_to_server (relay, from);
  if (server < 0 || relay->n_connections == RELAY_CONNECTIONS_MAX)
    {
      close (client);
      if (server >= 0)
        close (server);
      return;
    }
  setsockopt (client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  setsockopt (server, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  relay->connections[relay->n_connections++]
      = (struct relayed){ { client, server }, RELAY_PASS };
}

static void
close_both (struct relayed *relayed)
{
  close (relayed->ends[0]);
  close (relayed->ends[1]);
  relayed->ends[0] = relayed->ends[1] = -1;
}

/* Passes bytes on from one end, or drops them.  */
static void
pass (struct relay *relay, struct relayed *relayed, unsigned from)
{
  static char buffer[BUFFER_BYTES];
  bool drop = relayed->mode == RELAY_SWALLOW
              || (relayed->mode == RELAY_DROP_ANSWER && from == 1);
  ssize_t count = recv (relayed->ends[from], buffer, sizeof buffer, 0);
  ssize_t sent = 0;

  if (count <= 0)
    {
      close_both (relayed);
      return;
    }
  if (drop)
    {
      relay->bytes_swallowed += (unsigned)count;
      return;
    }
  while (sent < count)
    {
      ssize_t part = send (relayed->ends[1 - from], buffer + sent,
                           (size_t)(count - sent), MSG_NOSIGNAL);

      if (part <= 0)
        {
          close_both (relayed);
          return;
        }
      sent += part;
    }
}

static void
serve_ready (struct relay *relay, const struct pollfd *fds,
             const unsigned *owners, nfds_t count)
{
  for (nfds_t i = 2; i < count; i++)
    {
      struct relayed *relayed = &relay->connections[owners[i] / 2];

      if (fds[i].revents != 0 && relayed->ends[0] == fds[i].fd)
        pass (relay, relayed, 0);
      else if (fds[i].revents != 0 && relayed->ends[1] == fds[i].fd)
        pass (relay, relayed, 1);
    }
}

static void *
run (void *context)
{
  struct relay *relay = context;
  struct cp_address from;

  ck_assert (cp_address_parse (&from, relay->from));
  for (;;)
    {
      struct pollfd fds[2 * RELAY_CONNECTIONS_MAX + 2];
      unsigned owners[2 * RELAY_CONNECTIONS_MAX + 2];
      nfds_t count = 2;

      fds[0] = (struct pollfd){ .fd = relay->stop_fd, .events = POLLIN };
      fds[1] = (struct pollfd){ .fd = relay->listen_fd, .events = POLLIN };
      pthread_mutex_lock (&relay->lock);
      for (unsigned i = 0; !relay->held && i < 2 * relay->n_connections; i++)
        if (relay->connections[i / 2].ends[i % 2] >= 0)
          {
            owners[count] = i;
            fds[count++]
                = (struct pollfd){ .fd = relay->connections[i / 2].ends[i % 2],
                                   .events = POLLIN };
          }
      pthread_mutex_unlock (&relay->lock);
      poll (fds, count, POLL_MS);
      if (fds[0].revents != 0)
        return NULL;
      CP_LOCK_SCOPE (&relay->lock);
      if (fds[1].revents != 0)
        accept_one (relay, &from);
      if (!relay->held)
        serve_ready (relay, fds, owners, count);
    }
}

void
relay_start (struct relay *relay, const char *address, const char *from,
             const char *server)
{
  struct cp_address own;
  int one = 1;

  memset (relay, 0, sizeof *relay);
  pthread_mutex_init (&relay->lock, NULL);
  g_strlcpy (relay->server, server, sizeof relay->server);
  g_strlcpy (relay->from, from, sizeof relay->from);
  ck_assert (cp_address_parse (&own, address));
  relay->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (relay->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  ck_assert_int_eq (bind (relay->listen_fd, &own.socket.any, own.length), 0);
  ck_assert_int_eq (listen (relay->listen_fd, SOMAXCONN), 0);
  relay->stop_fd = eventfd (0, EFD_CLOEXEC);
  ck_assert_int_eq (pthread_create (&relay->thread, NULL, run, relay), 0);
}

void
relay_stop (struct relay *relay)
{
  eventfd_write (relay->stop_fd, 1);
  pthread_join (relay->thread, NULL);
  for (unsigned i = 0; i < relay->n_connections; i++)
    if (relay->connections[i].ends[0] >= 0)
      close_both (&relay->connections[i]);
  close (relay->listen_fd);
  close (relay->stop_fd);
}

void
relay_silence (struct relay *relay, enum relay_mode mode)
{
  CP_LOCK_SCOPE (&relay->lock);
  for (unsigned i = 0; i < relay->n_connections; i++)
    relay->connections[i].mode = mode;
}

void
relay_hold (struct relay *relay, bool held)
{
  CP_LOCK_SCOPE (&relay->lock);
  relay->held = held;
}

unsigned
relay_swallowed (struct relay *relay)
{
  CP_LOCK_SCOPE (&relay->lock);
  return relay->bytes_swallowed;
}

unsigned
relay_connections (struct relay *relay)
{
  CP_LOCK_SCOPE (&relay->lock);
  return relay->n_connections;
}

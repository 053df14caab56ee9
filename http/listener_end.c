/* Shutdown of a listener without resetting connections: all callers that have
   connected are served.  */
#include <errno.h>
#include <linux/filter.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/internal.h"
#include "lib/log.h"

/* Offset of the flags in the TCP header, and two flags (RFC 9293, section
   3.1).  */
#define TCP_FLAGS_OFFSET 13
#define TCP_FLAG_SYN 0x02
#define TCP_FLAG_ACK 0x10

/* How long the accept queue must have been empty before a listening socket is
   closed.  This exceeds the round trip within a region, 3 ms, so that
   handshakes under way can complete.  */
#define EMPTY_QUEUE_MS 20

/* Limit of the wait for the accept queue to become empty.  CivetWeb polls its
   listening sockets at least every 200 ms.  */
#define ACCEPT_WAIT_MS_MAX 500

/* Returns whether FD is a socket that listens on ADDRESS.  */
static bool
listens_on (int fd, const struct cp_address *address)
{
  struct sockaddr_storage own = { 0 };
  socklen_t own_length = sizeof own;
  int listens = 0;
  socklen_t listens_length = sizeof listens;

  return getsockopt (fd, SOL_SOCKET, SO_ACCEPTCONN, &listens, &listens_length)
             == 0
         && listens != 0
         && getsockname (fd, (struct sockaddr *)&own, &own_length) == 0
         && own_length == address->length
         && memcmp (&own, &address->socket, own_length) == 0;
}

/* Drops the SYN segments of new connections at the listening socket FD without
   an answer.  The caller retransmits its SYN after a second; by then the
   socket is closed and the connection is refused.  */
static void
drop_new_connections (int fd)
{
  struct sock_filter drop_syn[] = {
    BPF_STMT (BPF_LD | BPF_B | BPF_ABS, TCP_FLAGS_OFFSET),
    BPF_STMT (BPF_ALU | BPF_AND | BPF_K, TCP_FLAG_SYN | TCP_FLAG_ACK),
    BPF_JUMP (BPF_JMP | BPF_JEQ | BPF_K, TCP_FLAG_SYN, 0, 1),
    BPF_STMT (BPF_RET | BPF_K, 0),
    BPF_STMT (BPF_RET | BPF_K, UINT32_MAX),
  };
  struct sock_fprog program
      = { .len = G_N_ELEMENTS (drop_syn), .filter = drop_syn };

  if (setsockopt (fd, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program)
      != 0)
    cp_log (CP_LOG_WARNING, CP_PART_HTTP,
            "Cannot attach a filter to the listening socket; connections that "
            "arrive during shutdown may be reset: %s.",
            strerror (errno));
}

/* Waits until the accept queue of FD has been empty for EMPTY_QUEUE_MS, since
   queued connections are reset when the socket closes.  */
static void
wait_until_accepted (int fd)
{
  unsigned empty_ms = 0;

  for (unsigned ms = 0; ms < ACCEPT_WAIT_MS_MAX && empty_ms < EMPTY_QUEUE_MS;
       ms++)
    {
      struct pollfd waiting = { .fd = fd, .events = POLLIN };

      empty_ms = poll (&waiting, 1, 0) == 0 ? empty_ms + 1 : 0;
      usleep (1000);
    }
}

static void
stop_accepting (int fd)
{
  drop_new_connections (fd);
  wait_until_accepted (fd);
  shutdown (fd, SHUT_RD);
}

/* CivetWeb closes its listening sockets only after its threads have ended;
   connections accepted in between would be lost.  */
void
listener_stop_accepting (struct listener *listener)
{
  for (int fd = 0; listener->server != NULL && fd < DESCRIPTORS_SCANNED_MAX;
       fd++)
    if (listens_on (fd, &listener->address))
      stop_accepting (fd);
}

/* Returns whether FD is a connection to the local port PORT that has unread
   bytes.  */
static bool
has_unread (int fd, in_port_t port)
{
  struct sockaddr_storage own = { 0 };
  socklen_t own_length = sizeof own;
  char byte;

  if (getsockname (fd, (struct sockaddr *)&own, &own_length) != 0
      || (own.ss_family != AF_INET && own.ss_family != AF_INET6)
      || ((struct sockaddr_in *)&own)->sin_port != port)
    return false;
  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

bool
listener_has_unread (const struct listener *listener)
{
  /* The port has the same offset in IPv4 and IPv6 addresses.  */
  in_port_t port = listener->address.socket.v4.sin_port;

  for (int fd = 0; listener->server != NULL && fd < DESCRIPTORS_SCANNED_MAX;
       fd++)
    if (has_unread (fd, port))
      return true;
  return false;
}

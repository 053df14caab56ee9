#include <errno.h>
#include <netdb.h>
#include <netinet/in.h>
#include <poll.h>
#include <rpc/rpc.h>
#include <rpc/rpc_com.h>
#include <string.h>
#include <sys/eventfd.h>
#include <sys/socket.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"
#include "rpc/cornelpick.h"

#define UDP_BYTES_MAX 16384
#define TCP_RECORD_BYTES_MAX 2097152
#define TCP_CONNECTIONS_MAX 256
/* The first retransmission comes after this fraction of the timeout.  */
#define RETRY_TIMEOUT_DIVISOR 3
/* Fences with a start-by time further ahead than this are refused.  */
#define START_BY_AHEAD_MAX_US (CP_ATTEMPT_TABLE_KEEP_MAX_US + CP_US_PER_S)

/* libtirpc registers services per process and passes no context to their
   procedures.  */
static struct daemon *served;

void cp_rpc_program_1 (struct svc_req *request, SVCXPRT *transport);

bool_t
cp_rpc_load_1_svc (void *unused, cp_rpc_load *reply, struct svc_req *request)
{
  struct cp_load_report report;

  (void)unused;
  (void)request;
  daemon_count (served, COUNT_RPC_CALLS);
  memset (reply, 0, sizeof *reply);
  if (!measure_allow_query (&served->measure))
    return FALSE;
  inbound_report (&served->inbound, &report);
  reply->incarnation = report.incarnation;
  reply->life = strdup (cp_daemon_state_names[report.life]);
  reply->in_flight = report.in_flight;
  reply->queued = report.queued;
  reply->limit = report.limit;
  reply->latency_us = report.latency_us;
  reply->errors_permille = report.errors_permille;
  reply->age_us = report.age_us;
  reply->clock_us = cp_clock_now_us (served->clock);
  return TRUE;
}

/* Records the state of an attempt after a fence or a query.  */
static void
record_fence (const struct cp_id *attempt, enum cp_attempt_state state)
{
  struct cp_decision decision
      = { .kind = CP_DECISION_FENCED, .attempt = *attempt };

  g_strlcpy (decision.reason, cp_attempt_names.states[state],
             sizeof decision.reason);
  daemon_record (served, &decision);
}

bool_t
cp_rpc_fence_1_svc (cp_rpc_fence_args *args, cp_rpc_fence_reply *reply,
                    struct svc_req *request)
{
  struct cp_id id;
  enum cp_attempt_state state;
  enum cp_attempt_table_result result;

  (void)request;
  daemon_count (served, COUNT_RPC_CALLS);
  memcpy (id.bytes, args->attempt, sizeof id.bytes);
  reply->incarnation = served->incarnation;
  if (args->incarnation != served->incarnation)
    {
      reply->status = CP_RPC_OTHER_INCARNATION;
      return TRUE;
    }
  if (args->start_by_us
      > cp_clock_now_us (served->clock) + START_BY_AHEAD_MAX_US)
    {
      daemon_count (served, COUNT_RPC_REFUSED);
      reply->status = CP_RPC_FENCE_LATE;
      return TRUE;
    }
  result = cp_attempt_table_step (&served->inbound.attempts, &id,
                                  args->cancel ? CP_ATTEMPT_FENCE
                                               : CP_ATTEMPT_QUERY,
                                  args->start_by_us, &state);
  record_fence (&id, state);
  if (result == CP_ATTEMPT_TABLE_FULL)
    reply->status = CP_RPC_FENCE_FULL;
  else if (result == CP_ATTEMPT_TABLE_LATE)
    reply->status = CP_RPC_FENCE_LATE;
  else if (state == CP_ATTEMPT_FENCED || state == CP_ATTEMPT_CANCELLED)
    reply->status = CP_RPC_FENCED;
  else if (state == CP_ATTEMPT_STARTED || state == CP_ATTEMPT_QUEUED)
    reply->status = CP_RPC_STARTED;
  else
    reply->status = CP_RPC_ANSWERED;
  return TRUE;
}

int
cp_rpc_program_1_freeresult (SVCXPRT *transport, xdrproc_t routine,
                             caddr_t result)
{
  (void)transport;
  xdr_free (routine, result);
  return 1;
}

/* Returns whether the sender may make this call: only members may fence
   attempts and query the load.  Digests and sections are open to VMs that no
   list names yet.  */
static bool
is_authorized (const struct svc_req *request, SVCXPRT *transport)
{
  const struct netbuf *sender = svc_getrpccaller (transport);
  const struct sockaddr *address = sender->buf;
  char ip[INET6_ADDRSTRLEN];

  if (request->rq_proc != CP_RPC_FENCE && request->rq_proc != CP_RPC_LOAD)
    return true;
  return getnameinfo (address, sender->len, ip, sizeof ip, NULL, 0,
                      NI_NUMERICHOST)
             == 0
         && members_known (&served->members, ip);
}

static void
dispatch (struct svc_req *request, SVCXPRT *transport)
{
  if (request->rq_proc <= CP_RPC_SECTION && is_authorized (request, transport))
    {
      cp_rpc_program_1 (request, transport);
      return;
    }
  daemon_count (served, COUNT_RPC_REFUSED);
  if (request->rq_proc > CP_RPC_SECTION)
    svcerr_noproc (transport);
  else
    svcerr_weakauth (transport);
}

/* Serves UDP, for short messages such as fences and digests.  */
static void *
serve_udp (void *context)
{
  struct rpc_server *server = context;
  struct pollfd fds[2] = { { .fd = server->udp_fd, .events = POLLIN },
                           { .fd = server->stop_fd, .events = POLLIN } };

  for (;;)
    {
      if (poll (fds, 2, -1) < 0 && errno != EINTR)
        break;
      if (fds[1].revents != 0)
        break;
      if (fds[0].revents != 0)
        svc_getreq_common (server->udp_fd);
    }
  return NULL;
}

/* Serves TCP.  Only this thread adds and removes connections.  */
static void *
serve_tcp (void *context)
{
  struct rpc_server *server = context;

  for (;;)
    {
      struct pollfd fds[TCP_CONNECTIONS_MAX + 1];
      nfds_t count = 1;

      fds[0] = (struct pollfd){ .fd = server->stop_fd, .events = POLLIN };
      for (int i = 0; i < svc_max_pollfd && count <= TCP_CONNECTIONS_MAX; i++)
        if (svc_pollfd[i].fd >= 0 && svc_pollfd[i].fd != server->udp_fd)
          fds[count++]
              = (struct pollfd){ .fd = svc_pollfd[i].fd, .events = POLLIN };
      if (poll (fds, count, -1) < 0 && errno != EINTR)
        break;
      if (fds[0].revents != 0)
        break;
      for (nfds_t i = 1; i < count; i++)
        if (fds[i].revents != 0)
          svc_getreq_common (fds[i].fd);
    }
  return NULL;
}

static int
open_socket (const struct cp_address *address, int type,
             struct cp_error *error)
{
  int one = 1;
  int fd = socket (address->socket.any.sa_family, type | SOCK_CLOEXEC, 0);

  if (fd >= 0)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (fd >= 0 && bind (fd, &address->socket.any, address->length) == 0
      && (type == SOCK_DGRAM || listen (fd, SOMAXCONN) == 0))
    return fd;
  cp_error_set (error, CP_ERROR_NETWORK, address->text,
                "choose another \"peers\" address; RPC takes the next port",
                "cannot open the RPC port: %s", strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

static bool
register_program (const struct rpc_server *server)
{
  int record = TCP_RECORD_BYTES_MAX;
  SVCXPRT *udp;
  SVCXPRT *tcp;

  rpc_control (RPC_SVC_CONNMAXREC_SET, &record);
  udp = svc_dg_create (server->udp_fd, UDP_BYTES_MAX, UDP_BYTES_MAX);
  tcp = svc_vc_create (server->tcp_fd, 0, 0);
  if (udp == NULL || tcp == NULL)
    return false;
  return svc_reg (udp, CP_RPC_PROGRAM, CP_RPC_V1, dispatch, NULL)
         && svc_reg (tcp, CP_RPC_PROGRAM, CP_RPC_V1, dispatch, NULL);
}

int
rpc_start (struct rpc_server *server, struct daemon *daemon,
           struct cp_error *error)
{
  const struct cp_address *address = &daemon->settings.rpc_listen;

  memset (server, 0, sizeof *server);
  server->daemon = daemon;
  served = daemon;
  server->udp_fd = open_socket (address, SOCK_DGRAM, error);
  if (server->udp_fd < 0)
    return -1;
  server->tcp_fd = open_socket (address, SOCK_STREAM, error);
  if (server->tcp_fd < 0)
    return -1;
  server->stop_fd = eventfd (0, EFD_CLOEXEC);
  if (server->stop_fd < 0 || !register_program (server)
      || pthread_create (&server->udp_thread, NULL, serve_udp, server) != 0
      || pthread_create (&server->tcp_thread, NULL, serve_tcp, server) != 0)
    return cp_error_set (error, CP_ERROR_NETWORK, address->text,
                         "raise the limits of files and threads",
                         "cannot serve RPC");
  server->running = true;
  return 0;
}

void
rpc_stop (struct rpc_server *server)
{
  uint64_t one = 1;

  if (!server->running)
    return;
  if (write (server->stop_fd, &one, sizeof one) != sizeof one)
    cp_log (CP_LOG_ERROR, CP_PART_RPC, "Cannot end the RPC threads.");
  pthread_join (server->udp_thread, NULL);
  pthread_join (server->tcp_thread, NULL);
  svc_exit ();
  server->running = false;
}

/* RPC client for one call, with its own socket.  */
struct rpc_client
{
  int fd;
  CLIENT *client;
};

static void
close_client (struct rpc_client *client)
{
  if (client->client != NULL)
    clnt_destroy (client->client);
  if (client->fd >= 0)
    close (client->fd);
}

/* Binds to the IP address of this daemon, by which peers identify it.  */
static bool
bind_local (int fd)
{
  struct cp_address own = served->settings.peers;

  if (own.socket.any.sa_family == AF_INET6)
    own.socket.v6.sin6_port = 0;
  else
    own.socket.v4.sin_port = 0;
  return bind (fd, &own.socket.any, own.length) == 0;
}

static bool
open_client (struct rpc_client *client, const struct cp_address *address,
             uint64_t timeout_us)
{
  struct cp_address rpc;
  struct netbuf server = { .maxlen = sizeof rpc.socket, .buf = &rpc.socket };
  struct timeval timeout = { .tv_sec = (time_t)(timeout_us / CP_US_PER_S),
                             .tv_usec = (long)(timeout_us % CP_US_PER_S) };
  uint64_t retry_us = timeout_us / RETRY_TIMEOUT_DIVISOR;
  struct timeval retry = { .tv_sec = (time_t)(retry_us / CP_US_PER_S),
                           .tv_usec = (long)(retry_us % CP_US_PER_S) };

  cp_address_rpc (address, &rpc);
  server.len = rpc.length;
  client->client = NULL;
  client->fd
      = socket (address->socket.any.sa_family, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (client->fd < 0 || !bind_local (client->fd))
    return false;
  client->client = clnt_dg_create (client->fd, &server, CP_RPC_PROGRAM,
                                   CP_RPC_V1, UDP_BYTES_MAX, UDP_BYTES_MAX);
  if (client->client == NULL)
    return false;
  clnt_control (client->client, CLSET_TIMEOUT, (char *)&timeout);
  clnt_control (client->client, CLSET_RETRY_TIMEOUT, (char *)&retry);
  return true;
}

enum fence_result
rpc_fence (const struct cp_address *address, const struct cp_id *attempt,
           uint64_t incarnation, uint64_t start_by_us, bool cancel,
           uint64_t timeout_us)
{
  struct rpc_client client __attribute__ ((cleanup (close_client)));
  cp_rpc_fence_args args = { .incarnation = incarnation,
                             .start_by_us = start_by_us,
                             .cancel = cancel };
  cp_rpc_fence_reply reply;

  memset (&reply, 0, sizeof reply);
  memcpy (args.attempt, attempt->bytes, sizeof args.attempt);
  if (!open_client (&client, address, timeout_us)
      || cp_rpc_fence_1 (&args, &reply, client.client) != RPC_SUCCESS)
    return FENCE_NO_PROOF;
  switch (reply.status)
    {
    case CP_RPC_FENCED:
      return FENCE_FENCED;
    case CP_RPC_STARTED:
      return FENCE_STARTED;
    case CP_RPC_ANSWERED:
      return FENCE_ANSWERED;
    default:
      return FENCE_NO_PROOF;
    }
}

bool
rpc_load (const struct cp_address *address, struct cp_load_report *report,
          uint64_t timeout_us)
{
  struct rpc_client client __attribute__ ((cleanup (close_client)));
  cp_rpc_load reply;

  memset (&reply, 0, sizeof reply);
  if (!open_client (&client, address, timeout_us)
      || cp_rpc_load_1 (NULL, &reply, client.client) != RPC_SUCCESS)
    return false;
  report->incarnation = reply.incarnation;
  report->life = cp_daemon_state_parse (reply.life);
  report->in_flight = reply.in_flight;
  report->queued = reply.queued;
  report->limit = reply.limit;
  report->latency_us = reply.latency_us;
  report->errors_permille = reply.errors_permille;
  report->age_us = reply.age_us;
  cp_peer_clocks_update (&served->outbound.peers, address->text,
                         reply.incarnation, reply.clock_us);
  xdr_free ((xdrproc_t)xdr_cp_rpc_load, (char *)&reply);
  return true;
}

#include <stdlib.h>
#include <string.h>

#include "meshd/log.h"
#include "meshd/peers.h"
#include "net/turns.h"

#define TICK_MS 100

/* Interval between pings, which also carry our view of the store.  */
#define PING_INTERVAL_US UINT64_C (1000000)

/* Interval between pings to peers in other failure domains, one of which is
   pinged at a time: the daemons of a domain that has lost the store learn of a
   change within this time, whatever the number of peers.  A request to a peer
   that has been quiet is accompanied by a ping of its own.  */
#define PING_OTHER_DOMAIN_US UINT64_C (500000)

/* How long a ping may stay unanswered before the link is closed.  A lost
   segment is retransmitted after 200 ms.  Closing a working link by mistake
   costs a new connection, but no request.  */
#define PING_TIMEOUT_US UINT64_C (300000)

/* A ping is sent with a message if the peer has sent nothing for this long, so
   that silence is detected while the message matters.  */
#define PING_AFTER_QUIET_US UINT64_C (50000)

/* Longest record accepted before a hello, which has this much room for the
   name of the failure domain.  */
#define HELLO_BYTES_MAX (CP_PEER_NAME_MAX + 256)

/* Maximum time to connect and receive the hello.  The round trip takes 2
   ms.  */
#define CONNECT_TIMEOUT_US UINT64_C (400000)

/* Range of pauses between attempts to connect.  */
#define RECONNECT_PAUSE_MAX_US UINT64_C (1000000)
#define RECONNECT_PAUSE_MIN_US UINT64_C (100000)

/* A tick that is late by this much means that this process was stopped;
   silence during that time says nothing about the peers.  */
#define STALL_US UINT64_C (700000)

const char *const mesh_message_names[MESH_MESSAGE_KINDS]
    = { "none",    "hello",  "request", "cancel",  "answer",  "refusal",
        "failure", "load",   "ping",    "pong",    "leaving", "pull",
        "items",   "resume", "view",    "suspects" };

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

static void
send_hello (struct mesh_link *link)
{
  struct mesh_peers *peers = link->peers;
  struct cp_peer_message message = { .kind = CP_PEER_HELLO };

  message.cp_peer_message_u.hello
      = (struct cp_peer_hello){ .incarnation = peers->incarnation,
                                .clock = now_us (),
                                .view = peers->view,
                                .leaving = peers->leaving,
                                .domain = (char *)peers->domain };
  mesh_link_send (link, &message);
}

static void peer_connect (struct mesh_peer *peer, uint64_t now);

/* Closes the link of PEER.  The first reconnect follows at once.  */
static void
peer_down (struct mesh_peer *peer, const char *reason)
{
  struct mesh_peers *peers = peer->peers;
  bool was_up = peer->up;
  struct mesh_link *link = peer->link;
  uint64_t pause_us = RECONNECT_PAUSE_MIN_US << MIN (peer->failures, 4U);
  bool first = peer->failures == 0;

  if (link == NULL)
    return;
  peer->link = NULL;
  peer->up = false;
  peer->refused = link->net.connection_refused;
  peer->reconnect_at_us
      = first ? 0 : now_us () + MIN (pause_us, RECONNECT_PAUSE_MAX_US);
  peer->failures++;
  link->peer = NULL;
  net_link_close (&link->net);
  if (was_up)
    peers->n_up--;
  peers->events->down (peers->context, peer, reason);
  if (first)
    peer_connect (peer, now_us ());
}

static void
peer_up (struct mesh_peer *peer, const struct cp_peer_hello *hello)
{
  struct mesh_peers *peers = peer->peers;

  if (peer->up)
    return;
  peer->up = true;
  peer->failures = 0;
  peer->leaving = hello->leaving;
  peer->restarted
      = peer->incarnation != 0 && peer->incarnation != hello->incarnation;
  peer->incarnation = hello->incarnation;
  peers->n_up++;
  peers->events->up (peers->context, peer);
}

/* Closes older links from the same daemon: by opening a new one it has given
   them up.  */
static void
close_older_links (struct mesh_link *link)
{
  struct mesh_link *other;
  struct mesh_link *next;

  cds_list_for_each_entry_safe (
      other, next, &link->peers->incoming,
      node) if (other != link && other->incarnation == link->incarnation
                && !other->net.failed)
  {
    net_link_close (&other->net);
    link->peers->events->incoming_down (link->peers->context, other);
  }
}

static void
receive_view (struct mesh_link *link, const struct cp_peer_view *view)
{
  link->view = *view;
  link->peers->events->view (link->peers->context, link);
}

static struct cp_peer_clock *
get_clock (struct mesh_peers *peers, uint64_t incarnation)
{
  struct cp_peer_clock *clock
      = g_hash_table_lookup (peers->clocks, &incarnation);
  uint64_t *key;

  if (clock != NULL)
    return clock;
  if (g_hash_table_size (peers->clocks) >= CP_PEER_CLOCKS_MAX)
    g_hash_table_remove_all (peers->clocks);
  key = g_memdup2 (&incarnation, sizeof incarnation);
  clock = g_new0 (struct cp_peer_clock, 1);
  g_hash_table_insert (peers->clocks, key, clock);
  return clock;
}

uint64_t
mesh_link_delay_us (struct mesh_link *link, uint64_t clock_us)
{
  uint64_t now = now_us ();
  struct cp_peer_clock *clock;
  uint64_t bound_us;

  if (clock_us == 0 || link->incarnation == 0)
    return 0;
  clock = get_clock (link->peers, link->incarnation);
  cp_peer_clock_update (clock, link->incarnation, clock_us, now);
  bound_us = cp_peer_clock_bound (clock, now);
  return bound_us - MIN (bound_us, clock_us);
}

static void
receive_hello (struct mesh_link *link, const struct cp_peer_hello *hello)
{
  struct mesh_peers *peers = link->peers;

  link->net.record_max = NET_RECORD_MAX;
  link->incarnation = hello->incarnation;
  mesh_link_delay_us (link, hello->clock);
  g_free (link->domain);
  link->domain = g_strdup (hello->domain);
  link->same_domain = strcmp (link->domain, peers->domain) == 0;
  if (link->peer != NULL)
    peer_up (link->peer, hello);
  else
    {
      close_older_links (link);
      send_hello (link);
      peers->events->incoming_up (peers->context, link);
    }
  receive_view (link, &hello->view);
}

static void
answer_ping (struct mesh_link *link, const struct cp_peer_ping *ping)
{
  struct cp_peer_message message = { .kind = CP_PEER_PONG };

  message.cp_peer_message_u.ping = (struct cp_peer_ping){
    .token = ping->token, .clock = now_us (), .view = link->peers->view
  };
  mesh_link_send (link, &message);
}

static void
dispatch (struct mesh_link *link, const struct cp_peer_message *message)
{
  struct mesh_peers *peers = link->peers;

  switch (message->kind)
    {
    case CP_PEER_HELLO:
      receive_hello (link, &message->cp_peer_message_u.hello);
      break;
    case CP_PEER_PING:
      mesh_link_delay_us (link, message->cp_peer_message_u.ping.clock);
      answer_ping (link, &message->cp_peer_message_u.ping);
      receive_view (link, &message->cp_peer_message_u.ping.view);
      break;
    case CP_PEER_PONG:
      mesh_link_delay_us (link, message->cp_peer_message_u.ping.clock);
      receive_view (link, &message->cp_peer_message_u.ping.view);
      break;
    case CP_PEER_VIEW:
      receive_view (link, &message->cp_peer_message_u.view);
      break;
    default:
      if (message->kind == CP_PEER_LEAVING && link->peer != NULL)
        link->peer->leaving = true;
      peers->events->message (peers->context, link, message);
    }
}

static void on_failed (struct net_link *net, const char *reason);

static void
on_record (struct net_link *net, char *data, size_t length)
{
  struct mesh_link *link = net->context;
  struct cp_peer_message message;

  if (link->peer != NULL)
    {
      link->peer->heard_us = now_us ();
      link->peer->oldest_ping_us = 0;
    }
  if (!mesh_message_decode (&message, data, length))
    {
      on_failed (net, "record cannot be decoded");
      return;
    }
  dispatch (link, &message);
  mesh_message_free (&message);
}

static void
on_connected (struct net_link *net)
{
  send_hello (net->context);
}

static void
on_failed (struct net_link *net, const char *reason)
{
  struct mesh_link *link = net->context;

  if (link->peer != NULL)
    {
      peer_down (link->peer, reason);
      return;
    }
  net_link_close (net);
  link->peers->events->incoming_down (link->peers->context, link);
}

static void
on_released (struct net_link *net)
{
  struct mesh_link *link = net->context;

  if (link->node.next != NULL)
    cds_list_del (&link->node);
  g_free (link->domain);
  free (link);
}

static const struct net_link_events link_events = { .connected = on_connected,
                                                    .record = on_record,
                                                    .failed = on_failed,
                                                    .released = on_released };

static void
on_accept (uv_stream_t *listener, int status)
{
  struct mesh_peers *peers = listener->data;
  struct mesh_link *link;

  if (status < 0)
    return;
  link = g_new0 (struct mesh_link, 1);
  link->peers = peers;
  cds_list_add_tail (&link->node, &peers->incoming);
  net_link_accept (&link->net, listener, &link_events, link);
  link->net.record_max = HELLO_BYTES_MAX;
}

static void
peer_connect (struct mesh_peer *peer, uint64_t now)
{
  struct mesh_link *link = g_new0 (struct mesh_link, 1);

  peer->link = link;
  peer->connect_started_us = now;
  peer->heard_us = now;
  peer->oldest_ping_us = 0;
  peer->last_ping_us = now;
  link->peers = peer->peers;
  link->peer = peer;
  net_link_connect (&link->net, peer->peers->loop, &peer->address,
                    &link_events, link);
  link->net.record_max = HELLO_BYTES_MAX;
}

static void
send_ping (struct mesh_peer *peer, uint64_t now)
{
  struct cp_peer_message message = { .kind = CP_PEER_PING };

  message.cp_peer_message_u.ping = (struct cp_peer_ping){
    .token = now, .clock = now, .view = peer->peers->view
  };
  peer->last_ping_us = now;
  if (peer->oldest_ping_us == 0)
    peer->oldest_ping_us = now;
  mesh_link_send (peer->link, &message);
}

static void
check_peer (struct mesh_peer *peer, uint64_t now)
{
  if (peer->link == NULL)
    {
      if (peer->reconnect_at_us <= now)
        peer_connect (peer, now);
    }
  else if (!peer->up)
    {
      if (now - peer->connect_started_us > CONNECT_TIMEOUT_US)
        peer_down (peer, "no hello in time");
    }
  else if (peer->oldest_ping_us != 0
           && now - peer->oldest_ping_us > PING_TIMEOUT_US)
    peer_down (peer, "silence after a ping");
  else if (peer->link->same_domain
           && now - peer->last_ping_us >= PING_INTERVAL_US)
    send_ping (peer, now);
}

/* Pings the peer in another failure domain that has not been pinged for the
   longest time.  */
static void
ping_other_domain (struct mesh_peers *peers, uint64_t now)
{
  struct mesh_peer *oldest = NULL;
  struct mesh_peer *peer;

  if (now - peers->other_domain_ping_us < PING_OTHER_DOMAIN_US)
    return;
  cds_list_for_each_entry (
      peer, &peers->outgoing,
      node) if (peer->up && !peer->link->same_domain
                && (oldest == NULL
                    || peer->last_ping_us < oldest->last_ping_us)) oldest
      = peer;
  if (oldest == NULL)
    return;
  peers->other_domain_ping_us = now;
  send_ping (oldest, now);
}

/* Restarts the timeouts of all peers after this process was stopped.  */
static void
reset_silence_timers (struct mesh_peers *peers, uint64_t now)
{
  struct mesh_peer *peer;

  cds_list_for_each_entry (peer, &peers->outgoing, node)
  {
    peer->connect_started_us = now;
    peer->oldest_ping_us = peer->oldest_ping_us == 0 ? 0 : now;
  }
}

static void
on_tick (uv_timer_t *timer)
{
  struct mesh_peers *peers = timer->data;
  uint64_t now = now_us ();
  struct mesh_peer *peer;
  struct mesh_peer *next;

  if (net_turns_defer (timer, on_tick))
    return;
  if (peers->last_tick_us != 0 && now - peers->last_tick_us > STALL_US)
    reset_silence_timers (peers, now);
  peers->last_tick_us = now;
  /* Handling one peer may send messages to later ones.  Read the clock for
     each, so that a ping that was just sent does not seem to be from the
     future, which as an unsigned difference would be a very long silence.  */
  cds_list_for_each_entry_safe (peer, next, &peers->outgoing, node)
      check_peer (peer, now_us ());
  ping_other_domain (peers, now_us ());
}

int
mesh_peers_init (struct mesh_peers *peers, uv_loop_t *loop,
                 const struct cp_address *address, uint64_t incarnation,
                 const char *domain, const struct mesh_peers_events *events,
                 void *context)
{
  int error;

  *peers = (struct mesh_peers){ .loop = loop,
                                .incarnation = incarnation,
                                .domain = domain,
                                .events = events,
                                .context = context };
  CDS_INIT_LIST_HEAD (&peers->outgoing);
  CDS_INIT_LIST_HEAD (&peers->incoming);
  peers->clocks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  error = net_listen (&peers->listener, loop, address, on_accept);
  peers->listener.data = peers;
  if (error != 0)
    return error;
  uv_timer_init (loop, &peers->tick);
  peers->tick.data = peers;
  uv_timer_start (&peers->tick, on_tick, TICK_MS, TICK_MS);
  return 0;
}

struct mesh_peer *
mesh_peer_acquire (struct mesh_peers *peers, const struct cp_address *address)
{
  struct mesh_peer *peer;

  cds_list_for_each_entry (peer, &peers->outgoing,
                           node) if (strcmp (peer->address.text, address->text)
                                     == 0)
  {
    peer->n_users++;
    return peer;
  }
  peer = g_new0 (struct mesh_peer, 1);
  peer->peers = peers;
  peer->address = *address;
  peer->n_users = 1;
  cds_list_add_tail (&peer->node, &peers->outgoing);
  if (!peers->stopped)
    peer_connect (peer, now_us ());
  return peer;
}

/* Closes the link of PEER for good.  */
static void
peer_close (struct mesh_peer *peer)
{
  struct mesh_link *link = peer->link;

  if (link == NULL)
    return;
  peer->link = NULL;
  link->peer = NULL;
  net_link_close (&link->net);
  if (peer->up)
    peer->peers->n_up--;
  peer->up = false;
}

static void
peer_free (struct mesh_peer *peer)
{
  peer_close (peer);
  cds_list_del (&peer->node);
  free (peer);
}

void
mesh_peer_release (struct mesh_peer *peer)
{
  if (--peer->n_users == 0)
    peer_free (peer);
}

bool
mesh_link_send (struct mesh_link *link, const struct cp_peer_message *message)
{
  struct mesh_traffic *traffic = &link->peers->traffic;
  GByteArray *record;

  if (link->net.failed)
    return true;
  record = mesh_message_encode (message);
  if (record == NULL)
    {
      if (mesh_log_allowed (MESH_LOG_UNSENDABLE))
        mesh_log (MESH_LOG_UNSENDABLE, "\"message\":\"%s\"",
                  mesh_message_names[message->kind]);
      return false;
    }
  traffic->messages[message->kind][link->same_domain]++;
  traffic->bytes[message->kind][link->same_domain] += record->len;
  net_link_send (&link->net, record);
  return true;
}

bool
mesh_peer_send (struct mesh_peer *peer, const struct cp_peer_message *message)
{
  uint64_t now = now_us ();

  if (!peer->up || !mesh_link_send (peer->link, message))
    return false;
  if (peer->up && peer->oldest_ping_us == 0
      && now - peer->heard_us > PING_AFTER_QUIET_US)
    send_ping (peer, now);
  return true;
}

void
mesh_peers_broadcast (struct mesh_peers *peers,
                      const struct cp_peer_message *message,
                      bool own_domain_only)
{
  struct mesh_link *link;
  struct mesh_link *next;

  cds_list_for_each_entry_safe (
      link, next, &peers->incoming,
      node) if (link->incarnation != 0
                && (link->same_domain || !own_domain_only))
      mesh_link_send (link, message);
}

void
mesh_peers_for_each_link (struct mesh_peers *peers,
                          void (*visit) (void *context,
                                         struct mesh_link *link),
                          void *context)
{
  struct mesh_link *link;
  struct mesh_link *next;
  struct mesh_peer *peer;
  struct mesh_peer *next_peer;

  cds_list_for_each_entry_safe (peer, next_peer, &peers->outgoing, node)
  {
    if (peer->up)
      visit (context, peer->link);
  }
  cds_list_for_each_entry_safe (link, next, &peers->incoming, node)
  {
    if (link->incarnation != 0 && !link->same_domain)
      visit (context, link);
  }
}

void
mesh_peers_announce_leaving (struct mesh_peers *peers)
{
  struct cp_peer_message message = { .kind = CP_PEER_LEAVING };

  peers->leaving = true;
  mesh_peers_broadcast (peers, &message, false);
}

void
mesh_peers_stop (struct mesh_peers *peers)
{
  struct mesh_link *link;
  struct mesh_link *next;
  struct mesh_peer *peer;

  if (peers->stopped)
    return;
  peers->stopped = true;
  uv_close ((uv_handle_t *)&peers->listener, NULL);
  uv_close ((uv_handle_t *)&peers->tick, NULL);
  cds_list_for_each_entry_safe (link, next, &peers->incoming, node)
      net_link_close (&link->net);
  cds_list_for_each_entry (peer, &peers->outgoing, node) peer_close (peer);
}

void
mesh_peers_finish (struct mesh_peers *peers)
{
  struct mesh_peer *peer;
  struct mesh_peer *next;

  cds_list_for_each_entry_safe (peer, next, &peers->outgoing, node)
      peer_free (peer);
  g_hash_table_unref (peers->clocks);
}

bool
mesh_peers_are_sending (const struct mesh_peers *peers)
{
  const struct mesh_link *link;

  cds_list_for_each_entry (link, &peers->incoming, node)
  {
    if (!link->net.failed && net_stream_unacknowledged (&link->net.stream) > 0)
      return true;
  }
  return false;
}

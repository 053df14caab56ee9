#include <stdlib.h>
#include <string.h>

#include "meshd/peers.h"

#define TICK_MS 100

/* Time between pings.  They also tell how far the store's state is known.  */
#define PING_US UINT64_C (1000000)

/* Silence after a ping that ends a way.  A lost segment is sent again after
   200 ms; a way that is ended in error costs a new connection, no request.  */
#define SILENCE_US UINT64_C (300000)

/* A message goes out with a ping when the other daemon has not been heard for
   this long, so that silence shows while the message matters.  */
#define QUIET_US UINT64_C (50000)

/* Time to connect and hear the hello; the way there and back takes 2 ms.  */
#define CONNECT_US UINT64_C (400000)

/* Longest pause between attempts to connect.  */
#define RETRY_MOST_US UINT64_C (1000000)
#define RETRY_FIRST_US UINT64_C (100000)

/* A tick that is late by so much means that the process stood still; silence
   during it was its own.  */
#define PAUSE_US UINT64_C (700000)

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

static void
say_hello (struct mesh_link *link)
{
  struct mesh_peers *peers = link->peers;
  struct cp_peer_message message = { .kind = CP_PEER_HELLO };

  message.cp_peer_message_u.hello
      = (struct cp_peer_hello){ .incarnation = peers->incarnation,
                                .view = peers->view,
                                .leaving = peers->leaving,
                                .domain = (char *)peers->domain };
  mesh_link_send (link, &message);
}

static void way_connect (struct mesh_way *way, uint64_t now);

/* Ends the link of WAY.  The next attempt is made at once the first time.  */
static void
way_down (struct mesh_way *way, const char *reason)
{
  struct mesh_peers *peers = way->peers;
  bool was_up = way->up;
  struct mesh_link *link = way->link;
  uint64_t pause_us = RETRY_FIRST_US << MIN (way->failures, 4U);
  bool first = way->failures == 0;

  if (link == NULL)
    return;
  way->link = NULL;
  way->up = false;
  way->refused = link->link.connection_refused;
  way->retry_us = first ? 0 : now_us () + MIN (pause_us, RETRY_MOST_US);
  way->failures++;
  link->way = NULL;
  net_link_close (&link->link);
  if (was_up)
    peers->n_up--;
  peers->events->down (peers->context, way, reason);
  if (first)
    way_connect (way, now_us ());
}

static void
way_hello (struct mesh_way *way, const struct cp_peer_hello *hello)
{
  struct mesh_peers *peers = way->peers;

  if (way->up)
    return;
  way->up = true;
  way->failures = 0;
  way->leaving = hello->leaving;
  way->restarted
      = way->incarnation != 0 && way->incarnation != hello->incarnation;
  way->incarnation = hello->incarnation;
  peers->n_up++;
  peers->events->up (peers->context, way);
}

/* A daemon that opens a second way has given up the first.  */
static void
close_older (struct mesh_link *link)
{
  struct mesh_link *other;
  struct mesh_link *next;

  cds_list_for_each_entry_safe (
      other, next, &link->peers->incoming,
      node) if (other != link && other->incarnation == link->incarnation
                && !other->link.failed)
  {
    net_link_close (&other->link);
    link->peers->events->lost (link->peers->context, other);
  }
}

static void
take_view (struct mesh_link *link, const struct cp_peer_view *view)
{
  link->view = *view;
  link->peers->events->viewed (link->peers->context, link);
}

static void
take_hello (struct mesh_link *link, const struct cp_peer_hello *hello)
{
  struct mesh_peers *peers = link->peers;

  link->incarnation = hello->incarnation;
  g_free (link->domain);
  link->domain = g_strdup (hello->domain);
  if (link->way != NULL)
    way_hello (link->way, hello);
  else
    {
      close_older (link);
      say_hello (link);
      peers->events->joined (peers->context, link);
    }
  take_view (link, &hello->view);
}

static void
answer_ping (struct mesh_link *link, const struct cp_peer_ping *ping)
{
  struct cp_peer_message message = { .kind = CP_PEER_PONG };

  message.cp_peer_message_u.ping
      = (struct cp_peer_ping){ .token = ping->token,
                               .view = link->peers->view };
  mesh_link_send (link, &message);
}

static void
dispatch (struct mesh_link *link, const struct cp_peer_message *message)
{
  struct mesh_peers *peers = link->peers;

  switch (message->kind)
    {
    case CP_PEER_HELLO:
      take_hello (link, &message->cp_peer_message_u.hello);
      break;
    case CP_PEER_PING:
      answer_ping (link, &message->cp_peer_message_u.ping);
      take_view (link, &message->cp_peer_message_u.ping.view);
      break;
    case CP_PEER_PONG:
      take_view (link, &message->cp_peer_message_u.ping.view);
      break;
    case CP_PEER_VIEW:
      take_view (link, &message->cp_peer_message_u.view);
      break;
    default:
      if (message->kind == CP_PEER_LEAVING && link->way != NULL)
        link->way->leaving = true;
      peers->events->message (peers->context, link, message);
    }
}

static void on_failed (struct net_link *net, const char *reason);

static void
on_record (struct net_link *net, char *data, size_t length)
{
  struct mesh_link *link = net->context;
  struct cp_peer_message message;

  if (link->way != NULL)
    {
      link->way->heard_us = now_us ();
      link->way->pinged_us = 0;
    }
  if (!mesh_decode (&message, data, length))
    {
      on_failed (net, "record that cannot be decoded");
      return;
    }
  dispatch (link, &message);
  mesh_release (&message);
}

static void
on_connected (struct net_link *net)
{
  say_hello (net->context);
}

static void
on_failed (struct net_link *net, const char *reason)
{
  struct mesh_link *link = net->context;

  if (link->way != NULL)
    {
      way_down (link->way, reason);
      return;
    }
  net_link_close (net);
  link->peers->events->lost (link->peers->context, link);
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
  net_link_accept (&link->link, listener, &link_events, link);
}

static void
way_connect (struct mesh_way *way, uint64_t now)
{
  struct mesh_link *link = g_new0 (struct mesh_link, 1);

  way->link = link;
  way->began_us = now;
  way->heard_us = now;
  way->pinged_us = 0;
  way->asked_us = now;
  link->peers = way->peers;
  link->way = way;
  net_link_connect (&link->link, way->peers->loop, &way->address, &link_events,
                    link);
}

static void
ping (struct mesh_way *way, uint64_t now)
{
  struct cp_peer_message message = { .kind = CP_PEER_PING };

  message.cp_peer_message_u.ping
      = (struct cp_peer_ping){ .token = now, .view = way->peers->view };
  way->asked_us = now;
  if (way->pinged_us == 0)
    way->pinged_us = now;
  mesh_link_send (way->link, &message);
}

static void
check_way (struct mesh_way *way, uint64_t now)
{
  if (way->link == NULL)
    {
      if (way->retry_us <= now)
        way_connect (way, now);
    }
  else if (!way->up)
    {
      if (now - way->began_us > CONNECT_US)
        way_down (way, "no hello in time");
    }
  else if (way->pinged_us != 0 && now - way->pinged_us > SILENCE_US)
    way_down (way, "silence after a ping");
  else if (now - way->asked_us >= PING_US)
    ping (way, now);
}

/* Forgives the silence of a time in which this process stood still.  */
static void
forgive (struct mesh_peers *peers, uint64_t now)
{
  struct mesh_way *way;

  cds_list_for_each_entry (way, &peers->ways, node)
  {
    way->began_us = now;
    way->pinged_us = way->pinged_us == 0 ? 0 : now;
  }
}

static void
on_tick (uv_timer_t *timer)
{
  struct mesh_peers *peers = timer->data;
  uint64_t now = now_us ();
  struct mesh_way *way;
  struct mesh_way *next;

  if (peers->ticked_us != 0 && now - peers->ticked_us > PAUSE_US)
    forgive (peers, now);
  peers->ticked_us = now;
  /* What is done about one way may send on those after it: the time is read
     anew, lest a ping that has just left seems to be ages old.  */
  cds_list_for_each_entry_safe (way, next, &peers->ways, node)
      check_way (way, now_us ());
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
  CDS_INIT_LIST_HEAD (&peers->ways);
  CDS_INIT_LIST_HEAD (&peers->incoming);
  error = net_listen (&peers->listener, loop, address, on_accept);
  peers->listener.data = peers;
  if (error != 0)
    return error;
  uv_timer_init (loop, &peers->tick);
  peers->tick.data = peers;
  uv_timer_start (&peers->tick, on_tick, TICK_MS, TICK_MS);
  return 0;
}

struct mesh_way *
mesh_way_use (struct mesh_peers *peers, const struct cp_address *address)
{
  struct mesh_way *way;

  cds_list_for_each_entry (way, &peers->ways,
                           node) if (strcmp (way->address.text, address->text)
                                     == 0)
  {
    way->users++;
    return way;
  }
  way = g_new0 (struct mesh_way, 1);
  way->peers = peers;
  way->address = *address;
  way->users = 1;
  cds_list_add_tail (&way->node, &peers->ways);
  way_connect (way, now_us ());
  return way;
}

static void
way_free (struct mesh_way *way)
{
  if (way->link != NULL)
    {
      struct mesh_link *link = way->link;

      link->way = NULL;
      net_link_close (&link->link);
      if (way->up)
        way->peers->n_up--;
    }
  cds_list_del (&way->node);
  free (way);
}

void
mesh_way_release (struct mesh_way *way)
{
  if (--way->users == 0)
    way_free (way);
}

void
mesh_link_send (struct mesh_link *link, const struct cp_peer_message *message)
{
  if (!link->link.failed)
    net_link_send (&link->link, mesh_encode (message));
}

bool
mesh_way_send (struct mesh_way *way, const struct cp_peer_message *message)
{
  uint64_t now = now_us ();

  if (!way->up)
    return false;
  mesh_link_send (way->link, message);
  if (way->up && way->pinged_us == 0 && now - way->heard_us > QUIET_US)
    ping (way, now);
  return true;
}

void
mesh_peers_tell (struct mesh_peers *peers,
                 const struct cp_peer_message *message)
{
  struct mesh_link *link;
  struct mesh_link *next;

  cds_list_for_each_entry_safe (link, next, &peers->incoming,
                                node) if (link->incarnation != 0)
      mesh_link_send (link, message);
}

void
mesh_peers_leave (struct mesh_peers *peers)
{
  struct cp_peer_message message = { .kind = CP_PEER_LEAVING };

  peers->leaving = true;
  mesh_peers_tell (peers, &message);
}

void
mesh_peers_stop (struct mesh_peers *peers)
{
  struct mesh_link *link;
  struct mesh_link *next;
  struct mesh_way *way;
  struct mesh_way *next_way;

  if (peers->stopped)
    return;
  peers->stopped = true;
  uv_close ((uv_handle_t *)&peers->listener, NULL);
  uv_close ((uv_handle_t *)&peers->tick, NULL);
  cds_list_for_each_entry_safe (link, next, &peers->incoming, node)
      net_link_close (&link->link);
  cds_list_for_each_entry_safe (way, next_way, &peers->ways, node)
      way_free (way);
}

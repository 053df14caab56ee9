/* Links to peers; three daemons share the event loop of the test.  */
#include <unistd.h>

#include "meshd/peers.h"
#include "regress/harness/suite.h"

/* Longer than the detection of a silent peer takes, and shorter than the time
   until the new link is given up for lack of a hello.  */
#define RUN_MS 1700

static uv_loop_t loop;
static struct mesh_peers first;
static struct mesh_peers mute;
static struct mesh_peers other;
static struct mesh_peer *to_mute;
static struct mesh_peer *to_other;
static bool mute_reads_nothing;
static unsigned mute_down;
static unsigned other_down;

static void
on_up (void *context, struct mesh_peer *peer)
{
  (void)context;
  (void)peer;
}

/* Sends to the next peer, as a call does that is tried elsewhere.  */
static void
on_down (void *context, struct mesh_peer *peer, const char *reason)
{
  struct cp_peer_message message = { .kind = CP_PEER_VIEW };

  (void)context;
  (void)reason;
  mute_down += peer == to_mute;
  other_down += peer == to_other;
  if (peer == to_mute)
    mesh_peer_send (to_other, &message);
}

/* The mute daemon stops reading at its first incoming link.  */
static void
on_joined (void *context, struct mesh_link *link)
{
  if (context == &mute && mute_reads_nothing)
    net_stream_set_reading (&link->net.stream, false);
}

static void
on_link (void *context, struct mesh_link *link)
{
  (void)context;
  (void)link;
}

static void
on_message (void *context, struct mesh_link *link,
            const struct cp_peer_message *message)
{
  (void)context;
  (void)link;
  (void)message;
}

static const struct mesh_peers_events events
    = { on_up, on_down, on_joined, on_link, on_message, on_link };

static struct cp_address
address_of (unsigned vm)
{
  struct cp_address address;
  char text[56];
  unsigned number = (unsigned)getpid ();

  g_snprintf (text, sizeof text, "127.%u.%u.%u:7400", number >> 8 & 127,
              number & 255, vm);
  ck_assert (cp_address_parse (&address, text));
  return address;
}

static void
start (struct mesh_peers *peers, unsigned vm)
{
  struct cp_address address = address_of (vm);

  ck_assert_int_eq (
      mesh_peers_init (peers, &loop, &address, vm, "zone-a", &events, peers),
      0);
}

static void
on_time (uv_timer_t *timer)
{
  uv_close ((uv_handle_t *)timer, NULL);
  mesh_peers_stop (&first);
  mesh_peers_stop (&mute);
  mesh_peers_stop (&other);
}

START_TEST (a_silent_peer_does_not_close_the_link_to_another)
{
  struct cp_address to[2] = { address_of (2), address_of (3) };
  uv_timer_t timer;

  mute_reads_nothing = true;
  uv_loop_init (&loop);
  start (&first, 1);
  start (&mute, 2);
  start (&other, 3);
  to_mute = mesh_peer_acquire (&first, &to[0]);
  to_other = mesh_peer_acquire (&first, &to[1]);
  uv_timer_init (&loop, &timer);
  uv_timer_start (&timer, on_time, RUN_MS, 0);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_uint_gt (mute_down, 0);
  ck_assert_uint_eq (other_down, 0);
}
END_TEST

static void
start_in_domain (struct mesh_peers *peers, unsigned vm, const char *domain)
{
  struct cp_address address = address_of (vm);

  ck_assert_int_eq (
      mesh_peers_init (peers, &loop, &address, vm, domain, &events, peers), 0);
}

/* Peers in other failure domains are pinged in turn, so that their number does
   not raise the rate.  */
START_TEST (other_domains_are_pinged_in_turn)
{
  struct cp_address to[2] = { address_of (2), address_of (3) };
  uv_timer_t timer;
  uint64_t pings;

  uv_loop_init (&loop);
  start_in_domain (&first, 1, "zone-a");
  start_in_domain (&mute, 2, "zone-b");
  start_in_domain (&other, 3, "zone-c");
  mesh_peer_acquire (&first, &to[0]);
  mesh_peer_acquire (&first, &to[1]);
  uv_timer_init (&loop, &timer);
  uv_timer_start (&timer, on_time, RUN_MS, 0);
  uv_run (&loop, UV_RUN_DEFAULT);
  pings = first.traffic.messages[CP_PEER_PING][0];
  ck_assert_uint_ge (pings, 2);
  ck_assert_uint_le (pings, RUN_MS / 500 + 1);
  ck_assert_uint_ge (mute.traffic.messages[CP_PEER_PONG][0], 1);
  ck_assert_uint_ge (other.traffic.messages[CP_PEER_PONG][0], 1);
  ck_assert_uint_eq (first.traffic.messages[CP_PEER_PING][1], 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, a_silent_peer_does_not_close_the_link_to_another);
  tcase_add_test (tests, other_domains_are_pinged_in_turn);
}

int
main (void)
{
  return suite_run ("mesh_links", add_tests, 30);
}

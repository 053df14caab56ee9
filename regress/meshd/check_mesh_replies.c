/* The inbound side by itself: when it tells its own daemon's calls how their
   jobs ended.  */
#include <string.h>

#include "meshd/inbound.h"
#include "regress/harness/suite.h"

#define OFFERS 3

static uv_loop_t loop;
static struct mesh_inbound inbound;
static struct mesh_suspects suspects;
static struct mesh_peers peers;
static unsigned n_replies;
static bool offering;

static void
offer (uint64_t stream)
{
  static char text[] = "";
  struct cp_peer_request request = { .stream = stream,
                                     .request_id = text,
                                     .instance = text,
                                     .left = 1000,
                                     .objective = 100,
                                     .head = text };

  offering = true;
  mesh_inbound_offer (&inbound, NULL, &request);
  offering = false;
}

/* Offers the next job, as a call that was refused is sent to another
   server.  */
static void
on_reply (void *context, const struct cp_peer_message *message)
{
  (void)context;
  ck_assert (!offering);
  ck_assert_int_eq (message->kind, CP_PEER_REFUSAL);
  n_replies++;
  ck_assert_uint_eq (message->cp_peer_message_u.refusal.stream, n_replies);
  if (n_replies < OFFERS)
    offer (n_replies + 1);
}

static void
on_load (void *context, const struct cp_peer_message *message,
         bool own_domain_only)
{
  (void)context;
  (void)message;
  (void)own_domain_only;
}

static void
release_calls (void *context, const struct cp_run_calls *reserved)
{
  (void)context;
  (void)reserved;
}

static const struct mesh_inbound_events events
    = { .reply = on_reply, .load = on_load, .release_calls = release_calls };

static void
setup (void)
{
  static const struct cp_address no_server;

  uv_loop_init (&loop);
  mesh_suspects_init (&suspects, &peers);
  mesh_inbound_init (&inbound, &loop, &no_server, 1, &suspects, &events, NULL);
}

static void
teardown (void)
{
  mesh_inbound_stop (&inbound);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&loop), 0);
  mesh_suspects_finish (&suspects);
}

/* Guards against a call that ends, and drops other jobs, while the inbound
   side still handles one of them.  */
START_TEST (a_refusal_is_delivered_when_the_loop_comes_round)
{
  offer (1);
  ck_assert_uint_eq (n_replies, 0);
  uv_run (&loop, UV_RUN_NOWAIT);
  ck_assert_uint_eq (n_replies, OFFERS);
}
END_TEST

/* Guards against a result that is delivered, or leaks, after the stop.  */
START_TEST (a_refusal_that_waits_at_the_stop_is_dropped) { offer (1); }
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, a_refusal_is_delivered_when_the_loop_comes_round);
  tcase_add_test (tests, a_refusal_that_waits_at_the_stop_is_dropped);
}

int
main (void)
{
  return suite_run ("mesh_replies", add_tests, 20);
}

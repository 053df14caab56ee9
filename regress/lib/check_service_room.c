/* Room that is known before sending.  Simulated daemons and servers; no
   network.  */

#include "lib/service_room.h"
#include "regress/harness/suite.h"

#define LIMIT 8
#define WORK_US 50000
#define WAIT_US 30000 /* a fifth of an objective of 150 ms */
#define DAEMONS 300
#define START_US (1000 * CP_US_PER_S)

static struct cp_seeded_random seeded;

static void
setup (void)
{
  cp_seeded_random_init (&seeded, 1);
}

static void
teardown (void)
{
  cp_seeded_random_finish (&seeded);
}

static struct cp_server
server_with (unsigned running, unsigned queued, uint64_t reported_us)
{
  return (struct cp_server){ .load = { .running = running,
                                       .queued = queued,
                                       .limit = LIMIT,
                                       .slowness_percent = 100 },
                             .load_us = reported_us };
}

static void
add (struct cp_room_view *view, const struct cp_server *server,
     uint64_t now_us, unsigned priority)
{
  const struct cp_room_request request = { .now_us = now_us,
                                           .work_us = WORK_US,
                                           .wait_us = WAIT_US,
                                           .priority = priority };

  cp_room_view_add (view, server, &request);
}

/* Returns the view of one server for PRIORITY.  */
static struct cp_room_view
view_of (struct cp_server server, unsigned priority)
{
  struct cp_room_view view = { 0 };

  add (&view, &server, START_US, priority);
  return view;
}

static bool
is_full (struct cp_server server, unsigned priority)
{
  struct cp_room_view view = view_of (server, priority);

  return cp_room_view_is_full (&view);
}

START_TEST (room_is_a_free_slot_or_a_short_queue)
{
  struct cp_server slow = server_with (LIMIT, 0, START_US);
  struct cp_server sent = server_with (LIMIT - 1, 0, START_US);
  struct cp_room_view view = view_of (server_with (LIMIT, 9, START_US), 2);

  ck_assert (!is_full (server_with (LIMIT - 1, 0, START_US), 2));
  /* (3 + 1) runs of 50 ms in 8 slots take 25 ms, and (4 + 1) 31 ms.  */
  ck_assert (!is_full (server_with (LIMIT, 3, START_US), 2));
  ck_assert (is_full (server_with (LIMIT, 4, START_US), 2));
  ck_assert (is_full (server_with (LIMIT, 9, START_US), 2));
  ck_assert (is_full (server_with (LIMIT, 9, START_US), 0));
  /* A part of the queue is behind more urgent requests.  */
  ck_assert (!is_full (server_with (LIMIT, 4, START_US), 0));
  /* A slow machine serves its queue later.  */
  slow.load.slowness_percent = 500;
  ck_assert (is_full (slow, 2));
  /* What this daemon has sent since the report counts.  */
  sent.sent_since = 6;
  ck_assert (is_full (sent, 2));
  /* 62.5 ms are expected and 30 ms allowed.  */
  ck_assert_uint_eq (cp_room_view_wait_us (&view), 32500);
}
END_TEST

/* Load: a server whose last report is stale, missing, or without a limit.
   Guards against requests that are refused for what was true long ago.  */
START_TEST (a_server_without_a_fresh_report_may_have_room)
{
  struct cp_room_view view = { 0 };
  struct cp_server full = server_with (LIMIT, 9, START_US);
  struct cp_server stale = server_with (LIMIT, 9, START_US - 400001);

  ck_assert (is_full (server_with (LIMIT, 9, START_US - 400000), 2));
  ck_assert (!is_full (stale, 2));
  ck_assert (!is_full (server_with (LIMIT, 9, 0), 2));
  stale.load_us = START_US;
  stale.load.limit = 0;
  ck_assert (!is_full (stale, 2));
  ck_assert (!cp_room_view_is_full (&view));
  add (&view, &full, START_US, 2);
  ck_assert (cp_room_view_is_full (&view));
  add (&view, &stale, START_US, 2);
  ck_assert (!cp_room_view_is_full (&view));
  ck_assert_uint_eq (cp_room_view_wait_us (&view), 0);
}
END_TEST

/* Load: ten servers of one domain are full, and one of ten in the other has
   room.  Guards against requests that are refused while a domain has room. */
START_TEST (nothing_is_refused_while_one_domain_has_room)
{
  struct cp_service_room room = { 0 };
  struct cp_room_view view = { 0 };
  struct cp_server full = server_with (LIMIT, 9, START_US);
  struct cp_server free_one = server_with (LIMIT - 1, 0, START_US);

  for (unsigned i = 0; i < 19; i++)
    add (&view, &full, START_US, 2);
  add (&view, &free_one, START_US, 2);
  for (unsigned i = 0; i < 1000; i++)
    ck_assert_int_eq (
        cp_service_room_check (&room, &view, START_US + i, &seeded.random),
        CP_ROOM_SEND);
}
END_TEST

static const unsigned rates[] = { 1, 4, 8, 20, 100, 1000 };

/* Load: a service that stays full, with 1 to 1,000 requests a second at one
   daemon.  Guards against daemons that send everything or nothing.  */
START_TEST (a_bounded_share_is_sent_to_a_full_service)
{
  struct cp_room_view view = view_of (server_with (LIMIT, 9, START_US), 2);
  struct cp_service_room room = { 0 };
  unsigned rate = rates[_i];
  unsigned sent = 0;

  for (unsigned i = 0; i < rate * 20; i++)
    sent += cp_service_room_check (&room, &view,
                                   START_US + i * CP_US_PER_S / rate,
                                   &seeded.random)
            != CP_ROOM_REFUSE;
  ck_assert_uint_ge (sent, 20 * MIN (rate, 5));
  ck_assert_double_ge (sent, 20 * 0.09 * rate);
  ck_assert_double_le (sent, 20 * (0.11 * rate + 10));
}
END_TEST

/* Load: 300 daemons with 20 requests a second each, which have sent until all
   of them learn at the same moment that the service is full.  Guards against
   daemons that send at the same time, and against a time in which none does.
 */
START_TEST (daemons_that_learn_the_same_do_not_send_together)
{
  struct cp_room_view with_room = view_of (server_with (0, 0, START_US), 2);
  struct cp_room_view full = view_of (server_with (LIMIT, 9, START_US), 2);
  struct cp_service_room rooms[DAEMONS] = { 0 };
  unsigned sent[100] = { 0 }; /* in each 10 ms */
  unsigned total = 0;

  for (unsigned ms = 0; ms < 1050; ms++)
    for (unsigned i = 0; i < DAEMONS; i++)
      if ((ms + i) % 50 == 0
          && cp_service_room_check (&rooms[i], ms < 50 ? &with_room : &full,
                                    START_US + ms * CP_US_PER_MS,
                                    &seeded.random)
                 != CP_ROOM_REFUSE
          && ms >= 50)
        sent[(ms - 50) / 10]++;
  for (unsigned i = 0; i < 100; i++)
    total += sent[i];
  /* In the first 100 ms only those that are drawn are sent, 6 in 10 ms.  */
  for (unsigned i = 0; i < 100; i++)
    {
      ck_assert_uint_ge (sent[i], 1);
      ck_assert_uint_le (sent[i], 3 * total / 100);
    }
  ck_assert_uint_ge (total, 5 * DAEMONS);
  ck_assert_uint_le (total, 10 * DAEMONS);
}
END_TEST

/* Load: a service that is full everywhere gets room again; nobody reports it.
   A daemon with 50 requests a second learns it from the answer to one that it
   sends, 2 ms later.  Guards against room that nobody finds.  */
START_TEST (room_is_found_within_300_ms)
{
  for (unsigned trial = 0; trial < 500; trial++)
    {
      struct cp_service_room room = { 0 };
      uint64_t freed = 1000 + cp_random_below (&seeded.random, 1000);
      uint64_t found = 0;

      for (uint64_t ms = 0; found == 0; ms += 20)
        {
          uint64_t now = START_US + ms * CP_US_PER_MS;
          struct cp_room_view view = { 0 };
          struct cp_server server = server_with (LIMIT, 9, now);

          add (&view, &server, now, 2);
          if (cp_service_room_check (&room, &view, now, &seeded.random)
                  != CP_ROOM_REFUSE
              && ms >= freed)
            found = ms + 2;
        }
      ck_assert_uint_le (found - freed, 300);
    }
}
END_TEST

/* A simulated service of up to 40 servers with 8 slots, 25 to 75 ms for a
   run.  */
#define SERVERS_MAX 40
#define DELAY_MS 200
#define RUN_MS 4000

struct simulated_server
{
  struct cp_server_load history[DELAY_MS + 1]; /* of each ms */
  unsigned ends[LIMIT];                        /* when each slot is free */
  unsigned queued;
};

struct simulation
{
  unsigned n_servers;
  struct simulated_server servers[SERVERS_MAX];
  struct cp_service_room rooms[DAEMONS];
  unsigned served;
  unsigned attempts;
  unsigned per_100_ms[RUN_MS / 100]; /* attempts */
  unsigned served_per_s[RUN_MS / 1000];
};

static unsigned
run_time_ms (void)
{
  return 25 + (unsigned)cp_random_below (&seeded.random, 51);
}

/* Ends the runs that are over at MS, and starts what waits.  */
static void
advance (struct simulated_server *server, unsigned ms)
{
  unsigned running = 0;

  for (unsigned i = 0; i < LIMIT; i++)
    {
      if (server->ends[i] <= ms && server->queued > 0)
        {
          server->queued--;
          server->ends[i] = ms + run_time_ms ();
        }
      running += server->ends[i] > ms;
    }
  server->history[ms % (DELAY_MS + 1)]
      = (struct cp_server_load){ .running = running,
                                 .queued = server->queued,
                                 .limit = LIMIT,
                                 .slowness_percent = 100 };
}

/* Returns whether SERVER takes a request at MS.  */
static bool
submit (struct simulated_server *server, unsigned ms)
{
  for (unsigned i = 0; i < LIMIT; i++)
    if (server->ends[i] <= ms)
      {
        server->ends[i] = ms + run_time_ms ();
        return true;
      }
  if ((server->queued + 1) * WORK_US / LIMIT > WAIT_US)
    return false;
  server->queued++;
  return true;
}

static const struct cp_server_load *
report (const struct simulation *simulation, unsigned server, unsigned ms)
{
  return &simulation->servers[server].history[(ms + 1) % (DELAY_MS + 1)];
}

/* Sends a request to the least loaded of five random servers, up to five
   times.  */
static void
send_request (struct simulation *simulation, unsigned ms)
{
  for (unsigned attempt = 0; attempt < 5; attempt++)
    {
      unsigned best = 0;

      for (unsigned i = 0; i < 5; i++)
        {
          unsigned other = (unsigned)cp_random_below (&seeded.random,
                                                      simulation->n_servers);

          if (i == 0
              || report (simulation, other, ms)->running
                         + report (simulation, other, ms)->queued
                     < report (simulation, best, ms)->running
                           + report (simulation, best, ms)->queued)
            best = other;
        }
      simulation->attempts++;
      simulation->per_100_ms[ms / 100]++;
      if (submit (&simulation->servers[best], ms))
        {
          simulation->served++;
          simulation->served_per_s[ms / 1000]++;
          return;
        }
    }
}

/* Offers PER_MS requests at random daemons in each ms.  */
static void
simulate (struct simulation *simulation, unsigned per_ms, bool use_room)
{
  for (unsigned ms = 0; ms < RUN_MS; ms++)
    {
      struct cp_room_view view = { 0 };
      uint64_t now = START_US + ms * CP_US_PER_MS;

      for (unsigned i = 0; i < simulation->n_servers; i++)
        {
          struct cp_server server
              = { .load = *report (simulation, i, ms),
                  .load_us = now - DELAY_MS * CP_US_PER_MS };

          advance (&simulation->servers[i], ms);
          add (&view, &server, now, 2);
        }
      for (unsigned i = 0; i < per_ms; i++)
        {
          unsigned daemon
              = (unsigned)cp_random_below (&seeded.random, DAEMONS);

          if (!use_room
              || cp_service_room_check (&simulation->rooms[daemon], &view, now,
                                        &seeded.random)
                     != CP_ROOM_REFUSE)
            send_request (simulation, ms);
        }
    }
}

static const struct
{
  unsigned n_servers;
  unsigned per_ms;
  double most; /* attempts, as a share of those without this rule */
} loads[] = { { 40, 10, 1.02 },
              { 40, 20, 1.02 },
              { 6, 2, 0.97 },
              { 6, 3, 0.92 },
              { 6, 10, 0.8 } };

/* Attempts are saved only where all servers are full at the same time, which
   is rare among 40.

   Load: 300 daemons offer 1.5 to 10 times of what a service can serve, and act
   on reports that are 200 ms old.  Guards against daemons that stop together
   until the service is idle (lock-out), and against daemons that send together
   more than without this rule (herd).  */
START_TEST (old_reports_cause_neither_herd_nor_lock_out)
{
  static struct simulation with;
  static struct simulation without;
  const double capacity_per_s = loads[_i].n_servers * LIMIT * 20;
  unsigned most_with = 0;
  unsigned most_without = 0;

  with.n_servers = loads[_i].n_servers;
  without.n_servers = loads[_i].n_servers;
  simulate (&with, loads[_i].per_ms, true);
  simulate (&without, loads[_i].per_ms, false);
  for (unsigned i = 5; i < RUN_MS / 100; i++)
    {
      most_with = MAX (most_with, with.per_100_ms[i]);
      most_without = MAX (most_without, without.per_100_ms[i]);
    }
  for (unsigned i = 1; i < RUN_MS / 1000; i++)
    ck_assert_double_ge (with.served_per_s[i], 0.6 * capacity_per_s);
  ck_assert_double_ge (with.served, 0.95 * without.served);
  ck_assert_double_le (most_with, 1.05 * most_without);
  ck_assert_double_le (with.attempts, loads[_i].most * without.attempts);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, room_is_a_free_slot_or_a_short_queue);
  tcase_add_test (tests, a_server_without_a_fresh_report_may_have_room);
  tcase_add_test (tests, nothing_is_refused_while_one_domain_has_room);
  tcase_add_loop_test (tests, a_bounded_share_is_sent_to_a_full_service, 0,
                       G_N_ELEMENTS (rates));
  tcase_add_test (tests, daemons_that_learn_the_same_do_not_send_together);
  tcase_add_test (tests, room_is_found_within_300_ms);
  tcase_add_loop_test (tests, old_reports_cause_neither_herd_nor_lock_out, 0,
                       G_N_ELEMENTS (loads));
}

int
main (void)
{
  return suite_run ("service_room", add_tests, 20);
}

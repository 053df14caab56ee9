/* A whole failure domain that comes back cold, under the load of a service.

   A model: the servers of two domains, each with the queue of its daemon, and
   a pool of servers that stands for the daemons of the cold domain.  Load
   reports arrive 5 ms late.  Time advances in steps of a millisecond.  */
#include <stdio.h>
#include <string.h>

#include "lib/clock.h"
#include "lib/job_queue.h"
#include "lib/report_filter.h"
#include "lib/server_pool.h"
#include "regress/harness/suite.h"

#define START_US (1000 * CP_US_PER_S)
#define IN_DOMAIN 4
#define SERVERS (2 * IN_DOMAIN) /* the first half is in the cold domain */
#define STEPS 8000
#define COLD_STEPS 3000
#define REPORT_DELAY 5
#define WORK_STEPS 60
#define PER_S 11.0
#define BOUND (PER_S * 1.5 + 8)
#define LOAD_PER_S 150 /* of the callers in the cold domain */
#define TRIES_MAX 5

struct model_server
{
  struct cp_job_queue queue;
  struct cp_report_filter filter;
  struct cp_server *server;
  unsigned ends[STEPS + WORK_STEPS + 1]; /* running ones that end then */
  unsigned starts[STEPS];
  struct cp_server_load reports[STEPS + REPORT_DELAY + 1];
  bool reported[STEPS + REPORT_DELAY + 1];
};

static struct model_server servers[SERVERS];
static struct cp_server_pool pool;
static struct cp_seeded_random seeded;
static struct cp_lateness lateness;
static unsigned step;
static unsigned refused;
static unsigned tries;

static uint64_t
now_us (void)
{
  return START_US + step * CP_US_PER_MS;
}

static void
on_added (void *context, struct cp_server *server)
{
  (void)context;
  server->reachable = true;
}

static void
ignore_removed (void *context, struct cp_server *server)
{
  (void)context;
  (void)server;
}

static void
ignore_released (void *context, void *user_data)
{
  (void)context;
  (void)user_data;
}

static const struct cp_server_pool_events events = {
  .added = on_added, .removed = ignore_removed, .released = ignore_released
};

static void
add_server (unsigned i)
{
  char instance[16];
  char address[32];
  struct cp_server_entry entry = { .instance = instance,
                                   .service = "shop",
                                   .domain = i < IN_DOMAIN ? "a" : "b",
                                   .born_ms = 1,
                                   .capacity = 13 };
  struct model_server *server = &servers[i];

  snprintf (instance, sizeof instance, "s-%u", i);
  snprintf (address, sizeof address, "10.0.0.%u:80", i + 1);
  cp_address_parse (&entry.address, address);
  cp_server_pool_update (&pool, &entry, now_us ());
  server->server = cp_server_pool_find (&pool, instance);
  cp_job_queue_init (&server->queue);
  cp_job_queue_set_capacity (&server->queue, 13);
  cp_report_filter_init (&server->filter);
  cp_warm_up_configure (&server->queue.warm_up, 3 * CP_US_PER_S, PER_S, true,
                        now_us ());
  cp_warm_up_begin (&server->queue.warm_up, 0, now_us ());
  cp_warm_up_read_check (&server->queue.warm_up,
                         i < IN_DOMAIN ? COLD_STEPS * CP_US_PER_MS : 0,
                         now_us ());
}

static void
setup (void)
{
  memset (servers, 0, sizeof servers);
  step = refused = tries = 0;
  cp_seeded_random_init (&seeded, 7);
  cp_lateness_init (&lateness);
  cp_server_pool_init (&pool, "a", "self", &events, NULL);
  for (unsigned i = 0; i < SERVERS; i++)
    add_server (i);
}

static void
teardown (void)
{
  cp_server_pool_finish (&pool);
  cp_seeded_random_finish (&seeded);
}

static struct model_server *
model_of (const struct cp_server *server)
{
  for (unsigned i = 0; i < SERVERS; i++)
    if (servers[i].server == server)
      return &servers[i];
  return NULL;
}

/* Reports the load of SERVER, with an answer or because it changed.  */
static void
report (struct model_server *server, bool with_answer)
{
  struct cp_server_load load = {
    .running
    = cp_job_queue_busy (&server->queue, now_us (), WORK_STEPS * CP_US_PER_MS),
    .limit
    = cp_job_queue_concurrency (&server->queue, WORK_STEPS * CP_US_PER_MS),
    .slowness_percent = 100,
    .cold_us = cp_warm_up_left_us (&server->queue.warm_up, now_us ()),
  };

  if (!with_answer
      && cp_report_filter_check (&server->filter, &load) == CP_REPORT_NONE)
    return;
  server->reports[step + REPORT_DELAY] = load;
  server->reported[step + REPORT_DELAY] = true;
}

/* Sends a request to one server after another until one runs it.  */
static void
send_request (void)
{
  struct cp_server *tried[TRIES_MAX];
  struct cp_server_request request = { .service = "shop",
                                       .now_us = now_us (),
                                       .work_us = WORK_STEPS * CP_US_PER_MS,
                                       .time_left_us = 200000,
                                       .lateness = &lateness,
                                       .tried = tried };

  while (request.n_tried < TRIES_MAX)
    {
      struct cp_server *picked
          = cp_server_pool_pick (&pool, &request, &seeded.random);
      struct model_server *server = model_of (picked);
      struct cp_job_queue_entry entry = { .wait_until_us = now_us () };

      if (picked == NULL)
        break;
      tries++;
      tried[request.n_tried++] = picked;
      picked->sent_since++;
      if (cp_job_queue_submit (&server->queue, &entry, now_us (),
                               WORK_STEPS * CP_US_PER_MS)
          == CP_JOB_QUEUE_RUN)
        {
          server->starts[step]++;
          server->ends[step + WORK_STEPS]++;
          return;
        }
    }
  refused++;
}

static void
run (void)
{
  for (; step < STEPS; step++)
    {
      for (unsigned i = 0; i < SERVERS; i++)
        {
          struct model_server *server = &servers[i];

          for (; server->ends[step] > 0; server->ends[step]--)
            {
              cp_job_queue_done (&server->queue);
              report (server, true);
            }
          cp_warm_up_update (&server->queue.warm_up, now_us ());
          if (server->reported[step])
            cp_server_set_load (server->server, &server->reports[step],
                                now_us ());
          /* A daemon checks every 25 ms what it reports.  */
          if (step % 25 == i)
            report (server, false);
        }
      if ((step + 1) * LOAD_PER_S / 1000 != step * LOAD_PER_S / 1000)
        send_request ();
    }
}

static unsigned
starts_between (const struct model_server *server, unsigned from, unsigned to)
{
  unsigned sum = 0;

  for (unsigned i = from; i < to; i++)
    sum += server->starts[i];
  return sum;
}

/* Guards against a domain whose cold servers get all of its requests, or none
   of them, and against requests that are refused while other domains have
   room.  */
START_TEST (a_domain_that_comes_back_cold_gets_its_share_in_steps)
{
  unsigned cold = 0;
  unsigned warm = 0;
  unsigned tries_cold;

  run ();
  tries_cold = tries;
  for (unsigned i = 0; i < IN_DOMAIN; i++)
    {
      for (unsigned from = 0; from + 1000 <= COLD_STEPS; from++)
        ck_assert_double_le (starts_between (&servers[i], from, from + 1000),
                             BOUND);
      cold += starts_between (&servers[i], 0, COLD_STEPS);
      warm += starts_between (&servers[i], COLD_STEPS + 1000, STEPS);
    }
  ck_assert_uint_ge (cold, 0.6 * PER_S * IN_DOMAIN * COLD_STEPS / 1000);
  ck_assert_uint_ge (warm,
                     0.9 * LOAD_PER_S * (STEPS - COLD_STEPS - 1000) / 1000);
  ck_assert_uint_eq (refused, 0);
  /* Most requests are sent only once.  */
  ck_assert_uint_le (tries_cold, 1.2 * LOAD_PER_S * STEPS / 1000);
}
END_TEST

static void
set_cold (unsigned i, unsigned running)
{
  struct cp_server_load load = {
    .running = running, .limit = 1, .slowness_percent = 100, .cold_us = 1000000
  };

  cp_server_set_load (servers[i].server, &load, now_us ());
}

/* Guards against requests that stay in a cold domain whose rate is used up,
   although all that wait there are refused.  */
START_TEST (a_domain_whose_rate_is_used_up_gets_nothing)
{
  struct cp_server_load warm = { .limit = 10, .slowness_percent = 100 };
  struct cp_server_request request = { .service = "shop",
                                       .now_us = now_us (),
                                       .work_us = 60000,
                                       .time_left_us = 200000,
                                       .lateness = &lateness };

  for (unsigned i = 0; i < IN_DOMAIN; i++)
    set_cold (i, 1);
  for (unsigned i = IN_DOMAIN; i < SERVERS; i++)
    cp_server_set_load (servers[i].server, &warm, now_us ());
  for (unsigned i = 0; i < 400; i++)
    ck_assert (
        !cp_server_pool_pick (&pool, &request, &seeded.random)->same_domain);
  set_cold (0, 0);
  for (unsigned i = 0; i < 400; i++)
    ck_assert_ptr_eq (cp_server_pool_pick (&pool, &request, &seeded.random),
                      servers[0].server);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests,
                  a_domain_that_comes_back_cold_gets_its_share_in_steps);
  tcase_add_test (tests, a_domain_whose_rate_is_used_up_gets_nothing);
}

int
main (void)
{
  return suite_run ("cold_domain", add_tests, 60);
}

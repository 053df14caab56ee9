/* The choice between failure domains, under the loads that it answers.

   A model of a service: servers with slots in several domains, one pool of
   servers for each domain that stands for the daemons there, and load reports
   that arrive late.  Time advances in steps; the work of a request slows down
   with its server.  */
#include <math.h>
#include <stdio.h>
#include <string.h>

#include "lib/server_pool.h"
#include "regress/harness/suite.h"

#define DOMAINS_MAX 4
#define SERVERS_MAX 8 /* in one domain */
#define RUNNING_MAX 4000
#define STEP_US UINT64_C (1000)
#define REPORT_DELAY_STEPS 5
#define LIMIT 8
#define WORK_US 60000.0
#define OBJECTIVE_US 200000.0
#define WARM_UP_STEPS 1000
#define STEPS 6000

struct model_server
{
  unsigned running;
  unsigned slowness_percent;
  bool gone;
};

struct model_request
{
  unsigned from;
  unsigned domain;
  unsigned server;
  uint64_t started_us;
  double left_us; /* of its work */
  bool was_slow;
};

struct model
{
  unsigned n_domains;
  unsigned n_servers[DOMAINS_MAX];
  double per_s[DOMAINS_MAX]; /* requests a second that begin there */
  struct model_server servers[DOMAINS_MAX][SERVERS_MAX];
  struct cp_server_pool pools[DOMAINS_MAX];
  struct cp_lateness lateness[DOMAINS_MAX];
  double due[DOMAINS_MAX]; /* requests that are to begin */
  struct model_request running[RUNNING_MAX];
  unsigned n_running;
  struct cp_seeded_random seeded;
  uint64_t now_us;
  unsigned step;
  unsigned began[DOMAINS_MAX]; /* since the counts were cleared */
  unsigned left[DOMAINS_MAX];  /* of these, sent to another domain */
  unsigned arrived[DOMAINS_MAX];
  unsigned late;
  unsigned refused;
  unsigned most_left_in_step; /* sent to other domains within one step */
};

static struct model model;

static void
on_added (void *context, struct cp_server *server)
{
  (void)context;
  server->reachable = true;
}

static void
on_removed (void *context, struct cp_server *server)
{
  (void)context;
  (void)server;
}

static void
on_released (void *context, void *user_data)
{
  (void)context;
  (void)user_data;
}

static const struct cp_server_pool_events events
    = { .added = on_added, .removed = on_removed, .released = on_released };

static void
name_server (char *name, size_t size, unsigned domain, unsigned server)
{
  snprintf (name, size, "s-%u-%u", domain, server);
}

static void
add_server (unsigned pool, unsigned domain, unsigned server)
{
  char instance[32];
  char zone[32];
  char address[64];
  struct cp_server_entry entry = { .service = "shop",
                                   .instance = instance,
                                   .domain = zone,
                                   .born_ms = 1,
                                   .capacity = LIMIT };

  name_server (instance, sizeof instance, domain, server);
  snprintf (zone, sizeof zone, "zone-%u", domain);
  snprintf (address, sizeof address, "10.0.%u.%u:80", domain, server + 1);
  cp_address_parse (&entry.address, address);
  cp_server_pool_update (&model.pools[pool], &entry, model.now_us);
}

/* Starts a model with SERVERS[i] servers and RATES[i] requests a second in
   domain i.  */
static void
start_model (unsigned n_domains, const unsigned *servers, const double *rates)
{
  char zone[32];

  memset (&model, 0, sizeof model);
  model.n_domains = n_domains;
  model.now_us = 100 * CP_US_PER_S;
  cp_seeded_random_init (&model.seeded, 11);
  for (unsigned i = 0; i < n_domains; i++)
    {
      model.n_servers[i] = servers[i];
      model.per_s[i] = rates[i];
      snprintf (zone, sizeof zone, "zone-%u", i);
      cp_server_pool_init (&model.pools[i], zone, zone, &events, NULL);
      cp_lateness_init (&model.lateness[i]);
      for (unsigned k = 0; k < servers[i]; k++)
        model.servers[i][k].slowness_percent = 100;
    }
  for (unsigned pool = 0; pool < n_domains; pool++)
    for (unsigned i = 0; i < n_domains; i++)
      for (unsigned k = 0; k < servers[i]; k++)
        add_server (pool, i, k);
}

static void
end_model (void)
{
  for (unsigned i = 0; i < model.n_domains; i++)
    cp_server_pool_finish (&model.pools[i]);
  cp_seeded_random_finish (&model.seeded);
}

static void
clear_counts (void)
{
  memset (model.began, 0, sizeof model.began);
  memset (model.left, 0, sizeof model.left);
  memset (model.arrived, 0, sizeof model.arrived);
  model.late = model.refused = model.most_left_in_step = 0;
}

/* Reports the load of every server to every pool.  */
static void
report_loads (void)
{
  char instance[32];

  for (unsigned i = 0; i < model.n_domains; i++)
    for (unsigned k = 0; k < model.n_servers[i]; k++)
      for (unsigned pool = 0; pool < model.n_domains; pool++)
        {
          const struct model_server *server = &model.servers[i][k];
          struct cp_server_load load
              = { .running = server->running,
                  .limit = LIMIT,
                  .slowness_percent = server->slowness_percent };
          struct cp_server *known;

          name_server (instance, sizeof instance, i, k);
          known = cp_server_pool_find (&model.pools[pool], instance);
          known->reachable = !server->gone;
          cp_server_set_load (known, &load, model.now_us);
        }
}

static void
end_request (unsigned index)
{
  const struct model_request *request = &model.running[index];
  uint64_t took_us = model.now_us - request->started_us;
  bool late = (double)took_us > OBJECTIVE_US;

  model.servers[request->domain][request->server].running--;
  model.late += late;
  cp_lateness_add (&model.lateness[request->from], request->was_slow, late);
  model.running[index] = model.running[--model.n_running];
}

static void
advance_work (void)
{
  for (unsigned i = model.n_running; i-- > 0;)
    {
      struct model_request *request = &model.running[i];
      const struct model_server *server
          = &model.servers[request->domain][request->server];

      request->left_us -= STEP_US * 100.0 / server->slowness_percent;
      if (request->left_us <= 0)
        end_request (i);
    }
}

/* Places a request of domain FROM.  Returns whether it left the domain.  */
static bool
begin_request (unsigned from)
{
  struct cp_server_request request = { .service = "shop",
                                       .now_us = model.now_us,
                                       .work_us = (uint64_t)WORK_US,
                                       .time_left_us = (uint64_t)OBJECTIVE_US,
                                       .lateness = &model.lateness[from] };
  struct cp_server *server = cp_server_pool_pick (&model.pools[from], &request,
                                                  &model.seeded.random);
  unsigned domain;
  unsigned number;

  model.began[from]++;
  if (server == NULL)
    {
      model.refused++;
      return false;
    }
  ck_assert_int_eq (sscanf (server->instance, "s-%u-%u", &domain, &number), 2);
  model.left[from] += domain != from;
  if (model.servers[domain][number].running >= LIMIT)
    {
      model.refused++;
      return domain != from;
    }
  server->sent_since++;
  model.arrived[domain]++;
  model.servers[domain][number].running++;
  ck_assert_uint_lt (model.n_running, RUNNING_MAX);
  model.running[model.n_running++] = (struct model_request){
    .from = from,
    .domain = domain,
    .server = number,
    .started_us = model.now_us,
    .left_us = WORK_US * (0.7 + 0.6 * cp_random_unit (&model.seeded.random)),
    .was_slow = cp_server_is_slow (server, model.now_us)
  };
  return domain != from;
}

static void
begin_requests (void)
{
  unsigned left = 0;

  for (unsigned i = 0; i < model.n_domains; i++)
    for (model.due[i] += model.per_s[i] * STEP_US / CP_US_PER_S;
         model.due[i] >= 1; model.due[i]--)
      left += begin_request (i);
  model.most_left_in_step = MAX (model.most_left_in_step, left);
}

static void
run (unsigned steps)
{
  for (unsigned i = 0; i < steps; i++)
    {
      if (model.step++ % REPORT_DELAY_STEPS == 0)
        report_loads ();
      begin_requests ();
      model.now_us += STEP_US;
      advance_work ();
    }
}

static unsigned
sum (const unsigned *counts)
{
  unsigned total = 0;

  for (unsigned i = 0; i < model.n_domains; i++)
    total += counts[i];
  return total;
}

static double
share_left (unsigned domain)
{
  return (double)model.left[domain] / MAX (model.began[domain], 1U);
}

static double
share_bad (void)
{
  return (double)(model.late + model.refused) / MAX (sum (model.began), 1U);
}

/* Ordinary load: half of the slots are busy everywhere.  */
START_TEST (traffic_stays_in_its_domain_under_ordinary_load)
{
  start_model (3, (unsigned[]){ 2, 2, 2 }, (double[]){ 130, 130, 130 });
  run (STEPS);
  ck_assert_uint_eq (sum (model.left), 0);
  ck_assert_double_lt (share_bad (), 0.01);
  end_model ();
}
END_TEST

/* A full domain: its callers ask for 1.5 times what its servers do; the others
   have room.  What does not fit leaves, and not much more.  */
START_TEST (a_full_domain_sheds_what_does_not_fit)
{
  const double capacity = 2 * LIMIT / (WORK_US / CP_US_PER_S);

  start_model (3, (unsigned[]){ 2, 2, 2 },
               (double[]){ 1.5 * capacity, 60, 60 });
  run (WARM_UP_STEPS);
  clear_counts ();
  run (STEPS);
  ck_assert_double_gt (share_left (0), 0.33);
  ck_assert_double_lt (share_left (0), 0.55);
  ck_assert_double_lt (share_left (1) + share_left (2), 0.02);
  ck_assert_double_lt (share_bad (), 0.05);
  end_model ();
}
END_TEST

/* All domains are full: nobody is served sooner elsewhere, and requests do not
   wander between the domains.  */
START_TEST (overload_everywhere_moves_little)
{
  const double capacity = 2 * LIMIT / (WORK_US / CP_US_PER_S);

  start_model (3, (unsigned[]){ 2, 2, 2 },
               (double[]){ 1.5 * capacity, 1.5 * capacity, 1.5 * capacity });
  run (WARM_UP_STEPS);
  clear_counts ();
  run (STEPS);
  for (unsigned i = 0; i < 3; i++)
    ck_assert_double_lt (share_left (i), 0.15);
  end_model ();
}
END_TEST

/* All servers of a domain die, and come back.  */
START_TEST (a_dead_domain_is_served_by_the_others_until_it_returns)
{
  start_model (3, (unsigned[]){ 2, 2, 2 }, (double[]){ 100, 100, 100 });
  run (WARM_UP_STEPS);
  model.servers[0][0].gone = model.servers[0][1].gone = true;
  run (REPORT_DELAY_STEPS);
  clear_counts ();
  run (STEPS);
  ck_assert_double_eq (share_left (0), 1);
  ck_assert_double_lt (share_bad (), 0.02);
  /* The load of the lost domain is shared.  */
  ck_assert_uint_gt (model.arrived[1] * 3, model.arrived[2] * 2);
  ck_assert_uint_gt (model.arrived[2] * 3, model.arrived[1] * 2);
  model.servers[0][0].gone = model.servers[0][1].gone = false;
  run (REPORT_DELAY_STEPS);
  clear_counts ();
  run (STEPS);
  ck_assert_double_lt (share_left (0), 0.01);
  end_model ();
}
END_TEST

/* One of two servers of a domain is slow: the other one takes its work.  */
START_TEST (one_slow_server_does_not_drive_traffic_out)
{
  start_model (3, (unsigned[]){ 2, 2, 2 }, (double[]){ 70, 70, 70 });
  model.servers[0][0].slowness_percent = 500;
  run (WARM_UP_STEPS);
  clear_counts ();
  run (STEPS);
  ck_assert_double_lt (share_left (0), 0.05);
  ck_assert_double_lt (share_bad (), 0.02);
  end_model ();
}
END_TEST

/* The only server of a domain is slow enough to make answers late: they leave,
   and come back when it is normal again.  */
START_TEST (a_slow_only_server_is_left_and_taken_again)
{
  start_model (3, (unsigned[]){ 1, 1, 1 }, (double[]){ 40, 40, 40 });
  model.servers[0][0].slowness_percent = 500;
  run (WARM_UP_STEPS);
  clear_counts ();
  run (STEPS);
  ck_assert_double_gt (share_left (0), 0.9);
  ck_assert_double_lt (share_bad (), 0.03);
  model.servers[0][0].slowness_percent = 100;
  run (REPORT_DELAY_STEPS);
  clear_counts ();
  run (STEPS);
  ck_assert_double_lt (share_left (0), 0.01);
  end_model ();
}
END_TEST

/* A slow machine on which answers are still in time is no reason to leave.  */
START_TEST (slowness_that_delays_nobody_is_learned)
{
  start_model (3, (unsigned[]){ 2, 2, 2 }, (double[]){ 50, 50, 50 });
  model.servers[0][0].slowness_percent = 200;
  model.servers[0][1].slowness_percent = 200;
  run (2 * STEPS);
  clear_counts ();
  run (STEPS);
  ck_assert_double_lt (share_left (0), 0.1);
  ck_assert_double_lt (share_bad (), 0.02);
  end_model ();
}
END_TEST

START_TEST (callers_without_a_server_in_their_domain_are_served)
{
  start_model (3, (unsigned[]){ 0, 2, 2 }, (double[]){ 100, 60, 60 });
  run (STEPS);
  ck_assert_double_eq (share_left (0), 1);
  ck_assert_double_lt (share_left (1) + share_left (2), 0.02);
  ck_assert_double_lt (share_bad (), 0.01);
  end_model ();
}
END_TEST

/* Unequal domains with equal traffic: the small one sheds, the large one
   keeps its own.  */
START_TEST (a_small_domain_sheds_to_a_large_one)
{
  start_model (2, (unsigned[]){ 1, 6 }, (double[]){ 200, 200 });
  run (WARM_UP_STEPS);
  clear_counts ();
  run (STEPS);
  ck_assert_double_gt (share_left (0), 0.33);
  ck_assert_double_lt (share_left (0), 0.65);
  ck_assert_double_lt (share_left (1), 0.01);
  ck_assert_double_lt (share_bad (), 0.05);
  end_model ();
}
END_TEST

/* A burst in one domain of four: it is spread over the others, they are not
   driven out of their own servers, and it ends with the burst.  */
START_TEST (a_burst_in_one_domain_is_spread)
{
  start_model (4, (unsigned[]){ 2, 2, 2, 2 }, (double[]){ 80, 80, 80, 80 });
  run (WARM_UP_STEPS);
  model.per_s[0] = 480;
  run (WARM_UP_STEPS);
  clear_counts ();
  run (STEPS);
  ck_assert_double_gt (share_left (0), 0.4);
  for (unsigned i = 1; i < 4; i++)
    {
      ck_assert_double_lt (share_left (i), 0.1);
      ck_assert_uint_gt (model.arrived[i], sum (model.arrived) / 8);
    }
  ck_assert_double_lt (share_bad (), 0.1);
  model.per_s[0] = 80;
  run (WARM_UP_STEPS);
  clear_counts ();
  run (STEPS);
  ck_assert_uint_eq (sum (model.left), 0);
  end_model ();
}
END_TEST

/* Daemons act on the same late reports.  When a domain's servers become slow
   at once, no server elsewhere gets more than it can run, and the traffic does
   not swing between the domains.  */
START_TEST (a_domain_that_turns_slow_causes_no_herd)
{
  start_model (4, (unsigned[]){ 2, 2, 2, 2 }, (double[]){ 80, 80, 80, 80 });
  run (WARM_UP_STEPS);
  model.servers[0][0].slowness_percent = 400;
  model.servers[0][1].slowness_percent = 400;
  clear_counts ();
  run (STEPS);
  ck_assert_double_lt (share_bad (), 0.03);
  for (unsigned i = 1; i < 4; i++)
    ck_assert_double_lt (share_left (i), 0.02);
  end_model ();
}
END_TEST

START_TEST (the_leaving_share_follows_the_time_that_is_left)
{
  struct cp_lateness lateness = { .normal = 0, .slow = 0 };
  struct cp_prospect other = { .time = 0.3 };
  double before = 0;

  for (unsigned tenths = 1; tenths < 20; tenths++)
    {
      struct cp_prospect own = { .time = tenths / 10.0 };
      double share = cp_locality_leaving_share (&own, &other, &lateness);

      ck_assert_double_ge (share, before);
      ck_assert_double_le (share, 1);
      before = share;
    }
  ck_assert_double_eq (before, 1);
  other.time = INFINITY;
  ck_assert_double_eq (
      cp_locality_leaving_share (&(struct cp_prospect){ .time = 5 }, &other,
                                 &lateness),
      0);
  ck_assert_double_eq (cp_locality_leaving_share (
                           &(struct cp_prospect){ .time = INFINITY },
                           &(struct cp_prospect){ .time = 5 }, &lateness),
                       1);
}
END_TEST

START_TEST (a_slow_server_is_not_left_for_another_slow_one)
{
  struct cp_lateness lateness = { .normal = 0, .slow = 1 };
  struct cp_prospect own = { .time = 0.3, .slow = true };
  struct cp_prospect other = { .time = 0.3, .slow = true };

  ck_assert_double_eq (cp_locality_leaving_share (&own, &other, &lateness), 0);
  other.slow = false;
  ck_assert_double_gt (cp_locality_leaving_share (&own, &other, &lateness),
                       0.9);
  /* Some stay, to notice when its answers are in time again.  */
  ck_assert_double_lt (cp_locality_leaving_share (&own, &other, &lateness), 1);
}
END_TEST

START_TEST (a_full_server_is_left_only_for_one_with_room)
{
  struct cp_lateness lateness = { .normal = 0 };
  struct cp_prospect own = { .time = 0.3, .utilization = 1.1 };
  struct cp_prospect other = { .time = 0.3, .utilization = 0.9 };

  ck_assert_double_eq (cp_locality_leaving_share (&own, &other, &lateness), 0);
  other.utilization = 0.5;
  ck_assert_double_eq (cp_locality_leaving_share (&own, &other, &lateness), 1);
  own.utilization = 0.7;
  ck_assert_double_eq (cp_locality_leaving_share (&own, &other, &lateness), 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, traffic_stays_in_its_domain_under_ordinary_load);
  tcase_add_test (tests, a_full_domain_sheds_what_does_not_fit);
  tcase_add_test (tests, overload_everywhere_moves_little);
  tcase_add_test (tests,
                  a_dead_domain_is_served_by_the_others_until_it_returns);
  tcase_add_test (tests, one_slow_server_does_not_drive_traffic_out);
  tcase_add_test (tests, a_slow_only_server_is_left_and_taken_again);
  tcase_add_test (tests, slowness_that_delays_nobody_is_learned);
  tcase_add_test (tests, callers_without_a_server_in_their_domain_are_served);
  tcase_add_test (tests, a_small_domain_sheds_to_a_large_one);
  tcase_add_test (tests, a_burst_in_one_domain_is_spread);
  tcase_add_test (tests, a_domain_that_turns_slow_causes_no_herd);
  tcase_add_test (tests, the_leaving_share_follows_the_time_that_is_left);
  tcase_add_test (tests, a_slow_server_is_not_left_for_another_slow_one);
  tcase_add_test (tests, a_full_server_is_left_only_for_one_with_room);
}

int
main (void)
{
  return suite_run ("locality", add_tests, 20);
}

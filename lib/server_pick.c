/* The cost of servers, and the choice of one for a request.  */
#include <math.h>

#include "lib/server_pool.h"

/* Mean slowdown of a server during its warm-up: the servers of both users
   start at twice their usual service time (site files).  */
#define WARM_UP_COST_FACTOR 2.0

/* Expected wait, in service times, at a cold server that has used up its rate:
   longer than at any other.  It has its next turn after a tenth of a second
   and refuses most requests until then.  */
#define COLD_FULL_WAIT 20.0

/* Age from which only a quarter of a reported slowdown is counted: the
   slowness of both users' machines changes every 300 ms (site files).  */
#define SLOWNESS_MAX_AGE_US UINT64_C (400000)

/* Time in microseconds in which the failure average decays to 1/e, so that a
   server that failed is tried again within a few seconds.  */
#define FAILURE_DECAY_US 3e6

#define FAILURE_WEIGHT 0.2 /* weight of one attempt in the average */

/* A server that fails every attempt costs 1 + this times as much: a failure
   costs a retry on another server and time of the caller.  */
#define FAILURE_COST_FACTOR 10.0

/* Largest share of failures for which the expected time is that of all
   attempts until one succeeds.  */
#define FAILURE_SHARE_MAX 0.9

/* Duration of an unanswered ping that doubles the cost of a server; a round
   trip takes 2 ms.  */
#define PING_DELAY_COST_US 20000.0

/* Largest random addition to a cost, as a share of it.  */
#define RANDOM_COST_SHARE 0.1

/* Cost added at full utilization, to rank servers that have free slots.  */
#define UTILIZATION_COST 0.25

/* Servers compared per request.  If daemons with the same view all compared
   every server, they would send to the same few cheapest ones; of five random
   servers, at least one is not slow in 99 of 100 cases while a third of the
   machines is slow.  Source: M. Mitzenmacher, The Power of Two Choices in
   Randomized Load Balancing, IEEE Transactions on Parallel and Distributed
   Systems 12(10), 2001.  */
#define CANDIDATES_MAX 5

/* Slowdown from which a machine counts as slow.  */
#define SLOW_FACTOR 1.5

/* Differences in pace up to this factor are treated as noise.  */
#define PACE_NOISE_FACTOR 1.4

/* Age from which a report that a server is down has no effect.  Its daemon
   repeats the report each second while the server is down, so an older one is
   of a daemon that has ended or is frozen.  */
#define DOWN_MAX_AGE_US UINT64_C (2000000)

/* Returns the failure average, decayed to NOW_US.  */
static double
current_failure_share (const struct cp_server *server, uint64_t now_us)
{
  double age_us = (double)(now_us - server->failures_us);

  if (server->failures <= 0)
    return 0;
  return server->failures * exp (-age_us / FAILURE_DECAY_US);
}

void
cp_server_record_outcome (struct cp_server *server, bool failed,
                          uint64_t now_us)
{
  double before = current_failure_share (server, now_us);

  if (!failed && before == 0)
    return;
  server->failures = before + FAILURE_WEIGHT * ((failed ? 1.0 : 0.0) - before);
  server->failures_us = now_us;
}

/* Returns the slowdown factor of the server's machine.  */
static double
current_slowness (const struct cp_server *server, uint64_t now_us)
{
  double reported
      = (double)server->load.slowness_percent / CP_SLOWNESS_NORMAL_PERCENT;
  uint64_t age_us = now_us - server->load_us;

  if (server->load_us == 0)
    return 1;
  if (age_us >= SLOWNESS_MAX_AGE_US)
    return 1 + (reported - 1) * 0.25;
  return reported;
}

bool
cp_server_is_slow (const struct cp_server *server, uint64_t now_us)
{
  return current_slowness (server, now_us) >= SLOW_FACTOR;
}

uint64_t
cp_server_unanswered_ping_us (const struct cp_server *server, uint64_t now_us)
{
  if (server->ping_sent_us == NULL || *server->ping_sent_us == 0
      || *server->ping_sent_us > now_us)
    return 0;
  return now_us - *server->ping_sent_us;
}

/* Returns how many requests SERVER runs concurrently, at least 1.  */
static unsigned
concurrency_limit (const struct cp_server *server)
{
  unsigned limit
      = server->load.limit > 0 ? server->load.limit : server->capacity;

  return MAX (limit, 1U);
}

static unsigned
busy_slots (const struct cp_server *server)
{
  return server->load.running + server->load.queued + server->sent_since;
}

/* Returns whether SERVER is cold, by its entry or its last report.  */
static bool
is_cold (const struct cp_server *server, uint64_t now_us)
{
  return server->warm_until_us > now_us
         || server->load.cold_us > now_us - server->load_us;
}

/* Returns whether SERVER is cold and has used up its rate, so that a request
   would wait for the next token, or be refused.  */
static bool
is_cold_and_full (const struct cp_server *server)
{
  return server->load.cold_us > 0
         && busy_slots (server) >= concurrency_limit (server);
}

double
cp_server_utilization (const struct cp_server *server)
{
  unsigned busy = busy_slots (server) + is_cold_and_full (server);

  return (double)busy / concurrency_limit (server);
}

/* Returns how much longer SERVER takes than the fastest server of its
   service.  */
static double
relative_pace (const struct cp_server *server, double best_pace)
{
  if (best_pace <= 0
      || server->load.pace_permille <= best_pace * PACE_NOISE_FACTOR)
    return 1;
  return server->load.pace_permille / best_pace;
}

double
cp_server_cost (const struct cp_server *server,
                const struct cp_server_request *request, double best_pace)
{
  unsigned busy = busy_slots (server);
  unsigned limit = concurrency_limit (server);
  double cost = current_slowness (server, request->now_us);
  double wait = 0;

  cost *= relative_pace (server, best_pace);
  if (is_cold (server, request->now_us))
    cost *= WARM_UP_COST_FACTOR;
  if (is_cold_and_full (server))
    wait = COLD_FULL_WAIT;
  else if (busy >= limit)
    wait = (double)(busy + 1 - limit) / limit;
  cost *= 1 + wait + UTILIZATION_COST * MIN (1.0, (double)busy / limit);
  cost *= 1
          + FAILURE_COST_FACTOR
                * current_failure_share (server, request->now_us);
  cost *= 1
          + (double)cp_server_unanswered_ping_us (server, request->now_us)
                / PING_DELAY_COST_US;
  return cost;
}

double
cp_server_expected_time (const struct cp_server *server,
                         const struct cp_server_request *request,
                         double best_pace)
{
  double time_us
      = (double)request->work_us * relative_pace (server, best_pace);
  double failures = current_failure_share (server, request->now_us);

  if (is_cold (server, request->now_us))
    time_us *= WARM_UP_COST_FACTOR;
  time_us /= 1 - MIN (failures, FAILURE_SHARE_MAX);
  return time_us
         + (double)cp_server_unanswered_ping_us (server, request->now_us);
}

bool
cp_server_is_down (const struct cp_server *server, uint64_t now_us)
{
  return server->load.down && now_us - server->load_us < DOWN_MAX_AGE_US;
}

/* Returns whether the domain of SERVER may serve REQUEST.  DRAW is at least 0
   and below 1; a domain that returns is considered if its share is above.  */
static bool
is_in_eligible_domain (const struct cp_server *server,
                       const struct cp_server_request *request, double draw)
{
  if (cp_domain_share (server->domain, request->now_us) <= draw
      || !cp_domains_allow (&server->pool->domains, server->domain,
                            request->regions))
    return false;
  for (unsigned i = 0; i < request->n_refused; i++)
    if (request->refused[i] == server->domain)
      return false;
  return true;
}

static bool
is_candidate (const struct cp_server *server,
              const struct cp_server_request *request, double draw)
{
  if (!server->reachable || server->draining || server->leaving
      || server->said_leaving || server->replaced || server->superseded
      || cp_server_is_down (server, request->now_us)
      || !is_in_eligible_domain (server, request, draw))
    return false;
  for (unsigned i = 0; i < request->n_tried; i++)
    if (request->tried[i] == server)
      return false;
  return true;
}

/* Returns the lowest known pace of SERVERS, or BEST if that is lower; 0 stands
   for not known.  */
static unsigned
lower_pace (const GPtrArray *servers, unsigned best)
{
  for (unsigned i = 0; i < servers->len; i++)
    {
      const struct cp_server *server = servers->pdata[i];
      unsigned pace = server->load.pace_permille;

      if (pace > 0 && (best == 0 || pace < best))
        best = pace;
    }
  return best;
}

/* Swaps a randomly drawn server at or after INDEX to INDEX and returns it (a
   Fisher-Yates step); the order of the array has no meaning.  */
static struct cp_server *
draw_random (GPtrArray *servers, unsigned index,
             const struct cp_random *random)
{
  unsigned other
      = index + (unsigned)cp_random_below (random, servers->len - index);
  void *drawn = servers->pdata[other];

  servers->pdata[other] = servers->pdata[index];
  servers->pdata[index] = drawn;
  return drawn;
}

/* Returns the cheapest of a few randomly drawn SERVERS, or NULL when none is
   eligible.  */
static struct cp_server *
pick_cheapest (GPtrArray *servers, const struct cp_server_request *request,
               double draw, double best_pace, const struct cp_random *random)
{
  struct cp_server *best = NULL;
  double best_cost = 0;
  unsigned compared = 0;

  for (unsigned i = 0; i < servers->len && compared < CANDIDATES_MAX; i++)
    {
      struct cp_server *server = draw_random (servers, i, random);
      double cost;

      if (!is_candidate (server, request, draw))
        continue;
      compared++;
      cost = cp_server_cost (server, request, best_pace)
             * (1 + RANDOM_COST_SHARE * cp_random_unit (random));
      if (best == NULL || cost < best_cost)
        {
          best = server;
          best_cost = cost;
        }
    }
  return best;
}

/* Returns what is expected of SERVER, which may be NULL.  */
static struct cp_prospect
prospect (const struct cp_server *server,
          const struct cp_server_request *request, double best_pace)
{
  if (server == NULL)
    return (struct cp_prospect){ .time = INFINITY };
  return (struct cp_prospect){
    .time = cp_server_expected_time (server, request, best_pace)
            / (double)MAX (request->time_left_us, 1),
    .utilization = cp_server_utilization (server),
    .slow = cp_server_is_slow (server, request->now_us),
  };
}

/* Chooses from GROUP as cp_server_pool_pick does.  */
static struct cp_server *
pick_from (const struct cp_server_group *group,
           const struct cp_server_request *request, double draw,
           const struct cp_random *random)
{
  struct cp_server *own;
  struct cp_server *other;
  struct cp_prospect own_prospect;
  struct cp_prospect other_prospect;
  double best_pace;
  double leaving;

  best_pace = lower_pace (group->own, lower_pace (group->others, 0));
  own = pick_cheapest (group->own, request, draw, best_pace, random);
  other = pick_cheapest (group->others, request, draw, best_pace, random);
  own_prospect = prospect (own, request, best_pace);
  other_prospect = prospect (other, request, best_pace);
  leaving = cp_locality_leaving_share (&own_prospect, &other_prospect,
                                       request->lateness);
  return cp_random_unit (random) < leaving ? other : own;
}

struct cp_server *
cp_server_pool_pick (const struct cp_server_pool *pool,
                     const struct cp_server_request *request,
                     const struct cp_random *random)
{
  struct cp_server_group *group
      = cp_server_pool_group (pool, request->service);
  bool returning = request->now_us < pool->domains.returning_until_us;
  struct cp_server *server;

  if (group == NULL)
    return NULL;
  server = pick_from (group, request, returning ? cp_random_unit (random) : 0,
                      random);
  /* A request that has no other server considers all that return: a refusal
     is worse than a server that gets more than its share.  */
  if (server == NULL && returning && request->n_tried == 0)
    server = pick_from (group, request, 0, random);
  return server;
}

/* Counts the usable servers of SERVERS that are not evacuated in *STAYING,
   those of them that REQUEST may use in *ALLOWED, the others in *EVACUATED. */
static void
count_usable (const GPtrArray *servers,
              const struct cp_server_request *request, unsigned *staying,
              unsigned *allowed, unsigned *evacuated)
{
  for (unsigned i = 0; i < servers->len; i++)
    {
      const struct cp_server *server = servers->pdata[i];

      if (!cp_server_is_usable (server))
        continue;
      if (server->domain->evacuated)
        {
          ++*evacuated;
          continue;
        }
      ++*staying;
      *allowed += cp_domains_allow (&server->pool->domains, server->domain,
                                    request->regions);
    }
}

enum cp_pick_failure
cp_server_pool_explain (const struct cp_server_pool *pool,
                        const struct cp_server_request *request)
{
  const struct cp_server_group *group
      = cp_server_pool_group (pool, request->service);
  unsigned staying = 0;
  unsigned allowed = 0;
  unsigned evacuated = 0;

  if (group == NULL)
    return CP_PICK_NO_SERVER;
  count_usable (group->own, request, &staying, &allowed, &evacuated);
  count_usable (group->others, request, &staying, &allowed, &evacuated);
  if (staying > 0)
    return allowed > 0 ? CP_PICK_NO_SERVER : CP_PICK_REGION;
  return evacuated > 0 ? CP_PICK_EVACUATED : CP_PICK_NO_SERVER;
}

void
cp_server_pool_for_each_candidate (
    const struct cp_server_pool *pool, const struct cp_server_request *request,
    void (*visit) (void *context, const struct cp_server *server),
    void *context)
{
  const struct cp_server_group *group
      = cp_server_pool_group (pool, request->service);

  if (group == NULL)
    return;
  for (unsigned i = 0; i < group->own->len; i++)
    if (is_candidate (group->own->pdata[i], request, 0))
      visit (context, group->own->pdata[i]);
  for (unsigned i = 0; i < group->others->len; i++)
    if (is_candidate (group->others->pdata[i], request, 0))
      visit (context, group->others->pdata[i]);
}

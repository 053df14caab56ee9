#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lib/server_pool.h"

/* How much slower a server is while it warms up, on average over the time;
   both users' servers begin at twice their usual time (site files).  */
#define WARM_UP_FACTOR 2.0

/* A load report says little about the machine's slowness after this long:
   it changes each 300 ms on both users' machines (site files).  */
#define SLOWNESS_LIFE_US UINT64_C (400000)

/* Own failures are forgotten at this rate, in microseconds to 1/e, so that a
   server that failed is tried again within some seconds.  */
#define FAILURES_LIFE_US 3e6

#define FAILURE_WEIGHT 0.2 /* of one attempt in the moving share */

/* How many times as costly a server is that fails each attempt; a failure
   costs a repeat somewhere else, and the caller's patience.  */
#define FAILURE_COST 10.0

/* What crossing a failure domain costs, in usual service times: the way there
   and back, 1.8 ms of about 70, and the price of bytes, 8,100 a GB against
   about 1.5 for a request.  */
#define CROSSING_COST 0.03
#define CROSSING_COST_PER_BYTE (1.0 / 150000)

/* Silence of the daemon beside a server that doubles its cost; the way there
   and back takes 2 ms.  */
#define SILENCE_COST_US 20000.0

/* Share of the cost that is drawn at random.  */
#define SPREAD 0.1

/* Weight of busy slots among servers that have free ones.  */
#define BUSY_COST 0.25

/* Servers that are compared for one request.  Daemons that see the same few
   cheapest servers would all send there; of five drawn at random one is calm
   in 99 of 100 cases while a third of the machines is slow.
   Source: M. Mitzenmacher, The Power of Two Choices in Randomized Load
   Balancing, IEEE Transactions on Parallel and Distributed Systems 12(10),
   2001.  */
#define COMPARED_MOST 5

/* A pace within this factor of the best is taken for chance.  */
#define CHANCE_FACTOR 1.4

static void
server_free (struct cp_server *server)
{
  const struct cp_roster *roster = server->roster;

  roster->events->released (roster->context, server->owner);
  g_free (server->instance);
  g_free (server->service);
  g_free (server->domain);
  g_free (server);
}

struct cp_server *
cp_server_ref (struct cp_server *server)
{
  server->references++;
  return server;
}

void
cp_server_unref (struct cp_server *server)
{
  if (server != NULL && --server->references == 0)
    server_free (server);
}

void
cp_roster_init (struct cp_roster *roster, const char *domain,
                const struct cp_roster_events *events, void *context)
{
  *roster = (struct cp_roster){ .domain = g_strdup (domain),
                                .events = events,
                                .context = context };
  roster->instances = g_hash_table_new (g_str_hash, g_str_equal);
  roster->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_ptr_array_unref);
  roster->places = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)g_ptr_array_unref);
}

/* Adds SERVER to the array of KEY.  */
static void
file_under (GHashTable *arrays, const char *key, struct cp_server *server)
{
  GPtrArray *servers = g_hash_table_lookup (arrays, key);

  if (servers == NULL)
    {
      servers = g_ptr_array_new ();
      g_hash_table_insert (arrays, g_strdup (key), servers);
    }
  g_ptr_array_add (servers, server);
}

/* Finds out which of the servers at ADDRESS have ended.  One that another
   instance answered for tells nothing of the others: its time of birth was
   taken from another clock.  */
static void
settle (const struct cp_roster *roster, const char *address)
{
  GPtrArray *servers = g_hash_table_lookup (roster->places, address);
  uint64_t last_born_ms = 0;

  for (unsigned i = 0; i < servers->len; i++)
    {
      const struct cp_server *server = servers->pdata[i];

      if (!server->replaced)
        last_born_ms = MAX (last_born_ms, server->born_ms);
    }
  for (unsigned i = 0; i < servers->len; i++)
    {
      struct cp_server *server = servers->pdata[i];

      server->succeeded
          = server->born_ms != 0 && server->born_ms < last_born_ms;
    }
}

static GPtrArray *
servers_of (const struct cp_roster *roster, const char *service)
{
  return g_hash_table_lookup (roster->services, service);
}

static void
leave_place (struct cp_roster *roster, struct cp_server *server)
{
  GPtrArray *servers
      = g_hash_table_lookup (roster->places, server->address.text);

  g_ptr_array_remove_fast (servers, server);
  if (servers->len > 0)
    settle (roster, server->address.text);
  else
    g_hash_table_remove (roster->places, server->address.text);
}

static void
drop (struct cp_roster *roster, struct cp_server *server)
{
  GPtrArray *servers = servers_of (roster, server->service);

  g_hash_table_remove (roster->instances, server->instance);
  g_ptr_array_remove_fast (servers, server);
  leave_place (roster, server);
  roster->events->removed (roster->context, server);
  cp_server_unref (server);
}

void
cp_roster_finish (struct cp_roster *roster)
{
  GHashTableIter iter;
  void *value;

  for (;;)
    {
      g_hash_table_iter_init (&iter, roster->instances);
      if (!g_hash_table_iter_next (&iter, NULL, &value))
        break;
      drop (roster, value);
    }
  g_hash_table_unref (roster->instances);
  g_hash_table_unref (roster->services);
  g_hash_table_unref (roster->places);
  g_free (roster->domain);
}

static bool
same_incarnation (const struct cp_server *server,
                  const struct cp_server_entry *entry)
{
  return server->born_ms == entry->born_ms
         && strcmp (server->service, entry->service) == 0
         && strcmp (server->address.text, entry->address.text) == 0;
}

static struct cp_server *
add (struct cp_roster *roster, const struct cp_server_entry *entry)
{
  struct cp_server *server = g_new0 (struct cp_server, 1);

  server->references = 1;
  server->roster = roster;
  server->instance = g_strdup (entry->instance);
  server->service = g_strdup (entry->service);
  server->domain = g_strdup (entry->domain);
  server->same_domain = strcmp (entry->domain, roster->domain) == 0;
  server->address = entry->address;
  server->born_ms = entry->born_ms;
  server->load.slowness_percent = CP_SLOWNESS_USUAL;
  file_under (roster->services, server->service, server);
  file_under (roster->places, server->address.text, server);
  g_hash_table_insert (roster->instances, server->instance, server);
  return server;
}

void
cp_roster_update (struct cp_roster *roster,
                  const struct cp_server_entry *entry, uint64_t now_us)
{
  struct cp_server *server = cp_roster_find (roster, entry->instance);
  bool is_new = false;

  if (server != NULL && !same_incarnation (server, entry))
    {
      drop (roster, server);
      server = NULL;
    }
  if (server == NULL)
    {
      server = add (roster, entry);
      is_new = true;
    }
  server->capacity = entry->capacity;
  server->draining = entry->draining;
  server->replaced = false;
  server->gone_us = 0;
  server->warm_until_us = now_us + entry->warm_up_us;
  settle (roster, server->address.text);
  if (is_new)
    roster->events->added (roster->context, server);
}

void
cp_roster_remove (struct cp_roster *roster, const char *instance, bool unsure,
                  uint64_t now_us)
{
  struct cp_server *server = cp_roster_find (roster, instance);

  if (server == NULL)
    return;
  if (!unsure)
    drop (roster, server);
  else if (server->gone_us == 0)
    server->gone_us = now_us;
}

void
cp_roster_replaced (struct cp_roster *roster, struct cp_server *server)
{
  server->replaced = true;
  /* SERVER may have left the roster since it was asked.  */
  if (cp_roster_find (roster, server->instance) == server)
    settle (roster, server->address.text);
}

void
cp_roster_expire (struct cp_roster *roster, uint64_t before_us)
{
  GHashTableIter iter;
  void *value;
  bool found = true;

  while (found)
    {
      found = false;
      g_hash_table_iter_init (&iter, roster->instances);
      while (!found && g_hash_table_iter_next (&iter, NULL, &value))
        {
          struct cp_server *server = value;

          found = server->gone_us != 0 && server->gone_us < before_us;
          if (found)
            drop (roster, server);
        }
    }
}

struct cp_server *
cp_roster_find (const struct cp_roster *roster, const char *instance)
{
  return g_hash_table_lookup (roster->instances, instance);
}

struct cp_server *
cp_roster_at (const struct cp_roster *roster, const char *address)
{
  GPtrArray *servers = g_hash_table_lookup (roster->places, address);
  struct cp_server *found = NULL;

  for (unsigned i = 0; servers != NULL && i < servers->len; i++)
    {
      struct cp_server *server = servers->pdata[i];

      if (!server->succeeded
          && (found == NULL || found->draining
              || (!server->draining && server->born_ms > found->born_ms)))
        found = server;
    }
  return found;
}

unsigned
cp_roster_count (const struct cp_roster *roster)
{
  return g_hash_table_size (roster->instances);
}

void
cp_server_take_load (struct cp_server *server,
                     const struct cp_server_load *load, uint64_t now_us)
{
  server->load = *load;
  server->load_us = now_us;
  server->sent_since = 0;
}

/* Returns the moving share of failures, faded until NOW_US.  */
static double
failures_now (const struct cp_server *server, uint64_t now_us)
{
  double age_us = (double)(now_us - server->failures_us);

  if (server->failures <= 0)
    return 0;
  return server->failures * exp (-age_us / FAILURES_LIFE_US);
}

void
cp_server_count_end (struct cp_server *server, bool failed, uint64_t now_us)
{
  double before = failures_now (server, now_us);

  if (!failed && before == 0)
    return;
  server->failures = before + FAILURE_WEIGHT * ((failed ? 1.0 : 0.0) - before);
  server->failures_us = now_us;
}

/* Returns the factor by which the machine is slow now.  */
static double
slowness (const struct cp_server *server, uint64_t now_us)
{
  double said = (double)server->load.slowness_percent / CP_SLOWNESS_USUAL;
  uint64_t age_us = now_us - server->load_us;

  if (server->load_us == 0)
    return 1;
  if (age_us >= SLOWNESS_LIFE_US)
    return 1 + (said - 1) * 0.25;
  return said;
}

uint64_t
cp_server_silent_us (const struct cp_server *server, uint64_t now_us)
{
  if (server->asked_us == NULL || *server->asked_us == 0
      || *server->asked_us > now_us)
    return 0;
  return now_us - *server->asked_us;
}

/* Returns how many requests run at SERVER at once, at least 1.  */
static unsigned
limit_of (const struct cp_server *server)
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

double
cp_server_busy (const struct cp_server *server)
{
  return (double)busy_slots (server) / limit_of (server);
}

double
cp_server_cost (const struct cp_server *server,
                const struct cp_server_wish *wish, double usual_pace)
{
  unsigned busy = busy_slots (server);
  unsigned limit = limit_of (server);
  double cost = slowness (server, wish->now_us);
  double wait = 0;

  if (usual_pace > 0
      && server->load.pace_permille > usual_pace * CHANCE_FACTOR)
    cost *= server->load.pace_permille / usual_pace;
  if (server->warm_until_us > wish->now_us)
    cost *= WARM_UP_FACTOR;
  if (busy >= limit)
    wait = (double)(busy + 1 - limit) / limit;
  cost *= 1 + wait + BUSY_COST * MIN (1.0, (double)busy / limit);
  cost *= 1 + FAILURE_COST * failures_now (server, wish->now_us);
  cost *= 1
          + (double)cp_server_silent_us (server, wish->now_us)
                / SILENCE_COST_US;
  if (!server->same_domain)
    cost += CROSSING_COST + CROSSING_COST_PER_BYTE * (double)wish->bytes;
  return cost;
}

static bool
is_candidate (const struct cp_server *server,
              const struct cp_server_wish *wish)
{
  if (!server->reachable || server->draining || server->leaving
      || server->replaced || server->succeeded)
    return false;
  for (unsigned i = 0; i < wish->n_tried; i++)
    if (wish->tried[i] == server)
      return false;
  return true;
}

/* Returns the best pace known of SERVERS, 0 when none is.  */
static double
usual_pace_of (const GPtrArray *servers)
{
  unsigned least = 0;

  for (unsigned i = 0; i < servers->len; i++)
    {
      const struct cp_server *server = servers->pdata[i];
      unsigned pace = server->load.pace_permille;

      if (pace > 0 && (least == 0 || pace < least))
        least = pace;
    }
  return least;
}

/* Moves a server drawn from those at INDEX and behind it to INDEX, and returns
   it; their order means nothing.  */
static struct cp_server *
draw (GPtrArray *servers, unsigned index, const struct cp_random *random)
{
  unsigned other
      = index + (unsigned)cp_random_below (random, servers->len - index);
  void *drawn = servers->pdata[other];

  servers->pdata[other] = servers->pdata[index];
  servers->pdata[index] = drawn;
  return drawn;
}

struct cp_server *
cp_roster_pick (const struct cp_roster *roster,
                const struct cp_server_wish *wish,
                const struct cp_random *random)
{
  GPtrArray *servers = servers_of (roster, wish->service);
  struct cp_server *best = NULL;
  double best_cost = 0;
  double usual_pace;
  unsigned compared = 0;

  if (servers == NULL)
    return NULL;
  usual_pace = usual_pace_of (servers);
  for (unsigned i = 0; i < servers->len && compared < COMPARED_MOST; i++)
    {
      struct cp_server *server = draw (servers, i, random);
      double cost;

      if (!is_candidate (server, wish))
        continue;
      compared++;
      cost = cp_server_cost (server, wish, usual_pace)
             * (1 + SPREAD * cp_random_unit (random));
      if (best == NULL || cost < best_cost)
        {
          best = server;
          best_cost = cost;
        }
    }
  return best;
}

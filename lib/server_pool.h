/* The servers of all services, what is known of each, and the choice of one.

   Cost of a server is the time that a request is expected to take there, in
   units of what it takes on a calm one: the server's own word on how slow its
   machine is now, its measured service times against those of its kin, its
   warm-up, the wait for a slot, and its recent failures at this daemon.  What
   crossing a failure domain costs is added.  An address has one server: of
   several entries with the same address, all but the one that was born last
   are of servers that have ended.  The cheapest of a few drawn at
   random is taken, and costs are spread by a random share, so that daemons
   that see the same do not all choose the same one.  Pure; not thread-safe. */
#ifndef CP_SERVER_POOL_H
#define CP_SERVER_POOL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/address.h"
#include "lib/clock.h"

#define CP_SLOWNESS_NORMAL_PERCENT 100 /* percent */

/* What the platform says of a server.  */
struct cp_server_entry
{
  const char *instance;
  const char *service;
  const char *domain; /* failure domain */
  struct cp_address address;
  uint64_t born_ms; /* its start; tells incarnations of one instance apart */
  unsigned capacity;
  uint64_t warm_up_us; /* how much longer it is slow after its start */
  bool draining;
};

/* What the inbound side beside a server says of it.  */
struct cp_server_load
{
  unsigned running;
  unsigned queued;
  unsigned limit; /* that run at once; 0 when nothing is known */
  unsigned slowness_percent;
  unsigned pace_permille; /* moving mean of service times as a share of the
                             requests' objectives, with the machine's slowness
                             taken out; 0 when nothing is known */
};

struct cp_server_pool;

struct cp_server
{
  char *instance;
  char *service;
  char *domain;
  struct cp_address address;
  uint64_t born_ms;
  unsigned capacity;
  uint64_t warm_until_us;
  bool same_domain;
  bool draining;
  bool replaced;   /* another instance answered at its address */
  bool superseded; /* a server that was born later is at its address */
  bool leaving;    /* the daemon beside it goes away */
  bool reachable;  /* there is a way to the daemon beside it */
  uint64_t missing_since_us; /* when its entry went while that proves nothing,
                                or 0 */
  struct cp_server_load load;
  uint64_t load_us;    /* when LOAD was taken */
  unsigned sent_since; /* own attempts since then */
  unsigned own_in_flight;
  double failures;      /* moving share of own attempts */
  uint64_t failures_us; /* when it was last moved */
  unsigned references;  /* of attempts, and one of the roster */
  const struct cp_server_pool *pool;
  const uint64_t *ping_sent_us; /* when the daemon beside it was asked for a
                               sign of life that has not come, or 0; NULL when
                               it needs none */
  void *user_data;              /* of whoever keeps the way to it */
};

struct cp_server_pool_events
{
  void (*added) (void *context, struct cp_server *server);
  void (*removed) (void *context, struct cp_server *server);

  /* Nobody refers to a removed server any more; OWNER is its own.  */
  void (*released) (void *context, void *user_data);
};

struct cp_server_pool
{
  char *domain; /* the daemon's own */
  GHashTable *by_instance;
  GHashTable *by_service; /* name to GPtrArray */
  GHashTable *by_address; /* address to GPtrArray */
  const struct cp_server_pool_events *events;
  void *context;
};

/* What a server is wanted for.  */
struct cp_server_request
{
  const char *service;
  uint64_t now_us;
  uint64_t bytes; /* of the request and its answer */
  struct cp_server *const *tried;
  unsigned n_tried;
};

void cp_server_pool_init (struct cp_server_pool *pool, const char *domain,
                          const struct cp_server_pool_events *events,
                          void *context);
void cp_server_pool_finish (struct cp_server_pool *pool);

/* Takes the newest word on a server.  Another incarnation of an instance
   begins with nothing known.  */
void cp_server_pool_update (struct cp_server_pool *pool,
                            const struct cp_server_entry *entry,
                            uint64_t now_us);

/* The entry of INSTANCE went.  When UNSURE, the server is kept until
   cp_server_pool_expire.  */
void cp_server_pool_remove (struct cp_server_pool *pool, const char *instance,
                            bool unconfirmed, uint64_t now_us);

/* Another instance than SERVER answered at its address.  */
void cp_server_pool_mark_replaced (struct cp_server_pool *pool,
                                   struct cp_server *server);

/* Removes those whose entry went before BEFORE_US and has not come back.  */
void cp_server_pool_expire (struct cp_server_pool *pool, uint64_t before_us);

struct cp_server *cp_server_pool_find (const struct cp_server_pool *pool,
                                       const char *instance);

/* Returns the server at ADDRESS that is not draining and was born last, else
   one that is draining, or NULL.  */
struct cp_server *cp_server_pool_find_at (const struct cp_server_pool *pool,
                                          const char *address);

unsigned cp_server_pool_count (const struct cp_server_pool *pool);

/* Returns the server that WISH should go to, or NULL when there is none.  */
struct cp_server *cp_server_pool_pick (const struct cp_server_pool *pool,
                                       const struct cp_server_request *request,
                                       const struct cp_random *random);

/* Returns what the cost of SERVER is, for the log; see above.  */
double cp_server_cost (const struct cp_server *server,
                       const struct cp_server_request *request,
                       double best_pace);

void cp_server_set_load (struct cp_server *server,
                         const struct cp_server_load *load, uint64_t now_us);

/* Returns how long the daemon beside SERVER owes a sign of life.  */
uint64_t cp_server_unanswered_ping_us (const struct cp_server *server,
                                       uint64_t now_us);

/* Returns the share of SERVER's slots that are busy or waited for.  */
double cp_server_utilization (const struct cp_server *server);

/* Counts the end of an own attempt.  */
void cp_server_record_outcome (struct cp_server *server, bool failed,
                               uint64_t now_us);

struct cp_server *cp_server_ref (struct cp_server *server);
void cp_server_unref (struct cp_server *server);

#endif

/* Load balancing: the servers of all services, their state and the choice of
   one for each request.

   The cost of a server is the time that a request is expected to take there,
   relative to a lightly loaded server of the service.  It combines the machine
   slowness that the server's daemon reports, the measured service times
   compared with those of the other servers of the service, warm-up, the
   expected wait for a slot, recent failures of this daemon's own attempts and
   an unanswered ping.

   An address has one server: of several entries with the same address, all but
   the most recently started are stale entries of servers that have ended.

   In the caller's failure domain and in the others, the cheapest of a few
   randomly drawn servers is a candidate; lib/locality.h says which of the two
   is chosen.  A random share is added to each cost, so that daemons with the
   same view do not all choose the same server.

   Servers of evacuated domains, and of regions that the request's route does
   not allow, are not eligible; see lib/domains.h.

   Performs no I/O; not thread-safe.  */
#ifndef CP_SERVER_POOL_H
#define CP_SERVER_POOL_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/address.h"
#include "lib/clock.h"
#include "lib/domains.h"
#include "lib/locality.h"

#define CP_SLOWNESS_NORMAL_PERCENT 100 /* of a machine at its normal speed */

/* A server as the platform lists it.  */
struct cp_server_entry
{
  const char *instance;
  const char *service;
  const char *domain; /* failure domain */
  struct cp_address address;
  uint64_t born_ms; /* start time; tells incarnations apart */
  unsigned capacity;
  uint64_t warm_up_us;  /* remaining warm-up time */
  bool warm_up_unknown; /* the entry does not give it */
  bool draining;
  uint64_t changed_us; /* when it was written, at the earliest */
};

/* Load of a server, as reported by the daemon on its VM.  */
struct cp_server_load
{
  unsigned running;
  unsigned queued;
  unsigned limit; /* maximum concurrent requests; 0 when not known */
  unsigned slowness_percent;
  unsigned pace_permille; /* moving mean of service times as a share of the
                             requests' objectives, with the machine's slowness
                             factored out; 0 when not known */
  bool leaving;           /* the server has said that it is about to end */
  bool down;              /* the server refuses connections */
  uint64_t cold_us;       /* remaining warm-up time; 0 when warm */
};

struct cp_server_pool;

struct cp_server
{
  char *instance;
  uint64_t id; /* cp_server_id of INSTANCE */
  char *service;
  const struct cp_domain *domain;
  struct cp_address address;
  uint64_t born_ms;
  unsigned capacity;
  uint64_t warm_until_us; /* by its entries; 0 for warm */
  bool warm_up_unknown;   /* no entry has given that */
  bool same_domain;
  bool draining;
  bool replaced;     /* another instance answered at its address */
  bool superseded;   /* a server with a later start time has its address */
  bool leaving;      /* the daemon on its VM is shutting down */
  bool said_leaving; /* it has itself said that it is about to end; the daemon
                        on its VM may forget that, this incarnation cannot
                        take it back */
  bool linked;       /* a link to the daemon on its VM is kept */
  bool reachable;    /* that link is up */
  bool link_failed;  /* it could not be opened again after it broke */
  uint64_t rank;     /* rendezvous hash weight, for the choice of links */
  uint64_t kept_until_us; /* its entry disappeared without proof that the
                             server is gone, and it is removed then; or 0 */
  struct cp_server_load load;
  uint64_t load_us;    /* when LOAD was received, 0 for never */
  unsigned sent_since; /* own attempts sent since LOAD was received */
  unsigned own_in_flight;
  double failures; /* moving average of the failed share of own attempts */
  uint64_t failures_us; /* when it was last updated */
  unsigned references;  /* held by attempts, and one by the pool */
  const struct cp_server_pool *pool;
  const uint64_t *ping_sent_us; /* when the unanswered ping to its daemon was
                                   sent, or 0; NULL when it is not pinged */
  void *user_data;              /* for the user of the pool */
};

struct cp_server_pool_events
{
  void (*added) (void *context, struct cp_server *server);
  void (*removed) (void *context, struct cp_server *server);

  /* A link to the daemon on the VM of SERVER is wanted, or no longer.  */
  void (*linked) (void *context, struct cp_server *server);
  void (*unlinked) (void *context, struct cp_server *server);

  /* The last reference to a removed server was dropped; USER_DATA is that of
     the server.  */
  void (*released) (void *context, void *user_data);
};

struct cp_server_pool
{
  struct cp_domains domains;
  uint64_t seed; /* of the rendezvous hash, from this daemon's name */
  GHashTable *by_instance;
  GHashTable *by_id;      /* cp_server_id to server */
  GHashTable *by_service; /* service name to struct cp_server_group */
  GHashTable *by_address; /* address to GPtrArray of servers */
  const struct cp_server_pool_events *events;
  void *context;
};

/* The servers of a service, inside and outside our failure domain.  */
struct cp_server_group
{
  GPtrArray *own;
  GPtrArray *others;
};

/* The request for which a server is chosen.  */
struct cp_server_request
{
  const char *service;
  uint64_t now_us;
  uint64_t work_us;      /* its usual time at a server that is not slow */
  uint64_t time_left_us; /* time in which the answer should arrive */
  const struct cp_lateness *lateness; /* of its route */
  char *const *regions; /* that its route allows, see cp_domains_allow */
  /* Domains that have refused it since they are evacuated.  */
  const struct cp_domain *const *refused;
  unsigned n_refused;
  struct cp_server *const *tried;
  unsigned n_tried;
};

/* SELF is a name of this daemon that no other has.  */
void cp_server_pool_init (struct cp_server_pool *pool, const char *domain,
                          const char *self,
                          const struct cp_server_pool_events *events,
                          void *context);
void cp_server_pool_finish (struct cp_server_pool *pool);

/* Adds a server or updates it from its newest entry.  When the entry is of
   another incarnation of the instance, the server is replaced by a new one
   without load or failure history.  */
void cp_server_pool_update (struct cp_server_pool *pool,
                            const struct cp_server_entry *entry,
                            uint64_t now_us);

/* Handles the disappearance of the entry of INSTANCE.  The server is removed
   at KEEP_UNTIL_US, by cp_server_pool_expire; at once if that is 0.  */
void cp_server_pool_remove (struct cp_server_pool *pool, const char *instance,
                            uint64_t keep_until_us);

/* Marks SERVER as replaced: another instance answered at its address.  */
void cp_server_pool_mark_replaced (struct cp_server_pool *pool,
                                   struct cp_server *server);

/* Removes the servers whose entry disappeared, has not come back, and that
   were to be kept until NOW_US at the latest.  Returns whether there were any.
 */
bool cp_server_pool_expire (struct cp_server_pool *pool, uint64_t now_us);

struct cp_server *cp_server_pool_find (const struct cp_server_pool *pool,
                                       const char *instance);

/* Returns a number that stands for INSTANCE in load reports, a 64-bit hash of
   the name.  */
uint64_t cp_server_id (const char *instance);
struct cp_server *cp_server_pool_find_id (const struct cp_server_pool *pool,
                                          uint64_t id);

/* Returns the server at ADDRESS, preferring one that is not draining and then
   the latest start time, or NULL.  */
struct cp_server *cp_server_pool_find_at (const struct cp_server_pool *pool,
                                          const char *address);

struct cp_server_group *
cp_server_pool_group (const struct cp_server_pool *pool, const char *service);

/* Chooses the servers to which links are kept, and reports the changes: all
   servers of the own failure domain, and of each service a few of the others
   with the highest rendezvous hash weights, so that their number does not grow
   with that of the servers and every server is linked by about as many
   daemons.  Where regions are known, a few of these are in each region, for
   the routes that allow only one.  A server that is lost is replaced by the
   next in rank.  Source: D. Thaler and C. Ravishankar, Using Name-Based
   Mappings to Increase Hit Rates, IEEE/ACM Transactions on Networking 6(1),
   1998.  */
void cp_server_pool_update_links (const struct cp_server_pool *pool);

unsigned cp_server_pool_count (const struct cp_server_pool *pool);

/* Chooses a server for REQUEST.  Returns NULL when none is eligible.  */
struct cp_server *cp_server_pool_pick (const struct cp_server_pool *pool,
                                       const struct cp_server_request *request,
                                       const struct cp_random *random);

/* Why no server was eligible.  */
enum cp_pick_failure
{
  CP_PICK_NO_SERVER, /* there is none, or none is reachable */
  CP_PICK_EVACUATED, /* all are in evacuated domains */
  CP_PICK_REGION     /* those that are not evacuated are in other regions */
};

/* Returns why cp_server_pool_pick found no server for a REQUEST that was not
   sent yet.  */
enum cp_pick_failure
cp_server_pool_explain (const struct cp_server_pool *pool,
                        const struct cp_server_request *request);

/* Returns whether SERVER may be sent requests, or will be when its link is up,
   unless its domain is evacuated.  */
bool cp_server_is_usable (const struct cp_server *server);

/* Returns how many servers DOMAIN has.  */
unsigned cp_server_pool_count_in (const struct cp_server_pool *pool,
                                  const struct cp_domain *domain);

/* Calls VISIT for each server that REQUEST may be sent to.  */
void cp_server_pool_for_each_candidate (
    const struct cp_server_pool *pool, const struct cp_server_request *request,
    void (*visit) (void *context, const struct cp_server *server),
    void *context);

/* Returns the cost of SERVER as described above, for the log.  BEST_PACE is
   the lowest known pace_permille among the servers of the service, or 0.  */
double cp_server_cost (const struct cp_server *server,
                       const struct cp_server_request *request,
                       double best_pace);

void cp_server_set_load (struct cp_server *server,
                         const struct cp_server_load *load, uint64_t now_us);

/* Returns the time until SERVER is expected to answer REQUEST if its machine
   is not slow and a slot is free, in microseconds.  BEST_PACE is as above.  */
double cp_server_expected_time (const struct cp_server *server,
                                const struct cp_server_request *request,
                                double best_pace);

/* Returns whether the machine of SERVER is slow, by its last report.  */
bool cp_server_is_slow (const struct cp_server *server, uint64_t now_us);

/* Returns whether SERVER refuses connections, by a report of the last two
   seconds.  */
bool cp_server_is_down (const struct cp_server *server, uint64_t now_us);

/* Returns how long a ping to the daemon on the VM of SERVER has been
   unanswered.  */
uint64_t cp_server_unanswered_ping_us (const struct cp_server *server,
                                       uint64_t now_us);

/* Returns running, queued and newly sent requests as a share of SERVER's
   limit; exceeds 1 when requests wait.  */
double cp_server_utilization (const struct cp_server *server);

/* Updates the failure average with the result of an own attempt.  */
void cp_server_record_outcome (struct cp_server *server, bool failed,
                               uint64_t now_us);

struct cp_server *cp_server_ref (struct cp_server *server);
void cp_server_unref (struct cp_server *server);

#endif

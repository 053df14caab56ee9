/* The document, the members of the fleet and their exchange: parts of a daemon
   that keep it in step with the others.  */
#ifndef CORNELPICKD_FLEET_H
#define CORNELPICKD_FLEET_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/address.h"
#include "lib/chart.h"
#include "lib/clock.h"
#include "lib/document.h"
#include "lib/error.h"
#include "lib/members.h"
#include "lib/sections.h"
#include "lib/watchers.h"

struct daemon;

/* worker.c: a thread that waits between pieces of work.  The lock is also that
   of the data it works on.  */
struct worker
{
  const struct cp_clock *clock;
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  bool running;
  bool stop;
};

/* Prepares the lock, so that it can be used before the thread runs.  */
void worker_init (struct worker *worker, const struct cp_clock *clock);

/* Starts the thread.  NAME is used in messages.  */
int worker_start (struct worker *worker, const char *name,
                  void *(*run) (void *context), void *context,
                  struct cp_error *error);

/* Ends the thread, if it runs, and waits for it.  */
void worker_stop (struct worker *worker);

/* Waits until UNTIL_US, a wake-up or the stop, with the lock held.  Returns
   whether to go on.  */
bool worker_wait (struct worker *worker, uint64_t until_us);

/* Wakes all that wait; the lock is held.  */
void worker_wake (struct worker *worker);

/* configuration.c: the document in force.  The chart configuration.json tells
   how far it can be relied on.  */
enum configuration_state
{
  CONFIGURATION_EMPTY,        /* nothing was taken yet */
  CONFIGURATION_UNCONFIGURED, /* peers and service were silent for long */
  CONFIGURATION_CURRENT,
  CONFIGURATION_UNVERIFIED, /* after a pause, until somebody confirmed it */
  CONFIGURATION_STATE_COUNT
};

enum configuration_event
{
  CONFIGURATION_ACCEPT,
  CONFIGURATION_REFUSE,
  CONFIGURATION_TIMEOUT,
  CONFIGURATION_PAUSE,
  CONFIGURATION_VERIFY,
  CONFIGURATION_EVENT_COUNT
};

struct configuration
{
  struct daemon *daemon;
  struct cp_document *current; /* through RCU */
  struct worker watch;         /* its lock guards all below */
  struct worker heartbeat;
  struct cp_chart chart;
  int state;
  uint64_t heartbeat_us; /* when the pulse was last seen; atomic */
  struct cp_sections sections;
  uint64_t accepted_us;
  char refusal[512];  /* why a newer document is not in force */
  bool peers_queried; /* a fresh daemon asks peers before the service */
  bool watching;      /* elected */
  unsigned read_failures;
};

/* Prepares the parts that others use.  */
int configuration_init (struct configuration *configuration,
                        struct daemon *daemon, struct cp_error *error);
int configuration_start (struct configuration *configuration,
                         struct cp_error *error);
void configuration_stop (struct configuration *configuration);

/* Returns the document in force with a reference that the caller owns, or
   NULL before the first.  */
struct cp_document *configuration_get (struct configuration *configuration);

/* Takes what is newer in OFFER, which came from SOURCE.  */
enum cp_take configuration_take (struct configuration *configuration,
                                 const char *source,
                                 const struct cp_offer *offer);

/* Peers were asked: the service may be read, and what is held served.  */
void configuration_peers_queried (struct configuration *configuration);

/* Somebody confirmed that what is held is not old.  */
void configuration_verified (struct configuration *configuration);

enum configuration_state
configuration_state (struct configuration *configuration);

/* Steps the chart; the lock is held.  */
bool configuration_step (struct configuration *configuration,
                         enum configuration_event event);
json_t *configuration_dump (struct configuration *configuration);

/* configuration_watch.c: reads of the configuration service.  */
void *configuration_watch (void *context);

/* Fills in what the intervals of reading follow from.  */
void configuration_read_parameters (struct configuration *configuration,
                                    struct cp_reads *reads);

/* configuration_pause.c: pauses of this process.  */
void *configuration_heartbeat (void *context);

/* Waits, for a short bounded time, until the view may be answered from: it is
   not when this process was paused and nobody has confirmed the view since. */
bool configuration_usable (struct configuration *configuration);

/* members.c: who is in the fleet.  */
struct members
{
  struct daemon *daemon;
  struct worker reader; /* its lock guards all below */
  struct cp_members table;
  uint64_t list_bytes;
  bool list_read_done; /* the first read of the list has ended */
  unsigned read_failures;
  bool leaving; /* the list says that this VM leaves */
};

int members_init (struct members *members, struct daemon *daemon);
int members_start (struct members *members, struct cp_error *error);
void members_stop (struct members *members);
void members_finish (struct members *members);

/* Returns whether the IP number belongs to the document or the VM list.  */
bool members_known (struct members *members, const char *ip);

/* Returns whether the VM list says that this VM leaves.  */
bool members_leaving (struct members *members);

void members_take_document (struct members *members,
                            const struct cp_document *document);
json_t *members_dump (struct members *members);

/* spread.c: exchange of digests and sections with peers.  */
#define SPREAD_PULLS_MAX 8
#define SPREAD_UNPRODUCTIVE_MAX 8

struct spread_pull
{
  struct cp_address address;
  uint64_t root;
};

struct spread
{
  struct daemon *daemon;
  struct worker worker; /* its lock guards all below */
  struct spread_pull pulls[SPREAD_PULLS_MAX];
  unsigned n_pulls;
  uint64_t unproductive[SPREAD_UNPRODUCTIVE_MAX]; /* roots that held nothing
                                                     newer */
  unsigned n_unproductive;
  bool push;
  bool verify;
};

void spread_init (struct spread *spread, struct daemon *daemon);
int spread_start (struct spread *spread, struct cp_error *error);
void spread_stop (struct spread *spread);

/* Tells some peers soon: something changed here.  */
void spread_schedule_push (struct spread *spread);

/* Asks peers soon whether what is held is not old.  */
void spread_schedule_verify (struct spread *spread);

/* A peer has told the digest ROOT; it is asked for the whole if need be.  */
void spread_handle_digest (struct spread *spread,
                           const struct cp_address *peer, uint64_t version,
                           uint64_t root);

/* spread_rpc.c: the messages of the exchange.  */

/* Answers calls on behalf of DAEMON from now on.  */
void spread_rpc_init (struct daemon *daemon);

/* What a peer answered to a digest.  */
struct spread_answer
{
  uint64_t version;
  uint64_t root;
  bool current;
};

/* Sends the short digest by UDP.  Returns false when there was no answer
   within TIMEOUT_US; the members learn either way.  */
bool spread_exchange (struct spread *spread, const struct cp_address *peer,
                      uint64_t timeout_us, struct spread_answer *answer);

/* Takes what PEER holds and this daemon lacks, by TCP.  Returns false when
   there was no answer.  */
bool spread_fetch (struct spread *spread, const struct cp_address *peer,
                   uint64_t timeout_us, enum cp_take *result);

/* Returns the root of what is held.  */
uint64_t spread_digest_root (struct spread *spread, uint64_t *version);

#endif

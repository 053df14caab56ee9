/* Control part of a daemon: the configuration document, the members of the
   fleet, and the exchange of both with other daemons.  */
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

/* worker.c: a thread that sleeps until a time or a wake-up.  The lock also
   guards the data that the thread works on.  */
struct worker
{
  const struct cp_clock *clock;
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  bool running;
  bool stop;
};

/* Initializes the lock, which can be used before the thread runs.  */
void worker_init (struct worker *worker, const struct cp_clock *clock);

/* Starts the thread.  NAME appears in the error message.  */
int worker_start (struct worker *worker, const char *name,
                  void *(*run) (void *context), void *context,
                  struct cp_error *error);

/* Stops the thread, if it runs, and joins it.  */
void worker_stop (struct worker *worker);

/* Waits until UNTIL_US, a wake-up or worker_stop; the lock is held.  Returns
   false when the thread has to end.  */
bool worker_wait (struct worker *worker, uint64_t until_us);

/* Wakes all threads that wait; the lock is held.  */
void worker_wake (struct worker *worker);

/* configuration.c: the document in force.  The state, with the transitions of
   the state chart configuration.json, tells whether it can be relied on.  */
enum configuration_state
{
  CONFIGURATION_EMPTY,        /* no document yet */
  CONFIGURATION_UNCONFIGURED, /* still none 5 s after the start */
  CONFIGURATION_CURRENT,
  CONFIGURATION_UNVERIFIED, /* after a pause of the process, until a peer
                               or the service confirms the document */
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
  struct cp_document *current; /* published through RCU */
  struct worker watch;         /* its lock guards the fields below */
  struct worker heartbeat;     /* detects pauses of the process */
  struct cp_chart chart;
  int state;
  uint64_t heartbeat_us; /* last run of the heartbeat thread; atomic */
  struct cp_sections sections;
  uint64_t accepted_us;
  char refusal[512];  /* why a newer document is not in force */
  bool peers_queried; /* the queries to peers at the start have ended */
  bool watching;      /* elected to read the service often */
  unsigned read_failures;
};

/* Initializes what can be used before the threads run.  */
int configuration_init (struct configuration *configuration,
                        struct daemon *daemon, struct cp_error *error);
int configuration_start (struct configuration *configuration,
                         struct cp_error *error);
void configuration_stop (struct configuration *configuration);

/* Returns a new reference to the document in force, or NULL when there is
   none.  */
struct cp_document *configuration_get (struct configuration *configuration);

/* Merges the newer sections of OFFER, which came from SOURCE, and puts the
   resulting document in force.  */
enum cp_apply_result configuration_take (struct configuration *configuration,
                                         const char *source,
                                         const struct cp_offer *offer);

/* Records that the queries to peers at the start have ended: the service may
   be read, and the document, if there is one, be served.  */
void configuration_peers_queried (struct configuration *configuration);

/* Records that a peer or the service confirmed that the document is not
   outdated.  */
void configuration_verified (struct configuration *configuration);

enum configuration_state
configuration_state (struct configuration *configuration);

/* Applies EVENT to the state chart; the lock is held.  Returns false when the
   chart does not allow it.  */
bool configuration_step (struct configuration *configuration,
                         enum configuration_event event);
json_t *configuration_dump (struct configuration *configuration);

/* configuration_watch.c: the thread that reads the configuration service.  */
void *configuration_watch (void *context);

/* Fills in READS, from which the intervals between reads are computed.  */
void configuration_read_parameters (struct configuration *configuration,
                                    struct cp_read_budget *reads);

/* configuration_pause.c: the thread that detects pauses of this process.  */
void *configuration_heartbeat (void *context);

/* Returns whether calls may be routed by the document: not when this process
   was paused and nobody has confirmed the document since.  Waits for that at
   most 1 s.  */
bool configuration_usable (struct configuration *configuration);

/* members.c: the members of the fleet and the reads of the VM list.  */
struct members
{
  struct daemon *daemon;
  struct worker reader; /* its lock guards the fields below */
  struct cp_members table;
  uint64_t list_bytes;
  bool list_read_done; /* the first read has ended, whatever its result */
  unsigned read_failures;
  bool leaving; /* the list marks this VM as leaving; atomic */
};

int members_init (struct members *members, struct daemon *daemon);
int members_start (struct members *members, struct cp_error *error);
void members_stop (struct members *members);
void members_finish (struct members *members);

/* Returns whether IP is the address of a member, by the document or the VM
   list.  */
bool members_known (struct members *members, const char *ip);

/* Returns whether the VM list marks this VM as leaving.  */
bool members_leaving (struct members *members);

void members_take_document (struct members *members,
                            const struct cp_document *document);
json_t *members_dump (struct members *members);

/* spread.c: exchange of digests and sections with peers.  */
#define SPREAD_PULLS_MAX 8
#define SPREAD_UNPRODUCTIVE_MAX 8

/* A peer to fetch from, with the root of its digest.  */
struct spread_pull
{
  struct cp_address address;
  uint64_t root;
};

struct spread
{
  struct daemon *daemon;
  struct worker worker; /* its lock guards the fields below */
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

/* Makes the thread send the digest to some peers, after a change here.  */
void spread_schedule_push (struct spread *spread);

/* Makes the thread ask peers whether the document is outdated.  */
void spread_schedule_verify (struct spread *spread);

/* Handles a digest of PEER with VERSION and ROOT: schedules a fetch when PEER
   may have something newer.  */
void spread_handle_digest (struct spread *spread,
                           const struct cp_address *peer, uint64_t version,
                           uint64_t root);

/* spread_rpc.c: the RPC calls of the exchange.  */

/* Sets the daemon whose data the RPC procedures serve.  */
void spread_rpc_init (struct daemon *daemon);

/* Answer of a peer to a digest.  */
struct spread_answer
{
  uint64_t version;
  uint64_t root;
  bool current; /* its configuration is in the state "current" */
};

/* Sends the digest without entries by UDP.  Returns false when there was no
   answer within TIMEOUT_US.  The member table records the answer or that it
   is missing.  */
bool spread_exchange (struct spread *spread, const struct cp_address *peer,
                      uint64_t timeout_us, struct spread_answer *answer);

/* Fetches the sections that PEER has newer, by TCP, and merges them.  Returns
   false when there was no answer.  */
bool spread_fetch (struct spread *spread, const struct cp_address *peer,
                   uint64_t timeout_us, enum cp_apply_result *result);

/* Returns the root of the digest of the sections held, and sets *VERSION to
   their document version.  */
uint64_t spread_digest_root (struct spread *spread, uint64_t *version);

#endif

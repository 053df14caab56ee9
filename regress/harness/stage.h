/* A stage for tests of cornelpick-meshd: stand-ins of the platform's store and
   of servers, in a thread of the test, and daemons as processes.

   Every stage has addresses of its own, 127.A.B.N with A and B from the
   process number: VM N has its server at port 8080, calls at 8000, peers at
   7400, ready at 8025, and its own door to the store at 9000, so that the
   store can treat VMs differently.

   A server does what the query of a request says, "once" on the first arrival
   of a request ID anywhere, else each time:
     ?slow=MS      answers after MS
     ?shed         refuses: not executed
     ?error        answers 500
     ?cut          breaks off a framed answer
     ?reset        breaks off an answer without length by a reset
     ?unframed     gives no length and ends the connection
     ?extra        sends a second answer behind the first
     ?late-copy    refuses the first arrival; at the next one on the same
                   connection it sends that refusal again before its answer
     ?stray        sends an answer to another request before its own
     ?garble       sends bytes that are no answer
     ?scripted     sends what stage_server_script set, and ends the connection
     ?unsigned     leaves the signature out
     ?early=BYTES  once it has that much of the body, reads no more and sends
                   a part of an answer without length; MS later (&ms=MS) it
                   resets the connection, or with &fin ends it in an orderly
                   way at once and resets it then; with &too-large the status
                   is 413, else 200
     ?hang         never answers
     ?crash        ends the server after 20 ms
     ?flood-head   sends a head without end
     ?flood-body   sends a body without end  */
#ifndef STAGE_H
#define STAGE_H

#include <uv.h>

#include "regress/harness/harness.h"

#define STAGE_VMS_MAX 12

enum stage_store_mode
{
  STAGE_STORE_NORMAL,
  STAGE_STORE_BUSY,   /* 503 */
  STAGE_STORE_SILENT, /* no answer */
  STAGE_STORE_FLOOD,  /* an answer of many MB that is no JSON */
  STAGE_STORE_BROKEN  /* what HTTP/1.1 does not allow, in a later era */
};

struct stage_server;
struct stage_store;

struct stage
{
  char folder[128];
  char net[24];
  unsigned n_vms;
  uint64_t version;
  unsigned store_port; /* of the store in settings that are written */
  unsigned body_max;   /* longest body of a request, in bytes */
  char extra[2048];    /* members added to each route's action, or "" */
  char warm_up[128];   /* members added to the service alpha, each with a comma
                          before it, or "" */
  pthread_t thread;
  pthread_mutex_t lock;
  uv_loop_t loop;
  uv_async_t wake;
  bool stopping;
  struct stage_store *store;
  struct stage_server *servers[STAGE_VMS_MAX + 1];
  GHashTable *runs; /* request ID to count */
  struct process daemons[STAGE_VMS_MAX + 1];
};

/* Starts the store and servers of N_VMS VMs: the last one of service "beta",
   the others of "alpha"; VMs are in two failure domains by turns.  */
void stage_init (struct stage *stage, unsigned n_vms);

/* Puts the configuration and the entries, starts all daemons, waits until all
   are ready and reach each other.  */
void stage_start (struct stage *stage, unsigned n_vms);
void stage_finish (struct stage *stage);

void stage_start_daemon (struct stage *stage, unsigned vm);
void stage_wait_ready (struct stage *stage, unsigned vm);
bool stage_is_ready (const struct stage *stage, unsigned vm);
const char *stage_address (const struct stage *stage, unsigned vm,
                           unsigned port, char text[56]);

/* The store.  */
void stage_put (struct stage *stage, const char *key, const char *value);
void stage_remove (struct stage *stage, const char *key);
void stage_store_mode (struct stage *stage, unsigned vm,
                       enum stage_store_mode mode);

/* Returns how many watches wait.  */
unsigned stage_watches (struct stage *stage);

/* Watches hear nothing of what comes until the history is dropped.  */
void stage_mute_watches (struct stage *stage);

/* Drops the history and cuts the watches.  */
void stage_drop_history (struct stage *stage);

/* Copies the content of the store; the store comes back from the copy, with
   the revision of then, in the next era.  Its watches are cut.  */
void stage_store_copy (struct stage *stage);
void stage_store_return (struct stage *stage);

/* Sets the header that names the era; "" for none.  */
void stage_store_say_era (struct stage *stage, const char *era);

/* Writes the settings of VM again, with MEMBERS (JSON members, each with a
   comma before it) added.  */
void stage_write_settings (struct stage *stage, unsigned vm,
                           const char *members);

/* Puts a configuration: host alpha.test to service alpha, beta.test to beta;
   /read/ may be repeated, /write/ not, /short/ has a time-out of 300 ms.
   ROUTES (JSON rules, each with a comma before it) are added at alpha.test. */
void stage_configure (struct stage *stage, const char *routes);

/* Puts the entry of VM's server with STATE.  */
void stage_enter (struct stage *stage, unsigned vm, const char *state);

/* Returns the key of VM's server in the store, to be freed.  */
char *stage_server_key (struct stage *stage, unsigned vm);

/* Returns how often a server began to work on the request ID.  */
unsigned stage_runs (struct stage *stage, const char *request_id);

/* Returns how often VM's server did so for any request.  */
unsigned stage_server_runs (struct stage *stage, unsigned vm);

/* Returns how many requests of VM's server were given up by a close.  */
unsigned stage_server_left (struct stage *stage, unsigned vm);

/* Returns how many requests VM's server turned away because they were meant
   for another instance.  */
unsigned stage_server_misdirected (struct stage *stage, unsigned vm);

/* Copies header NAME of the last request that VM's server ran.  */
void stage_server_header (struct stage *stage, unsigned vm, const char *name,
                          char *value, size_t size);

/* VM's server reports that its machine takes PERCENT of the usual time.  */
void stage_server_slow (struct stage *stage, unsigned vm, unsigned percent);

/* VM's server adds NOTICE, whole header lines, to all its answers.  */
void stage_server_say (struct stage *stage, unsigned vm, const char *notice);

/* VM's server answers requests that ask for it with the LENGTH bytes of
   ANSWER, in which the first '@' stands for the request ID.  */
void stage_server_script (struct stage *stage, unsigned vm, const char *answer,
                          size_t length);

/* VM's server answers health checks with the LENGTH bytes of ANSWER; 0 for as
   usual.  */
void stage_server_script_health (struct stage *stage, unsigned vm,
                                 const char *answer, size_t length);

/* VM's server says in its health checks that it is cold for MS from now on; 0
   for warm.  */
void stage_server_cold (struct stage *stage, unsigned vm, unsigned ms);

/* Returns the largest number of requests that VM's server got within a second
   since SINCE_US, by g_get_monotonic_time, without those that it turned away
   because they were meant for another instance.  */
unsigned stage_server_most_in_a_second (struct stage *stage, unsigned vm,
                                        gint64 since_us);

/* VM's server answers no health check any more.  */
void stage_server_mute_health (struct stage *stage, unsigned vm);

/* Returns how often VM's server ended at a request that asked for it.  */
unsigned stage_server_crashes (struct stage *stage, unsigned vm);

/* Stops VM's server from listening, starts it under its old instance or under
   a new one.  */
void stage_server_stop (struct stage *stage, unsigned vm);
void stage_server_relisten (struct stage *stage, unsigned vm);
void stage_server_restart (struct stage *stage, unsigned vm);

/* Calls PATH at HOST ("alpha.test") through VM's daemon.  */
void stage_call (struct stage *stage, struct reply *reply, unsigned vm,
                 const char *method, const char *host, const char *path,
                 const char *request_id, const char *body);

/* Opens a connection to PORT of VM.  */
int stage_open (const struct stage *stage, unsigned vm, unsigned port);

/* Reads a counter of VM's daemon, without its prefix "cornelpick_".  */
uint64_t stage_counter (const struct stage *stage, unsigned vm,
                        const char *name);

#endif

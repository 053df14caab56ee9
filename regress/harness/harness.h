/* Help for tests that start real processes: a fleet of daemons and targets on
   loopback addresses, and HTTP calls to them.

   Every fleet has addresses of its own, 127.A.B.N with A and B from the
   process number: VM N has its target at port 8080, calls at 8000, peers at
   7400, RPC at 7401 and admin at 7402; the platform is at 127.A.B.250:9000. */
#ifndef HARNESS_H
#define HARNESS_H

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define FLEET_VMS_MAX 150
#define FLEET_WAIT_US (60 * G_USEC_PER_SEC)

/* Fails the test, or the bench, which runs without check, unless HOLDS.  */
void harness_require (bool holds, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* One process.  */
struct process
{
  pid_t pid; /* 0 when it does not run */
};

struct fleet
{
  char folder[128];
  char net[24]; /* "127.A.B" */
  unsigned n_vms;
  unsigned n_domains;
  uint64_t version;
  unsigned relayed_vm; /* its peers port is 7500, behind a relay; 0: none */
  struct process platform;
  struct process targets[FLEET_VMS_MAX + 1]; /* from 1 */
  struct process daemons[FLEET_VMS_MAX + 1]; /* from 1 */
  /* Changes a service section before it is served; NULL for none.  */
  void (*edit) (json_t *document);
};

/* An answer to a call.  */
struct reply
{
  int status;   /* 0: no whole answer */
  bool refused; /* there was no connection */
  GString *head;
  GString *body;
};

/* Threads of each daemon that is started from now on.  */
extern int fleet_call_threads;
extern int fleet_peer_threads;

/* Fleets that are started from now on are behind relays that can be cut.  */
extern bool fleet_behind_cuts;

/* Fleets that are started from now on have no targets, which take hundreds of
   threads each.  */
extern bool fleet_without_targets;

/* Starts the platform, N_VMS targets and daemons, spread over N_DOMAINS
   failure domains, all in the service "shop", and waits until all serve.  */
void fleet_start (struct fleet *fleet, unsigned n_vms, unsigned n_domains,
                  void (*edit) (json_t *document));

/* The same, with the peers port of VM RELAYED_VM at 7500, for a relay.  */
void fleet_start_relayed (struct fleet *fleet, unsigned n_vms,
                          unsigned n_domains, void (*edit) (json_t *document),
                          unsigned relayed_vm);

/* Ends all processes; daemons that run must end with status 0.  */
void fleet_stop (struct fleet *fleet);

void fleet_start_daemon (struct fleet *fleet, unsigned vm);
void fleet_start_target (struct fleet *fleet, unsigned vm,
                         const char *control);
void fleet_start_platform (struct fleet *fleet);
void fleet_wait_serving (struct fleet *fleet, unsigned vm);

/* Sends SIGNAL; after SIGKILL or SIGTERM it waits for the end and returns the
   wait status, else 0.  After SIGSTOP it waits until the process stands.  */
int process_signal (struct process *process, int signal);

/* Returns the largest resident size of a running process so far, in kB.  */
unsigned long process_peak_kb (const struct process *process);

/* Makes the address sanitizer of daemons that are started from now on, if they
   have one, give freed memory back: it keeps up to 256 MB, which would count
   as theirs.  */
void harness_release_freed_memory (void);

/* Waits for the end of a process and returns its wait status.  */
int process_wait (struct process *process);

/* Starts PROGRAM of the build with the arguments that follow, up to NULL.  Its
   output is added to LOG.  */
void process_start (struct process *process, const char *log,
                    const char *program, ...) __attribute__ ((sentinel));

/* Writes the address of PORT at VM N: "127.A.B.N:PORT".  */
const char *fleet_address (const struct fleet *fleet, unsigned vm,
                           unsigned port, char text[56]);

/* Composes the document of the fleet.  */
json_t *fleet_document (const struct fleet *fleet);

/* Serves a new version: VERSION is raised and EDIT, if any, applied.  */
void fleet_change (struct fleet *fleet, void (*edit) (json_t *document));

/* Calls METHOD PATH at ADDRESS; HEADERS are "Name: value" lines separated by
   LF, or NULL; BODY may be NULL.  Waits at most TIMEOUT_MS.  */
void reply_init (struct reply *reply);
void reply_finish (struct reply *reply);
void http_call (struct reply *reply, const char *address, const char *method,
                const char *path, const char *headers, const char *body,
                long timeout_ms);

/* Copies the value of a header; false when it is not there.  */
bool reply_header (const struct reply *reply, const char *name, char *value,
                   size_t size);

/* Calls the service through VM's calls port.  */
void fleet_call (struct fleet *fleet, struct reply *reply, unsigned vm,
                 const char *method, const char *path, const char *headers,
                 const char *body);

/* Sends a control object to a target or, for VM 0, to the platform.  */
void fleet_control (struct fleet *fleet, unsigned vm, const char *json);

/* Returns how often REQUEST was run, over all targets' journals.  */
unsigned fleet_runs (struct fleet *fleet, const char *request);

/* Reads the state dump of a daemon.  */
json_t *fleet_state (struct fleet *fleet, unsigned vm);

/* Reads one counter of a daemon, without its prefix "cornelpick_".  */
uint64_t fleet_counter (struct fleet *fleet, unsigned vm, const char *name);

/* Opens a handle that calls /items/1 at ADDRESS over one kept connection and
   drops the bodies.  */
CURL *kept_connection_open (const char *address, struct curl_slist *headers);

/* Makes one call.  Returns its status, 0 when there was no whole answer.  */
long kept_connection_call (CURL *connection);

/* A thread that makes calls through one daemon, one after the other over a
   kept connection.  */
struct kept_caller
{
  pthread_t thread;
  char address[56];
  unsigned calls;
  unsigned lost; /* answered with another status than 200 */
};

void kept_caller_start (struct kept_caller *caller, const struct fleet *fleet,
                        unsigned vm, unsigned calls);

/* Waits for the last call; returns how many were lost.  */
unsigned kept_caller_join (struct kept_caller *caller);

/* Waits until CONDITION holds; fails the test after FLEET_WAIT_US.  */
void wait_until (bool (*condition) (void *context), void *context);

#endif

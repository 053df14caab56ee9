/* Stand-ins for the scripts of the second review: a deployment of daemons on
   loopback addresses, the platform's store, servers and clients.

   Every deployment has addresses of its own, 127.A.B.N with A and B from the
   process number.  Machine N has its server at port 8080, the daemon's clients
   at 8000, its peers at 7400, its readiness at 8025 and its metrics at 9464.
   The store is at 127.A.B.250:9000.

   A server does what the query of a request says:
     ?ms=N     works for N milliseconds
     ?size=N   answers with a body of N bytes

   Everything but the daemons runs on threads of the script's process.  */
#ifndef STAND_INS_H
#define STAND_INS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

#define MACHINES_MAX 64

/* Exit statuses of a script.  */
#define RULE_HELD 0
#define RULE_BROKEN 1
#define COULD_NOT_RUN 2

/* Ends the script with COULD_NOT_RUN unless HOLDS.  */
void need (bool holds, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Milliseconds since the start of the script.  */
int64_t now_ms (void);
void sleep_ms (int64_t ms);

/* Writes a line with the time to the record.  */
void note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* Returns whether the disruption is to take place: TROUBLE is not 0.  */
bool has_trouble (void);

/* Sockets.  All are blocking.  */
struct input
{
  int fd;
  size_t start;
  size_t end;
  char bytes[65536];
};

int open_listener (const char *ip, unsigned port);
int open_connection (const char *ip, unsigned port);
bool send_bytes (int fd, const void *bytes, size_t length);

/* Sends LENGTH bytes that mean nothing.  */
bool send_filler (int fd, size_t length);

/* Reads a head up to its empty line, to be freed.  NULL at the end.  */
char *read_head (struct input *input);

/* Reads and drops LENGTH bytes.  Returns how many there were.  */
size_t drop_bytes (struct input *input, size_t length);

/* Copies the value of header NAME of HEAD, "" if it has none.  */
void find_header (const char *head, const char *name, char *value,
                  size_t size);

/* Returns the number after NAME= in the query of the request line of HEAD, or
   OTHERWISE.  */
long query_number (const char *head, const char *name, long otherwise);

void start_thread (void *(*run) (void *), void *context);

/* The platform's store.  */
struct store;

struct store *store_start (const char *ip, unsigned page_items);
void store_put (struct store *store, const char *key, const char *value);
void store_remove (struct store *store, const char *key);

/* Reads with allowStale are answered with the state of MS before, but for the
   first page of a listing.  0 answers all with the present state.  */
void store_set_stale (struct store *store, int64_t ms);

/* Servers.  */
struct server;

struct server *server_start (const char *ip, const char *id);

/* Ends SERVER: it listens no more, and all its connections close.  */
void server_end (struct server *server);

/* Work at SERVER takes FACTOR times as long.  Set before its first request. */
void server_set_slow (struct server *server, int factor);
unsigned server_runs (struct server *server);

/* Returns when a request last reached SERVER, in ms since the start.  */
int64_t server_last_ms (struct server *server);

/* Daemons.  */
struct deployment
{
  char net[24];
  char folder[64];
  unsigned memory_mb;
  unsigned drain_ms;
  unsigned timeout_ms;   /* of the routes */
  unsigned objective_ms; /* of the routes */
  unsigned n_clients;    /* machines from 1 on that have only clients, behind
                            links; 0 without links */
  char seeds[128];       /* JSON list */
  struct store *store;
  pid_t daemons[MACHINES_MAX + 1];
};

void deployment_init (struct deployment *deployment, const char *record,
                      unsigned page_items);
const char *machine_ip (const struct deployment *deployment, unsigned machine,
                        char ip[24]);

/* Names up to three MACHINES as seeds, 0 for none.  */
void deployment_seed (struct deployment *deployment,
                      const unsigned machines[3]);

/* Starts the links of machines 1 to N, of MBPS each.  The first CLIENTS of
   them have only clients: their daemons listen at another port than the
   others, so that each group reaches the other through the links.  */
void deployment_link (struct deployment *deployment, unsigned n,
                      unsigned clients, double mbps);

/* Puts the configuration: host a.test has /read/ (idempotent), /write/
   (non_idempotent) and /upload/ for service alpha.  */
void deployment_configure (struct deployment *deployment, uint64_t version);

/* Puts the entry ID of the server of MACHINE.  */
void deployment_enter (struct deployment *deployment, unsigned machine,
                       const char *id, const char *service, const char *state);
void daemon_start (struct deployment *deployment, unsigned machine,
                   const char *service);
void daemon_wait_ready (struct deployment *deployment, unsigned machine);

/* Sends SIGNAL to the daemon of MACHINE.  After SIGKILL and SIGTERM it waits
   for the end.  */
void daemon_signal (struct deployment *deployment, unsigned machine,
                    int signal);

/* Returns whether the daemon of MACHINE has ended by itself.  */
bool daemon_has_ended (struct deployment *deployment, unsigned machine);

/* Returns the resident memory of the daemon of MACHINE in kB: at present, or
   with PEAK the most there has been.  */
long daemon_memory_kb (const struct deployment *deployment, unsigned machine,
                       bool peak);

/* Kills the daemon of MACHINE, as the platform does, if its memory is above
   the limit of its settings, and starts it again after a short delay.  Returns
   whether it did.  */
bool platform_check_memory (struct deployment *deployment, unsigned machine,
                            const char *service);

/* Ends all daemons and removes the folder.  */
void deployment_finish (struct deployment *deployment);

/* Clients.  */
struct client
{
  int fd;
  struct input input;
};

struct answer
{
  int status; /* 0: the connection ended without a whole answer */
  size_t length;
  char head[4096];
};

void client_open (struct client *client, const struct deployment *deployment,
                  unsigned machine);
void client_close (struct client *client);

/* Sends METHOD PATH at a.test with a body of BODY bytes.  */
bool client_send (struct client *client, const char *method, const char *path,
                  const char *id, unsigned deadline_ms, size_t body);
void client_read (struct client *client, struct answer *answer);

#endif

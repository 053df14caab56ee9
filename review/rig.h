/* A small deployment on loopback addresses for the cases of the review: real
   daemons as processes, and stand-ins of the platform, its store, servers and
   clients as threads of the case.

   VM N has the address 127.A.B.N; its ports are those of a machine of the
   platform.  A server does what the query of a request says: "work=MS" answers
   after MS, "bytes=N" with a body of N bytes.  */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_VMS_MAX 8

/* The memory limit of a daemon in MB, as in the settings.  */
#define RIG_MEMORY_MB 260

/* How the last process of a VM ended.  */
enum rig_end
{
  RIG_RUNNING,
  RIG_ENDED_BY_ITSELF,
  RIG_OVER_MEMORY, /* ended by the platform for its memory */
  RIG_STOPPED      /* after a signal of the case */
};

/* One answer as a client saw it.  */
struct rig_answer
{
  unsigned status; /* 0 if no whole head arrived */
  bool complete;
  bool late; /* the client gave up at its deadline */
  size_t length;
  size_t received;
  uint64_t took_ms;
};

/* A request of a client.  */
struct rig_request
{
  const char *method;
  const char *host;
  const char *target;
  const char *id;
  unsigned deadline_ms;
  size_t body_bytes;
  size_t write_per_s; /* bytes that the client writes in a second; 0: all that
                         it can */
  size_t read_per_s;  /* the same for reading */
};

/* Returns whether the disruption is to be made: TROUBLE is not 0.  */
bool rig_trouble (void);

uint64_t rig_now_ms (void);
void rig_sleep_ms (unsigned ms);

/* Starts a detached thread.  */
void rig_thread (void *(*run) (void *context), void *context);

/* Writes a line to record.txt and standard output.  */
void rig_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/* The links between daemons go through relays; call it before rig_start.  */
void rig_use_relays (void);

/* Holds back, or lets on, what the daemon of VM sends to that of VIEWER on the
   links that VIEWER opened.  */
void rig_relay_hold (unsigned viewer, unsigned vm, bool on);

/* Resets these links; what was held back is lost.  */
void rig_relay_reset (unsigned viewer, unsigned vm);

/* Faults of a server.  It refuses SHED_PERCENT of the requests: not executed.
   Of COPY_PERCENT of these refusals it sends a second copy, late: in front of
   its answer to the next request on that connection.  ON_COPY is called before
   such a refusal is sent.  */
struct rig_server_faults
{
  unsigned shed_percent;
  unsigned copy_percent;
  void (*on_copy) (unsigned vm);
};

void rig_server_set_faults (unsigned vm,
                            const struct rig_server_faults *faults);

/* Starts the store and N_VMS servers, whose services are SERVICES.  Exits with
   2 if that is not possible.  */
void rig_start (unsigned n_vms, const char *const *services);

/* Puts the configuration: for each service NAME the host NAME.example, with
   the prefixes /read/ (idempotent), /write/ (non_idempotent), /upload/ and
   /download/, their time-out and latency objective in ms.  */
void rig_configure (unsigned timeout_ms, unsigned objective_ms);

/* Starts all daemons and waits until each is ready.  Exits with 2 if one is
   not ready in time.  */
void rig_start_daemons (void);

/* Ends all processes and removes the folder.  */
void rig_stop (void);

void rig_signal (unsigned vm, int number);
enum rig_end rig_last_end (unsigned vm);

/* Returns how often the daemon of VM ended by itself or over its memory.  */
unsigned rig_ends (unsigned vm);

/* Returns the largest memory in MB that the daemon of VM had.  */
unsigned rig_memory_peak_mb (unsigned vm);

/* Returns how often servers began to work on the request ID.  */
unsigned rig_runs (const char *id);

/* Opens a connection of a client on VM to the daemon there, or returns -1.  */
int rig_connect (unsigned vm);

/* Sends REQUEST on FD and reads its answer.  Returns whether it is whole.  */
bool rig_call (int fd, const struct rig_request *request,
               struct rig_answer *answer);

/* The same; also records both.  */
bool rig_call_and_record (int fd, const struct rig_request *request,
                          struct rig_answer *answer);

/* Clients that keep calling on kept connections.  */
struct rig_load
{
  unsigned vm;
  const char *host;
  const char *target;
  unsigned clients;
  unsigned deadline_ms;
};

/* Starts the clients of LOAD, which must stay valid.  */
void rig_load_start (const struct rig_load *load);

/* Stops all of them at their next request.  */
void rig_load_stop (void);

/* Returns how many requests of clients on VM that a server had begun to run
   were not answered: their kept connection was closed before.  */
unsigned rig_load_lost (unsigned vm);

/* Returns how many requests of clients on VM were answered with a success.  */
unsigned rig_load_served (unsigned vm);

/* LOST: at any time, this many such requests of a machine are allowed.  */
#define RIG_LOST_MAX 3

/* Records what the clients on VM saw, and how often its daemon ended.  Returns
   whether LOST was broken.  */
bool rig_judge_lost (unsigned vm);

#endif

/* The inbound side: the one way into the server beside this daemon.

   Attempts arrive from outbound sides, its own among them; each is a job.  A
   job waits for a slot, is sent over a kept connection, and ends with one
   message: the answer, a refusal that proves it has not run, or a failure that
   proves nothing.  Jobs whose link broke, and the ends of those that may not
   be repeated, are kept for a moment, since the sender may come back for them
   over a new link.  Knows the server and the gate, nothing of routes.  */
#ifndef MESHD_INBOUND_H
#define MESHD_INBOUND_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "lib/gate.h"
#include "lib/roster.h"
#include "meshd/peers.h"
#include "net/client.h"

struct mesh_inbound_events
{
  /* A job of the own outbound side has ended.  */
  void (*reply) (void *context, const struct cp_peer_message *message);

  /* The load has changed enough to be told to others.  */
  void (*load) (void *context, const struct cp_peer_message *message);
};

struct mesh_inbound_counts
{
  uint64_t admitted;
  uint64_t refused[MESH_REASON_COUNT];
  uint64_t failed[MESH_REASON_COUNT];
  uint64_t answered;
  uint64_t connections;
  uint64_t probes;
};

struct mesh_inbound
{
  uv_loop_t *loop;
  struct cp_address server; /* its address; length 0 for no server */
  char instance[CP_PEER_NAME_MAX + 1]; /* empty when not known */
  uint64_t born_ms;
  char ended_instance[CP_PEER_NAME_MAX + 1]; /* an instance that the server
                                       beside said it is not; empty for none */
  uint64_t ended_instance_us;                /* when it last said so */
  char health_path[256];
  struct cp_gate gate;
  unsigned capacity;
  struct cds_list_head jobs;
  GHashTable *by_stream;
  struct cds_list_head idle; /* connections, the last used first */
  struct cds_list_head connections;
  unsigned slowness_percent; /* as the server last said */
  uint64_t slowness_read_us; /* when it said so */
  double service_us;         /* moving mean, slowness taken out */
  double pace;               /* the same as a share of objectives */
  unsigned connect_refusals; /* connections refused in a row */
  uint64_t last_probe_us;    /* when the last probe left */
  bool probing;
  uint64_t drain_deadline_us; /* no job is taken later; 0 for not leaving */
  struct cp_server_load reported; /* the load that others were told last */
  uint64_t told_us;
  uint64_t last_job_us; /* when a job last arrived */
  uv_timer_t tick;
  uv_timer_t queue_timer;
  uint64_t incarnation; /* of this daemon */
  const struct mesh_inbound_events *events;
  void *context;
  struct mesh_inbound_counts counts;
};

void mesh_inbound_init (struct mesh_inbound *inbound, uv_loop_t *loop,
                        const struct cp_address *server, uint64_t incarnation,
                        const struct mesh_inbound_events *events,
                        void *context);
void mesh_inbound_stop (struct mesh_inbound *inbound);

/* Takes what is known of the server beside, or NULL when nothing is.  */
void mesh_inbound_set_server (struct mesh_inbound *inbound,
                              const struct cp_server *server,
                              const char *health_path);

/* No job is started later than LEAVE_US.  */
void mesh_inbound_set_drain_deadline (struct mesh_inbound *inbound,
                                      uint64_t drain_deadline_us);

/* Takes an attempt.  LINK is NULL when it is of the own outbound side.  */
void mesh_inbound_offer (struct mesh_inbound *inbound, struct mesh_link *link,
                         const struct cp_peer_request *request);
void mesh_inbound_cancel (struct mesh_inbound *inbound, struct mesh_link *link,
                          uint64_t stream);

/* The sender asks for a job over a new link.  */
void mesh_inbound_resume (struct mesh_inbound *inbound, struct mesh_link *link,
                          uint64_t stream);
void mesh_inbound_link_lost (struct mesh_inbound *inbound,
                             struct mesh_link *link);

unsigned mesh_inbound_count_jobs (const struct mesh_inbound *inbound);
void mesh_inbound_get_load (const struct mesh_inbound *inbound,
                            struct cp_server_load *load);

#endif

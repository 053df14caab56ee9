/* The inbound side: the only path to the server beside this daemon.

   Attempts arrive from outbound sides, including our own; each becomes a job.
   A job waits for a slot, is sent over a persistent connection, and ends with
   one message: the answer, a refusal, which proves that it has not run, or a
   failure, which proves nothing.  Jobs whose link broke, and the results of
   those that must not be repeated, are kept for a short time, since the sender
   may ask for them over a new link.  This module knows the server and the
   job queue, but no routes.  */
#ifndef MESHD_INBOUND_H
#define MESHD_INBOUND_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "lib/call_fan_out.h"
#include "lib/job_queue.h"
#include "lib/recent_ids.h"
#include "lib/report_filter.h"
#include "lib/route_table.h"
#include "lib/server_pool.h"
#include "lib/service_times.h"
#include "lib/stop_plan.h"
#include "meshd/peers.h"
#include "meshd/replies.h"
#include "meshd/suspects.h"
#include "net/client.h"

struct mesh_connection;

struct mesh_inbound_events
{
  /* A job of our own outbound side has ended.  Called when the event loop
     comes round, so that the receiver may offer and cancel jobs.  */
  void (*reply) (void *context, const struct cp_peer_message *message);

  /* The load has changed enough to be reported to the peers, or only to those
     of our own failure domain.  */
  void (*load) (void *context, const struct cp_peer_message *message,
                bool own_domain_only);

  /* The server has said that it is about to end.  */
  void (*leaving) (void *context);

  /* Reserves the retry budgets for the calls that a repeat of the request with
     HEAD is expected to make, and adds them to RESERVED.  Returns false, and
     reserves none, if a budget does not cover them.  */
  bool (*reserve_calls) (void *context, const char *head,
                         struct cp_run_calls *reserved);
  void (*release_calls) (void *context, const struct cp_run_calls *reserved);

  /* The server has run the request with HEAD without an error.  */
  void (*run_succeeded) (void *context, const char *head,
                         const struct cp_run_calls *made);
};

struct mesh_inbound_counts
{
  uint64_t admitted;
  uint64_t refused[MESH_REASON_COUNT];
  uint64_t refused_by_priority[CP_JOB_QUEUE_PRIORITIES];
  uint64_t overtaken_by_priority[CP_JOB_QUEUE_PRIORITIES];
  uint64_t failed[MESH_REASON_COUNT];
  uint64_t answered;
  uint64_t connections;
  uint64_t probes;
};

struct mesh_inbound
{
  uv_loop_t *loop;
  struct cp_address server;            /* the local one; length 0 for none */
  char instance[CP_PEER_NAME_MAX + 1]; /* empty if unknown */
  uint64_t born_ms;
  unsigned server_number; /* rises with each instance and start */
  /* An instance that the server has answered it is not; empty for none.  */
  char ended_instance[CP_PEER_NAME_MAX + 1];
  uint64_t ended_instance_us; /* when the server last answered so */
  char health_path[256];
  struct cp_job_queue queue;
  unsigned capacity;
  struct cds_list_head jobs;
  GHashTable *by_stream;
  struct cds_list_head idle; /* idle connections, most recently used first */
  struct cds_list_head connections;
  struct cp_recent_ids sent_ids; /* of the requests that the server was sent */
  unsigned slowness_percent;     /* from the server's last load header */
  uint64_t slowness_read_us;     /* when it was received */
  bool server_leaving;           /* the server has said that it is */
  uint64_t rate_named_us;        /* when the server last named a rate limit */
  double service_us;             /* moving average, corrected for slowness */
  double pace;                   /* the same as a share of the objective */
  struct cp_service_times service_times; /* of each kind of request */
  unsigned connect_refusals;             /* consecutive refused connections */
  bool reached; /* a connection to the server succeeded, and none was refused
                   since */
  bool check_wanted;           /* whether it is reachable must be checked */
  uint64_t last_check_us;      /* when it was last checked */
  bool cold_seen;              /* as last logged and reported */
  uint64_t down_reported_us;   /* when it was last reported to be down */
  GArray *cut_jobs;            /* struct mesh_cut_job */
  uint64_t connect_refused_us; /* last time */
  uint64_t last_probe_us;      /* when the last probe was sent */
  struct mesh_connection
      *probe;             /* that of a health check under way, or NULL */
  uint64_t answer_memory; /* for the answers that are being received */
  struct net_body_budget answer_budget;
  uint64_t drain_deadline_us; /* no job is started later; 0 if not draining */
  const struct cp_stop_plan *stop; /* while the daemon stops, or NULL */
  bool evacuated; /* our failure domain is: no job is started */
  struct cp_report_filter report_filter;
  uint64_t last_job_us; /* arrival of the last job */
  uv_timer_t tick;
  uv_timer_t queue_timer;
  struct mesh_replies replies;
  uint64_t incarnation; /* of this daemon */
  struct mesh_suspects *suspects;
  const struct mesh_inbound_events *events;
  void *context;
  struct mesh_inbound_counts counts;
};

void mesh_inbound_init (struct mesh_inbound *inbound, uv_loop_t *loop,
                        const struct cp_address *server, uint64_t incarnation,
                        struct mesh_suspects *suspects,
                        const struct mesh_inbound_events *events,
                        void *context);
void mesh_inbound_stop (struct mesh_inbound *inbound);

/* Limits the memory for the answers that are being received to BYTES.  */
void mesh_inbound_set_answer_memory (struct mesh_inbound *inbound,
                                     uint64_t bytes);

/* Sets the server pool's entry of the local server.  SERVER or HEALTH_PATH may
   be NULL, which leaves what is known.  */
void mesh_inbound_set_server (struct mesh_inbound *inbound,
                              const struct cp_server *server,
                              const char *health_path);

/* Sets what the configuration says of the local server's service; RULE is NULL
   if it does not contain the service.  */
void mesh_inbound_set_warm_up (struct mesh_inbound *inbound,
                               const struct cp_service_rule *rule);

/* Sets the operator's bounds on requests to cold servers; see
   lib/warm_up.h.  */
void mesh_inbound_set_warm_up_bounds (struct mesh_inbound *inbound,
                                      double overshoot, double slack);

/* Starts no job after DRAIN_DEADLINE_US; 0 ends draining.  */
void mesh_inbound_set_drain_deadline (struct mesh_inbound *inbound,
                                      uint64_t drain_deadline_us);

/* Keeps to PLAN, which stays the caller's, from now on: jobs that are offered
   end in time, or are refused.  */
void mesh_inbound_plan_stop (struct mesh_inbound *inbound,
                             const struct cp_stop_plan *plan);

/* Evacuates our failure domain, or brings it back.  While it is evacuated, no
   job is started.  Returns how many queued jobs were refused.  */
unsigned mesh_inbound_set_evacuated (struct mesh_inbound *inbound,
                                     bool evacuated);

/* Queues, starts or refuses an attempt.  LINK is NULL if it comes from our own
   outbound side.  */
void mesh_inbound_offer (struct mesh_inbound *inbound, struct mesh_link *link,
                         const struct cp_peer_request *request);

/* Handles what was held until the event loop has read what arrived while it
   stood.  */
void mesh_inbound_settle (struct mesh_inbound *inbound);

void mesh_inbound_cancel (struct mesh_inbound *inbound, struct mesh_link *link,
                          uint64_t stream);

/* Moves the job of STREAM to LINK, a new link of its sender.  Sends the result
   if the job has ended, a refusal if it is unknown.  */
void mesh_inbound_resume (struct mesh_inbound *inbound, struct mesh_link *link,
                          uint64_t stream);
void mesh_inbound_link_lost (struct mesh_inbound *inbound,
                             struct mesh_link *link);

/* Finds the request that the local server runs and for which it makes the call
   with REQUEST_ID.  Servers name their calls by the ID of the request, a dot,
   and a suffix.  Returns false if REQUEST_ID is not such an ID.  */
bool mesh_inbound_find_parent (struct mesh_inbound *inbound,
                               const char *request_id,
                               struct mesh_parent *parent);

/* Returns whether the server is not known, has not been reached yet, or
   refuses connections.  */
bool mesh_inbound_is_down (const struct mesh_inbound *inbound);

/* Returns how many jobs have not ended, or have a result that their sender may
   still fetch over a new link.  */
unsigned mesh_inbound_count_jobs (const struct mesh_inbound *inbound);
void mesh_inbound_get_load (const struct mesh_inbound *inbound,
                            struct cp_server_load *load);

#endif

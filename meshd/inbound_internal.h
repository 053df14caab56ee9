/* What the files of the inbound side share: jobs, and the connections to the
   server (server.c).  */
#ifndef MESHD_INBOUND_INTERNAL_H
#define MESHD_INBOUND_INTERNAL_H

#include "meshd/inbound.h"

/* Refused connections in a row after which jobs are refused without trying,
   until a probe gets through.  */
#define MESH_CONNECT_REFUSALS_MAX 2

struct mesh_job_key
{
  uint64_t source; /* incarnation of the sender */
  uint64_t stream;
};

enum mesh_job_state
{
  MESH_JOB_QUEUED,
  MESH_JOB_RUNNING,
  MESH_JOB_ENDED
};

struct mesh_job
{
  struct cds_list_head node;
  struct mesh_inbound *inbound;
  struct mesh_job_key key;
  struct mesh_link *link; /* NULL when local or lost */
  bool local;
  bool idempotent;
  bool no_reply; /* its sender wants no message */
  bool resent;   /* it was sent once on a connection that took no byte */
  enum mesh_job_state state;
  struct cp_gate_entry entry;
  char *request_id;
  char *instance;
  char *head;
  GByteArray *body;
  uint64_t objective_us;
  uint64_t deadline_us;
  uint64_t started_us;
  uint64_t lost_us; /* when its link broke, or 0 */
  uint64_t ended_us;
  struct mesh_connection *connection; /* while it runs */
  GByteArray *kept_message; /* its message, in case it is asked for again */
};

void mesh_job_refuse (struct mesh_job *job, enum mesh_reason reason,
                      bool reached);
void mesh_job_fail (struct mesh_job *job, enum mesh_reason reason);
void mesh_job_answer (struct mesh_job *job, const struct net_message *answer);
void mesh_inbound_start_queued (struct mesh_inbound *inbound);
void mesh_inbound_release_slot (struct mesh_inbound *inbound);

/* Tells others the load if it has changed by what matters.  */
void mesh_inbound_report_load (struct mesh_inbound *inbound);

/* Sends JOB, which has a slot.  */
void mesh_server_send (struct mesh_inbound *inbound, struct mesh_job *job);

/* Breaks off JOB, which runs, and ends it as failed for REASON.  */
void mesh_server_abort (struct mesh_job *job, enum mesh_reason reason);

/* Closes idle connections, probes.  */
void mesh_server_tick (struct mesh_inbound *inbound, uint64_t now_us);

/* Closes all idle connections.  */
void mesh_server_close_idle (struct mesh_inbound *inbound);

/* Closes all connections, those of health checks too.  */
void mesh_server_close_all (struct mesh_inbound *inbound);

#endif

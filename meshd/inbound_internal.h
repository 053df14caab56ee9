/* Shared by the files of the inbound side: admission (inbound.c), begin and
   end of jobs (job.c), connections to the server (server.c), what it says of
   itself (notices.c), whether it is cold (warm_up.c), and its end
   (server_end.c).  */
#ifndef MESHD_INBOUND_INTERNAL_H
#define MESHD_INBOUND_INTERNAL_H

#include "meshd/inbound.h"
#include "platform/headers.h"

/* Consecutive refused connections after which jobs are refused without trying
   to connect, until a probe succeeds.  */
#define MESH_CONNECT_REFUSALS_MAX 2

struct mesh_job_key
{
  uint64_t source; /* incarnation of the sender */
  uint64_t stream;
};

enum mesh_job_state
{
  MESH_JOB_HELD, /* until the event loop is no longer behind */
  MESH_JOB_QUEUED,
  MESH_JOB_RUNNING,
  MESH_JOB_ENDED
};

struct mesh_job
{
  struct cds_list_head node;
  struct mesh_inbound *inbound;
  struct mesh_job_key key;
  struct mesh_link *link; /* NULL if local or disconnected */
  bool local;
  bool idempotent;
  bool nested;       /* a call of a request that its sender's server runs */
  bool repeat;       /* see cp_peer_request in rpc/peer.x */
  unsigned priority; /* of its route */
  unsigned parent_priority; /* if nested */
  bool no_reply;            /* the result is not sent */
  bool resent; /* already retried after a connection that took no byte */
  enum mesh_job_state state;
  struct cp_job_queue_entry entry;
  uint64_t digest; /* of the request's content */
  char *request_id;
  char *instance;
  char *head;
  GByteArray *body;
  uint64_t objective_us;
  uint64_t deadline_us;
  uint64_t delay_us;  /* for how long the attempt was on its way, at least */
  uint64_t unread_us; /* the same if the event loop stood meanwhile, or 0 */
  uint64_t started_us;
  uint64_t lost_us; /* when its link broke, or 0 */
  uint64_t ended_us;
  struct mesh_connection *connection; /* while it runs */
  struct cp_run_calls made;           /* while it runs */
  struct cp_run_calls reserved;       /* of the calls that it is to make */
  GByteArray *kept_message; /* encoded result, to be sent on a resume */
};

/* A request whose connection closed while the server ran it.  */
struct mesh_cut_job
{
  uint64_t digest;
  uint64_t cut_us;
  uint64_t server_end; /* names the end of this start of the server, the same
                          whenever it is computed */
  char request_id[128];
};

/* Creates a job for REQUEST, in the list of INBOUND.  LINK is NULL if it comes
   from our own outbound side.  */
struct mesh_job *mesh_job_create (struct mesh_inbound *inbound,
                                  struct mesh_link *link,
                                  const struct cp_peer_request *request);
void mesh_job_free (struct mesh_job *job);

/* End JOB: refused, which proves that it has not run; failed, which proves
   nothing; or answered.  */
void mesh_job_refuse (struct mesh_job *job, enum mesh_reason reason,
                      bool reached);
void mesh_job_fail (struct mesh_job *job, enum mesh_reason reason);
void mesh_job_answer (struct mesh_job *job, const struct net_message *answer);

/* Returns why JOB may not be sent to the server now, or MESH_REASON_NONE.  */
enum mesh_reason mesh_job_check (const struct mesh_job *job);

/* Reserves the retry budgets for the calls of JOB, if it is a repeat.  Returns
   false if they do not cover them.  */
bool mesh_job_reserve_calls (struct mesh_job *job);

/* Releases what is left of that.  */
void mesh_job_release_calls (struct mesh_job *job);
void mesh_inbound_start_queued (struct mesh_inbound *inbound);
void mesh_inbound_release_slot (struct mesh_inbound *inbound);

void mesh_inbound_fill_load (struct mesh_inbound *inbound,
                             struct cp_peer_load *load);

/* Reports the load to the peers if it has changed enough to affect their
   choice of a server.  */
void mesh_inbound_report_load (struct mesh_inbound *inbound);

/* Takes in what the server says of itself in the HEADERS of an answer to a
   request that was sent at SENT_US.  */
void mesh_inbound_receive_notices (struct mesh_inbound *inbound,
                                   const struct platform_response *headers,
                                   uint64_t sent_us);

/* Forgets what the server has said of itself, but for its load.  */
void mesh_inbound_forget_notices (struct mesh_inbound *inbound);

/* warm_up.c: the server's entry was read, the first one of this server if
   IS_NEW; a health check was answered; logs and reports whether the server is
   cold, if that has changed.  */
void mesh_warm_up_read_entry (struct mesh_inbound *inbound,
                              const struct cp_server *server, bool is_new);
void mesh_warm_up_receive (struct mesh_inbound *inbound,
                           const struct platform_response *headers,
                           unsigned status);
void mesh_warm_up_check (struct mesh_inbound *inbound, uint64_t now_us);

/* Sends JOB, which holds a slot, to the server.  */
void mesh_server_send (struct mesh_inbound *inbound, struct mesh_job *job);

/* Sends the jobs that were held after their connection was opened.  */
void mesh_server_settle (struct mesh_inbound *inbound);

/* Closes the connection of JOB, which is running, and fails JOB for
   REASON.  */
void mesh_server_abort (struct mesh_job *job, enum mesh_reason reason);

/* Probes the server on a new connection at once, since it may have ended.  */
void mesh_server_probe_end (struct mesh_inbound *inbound);

/* Opens a connection to the server, without a request, to find out whether it
   accepts one.  */
void mesh_server_check_reachable (struct mesh_inbound *inbound);

/* server_end.c: the connection of JOB closed while the server ran it; a new
   connection was refused; the server answered a health check that was sent at
   SENT_US; a connection succeeded.  */
void mesh_server_record_cut (struct mesh_inbound *inbound,
                             const struct mesh_job *job);
void mesh_server_record_refused_connection (struct mesh_inbound *inbound);
void mesh_server_record_alive (struct mesh_inbound *inbound, uint64_t sent_us);
void mesh_server_record_reached (struct mesh_inbound *inbound);

/* Reports the requests at which the server has ended, if it has.  */
void mesh_server_check_end (struct mesh_inbound *inbound, uint64_t now_us);

/* probe.c: returns the current interval between health checks; 0 for none.  */
uint64_t mesh_probe_interval_us (const struct mesh_inbound *inbound,
                                 uint64_t now_us);

/* Closes expired idle connections, and probes the server if a probe is
   due.  */
void mesh_server_tick (struct mesh_inbound *inbound, uint64_t now_us);

/* Closes all idle connections.  */
void mesh_server_close_idle (struct mesh_inbound *inbound);

/* Closes all connections, including those of probes.  */
void mesh_server_close_all (struct mesh_inbound *inbound);

#endif

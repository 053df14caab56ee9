/* Shared by the files of the daemon: daemon.c connects the components, life.c
   holds the state machine, the signal handlers and the ready and metrics
   endpoints, reload.c loads and applies the settings, run_calls.c relates the
   calls that the local server makes to its runs.  */
#ifndef MESHD_DAEMON_INTERNAL_H
#define MESHD_DAEMON_INTERNAL_H

#include "meshd/daemon.h"

/* The states and events of charts/daemon.json.  */
enum mesh_state
{
  MESH_STATE_STARTING,
  MESH_STATE_WARMING,
  MESH_STATE_SERVING,
  MESH_STATE_DRAINING,
  MESH_STATE_GONE,
  MESH_STATE_COUNT
};

enum mesh_event
{
  MESH_EVENT_LISTENING,
  MESH_EVENT_CONFIGURED,
  MESH_EVENT_DRAIN,
  MESH_EVENT_STOP,
  MESH_EVENT_COUNT
};

extern const struct cp_chart_names mesh_daemon_chart;

/* life.c  */
void mesh_daemon_handle_event (struct mesh_daemon *daemon,
                               enum mesh_event event);

/* Starts the readiness endpoint, and the metrics endpoint at METRICS unless it
   is NULL.  Returns 0, or -1 with ERROR set.  */
int mesh_daemon_start_endpoints (struct mesh_daemon *daemon,
                                 const char *metrics, struct cp_error *error);
void mesh_daemon_start_timers (struct mesh_daemon *daemon);

/* reload.c  */
void mesh_daemon_apply_settings (struct mesh_daemon *daemon);

/* Connects to the daemons that the settings list as seeds.  */
void mesh_daemon_connect_seeds (struct mesh_daemon *daemon);

/* Reloads the settings file.  If it is invalid, the current settings stay in
   force.  */
void mesh_daemon_reload (struct mesh_daemon *daemon);

/* Reloads the settings file if its modification time has changed.  */
void mesh_daemon_check_settings (struct mesh_daemon *daemon, uint64_t now);

/* evacuation.c: the platform has evacuated a failure domain, or brought it
   back; see the event of platform/registry.h.  */
void mesh_daemon_evacuate (void *context, const char *domain, bool evacuated,
                           bool unsure, struct cp_store_position position);

/* Brings back the domains whose evacuation has lapsed.  */
void mesh_daemon_expire_evacuations (struct mesh_daemon *daemon, uint64_t now);

/* run_calls.c: callbacks of the inbound and the outbound side.  */
bool mesh_daemon_find_parent (void *context, const char *request_id,
                              const char *service, struct mesh_parent *parent);
bool mesh_daemon_reserve_calls (void *context, const char *head,
                                struct cp_run_calls *reserved);
void mesh_daemon_release_calls (void *context,
                                const struct cp_run_calls *reserved);
void mesh_daemon_record_run (void *context, const char *head,
                             const struct cp_run_calls *made);

/* daemon.c  */

/* Chooses the links anew in the next turn of the event loop, after all changes
   that arrived together.  */
void mesh_daemon_schedule_links (struct mesh_daemon *daemon);

/* Passes the server pool's entry of the local server to the inbound side.  */
void mesh_daemon_update_server (struct mesh_daemon *daemon);

/* Returns the address of the daemon that runs on the host of SERVER.  The port
   is our own peer port, which is the same on all VMs.  */
struct cp_address mesh_daemon_peer_address (const struct mesh_daemon *daemon,
                                            const struct cp_server *server);
int mesh_listen_error (struct cp_error *error,
                       const struct cp_address *address, int code);

#endif

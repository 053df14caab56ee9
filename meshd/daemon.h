/* The meshd daemon: one process beside each server, which connects the inbound
   side, the outbound side, the peers and the store.

   All components run on one event loop; see docs/design/platform.md.  */
#ifndef MESHD_DAEMON_H
#define MESHD_DAEMON_H

#include "lib/chart.h"
#include "lib/error.h"
#include "meshd/exchange.h"
#include "meshd/inbound.h"
#include "meshd/outbound.h"
#include "net/turns.h"
#include "platform/settings.h"

struct mesh_daemon
{
  uv_loop_t loop;
  struct net_turns turns;
  uint64_t entry_changed_us; /* when the entry of the local server changed, at
                                the earliest; 0 if that is not known */
  uint64_t stalls;           /* how often the loop has stood */
  uint64_t longest_stall_us;
  struct platform_settings settings;
  const char *settings_path;
  struct cp_chart chart;
  int state;
  uint64_t started_us;
  uint64_t sigterm_us;      /* when SIGTERM was received, or 0 */
  struct cp_stop_plan stop; /* from SIGTERM on */
  struct mesh_exchange exchange;
  struct cp_server_pool pool;
  struct mesh_peers peers;
  struct mesh_suspects suspects;
  struct cp_repeat_budgets budgets;
  struct cp_call_fan_out fan_out;
  struct mesh_inbound inbound;
  struct mesh_outbound outbound;
  struct net_server ready;
  struct net_server metrics;
  bool has_metrics;
  bool leave_announced; /* peers have been told that this daemon is leaving */
  struct mesh_peer *seeds[PLATFORM_SEEDS_MAX];
  unsigned n_seeds;
  uint64_t settings_checked_us; /* last check for a new file */
  struct timespec settings_mtime;
  uv_timer_t tick;
  uv_timer_t shutdown_tick;
  uv_timer_t links_timer;
  uv_signal_t signals[3];
  struct cp_seeded_random random;
};

/* Initializes DAEMON from the settings file at PATH and the state charts in
   the directory CHARTS, and starts it.  METRICS is the address of the metrics
   endpoint, or NULL for none.  Returns 0, or -1 with ERROR set.  */
int mesh_daemon_init (struct mesh_daemon *daemon, const char *path,
                      const char *charts, const char *metrics,
                      struct cp_error *error);

/* Runs the event loop until the daemon has shut down.  */
void mesh_daemon_run (struct mesh_daemon *daemon);
void mesh_daemon_finish (struct mesh_daemon *daemon);

/* Appends all counters, gauges and histograms to TEXT in the Prometheus text
   format.  */
void mesh_metrics_write (const struct mesh_daemon *daemon, GString *text);

#endif

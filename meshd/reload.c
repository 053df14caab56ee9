/* Loads, applies and reloads the daemon's settings.  */
#include <sys/stat.h>

#include "meshd/daemon_internal.h"
#include "meshd/log.h"

/* Interval between checks of the settings file, which may change without a
   signal.  A change must be in force within two seconds.  */
#define SETTINGS_CHECK_US UINT64_C (1000000)

/* Shares of the VM's memory that request bodies and the answers that are being
   received may use.  */
#define BODY_MEMORY_SHARE 0.25
#define ANSWER_MEMORY_SHARE 0.125

static void
log_faults (const char *faults)
{
  char text[512];

  if (mesh_log_allowed (MESH_LOG_RELOAD))
    mesh_log (MESH_LOG_RELOAD, "\"result\":\"refused\",\"faults\":\"%s\"",
              mesh_log_sanitize (faults, text, sizeof text));
}

static void
apply_regions (struct mesh_daemon *daemon)
{
  const struct platform_settings *settings = &daemon->settings;
  struct cp_domains *domains = &daemon->pool.domains;

  cp_domains_clear_regions (domains);
  for (unsigned i = 0; i < settings->n_zones; i++)
    cp_domains_set_region (domains, settings->zones[i].domain,
                           settings->zones[i].region);
  cp_domains_set_own_region (domains, settings->region);
}

void
mesh_daemon_apply_settings (struct mesh_daemon *daemon)
{
  const struct platform_settings *settings = &daemon->settings;
  struct mesh_outbound_settings *to = &daemon->outbound.settings;

  g_strlcpy (to->service, settings->service, sizeof to->service);
  cp_repeat_budgets_configure (
      &daemon->budgets, settings->repeat_ratio, settings->repeat_slack,
      settings->repeat_window_us, cp_clock_now_us (&cp_clock_boot));
  mesh_outbound_set_body_memory (
      &daemon->outbound,
      (uint64_t)(BODY_MEMORY_SHARE * (double)settings->memory_bytes));
  mesh_inbound_set_warm_up_bounds (
      &daemon->inbound, settings->warm_up_overshoot, settings->warm_up_slack);
  apply_regions (daemon);
  mesh_inbound_set_answer_memory (
      &daemon->inbound,
      (uint64_t)(ANSWER_MEMORY_SHARE * (double)settings->memory_bytes));
}

void
mesh_daemon_connect_seeds (struct mesh_daemon *daemon)
{
  const struct platform_settings *settings = &daemon->settings;

  for (unsigned i = 0; i < daemon->n_seeds; i++)
    mesh_peer_release (daemon->seeds[i]);
  daemon->n_seeds = 0;
  for (unsigned i = 0; i < settings->n_seeds; i++)
    if (!cp_address_same_host (&settings->seeds[i], &settings->peer_listen))
      {
        struct cp_server seed = { .address = settings->seeds[i] };
        struct cp_address address = mesh_daemon_peer_address (daemon, &seed);

        daemon->seeds[daemon->n_seeds++]
            = mesh_peer_acquire (&daemon->peers, &address);
      }
}

void
mesh_daemon_reload (struct mesh_daemon *daemon)
{
  struct platform_settings settings;
  struct cp_error error = { 0 };
  char *faults = NULL;

  if (platform_settings_load (&settings, daemon->settings_path, &faults,
                              &error)
      != 0)
    {
      log_faults (faults == NULL ? error.problem : faults);
      g_free (faults);
      return;
    }
  daemon->settings = settings;
  mesh_daemon_apply_settings (daemon);
  mesh_daemon_connect_seeds (daemon);
  mesh_daemon_update_server (daemon);
  if (mesh_log_allowed (MESH_LOG_RELOAD))
    mesh_log (MESH_LOG_RELOAD, "\"result\":\"in force\",\"service\":\"%s\"",
              settings.service);
}

void
mesh_daemon_check_settings (struct mesh_daemon *daemon, uint64_t now)
{
  struct stat status;

  if (now - daemon->settings_checked_us < SETTINGS_CHECK_US)
    return;
  daemon->settings_checked_us = now;
  if (stat (daemon->settings_path, &status) != 0
      || (status.st_mtim.tv_sec == daemon->settings_mtime.tv_sec
          && status.st_mtim.tv_nsec == daemon->settings_mtime.tv_nsec))
    return;
  daemon->settings_mtime = status.st_mtim;
  mesh_daemon_reload (daemon);
}

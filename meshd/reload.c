/* The daemon's settings, and their change.  */
#include <sys/stat.h>

#include "meshd/daemon_internal.h"
#include "meshd/log.h"

/* Time between looks at the settings file, which may change without a signal.
   The bound for what it brings is two seconds.  */
#define SETTINGS_CHECK_US UINT64_C (1000000)

/* Share of the machine's memory that request bodies may take.  */
#define BODY_MEMORY_SHARE 0.25

static void
log_faults (const char *faults)
{
  char text[512];

  if (mesh_log_due (MESH_LOG_RELOAD))
    mesh_log (MESH_LOG_RELOAD, "\"result\":\"refused\",\"faults\":\"%s\"",
              mesh_log_quote (faults, text, sizeof text));
}

void
mesh_daemon_apply_settings (struct mesh_daemon *daemon)
{
  const struct platform_settings *settings = &daemon->settings;
  struct mesh_outbound_settings *to = &daemon->outbound.settings;

  g_strlcpy (to->service, settings->service, sizeof to->service);
  to->repeat_ratio = settings->repeat_ratio;
  to->repeat_slack = settings->repeat_slack;
  to->repeat_window_us = settings->repeat_window_us;
  to->body_bytes_max
      = (uint64_t)(BODY_MEMORY_SHARE * (double)settings->memory_bytes);
}

/* Opens ways to the daemons that the settings name.  */
void
mesh_daemon_use_seeds (struct mesh_daemon *daemon)
{
  const struct platform_settings *settings = &daemon->settings;

  for (unsigned i = 0; i < daemon->n_seeds; i++)
    mesh_way_release (daemon->seeds[i]);
  daemon->n_seeds = 0;
  for (unsigned i = 0; i < settings->n_seeds; i++)
    if (!cp_address_same_host (&settings->seeds[i], &settings->peer_listen))
      {
        struct cp_server seed = { .address = settings->seeds[i] };
        struct cp_address address = mesh_daemon_beside (daemon, &seed);

        daemon->seeds[daemon->n_seeds++]
            = mesh_way_use (&daemon->peers, &address);
      }
}

/* Reads the settings again.  Faulty ones leave those before in force.  */
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
  mesh_daemon_use_seeds (daemon);
  mesh_daemon_update_server (daemon);
  if (mesh_log_due (MESH_LOG_RELOAD))
    mesh_log (MESH_LOG_RELOAD, "\"result\":\"in force\",\"service\":\"%s\"",
              settings.service);
}

/* Reloads when the settings file is another one than before.  */
void
mesh_daemon_check_settings (struct mesh_daemon *daemon, uint64_t now)
{
  struct stat status;

  if (now - daemon->checked_us < SETTINGS_CHECK_US)
    return;
  daemon->checked_us = now;
  if (stat (daemon->settings_path, &status) != 0
      || (status.st_mtim.tv_sec == daemon->settings_time.tv_sec
          && status.st_mtim.tv_nsec == daemon->settings_time.tv_nsec))
    return;
  daemon->settings_time = status.st_mtim;
  mesh_daemon_reload (daemon);
}

/* What is known of whether the local server is cold: from the configuration,
   its entry and its health checks.  */
#include "meshd/inbound_internal.h"
#include "meshd/log.h"

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

static void
log_change (const struct mesh_inbound *inbound, uint64_t now)
{
  const struct cp_warm_up *warm_up = &inbound->queue.warm_up;
  char per_s[G_ASCII_DTOSTR_BUF_SIZE];

  if (!mesh_log_allowed (MESH_LOG_COLD))
    return;
  g_ascii_formatd (per_s, sizeof per_s, "%g", warm_up->per_s);
  mesh_log (MESH_LOG_COLD,
            "\"server\":\"%s\",\"cold_ms\":%" G_GUINT64_FORMAT
            ",\"per_s\":%s,\"starts\":%u",
            inbound->instance,
            cp_warm_up_left_us (warm_up, now) / CP_US_PER_MS, per_s,
            cp_warm_up_starts (warm_up, now));
}

void
mesh_warm_up_check (struct mesh_inbound *inbound, uint64_t now)
{
  const struct cp_warm_up *warm_up = &inbound->queue.warm_up;

  cp_warm_up_update (&inbound->queue.warm_up, now);
  if (warm_up->cold == inbound->cold_seen)
    return;
  inbound->cold_seen = warm_up->cold;
  log_change (inbound, now);
  mesh_inbound_report_load (inbound);
}

void
mesh_inbound_set_warm_up (struct mesh_inbound *inbound,
                          const struct cp_service_rule *rule)
{
  uint64_t now = now_us ();

  if (rule == NULL)
    cp_warm_up_configure (&inbound->queue.warm_up, 0, 0, false, now);
  else
    cp_warm_up_configure (&inbound->queue.warm_up, rule->warm_up_us,
                          rule->warm_up_per_s, rule->health_path != NULL, now);
  mesh_warm_up_check (inbound, now);
  mesh_inbound_start_queued (inbound);
}

void
mesh_inbound_set_warm_up_bounds (struct mesh_inbound *inbound,
                                 double overshoot, double slack)
{
  cp_warm_up_set_bounds (&inbound->queue.warm_up, overshoot, slack);
}

void
mesh_warm_up_read_entry (struct mesh_inbound *inbound,
                         const struct cp_server *server, bool is_new)
{
  uint64_t until_us
      = server->warm_up_unknown ? UINT64_MAX : server->warm_until_us;

  if (is_new)
    cp_warm_up_begin (&inbound->queue.warm_up, until_us, now_us ());
  else
    cp_warm_up_read_entry (&inbound->queue.warm_up, until_us, now_us ());
  mesh_warm_up_check (inbound, now_us ());
}

static void
log_invalid (const struct mesh_inbound *inbound)
{
  if (mesh_log_allowed (MESH_LOG_UNREADABLE))
    mesh_log (MESH_LOG_UNREADABLE,
              "\"key\":\"health check of %s\",\"problem\":\"the remaining "
              "warm-up time is not a number of at most a day\","
              "\"consequence\":\"the last valid value stays in force\"",
              inbound->instance);
}

void
mesh_warm_up_receive (struct mesh_inbound *inbound,
                      const struct platform_response *headers, unsigned status)
{
  struct cp_warm_up *warm_up = &inbound->queue.warm_up;
  uint64_t now = now_us ();

  if (headers->warm_up_invalid)
    log_invalid (inbound);
  else if (headers->has_warm_up)
    cp_warm_up_read_check (warm_up, headers->warm_up_us, now);
  else if (status == 200)
    cp_warm_up_read_bare_check (warm_up, now);
  mesh_warm_up_check (inbound, now);
}

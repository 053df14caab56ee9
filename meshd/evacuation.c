/* Evacuation of failure domains: applies the changes that the store reports to
   both sides, and logs them.  */
#include "meshd/daemon_internal.h"
#include "meshd/log.h"

/* Minimum time for which an evacuation stays in effect after the store has
   lost its key without proof that it was removed.  */
#define LAPSE_MIN_US UINT64_C (5000000)

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

/* Applies the state of DOMAIN, which has changed, and logs the change, which
   is due to the state of the store at POSITION.  */
static void
apply_change (struct mesh_daemon *daemon, const struct cp_domain *domain,
              struct cp_store_position position)
{
  bool own = domain == daemon->pool.domains.own;
  unsigned refused = 0;
  char name[CP_PEER_KEY_MAX + 1];

  if (own)
    refused = mesh_inbound_set_evacuated (&daemon->inbound, domain->evacuated);
  mesh_daemon_schedule_links (daemon);
  if (mesh_log_allowed (MESH_LOG_EVACUATION))
    mesh_log (MESH_LOG_EVACUATION,
              "\"domain\":\"%s\",\"evacuated\":%s,\"servers\":%u,"
              "\"era\":%" G_GUINT64_FORMAT ",\"revision\":%" G_GUINT64_FORMAT
              ",\"refused\":%u,\"running\":%u",
              mesh_log_sanitize (domain->name, name, sizeof name),
              domain->evacuated ? "true" : "false",
              cp_server_pool_count_in (&daemon->pool, domain), position.era,
              position.revision, refused,
              own ? daemon->inbound.queue.running : 0);
}

void
mesh_daemon_evacuate (void *context, const char *domain, bool evacuated,
                      bool unsure, struct cp_store_position position)
{
  struct mesh_daemon *daemon = context;
  struct cp_domains *domains = &daemon->pool.domains;
  uint64_t now = now_us ();
  bool changed = false;

  if (evacuated)
    changed = cp_domains_evacuate (domains, domain);
  else if (unsure)
    cp_domains_lapse (
        domains, domain,
        now + MAX (daemon->settings.evacuation_us, LAPSE_MIN_US));
  else
    changed = cp_domains_bring_back (domains, domain, now);
  if (changed)
    apply_change (daemon, cp_domains_get (domains, domain), position);
}

void
mesh_daemon_expire_evacuations (struct mesh_daemon *daemon, uint64_t now)
{
  const struct cp_domain *domain;

  while ((domain = cp_domains_expire (&daemon->pool.domains, now)) != NULL)
    apply_change (daemon, domain, daemon->exchange.registry.position);
}

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <urcu-bp.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

static const char *const state_names[CONFIGURATION_STATE_COUNT]
    = { "empty", "unconfigured", "current", "unverified" };

static const char *const event_names[CONFIGURATION_EVENT_COUNT]
    = { "accept", "refuse", "timeout", "pause", "verify" };

struct cp_document *
configuration_get (struct configuration *configuration)
{
  struct cp_document *document;

  urcu_bp_read_lock ();
  document = rcu_dereference (configuration->current);
  if (document != NULL)
    cp_document_ref (document);
  urcu_bp_read_unlock ();
  return document;
}

enum configuration_state
configuration_state (struct configuration *configuration)
{
  return (enum configuration_state)__atomic_load_n (&configuration->state,
                                                    __ATOMIC_ACQUIRE);
}

bool
configuration_step (struct configuration *configuration,
                    enum configuration_event event)
{
  int state = configuration->state;

  if (!cp_chart_step (&configuration->chart, &state, (int)event))
    return false;
  if (state != configuration->state)
    cp_log (CP_LOG_INFO, CP_PART_CONFIGURATION, "The configuration is %s.",
            state_names[state]);
  __atomic_store_n (&configuration->state, state, __ATOMIC_RELEASE);
  worker_wake (&configuration->watch);
  return true;
}

/* Puts DOCUMENT in force and releases the previous one; the lock
   is held.  */
static void
publish (struct configuration *configuration, struct cp_document *document)
{
  struct daemon *daemon = configuration->daemon;
  struct cp_document *old = configuration->current;

  policies_update (&daemon->policies, document);
  outbound_update (&daemon->outbound, document);
  inbound_update (&daemon->inbound, document);
  members_take_document (&daemon->members, document);
  rcu_assign_pointer (configuration->current, document);
  urcu_bp_synchronize_rcu ();
  cp_document_unref (old);
  configuration->accepted_us = cp_clock_now_us (daemon->clock);
  daemon_count (daemon, COUNT_CONFIGURATION_ACCEPTED);
  configuration_step (configuration, CONFIGURATION_ACCEPT);
  if (configuration->peers_queried)
    daemon_step (daemon, CP_DAEMON_CONFIGURED);
  cp_log (CP_LOG_INFO, CP_PART_CONFIGURATION,
          "Version %" PRIu64 " is in force.", document->version);
}

static void
record_decision (struct configuration *configuration, const char *source,
                 const char *section, const char *reason, uint64_t version)
{
  struct cp_decision decision = { .kind = CP_DECISION_CONFIGURATION };

  g_strlcpy (decision.service, source, sizeof decision.service);
  g_strlcpy (decision.target, section, sizeof decision.target);
  g_strlcpy (decision.reason, reason, sizeof decision.reason);
  decision.value = version;
  daemon_record (configuration->daemon, &decision);
}

/* Records and logs each refused section of OFFER.  */
static void
record_refused_sections (struct configuration *configuration,
                         const char *source, const struct cp_offer *offer)
{
  for (unsigned i = 0; i < offer->digest.count; i++)
    {
      const struct cp_section *section = cp_sections_find (
          &configuration->sections, offer->digest.entries[i].name);

      if (section == NULL || section->refusal.version != offer->digest.version)
        continue;
      record_decision (configuration, source, section->entry.name, "refused",
                       section->refusal.version);
      cp_log (CP_LOG_WARNING, CP_PART_CONFIGURATION, "Refused from %s: %s.",
              source, section->refusal.text);
    }
}

/* Records the result of merging OFFER; the lock is held.  */
static void
record_result (struct configuration *configuration, const char *source,
               const struct cp_offer *offer, enum cp_apply_result result,
               unsigned refused, const struct cp_error *error)
{
  struct daemon *daemon = configuration->daemon;

  if (refused > 0 || result == CP_APPLY_FAILED)
    {
      daemon_count (daemon, COUNT_CONFIGURATION_REFUSED);
      configuration_step (configuration, CONFIGURATION_REFUSE);
    }
  if (refused > 0)
    {
      record_refused_sections (configuration, source, offer);
      snprintf (configuration->refusal, sizeof configuration->refusal,
                "version %" PRIu64
                ": %u sections were refused; each states why",
                offer->digest.version, refused);
    }
  else if (result == CP_APPLY_FAILED)
    cp_error_text (error, configuration->refusal,
                   sizeof configuration->refusal);
  else if (result != CP_APPLY_UNCHANGED)
    configuration->refusal[0] = '\0';
  if (result == CP_APPLY_CHANGED)
    record_decision (configuration, source, "", "accepted",
                     offer->digest.version);
}

enum cp_apply_result
configuration_take (struct configuration *configuration, const char *source,
                    const struct cp_offer *offer)
{
  struct cp_document *document;
  struct cp_error error = { .kind = CP_ERROR_NONE };
  unsigned refused;
  enum cp_apply_result result;

  CP_LOCK_SCOPE (&configuration->watch.lock);
  result = cp_sections_apply (&configuration->sections, offer,
                              cp_clock_now_us (configuration->daemon->clock),
                              &document, &refused, &error);
  record_result (configuration, source, offer, result, refused, &error);
  if (document != NULL)
    publish (configuration, document);
  if (result == CP_APPLY_CHANGED || result == CP_APPLY_CONFIRMED)
    spread_schedule_push (&configuration->daemon->spread);
  return result;
}

void
configuration_peers_queried (struct configuration *configuration)
{
  CP_LOCK_SCOPE (&configuration->watch.lock);
  configuration->peers_queried = true;
  worker_wake (&configuration->watch);
  if (configuration->current != NULL)
    daemon_step (configuration->daemon, CP_DAEMON_CONFIGURED);
}

void
configuration_verified (struct configuration *configuration)
{
  CP_LOCK_SCOPE (&configuration->watch.lock);
  if (configuration->state == CONFIGURATION_UNVERIFIED)
    configuration_step (configuration, CONFIGURATION_VERIFY);
}

int
configuration_init (struct configuration *configuration, struct daemon *daemon,
                    struct cp_error *error)
{
  static const struct cp_chart_names names
      = { state_names, CONFIGURATION_STATE_COUNT, event_names,
          CONFIGURATION_EVENT_COUNT };
  char path[320];

  memset (configuration, 0, sizeof *configuration);
  configuration->daemon = daemon;
  configuration->heartbeat_us = cp_clock_now_us (daemon->clock);
  worker_init (&configuration->watch, daemon->clock);
  worker_init (&configuration->heartbeat, daemon->clock);
  cp_sections_init (&configuration->sections);
  snprintf (path, sizeof path, "%s/configuration.json",
            daemon->settings.charts);
  if (cp_chart_load (&configuration->chart, path, &names, error) != 0)
    return -1;
  configuration->state = configuration->chart.initial;
  return 0;
}

int
configuration_start (struct configuration *configuration,
                     struct cp_error *error)
{
  if (worker_start (&configuration->heartbeat, "configuration",
                    configuration_heartbeat, configuration, error)
      != 0)
    return -1;
  return worker_start (&configuration->watch, "configuration",
                       configuration_watch, configuration, error);
}

void
configuration_stop (struct configuration *configuration)
{
  worker_stop (&configuration->watch);
  worker_stop (&configuration->heartbeat);
  cp_document_unref (configuration->current);
  configuration->current = NULL;
  cp_sections_finish (&configuration->sections);
}

json_t *
configuration_dump (struct configuration *configuration)
{
  struct cp_document *document = configuration_get (configuration);
  uint64_t now = cp_clock_now_us (configuration->daemon->clock);
  char hash[20] = "";
  json_t *dump;

  CP_LOCK_SCOPE (&configuration->watch.lock);
  if (document != NULL)
    snprintf (hash, sizeof hash, "%016" PRIx64, document->hash);
  dump = json_pack (
      "{s:s, s:I, s:s, s:I, s:s, s:b, s:o}", "state",
      state_names[configuration->state], "version",
      (json_int_t)(document == NULL ? 0 : document->version), "hash", hash,
      "age_us", (json_int_t)(now - configuration->accepted_us), "refused",
      configuration->refusal, "watching", (int)configuration->watching,
      "sections", cp_sections_dump (&configuration->sections, now));
  cp_document_unref (document);
  return dump;
}

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

#define READ_TIMEOUT_US (2 * CP_US_PER_S)

/* Limits of the service that apply until a document states them.  */
#define READS_PER_S_DEFAULT 2000
#define READ_SHARE_DEFAULT 0.25

/* Interval at which the election of watchers is evaluated.  */
#define ELECTION_CHECK_US CP_US_PER_S

/* Time from the start after which the state of a daemon without a document
   becomes "unconfigured".  */
#define EMPTY_TIMEOUT_US (5 * CP_US_PER_S)

/* Bytes of an HTTP exchange beside the body, TCP and IP headers included.  */
#define HTTP_OVERHEAD_BYTES 700

void
configuration_read_parameters (struct configuration *configuration,
                               struct cp_read_budget *reads)
{
  struct daemon *daemon = configuration->daemon;
  struct cp_document *document = configuration_get (configuration);

  reads->reads_per_s = READS_PER_S_DEFAULT;
  reads->most_share = READ_SHARE_DEFAULT;
  if (document != NULL)
    {
      reads->reads_per_s = document->fleet.reads_per_s;
      reads->most_share = document->fleet.reads_most_share;
    }
  cp_document_unref (document);
  CP_LOCK_SCOPE (&daemon->members.reader.lock);
  reads->daemons = cp_members_count (&daemon->members.table,
                                     daemon->settings.daemons_most);
}

/* Evaluates the election and returns the mean time between reads.  A daemon
   without a document reads as often as a watcher, one that is not elected
   CP_NON_WATCHER_FACTOR times less often.  */
static uint64_t
read_interval (struct configuration *configuration)
{
  struct daemon *daemon = configuration->daemon;
  struct cp_document *document = configuration_get (configuration);
  unsigned n_domains = document == NULL ? 1 : document->fleet.n_domains;
  bool empty = document == NULL;
  struct cp_read_budget reads;
  bool watching;

  cp_document_unref (document);
  configuration_read_parameters (configuration, &reads);
  pthread_mutex_lock (&daemon->members.reader.lock);
  watching = cp_members_is_watcher (&daemon->members.table,
                                    daemon->settings.failure_domain,
                                    cp_watchers_per_domain (&reads, n_domains),
                                    cp_clock_now_us (daemon->clock));
  pthread_mutex_unlock (&daemon->members.reader.lock);
  CP_LOCK_SCOPE (&configuration->watch.lock);
  configuration->watching = watching;
  return cp_read_document_interval_us (&reads)
         * (watching || empty ? 1 : CP_NON_WATCHER_FACTOR);
}

/* Parses and merges the document that the service returned.  Returns false
   when it is not newer, invalid, or can not be put in force.  */
static bool
take_document (struct configuration *configuration, const GString *body)
{
  CP_AUTO_FREE struct cp_offer *offer = calloc (1, sizeof *offer);
  struct daemon *daemon = configuration->daemon;
  struct cp_error error;
  uint64_t held_version;
  enum cp_apply_result result = CP_APPLY_FAILED;

  if (offer == NULL)
    return false;
  if (cp_offer_parse (offer, "configuration service", body->str, body->len,
                      &error)
      != 0)
    {
      CP_LOCK_SCOPE (&configuration->watch.lock);
      cp_error_text (&error, configuration->refusal,
                     sizeof configuration->refusal);
      configuration_step (configuration, CONFIGURATION_REFUSE);
      daemon_count (daemon, COUNT_CONFIGURATION_REFUSED);
      cp_log (CP_LOG_WARNING, CP_PART_CONFIGURATION, "Refused: %s.",
              configuration->refusal);
      return false;
    }
  spread_digest_root (&daemon->spread, &held_version);
  if (offer->digest.version < held_version)
    daemon_count (daemon, COUNT_CONFIGURATION_OLDER);
  else if (offer->digest.version > held_version)
    result
        = configuration_take (configuration, "configuration service", offer);
  cp_offer_finish (offer);
  return result != CP_APPLY_FAILED;
}

/* Reads the service once.  Status 304, or a newer document that could be
   merged, confirms what is in force.  */
static void
read_service (struct configuration *configuration, GString *body)
{
  struct daemon *daemon = configuration->daemon;
  const struct cp_settings *settings = &daemon->settings;
  uint64_t held_version;
  char path[192];
  int status;
  bool done;

  spread_digest_root (&daemon->spread, &held_version);
  snprintf (path, sizeof path, "%s?after=%" PRIu64,
            settings->configuration_key, held_version);
  daemon_count (daemon, COUNT_CONFIGURATION_READS);
  status = upstream_get (&daemon->upstreams, &settings->configuration_service,
                         path, CP_DOCUMENT_BYTES_MAX, READ_TIMEOUT_US, body);
  cp_counters_add (&daemon->counters, COUNT_CONTROL_MESSAGES, 2);
  cp_counters_add (&daemon->counters, COUNT_CONTROL_BYTES,
                   HTTP_OVERHEAD_BYTES + body->len);
  done = status == 304
         || (status == 200 && take_document (configuration, body));
  if (done)
    configuration_verified (configuration);
  CP_LOCK_SCOPE (&configuration->watch.lock);
  configuration->read_failures = done ? 0 : configuration->read_failures + 1;
}

/* Waits until the queries to peers at the start have ended.  Returns false
   when the thread has to end.  */
static bool
wait_for_peers (struct configuration *configuration)
{
  uint64_t hour = 3600 * CP_US_PER_S;
  bool go_on = true;

  CP_LOCK_SCOPE (&configuration->watch.lock);
  while (go_on && !configuration->peers_queried)
    go_on
        = worker_wait (&configuration->watch,
                       cp_clock_now_us (configuration->daemon->clock) + hour);
  return go_on;
}

/* Waits until DUE_US or the next evaluation of the election, whichever is
   first.  Returns false when the thread has to end.  */
static bool
wait_for_read (struct configuration *configuration, uint64_t due_us)
{
  struct daemon *daemon = configuration->daemon;
  uint64_t now = cp_clock_now_us (daemon->clock);

  CP_LOCK_SCOPE (&configuration->watch.lock);
  if (now - daemon->started_us > EMPTY_TIMEOUT_US
      && configuration->state == CONFIGURATION_EMPTY)
    configuration_step (configuration, CONFIGURATION_TIMEOUT);
  return worker_wait (&configuration->watch,
                      MIN (due_us, now + ELECTION_CHECK_US));
}

void *
configuration_watch (void *context)
{
  struct configuration *configuration = context;
  const struct cp_clock *clock = configuration->daemon->clock;
  GString *body = g_string_new (NULL);
  uint64_t interval = 0;
  uint64_t due = 0;

  if (wait_for_peers (configuration))
    do
      {
        uint64_t new_interval = read_interval (configuration);

        if (new_interval != interval)
          {
            uint64_t new_due = cp_clock_now_us (clock)
                               + cp_read_next_delay_us (
                                   new_interval, configuration->read_failures,
                                   cp_random_thread ());

            due = due == 0 || new_due < due ? new_due : due;
            interval = new_interval;
          }
        if (cp_clock_now_us (clock) < due)
          continue;
        read_service (configuration, body);
        due = cp_clock_now_us (clock)
              + cp_read_next_delay_us (interval, configuration->read_failures,
                                       cp_random_thread ());
      }
    while (wait_for_read (configuration, due));
  g_string_free (body, TRUE);
  return NULL;
}

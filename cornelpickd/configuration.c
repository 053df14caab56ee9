#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <urcu-bp.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

#define WATCH_MS 10000
#define READ_TIMEOUT_US (2 * CP_US_PER_S)
#define RETRY_MS 500

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

/* Puts DOCUMENT in force; the lock is held.  */
static void
publish (struct configuration *configuration, struct cp_document *document)
{
  struct daemon *daemon = configuration->daemon;
  struct cp_document *old = configuration->current;

  outbound_update (&daemon->outbound, document);
  inbound_update (&daemon->inbound, document);
  rcu_assign_pointer (configuration->current, document);
  urcu_bp_synchronize_rcu ();
  cp_document_unref (old);
  configuration->accepted_us = cp_clock_now_us (daemon->clock);
  configuration->refused[0] = '\0';
  daemon_count (daemon, COUNT_CONFIGURATION_ACCEPTED);
  daemon_step (daemon, CP_LIFE_CONFIGURED);
  cp_log (CP_LOG_INFO, CP_PART_CONFIGURATION,
          "Version %" PRIu64 " is in force.", document->version);
}

void
configuration_offer (struct configuration *configuration, const char *source,
                     const char *text, size_t length)
{
  struct cp_error error;
  struct cp_document *document
      = cp_document_compile (source, text, length, &error);

  CP_LOCK_SCOPE (&configuration->lock);
  if (document == NULL)
    {
      cp_error_text (&error, configuration->refused,
                     sizeof configuration->refused);
      daemon_count (configuration->daemon, COUNT_CONFIGURATION_REFUSED);
      cp_log (CP_LOG_WARNING, CP_PART_CONFIGURATION, "Refused: %s.",
              configuration->refused);
      return;
    }
  if (configuration->current != NULL
      && document->version <= configuration->current->version)
    {
      if (document->version < configuration->current->version)
        daemon_count (configuration->daemon, COUNT_CONFIGURATION_OLDER);
      cp_document_unref (document);
      return;
    }
  publish (configuration, document);
}

static uint64_t
version_in_force (struct configuration *configuration)
{
  struct cp_document *document = configuration_get (configuration);
  uint64_t version = document == NULL ? 0 : document->version;

  cp_document_unref (document);
  return version;
}

/* Waits for TIME_MS or for the stop.  Returns whether to go on.  */
static bool
pause_watch (struct configuration *configuration, unsigned time_ms)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += time_ms / 1000;
  until.tv_nsec += (long)(time_ms % 1000) * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  CP_LOCK_SCOPE (&configuration->lock);
  if (!configuration->stop)
    pthread_cond_timedwait (&configuration->changed, &configuration->lock,
                            &until);
  return !configuration->stop;
}

static bool
stopped (struct configuration *configuration)
{
  CP_LOCK_SCOPE (&configuration->lock);
  return configuration->stop;
}

static void *
watch (void *context)
{
  struct configuration *configuration = context;
  struct daemon *daemon = configuration->daemon;
  const struct cp_settings *settings = &daemon->settings;
  GString *body = g_string_new (NULL);

  while (!stopped (configuration))
    {
      char path[192];
      int status;

      snprintf (path, sizeof path, "%s?after=%" PRIu64 "&wait_ms=%d",
                settings->configuration_key, version_in_force (configuration),
                WATCH_MS);
      daemon_count (daemon, COUNT_CONFIGURATION_READS);
      status
          = upstream_get (&daemon->upstreams, &settings->configuration_service,
                          path, CP_DOCUMENT_BYTES_MAX,
                          WATCH_MS * CP_US_PER_MS + READ_TIMEOUT_US, body);
      if (status == 200)
        configuration_offer (configuration, "configuration service", body->str,
                             body->len);
      else if (status != 304 && !pause_watch (configuration, RETRY_MS))
        break;
    }
  g_string_free (body, TRUE);
  return NULL;
}

int
configuration_start (struct configuration *configuration,
                     struct daemon *daemon, struct cp_error *error)
{
  memset (configuration, 0, sizeof *configuration);
  configuration->daemon = daemon;
  pthread_mutex_init (&configuration->lock, NULL);
  pthread_cond_init (&configuration->changed, NULL);
  if (pthread_create (&configuration->watcher, NULL, watch, configuration)
      != 0)
    return cp_error_set (error, CP_ERROR_MEMORY, "configuration",
                         "raise the limit of threads",
                         "cannot start a thread");
  configuration->watching = true;
  return 0;
}

void
configuration_stop (struct configuration *configuration)
{
  if (!configuration->watching)
    return;
  pthread_mutex_lock (&configuration->lock);
  configuration->stop = true;
  pthread_cond_broadcast (&configuration->changed);
  pthread_mutex_unlock (&configuration->lock);
  pthread_join (configuration->watcher, NULL);
  configuration->watching = false;
  cp_document_unref (configuration->current);
  configuration->current = NULL;
}

json_t *
configuration_dump (struct configuration *configuration)
{
  struct cp_document *document = configuration_get (configuration);
  char hash[20] = "";
  json_t *dump;

  CP_LOCK_SCOPE (&configuration->lock);
  if (document != NULL)
    snprintf (hash, sizeof hash, "%016" PRIx64, document->hash);
  dump = json_pack ("{s:I, s:s, s:I, s:s}", "version",
                    (json_int_t)(document == NULL ? 0 : document->version),
                    "hash", hash, "age_us",
                    (json_int_t)(cp_clock_now_us (configuration->daemon->clock)
                                 - configuration->accepted_us),
                    "refused", configuration->refused);
  cp_document_unref (document);
  return dump;
}

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fakes.h"
#include "lib/cleanup.h"

#define PLATFORM_THREADS 400
#define WAIT_US_MAX (60 * CP_US_PER_S)

/* Returns the number that follows KEY in the query, or 0.  */
static uint64_t
query_number (const struct request *request, const char *key)
{
  const char *query = request->info->query_string;
  const char *match = query == NULL ? NULL : strstr (query, key);

  return match == NULL ? 0 : strtoull (match + strlen (key), NULL, 10);
}

/* Answers a read, or a watch: ?after=VERSION&wait_ms=TIME waits until there is
   a version above VERSION.  */
static void
answer_document (struct fake_platform *platform, struct request *request)
{
  uint64_t after = query_number (request, "after=");
  uint64_t wait_us = query_number (request, "wait_ms=") * CP_US_PER_MS;
  uint64_t deadline;
  CP_AUTO_FREE char *text = NULL;

  if (wait_us > WAIT_US_MAX)
    wait_us = WAIT_US_MAX;
  deadline = cp_clock_now_us (&cp_clock_boot) + wait_us;
  pthread_mutex_lock (&platform->lock);
  platform->reads++;
  while (platform->version <= after && !platform->down && !platform->stopping
         && platform->stale_document == NULL
         && cp_clock_now_us (&cp_clock_boot) < deadline)
    fake_wait_until (&platform->changed, &platform->lock, deadline);
  if (platform->stale_document != NULL)
    text = strdup (platform->stale_document->str);
  else if (platform->version > after)
    text = strdup (platform->document->str);
  pthread_mutex_unlock (&platform->lock);
  if (platform->down || platform->document_down)
    request_answer (request, 503, NULL, "text/plain", "down\n");
  else if (text == NULL)
    mg_printf (request->connection,
               "HTTP/1.1 304 Not Modified\r\nContent-Length: 0\r\n\r\n");
  else
    request_answer (request, 200, NULL, "application/json", text);
}

/* Serves the pending VM list once its lag has passed; the lock is held.  */
static void
apply_pending_vms (struct fake_platform *platform)
{
  if (platform->pending_vms == NULL
      || cp_clock_now_us (&cp_clock_boot) < platform->pending_vms_time_us)
    return;
  g_string_free (platform->vms, TRUE);
  platform->vms = platform->pending_vms;
  platform->pending_vms = NULL;
}

static void
answer_vms (struct fake_platform *platform, struct request *request)
{
  CP_AUTO_FREE char *text = NULL;

  pthread_mutex_lock (&platform->lock);
  platform->reads++;
  apply_pending_vms (platform);
  text = strdup (platform->vms->str);
  pthread_mutex_unlock (&platform->lock);
  request_answer (request, platform->down ? 503 : 200, NULL,
                  "application/json", platform->down ? "{}" : text);
}

static void
answer_counts (struct fake_platform *platform, struct request *request)
{
  char body[96];

  pthread_mutex_lock (&platform->lock);
  snprintf (body, sizeof body,
            "{\"reads\": %" PRIu64 ", \"version\": %" PRIu64 "}\n",
            platform->reads, platform->version);
  pthread_mutex_unlock (&platform->lock);
  request_answer (request, 200, NULL, "application/json", body);
}

/* Accepts {"down": BOOL}, {"document_down": BOOL}, {"vms": [...]},
   {"vms_lag_ms": TIME} and {"stale": DOCUMENT or null}.  */
static bool
apply_control (struct fake_platform *platform, const char *text, size_t length)
{
  CP_AUTO_JSON json_t *root = json_loadb (text, length, 0, NULL);
  json_t *down = json_object_get (root, "down");
  json_t *document_down = json_object_get (root, "document_down");
  json_t *stale = json_object_get (root, "stale");

  if (!json_is_object (root))
    return false;
  if (json_object_get (root, "vms_lag_ms") != NULL)
    platform->vms_lag_us
        = (uint64_t)json_integer_value (json_object_get (root, "vms_lag_ms"))
          * CP_US_PER_MS;
  if (json_object_get (root, "vms") != NULL)
    fake_platform_set_vms (platform, text, length);
  CP_LOCK_SCOPE (&platform->lock);
  if (down != NULL)
    platform->down = json_is_true (down);
  if (document_down != NULL)
    platform->document_down = json_is_true (document_down);
  if (stale != NULL && platform->stale_document != NULL)
    {
      g_string_free (platform->stale_document, TRUE);
      platform->stale_document = NULL;
    }
  if (json_is_object (stale))
    {
      CP_AUTO_FREE char *copy = json_dumps (stale, JSON_INDENT (2));

      platform->stale_document = g_string_new (copy);
    }
  pthread_cond_broadcast (&platform->changed);
  return true;
}

/* Reads the body, a document for PUT /document and else a control object, and
   applies it.  */
static void
answer_change (struct fake_platform *platform, struct request *request,
               bool document)
{
  GString *body = g_string_new (NULL);
  bool done = fake_read_body (request, body);

  if (done && document)
    done = fake_platform_set_document (platform, body->str, body->len);
  else if (done)
    done = apply_control (platform, body->str, body->len);
  request_answer (request, done ? 200 : 400, NULL, "text/plain",
                  done ? "done\n" : "not understood\n");
  g_string_free (body, TRUE);
}

static void
handle (void *context, struct request *request)
{
  struct fake_platform *platform = context;
  const char *path = request->info->request_uri;
  bool put = strcmp (request->info->request_method, "PUT") == 0;

  if (strcmp (path, "/document") == 0 && put)
    answer_change (platform, request, true);
  else if (strcmp (path, "/document") == 0)
    answer_document (platform, request);
  else if (strcmp (path, "/vms") == 0)
    answer_vms (platform, request);
  else if (strcmp (path, "/fake/counts") == 0)
    answer_counts (platform, request);
  else if (strcmp (path, "/fake/control") == 0)
    answer_change (platform, request, false);
  else
    request_answer (request, 404, NULL, "text/plain", "unknown path\n");
}

int
fake_platform_start (struct fake_platform *platform,
                     const struct cp_address *address, struct cp_error *error)
{
  memset (platform, 0, sizeof *platform);
  pthread_mutex_init (&platform->lock, NULL);
  fake_condition_init (&platform->changed);
  platform->document = g_string_new (NULL);
  platform->vms = g_string_new ("{\"vms\": []}");
  platform->listener.clock = &cp_clock_boot;
  platform->listener.handle = handle;
  platform->listener.context = platform;
  return listener_start (&platform->listener, address,
                         fake_thread_count (PLATFORM_THREADS), error);
}

void
fake_platform_stop (struct fake_platform *platform)
{
  pthread_mutex_lock (&platform->lock);
  platform->stopping = true;
  pthread_cond_broadcast (&platform->changed);
  pthread_mutex_unlock (&platform->lock);
  listener_stop (&platform->listener);
  g_string_free (platform->document, TRUE);
  g_string_free (platform->vms, TRUE);
  if (platform->pending_vms != NULL)
    g_string_free (platform->pending_vms, TRUE);
}

/* Only the version is read from the text, so that invalid documents can be
   served too; text that is not JSON gets the next version.  */
bool
fake_platform_set_document (struct fake_platform *platform, const char *text,
                            size_t length)
{
  CP_AUTO_JSON json_t *root = json_loadb (text, length, 0, NULL);

  CP_LOCK_SCOPE (&platform->lock);
  g_string_truncate (platform->document, 0);
  g_string_append_len (platform->document, text, (gssize)length);
  if (root != NULL)
    platform->version
        = (uint64_t)json_integer_value (json_object_get (root, "version"));
  else
    platform->version++;
  pthread_cond_broadcast (&platform->changed);
  return true;
}

void
fake_platform_set_vms (struct fake_platform *platform, const char *text,
                       size_t length)
{
  CP_LOCK_SCOPE (&platform->lock);
  if (platform->pending_vms != NULL)
    g_string_free (platform->pending_vms, TRUE);
  platform->pending_vms = g_string_new_len (text, (gssize)length);
  platform->pending_vms_time_us
      = cp_clock_now_us (&cp_clock_boot) + platform->vms_lag_us;
  apply_pending_vms (platform);
}

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fakes.h"
#include "lib/cleanup.h"

#define TARGET_THREADS 300
#define JOURNAL_ENTRIES_MAX 200000
#define READ_BUFFER_BYTES 8192

static const char *const mode_names[FAKE_MODE_COUNT]
    = { "normal", "fail", "shed", "silent", "cut" };

/* A call that the target received, kept for /fake/journal.  */
struct call_record
{
  struct cds_list_head node;
  char request[64];
  char method[12];
  uint64_t body_bytes;
  uint64_t body_sum; /* sum of all body bytes */
  bool ended;
};

static struct call_record *
add_call_record (struct fake_target *target, const struct request *request)
{
  const char *id = request_header (request, "Cornelpick-Request");
  struct call_record *record = calloc (1, sizeof *record);

  if (record == NULL)
    abort ();
  g_strlcpy (record->request, id == NULL ? "" : id, sizeof record->request);
  g_strlcpy (record->method, request->info->request_method,
             sizeof record->method);
  CP_LOCK_SCOPE (&target->lock);
  if (target->journal_count == JOURNAL_ENTRIES_MAX)
    {
      struct call_record *oldest
          = cds_list_first_entry (&target->journal, struct call_record, node);

      cds_list_del (&oldest->node);
      free (oldest);
      target->journal_count--;
    }
  cds_list_add_tail (&record->node, &target->journal);
  target->journal_count++;
  return record;
}

/* Returns the factor by which service times are longer while the target is
   cold.  It falls linearly from FAKE_COLD_FACTOR to 1 within cold_us.  The
   lock is held.  */
static double
cold_factor (const struct fake_target *target)
{
  uint64_t age = cp_clock_now_us (&cp_clock_boot) - target->cold_since_us;

  if (target->cold_us == 0 || age >= target->cold_us)
    return 1;
  return 1
         + (FAKE_COLD_FACTOR - 1)
               * (1 - (double)age / (double)target->cold_us);
}

/* Adds the current load to the history; the lock is held.  */
static void
record_load (struct fake_target *target)
{
  fake_load_history_add (&target->load_history,
                         cp_clock_now_us (&cp_clock_boot),
                         target->in_flight + target->waiting);
}

/* Returns the load that /load and /health report; the lock is held.  */
static unsigned
reported_load (const struct fake_target *target)
{
  uint64_t now = cp_clock_now_us (&cp_clock_boot);

  if (target->lie_idle)
    return 0;
  if (target->load_lag_us == 0 || target->load_lag_us > now)
    return target->in_flight + target->waiting;
  return fake_load_history_at (&target->load_history,
                               now - target->load_lag_us);
}

/* Draws a service time: fixed_ms plus an exponentially distributed part with
   the mean service_ms, times the cold factor.  */
static uint64_t
draw_service_us (struct fake_target *target)
{
  double uniform;
  double time_ms;

  CP_LOCK_SCOPE (&target->lock);
  uniform = cp_random_unit (&target->random.random);
  time_ms = target->fixed_ms - log (1 - uniform) * target->service_ms;
  return (uint64_t)(time_ms * cold_factor (target) * (double)CP_US_PER_MS);
}

static void
acquire_slot (struct fake_target *target)
{
  CP_LOCK_SCOPE (&target->lock);
  target->waiting++;
  while (target->in_flight >= target->slots && !target->stopping)
    fake_wait_until (&target->slot_freed, &target->lock,
                     cp_clock_now_us (&cp_clock_boot) + CP_US_PER_S);
  target->waiting--;
  target->in_flight++;
  record_load (target);
}

static void
release_slot (struct fake_target *target)
{
  CP_LOCK_SCOPE (&target->lock);
  target->in_flight--;
  record_load (target);
  pthread_cond_signal (&target->slot_freed);
}

/* Waits for TIME_US in place of work.  Returns false, early, when the target
   stops or the caller disconnects.  */
static bool
simulate_work (struct fake_target *target, struct request *request,
               uint64_t time_us)
{
  uint64_t until = cp_clock_now_us (&cp_clock_boot) + time_us;

  while (cp_clock_now_us (&cp_clock_boot) < until)
    {
      uint64_t left = until - cp_clock_now_us (&cp_clock_boot);

      if (request_caller_gone (request))
        return false;
      pthread_mutex_lock (&target->lock);
      if (target->stopping)
        {
          pthread_mutex_unlock (&target->lock);
          return false;
        }
      pthread_mutex_unlock (&target->lock);
      usleep ((useconds_t)(left < 5000 ? left : 5000));
    }
  return true;
}

static void
read_upload (struct request *request, struct call_record *record)
{
  char buffer[READ_BUFFER_BYTES];
  ssize_t count;

  while ((count = request_read (request, buffer, sizeof buffer)) > 0)
    {
      record->body_bytes += (uint64_t)count;
      for (ssize_t i = 0; i < count; i++)
        record->body_sum += (unsigned char)buffer[i];
    }
}

/* Answers with the request ID, the target's name and the size and byte sum of
   the request body.  */
static void
answer_call (struct fake_target *target, struct request *request,
             const struct call_record *record)
{
  char body[256];
  char headers[128];

  snprintf (body, sizeof body,
            "{\"request\": \"%s\", \"target\": \"%s\", \"bytes\": %" PRIu64
            ", \"sum\": %" PRIu64 "}\n",
            record->request, target->name, record->body_bytes,
            record->body_sum);
  snprintf (headers, sizeof headers, "Fake-Target: %s\r\n", target->name);
  request_answer (request, 200, headers, "application/json", body);
}

/* Answers with a body of SIZE bytes (bytes=N in the query).  In the mode
   FAKE_CUT only half of it is sent before the connection is closed.  */
static void
answer_bytes (struct request *request, uint64_t size, enum fake_mode mode)
{
  char buffer[4096];

  memset (buffer, 'x', sizeof buffer);
  mg_printf (request->connection,
             "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
             "Content-Length: %" PRIu64 "\r\n\r\n",
             size);
  if (mode == FAKE_CUT)
    {
      size /= 2;
      mg_disable_connection_keep_alive (request->connection);
    }
  while (size > 0)
    {
      size_t part = size < sizeof buffer ? (size_t)size : sizeof buffer;

      if (mg_write (request->connection, buffer, part) <= 0)
        return;
      size -= part;
    }
}

/* Waits until the caller disconnects or the target stops, then closes the
   connection without an answer.  */
static void
wait_for_disconnect (struct fake_target *target, struct request *request)
{
  while (simulate_work (target, request, 100 * CP_US_PER_MS))
    continue;
  mg_disable_connection_keep_alive (request->connection);
}

/* Returns whether the time in Cornelpick-Remaining-Ms has passed since the
   call arrived.  */
static bool
deadline_passed (const struct request *request)
{
  const char *remaining = request_header (request, "Cornelpick-Remaining-Ms");
  uint64_t used = cp_clock_now_us (&cp_clock_boot) - request->arrived_us;

  return remaining != NULL
         && used / CP_US_PER_MS > strtoull (remaining, NULL, 10);
}

static void
serve_call (struct fake_target *target, struct request *request)
{
  struct call_record *record = add_call_record (target, request);
  const char *query = request->info->query_string;
  enum fake_mode mode = target->mode;
  bool done;

  read_upload (request, record);
  acquire_slot (target);
  if (deadline_passed (request))
    {
      release_slot (target);
      request_answer (request, 504, NULL, "text/plain", "out of time\n");
      return;
    }
  if (mode == FAKE_SILENT)
    wait_for_disconnect (target, request);
  done = mode != FAKE_SILENT
         && simulate_work (target, request, draw_service_us (target));
  release_slot (target);
  if (!done)
    {
      mg_disable_connection_keep_alive (request->connection);
      return;
    }
  __atomic_store_n (&record->ended, true, __ATOMIC_RELAXED);
  if (mode == FAKE_CUT)
    answer_bytes (request, 1000, mode);
  else if (query != NULL && strncmp (query, "bytes=", 6) == 0)
    answer_bytes (request, strtoull (query + 6, NULL, 10), mode);
  else
    answer_call (target, request, record);
}

static void
answer_load (struct fake_target *target, struct request *request)
{
  char body[128];
  unsigned in_flight;

  pthread_mutex_lock (&target->lock);
  target->probe_times_us[target->probes++ % FAKE_PROBES_KEPT]
      = request->arrived_us;
  in_flight = reported_load (target);
  pthread_mutex_unlock (&target->lock);
  if (target->hang_pages)
    {
      wait_for_disconnect (target, request);
      return;
    }
  snprintf (body, sizeof body, "{\"in_flight\": %u, \"draining\": %s}\n",
            in_flight, target->draining ? "true" : "false");
  request_answer (request, target->draining ? 503 : 200, NULL,
                  "application/json", body);
}

/* Answers with the number of reads of /load and /health and the times of the
   last FAKE_PROBES_KEPT.  */
static void
answer_probes (struct fake_target *target, struct request *request)
{
  CP_AUTO_JSON json_t *times = json_array ();
  CP_AUTO_JSON json_t *root = NULL;
  CP_AUTO_FREE char *text = NULL;
  uint64_t first;

  pthread_mutex_lock (&target->lock);
  first = target->probes > FAKE_PROBES_KEPT ? target->probes - FAKE_PROBES_KEPT
                                            : 0;
  for (uint64_t i = first; i < target->probes; i++)
    json_array_append_new (
        times, json_integer (
                   (json_int_t)target->probe_times_us[i % FAKE_PROBES_KEPT]));
  root = json_pack ("{s:I, s:O}", "count", (json_int_t)target->probes,
                    "times_us", times);
  pthread_mutex_unlock (&target->lock);
  text = json_dumps (root, JSON_COMPACT);
  request_answer (request, 200, NULL, "application/json", text);
}

static void
answer_journal (struct fake_target *target, struct request *request)
{
  GString *text = g_string_new (NULL);
  struct call_record *record;

  pthread_mutex_lock (&target->lock);
  cds_list_for_each_entry (record, &target->journal, node)
      g_string_append_printf (
          text, "%s %s %" PRIu64 " %s\n", record->request, record->method,
          record->body_bytes,
          __atomic_load_n (&record->ended, __ATOMIC_RELAXED) ? "ended"
                                                             : "started");
  pthread_mutex_unlock (&target->lock);
  request_answer (request, 200, NULL, "text/plain", text->str);
  g_string_free (text, TRUE);
}

static void
answer_control (struct fake_target *target, struct request *request)
{
  GString *body = g_string_new (NULL);
  bool done = fake_read_body (request, body)
              && fake_target_control (target, body->str, body->len);

  request_answer (request, done ? 200 : 400, NULL, "text/plain",
                  done ? "done\n" : "unknown key or value\n");
  g_string_free (body, TRUE);
}

static void
handle (void *context, struct request *request)
{
  struct fake_target *target = context;
  const char *path = request->info->request_uri;

  if (strcmp (path, "/fake/journal") == 0)
    answer_journal (target, request);
  else if (strcmp (path, "/fake/probes") == 0)
    answer_probes (target, request);
  else if (strcmp (path, "/fake/control") == 0)
    answer_control (target, request);
  else if (strcmp (path, "/load") == 0 || strcmp (path, "/health") == 0)
    answer_load (target, request);
  else if (target->mode == FAKE_FAIL)
    request_answer (request, 500, NULL, "text/plain", "failing\n");
  else if (target->mode == FAKE_SHED || target->draining)
    request_answer (request, 503, "Retry-After: 1\r\n", "text/plain",
                    "shedding\n");
  else
    serve_call (target, request);
}

/* Sets one value; returns false for an unknown key or mode.  The lock is
   held.  */
static bool
set_control_value (struct fake_target *target, const char *key, json_t *value)
{
  const char *text = json_string_value (value);

  if (strcmp (key, "service_ms") == 0)
    target->service_ms = json_number_value (value);
  else if (strcmp (key, "fixed_ms") == 0)
    target->fixed_ms = json_number_value (value);
  else if (strcmp (key, "slots") == 0)
    target->slots = (unsigned)json_integer_value (value);
  else if (strcmp (key, "draining") == 0)
    target->draining = json_is_true (value);
  else if (strcmp (key, "load_lag_ms") == 0)
    target->load_lag_us = (uint64_t)json_integer_value (value) * CP_US_PER_MS;
  else if (strcmp (key, "cold_ms") == 0)
    {
      target->cold_us = (uint64_t)json_integer_value (value) * CP_US_PER_MS;
      target->cold_since_us = cp_clock_now_us (&cp_clock_boot);
    }
  else if (strcmp (key, "lie_idle") == 0)
    target->lie_idle = json_is_true (value);
  else if (strcmp (key, "hang_pages") == 0)
    target->hang_pages = json_is_true (value);
  else if (strcmp (key, "mode") == 0 && text != NULL)
    {
      for (unsigned i = 0; i < FAKE_MODE_COUNT; i++)
        if (strcmp (text, mode_names[i]) == 0)
          {
            target->mode = (enum fake_mode)i;
            return true;
          }
      return false;
    }
  else
    return false;
  return true;
}

bool
fake_target_control (struct fake_target *target, const char *text,
                     size_t length)
{
  CP_AUTO_JSON json_t *root = json_loadb (text, length, 0, NULL);
  const char *key;
  json_t *value;

  if (!json_is_object (root))
    return false;
  CP_LOCK_SCOPE (&target->lock);
  json_object_foreach (root, key, value)
  {
    if (!set_control_value (target, key, value))
      return false;
  }
  pthread_cond_broadcast (&target->slot_freed);
  return true;
}

int
fake_target_start (struct fake_target *target, const char *name,
                   const struct cp_address *address, uint64_t seed,
                   struct cp_error *error)
{
  memset (target, 0, sizeof *target);
  pthread_mutex_init (&target->lock, NULL);
  fake_condition_init (&target->slot_freed);
  CDS_INIT_LIST_HEAD (&target->journal);
  cp_seeded_random_init (&target->random, seed);
  g_strlcpy (target->name, name, sizeof target->name);
  target->slots = 12;
  target->service_ms = 2;
  target->listener.clock = &cp_clock_boot;
  target->listener.handle = handle;
  target->listener.context = target;
  return listener_start (&target->listener, address,
                         fake_thread_count (TARGET_THREADS), error);
}

void
fake_target_stop (struct fake_target *target)
{
  struct call_record *record, *next;

  pthread_mutex_lock (&target->lock);
  target->stopping = true;
  pthread_cond_broadcast (&target->slot_freed);
  pthread_mutex_unlock (&target->lock);
  listener_stop (&target->listener);
  cds_list_for_each_entry_safe (record, next, &target->journal, node)
      free (record);
  cp_seeded_random_finish (&target->random);
}

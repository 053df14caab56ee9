/* Uploads: memory use, and the result when a daemon is killed meanwhile.  */
#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "regress/harness/campaign.h"
#include "regress/harness/suite.h"

#define MEGABYTE 1000000L
#define LARGE_BYTES (200 * MEGABYTE)
/* Well below LARGE_BYTES, with a margin for the memory of a sanitizer.  */
#define DAEMON_KB_MAX 150000
#define BLOCK_BYTES 65536

/* An upload made by a thread of its own.  */
struct upload
{
  struct fleet *fleet;
  pthread_t thread;
  long size;
  long pause_at; /* waits there for resume; 0: does not wait */
  long sent;
  uint64_t sum;
  bool paused;
  bool resume;
  struct reply reply;
};

static size_t
read_upload (char *buffer, size_t size, size_t count, void *context)
{
  struct upload *upload = context;
  size_t length = size * count;

  if (upload->pause_at > 0 && upload->sent >= upload->pause_at)
    {
      __atomic_store_n (&upload->paused, true, __ATOMIC_RELEASE);
      while (!__atomic_load_n (&upload->resume, __ATOMIC_ACQUIRE))
        usleep (1000);
    }
  if (length > BLOCK_BYTES)
    length = BLOCK_BYTES;
  if ((long)length > upload->size - upload->sent)
    length = (size_t)(upload->size - upload->sent);
  for (size_t i = 0; i < length; i++)
    {
      buffer[i] = (char)('a' + (upload->sent + (long)i) % 23);
      upload->sum += (unsigned char)buffer[i];
    }
  upload->sent += (long)length;
  return length;
}

static size_t
append (char *data, size_t size, size_t count, void *context)
{
  g_string_append_len (context, data, (gssize)(size * count));
  return size * count;
}

static void *
run_upload (void *context)
{
  struct upload *upload = context;
  CURL *easy = curl_easy_init ();
  struct curl_slist *headers = curl_slist_append (NULL, "Host: shop.example");
  char address[56];
  char url[128];
  long status = 0;

  snprintf (url, sizeof url, "http://%s/uploads/photo",
            fleet_address (upload->fleet, 1, 8000, address));
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_UPLOAD, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_INFILESIZE_LARGE, (curl_off_t)upload->size);
  curl_easy_setopt (easy, CURLOPT_READFUNCTION, read_upload);
  curl_easy_setopt (easy, CURLOPT_READDATA, upload);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, upload->reply.body);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, append);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, upload->reply.head);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 60000L);
  if (curl_easy_perform (easy) == CURLE_OK)
    curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  upload->reply.status = (int)status;
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  return NULL;
}

static void
upload_start (struct upload *upload, struct fleet *fleet, long size,
              long pause_at)
{
  memset (upload, 0, sizeof *upload);
  upload->fleet = fleet;
  upload->size = size;
  upload->pause_at = pause_at;
  reply_init (&upload->reply);
  pthread_create (&upload->thread, NULL, run_upload, upload);
}

/* Checks that exactly the bytes of this upload were received.  */
static void
check_whole (const struct upload *upload)
{
  char expected[96];

  ck_assert_int_eq (upload->reply.status, 200);
  snprintf (expected, sizeof expected, "\"bytes\": %ld, \"sum\": %lu",
            upload->size, (unsigned long)upload->sum);
  ck_assert_msg (strstr (upload->reply.body->str, expected) != NULL,
                 "%s is not in %s", expected, upload->reply.body->str);
}

/* Returns the peak resident memory of a daemon.  */
static long
peak_kb (const struct process *process)
{
  char path[64];
  char line[256];
  long kb = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)process->pid);
  file = fopen (path, "r");
  ck_assert_ptr_nonnull (file);
  while (fgets (line, sizeof line, file) != NULL)
    if (strncmp (line, "VmHWM:", 6) == 0)
      kb = strtol (line + 6, NULL, 10);
  fclose (file);
  return kb;
}

START_TEST (a_large_upload_takes_bounded_memory)
{
  static struct fleet fleet;
  struct upload upload;

  fleet_start (&fleet, 2, 2, campaign_gate);
  upload_start (&upload, &fleet, LARGE_BYTES, 0);
  pthread_join (upload.thread, NULL);
  check_whole (&upload);
  for (unsigned vm = 1; vm <= 2; vm++)
    {
      long kb = peak_kb (&fleet.daemons[vm]);

      printf ("daemon %u: at most %ld KB\n", vm, kb);
      ck_assert_int_le (kb, DAEMON_KB_MAX);
    }
  reply_finish (&upload.reply);
  fleet_stop (&fleet);
}
END_TEST

static bool
is_paused (void *context)
{
  struct upload *upload = context;

  return __atomic_load_n (&upload->paused, __ATOMIC_ACQUIRE);
}

/* Kills a daemon whose inbound side has a call in flight.  Returns false when
   there is none.  */
static bool
kill_busy_daemon (void *context)
{
  struct fleet *fleet = context;

  for (unsigned vm = 2; vm <= fleet->n_vms; vm++)
    {
      json_t *state = fleet_state (fleet, vm);
      json_t *inbound = json_object_get (state, "inbound");
      bool busy
          = json_integer_value (json_object_get (inbound, "in_flight")) > 0;

      json_decref (state);
      if (!busy)
        continue;
      process_signal (&fleet->daemons[vm], SIGKILL);
      return true;
    }
  return false;
}

static void
upload_through_a_crash (struct fleet *fleet, struct upload *upload, long size,
                        long pause_at)
{
  upload_start (upload, fleet, size, pause_at);
  wait_until (is_paused, upload);
  wait_until (kill_busy_daemon, fleet);
  __atomic_store_n (&upload->resume, true, __ATOMIC_RELEASE);
  pthread_join (upload->thread, NULL);
}

START_TEST (a_buffered_upload_survives_a_crash)
{
  static struct fleet fleet;
  struct upload upload;

  fleet_start (&fleet, 3, 3, campaign_gate);
  upload_through_a_crash (&fleet, &upload, 6 * MEGABYTE, 3 * MEGABYTE);
  check_whole (&upload);
  reply_finish (&upload.reply);
  fleet_stop (&fleet);
}
END_TEST

START_TEST (an_upload_too_large_to_buffer_is_unknown)
{
  static struct fleet fleet;
  struct upload upload;
  struct upload next;
  char outcome[16];

  fleet_start (&fleet, 3, 3, campaign_gate);
  upload_through_a_crash (&fleet, &upload, 40 * MEGABYTE, 30 * MEGABYTE);
  ck_assert_int_eq (upload.reply.status, 502);
  ck_assert (reply_header (&upload.reply, "Cornelpick-Outcome", outcome,
                           sizeof outcome));
  ck_assert_str_eq (outcome, "unknown");
  upload_start (&next, &fleet, MEGABYTE, 0);
  pthread_join (next.thread, NULL);
  check_whole (&next);
  reply_finish (&upload.reply);
  reply_finish (&next.reply);
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, a_large_upload_takes_bounded_memory);
  tcase_add_test (tests, a_buffered_upload_survives_a_crash);
  tcase_add_test (tests, an_upload_too_large_to_buffer_is_unknown);
}

int
main (void)
{
  return suite_run ("attempts_uploads", add_tests, 90);
}

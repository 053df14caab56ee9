/* The stand-in of the clients.  */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "review/rig_internal.h"

/* Clients allow a new connection one second.  */
#define CONNECT_TIMEOUT_MS 1000

/* Bytes of a body that are written, or read by a slow client, at a time.  */
#define CHUNK_BYTES 65536

/* Receive buffer of a client that reads slowly.  */
#define SLOW_BUFFER_BYTES 65536

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static bool load_stopping;
static unsigned lost[RIG_VMS_MAX + 1];
static unsigned served[RIG_VMS_MAX + 1];
static unsigned last_id;

void
rig_client_init (void)
{
  srand ((unsigned)getpid ());
}

static void
new_id (char id[32])
{
  unsigned number;

  pthread_mutex_lock (&lock);
  number = ++last_id;
  pthread_mutex_unlock (&lock);
  snprintf (id, 32, "%08x%08x", (unsigned)getpid (), number);
}

int
rig_connect (unsigned vm)
{
  return rig_open (vm, RIG_PORT_CALLS, CONNECT_TIMEOUT_MS);
}

static void
set_read_limit (int fd, uint64_t ms)
{
  struct timeval limit = { .tv_sec = (time_t)(ms / 1000),
                           .tv_usec = (long)(ms % 1000) * 1000 + 1 };

  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
}

/* Waits until DONE bytes since BEGAN_MS are no more than PER_S a second; 0 for
   no limit.  */
static void
pace (uint64_t began_ms, size_t done, size_t per_s)
{
  uint64_t now_ms = rig_now_ms ();
  uint64_t due_ms;

  if (per_s == 0)
    return;
  due_ms = began_ms + done * 1000 / per_s;
  if (due_ms > now_ms)
    rig_sleep_ms ((unsigned)(due_ms - now_ms));
}

static bool
send_request (int fd, const struct rig_request *request)
{
  static const char filling[CHUNK_BYTES];
  size_t left = request->body_bytes;
  uint64_t began_ms = rig_now_ms ();
  char *head = rig_allocate (RIG_HEAD_BYTES);
  char length[64] = "";
  bool good;

  if (left > 0)
    snprintf (length, sizeof length, "Content-Length: %zu\r\n", left);
  snprintf (head, RIG_HEAD_BYTES,
            "%s %s HTTP/1.1\r\nHost: %s\r\nX-Cornelpick-Request-Id: %s\r\n"
            "X-Cornelpick-Deadline-Ms: %u\r\n%s\r\n",
            request->method, request->target, request->host, request->id,
            request->deadline_ms, length);
  good = rig_write (fd, head, strlen (head));
  free (head);
  while (good && left > 0)
    {
      size_t count = left < sizeof filling ? left : sizeof filling;

      pace (began_ms, request->body_bytes - left, request->write_per_s);
      good = rig_write (fd, filling, count);
      left -= count;
    }
  return good;
}

/* Returns the time in ms until the deadline of REQUEST, which was sent at
   BEGAN_MS; 0 if it has passed.  */
static uint64_t
time_left (const struct rig_request *request, uint64_t began_ms)
{
  uint64_t until_ms = began_ms + request->deadline_ms;
  uint64_t now_ms = rig_now_ms ();

  return until_ms <= now_ms ? 0 : until_ms - now_ms;
}

static void
read_answer_body (int fd, struct rig_head *head,
                  const struct rig_request *request, uint64_t began_ms,
                  struct rig_answer *answer)
{
  uint64_t body_ms = rig_now_ms ();

  while (answer->received < answer->length)
    {
      uint64_t left_ms = time_left (request, began_ms);
      size_t left = answer->length - answer->received;
      size_t count;

      if (left_ms == 0)
        break;
      if (request->read_per_s > 0)
        {
          pace (body_ms, answer->received, request->read_per_s);
          left = left < CHUNK_BYTES / 4 ? left : CHUNK_BYTES / 4;
        }
      set_read_limit (fd, left_ms);
      count = rig_read_body (fd, head, left);
      if (count == 0)
        break;
      answer->received += count;
    }
  answer->complete = answer->received == answer->length;
}

bool
rig_call (int fd, const struct rig_request *request, struct rig_answer *answer)
{
  struct rig_head *head = rig_allocate (sizeof *head);
  uint64_t began_ms = rig_now_ms ();
  char length[32];

  *answer = (struct rig_answer){ 0 };
  if (request->read_per_s > 0)
    {
      int size = SLOW_BUFFER_BYTES;

      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
    }
  send_request (fd, request);
  set_read_limit (fd, request->deadline_ms);
  if (rig_read_head (fd, head))
    {
      answer->status = (unsigned)strtoul (head->text + 9, NULL, 10);
      rig_header (head, "Content-Length", length, sizeof length);
      answer->length = strtoul (length, NULL, 10);
      read_answer_body (fd, head, request, began_ms, answer);
    }
  free (head);
  answer->took_ms = rig_now_ms () - began_ms;
  answer->late = answer->took_ms >= request->deadline_ms;
  return answer->complete;
}

bool
rig_call_and_record (int fd, const struct rig_request *request,
                     struct rig_answer *answer)
{
  bool complete = rig_call (fd, request, answer);

  rig_record ("%s %s%s id %.24s%s (%zu bytes), %zu bytes of body, deadline %u "
              "ms: status %u, %zu of %zu bytes, %s after %llu ms; runs at "
              "servers: %u",
              request->method, request->host, request->target, request->id,
              strlen (request->id) > 24 ? ".." : "", strlen (request->id),
              request->body_bytes, request->deadline_ms, answer->status,
              answer->received, answer->length,
              complete       ? "complete"
              : answer->late ? "given up"
                             : "the connection closed",
              (unsigned long long)answer->took_ms, rig_runs (request->id));
  return complete;
}

static bool
is_stopping (void)
{
  bool stopping;

  pthread_mutex_lock (&lock);
  stopping = load_stopping;
  pthread_mutex_unlock (&lock);
  return stopping;
}

static void
count (unsigned counts[RIG_VMS_MAX + 1], unsigned vm)
{
  pthread_mutex_lock (&lock);
  counts[vm]++;
  pthread_mutex_unlock (&lock);
}

/* Makes one request on FD, KEPT from earlier ones.  Returns whether the
   connection can be used on.  */
static bool
load_call (const struct rig_load *load, int fd, bool kept)
{
  char id[32];
  struct rig_request request = { .method = "GET",
                                 .host = load->host,
                                 .target = load->target,
                                 .id = id,
                                 .deadline_ms = load->deadline_ms };
  struct rig_answer answer;

  new_id (id);
  if (rig_call (fd, &request, &answer))
    {
      if (answer.status == 200)
        count (served, load->vm);
      return true;
    }
  if (kept && !answer.late && rig_runs (id) > 0)
    {
      count (lost, load->vm);
      rig_record ("client on vm %u: request %s on a kept connection ran at a "
                  "server; the connection closed after %llu ms without an "
                  "answer",
                  load->vm, id, (unsigned long long)answer.took_ms);
    }
  return false;
}

static void *
run_client (void *context)
{
  const struct rig_load *load = context;

  while (!is_stopping ())
    {
      int fd = rig_connect (load->vm);
      bool kept = false;

      while (fd >= 0 && !is_stopping () && load_call (load, fd, kept))
        kept = true;
      if (fd >= 0)
        close (fd);
      rig_sleep_ms (50);
    }
  return NULL;
}

void
rig_load_start (const struct rig_load *load)
{
  for (unsigned i = 0; i < load->clients; i++)
    rig_thread (run_client, (void *)load);
}

void
rig_load_stop (void)
{
  pthread_mutex_lock (&lock);
  load_stopping = true;
  pthread_mutex_unlock (&lock);
}

static unsigned
read_count (const unsigned counts[RIG_VMS_MAX + 1], unsigned vm)
{
  unsigned number;

  pthread_mutex_lock (&lock);
  number = counts[vm];
  pthread_mutex_unlock (&lock);
  return number;
}

unsigned
rig_load_lost (unsigned vm)
{
  return read_count (lost, vm);
}

unsigned
rig_load_served (unsigned vm)
{
  return read_count (served, vm);
}

bool
rig_judge_lost (unsigned vm)
{
  unsigned n_lost = rig_load_lost (vm);

  rig_record ("vm %u: %u requests served; %u requests of kept connections ran "
              "and were not answered (%d are allowed); the daemon ended %u "
              "times by itself or over its memory; peak %u MB of %d",
              vm, rig_load_served (vm), n_lost, RIG_LOST_MAX, rig_ends (vm),
              rig_memory_peak_mb (vm), RIG_MEMORY_MB);
  return n_lost > RIG_LOST_MAX;
}

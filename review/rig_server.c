/* The stand-in of the servers.  A request whose connection closes is run to
   its end.  */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/rig_internal.h"

#define SLOTS 13
#define BUCKETS 4096

struct run
{
  struct run *next;
  unsigned count;
  char id[];
};

struct guest
{
  unsigned vm;
  int fd;
  char *copied_id; /* of a refusal of which a copy is to be sent, or NULL */
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct run *runs[BUCKETS];
static unsigned running[RIG_VMS_MAX + 1];
static struct rig_server_faults faults[RIG_VMS_MAX + 1];
static unsigned seed = 1;

static struct run **
find_run (const char *id)
{
  unsigned hash = 5381;
  struct run **at;

  for (const char *c = id; *c != '\0'; c++)
    hash = hash * 33 + (unsigned char)*c;
  at = &runs[hash % BUCKETS];
  while (*at != NULL && strcmp ((*at)->id, id) != 0)
    at = &(*at)->next;
  return at;
}

unsigned
rig_runs (const char *id)
{
  struct run **at;
  unsigned count;

  pthread_mutex_lock (&lock);
  at = find_run (id);
  count = *at == NULL ? 0 : (*at)->count;
  pthread_mutex_unlock (&lock);
  return count;
}

void
rig_server_set_faults (unsigned vm, const struct rig_server_faults *of)
{
  pthread_mutex_lock (&lock);
  faults[vm] = *of;
  pthread_mutex_unlock (&lock);
}

/* Returns whether a fault of PERCENT occurs.  */
static bool
draw (unsigned percent)
{
  bool drawn;

  pthread_mutex_lock (&lock);
  drawn = (unsigned)rand_r (&seed) % 100 < percent;
  pthread_mutex_unlock (&lock);
  return drawn;
}

/* Begins a run of request ID.  Returns false if all slots are taken.  */
static bool
begin_run (unsigned vm, const char *id)
{
  bool free_slot;
  struct run **at;

  pthread_mutex_lock (&lock);
  free_slot = running[vm] < SLOTS;
  at = find_run (id);
  if (free_slot && *at == NULL)
    {
      *at = rig_allocate (sizeof **at + strlen (id) + 1);
      memcpy ((*at)->id, id, strlen (id) + 1);
    }
  if (free_slot)
    {
      (*at)->count++;
      running[vm]++;
    }
  pthread_mutex_unlock (&lock);
  return free_slot;
}

static unsigned
end_run (unsigned vm)
{
  unsigned left;

  pthread_mutex_lock (&lock);
  left = --running[vm];
  pthread_mutex_unlock (&lock);
  return left;
}

static unsigned
count_running (unsigned vm)
{
  unsigned count;

  pthread_mutex_lock (&lock);
  count = running[vm];
  pthread_mutex_unlock (&lock);
  return count;
}

static bool
answer (const struct guest *guest, const char *status, const char *id,
        const char *more, size_t length)
{
  static const char filling[65536];
  char head[1024 + RIG_HEAD_BYTES];

  snprintf (head, sizeof head,
            "HTTP/1.1 %s\r\nX-Cornelpick-Request-Id: %s\r\n"
            "Keep-Alive: timeout=10\r\nContent-Length: %zu\r\n%s\r\n",
            status, id, length, more);
  if (!rig_write (guest->fd, head, strlen (head)))
    return false;
  while (length > 0)
    {
      size_t count = length < sizeof filling ? length : sizeof filling;

      if (!rig_write (guest->fd, filling, count))
        return false;
      length -= count;
    }
  return true;
}

static bool
skip_body (const struct guest *guest, struct rig_head *head)
{
  char value[32];
  size_t left;

  rig_header (head, "Content-Length", value, sizeof value);
  left = strtoul (value, NULL, 10);
  while (left > 0)
    {
      size_t count = rig_read_body (guest->fd, head, left);

      if (count == 0)
        return false;
      left -= count;
    }
  return true;
}

static bool
refuse (const struct guest *guest, const char *id)
{
  return answer (guest, "503 Service Unavailable", id,
                 "X-Cornelpick-Not-Executed: 1\r\n", 0);
}

/* Refuses request ID although there is room.  */
static bool
shed (struct guest *guest, const char *id)
{
  const struct rig_server_faults *of = &faults[guest->vm];

  if (draw (of->copy_percent))
    {
      free (guest->copied_id);
      guest->copied_id = strdup (id);
      of->on_copy (guest->vm);
      rig_record ("the server on vm %u refuses request %s; a copy will follow",
                  guest->vm, id);
    }
  return refuse (guest, id);
}

/* Sends the second copy of an earlier refusal, if one is due.  */
static bool
send_copy (struct guest *guest)
{
  bool sent = true;

  if (guest->copied_id == NULL)
    return true;
  rig_record ("the server on vm %u sends the copy of its refusal of %s",
              guest->vm, guest->copied_id);
  sent = refuse (guest, guest->copied_id);
  free (guest->copied_id);
  guest->copied_id = NULL;
  return sent;
}

static bool
serve_request (struct guest *guest, struct rig_head *head)
{
  char instance[64];
  char expected[128];
  char load[256];
  char *id = rig_allocate (RIG_HEAD_BYTES);
  bool kept;

  rig_instance (guest->vm, instance);
  rig_header (head, "X-Cornelpick-Expect-Instance", expected, sizeof expected);
  rig_header (head, "X-Cornelpick-Request-Id", id, RIG_HEAD_BYTES);
  if (strncmp (head->text, "GET /health ", 12) == 0)
    {
      snprintf (load, sizeof load,
                "X-Cornelpick-Instance-Id: %s\r\n"
                "X-Cornelpick-Server-Load: %u,0,%d,100\r\n",
                instance, count_running (guest->vm), SLOTS);
      kept = answer (guest, "200 OK", id, load, 0);
    }
  else if (!skip_body (guest, head))
    kept = false;
  else if (expected[0] != '\0' && strcmp (expected, instance) != 0)
    kept = answer (guest, "421 Misdirected Request", id, "", 0);
  else if (draw (faults[guest->vm].shed_percent))
    kept = shed (guest, id);
  else if (!begin_run (guest->vm, id))
    kept = refuse (guest, id);
  else if (!send_copy (guest))
    {
      end_run (guest->vm);
      kept = false;
    }
  else
    {
      rig_sleep_ms ((unsigned)rig_parameter (head, "work"));
      snprintf (load, sizeof load,
                "X-Cornelpick-Response-Signature: 3e1b.07.5a2.600.0.c9\r\n"
                "X-Cornelpick-Server-Load: %u,0,%d,100\r\n",
                end_run (guest->vm), SLOTS);
      kept = answer (guest, "200 OK", id, load, rig_parameter (head, "bytes"));
    }
  free (id);
  return kept;
}

static void *
serve (void *context)
{
  struct guest *guest = context;
  struct rig_head *head = rig_allocate (sizeof *head);

  while (rig_read_head (guest->fd, head) && serve_request (guest, head))
    ;
  close (guest->fd);
  free (head);
  free (guest->copied_id);
  free (guest);
  return NULL;
}

/* A server as its accepting thread sees it.  */
struct listening
{
  unsigned vm;
  int fd;
};

static void *
accept_all (void *context)
{
  const struct listening *listening = context;

  while (!rig_is_stopping ())
    {
      int fd = accept4 (listening->fd, NULL, NULL, SOCK_CLOEXEC);
      struct guest *guest = rig_allocate (sizeof *guest);

      *guest = (struct guest){ .vm = listening->vm, .fd = fd };
      if (fd >= 0)
        rig_thread (serve, guest);
      else
        free (guest);
    }
  return NULL;
}

void
rig_server_start (unsigned vm)
{
  static struct listening all[RIG_VMS_MAX + 1];

  all[vm] = (struct listening){ vm, rig_listen (vm, RIG_PORT_SERVER) };
  rig_require (all[vm].fd >= 0, "cannot listen for a server");
  rig_thread (accept_all, &all[vm]);
}

/* The stand-in of a server.  */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/stand_ins_internal.h"

#define SLOTS 12

struct server
{
  char id[64];
  int listener;
  pthread_mutex_t lock;
  GArray *fds; /* open connections */
  unsigned runs;
  unsigned running;
  int64_t last_ms;
  bool ended;
  int slow_factor;
};

struct visit
{
  struct server *server;
  struct input input;
};

static bool
respond (struct visit *visit, const char *status, const char *id,
         const char *more, size_t length)
{
  char head[512];

  g_snprintf (head, sizeof head,
              "HTTP/1.1 %s\r\n%s%s%s%sKeep-Alive: timeout=10\r\n"
              "X-Cornelpick-Instance-Id: %s\r\n"
              "X-Cornelpick-Server-Load: %u,0,%d,100\r\n"
              "Content-Length: %zu\r\n\r\n",
              status, id[0] == '\0' ? "" : "X-Cornelpick-Request-Id: ", id,
              id[0] == '\0' ? "" : "\r\n", more, visit->server->id,
              visit->server->running, SLOTS, length);
  return send_bytes (visit->input.fd, head, strlen (head))
         && send_filler (visit->input.fd, length);
}

/* Reads the body of the request with HEAD and runs it.  */
static bool
run_request (struct visit *visit, const char *head, const char *id)
{
  struct server *server = visit->server;
  char length[32];
  size_t expected;
  bool answered;

  find_header (head, "Content-Length", length, sizeof length);
  expected = (size_t)strtoul (length, NULL, 10);
  if (drop_bytes (&visit->input, expected) < expected)
    return false;
  pthread_mutex_lock (&server->lock);
  server->runs++;
  server->running++;
  server->last_ms = now_ms ();
  pthread_mutex_unlock (&server->lock);
  note ("%s runs %s, %zu bytes", server->id, id, expected);
  sleep_ms (query_number (head, "ms", 20) * server->slow_factor);
  answered = respond (visit, "200 OK", id,
                      "X-Cornelpick-Response-Signature: 1.2.3\r\n",
                      (size_t)query_number (head, "size", 400));
  pthread_mutex_lock (&server->lock);
  server->running--;
  pthread_mutex_unlock (&server->lock);
  return answered;
}

static bool
answer_request (struct visit *visit, const char *head)
{
  char id[128];
  char instance[64];

  if (g_str_has_prefix (head, "GET /health "))
    return respond (visit, "200 OK", "", "", 0);
  find_header (head, "X-Cornelpick-Request-Id", id, sizeof id);
  find_header (head, "X-Cornelpick-Expect-Instance", instance,
               sizeof instance);
  if (instance[0] == '\0' || strcmp (instance, visit->server->id) == 0)
    return run_request (visit, head, id);
  note ("%s is not %s: 421 to %s", visit->server->id, instance, id);
  return respond (visit, "421 Misdirected Request", id,
                  "X-Cornelpick-Not-Executed: 1\r\n", 0);
}

static void
forget_connection (struct server *server, int fd)
{
  pthread_mutex_lock (&server->lock);
  for (unsigned i = 0; i < server->fds->len; i++)
    if (g_array_index (server->fds, int, i) == fd)
      {
        g_array_remove_index_fast (server->fds, i);
        break;
      }
  close (fd);
  pthread_mutex_unlock (&server->lock);
}

static void *
serve (void *context)
{
  struct visit *visit = context;
  char *head;
  bool open = true;

  while (open && (head = read_head (&visit->input)) != NULL)
    {
      open = answer_request (visit, head);
      g_free (head);
    }
  forget_connection (visit->server, visit->input.fd);
  g_free (visit);
  return NULL;
}

static void *
accept_all (void *context)
{
  struct server *server = context;
  int fd;

  while ((fd = accept4 (server->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      struct visit *visit = g_new0 (struct visit, 1);

      visit->server = server;
      visit->input.fd = fd;
      pthread_mutex_lock (&server->lock);
      g_array_append_val (server->fds, fd);
      pthread_mutex_unlock (&server->lock);
      start_thread (serve, visit);
    }
  close (server->listener);
  return NULL;
}

struct server *
server_start (const char *ip, const char *id)
{
  struct server *server = g_new0 (struct server, 1);

  g_strlcpy (server->id, id, sizeof server->id);
  pthread_mutex_init (&server->lock, NULL);
  server->fds = g_array_new (FALSE, FALSE, sizeof (int));
  server->slow_factor = 1;
  server->listener = open_listener (ip, PORT_SERVER);
  start_thread (accept_all, server);
  return server;
}

void
server_end (struct server *server)
{
  note ("%s ends with %u requests at work", server->id, server->running);
  pthread_mutex_lock (&server->lock);
  server->ended = true;
  shutdown (server->listener, SHUT_RDWR);
  for (unsigned i = 0; i < server->fds->len; i++)
    shutdown (g_array_index (server->fds, int, i), SHUT_RDWR);
  pthread_mutex_unlock (&server->lock);
}

void
server_set_slow (struct server *server, int factor)
{
  server->slow_factor = factor;
  note ("%s takes %d times as long", server->id, factor);
}

unsigned
server_runs (struct server *server)
{
  unsigned runs;

  pthread_mutex_lock (&server->lock);
  runs = server->runs;
  pthread_mutex_unlock (&server->lock);
  return runs;
}

int64_t
server_last_ms (struct server *server)
{
  int64_t last_ms;

  pthread_mutex_lock (&server->lock);
  last_ms = server->last_ms;
  pthread_mutex_unlock (&server->lock);
  return last_ms;
}

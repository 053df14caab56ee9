#include <check.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib/address.h"
#include "regress/harness/script_target.h"

#define HEAD_BYTES_MAX 16384
#define POLL_MS 50
#define STRAY_US 20000

static const char stray_answer[]
    = "HTTP/1.1 200 OK\r\nCornelpick-Request: "
      "00000000000000000000000000000000\r\nContent-Length: 6\r\n\r\nstray\n";

/* One request as it was read.  */
struct script_request
{
  char kind[32];
  char id[40];
  bool head; /* the method is HEAD */
  long body_bytes;
  long remaining_ms;
  long depth;
};

void
script_body (const char *request, GString *body)
{
  g_string_truncate (body, 0);
  for (unsigned i = 0; i < SCRIPT_REPEATS; i++)
    g_string_append_printf (body, "%s\n", request);
}

static bool
send_all (int fd, const char *data, size_t size)
{
  while (size > 0)
    {
      ssize_t count = send (fd, data, size, MSG_NOSIGNAL);

      if (count <= 0)
        return false;
      data += count;
      size -= (size_t)count;
    }
  return true;
}

static bool
send_text (int fd, const char *text)
{
  return send_all (fd, text, strlen (text));
}

/* Reads up to the end of the head, byte by byte.  */
static bool
read_head (struct script_target *target, int fd, GString *head)
{
  g_string_truncate (head, 0);
  while (head->len < HEAD_BYTES_MAX)
    {
      struct pollfd poller = { .fd = fd, .events = POLLIN };
      char byte;

      if (__atomic_load_n (&target->stop, __ATOMIC_ACQUIRE))
        return false;
      if (poll (&poller, 1, POLL_MS) == 0)
        continue;
      if (recv (fd, &byte, 1, 0) != 1)
        return false;
      g_string_append_c (head, byte);
      if (g_str_has_suffix (head->str, "\r\n\r\n"))
        return true;
    }
  return false;
}

static void
copy_value (const char *head, const char *name, char *value, size_t size)
{
  const char *at = strcasestr (head, name);

  *value = '\0';
  if (at == NULL)
    return;
  at += strlen (name);
  g_strlcpy (value, at, size);
  value[strcspn (value, "\r\n")] = '\0';
}

static void
parse (const char *head, struct script_request *request)
{
  const char *path = strchr (head, ' ') + 1;
  size_t length = strcspn (path, " ?");
  const char *kind = path + length;
  char number[24];

  while (kind > path && kind[-1] != '/')
    kind--;
  g_strlcpy (request->kind, kind, sizeof request->kind);
  request->kind[strcspn (request->kind, " ?")] = '\0';
  request->head = strncmp (head, "HEAD ", 5) == 0;
  copy_value (head, "\r\nCornelpick-Request: ", request->id,
              sizeof request->id);
  copy_value (head, "\r\nContent-Length: ", number, sizeof number);
  request->body_bytes = strtol (number, NULL, 10);
  copy_value (head, "\r\nCornelpick-Remaining-Ms: ", number, sizeof number);
  request->remaining_ms = strtol (number, NULL, 10);
  copy_value (head, "\r\nTest-Depth: ", number, sizeof number);
  request->depth = strtol (number, NULL, 10);
}

static bool
skip_body (int fd, long size)
{
  char buffer[65536];

  while (size > 0)
    {
      ssize_t count = recv (fd, buffer, sizeof buffer, 0);

      if (count <= 0)
        return false;
      size -= count;
    }
  return true;
}

static bool
send_sized (int fd, const struct script_request *request, const char *status,
            size_t length, size_t sent, const char *data)
{
  char head[256];

  snprintf (head, sizeof head, "HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n",
            status, length);
  return send_text (fd, head) && (request->head || send_all (fd, data, sent));
}

static bool
send_chunks (int fd, const GString *body, bool whole)
{
  static const char head[]
      = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  size_t half = body->len / 2;
  char size[32];

  snprintf (size, sizeof size, "%zx\r\n", half);
  if (!send_text (fd, head) || !send_text (fd, size)
      || !send_all (fd, body->str, half) || !send_all (fd, "\r\n", 2))
    return false;
  if (!whole)
    return false;
  snprintf (size, sizeof size, "%zx\r\n", body->len - half);
  return send_text (fd, size)
         && send_all (fd, body->str + half, body->len - half)
         && send_all (fd, "\r\n0\r\n\r\n", 7);
}

static bool
send_closed (int fd, const GString *body)
{
  static const char head[] = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

  if (send_text (fd, head))
    send_all (fd, body->str, body->len);
  return false;
}

/* Sends a whole answer and another one together.  */
static bool
send_excess (int fd, const GString *body)
{
  GString *both = g_string_new (NULL);
  bool sent;

  g_string_printf (both, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s%s",
                   body->len, body->str, stray_answer);
  sent = send_all (fd, both->str, both->len);
  g_string_free (both, TRUE);
  return sent;
}

/* Calls on, as an application 12 deep would, and answers with what came.  */
static bool
answer_chain (struct script_target *target, int fd,
              const struct script_request *request, GString *body)
{
  char headers[160];
  struct reply reply;
  bool sent;

  usleep (CHAIN_WORK_US);
  g_string_printf (body, "%ld\n", request->remaining_ms);
  reply_init (&reply);
  reply.status = 200;
  snprintf (headers, sizeof headers,
            "Host: shop.example\nCornelpick-Remaining-Ms: %ld\n"
            "Cornelpick-Retry: none\nTest-Depth: %ld",
            request->remaining_ms - CHAIN_WORK_US / 1000, request->depth - 1);
  if (request->depth > 1)
    http_call (&reply, target->next, "GET", "/items/chain", headers, NULL,
               10000);
  g_string_append (body, reply.body->str);
  sent = send_sized (fd, request, reply.status == 200 ? "200 OK" : "500 Late",
                     body->len, body->len, body->str);
  reply_finish (&reply);
  return sent;
}

/* Answers in part while the rest of the body is not read, as KIND says.  */
static void
answer_upload (int fd, const char *kind, long body_bytes)
{
  static const char part[]
      = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf";
  const struct sockaddr none = { .sa_family = AF_UNSPEC };
  long read = 0;
  unsigned ms = 0;
  char end[8] = "";

  ck_assert_int_eq (sscanf (kind, "upload-%ld-%u-%7s", &read, &ms, end), 3);
  ck_assert_int_lt (read, body_bytes);
  if (!skip_body (fd, read) || !send_text (fd, part))
    return;
  if (strcmp (end, "fin") == 0)
    shutdown (fd, SHUT_WR);
  usleep (ms * 1000);
  /* This resets a connection.  */
  ck_assert_int_eq (connect (fd, &none, sizeof none), 0);
}

/* Answers one request.  Returns whether the connection is kept.  */
static bool
answer (struct script_target *target, int fd,
        const struct script_request *request, GString *body)
{
  const char *kind = request->kind;

  if (g_str_has_prefix (kind, "upload-"))
    {
      answer_upload (fd, kind, request->body_bytes);
      return false;
    }
  if (g_str_has_prefix (kind, "script-"))
    {
      const struct script *script
          = &target->scripts[strtol (kind + strlen ("script-"), NULL, 10)];

      if (skip_body (fd, request->body_bytes))
        send_all (fd, script->bytes, script->length);
      return false;
    }
  if (target->stray_pages
      && (strcmp (kind, "health") == 0 || strcmp (kind, "load") == 0))
    {
      if (!send_text (fd, stray_answer))
        return false;
      usleep (STRAY_PAGE_US);
    }
  script_body (request->id, body);
  if (strcmp (kind, "early") == 0)
    return send_sized (fd, request, "413 Content Too Large", body->len,
                       body->len, body->str)
           && skip_body (fd, request->body_bytes);
  if (strcmp (kind, "continue") == 0)
    send_text (fd, "HTTP/1.1 100 Continue\r\n\r\n");
  if (!skip_body (fd, request->body_bytes))
    return false;
  if (strcmp (kind, "chain") == 0)
    return answer_chain (target, fd, request, body);
  if (strcmp (kind, "chunked") == 0)
    return send_chunks (fd, body, true);
  if (strcmp (kind, "cutchunk") == 0)
    return send_chunks (fd, body, false);
  if (strcmp (kind, "closed") == 0)
    return send_closed (fd, body);
  if (strcmp (kind, "short") == 0)
    return send_sized (fd, request, "200 OK", 2 * body->len, body->len,
                       body->str)
           && false;
  if (strcmp (kind, "204") == 0)
    return send_text (fd, "HTTP/1.1 204 No Content\r\n\r\n");
  if (strcmp (kind, "304") == 0)
    return send_text (fd, "HTTP/1.1 304 Not Modified\r\nETag: \"1\"\r\n\r\n");
  if (strcmp (kind, "interim") == 0)
    send_text (fd, "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n");
  if (strcmp (kind, "long") == 0)
    return send_sized (fd, request, "200 OK", body->len / 2, body->len,
                       body->str);
  if (strcmp (kind, "excess") == 0)
    return send_excess (fd, body);
  if (!send_sized (fd, request, "200 OK", body->len, body->len, body->str))
    return false;
  if (strcmp (kind, "stray") != 0)
    return true;
  usleep (STRAY_US);
  return send_text (fd, stray_answer);
}

/* A connection and the target that it belongs to.  */
struct script_connection
{
  struct script_target *target;
  int fd;
};

static void *
serve (void *context)
{
  struct script_connection *connection = context;
  struct script_request request;
  GString *head = g_string_new (NULL);
  GString *body = g_string_new (NULL);

  do
    {
      if (!read_head (connection->target, connection->fd, head))
        break;
      parse (head->str, &request);
    }
  while (answer (connection->target, connection->fd, &request, body));
  shutdown (connection->fd, SHUT_RDWR);
  close (connection->fd);
  g_string_free (head, TRUE);
  g_string_free (body, TRUE);
  free (connection);
  return NULL;
}

static void *
accept_all (void *context)
{
  struct script_target *target = context;

  while (!__atomic_load_n (&target->stop, __ATOMIC_ACQUIRE))
    {
      struct pollfd poller = { .fd = target->listen_fd, .events = POLLIN };
      struct script_connection *connection;

      if (poll (&poller, 1, POLL_MS) <= 0)
        continue;
      connection = calloc (1, sizeof *connection);
      ck_assert_ptr_nonnull (connection);
      ck_assert_uint_lt (target->n_connections, SCRIPT_CONNECTIONS_MAX);
      connection->target = target;
      connection->fd = accept4 (target->listen_fd, NULL, NULL, SOCK_CLOEXEC);
      pthread_create (&target->connections[target->n_connections++], NULL,
                      serve, connection);
    }
  return NULL;
}

static void
start (struct script_target *target, const char *address)
{
  struct cp_address own;
  int one = 1;

  ck_assert (cp_address_parse (&own, address));
  target->listen_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (target->listen_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  /* Connections inherit it.  */
  if (target->receive_bytes > 0)
    setsockopt (target->listen_fd, SOL_SOCKET, SO_RCVBUF,
                &target->receive_bytes, sizeof target->receive_bytes);
  ck_assert_int_eq (bind (target->listen_fd, &own.socket.any, own.length), 0);
  ck_assert_int_eq (listen (target->listen_fd, SOMAXCONN), 0);
  ck_assert_int_eq (pthread_create (&target->thread, NULL, accept_all, target),
                    0);
}

void
script_target_start (struct script_target *target, const char *address)
{
  memset (target, 0, sizeof *target);
  start (target, address);
}

void
script_target_start_chained (struct script_target *target, const char *address,
                             const char *next)
{
  memset (target, 0, sizeof *target);
  g_strlcpy (target->next, next, sizeof target->next);
  start (target, address);
}

void
script_target_start_scripted (struct script_target *target,
                              const char *address,
                              const struct script *scripts)
{
  memset (target, 0, sizeof *target);
  target->scripts = scripts;
  target->receive_bytes = SCRIPT_RECEIVE_BYTES;
  start (target, address);
}

void
script_target_start_straying (struct script_target *target,
                              const char *address)
{
  memset (target, 0, sizeof *target);
  target->stray_pages = true;
  start (target, address);
}

void
script_target_stop (struct script_target *target)
{
  __atomic_store_n (&target->stop, true, __ATOMIC_RELEASE);
  pthread_join (target->thread, NULL);
  for (unsigned i = 0; i < target->n_connections; i++)
    pthread_join (target->connections[i], NULL);
  close (target->listen_fd);
}

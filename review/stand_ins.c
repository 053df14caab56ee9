/* What all stand-ins share: time, the record, sockets and heads.  */
#include <arpa/inet.h>
#include <errno.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/stand_ins_internal.h"

#define FILLER_BYTES 65536

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static gint64 began_us;

void
need (bool holds, const char *format, ...)
{
  va_list arguments;

  if (holds)
    return;
  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fputc ('\n', stderr);
  kill_daemons ();
  _exit (COULD_NOT_RUN);
}

void
open_record (const char *path)
{
  began_us = g_get_monotonic_time ();
  record_file = fopen (path, "w");
  need (record_file != NULL, "cannot write %s", path);
}

int64_t
now_ms (void)
{
  return (g_get_monotonic_time () - began_us) / 1000;
}

void
sleep_ms (int64_t ms)
{
  if (ms > 0)
    g_usleep ((gulong)ms * 1000);
}

void
note (const char *format, ...)
{
  va_list arguments;

  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%7.3f ", (double)now_ms () / 1000);
  va_start (arguments, format);
  vfprintf (record_file, format, arguments);
  va_end (arguments);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

bool
has_trouble (void)
{
  const char *trouble = getenv ("TROUBLE");

  return trouble == NULL || strcmp (trouble, "0") != 0;
}

static struct sockaddr_in
socket_address (const char *ip, unsigned port)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  inet_pton (AF_INET, ip, &address.sin_addr);
  return address;
}

int
open_listener (const char *ip, unsigned port)
{
  struct sockaddr_in address = socket_address (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  need (bind (fd, (struct sockaddr *)&address, sizeof address) == 0
            && listen (fd, 511) == 0,
        "cannot listen at %s:%u", ip, port);
  return fd;
}

int
open_connection (const char *ip, unsigned port)
{
  struct sockaddr_in address = socket_address (ip, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

bool
send_bytes (int fd, const void *bytes, size_t length)
{
  const char *at = bytes;

  while (length > 0)
    {
      ssize_t sent = send (fd, at, length, MSG_NOSIGNAL);

      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        return false;
      at += sent;
      length -= (size_t)sent;
    }
  return true;
}

bool
send_filler (int fd, size_t length)
{
  static const char filler[FILLER_BYTES];

  while (length > 0)
    {
      size_t part = MIN (length, sizeof filler);

      if (!send_bytes (fd, filler, part))
        return false;
      length -= part;
    }
  return true;
}

/* Reads more bytes into INPUT.  Returns false at the end.  */
static bool
fill (struct input *input)
{
  ssize_t count;

  if (input->start > 0)
    {
      memmove (input->bytes, input->bytes + input->start,
               input->end - input->start);
      input->end -= input->start;
      input->start = 0;
    }
  if (input->end == sizeof input->bytes)
    return false;
  count = recv (input->fd, input->bytes + input->end,
                sizeof input->bytes - input->end, 0);
  if (count <= 0)
    return false;
  input->end += (size_t)count;
  return true;
}

char *
read_head (struct input *input)
{
  for (;;)
    {
      char *from = input->bytes + input->start;
      char *end = memmem (from, input->end - input->start, "\r\n\r\n", 4);

      if (end != NULL)
        {
          input->start = (size_t)(end + 4 - input->bytes);
          return g_strndup (from, (gsize)(end + 4 - from));
        }
      if (!fill (input))
        return NULL;
    }
}

size_t
drop_bytes (struct input *input, size_t length)
{
  size_t dropped = 0;

  while (dropped < length)
    {
      size_t part;

      if (input->start == input->end && !fill (input))
        break;
      part = MIN (length - dropped, input->end - input->start);
      input->start += part;
      dropped += part;
    }
  return dropped;
}

void
find_header (const char *head, const char *name, char *value, size_t size)
{
  char *start = g_strdup_printf ("\r\n%s:", name);
  const char *at = strcasestr (head, start);
  size_t length;

  value[0] = '\0';
  if (at != NULL)
    {
      at += strlen (start);
      at += strspn (at, " ");
      length = strcspn (at, "\r");
      g_strlcpy (value, at, MIN (length + 1, size));
    }
  g_free (start);
}

long
query_number (const char *head, const char *name, long otherwise)
{
  size_t line = strcspn (head, "\r");
  char *text = g_strdup_printf ("%s=", name);
  const char *query = memchr (head, '?', line);
  const char *at = query == NULL ? NULL : strstr (query, text);
  long number = otherwise;

  if (at != NULL && at < head + line)
    number = strtol (at + strlen (text), NULL, 10);
  g_free (text);
  return number;
}

void
start_thread (void *(*run) (void *), void *context)
{
  pthread_attr_t attributes;
  pthread_t thread;

  pthread_attr_init (&attributes);
  pthread_attr_setdetachstate (&attributes, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attributes, 1U << 20);
  need (pthread_create (&thread, &attributes, run, context) == 0,
        "cannot start a thread");
  pthread_attr_destroy (&attributes);
}

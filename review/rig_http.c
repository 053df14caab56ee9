#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "review/rig_internal.h"

static struct sockaddr_in
socket_address (unsigned vm, unsigned port)
{
  struct sockaddr_in address = { .sin_family = AF_INET };
  char text[64];

  rig_address (vm, port, text);
  *strchr (text, ':') = '\0';
  inet_pton (AF_INET, text, &address.sin_addr);
  address.sin_port = htons ((uint16_t)port);
  return address;
}

uint64_t
rig_now_ms (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

void
rig_sleep_ms (unsigned ms)
{
  struct timespec time
      = { .tv_sec = ms / 1000, .tv_nsec = (long)(ms % 1000) * 1000000 };

  nanosleep (&time, NULL);
}

void
rig_thread (void *(*run) (void *context), void *context)
{
  pthread_t thread;

  rig_require (pthread_create (&thread, NULL, run, context) == 0,
               "cannot start a thread");
  pthread_detach (thread);
}

int
rig_listen (unsigned vm, unsigned port)
{
  struct sockaddr_in address = socket_address (vm, port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0
      && listen (fd, 256) == 0)
    return fd;
  close (fd);
  return -1;
}

int
rig_open (unsigned vm, unsigned port, unsigned timeout_ms)
{
  struct sockaddr_in address = socket_address (vm, port);
  struct timeval limit = { .tv_sec = timeout_ms / 1000,
                           .tv_usec = (long)(timeout_ms % 1000) * 1000 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

bool
rig_write (int fd, const char *text, size_t length)
{
  while (length > 0)
    {
      ssize_t sent = send (fd, text, length, MSG_NOSIGNAL);

      if (sent <= 0)
        return false;
      text += sent;
      length -= (size_t)sent;
    }
  return true;
}

bool
rig_read_head (int fd, struct rig_head *head)
{
  char *end;

  memcpy (head->text, head->rest, head->surplus);
  head->length = head->surplus;
  head->surplus = 0;
  for (;;)
    {
      ssize_t count;

      head->text[head->length] = '\0';
      end = strstr (head->text, "\r\n\r\n");
      if (end != NULL)
        break;
      if (head->length + 1 >= sizeof head->text)
        return false;
      count = recv (fd, head->text + head->length,
                    sizeof head->text - head->length - 1, 0);
      if (count <= 0)
        return false;
      head->length += (size_t)count;
    }
  end += strlen ("\r\n\r\n");
  head->surplus = head->length - (size_t)(end - head->text);
  memcpy (head->rest, end, head->surplus);
  *end = '\0';
  head->length = (size_t)(end - head->text);
  return true;
}

size_t
rig_read_body (int fd, struct rig_head *head, size_t length)
{
  static __thread char buffer[262144];
  ssize_t count;

  if (head->surplus > 0)
    {
      size_t taken = head->surplus < length ? head->surplus : length;

      head->surplus -= taken;
      memmove (head->rest, head->rest + taken, head->surplus);
      return taken;
    }
  count
      = recv (fd, buffer, length < sizeof buffer ? length : sizeof buffer, 0);
  return count <= 0 ? 0 : (size_t)count;
}

void
rig_header (const struct rig_head *head, const char *name, char *value,
            size_t size)
{
  const char *line = strstr (head->text, "\r\n");
  size_t length = strlen (name);

  value[0] = '\0';
  while (line != NULL)
    {
      line += strlen ("\r\n");
      if (strncasecmp (line, name, length) == 0 && line[length] == ':')
        {
          const char *from = line + length + 1;
          size_t count;

          from += strspn (from, " ");
          count = strcspn (from, "\r");
          if (count >= size)
            count = size - 1;
          memcpy (value, from, count);
          value[count] = '\0';
          return;
        }
      line = strstr (line, "\r\n");
    }
}

size_t
rig_parameter (const struct rig_head *head, const char *name)
{
  const char *end = strstr (head->text, "\r\n");
  const char *at = strchr (head->text, '?');
  size_t length = strlen (name);

  while (at != NULL && at < end)
    {
      at++;
      if (strncmp (at, name, length) == 0 && at[length] == '=')
        return strtoul (at + length + 1, NULL, 10);
      at = strchr (at, '&');
    }
  return 0;
}

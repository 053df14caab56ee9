/* The stand-in of a machine's own link: relays what other daemons send to the
   machine and what they get from there, at no more than the rate of the link
   in each direction, all connections together.  */
#include <pthread.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/stand_ins_internal.h"

#define PART_BYTES 16384

/* One direction of a link.  */
struct lane
{
  pthread_mutex_t lock;
  double bytes_per_us;
  gint64 free_us; /* when the bytes taken so far have passed */
};

struct relay
{
  char ip[24];
  int listener;
  unsigned to_port;
  struct lane lanes[2]; /* to the machine, from it */
};

struct half
{
  struct lane *lane;
  int from;
  int to;
};

/* Waits until LENGTH more bytes have passed LANE.  */
static void
pass (struct lane *lane, size_t length)
{
  gint64 now = g_get_monotonic_time ();
  gint64 until;

  pthread_mutex_lock (&lane->lock);
  lane->free_us = MAX (lane->free_us, now)
                  + (gint64)((double)length / lane->bytes_per_us);
  until = lane->free_us;
  pthread_mutex_unlock (&lane->lock);
  if (until > now)
    g_usleep ((gulong)(until - now));
}

static void *
run_half (void *context)
{
  struct half *half = context;
  char part[PART_BYTES];
  ssize_t count;

  while ((count = recv (half->from, part, sizeof part, 0)) > 0)
    {
      pass (half->lane, (size_t)count);
      if (!send_bytes (half->to, part, (size_t)count))
        break;
    }
  shutdown (half->from, SHUT_RDWR);
  shutdown (half->to, SHUT_RDWR);
  return NULL;
}

static void *
run_connection (void *context)
{
  struct half *halves = context;
  pthread_t thread;

  need (pthread_create (&thread, NULL, run_half, &halves[1]) == 0,
        "cannot start a thread");
  run_half (&halves[0]);
  pthread_join (thread, NULL);
  close (halves[0].from);
  close (halves[0].to);
  free (halves);
  return NULL;
}

static void *
accept_all (void *context)
{
  struct relay *relay = context;
  int fd;

  while ((fd = accept4 (relay->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      struct half *halves;
      int to = open_connection (relay->ip, relay->to_port);

      if (to < 0)
        {
          close (fd);
          continue;
        }
      halves = g_new0 (struct half, 2);
      halves[0] = (struct half){ &relay->lanes[0], fd, to };
      halves[1] = (struct half){ &relay->lanes[1], to, fd };
      start_thread (run_connection, halves);
    }
  return NULL;
}

void
link_start (const char *ip, unsigned port, unsigned to_port, double mbps)
{
  struct relay *relay = g_new0 (struct relay, 1);

  g_strlcpy (relay->ip, ip, sizeof relay->ip);
  relay->to_port = to_port;
  for (unsigned i = 0; i < G_N_ELEMENTS (relay->lanes); i++)
    {
      pthread_mutex_init (&relay->lanes[i].lock, NULL);
      relay->lanes[i].bytes_per_us = mbps / 8;
    }
  relay->listener = open_listener (ip, port);
  start_thread (accept_all, relay);
}

/* Relays on the links between daemons: each daemon reaches each other one
   through an address of its own.  */
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/rig_internal.h"

#define CONNECTIONS_MAX 16

struct relay
{
  unsigned viewer;
  unsigned vm;
  int listener;
  bool holding; /* what the daemon of VM sends is kept back */
  pthread_mutex_t lock;
  struct pair *pairs[CONNECTIONS_MAX];
};

/* A connection through a relay.  */
struct pair
{
  struct relay *relay;
  int near; /* to the daemon of the viewer */
  int far;  /* to the daemon of VM */
  unsigned users;
};

static struct relay relays[RIG_VMS_MAX + 1][RIG_VMS_MAX + 1];

static void
pair_release (struct pair *pair)
{
  struct relay *relay = pair->relay;
  bool last;

  pthread_mutex_lock (&relay->lock);
  last = --pair->users == 0;
  for (unsigned i = 0; i < CONNECTIONS_MAX && last; i++)
    if (relay->pairs[i] == pair)
      relay->pairs[i] = NULL;
  pthread_mutex_unlock (&relay->lock);
  if (!last)
    return;
  close (pair->near);
  close (pair->far);
  free (pair);
}

static void
pump (struct pair *pair, int from, int to, bool back)
{
  char *bytes = rig_allocate (65536);
  ssize_t count;

  while ((count = recv (from, bytes, 65536, 0)) > 0)
    {
      while (back && __atomic_load_n (&pair->relay->holding, __ATOMIC_SEQ_CST))
        rig_sleep_ms (1);
      if (!rig_write (to, bytes, (size_t)count))
        break;
    }
  free (bytes);
  shutdown (from, SHUT_RDWR);
  shutdown (to, SHUT_RDWR);
  pair_release (pair);
}

static void *
pump_forth (void *context)
{
  struct pair *pair = context;

  pump (pair, pair->near, pair->far, false);
  return NULL;
}

static void *
pump_back (void *context)
{
  struct pair *pair = context;

  pump (pair, pair->far, pair->near, true);
  return NULL;
}

static void
add_pair (struct relay *relay, int near)
{
  struct pair *pair = rig_allocate (sizeof *pair);
  bool added = false;
  int on = 1;

  setsockopt (near, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  *pair = (struct pair){ .relay = relay,
                         .near = near,
                         .far = rig_open (relay->vm, RIG_PORT_PEERS, 0),
                         .users = 2 };
  pthread_mutex_lock (&relay->lock);
  for (unsigned i = 0; i < CONNECTIONS_MAX && !added; i++)
    if (relay->pairs[i] == NULL && pair->far >= 0)
      {
        relay->pairs[i] = pair;
        added = true;
      }
  pthread_mutex_unlock (&relay->lock);
  if (!added)
    {
      close (near);
      if (pair->far >= 0)
        close (pair->far);
      free (pair);
      return;
    }
  rig_thread (pump_forth, pair);
  rig_thread (pump_back, pair);
}

static void *
accept_all (void *context)
{
  struct relay *relay = context;

  while (!rig_is_stopping ())
    {
      int fd = accept4 (relay->listener, NULL, NULL, SOCK_CLOEXEC);

      if (fd >= 0)
        add_pair (relay, fd);
    }
  return NULL;
}

void
rig_relay_start (unsigned viewer, unsigned vm)
{
  struct relay *relay = &relays[viewer][vm];

  relay->viewer = viewer;
  relay->vm = vm;
  pthread_mutex_init (&relay->lock, NULL);
  relay->listener = rig_listen (rig_relay_host (viewer, vm), RIG_PORT_PEERS);
  rig_require (relay->listener >= 0, "cannot listen for a relay");
  rig_thread (accept_all, relay);
}

void
rig_relay_hold (unsigned viewer, unsigned vm, bool on)
{
  __atomic_store_n (&relays[viewer][vm].holding, on, __ATOMIC_SEQ_CST);
}

void
rig_relay_reset (unsigned viewer, unsigned vm)
{
  static const struct linger reset = { .l_onoff = 1, .l_linger = 0 };
  struct relay *relay = &relays[viewer][vm];

  pthread_mutex_lock (&relay->lock);
  for (unsigned i = 0; i < CONNECTIONS_MAX; i++)
    if (relay->pairs[i] != NULL)
      {
        struct pair *pair = relay->pairs[i];

        /* The bytes that were kept back are lost.  */
        setsockopt (pair->near, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        setsockopt (pair->far, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
        shutdown (pair->near, SHUT_RDWR);
        shutdown (pair->far, SHUT_RDWR);
      }
  pthread_mutex_unlock (&relay->lock);
}

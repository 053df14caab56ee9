/* A relay between two TCP ends, in a thread of the test.  It can swallow all
   bytes of the connections that are open, both ways, without closing them, as
   a device does that has lost track of them; new connections still work.  It
   can also hold the bytes back and pass them on later.  */
#ifndef RELAY_H
#define RELAY_H

#include <pthread.h>
#include <stdbool.h>

#include "regress/harness/harness.h"

#define RELAY_CONNECTIONS_MAX 256

enum relay_mode
{
  RELAY_PASS,
  RELAY_SWALLOW,    /* bytes are read and dropped */
  RELAY_DROP_ANSWER /* only what comes back is dropped */
};

/* One relayed connection.  */
struct relayed
{
  int ends[2]; /* 0: towards the client, 1: towards the server */
  enum relay_mode mode;
};

struct relay
{
  pthread_t thread;
  pthread_mutex_t lock;
  char server[56];
  char from[56];
  int listen_fd;
  int stop_fd;
  bool held; /* new bytes wait in the sockets */
  struct relayed connections[RELAY_CONNECTIONS_MAX];
  unsigned n_connections;
  unsigned bytes_swallowed;
};

/* Listens on ADDRESS and connects to SERVER from the IP number of FROM.  */
void relay_start (struct relay *relay, const char *address, const char *from,
                  const char *server);
void relay_stop (struct relay *relay);

/* Sets the mode of the connections that are open now.  */
void relay_silence (struct relay *relay, enum relay_mode mode);

/* Holds all bytes back, or passes them on again.  */
void relay_hold (struct relay *relay, bool held);

/* Returns how many bytes were swallowed so far.  */
unsigned relay_swallowed (struct relay *relay);

/* Returns how many connections there have been.  */
unsigned relay_connections (struct relay *relay);

#endif

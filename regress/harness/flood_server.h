/* A server that answers every request without end: it sends a beginning and
   then a unit again and again, until the caller closes the connection.  */
#ifndef FLOOD_SERVER_H
#define FLOOD_SERVER_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#define FLOOD_CONNECTIONS_MAX 4096

struct flood
{
  const char *name;
  const char *begin;
  const char *unit;
};

/* Floods of each part of an answer.  */
extern const struct flood floods[];
extern const unsigned n_floods;

/* Returns the flood NAME, which must be there.  */
const struct flood *flood_find (const char *name);

struct flood_server
{
  const struct flood *flood;
  pthread_t thread;
  int listen_fd;
  bool stop;
  uint64_t sent; /* bytes, over all connections */
  unsigned n_connections;
  pthread_t connections[FLOOD_CONNECTIONS_MAX];
};

/* Listens at ADDRESS ("IP:PORT").  */
void flood_server_start (struct flood_server *server, const char *address,
                         const struct flood *flood);

/* Closes all connections.  */
void flood_server_stop (struct flood_server *server);

/* Returns how many bytes were taken by callers.  */
uint64_t flood_server_sent (struct flood_server *server);

#endif

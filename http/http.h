/* HTTP server (CivetWeb) and HTTP client (libcurl).

   CivetWeb's threads have a stack of 100 KB, which the handlers, libcurl and
   the sanitizers share: buffers on the stack must stay small.  */
#ifndef HTTP_HTTP_H
#define HTTP_HTTP_H

#include <civetweb.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>
#include <urcu/list.h>

#include "lib/address.h"
#include "lib/clock.h"
#include "lib/counter.h"
#include "lib/error.h"

/* One HTTP request received by a listener.  */
struct request
{
  struct mg_connection *connection;
  const struct listener *listener;
  const struct mg_request_info *info;
  uint64_t arrived_us;
  int caller_fd;     /* the caller's socket, or -1 when not found */
  int64_t body_size; /* -1 for a chunked body */
  int64_t body_read;
  bool body_ended;
};

/* listener.c: an HTTP port.  */
struct listener
{
  struct mg_context *server;
  const struct cp_clock *clock;
  struct cp_counters *counters; /* NULL for none */
  unsigned bad_requests;        /* counter of malformed requests */
  bool keep_alive_disabled;     /* close each connection after its answer */
  struct cp_address address;
  void (*handle) (void *context, struct request *request);
  void *context;
};

int listener_start (struct listener *listener,
                    const struct cp_address *address, unsigned threads,
                    struct cp_error *error);

/* Closes each connection after the answer to its next request, which has
   "Connection: close".  */
void listener_disable_keep_alive (struct listener *listener);

/* listener_end.c: stops accepting; new connections are refused from now on.
   Connections that were accepted or queued before are still served.  May take
   half a second.  */
void listener_stop_accepting (struct listener *listener);

/* Returns whether an accepted connection has a request that no thread has
   begun to read.  */
bool listener_has_unread (const struct listener *listener);

/* Closes all connections and ends the threads.  */
void listener_stop (struct listener *listener);

/* Returns the path and query as received.  Free the result with g_free().  */
char *request_path (const struct request *request);

/* Returns the value of a header, or NULL.  */
const char *request_header (const struct request *request, const char *name);

/* Reads from the body.  Returns the number of bytes, 0 at the end of the body
   or -1 when the body is incomplete.  Sends "100 Continue" before the first
   read when the caller expects it.  */
ssize_t request_read (struct request *request, char *buffer, size_t size);

/* Sends a complete answer with a text body.  HEADERS holds additional header
   lines, each ended by CR LF, or is NULL.  */
void request_answer (struct request *request, int status, const char *headers,
                     const char *type, const char *body);

/* Returns the header line "Connection: close" when the listener has disabled
   keep-alive, and marks the connection to be closed after the answer; else an
   empty string.  */
const char *request_connection_header (const struct request *request);

/* Reads and discards the rest of the body, for a limited time, when the answer
   was sent before the whole body was read.  Closing at once would reset the
   connection and the caller could lose the answer (RFC 9112, section 9.6).  */
void request_linger (struct request *request);

/* Resets the caller's connection, so that an incomplete answer is not taken
   for a complete one.  */
void request_reset (const struct request *request);

/* Returns whether the caller has closed its connection.  */
bool request_caller_gone (const struct request *request);

/* upstream.c: calls to daemons and targets over persistent connections.  */
struct upstream_pool
{
  pthread_mutex_t lock;
  const struct cp_clock *clock;
  char local_ip[64]; /* local IP address of calls; empty for any */
  int stop_fd;       /* readable once the pool is stopping */
  int abort_fd;      /* readable once all calls are aborted */
  GHashTable *addresses;
};

struct upstream_head
{
  int status;
  struct curl_slist *headers; /* lines "Name: value" */
  int64_t length;             /* -1 when not given */
};

enum upstream_result
{
  UPSTREAM_COMPLETE,
  UPSTREAM_NOT_SENT,    /* no byte of the request was written */
  UPSTREAM_TRUNCATED,   /* the connection closed before the answer was complete
                         */
  UPSTREAM_DEADLINE,    /* the deadline passed */
  UPSTREAM_SILENT,      /* no first byte within first_byte_us */
  UPSTREAM_CALLER_GONE, /* the caller closed its connection */
  UPSTREAM_STOPPED,     /* the pool is stopping */
  UPSTREAM_ABORTED, /* a callback ended the call, or the other call of a hedge
                       was chosen */
  UPSTREAM_RESULT_COUNT
};

extern const char *const upstream_result_names[UPSTREAM_RESULT_COUNT];

struct upstream_call
{
  const struct cp_address *address;
  const char *method;
  const char *path; /* with query */
  struct curl_slist *headers;
  bool has_body;
  int64_t body_size;      /* -1: not known */
  uint64_t deadline_us;   /* absolute */
  uint64_t first_byte_us; /* absolute; 0 for none */
  bool fresh;             /* open a new connection */
  uint64_t idle_max_us;   /* reuse no connection idle for longer; 0: the pool's
                             limit */
  int caller_fd;          /* the call ends when this socket is closed, or -1 */
  bool background;        /* ends as soon as the pool is stopping */
  void *context;
  /* Called immediately before the first byte is written; false aborts.  */
  bool (*before_send) (void *context);
  /* Reads the request body; returns as request_read().  */
  ssize_t (*read_body) (void *context, char *buffer, size_t size);
  /* Called when first_byte_us has passed without a byte of the answer. Returns
     the new value of first_byte_us, or 0 to end the call with UPSTREAM_SILENT,
     as NULL does.  */
  uint64_t (*on_silent) (void *context);
  /* Called once, before the body of the answer; false aborts.  */
  bool (*on_head) (void *context, const struct upstream_head *head);
  bool (*on_body) (void *context, const char *data, size_t size);
};

/* Calls are made from the IP address of LOCAL; NULL for any.  Returns -1 when
   no file descriptors are left.  */
int upstream_pool_init (struct upstream_pool *pool,
                        const struct cp_clock *clock,
                        const struct cp_address *local);

/* Ends all calls that run or start later, except those in the background, with
   UPSTREAM_STOPPED.  */
void upstream_pool_abort (struct upstream_pool *pool);

/* Ends all background calls that run or start later, with UPSTREAM_STOPPED.
 */
void upstream_pool_stop (struct upstream_pool *pool);
void upstream_pool_finish (struct upstream_pool *pool);

/* Makes the call and waits until it ends.  */
enum upstream_result upstream_perform (struct upstream_pool *pool,
                                       const struct upstream_call *call);

/* hedged.c: hedged calls.  A second call starts when the first has no answer
   in time.  */
#define UPSTREAM_HEDGED 2

struct upstream_hedge
{
  uint64_t start_us; /* absolute: when to start the second call; 0 for never */
  void *context;
  /* Prepares and returns the second call, or NULL to start none.  */
  const struct upstream_call *(*begin) (void *context);
  /* Returns the index of the call, 0 or 1, whose answer is used, or -1 while
     none is chosen.  The other call is cancelled at once.  */
  int (*chosen) (void *context);
  /* Called each time one of the calls has ended.  */
  void (*ended) (void *context);
};

/* Makes the call FIRST, and a second one as HEDGE says, and waits until both
   have ended.  Stores both results; that of a call that was not started is
   UPSTREAM_NOT_SENT.  Returns the number of calls that were started.  */
unsigned
upstream_perform_hedged (struct upstream_pool *pool,
                         const struct upstream_call *first,
                         const struct upstream_hedge *hedge,
                         enum upstream_result results[UPSTREAM_HEDGED]);

/* Returns the number of idle and busy connections to each address.  */
json_t *upstream_dump (struct upstream_pool *pool);

/* Gets PATH from ADDRESS into BODY.  Returns the status code, or 0 when there
   was no complete answer within TIMEOUT_US or it exceeds SIZE_MAX bytes.  */
int upstream_get (struct upstream_pool *pool, const struct cp_address *address,
                  const char *path, size_t size_max, uint64_t timeout_us,
                  GString *body);

#endif

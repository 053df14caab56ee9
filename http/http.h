/* HTTP between processes: listeners on CivetWeb, calls on libcurl.

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

/* One HTTP request that a listener took.  */
struct request
{
  struct mg_connection *connection;
  const struct listener *listener;
  const struct mg_request_info *info;
  uint64_t arrived_us;
  int caller_fd;     /* socket of the caller, or -1 when not found */
  int64_t body_size; /* -1: chunked */
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
  bool keep_alive_disabled;     /* each answer ends its connection */
  struct cp_address address;
  void (*handle) (void *context, struct request *request);
  void *context;
};

int listener_start (struct listener *listener,
                    const struct cp_address *address, unsigned threads,
                    struct cp_error *error);

/* Ends each connection with the answer to its next request, and tells so.  */
void listener_disable_keep_alive (struct listener *listener);

/* listener_end.c: takes no more connections; they are refused from now on.
   Those that were taken or have waited to be are served.  May take half a
   second.  */
void listener_stop_accepting (struct listener *listener);

/* Returns whether a request waits in a connection that was taken and that no
   thread serves yet.  */
bool listener_has_unread (const struct listener *listener);

/* Ends the connections and the threads.  */
void listener_stop (struct listener *listener);

/* Returns the path with its query, as it was sent; the caller frees it.  */
char *request_path (const struct request *request);

/* Returns the value of a header, or NULL.  */
const char *request_header (const struct request *request, const char *name);

/* Reads from the body: the number of bytes, 0 at its end, -1 when it was cut
   short.  Answers "Expect: 100-continue" before the first read.  */
ssize_t request_read (struct request *request, char *buffer, size_t size);

/* Sends a whole answer with a text body.  HEADERS holds further header lines,
   each ended by CR LF, or is NULL.  */
void request_answer (struct request *request, int status, const char *headers,
                     const char *type, const char *body);

/* Returns the header line that tells the caller that this connection ends with
   the answer, or an empty text; the connection is marked.  */
const char *request_connection_header (const struct request *request);

/* Reads and drops what the caller still sends, for a bounded time, when the
   answer was sent before the whole body was read.  Closing at once would reset
   the connection and the caller could lose the answer (RFC 9112, section
   9.6).  */
void request_linger (struct request *request);

/* Ends the caller's connection by a reset, so that the answer sent so far can
   not be taken for a whole one.  */
void request_reset (const struct request *request);

/* Returns whether the caller has closed its connection.  */
bool request_caller_gone (const struct request *request);

/* upstream.c: calls to daemons and targets over kept connections.  */
struct upstream_pool
{
  pthread_mutex_t lock;
  const struct cp_clock *clock;
  char local_ip[64]; /* IP number to call from; empty for any */
  int stop_fd;       /* readable once the pool is stopping */
  int abort_fd;      /* readable once all calls must end */
  GHashTable *addresses;
};

struct upstream_head
{
  int status;
  struct curl_slist *headers; /* "Name: value" */
  int64_t length;             /* -1 when not given */
};

enum upstream_result
{
  UPSTREAM_COMPLETE,
  UPSTREAM_NOT_SENT,    /* no byte of the request was written */
  UPSTREAM_TRUNCATED,   /* the connection ended before the answer did */
  UPSTREAM_DEADLINE,    /* the deadline passed */
  UPSTREAM_SILENT,      /* no first byte within first_byte_us */
  UPSTREAM_CALLER_GONE, /* the caller closed its connection */
  UPSTREAM_STOPPED,     /* the pool is stopping */
  UPSTREAM_ABORTED,     /* a callback asked to stop */
  UPSTREAM_RESULT_COUNT
};

extern const char *const upstream_result_names[UPSTREAM_RESULT_COUNT];

struct upstream_call
{
  const struct cp_address *address;
  const char *method;
  const char *path; /* with the query */
  struct curl_slist *headers;
  bool has_body;
  int64_t body_size;      /* -1: not known */
  uint64_t deadline_us;   /* absolute */
  uint64_t first_byte_us; /* absolute; 0 for none */
  bool fresh;             /* do not use a connection that was idle */
  uint64_t idle_max_us;   /* nor one idle for longer; 0: the pool's limit */
  int caller_fd;          /* watched for its end, or -1 */
  bool background;        /* ends as soon as the pool is stopping */
  void *context;
  /* Called immediately before the first byte is written; false gives up.  */
  bool (*before_send) (void *context);
  /* Reads the request body: as request_read.  */
  ssize_t (*read_body) (void *context, char *buffer, size_t size);
  /* Called when first_byte_us has passed; returns the time until which to wait
     on, or 0 to give the connection up.  NULL gives up.  */
  uint64_t (*on_silent) (void *context);
  /* Called once, before the body of the answer; false gives up.  */
  bool (*on_head) (void *context, const struct upstream_head *head);
  bool (*on_body) (void *context, const char *data, size_t size);
};

/* Calls come from the IP number of LOCAL, which may be NULL.  Returns 0, or -1
   when descriptors ran out.  */
int upstream_pool_init (struct upstream_pool *pool,
                        const struct cp_clock *clock,
                        const struct cp_address *local);

/* Ends all calls, now and later, with UPSTREAM_STOPPED.  */
void upstream_pool_abort (struct upstream_pool *pool);

/* Ends all background calls, now and later.  */
void upstream_pool_stop (struct upstream_pool *pool);
void upstream_pool_finish (struct upstream_pool *pool);

/* Makes the call and waits for its end.  */
enum upstream_result upstream_perform (struct upstream_pool *pool,
                                       const struct upstream_call *call);

/* hedged.c: a call with a second one that is begun when the first has no
   answer in time.  */
#define UPSTREAM_HEDGED 2

struct upstream_hedge
{
  uint64_t start_us; /* absolute: when the second one is begun; 0 for never */
  void *context;
  /* Prepares the second call and returns it, or NULL to begin none.  */
  const struct upstream_call *(*begin) (void *context);
  /* Returns which call, 0 or 1, has the answer that is passed on, or -1 while
     neither has.  The other one is cancelled at once.  */
  int (*chosen) (void *context);
  /* Called when either call has ended.  */
  void (*ended) (void *context);
};

/* Makes the call FIRST, and a second one as HEDGE says, in one wait.  Fills in
   the result of each; that of one that was not begun is UPSTREAM_NOT_SENT.
   Returns the number of calls that were begun.  */
unsigned
upstream_perform_hedged (struct upstream_pool *pool,
                         const struct upstream_call *first,
                         const struct upstream_hedge *hedge,
                         enum upstream_result results[UPSTREAM_HEDGED]);

json_t *upstream_dump (struct upstream_pool *pool);

/* Reads PATH at ADDRESS into BODY, at most SIZE_MAX bytes.  Returns the status
   code, or 0 when there was no whole answer within TIMEOUT_US.  */
int upstream_get (struct upstream_pool *pool, const struct cp_address *address,
                  const char *path, size_t size_max, uint64_t timeout_us,
                  GString *body);

#endif

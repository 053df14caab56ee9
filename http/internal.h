/* Declarations shared by the files of this directory.  */
#ifndef HTTP_INTERNAL_H
#define HTTP_INTERNAL_H

#include "http/http.h"
#include "lib/http_syntax.h"

/* CivetWeb does not expose its sockets.  They are searched for among the file
   descriptors below this limit.  */
#define DESCRIPTORS_SCANNED_MAX 8192

/* One connection: an easy handle with a multi handle of its own, which keeps
   the connection open between calls.  */
struct upstream
{
  struct cds_list_head node;
  CURL *easy;
  CURLM *multi;
  uint64_t idle_since_us;
  int fd;         /* the connection's socket, or -1 */
  int unreceived; /* bytes that the other side had not acknowledged when the
                     socket was closed during the last call */
};

/* One call on one connection.  */
struct transfer
{
  const struct upstream_call *call;
  const struct upstream *upstream;
  uint64_t first_byte_us; /* 0 for no limit */
  struct upstream_head head;
  struct cp_http_syntax syntax; /* of the head or the trailer section */
  size_t head_bytes;            /* of all heads and the trailer section */
  int64_t body_sent;            /* bytes of the request's body */
  bool body_ended;
  bool sent;   /* libcurl has begun to send the request */
  bool resent; /* libcurl tried to send it again */
  bool chunked;
  bool in_trailer; /* the body has ended, its trailer section is read */
  bool head_delivered;
  bool callback_aborted;
};

/* Returns an idle or new connection for CALL, and counts it as busy.  */
struct upstream *upstream_acquire (struct upstream_pool *pool,
                                   const struct upstream_call *call);

/* Returns the connection to the pool, which closes it unless KEEP is set.
   RESULT is the result of TRANSFER.  */
void upstream_release (struct upstream_pool *pool, struct upstream *upstream,
                       const struct transfer *transfer,
                       enum upstream_result result, bool keep);

/* Sets all options of the connection's handle for TRANSFER.  */
void upstream_set_options (const struct upstream_pool *pool,
                           struct upstream *upstream,
                           struct transfer *transfer);

/* head.c: the head of an answer.  Prepares TRANSFER for it.  */
void upstream_head_init (struct transfer *transfer);

/* Header callback of libcurl: takes a LINE of the head, of an interim answer's
   head or of the trailer section.  CONTEXT is the struct transfer.  Returns
   the size of the line, or 0 to fail the transfer, if HTTP/1.1 does not allow
   the line or the lines are too long together.  */
size_t upstream_read_head_line (char *line, size_t size, size_t count,
                                void *context);

/* Returns the result of a transfer that libcurl ended with CODE.  */
enum upstream_result upstream_classify (struct transfer *transfer,
                                        CURLcode code);

/* Checks the time limits of TRANSFER.  Returns UPSTREAM_COMPLETE when none has
   passed, and lowers *UNTIL_US to the next limit.  */
enum upstream_result upstream_check_timeouts (struct transfer *transfer,
                                              uint64_t now_us,
                                              uint64_t *until_us);

/* Returns whether the caller's socket can be watched for its end: unread bytes
   of the request body would hide it.  */
bool upstream_can_watch_caller (const struct transfer *transfer);

/* Returns the time from NOW_US to UNTIL_US in ms, rounded up and limited.  */
int upstream_poll_timeout_ms (uint64_t now_us, uint64_t until_us);

/* Returns whether the peer of socket FD has closed the connection.  */
bool upstream_fd_closed (int fd);

#endif

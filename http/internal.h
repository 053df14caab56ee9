/* What the files of this directory share.  */
#ifndef HTTP_INTERNAL_H
#define HTTP_INTERNAL_H

#include "http/http.h"

/* CivetWeb does not expose its sockets: they are looked for among the
   descriptors below this one.  */
#define DESCRIPTORS_SCANNED_MAX 8192

/* One connection: an easy handle in a multi handle of its own, which keeps
   the connection between calls.  */
struct upstream
{
  struct cds_list_head node;
  CURL *easy;
  CURLM *multi;
  uint64_t idle_since_us;
  int fd; /* the connection's socket, or -1 */
};

/* One call on one connection.  */
struct transfer
{
  const struct upstream_call *call;
  uint64_t first_byte_us; /* 0 for no limit */
  struct upstream_head head;
  int64_t body_sent; /* bytes of the request's body */
  bool body_ended;
  bool sent;
  bool resent;
  bool head_delivered;
  bool callback_aborted;
};

/* Takes a connection for CALL, and counts it as busy.  */
struct upstream *upstream_acquire (struct upstream_pool *pool,
                                   const struct upstream_call *call);

/* Gives the connection back: it is kept when KEEP is set.  RESULT is that of
   TRANSFER.  */
void upstream_release (struct upstream_pool *pool, struct upstream *upstream,
                       const struct transfer *transfer,
                       enum upstream_result result, bool keep);

/* Sets all options of the connection's handle for TRANSFER.  */
void upstream_set_options (const struct upstream_pool *pool,
                           struct upstream *upstream,
                           struct transfer *transfer);

/* Returns the result of a transfer that libcurl ended with CODE.  */
enum upstream_result upstream_classify (struct transfer *transfer,
                                        CURLcode code);

/* Checks the limits of time of TRANSFER.  Returns UPSTREAM_COMPLETE to go on;
   then *UNTIL_US is brought forward to the next limit.  */
enum upstream_result upstream_check_timeouts (struct transfer *transfer,
                                              uint64_t now_us,
                                              uint64_t *until_us);

/* Returns whether the caller's socket is watched: bytes on it that are still
   to be read as the request's body would hide its end.  */
bool upstream_can_watch_caller (const struct transfer *transfer);

/* Returns the time to wait in milliseconds, rounded up and bounded.  */
int upstream_poll_timeout_ms (uint64_t now_us, uint64_t until_us);

/* Returns whether the other end of FD has closed the connection.  */
bool upstream_fd_closed (int fd);

#endif

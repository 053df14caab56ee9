#include <errno.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/eventfd.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "http/internal.h"
#include "lib/cleanup.h"

#define IDLE_KEPT_MAX 64
#define IDLE_US_MAX (20 * CP_US_PER_S)
#define CONNECT_TIMEOUT_MS 1000
#define WAIT_MS_MAX 1000
#define UPLOAD_BUFFER_BYTES 65536

const char *const upstream_result_names[UPSTREAM_RESULT_COUNT] = {
  [UPSTREAM_COMPLETE] = "complete",   [UPSTREAM_NOT_SENT] = "not sent",
  [UPSTREAM_TRUNCATED] = "cut short", [UPSTREAM_DEADLINE] = "deadline passed",
  [UPSTREAM_SILENT] = "silent",       [UPSTREAM_CALLER_GONE] = "caller gone",
  [UPSTREAM_STOPPED] = "stopped",     [UPSTREAM_ABORTED] = "aborted",
};

/* The idle connections to one address.  */
struct upstream_address
{
  struct cds_list_head idle;
  unsigned n_idle;
  unsigned n_busy;
  /* When a connection to this address was last found dead.  Connections that
     were idle at that time are not reused.  */
  uint64_t discard_before_us;
};

static void
free_upstream (struct upstream *upstream)
{
  curl_multi_cleanup (upstream->multi);
  curl_easy_cleanup (upstream->easy);
  free (upstream);
}

static void
free_address (void *value)
{
  struct upstream_address *address = value;
  struct upstream *upstream, *next;

  cds_list_for_each_entry_safe (upstream, next, &address->idle, node)
      free_upstream (upstream);
  free (address);
}

int
upstream_pool_init (struct upstream_pool *pool, const struct cp_clock *clock,
                    const struct cp_address *local)
{
  pthread_mutex_init (&pool->lock, NULL);
  pool->clock = clock;
  pool->local_ip[0] = '\0';
  if (local != NULL)
    cp_address_host (local, pool->local_ip, sizeof pool->local_ip);
  pool->stop_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  pool->abort_fd = eventfd (0, EFD_CLOEXEC | EFD_NONBLOCK);
  if (pool->stop_fd < 0 || pool->abort_fd < 0)
    return -1;
  pool->addresses
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, free_address);
  return 0;
}

void
upstream_pool_stop (struct upstream_pool *pool)
{
  eventfd_write (pool->stop_fd, 1);
}

void
upstream_pool_abort (struct upstream_pool *pool)
{
  eventfd_write (pool->abort_fd, 1);
}

void
upstream_pool_finish (struct upstream_pool *pool)
{
  close (pool->stop_fd);
  close (pool->abort_fd);
  g_hash_table_destroy (pool->addresses);
  pthread_mutex_destroy (&pool->lock);
}

static struct upstream_address *
get_address (struct upstream_pool *pool, const char *text)
{
  struct upstream_address *address
      = g_hash_table_lookup (pool->addresses, text);

  if (address != NULL)
    return address;
  address = calloc (1, sizeof *address);
  if (address == NULL)
    abort ();
  CDS_INIT_LIST_HEAD (&address->idle);
  g_hash_table_insert (pool->addresses, strdup (text), address);
  return address;
}

static struct upstream *
new_upstream (void)
{
  struct upstream *upstream = calloc (1, sizeof *upstream);

  if (upstream == NULL)
    abort ();
  upstream->easy = curl_easy_init ();
  upstream->multi = curl_multi_init ();
  if (upstream->easy == NULL || upstream->multi == NULL)
    abort ();
  curl_multi_setopt (upstream->multi, CURLMOPT_MAXCONNECTS, 1L);
  upstream->fd = -1;
  return upstream;
}

/* Returns whether an idle connection is open and has no unread bytes, which
   would be taken for the answer to the next request.  */
static bool
is_reusable (const struct upstream *upstream)
{
  char byte;

  return upstream->fd >= 0
         && recv (upstream->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0
         && errno == EAGAIN;
}

/* Removes the most recently used idle connection from the list and returns it,
   or NULL.  */
static struct upstream *
pop_idle (struct upstream_pool *pool, const struct upstream_call *call,
          uint64_t *discard_before_us)
{
  struct upstream_address *address;
  struct upstream *upstream;

  CP_LOCK_SCOPE (&pool->lock);
  address = get_address (pool, call->address->text);
  *discard_before_us = address->discard_before_us;
  if (call->fresh || address->n_idle == 0)
    return NULL;
  upstream = cds_list_first_entry (&address->idle, struct upstream, node);
  cds_list_del (&upstream->node);
  address->n_idle--;
  return upstream;
}

/* Returns the first idle connection that is still usable, or a new one. Closes
   the unusable ones before it.  */
static struct upstream *
reuse_or_create (struct upstream_pool *pool, const struct upstream_call *call)
{
  uint64_t idle_max = call->idle_max_us == 0 ? IDLE_US_MAX : call->idle_max_us;
  uint64_t now = cp_clock_now_us (pool->clock);
  uint64_t discard_before_us;
  struct upstream *upstream;

  while ((upstream = pop_idle (pool, call, &discard_before_us)) != NULL)
    {
      if (upstream->idle_since_us > discard_before_us
          && now < upstream->idle_since_us + idle_max
          && is_reusable (upstream))
        return upstream;
      free_upstream (upstream);
    }
  return new_upstream ();
}

/* Returns whether the other idle connections may be dead too: the request was
   written, but no answer arrived.  */
static bool
suggests_dead_connection (const struct transfer *transfer,
                          enum upstream_result result)
{
  if (!transfer->sent || transfer->head.status != 0)
    return false;
  return result == UPSTREAM_SILENT || result == UPSTREAM_DEADLINE
         || result == UPSTREAM_TRUNCATED;
}

/* Adds CHANGE to the number of calls in flight at the address.  */
static void
adjust_busy (struct upstream_pool *pool, const struct upstream_call *call,
             int change)
{
  CP_LOCK_SCOPE (&pool->lock);
  get_address (pool, call->address->text)->n_busy += (unsigned)change;
}

/* Marks the connections to the address that are idle now as unusable.  */
static void
discard_idle (struct upstream_pool *pool, const struct upstream_call *call)
{
  CP_LOCK_SCOPE (&pool->lock);
  get_address (pool, call->address->text)->discard_before_us
      = cp_clock_now_us (pool->clock);
}

static void
keep_or_close (struct upstream_pool *pool, const struct upstream_call *call,
               struct upstream *upstream, bool keep)
{
  struct upstream_address *address;

  pthread_mutex_lock (&pool->lock);
  address = get_address (pool, call->address->text);
  keep = keep && address->n_idle < IDLE_KEPT_MAX;
  if (keep)
    {
      upstream->idle_since_us = cp_clock_now_us (pool->clock);
      cds_list_add (&upstream->node, &address->idle);
      address->n_idle++;
    }
  pthread_mutex_unlock (&pool->lock);
  if (!keep)
    free_upstream (upstream);
}

/* libcurl calls this when the connection is established, before it writes the
   request.  When a reused connection turns out to be dead, libcurl sends the
   request again; this is prevented, since the request may already have run.
 */
static int
before_send (void *context, char *primary_ip, char *local_ip, int primary_port,
             int local_port)
{
  struct transfer *transfer = context;

  (void)primary_ip;
  (void)local_ip;
  (void)primary_port;
  (void)local_port;
  if (transfer->sent)
    {
      transfer->resent = true;
      return CURL_PREREQFUNC_ABORT;
    }
  if (transfer->call->before_send != NULL
      && !transfer->call->before_send (transfer->call->context))
    {
      transfer->callback_aborted = true;
      return CURL_PREREQFUNC_ABORT;
    }
  transfer->sent = true;
  return CURL_PREREQFUNC_OK;
}

static size_t
read_body (char *buffer, size_t size, size_t count, void *context)
{
  struct transfer *transfer = context;
  ssize_t length = transfer->call->read_body (transfer->call->context, buffer,
                                              size * count);

  if (length < 0)
    {
      transfer->callback_aborted = true;
      return CURL_READFUNC_ABORT;
    }
  transfer->body_sent += length;
  if (length == 0 || transfer->body_sent == transfer->call->body_size)
    transfer->body_ended = true;
  return (size_t)length;
}

static bool
deliver_head (struct transfer *transfer)
{
  if (transfer->head_delivered)
    return true;
  transfer->head_delivered = true;
  if (transfer->call->on_head (transfer->call->context, &transfer->head))
    return true;
  transfer->callback_aborted = true;
  return false;
}

static size_t
on_body_data (char *data, size_t size, size_t count, void *context)
{
  struct transfer *transfer = context;

  if (!deliver_head (transfer))
    return 0;
  if (transfer->call->on_body (transfer->call->context, data, size * count))
    return size * count;
  transfer->callback_aborted = true;
  return 0;
}

/* Callbacks by which libcurl opens and closes sockets.  */
static curl_socket_t
open_socket (void *context, curlsocktype purpose,
             struct curl_sockaddr *address)
{
  struct upstream *upstream = context;

  (void)purpose;
  upstream->fd = socket (address->family, address->socktype | SOCK_CLOEXEC,
                         address->protocol);
  return upstream->fd;
}

static int
close_socket (void *context, curl_socket_t fd)
{
  struct upstream *upstream = context;

  if (upstream->fd == fd)
    {
      ioctl (fd, SIOCOUTQ, &upstream->unreceived);
      upstream->fd = -1;
    }
  return close (fd);
}

static void
set_body_options (CURL *easy, struct transfer *transfer)
{
  const struct upstream_call *call = transfer->call;

  if (strcmp (call->method, "HEAD") == 0)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, call->method);
  if (!call->has_body)
    return;
  curl_easy_setopt (easy, CURLOPT_UPLOAD, 1L);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, call->method);
  curl_easy_setopt (easy, CURLOPT_UPLOAD_BUFFERSIZE,
                    (long)UPLOAD_BUFFER_BYTES);
  curl_easy_setopt (easy, CURLOPT_INFILESIZE_LARGE,
                    (curl_off_t)call->body_size);
  curl_easy_setopt (easy, CURLOPT_READFUNCTION, read_body);
  curl_easy_setopt (easy, CURLOPT_READDATA, transfer);
}

void
upstream_set_options (const struct upstream_pool *pool,
                      struct upstream *upstream, struct transfer *transfer)
{
  CURL *easy = upstream->easy;
  const struct upstream_call *call = transfer->call;
  char url[CP_ADDRESS_TEXT_BYTES + 16];

  snprintf (url, sizeof url, "http://%s/", call->address->text);
  transfer->upstream = upstream;
  upstream->unreceived = 0;
  upstream_head_init (transfer);
  curl_easy_reset (easy);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, call->path);
  if (pool->local_ip[0] != '\0')
    curl_easy_setopt (easy, CURLOPT_INTERFACE, pool->local_ip);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETFUNCTION, open_socket);
  curl_easy_setopt (easy, CURLOPT_OPENSOCKETDATA, upstream);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, close_socket);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, upstream);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, before_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, upstream_read_head_line);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, transfer);
  set_body_options (easy, transfer);
}

bool
upstream_fd_closed (int fd)
{
  char byte;
  ssize_t count = recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

int
upstream_poll_timeout_ms (uint64_t now_us, uint64_t until_us)
{
  uint64_t left_ms;

  if (until_us <= now_us)
    return 0;
  left_ms = (until_us - now_us + CP_US_PER_MS - 1) / CP_US_PER_MS;
  return left_ms > WAIT_MS_MAX ? WAIT_MS_MAX : (int)left_ms;
}

enum upstream_result
upstream_check_timeouts (struct transfer *transfer, uint64_t now_us,
                         uint64_t *until_us)
{
  const struct upstream_call *call = transfer->call;

  if (now_us >= call->deadline_us)
    return UPSTREAM_DEADLINE;
  if (call->deadline_us < *until_us)
    *until_us = call->deadline_us;
  if (transfer->first_byte_us == 0 || transfer->head.status != 0)
    return UPSTREAM_COMPLETE;
  if (now_us >= transfer->first_byte_us)
    {
      if (call->on_silent == NULL)
        return UPSTREAM_SILENT;
      transfer->first_byte_us = call->on_silent (call->context);
      if (transfer->first_byte_us == 0)
        return UPSTREAM_SILENT;
    }
  if (transfer->first_byte_us < *until_us)
    *until_us = transfer->first_byte_us;
  return UPSTREAM_COMPLETE;
}

bool
upstream_can_watch_caller (const struct transfer *transfer)
{
  return transfer->call->caller_fd >= 0
         && (!transfer->call->has_body || transfer->body_ended);
}

/* Descriptors that a transfer waits for besides its own connection.  */
enum watched
{
  WATCH_STOP, /* stop_fd for background calls, else abort_fd */
  WATCH_CALLER,
  WATCH_COUNT
};

/* Waits for the connection, the caller or the end of the pool.  Returns
   UPSTREAM_COMPLETE when the transfer is to continue.  */
static enum upstream_result
wait_for_progress (struct upstream_pool *pool, struct upstream *upstream,
                   struct transfer *transfer, bool *watch_caller)
{
  const struct upstream_call *call = transfer->call;
  struct curl_waitfd fds[WATCH_COUNT]
      = { [WATCH_STOP] = { call->background ? pool->stop_fd : pool->abort_fd,
                           CURL_WAIT_POLLIN, 0 },
          [WATCH_CALLER] = { call->caller_fd, CURL_WAIT_POLLIN, 0 } };
  uint64_t now = cp_clock_now_us (pool->clock);
  uint64_t until = UINT64_MAX;
  bool watched = *watch_caller && upstream_can_watch_caller (transfer);
  unsigned end = watched ? WATCH_COUNT : WATCH_CALLER;
  enum upstream_result result
      = upstream_check_timeouts (transfer, now, &until);

  if (result != UPSTREAM_COMPLETE)
    return result;
  curl_multi_poll (upstream->multi, fds, end,
                   upstream_poll_timeout_ms (now, until), NULL);
  if (fds[WATCH_STOP].revents != 0)
    return UPSTREAM_STOPPED;
  if (!watched || fds[WATCH_CALLER].revents == 0)
    return UPSTREAM_COMPLETE;
  if (upstream_fd_closed (call->caller_fd))
    return UPSTREAM_CALLER_GONE;
  /* The caller has sent more bytes, which hide the end of the connection.  */
  *watch_caller = false;
  return UPSTREAM_COMPLETE;
}

/* Returns whether the answer, which libcurl takes as whole, is so.  A target
   may reject a request that it has not read, but a success without a length
   that ends with the connection while the request is still on its way is that
   of a target that failed meanwhile: its FIN may come before the reset.  */
static bool
is_whole (const struct transfer *transfer)
{
  const struct upstream_head *head = &transfer->head;

  if (head->status >= 300 || head->status == 204 || head->length >= 0
      || transfer->chunked || !transfer->call->has_body)
    return true;
  return transfer->body_ended && transfer->upstream->unreceived == 0;
}

enum upstream_result
upstream_classify (struct transfer *transfer, CURLcode code)
{
  if (code == CURLE_OK && !is_whole (transfer))
    return UPSTREAM_TRUNCATED;
  if (code == CURLE_OK)
    return deliver_head (transfer) ? UPSTREAM_COMPLETE : UPSTREAM_ABORTED;
  if (!transfer->sent)
    return UPSTREAM_NOT_SENT;
  if (transfer->callback_aborted)
    return UPSTREAM_ABORTED;
  return UPSTREAM_TRUNCATED;
}

static enum upstream_result
run_transfer (struct upstream_pool *pool, struct upstream *upstream,
              struct transfer *transfer)
{
  bool watch_caller = true;

  for (;;)
    {
      int running = 0;
      int left;
      CURLMsg *message;
      enum upstream_result result;

      curl_multi_perform (upstream->multi, &running);
      message = curl_multi_info_read (upstream->multi, &left);
      if (message != NULL && message->msg == CURLMSG_DONE)
        return upstream_classify (transfer, message->data.result);
      result = wait_for_progress (pool, upstream, transfer, &watch_caller);
      if (result != UPSTREAM_COMPLETE)
        return result;
    }
}

struct upstream *
upstream_acquire (struct upstream_pool *pool, const struct upstream_call *call)
{
  adjust_busy (pool, call, 1);
  return reuse_or_create (pool, call);
}

void
upstream_release (struct upstream_pool *pool, struct upstream *upstream,
                  const struct transfer *transfer, enum upstream_result result,
                  bool keep)
{
  if (suggests_dead_connection (transfer, result))
    discard_idle (pool, transfer->call);
  adjust_busy (pool, transfer->call, -1);
  keep_or_close (pool, transfer->call, upstream, keep);
}

enum upstream_result
upstream_perform (struct upstream_pool *pool, const struct upstream_call *call)
{
  struct transfer transfer
      = { .call = call, .first_byte_us = call->first_byte_us };
  struct upstream *upstream = upstream_acquire (pool, call);
  enum upstream_result result;

  upstream_set_options (pool, upstream, &transfer);
  curl_multi_add_handle (upstream->multi, upstream->easy);
  result = run_transfer (pool, upstream, &transfer);
  curl_multi_remove_handle (upstream->multi, upstream->easy);
  if (result != UPSTREAM_COMPLETE && !transfer.sent)
    result = UPSTREAM_NOT_SENT;
  upstream_release (pool, upstream, &transfer, result,
                    result == UPSTREAM_COMPLETE);
  curl_slist_free_all (transfer.head.headers);
  return result;
}

json_t *
upstream_dump (struct upstream_pool *pool)
{
  json_t *list = json_array ();
  GHashTableIter iterator;
  gpointer key;
  gpointer value;

  CP_LOCK_SCOPE (&pool->lock);
  g_hash_table_iter_init (&iterator, pool->addresses);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    {
      const struct upstream_address *address = value;

      json_array_append_new (list, json_pack ("{s:s, s:i, s:i}", "address",
                                              (char *)key, "idle",
                                              (int)address->n_idle, "busy",
                                              (int)address->n_busy));
    }
  return list;
}

#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/ioctl.h>

#include "net/stream.h"

/* Size of the read buffer.  All streams share one: its content is passed to
   the owner before the loop reads again.  */
#define READ_BUFFER_BYTES 65536

/* Connections that may wait to be accepted: after a restart the clients on a
   machine reconnect within one round trip of each other.  */
#define LISTEN_BACKLOG 511

/* Time after which unacknowledged data closes a connection, in ms; a machine
   that is cut off from the network sends no reset.  */
#define UNACKED_TIMEOUT_MS 3000

/* TCP keep-alive detects dead idle connections within three seconds, the time
   that the requirements allow until time bounds hold again.  */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

struct pending_write
{
  uv_write_t request;
  struct net_stream *stream;
  GByteArray *data;
};

static char read_buffer[READ_BUFFER_BYTES];

static void
alloc_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  (void)handle;
  (void)suggested;
  buffer->base = read_buffer;
  buffer->len = sizeof read_buffer;
}

/* Returns the libuv error with which STREAM ended.  A reset that arrives
   together with the last data may be read as UV_EOF; the socket then keeps it
   as a pending error (SO_ERROR).  */
static int
read_error (const struct net_stream *stream, int code)
{
  socklen_t length = sizeof (int);
  uv_os_fd_t fd;
  int pending = 0;

  if (code != UV_EOF || uv_fileno ((const uv_handle_t *)&stream->tcp, &fd) != 0
      || getsockopt (fd, SOL_SOCKET, SO_ERROR, &pending, &length) != 0
      || pending == 0)
    return code;
  return uv_translate_sys_error (pending);
}

static void
on_read (uv_stream_t *handle, ssize_t count, const uv_buf_t *buffer)
{
  struct net_stream *stream = handle->data;

  if (count > 0)
    stream->events->data (stream, buffer->base, (size_t)count);
  else if (count < 0)
    {
      net_stream_set_reading (stream, false);
      stream->events->ended (stream, read_error (stream, (int)count));
    }
}

void
net_stream_set_reading (struct net_stream *stream, bool on)
{
  if (stream->closing || stream->reading == on)
    return;
  stream->reading = on;
  if (on)
    uv_read_start ((uv_stream_t *)&stream->tcp, alloc_buffer, on_read);
  else
    uv_read_stop ((uv_stream_t *)&stream->tcp);
}

static void
set_tcp_option (uv_os_fd_t fd, int option, int value)
{
  setsockopt (fd, IPPROTO_TCP, option, &value, sizeof value);
}

static void
set_socket_options (struct net_stream *stream)
{
  uv_os_fd_t fd;

  uv_tcp_nodelay (&stream->tcp, 1);
  uv_tcp_keepalive (&stream->tcp, 1, KEEPALIVE_IDLE_S);
  if (uv_fileno ((uv_handle_t *)&stream->tcp, &fd) != 0)
    return;
  set_tcp_option (fd, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S);
  set_tcp_option (fd, TCP_KEEPCNT, KEEPALIVE_PROBES);
  set_tcp_option (fd, TCP_USER_TIMEOUT, UNACKED_TIMEOUT_MS);
}

int
net_stream_accept (struct net_stream *stream, uv_stream_t *listener,
                   const struct net_stream_events *events, void *context)
{
  int error;

  *stream = (struct net_stream){ .events = events, .context = context };
  uv_tcp_init (listener->loop, &stream->tcp);
  stream->tcp.data = stream;
  error = uv_accept (listener, (uv_stream_t *)&stream->tcp);
  if (error != 0)
    {
      net_stream_close (stream);
      return error;
    }
  set_socket_options (stream);
  net_stream_set_reading (stream, true);
  return 0;
}

static void
on_connect (uv_connect_t *request, int status)
{
  struct net_stream *stream = request->handle->data;

  if (stream->closing)
    return;
  if (status == 0)
    {
      set_socket_options (stream);
      net_stream_set_reading (stream, true);
    }
  stream->events->connected (stream, status);
}

void
net_stream_connect (struct net_stream *stream, uv_loop_t *loop,
                    const struct cp_address *address,
                    const struct net_stream_events *events, void *context)
{
  int error;

  *stream = (struct net_stream){ .events = events, .context = context };
  uv_tcp_init (loop, &stream->tcp);
  stream->tcp.data = stream;
  error = uv_tcp_connect (&stream->connect, &stream->tcp, &address->socket.any,
                          on_connect);
  if (error != 0)
    stream->events->connected (stream, error);
}

static void
on_write (uv_write_t *request, int status)
{
  struct pending_write *pending = request->data;
  struct net_stream *stream = pending->stream;

  stream->unwritten -= pending->data->len;
  g_byte_array_unref (pending->data);
  free (pending);
  if (status < 0 && status != UV_ECANCELED && !stream->closing)
    {
      net_stream_set_reading (stream, false);
      stream->events->ended (stream, status);
    }
}

void
net_stream_write (struct net_stream *stream, GByteArray *data)
{
  uv_buf_t buffer = uv_buf_init ((char *)data->data, data->len);
  struct pending_write *pending;
  int written = 0;

  if (stream->closing)
    {
      g_byte_array_unref (data);
      return;
    }
  if (stream->unwritten == 0)
    written = uv_try_write ((uv_stream_t *)&stream->tcp, &buffer, 1);
  if (written >= 0 || written == UV_EAGAIN)
    stream->wrote = true;
  if (written == (int)data->len)
    {
      g_byte_array_unref (data);
      return;
    }
  if (written > 0)
    g_byte_array_remove_range (data, 0, (guint)written);
  pending = g_new0 (struct pending_write, 1);
  pending->stream = stream;
  pending->data = data;
  pending->request.data = pending;
  stream->unwritten += data->len;
  buffer = uv_buf_init ((char *)data->data, data->len);
  /* After an error above this fails as well; libuv reports that later.  */
  if (uv_write (&pending->request, (uv_stream_t *)&stream->tcp, &buffer, 1,
                on_write)
      != 0)
    {
      stream->unwritten -= data->len;
      g_byte_array_unref (data);
      free (pending);
    }
}

size_t
net_stream_unacknowledged (const struct net_stream *stream)
{
  uv_os_fd_t fd;
  int queued = 0;

  if (uv_fileno ((const uv_handle_t *)&stream->tcp, &fd) != 0
      || ioctl (fd, SIOCOUTQ, &queued) != 0)
    return stream->unwritten;
  return stream->unwritten + (size_t)queued;
}

void
net_stream_clear_wrote (struct net_stream *stream)
{
  stream->wrote = false;
}

static void
on_shutdown (uv_shutdown_t *request, int status)
{
  (void)status;
  free (request);
}

void
net_stream_shutdown (struct net_stream *stream)
{
  uv_shutdown_t *request;

  if (stream->closing)
    return;
  request = g_new0 (uv_shutdown_t, 1);
  if (uv_shutdown (request, (uv_stream_t *)&stream->tcp, on_shutdown) != 0)
    free (request);
}

static void
on_close (uv_handle_t *handle)
{
  struct net_stream *stream = handle->data;

  stream->events->released (stream);
}

void
net_stream_close (struct net_stream *stream)
{
  if (stream->closing)
    return;
  stream->closing = true;
  uv_close ((uv_handle_t *)&stream->tcp, on_close);
}

int
net_listen (uv_tcp_t *listener, uv_loop_t *loop,
            const struct cp_address *address, uv_connection_cb accept_cb)
{
  int error = uv_tcp_init (loop, listener);

  if (error == 0)
    error = uv_tcp_bind (listener, &address->socket.any, 0);
  if (error == 0)
    error = uv_listen ((uv_stream_t *)listener, LISTEN_BACKLOG, accept_cb);
  return error;
}

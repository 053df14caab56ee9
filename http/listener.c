#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/resource.h>
#include <sys/socket.h>

#include "http/internal.h"
#include "lib/log.h"

#define HEADER_BYTES_MAX 16384
#define KEEP_ALIVE_MS 30000
#define READ_TIMEOUT_MS 30000
#define DISCARD_BYTES_MAX 65536
#define LINGER_US (2 * CP_US_PER_S)

static bool
is_connection_socket (int fd, const struct mg_request_info *info)
{
  struct sockaddr_storage peer = { 0 };
  struct sockaddr_storage own = { 0 };
  socklen_t peer_length = sizeof peer;
  socklen_t own_length = sizeof own;
  char host[INET6_ADDRSTRLEN];
  struct sockaddr_in *v4 = (struct sockaddr_in *)&peer;
  struct sockaddr_in6 *v6 = (struct sockaddr_in6 *)&peer;
  const void *number = &v4->sin_addr;
  in_port_t own_port;

  if (getpeername (fd, (struct sockaddr *)&peer, &peer_length) != 0
      || getsockname (fd, (struct sockaddr *)&own, &own_length) != 0)
    return false;
  if (peer.ss_family != AF_INET && peer.ss_family != AF_INET6)
    return false;
  /* The port has the same offset in IPv4 and IPv6 addresses.  */
  own_port = ((struct sockaddr_in *)&own)->sin_port;
  if (ntohs (v4->sin_port) != info->remote_port
      || ntohs (own_port) != info->server_port)
    return false;
  if (peer.ss_family == AF_INET6)
    number = &v6->sin6_addr;
  inet_ntop (peer.ss_family, number, host, sizeof host);
  return strcmp (host, info->remote_addr) == 0;
}

/* CivetWeb does not expose the socket of a connection.  It is found by its
   local port and peer address, once for each connection.  */
static int
find_socket (const struct mg_request_info *info)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return -1;
  for (int fd = 0; fd < (int)limit.rlim_cur && fd < DESCRIPTORS_SCANNED_MAX;
       fd++)
    if (is_connection_socket (fd, info))
      return fd;
  return -1;
}

/* Returns the socket of the connection, or -1.  It is cached, plus 1, as the
   connection's user data, where NULL means that it was not looked up yet.  */
static int
caller_socket (struct mg_connection *connection)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  int fd;

  if (info->conn_data != NULL)
    return (int)(intptr_t)info->conn_data - 1;
  fd = find_socket (info);
  mg_set_user_connection_data (connection, (void *)(intptr_t)(fd + 1));
  return fd;
}

const char *
request_header (const struct request *request, const char *name)
{
  for (int i = 0; i < request->info->num_headers; i++)
    if (strcasecmp (request->info->http_headers[i].name, name) == 0)
      return request->info->http_headers[i].value;
  return NULL;
}

char *
request_path (const struct request *request)
{
  const struct mg_request_info *info = request->info;

  if (info->query_string == NULL)
    return g_strdup (info->request_uri);
  return g_strconcat (info->request_uri, "?", info->query_string, NULL);
}

static unsigned
count_header (const struct mg_request_info *info, const char *name)
{
  unsigned count = 0;

  for (int i = 0; i < info->num_headers; i++)
    if (strcasecmp (info->http_headers[i].name, name) == 0)
      count++;
  return count;
}

static bool
is_valid_length (const char *text)
{
  if (*text == '\0' || strlen (text) > 18)
    return false;
  return strspn (text, "0123456789") == strlen (text);
}

/* CivetWeb overwrites both CR and LF at the end of a header line with zero
   bytes; a bare LF leaves only one.  */
static bool
line_ends_in_crlf (const char *value)
{
  return value != NULL && value[strlen (value) + 1] == '\0';
}

/* CivetWeb silently stops parsing at a line that starts with a space and after
   64 headers.  The empty line must follow the last header that was parsed.  */
static bool
headers_are_complete (const struct mg_request_info *info)
{
  const char *value;

  if (info->num_headers == 0)
    return false;
  value = info->http_headers[info->num_headers - 1].value;
  return value[strlen (value) + 2] == '\r';
}

/* CivetWeb overwrites the colon, and each space before it, with a zero byte.
   RFC 9112, section 5.1, forbids the space.  */
static bool
space_before_colon (const struct mg_header *header)
{
  const char *at = header->name + strlen (header->name) + 1;

  for (; at < header->value; at++)
    if (*at == '\0')
      return true;
  return false;
}

/* Returns why the request is malformed, or NULL.  */
static const char *
check_request (const struct request *request)
{
  const struct mg_request_info *info = request->info;
  const char *length = request_header (request, "Content-Length");
  const char *coding = request_header (request, "Transfer-Encoding");

  if (info->request_uri == NULL || info->request_uri[0] != '/')
    return "the request target is no absolute path";
  if (count_header (info, "Content-Length") > 1
      || count_header (info, "Transfer-Encoding") > 1
      || count_header (info, "Host") > 1)
    return "a header is there twice";
  if (length != NULL && coding != NULL)
    return "Content-Length and Transfer-Encoding are both there";
  if (length != NULL && !is_valid_length (length))
    return "Content-Length is no number";
  if (coding != NULL && strcasecmp (coding, "chunked") != 0)
    return "Transfer-Encoding is not chunked";
  for (int i = 0; i < info->num_headers; i++)
    if (space_before_colon (&info->http_headers[i]))
      return "a header name has a space";
  for (int i = 0; i < info->num_headers; i++)
    if (!line_ends_in_crlf (info->http_headers[i].value))
      return "a line ends without CR";
  if (!headers_are_complete (info))
    return "a line is folded, or there are no or too many headers";
  return NULL;
}

static bool
expects_continue (const struct request *request)
{
  const char *expect = request_header (request, "Expect");

  return expect != NULL && strcasecmp (expect, "100-continue") == 0;
}

ssize_t
request_read (struct request *request, char *buffer, size_t size)
{
  int count;

  if (request->body_ended)
    return 0;
  if (request->body_read == 0 && expects_continue (request))
    mg_write (request->connection, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  if (request->body_size >= 0
      && (int64_t)size > request->body_size - request->body_read)
    size = (size_t)(request->body_size - request->body_read);
  count = size == 0 ? 0 : mg_read (request->connection, buffer, size);
  if (count > 0)
    request->body_read += count;
  if (request->body_size >= 0 && request->body_read == request->body_size)
    request->body_ended = true;
  if (count > 0)
    return count;
  if (request->body_size < 0 && count == 0)
    request->body_ended = true;
  return request->body_ended ? 0 : -1;
}

/* Reads and discards the rest of a small body, so that the connection can be
   reused.  With a large or chunked body, or one that the caller holds back
   until "100 Continue", the connection is closed instead.  */
static void
discard_body (struct request *request)
{
  char buffer[4096];

  if (request->body_size < 0
      || request->body_size - request->body_read > DISCARD_BYTES_MAX
      || (request->body_read == 0 && expects_continue (request)
          && request->body_size > 0))
    {
      mg_disable_connection_keep_alive (request->connection);
      return;
    }
  while (!request->body_ended)
    if (request_read (request, buffer, sizeof buffer) < 0)
      {
        mg_disable_connection_keep_alive (request->connection);
        return;
      }
}

const char *
request_connection_header (const struct request *request)
{
  if (!__atomic_load_n (&request->listener->keep_alive_disabled,
                        __ATOMIC_ACQUIRE))
    return "";
  mg_disable_connection_keep_alive (request->connection);
  return "Connection: close\r\n";
}

void
request_answer (struct request *request, int status, const char *headers,
                const char *type, const char *body)
{
  bool head = strcmp (request->info->request_method, "HEAD") == 0;

  discard_body (request);
  mg_printf (request->connection,
             "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
             "%s%s\r\n%s",
             status, mg_get_response_code_text (request->connection, status),
             type, strlen (body), request_connection_header (request),
             headers == NULL ? "" : headers, head ? "" : body);
  request_linger (request);
}

void
request_linger (struct request *request)
{
  uint64_t until = cp_clock_now_us (request->listener->clock) + LINGER_US;
  char buffer[4096];
  ssize_t count = 1;

  if (request->body_ended
      || (request->body_read == 0 && expects_continue (request)))
    return;
  mg_disable_connection_keep_alive (request->connection);
  while (count > 0 && cp_clock_now_us (request->listener->clock) < until)
    count = request_read (request, buffer, sizeof buffer);
}

void
request_reset (const struct request *request)
{
  const struct sockaddr unspecified = { .sa_family = AF_UNSPEC };

  /* On TCP this discards unsent data and sends a reset (connect(2)).  */
  if (request->caller_fd >= 0)
    (void)connect (request->caller_fd, &unspecified, sizeof unspecified);
}

bool
request_caller_gone (const struct request *request)
{
  char byte;
  ssize_t count;

  if (request->caller_fd < 0)
    return false;
  count = recv (request->caller_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

static int
begin_request (struct mg_connection *connection)
{
  struct listener *listener = mg_get_user_data (mg_get_context (connection));
  struct request request = { .connection = connection, .listener = listener };
  const char *problem;

  request.info = mg_get_request_info (connection);
  request.arrived_us = cp_clock_now_us (listener->clock);
  request.caller_fd = caller_socket (connection);
  request.body_size = request.info->content_length;
  if (request_header (&request, "Transfer-Encoding") != NULL)
    request.body_size = -1;
  else if (request.body_size < 0)
    request.body_size = 0;
  request.body_ended = request.body_size == 0;
  /* CivetWeb loses bytes that follow a chunked body.  */
  if (request.body_size < 0)
    mg_disable_connection_keep_alive (connection);
  problem = check_request (&request);
  if (problem == NULL)
    {
      listener->handle (listener->context, &request);
      return 200;
    }
  if (listener->counters != NULL)
    cp_counters_add (listener->counters, listener->bad_requests, 1);
  mg_disable_connection_keep_alive (connection);
  mg_printf (connection,
             "HTTP/1.1 400 Bad Request\r\nConnection: close\r\n"
             "Content-Length: %zu\r\n\r\n%s\n",
             strlen (problem) + 1, problem);
  return 400;
}

/* Writes CivetWeb's messages to the log instead of its own files.  */
static int
log_message (const struct mg_connection *connection, const char *message)
{
  (void)connection;
  cp_log (CP_LOG_DEBUG, CP_PART_HTTP, "CivetWeb: %s.", message);
  return 1;
}

/* Binds a socket to ADDRESS and closes it, to report the system's error when
   the address can not be used.  */
static int
check_bind (const struct cp_address *address, struct cp_error *error)
{
  int one = 1;
  int fd = socket (address->socket.any.sa_family, SOCK_STREAM, 0);
  int status;

  if (fd < 0)
    return cp_error_set (error, CP_ERROR_NETWORK, address->text,
                         "raise the limit of open files", "%s",
                         strerror (errno));
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  status = bind (fd, &address->socket.any, address->length);
  if (status != 0)
    cp_error_set (error, CP_ERROR_NETWORK, address->text,
                  "choose another address or end the process that uses it",
                  "cannot listen: %s", strerror (errno));
  close (fd);
  return status;
}

int
listener_start (struct listener *listener, const struct cp_address *address,
                unsigned threads, struct cp_error *error)
{
  static const struct mg_callbacks callbacks
      = { .begin_request = begin_request, .log_message = log_message };
  char thread_text[16];
  char keep_alive[16];
  char read_timeout[16];
  char header_bytes[16];
  const char *options[] = { "listening_ports",
                            address->text,
                            "num_threads",
                            thread_text,
                            "enable_keep_alive",
                            "yes",
                            "keep_alive_timeout_ms",
                            keep_alive,
                            "request_timeout_ms",
                            read_timeout,
                            "max_request_size",
                            header_bytes,
                            "tcp_nodelay",
                            "1",
                            "decode_url",
                            "no",
                            "connection_queue",
                            "256",
                            NULL };

  snprintf (thread_text, sizeof thread_text, "%u", threads);
  snprintf (keep_alive, sizeof keep_alive, "%d", KEEP_ALIVE_MS);
  snprintf (read_timeout, sizeof read_timeout, "%d", READ_TIMEOUT_MS);
  snprintf (header_bytes, sizeof header_bytes, "%d", HEADER_BYTES_MAX);
  listener->address = *address;
  if (check_bind (address, error) != 0)
    return -1;
  listener->server = mg_start (&callbacks, listener, options);
  if (listener->server != NULL)
    return 0;
  return cp_error_set (error, CP_ERROR_NETWORK, address->text,
                       "choose another address or fewer threads",
                       "cannot start the HTTP server");
}

void
listener_disable_keep_alive (struct listener *listener)
{
  __atomic_store_n (&listener->keep_alive_disabled, true, __ATOMIC_RELEASE);
}

void
listener_stop (struct listener *listener)
{
  if (listener->server != NULL)
    mg_stop (listener->server);
  listener->server = NULL;
}

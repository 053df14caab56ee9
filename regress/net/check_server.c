/* Tests of the HTTP server: connections that end while requests on them are
   unanswered.  Client and server share a thread and an event loop.  */
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/server.h"
#include "regress/harness/suite.h"

#define REQUESTS 4

/* The client's receive buffer; much smaller than a long answer.  */
#define RECEIVE_BYTES 65536

/* A long answer, and the pause after which the client reads more of it: three
   seconds for all, in which the server would close an idle connection.  */
#define LONG_ANSWER_BYTES (12U << 20)
#define READ_BYTES 65536
#define READ_PAUSE_MS 16

static const char text[] = "GET /%u HTTP/1.1\r\nHost: a.test\r\n\r\n";

struct site
{
  uv_loop_t loop;
  struct net_server server;
  int client;
  uv_timer_t reader;
  struct net_exchange *exchanges[REQUESTS];
  unsigned n_requests;
  unsigned n_abandoned;
};

static struct site site;

static void
on_request (void *context, struct net_exchange *exchange)
{
  struct site *to = context;

  ck_assert_uint_lt (to->n_requests, REQUESTS);
  exchange->owner = to;
  to->exchanges[to->n_requests++] = exchange;
}

/* Answers the exchange after EXCHANGE, as the end of one call may end the next
   one that waits for the same server.  */
static void
on_abandoned (void *context, struct net_exchange *exchange)
{
  struct site *to = context;

  to->n_abandoned++;
  for (unsigned i = 0; i < REQUESTS; i++)
    if (to->exchanges[i] == exchange)
      {
        to->exchanges[i] = NULL;
        if (i + 1 < REQUESTS && to->exchanges[i + 1] != NULL)
          net_exchange_respond (to->exchanges[i + 1], 503, NULL, NULL, 0);
      }
}

static void
on_refused (void *context, unsigned status, const char *reason)
{
  (void)context;
  (void)status;
  (void)reason;
}

static const struct net_server_events events
    = { on_request, on_abandoned, on_refused };

static void
setup (void)
{
  static const struct net_server_limits limits = { 16384, 16384, 0, 0 };
  struct sockaddr_storage name;
  socklen_t size = sizeof name;
  int receive_bytes = RECEIVE_BYTES;
  struct cp_address address;
  uv_os_fd_t fd;

  memset (&site, 0, sizeof site);
  uv_loop_init (&site.loop);
  ck_assert (cp_address_parse (&address, "127.0.0.1:1"));
  address.socket.v4.sin_port = 0; /* any free port */
  ck_assert_int_eq (net_server_init (&site.server, &site.loop, &address,
                                     &limits, &events, &site),
                    0);
  uv_fileno ((uv_handle_t *)&site.server.listener, &fd);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&name, &size), 0);
  site.client = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (site.client, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
              sizeof receive_bytes);
  ck_assert_int_eq (connect (site.client, (struct sockaddr *)&name, size), 0);
}

static void
teardown (void)
{
  close (site.client);
  net_server_finish (&site.server);
  uv_run (&site.loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&site.loop), 0);
}

static void
send_requests (unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      char request[64];
      int length = snprintf (request, sizeof request, text, i);

      ck_assert_int_eq (send (site.client, request, (size_t)length, 0),
                        length);
    }
  while (site.n_requests < count)
    uv_run (&site.loop, UV_RUN_ONCE);
}

/* Runs the loop until the server has closed the connection.  Puts what the
   client got into BUFFER, as a string.  */
static void
read_to_end (char *buffer, size_t size)
{
  size_t length = 0;
  ssize_t got;

  while (site.server.n_connections > 0)
    uv_run (&site.loop, UV_RUN_ONCE);
  while ((got = recv (site.client, buffer + length, size - 1 - length, 0)) > 0)
    length += (size_t)got;
  buffer[length] = '\0';
}

/* Guards against a use after free in the walk over the requests of a client
   that has left, and against an answer that is sent in the place of another
   one.  */
START_TEST (a_request_that_ends_while_others_are_abandoned_is_not_answered)
{
  char answers[1024];

  send_requests (REQUESTS);
  shutdown (site.client, SHUT_WR);
  read_to_end (answers, sizeof answers);
  ck_assert_str_eq (answers, "");
  ck_assert_uint_eq (site.n_abandoned, REQUESTS / 2);
  ck_assert_uint_eq (site.server.n_exchanges, 0);
  ck_assert_uint_eq (site.server.body_budget.used, 0);
}
END_TEST

/* The same for the requests behind an answer that closes the connection.  */
START_TEST (nothing_is_sent_behind_an_answer_that_closes)
{
  static const char end[] = "Connection: close\r\nContent-Length: 0\r\n\r\n";
  char answers[1024];

  send_requests (REQUESTS);
  site.exchanges[0]->close = true;
  net_exchange_respond (site.exchanges[0], 200, NULL, NULL, 0);
  read_to_end (answers, sizeof answers);
  ck_assert (g_str_has_suffix (answers, end));
  ck_assert_ptr_null (strstr (answers + 1, "HTTP/1.1 "));
  ck_assert_uint_eq (site.server.n_exchanges, 0);
}
END_TEST

static void
read_some (uv_timer_t *timer)
{
  static char buffer[READ_BYTES];
  size_t *length = timer->data;
  ssize_t got = recv (site.client, buffer, sizeof buffer, MSG_DONTWAIT);

  if (got > 0)
    *length += (size_t)got;
  else if (got == 0 || errno != EAGAIN)
    uv_close ((uv_handle_t *)timer, NULL);
}

/* Guards against an answer that is cut while its client reads it, because the
   connection counts as idle: when the server stops, and behind an answer that
   closes its connection.  */
START_TEST (a_long_answer_is_read_to_its_end)
{
  g_autofree char *body = g_malloc0 (LONG_ANSWER_BYTES);
  size_t length = 0;

  uv_timer_init (&site.loop, &site.reader);
  site.reader.data = &length;
  uv_timer_start (&site.reader, read_some, READ_PAUSE_MS, READ_PAUSE_MS);
  send_requests (1);
  site.exchanges[0]->close = _i == 1;
  net_exchange_respond (site.exchanges[0], 200, NULL, body, LONG_ANSWER_BYTES);
  if (_i == 0)
    net_server_drain (&site.server);
  while (uv_is_active ((uv_handle_t *)&site.reader))
    uv_run (&site.loop, UV_RUN_ONCE);
  ck_assert_uint_gt (length, LONG_ANSWER_BYTES);
}
END_TEST

/* Guards against requests that are taken from a connection without end while
   the server stops.  */
START_TEST (nothing_is_read_behind_the_last_request_of_a_stopping_server)
{
  char answers[1024];
  char request[64];
  int length;

  send_requests (2);
  net_server_drain (&site.server);
  length = snprintf (request, sizeof request, text, 2U);
  ck_assert_int_eq (send (site.client, request, (size_t)length, 0), length);
  for (unsigned i = 0; i < 10; i++)
    uv_run (&site.loop, UV_RUN_NOWAIT);
  ck_assert_uint_eq (site.n_requests, 2);
  net_exchange_respond (site.exchanges[0], 200, NULL, NULL, 0);
  net_exchange_respond (site.exchanges[1], 200, NULL, NULL, 0);
  read_to_end (answers, sizeof answers);
  ck_assert_ptr_nonnull (strstr (answers, "Connection: close"));
  ck_assert_ptr_nonnull (strstr (answers + 1, "HTTP/1.1 200"));
}
END_TEST

static int
connect_other (void)
{
  struct sockaddr_storage name;
  socklen_t size = sizeof name;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_eq (getpeername (site.client, (struct sockaddr *)&name, &size),
                    0);
  ck_assert_int_eq (connect (fd, (struct sockaddr *)&name, size), 0);
  return fd;
}

/* Sends the head of a request that announces LENGTH bytes on FD, and runs the
   loop for a while.  Returns the status of the answer, or 0 if there is
   none.  */
static int
announce_body (int fd, unsigned length)
{
  char buffer[1024] = "";
  int size = snprintf (buffer, sizeof buffer,
                       "POST / HTTP/1.1\r\nHost: a.test\r\n"
                       "Content-Length: %u\r\n\r\n",
                       length);

  ck_assert_int_eq (send (fd, buffer, (size_t)size, 0), size);
  for (unsigned i = 0; i < 20; i++)
    {
      uv_run (&site.loop, UV_RUN_NOWAIT);
      usleep (1000);
    }
  if (recv (fd, buffer, sizeof buffer - 1, MSG_DONTWAIT) <= 0)
    return 0;
  return atoi (buffer + strlen ("HTTP/1.1 "));
}

/* Guards against bodies that together need more memory than the daemon has,
   because those that are still being read are not counted.  */
START_TEST (a_body_that_does_not_fit_beside_others_is_refused_unread)
{
  int others[3];

  for (unsigned i = 0; i < 3; i++)
    others[i] = connect_other ();
  site.server.body_budget.max = 10000;
  site.server.body_budget.share = 1000;
  ck_assert_int_eq (announce_body (site.client, 8000), 0);
  ck_assert_int_eq (announce_body (others[0], 8000), 503);
  ck_assert_int_eq (announce_body (others[1], 2000), 0);
  /* The share of each is taken in any case.  */
  ck_assert_int_eq (announce_body (others[2], 1000), 0);
  ck_assert_uint_eq (site.server.body_budget.used, 11000);
  for (unsigned i = 0; i < 3; i++)
    close (others[i]);
  close (site.client);
  while (site.server.n_connections > 0)
    uv_run (&site.loop, UV_RUN_ONCE);
  ck_assert_uint_eq (site.server.body_budget.used, 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (
      tests, a_request_that_ends_while_others_are_abandoned_is_not_answered);
  tcase_add_test (tests, nothing_is_sent_behind_an_answer_that_closes);
  tcase_add_test (tests,
                  a_body_that_does_not_fit_beside_others_is_refused_unread);
  tcase_add_loop_test (tests, a_long_answer_is_read_to_its_end, 0, 2);
  tcase_add_test (
      tests, nothing_is_read_behind_the_last_request_of_a_stopping_server);
}

int
main (void)
{
  return suite_run ("server", add_tests, 20);
}

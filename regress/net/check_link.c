/* Tests of links: what they hold of records.  Both ends share a thread.  */
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net/link.h"
#include "regress/harness/suite.h"

#define LONG_RECORD_BYTES (2U << 20)

static uv_loop_t loop;
static uv_tcp_t listener;
static struct net_link link_end;
static int client;
static unsigned n_records;
static bool released;

static void
on_record (struct net_link *link, char *data, size_t length)
{
  (void)link;
  (void)data;
  (void)length;
  n_records++;
}

static void
on_failed (struct net_link *link, const char *reason)
{
  (void)reason;
  net_link_close (link);
}

static void
on_released (struct net_link *link)
{
  (void)link;
  released = true;
}

static const struct net_link_events events
    = { .record = on_record, .failed = on_failed, .released = on_released };

static void
on_accept (uv_stream_t *stream, int status)
{
  ck_assert_int_eq (status, 0);
  ck_assert_int_eq (net_link_accept (&link_end, stream, &events, NULL), 0);
}

static void
setup (void)
{
  struct sockaddr_storage name;
  socklen_t size = sizeof name;
  struct cp_address address;
  uv_os_fd_t fd;

  uv_loop_init (&loop);
  ck_assert (cp_address_parse (&address, "127.0.0.1:1"));
  address.socket.v4.sin_port = 0; /* any free port */
  ck_assert_int_eq (net_listen (&listener, &loop, &address, on_accept), 0);
  uv_fileno ((uv_handle_t *)&listener, &fd);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&name, &size), 0);
  client = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_eq (connect (client, (struct sockaddr *)&name, size), 0);
}

static void
teardown (void)
{
  close (client);
  while (!released)
    uv_run (&loop, UV_RUN_ONCE);
  uv_close ((uv_handle_t *)&listener, NULL);
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_int_eq (uv_loop_close (&loop), 0);
}

static void
send_record (uint32_t length)
{
  g_autofree char *record = g_malloc0 (sizeof length + length);
  uint32_t prefix = htonl (length);
  unsigned before = n_records;
  size_t sent = 0;

  memcpy (record, &prefix, sizeof prefix);
  while (n_records == before)
    {
      ssize_t got = send (client, record + sent, sizeof prefix + length - sent,
                          MSG_DONTWAIT);

      sent += got > 0 ? (size_t)got : 0;
      uv_run (&loop, UV_RUN_NOWAIT);
    }
}

/* Guards against links that keep the memory of their longest record, which
   together are more than a daemon may use.  */
START_TEST (the_memory_of_a_long_record_is_released)
{
  send_record (LONG_RECORD_BYTES);
  ck_assert_ptr_null (link_end.input->data);
  send_record (100);
  send_record (LONG_RECORD_BYTES);
  ck_assert_ptr_null (link_end.input->data);
  ck_assert_uint_eq (n_records, 3);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, the_memory_of_a_long_record_is_released);
}

int
main (void)
{
  return suite_run ("link", add_tests, 20);
}

/* Bytes without end, or silence, from a server and from what is no peer:
   memory and time stay bounded, and other callers are served meanwhile.  */
#include <arpa/inet.h>
#include <dirent.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "regress/harness/flood_server.h"
#include "regress/harness/stage_fixture.h"

/* A quarter of 160 MB, the memory of the smallest VMs, is for requests and as
   much for answers; a daemon takes a few MB without them.  */
#define MEMORY_KB_MAX (100 * 1024)

static unsigned
count_descriptors (unsigned vm)
{
  char path[64];
  unsigned count = 0;
  DIR *folder;

  snprintf (path, sizeof path, "/proc/%d/fd", (int)stage.daemons[vm].pid);
  folder = opendir (path);
  ck_assert_ptr_nonnull (folder);
  while (readdir (folder) != NULL)
    count++;
  closedir (folder);
  return count;
}

static void
check_memory (void)
{
  for (unsigned vm = 1; vm <= VMS; vm++)
    ck_assert_uint_lt (process_peak_kb (&stage.daemons[vm]), MEMORY_KB_MAX);
}

static const char *const flood_queries[] = { "flood-head", "flood-body" };

START_TEST (a_read_that_meets_a_flood_is_served_by_another)
{
  CP_AUTO_FREE char *path
      = g_strdup_printf ("/read/1?%s-once", flood_queries[_i]);
  uint64_t began_us = (uint64_t)g_get_monotonic_time ();

  stage_call (&stage, &reply, 3, "GET", "alpha.test", path, "r1", NULL);
  ck_assert_int_eq (reply.status, 200);
  ck_assert_str_eq (reply.body->str, "whole");
  ck_assert_uint_lt ((uint64_t)g_get_monotonic_time () - began_us, 2000000);
  check_memory ();
}
END_TEST

START_TEST (an_order_that_meets_a_flood_has_an_unknown_end)
{
  CP_AUTO_FREE char *path = g_strdup_printf ("/write/1?%s", flood_queries[_i]);

  stage_call (&stage, &reply, 3, "POST", "alpha.test", path, "w1", "order");
  ck_assert_int_eq (reply.status, 502);
  ck_assert_uint_eq (stage_runs (&stage, "w1"), 1);
  stage_call (&stage, &reply, 3, "GET", "alpha.test", "/read/1", "r2", NULL);
  ck_assert_int_eq (reply.status, 200);
  check_memory ();
}
END_TEST

/* Opens a connection to VM 3 and sends an order on it that meets a flood.  */
static int
send_order (unsigned number)
{
  CP_AUTO_FREE char *text = g_strdup_printf (
      "POST /write/1?flood-body HTTP/1.1\r\nHost: alpha.test\r\n"
      "X-Cornelpick-Request-Id: f%u\r\nX-Cornelpick-Deadline-Ms: 3000\r\n"
      "Content-Length: 0\r\n\r\n",
      number);
  int fd = stage_open (&stage, 3, 8000);

  ck_assert_int_eq (write (fd, text, strlen (text)), strlen (text));
  return fd;
}

START_TEST (floods_on_all_slots_stay_within_the_memory)
{
  enum
  {
    ORDERS = 16
  };
  int fds[ORDERS];
  char status[13] = "";

  for (unsigned i = 0; i < ORDERS; i++)
    fds[i] = send_order (i);
  for (unsigned i = 0; i < ORDERS; i++)
    {
      ck_assert_int_eq (read (fds[i], status, sizeof status - 1),
                        sizeof status - 1);
      ck_assert_str_eq (status, "HTTP/1.1 502");
      close (fds[i]);
    }
  check_memory ();
}
END_TEST

/* Health checks without an answer do not pile up as connections.  */
START_TEST (unanswered_health_checks_are_closed)
{
  unsigned before;

  stage_server_mute_health (&stage, 1);
  stage_server_mute_health (&stage, 2);
  for (unsigned i = 0; i < 6; i++)
    {
      stage_call (&stage, &reply, 3, "GET", "alpha.test", "/read/1", "r",
                  NULL);
      usleep (500000);
    }
  before = count_descriptors (1) + count_descriptors (2);
  for (unsigned i = 0; i < 8; i++)
    {
      stage_call (&stage, &reply, 3, "GET", "alpha.test", "/read/1", "r",
                  NULL);
      usleep (500000);
    }
  ck_assert_uint_le (count_descriptors (1) + count_descriptors (2),
                     before + 2);
}
END_TEST

/* A connection to the port for daemons that announces a long record and says
   no hello.  */
START_TEST (a_long_record_without_hello_is_not_read)
{
  static char bytes[1 << 16];
  uint32_t length = htonl (64U << 20);
  int fd = stage_open (&stage, 1, 7400);
  size_t written = 0;
  ssize_t count = write (fd, &length, sizeof length);

  ck_assert_int_eq (count, sizeof length);
  while (written < (64U << 20) && count > 0)
    {
      count = write (fd, bytes, sizeof bytes);
      written += count > 0 ? (size_t)count : 0;
    }
  ck_assert_uint_lt (written, 16U << 20);
  close (fd);
  stage_call (&stage, &reply, 3, "GET", "alpha.test", "/read/1", "r1", NULL);
  ck_assert_int_eq (reply.status, 200);
  check_memory ();
}
END_TEST

static bool
store_answers (void *context)
{
  (void)context;
  return stage_counter (&stage, 3, "store_answers") == 1;
}

static bool
store_fails (void *context)
{
  return !store_answers (context);
}

START_TEST (a_store_that_floods_is_left_until_it_answers)
{
  for (unsigned vm = 1; vm <= VMS; vm++)
    stage_store_mode (&stage, vm, STAGE_STORE_FLOOD);
  stage_drop_history (&stage);
  wait_until (store_fails, NULL);
  for (unsigned i = 0; i < 10; i++)
    {
      stage_call (&stage, &reply, 3, "GET", "alpha.test", "/read/1", "r",
                  NULL);
      ck_assert_int_eq (reply.status, 200);
      usleep (200000);
    }
  check_memory ();
  for (unsigned vm = 1; vm <= VMS; vm++)
    stage_store_mode (&stage, vm, STAGE_STORE_NORMAL);
  wait_until (store_answers, NULL);
}
END_TEST

static struct flood_server flood_server;

/* Longest time in which a daemon takes notice of a flood: it closes a health
   check, or a call of the store, that has no answer.  */
#define UNANSWERED_US (2 * G_USEC_PER_SEC)

/* Orders may meet the flood or go to the other server.  */
static void
call_during_flood (const char *name)
{
  gint64 until_us = g_get_monotonic_time () + UNANSWERED_US;
  static unsigned number;

  while (g_get_monotonic_time () < until_us)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("f%u", ++number);

      stage_call (&stage, &reply, 3, "POST", "alpha.test", "/write/1", id,
                  "order");
      if (reply.status == 200)
        ck_assert_str_eq (reply.body->str, "taken");
      else
        ck_assert_msg (reply.status >= 500, "%s: %d", name, reply.status);
      g_usleep (20000);
    }
}

/* A server floods requests and health checks.  */
START_TEST (each_flood_of_a_server_is_bounded)
{
  char address[56];

  stage_server_stop (&stage, 1);
  for (unsigned i = 0; i < n_floods; i++)
    {
      flood_server_start (
          &flood_server, stage_address (&stage, 1, 8080, address), &floods[i]);
      call_during_flood (floods[i].name);
      ck_assert_msg (flood_server_sent (&flood_server) > 0, "%s",
                     floods[i].name);
      check_memory ();
      flood_server_stop (&flood_server);
    }
}
END_TEST

/* Sends an order to VM 1, whose server floods.  While the daemon beside it
   knows no server there, the order is refused.  Returns how long it took.  */
static gint64
order_from_flood (const char *id)
{
  gint64 until_us = g_get_monotonic_time () + UNANSWERED_US;
  gint64 began_us;

  do
    {
      began_us = g_get_monotonic_time ();
      stage_call (&stage, &reply, 3, "POST", "alpha.test", "/write/1", id,
                  "order");
    }
  while (reply.status == 503 && began_us < until_us);
  return g_get_monotonic_time () - began_us;
}

/* Bytes without end are given up as soon as they exceed a limit, not at the
   deadline of the request.  */
START_TEST (each_flood_of_a_head_is_left_before_the_deadline)
{
  static const char *const heads[]
      = { "status line", "field", "fields", "interim answers", "blank lines" };
  char address[56];

  stage_server_stop (&stage, 1);
  stage_server_stop (&stage, 2);
  for (unsigned i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      gint64 took_us;

      flood_server_start (&flood_server,
                          stage_address (&stage, 1, 8080, address),
                          flood_find (heads[i]));
      took_us = order_from_flood (heads[i]);
      ck_assert_msg (reply.status == 502, "%s: %d", heads[i], reply.status);
      ck_assert_int_lt (took_us, 1000000);
      flood_server_stop (&flood_server);
    }
}
END_TEST

/* The store floods the daemon of VM 3, which has just started.  */
START_TEST (each_flood_of_the_store_is_bounded)
{
  char address[56];

  process_signal (&stage.daemons[3], SIGKILL);
  stage.store_port = 9001;
  stage_write_settings (&stage, 3, "");
  flood_server_start (&flood_server, stage_address (&stage, 3, 9001, address),
                      &floods[0]);
  stage_start_daemon (&stage, 3);
  stage_wait_ready (&stage, 3);
  for (unsigned i = 0; i < n_floods; i++)
    {
      flood_server_stop (&flood_server);
      flood_server_start (&flood_server, address, &floods[i]);
      call_during_flood (floods[i].name);
      check_memory ();
    }
  flood_server_stop (&flood_server);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_loop_test (tests, a_read_that_meets_a_flood_is_served_by_another,
                       0, G_N_ELEMENTS (flood_queries));
  tcase_add_loop_test (tests, an_order_that_meets_a_flood_has_an_unknown_end,
                       0, G_N_ELEMENTS (flood_queries));
  tcase_add_test (tests, each_flood_of_a_server_is_bounded);
  tcase_add_test (tests, each_flood_of_a_head_is_left_before_the_deadline);
  tcase_add_test (tests, each_flood_of_the_store_is_bounded);
  tcase_add_test (tests, floods_on_all_slots_stay_within_the_memory);
  tcase_add_test (tests, unanswered_health_checks_are_closed);
  tcase_add_test (tests, a_store_that_floods_is_left_until_it_answers);
  tcase_add_test (tests, a_long_record_without_hello_is_not_read);
}

int
main (void)
{
  harness_release_freed_memory ();
  return suite_run ("mesh_floods", add_tests, 60);
}

/* Peer messages to an inbound side; the test acts as the outbound side.  */
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "lib/clock.h"
#include "lib/send_pace.h"
#include "meshd/wire.h"
#include "regress/harness/stage.h"
#include "regress/harness/suite.h"

#define VMS 2 /* VM 1 serves alpha */
#define INCARNATION 4242

/* Daemons that ask for a long document, and its length, some half of which is
   sent as it is packed.  */
#define PULLERS 4
#define DOCUMENT_DIGITS 1000000
#define DOCUMENT_SENT_MIN 500000
#define DOCUMENT_SENT_MAX 700000

/* Time after which no request may reach a server that has left.  */
#define DRAIN_US 2000000

/* Time for which a daemon stands.  */
#define STOOD_US 200000

/* Time after which a request that is sent has arrived at the server.  */
#define ARRIVAL_US 300000

/* Time after a change until a watch waits for the next one.  */
#define WATCH_BEGUN_US 800000

/* How late a daemon learns that its server has left.  */
#define LATE_NEWS_US 1200000

#define REQUEST_LEFT_MS 2000

static struct stage stage;
static char instance[64];
static uint64_t way_us; /* of the last hello, at most */

static void
setup (void)
{
  struct reply reply;

  stage_start (&stage, VMS);
  reply_init (&reply);
  stage_call (&stage, &reply, 2, "GET", "alpha.test", "/read/1", "first",
              NULL);
  ck_assert_int_eq (reply.status, 200);
  reply_finish (&reply);
  stage_server_header (&stage, 1, "X-Cornelpick-Expect-Instance", instance,
                       sizeof instance);
}

static void
teardown (void)
{
  stage_finish (&stage);
}

/* Sends MESSAGE, and its last byte only after PAUSE_US.  */
static void
send_message_slowly (int fd, const struct cp_peer_message *message,
                     unsigned pause_us)
{
  GByteArray *record = mesh_message_encode (message);
  uint32_t length = htonl (record->len - 4);
  size_t first = record->len - (pause_us > 0 ? 1 : 0);

  memcpy (record->data, &length, sizeof length);
  ck_assert_int_eq (write (fd, record->data, first), first);
  if (first < record->len)
    {
      g_usleep (pause_us);
      ck_assert_int_eq (write (fd, record->data + first, 1), 1);
    }
  g_byte_array_unref (record);
}

static void
send_message (int fd, const struct cp_peer_message *message)
{
  send_message_slowly (fd, message, 0);
}

static void
read_exactly (int fd, void *buffer, size_t size)
{
  size_t got = 0;

  while (got < size)
    {
      ssize_t count = read (fd, (char *)buffer + got, size - got);

      ck_assert_int_gt (count, 0);
      got += (size_t)count;
    }
}

/* Reads messages until one of KIND comes.  */
static void
read_until (int fd, enum cp_peer_kind kind, struct cp_peer_message *message)
{
  for (;;)
    {
      CP_AUTO_FREE char *data = NULL;
      uint32_t length;

      read_exactly (fd, &length, sizeof length);
      length = ntohl (length);
      data = g_malloc (length);
      read_exactly (fd, data, length);
      ck_assert (mesh_message_decode (message, data, length));
      if (message->kind == kind)
        return;
      mesh_message_free (message);
    }
}

static int
open_link_as (uint64_t incarnation)
{
  static char domain[] = "zone-a";
  struct cp_peer_message message = { .kind = CP_PEER_HELLO };
  int fd = stage_open (&stage, 1, 7400);

  uint64_t sent_us = cp_clock_now_us (&cp_clock_boot);

  message.cp_peer_message_u.hello.incarnation = incarnation;
  message.cp_peer_message_u.hello.clock = sent_us;
  message.cp_peer_message_u.hello.domain = domain;
  send_message (fd, &message);
  read_until (fd, CP_PEER_HELLO, &message);
  way_us = cp_clock_now_us (&cp_clock_boot) - sent_us;
  mesh_message_free (&message);
  return fd;
}

static int
open_link (void)
{
  return open_link_as (INCARNATION);
}

/* Sends a request, and the last byte of its record only after PAUSE_US.  */
static void
send_request_slowly (int fd, uint64_t stream, const char *path,
                     bool idempotent, unsigned pause_us)
{
  CP_AUTO_FREE char *head = g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: alpha.test\r\nX-Cornelpick-Request-Id: q%u\r\n",
      idempotent ? "GET" : "POST", path, (unsigned)stream);
  CP_AUTO_FREE char *id = g_strdup_printf ("q%u", (unsigned)stream);
  struct cp_peer_message message = { .kind = CP_PEER_REQUEST };
  struct cp_peer_request *request = &message.cp_peer_message_u.request;

  *request
      = (struct cp_peer_request){ .stream = stream,
                                  .clock = cp_clock_now_us (&cp_clock_boot),
                                  .request_id = id,
                                  .instance = instance,
                                  .left = REQUEST_LEFT_MS,
                                  .objective = 500,
                                  .idempotent = idempotent,
                                  .head = head };
  send_message_slowly (fd, &message, pause_us);
}

static void
send_request (int fd, uint64_t stream, const char *path, bool idempotent)
{
  send_request_slowly (fd, stream, path, idempotent, 0);
}

static void
sleep_until (gint64 time)
{
  gint64 left = time - g_get_monotonic_time ();

  if (left > 0)
    g_usleep ((gulong)left);
}

static void
send_stream (int fd, enum cp_peer_kind kind, uint64_t stream)
{
  struct cp_peer_message message = { .kind = kind };

  message.cp_peer_message_u.stream = stream;
  send_message (fd, &message);
}

static bool
has_run (void *context)
{
  return stage_runs (&stage, context) > 0;
}

/* The link breaks while the result of an attempt is on its way.  The attempt
   has run, so the inbound side must send the result again over a new link and
   not answer that the attempt is unknown, which would permit a second run.  */
START_TEST (an_end_that_was_lost_with_its_link_is_told_again)
{
  static const char *const paths[]
      = { "/write/1", "/write/1?cut", "/write/1?error" };
  struct cp_peer_message message;
  int fd = open_link ();

  send_request (fd, 7, paths[_i], false);
  wait_until (has_run, "q7");
  g_usleep (200000);
  close (fd);
  fd = open_link ();
  for (unsigned i = 0; i < 2; i++)
    {
      send_stream (fd, CP_PEER_RESUME, 7);
      read_until (fd, _i == 1 ? CP_PEER_FAILURE : CP_PEER_ANSWER, &message);
      mesh_message_free (&message);
    }
  ck_assert_uint_eq (stage_runs (&stage, "q7"), 1);
  close (fd);
}
END_TEST

START_TEST (a_running_attempt_is_answered_over_the_new_link)
{
  struct cp_peer_message message;
  int fd = open_link ();

  send_request (fd, 8, "/write/1?slow=400", false);
  wait_until (has_run, "q8");
  close (fd);
  fd = open_link ();
  send_stream (fd, CP_PEER_RESUME, 8);
  read_until (fd, CP_PEER_ANSWER, &message);
  ck_assert_uint_eq (message.cp_peer_message_u.answer.stream, 8);
  ck_assert_uint_eq (message.cp_peer_message_u.answer.status, 200);
  mesh_message_free (&message);
  close (fd);
}
END_TEST

START_TEST (resuming_an_unknown_attempt_is_refused)
{
  struct cp_peer_message message;
  int fd = open_link ();

  send_stream (fd, CP_PEER_RESUME, 9);
  read_until (fd, CP_PEER_REFUSAL, &message);
  ck_assert_uint_eq (message.cp_peer_message_u.refusal.reason,
                     MESH_REASON_UNKNOWN_ATTEMPT);
  mesh_message_free (&message);
  close (fd);
}
END_TEST

START_TEST (invalid_records_close_only_their_link)
{
  static const char records[][9] = { "\xff\xff\xff\xff\x72\x65\x73\x74",
                                     "\0\0\0\4\0\0\0\77", "\0\0\0\0\0\0\0\1" };
  struct cp_peer_message message;
  char byte;

  for (unsigned i = 0; i < G_N_ELEMENTS (records); i++)
    {
      int fd = open_link ();

      ck_assert_int_gt (write (fd, records[i], 8), 0);
      while (read (fd, &byte, 1) > 0)
        continue;
      close (fd);
    }
  int fd = open_link ();

  send_request (fd, 10, "/read/1", true);
  read_until (fd, CP_PEER_ANSWER, &message);
  mesh_message_free (&message);
  close (fd);
}
END_TEST

static bool
is_evacuated (void *context)
{
  (void)context;
  return stage_counter (&stage, 1, "domains_evacuated") == 1;
}

/* Guards against a request that reaches a server of an evacuated domain since
   the daemon that sends it has not learned of the evacuation.  */
START_TEST (a_request_to_an_evacuated_domain_is_refused)
{
  struct cp_peer_message message;
  int fd = open_link ();

  stage_put (&stage, "op/evacuate/zone-a", "{}");
  wait_until (is_evacuated, NULL);
  send_request (fd, 1, "/write/1", false);
  read_until (fd, CP_PEER_REFUSAL, &message);
  ck_assert_uint_eq (message.cp_peer_message_u.refusal.reason,
                     MESH_REASON_EVACUATED);
  ck_assert (!message.cp_peer_message_u.refusal.reached);
  mesh_message_free (&message);
  ck_assert_uint_eq (stage_runs (&stage, "q1"), 0);
  close (fd);
}
END_TEST

static bool
is_removed (void *context)
{
  (void)context;
  return stage_counter (&stage, 1, "servers") == VMS - 1;
}

/* Guards against a request that reaches a server whose entry was removed since
   the daemon that sends it has not learned of that.  */
START_TEST (a_request_to_a_server_without_an_entry_is_refused)
{
  CP_AUTO_FREE char *key = stage_server_key (&stage, 1);
  struct cp_peer_message message;
  int fd = open_link ();

  stage_remove (&stage, key);
  wait_until (is_removed, NULL);
  g_usleep (DRAIN_US);
  send_request (fd, 1, "/write/1", false);
  g_usleep (300000);
  ck_assert_uint_eq (stage_runs (&stage, "q1"), 0);
  read_until (fd, CP_PEER_REFUSAL, &message);
  ck_assert_uint_eq (message.cp_peer_message_u.refusal.reason,
                     MESH_REASON_LEAVING);
  ck_assert (!message.cp_peer_message_u.refusal.reached);
  mesh_message_free (&message);
  /* The entry of the same server comes back.  */
  stage_enter (&stage, 1, "ready");
  g_usleep (DRAIN_US);
  send_request (fd, 2, "/write/1", false);
  read_until (fd, CP_PEER_ANSWER, &message);
  mesh_message_free (&message);
  close (fd);
}
END_TEST

/* Stops the daemon of VM 1, so that what is sent to it stays unread.  */
static void
stand (void)
{
  process_signal (&stage.daemons[1], SIGSTOP);
}

static void
go_on (void)
{
  process_signal (&stage.daemons[1], SIGCONT);
}

static void *
go_on_later (void *context)
{
  g_usleep (STOOD_US);
  go_on ();
  return context;
}

/* Guards against a request that reaches the server although its cancel has
   arrived, because the daemon stood and reads one after the other.  */
START_TEST (a_request_that_was_cancelled_while_the_daemon_stood_is_not_sent)
{
  struct cp_peer_message message;
  int fd = open_link ();
  uint64_t started;

  /* Leaves an idle connection to the server.  */
  send_request (fd, 1, "/read/1", true);
  read_until (fd, CP_PEER_ANSWER, &message);
  mesh_message_free (&message);
  started = stage_counter (&stage, 1, "jobs_admitted_total");
  stand ();
  send_request (fd, 2, "/read/1?slow=100", true);
  g_usleep (STOOD_US);
  send_stream (fd, CP_PEER_CANCEL, 2);
  go_on ();
  g_usleep (ARRIVAL_US);
  ck_assert_uint_eq (stage_runs (&stage, "q2"), 0);
  ck_assert_uint_eq (stage_counter (&stage, 1, "jobs_admitted_total"),
                     started);
  close (fd);
}
END_TEST

/* Guards against a request that reaches the server half a second after it was
   sent, when its caller may have left unnoticed.  */
START_TEST (a_request_that_waited_unread_for_long_is_refused)
{
  struct cp_peer_message message;
  int fd = open_link ();

  stand ();
  send_request (fd, 1, "/write/1", false);
  g_usleep (500000);
  go_on ();
  read_until (fd, CP_PEER_REFUSAL, &message);
  ck_assert_uint_eq (message.cp_peer_message_u.refusal.reason,
                     MESH_REASON_DELAYED);
  mesh_message_free (&message);
  ck_assert_uint_eq (stage_runs (&stage, "q1"), 0);
  close (fd);
}
END_TEST

/* Guards against a server that gets more time than is left, because the time
   for which a request waited unread is not counted.  */
START_TEST (the_deadline_counts_while_a_request_waits_unread)
{
  struct cp_peer_message message;
  char left[32];
  int fd = open_link ();

  stand ();
  send_request (fd, 1, "/write/1", false);
  g_usleep (STOOD_US);
  go_on ();
  read_until (fd, CP_PEER_ANSWER, &message);
  mesh_message_free (&message);
  stage_server_header (&stage, 1, "X-Cornelpick-Deadline-Ms", left,
                       sizeof left);
  /* The daemon knows its clock and ours as far apart as the hello says, which
     was on its way as well.  */
  ck_assert_uint_le ((uint64_t)atoi (left),
                     REQUEST_LEFT_MS - (STOOD_US - way_us) / 1000);
  close (fd);
}
END_TEST

/* Guards against the same when the socket was full, so that the end of the
   request arrives after the daemon has read what was there.  */
START_TEST (a_request_that_waited_for_a_full_socket_is_refused)
{
  struct cp_peer_message message;
  pthread_t thread;
  int fd = open_link ();

  stand ();
  ck_assert_int_eq (pthread_create (&thread, NULL, go_on_later, NULL), 0);
  send_request_slowly (fd, 1, "/write/1", false, STOOD_US * 2);
  pthread_join (thread, NULL);
  read_until (fd, CP_PEER_REFUSAL, &message);
  ck_assert_uint_eq (message.cp_peer_message_u.refusal.reason,
                     MESH_REASON_DELAYED);
  mesh_message_free (&message);
  ck_assert_uint_eq (stage_runs (&stage, "q1"), 0);
  close (fd);
}
END_TEST

/* Guards against long bodies on slow links that are refused, or get less time,
   as if they had waited unread.  */
START_TEST (the_time_that_a_request_takes_to_arrive_is_not_counted)
{
  struct cp_peer_message message;
  char left[32];
  int fd = open_link ();

  send_request_slowly (fd, 1, "/write/1", false, 500000);
  read_until (fd, CP_PEER_ANSWER, &message);
  mesh_message_free (&message);
  stage_server_header (&stage, 1, "X-Cornelpick-Deadline-Ms", left,
                       sizeof left);
  ck_assert_int_gt (atoi (left), REQUEST_LEFT_MS - 500);
  close (fd);
}
END_TEST

static void
expect_refused_as_leaving (int fd, uint64_t stream)
{
  CP_AUTO_FREE char *id = g_strdup_printf ("q%u", (unsigned)stream);
  struct cp_peer_message message;

  send_request (fd, stream, "/write/1", false);
  read_until (fd, CP_PEER_REFUSAL, &message);
  ck_assert_uint_eq (message.cp_peer_message_u.refusal.reason,
                     MESH_REASON_LEAVING);
  mesh_message_free (&message);
  ck_assert_uint_eq (stage_runs (&stage, id), 0);
}

/* Puts a value into the store that cannot be packed to less than half.  */
static void
put_long_document (void)
{
  CP_AUTO_FREE char *text = g_malloc (DOCUMENT_DIGITS + 1);
  GRand *random = g_rand_new_with_seed (1);

  for (unsigned i = 0; i < DOCUMENT_DIGITS; i++)
    text[i] = "0123456789abcdef"[g_rand_int_range (random, 0, 16)];
  text[DOCUMENT_DIGITS] = '\0';
  g_rand_free (random);
  stage_put (&stage, "op/evacuate/zone-a", text);
  wait_until (is_evacuated, NULL);
  /* The position follows when the whole response has been read.  */
  g_usleep (ARRIVAL_US);
}

static void
send_pull (int fd)
{
  struct cp_peer_message message = { .kind = CP_PEER_PULL };

  send_message (fd, &message);
}

static struct cp_peer_position
newest_position (void)
{
  return (
      struct cp_peer_position){ stage_counter (&stage, 1, "store_era"),
                                stage_counter (&stage, 1, "store_revision") };
}

static void
send_view (int fd, struct cp_peer_position position)
{
  struct cp_peer_message message = { .kind = CP_PEER_VIEW };

  message.cp_peer_message_u.view.position = position;
  send_message (fd, &message);
}

/* Reads what has arrived at FD.  Returns the number of bytes.  */
static size_t
read_available (int fd)
{
  static char buffer[65536];
  size_t sum = 0;
  ssize_t count;

  while ((count = recv (fd, buffer, sizeof buffer, MSG_DONTWAIT)) > 0)
    sum += (size_t)count;
  return sum;
}

/* Guards against a daemon that fills its link for long, so that requests,
   cancels and pings wait, because many ask it for a long document at once.  */
START_TEST (a_long_document_is_sent_to_few_at_a_time)
{
  int fds[PULLERS + 1];
  size_t got[PULLERS + 1] = { 0 };
  unsigned done = 0;
  uint64_t began_us;
  struct cp_peer_position newest;

  put_long_document ();
  newest = newest_position ();
  for (unsigned i = 0; i <= PULLERS; i++)
    fds[i] = open_link_as (INCARNATION + i);
  began_us = cp_clock_now_us (&cp_clock_boot);
  send_pull (fds[0]);
  while (got[0] < DOCUMENT_SENT_MIN)
    got[0] += read_available (fds[0]);
  for (unsigned i = 1; i <= PULLERS; i++)
    send_pull (fds[i]);
  /* The last one has it by the time when its turn comes.  */
  send_view (fds[PULLERS], newest);
  while (done < PULLERS)
    {
      size_t sum = 0;
      uint64_t took_us;

      done = 0;
      for (unsigned i = 0; i < PULLERS; i++)
        {
          got[i] += read_available (fds[i]);
          done += got[i] >= DOCUMENT_SENT_MIN;
          sum += got[i];
        }
      took_us = cp_clock_now_us (&cp_clock_boot) - began_us;
      ck_assert_uint_lt (sum, (took_us + CP_SEND_PACE_BACKLOG_US)
                                      * CP_SEND_PACE_BYTES_PER_S / CP_US_PER_S
                                  + DOCUMENT_SENT_MAX);
      ck_assert_uint_lt (took_us, 10 * CP_US_PER_S);
      g_usleep (1000);
    }
  g_usleep (ARRIVAL_US);
  ck_assert_uint_lt (read_available (fds[PULLERS]), DOCUMENT_SENT_MIN);
  for (unsigned i = 0; i <= PULLERS; i++)
    close (fds[i]);
}
END_TEST

/* Guards against requests that reach a server that has left, because the
   daemon beside it learned of that late.  */
START_TEST (the_drain_time_counts_while_the_news_waits_unread)
{
  int fd = open_link ();
  gint64 left_us;

  g_usleep (WATCH_BEGUN_US);
  stand ();
  stage_enter (&stage, 1, "draining");
  left_us = g_get_monotonic_time ();
  g_usleep (LATE_NEWS_US);
  go_on ();
  sleep_until (left_us + DRAIN_US);
  expect_refused_as_leaving (fd, 1);
  close (fd);
}
END_TEST

/* Guards against the same when the news comes from another daemon, and waited
   on its way there or here.  */
START_TEST (the_drain_time_counts_while_the_news_passes_daemons)
{
  CP_AUTO_FREE char *key = stage_server_key (&stage, 1);
  struct cp_peer_item item = { .key = key, .removed = true };
  struct cp_peer_message message = { .kind = CP_PEER_ITEMS };
  struct cp_peer_items *items = &message.cp_peer_message_u.items;
  int fd = open_link ();
  gint64 read_us;

  item.position.era = stage_counter (&stage, 1, "store_era");
  item.position.revision = stage_counter (&stage, 1, "store_revision") + 100;
  item.age = LATE_NEWS_US / 2000;
  items->clock = cp_clock_now_us (&cp_clock_boot);
  items->position = item.position;
  items->items.items_len = 1;
  items->items.items_val = &item;
  stand ();
  send_message (fd, &message);
  g_usleep (LATE_NEWS_US / 2);
  go_on ();
  read_us = g_get_monotonic_time ();
  sleep_until (read_us + DRAIN_US - LATE_NEWS_US);
  expect_refused_as_leaving (fd, 1);
  close (fd);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, a_request_to_an_evacuated_domain_is_refused);
  tcase_add_test (tests, a_request_to_a_server_without_an_entry_is_refused);
  tcase_add_loop_test (tests, an_end_that_was_lost_with_its_link_is_told_again,
                       0, 3);
  tcase_add_test (tests, a_running_attempt_is_answered_over_the_new_link);
  tcase_add_test (tests, resuming_an_unknown_attempt_is_refused);
  tcase_add_test (tests, invalid_records_close_only_their_link);
  tcase_add_test (
      tests, a_request_that_was_cancelled_while_the_daemon_stood_is_not_sent);
  tcase_add_test (tests, a_request_that_waited_unread_for_long_is_refused);
  tcase_add_test (tests, a_request_that_waited_for_a_full_socket_is_refused);
  tcase_add_test (tests, the_deadline_counts_while_a_request_waits_unread);
  tcase_add_test (tests,
                  the_time_that_a_request_takes_to_arrive_is_not_counted);
  tcase_add_test (tests, a_long_document_is_sent_to_few_at_a_time);
  tcase_add_test (tests, the_drain_time_counts_while_the_news_waits_unread);
  tcase_add_test (tests, the_drain_time_counts_while_the_news_passes_daemons);
}

int
main (void)
{
  return suite_run ("mesh_peers", add_tests, 60);
}

/* A listener that shuts down answers every caller that has connected: neither
   queued connections nor unread requests may be lost.  */
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http/http.h"
#include "regress/harness/harness.h"
#include "regress/harness/suite.h"

#define BACKLOG 64
#define CALLERS 20

/* Interval at which the simulated slow server accepts connections.  */
#define ACCEPT_INTERVAL_US 3000

static struct listener listener;
static int listening;
static unsigned n_accepted;

static int
listen_at (struct cp_address *address)
{
  char text[56];
  unsigned number = (unsigned)getpid ();
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  g_snprintf (text, sizeof text, "127.%u.%u.1:7402", number >> 8 & 127,
              number & 255);
  ck_assert (cp_address_parse (address, text));
  ck_assert_int_eq (bind (fd, &address->socket.any, address->length), 0);
  ck_assert_int_eq (listen (fd, BACKLOG), 0);
  return fd;
}

static void *
accept_slowly (void *context)
{
  int fd;

  (void)context;
  while ((fd = accept (listening, NULL, NULL)) >= 0)
    {
      ck_assert_int_eq (send (fd, "x", 1, MSG_NOSIGNAL), 1);
      close (fd);
      n_accepted++;
      usleep (ACCEPT_INTERVAL_US);
    }
  return NULL;
}

/* Connects; the connection stays in the accept queue until the server accepts
   it.  */
static int
connect_caller (void)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  ck_assert_int_eq (
      connect (fd, &listener.address.socket.any, listener.address.length), 0);
  return fd;
}

START_TEST (queued_connections_are_accepted_before_new_ones_are_refused)
{
  int callers[CALLERS];
  pthread_t thread;
  char byte;

  listening = listen_at (&listener.address);
  /* listener_stop_accepting() only checks that this is not NULL.  */
  listener.server = (struct mg_context *)&listener;
  for (unsigned i = 0; i < CALLERS; i++)
    callers[i] = connect_caller ();
  ck_assert_int_eq (pthread_create (&thread, NULL, accept_slowly, NULL), 0);
  listener_stop_accepting (&listener);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      ck_assert_int_eq (recv (callers[i], &byte, 1, 0), 1);
      close (callers[i]);
    }
  pthread_join (thread, NULL);
  ck_assert_uint_eq (n_accepted, CALLERS);
  callers[0] = socket (AF_INET, SOCK_STREAM, 0);
  ck_assert_int_ne (connect (callers[0], &listener.address.socket.any,
                             listener.address.length),
                    0);
  close (callers[0]);
  close (listening);
}
END_TEST

static pthread_mutex_t answer_lock = PTHREAD_MUTEX_INITIALIZER;
static bool handling;

/* Answers when the test releases the lock.  */
static void
answer_when_unlocked (void *context, struct request *request)
{
  (void)context;
  __atomic_store_n (&handling, true, __ATOMIC_RELEASE);
  pthread_mutex_lock (&answer_lock);
  request_answer (request, 200, NULL, "text/plain", "ok");
  pthread_mutex_unlock (&answer_lock);
}

static int
connect_and_send_request (void)
{
  static const char request[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
  int fd = connect_caller ();

  ck_assert_int_eq (send (fd, request, strlen (request), 0), strlen (request));
  return fd;
}

static bool
is_handling (void *context)
{
  (void)context;
  return __atomic_load_n (&handling, __ATOMIC_ACQUIRE);
}

static bool
has_unread (void *context)
{
  return listener_has_unread (context);
}

static bool
has_no_unread (void *context)
{
  return !listener_has_unread (context);
}

START_TEST (request_waiting_for_a_thread_is_reported_as_unread)
{
  struct cp_error error = { 0 };
  int busy;
  int waiting;
  char byte;

  close (listen_at (&listener.address));
  listener.clock = &cp_clock_boot;
  listener.handle = answer_when_unlocked;
  pthread_mutex_lock (&answer_lock);
  ck_assert_int_eq (listener_start (&listener, &listener.address, 1, &error),
                    0);
  busy = connect_and_send_request ();
  wait_until (is_handling, NULL);
  ck_assert (!listener_has_unread (&listener));
  waiting = connect_and_send_request ();
  wait_until (has_unread, &listener);
  listener_disable_keep_alive (&listener);
  pthread_mutex_unlock (&answer_lock);
  wait_until (has_no_unread, &listener);
  ck_assert_int_eq (recv (busy, &byte, 1, 0), 1);
  ck_assert_int_eq (recv (waiting, &byte, 1, 0), 1);
  listener_stop (&listener);
  close (busy);
  close (waiting);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, request_waiting_for_a_thread_is_reported_as_unread);
  tcase_add_test (tests,
                  queued_connections_are_accepted_before_new_ones_are_refused);
}

int
main (void)
{
  return suite_run ("listener", add_tests, 20);
}

/* Each caller must receive the complete answer to its own request or an error,
   also when the target sends malformed, excess, early or stray data.  */
#include <curl/curl.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "regress/harness/campaign.h"
#include "regress/harness/script_target.h"
#include "regress/harness/suite.h"
#include "regress/harness/wire.h"

#define CALLERS 8
#define CALLS_EACH 100
#define EARLY_BYTES 4000000

/* Time in which the pages of a target are read several times.  */
#define PAUSE_US (STRAY_PAGE_US / 2)
#define PAGES_US (6 * G_USEC_PER_SEC)

/* Expected result at the caller for each kind of answer.  */
struct expected
{
  const char *kind;
  int status;
  bool body; /* the complete body, else none */
  bool cut;  /* must not look complete */
};

static const struct expected table[]
    = { { "whole", 200, true, false },    { "chunked", 200, true, false },
        { "closed", 200, true, false },   { "short", 200, false, true },
        { "cutchunk", 200, false, true }, { "excess", 200, true, false },
        { "interim", 200, true, false },  { "204", 204, false, false },
        { "304", 304, false, false } };

struct fixture
{
  struct fleet fleet;
  struct script_target target;
};

static void
set_up (struct fixture *fixture)
{
  char address[56];

  fleet_start (&fixture->fleet, 2, 2, campaign_gate);
  process_signal (&fixture->fleet.targets[2], SIGKILL);
  script_target_start (&fixture->target,
                       fleet_address (&fixture->fleet, 2, 8080, address));
}

static void
tear_down (struct fixture *fixture)
{
  fleet_stop (&fixture->fleet);
  script_target_stop (&fixture->target);
}

/* Asserts that BODY, which belongs to the request of REPLY, is its body.  The
   message is short, since check ends a program that fails with a long one.  */
static void
expect_body (const struct reply *reply, const GString *body)
{
  const char *got = reply->body->str;
  size_t same = 0;

  while (got[same] != '\0' && got[same] == body->str[same])
    same++;
  ck_assert_msg (
      strcmp (got, body->str) == 0,
      "%zu of %zu bytes; from byte %zu: %.80s; after the head %.300s",
      reply->body->len, body->len, same, got + same, reply->head->str);
}

/* A caller that makes its calls over one connection.  */
struct caller
{
  struct fixture *fixture;
  pthread_t thread;
  unsigned seed;
  unsigned mismatches;
  char first_mismatch[256];
};

static size_t
append (char *data, size_t size, size_t count, void *context)
{
  g_string_append_len (context, data, (gssize)(size * count));
  return size * count;
}

/* Compares an answer with the expected result.  The body must belong to the
   request ID in the head.  */
static bool
is_expected (const struct expected *expected, CURLcode code, long status,
             const struct reply *reply)
{
  GString *body = g_string_new (NULL);
  char id[40] = "";
  bool right;

  reply_header (reply, "Cornelpick-Request", id, sizeof id);
  script_body (id, body);
  if (expected->cut)
    right = code != CURLE_OK
            && strncmp (body->str, reply->body->str, reply->body->len) == 0;
  else if (expected->body)
    right = code == CURLE_OK && status == expected->status
            && strcmp (body->str, reply->body->str) == 0;
  else
    right = code == CURLE_OK && status == expected->status
            && reply->body->len == 0;
  g_string_free (body, TRUE);
  return right;
}

static void
make_call (struct caller *caller, CURL *easy, const struct expected *expected)
{
  struct reply reply;
  char url[160];
  char address[56];
  long status = 0;
  CURLcode code;

  reply_init (&reply);
  snprintf (url, sizeof url, "http://%s/items/%s",
            fleet_address (&caller->fixture->fleet, 1, 8000, address),
            expected->kind);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, reply.body);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, append);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, reply.head);
  code = curl_easy_perform (easy);
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &status);
  if (!is_expected (expected, code, status, &reply))
    {
      if (caller->mismatches++ == 0)
        snprintf (caller->first_mismatch, sizeof caller->first_mismatch,
                  "%s: code %d, status %ld, %zu bytes", expected->kind,
                  (int)code, status, reply.body->len);
    }
  reply_finish (&reply);
}

static void *
make_calls (void *context)
{
  struct caller *caller = context;
  CURL *easy = curl_easy_init ();
  struct curl_slist *headers = curl_slist_append (NULL, "Host: shop.example");

  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, 20000L);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  for (unsigned i = 0; i < CALLS_EACH; i++)
    make_call (caller, easy,
               &table[(caller->seed + i * 7) % G_N_ELEMENTS (table)]);
  curl_slist_free_all (headers);
  curl_easy_cleanup (easy);
  return NULL;
}

START_TEST (every_caller_gets_its_own_whole_answer)
{
  static struct fixture fixture;
  struct caller callers[CALLERS];

  set_up (&fixture);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i] = (struct caller){ .fixture = &fixture, .seed = i };
      pthread_create (&callers[i].thread, NULL, make_calls, &callers[i]);
    }
  for (unsigned i = 0; i < CALLERS; i++)
    {
      pthread_join (callers[i].thread, NULL);
      ck_assert_msg (callers[i].mismatches == 0, "%u wrong, first %s",
                     callers[i].mismatches, callers[i].first_mismatch);
    }
  tear_down (&fixture);
}
END_TEST

START_TEST (excess_bytes_do_not_reach_the_next_caller)
{
  static struct fixture fixture;
  struct reply reply;
  GString *body = g_string_new (NULL);
  char id[40];

  set_up (&fixture);
  reply_init (&reply);
  for (unsigned i = 0; i < 20; i++)
    {
      fleet_call (&fixture.fleet, &reply, 1, "GET",
                  i % 2 == 0 ? "/items/long" : "/items/whole", NULL, NULL);
      ck_assert_msg (reply.status == 200, "call %u: %d %s", i, reply.status,
                     reply.head->str);
      ck_assert (reply_header (&reply, "Cornelpick-Request", id, sizeof id));
      script_body (id, body);
      ck_assert_uint_eq (reply.body->len,
                         i % 2 == 0 ? body->len / 2 : body->len);
      ck_assert_int_eq (strncmp (body->str, reply.body->str, reply.body->len),
                        0);
    }
  reply_finish (&reply);
  g_string_free (body, TRUE);
  tear_down (&fixture);
}
END_TEST

/* The target sends an unsolicited answer, which may be read as the answer to
   the next request on the connection.  It is detected by its request ID.  */
START_TEST (stray_answers_are_dropped)
{
  static struct fixture fixture;
  struct reply reply;
  GString *body = g_string_new (NULL);
  char id[40];
  unsigned whole = 0;

  set_up (&fixture);
  reply_init (&reply);
  for (unsigned i = 0; i < 60; i++)
    {
      fleet_call (&fixture.fleet, &reply, 1, "GET",
                  i % 2 == 0 ? "/items/stray" : "/items/whole", NULL, NULL);
      ck_assert (reply_header (&reply, "Cornelpick-Request", id, sizeof id));
      script_body (id, body);
      if (reply.status == 200)
        expect_body (&reply, body);
      else
        ck_assert_int_eq (reply.status, 502);
      whole += reply.status == 200;
      usleep (i % 3 * 15000);
    }
  ck_assert_uint_ge (whole, 30);
  reply_finish (&reply);
  g_string_free (body, TRUE);
  tear_down (&fixture);
}
END_TEST

/* Reads of the health and load of the target get a stray answer each; the page
   that follows must not be taken for the answer to the next call.  */
START_TEST (a_page_is_no_answer_to_a_call)
{
  static struct fixture fixture;
  gint64 until_us;
  char address[56];
  struct reply reply;
  GString *body = g_string_new (NULL);
  char id[40];

  fleet_start (&fixture.fleet, 2, 2, campaign_gate);
  process_signal (&fixture.fleet.targets[2], SIGKILL);
  script_target_start_straying (
      &fixture.target, fleet_address (&fixture.fleet, 2, 8080, address));
  reply_init (&reply);
  until_us = g_get_monotonic_time () + PAGES_US;
  while (g_get_monotonic_time () < until_us)
    {
      fleet_call (&fixture.fleet, &reply, 1, "GET", "/items/whole", NULL,
                  NULL);
      ck_assert (reply_header (&reply, "Cornelpick-Request", id, sizeof id));
      script_body (id, body);
      ck_assert_int_eq (reply.status, 200);
      expect_body (&reply, body);
      g_usleep (PAUSE_US);
    }
  reply_finish (&reply);
  g_string_free (body, TRUE);
  tear_down (&fixture);
}
END_TEST

START_TEST (heads_have_no_body)
{
  static struct fixture fixture;
  struct reply reply;
  char length[24];

  set_up (&fixture);
  reply_init (&reply);
  for (unsigned i = 0; i < 6; i++)
    {
      fleet_call (&fixture.fleet, &reply, 1, i % 2 == 0 ? "HEAD" : "GET",
                  "/items/whole", NULL, NULL);
      ck_assert_int_eq (reply.status, 200);
      ck_assert (
          reply_header (&reply, "Content-Length", length, sizeof length));
      ck_assert_int_eq (atoi (length), 33 * SCRIPT_REPEATS);
      ck_assert_uint_eq (reply.body->len,
                         i % 2 == 0 ? 0 : 33 * SCRIPT_REPEATS);
    }
  reply_finish (&reply);
  tear_down (&fixture);
}
END_TEST

START_TEST (answers_before_the_body_was_read_are_passed_on)
{
  static struct fixture fixture;
  struct reply reply;
  char *upload = g_strnfill (EARLY_BYTES, 'u');
  GString *body = g_string_new (NULL);
  char id[40];

  set_up (&fixture);
  reply_init (&reply);
  fleet_call (&fixture.fleet, &reply, 1, "PUT", "/uploads/continue", NULL,
              upload);
  ck_assert_int_eq (reply.status, 200);
  fleet_call (&fixture.fleet, &reply, 1, "PUT", "/uploads/early", NULL,
              upload);
  ck_assert_int_eq (reply.status, 413);
  ck_assert (reply_header (&reply, "Cornelpick-Request", id, sizeof id));
  script_body (id, body);
  expect_body (&reply, body);
  fleet_call (&fixture.fleet, &reply, 1, "GET", "/items/whole", NULL, NULL);
  ck_assert_int_eq (reply.status, 200);
  reply_finish (&reply);
  g_string_free (body, TRUE);
  g_free (upload);
  tear_down (&fixture);
}
END_TEST

/* An HTTP/1.0 caller treats the end of the connection as the end of the
   answer, so a truncated answer must end in a reset.  */
START_TEST (cut_answers_reset_the_connection_of_old_callers)
{
  static struct fixture fixture;
  char address[56];
  char buffer[4096];
  ssize_t count;
  size_t total = 0;
  int fd;

  set_up (&fixture);
  fd = wire_open (&fixture.fleet, 1,
                  fleet_address (&fixture.fleet, 1, 8000, address));
  wire_send (fd, "GET /items/cutchunk HTTP/1.0\r\nHost: shop.example\r\n\r\n");
  while ((count = recv (fd, buffer, sizeof buffer, 0)) > 0)
    total += (size_t)count;
  ck_assert_msg (count < 0, "a clean end after %zu bytes", total);
  ck_assert_int_eq (errno, ECONNRESET);
  close (fd);
  tear_down (&fixture);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, every_caller_gets_its_own_whole_answer);
  tcase_add_test (tests, excess_bytes_do_not_reach_the_next_caller);
  tcase_add_test (tests, stray_answers_are_dropped);
  tcase_add_test (tests, a_page_is_no_answer_to_a_call);
  tcase_add_test (tests, heads_have_no_body);
  tcase_add_test (tests, answers_before_the_body_was_read_are_passed_on);
  tcase_add_test (tests, cut_answers_reset_the_connection_of_old_callers);
}

int
main (void)
{
  return suite_run ("attempts_answers", add_tests, 90);
}

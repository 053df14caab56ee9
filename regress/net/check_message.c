/* Tests of the HTTP message parser, with input in pieces and at once.  */
#include <string.h>

#include "net/message.h"
#include "regress/harness/suite.h"

static struct net_message message;

static enum net_parse_state
feed (const char *text, size_t step, size_t *consumed)
{
  size_t length = strlen (text);
  enum net_parse_state state = NET_INCOMPLETE;
  size_t at = 0;

  while (at < length && state == NET_INCOMPLETE)
    {
      size_t used;

      state = net_message_feed (&message, text + at, MIN (step, length - at),
                                &used);
      at += used;
      if (used == 0)
        break;
    }
  if (consumed != NULL)
    *consumed = at;
  return state;
}

static enum net_parse_state
parse (enum http_parser_type kind, const char *text, size_t step)
{
  static const struct net_limits limits = { .head = 4096, .body = 100 };

  net_message_init (&message, kind, &limits);
  return feed (text, step, NULL);
}

START_TEST (request_parses_alike_whole_and_bytewise)
{
  static const char text[]
      = "POST /a/b?c=d HTTP/1.1\r\nHost: x.test\r\nX-Empty:\r\n"
        "X-Two: a\r\nx-two: b\r\nContent-Length: 4\r\n\r\nbody";

  ck_assert_int_eq (parse (HTTP_REQUEST, text, _i == 0 ? 1 : 1000),
                    NET_COMPLETE);
  ck_assert_str_eq (message.target->str, "/a/b?c=d");
  ck_assert_uint_eq (message.headers.count, 5);
  ck_assert_str_eq (net_headers_find (&message.headers, "host"), "x.test");
  ck_assert_str_eq (net_headers_find (&message.headers, "X-Empty"), "");
  ck_assert_str_eq (net_headers_find (&message.headers, "X-Two"), "a");
  ck_assert_str_eq (net_headers_value (&message.headers, 3), "b");
  ck_assert_ptr_null (net_headers_find (&message.headers, "X-None"));
  ck_assert_uint_eq (message.body->len, 4);
  ck_assert (message.keep_alive);
  net_message_finish (&message);
}
END_TEST

START_TEST (bytes_after_a_request_are_left_for_the_next)
{
  static const struct net_limits limits = { .head = 4096, .body = 100 };
  static const char text[] = "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n"
                             "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n";
  size_t consumed;

  net_message_init (&message, HTTP_REQUEST, &limits);
  ck_assert_int_eq (feed (text, 1000, &consumed), NET_COMPLETE);
  ck_assert_uint_eq (consumed, strlen (text) / 2);
  net_message_reset (&message);
  ck_assert_int_eq (feed (text + consumed, 1000, NULL), NET_COMPLETE);
  ck_assert_str_eq (message.target->str, "/2");
  ck_assert_uint_eq (message.headers.count, 1);
  net_message_finish (&message);
}
END_TEST

START_TEST (chunked_body_is_joined)
{
  ck_assert_int_eq (parse (HTTP_REQUEST,
                           "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n"
                           "\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
                           2),
                    NET_COMPLETE);
  ck_assert_uint_eq (message.body->len, 5);
  net_message_finish (&message);
}
END_TEST

START_TEST (chunks_of_a_response_may_have_extensions_and_a_trailer)
{
  ck_assert_int_eq (parse (HTTP_RESPONSE,
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                           "\r\n3;a=b\r\nabc\r\n0A ;c\r\n0123456789\r\n"
                           "0\r\nX: y\r\n\r\n",
                           _i == 0 ? 1 : 1000),
                    NET_COMPLETE);
  ck_assert_uint_eq (message.body->len, 13);
  net_message_finish (&message);
}
END_TEST

/* Requests that must be rejected, and the resulting state.  */
static const struct
{
  const char *text;
  enum net_parse_state state;
} bad_requests[] = {
  { "POST / HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: chunked"
    "\r\n\r\n",
    NET_MALFORMED },
  { "POST / HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\n",
    NET_MALFORMED },
  { "POST / HTTP/1.1\r\nContent-Length: -4\r\n\r\n", NET_MALFORMED },
  { "POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", NET_BODY_TOO_LONG },
  { "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n70\r\n"
    "01234567890123456789012345678901234567890123456789"
    "0123456789012345678901234567890123456789012345678901234567890",
    NET_BODY_TOO_LONG },
  { "GET / HTTP/1.1\r\nBad Name: x\r\n\r\n", NET_MALFORMED },
  { "GET / HTTP/1.1\r\n: x\r\n\r\n", NET_MALFORMED },
  { "NONSENSE / HTTP/1.1\r\n\r\n", NET_MALFORMED },
  { "\001\002\003", NET_MALFORMED },
};

START_TEST (malformed_requests_are_rejected)
{
  ck_assert_int_eq (parse (HTTP_REQUEST, bad_requests[_i].text, 1000),
                    bad_requests[_i].state);
  net_message_finish (&message);
  ck_assert_int_eq (parse (HTTP_REQUEST, bad_requests[_i].text, 1),
                    bad_requests[_i].state);
  net_message_finish (&message);
}
END_TEST

/* Responses that must be rejected, at the latest at the end of the
   connection.  */
static const char *const bad_responses[] = {
  "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok",
  "HTTP/1.1 200 OK\rXContent-Length: 2\r\n\r\nok",
  "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
  "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 2\r\n\r\nok",
  "HTTP/1.1 200 OK\r\nX:\rContent-Length: 2\r\n\r\nok",
  "HTTP/1.1 200 OK\r\nX: \001\r\nContent-Length: 2\r\n\r\nok",
  "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\rXok",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nok",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
  "2\r\nok\r\n0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nokXX0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
  "2 2\r\nok\r\n0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
  "2\r\nok\r\n0\r\nA B: c\r\n\r\n",
};

static enum net_parse_state
parse_response (const char *text, size_t step)
{
  enum net_parse_state state = parse (HTTP_RESPONSE, text, step);

  return state == NET_INCOMPLETE ? net_message_end (&message) : state;
}

START_TEST (malformed_responses_are_rejected)
{
  ck_assert_int_eq (parse_response (bad_responses[_i], 1000), NET_MALFORMED);
  net_message_finish (&message);
  ck_assert_int_eq (parse_response (bad_responses[_i], 1), NET_MALFORMED);
  net_message_finish (&message);
}
END_TEST

START_TEST (headers_over_the_limit_are_rejected)
{
  char *filler = g_strnfill (4100, 'x');
  char *text = g_strdup_printf ("GET / HTTP/1.1\r\nX: %s\r\n\r\n", filler);

  ck_assert_int_eq (parse (HTTP_REQUEST, text, _i == 0 ? 100 : 10000),
                    NET_HEAD_TOO_LONG);
  net_message_finish (&message);
  g_free (text);
  g_free (filler);
}
END_TEST

START_TEST (too_many_headers_are_rejected)
{
  GString *text = g_string_new ("GET / HTTP/1.1\r\n");

  for (unsigned i = 0; i <= NET_HEADERS_MAX; i++)
    g_string_append (text, "a: b\r\n");
  g_string_append (text, "\r\n");
  ck_assert_int_eq (parse (HTTP_REQUEST, text->str, 10000),
                    NET_TOO_MANY_HEADERS);
  net_message_finish (&message);
  g_string_free (text, TRUE);
}
END_TEST

/* What follows the head is not part of the response.  */
START_TEST (response_that_has_no_body_ends_with_its_head)
{
  static const char *const heads[]
      = { "HTTP/1.1 304 Not Modified\r\nContent-Length: 2\r\n\r\n",
          "HTTP/1.1 304 Not Modified\r\nContent-Length: 2000\r\n\r\n",
          "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n",
          "HTTP/1.1 103 Early Hints\r\nContent-Length: 2\r\n\r\n" };
  static const struct net_limits limits = { .head = 4096, .body = 100 };
  size_t consumed;

  for (unsigned i = 0; i < G_N_ELEMENTS (heads); i++)
    {
      char *text = g_strconcat (heads[i], "ok", NULL);

      net_message_init (&message, HTTP_RESPONSE, &limits);
      ck_assert_int_eq (feed (text, 1000, &consumed), NET_COMPLETE);
      ck_assert_uint_eq (consumed, strlen (heads[i]));
      ck_assert_uint_eq (message.body->len, 0);
      net_message_finish (&message);
      g_free (text);
    }
}
END_TEST

START_TEST (response_without_length_ends_at_close)
{
  ck_assert_int_eq (parse (HTTP_RESPONSE, "HTTP/1.1 200 OK\r\n\r\nabc", 1000),
                    NET_INCOMPLETE);
  ck_assert_int_eq (net_message_end (&message), NET_COMPLETE);
  ck_assert (message.ends_at_close);
  ck_assert_uint_eq (message.body->len, 3);
  net_message_finish (&message);
}
END_TEST

START_TEST (truncated_response_is_malformed)
{
  ck_assert_int_eq (parse (HTTP_RESPONSE,
                           "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc",
                           1000),
                    NET_INCOMPLETE);
  ck_assert_int_eq (net_message_end (&message), NET_MALFORMED);
  net_message_finish (&message);
  ck_assert_int_eq (parse (HTTP_RESPONSE,
                           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                           "\r\n\r\n3\r\nabc\r\n",
                           1000),
                    NET_INCOMPLETE);
  ck_assert_int_eq (net_message_end (&message), NET_MALFORMED);
  net_message_finish (&message);
}
END_TEST

START_TEST (hop_by_hop_headers_are_recognized)
{
  static const bool expected[] = { true, true, false, true, true, false };

  parse (
      HTTP_REQUEST,
      "GET / HTTP/1.1\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
      "X-End: 2\r\nKeep-Alive: timeout=5\r\nTE: trailers\r\nHost: x\r\n\r\n",
      1000);
  for (unsigned i = 0; i < G_N_ELEMENTS (expected); i++)
    ck_assert_int_eq (net_headers_hop_by_hop (&message.headers, i),
                      expected[i]);
  net_message_finish (&message);
}
END_TEST

/* A flood does not take the share of other messages.  */
START_TEST (a_body_within_its_share_always_fits)
{
  struct net_body_budget budget = { .share = 10, .max = 40 };
  struct net_limits limits = { .budget = &budget };
  struct net_message other;
  size_t used;

  net_message_init (&message, HTTP_RESPONSE, &limits);
  net_message_init (&other, HTTP_RESPONSE, &limits);
  ck_assert_int_eq (feed ("HTTP/1.1 200 OK\r\n\r\n"
                          "0123456789012345678901234567890123456789",
                          1000, NULL),
                    NET_INCOMPLETE);
  ck_assert_uint_eq (budget.used, 40);
  ck_assert_int_eq (net_message_feed (&other,
                                      "HTTP/1.1 200 OK\r\n"
                                      "Content-Length: 10\r\n\r\n0123456789",
                                      49, &used),
                    NET_COMPLETE);
  ck_assert_int_eq (feed ("0", 1, NULL), NET_BODY_OVER_BUDGET);
  net_message_finish (&message);
  net_message_reset (&other);
  ck_assert_uint_eq (budget.used, 0);
  net_message_finish (&other);
  ck_assert_uint_eq (budget.used, 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, a_body_within_its_share_always_fits);
  tcase_add_loop_test (tests, request_parses_alike_whole_and_bytewise, 0, 2);
  tcase_add_test (tests, bytes_after_a_request_are_left_for_the_next);
  tcase_add_test (tests, chunked_body_is_joined);
  tcase_add_loop_test (
      tests, chunks_of_a_response_may_have_extensions_and_a_trailer, 0, 2);
  tcase_add_loop_test (tests, malformed_requests_are_rejected, 0,
                       G_N_ELEMENTS (bad_requests));
  tcase_add_loop_test (tests, malformed_responses_are_rejected, 0,
                       G_N_ELEMENTS (bad_responses));
  tcase_add_loop_test (tests, headers_over_the_limit_are_rejected, 0, 2);
  tcase_add_test (tests, too_many_headers_are_rejected);
  tcase_add_test (tests, response_that_has_no_body_ends_with_its_head);
  tcase_add_test (tests, response_without_length_ends_at_close);
  tcase_add_test (tests, truncated_response_is_malformed);
  tcase_add_test (tests, hop_by_hop_headers_are_recognized);
}

int
main (void)
{
  return suite_run ("message", add_tests, 20);
}

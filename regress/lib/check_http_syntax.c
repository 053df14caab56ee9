/* Tests of the check of response heads, with input in pieces and at once.  */
#include <string.h>

#include "lib/http_syntax.h"
#include "regress/harness/suite.h"

/* A text that may contain NULs.  */
struct text
{
  const char *bytes;
  size_t length;
};

#define TEXT(literal)                                                         \
  {                                                                           \
    literal, sizeof (literal) - 1                                             \
  }

#define FIELDS(lines) TEXT ("HTTP/1.1 200 OK\r\n" lines "\r\n")

static const struct text good[] = {
  TEXT ("HTTP/1.1 200 OK\r\n\r\n"),
  TEXT ("HTTP/1.1 200 \r\n\r\n"),
  TEXT ("HTTP/1.0 404 Not Found\r\n\r\n"),
  TEXT ("HTTP/1.2 200 OK\r\n\r\n"),
  TEXT ("HTTP/1.1 100 \r\n\r\n"),
  TEXT ("HTTP/1.1 599 \t~\x80\xff\r\n\r\n"),
  FIELDS ("Content-Length: 5\r\n"),
  FIELDS ("a:\r\nb: \r\nc:d\r\ne: \t f \t\r\n"),
  FIELDS ("!#$%&'*+-.^_`|~09AZaz: \x80\xff:\"@\r\n"),
};

static const struct text bad[] = {
  TEXT ("HTTP/1.1 000 OK\r\n\r\n"),
  TEXT ("HTTP/1.1 099 OK\r\n\r\n"),
  TEXT ("HTTP/1.1 600 OK\r\n\r\n"),
  TEXT ("HTTP/1.1 999 OK\r\n\r\n"),
  TEXT ("HTTP/1.1 20 OK\r\n\r\n"),
  TEXT ("HTTP/1.1 2000 OK\r\n\r\n"),
  TEXT ("HTTP/1.1 -20 OK\r\n\r\n"),
  TEXT ("HTTP/1.1 2x0 OK\r\n\r\n"),
  TEXT ("HTTP/1.1 200OK\r\n\r\n"),
  TEXT ("HTTP/1.1 200\r\n\r\n"),
  TEXT ("HTTP/1.1  200 OK\r\n\r\n"),
  TEXT ("HTTP/1.1\t200 OK\r\n\r\n"),
  TEXT ("HTTP/0.9 200 OK\r\n\r\n"),
  TEXT ("HTTP/2.0 200 OK\r\n\r\n"),
  TEXT ("HTTP/1.10 200 OK\r\n\r\n"),
  TEXT ("HTTP/1 200 OK\r\n\r\n"),
  TEXT ("HTTP/1.x 200 OK\r\n\r\n"),
  TEXT ("http/1.1 200 OK\r\n\r\n"),
  TEXT ("ICY 200 OK\r\n\r\n"),
  TEXT ("\r\nHTTP/1.1 200 OK\r\n\r\n"),
  TEXT (" HTTP/1.1 200 OK\r\n\r\n"),
  TEXT ("HTTP/1.1 200 OK\n"),
  TEXT ("HTTP/1.1 200 OK\r\r\n\r\n"),
  TEXT ("HTTP/1.1 200 O\rK\r\n\r\n"),
  TEXT ("HTTP/1.1 200 O\0K\r\n\r\n"),
  TEXT ("HTTP/1.1 200 O\001K\r\n\r\n"),
  TEXT ("HTTP/1.1 200 O\x7fK\r\n\r\n"),
  FIELDS (": a\r\n"),
  FIELDS ("x\r\n"),
  FIELDS ("x : a\r\n"),
  FIELDS (" x: a\r\n"),
  FIELDS ("x y: a\r\n"),
  FIELDS ("x\ty: a\r\n"),
  FIELDS ("x\001: a\r\n"),
  FIELDS ("x\0: a\r\n"),
  FIELDS ("x\x80: a\r\n"),
  FIELDS ("x@: a\r\n"),
  FIELDS ("x: \001a\r\n"),
  FIELDS ("x: \0a\r\n"),
  FIELDS ("x: a\x7f\r\n"),
  FIELDS ("x: a\rb\r\n"),
  FIELDS ("x:\ra: b\r\n"),
  FIELDS ("x: a\n"),
  FIELDS ("x: a\r\n b\r\n"),
  FIELDS ("x: a\r\n\tb\r\n"),
  TEXT ("HTTP/1.1 200 OK\r\nx: a\r\n\rx"),
  TEXT ("HTTP/1.1 200 OK\r\nx: a\r\n\n"),
};

/* Feeds TEXT in pieces of STEP bytes.  Returns how many were taken.  */
static size_t
feed (struct cp_http_syntax *syntax, const struct text *text, size_t step)
{
  size_t at = 0;

  cp_http_syntax_init (syntax);
  while (at < text->length && syntax->state != CP_HTTP_END
         && syntax->state != CP_HTTP_INVALID)
    {
      size_t left = text->length - at;

      at += cp_http_syntax_feed (syntax, text->bytes + at,
                                 left < step ? left : step);
    }
  return at;
}

START_TEST (what_the_grammar_allows_is_accepted)
{
  static const size_t steps[] = { 1, 3, 1000 };
  struct cp_http_syntax syntax;

  for (unsigned i = 0; i < sizeof steps / sizeof steps[0]; i++)
    {
      ck_assert_uint_eq (feed (&syntax, &good[_i], steps[i]), good[_i].length);
      ck_assert_int_eq (syntax.state, CP_HTTP_END);
    }
}
END_TEST

START_TEST (what_the_grammar_does_not_allow_is_rejected)
{
  struct cp_http_syntax syntax;

  feed (&syntax, &bad[_i], 1);
  ck_assert_msg (syntax.state == CP_HTTP_INVALID, "%s", bad[_i].bytes);
  feed (&syntax, &bad[_i], 1000);
  ck_assert_int_eq (syntax.state, CP_HTTP_INVALID);
}
END_TEST

START_TEST (the_status_is_read_and_what_follows_is_left)
{
  static const struct text text = TEXT ("HTTP/1.1 204 No Content\r\n\r\n");
  struct cp_http_syntax syntax;

  cp_http_syntax_init (&syntax);
  ck_assert_uint_eq (
      cp_http_syntax_feed (&syntax, "HTTP/1.1 204 No Content\r\n\r\nrest",
                           text.length + 4),
      text.length);
  ck_assert_uint_eq (syntax.status, 204);
  ck_assert_uint_eq (cp_http_syntax_feed (&syntax, "rest", 4), 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, what_the_grammar_allows_is_accepted, 0,
                       sizeof good / sizeof good[0]);
  tcase_add_loop_test (tests, what_the_grammar_does_not_allow_is_rejected, 0,
                       sizeof bad / sizeof bad[0]);
  tcase_add_test (tests, the_status_is_read_and_what_follows_is_left);
}

int
main (void)
{
  return suite_run ("http_syntax", add_tests, 20);
}

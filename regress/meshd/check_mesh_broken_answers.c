/* Answers that are not what HTTP/1.1 allows: no caller gets one, or anything
   made of it.  */
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/stage_fixture.h"

#define FIELDS                                                                \
  "X-Cornelpick-Request-Id: @\r\nX-Cornelpick-Response-Signature: test\r\n"
#define WHOLE "Content-Length: 5\r\n\r\nwhole"
#define STATUS_LINE(line)                                                     \
  {                                                                           \
    line FIELDS WHOLE, sizeof (line FIELDS WHOLE) - 1                         \
  }

#define CHUNKS "5\r\nwhole\r\n0\r\n\r\n"
#define CODED(version, lines, body)                                           \
  {                                                                           \
    version " 200 OK\r\n" FIELDS lines "\r\n" body,                           \
        sizeof (version " 200 OK\r\n" FIELDS lines "\r\n" body) - 1           \
  }
#define FIELD(line) STATUS_LINE ("HTTP/1.1 200 OK\r\n" line)

/* An answer of a server, which may contain NULs.  */
struct script
{
  const char *bytes;
  size_t length;
};

static const struct script good_answers[] = {
  STATUS_LINE ("HTTP/1.1 200 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 200 \r\n"),
  STATUS_LINE ("HTTP/1.1 200 \t\xfc\r\n"),
  STATUS_LINE ("HTTP/1.0 200 OK\r\n"),
  FIELD ("x-note:\r\nX-NOTE: \t a \xfc\t\r\n!#$%&'*+-.^_`|~:b\r\n"),
  STATUS_LINE ("HTTP/1.1 103 Early Hints\r\nX-Note: a\r\n\r\n"
               "HTTP/1.1 100 \r\n\r\nHTTP/1.1 200 OK\r\n"),
  CODED ("HTTP/1.1", "", "whole"),
  CODED ("HTTP/1.1", "transfer-encoding: \tChunked \r\n", CHUNKS),
};

static const struct script broken_status_lines[] = {
  STATUS_LINE ("HTTP/1.1 000 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 099 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 600 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 999 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 20 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 2 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 200\r\n"),
  STATUS_LINE ("HTTP/1.1  200 OK\r\n"),
  STATUS_LINE ("HTTP/0.9 200 OK\r\n"),
  STATUS_LINE ("HTTP/2.0 200 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 200 O\001K\r\n"),
  STATUS_LINE ("HTTP/1.1 200 O\0K\r\n"),
  STATUS_LINE ("HTTP/1.1 200 O\rK\r\n"),
  STATUS_LINE ("HTTP/1.1 200 OK\rX"),
  STATUS_LINE ("HTTP/1.1 200 OK\n"),
  STATUS_LINE ("\r\nHTTP/1.1 200 OK\r\n"),
};

#define SWITCH "HTTP/1.1 101 Switching Protocols\r\n"

/* What follows a 101 belongs to another protocol.  */
static const struct script switches[] = {
  STATUS_LINE (SWITCH "\r\nHTTP/1.1 200 OK\r\n"),
  STATUS_LINE (SWITCH "Connection: upgrade\r\nUpgrade: other\r\n\r\n"
                      "HTTP/1.1 200 OK\r\n"),
  STATUS_LINE ("HTTP/1.1 103 Early Hints\r\n\r\n" SWITCH "\r\n"
               "HTTP/1.1 200 OK\r\n"),
  STATUS_LINE (SWITCH),
};

static const struct script broken_fields[] = {
  FIELD ("X Note: a\r\n"),
  FIELD ("X\tNote: a\r\n"),
  FIELD ("X-Note : a\r\n"),
  FIELD (" X-Note: a\r\n"),
  FIELD ("X\001Note: a\r\n"),
  FIELD ("X\0Note: a\r\n"),
  FIELD ("X\177Note: a\r\n"),
  FIELD ("X\377Note: a\r\n"),
  FIELD (": a\r\n"),
  FIELD ("X-Note\r\n"),
  FIELD ("X-Note: \001a\r\n"),
  FIELD ("X-Note: a\001\r\n"),
  FIELD ("X-Note: \0a\r\n"),
  FIELD ("X-Note: a\0\r\n"),
  FIELD ("X-Note: \177a\r\n"),
  FIELD ("X-Note: a\rb\r\n"),
  FIELD ("X-Note:\rContent-Length: 3\r\n"),
  FIELD ("X-Note: a\n"),
  FIELD ("X-Note: a\r\n b\r\n"),
  FIELD ("X-Note:\r\n\tb\r\n"),
};

#define WITHOUT_BODY(status, lines)                                           \
  {                                                                           \
    "HTTP/1.1 " status " Empty\r\n" FIELDS lines "\r\n",                      \
        sizeof ("HTTP/1.1 " status " Empty\r\n" FIELDS lines "\r\n") - 1      \
  }

static const struct script encoded[] = {
  FIELD ("Content-Encoding: gzip\r\n"),
  FIELD ("Content-Encoding: identity, gzip\r\n"),
  FIELD ("Content-Encoding: gzip\r\nContent-Encoding: identity\r\n"),
  FIELD ("Content-Encoding: identity\r\nContent-Encoding: gzip\r\n"),
};

/* A length in a 304 is that of the body that a 200 would have.  */
static const struct script without_body[] = {
  WITHOUT_BODY ("304", "Content-Length: 5\r\n"),
  WITHOUT_BODY ("304", "Transfer-Encoding: chunked\r\n"),
  WITHOUT_BODY ("304", "Content-Length: 99999999999\r\n"),
  WITHOUT_BODY ("204", "Content-Length: 5\r\n"),
  WITHOUT_BODY ("204", ""),
};

#define CODING "Transfer-Encoding: "

#define CHUNKED(body) CODED ("HTTP/1.1", CODING "chunked\r\n", body)

static const struct script good_chunks[] = {
  CHUNKED ("05\r\nwhole\r\n000\r\n\r\n"),
  CHUNKED ("2\r\nwh\r\n3\r\nole\r\n0\r\n\r\n"),
  CHUNKED ("5;a=b;c=\"d e\" ;\tf\r\nwhole\r\n0;g\r\n\r\n"),
  CHUNKED ("5 \t;a\r\nwhole\r\n0\r\nX-Note: a\r\nx-note:\r\n\r\n"),
};

static const struct script broken_chunks[] = {
  CHUNKED ("5\r\nwholeXX0\r\n\r\n"),
  CHUNKED ("5\r\nwhole\rX0\r\n\r\n"),
  CHUNKED ("5\r\nwhole\n0\r\n\r\n"),
  CHUNKED ("5\rXwhole\r\n0\r\n\r\n"),
  CHUNKED ("5\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("5 5\r\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("5 \r\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("5;a\001\r\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("5;a\0\r\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("0x5\r\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("-5\r\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("\r\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("10000000000000005\r\nwhole\r\n0\r\n\r\n"),
  CHUNKED ("5\r\nwhole\r\n0\r\n\rX"),
  CHUNKED ("5\r\nwhole\r\n0\r\n"),
  CHUNKED ("5\r\nwhole\r\n0\r\nX Note: a\r\n\r\n"),
  CHUNKED ("5\r\nwhole\r\n0\r\nX-Note: \001\r\n\r\n"),
  CHUNKED ("5\r\nwhole\r\n0\r\nX-Note\r\n\r\n"),
};

static const struct script unknown_codings[] = {
  CODED ("HTTP/1.1", CODING "gzip\r\n", "whole"),
  CODED ("HTTP/1.1", CODING "identity\r\n", "whole"),
  CODED ("HTTP/1.1", CODING "\r\n", "whole"),
  CODED ("HTTP/1.1", CODING "xchunked\r\n", CHUNKS),
  CODED ("HTTP/1.1", CODING "gzip, chunked\r\n", CHUNKS),
  CODED ("HTTP/1.1", CODING "chunked, gzip\r\n", CHUNKS),
  CODED ("HTTP/1.1", CODING "chunked, chunked\r\n", CHUNKS),
  CODED ("HTTP/1.1", CODING "chunked;q=1\r\n", CHUNKS),
  CODED ("HTTP/1.1", CODING "gzip\r\n" CODING "chunked\r\n", CHUNKS),
  CODED ("HTTP/1.1", CODING "chunked\r\n" CODING "gzip\r\n", CHUNKS),
  CODED ("HTTP/1.1", CODING "gzip\r\nContent-Length: 5\r\n", "whole"),
  CODED ("HTTP/1.1", CODING "chunked\r\nContent-Length: 5\r\n", CHUNKS),
  CODED ("HTTP/1.0", CODING "chunked\r\n", CHUNKS),
};

/* Both servers of alpha answer what asks for it with SCRIPT.  */
static void
set_script (const struct script *script)
{
  for (unsigned vm = 1; vm < VMS; vm++)
    stage_server_script (&stage, vm, script->bytes, script->length);
}

/* Calls alpha through VM 3, which does not run alpha itself.  Returns the
   status.  */
static int
call (const char *method, const char *path, const char *id)
{
  stage_call (&stage, &reply, 3, method, "alpha.test", path, id,
              method[0] == 'P' ? "order" : NULL);
  return reply.status;
}

static void
expect_whole (const struct script *script, unsigned number)
{
  CP_AUTO_FREE char *id = g_strdup_printf ("good%u", number);

  set_script (script);
  ck_assert_msg (call ("POST", "/write/1?scripted", id) == 200,
                 "%u: %d to %.60s", number, reply.status, script->bytes);
  ck_assert_str_eq (reply.body->str, "whole");
}

/* An order that may have run ends with 502; what may be repeated is served by
   the other server.  */
static void
expect_rejected (const struct script *script, unsigned number)
{
  CP_AUTO_FREE char *order = g_strdup_printf ("order%u", number);
  CP_AUTO_FREE char *read = g_strdup_printf ("read%u", number);

  set_script (script);
  ck_assert_msg (call ("POST", "/write/1?scripted", order) == 502,
                 "%u: %d to %.60s", number, reply.status, script->bytes);
  ck_assert_uint_eq (stage_runs (&stage, order), 1);
  ck_assert_int_eq (call ("GET", "/read/1?scripted-once", read), 200);
  ck_assert_str_eq (reply.body->str, "whole");
}

START_TEST (what_the_protocol_allows_is_passed_on)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (good_answers); i++)
    expect_whole (&good_answers[i], i);
  for (unsigned i = 0; i < G_N_ELEMENTS (good_chunks); i++)
    expect_whole (&good_chunks[i], G_N_ELEMENTS (good_answers) + i);
}
END_TEST

START_TEST (an_answer_that_has_no_body_ends_with_its_head)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (without_body); i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("empty%u", i);
      int expected = atoi (without_body[i].bytes + strlen ("HTTP/1.1 "));

      set_script (&without_body[i]);
      ck_assert_int_eq (call ("POST", "/write/1?scripted", id), expected);
      ck_assert_uint_eq (reply.body->len, 0);
    }
}
END_TEST

START_TEST (an_answer_with_a_broken_status_line_is_rejected)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (broken_status_lines); i++)
    expect_rejected (&broken_status_lines[i], i);
}
END_TEST

START_TEST (an_answer_that_switches_protocols_is_rejected)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (switches); i++)
    expect_rejected (&switches[i], i);
}
END_TEST

START_TEST (an_answer_with_a_broken_field_is_rejected)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (broken_fields); i++)
    expect_rejected (&broken_fields[i], i);
}
END_TEST

START_TEST (an_answer_with_an_encoded_body_is_rejected)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (encoded); i++)
    expect_rejected (&encoded[i], i);
}
END_TEST

START_TEST (an_answer_with_an_unknown_transfer_coding_is_rejected)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (unknown_codings); i++)
    expect_rejected (&unknown_codings[i], i);
}
END_TEST

START_TEST (an_answer_with_broken_chunks_is_rejected)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (broken_chunks); i++)
    expect_rejected (&broken_chunks[i], i);
}
END_TEST

/* An upload whose server answers when it has READ bytes of it.  */
struct early_answer
{
  unsigned read;
  unsigned reset_ms;
  const char *end;
};

static const struct early_answer early_answers[] = {
  { 0, 0, "" },           { 0, 1, "" },
  { 0, 20, "" },          { 0, 200, "" },
  { 1000000, 0, "" },     { 1000000, 20, "" },
  { 7900000, 0, "" },     { 0, 200, "&fin" },
  { 100000, 20, "&fin" }, { 1000000, 200, "&fin" },
};

#define UPLOAD_BYTES 8000000

static void
allow_long_uploads (const char *body)
{
  stage.body_max = UPLOAD_BYTES;
  stage_configure (&stage, "");
  do
    {
      g_usleep (100000);
      stage_call (&stage, &reply, 3, "POST", "alpha.test", "/write/1", "first",
                  body);
    }
  while (reply.status == 413);
  ck_assert_int_eq (reply.status, 200);
}

/* A success that ends with the connection while the upload is still being
   sent is not whole, also if a FIN came before the reset.  */
START_TEST (a_success_that_ends_during_the_upload_is_rejected)
{
  CP_AUTO_FREE char *body = g_strnfill (UPLOAD_BYTES, 'u');
  const struct early_answer *early = &early_answers[_i];
  CP_AUTO_FREE char *path = g_strdup_printf (
      "/write/1?early=%u&ms=%u%s", early->read, early->reset_ms, early->end);

  allow_long_uploads (body);
  for (unsigned i = 0; i < 3; i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("early%u", i);

      stage_call (&stage, &reply, 3, "POST", "alpha.test", path, id, body);
      ck_assert_msg (reply.status == 502 || reply.status == 504,
                     "%d after %s, %s", reply.status, path, reply.body->str);
      ck_assert_uint_eq (stage_runs (&stage, id), 1);
    }
}
END_TEST

/* A server may reject an upload that it does not read.  */
START_TEST (a_rejection_that_ends_during_the_upload_is_passed_on)
{
  CP_AUTO_FREE char *body = g_strnfill (UPLOAD_BYTES, 'u');

  allow_long_uploads (body);
  stage_call (&stage, &reply, 3, "POST", "alpha.test",
              "/write/1?early=0&ms=500&fin&too-large", "large", body);
  ck_assert_int_eq (reply.status, 413);
  ck_assert_str_eq (reply.body->str, "half");
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, what_the_protocol_allows_is_passed_on);
  tcase_add_test (tests, an_answer_that_has_no_body_ends_with_its_head);
  tcase_add_test (tests, an_answer_with_a_broken_status_line_is_rejected);
  tcase_add_test (tests, an_answer_that_switches_protocols_is_rejected);
  tcase_add_test (tests, an_answer_with_a_broken_field_is_rejected);
  tcase_add_test (tests,
                  an_answer_with_an_unknown_transfer_coding_is_rejected);
  tcase_add_test (tests, an_answer_with_an_encoded_body_is_rejected);
  tcase_add_test (tests, an_answer_with_broken_chunks_is_rejected);
  tcase_add_loop_test (tests,
                       a_success_that_ends_during_the_upload_is_rejected, 0,
                       G_N_ELEMENTS (early_answers));
  tcase_add_test (tests, a_rejection_that_ends_during_the_upload_is_passed_on);
}

int
main (void)
{
  return suite_run ("mesh_broken_answers", add_tests, 60);
}

/* Answers that are not what HTTP/1.1 allows: no caller gets one, or anything
   made of it.  */
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/broken_answers.h"
#include "regress/harness/stage_fixture.h"

#define NEW_ROUTE                                                             \
  ",{\"name\":\"new\",\"kind\":\"idempotent\",\"targetLatency\":\"200ms\","   \
  "\"priority\":1,\"match\":{\"prefix\":\"/new/\"},\"action\":{\"service\":"  \
  "\"alpha\",\"timeout\":\"2000ms\",\"maxAttempts\":2}}"

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
  for (unsigned i = 0; good_answers[i].bytes != NULL; i++)
    expect_whole (&good_answers[i], i);
  for (unsigned i = 0; good_chunks[i].bytes != NULL; i++)
    expect_whole (&good_chunks[i], 100 + i);
}
END_TEST

START_TEST (an_answer_that_has_no_body_ends_with_its_head)
{
  for (unsigned i = 0; without_body[i].bytes != NULL; i++)
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
  for (unsigned i = 0; broken_status_lines[i].bytes != NULL; i++)
    expect_rejected (&broken_status_lines[i], i);
}
END_TEST

START_TEST (an_answer_that_switches_protocols_is_rejected)
{
  for (unsigned i = 0; switches[i].bytes != NULL; i++)
    expect_rejected (&switches[i], i);
}
END_TEST

START_TEST (an_answer_with_a_broken_field_is_rejected)
{
  for (unsigned i = 0; broken_fields[i].bytes != NULL; i++)
    expect_rejected (&broken_fields[i], i);
}
END_TEST

START_TEST (an_answer_with_an_encoded_body_is_rejected)
{
  for (unsigned i = 0; encoded[i].bytes != NULL; i++)
    expect_rejected (&encoded[i], i);
}
END_TEST

START_TEST (an_answer_with_a_broken_length_is_rejected)
{
  for (unsigned i = 0; broken_lengths[i].bytes != NULL; i++)
    expect_rejected (&broken_lengths[i], i);
}
END_TEST

START_TEST (an_answer_with_an_unknown_transfer_coding_is_rejected)
{
  for (unsigned i = 0; unknown_codings[i].bytes != NULL; i++)
    expect_rejected (&unknown_codings[i], i);
}
END_TEST

START_TEST (an_answer_with_broken_chunks_is_rejected)
{
  for (unsigned i = 0; broken_chunks[i].bytes != NULL; i++)
    expect_rejected (&broken_chunks[i], i);
  for (unsigned i = 0; broken_chunk_lines[i].bytes != NULL; i++)
    expect_rejected (&broken_chunk_lines[i], 100 + i);
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

static bool
new_route_is_in_force (void *context)
{
  static unsigned number;
  CP_AUTO_FREE char *id = g_strdup_printf ("new%u", ++number);

  (void)context;
  return call ("GET", "/new/1", id) == 200;
}

/* The era that a broken answer names would make all good ones look old, so
   that no change would be taken any more.  */
START_TEST (a_broken_answer_of_the_store_is_not_believed)
{
  for (unsigned vm = 1; vm <= VMS; vm++)
    stage_store_mode (&stage, vm, STAGE_STORE_BROKEN);
  stage_drop_history (&stage);
  wait_until (store_fails, NULL);
  g_usleep (500000);
  for (unsigned vm = 1; vm <= VMS; vm++)
    stage_store_mode (&stage, vm, STAGE_STORE_NORMAL);
  wait_until (store_answers, NULL);
  stage_configure (&stage, NEW_ROUTE);
  wait_until (new_route_is_in_force, NULL);
}
END_TEST

/* Both servers give broken answers to health checks, which say that they leave
   and are full.  They are used all the same, as their answers to requests are
   good.  */
START_TEST (a_broken_answer_to_a_health_check_is_not_believed)
{
  static const char answer[]
      = "HTTP/1.1 000 OK\r\nServer-Leaving: 1\r\n"
        "X-Cornelpick-Server-Load: 13,100,13,100\r\nServer-Limit: 0.01\r\n"
        "Content-Length: 0\r\n\r\n";

  for (unsigned vm = 1; vm < VMS; vm++)
    stage_server_script_health (&stage, vm, answer, sizeof answer - 1);
  for (unsigned i = 0; i < 40; i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("health%u", i);

      ck_assert_int_eq (call ("POST", "/write/1", id), 200);
      g_usleep (50000);
    }
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
  tcase_add_test (tests, an_answer_with_a_broken_length_is_rejected);
  tcase_add_test (tests, an_answer_with_an_encoded_body_is_rejected);
  tcase_add_test (tests, an_answer_with_broken_chunks_is_rejected);
  tcase_add_test (tests, a_broken_answer_of_the_store_is_not_believed);
  tcase_add_test (tests, a_broken_answer_to_a_health_check_is_not_believed);
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

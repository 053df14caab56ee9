/* Answers to callers when servers give good, bad or no answers.  */
#include "lib/cleanup.h"
#include "regress/harness/stage_fixture.h"

/* Calls alpha through VM 3, which does not run alpha itself.  */
static void
call (const char *method, const char *path, const char *id, const char *body)
{
  stage_call (&stage, &reply, 3, method, "alpha.test", path, id, body);
}

START_TEST (a_call_is_served_with_the_headers_that_a_server_expects)
{
  char value[128];
  unsigned vm;

  call ("GET", "/read/1", "r1", NULL);
  ck_assert_int_eq (reply.status, 200);
  ck_assert_str_eq (reply.body->str, "whole");
  ck_assert (reply_header (&reply, "X-Cornelpick-Response-Signature", value,
                           sizeof value));
  ck_assert (
      reply_header (&reply, "X-Cornelpick-Request-Id", value, sizeof value));
  ck_assert_str_eq (value, "r1");
  ck_assert (
      !reply_header (&reply, "X-Cornelpick-Server-Load", value, sizeof value));
  ck_assert_uint_eq (stage_runs (&stage, "r1"), 1);
  vm = stage_server_runs (&stage, 1) == 1 ? 1 : 2;
  stage_server_header (&stage, vm, "X-Cornelpick-Caller-Service", value,
                       sizeof value);
  ck_assert_str_eq (value, "beta");
  stage_server_header (&stage, vm, "X-Cornelpick-Deadline-Ms", value,
                       sizeof value);
  ck_assert_uint_le (g_ascii_strtoull (value, NULL, 10), 2000);
  ck_assert_uint_gt (g_ascii_strtoull (value, NULL, 10), 1500);
}
END_TEST

START_TEST (reserved_headers_from_callers_are_replaced)
{
  char address[56];
  char value[128];

  http_call (&reply, stage_address (&stage, 1, 8000, address), "GET",
             "/read/1",
             "Host: beta.test\nX-Cornelpick-Request-Id: r1\n"
             "X-Cornelpick-Caller-Service: forged\n"
             "X-Cornelpick-Expect-Instance: forged\nX-Other: kept",
             NULL, 3000);
  ck_assert_int_eq (reply.status, 200);
  stage_server_header (&stage, 3, "X-Cornelpick-Caller-Service", value,
                       sizeof value);
  ck_assert_str_eq (value, "alpha");
  stage_server_header (&stage, 3, "X-Other", value, sizeof value);
  ck_assert_str_eq (value, "kept");
}
END_TEST

START_TEST (unknown_routes_get_404)
{
  call ("GET", "/nowhere/1", "r1", NULL);
  ck_assert_int_eq (reply.status, 404);
  stage_call (&stage, &reply, 3, "GET", "other.test", "/read/1", "r2", NULL);
  ck_assert_int_eq (reply.status, 404);
}
END_TEST

/* Faulty answers of a server.  The fake server can give all but the last on
   the first arrival only, so the last one is not tested with a repeat.  */
static const char *const bad_answers[]
    = { "cut", "reset", "garble", "error", "unsigned" };

START_TEST (what_may_be_repeated_is_served_after_a_bad_answer)
{
  CP_AUTO_FREE char *path
      = g_strdup_printf ("/read/1?%s-once", bad_answers[_i]);

  call ("GET", path, "r1", NULL);
  ck_assert_int_eq (reply.status, 200);
  ck_assert_str_eq (reply.body->str, "whole");
  ck_assert_uint_eq (stage_runs (&stage, "r1"), 2);
}
END_TEST

/* A 503 would claim that the call has not run.  */
START_TEST (a_non_idempotent_call_with_a_bad_answer_runs_once_and_gives_no_503)
{
  CP_AUTO_FREE char *path = g_strdup_printf ("/write/1?%s", bad_answers[_i]);

  call ("POST", path, "r1", "order");
  ck_assert_int_eq (reply.status, _i == 3 ? 500 : 502);
  ck_assert_uint_eq (stage_runs (&stage, "r1"), 1);
}
END_TEST

START_TEST (an_answer_without_content_length_is_forwarded_whole)
{
  call ("POST", "/write/1?unframed", "r1", "order");
  ck_assert_int_eq (reply.status, 200);
  ck_assert_str_eq (reply.body->str, "whole");
}
END_TEST

START_TEST (an_extra_answer_is_discarded)
{
  for (unsigned i = 0; i < 20; i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("r%u", i);

      call ("GET", "/read/1?extra", id, NULL);
      ck_assert_int_eq (reply.status, 200);
      ck_assert_str_eq (reply.body->str, "whole");
    }
}
END_TEST

START_TEST (an_answer_with_another_request_id_is_discarded)
{
  call ("POST", "/write/1?stray", "r1", "order");
  ck_assert_int_eq (reply.status, 200);
  ck_assert_str_eq (reply.body->str, "taken");
  ck_assert_uint_eq (stage_runs (&stage, "r1"), 1);
}
END_TEST

START_TEST (a_refusal_by_all_servers_gives_503_with_retry_after_and_no_run)
{
  char value[64];

  call ("POST", "/write/1?shed", "r1", "order");
  ck_assert_int_eq (reply.status, 503);
  ck_assert (reply_header (&reply, "Retry-After", value, sizeof value));
  ck_assert (g_ascii_strtod (value, NULL) > 0);
  ck_assert_uint_eq (stage_runs (&stage, "r1"), 0);
}
END_TEST

START_TEST (a_route_timeout_gives_504)
{
  gint64 began = g_get_monotonic_time ();

  call ("POST", "/short/1?hang", "r1", "order");
  ck_assert_int_eq (reply.status, 504);
  ck_assert_int_lt (g_get_monotonic_time () - began, 800000);
  ck_assert_int_gt (g_get_monotonic_time () - began, 250000);
}
END_TEST

START_TEST (a_server_without_a_listener_is_left_for_another)
{
  stage_server_stop (&stage, 1);
  for (unsigned i = 0; i < 10; i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("r%u", i);

      call ("POST", "/write/1", id, "order");
      ck_assert_int_eq (reply.status, 200);
      ck_assert_uint_eq (stage_runs (&stage, id), 1);
    }
}
END_TEST

/* The server of VM 1 restarts as a new instance, while other daemons still
   know only the entry of the old one.  The call must be refused, not run by
   the new instance.  */
START_TEST (a_call_for_a_replaced_instance_does_not_run)
{
  stage_server_stop (&stage, 2);
  stage_server_stop (&stage, 1);
  g_usleep (300000);
  stage_server_restart (&stage, 1);
  g_usleep (500000);
  call ("POST", "/write/1", "r1", "order");
  ck_assert_int_eq (reply.status, 503);
  ck_assert_uint_eq (stage_runs (&stage, "r1"), 0);
  stage_enter (&stage, 1, "ready");
  g_usleep (500000);
  call ("POST", "/write/1", "r2", "order");
  ck_assert_int_eq (reply.status, 200);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests,
                  a_call_is_served_with_the_headers_that_a_server_expects);
  tcase_add_test (tests, reserved_headers_from_callers_are_replaced);
  tcase_add_test (tests, unknown_routes_get_404);
  tcase_add_loop_test (
      tests, what_may_be_repeated_is_served_after_a_bad_answer, 0, 4);
  tcase_add_loop_test (
      tests,
      a_non_idempotent_call_with_a_bad_answer_runs_once_and_gives_no_503, 0,
      5);
  tcase_add_test (tests, an_answer_without_content_length_is_forwarded_whole);
  tcase_add_test (tests, an_extra_answer_is_discarded);
  tcase_add_test (tests, an_answer_with_another_request_id_is_discarded);
  tcase_add_test (
      tests, a_refusal_by_all_servers_gives_503_with_retry_after_and_no_run);
  tcase_add_test (tests, a_route_timeout_gives_504);
  tcase_add_test (tests, a_server_without_a_listener_is_left_for_another);
  tcase_add_test (tests, a_call_for_a_replaced_instance_does_not_run);
}

int
main (void)
{
  return suite_run ("mesh_answers", add_tests, 60);
}

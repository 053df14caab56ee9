/* Answers that are not what HTTP/1.1 allows: no caller of cornelpickd gets
   one, or anything made of it.  */
#include <signal.h>
#include <stdio.h>

#include "regress/harness/broken_answers.h"
#include "regress/harness/campaign.h"
#include "regress/harness/script_target.h"
#include "regress/harness/suite.h"

struct fixture
{
  struct fleet fleet;
  struct script_target target;
};

static struct fixture fixture;
static struct reply reply;

/* Starts two daemons; the target of VM 2 answers with SCRIPTS.  */
static void
set_up (const struct script *scripts)
{
  char address[56];

  fleet_start (&fixture.fleet, 2, 2, campaign_gate);
  process_signal (&fixture.fleet.targets[2], SIGKILL);
  script_target_start_scripted (
      &fixture.target, fleet_address (&fixture.fleet, 2, 8080, address),
      scripts);
  reply_init (&reply);
}

static void
tear_down (void)
{
  reply_finish (&reply);
  fleet_stop (&fixture.fleet);
  script_target_stop (&fixture.target);
}

/* Makes a call that is answered with script NUMBER.  Returns the status, 0 if
   no whole answer came.  */
static int
call (unsigned number)
{
  char path[40];

  snprintf (path, sizeof path, "/items/script-%u", number);
  fleet_call (&fixture.fleet, &reply, 1, "GET", path, NULL, NULL);
  return reply.status;
}

static const struct script *const good_lists[] = { good_answers, good_chunks };

START_TEST (what_the_protocol_allows_is_passed_on)
{
  const struct script *scripts = good_lists[_i];

  set_up (scripts);
  for (unsigned i = 0; scripts[i].bytes != NULL; i++)
    {
      ck_assert_msg (call (i) == 200, "%u: %d to %.60s", i, reply.status,
                     scripts[i].bytes);
      ck_assert_str_eq (reply.body->str, "whole");
    }
  tear_down ();
}
END_TEST

static const struct script *const broken_lists[]
    = { broken_status_lines, switches, broken_fields, broken_lengths,
        unknown_codings };

START_TEST (a_broken_answer_is_rejected)
{
  const struct script *scripts = broken_lists[_i];
  char outcome[16];

  set_up (scripts);
  for (unsigned i = 0; scripts[i].bytes != NULL; i++)
    {
      ck_assert_msg (call (i) == 502, "%u: %d, %s to %.60s", i, reply.status,
                     reply.body->str, scripts[i].bytes);
      ck_assert (reply_header (&reply, "Cornelpick-Outcome", outcome,
                               sizeof outcome));
      ck_assert_str_eq (outcome, "unknown");
    }
  tear_down ();
}
END_TEST

/* An answer may have begun when its chunks turn out to be broken; then it is
   cut off.  */
static void
expect_no_whole_answer (const struct script *scripts)
{
  set_up (scripts);
  for (unsigned i = 0; scripts[i].bytes != NULL; i++)
    ck_assert_msg (call (i) == 0 || reply.status == 502, "%u: %d, %s", i,
                   reply.status, reply.body->str);
  tear_down ();
}

START_TEST (a_target_with_broken_chunks_gives_no_answer)
{
  expect_no_whole_answer (broken_chunks);
}
END_TEST

START_TEST (a_target_with_broken_chunk_lines_gives_no_answer)
{
  expect_no_whole_answer (broken_chunk_lines);
}
END_TEST

/* Bytes that the target reads of an upload, of which more is left than its
   system buffers; time until the reset, and the end
   of the answer.  */
static const char *const early_ends[]
    = { "0-0-reset",       "0-20-reset",        "0-200-reset",
        "1000000-0-reset", "1000000-200-reset", "0-200-fin",
        "100000-20-fin",   "1000000-200-fin",   "7000000-20-fin" };

static const size_t upload_sizes[] = { 8000000, 8000000, 30000000 };

static void
expect_no_success (const char *end)
{
  set_up (NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (upload_sizes); i++)
    {
      char *body = g_strnfill (upload_sizes[i], 'u');
      char path[64];

      snprintf (path, sizeof path, "/uploads/upload-%s", end);
      fleet_call (&fixture.fleet, &reply, 1, "PUT", path, NULL, body);
      ck_assert_msg (reply.status != 200, "%s of %zu: %s", path,
                     upload_sizes[i], reply.body->str);
      g_free (body);
    }
  tear_down ();
}

/* A success that ends with the connection while the upload is still being
   sent is not whole, also if a FIN came before the reset.  */
START_TEST (a_success_that_ends_during_the_upload_is_rejected)
{
  expect_no_success (early_ends[_i]);
}
END_TEST

/* The same, when the rest fits the buffers of the target's system.  */
START_TEST (a_success_that_ends_with_the_upload_unread_is_rejected)
{
  expect_no_success ("7900000-20-fin");
}
END_TEST

START_TEST (a_success_that_ends_after_the_upload_is_passed_on)
{
  char *body = g_strnfill (upload_sizes[0], 'u');

  set_up (NULL);
  fleet_call (&fixture.fleet, &reply, 1, "PUT", "/uploads/closed", NULL, body);
  ck_assert_int_eq (reply.status, 200);
  ck_assert_uint_eq (reply.body->len, 33 * SCRIPT_REPEATS);
  g_free (body);
  tear_down ();
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, what_the_protocol_allows_is_passed_on, 0,
                       G_N_ELEMENTS (good_lists));
  tcase_add_loop_test (tests, a_broken_answer_is_rejected, 0,
                       G_N_ELEMENTS (broken_lists));
  tcase_add_test (tests, a_target_with_broken_chunks_gives_no_answer);
  tcase_add_test (tests, a_target_with_broken_chunk_lines_gives_no_answer);
  tcase_add_loop_test (tests,
                       a_success_that_ends_during_the_upload_is_rejected, 0,
                       G_N_ELEMENTS (early_ends));
  tcase_add_test (tests,
                  a_success_that_ends_with_the_upload_unread_is_rejected);
  tcase_add_test (tests, a_success_that_ends_after_the_upload_is_passed_on);
}

int
main (void)
{
  return suite_run ("attempts_broken_answers", add_tests, 60);
}

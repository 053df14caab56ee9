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

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, what_the_protocol_allows_is_passed_on, 0,
                       G_N_ELEMENTS (good_lists));
  tcase_add_loop_test (tests, a_broken_answer_is_rejected, 0,
                       G_N_ELEMENTS (broken_lists));
}

int
main (void)
{
  return suite_run ("attempts_broken_answers", add_tests, 60);
}

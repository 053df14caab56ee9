/* The retry budget across services: repeats whose calls the budget does not
   cover, and the calls of repeats.

   The servers of the stage make no calls.  The test makes them, by the ID of a
   request that a server runs.  */
#include <signal.h>
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/stage_fixture.h"

/* Requests that give the daemon of VM 3 a budget for service alpha.  */
#define FILLERS 60

/* A request that runs while the test makes its calls.  */
struct parent
{
  const char *id;
  const char *path;
  unsigned entry; /* the VM that takes it */
  struct reply reply;
  GThread *thread;
  unsigned runs_before[VMS + 1];
};

static void *
run_parent (void *context)
{
  struct parent *parent = context;

  stage_call (&stage, &parent->reply, parent->entry, "GET", "alpha.test",
              parent->path, parent->id, NULL);
  return NULL;
}

static void
parent_start (struct parent *parent, unsigned entry, const char *path,
              const char *id)
{
  *parent = (struct parent){ .id = id, .path = path, .entry = entry };
  reply_init (&parent->reply);
  for (unsigned vm = 1; vm <= VMS; vm++)
    parent->runs_before[vm] = stage_server_runs (&stage, vm);
  parent->thread = g_thread_new ("parent", run_parent, parent);
}

static int
parent_finish (struct parent *parent)
{
  int status;

  g_thread_join (parent->thread);
  status = parent->reply.status;
  reply_finish (&parent->reply);
  return status;
}

/* Whether a server has begun to work on a request ID for the nth time.  */
struct runs
{
  const char *id;
  unsigned n;
};

static bool
has_run (void *context)
{
  const struct runs *runs = context;

  return stage_runs (&stage, runs->id) >= runs->n;
}

/* Returns the alpha server that runs PARENT for the first time.  */
static unsigned
find_vm (const struct parent *parent)
{
  struct runs runs = { parent->id, 1 };

  wait_until (has_run, &runs);
  return stage_server_runs (&stage, 1) > parent->runs_before[1] ? 1 : 2;
}

/* Makes the call of PARENT with SUFFIX through the daemon of VM.  */
static int
call_of (const struct parent *parent, unsigned vm, const char *suffix)
{
  CP_AUTO_FREE char *id = g_strdup_printf ("%s.%s", parent->id, suffix);

  stage_call (&stage, &reply, vm, "GET", "beta.test", "/read/1", id, NULL);
  return reply.status;
}

/* Allows a fifth of the requests and no slack, and makes the requests that let
   VM 3 retry some of alpha.  */
static void
set_budget (void)
{
  for (unsigned vm = 1; vm <= VMS; vm++)
    {
      stage_write_settings (&stage, vm,
                            ",\"bounds\":{\"grace\":\"6s\",\"drain\":"
                            "\"2000ms\",\"budgetRatio\":0.2,"
                            "\"budgetWindow\":\"10s\",\"budgetSlack\":0}");
      kill (stage.daemons[vm].pid, SIGHUP);
    }
  g_usleep (300000);
  for (unsigned i = 0; i < FILLERS; i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("f%u", i);

      stage_call (&stage, &reply, 3, "POST", "alpha.test", "/write/1", id,
                  "order");
    }
}

static uint64_t
count_refused (unsigned vm)
{
  return stage_counter (&stage, vm,
                        "jobs_refused_total{reason=\"no-budget\"}");
}

/* Lets the daemons of VMs 1 and 2 learn that a run makes three calls. Requests
   are served in the failure domain in which they enter, if they can be.  */
static void
learn_calls (void)
{
  bool learned[VMS + 1] = { false };
  struct parent parent;

  for (unsigned i = 0; i < 30 && !(learned[1] && learned[2]); i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("q%u", i);
      unsigned vm;

      parent_start (&parent, 1 + i % 2, "/read/1?slow=200", id);
      vm = find_vm (&parent);
      ck_assert_int_eq (call_of (&parent, vm, "1"), 200);
      ck_assert_int_eq (call_of (&parent, vm, "2"), 200);
      ck_assert_int_eq (call_of (&parent, vm, "3"), 200);
      ck_assert_int_eq (parent_finish (&parent), 200);
      learned[vm] = true;
    }
  ck_assert (learned[1] && learned[2]);
}

/* Guards against repeats that run although their calls will be refused, and
   against a refusal that replaces the failure that the caller would get.  */
START_TEST (a_repeat_whose_calls_find_no_budget_does_not_run)
{
  set_budget ();
  learn_calls ();
  stage_call (&stage, &reply, 3, "GET", "alpha.test", "/read/1?error-once",
              "a1", NULL);
  ck_assert_int_eq (reply.status, 500);
  ck_assert_uint_eq (stage_runs (&stage, "a1"), 1);
  ck_assert_uint_eq (count_refused (1) + count_refused (2), 1);
}
END_TEST

/* Guards against a refusal for want of a budget that does not prove that
   nothing has run.  */
START_TEST (a_refused_repeat_of_what_has_not_run_is_a_true_refusal)
{
  char value[32];

  set_budget ();
  learn_calls ();
  stage_call (&stage, &reply, 3, "GET", "alpha.test", "/read/1?shed", "a2",
              NULL);
  ck_assert_int_eq (reply.status, 503);
  ck_assert (reply_header (&reply, "Retry-After", value, sizeof value));
  ck_assert_uint_eq (stage_runs (&stage, "a2"), 0);
  ck_assert_uint_eq (count_refused (1) + count_refused (2), 1);
}
END_TEST

/* Guards against repeats that are refused although they make no calls, or the
   budget covers these.  */
START_TEST (a_repeat_without_calls_runs)
{
  set_budget ();
  stage_call (&stage, &reply, 3, "GET", "alpha.test", "/read/1?error-once",
              "b1", NULL);
  ck_assert_int_eq (reply.status, 200);
  ck_assert_uint_eq (stage_runs (&stage, "b1"), 2);
  ck_assert_uint_eq (count_refused (1) + count_refused (2), 0);
}
END_TEST

/* Guards against calls of repeats that exceed the budget of the service
   called.  Their first arrival is one beyond the first.  */
START_TEST (a_call_of_a_repeat_is_not_sent_without_budget)
{
  struct parent parent;
  struct runs second = { "c1", 2 };
  unsigned vm;

  set_budget ();
  parent_start (&parent, 3, "/read/1?flood-head-once&slow=800", "c1");
  vm = 3 - find_vm (&parent);
  wait_until (has_run, &second);
  ck_assert_int_eq (call_of (&parent, vm, "1"), 503);
  ck_assert_uint_eq (stage_runs (&stage, "c1.1"), 0);
  ck_assert_uint_eq (
      stage_counter (&stage, vm, "repeat_calls_over_budget_total"), 1);
  ck_assert_int_eq (parent_finish (&parent), 200);
}
END_TEST

/* Guards against calls of repeats that are refused although the budget of the
   service called has room: ten times the requests.  */
START_TEST (a_call_of_a_repeat_is_sent_within_the_budget)
{
  struct parent parent;
  struct runs second = { "d1", 2 };
  unsigned vm;

  for (vm = 1; vm <= 2; vm++)
    {
      stage_call (&stage, &reply, vm, "GET", "beta.test", "/read/1", "d0",
                  NULL);
      ck_assert_int_eq (reply.status, 200);
    }
  parent_start (&parent, 3, "/read/1?flood-head-once&slow=800", "d1");
  vm = 3 - find_vm (&parent);
  wait_until (has_run, &second);
  ck_assert_int_eq (call_of (&parent, vm, "1"), 200);
  ck_assert_uint_eq (stage_counter (&stage, vm, "repeat_calls_total"), 1);
  ck_assert_int_eq (parent_finish (&parent), 200);
}
END_TEST

/* Guards against a refusal whose reason the logs do not name.  */
START_TEST (a_retry_without_budget_is_explained)
{
  const char *build = getenv ("BUILD");
  CP_AUTO_FREE char *script = g_strdup_printf (
      "%s/cornelpick/cornelpick explain --log %s/daemon-*.log e1",
      build == NULL ? "build" : build, stage.folder);
  char *command[] = { "sh", "-c", script, NULL };
  CP_AUTO_FREE char *out = NULL;

  set_budget ();
  /* The daemon of VM 1 has counted no other request.  */
  stage_call (&stage, &reply, 1, "GET", "alpha.test", "/read/1?error-once",
              "e1", NULL);
  ck_assert_int_eq (reply.status, 500);
  g_usleep (600000);
  ck_assert (g_spawn_sync (NULL, command, NULL, G_SPAWN_SEARCH_PATH, NULL,
                           NULL, &out, NULL, NULL, NULL));
  ck_assert_msg (strstr (out, "does not try again: no-budget of alpha")
                     != NULL,
                 "%s", out);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, a_repeat_whose_calls_find_no_budget_does_not_run);
  tcase_add_test (tests,
                  a_refused_repeat_of_what_has_not_run_is_a_true_refusal);
  tcase_add_test (tests, a_repeat_without_calls_runs);
  tcase_add_test (tests, a_call_of_a_repeat_is_not_sent_without_budget);
  tcase_add_test (tests, a_call_of_a_repeat_is_sent_within_the_budget);
  tcase_add_test (tests, a_retry_without_budget_is_explained);
}

int
main (void)
{
  return suite_run ("mesh_budget", add_tests, 60);
}

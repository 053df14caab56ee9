/* The order of waiting requests, with daemons: calls of running requests
   beside more requests than the servers take.  */
#include <pthread.h>
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/stage_fixture.h"

/* Callers that always have a request open; the two servers of alpha run 20. */
#define CALLERS 60
#define CALLS 8

struct caller
{
  pthread_t thread;
  unsigned number;
  unsigned answered;
  unsigned refused;
};

static bool stop;

static void *
make_requests (void *context)
{
  struct caller *caller = context;
  struct reply own;

  reply_init (&own);
  for (unsigned i = 0; !__atomic_load_n (&stop, __ATOMIC_RELAXED); i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("r%u-%u", caller->number, i);

      stage_call (&stage, &own, 1 + caller->number % 2, "GET", "alpha.test",
                  "/read/1?slow=100", id, NULL);
      caller->answered += own.status == 200;
      caller->refused += own.status == 503;
    }
  reply_finish (&own);
  return NULL;
}

/* Makes a request to beta, which runs while alpha is overloaded.  */
static void *
make_parent (void *context)
{
  struct reply own;

  reply_init (&own);
  stage_call (&stage, &own, 3, "GET", "beta.test", "/read/1?slow=1900",
              context, NULL);
  reply_finish (&own);
  return NULL;
}

/* Returns how many lines of the daemons of alpha have PART and OTHER.  */
static unsigned
count_lines (const char *part, const char *other)
{
  unsigned count = 0;

  for (unsigned vm = 1; vm <= 2; vm++)
    {
      CP_AUTO_FREE char *path
          = g_strdup_printf ("%s/daemon-%u.log", stage.folder, vm);
      char *text = NULL;
      char **lines;

      ck_assert (g_file_get_contents (path, &text, NULL, NULL));
      lines = g_strsplit (text, "\n", -1);
      for (unsigned i = 0; lines[i] != NULL; i++)
        count += strstr (lines[i], part) != NULL
                 && strstr (lines[i], other) != NULL;
      g_strfreev (lines);
      g_free (text);
    }
  return count;
}

/* Guards against calls that are refused while requests on which no run depends
   are served.  */
START_TEST (calls_of_a_running_request_are_served_under_overload)
{
  static struct caller callers[CALLERS];
  char parent_id[] = "parent";
  pthread_t parent;
  unsigned answered = 0;
  unsigned refused = 0;

  __atomic_store_n (&stop, false, __ATOMIC_RELAXED);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i] = (struct caller){ .number = i };
      ck_assert_int_eq (pthread_create (&callers[i].thread, NULL,
                                        make_requests, &callers[i]),
                        0);
    }
  g_usleep (500000);
  ck_assert_int_eq (pthread_create (&parent, NULL, make_parent, parent_id), 0);
  g_usleep (100000);
  for (unsigned i = 0; i < CALLS; i++)
    {
      CP_AUTO_FREE char *id = g_strdup_printf ("parent.%u", i);

      stage_call (&stage, &reply, 3, "GET", "alpha.test", "/read/1?slow=50",
                  id, NULL);
      answered += reply.status == 200;
    }
  __atomic_store_n (&stop, true, __ATOMIC_RELAXED);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      pthread_join (callers[i].thread, NULL);
      refused += callers[i].refused;
    }
  pthread_join (parent, NULL);
  ck_assert_uint_gt (refused, CALLERS);
  ck_assert_uint_eq (answered, CALLS);
  ck_assert_uint_gt (
      stage_counter (&stage, 1,
                     "jobs_refused_by_priority_total{priority=\"1\"}")
          + stage_counter (&stage, 2,
                           "jobs_refused_by_priority_total{priority=\"1\"}"),
      0);
}
END_TEST

/* Guards against calls whose rank cannot be traced, and against IDs that only
   look like those of calls.  */
START_TEST (the_log_names_the_rank_of_a_call)
{
  char parent_id[] = "parent";
  pthread_t parent;

  ck_assert_int_eq (pthread_create (&parent, NULL, make_parent, parent_id), 0);
  g_usleep (300000);
  stage_call (&stage, &reply, 3, "GET", "alpha.test", "/read/1", "parent.1",
              NULL);
  stage_call (&stage, &reply, 3, "GET", "alpha.test", "/read/1", "nobody.1",
              NULL);
  pthread_join (parent, NULL);
  ck_assert_uint_eq (count_lines ("\"request\":\"parent.1\"",
                                  "\"rank\":1,\"priority\":1,"
                                  "\"nested\":true,\"parent_priority\":1"),
                     1);
  ck_assert_uint_eq (
      count_lines ("\"request\":\"nobody.1\"", "\"nested\":false"), 1);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, calls_of_a_running_request_are_served_under_overload);
  tcase_add_test (tests, the_log_names_the_rank_of_a_call);
}

int
main (void)
{
  return suite_run ("mesh_order", add_tests, 60);
}

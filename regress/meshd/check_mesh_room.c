/* Services that are full by load reports: refusal at the entry, the return of
   room, and the tries of calls that running requests make.  */
#include <string.h>

#include "lib/cleanup.h"
#include "regress/harness/command.h"
#include "regress/harness/stage_internal.h"
#include "regress/harness/suite.h"

/* Requests that fill both servers of alpha, of 13 slots each, and their
   queues.  */
#define FILLERS 60

static struct stage stage;
static struct reply reply;

static void
teardown (void)
{
  reply_finish (&reply);
  stage_finish (&stage);
}

static void
start (unsigned n_vms)
{
  stage_start (&stage, n_vms);
  reply_init (&reply);
}

struct filler
{
  pthread_t thread;
  unsigned number;
  unsigned vm;
  const char *host;
  const char *path;
};

static void *
run_filler (void *context)
{
  const struct filler *filler = context;
  CP_AUTO_FREE char *id = g_strdup_printf ("fill-%u", filler->number);
  struct reply own;

  reply_init (&own);
  stage_call (&stage, &own, filler->vm, "GET", filler->host, filler->path, id,
              NULL);
  reply_finish (&own);
  return NULL;
}

static void
start_filler (struct filler *filler, unsigned number, unsigned vm,
              const char *host, const char *path)
{
  *filler = (struct filler){
    .number = number, .vm = vm, .host = host, .path = path
  };
  ck_assert_int_eq (pthread_create (&filler->thread, NULL, run_filler, filler),
                    0);
}

/* A request whose caller waits for 900 ms.  */
static int
status_of_short (unsigned vm, const char *host, const char *path,
                 const char *id)
{
  char address[56];
  CP_AUTO_FREE char *headers
      = g_strdup_printf ("Host: %s\nX-Cornelpick-Request-Id: %s\n"
                         "X-Cornelpick-Deadline-Ms: 900",
                         host, id);

  http_call (&reply, stage_address (&stage, vm, STAGE_PORT_CALLS, address),
             "GET", path, headers, NULL, 5000);
  return reply.status;
}

static int
status_of (unsigned vm, const char *host, const char *path, const char *id)
{
  stage_call (&stage, &reply, vm, "GET", host, path, id, NULL);
  return reply.status;
}

/* Asserts that the log of VM 3 tells why REQUEST was refused at the entry.  */
static void
assert_explained (const char *request)
{
  CP_AUTO_FREE char *path = g_strdup_printf ("%s/daemon-3.log", stage.folder);
  struct result result;

  g_usleep (200000);
  result = command_run_with ("explain", "--log", path, request, NULL);
  ck_assert_msg (result.status == 0, "%s%s", result.out, result.err);
  assert_has (result.out, "answers 503: no-room; 0 asked");
  assert_has (result.out, "known of 2 servers: 0 with a free slot, 0 with a "
                          "short queue, 0 without a report");
  assert_has (result.out, "told to wait ");
  result_release (&result);
}

/* Load: both servers run as many requests as they may for 1.9 s, and 40
   requests follow in the meantime.  Guards against requests that are sent in
   vain to servers known to be full, against Retry-After beyond a third of the
   time left, and against room that is not found when it is there again.  */
START_TEST (a_full_service_refuses_at_the_entry_until_it_has_room)
{
  struct filler fillers[FILLERS];
  char refused_id[16] = "";
  unsigned refused = 0;
  uint64_t attempts;
  gint64 freed;

  start (3);
  /* The daemons learn how long a run takes.  */
  for (unsigned i = 0; i < 4; i++)
    ck_assert_int_eq (status_of (3, "alpha.test", "/read/1?slow=600", "learn"),
                      200);
  for (unsigned i = 0; i < FILLERS; i++)
    start_filler (&fillers[i], i, 3, "alpha.test", "/read/1?slow=1900");
  g_usleep (300000);
  attempts = stage_counter (&stage, 3, "attempts_total");
  for (unsigned i = 0; i < 40; i++)
    {
      uint64_t before = stage_counter (&stage, 3, "calls_no_room_total");
      char value[32];
      char id[16];

      g_snprintf (id, sizeof id, "late-%u", i);
      if (status_of (3, "alpha.test", "/read/1", id) == 503)
        {
          refused++;
          if (stage_counter (&stage, 3, "calls_no_room_total") > before)
            g_strlcpy (refused_id, id, sizeof refused_id);
          ck_assert (
              reply_header (&reply, "Retry-After", value, sizeof value));
          ck_assert_double_gt (g_ascii_strtod (value, NULL), 0);
          ck_assert_double_le (g_ascii_strtod (value, NULL), 2.0 / 3);
        }
      g_usleep (10000);
    }
  attempts = stage_counter (&stage, 3, "attempts_total") - attempts;
  ck_assert_uint_eq (refused, 40);
  ck_assert_uint_ge (stage_counter (&stage, 3, "calls_no_room_total"), 20);
  /* Without the check, each of them is sent to both servers.  */
  ck_assert_uint_le (attempts, 40);
  for (unsigned i = 0; i < FILLERS; i++)
    pthread_join (fillers[i].thread, NULL);
  freed = g_get_monotonic_time ();
  while (status_of (3, "alpha.test", "/read/1", "again") != 200)
    {
      ck_assert_int_lt (g_get_monotonic_time () - freed, 300000);
      g_usleep (10000);
    }
  assert_explained (refused_id);
}
END_TEST

/* Returns member "tried" of the line of the failed REQUEST at VM.  */
static unsigned
tried_by (unsigned vm, const char *request)
{
  CP_AUTO_FREE char *path
      = g_strdup_printf ("%s/daemon-%u.log", stage.folder, vm);
  CP_AUTO_FREE char *begin
      = g_strdup_printf ("\"kind\":\"failed\",\"request\":\"%s\"", request);
  char *text = NULL;
  const char *at;
  unsigned tried = 0;

  ck_assert (g_file_get_contents (path, &text, NULL, NULL));
  at = strstr (text, begin);
  ck_assert_ptr_nonnull (at);
  at = strstr (at, "\"tried\":");
  ck_assert_ptr_nonnull (at);
  tried = (unsigned)g_ascii_strtoull (at + strlen ("\"tried\":"), NULL, 10);
  g_free (text);
  return tried;
}

#define SERVERS 11
#define FILLERS_MAX 400

/* The numbers of the requests of one arrangement, of which the first is the
   running request, and how often it is arranged on a slow machine.  */
#define NUMBERS 1000
#define ARRANGEMENTS_MAX 10

/* Time from the first of the requests to the call: they run for 1.9 s, and the
   call gives up after 0.9 s.  */
#define ARRANGEMENT_US 950000

/* Starts requests of 1.9 s, numbered from FIRST, until all servers of alpha
   run as many as they may.  */
static unsigned
fill_all (struct filler fillers[FILLERS_MAX], unsigned first)
{
  unsigned n = 0;
  unsigned full = 0;

  while (full < SERVERS)
    {
      ck_assert_uint_le (n + SERVERS, FILLERS_MAX);
      for (unsigned vm = 1; vm <= SERVERS; vm++, n++)
        start_filler (&fillers[n], first + n, vm, "alpha.test",
                      "/read/1?slow=1900");
      g_usleep (20000);
      full = 0;
      for (unsigned vm = 1; vm <= SERVERS && n >= 10 * SERVERS; vm++)
        full += stage_counter (&stage, vm, "jobs_running")
                == stage_counter (&stage, vm, "jobs_limit");
    }
  return n;
}

static void
join_all (const struct filler *fillers, unsigned n)
{
  for (unsigned i = 0; i < n; i++)
    pthread_join (fillers[i].thread, NULL);
}

/* Fills all servers of alpha while the server of the last VM runs PARENT, by
   reports that are stale then.  Returns the number of FILLERS, which run for
   0.95 s more.  */
static unsigned
arrange_full_servers (struct filler fillers[FILLERS_MAX],
                      struct filler *parent)
{
  for (unsigned number = 1; number < ARRANGEMENTS_MAX * NUMBERS;
       number += NUMBERS)
    {
      gint64 began = g_get_monotonic_time ();
      unsigned n;

      start_filler (parent, number, SERVERS + 1, "beta.test",
                    "/read/1?slow=1900");
      n = fill_all (fillers, number + 1);
      g_usleep (500000);
      if (g_get_monotonic_time () - began < ARRANGEMENT_US)
        return n;
      join_all (fillers, n);
      join_all (parent, 1);
    }
  ck_abort_msg ("the machine is too slow to fill all servers in time");
}

/* Load: all eleven servers of alpha are full, by reports that are stale when
   the server of VM 12 makes a call while it runs a request.  Guards against
   the work of a running request that is lost since five servers refused its
   call.
 */
START_TEST (a_call_of_a_running_request_may_try_ten_servers)
{
  static struct filler fillers[FILLERS_MAX];
  CP_AUTO_FREE char *id = NULL;
  struct filler parent;
  unsigned n;

  start (SERVERS + 1);
  for (unsigned vm = 1; vm <= SERVERS; vm++)
    for (unsigned i = 0; i < 6; i++)
      status_of (vm, "alpha.test", "/read/1", "warm");
  n = arrange_full_servers (fillers, &parent);
  id = _i == 1 ? g_strdup_printf ("fill-%u.1", parent.number)
               : g_strdup ("other.1");
  /* The call gives up while all servers are full: with more time, it would
     wait until one has room.  */
  ck_assert_int_eq (status_of_short (SERVERS + 1, "alpha.test", "/read/1", id),
                    503);
  join_all (fillers, n);
  join_all (&parent, 1);
  /* The call waits a part of its time at each server, so that the time may end
     before the tenth.  */
  if (_i == 1)
    ck_assert_uint_gt (tried_by (SERVERS + 1, id), 5);
  else
    ck_assert_uint_eq (tried_by (SERVERS + 1, id), 5);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, NULL, teardown);
  tcase_add_test (tests,
                  a_full_service_refuses_at_the_entry_until_it_has_room);
  tcase_add_loop_test (tests, a_call_of_a_running_request_may_try_ten_servers,
                       0, 2);
}

int
main (void)
{
  return suite_run ("mesh_room", add_tests, 60);
}

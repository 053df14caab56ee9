/* Answers without end reach cornelpickd: its memory and the time of the call
   stay bounded, and other callers are served meanwhile.  */
#include <signal.h>

#include "regress/harness/campaign.h"
#include "regress/harness/flood_server.h"
#include "regress/harness/suite.h"

/* The stated bound for a daemon, in kB.  */
#define MEMORY_KB_MAX (256 * 1024)

/* Calls that meet a flood at the same time.  */
#define CALLERS 8

#define DEADLINE_MS 2000
#define SLACK_MS 1000

/* How long a read of the platform may take, and how long until the next one.
 */
#define READ_US (2 * G_USEC_PER_SEC)
#define READ_WAIT_US (30 * G_USEC_PER_SEC)

struct caller
{
  pthread_t thread;
  struct reply reply;
  gint64 took_ms;
};

static struct fleet fleet;
static struct flood_server server;

static void
set_up (void)
{
  fleet_start (&fleet, 2, 2, campaign_gate);
}

static void
tear_down (void)
{
  fleet_stop (&fleet);
}

static void
check_memory (const char *name)
{
  for (unsigned vm = 1; vm <= 2; vm++)
    {
      unsigned long kb = process_peak_kb (&fleet.daemons[vm]);

      ck_assert_msg (kb < MEMORY_KB_MAX, "%s: daemon %u took %lu kB", name, vm,
                     kb);
    }
}

static void *
make_call (void *context)
{
  struct caller *caller = context;
  gint64 began_us = g_get_monotonic_time ();

  fleet_call (&fleet, &caller->reply, 1, "GET", "/items/1", NULL, NULL);
  caller->took_ms = (g_get_monotonic_time () - began_us) / 1000;
  return NULL;
}

/* No caller gets an answer that looks whole, or waits beyond its deadline.  */
static void
call_all (const char *name)
{
  struct caller callers[CALLERS];

  for (unsigned i = 0; i < CALLERS; i++)
    {
      reply_init (&callers[i].reply);
      pthread_create (&callers[i].thread, NULL, make_call, &callers[i]);
    }
  for (unsigned i = 0; i < CALLERS; i++)
    {
      pthread_join (callers[i].thread, NULL);
      ck_assert_msg (callers[i].reply.status == 0
                         || callers[i].reply.status >= 500,
                     "%s: %d", name, callers[i].reply.status);
      ck_assert_int_lt (callers[i].took_ms, DEADLINE_MS + SLACK_MS);
      reply_finish (&callers[i].reply);
    }
}

START_TEST (floods_of_a_target_are_bounded)
{
  char address[56];

  process_signal (&fleet.targets[2], SIGKILL);
  for (unsigned i = 0; i < n_floods; i++)
    {
      flood_server_start (&server, fleet_address (&fleet, 2, 8080, address),
                          &floods[i]);
      call_all (floods[i].name);
      check_memory (floods[i].name);
      flood_server_stop (&server);
    }
}
END_TEST

/* Makes calls while daemons read the flood.  */
static void
call_during_reads (struct reply *reply)
{
  gint64 began_us = g_get_monotonic_time ();
  gint64 until_us = began_us + READ_WAIT_US;
  bool is_read = false;

  while (g_get_monotonic_time () < until_us)
    {
      if (!is_read && flood_server_sent (&server) > 0)
        {
          is_read = true;
          until_us = g_get_monotonic_time () + READ_US;
        }
      fleet_call (&fleet, reply, 1, "GET", "/items/1", NULL, NULL);
      ck_assert_int_eq (reply->status, 200);
      g_usleep (50000);
    }
  ck_assert (is_read);
}

/* The configuration service and the VM list flood; what is in force serves
   callers meanwhile.  */
START_TEST (floods_of_the_platform_are_bounded)
{
  struct reply reply;
  char address[56];

  reply_init (&reply);
  process_signal (&fleet.platform, SIGKILL);
  for (unsigned i = 0; i < n_floods; i++)
    {
      flood_server_start (&server, fleet_address (&fleet, 250, 9000, address),
                          &floods[i]);
      call_during_reads (&reply);
      check_memory (floods[i].name);
      flood_server_stop (&server);
    }
  reply_finish (&reply);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, set_up, tear_down);
  tcase_add_test (tests, floods_of_a_target_are_bounded);
  tcase_add_test (tests, floods_of_the_platform_are_bounded);
}

int
main (void)
{
  harness_release_freed_memory ();
  return suite_run ("floods", add_tests, 90);
}

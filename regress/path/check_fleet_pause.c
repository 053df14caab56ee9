/* Tests that a daemon that was paused routes no call by its document before
   the document is verified, and that a leaving VM gets no new calls.  */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "regress/harness/spread.h"
#include "regress/harness/suite.h"

#define VMS 4
#define DOMAINS 2
#define CALLERS 8

/* Changes the path of the route that the calls use.  */
static void
change_items_route (json_t *document)
{
  json_t *shop
      = json_object_get (json_object_get (document, "sections"), "shop");

  json_object_set_new (json_array_get (json_object_get (shop, "routes"), 0),
                       "path", json_string ("/things/"));
}

/* A thread whose call waits at the paused daemon.  */
struct caller
{
  pthread_t thread;
  struct fleet *fleet;
  int status;
};

static void *
call_items (void *context)
{
  struct caller *caller = context;
  struct reply reply;

  reply_init (&reply);
  fleet_call (caller->fleet, &reply, 1, "GET", "/items/1", NULL, NULL);
  caller->status = reply.status;
  reply_finish (&reply);
  return NULL;
}

/* Pauses VM 1 for more than PAUSE_S seconds while the document changes.  Calls
   wait at it when it resumes; none may be answered by the old route.  */
static void
pause_and_call (struct fleet *fleet, unsigned pause_s)
{
  struct caller callers[CALLERS];

  fleet_wait_calls (fleet, 1, 3);
  process_signal (&fleet->daemons[1], SIGSTOP);
  fleet_change (fleet, change_items_route);
  fleet_wait_version (fleet, 2, VMS, fleet->version);
  g_usleep (pause_s * G_USEC_PER_SEC);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i].fleet = fleet;
      pthread_create (&callers[i].thread, NULL, call_items, &callers[i]);
    }
  g_usleep (G_USEC_PER_SEC / 2);
  process_signal (&fleet->daemons[1], SIGCONT);
  for (unsigned i = 0; i < CALLERS; i++)
    {
      pthread_join (callers[i].thread, NULL);
      ck_assert_msg (callers[i].status == 404 || callers[i].status == 503,
                     "status %d by the outdated document", callers[i].status);
    }
  fleet_wait_version (fleet, 1, 1, fleet->version);
  fleet_wait_configuration (fleet, 1, "state", "current");
  ck_assert_uint_ge (fleet_counter (fleet, 1, "pauses_total"), 1);
}

START_TEST (a_paused_daemon_verifies_before_it_answers)
{
  struct fleet fleet;

  fleet_start (&fleet, VMS, DOMAINS, NULL);
  fleet_list (&fleet, 0);
  pause_and_call (&fleet, 30);
  fleet_stop (&fleet);
}
END_TEST

/* VM 2 drains and exits while VM 1 is paused.  No call of VM 1 may run at
   VM 2 any more; the test checks that VM 1 then answers 10 calls in a row.  */
START_TEST (a_pause_during_a_drain_of_a_peer)
{
  struct fleet fleet;

  fleet_start (&fleet, VMS, DOMAINS, NULL);
  fleet_list (&fleet, 0);
  fleet_wait_calls (&fleet, 1, 3);
  process_signal (&fleet.daemons[1], SIGSTOP);
  kill (fleet.daemons[2].pid, SIGTERM);
  g_usleep (3 * G_USEC_PER_SEC);
  process_signal (&fleet.daemons[1], SIGCONT);
  fleet_wait_calls (&fleet, 1, 10);
  ck_assert_uint_ge (fleet_counter (&fleet, 1, "pauses_total"), 1);
  fleet_stop (&fleet);
}
END_TEST

static bool
is_leaving (void *context)
{
  struct fleet *fleet = context;
  json_t *state = fleet_state (fleet, 2);
  json_t *members = json_object_get (state, "members");
  char own[32];
  bool leaving = false;
  size_t i;
  json_t *member;

  snprintf (own, sizeof own, "%s.2", fleet->net);
  json_array_foreach (members, i, member)
  {
    const char *ip = json_string_value (json_object_get (member, "ip"));

    if (ip != NULL && strcmp (ip, own) == 0)
      leaving = json_is_true (json_object_get (member, "leaving"));
  }
  json_decref (state);
  return leaving;
}

/* Makes calls through each VM in turn.  Returns whether the target of VM 2
   answered one.  */
static bool
reaches_vm_2 (struct fleet *fleet, unsigned calls)
{
  struct reply reply;
  char path[64];
  bool reached = false;

  reply_init (&reply);
  for (unsigned i = 0; i < calls; i++)
    {
      fleet_call (fleet, &reply, 1 + i % VMS, "GET", "/items/1", NULL, NULL);
      if (reply_header (&reply, "Cornelpick-Path", path, sizeof path)
          && strstr (path, "shop-2") != NULL)
        reached = true;
    }
  reply_finish (&reply);
  return reached;
}

static bool
vm_2_is_reached (void *context)
{
  return reaches_vm_2 (context, VMS);
}

/* The VM list marks VM 2 as leaving.  Only VM 2 needs to have read that.  */
START_TEST (a_leaving_vm_gets_no_new_work)
{
  struct fleet fleet;

  fleet_start (&fleet, VMS, DOMAINS, NULL);
  fleet_list (&fleet, 0);
  wait_until (vm_2_is_reached, &fleet);
  fleet_list (&fleet, 2);
  wait_until (is_leaving, &fleet);
  ck_assert (!reaches_vm_2 (&fleet, 40));
  fleet_wait_calls (&fleet, 1, 10);
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, a_paused_daemon_verifies_before_it_answers);
  tcase_add_test (tests, a_pause_during_a_drain_of_a_peer);
  tcase_add_test (tests, a_leaving_vm_gets_no_new_work);
}

int
main (void)
{
  return suite_run ("fleet_pause", add_tests, 90);
}

/* Membership: the VM list combined with the status that daemons send.  */
#include <stdio.h>
#include <string.h>

#include "lib/cleanup.h"
#include "lib/members.h"
#include "regress/harness/suite.h"

#define SECOND CP_US_PER_S

static void
set_up (struct cp_members *members)
{
  struct cp_address own;

  ck_assert (cp_address_parse (&own, "10.0.0.1:7400"));
  cp_members_init (members, &own);
}

/* Sets a list of the VMs FROM to TO; LEAVING is marked as leaving.  */
static void
set_list (struct cp_members *members, unsigned from, unsigned to,
          unsigned leaving)
{
  CP_AUTO_JSON json_t *list = json_array ();

  for (unsigned i = from; i <= to; i++)
    {
      char ip[16];

      snprintf (ip, sizeof ip, "10.0.0.%u", i);
      json_array_append_new (
          list, json_pack ("{s:s, s:s, s:s, s:s}", "name", ip, "ip", ip,
                           "failure_domain", i % 2 == 0 ? "east" : "west",
                           "state", i == leaving ? "leaving" : "live"));
    }
  ck_assert (cp_members_set_list (members, list));
}

static bool
record_status (struct cp_members *members, const char *ip,
               enum cp_daemon_state life, uint64_t now_us)
{
  struct cp_member_status status = { .name = "vm",
                                     .failure_domain = "east",
                                     .peer_port = 7500,
                                     .incarnation = 5,
                                     .life = life };

  return cp_members_record_status (members, ip, &status, now_us);
}

static bool
is_alive (const struct cp_members *members, const char *ip, uint64_t now_us)
{
  const struct cp_member *member = cp_members_find (members, ip);

  return member != NULL && cp_members_is_alive (members, member, now_us);
}

START_TEST (only_listed_vms_are_members)
{
  struct cp_members members;

  set_up (&members);
  set_list (&members, 1, 4, 0);
  ck_assert (!record_status (&members, "10.0.0.9", CP_DAEMON_SERVING, SECOND));
  ck_assert (record_status (&members, "10.0.0.4", CP_DAEMON_SERVING, SECOND));
  set_list (&members, 1, 3, 0);
  ck_assert_ptr_null (cp_members_find (&members, "10.0.0.4"));
  ck_assert_uint_eq (cp_members_count (&members, 5000), 3);
  cp_members_finish (&members);
}
END_TEST

START_TEST (status_overrides_the_list)
{
  struct cp_members members;

  set_up (&members);
  set_list (&members, 1, 4, 4);
  ck_assert (is_alive (&members, "10.0.0.2", SECOND));
  ck_assert (!is_alive (&members, "10.0.0.4", SECOND));
  record_status (&members, "10.0.0.2", CP_DAEMON_DRAINING, SECOND);
  ck_assert (!is_alive (&members, "10.0.0.2", SECOND));
  for (unsigned i = 0; i < CP_MEMBER_MISSED_MAX; i++)
    cp_members_record_missed_answer (&members, "10.0.0.3", SECOND);
  ck_assert (!is_alive (&members, "10.0.0.3", SECOND));
  record_status (&members, "10.0.0.3", CP_DAEMON_SERVING, 2 * SECOND);
  ck_assert (is_alive (&members, "10.0.0.3", 2 * SECOND));
  cp_members_finish (&members);
}
END_TEST

START_TEST (silent_members_are_skipped_for_a_bounded_time)
{
  struct cp_seeded_random seeded;
  struct cp_members members;
  struct cp_address peer;

  set_up (&members);
  set_list (&members, 1, 6, 0);
  cp_seeded_random_init (&seeded, 3);
  for (unsigned i = 0; i < 20; i++)
    cp_members_record_missed_answer (&members, "10.0.0.2", SECOND);
  for (unsigned i = 0; i < 200; i++)
    {
      ck_assert (cp_members_choose (&members, "east", CP_MEMBERS_SAME_DOMAIN,
                                    &seeded.random, SECOND, &peer));
      ck_assert_str_ne (peer.text, "10.0.0.2:7400");
      ck_assert_str_ne (peer.text, "10.0.0.1:7400");
    }
  ck_assert_uint_le (cp_members_find (&members, "10.0.0.2")->retry_at_us,
                     SECOND + CP_MEMBER_BACKOFF_MAX_US);
  cp_members_finish (&members);
  cp_seeded_random_finish (&seeded);
}
END_TEST

/* This daemon becomes a watcher only when the members with higher weights are
   dead.  */
START_TEST (dead_members_are_not_watchers)
{
  struct cp_members members;

  set_up (&members);
  set_list (&members, 1, 40, 0);
  ck_assert (!cp_members_is_watcher (&members, "west", 1, SECOND));
  for (unsigned i = 3; i <= 40; i += 2)
    {
      char ip[16];

      snprintf (ip, sizeof ip, "10.0.0.%u", i);
      for (unsigned m = 0; m < CP_MEMBER_MISSED_MAX; m++)
        cp_members_record_missed_answer (&members, ip, SECOND);
    }
  ck_assert (cp_members_is_watcher (&members, "west", 1, SECOND));
  cp_members_finish (&members);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, only_listed_vms_are_members);
  tcase_add_test (tests, status_overrides_the_list);
  tcase_add_test (tests, silent_members_are_skipped_for_a_bounded_time);
  tcase_add_test (tests, dead_members_are_not_watchers);
}

int
main (void)
{
  return suite_run ("members", add_tests, 30);
}

/* The order of waiting requests, and the queue that uses it.  */
#include "lib/clock.h"
#include "lib/job_queue.h"
#include "lib/service_times.h"
#include "regress/harness/suite.h"

#define SERVICE_US 70000
#define NOW UINT64_C (1000000)
#define MS CP_US_PER_MS

static struct cp_job_queue queue;

/* A request that arrived first, with 150 ms until its objective, 500 ms until
   its deadline and 50 ms of work.  */
static struct cp_request_rank
base_rank (void)
{
  return (struct cp_request_rank){ .priority = 1,
                                   .objective_us = NOW + 150 * MS,
                                   .deadline_us = NOW + 500 * MS,
                                   .work_us = 50 * MS,
                                   .arrival = 1 };
}

static void
assert_before (const struct cp_request_rank *a,
               const struct cp_request_rank *b)
{
  ck_assert_int_lt (cp_request_rank_compare (a, b, NOW), 0);
  ck_assert_int_gt (cp_request_rank_compare (b, a, NOW), 0);
}

/* Guards against an order in which a later rule outweighs an earlier one: in
   each pair the first request has only the one advantage.  */
START_TEST (rules_apply_in_their_order)
{
  struct cp_request_rank a = base_rank ();
  struct cp_request_rank b = base_rank ();

  b.arrival = 2;
  assert_before (&a, &b);
  b.objective_us -= 1; /* less slack */
  assert_before (&b, &a);
  b.repeat = true;
  assert_before (&a, &b);
  b.nested = true;
  assert_before (&b, &a);
  b.objective_us = NOW + 49 * MS; /* can no longer be met */
  assert_before (&a, &b);
  b.priority = 0;
  assert_before (&b, &a);
}
END_TEST

/* Guards against calls that lose their parent's run behind other requests, and
   against priorities from a configuration that exceed those of the queue.  */
START_TEST (a_call_has_the_better_of_two_priorities)
{
  ck_assert_uint_eq (cp_request_rank_priority (3, true, 1), 1);
  ck_assert_uint_eq (cp_request_rank_priority (1, true, 3), 1);
  ck_assert_uint_eq (cp_request_rank_priority (3, false, 1), 3);
  ck_assert_uint_eq (cp_request_rank_priority (UINT32_MAX, false, 0),
                     CP_REQUEST_RANK_PRIORITIES - 1);
  ck_assert_uint_eq (cp_request_rank_priority (UINT32_MAX, true, UINT32_MAX),
                     CP_REQUEST_RANK_PRIORITIES - 1);
}
END_TEST

/* Guards against overflow where a time lies far away or has passed.  */
START_TEST (extreme_times_compare)
{
  struct cp_request_rank a = base_rank ();
  struct cp_request_rank b = base_rank ();

  a.objective_us = UINT64_MAX;
  a.deadline_us = UINT64_MAX;
  b.work_us = UINT64_MAX;
  b.arrival = 2;
  ck_assert (cp_request_rank_can_end (&a, NOW));
  ck_assert (!cp_request_rank_can_end (&b, NOW));
  ck_assert (!cp_request_rank_can_end (&a, UINT64_MAX));
  assert_before (&a, &b);
  a.objective_us = 0;
  a.deadline_us = 0;
  ck_assert (cp_request_rank_can_end (&a, UINT64_MAX));
}
END_TEST

static enum cp_job_queue_result
submit (struct cp_job_queue_entry *entry, unsigned priority, uint64_t now,
        uint64_t wait_us, uint64_t deadline_us)
{
  *entry = (struct cp_job_queue_entry){
    .rank = { .priority = priority, .deadline_us = now + deadline_us },
    .work_us = SERVICE_US,
    .wait_until_us = now + wait_us,
  };
  return cp_job_queue_submit (&queue, entry, now, SERVICE_US);
}

/* Uses the whole limit, 8, of a server with 10 slots: an entry ends every
   8.75 ms.  */
static void
fill_slots (void)
{
  static struct cp_job_queue_entry entries[8];

  cp_job_queue_init (&queue);
  cp_job_queue_set_capacity (&queue, 10);
  for (unsigned i = 0; i < 8; i++)
    ck_assert_int_eq (submit (&entries[i], 1, NOW, 0, 500 * MS),
                      CP_JOB_QUEUE_RUN);
}

/* Lets one entry end and returns the one that starts.  */
static struct cp_job_queue_entry *
replace_one (uint64_t now)
{
  cp_job_queue_done (&queue);
  return cp_job_queue_start_next (&queue, now);
}

/* Guards against work for an answer that nobody waits for: a request that
   cannot end before its deadline is refused on arrival, also when a slot is
   free, and one whose deadline is past as well.  */
START_TEST (what_cannot_end_in_time_is_refused_on_arrival)
{
  struct cp_job_queue_entry entry;

  cp_job_queue_init (&queue);
  cp_job_queue_set_capacity (&queue, 10);
  ck_assert_int_eq (submit (&entry, 0, NOW, 0, SERVICE_US - 1),
                    CP_JOB_QUEUE_REFUSE);
  ck_assert_int_eq (submit (&entry, 0, NOW, 100 * MS, -1 * MS),
                    CP_JOB_QUEUE_REFUSE);
  ck_assert_int_eq (submit (&entry, 0, NOW, 0, SERVICE_US), CP_JOB_QUEUE_RUN);
  fill_slots ();
  ck_assert_int_eq (submit (&entry, 0, NOW, 100 * MS, SERVICE_US),
                    CP_JOB_QUEUE_REFUSE);
  ck_assert_int_eq (submit (&entry, 0, NOW, 100 * MS, SERVICE_US + 9 * MS),
                    CP_JOB_QUEUE_WAIT);
}
END_TEST

/* Guards against a refusal at the end of the wait only, when the arrival of
   more urgent requests has already decided it.  */
START_TEST (an_overtaken_request_is_refused_at_that_moment)
{
  struct cp_job_queue_entry low;
  struct cp_job_queue_entry urgent[3];

  fill_slots ();
  ck_assert_int_eq (submit (&low, 1, NOW, 400 * MS, SERVICE_US + 25 * MS),
                    CP_JOB_QUEUE_WAIT);
  ck_assert_int_eq (submit (&urgent[0], 0, NOW, 100 * MS, 500 * MS),
                    CP_JOB_QUEUE_WAIT);
  ck_assert_ptr_null (cp_job_queue_take_expired (&queue, NOW));
  ck_assert_int_eq (submit (&urgent[1], 0, NOW, 100 * MS, 500 * MS),
                    CP_JOB_QUEUE_WAIT);
  /* Its start is now expected after 26.25 ms.  */
  ck_assert_ptr_eq (cp_job_queue_take_expired (&queue, NOW), &low);
  ck_assert_int_eq (low.state, CP_JOB_QUEUE_OVERTAKEN);
  ck_assert_ptr_null (cp_job_queue_take_expired (&queue, NOW));
  ck_assert_uint_eq (queue.queued, 2);
}
END_TEST

/* Guards against the same when the server has become slow.  */
START_TEST (a_slow_server_refuses_at_that_moment)
{
  struct cp_job_queue_entry entry;

  fill_slots ();
  ck_assert_int_eq (submit (&entry, 1, NOW, 100 * MS, 100 * MS),
                    CP_JOB_QUEUE_WAIT);
  cp_job_queue_set_pace (&queue, SERVICE_US * 3 / 2, 150);
  ck_assert_ptr_eq (cp_job_queue_take_expired (&queue, NOW), &entry);
  ck_assert_int_eq (entry.state, CP_JOB_QUEUE_TOO_SLOW);
  cp_job_queue_remove (&queue, &entry);
  ck_assert_uint_eq (queue.queued, 0);
}
END_TEST

/* Guards against urgent requests that are refused, or a queue that grows,
   since less urgent requests came first.  */
START_TEST (an_urgent_request_displaces_the_worst_ranked)
{
  struct cp_job_queue_entry low[6];
  struct cp_job_queue_entry urgent;
  struct cp_job_queue_entry *refused;

  fill_slots ();
  for (unsigned i = 0; i < 5; i++)
    ck_assert_int_eq (submit (&low[i], i < 3 ? 1 : 2, NOW, 45 * MS, 500 * MS),
                      CP_JOB_QUEUE_WAIT);
  ck_assert_int_eq (submit (&low[5], 2, NOW, 45 * MS, 500 * MS),
                    CP_JOB_QUEUE_REFUSE);
  ck_assert_int_eq (submit (&urgent, 0, NOW, 45 * MS, 500 * MS),
                    CP_JOB_QUEUE_WAIT);
  refused = cp_job_queue_take_expired (&queue, NOW);
  ck_assert_ptr_eq (refused, &low[4]);
  ck_assert_int_eq (refused->state, CP_JOB_QUEUE_OVERTAKEN);
  ck_assert_ptr_null (cp_job_queue_take_expired (&queue, NOW));
  ck_assert_uint_eq (queue.queued, 5);
  ck_assert_ptr_eq (replace_one (NOW), &urgent);
  ck_assert_ptr_eq (replace_one (NOW), &low[0]);
}
END_TEST

/* Guards against starvation: in any eight starts while two priorities wait,
   one goes to the lower one, and also to each of several lower ones in time.
 */
START_TEST (one_start_in_eight_goes_to_lower_priorities)
{
  struct cp_job_queue_entry entries[3][40];
  unsigned starts[3] = { 0 };
  unsigned since_lower = 0;

  fill_slots ();
  for (unsigned level = 0; level < 3; level++)
    for (unsigned i = 0; i < 40; i++)
      ck_assert_int_eq (
          submit (&entries[level][i], level * 3, NOW, 9000 * MS, 9000 * MS),
          CP_JOB_QUEUE_WAIT);
  for (unsigned i = 0; i < 45; i++)
    {
      const struct cp_job_queue_entry *entry = replace_one (NOW);

      starts[entry->rank.priority / 3]++;
      since_lower = entry->rank.priority == 0 ? since_lower + 1 : 0;
      ck_assert_uint_le (since_lower, 7);
    }
  ck_assert_uint_ge (starts[1], 5);
  ck_assert_uint_ge (starts[2], 4);
  ck_assert_uint_ge (starts[0], 33);
}
END_TEST

/* Guards against changes for users without priorities: the order is that of
   arrival, for requests of the same objective.  */
START_TEST (without_priorities_the_order_is_that_of_arrival)
{
  struct cp_job_queue_entry entries[5];

  fill_slots ();
  for (unsigned i = 0; i < 5; i++)
    {
      entries[i] = (struct cp_job_queue_entry){
        .rank = { .objective_us = NOW + i + 250 * MS,
                  .deadline_us = NOW + i + 500 * MS },
        .work_us = SERVICE_US,
        .wait_until_us = NOW + i + 50 * MS,
      };
      ck_assert_int_eq (
          cp_job_queue_submit (&queue, &entries[i], NOW + i, SERVICE_US),
          CP_JOB_QUEUE_WAIT);
    }
  for (unsigned i = 0; i < 5; i++)
    ck_assert_ptr_eq (replace_one (NOW + 5), &entries[i]);
}
END_TEST

/* Guards against an estimate that refuses every request which could correct
   it, and against kinds that share one mean.  */
START_TEST (service_times_are_kept_for_each_kind_and_expire)
{
  static struct cp_service_times times;

  cp_service_times_init (&times);
  ck_assert_uint_eq (cp_service_times_get (&times, 0, 150 * MS, NOW), 0);
  cp_service_times_add (&times, 0, 150 * MS, 30000, NOW);
  cp_service_times_add (&times, 0, 900 * MS, 300000, NOW);
  ck_assert_uint_eq (cp_service_times_get (&times, 0, 150 * MS, NOW), 30000);
  ck_assert_uint_eq (cp_service_times_get (&times, 0, 900 * MS, NOW), 300000);
  ck_assert_uint_eq (cp_service_times_get (&times, 1, 150 * MS, NOW), 0);
  ck_assert_uint_eq (
      cp_service_times_get (&times, 0, 150 * MS, NOW + 1001 * MS), 0);
  for (unsigned i = 0; i < 100; i++)
    cp_service_times_add (&times, i, 1, 1000, NOW + 1 + i);
  ck_assert_uint_eq (cp_service_times_get (&times, 99, 1, NOW + 101), 1000);
  ck_assert_uint_eq (cp_service_times_get (&times, 0, 900 * MS, NOW + 101), 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, rules_apply_in_their_order);
  tcase_add_test (tests, a_call_has_the_better_of_two_priorities);
  tcase_add_test (tests, extreme_times_compare);
  tcase_add_test (tests, what_cannot_end_in_time_is_refused_on_arrival);
  tcase_add_test (tests, an_overtaken_request_is_refused_at_that_moment);
  tcase_add_test (tests, a_slow_server_refuses_at_that_moment);
  tcase_add_test (tests, an_urgent_request_displaces_the_worst_ranked);
  tcase_add_test (tests, one_start_in_eight_goes_to_lower_priorities);
  tcase_add_test (tests, without_priorities_the_order_is_that_of_arrival);
  tcase_add_test (tests, service_times_are_kept_for_each_kind_and_expire);
}

int
main (void)
{
  return suite_run ("request_rank", add_tests, 20);
}

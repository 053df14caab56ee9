/* The admission queue of a server.  */
#include "lib/clock.h"
#include "lib/job_queue.h"
#include "regress/harness/suite.h"

#define SERVICE_US 70000

static struct cp_job_queue queue;

static enum cp_job_queue_result
submit (struct cp_job_queue_entry *entry, unsigned priority, uint64_t now,
        uint64_t wait_us)
{
  *entry = (struct cp_job_queue_entry){ .rank.priority = priority,
                                        .wait_until_us = now + wait_us };
  return cp_job_queue_submit (&queue, entry, now, SERVICE_US);
}

/* Uses the whole limit, 8, of a server with 10 slots.  */
static void
fill_slots (void)
{
  static struct cp_job_queue_entry entries[8];

  cp_job_queue_init (&queue);
  cp_job_queue_set_capacity (&queue, 10);
  for (unsigned i = 0; i < 8; i++)
    ck_assert_int_eq (submit (&entries[i], 1, 1, 0), CP_JOB_QUEUE_RUN);
}

START_TEST (a_fifth_of_the_slots_stays_free)
{
  struct cp_job_queue_entry entry;

  fill_slots ();
  ck_assert_int_eq (submit (&entry, 0, 1, 0), CP_JOB_QUEUE_REFUSE);
  cp_job_queue_set_capacity (&queue, 1);
  ck_assert_uint_eq (queue.limit, 1);
}
END_TEST

START_TEST (the_most_urgent_goes_first_then_the_oldest)
{
  struct cp_job_queue_entry low;
  struct cp_job_queue_entry high;
  struct cp_job_queue_entry higher;

  fill_slots ();
  ck_assert_int_eq (submit (&low, 2, 1, 100000), CP_JOB_QUEUE_WAIT);
  ck_assert_int_eq (submit (&high, 1, 2, 100000), CP_JOB_QUEUE_WAIT);
  ck_assert_int_eq (submit (&higher, 1, 3, 100000), CP_JOB_QUEUE_WAIT);
  ck_assert_ptr_null (cp_job_queue_start_next (&queue, 1));
  cp_job_queue_done (&queue);
  ck_assert_ptr_eq (cp_job_queue_start_next (&queue, 1), &high);
  ck_assert_ptr_null (cp_job_queue_start_next (&queue, 1));
  cp_job_queue_done (&queue);
  ck_assert_ptr_eq (cp_job_queue_start_next (&queue, 1), &higher);
  cp_job_queue_done (&queue);
  ck_assert_ptr_eq (cp_job_queue_start_next (&queue, 1), &low);
  ck_assert_uint_eq (queue.running, 8);
  ck_assert_uint_eq (queue.queued, 0);
}
END_TEST

START_TEST (a_wait_that_would_be_too_long_is_refused_at_once)
{
  struct cp_job_queue_entry entries[40];
  unsigned waiting = 0;

  fill_slots ();
  for (unsigned i = 0; i < 40; i++)
    waiting += submit (&entries[i], 1, 1, 50000) == CP_JOB_QUEUE_WAIT;
  /* Each of the 8 running entries takes 70 ms: 5 end within 50 ms.  */
  ck_assert_uint_eq (waiting, 5);
}
END_TEST

START_TEST (waits_expire_on_time)
{
  struct cp_job_queue_entry first;
  struct cp_job_queue_entry second;

  fill_slots ();
  submit (&first, 1, 1, 20000);
  submit (&second, 0, 1, 40000);
  ck_assert_ptr_null (cp_job_queue_take_expired (&queue, 20000));
  ck_assert_ptr_eq (cp_job_queue_take_expired (&queue, 20001), &first);
  ck_assert_ptr_null (cp_job_queue_take_expired (&queue, 20001));
  cp_job_queue_remove (&queue, &second);
  ck_assert_uint_eq (queue.queued, 0);
  cp_job_queue_remove (&queue, &second);
  ck_assert_uint_eq (queue.queued, 0);
}
END_TEST

/* Guards against a queue that starts more than the server's rate allows: an
   entry without a token waits for one, or is refused if it may not wait so
   long.  */
START_TEST (entries_wait_for_the_rate_of_the_server)
{
  struct cp_job_queue_entry first;
  struct cp_job_queue_entry second;
  struct cp_job_queue_entry third;

  cp_job_queue_init (&queue);
  cp_job_queue_set_capacity (&queue, 10);
  cp_rate_limit_set (&queue.rate, 20, 1);
  ck_assert_int_eq (submit (&first, 1, 1, 60000), CP_JOB_QUEUE_WAIT);
  ck_assert_int_eq (submit (&second, 1, 1, 60000), CP_JOB_QUEUE_REFUSE);
  ck_assert_int_eq (submit (&second, 1, 1, 101000), CP_JOB_QUEUE_WAIT);
  ck_assert_ptr_null (cp_job_queue_start_next (&queue, 49000));
  ck_assert_ptr_eq (cp_job_queue_start_next (&queue, 50002), &first);
  ck_assert_ptr_null (cp_job_queue_start_next (&queue, 99000));
  ck_assert_int_eq (submit (&third, 1, 99000, 0), CP_JOB_QUEUE_REFUSE);
  cp_rate_limit_lift (&queue.rate);
  ck_assert_ptr_eq (cp_job_queue_start_next (&queue, 99000), &second);
}
END_TEST

/* Guards against a server that looks free to other daemons while its rate
   allows it no request.  */
START_TEST (a_used_up_rate_is_reported_as_busy)
{
  cp_job_queue_init (&queue);
  cp_job_queue_set_capacity (&queue, 10);
  ck_assert_uint_eq (cp_job_queue_concurrency (&queue, SERVICE_US), 8);
  ck_assert_uint_eq (cp_job_queue_busy (&queue, 1, SERVICE_US), 0);
  cp_rate_limit_set (&queue.rate, 40, 1);
  ck_assert_uint_eq (cp_job_queue_concurrency (&queue, SERVICE_US), 3);
  ck_assert_uint_eq (cp_job_queue_busy (&queue, 1, SERVICE_US), 3);
  ck_assert_uint_eq (cp_job_queue_busy (&queue, 1000001, SERVICE_US), 0);
  cp_rate_limit_set (&queue.rate, 0, 1000001);
  ck_assert_uint_eq (cp_job_queue_concurrency (&queue, SERVICE_US), 1);
  ck_assert_uint_eq (cp_job_queue_busy (&queue, 60000000, SERVICE_US), 1);
}
END_TEST

/* Guards against a burst to a server whose rate is not known yet.  */
START_TEST (a_server_that_has_not_answered_gets_few_entries_at_once)
{
  struct cp_job_queue_entry entries[3];

  cp_job_queue_init (&queue);
  cp_job_queue_set_capacity (&queue, 10);
  queue.unproved = true;
  ck_assert_int_eq (submit (&entries[0], 1, 1, 100000), CP_JOB_QUEUE_RUN);
  ck_assert_int_eq (submit (&entries[1], 1, 1, 100000), CP_JOB_QUEUE_RUN);
  ck_assert_int_eq (submit (&entries[2], 1, 1, 100000), CP_JOB_QUEUE_WAIT);
  ck_assert_ptr_null (cp_job_queue_start_next (&queue, 2));
  queue.unproved = false;
  ck_assert_ptr_eq (cp_job_queue_start_next (&queue, 2), &entries[2]);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, a_fifth_of_the_slots_stays_free);
  tcase_add_test (tests, the_most_urgent_goes_first_then_the_oldest);
  tcase_add_test (tests, a_wait_that_would_be_too_long_is_refused_at_once);
  tcase_add_test (tests, waits_expire_on_time);
  tcase_add_test (tests, entries_wait_for_the_rate_of_the_server);
  tcase_add_test (tests, a_used_up_rate_is_reported_as_busy);
  tcase_add_test (tests,
                  a_server_that_has_not_answered_gets_few_entries_at_once);
}

int
main (void)
{
  return suite_run ("job_queue", add_tests, 20);
}

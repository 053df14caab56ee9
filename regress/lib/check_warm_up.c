/* The limit of requests to cold servers, under the loads that it answers.

   The bound: in no second does a cold server get more than the rate times 1.5
   plus 8 requests, from all daemons together.  It is checked over every second
   from the moment at which the server turns cold.  */
#include <glib.h>
#include <string.h>

#include "lib/clock.h"
#include "lib/job_queue.h"
#include "lib/warm_up.h"
#include "regress/harness/suite.h"

#define START_US (1000 * CP_US_PER_S)
#define SECONDS 12
#define MS (SECONDS * 1000)
#define PER_S 11.0
#define OVERSHOOT 1.5
#define SLACK 8.0
#define BOUND (PER_S * OVERSHOOT + SLACK)
#define DURATION_US (3 * CP_US_PER_S)

/* Requests of the busiest service seen, and the interval of health checks.  */
#define BUSY_PER_S 45
#define CHECK_MS 200

static struct cp_warm_up warm_up;
static unsigned starts[MS];

static uint64_t
at (unsigned ms)
{
  return START_US + ms * CP_US_PER_MS;
}

static void
begin (uint64_t entry_until_us)
{
  memset (starts, 0, sizeof starts);
  cp_warm_up_init (&warm_up);
  cp_warm_up_set_bounds (&warm_up, OVERSHOOT, SLACK);
  cp_warm_up_configure (&warm_up, DURATION_US, PER_S, true, START_US);
  cp_warm_up_begin (&warm_up, entry_until_us, START_US);
}

/* Offers DEMAND requests at MS.  */
static void
offer (unsigned ms, unsigned demand)
{
  for (unsigned i = 0; i < demand; i++)
    {
      cp_warm_up_update (&warm_up, at (ms));
      if (!cp_warm_up_allows (&warm_up, at (ms)))
        return;
      cp_warm_up_count (&warm_up, at (ms));
      starts[ms]++;
    }
}

/* Returns the requests of a load of PER_S, evenly spread, that arrive at
   MS.  */
static unsigned
demand_at (unsigned ms, unsigned per_s)
{
  return (ms + 1) * per_s / 1000 - ms * per_s / 1000;
}

/* Returns the most starts in any second from FROM_MS to TO_MS.  */
static unsigned
most_in_a_second (unsigned from_ms, unsigned to_ms)
{
  unsigned sum = 0;
  unsigned most = 0;

  for (unsigned ms = from_ms; ms < to_ms; ms++)
    {
      sum += starts[ms];
      if (ms >= from_ms + 1000)
        sum -= starts[ms - 1000];
      most = sum > most ? sum : most;
    }
  return most;
}

static unsigned
sum_of (unsigned from_ms, unsigned to_ms)
{
  unsigned sum = 0;

  for (unsigned ms = from_ms; ms < to_ms; ms++)
    sum += starts[ms];
  return sum;
}

static const unsigned loads[] = { 20, BUSY_PER_S, 300 };

/* Guards against too many requests to a warm server that turns cold
   unannounced under 45 requests a second (and 20): a health check tells of it
   up to 200 ms later.  What arrives in the meantime can't be limited, so the
   load of 300 is checked from the health check on.  */
START_TEST (a_server_that_turns_cold_gets_no_more_than_the_bound)
{
  const unsigned turns_ms = 4001;
  const unsigned told_ms = turns_ms + CHECK_MS;
  const unsigned warm_ms = turns_ms + 3000;

  begin (0);
  for (unsigned ms = 0; ms < MS; ms++)
    {
      if (ms % CHECK_MS == told_ms % CHECK_MS)
        cp_warm_up_read_check (
            &warm_up,
            ms >= turns_ms && ms < warm_ms ? (warm_ms - ms) * CP_US_PER_MS : 0,
            at (ms));
      offer (ms, demand_at (ms, loads[_i]));
    }
  ck_assert_double_le (
      most_in_a_second (loads[_i] > BUSY_PER_S ? told_ms : turns_ms, warm_ms),
      BOUND);
  ck_assert_uint_ge (most_in_a_second (warm_ms + CHECK_MS, MS), loads[_i] - 1);
}
END_TEST

/* Guards against a limit that wastes what a cold server takes.  */
START_TEST (a_cold_server_gets_nearly_its_rate)
{
  begin (at (MS));
  for (unsigned ms = 0; ms < MS; ms++)
    offer (ms, demand_at (ms, 300));
  ck_assert_uint_ge (sum_of (0, MS), 0.9 * PER_S * SECONDS);
  ck_assert_double_le (most_in_a_second (0, MS), BOUND);
}
END_TEST

/* Guards against bursts at the beginning and after a pause.  */
START_TEST (bursts_stay_within_the_bound)
{
  begin (at (MS));
  for (unsigned ms = 0; ms < MS; ms++)
    offer (ms, ms / 700 % 3 == 1 ? 5 : 0);
  ck_assert_double_le (most_in_a_second (0, MS), BOUND);
}
END_TEST

/* Guards against a second allowance after a restart of the daemon during the
   warm-up.  The new process knows neither the starts of the last second, nor
   for 60 ms the configuration, nor for 100 ms what the server says.  The entry
   is stale and says that the server is warm.  */
START_TEST (a_restart_of_the_daemon_keeps_the_bound)
{
  const unsigned restarts_ms = 1500 + 37 * (unsigned)_i;

  begin (at (MS));
  for (unsigned ms = 0; ms < MS; ms++)
    {
      if (ms == restarts_ms)
        {
          cp_warm_up_init (&warm_up);
          cp_warm_up_set_bounds (&warm_up, OVERSHOOT, SLACK);
          cp_warm_up_await_configuration (&warm_up);
        }
      if (ms == restarts_ms + 60)
        {
          cp_warm_up_begin (&warm_up, 0, at (ms));
          cp_warm_up_configure (&warm_up, DURATION_US, PER_S, true, at (ms));
          ck_assert (warm_up.cold);
        }
      if (ms == restarts_ms + 100)
        cp_warm_up_read_check (&warm_up, (MS - ms) * CP_US_PER_MS, at (ms));
      offer (ms, demand_at (ms, 300));
    }
  ck_assert_double_le (most_in_a_second (0, MS), BOUND);
}
END_TEST

/* Guards against a daemon that never lets its server serve because its
   configuration is late, and against one that sets no limit until then.  */
START_TEST (a_few_requests_start_before_the_configuration_is_known)
{
  memset (starts, 0, sizeof starts);
  cp_warm_up_init (&warm_up);
  cp_warm_up_set_bounds (&warm_up, OVERSHOOT, SLACK);
  cp_warm_up_await_configuration (&warm_up);
  for (unsigned ms = 0; ms < 3000; ms++)
    offer (ms, 1);
  ck_assert_uint_eq (most_in_a_second (0, 3000), SLACK / 2);
  cp_warm_up_configure (&warm_up, 0, 0, true, at (3000));
  offer (3000, 100);
  ck_assert_uint_eq (starts[3000], 100);
}
END_TEST

START_TEST (a_new_server_is_cold_unless_its_entry_says_warm)
{
  begin (UINT64_MAX);
  ck_assert (!warm_up.proved && warm_up.cold);
  cp_warm_up_read_check (&warm_up, 0, START_US);
  ck_assert (!warm_up.cold);
  cp_warm_up_begin (&warm_up, UINT64_MAX, at (1000));
  ck_assert_uint_eq (cp_warm_up_left_us (&warm_up, at (1000)), DURATION_US);
  cp_warm_up_update (&warm_up, at (1000) + DURATION_US);
  ck_assert (!warm_up.cold);
  cp_warm_up_begin (&warm_up, 0, at (9000));
  ck_assert (!warm_up.cold);
  cp_warm_up_begin (&warm_up, at (9500), at (9000));
  ck_assert_uint_eq (cp_warm_up_left_us (&warm_up, at (9000)), DURATION_US);
}
END_TEST

/* Guards against an entry that was written before the last health check and
   arrives after it.  */
START_TEST (a_stale_entry_shortens_nothing)
{
  begin (0);
  cp_warm_up_read_check (&warm_up, 2000 * CP_US_PER_MS, at (0));
  cp_warm_up_read_entry (&warm_up, at (500), at (10));
  cp_warm_up_read_entry (&warm_up, 0, at (20));
  ck_assert_uint_eq (cp_warm_up_left_us (&warm_up, at (20)),
                     1980 * CP_US_PER_MS);
  cp_warm_up_read_entry (&warm_up, at (5000), at (30));
  ck_assert_uint_eq (cp_warm_up_left_us (&warm_up, at (30)),
                     4970 * CP_US_PER_MS);
  /* The same entry again, after a health check that gives less.  */
  cp_warm_up_read_check (&warm_up, 100 * CP_US_PER_MS, at (40));
  cp_warm_up_read_entry (&warm_up, at (5000), at (50));
  ck_assert_uint_eq (cp_warm_up_left_us (&warm_up, at (50)),
                     90 * CP_US_PER_MS);
}
END_TEST

/* Guards against a health check without the header that ends the limit of a
   server known to be cold.  */
START_TEST (a_missing_time_keeps_the_last_one)
{
  begin (0);
  cp_warm_up_read_check (&warm_up, 500 * CP_US_PER_MS, at (0));
  cp_warm_up_read_bare_check (&warm_up, at (200));
  ck_assert_uint_eq (cp_warm_up_left_us (&warm_up, at (200)),
                     300 * CP_US_PER_MS);
  cp_warm_up_update (&warm_up, at (500));
  ck_assert (!warm_up.cold);
}
END_TEST

/* Guards against a limit that never ends at a service without health
   checks.  */
START_TEST (without_health_checks_the_time_proves_a_server_warm)
{
  cp_warm_up_init (&warm_up);
  cp_warm_up_await_configuration (&warm_up);
  cp_warm_up_begin (&warm_up, 0, START_US);
  cp_warm_up_configure (&warm_up, DURATION_US, PER_S, false, START_US);
  ck_assert (warm_up.cold);
  cp_warm_up_update (&warm_up, START_US + DURATION_US);
  ck_assert (!warm_up.cold);
}
END_TEST

/* Guards against services without a rate that get one, and against a rate that
   stays after the configuration has dropped it.  */
START_TEST (without_a_rate_there_is_no_limit)
{
  begin (UINT64_MAX);
  cp_warm_up_read_check (&warm_up, DURATION_US, at (0));
  ck_assert (warm_up.cold);
  cp_warm_up_configure (&warm_up, DURATION_US, 0, true, at (1));
  ck_assert (!warm_up.cold);
  offer (1, 1000);
  ck_assert_uint_eq (starts[1], 1000);
}
END_TEST

static enum cp_job_queue_result
submit (struct cp_job_queue *queue, struct cp_job_queue_entry *entry,
        unsigned ms, unsigned wait_ms)
{
  *entry = (struct cp_job_queue_entry){ .wait_until_us = at (ms + wait_ms) };
  return cp_job_queue_submit (queue, entry, at (ms), 60000);
}

/* Guards against a queue that lets a cold server have more because it names a
   limit of its own, or less because one of them took a token in vain.  */
START_TEST (both_limits_hold_in_the_queue)
{
  const double own_per_s[] = { 5, 20 };
  struct cp_job_queue queue;
  struct cp_job_queue_entry entry;
  unsigned count = 0;

  cp_job_queue_init (&queue);
  cp_job_queue_set_capacity (&queue, 1000);
  cp_warm_up_configure (&queue.warm_up, DURATION_US, PER_S, true, START_US);
  cp_warm_up_begin (&queue.warm_up, at (MS), START_US);
  cp_rate_limit_set (&queue.rate, own_per_s[_i], START_US);
  for (unsigned ms = 0; ms < MS; ms++)
    if (submit (&queue, &entry, ms, 0) == CP_JOB_QUEUE_RUN)
      {
        count++;
        cp_job_queue_done (&queue);
      }
  ck_assert_double_le (count, MIN (PER_S, own_per_s[_i]) * SECONDS + 3);
  ck_assert_double_ge (count, 0.9 * MIN (PER_S, own_per_s[_i]) * SECONDS);
}
END_TEST

/* Guards against a cold server that looks idle to senders, and against a
   request that waits longer for its turn than it may.  */
START_TEST (the_queue_tells_what_room_a_cold_server_has)
{
  struct cp_job_queue queue;
  struct cp_job_queue_entry entry;
  struct cp_job_queue_entry waiting;

  cp_job_queue_init (&queue);
  cp_job_queue_set_capacity (&queue, 13);
  cp_warm_up_configure (&queue.warm_up, DURATION_US, PER_S, true, START_US);
  cp_warm_up_begin (&queue.warm_up, at (MS), START_US);
  ck_assert_uint_eq (cp_job_queue_concurrency (&queue, 60000), 1);
  ck_assert_uint_eq (cp_job_queue_concurrency (&queue, 0), 1);
  ck_assert_uint_ge (cp_job_queue_busy (&queue, at (0), 60000), 1);
  ck_assert_uint_eq (cp_job_queue_busy (&queue, at (100), 60000), 0);
  ck_assert_int_eq (submit (&queue, &entry, 100, 0), CP_JOB_QUEUE_RUN);
  cp_job_queue_done (&queue);
  ck_assert_uint_ge (cp_job_queue_busy (&queue, at (100), 60000), 1);
  ck_assert_int_eq (submit (&queue, &entry, 100, 50), CP_JOB_QUEUE_REFUSE);
  ck_assert_int_eq (submit (&queue, &waiting, 100, 100), CP_JOB_QUEUE_WAIT);
  ck_assert_ptr_null (cp_job_queue_start_next (&queue, at (110)));
  ck_assert_ptr_eq (cp_job_queue_start_next (&queue, at (200)), &waiting);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (
      tests, a_server_that_turns_cold_gets_no_more_than_the_bound, 0, 3);
  tcase_add_test (tests, a_cold_server_gets_nearly_its_rate);
  tcase_add_test (tests, bursts_stay_within_the_bound);
  tcase_add_loop_test (tests, a_restart_of_the_daemon_keeps_the_bound, 0, 28);
  tcase_add_test (tests,
                  a_few_requests_start_before_the_configuration_is_known);
  tcase_add_test (tests, a_new_server_is_cold_unless_its_entry_says_warm);
  tcase_add_test (tests, a_stale_entry_shortens_nothing);
  tcase_add_test (tests, a_missing_time_keeps_the_last_one);
  tcase_add_test (tests, without_health_checks_the_time_proves_a_server_warm);
  tcase_add_test (tests, without_a_rate_there_is_no_limit);
  tcase_add_loop_test (tests, both_limits_hold_in_the_queue, 0, 2);
  tcase_add_test (tests, the_queue_tells_what_room_a_cold_server_has);
}

int
main (void)
{
  return suite_run ("warm_up", add_tests, 20);
}

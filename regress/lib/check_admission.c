/* Admission on a virtual clock: a target is played by calls that leave at the
   times drawn for them.  */
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "lib/admission.h"
#include "regress/harness/suite.h"

#define SLOTS 12
#define CALLS_MAX 20000
#define NEVER UINT64_MAX
#define STEP_US 200

/* One call of a played load.  */
struct played
{
  struct cp_ticket ticket;
  char vm[16];
  uint64_t ends_us; /* 0 until it was admitted */
  uint64_t started_us;
  bool over;
};

/* A target with one load.  */
struct play
{
  struct cp_virtual_clock clock;
  struct cp_seeded_random random;
  struct cp_admission admission;
  struct played *calls;
  unsigned count;
  uint64_t service_us;
  unsigned most_in_flight;
};

static void
play_init (struct play *play, uint64_t seed)
{
  memset (play, 0, sizeof *play);
  cp_virtual_clock_init (&play->clock, CP_US_PER_S);
  cp_seeded_random_init (&play->random, seed);
  cp_admission_init (&play->admission, &play->clock.clock, SLOTS);
  play->calls = calloc (CALLS_MAX, sizeof *play->calls);
  ck_assert_ptr_nonnull (play->calls);
  play->service_us = 10000;
}

static void
play_finish (struct play *play)
{
  cp_admission_finish (&play->admission);
  cp_seeded_random_finish (&play->random);
  free (play->calls);
}

static struct played *
play_ask (struct play *play, const char *vm, enum cp_priority priority,
          uint64_t deadline_us)
{
  struct played *call = &play->calls[play->count++];

  ck_assert_uint_lt (play->count, CALLS_MAX);
  snprintf (call->vm, sizeof call->vm, "%s", vm);
  cp_admission_ask (&play->admission, &call->ticket, priority, vm,
                    deadline_us);
  return call;
}

/* Starts what was admitted and ends what is done.  */
static void
play_target (struct play *play)
{
  uint64_t now = play->clock.time_us;

  for (unsigned i = 0; i < play->count; i++)
    {
      struct played *call = &play->calls[i];

      if (call->over || call->ticket.waiting)
        continue;
      if (call->ticket.result != CP_ADMITTED)
        {
          call->over = true;
          continue;
        }
      if (call->ends_us == 0)
        {
          call->started_us = now;
          call->ends_us
              = now + play->service_us / 2
                + cp_random_below (&play->random.random, play->service_us);
        }
      if (now < call->ends_us)
        continue;
      call->over = true;
      cp_admission_leave (&play->admission, call->vm, now - call->started_us,
                          false);
    }
  if (play->admission.in_flight > play->most_in_flight)
    play->most_in_flight = play->admission.in_flight;
}

static void
play_step (struct play *play)
{
  play->clock.time_us += STEP_US;
  play_target (play);
}

/* Counts the calls of VM, or of all for NULL, that had RESULT.  */
static unsigned
play_count (const struct play *play, const char *vm,
            enum cp_admission_result result)
{
  unsigned count = 0;

  for (unsigned i = 0; i < play->count; i++)
    if (!play->calls[i].ticket.waiting
        && play->calls[i].ticket.result == result
        && (vm == NULL || strcmp (vm, play->calls[i].vm) == 0))
      count++;
  return count;
}

START_TEST (slots_are_never_passed)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct play play;

      play_init (&play, seed);
      for (unsigned i = 0; i < 5000; i++)
        {
          if (cp_random_below (&play.random.random, 2) == 0)
            play_ask (&play, "vm-1", CP_PRIORITY_NORMAL, NEVER);
          play_step (&play);
          ck_assert_uint_le (play.admission.in_flight, SLOTS);
        }
      ck_assert_uint_gt (play_count (&play, NULL, CP_ADMISSION_FULL), 0);
      play_finish (&play);
    }
}
END_TEST

START_TEST (a_burst_waits_and_a_standing_queue_is_shed)
{
  struct play play;

  play_init (&play, 1);
  for (unsigned i = 0; i < 2 * SLOTS; i++)
    play_ask (&play, "vm-1", CP_PRIORITY_NORMAL, NEVER);
  for (unsigned i = 0; i < 500; i++)
    play_step (&play);
  ck_assert_uint_eq (play_count (&play, NULL, CP_ADMITTED), 2 * SLOTS);
  for (unsigned i = 0; i < 3000; i++)
    {
      play_ask (&play, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      play_step (&play);
    }
  ck_assert_uint_gt (play_count (&play, NULL, CP_ADMISSION_FULL), 1000);
  play_finish (&play);
}
END_TEST

START_TEST (no_call_waits_longer_than_the_bound)
{
  struct play play;
  uint64_t longest = 0;

  play_init (&play, 2);
  for (unsigned i = 0; i < 5000; i++)
    {
      if (cp_random_below (&play.random.random, 3) > 0)
        play_ask (&play, i % 2 ? "vm-1" : "vm-2", CP_PRIORITY_NORMAL, NEVER);
      play_step (&play);
    }
  for (unsigned i = 0; i < play.count; i++)
    if (play.calls[i].ends_us != 0
        && play.calls[i].started_us - play.calls[i].ticket.arrived_us
               > longest)
      longest = play.calls[i].started_us - play.calls[i].ticket.arrived_us;
  ck_assert_uint_le (longest, CP_ADMISSION_INTERVAL_US + STEP_US);
  play_finish (&play);
}
END_TEST

START_TEST (the_lowest_class_is_shed_first)
{
  struct play play;
  unsigned asked[CP_PRIORITY_COUNT] = { 0 };
  unsigned admitted[CP_PRIORITY_COUNT] = { 0 };

  play_init (&play, 3);
  for (unsigned i = 0; i < 6000; i++)
    {
      enum cp_priority priority
          = (enum cp_priority)cp_random_below (&play.random.random, 3);

      if (i % 2 == 0)
        play_ask (&play, "vm-1", priority, NEVER);
      play_step (&play);
    }
  for (unsigned i = 0; i < play.count; i++)
    {
      enum cp_priority priority = play.calls[i].ticket.priority;

      asked[priority]++;
      admitted[priority] += play.calls[i].ticket.result == CP_ADMITTED;
    }
  /* Twice the capacity comes in: the third that is of the highest class
     fits.  */
  ck_assert_uint_ge (admitted[CP_PRIORITY_HIGH] * 100,
                     asked[CP_PRIORITY_HIGH] * 95);
  ck_assert_uint_lt (admitted[CP_PRIORITY_LOW] * asked[CP_PRIORITY_NORMAL],
                     admitted[CP_PRIORITY_NORMAL] * asked[CP_PRIORITY_LOW]);
  play_finish (&play);
}
END_TEST

START_TEST (one_vm_can_not_fill_the_target)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct play play;
      unsigned asked = 0;

      play_init (&play, seed);
      for (unsigned i = 0; i < 4000; i++)
        {
          play_ask (&play, "flood", CP_PRIORITY_NORMAL, NEVER);
          play_ask (&play, "flood", CP_PRIORITY_NORMAL, NEVER);
          /* The small VM uses a quarter of what the target can do: below its
             half.  */
          if (i % 16 == 0)
            {
              play_ask (&play, "small", CP_PRIORITY_NORMAL, NEVER);
              asked++;
            }
          play_step (&play);
        }
      for (unsigned i = 0; i < 1000; i++)
        play_step (&play);
      ck_assert_uint_eq (play_count (&play, "small", CP_ADMITTED), asked);
      ck_assert_uint_gt (play_count (&play, "flood", CP_ADMISSION_FULL), 0);
      play_finish (&play);
    }
}
END_TEST

START_TEST (two_that_contend_get_equal_shares)
{
  struct play play;
  unsigned first, second;

  play_init (&play, 4);
  for (unsigned i = 0; i < 4000; i++)
    {
      play_ask (&play, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      play_ask (&play, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      play_ask (&play, "vm-2", CP_PRIORITY_NORMAL, NEVER);
      play_step (&play);
    }
  first = play_count (&play, "vm-1", CP_ADMITTED);
  second = play_count (&play, "vm-2", CP_ADMITTED);
  ck_assert_uint_ge (second * 10, first * 9);
  ck_assert_uint_le (second * 9, first * 10);
  play_finish (&play);
}
END_TEST

START_TEST (a_deadline_that_can_not_be_met_is_refused_at_once)
{
  struct play play;
  struct played *call;

  play_init (&play, 5);
  call = play_ask (&play, "vm-1", CP_PRIORITY_HIGH, play.clock.time_us);
  ck_assert_int_eq (call->ticket.result, CP_ADMISSION_DEADLINE);
  for (unsigned i = 0; i < 2000; i++)
    {
      if (i % 10 == 0)
        play_ask (&play, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      play_step (&play);
    }
  /* No call takes less than 5 ms at this target.  */
  call = play_ask (&play, "vm-1", CP_PRIORITY_HIGH, play.clock.time_us + 4000);
  ck_assert (!call->ticket.waiting);
  ck_assert_int_eq (call->ticket.result, CP_ADMISSION_DEADLINE);
  call = play_ask (&play, "vm-1", CP_PRIORITY_HIGH,
                   play.clock.time_us + 100000);
  ck_assert_int_eq (call->ticket.result, CP_ADMITTED);
  play_finish (&play);
}
END_TEST

START_TEST (an_old_estimate_does_not_refuse_for_good)
{
  struct play play;
  struct played *call;

  play_init (&play, 6);
  play.service_us = 400000;
  for (unsigned i = 0; i < 20000; i++)
    {
      if (i % 200 == 0)
        play_ask (&play, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      play_step (&play);
    }
  play.clock.time_us += 5 * CP_US_PER_S;
  play_target (&play);
  play.clock.time_us += 5 * CP_US_PER_S;
  call = play_ask (&play, "vm-1", CP_PRIORITY_NORMAL,
                   play.clock.time_us + 100000);
  ck_assert_int_eq (call->ticket.result, CP_ADMITTED);
  play_finish (&play);
}
END_TEST

START_TEST (the_limit_follows_the_latency)
{
  struct play play;
  unsigned slow;

  play_init (&play, 7);
  for (unsigned i = 0; i < 5000; i++)
    {
      if (i % 5 == 0)
        play_ask (&play, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      play_step (&play);
    }
  ck_assert_uint_eq (cp_limit_value (&play.admission.limit), SLOTS);
  play.service_us = 100000;
  for (unsigned i = 0; i < 5000; i++)
    {
      if (i % 5 == 0)
        play_ask (&play, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      play_step (&play);
    }
  slow = cp_limit_value (&play.admission.limit);
  ck_assert_uint_lt (slow, SLOTS);
  ck_assert_uint_ge (slow, 3);
  play.service_us = 10000;
  for (unsigned i = 0; i < 5000; i++)
    {
      if (i % 3 == 0)
        play_ask (&play, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      play_step (&play);
    }
  ck_assert_uint_eq (cp_limit_value (&play.admission.limit), SLOTS);
  play_finish (&play);
}
END_TEST

START_TEST (a_withdrawn_call_leaves_the_queue)
{
  struct play play;
  struct played *waiting;
  struct played *next;

  play_init (&play, 8);
  for (unsigned i = 0; i < SLOTS; i++)
    play_ask (&play, "vm-1", CP_PRIORITY_NORMAL, NEVER);
  waiting = play_ask (&play, "vm-2", CP_PRIORITY_NORMAL, NEVER);
  next = play_ask (&play, "vm-2", CP_PRIORITY_NORMAL, NEVER);
  ck_assert (waiting->ticket.waiting);
  cp_admission_withdraw (&play.admission, &waiting->ticket, CP_ADMISSION_GONE);
  ck_assert_uint_eq (play.admission.waiting, 1);
  for (unsigned i = 0; i < 200; i++)
    play_step (&play);
  ck_assert_int_eq (waiting->ticket.result, CP_ADMISSION_GONE);
  ck_assert_int_eq (next->ticket.result, CP_ADMITTED);
  ck_assert_uint_eq (play.admission.in_flight, 0);
  play_finish (&play);
}
END_TEST

static bool
has_left (void *context)
{
  return __atomic_load_n ((bool *)context, __ATOMIC_RELAXED);
}

/* A call that waits in a thread of its own.  */
struct waiter
{
  struct cp_admission *admission;
  bool left;
  enum cp_admission_result result;
};

static void *
enter (void *context)
{
  struct waiter *waiter = context;
  const struct cp_presence presence = { has_left, &waiter->left };

  waiter->result = cp_admission_enter (waiter->admission, CP_PRIORITY_NORMAL,
                                       "vm-1", NEVER, &presence);
  return NULL;
}

START_TEST (threads_wait_for_a_slot_or_the_end_of_their_caller)
{
  struct cp_virtual_clock clock;
  struct cp_admission admission;
  struct cp_inbound_stats own;
  struct cp_report report;
  struct waiter waiters[2]
      = { { .admission = &admission }, { .admission = &admission } };
  pthread_t threads[2];

  cp_virtual_clock_init (&clock, 1);
  cp_admission_init (&admission, &clock.clock, 1);
  ck_assert_int_eq (
      cp_admission_enter (&admission, CP_PRIORITY_NORMAL, "vm-1", NEVER, NULL),
      CP_ADMITTED);
  for (unsigned i = 0; i < 2; i++)
    {
      pthread_create (&threads[i], NULL, enter, &waiters[i]);
      do
        {
          usleep (1000);
          cp_admission_report (&admission, &report);
        }
      while (report.queued <= i);
    }
  __atomic_store_n (&waiters[1].left, true, __ATOMIC_RELAXED);
  pthread_join (threads[1], NULL);
  ck_assert_int_eq (waiters[1].result, CP_ADMISSION_GONE);
  cp_admission_leave (&admission, "vm-1", 1, false);
  pthread_join (threads[0], NULL);
  ck_assert_int_eq (waiters[0].result, CP_ADMITTED);
  cp_admission_view (&admission, &own);
  ck_assert_uint_eq (own.in_flight, 1);
  ck_assert_uint_eq (own.arrivals, 3);
  cp_admission_leave (&admission, "vm-1", 1, false);
  cp_admission_finish (&admission);
}
END_TEST

/* A clock that moves by 1 us whenever a thread reads it.  */
static uint64_t
read_ticks (void *context)
{
  return __atomic_add_fetch ((uint64_t *)context, 1, __ATOMIC_RELAXED);
}

#define FLOODERS 8
#define SMALL_CALLS 5000

/* Threads that enter and leave without a pause.  */
struct flood
{
  struct cp_admission *admission;
  bool stop;
};

static void *
run_flood (void *context)
{
  struct flood *flood = context;

  while (!__atomic_load_n (&flood->stop, __ATOMIC_RELAXED))
    if (cp_admission_enter (flood->admission, CP_PRIORITY_NORMAL, "flood",
                            NEVER, NULL)
        == CP_ADMITTED)
      cp_admission_leave (flood->admission, "flood", 10, false);
  return NULL;
}

START_TEST (threads_that_flood_leave_another_its_share)
{
  uint64_t ticks = 1;
  const struct cp_clock clock = { read_ticks, &ticks };
  struct cp_admission admission;
  struct flood flood = { .admission = &admission };
  pthread_t threads[FLOODERS];

  cp_admission_init (&admission, &clock, 3);
  for (unsigned i = 0; i < FLOODERS; i++)
    pthread_create (&threads[i], NULL, run_flood, &flood);
  for (unsigned i = 0; i < SMALL_CALLS; i++)
    {
      ck_assert_int_eq (cp_admission_enter (&admission, CP_PRIORITY_NORMAL,
                                            "small", NEVER, NULL),
                        CP_ADMITTED);
      cp_admission_leave (&admission, "small", 10, false);
    }
  __atomic_store_n (&flood.stop, true, __ATOMIC_RELAXED);
  for (unsigned i = 0; i < FLOODERS; i++)
    pthread_join (threads[i], NULL);
  cp_admission_finish (&admission);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, slots_are_never_passed);
  tcase_add_test (tests, a_burst_waits_and_a_standing_queue_is_shed);
  tcase_add_test (tests, no_call_waits_longer_than_the_bound);
  tcase_add_test (tests, the_lowest_class_is_shed_first);
  tcase_add_test (tests, one_vm_can_not_fill_the_target);
  tcase_add_test (tests, two_that_contend_get_equal_shares);
  tcase_add_test (tests, a_deadline_that_can_not_be_met_is_refused_at_once);
  tcase_add_test (tests, an_old_estimate_does_not_refuse_for_good);
  tcase_add_test (tests, the_limit_follows_the_latency);
  tcase_add_test (tests, a_withdrawn_call_leaves_the_queue);
  tcase_add_test (tests, threads_wait_for_a_slot_or_the_end_of_their_caller);
  tcase_add_test (tests, threads_that_flood_leave_another_its_share);
}

int
main (void)
{
  return suite_run ("admission", add_tests, 60);
}

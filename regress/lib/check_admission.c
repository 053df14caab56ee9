/* Admission under simulated load on a virtual clock: a simulated target ends
   each admitted call after a random service time.  */
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

/* A simulated call.  */
struct simulated_call
{
  struct cp_ticket ticket;
  char vm[16];
  uint64_t ends_us; /* 0 until the call has started */
  uint64_t started_us;
  bool finished;
};

/* A simulated target with its admission and its calls.  */
struct simulation
{
  struct cp_virtual_clock clock;
  struct cp_seeded_random random;
  struct cp_admission admission;
  struct simulated_call *calls;
  unsigned count;
  uint64_t service_us;
  unsigned most_in_flight;
};

static void
simulation_init (struct simulation *simulation, uint64_t seed)
{
  memset (simulation, 0, sizeof *simulation);
  cp_virtual_clock_init (&simulation->clock, CP_US_PER_S);
  cp_seeded_random_init (&simulation->random, seed);
  cp_admission_init (&simulation->admission, &simulation->clock.clock, SLOTS);
  simulation->calls = calloc (CALLS_MAX, sizeof *simulation->calls);
  ck_assert_ptr_nonnull (simulation->calls);
  simulation->service_us = 10000;
}

static void
simulation_finish (struct simulation *simulation)
{
  cp_admission_finish (&simulation->admission);
  cp_seeded_random_finish (&simulation->random);
  free (simulation->calls);
}

static struct simulated_call *
simulation_request (struct simulation *simulation, const char *vm,
                    enum cp_priority priority, uint64_t deadline_us)
{
  struct simulated_call *call = &simulation->calls[simulation->count++];

  ck_assert_uint_lt (simulation->count, CALLS_MAX);
  snprintf (call->vm, sizeof call->vm, "%s", vm);
  cp_admission_request (&simulation->admission, &call->ticket, priority, vm,
                        deadline_us);
  return call;
}

/* Starts the admitted calls and ends those whose service time is over.  */
static void
simulation_run_target (struct simulation *simulation)
{
  uint64_t now = simulation->clock.time_us;

  for (unsigned i = 0; i < simulation->count; i++)
    {
      struct simulated_call *call = &simulation->calls[i];

      if (call->finished || call->ticket.waiting)
        continue;
      if (call->ticket.result != CP_ADMITTED)
        {
          call->finished = true;
          continue;
        }
      if (call->ends_us == 0)
        {
          call->started_us = now;
          call->ends_us = now + simulation->service_us / 2
                          + cp_random_below (&simulation->random.random,
                                             simulation->service_us);
        }
      if (now < call->ends_us)
        continue;
      call->finished = true;
      cp_admission_leave (&simulation->admission, call->vm,
                          now - call->started_us, false);
    }
  if (simulation->admission.in_flight > simulation->most_in_flight)
    simulation->most_in_flight = simulation->admission.in_flight;
}

static void
simulation_step (struct simulation *simulation)
{
  simulation->clock.time_us += STEP_US;
  simulation_run_target (simulation);
}

/* Counts the calls of VM, or of all VMs for NULL, that had RESULT.  */
static unsigned
simulation_count (const struct simulation *simulation, const char *vm,
                  enum cp_admission_result result)
{
  unsigned count = 0;

  for (unsigned i = 0; i < simulation->count; i++)
    if (!simulation->calls[i].ticket.waiting
        && simulation->calls[i].ticket.result == result
        && (vm == NULL || strcmp (vm, simulation->calls[i].vm) == 0))
      count++;
  return count;
}

START_TEST (slots_are_never_exceeded)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct simulation simulation;

      simulation_init (&simulation, seed);
      for (unsigned i = 0; i < 5000; i++)
        {
          if (cp_random_below (&simulation.random.random, 2) == 0)
            simulation_request (&simulation, "vm-1", CP_PRIORITY_NORMAL,
                                NEVER);
          simulation_step (&simulation);
          ck_assert_uint_le (simulation.admission.in_flight, SLOTS);
        }
      ck_assert_uint_gt (
          simulation_count (&simulation, NULL, CP_ADMISSION_FULL), 0);
      simulation_finish (&simulation);
    }
}
END_TEST

START_TEST (a_burst_waits_and_a_standing_queue_is_shed)
{
  struct simulation simulation;

  simulation_init (&simulation, 1);
  for (unsigned i = 0; i < 2 * SLOTS; i++)
    simulation_request (&simulation, "vm-1", CP_PRIORITY_NORMAL, NEVER);
  for (unsigned i = 0; i < 500; i++)
    simulation_step (&simulation);
  ck_assert_uint_eq (simulation_count (&simulation, NULL, CP_ADMITTED),
                     2 * SLOTS);
  for (unsigned i = 0; i < 3000; i++)
    {
      simulation_request (&simulation, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      simulation_step (&simulation);
    }
  ck_assert_uint_gt (simulation_count (&simulation, NULL, CP_ADMISSION_FULL),
                     1000);
  simulation_finish (&simulation);
}
END_TEST

START_TEST (no_call_waits_longer_than_the_bound)
{
  struct simulation simulation;
  uint64_t longest = 0;

  simulation_init (&simulation, 2);
  for (unsigned i = 0; i < 5000; i++)
    {
      if (cp_random_below (&simulation.random.random, 3) > 0)
        simulation_request (&simulation, i % 2 ? "vm-1" : "vm-2",
                            CP_PRIORITY_NORMAL, NEVER);
      simulation_step (&simulation);
    }
  for (unsigned i = 0; i < simulation.count; i++)
    if (simulation.calls[i].ends_us != 0
        && simulation.calls[i].started_us
                   - simulation.calls[i].ticket.arrived_us
               > longest)
      longest = simulation.calls[i].started_us
                - simulation.calls[i].ticket.arrived_us;
  ck_assert_uint_le (longest, CP_ADMISSION_INTERVAL_US + STEP_US);
  simulation_finish (&simulation);
}
END_TEST

START_TEST (the_lowest_class_is_shed_first)
{
  struct simulation simulation;
  unsigned requested[CP_PRIORITY_COUNT] = { 0 };
  unsigned admitted[CP_PRIORITY_COUNT] = { 0 };

  simulation_init (&simulation, 3);
  for (unsigned i = 0; i < 6000; i++)
    {
      enum cp_priority priority
          = (enum cp_priority)cp_random_below (&simulation.random.random, 3);

      if (i % 2 == 0)
        simulation_request (&simulation, "vm-1", priority, NEVER);
      simulation_step (&simulation);
    }
  for (unsigned i = 0; i < simulation.count; i++)
    {
      enum cp_priority priority = simulation.calls[i].ticket.priority;

      requested[priority]++;
      admitted[priority] += simulation.calls[i].ticket.result == CP_ADMITTED;
    }
  /* The load is twice the capacity; the third of it that is of the highest
     class fits.  */
  ck_assert_uint_ge (admitted[CP_PRIORITY_HIGH] * 100,
                     requested[CP_PRIORITY_HIGH] * 95);
  ck_assert_uint_lt (admitted[CP_PRIORITY_LOW] * requested[CP_PRIORITY_NORMAL],
                     admitted[CP_PRIORITY_NORMAL]
                         * requested[CP_PRIORITY_LOW]);
  simulation_finish (&simulation);
}
END_TEST

START_TEST (one_vm_cannot_fill_the_target)
{
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      struct simulation simulation;
      unsigned requested = 0;

      simulation_init (&simulation, seed);
      for (unsigned i = 0; i < 4000; i++)
        {
          simulation_request (&simulation, "flood", CP_PRIORITY_NORMAL, NEVER);
          simulation_request (&simulation, "flood", CP_PRIORITY_NORMAL, NEVER);
          /* The small VM uses a quarter of the target's capacity, less than
             its fair share of one half.  */
          if (i % 16 == 0)
            {
              simulation_request (&simulation, "small", CP_PRIORITY_NORMAL,
                                  NEVER);
              requested++;
            }
          simulation_step (&simulation);
        }
      for (unsigned i = 0; i < 1000; i++)
        simulation_step (&simulation);
      ck_assert_uint_eq (simulation_count (&simulation, "small", CP_ADMITTED),
                         requested);
      ck_assert_uint_gt (
          simulation_count (&simulation, "flood", CP_ADMISSION_FULL), 0);
      simulation_finish (&simulation);
    }
}
END_TEST

START_TEST (contending_vms_get_equal_shares)
{
  struct simulation simulation;
  unsigned first, second;

  simulation_init (&simulation, 4);
  for (unsigned i = 0; i < 4000; i++)
    {
      simulation_request (&simulation, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      simulation_request (&simulation, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      simulation_request (&simulation, "vm-2", CP_PRIORITY_NORMAL, NEVER);
      simulation_step (&simulation);
    }
  first = simulation_count (&simulation, "vm-1", CP_ADMITTED);
  second = simulation_count (&simulation, "vm-2", CP_ADMITTED);
  ck_assert_uint_ge (second * 10, first * 9);
  ck_assert_uint_le (second * 9, first * 10);
  simulation_finish (&simulation);
}
END_TEST

START_TEST (a_deadline_that_cannot_be_met_is_refused_at_once)
{
  struct simulation simulation;
  struct simulated_call *call;

  simulation_init (&simulation, 5);
  call = simulation_request (&simulation, "vm-1", CP_PRIORITY_HIGH,
                             simulation.clock.time_us);
  ck_assert_int_eq (call->ticket.result, CP_ADMISSION_DEADLINE);
  for (unsigned i = 0; i < 2000; i++)
    {
      if (i % 10 == 0)
        simulation_request (&simulation, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      simulation_step (&simulation);
    }
  /* No call takes less than 5 ms at this target.  */
  call = simulation_request (&simulation, "vm-1", CP_PRIORITY_HIGH,
                             simulation.clock.time_us + 4000);
  ck_assert (!call->ticket.waiting);
  ck_assert_int_eq (call->ticket.result, CP_ADMISSION_DEADLINE);
  call = simulation_request (&simulation, "vm-1", CP_PRIORITY_HIGH,
                             simulation.clock.time_us + 100000);
  ck_assert_int_eq (call->ticket.result, CP_ADMITTED);
  simulation_finish (&simulation);
}
END_TEST

START_TEST (a_stale_estimate_does_not_refuse_calls)
{
  struct simulation simulation;
  struct simulated_call *call;

  simulation_init (&simulation, 6);
  simulation.service_us = 400000;
  for (unsigned i = 0; i < 20000; i++)
    {
      if (i % 200 == 0)
        simulation_request (&simulation, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      simulation_step (&simulation);
    }
  simulation.clock.time_us += 5 * CP_US_PER_S;
  simulation_run_target (&simulation);
  simulation.clock.time_us += 5 * CP_US_PER_S;
  call = simulation_request (&simulation, "vm-1", CP_PRIORITY_NORMAL,
                             simulation.clock.time_us + 100000);
  ck_assert_int_eq (call->ticket.result, CP_ADMITTED);
  simulation_finish (&simulation);
}
END_TEST

START_TEST (the_limit_follows_the_latency)
{
  struct simulation simulation;
  unsigned slow;

  simulation_init (&simulation, 7);
  for (unsigned i = 0; i < 5000; i++)
    {
      if (i % 5 == 0)
        simulation_request (&simulation, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      simulation_step (&simulation);
    }
  ck_assert_uint_eq (cp_limit_value (&simulation.admission.limit), SLOTS);
  simulation.service_us = 100000;
  for (unsigned i = 0; i < 5000; i++)
    {
      if (i % 5 == 0)
        simulation_request (&simulation, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      simulation_step (&simulation);
    }
  slow = cp_limit_value (&simulation.admission.limit);
  ck_assert_uint_lt (slow, SLOTS);
  ck_assert_uint_ge (slow, 3);
  simulation.service_us = 10000;
  for (unsigned i = 0; i < 5000; i++)
    {
      if (i % 3 == 0)
        simulation_request (&simulation, "vm-1", CP_PRIORITY_NORMAL, NEVER);
      simulation_step (&simulation);
    }
  ck_assert_uint_eq (cp_limit_value (&simulation.admission.limit), SLOTS);
  simulation_finish (&simulation);
}
END_TEST

START_TEST (a_withdrawn_call_leaves_the_queue)
{
  struct simulation simulation;
  struct simulated_call *waiting;
  struct simulated_call *next;

  simulation_init (&simulation, 8);
  for (unsigned i = 0; i < SLOTS; i++)
    simulation_request (&simulation, "vm-1", CP_PRIORITY_NORMAL, NEVER);
  waiting
      = simulation_request (&simulation, "vm-2", CP_PRIORITY_NORMAL, NEVER);
  next = simulation_request (&simulation, "vm-2", CP_PRIORITY_NORMAL, NEVER);
  ck_assert (waiting->ticket.waiting);
  cp_admission_withdraw (&simulation.admission, &waiting->ticket,
                         CP_ADMISSION_CALLER_GONE);
  ck_assert_uint_eq (simulation.admission.waiting, 1);
  for (unsigned i = 0; i < 200; i++)
    simulation_step (&simulation);
  ck_assert_int_eq (waiting->ticket.result, CP_ADMISSION_CALLER_GONE);
  ck_assert_int_eq (next->ticket.result, CP_ADMITTED);
  ck_assert_uint_eq (simulation.admission.in_flight, 0);
  simulation_finish (&simulation);
}
END_TEST

static bool
has_left (void *context)
{
  return __atomic_load_n ((bool *)context, __ATOMIC_RELAXED);
}

/* A call that waits in its own thread.  */
struct waiter
{
  struct cp_admission *admission;
  bool left;
  enum cp_admission_result result;
};

static void *
enter_admission (void *context)
{
  struct waiter *waiter = context;
  const struct cp_caller_presence presence = { has_left, &waiter->left };

  waiter->result = cp_admission_enter (waiter->admission, CP_PRIORITY_NORMAL,
                                       "vm-1", NEVER, &presence);
  return NULL;
}

START_TEST (threads_wait_for_a_slot_or_a_disconnect)
{
  struct cp_virtual_clock clock;
  struct cp_admission admission;
  struct cp_inbound_stats own;
  struct cp_load_report report;
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
      pthread_create (&threads[i], NULL, enter_admission, &waiters[i]);
      do
        {
          usleep (1000);
          cp_admission_report (&admission, &report);
        }
      while (report.queued <= i);
    }
  __atomic_store_n (&waiters[1].left, true, __ATOMIC_RELAXED);
  pthread_join (threads[1], NULL);
  ck_assert_int_eq (waiters[1].result, CP_ADMISSION_CALLER_GONE);
  cp_admission_leave (&admission, "vm-1", 1, false);
  pthread_join (threads[0], NULL);
  ck_assert_int_eq (waiters[0].result, CP_ADMITTED);
  cp_admission_get_stats (&admission, &own);
  ck_assert_uint_eq (own.in_flight, 1);
  ck_assert_uint_eq (own.arrivals, 3);
  cp_admission_leave (&admission, "vm-1", 1, false);
  cp_admission_finish (&admission);
}
END_TEST

/* A clock that advances by 1 us at each read by any thread.  */
static uint64_t
read_ticks (void *context)
{
  return __atomic_add_fetch ((uint64_t *)context, 1, __ATOMIC_RELAXED);
}

#define FLOODERS 8
#define SMALL_CALLS 5000

/* Threads that enter and leave without pausing.  */
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

START_TEST (flooding_threads_leave_another_vm_its_share)
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
  tcase_add_test (tests, slots_are_never_exceeded);
  tcase_add_test (tests, a_burst_waits_and_a_standing_queue_is_shed);
  tcase_add_test (tests, no_call_waits_longer_than_the_bound);
  tcase_add_test (tests, the_lowest_class_is_shed_first);
  tcase_add_test (tests, one_vm_cannot_fill_the_target);
  tcase_add_test (tests, contending_vms_get_equal_shares);
  tcase_add_test (tests, a_deadline_that_cannot_be_met_is_refused_at_once);
  tcase_add_test (tests, a_stale_estimate_does_not_refuse_calls);
  tcase_add_test (tests, the_limit_follows_the_latency);
  tcase_add_test (tests, a_withdrawn_call_leaves_the_queue);
  tcase_add_test (tests, threads_wait_for_a_slot_or_a_disconnect);
  tcase_add_test (tests, flooding_threads_leave_another_vm_its_share);
}

int
main (void)
{
  return suite_run ("admission", add_tests, 60);
}

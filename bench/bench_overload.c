/* What admission and the measuring budget cost per call, and how much work is
   done under twice the load that a target can take, with and without early
   refusal.  */
#include <limits.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "lib/admission.h"
#include "lib/budget.h"
#include "lib/hedge.h"
#include "lib/retry.h"

#define ROUNDS 1000000
#define SLOTS 12
#define SERVICE_US 10000
#define DEADLINE_US 200000
#define RUN_US (60 * CP_US_PER_S)
#define STEP_US 100
#define QUEUED_MAX 4096

static double
now_ns (void)
{
  struct timespec now;

  clock_gettime (CLOCK_MONOTONIC, &now);
  return (double)now.tv_sec * 1e9 + (double)now.tv_nsec;
}

static void
print_cost (const char *what, double began_ns)
{
  printf ("%-44s %8.0f ns\n", what, (now_ns () - began_ns) / ROUNDS);
}

static void
measure_admission (unsigned callers)
{
  struct cp_admission admission;
  char names[64][8];
  char what[64];
  double began_ns;

  for (unsigned i = 0; i < 64; i++)
    snprintf (names[i], sizeof names[i], "vm-%u", i);
  cp_admission_init (&admission, &cp_clock_boot, SLOTS);
  began_ns = now_ns ();
  for (unsigned i = 0; i < ROUNDS; i++)
    {
      const char *name = names[i % callers];

      cp_admission_enter (&admission, CP_PRIORITY_NORMAL, name, UINT64_MAX,
                          NULL);
      cp_admission_leave (&admission, name, 1000 + i % 100, false);
    }
  snprintf (what, sizeof what, "admission: enter and leave, %u calling VMs",
            callers);
  print_cost (what, began_ns);
  cp_admission_finish (&admission);
}

static void
measure_refusal (void)
{
  struct cp_admission admission;
  double began_ns;

  cp_admission_init (&admission, &cp_clock_boot, 0);
  began_ns = now_ns ();
  for (unsigned i = 0; i < ROUNDS; i++)
    cp_admission_enter (&admission, CP_PRIORITY_LOW, "vm-1", UINT64_MAX, NULL);
  print_cost ("admission: refusal", began_ns);
  cp_admission_finish (&admission);
}

static void
measure_budgets (void)
{
  struct cp_budget budget;
  struct cp_retry retry;
  struct cp_hedge hedge;
  double began_ns;

  cp_budget_init (&budget, UINT64_MAX / 4, UINT64_MAX / 4);
  began_ns = now_ns ();
  for (unsigned i = 0; i < ROUNDS; i++)
    cp_budget_spend_bytes (&budget, i, 200);
  print_cost ("measuring budget: one spending, all entries used", began_ns);
  cp_retry_init (&retry);
  cp_retry_configure (&retry, 0.1, 2);
  began_ns = now_ns ();
  for (unsigned i = 0; i < ROUNDS; i++)
    {
      cp_retry_count_call (&retry);
      cp_retry_count_end (&retry, CP_RETRY_ANSWERED);
    }
  print_cost ("retry budget: one call", began_ns);
  cp_retry_finish (&retry);
  cp_hedge_init (&hedge, 0);
  cp_hedge_configure (&hedge, 0.05, 0.95);
  began_ns = now_ns ();
  for (unsigned i = 0; i < ROUNDS; i++)
    {
      cp_hedge_start_call (&hedge);
      cp_hedge_add_latency (&hedge, i, 1000 + i % 1000);
    }
  print_cost ("hedge: one call, quantile learnt", began_ns);
  cp_hedge_finish (&hedge);
}

/* A call of the played overload.  */
struct played
{
  struct cp_ticket ticket;
  uint64_t arrived_us;
  uint64_t started_us;
  uint64_t ends_us;
  bool over;
};

/* What came of an overload.  */
struct outcome
{
  unsigned offered;
  unsigned good;    /* ended within the deadline */
  unsigned wasted;  /* worked on, but ended too late */
  unsigned refused; /* at once or while waiting */
  struct cp_histogram waits;
};

/* Works on the calls that were admitted; returns how many are left.  */
static unsigned
work (struct cp_admission *admission, struct played *calls, unsigned count,
      const struct cp_random *random, uint64_t now_us, struct outcome *outcome)
{
  unsigned kept = 0;

  for (unsigned i = 0; i < count; i++)
    {
      struct played *call = &calls[i];

      if (call->over)
        continue;
      kept = i + 1;
      if (call->ticket.waiting)
        continue;
      if (call->ticket.result != CP_ADMITTED)
        {
          call->over = true;
          outcome->refused++;
          continue;
        }
      if (call->ends_us == 0)
        {
          call->started_us = now_us;
          call->ends_us
              = now_us + SERVICE_US / 2 + cp_random_below (random, SERVICE_US);
          cp_histogram_add (&outcome->waits, now_us - call->arrived_us);
        }
      if (now_us < call->ends_us)
        continue;
      call->over = true;
      cp_admission_leave (admission, "vm-1", now_us - call->started_us, false);
      if (now_us - call->arrived_us <= DEADLINE_US)
        outcome->good++;
      else
        outcome->wasted++;
    }
  return kept;
}

/* Plays twice the target's capacity with the product's admission.  */
static void
play_admission (struct outcome *outcome)
{
  static struct played calls[QUEUED_MAX];
  struct cp_virtual_clock clock;
  struct cp_seeded_random random;
  struct cp_admission admission;
  unsigned count = 0;

  cp_virtual_clock_init (&clock, CP_US_PER_S);
  cp_seeded_random_init (&random, 1);
  cp_admission_init (&admission, &clock.clock, SLOTS);
  for (uint64_t t = 0; t < RUN_US; t += STEP_US)
    {
      clock.time_us += STEP_US;
      if (cp_random_below (&random.random, SERVICE_US) < 2 * SLOTS * STEP_US)
        for (unsigned i = 0; i < QUEUED_MAX; i++)
          if (i >= count || calls[i].over)
            {
              calls[i] = (struct played){ .arrived_us = clock.time_us };
              cp_admission_request (&admission, &calls[i].ticket,
                                    CP_PRIORITY_NORMAL, "vm-1",
                                    clock.time_us + DEADLINE_US);
              count = i + 1 > count ? i + 1 : count;
              outcome->offered++;
              break;
            }
      count = work (&admission, calls, count, &random.random, clock.time_us,
                    outcome);
    }
  cp_admission_finish (&admission);
  cp_seeded_random_finish (&random);
}

/* Plays the same load with the hard limit and a queue of at most MOST calls in
   the order of arrival.  */
static void
play_queue (struct outcome *outcome, unsigned most)
{
  struct cp_seeded_random random;
  GQueue queue = G_QUEUE_INIT;
  uint64_t arrived[SLOTS] = { 0 };
  uint64_t ends[SLOTS] = { 0 };

  cp_seeded_random_init (&random, 1);
  for (uint64_t t = STEP_US; t < RUN_US; t += STEP_US)
    {
      if (cp_random_below (&random.random, SERVICE_US) < 2 * SLOTS * STEP_US)
        {
          outcome->offered++;
          if (g_queue_get_length (&queue) < most)
            g_queue_push_tail (&queue, GSIZE_TO_POINTER (t));
          else
            outcome->refused++;
        }
      for (unsigned i = 0; i < SLOTS; i++)
        {
          if (ends[i] != 0 && t >= ends[i])
            {
              if (t - arrived[i] <= DEADLINE_US)
                outcome->good++;
              else
                outcome->wasted++;
              ends[i] = 0;
            }
          if (ends[i] != 0 || g_queue_is_empty (&queue))
            continue;
          arrived[i] = GPOINTER_TO_SIZE (g_queue_pop_head (&queue));
          ends[i] = t + SERVICE_US / 2
                    + cp_random_below (&random.random, SERVICE_US);
          cp_histogram_add (&outcome->waits, t - arrived[i]);
        }
    }
  g_queue_clear (&queue);
  cp_seeded_random_finish (&random);
}

static void
print_outcome (const char *what, const struct outcome *outcome)
{
  const double seconds = (double)RUN_US / (double)CP_US_PER_S;

  printf ("%-30s %9.0f %9.0f %9.0f %9.0f %12.1f\n", what,
          outcome->offered / seconds, outcome->good / seconds,
          outcome->wasted / seconds, outcome->refused / seconds,
          (double)cp_histogram_quantile (&outcome->waits, 0.99) / 1000);
}

int
main (void)
{
  static struct outcome with;
  static struct outcome without;
  static struct outcome bounded;

  puts ("Cost of one call, single thread");
  measure_admission (1);
  measure_admission (64);
  measure_refusal ();
  measure_budgets ();
  printf (
      "\nTwice the capacity of %d slots of %d ms for %d s, deadline %d ms, "
      "virtual time\n",
      SLOTS, SERVICE_US / 1000, (int)(RUN_US / CP_US_PER_S),
      DEADLINE_US / 1000);
  printf ("%-30s %9s %9s %9s %9s %12s\n", "per s", "offered", "in time",
          "too late", "refused", "p99 wait ms");
  play_admission (&with);
  print_outcome ("early refusal", &with);
  play_queue (&without, UINT_MAX);
  print_outcome ("hard limit, unbounded queue", &without);
  play_queue (&bounded, 1);
  print_outcome ("hard limit, queue of one", &bounded);
  return 0;
}

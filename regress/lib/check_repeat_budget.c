/* The budget of repeats over many daemons and two services, one of which calls
   the other, without a network.

   Load: the budget of one service was exceeded by 195 of 1,575 arrivals, since
   a retried request makes its calls again.  */
#include <string.h>

#include "lib/call_fan_out.h"
#include "lib/repeat_budget.h"
#include "regress/harness/suite.h"

#define STEP_US (50 * CP_US_PER_MS)
#define STEPS 1200
#define WINDOW 200 /* steps */
#define DAEMONS_MAX 12
#define DELAY_MAX 4 /* steps until an arrival, at most 150 ms */
#define ATTEMPTS 4
#define HISTORIES 250 /* per case */
#define CASES 12
#define RATIO 0.2

/* How long daemons may lose sight of each other, and how long the sight may
   lag, in steps.  */
#define CUT_MAX WINDOW
#define SIGHT_LAG 4

enum
{
  CALLER,
  CALLED,
  SERVICES
};

static const char *const names[SERVICES] = { "caller", "called" };

/* A deliberate fault of the budget.  */
enum fault
{
  FAULT_NONE,
  FAULT_SLACK_AFTER_START,  /* the slack is used right after a start */
  FAULT_CALLS_NOT_COUNTED,  /* calls of repeats take nothing */
  FAULT_SLACK_AFTER_FREEZE, /* a long pause is not noticed */
};

struct daemon
{
  struct cp_repeat_budgets budgets;
  struct cp_call_fan_out fan_out;
  bool alive;
  unsigned frozen_until;
  unsigned returns_at; /* step of its next start, or 0 */
  unsigned side;       /* of a partition */
  unsigned rate;       /* requests of its callers in 8 steps */
  unsigned starts;
};

struct arrival
{
  unsigned service;
  unsigned sender;
  unsigned attempt; /* 0 for the first */
  bool repeat;      /* counts as one at the service */
  bool took;        /* the sender took a repeat from its budget for it */
  unsigned sent;    /* step */
  unsigned start;   /* of the sender */
};

struct history
{
  struct cp_seeded_random seeded;
  const struct cp_random *random;
  enum fault fault;
  struct daemon daemons[DAEMONS_MAX];
  unsigned n_daemons;
  unsigned seen[STEPS][2]; /* daemons at work on each side */
  unsigned cut_until;
  unsigned rejects_until[SERVICES];
  unsigned fan_out;
  double slack;
  unsigned step;
  GArray *queue[DELAY_MAX];
  unsigned requests[SERVICES][STEPS];
  unsigned repeats[SERVICES][STEPS];
};

static uint64_t
time_of (unsigned step)
{
  return 1000 * CP_US_PER_S + step * STEP_US;
}

static unsigned
below (struct history *history, unsigned limit)
{
  return limit == 0 ? 0 : (unsigned)cp_random_below (history->random, limit);
}

static bool
works (const struct history *history, const struct daemon *daemon)
{
  return daemon->alive && history->step >= daemon->frozen_until;
}

static void
daemon_start (struct history *history, struct daemon *daemon)
{
  uint64_t now = time_of (history->step);

  cp_repeat_budgets_init (&daemon->budgets, now);
  cp_repeat_budgets_configure (&daemon->budgets, RATIO, history->slack,
                               WINDOW * STEP_US, now);
  cp_call_fan_out_init (&daemon->fan_out);
  if (history->fault == FAULT_SLACK_AFTER_START)
    daemon->budgets.slack_from_us = 0;
  daemon->alive = true;
  daemon->starts++;
  daemon->frozen_until = 0;
}

static void
daemon_stop (struct daemon *daemon)
{
  cp_repeat_budgets_finish (&daemon->budgets);
  cp_call_fan_out_finish (&daemon->fan_out);
  daemon->alive = false;
}

/* Counts the daemons that DAEMON sees.  What it knows is some steps old.  */
static void
daemon_look (struct history *history, struct daemon *daemon)
{
  unsigned lag = below (history, SIGHT_LAG + 1);
  unsigned then = history->step - MIN (history->step, lag);
  unsigned seen = history->seen[then][daemon->side];

  if (history->step >= history->cut_until)
    seen = history->seen[then][0] + history->seen[then][1];
  if (history->fault == FAULT_SLACK_AFTER_FREEZE)
    daemon->budgets.slack_from_us
        = MIN (daemon->budgets.slack_from_us, time_of (0) + 11 * CP_US_PER_S);
  cp_repeat_budgets_see_daemons (&daemon->budgets, MAX (seen, 1),
                                 time_of (history->step));
}

static void
send (struct history *history, struct arrival arrival)
{
  unsigned at = (history->step + below (history, DELAY_MAX)) % DELAY_MAX;

  arrival.sent = history->step;
  arrival.start = history->daemons[arrival.sender].starts;
  g_array_append_val (history->queue[at], arrival);
}

static bool
take (struct history *history, unsigned sender, unsigned service)
{
  return cp_repeat_budgets_take (&history->daemons[sender].budgets,
                                 names[service], time_of (history->step));
}

/* A run of the called service's caller at DAEMON makes its calls.  */
static void
run (struct history *history, unsigned daemon, bool repeat)
{
  for (unsigned i = 0; i < history->fan_out; i++)
    {
      struct arrival call
          = { .service = CALLED, .sender = daemon, .repeat = repeat };

      if (!repeat)
        {
          cp_repeat_budgets_count_request (&history->daemons[daemon].budgets,
                                           names[CALLED],
                                           time_of (history->step));
          history->requests[CALLED][history->step]++;
        }
      else if (history->fault != FAULT_CALLS_NOT_COUNTED)
        {
          if (!take (history, daemon, CALLED))
            return;
          call.took = true;
        }
      send (history, call);
    }
}

/* The daemon beside a server admits the arrival, unless it is a repeat whose
   calls the budget does not cover.  */
static bool
is_admitted (struct history *history, unsigned daemon,
             const struct arrival *arrival)
{
  struct cp_repeat_budgets *budgets = &history->daemons[daemon].budgets;
  const struct cp_run_calls *calls = cp_call_fan_out_find (
      &history->daemons[daemon].fan_out, names[arrival->service], "/");
  double expected
      = calls == NULL ? 0 : cp_run_calls_get (calls, names[CALLED]);

  if (arrival->service == CALLED || !arrival->repeat
      || history->fault == FAULT_CALLS_NOT_COUNTED)
    return true;
  if (!cp_repeat_budgets_reserve (budgets, names[CALLED], expected,
                                  time_of (history->step)))
    return false;
  cp_repeat_budgets_release (budgets, names[CALLED], expected);
  return true;
}

/* Gives back what ARRIVAL, which reached no server, took.  */
static void
give_back (struct history *history, const struct arrival *arrival)
{
  struct daemon *sender = &history->daemons[arrival->sender];

  if (arrival->took && works (history, sender)
      && sender->starts == arrival->start)
    cp_repeat_budgets_give_back (&sender->budgets, names[arrival->service],
                                 time_of (arrival->sent));
}

static void
retry (struct history *history, struct arrival arrival)
{
  if (!works (history, &history->daemons[arrival.sender])
      || ++arrival.attempt >= ATTEMPTS
      || !take (history, arrival.sender, arrival.service))
    return;
  arrival.repeat = true;
  arrival.took = true;
  send (history, arrival);
}

static void
arrive (struct history *history, struct arrival arrival)
{
  unsigned daemon = below (history, history->n_daemons);
  struct cp_run_calls calls = { 0 };

  if (!works (history, &history->daemons[daemon])
      || !is_admitted (history, daemon, &arrival))
    {
      /* No arrival at a server.  */
      give_back (history, &arrival);
      return;
    }
  if (arrival.repeat)
    history->repeats[arrival.service][history->step]++;
  if (history->step < history->rejects_until[arrival.service]
      && below (history, 2) == 0)
    {
      retry (history, arrival);
      return;
    }
  if (arrival.service == CALLED)
    return;
  run (history, daemon, arrival.repeat);
  cp_run_calls_add (&calls, names[CALLED], history->fan_out);
  cp_call_fan_out_record (&history->daemons[daemon].fan_out, names[CALLER],
                          "/", &calls);
  cp_run_calls_finish (&calls);
}

/* Requests of callers enter at DAEMON.  */
static void
enter (struct history *history, unsigned daemon)
{
  unsigned n = (history->daemons[daemon].rate + below (history, 8)) / 8;

  for (unsigned i = 0; i < n; i++)
    {
      unsigned service = below (history, 4) == 0 ? CALLED : CALLER;

      cp_repeat_budgets_count_request (&history->daemons[daemon].budgets,
                                       names[service],
                                       time_of (history->step));
      history->requests[service][history->step]++;
      send (history, (struct arrival){ .service = service, .sender = daemon });
    }
}

/* Draws what happens to the daemons, the load and the servers.  */
static void
change (struct history *history)
{
  unsigned at = history->step;

  for (unsigned i = 0; i < history->n_daemons; i++)
    {
      struct daemon *daemon = &history->daemons[i];

      if (daemon->alive && below (history, 600) == 0)
        {
          daemon_stop (daemon);
          daemon->returns_at
              = at + (below (history, 2) == 0 ? 0 : below (history, 400));
        }
      else if (daemon->alive && below (history, 600) == 0)
        daemon->frozen_until
            = at + 1 + below (history, below (history, 3) == 0 ? 500 : 40);
      if (!daemon->alive && at >= daemon->returns_at)
        daemon_start (history, daemon);
      if (below (history, 200) == 0)
        daemon->rate = below (history, 3) == 0 ? 0 : below (history, 16);
    }
  if (below (history, 700) == 0)
    for (unsigned i = 0; i < history->n_daemons; i++)
      if (history->daemons[i].alive)
        {
          daemon_stop (&history->daemons[i]);
          daemon_start (history, &history->daemons[i]);
        }
  /* Sight returns for two seconds at least.  */
  if (at > history->cut_until + 40 && below (history, 500) == 0)
    {
      history->cut_until = at + 1 + below (history, CUT_MAX);
      for (unsigned i = 0; i < history->n_daemons; i++)
        history->daemons[i].side = below (history, 2);
    }
  for (unsigned i = 0; i < SERVICES; i++)
    if (at >= history->rejects_until[i] && below (history, 120) == 0)
      history->rejects_until[i] = at + 20 + below (history, 200);
}

static void
play_step (struct history *history)
{
  GArray *arrivals = history->queue[history->step % DELAY_MAX];

  change (history);
  for (unsigned i = 0; i < history->n_daemons; i++)
    history->seen[history->step][history->daemons[i].side]
        += works (history, &history->daemons[i]);
  for (unsigned i = 0; i < history->n_daemons; i++)
    if (works (history, &history->daemons[i]))
      {
        daemon_look (history, &history->daemons[i]);
        enter (history, i);
      }
  /* Arrivals without delay are added to this list while it is read.  */
  for (guint i = 0; i < arrivals->len; i++)
    arrive (history, g_array_index (arrivals, struct arrival, i));
  g_array_set_size (arrivals, 0);
}

static unsigned
sum_window (const unsigned counts[STEPS], int first)
{
  unsigned sum = 0;

  for (int i = MAX (first, 0); i < first + WINDOW && i < STEPS; i++)
    sum += counts[i];
  return sum;
}

/* Returns by how much the worst window exceeds its bound; 0 or less: not.  */
static double
find_excess (const struct history *history)
{
  double worst = -history->slack;

  for (unsigned service = 0; service < SERVICES; service++)
    for (int first = 0; first + WINDOW <= STEPS; first++)
      {
        const unsigned *requests = history->requests[service];
        unsigned most = MAX (sum_window (requests, first),
                             MAX (sum_window (requests, first - WINDOW / 2),
                                  sum_window (requests, first - WINDOW)));
        double bound = RATIO * most + history->slack;

        worst = MAX (worst,
                     sum_window (history->repeats[service], first) - bound);
      }
  return worst;
}

/* Plays the history of SEED.  Returns the excess of its worst window.  */
static double
play (uint64_t seed, enum fault fault, unsigned *repeats)
{
  struct history *history = g_new0 (struct history, 1);
  double excess;

  cp_seeded_random_init (&history->seeded, seed);
  history->random = &history->seeded.random;
  history->fault = fault;
  history->n_daemons = 2 + below (history, DAEMONS_MAX - 1);
  history->fan_out = 1 + below (history, 3);
  history->slack = 10 + below (history, 100);
  for (unsigned i = 0; i < DELAY_MAX; i++)
    history->queue[i] = g_array_new (FALSE, FALSE, sizeof (struct arrival));
  for (unsigned i = 0; i < history->n_daemons; i++)
    {
      daemon_start (history, &history->daemons[i]);
      history->daemons[i].rate = below (history, 16);
    }
  for (; history->step < STEPS; history->step++)
    play_step (history);
  excess = find_excess (history);
  for (unsigned i = 0; i < STEPS; i++)
    *repeats += history->repeats[CALLER][i] + history->repeats[CALLED][i];
  for (unsigned i = 0; i < history->n_daemons; i++)
    if (history->daemons[i].alive)
      daemon_stop (&history->daemons[i]);
  for (unsigned i = 0; i < DELAY_MAX; i++)
    g_array_free (history->queue[i], TRUE);
  cp_seeded_random_finish (&history->seeded);
  g_free (history);
  return excess;
}

/* Guards against budgets that each daemon keeps, but not all together: load
   that moves between daemons, calls of repeats, and slack that is used again
   after a restart, a pause or a partition.  */
START_TEST (no_window_has_more_repeats_than_the_budget_of_all_daemons)
{
  uint64_t first = (uint64_t)_i * HISTORIES;
  unsigned repeats = 0;
  unsigned exceeded = 0;
  uint64_t worst_seed = 0;
  double worst = 0;

  for (uint64_t seed = first; seed < first + HISTORIES; seed++)
    {
      double excess = play (seed, FAULT_NONE, &repeats);

      exceeded += excess > 0;
      if (excess > worst)
        {
          worst = excess;
          worst_seed = seed;
        }
    }
  ck_assert_msg (
      exceeded == 0,
      "%u of %d histories exceed the budget, seed %" G_GUINT64_FORMAT
      " by %.1f",
      exceeded, HISTORIES, worst_seed, worst);
  /* Daemons that send no repeats prove nothing.  */
  ck_assert_uint_gt (repeats, HISTORIES * 100);
}
END_TEST

/* Guards against histories that cannot show a fault: each deliberate one must
   exceed the bound in some.  */
START_TEST (a_fault_of_the_budget_is_found)
{
  unsigned repeats = 0;
  unsigned found = 0;

  for (uint64_t seed = 0; seed < HISTORIES; seed++)
    found += play (seed, (enum fault)_i, &repeats) > 0;
  ck_assert_msg (found > 0, "fault %d is found in none of %d histories", _i,
                 HISTORIES);
}
END_TEST

/* Guards against a budget that a change of the load overdraws, for a single
   daemon.  */
START_TEST (no_window_has_more_repeats_than_the_budget)
{
  struct history *history = g_new0 (struct history, 1);
  struct cp_repeat_budgets budgets;

  cp_seeded_random_init (&history->seeded, (uint64_t)_i);
  history->random = &history->seeded.random;
  history->slack = 4;
  cp_repeat_budgets_init (&budgets, time_of (0));
  cp_repeat_budgets_configure (&budgets, RATIO, history->slack,
                               WINDOW * STEP_US, time_of (0));
  for (unsigned step = 0; step < STEPS; step++)
    {
      uint64_t now = time_of (step);

      cp_repeat_budgets_see_daemons (&budgets, 1, now);
      for (unsigned i = below (history, step % 400 < 200 ? 9 : 2); i > 0; i--)
        {
          cp_repeat_budgets_count_request (&budgets, names[CALLER], now);
          history->requests[CALLER][step]++;
        }
      while (below (history, 3) > 0)
        history->repeats[CALLER][step]
            += cp_repeat_budgets_take (&budgets, names[CALLER], now);
    }
  ck_assert_double_le (find_excess (history), 0);
  cp_repeat_budgets_finish (&budgets);
  cp_seeded_random_finish (&history->seeded);
  g_free (history);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (
      tests, no_window_has_more_repeats_than_the_budget_of_all_daemons, 0,
      CASES);
  tcase_add_loop_test (tests, a_fault_of_the_budget_is_found,
                       FAULT_SLACK_AFTER_START, FAULT_SLACK_AFTER_FREEZE + 1);
  tcase_add_loop_test (tests, no_window_has_more_repeats_than_the_budget, 1,
                       21);
}

int
main (void)
{
  return suite_run ("repeat_budget", add_tests, 60);
}

#include <string.h>

#include "lib/clock.h"
#include "lib/measuring.h"

#define QUIET_INTERVAL_US (60 * CP_US_PER_S)
#define MAX_INTERVAL_FACTOR 8
#define MAX_BACKOFF_SHIFT 6
#define CALLS_REPLACING_LOAD_PAGE 10 /* ended calls that replace a reading */
#define MIN_FAILED_CALLS 3           /* failures that make a page due */
#define MIN_TRUST 0.25 /* below it the load page is read rarely */
#define UNTRUSTED_INTERVAL_FACTOR 16
#define HIDDEN_MAX_AGE_US (2 * CP_US_PER_S)
#define COST_WEIGHT 4
#define DRAINING_MAX_AGE_US (60 * CP_US_PER_S)

const char *const cp_page_names[CP_PAGE_COUNT] = { "load", "health" };

const char *const cp_measuring_reason_names[CP_MEASURING_REASON_COUNT]
    = { [CP_MEASURING_FIRST] = "first",
        [CP_MEASURING_OLD] = "old",
        [CP_MEASURING_MOVING] = "moving",
        [CP_MEASURING_LEAVING] = "leaving",
        [CP_MEASURING_FAILING] = "failing",
        [CP_MEASURING_ASKED] = "asked",
        [CP_MEASURING_KEEP_ALIVE] = "keep-alive",
        [CP_MEASURING_NOT_DUE] = "not-due",
        [CP_MEASURING_TRAFFIC_TELLS] = "traffic-tells",
        [CP_MEASURING_QUIET] = "quiet",
        [CP_MEASURING_FULL] = "full",
        [CP_MEASURING_BACKED_OFF] = "backed-off",
        [CP_MEASURING_UNTRUSTED] = "untrusted",
        [CP_MEASURING_NO_PAGE] = "no-page" };

/* Advances the window to NOW_US.  The steps in between keep the last value. */
static void
window_advance (struct cp_in_flight_window *window, uint64_t now_us)
{
  uint64_t step = now_us / CP_IN_FLIGHT_WINDOW_STEP_US;

  if (step >= window->step + CP_IN_FLIGHT_WINDOW_STEPS)
    window->step = step - CP_IN_FLIGHT_WINDOW_STEPS;
  while (window->step < step)
    {
      window->step++;
      window->min[window->step % CP_IN_FLIGHT_WINDOW_STEPS] = window->last;
      window->max[window->step % CP_IN_FLIGHT_WINDOW_STEPS] = window->last;
    }
}

void
cp_in_flight_window_add (struct cp_in_flight_window *window, uint64_t now_us,
                         uint32_t in_flight)
{
  unsigned slot;

  window_advance (window, now_us);
  slot = (unsigned)(window->step % CP_IN_FLIGHT_WINDOW_STEPS);
  if (in_flight < window->min[slot])
    window->min[slot] = in_flight;
  if (in_flight > window->max[slot])
    window->max[slot] = in_flight;
  window->last = in_flight;
}

void
cp_in_flight_window_get (struct cp_in_flight_window *window, uint64_t now_us,
                         uint32_t *min, uint32_t *max)
{
  window_advance (window, now_us);
  *min = window->min[0];
  *max = window->max[0];
  for (unsigned i = 1; i < CP_IN_FLIGHT_WINDOW_STEPS; i++)
    {
      if (window->min[i] < *min)
        *min = window->min[i];
      if (window->max[i] > *max)
        *max = window->max[i];
    }
}

void
cp_measuring_init (struct cp_measuring *measuring)
{
  memset (measuring, 0, sizeof *measuring);
  for (unsigned i = 0; i < CP_PAGE_COUNT; i++)
    measuring->pages[i].trust = 1;
}

void
cp_measuring_set_intervals (struct cp_measuring *measuring,
                            uint64_t load_interval_us,
                            uint64_t health_interval_us)
{
  measuring->pages[CP_PAGE_LOAD].interval_us = load_interval_us;
  measuring->pages[CP_PAGE_HEALTH].interval_us = health_interval_us;
}

/* Returns the exponential backoff after consecutive unanswered readings.  */
static uint64_t
backoff_us (const struct cp_page_state *state)
{
  unsigned shift
      = state->misses < MAX_BACKOFF_SHIFT ? state->misses : MAX_BACKOFF_SHIFT;

  return state->interval_us << shift;
}

/* Decides on the load page.  Calls that end can replace a reading, and the
   interval grows with the number of readings without a change.  */
static enum cp_measuring_reason
load_page_reason (const struct cp_page_state *state,
                  const struct cp_inbound_stats *stats, uint64_t age_us)
{
  unsigned factor = state->unchanged < MAX_INTERVAL_FACTOR
                        ? state->unchanged
                        : MAX_INTERVAL_FACTOR;
  bool enough_calls = stats->ended - state->ended >= CALLS_REPLACING_LOAD_PAGE;

  if (state->trust < MIN_TRUST
      && age_us < state->interval_us * UNTRUSTED_INTERVAL_FACTOR)
    return CP_MEASURING_UNTRUSTED;
  if (stats->limit > 0 && stats->in_flight >= stats->limit)
    return age_us < state->interval_us * MAX_INTERVAL_FACTOR
               ? CP_MEASURING_FULL
               : CP_MEASURING_OLD;
  if (state->unchanged == 0)
    return CP_MEASURING_MOVING;
  if (enough_calls && age_us < state->interval_us * MAX_INTERVAL_FACTOR)
    return CP_MEASURING_TRAFFIC_TELLS;
  if (age_us < state->interval_us * factor)
    return CP_MEASURING_NOT_DUE;
  return CP_MEASURING_OLD;
}

static enum cp_measuring_reason
page_reason (const struct cp_page_state *state, enum cp_page page,
             const struct cp_inbound_stats *stats, bool asked, uint64_t now_us)
{
  uint64_t tried_age_us = now_us - state->tried_us;

  if (state->interval_us == 0)
    return CP_MEASURING_NO_PAGE;
  if (state->tried_us == 0)
    return CP_MEASURING_FIRST;
  if (state->misses > 0 && tried_age_us < backoff_us (state))
    return CP_MEASURING_BACKED_OFF;
  if (asked)
    return CP_MEASURING_ASKED;
  if (tried_age_us < state->interval_us)
    return CP_MEASURING_NOT_DUE;
  if (state->last.draining)
    return CP_MEASURING_LEAVING;
  if (stats->arrivals == state->arrivals)
    return tried_age_us < QUIET_INTERVAL_US ? CP_MEASURING_QUIET
                                            : CP_MEASURING_KEEP_ALIVE;
  if (stats->failed - state->failed >= MIN_FAILED_CALLS)
    return CP_MEASURING_FAILING;
  if (page == CP_PAGE_LOAD)
    return load_page_reason (state, stats, tried_age_us);
  return CP_MEASURING_OLD;
}

bool
cp_measuring_is_due (struct cp_measuring *measuring, enum cp_page page,
                     const struct cp_inbound_stats *stats, bool asked,
                     uint64_t now_us, enum cp_measuring_reason *reason)
{
  struct cp_page_state *state = &measuring->pages[page];

  *reason = page_reason (state, page, stats, asked, now_us);
  state->reasons[*reason]++;
  return *reason <= CP_MEASURING_KEEP_ALIVE;
}

uint64_t
cp_measuring_reserve_us (const struct cp_measuring *measuring,
                         enum cp_page page, uint64_t probe_us,
                         uint64_t limit_us)
{
  uint64_t cost_us = measuring->pages[page].cost_us;

  /* The time limit of a reading is its reservation.  Reserve half as much
     again, so that a page that has become slower can still answer.  */
  cost_us += cost_us / 2;
  if (cost_us < probe_us)
    cost_us = probe_us;
  return cost_us < limit_us ? cost_us : limit_us;
}

/* Checks the number of calls on the load page against the inbound statistics;
   updates the trust in the page and the hidden load.  */
static void
update_hidden (struct cp_measuring *measuring, struct cp_page_state *state,
               const struct cp_page_reading *reading,
               const struct cp_inbound_stats *stats, uint64_t now_us)
{
  double hidden_in_flight = 0;

  if (reading->in_flight < stats->min_in_flight)
    {
      state->untrue++;
      state->trust /= 2;
      return;
    }
  if (stats->min_in_flight > 0)
    state->trust += (1 - state->trust) / 8;
  if (reading->in_flight > stats->max_in_flight)
    hidden_in_flight = (double)(reading->in_flight - stats->max_in_flight);
  measuring->hidden_in_flight = hidden_in_flight * state->trust;
  measuring->hidden_updated_us = now_us;
}

void
cp_measuring_record (struct cp_measuring *measuring, enum cp_page page,
                     const struct cp_page_reading *reading,
                     const struct cp_inbound_stats *stats, uint64_t cost_us,
                     uint64_t now_us)
{
  struct cp_page_state *state = &measuring->pages[page];
  bool same;

  state->tried_us = now_us;
  state->arrivals = stats->arrivals;
  state->ended = stats->ended;
  state->failed = stats->failed;
  if (state->cost_us == 0)
    state->cost_us = cost_us;
  state->cost_us -= state->cost_us / COST_WEIGHT;
  state->cost_us += cost_us / COST_WEIGHT;
  if (reading->result != CP_PAGE_ANSWERED)
    {
      state->hung += reading->result == CP_PAGE_HUNG;
      state->misses++;
      return;
    }
  same = reading->in_flight <= state->last.in_flight + 1
         && state->last.in_flight <= reading->in_flight + 1
         && reading->draining == state->last.draining;
  state->unchanged = same && state->read_us != 0 ? state->unchanged + 1 : 0;
  state->misses = 0;
  state->reads++;
  state->read_us = now_us;
  state->last = *reading;
  if (reading->impossible)
    state->untrue++;
  else if (reading->has_in_flight && page == CP_PAGE_LOAD)
    update_hidden (measuring, state, reading, stats, now_us);
}

uint32_t
cp_measuring_hidden_in_flight (const struct cp_measuring *measuring,
                               uint64_t now_us)
{
  uint64_t age_us = now_us - measuring->hidden_updated_us;

  if (measuring->hidden_updated_us == 0 || age_us >= HIDDEN_MAX_AGE_US)
    return 0;
  return (uint32_t)(measuring->hidden_in_flight
                    * (1 - (double)age_us / (double)HIDDEN_MAX_AGE_US));
}

bool
cp_measuring_draining (const struct cp_measuring *measuring, uint64_t now_us)
{
  for (unsigned i = 0; i < CP_PAGE_COUNT; i++)
    {
      const struct cp_page_state *state = &measuring->pages[i];

      if (state->last.draining
          && now_us - state->read_us < DRAINING_MAX_AGE_US)
        return true;
    }
  return false;
}

bool
cp_measuring_needs_refresh (const struct cp_measuring *measuring,
                            uint64_t within_us, uint64_t now_us)
{
  uint64_t newest_us = 0;
  bool readable = false;

  for (unsigned i = 0; i < CP_PAGE_COUNT; i++)
    {
      const struct cp_page_state *state = &measuring->pages[i];

      if (state->interval_us == 0)
        continue;
      if (state->read_us > newest_us)
        newest_us = state->read_us;
      if (state->misses == 0 || now_us - state->tried_us >= backoff_us (state))
        readable = true;
    }
  return readable && now_us - newest_us >= within_us;
}

static json_t *
page_dump (const struct cp_page_state *state, uint64_t now_us)
{
  json_t *reasons = json_object ();

  for (unsigned i = 0; i < CP_MEASURING_REASON_COUNT; i++)
    if (state->reasons[i] > 0)
      json_object_set_new (reasons, cp_measuring_reason_names[i],
                           json_integer ((json_int_t)state->reasons[i]));
  return json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:f, s:I, s:I, s:b, s:o}", "reads",
      (json_int_t)state->reads, "age_us",
      state->read_us == 0 ? (json_int_t)-1
                          : (json_int_t)(now_us - state->read_us),
      "hung", (json_int_t)state->hung, "misses_in_a_row",
      (json_int_t)state->misses, "untrue", (json_int_t)state->untrue, "trust",
      state->trust, "cost_us", (json_int_t)state->cost_us, "in_flight",
      (json_int_t)state->last.in_flight, "draining", (int)state->last.draining,
      "decisions", reasons);
}

json_t *
cp_measuring_dump (const struct cp_measuring *measuring, uint64_t now_us)
{
  json_t *pages = json_object ();

  for (unsigned i = 0; i < CP_PAGE_COUNT; i++)
    json_object_set_new (pages, cp_page_names[i],
                         page_dump (&measuring->pages[i], now_us));
  return json_pack (
      "{s:o, s:I, s:b}", "pages", pages, "hidden_in_flight",
      (json_int_t)cp_measuring_hidden_in_flight (measuring, now_us),
      "draining", (int)cp_measuring_draining (measuring, now_us));
}

#include <string.h>

#include "lib/clock.h"
#include "lib/measuring.h"

#define QUIET_INTERVAL_US (60 * CP_US_PER_S)
#define STRETCH_MAX 8
#define BACK_OFF_SHIFT_MAX 6
#define TELLING_CALLS 10 /* calls that take the place of a reading */
#define FAILING_CALLS 3  /* failures that make a reading worth it */
#define TRUST_LEAST 0.25 /* below it a page is read rarely */
#define UNTRUSTED_STRETCH 16
#define HIDDEN_LIFE_US (2 * CP_US_PER_S)
#define COST_WEIGHT 4
#define LEAVING_LIFE_US (60 * CP_US_PER_S)

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

/* Moves the extent on to NOW_US; the steps passed had LAST in flight.  */
static void
extent_move (struct cp_extent *extent, uint64_t now_us)
{
  uint64_t step = now_us / CP_EXTENT_STEP_US;

  if (step >= extent->step + CP_EXTENT_STEPS)
    extent->step = step - CP_EXTENT_STEPS;
  while (extent->step < step)
    {
      extent->step++;
      extent->least[extent->step % CP_EXTENT_STEPS] = extent->last;
      extent->most[extent->step % CP_EXTENT_STEPS] = extent->last;
    }
}

void
cp_extent_note (struct cp_extent *extent, uint64_t now_us, uint32_t in_flight)
{
  unsigned at;

  extent_move (extent, now_us);
  at = (unsigned)(extent->step % CP_EXTENT_STEPS);
  if (in_flight < extent->least[at])
    extent->least[at] = in_flight;
  if (in_flight > extent->most[at])
    extent->most[at] = in_flight;
  extent->last = in_flight;
}

void
cp_extent_read (struct cp_extent *extent, uint64_t now_us, uint32_t *least,
                uint32_t *most)
{
  extent_move (extent, now_us);
  *least = extent->least[0];
  *most = extent->most[0];
  for (unsigned i = 1; i < CP_EXTENT_STEPS; i++)
    {
      if (extent->least[i] < *least)
        *least = extent->least[i];
      if (extent->most[i] > *most)
        *most = extent->most[i];
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
cp_measuring_set (struct cp_measuring *measuring, uint64_t load_interval_us,
                  uint64_t health_interval_us)
{
  measuring->pages[CP_PAGE_LOAD].interval_us = load_interval_us;
  measuring->pages[CP_PAGE_HEALTH].interval_us = health_interval_us;
}

/* Returns how long to wait after readings that were not answered.  */
static uint64_t
back_off_us (const struct cp_page_state *state)
{
  unsigned shift = state->misses < BACK_OFF_SHIFT_MAX ? state->misses
                                                      : BACK_OFF_SHIFT_MAX;

  return state->interval_us << shift;
}

/* The load page: traffic can take its place, and it is worth less the longer
   it says the same.  */
static enum cp_measuring_reason
judge_load (const struct cp_page_state *state, const struct cp_own_view *own,
            uint64_t age_us)
{
  unsigned stretch = state->steady < STRETCH_MAX ? state->steady : STRETCH_MAX;
  bool many = own->ended - state->ended >= TELLING_CALLS;

  if (state->trust < TRUST_LEAST
      && age_us < state->interval_us * UNTRUSTED_STRETCH)
    return CP_MEASURING_UNTRUSTED;
  if (own->limit > 0 && own->in_flight >= own->limit)
    return age_us < state->interval_us * STRETCH_MAX ? CP_MEASURING_FULL
                                                     : CP_MEASURING_OLD;
  if (state->steady == 0)
    return CP_MEASURING_MOVING;
  if (many && age_us < state->interval_us * STRETCH_MAX)
    return CP_MEASURING_TRAFFIC_TELLS;
  if (age_us < state->interval_us * stretch)
    return CP_MEASURING_NOT_DUE;
  return CP_MEASURING_OLD;
}

static enum cp_measuring_reason
judge (const struct cp_page_state *state, enum cp_page page,
       const struct cp_own_view *own, bool asked, uint64_t now_us)
{
  uint64_t tried_age_us = now_us - state->tried_us;

  if (state->interval_us == 0)
    return CP_MEASURING_NO_PAGE;
  if (state->tried_us == 0)
    return CP_MEASURING_FIRST;
  if (state->misses > 0 && tried_age_us < back_off_us (state))
    return CP_MEASURING_BACKED_OFF;
  if (asked)
    return CP_MEASURING_ASKED;
  if (tried_age_us < state->interval_us)
    return CP_MEASURING_NOT_DUE;
  if (state->word.draining)
    return CP_MEASURING_LEAVING;
  if (own->arrivals == state->arrivals)
    return tried_age_us < QUIET_INTERVAL_US ? CP_MEASURING_QUIET
                                            : CP_MEASURING_KEEP_ALIVE;
  if (own->failed - state->failed >= FAILING_CALLS)
    return CP_MEASURING_FAILING;
  if (page == CP_PAGE_LOAD)
    return judge_load (state, own, tried_age_us);
  return CP_MEASURING_OLD;
}

bool
cp_measuring_worth (struct cp_measuring *measuring, enum cp_page page,
                    const struct cp_own_view *own, bool asked, uint64_t now_us,
                    enum cp_measuring_reason *reason)
{
  struct cp_page_state *state = &measuring->pages[page];

  *reason = judge (state, page, own, asked, now_us);
  state->reasons[*reason]++;
  return *reason <= CP_MEASURING_KEEP_ALIVE;
}

uint64_t
cp_measuring_cost (const struct cp_measuring *measuring, enum cp_page page,
                   uint64_t probe_us, uint64_t limit_us)
{
  uint64_t cost_us = measuring->pages[page].cost_us;

  /* The time limit follows the reservation: leave a page that has become
     slower the room to show it.  */
  cost_us += cost_us / 2;
  if (cost_us < probe_us)
    cost_us = probe_us;
  return cost_us < limit_us ? cost_us : limit_us;
}

/* Weighs the number of calls that the load page gave.  */
static void
weigh (struct cp_measuring *measuring, struct cp_page_state *state,
       const struct cp_page_word *word, const struct cp_own_view *own,
       uint64_t now_us)
{
  double hidden = 0;

  if (word->in_flight < own->least_in_flight)
    {
      state->untrue++;
      state->trust /= 2;
      return;
    }
  if (own->least_in_flight > 0)
    state->trust += (1 - state->trust) / 8;
  if (word->in_flight > own->most_in_flight)
    hidden = (double)(word->in_flight - own->most_in_flight);
  measuring->hidden = hidden * state->trust;
  measuring->hidden_us = now_us;
}

void
cp_measuring_take (struct cp_measuring *measuring, enum cp_page page,
                   const struct cp_page_word *word,
                   const struct cp_own_view *own, uint64_t cost_us,
                   uint64_t now_us)
{
  struct cp_page_state *state = &measuring->pages[page];
  bool same;

  state->tried_us = now_us;
  state->arrivals = own->arrivals;
  state->ended = own->ended;
  state->failed = own->failed;
  if (state->cost_us == 0)
    state->cost_us = cost_us;
  state->cost_us -= state->cost_us / COST_WEIGHT;
  state->cost_us += cost_us / COST_WEIGHT;
  if (word->result != CP_PAGE_ANSWERED)
    {
      state->hung += word->result == CP_PAGE_HUNG;
      state->misses++;
      return;
    }
  same = word->in_flight <= state->word.in_flight + 1
         && state->word.in_flight <= word->in_flight + 1
         && word->draining == state->word.draining;
  state->steady = same && state->read_us != 0 ? state->steady + 1 : 0;
  state->misses = 0;
  state->reads++;
  state->read_us = now_us;
  state->word = *word;
  if (word->impossible)
    state->untrue++;
  else if (word->has_in_flight && page == CP_PAGE_LOAD)
    weigh (measuring, state, word, own, now_us);
}

uint32_t
cp_measuring_hidden (const struct cp_measuring *measuring, uint64_t now_us)
{
  uint64_t age_us = now_us - measuring->hidden_us;

  if (measuring->hidden_us == 0 || age_us >= HIDDEN_LIFE_US)
    return 0;
  return (uint32_t)(measuring->hidden
                    * (1 - (double)age_us / (double)HIDDEN_LIFE_US));
}

bool
cp_measuring_draining (const struct cp_measuring *measuring, uint64_t now_us)
{
  for (unsigned i = 0; i < CP_PAGE_COUNT; i++)
    {
      const struct cp_page_state *state = &measuring->pages[i];

      if (state->word.draining && now_us - state->read_us < LEAVING_LIFE_US)
        return true;
    }
  return false;
}

bool
cp_measuring_must_ask (const struct cp_measuring *measuring,
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
      if (state->misses == 0
          || now_us - state->tried_us >= back_off_us (state))
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
      (json_int_t)state->word.in_flight, "draining", (int)state->word.draining,
      "decisions", reasons);
}

json_t *
cp_measuring_dump (const struct cp_measuring *measuring, uint64_t now_us)
{
  json_t *pages = json_object ();

  for (unsigned i = 0; i < CP_PAGE_COUNT; i++)
    json_object_set_new (pages, cp_page_names[i],
                         page_dump (&measuring->pages[i], now_us));
  return json_pack ("{s:o, s:I, s:b}", "pages", pages, "hidden_in_flight",
                    (json_int_t)cp_measuring_hidden (measuring, now_us),
                    "draining",
                    (int)cp_measuring_draining (measuring, now_us));
}

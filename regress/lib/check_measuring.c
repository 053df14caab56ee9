/* When a target's pages are read, and how far they are trusted.  */
#include "lib/budget.h"
#include "lib/clock.h"
#include "lib/measuring.h"
#include "regress/harness/suite.h"

#define TICK_US 100000
#define PROBE_US 6000
#define WORK_US_PER_S 12000
#define BYTES_PER_S 4000
#define PAGE_BYTES 500
#define MAX_READING_AGE_US (3 * CP_US_PER_S)

/* A simulated inbound side and the pages of its target.  */
struct fixture
{
  struct cp_measuring measuring;
  struct cp_budget budget;
  struct cp_in_flight_window window;
  struct cp_inbound_stats stats;
  uint64_t now_us;
  struct cp_page_reading readings[CP_PAGE_COUNT];
  uint64_t duration_us[CP_PAGE_COUNT];
  unsigned reads[CP_PAGE_COUNT];
};

static void
fixture_init (struct fixture *fixture)
{
  *fixture = (struct fixture){ .now_us = 100 * CP_US_PER_S,
                               .stats.limit = 12,
                               .duration_us = { 1000, 1000 } };
  fixture->readings[CP_PAGE_LOAD].has_in_flight = true;
  cp_measuring_init (&fixture->measuring);
  cp_measuring_set_intervals (&fixture->measuring, CP_US_PER_S,
                              2 * CP_US_PER_S);
  cp_budget_init (&fixture->budget, WORK_US_PER_S, BYTES_PER_S);
}

static void
fixture_set_in_flight (struct fixture *fixture, uint32_t in_flight)
{
  fixture->stats.in_flight = in_flight;
  cp_in_flight_window_add (&fixture->window, fixture->now_us, in_flight);
}

/* Reads PAGE the way the daemon does.  */
static void
fixture_read_page (struct fixture *fixture, enum cp_page page)
{
  uint64_t reserve_us = cp_measuring_reserve_us (&fixture->measuring, page,
                                                 PROBE_US, WORK_US_PER_S);
  struct cp_page_reading reading = fixture->readings[page];
  uint64_t elapsed_us = fixture->duration_us[page];
  unsigned grant;

  if (cp_budget_reserve (&fixture->budget, fixture->now_us, reserve_us,
                         PAGE_BYTES, &grant)
      != CP_BUDGET_GRANTED)
    return;
  if (elapsed_us > reserve_us)
    {
      elapsed_us = reserve_us;
      reading.result = CP_PAGE_HUNG;
    }
  fixture->now_us += elapsed_us;
  cp_budget_settle (&fixture->budget, grant, fixture->now_us,
                    elapsed_us > PROBE_US ? elapsed_us : PROBE_US, PAGE_BYTES);
  cp_measuring_record (&fixture->measuring, page, &reading, &fixture->stats,
                       elapsed_us, fixture->now_us);
  fixture->reads[page]++;
}

static void
fixture_tick (struct fixture *fixture)
{
  fixture->now_us += TICK_US;
  cp_in_flight_window_get (&fixture->window, fixture->now_us,
                           &fixture->stats.min_in_flight,
                           &fixture->stats.max_in_flight);
  for (unsigned page = 0; page < CP_PAGE_COUNT; page++)
    {
      enum cp_measuring_reason reason;

      if (cp_measuring_is_due (&fixture->measuring, (enum cp_page)page,
                               &fixture->stats, false, fixture->now_us,
                               &reason))
        fixture_read_page (fixture, (enum cp_page)page);
    }
}

static void
fixture_run (struct fixture *fixture, unsigned seconds,
             unsigned calls_per_tick)
{
  for (uint64_t i = 0; i < seconds * CP_US_PER_S / TICK_US; i++)
    {
      fixture->stats.arrivals += calls_per_tick;
      fixture->stats.ended += calls_per_tick;
      fixture_tick (fixture);
    }
}

START_TEST (an_idle_target_is_read_once_a_minute)
{
  struct fixture fixture;

  fixture_init (&fixture);
  fixture_run (&fixture, 3600, 0);
  /* Each page is read once a minute: 0.2 ms/s of the 12 ms/s allowed.  */
  ck_assert_uint_le (fixture.budget.work_us_spent / 3600, 210);
  ck_assert_uint_gt (fixture.reads[CP_PAGE_LOAD], 0);
}
END_TEST

START_TEST (traffic_replaces_load_page_readings)
{
  struct fixture fixture;

  fixture_init (&fixture);
  fixture_set_in_flight (&fixture, 2);
  fixture.readings[CP_PAGE_LOAD].in_flight = 2;
  fixture_run (&fixture, 100, 10);
  ck_assert_uint_le (fixture.reads[CP_PAGE_LOAD], 20);
  /* Calls do not show that the target drains; only the health page does.  */
  ck_assert_uint_ge (fixture.reads[CP_PAGE_HEALTH], 45);
}
END_TEST

START_TEST (a_changing_page_is_read_more_often)
{
  struct fixture fixture;
  unsigned unchanged;

  fixture_init (&fixture);
  fixture_run (&fixture, 100, 1);
  unchanged = fixture.reads[CP_PAGE_LOAD];
  fixture.reads[CP_PAGE_LOAD] = 0;
  for (unsigned i = 0; i < 100; i++)
    {
      fixture.readings[CP_PAGE_LOAD].in_flight = i % 2 ? 9 : 1;
      fixture_run (&fixture, 1, 1);
    }
  ck_assert_uint_gt (fixture.reads[CP_PAGE_LOAD], 2 * unchanged);
}
END_TEST

START_TEST (the_load_page_of_a_full_target_is_read_rarely)
{
  struct fixture fixture;

  fixture_init (&fixture);
  fixture_set_in_flight (&fixture, 12);
  fixture.readings[CP_PAGE_LOAD].in_flight = 12;
  fixture_run (&fixture, 100, 1);
  ck_assert_uint_le (fixture.reads[CP_PAGE_LOAD], 15);
}
END_TEST

START_TEST (a_load_page_that_always_says_idle_loses_trust)
{
  struct fixture fixture;

  fixture_init (&fixture);
  fixture_set_in_flight (&fixture, 8);
  fixture_run (&fixture, 5, 1);
  fixture.readings[CP_PAGE_LOAD].in_flight = 0;
  fixture_run (&fixture, 100, 1);
  ck_assert_uint_gt (fixture.measuring.pages[CP_PAGE_LOAD].untrue, 1);
  ck_assert_double_lt (fixture.measuring.pages[CP_PAGE_LOAD].trust, 0.25);
  ck_assert_uint_eq (
      cp_measuring_hidden_in_flight (&fixture.measuring, fixture.now_us), 0);
}
END_TEST

START_TEST (a_lagging_load_page_keeps_its_trust)
{
  struct fixture fixture;
  uint32_t earlier[21] = { 0 };

  fixture_init (&fixture);
  for (unsigned i = 0; i < 1000; i++)
    {
      uint32_t now = i / 50 % 2 ? 9 : 1;

      fixture_set_in_flight (&fixture, now);
      /* The page shows the load of 20 ticks, 2 s, ago.  */
      fixture.readings[CP_PAGE_LOAD].in_flight = earlier[(i + 1) % 21];
      earlier[i % 21] = now;
      fixture.stats.arrivals++;
      fixture_tick (&fixture);
    }
  ck_assert_uint_gt (fixture.reads[CP_PAGE_LOAD], 10);
  ck_assert_uint_eq (fixture.measuring.pages[CP_PAGE_LOAD].untrue, 0);
}
END_TEST

START_TEST (hidden_work_is_detected_and_expires)
{
  struct fixture fixture;

  fixture_init (&fixture);
  fixture_set_in_flight (&fixture, 2);
  fixture.readings[CP_PAGE_LOAD].in_flight = 10;
  fixture_run (&fixture, 1, 1);
  ck_assert_uint_ge (
      cp_measuring_hidden_in_flight (&fixture.measuring, fixture.now_us), 4);
  ck_assert_uint_le (
      cp_measuring_hidden_in_flight (&fixture.measuring, fixture.now_us), 8);
  fixture.now_us += 3 * CP_US_PER_S;
  ck_assert_uint_eq (
      cp_measuring_hidden_in_flight (&fixture.measuring, fixture.now_us), 0);
}
END_TEST

START_TEST (a_hung_page_is_charged_and_backed_off)
{
  struct fixture fixture;
  unsigned first;

  fixture_init (&fixture);
  fixture.duration_us[CP_PAGE_LOAD] = CP_US_PER_S;
  fixture.duration_us[CP_PAGE_HEALTH] = CP_US_PER_S;
  fixture_run (&fixture, 60, 1);
  first = fixture.reads[CP_PAGE_LOAD];
  ck_assert_uint_le (first, 8);
  ck_assert_uint_eq (fixture.measuring.pages[CP_PAGE_LOAD].hung, first);
  ck_assert_uint_ge (fixture.budget.work_us_spent, first * PROBE_US);
  ck_assert_uint_eq (fixture.budget.overdrafts, 0);
  ck_assert (!cp_measuring_draining (&fixture.measuring, fixture.now_us));
  ck_assert (!cp_measuring_needs_refresh (&fixture.measuring,
                                          MAX_READING_AGE_US, fixture.now_us));
}
END_TEST

START_TEST (a_draining_target_is_detected_within_3s)
{
  /* At any load above 0; without calls pages are read once a minute.  */
  for (unsigned calls = 1; calls < 40; calls += 3)
    {
      struct fixture fixture;

      fixture_init (&fixture);
      fixture_run (&fixture, 60, calls);
      fixture.readings[CP_PAGE_LOAD].draining = true;
      fixture.readings[CP_PAGE_HEALTH].draining = true;
      fixture_run (&fixture, 3, calls);
      ck_assert (cp_measuring_draining (&fixture.measuring, fixture.now_us));
      fixture.readings[CP_PAGE_LOAD].draining = false;
      fixture.readings[CP_PAGE_HEALTH].draining = false;
      fixture_run (&fixture, 3, 0);
      ck_assert (!cp_measuring_draining (&fixture.measuring, fixture.now_us));
    }
}
END_TEST

START_TEST (a_call_after_an_idle_time_reads_health_first)
{
  struct fixture fixture;
  enum cp_measuring_reason reason;

  fixture_init (&fixture);
  fixture_run (&fixture, 40, 0);
  ck_assert (cp_measuring_needs_refresh (&fixture.measuring,
                                         MAX_READING_AGE_US, fixture.now_us));
  ck_assert (cp_measuring_is_due (&fixture.measuring, CP_PAGE_HEALTH,
                                  &fixture.stats, true, fixture.now_us,
                                  &reason));
  ck_assert_int_eq (reason, CP_MEASURING_ASKED);
  fixture_read_page (&fixture, CP_PAGE_HEALTH);
  ck_assert (!cp_measuring_needs_refresh (&fixture.measuring,
                                          MAX_READING_AGE_US, fixture.now_us));
}
END_TEST

START_TEST (an_impossible_load_is_counted_and_ignored)
{
  struct fixture fixture;

  fixture_init (&fixture);
  fixture.readings[CP_PAGE_LOAD].has_in_flight = false;
  fixture.readings[CP_PAGE_LOAD].impossible = true;
  fixture_run (&fixture, 1, 1);
  ck_assert_uint_ge (fixture.measuring.pages[CP_PAGE_LOAD].untrue, 1);
  ck_assert_uint_eq (
      cp_measuring_hidden_in_flight (&fixture.measuring, fixture.now_us), 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, an_idle_target_is_read_once_a_minute);
  tcase_add_test (tests, traffic_replaces_load_page_readings);
  tcase_add_test (tests, a_changing_page_is_read_more_often);
  tcase_add_test (tests, the_load_page_of_a_full_target_is_read_rarely);
  tcase_add_test (tests, a_load_page_that_always_says_idle_loses_trust);
  tcase_add_test (tests, a_lagging_load_page_keeps_its_trust);
  tcase_add_test (tests, hidden_work_is_detected_and_expires);
  tcase_add_test (tests, a_hung_page_is_charged_and_backed_off);
  tcase_add_test (tests, a_draining_target_is_detected_within_3s);
  tcase_add_test (tests, a_call_after_an_idle_time_reads_health_first);
  tcase_add_test (tests, an_impossible_load_is_counted_and_ignored);
}

int
main (void)
{
  return suite_run ("measuring", add_tests, 60);
}

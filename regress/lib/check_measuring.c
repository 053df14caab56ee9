/* When a target's pages are read, and how far they are believed.  */
#include "lib/budget.h"
#include "lib/clock.h"
#include "lib/measuring.h"
#include "regress/harness/suite.h"

#define TICK_US 100000
#define PROBE_US 6000
#define WORK_US_PER_S 12000
#define BYTES_PER_S 4000
#define PAGE_BYTES 500
#define WITHIN_US (3 * CP_US_PER_S)

/* An inbound side and its target's pages.  */
struct scene
{
  struct cp_measuring measuring;
  struct cp_budget budget;
  struct cp_extent extent;
  struct cp_own_view own;
  uint64_t now_us;
  struct cp_page_word words[CP_PAGE_COUNT];
  uint64_t takes_us[CP_PAGE_COUNT];
  unsigned reads[CP_PAGE_COUNT];
};

static void
scene_init (struct scene *scene)
{
  *scene = (struct scene){ .now_us = 100 * CP_US_PER_S,
                           .own.limit = 12,
                           .takes_us = { 1000, 1000 } };
  scene->words[CP_PAGE_LOAD].has_in_flight = true;
  cp_measuring_init (&scene->measuring);
  cp_measuring_set (&scene->measuring, CP_US_PER_S, 2 * CP_US_PER_S);
  cp_budget_init (&scene->budget, WORK_US_PER_S, BYTES_PER_S);
}

static void
scene_in_flight (struct scene *scene, uint32_t in_flight)
{
  scene->own.in_flight = in_flight;
  cp_extent_note (&scene->extent, scene->now_us, in_flight);
}

/* Reads PAGE as the daemon does.  */
static void
scene_read (struct scene *scene, enum cp_page page)
{
  uint64_t reserve
      = cp_measuring_cost (&scene->measuring, page, PROBE_US, WORK_US_PER_S);
  struct cp_page_word word = scene->words[page];
  uint64_t took = scene->takes_us[page];
  unsigned grant;

  if (cp_budget_reserve (&scene->budget, scene->now_us, reserve, PAGE_BYTES,
                         &grant)
      != CP_BUDGET_GRANTED)
    return;
  if (took > reserve)
    {
      took = reserve;
      word.result = CP_PAGE_HUNG;
    }
  scene->now_us += took;
  cp_budget_settle (&scene->budget, grant, scene->now_us,
                    took > PROBE_US ? took : PROBE_US, PAGE_BYTES);
  cp_measuring_take (&scene->measuring, page, &word, &scene->own, took,
                     scene->now_us);
  scene->reads[page]++;
}

static void
scene_tick (struct scene *scene)
{
  scene->now_us += TICK_US;
  cp_extent_read (&scene->extent, scene->now_us, &scene->own.least_in_flight,
                  &scene->own.most_in_flight);
  for (unsigned page = 0; page < CP_PAGE_COUNT; page++)
    {
      enum cp_measuring_reason reason;

      if (cp_measuring_worth (&scene->measuring, (enum cp_page)page,
                              &scene->own, false, scene->now_us, &reason))
        scene_read (scene, (enum cp_page)page);
    }
}

static void
scene_run (struct scene *scene, unsigned seconds, unsigned calls_per_tick)
{
  for (uint64_t i = 0; i < seconds * CP_US_PER_S / TICK_US; i++)
    {
      scene->own.arrivals += calls_per_tick;
      scene->own.ended += calls_per_tick;
      scene_tick (scene);
    }
}

START_TEST (a_night_costs_next_to_nothing)
{
  struct scene scene;

  scene_init (&scene);
  scene_run (&scene, 3600, 0);
  /* One reading of each page in a minute: 0.2 ms/s of the 12 allowed.  */
  ck_assert_uint_le (scene.budget.work_us_spent / 3600, 210);
  ck_assert_uint_gt (scene.reads[CP_PAGE_LOAD], 0);
}
END_TEST

START_TEST (traffic_takes_the_place_of_the_load_page)
{
  struct scene scene;

  scene_init (&scene);
  scene_in_flight (&scene, 2);
  scene.words[CP_PAGE_LOAD].in_flight = 2;
  scene_run (&scene, 100, 10);
  ck_assert_uint_le (scene.reads[CP_PAGE_LOAD], 20);
  /* Only the health page tells that the target leaves.  */
  ck_assert_uint_ge (scene.reads[CP_PAGE_HEALTH], 45);
}
END_TEST

START_TEST (a_moving_word_is_read_more_often)
{
  struct scene scene;
  unsigned steady;

  scene_init (&scene);
  scene_run (&scene, 100, 1);
  steady = scene.reads[CP_PAGE_LOAD];
  scene.reads[CP_PAGE_LOAD] = 0;
  for (unsigned i = 0; i < 100; i++)
    {
      scene.words[CP_PAGE_LOAD].in_flight = i % 2 ? 9 : 1;
      scene_run (&scene, 1, 1);
    }
  ck_assert_uint_gt (scene.reads[CP_PAGE_LOAD], 2 * steady);
}
END_TEST

START_TEST (a_full_target_is_not_asked_for_its_load)
{
  struct scene scene;

  scene_init (&scene);
  scene_in_flight (&scene, 12);
  scene.words[CP_PAGE_LOAD].in_flight = 12;
  scene_run (&scene, 100, 1);
  ck_assert_uint_le (scene.reads[CP_PAGE_LOAD], 15);
}
END_TEST

START_TEST (a_page_that_always_says_idle_is_not_believed)
{
  struct scene scene;

  scene_init (&scene);
  scene_in_flight (&scene, 8);
  scene_run (&scene, 5, 1);
  scene.words[CP_PAGE_LOAD].in_flight = 0;
  scene_run (&scene, 100, 1);
  ck_assert_uint_gt (scene.measuring.pages[CP_PAGE_LOAD].untrue, 1);
  ck_assert_double_lt (scene.measuring.pages[CP_PAGE_LOAD].trust, 0.25);
  ck_assert_uint_eq (cp_measuring_hidden (&scene.measuring, scene.now_us), 0);
}
END_TEST

START_TEST (a_page_that_lags_is_no_liar)
{
  struct scene scene;
  uint32_t then[21] = { 0 };

  scene_init (&scene);
  for (unsigned i = 0; i < 1000; i++)
    {
      uint32_t now = i / 50 % 2 ? 9 : 1;

      scene_in_flight (&scene, now);
      /* The page says what was there 20 ticks, 2 s, ago.  */
      scene.words[CP_PAGE_LOAD].in_flight = then[(i + 1) % 21];
      then[i % 21] = now;
      scene.own.arrivals++;
      scene_tick (&scene);
    }
  ck_assert_uint_gt (scene.reads[CP_PAGE_LOAD], 10);
  ck_assert_uint_eq (scene.measuring.pages[CP_PAGE_LOAD].untrue, 0);
}
END_TEST

START_TEST (hidden_work_is_seen_and_fades)
{
  struct scene scene;

  scene_init (&scene);
  scene_in_flight (&scene, 2);
  scene.words[CP_PAGE_LOAD].in_flight = 10;
  scene_run (&scene, 1, 1);
  ck_assert_uint_ge (cp_measuring_hidden (&scene.measuring, scene.now_us), 4);
  ck_assert_uint_le (cp_measuring_hidden (&scene.measuring, scene.now_us), 8);
  scene.now_us += 3 * CP_US_PER_S;
  ck_assert_uint_eq (cp_measuring_hidden (&scene.measuring, scene.now_us), 0);
}
END_TEST

START_TEST (a_hung_page_costs_its_time_and_is_backed_off)
{
  struct scene scene;
  unsigned first;

  scene_init (&scene);
  scene.takes_us[CP_PAGE_LOAD] = CP_US_PER_S;
  scene.takes_us[CP_PAGE_HEALTH] = CP_US_PER_S;
  scene_run (&scene, 60, 1);
  first = scene.reads[CP_PAGE_LOAD];
  ck_assert_uint_le (first, 8);
  ck_assert_uint_eq (scene.measuring.pages[CP_PAGE_LOAD].hung, first);
  ck_assert_uint_ge (scene.budget.work_us_spent, first * PROBE_US);
  ck_assert_uint_eq (scene.budget.overdrafts, 0);
  ck_assert (!cp_measuring_draining (&scene.measuring, scene.now_us));
  ck_assert (
      !cp_measuring_must_ask (&scene.measuring, WITHIN_US, scene.now_us));
}
END_TEST

START_TEST (a_leaving_target_is_known_in_time)
{
  /* At every load that a target can have, but for none at all.  */
  for (unsigned calls = 1; calls < 40; calls += 3)
    {
      struct scene scene;

      scene_init (&scene);
      scene_run (&scene, 60, calls);
      scene.words[CP_PAGE_LOAD].draining = true;
      scene.words[CP_PAGE_HEALTH].draining = true;
      scene_run (&scene, 3, calls);
      ck_assert (cp_measuring_draining (&scene.measuring, scene.now_us));
      scene.words[CP_PAGE_LOAD].draining = false;
      scene.words[CP_PAGE_HEALTH].draining = false;
      scene_run (&scene, 3, 0);
      ck_assert (!cp_measuring_draining (&scene.measuring, scene.now_us));
    }
}
END_TEST

START_TEST (a_call_after_a_quiet_time_asks_first)
{
  struct scene scene;
  enum cp_measuring_reason reason;

  scene_init (&scene);
  scene_run (&scene, 40, 0);
  ck_assert (
      cp_measuring_must_ask (&scene.measuring, WITHIN_US, scene.now_us));
  ck_assert (cp_measuring_worth (&scene.measuring, CP_PAGE_HEALTH, &scene.own,
                                 true, scene.now_us, &reason));
  ck_assert_int_eq (reason, CP_MEASURING_ASKED);
  scene_read (&scene, CP_PAGE_HEALTH);
  ck_assert (
      !cp_measuring_must_ask (&scene.measuring, WITHIN_US, scene.now_us));
}
END_TEST

START_TEST (an_impossible_word_is_counted_and_ignored)
{
  struct scene scene;

  scene_init (&scene);
  scene.words[CP_PAGE_LOAD].has_in_flight = false;
  scene.words[CP_PAGE_LOAD].impossible = true;
  scene_run (&scene, 1, 1);
  ck_assert_uint_ge (scene.measuring.pages[CP_PAGE_LOAD].untrue, 1);
  ck_assert_uint_eq (cp_measuring_hidden (&scene.measuring, scene.now_us), 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, a_night_costs_next_to_nothing);
  tcase_add_test (tests, traffic_takes_the_place_of_the_load_page);
  tcase_add_test (tests, a_moving_word_is_read_more_often);
  tcase_add_test (tests, a_full_target_is_not_asked_for_its_load);
  tcase_add_test (tests, a_page_that_always_says_idle_is_not_believed);
  tcase_add_test (tests, a_page_that_lags_is_no_liar);
  tcase_add_test (tests, hidden_work_is_seen_and_fades);
  tcase_add_test (tests, a_hung_page_costs_its_time_and_is_backed_off);
  tcase_add_test (tests, a_leaving_target_is_known_in_time);
  tcase_add_test (tests, a_call_after_a_quiet_time_asks_first);
  tcase_add_test (tests, an_impossible_word_is_counted_and_ignored);
}

int
main (void)
{
  return suite_run ("measuring", add_tests, 60);
}

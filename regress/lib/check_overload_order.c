/* Goodput of services whose servers order waiting requests by rank, in the
   model of regress/harness/overload_model.h.  Each test names the load that it
   answers; its bounds are those of docs/overload-and-evacuation.md.  */
#include <glib.h>
#include <stdio.h>

#include "lib/request_rank.h"
#include "regress/harness/overload_model.h"
#include "regress/harness/suite.h"

/* The share of the best point that the requirements ask for.  */
#define GOODPUT_MIN 0.95

static double
served_share (const struct load *load)
{
  return load->offered == 0 ? 1 : (double)load->in_time / load->offered;
}

/* Runs the loads that have been added until END_S.  */
static void
run (uint64_t end_s)
{
  model_start_loads ();
  model_run_until (end_s);
  model_finish ();
}

#define END_S 14
#define COUNTED_S (END_S - MODEL_WARM_S)

/* Returns what is served in time a second, of the loads of ranks up to
   RANK.  */
static double
goodput (unsigned rank, double seconds)
{
  unsigned in_time = 0;

  for (unsigned i = 0; i < model_n_loads; i++)
    if (cp_request_rank_priority (model_loads[i].priority, false, 0) <= rank)
      in_time += model_loads[i].in_time;
  return in_time / seconds;
}

/* Prints the results when the tests are run with CK_VERBOSITY=verbose.  */
static void
print_loads (const char *name)
{
  const char *verbosity = g_getenv ("CK_VERBOSITY");

  if (verbosity == NULL || strcmp (verbosity, "verbose") != 0)
    return;
  for (unsigned i = 0; i < model_n_loads; i++)
    printf ("%s service %u priority %u: offered %.0f/s, in time %.3f, failed "
            "%.3f, late %.3f\n",
            name, model_loads[i].service, model_loads[i].priority,
            (double)model_loads[i].offered / COUNTED_S,
            served_share (&model_loads[i]),
            (double)model_loads[i].failed / model_loads[i].offered,
            (double)model_loads[i].late / model_loads[i].offered);
}

/* Offers TIMES the room: callers of the front service, and three priorities of
   direct requests to the back service.  */
static void
run_mix (double times, const unsigned priorities[4])
{
  model_begin ();
  model_add_load (MODEL_FRONT, priorities[0], 0.2 * times);
  model_add_load (MODEL_BACK, priorities[1], 0.1 * times);
  model_add_load (MODEL_BACK, priorities[2], 0.2 * times);
  model_add_load (MODEL_BACK, priorities[3], 0.5 * times);
  run (END_S);
  print_loads ("mix");
}

static const double multiples[] = { 0.5, 1, 1.5, 2, 4 };

/* Returns the goodput at four times the room as a share of the best point.  */
static double
share_of_best (const unsigned priorities[4])
{
  double best = 0;
  double last = 0;

  for (unsigned i = 0; i < G_N_ELEMENTS (multiples); i++)
    {
      run_mix (multiples[i], priorities);
      last = goodput (CP_REQUEST_RANK_PRIORITIES, COUNTED_S);
      best = MAX (best, last);
    }
  return last / best;
}

/* Load: 0.5 to 4 times the room.  Guards against a service that does less work
   of use the more it is offered.  */
START_TEST (goodput_at_four_times_the_room_is_that_of_the_best_point)
{
  static const unsigned priorities[] = { 1, 0, 1, 2 };

  ck_assert_double_ge (share_of_best (priorities), GOODPUT_MIN);
}
END_TEST

/* Load: four times the room.  Guards against room for less urgent requests
   while more urgent ones are refused.  The lower priorities keep their
   share.  */
START_TEST (the_room_is_given_from_the_most_urgent_rank_down)
{
  static const unsigned priorities[] = { 1, 0, 1, 2 };
  const struct load *loads = model_loads;
  double all;

  run_mix (4, priorities);
  all = goodput (CP_REQUEST_RANK_PRIORITIES, COUNTED_S) / (4 * MODEL_ROOM);
  /* The room is ample for the first rank alone.  */
  ck_assert_double_ge (served_share (&loads[1]), GOODPUT_MIN);
  /* No kind is served less often than a less urgent one, by over 5 in 100,
     and each at least a quarter as often as all.  */
  ck_assert_double_ge (served_share (&loads[0]),
                       served_share (&loads[3]) - 0.05);
  ck_assert_double_ge (served_share (&loads[2]),
                       served_share (&loads[3]) - 0.05);
  for (unsigned i = 0; i < 4; i++)
    ck_assert_double_ge (served_share (&loads[i]), all / 4);
}
END_TEST

/* Load: calls of running requests beside four times the room of new requests
   of the same priority.  Guards against runs that are wasted because their
   call is refused.  */
START_TEST (calls_go_before_new_requests_of_their_priority)
{
  model_begin ();
  model_add_load (MODEL_FRONT, 1, 0.15);
  model_add_load (MODEL_BACK, 1, 4);
  run (END_S);
  print_loads ("calls");
  ck_assert_double_ge (served_share (&model_loads[0]), GOODPUT_MIN);
  ck_assert_uint_le (model_loads[0].failed, 0.05 * model_loads[0].offered);
}
END_TEST

/* Load: a burst of four times the room of a lower priority, beside half the
   room of a higher one.  */
START_TEST (a_burst_of_a_lower_priority_does_not_displace_a_higher_one)
{
  struct load *low;

  model_begin ();
  model_add_load (MODEL_BACK, 0, 0.5);
  low = model_add_load (MODEL_BACK, 2, 4);
  low->from_us = 4 * CP_US_PER_S;
  low->until_us = 9 * CP_US_PER_S;
  run (END_S);
  print_loads ("low burst");
  ck_assert_double_ge (served_share (&model_loads[0]), GOODPUT_MIN);
}
END_TEST

/* Load: four times the room of a higher priority, beside a quarter of the room
   or the whole room of a lower one.  The lower one is served at least a
   quarter as often as all requests are, and gets its start in eight, but is
   not served more often than the higher one (by over 5 in 100).  */
START_TEST (a_burst_of_a_higher_priority_does_not_shut_out_a_lower_one)
{
  static const double lower[] = { 0.25, 1 };
  const double room = MODEL_ROOM * COUNTED_S;
  double all;

  model_begin ();
  model_add_load (MODEL_BACK, 0, 4);
  model_add_load (MODEL_BACK, 2, lower[_i]);
  run (END_S);
  print_loads ("high burst");
  all = goodput (CP_REQUEST_RANK_PRIORITIES, COUNTED_S);
  ck_assert_double_ge (served_share (&model_loads[1]),
                       all / ((4 + lower[_i]) * MODEL_ROOM) / 4);
  ck_assert_double_ge (served_share (&model_loads[0]),
                       served_share (&model_loads[1]) - 0.05);
  if (lower[_i] >= 1)
    ck_assert_double_ge (model_loads[1].in_time, GOODPUT_MIN * room / 8);
  ck_assert_double_ge (all, GOODPUT_MIN * MODEL_ROOM);
}
END_TEST

/* Load: 1.5 times the room while half of the servers take three times as long
   from 4 s to 8 s.  Guards against answers after the deadline, and against
   goodput that does not return.  */
START_TEST (a_server_that_turns_slow_refuses_what_it_cannot_serve)
{
  double before;
  unsigned in_time;

  model_begin ();
  model_add_load (MODEL_BACK, 0, 0.5);
  model_add_load (MODEL_BACK, 1, 1);
  model_start_loads ();
  model_run_until (4);
  before = goodput (CP_REQUEST_RANK_PRIORITIES, 2);
  for (unsigned i = 0; i < MODEL_SERVERS / 2; i++)
    model_set_slowness (i, 300);
  model_run_until (8);
  for (unsigned i = 0; i < MODEL_SERVERS / 2; i++)
    model_set_slowness (i, 100);
  model_run_until (9);
  in_time = (unsigned)(goodput (CP_REQUEST_RANK_PRIORITIES, 1));
  model_run_until (11);
  ck_assert_double_ge (goodput (CP_REQUEST_RANK_PRIORITIES, 1) - in_time,
                       2 * GOODPUT_MIN * before);
  model_finish ();
  print_loads ("slow");
  for (unsigned i = 0; i < model_n_loads; i++)
    ck_assert_uint_le (model_loads[i].late, 0.01 * model_loads[i].offered);
}
END_TEST

/* Load: first tries of 0.9 of the room, beside retries of three times the room
   with the same priority.  */
START_TEST (a_retry_storm_does_not_displace_first_tries)
{
  model_begin ();
  model_add_load (MODEL_BACK, 1, 0.9);
  model_add_load (MODEL_BACK, 1, 3)->repeat = true;
  run (END_S);
  print_loads ("storm");
  ck_assert_double_ge (served_share (&model_loads[0]), GOODPUT_MIN);
  ck_assert_double_ge (goodput (CP_REQUEST_RANK_PRIORITIES, COUNTED_S),
                       GOODPUT_MIN * MODEL_ROOM);
}
END_TEST

/* Load: four times the room, with the orders that docs/design/overload.md
   compares.  Guards against an order that gives the most urgent rank less, or
   wastes more runs, than a simpler one.  */
START_TEST (the_order_by_rank_is_no_worse_than_simpler_ones)
{
  static const unsigned priorities[] = { 1, 0, 1, 2 };
  double all;
  double urgent;

  model_order = MODEL_ORDER_RANK;
  run_mix (4, priorities);
  all = goodput (CP_REQUEST_RANK_PRIORITIES, COUNTED_S);
  urgent = goodput (0, COUNTED_S);
  model_order = (enum model_order)_i;
  run_mix (4, priorities);
  model_order = MODEL_ORDER_RANK;
  ck_assert_double_ge (
      all, GOODPUT_MIN * goodput (CP_REQUEST_RANK_PRIORITIES, COUNTED_S));
  ck_assert_double_ge (urgent, GOODPUT_MIN * goodput (0, COUNTED_S));
}
END_TEST

/* Load: 0.5 to 4 times the room, all routes with the same priority, or with
   priorities beyond any that the queue knows.  */
START_TEST (goodput_does_not_depend_on_priorities)
{
  static const unsigned priorities[][4]
      = { { 0, 0, 0, 0 }, { 5, 5, 5, 5 }, { UINT32_MAX, 1U << 31, 100, 0 } };

  ck_assert_double_ge (share_of_best (priorities[_i]), GOODPUT_MIN);
}
END_TEST

/* Load: twice the room of requests whose deadline is past on arrival, or
   closer than the work, beside 0.9 of the room of others.  Guards against
   room that is spent on them.  */
START_TEST (requests_without_time_take_no_room)
{
  struct load *past;
  struct load *close;

  model_begin ();
  model_add_load (MODEL_BACK, 1, 0.9);
  past = model_add_load (MODEL_BACK, 0, 1);
  past->timeout_us = 0;
  close = model_add_load (MODEL_BACK, 0, 1);
  close->timeout_us = MODEL_WORK_US / 2;
  run (END_S);
  print_loads ("no time");
  ck_assert_uint_eq (past->attempted, 0);
  ck_assert_uint_le (close->attempted, 0.01 * close->offered);
  ck_assert_double_ge (served_share (&model_loads[0]), GOODPUT_MIN);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests,
                  goodput_at_four_times_the_room_is_that_of_the_best_point);
  tcase_add_test (tests, the_room_is_given_from_the_most_urgent_rank_down);
  tcase_add_test (tests, calls_go_before_new_requests_of_their_priority);
  tcase_add_test (tests,
                  a_burst_of_a_lower_priority_does_not_displace_a_higher_one);
  tcase_add_loop_test (
      tests, a_burst_of_a_higher_priority_does_not_shut_out_a_lower_one, 0, 2);
  tcase_add_test (tests,
                  a_server_that_turns_slow_refuses_what_it_cannot_serve);
  tcase_add_test (tests, a_retry_storm_does_not_displace_first_tries);
  tcase_add_loop_test (tests, the_order_by_rank_is_no_worse_than_simpler_ones,
                       MODEL_ORDER_ARRIVAL, MODEL_ORDER_CALLS_FIRST + 1);
  tcase_add_loop_test (tests, goodput_does_not_depend_on_priorities, 0, 3);
  tcase_add_test (tests, requests_without_time_take_no_room);
}

int
main (void)
{
  return suite_run ("overload_order", add_tests, 60);
}

/* The token bucket of a rate limit.  */
#include "lib/clock.h"
#include "lib/rate_limit.h"
#include "regress/harness/suite.h"

#define START_US (1000 * CP_US_PER_S)
#define MS 20000

static struct cp_rate_limit limit;

START_TEST (without_a_limit_everything_is_allowed)
{
  cp_rate_limit_init (&limit);
  for (unsigned i = 0; i < 1000; i++)
    ck_assert (cp_rate_limit_take (&limit, START_US));
  ck_assert_uint_eq (cp_rate_limit_wait_us (&limit, 5, START_US), 0);
  ck_assert_double_eq (cp_rate_limit_used_share (&limit, START_US), 0);
}
END_TEST

static const double rates[] = { 0.2, 1, 2.5, 24.8, 300 };

/* Guards against more requests than a server allows, within any 4 s of demand
   that is far above its limit and comes in bursts: rule LIMIT of the users
   allows one and a half times the limit and five requests.  */
START_TEST (no_window_gets_more_than_the_rate_allows)
{
  static unsigned counts[MS];
  double rate = rates[_i];
  unsigned sum = 0;

  cp_rate_limit_init (&limit);
  cp_rate_limit_set (&limit, rate, START_US);
  for (unsigned ms = 0; ms < MS; ms++)
    {
      bool bursts = ms / 700 % 3 != 0;

      counts[ms] = 0;
      for (unsigned i = 0; bursts && i < 5; i++)
        counts[ms]
            += cp_rate_limit_take (&limit, START_US + ms * CP_US_PER_MS);
      sum += counts[ms];
      if (ms >= 4000)
        sum -= counts[ms - 4000];
      ck_assert_double_le (sum, 1.5 * 4 * rate + 5);
    }
}
END_TEST

/* Guards against a limit that wastes what the server could take.  */
START_TEST (steady_demand_gets_the_whole_rate)
{
  double rate = rates[_i];
  unsigned taken = 0;

  cp_rate_limit_init (&limit);
  cp_rate_limit_set (&limit, rate, START_US);
  for (unsigned ms = 0; ms < MS; ms++)
    taken += cp_rate_limit_take (&limit, START_US + ms * CP_US_PER_MS);
  ck_assert_double_ge (taken, 0.95 * rate * MS / 1000 - 1);
}
END_TEST

START_TEST (the_wait_ends_when_the_tokens_have_arrived)
{
  uint64_t wait_us;

  cp_rate_limit_init (&limit);
  cp_rate_limit_set (&limit, 4, START_US);
  wait_us = cp_rate_limit_wait_us (&limit, 1, START_US);
  ck_assert_uint_eq (wait_us, 250000);
  ck_assert (!cp_rate_limit_take (&limit, START_US + wait_us - 1000));
  ck_assert (cp_rate_limit_take (&limit, START_US + wait_us));
  cp_rate_limit_set (&limit, 0, START_US + wait_us);
  ck_assert_uint_eq (cp_rate_limit_wait_us (&limit, 1, START_US + wait_us),
                     UINT64_MAX);
}
END_TEST

/* Guards against a server that changes its limit in small steps to get a full
   bucket with each.  */
START_TEST (a_changed_limit_brings_no_tokens)
{
  cp_rate_limit_init (&limit);
  for (unsigned i = 0; i < 100; i++)
    {
      cp_rate_limit_set (&limit, 20 + i % 2, START_US);
      ck_assert (!cp_rate_limit_take (&limit, START_US));
    }
}
END_TEST

static void
add_tests (TCase *tests)
{
  const int n_rates = sizeof rates / sizeof rates[0];

  tcase_add_test (tests, without_a_limit_everything_is_allowed);
  tcase_add_loop_test (tests, no_window_gets_more_than_the_rate_allows, 0,
                       n_rates);
  tcase_add_loop_test (tests, steady_demand_gets_the_whole_rate, 0, n_rates);
  tcase_add_test (tests, the_wait_ends_when_the_tokens_have_arrived);
  tcase_add_test (tests, a_changed_limit_brings_no_tokens);
}

int
main (void)
{
  return suite_run ("rate_limit", add_tests, 20);
}

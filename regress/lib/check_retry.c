/* Retries and hedges: budgets, rules and the time to come back.  */
#include "lib/hedge.h"
#include "lib/recent_histogram.h"
#include "lib/retry.h"
#include "regress/harness/suite.h"

#define SHARE 0.1
#define MOST 2
#define SEEDS 20
#define CALLS 5000

static const struct cp_retry_case good_case = { .has_right = true,
                                                .idempotent = true,
                                                .body_kept = true,
                                                .attempts = 1,
                                                .left_us = 1000000 };

START_TEST (retries_stay_within_their_share)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct cp_seeded_random random;
      struct cp_retry retry;
      unsigned retries = 0;

      cp_seeded_random_init (&random, seed);
      cp_retry_init (&retry);
      cp_retry_set (&retry, SHARE, MOST);
      for (unsigned i = 1; i <= CALLS; i++)
        {
          cp_retry_call (&retry);
          /* Failures come in phases, so that the bucket fills and empties. */
          if (i / 500 % 2 == 0 && cp_random_below (&random.random, 2) == 0)
            retries += cp_retry_judge (&retry, &good_case) == CP_RETRY_ALLOWED;
          ck_assert_double_le (retries, CP_RETRY_RESERVE + SHARE * i);
        }
      ck_assert_uint_gt (retries, CP_RETRY_RESERVE);
      cp_retry_finish (&retry);
      cp_seeded_random_finish (&random);
    }
}
END_TEST

START_TEST (every_rule_refuses)
{
  struct cp_retry retry;
  struct cp_retry_case cases[CP_RETRY_VERDICT_COUNT];

  cp_retry_init (&retry);
  cp_retry_set (&retry, SHARE, MOST);
  for (unsigned i = 0; i < CP_RETRY_VERDICT_COUNT; i++)
    cases[i] = good_case;
  cases[CP_RETRY_NO_RIGHT].has_right = false;
  cases[CP_RETRY_MAY_RUN].idempotent = false;
  cases[CP_RETRY_NO_BODY].body_kept = false;
  cases[CP_RETRY_NO_TIME].needs_us = cases[CP_RETRY_NO_TIME].left_us;
  cases[CP_RETRY_MOST].attempts = MOST + 1;
  for (unsigned i = 0; i <= CP_RETRY_MOST; i++)
    ck_assert_int_eq (cp_retry_judge (&retry, &cases[i]), i);
  cases[CP_RETRY_MAY_RUN].not_run = true;
  ck_assert_int_eq (cp_retry_judge (&retry, &cases[CP_RETRY_MAY_RUN]),
                    CP_RETRY_ALLOWED);
  cp_retry_finish (&retry);
}
END_TEST

START_TEST (none_while_the_service_is_overloaded)
{
  struct cp_retry retry;

  cp_retry_init (&retry);
  cp_retry_set (&retry, SHARE, MOST);
  for (unsigned i = 0; i < 100; i++)
    cp_retry_ended (&retry, CP_RETRY_NO_ROOM);
  ck_assert_int_eq (cp_retry_judge (&retry, &good_case), CP_RETRY_OVERLOADED);
  for (unsigned i = 0; i < 100; i++)
    cp_retry_ended (&retry, CP_RETRY_ANSWERED);
  ck_assert_int_eq (cp_retry_judge (&retry, &good_case), CP_RETRY_ALLOWED);
  /* One target of five without room does not make the service overloaded. */
  for (unsigned i = 0; i < 1000; i++)
    {
      cp_retry_ended (&retry,
                      i % 5 == 0 ? CP_RETRY_NO_ROOM : CP_RETRY_ANSWERED);
      cp_retry_call (&retry);
      ck_assert_int_ne (cp_retry_judge (&retry, &good_case),
                        CP_RETRY_OVERLOADED);
    }
  cp_retry_finish (&retry);
}
END_TEST

START_TEST (the_time_to_come_back_follows_the_load)
{
  struct cp_seeded_random random;
  struct cp_retry retry;
  unsigned calm = 0, loaded = 0;
  unsigned seen[CP_RETRY_AFTER_MAX_S + 1] = { 0 };

  cp_seeded_random_init (&random, 1);
  cp_retry_init (&retry);
  for (unsigned i = 0; i < 1000; i++)
    calm += cp_retry_after_s (&retry, &random.random);
  for (unsigned i = 0; i < 1000; i++)
    cp_retry_ended (&retry, CP_RETRY_NO_ROOM);
  for (unsigned i = 0; i < 1000; i++)
    {
      unsigned after_s = cp_retry_after_s (&retry, &random.random);

      ck_assert_uint_ge (after_s, 1);
      ck_assert_uint_le (after_s, CP_RETRY_AFTER_MAX_S);
      seen[after_s]++;
      loaded += after_s;
    }
  ck_assert_uint_eq (calm, 1000);
  ck_assert_uint_gt (loaded, 3 * calm);
  /* No second gets more than twice its even part.  */
  for (unsigned i = 1; i <= CP_RETRY_AFTER_MAX_S; i++)
    ck_assert_uint_le (seen[i], 200);
  cp_retry_finish (&retry);
  cp_seeded_random_finish (&random);
}
END_TEST

/* Of a chain 12 deep only the first hop has the right to retry: when the last
   target fails for good, it is called at most MOST + 1 times.  */
static unsigned
call_chain (struct cp_retry *hops, unsigned depth, unsigned deep,
            bool has_right)
{
  struct cp_retry_case what = good_case;
  unsigned runs = 0;

  if (deep == depth)
    return 1;
  what.has_right = has_right;
  cp_retry_call (&hops[deep]);
  for (what.attempts = 1;; what.attempts++)
    {
      runs += call_chain (hops, depth, deep + 1, false);
      if (cp_retry_judge (&hops[deep], &what) != CP_RETRY_ALLOWED)
        return runs;
    }
}

START_TEST (a_chain_does_not_multiply)
{
  struct cp_retry hops[12];

  for (unsigned i = 0; i < 12; i++)
    {
      cp_retry_init (&hops[i]);
      cp_retry_set (&hops[i], 1, MOST);
    }
  ck_assert_uint_le (call_chain (hops, 12, 0, true), MOST + 1);
  for (unsigned i = 0; i < 12; i++)
    cp_retry_finish (&hops[i]);
}
END_TEST

START_TEST (hedges_stay_within_their_share)
{
  struct cp_hedge hedge;
  unsigned sent = 0;

  cp_hedge_init (&hedge, 0);
  cp_hedge_set (&hedge, 0.05, 0.95);
  for (unsigned i = 1; i <= CALLS; i++)
    {
      cp_hedge_call (&hedge);
      if (i % 1000 < 500)
        sent += cp_hedge_take (&hedge);
      ck_assert_double_le (sent, 0.05 * i + 1e-6);
    }
  ck_assert_uint_gt (sent, 0);
  cp_hedge_finish (&hedge);
}
END_TEST

START_TEST (the_quantile_is_learnt_and_followed)
{
  struct cp_seeded_random random;
  struct cp_hedge hedge;
  uint64_t now = 1;

  cp_seeded_random_init (&random, 3);
  cp_hedge_init (&hedge, now);
  cp_hedge_set (&hedge, 0.05, 0.95);
  ck_assert_uint_eq (cp_hedge_call (&hedge), 0);
  for (unsigned i = 0; i < 3000; i++)
    cp_hedge_learn (&hedge, now += 1000,
                    cp_random_below (&random.random, 10000));
  /* A sixteenth is the step of the histogram.  */
  ck_assert_uint_ge (cp_hedge_call (&hedge), 9000);
  ck_assert_uint_le (cp_hedge_call (&hedge), 10600);
  for (unsigned i = 0; i < 3000; i++)
    cp_hedge_learn (&hedge, now += 1000,
                    cp_random_below (&random.random, 1000));
  ck_assert_uint_le (cp_hedge_call (&hedge), 1060);
  cp_hedge_finish (&hedge);
  cp_seeded_random_finish (&random);
}
END_TEST

START_TEST (a_token_that_was_not_used_comes_back)
{
  struct cp_hedge hedge;

  cp_hedge_init (&hedge, 0);
  cp_hedge_set (&hedge, 0.5, 0.95);
  cp_hedge_call (&hedge);
  ck_assert (!cp_hedge_take (&hedge));
  cp_hedge_call (&hedge);
  ck_assert (cp_hedge_take (&hedge));
  cp_hedge_return (&hedge);
  ck_assert (cp_hedge_take (&hedge));
  ck_assert_uint_eq (hedge.sent, 1);
  cp_hedge_finish (&hedge);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, retries_stay_within_their_share);
  tcase_add_test (tests, every_rule_refuses);
  tcase_add_test (tests, none_while_the_service_is_overloaded);
  tcase_add_test (tests, the_time_to_come_back_follows_the_load);
  tcase_add_test (tests, a_chain_does_not_multiply);
  tcase_add_test (tests, hedges_stay_within_their_share);
  tcase_add_test (tests, the_quantile_is_learnt_and_followed);
  tcase_add_test (tests, a_token_that_was_not_used_comes_back);
}

int
main (void)
{
  return suite_run ("retry", add_tests, 60);
}

/* Retries and hedges: budgets, rules and Retry-After.  */
#include "lib/hedge.h"
#include "lib/recent_histogram.h"
#include "lib/retry.h"
#include "regress/harness/suite.h"

#define SHARE 0.1
#define MAX_RETRIES 2
#define SEEDS 20
#define CALLS 5000

static const struct cp_retry_context allowed_retry
    = { .has_right = true,
        .idempotent = true,
        .body_kept = true,
        .attempts = 1,
        .remaining_us = 1000000 };

START_TEST (retries_stay_within_their_share)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct cp_seeded_random random;
      struct cp_retry retry;
      unsigned retries = 0;

      cp_seeded_random_init (&random, seed);
      cp_retry_init (&retry);
      cp_retry_configure (&retry, SHARE, MAX_RETRIES);
      for (unsigned i = 1; i <= CALLS; i++)
        {
          cp_retry_count_call (&retry);
          /* Failures come in phases, so that the bucket fills and empties.  */
          if (i / 500 % 2 == 0 && cp_random_below (&random.random, 2) == 0)
            retries += cp_retry_decide (&retry, &allowed_retry)
                       == CP_RETRY_ALLOWED;
          ck_assert_double_le (retries, CP_RETRY_TOKENS_MAX + SHARE * i);
        }
      ck_assert_uint_gt (retries, CP_RETRY_TOKENS_MAX);
      cp_retry_finish (&retry);
      cp_seeded_random_finish (&random);
    }
}
END_TEST

START_TEST (every_rule_can_refuse_a_retry)
{
  struct cp_retry retry;
  struct cp_retry_context contexts[CP_RETRY_VERDICT_COUNT];

  cp_retry_init (&retry);
  cp_retry_configure (&retry, SHARE, MAX_RETRIES);
  for (unsigned i = 0; i < CP_RETRY_VERDICT_COUNT; i++)
    contexts[i] = allowed_retry;
  contexts[CP_RETRY_NO_RIGHT].has_right = false;
  contexts[CP_RETRY_MAY_RUN].idempotent = false;
  contexts[CP_RETRY_NO_BODY].body_kept = false;
  contexts[CP_RETRY_NO_TIME].expected_us
      = contexts[CP_RETRY_NO_TIME].remaining_us;
  contexts[CP_RETRY_MOST_ATTEMPTS].attempts = MAX_RETRIES + 1;
  for (unsigned i = 0; i <= CP_RETRY_MOST_ATTEMPTS; i++)
    ck_assert_int_eq (cp_retry_decide (&retry, &contexts[i]), i);
  contexts[CP_RETRY_MAY_RUN].not_run = true;
  ck_assert_int_eq (cp_retry_decide (&retry, &contexts[CP_RETRY_MAY_RUN]),
                    CP_RETRY_ALLOWED);
  cp_retry_finish (&retry);
}
END_TEST

START_TEST (no_retries_while_the_service_is_overloaded)
{
  struct cp_retry retry;

  cp_retry_init (&retry);
  cp_retry_configure (&retry, SHARE, MAX_RETRIES);
  for (unsigned i = 0; i < 100; i++)
    cp_retry_count_end (&retry, CP_RETRY_NO_ROOM);
  ck_assert_int_eq (cp_retry_decide (&retry, &allowed_retry),
                    CP_RETRY_OVERLOADED);
  for (unsigned i = 0; i < 100; i++)
    cp_retry_count_end (&retry, CP_RETRY_ANSWERED);
  ck_assert_int_eq (cp_retry_decide (&retry, &allowed_retry),
                    CP_RETRY_ALLOWED);
  /* One target of five without room does not make the service overloaded. */
  for (unsigned i = 0; i < 1000; i++)
    {
      cp_retry_count_end (&retry,
                          i % 5 == 0 ? CP_RETRY_NO_ROOM : CP_RETRY_ANSWERED);
      cp_retry_count_call (&retry);
      ck_assert_int_ne (cp_retry_decide (&retry, &allowed_retry),
                        CP_RETRY_OVERLOADED);
    }
  cp_retry_finish (&retry);
}
END_TEST

START_TEST (retry_after_grows_with_overload)
{
  struct cp_seeded_random random;
  struct cp_retry retry;
  unsigned idle = 0, loaded = 0;
  unsigned seen[CP_RETRY_AFTER_MAX_S + 1] = { 0 };

  cp_seeded_random_init (&random, 1);
  cp_retry_init (&retry);
  for (unsigned i = 0; i < 1000; i++)
    idle += cp_retry_after_s (&retry, &random.random);
  for (unsigned i = 0; i < 1000; i++)
    cp_retry_count_end (&retry, CP_RETRY_NO_ROOM);
  for (unsigned i = 0; i < 1000; i++)
    {
      unsigned after_s = cp_retry_after_s (&retry, &random.random);

      ck_assert_uint_ge (after_s, 1);
      ck_assert_uint_le (after_s, CP_RETRY_AFTER_MAX_S);
      seen[after_s]++;
      loaded += after_s;
    }
  ck_assert_uint_eq (idle, 1000);
  ck_assert_uint_gt (loaded, 3 * idle);
  /* The values are spread evenly: none comes more than twice as often as it
     would on average.  */
  for (unsigned i = 1; i <= CP_RETRY_AFTER_MAX_S; i++)
    ck_assert_uint_le (seen[i], 200);
  cp_retry_finish (&retry);
  cp_seeded_random_finish (&random);
}
END_TEST

/* Calls along a chain of DEPTH hops, of which only the first has the right to
   retry, to a target that always fails.  Returns how often the target is
   called: at most MAX_RETRIES + 1 times, since retries at each hop would
   multiply.  */
static unsigned
call_chain (struct cp_retry *hops, unsigned depth, unsigned hop,
            bool has_right)
{
  struct cp_retry_context context = allowed_retry;
  unsigned runs = 0;

  if (hop == depth)
    return 1;
  context.has_right = has_right;
  cp_retry_count_call (&hops[hop]);
  for (context.attempts = 1;; context.attempts++)
    {
      runs += call_chain (hops, depth, hop + 1, false);
      if (cp_retry_decide (&hops[hop], &context) != CP_RETRY_ALLOWED)
        return runs;
    }
}

START_TEST (a_chain_of_hops_does_not_multiply_retries)
{
  struct cp_retry hops[12];

  for (unsigned i = 0; i < 12; i++)
    {
      cp_retry_init (&hops[i]);
      cp_retry_configure (&hops[i], 1, MAX_RETRIES);
    }
  ck_assert_uint_le (call_chain (hops, 12, 0, true), MAX_RETRIES + 1);
  for (unsigned i = 0; i < 12; i++)
    cp_retry_finish (&hops[i]);
}
END_TEST

START_TEST (hedges_stay_within_their_share)
{
  struct cp_hedge hedge;
  unsigned sent = 0;

  cp_hedge_init (&hedge, 0);
  cp_hedge_configure (&hedge, 0.05, 0.95);
  for (unsigned i = 1; i <= CALLS; i++)
    {
      cp_hedge_start_call (&hedge);
      if (i % 1000 < 500)
        sent += cp_hedge_take_token (&hedge);
      ck_assert_double_le (sent, 0.05 * i + 1e-6);
    }
  ck_assert_uint_gt (sent, 0);
  cp_hedge_finish (&hedge);
}
END_TEST

START_TEST (the_hedge_delay_follows_the_quantile)
{
  struct cp_seeded_random random;
  struct cp_hedge hedge;
  uint64_t now = 1;

  cp_seeded_random_init (&random, 3);
  cp_hedge_init (&hedge, now);
  cp_hedge_configure (&hedge, 0.05, 0.95);
  ck_assert_uint_eq (cp_hedge_start_call (&hedge), 0);
  for (unsigned i = 0; i < 3000; i++)
    cp_hedge_add_latency (&hedge, now += 1000,
                          cp_random_below (&random.random, 10000));
  /* Histogram buckets are a sixteenth of their value wide.  */
  ck_assert_uint_ge (cp_hedge_start_call (&hedge), 9000);
  ck_assert_uint_le (cp_hedge_start_call (&hedge), 10600);
  for (unsigned i = 0; i < 3000; i++)
    cp_hedge_add_latency (&hedge, now += 1000,
                          cp_random_below (&random.random, 1000));
  ck_assert_uint_le (cp_hedge_start_call (&hedge), 1060);
  cp_hedge_finish (&hedge);
  cp_seeded_random_finish (&random);
}
END_TEST

START_TEST (an_unused_token_is_returned)
{
  struct cp_hedge hedge;

  cp_hedge_init (&hedge, 0);
  cp_hedge_configure (&hedge, 0.5, 0.95);
  cp_hedge_start_call (&hedge);
  ck_assert (!cp_hedge_take_token (&hedge));
  cp_hedge_start_call (&hedge);
  ck_assert (cp_hedge_take_token (&hedge));
  cp_hedge_return_token (&hedge);
  ck_assert (cp_hedge_take_token (&hedge));
  ck_assert_uint_eq (hedge.sent, 1);
  cp_hedge_finish (&hedge);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, retries_stay_within_their_share);
  tcase_add_test (tests, every_rule_can_refuse_a_retry);
  tcase_add_test (tests, no_retries_while_the_service_is_overloaded);
  tcase_add_test (tests, retry_after_grows_with_overload);
  tcase_add_test (tests, a_chain_of_hops_does_not_multiply_retries);
  tcase_add_test (tests, hedges_stay_within_their_share);
  tcase_add_test (tests, the_hedge_delay_follows_the_quantile);
  tcase_add_test (tests, an_unused_token_is_returned);
}

int
main (void)
{
  return suite_run ("retry", add_tests, 60);
}

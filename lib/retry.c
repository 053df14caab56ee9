#include <string.h>

#include "lib/cleanup.h"
#include "lib/retry.h"

/* Number of attempts over which the share of refusals is averaged.  */
#define NO_ROOM_SMOOTHING 32
/* Share of refusals above which nothing is retried.  */
#define OVERLOAD_SHARE 0.5

const char *const cp_retry_verdict_names[CP_RETRY_VERDICT_COUNT]
    = { [CP_RETRY_ALLOWED] = "allowed",
        [CP_RETRY_NO_RIGHT] = "no-right",
        [CP_RETRY_MAY_RUN] = "may-have-run",
        [CP_RETRY_NO_BODY] = "body-not-kept",
        [CP_RETRY_NO_TIME] = "no-time",
        [CP_RETRY_MOST_ATTEMPTS] = "most-attempts",
        [CP_RETRY_OVERLOADED] = "overloaded",
        [CP_RETRY_NO_BUDGET] = "no-budget" };

void
cp_retry_init (struct cp_retry *retry)
{
  memset (retry, 0, sizeof *retry);
  pthread_mutex_init (&retry->lock, NULL);
  retry->tokens = CP_RETRY_TOKENS_MAX;
}

void
cp_retry_finish (struct cp_retry *retry)
{
  pthread_mutex_destroy (&retry->lock);
}

void
cp_retry_configure (struct cp_retry *retry, double share, unsigned max_retries)
{
  CP_LOCK_SCOPE (&retry->lock);
  retry->share = share;
  retry->max_retries = max_retries;
}

void
cp_retry_count_call (struct cp_retry *retry)
{
  CP_LOCK_SCOPE (&retry->lock);
  retry->calls++;
  retry->tokens += retry->share;
  if (retry->tokens > CP_RETRY_TOKENS_MAX)
    retry->tokens = CP_RETRY_TOKENS_MAX;
}

void
cp_retry_count_end (struct cp_retry *retry, enum cp_retry_end end)
{
  double no_room = end == CP_RETRY_NO_ROOM ? 1 : 0;

  CP_LOCK_SCOPE (&retry->lock);
  retry->no_room += (no_room - retry->no_room) / NO_ROOM_SMOOTHING;
}

static enum cp_retry_verdict
decide (const struct cp_retry *retry, const struct cp_retry_context *context)
{
  if (!context->has_right)
    return CP_RETRY_NO_RIGHT;
  if (!context->idempotent && !context->not_run)
    return CP_RETRY_MAY_RUN;
  if (!context->body_kept)
    return CP_RETRY_NO_BODY;
  if (context->remaining_us <= context->expected_us)
    return CP_RETRY_NO_TIME;
  if (context->attempts > retry->max_retries)
    return CP_RETRY_MOST_ATTEMPTS;
  if (retry->no_room > OVERLOAD_SHARE)
    return CP_RETRY_OVERLOADED;
  if (retry->tokens < 1)
    return CP_RETRY_NO_BUDGET;
  return CP_RETRY_ALLOWED;
}

enum cp_retry_verdict
cp_retry_decide (struct cp_retry *retry,
                 const struct cp_retry_context *context)
{
  enum cp_retry_verdict verdict;

  CP_LOCK_SCOPE (&retry->lock);
  verdict = decide (retry, context);
  retry->verdicts[verdict]++;
  if (verdict == CP_RETRY_ALLOWED)
    retry->tokens -= 1;
  return verdict;
}

void
cp_retry_return_token (struct cp_retry *retry)
{
  CP_LOCK_SCOPE (&retry->lock);
  retry->tokens += 1;
  retry->verdicts[CP_RETRY_ALLOWED]--;
}

unsigned
cp_retry_after_s (struct cp_retry *retry, const struct cp_random *random)
{
  unsigned max_s;

  CP_LOCK_SCOPE (&retry->lock);
  max_s = 1 + (unsigned)(retry->no_room * (CP_RETRY_AFTER_MAX_S - 1) + 0.5);
  return 1 + (unsigned)cp_random_below (random, max_s);
}

json_t *
cp_retry_dump (struct cp_retry *retry)
{
  json_t *verdicts = json_object ();

  CP_LOCK_SCOPE (&retry->lock);
  for (unsigned i = 0; i < CP_RETRY_VERDICT_COUNT; i++)
    if (retry->verdicts[i] > 0)
      json_object_set_new (verdicts, cp_retry_verdict_names[i],
                           json_integer ((json_int_t)retry->verdicts[i]));
  return json_pack ("{s:f, s:I, s:f, s:f, s:o}", "calls_share", retry->share,
                    "calls", (json_int_t)retry->calls, "tokens", retry->tokens,
                    "no_room_share", retry->no_room, "verdicts", verdicts);
}

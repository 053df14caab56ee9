#include <string.h>

#include "lib/cleanup.h"
#include "lib/retry.h"

#define NO_ROOM_WEIGHT 32 /* attempts */
#define NO_ROOM_SHARE 0.5 /* above it the service is overloaded */

const char *const cp_retry_verdict_names[CP_RETRY_VERDICT_COUNT] = {
  [CP_RETRY_ALLOWED] = "allowed",       [CP_RETRY_NO_RIGHT] = "no-right",
  [CP_RETRY_MAY_RUN] = "may-have-run",  [CP_RETRY_NO_BODY] = "body-not-kept",
  [CP_RETRY_NO_TIME] = "no-time",       [CP_RETRY_MOST] = "most-attempts",
  [CP_RETRY_OVERLOADED] = "overloaded", [CP_RETRY_NO_BUDGET] = "no-budget"
};

void
cp_retry_init (struct cp_retry *retry)
{
  memset (retry, 0, sizeof *retry);
  pthread_mutex_init (&retry->lock, NULL);
  retry->tokens = CP_RETRY_RESERVE;
}

void
cp_retry_finish (struct cp_retry *retry)
{
  pthread_mutex_destroy (&retry->lock);
}

void
cp_retry_set (struct cp_retry *retry, double share, unsigned most)
{
  CP_LOCK_SCOPE (&retry->lock);
  retry->share = share;
  retry->most = most;
}

void
cp_retry_call (struct cp_retry *retry)
{
  CP_LOCK_SCOPE (&retry->lock);
  retry->calls++;
  retry->tokens += retry->share;
  if (retry->tokens > CP_RETRY_RESERVE)
    retry->tokens = CP_RETRY_RESERVE;
}

void
cp_retry_ended (struct cp_retry *retry, enum cp_retry_end end)
{
  double no_room = end == CP_RETRY_NO_ROOM ? 1 : 0;

  CP_LOCK_SCOPE (&retry->lock);
  retry->no_room += (no_room - retry->no_room) / NO_ROOM_WEIGHT;
}

static enum cp_retry_verdict
judge (const struct cp_retry *retry, const struct cp_retry_case *what)
{
  if (!what->has_right)
    return CP_RETRY_NO_RIGHT;
  if (!what->idempotent && !what->not_run)
    return CP_RETRY_MAY_RUN;
  if (!what->body_kept)
    return CP_RETRY_NO_BODY;
  if (what->left_us <= what->needs_us)
    return CP_RETRY_NO_TIME;
  if (what->attempts > retry->most)
    return CP_RETRY_MOST;
  if (retry->no_room > NO_ROOM_SHARE)
    return CP_RETRY_OVERLOADED;
  if (retry->tokens < 1)
    return CP_RETRY_NO_BUDGET;
  return CP_RETRY_ALLOWED;
}

enum cp_retry_verdict
cp_retry_judge (struct cp_retry *retry, const struct cp_retry_case *what)
{
  enum cp_retry_verdict verdict;

  CP_LOCK_SCOPE (&retry->lock);
  verdict = judge (retry, what);
  retry->verdicts[verdict]++;
  if (verdict == CP_RETRY_ALLOWED)
    retry->tokens -= 1;
  return verdict;
}

void
cp_retry_return (struct cp_retry *retry)
{
  CP_LOCK_SCOPE (&retry->lock);
  retry->tokens += 1;
  retry->verdicts[CP_RETRY_ALLOWED]--;
}

unsigned
cp_retry_after_s (struct cp_retry *retry, const struct cp_random *random)
{
  unsigned most;

  CP_LOCK_SCOPE (&retry->lock);
  most = 1 + (unsigned)(retry->no_room * (CP_RETRY_AFTER_MAX_S - 1) + 0.5);
  return 1 + (unsigned)cp_random_below (random, most);
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

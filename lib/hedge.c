#include <string.h>

#include "lib/cleanup.h"
#include "lib/hedge.h"

#define MEDIAN 0.5 /* quantile */

void
cp_hedge_init (struct cp_hedge *hedge, uint64_t now_us)
{
  memset (hedge, 0, sizeof *hedge);
  pthread_mutex_init (&hedge->lock, NULL);
  cp_recent_histogram_init (&hedge->latency, now_us);
}

void
cp_hedge_finish (struct cp_hedge *hedge)
{
  pthread_mutex_destroy (&hedge->lock);
}

void
cp_hedge_configure (struct cp_hedge *hedge, double share, double quantile)
{
  CP_LOCK_SCOPE (&hedge->lock);
  hedge->share = share;
  hedge->quantile = quantile;
}

uint64_t
cp_hedge_start_call (struct cp_hedge *hedge)
{
  CP_LOCK_SCOPE (&hedge->lock);
  hedge->calls++;
  hedge->tokens += hedge->share;
  if (hedge->tokens > CP_HEDGE_TOKENS_MAX)
    hedge->tokens = CP_HEDGE_TOKENS_MAX;
  if (hedge->share <= 0
      || cp_recent_histogram_count (&hedge->latency) < CP_HEDGE_MIN_SAMPLES)
    return 0;
  return cp_recent_histogram_quantile (&hedge->latency, hedge->quantile) + 1;
}

bool
cp_hedge_take_token (struct cp_hedge *hedge)
{
  CP_LOCK_SCOPE (&hedge->lock);
  if (hedge->tokens < 1)
    {
      hedge->refused++;
      return false;
    }
  hedge->tokens -= 1;
  hedge->sent++;
  return true;
}

void
cp_hedge_return_token (struct cp_hedge *hedge)
{
  CP_LOCK_SCOPE (&hedge->lock);
  hedge->tokens += 1;
  hedge->sent--;
}

void
cp_hedge_count_win (struct cp_hedge *hedge)
{
  CP_LOCK_SCOPE (&hedge->lock);
  hedge->won++;
}

void
cp_hedge_add_latency (struct cp_hedge *hedge, uint64_t now_us,
                      uint64_t latency_us)
{
  CP_LOCK_SCOPE (&hedge->lock);
  cp_recent_histogram_add (&hedge->latency, now_us, latency_us);
}

uint64_t
cp_hedge_median_us (struct cp_hedge *hedge)
{
  CP_LOCK_SCOPE (&hedge->lock);
  return cp_recent_histogram_quantile (&hedge->latency, MEDIAN);
}

json_t *
cp_hedge_dump (struct cp_hedge *hedge)
{
  uint64_t after_us;

  CP_LOCK_SCOPE (&hedge->lock);
  after_us = cp_recent_histogram_quantile (&hedge->latency, hedge->quantile);
  return json_pack ("{s:f, s:f, s:I, s:I, s:f, s:I, s:I, s:I}", "calls_share",
                    hedge->share, "after_quantile", hedge->quantile,
                    "after_us", (json_int_t)after_us, "calls",
                    (json_int_t)hedge->calls, "tokens", hedge->tokens, "sent",
                    (json_int_t)hedge->sent, "won", (json_int_t)hedge->won,
                    "refused", (json_int_t)hedge->refused);
}

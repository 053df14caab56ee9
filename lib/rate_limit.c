#include <glib.h>

#include "lib/rate_limit.h"

/* Time whose tokens are kept.  With it, a limit is exceeded by a sixteenth
   within the 4 s over which the users judge it.  */
#define BURST_S 0.25

#define US_PER_S 1e6

static double
tokens_max (const struct cp_rate_limit *limit)
{
  return limit->per_s <= 0 ? 0 : MAX (1.0, BURST_S * limit->per_s);
}

static double
current_tokens (const struct cp_rate_limit *limit, uint64_t now_us)
{
  double age_s = (double)(now_us - limit->updated_us) / US_PER_S;

  return MIN (tokens_max (limit), limit->tokens + age_s * limit->per_s);
}

void
cp_rate_limit_init (struct cp_rate_limit *limit)
{
  *limit = (struct cp_rate_limit){ .active = false };
}

void
cp_rate_limit_set (struct cp_rate_limit *limit, double per_s, uint64_t now_us)
{
  double tokens = limit->active ? current_tokens (limit, now_us) : 0;

  *limit = (struct cp_rate_limit){ .active = true,
                                   .per_s = per_s,
                                   .updated_us = now_us };
  limit->tokens = MIN (tokens, tokens_max (limit));
}

void
cp_rate_limit_lift (struct cp_rate_limit *limit)
{
  limit->active = false;
}

bool
cp_rate_limit_take (struct cp_rate_limit *limit, uint64_t now_us)
{
  if (!limit->active)
    return true;
  limit->tokens = current_tokens (limit, now_us);
  limit->updated_us = now_us;
  if (limit->tokens < 1)
    return false;
  limit->tokens--;
  return true;
}

uint64_t
cp_rate_limit_wait_us (const struct cp_rate_limit *limit, unsigned count,
                       uint64_t now_us)
{
  double missing;

  if (!limit->active)
    return 0;
  missing = count - current_tokens (limit, now_us);
  if (missing <= 0)
    return 0;
  if (limit->per_s * (double)UINT32_MAX < missing)
    return UINT64_MAX;
  return (uint64_t)(missing / limit->per_s * US_PER_S);
}

double
cp_rate_limit_used_share (const struct cp_rate_limit *limit, uint64_t now_us)
{
  double tokens;

  if (!limit->active)
    return 0;
  tokens = current_tokens (limit, now_us);
  return tokens < 1 ? 1 : 1 - tokens / tokens_max (limit);
}

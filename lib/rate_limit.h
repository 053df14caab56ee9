/* Limit of requests a second, as a token bucket.

   A request takes a token.  Tokens arrive at the rate of the limit and are
   kept up to those of a short time, so that requests which arrive unevenly can
   use the whole rate.  In any span of T seconds, at most the rate times T plus
   the tokens kept are taken.  A new limit starts without tokens.

   Performs no I/O; not thread-safe.  */
#ifndef CP_RATE_LIMIT_H
#define CP_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

struct cp_rate_limit
{
  bool active;
  double per_s;
  double tokens;
  uint64_t updated_us;
};

/* No limit.  */
void cp_rate_limit_init (struct cp_rate_limit *limit);

/* Sets the rate to PER_S requests a second, 0 for none at all.  */
void cp_rate_limit_set (struct cp_rate_limit *limit, double per_s,
                        uint64_t now_us);
void cp_rate_limit_lift (struct cp_rate_limit *limit);

/* Takes a token.  Returns false if there is none.  */
bool cp_rate_limit_take (struct cp_rate_limit *limit, uint64_t now_us);

/* Returns the time until COUNT tokens will have arrived, in microseconds; 0
   without a limit, UINT64_MAX if they never will.  */
uint64_t cp_rate_limit_wait_us (const struct cp_rate_limit *limit,
                                unsigned count, uint64_t now_us);

/* Returns the missing tokens as a share of those that are kept: 1 when no
   request is allowed now, 0 without a limit.  */
double cp_rate_limit_used_share (const struct cp_rate_limit *limit,
                                 uint64_t now_us);

#endif

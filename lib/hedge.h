/* Hedged attempts: when to send a second attempt while the first one is
   unanswered.

   An idempotent call without an answer after a quantile of its service's
   measured latency is sent to a second target as well; the first answer is
   used.  Hedges are limited to a share of the calls by a token bucket that
   starts empty: each call adds the share, each hedge takes a token, so N calls
   allow at most share * N hedges.  Source: J. Dean and L. Barroso, The Tail at
   Scale, CACM 56(2), 2013.

   The current time is passed in.  All functions lock.  */
#ifndef CP_HEDGE_H
#define CP_HEDGE_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/recent_histogram.h"

#define CP_HEDGE_TOKENS_MAX 10   /* capacity of the token bucket */
#define CP_HEDGE_MIN_SAMPLES 100 /* latencies needed to hedge */

struct cp_hedge
{
  pthread_mutex_t lock;
  double share;
  double quantile;
  double tokens;
  struct cp_recent_histogram latency;
  uint64_t calls;
  uint64_t sent;
  uint64_t won;
  uint64_t refused;
};

void cp_hedge_init (struct cp_hedge *hedge, uint64_t now_us);
void cp_hedge_finish (struct cp_hedge *hedge);

/* Sets the share of calls that may be hedged and the latency quantile after
   which they are, both from the document.  */
void cp_hedge_configure (struct cp_hedge *hedge, double share,
                         double quantile);

/* Counts a call.  Returns the time after which it may be hedged, or 0 when it
   may not be: too few latencies are known or the share is 0.  */
uint64_t cp_hedge_start_call (struct cp_hedge *hedge);

/* Takes a token for a hedge.  Returns false when there is none.  */
bool cp_hedge_take_token (struct cp_hedge *hedge);

/* Returns the token of a hedge that was not sent.  */
void cp_hedge_return_token (struct cp_hedge *hedge);

/* Counts a hedge that was answered before the first attempt.  */
void cp_hedge_count_win (struct cp_hedge *hedge);

/* Adds the time until the head of an answer came.  For an attempt that was
   cancelled, add the time until then: a lower bound of its latency.  */
void cp_hedge_add_latency (struct cp_hedge *hedge, uint64_t now_us,
                           uint64_t latency_us);

/* Returns the median latency, 0 when none is known.  */
uint64_t cp_hedge_median_us (struct cp_hedge *hedge);

/* Returns a JSON object with the settings and counters.  */
json_t *cp_hedge_dump (struct cp_hedge *hedge);

#endif

/* When a second attempt is sent while the first is still without an answer.

   An idempotent call that has no answer after the learnt quantile of its
   service's latency is sent to a second target as well; the first answer is
   taken.  Hedges are held to a share of the calls by a token bucket counted in
   calls, which starts empty: over N calls there are at most share * N hedges.
   Source: J. Dean and L. Barroso, The Tail at Scale, CACM 56(2), 2013.

   Time is passed in.  All functions lock.  */
#ifndef CP_HEDGE_H
#define CP_HEDGE_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/recent_histogram.h"

#define CP_HEDGE_TOKENS_MAX 10   /* calls */
#define CP_HEDGE_LEARN_CALLS 100 /* before the quantile is taken as learnt */

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

/* Takes the document's share of calls and the quantile to wait for.  */
void cp_hedge_set (struct cp_hedge *hedge, double share, double quantile);

/* Counts a call.  Returns the time after which it may be hedged, or 0 when it
   may not: nothing is learnt yet, or the service has no share.  */
uint64_t cp_hedge_call (struct cp_hedge *hedge);

/* Takes a token for a hedge; false when there is none.  */
bool cp_hedge_take (struct cp_hedge *hedge);

/* Gives back a token whose hedge was not sent.  */
void cp_hedge_return (struct cp_hedge *hedge);

/* Counts a hedge that was answered first.  */
void cp_hedge_won (struct cp_hedge *hedge);

/* Learns how long the head of an answer took.  For an attempt that was
   cancelled, its time until then: the least that it would have taken.  */
void cp_hedge_learn (struct cp_hedge *hedge, uint64_t now_us,
                     uint64_t latency_us);

/* Returns the latency in the middle, 0 when nothing is known.  */
uint64_t cp_hedge_median_us (struct cp_hedge *hedge);

json_t *cp_hedge_dump (struct cp_hedge *hedge);

#endif

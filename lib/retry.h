/* Whether a call may be tried again, and when its caller may come back.

   Retries of a service are held to a share of its calls by a token bucket
   that is counted in calls: each first attempt adds the share, each retry
   takes a whole token.  The bucket starts with, and holds at most,
   CP_RETRY_TOKENS_MAX tokens, so that a service with few calls can retry at
   all. Over any number N of calls there are at most CP_RETRY_TOKENS_MAX +
   share * N retries.  Source: the retry budget of Finagle (Twitter, 2016).

   When most attempts are refused for lack of room, wherever they go, the
   service as a whole is overloaded and nothing is retried.  Source: Google,
   Site Reliability Engineering, chapter 21, Handling Overload, 2016.

   Time and random numbers are passed in.  All functions lock.  */
#ifndef CP_RETRY_H
#define CP_RETRY_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clock.h"

#define CP_RETRY_TOKENS_MAX 10 /* calls */
#define CP_RETRY_AFTER_MAX_S 10

/* How an attempt ended, as far as retries are concerned.  */
enum cp_retry_end
{
  CP_RETRY_ANSWERED,
  CP_RETRY_NO_ROOM, /* refused for lack of room */
  CP_RETRY_OTHER
};

enum cp_retry_verdict
{
  CP_RETRY_ALLOWED,
  CP_RETRY_NO_RIGHT,      /* another hop holds the right to retry */
  CP_RETRY_MAY_RUN,       /* it may have run, and is not idempotent */
  CP_RETRY_NO_BODY,       /* the body is not kept */
  CP_RETRY_NO_TIME,       /* the deadline leaves no time for another attempt */
  CP_RETRY_MOST_ATTEMPTS, /* as many attempts as the document allows */
  CP_RETRY_OVERLOADED,    /* the service as a whole has no room */
  CP_RETRY_NO_BUDGET,     /* the share is used up */
  CP_RETRY_VERDICT_COUNT
};

extern const char *const cp_retry_verdict_names[CP_RETRY_VERDICT_COUNT];

/* What there is to judge.  */
struct cp_retry_context
{
  bool has_right;
  bool idempotent;
  bool not_run; /* with proof */
  bool body_kept;
  unsigned attempts;     /* made so far */
  uint64_t remaining_us; /* until the deadline */
  uint64_t expected_us; /* what an attempt takes as a rule; 0 when not known */
};

struct cp_retry
{
  pthread_mutex_t lock;
  double share;
  unsigned max_retries; /* retries of one call */
  double tokens;
  double no_room; /* moving share of attempts refused for lack of room */
  uint64_t calls;
  uint64_t verdicts[CP_RETRY_VERDICT_COUNT];
};

void cp_retry_init (struct cp_retry *retry);
void cp_retry_finish (struct cp_retry *retry);

/* Takes the document's share of calls and most retries of one call.  */
void cp_retry_configure (struct cp_retry *retry, double share,
                         unsigned max_retries);

/* Counts a call, at its first attempt.  */
void cp_retry_count_call (struct cp_retry *retry);

/* Counts the end of an attempt, first or not.  */
void cp_retry_count_end (struct cp_retry *retry, enum cp_retry_end end);

/* Judges a call whose last attempt failed.  CP_RETRY_ALLOWED takes a token. */
enum cp_retry_verdict cp_retry_decide (struct cp_retry *retry,
                                       const struct cp_retry_context *context);

/* Gives back the token of a retry for which there was no target.  */
void cp_retry_return_token (struct cp_retry *retry);

/* Returns the seconds after which a caller that was given up may come back:
   1 to CP_RETRY_AFTER_MAX_S, more the fewer attempts find room, spread at
   random so that callers do not come back together.  */
unsigned cp_retry_after_s (struct cp_retry *retry,
                           const struct cp_random *random);

json_t *cp_retry_dump (struct cp_retry *retry);

#endif

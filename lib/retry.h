/* Decides whether a call may be retried, and after what time a failed caller
   may try again.

   Retries of a service are limited to a share of its calls by a token bucket:
   each first attempt adds the share, each retry takes a token.  The bucket
   starts with, and holds at most, CP_RETRY_TOKENS_MAX tokens, so that a
   service with few calls can retry at all.  N calls allow at most
   CP_RETRY_TOKENS_MAX + share * N retries.  Source: the retry budget of
   Finagle (Twitter, 2016).

   When most attempts are refused for lack of room, whatever the target, the
   service as a whole is overloaded and nothing is retried.  Source: Google,
   Site Reliability Engineering, chapter 21, Handling Overload, 2016.

   Random numbers are passed in.  All functions lock.  */
#ifndef CP_RETRY_H
#define CP_RETRY_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clock.h"

#define CP_RETRY_TOKENS_MAX 10 /* capacity of the token bucket */
#define CP_RETRY_AFTER_MAX_S 10

/* Results of an attempt that matter for retries.  */
enum cp_retry_end
{
  CP_RETRY_ANSWERED,
  CP_RETRY_NO_ROOM, /* refused for lack of room */
  CP_RETRY_OTHER
};

enum cp_retry_verdict
{
  CP_RETRY_ALLOWED,
  CP_RETRY_NO_RIGHT,      /* another hop has the right to retry */
  CP_RETRY_MAY_RUN,       /* it may have run and is not idempotent */
  CP_RETRY_NO_BODY,       /* the request body was not kept */
  CP_RETRY_NO_TIME,       /* too little time is left until the deadline */
  CP_RETRY_MOST_ATTEMPTS, /* as many attempts as the document allows */
  CP_RETRY_OVERLOADED,    /* the service as a whole is overloaded */
  CP_RETRY_NO_BUDGET,     /* the token bucket is empty */
  CP_RETRY_VERDICT_COUNT
};

extern const char *const cp_retry_verdict_names[CP_RETRY_VERDICT_COUNT];

/* State of a call on which the decision depends.  */
struct cp_retry_context
{
  bool has_right;
  bool idempotent;
  bool not_run; /* the last attempt is known not to have run */
  bool body_kept;
  unsigned attempts;     /* attempts made so far */
  uint64_t remaining_us; /* until the deadline */
  uint64_t expected_us;  /* usual duration of an attempt; 0: unknown */
};

struct cp_retry
{
  pthread_mutex_t lock;
  double share;
  unsigned max_retries; /* most retries of one call */
  double tokens;
  double no_room; /* moving mean of attempts refused for lack of room */
  uint64_t calls;
  uint64_t verdicts[CP_RETRY_VERDICT_COUNT];
};

void cp_retry_init (struct cp_retry *retry);
void cp_retry_finish (struct cp_retry *retry);

/* Sets the share of calls that may be retried and the most retries of one
   call, both from the document.  */
void cp_retry_configure (struct cp_retry *retry, double share,
                         unsigned max_retries);

/* Counts a call at its first attempt.  */
void cp_retry_count_call (struct cp_retry *retry);

/* Counts the end of any attempt.  */
void cp_retry_count_end (struct cp_retry *retry, enum cp_retry_end end);

/* Decides whether to retry a call whose last attempt failed.  CP_RETRY_ALLOWED
   takes a token.  */
enum cp_retry_verdict cp_retry_decide (struct cp_retry *retry,
                                       const struct cp_retry_context *context);

/* Returns the token of a retry for which there was no target.  */
void cp_retry_return_token (struct cp_retry *retry);

/* Returns the value for the header Retry-After in seconds, from 1 to
   CP_RETRY_AFTER_MAX_S.  The upper end of its range grows with the share of
   attempts refused for lack of room; the value is random so that callers do
   not all retry at the same time.  */
unsigned cp_retry_after_s (struct cp_retry *retry,
                           const struct cp_random *random);

/* Returns a JSON object with the settings and counters.  */
json_t *cp_retry_dump (struct cp_retry *retry);

#endif

#include <stdio.h>
#include <string.h>

#include "cornelpickd/cornelpickd.h"

static void
add_tried (struct cp_tried_targets *tried, const struct cp_target *target)
{
  if (tried->count == CP_TRIED_MAX)
    return;
  g_strlcpy (tried->names[tried->count], target->name, CP_NAME_BYTES);
  g_strlcpy (tried->domains[tried->count], target->failure_domain,
             CP_NAME_BYTES);
  tried->count++;
}

/* Removes the target whose connection was silent from those that were tried.
   Returns false if there is none, or it was removed before.  */
static bool
allow_silent_target (struct call *call)
{
  struct cp_tried_targets *tried = &call->tried;

  if (call->silent_target[0] == '\0' || call->silent_target_used)
    return false;
  for (unsigned i = 0; i < tried->count; i++)
    if (strcmp (tried->names[i], call->silent_target) == 0)
      {
        tried->count--;
        memmove (tried->names[i], tried->names[tried->count], CP_NAME_BYTES);
        memmove (tried->domains[i], tried->domains[tried->count],
                 CP_NAME_BYTES);
        call->silent_target_used = true;
        return true;
      }
  return false;
}

static bool
pick_untried (struct call *call, struct attempt *attempt)
{
  return cp_balancer_pick (call->balancer, &call->tried, cp_random_thread (),
                           &attempt->target, &attempt->incarnation);
}

bool
call_pick_target (struct call *call, struct attempt *attempt)
{
  if (!pick_untried (call, attempt)
      && !(allow_silent_target (call) && pick_untried (call, attempt)))
    return false;
  add_tried (&call->tried, &attempt->target);
  cp_id_create (&attempt->id, cp_random_thread ());
  return true;
}

/* Adds a decision record of the outcome of the call.  */
static void
record_outcome (const struct call *call, const char *outcome, int status)
{
  struct daemon *daemon = call->outbound->daemon;
  struct cp_decision decision = { .kind = CP_DECISION_OUTCOME,
                                  .request = call->id,
                                  .status = status,
                                  .value = call->tried.count };

  g_strlcpy (decision.service, call->route->service->name,
             sizeof decision.service);
  g_strlcpy (decision.reason, outcome, sizeof decision.reason);
  decision.duration_us
      = cp_clock_now_us (daemon->clock) - call->request->arrived_us;
  daemon_record (daemon, &decision);
}

/* Answers the caller when no attempt brought an answer.  */
static void
answer_failure (struct call *call, enum attempt_outcome outcome)
{
  struct daemon *daemon = call->outbound->daemon;
  bool timed_out = call->timed_out
                   || cp_clock_now_us (daemon->clock) >= call->deadline_us;
  char id[CP_ID_TEXT_BYTES];
  char headers[256];
  unsigned after_s
      = cp_retry_after_s (&call->policy->retry, cp_random_thread ());

  cp_id_text (&call->id, id);
  if (outcome == ATTEMPT_NOT_RUN)
    {
      daemon_count (daemon, COUNT_NOT_RUN);
      record_outcome (call, "not-run", timed_out ? 504 : 503);
      snprintf (headers, sizeof headers,
                HEADER_REQUEST ": %s\r\n" HEADER_OUTCOME
                               ": not-run\r\nRetry-After: %u\r\n",
                id, after_s);
      request_answer (call->request, timed_out ? 504 : 503, headers,
                      "text/plain",
                      "The request was not run; it can be sent again.\n");
      return;
    }
  daemon_count (daemon, COUNT_UNKNOWN);
  record_outcome (call, "unknown", timed_out ? 504 : 502);
  snprintf (headers, sizeof headers,
            HEADER_REQUEST ": %s\r\n" HEADER_OUTCOME ": unknown\r\n", id);
  request_answer (call->request, timed_out ? 504 : 502, headers, "text/plain",
                  "It is not known whether the request was run.\n");
}

/* The attempts of one round: one, or two when it was hedged.  */
struct round
{
  struct attempt attempts[UPSTREAM_HEDGED];
  enum upstream_result results[UPSTREAM_HEDGED];
  unsigned count;
  unsigned chosen; /* index of the attempt whose answer is used */
};

/* Ends an attempt and reports it to the service's retry and hedge policy.  */
static void
end_attempt (struct call *call, struct round *round, unsigned index)
{
  struct attempt *attempt = &round->attempts[index];
  struct cp_retry *retry = &call->policy->retry;
  uint64_t now = cp_clock_now_us (call->outbound->daemon->clock);

  attempt_end (attempt, round->results[index]);
  if (attempt->status == STATUS_NO_ROOM && attempt->outcome == ATTEMPT_NOT_RUN)
    cp_retry_count_end (retry, CP_RETRY_NO_ROOM);
  else
    cp_retry_count_end (retry,
                        attempt->chosen ? CP_RETRY_ANSWERED : CP_RETRY_OTHER);
  if (attempt->chosen)
    cp_hedge_add_latency (&call->policy->hedge, now,
                          attempt->head_us - attempt->started_us);
  else if (round->results[index] == UPSTREAM_ABORTED)
    cp_hedge_add_latency (&call->policy->hedge, now,
                          now - attempt->started_us);
}

/* Ends the answer sent to the caller, and then the attempt that lost.  */
static void
end_answer (struct call *call, struct round *round)
{
  struct daemon *daemon = call->outbound->daemon;
  bool complete = round->results[round->chosen] == UPSTREAM_COMPLETE;

  end_attempt (call, round, round->chosen);
  answer_end (&call->answer, complete);
  daemon_count (daemon, complete ? COUNT_RAN : COUNT_CUT_ANSWERS);
  record_outcome (call, complete ? "ran" : "cut short", call->answer.status);
  for (unsigned i = 0; i < round->count; i++)
    if (i != round->chosen)
      end_attempt (call, round, i);
}

/* Makes the attempts of a round.  Returns false when the configuration is not
   usable or no target is left.  */
static bool
run_round (struct call *call, struct round *round)
{
  struct daemon *daemon = call->outbound->daemon;
  struct attempt *first = &round->attempts[0];

  for (unsigned i = 0; i < UPSTREAM_HEDGED; i++)
    round->attempts[i].call = call;
  if (!configuration_usable (&daemon->configuration)
      || !call_pick_target (call, first))
    return false;
  first->outcome = ATTEMPT_NOT_RUN;
  if (!attempt_ensure_incarnation (first))
    {
      cp_balancer_end_call (call->balancer, first->target.name,
                            CP_CALL_NO_CONNECTION, 0);
      return true;
    }
  round->count = hedge_attempts (first, &round->attempts[1], round->results);
  round->chosen = round->attempts[1].chosen ? 1 : 0;
  return true;
}

/* Ends the attempts of a round without an answer for the caller.  Returns
   whether it is proved that none of them was run.  */
static bool
end_round (struct call *call, struct round *round)
{
  bool not_run = true;

  for (unsigned i = 0; i < round->count; i++)
    {
      end_attempt (call, round, i);
      if (round->attempts[i].outcome != ATTEMPT_NOT_RUN)
        not_run = false;
    }
  return not_run;
}

/* Returns whether another round may follow.  */
static bool
may_try_again (struct call *call, const struct round *round, bool not_run,
               unsigned rounds)
{
  uint64_t now = cp_clock_now_us (call->outbound->daemon->clock);
  struct cp_retry_context context
      = { .has_right = call->may_retry,
          .idempotent = call->idempotent,
          .not_run = not_run,
          .body_kept = !call->body_incomplete,
          .attempts = rounds,
          .expected_us = cp_hedge_median_us (&call->policy->hedge) };

  if (round->count > 0 && round->results[0] == UPSTREAM_CALLER_GONE)
    return false;
  if (call->deadline_us > now)
    context.remaining_us = call->deadline_us - now;
  return cp_retry_decide (&call->policy->retry, &context) == CP_RETRY_ALLOWED;
}

void
call_run (struct call *call)
{
  struct daemon *daemon = call->outbound->daemon;
  enum attempt_outcome outcome = ATTEMPT_NOT_RUN;

  call->policy = policies_get (&daemon->policies, call->route->service->name);
  cp_retry_count_call (&call->policy->retry);
  call->hedge_after_us = cp_hedge_start_call (&call->policy->hedge);
  for (unsigned rounds = 1;; rounds++)
    {
      struct round round = { .count = 0 };
      bool not_run;

      if (!run_round (call, &round))
        {
          if (rounds > 1)
            cp_retry_return_token (&call->policy->retry);
          break;
        }
      if (rounds > 1)
        daemon_count (daemon, COUNT_RETRIES);
      if (call->answer.head_sent)
        {
          end_answer (call, &round);
          return;
        }
      not_run = end_round (call, &round);
      if (!not_run)
        outcome = ATTEMPT_UNKNOWN;
      if (!may_try_again (call, &round, not_run, rounds))
        break;
    }
  answer_failure (call, outcome);
}

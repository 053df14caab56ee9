#include <stdio.h>
#include <string.h>

#include "cornelpickd/cornelpickd.h"

static void
add_tried (struct call *call, const char *name)
{
  if (call->tried.count < CP_TRIED_MAX)
    snprintf (call->tried.names[call->tried.count++], CP_NAME_BYTES, "%s",
              name);
}

/* Records how the call ended.  */
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

/* Tells the caller that there is no answer.  */
static void
answer_outcome (struct call *call, enum attempt_outcome outcome)
{
  struct daemon *daemon = call->outbound->daemon;
  bool late
      = call->late || cp_clock_now_us (daemon->clock) >= call->deadline_us;
  char id[CP_ID_TEXT_BYTES];
  char headers[256];

  cp_id_text (&call->id, id);
  if (outcome == ATTEMPT_NOT_RUN)
    {
      daemon_count (daemon, COUNT_NOT_RUN);
      record_outcome (call, "not-run", late ? 504 : 503);
      snprintf (headers, sizeof headers,
                HEADER_REQUEST ": %s\r\n" HEADER_OUTCOME
                               ": not-run\r\nRetry-After: 1\r\n",
                id);
      request_answer (call->request, late ? 504 : 503, headers, "text/plain",
                      "The request was not run; it can be sent again.\n");
      return;
    }
  daemon_count (daemon, COUNT_UNKNOWN);
  record_outcome (call, "unknown", late ? 504 : 502);
  snprintf (headers, sizeof headers,
            HEADER_REQUEST ": %s\r\n" HEADER_OUTCOME ": unknown\r\n", id);
  request_answer (call->request, late ? 504 : 502, headers, "text/plain",
                  "It is not known whether the request was run.\n");
}

/* Returns whether another attempt may follow.  */
static bool
may_try_again (const struct call *call, const struct attempt *attempt,
               enum upstream_result result, unsigned attempts)
{
  const struct daemon *daemon = call->outbound->daemon;

  if (call->answer.head_sent || result == UPSTREAM_CALLER_GONE)
    return false;
  if (attempt->outcome == ATTEMPT_UNKNOWN && !call->idempotent)
    return false;
  if (call->body_lost || cp_clock_now_us (daemon->clock) >= call->deadline_us)
    return false;
  return call->may_retry && attempts <= call->route->service->retry_most;
}

void
call_run (struct call *call)
{
  struct daemon *daemon = call->outbound->daemon;
  enum attempt_outcome outcome = ATTEMPT_NOT_RUN;

  for (unsigned attempts = 1;; attempts++)
    {
      struct attempt attempt = { .call = call };
      enum upstream_result result = UPSTREAM_NOT_SENT;

      if (!configuration_usable (&daemon->configuration)
          || !cp_balancer_pick (call->balancer, &call->tried,
                                cp_random_thread (), &attempt.target,
                                &attempt.incarnation))
        break;
      cp_id_create (&attempt.id, cp_random_thread ());
      attempt.outcome = ATTEMPT_NOT_RUN;
      if (attempt_learn_incarnation (&attempt))
        result = attempt_make (&attempt);
      else
        cp_balancer_done (call->balancer, attempt.target.name,
                          CP_CALL_NO_CONTACT, 0);
      add_tried (call, attempt.target.name);
      if (call->answer.head_sent)
        {
          answer_end (&call->answer, result == UPSTREAM_COMPLETE);
          daemon_count (daemon, result == UPSTREAM_COMPLETE
                                    ? COUNT_RAN
                                    : COUNT_CUT_ANSWERS);
          record_outcome (call,
                          result == UPSTREAM_COMPLETE ? "ran" : "cut short",
                          call->answer.status);
          return;
        }
      if (attempt.outcome == ATTEMPT_UNKNOWN)
        outcome = ATTEMPT_UNKNOWN;
      if (!may_try_again (call, &attempt, result, attempts))
        break;
      daemon_count (daemon, COUNT_RETRIES);
    }
  answer_outcome (call, outcome);
}

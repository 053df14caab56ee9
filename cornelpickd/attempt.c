#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

#define FENCE_TIMEOUT_US (50 * CP_US_PER_MS)
#define LOAD_TIMEOUT_US (50 * CP_US_PER_MS)
#define REGISTER_MARGIN_US (10 * CP_US_PER_S)

static const char *const priority_names[CP_PRIORITY_COUNT]
    = { "low", "normal", "high" };

static const char *const outcome_names[] = { [ATTEMPT_RAN] = "ran",
                                             [ATTEMPT_NOT_RUN] = "not-run",
                                             [ATTEMPT_UNKNOWN] = "unknown" };

static const char *const fence_names[] = { [FENCE_FENCED] = "fenced",
                                           [FENCE_STARTED] = "started",
                                           [FENCE_ANSWERED] = "answered",
                                           [FENCE_NO_PROOF] = "no proof" };

/* Records a step of the attempt.  */
static void
attempt_record (const struct attempt *attempt, enum cp_decision_kind kind,
                const char *reason, int status)
{
  const struct call *call = attempt->call;
  struct daemon *daemon = call->outbound->daemon;
  struct cp_decision decision = {
    .kind = kind, .request = call->id, .attempt = attempt->id, .status = status
  };

  g_strlcpy (decision.service, call->route->service->name,
             sizeof decision.service);
  g_strlcpy (decision.target, attempt->target.name, sizeof decision.target);
  g_strlcpy (decision.reason, reason, sizeof decision.reason);
  decision.duration_us = cp_clock_now_us (daemon->clock) - attempt->started_us;
  daemon_record (daemon, &decision);
}

static ssize_t
read_body (void *context, char *buffer, size_t size)
{
  struct attempt *attempt = context;
  struct call *call = attempt->call;
  ssize_t count;

  if (call->body_at < call->body->len)
    {
      size_t left = call->body->len - call->body_at;

      size = size < left ? size : left;
      memcpy (buffer, call->body->data + call->body_at, size);
      call->body_at += size;
      return (ssize_t)size;
    }
  count = request_read (call->request, buffer, size);
  if (count <= 0 || call->body_lost)
    return count;
  if (call->body->len + (size_t)count > call->route->replay_bytes)
    {
      call->body_lost = true;
      return count;
    }
  g_byte_array_append (call->body, (const guint8 *)buffer, (guint)count);
  call->body_at = call->body->len;
  return count;
}

static void
take_report (struct attempt *attempt, const struct upstream_head *head)
{
  char text[CP_REPORT_TEXT_BYTES];
  struct cp_report report;

  if (head_value (head, HEADER_LOAD, text, sizeof text)
      && cp_report_parse (&report, text))
    cp_balancer_report (attempt->call->balancer, attempt->target.name,
                        &report);
}

static bool
on_head (void *context, const struct upstream_head *head)
{
  struct attempt *attempt = context;
  struct call *call = attempt->call;
  const struct daemon *daemon = call->outbound->daemon;
  char outcome[16] = "ran";
  char id[CP_ID_TEXT_BYTES];
  char own[512];

  take_report (attempt, head);
  head_value (head, HEADER_FROM, attempt->from, sizeof attempt->from);
  head_value (head, HEADER_OUTCOME, outcome, sizeof outcome);
  if (strcmp (outcome, "ran") != 0)
    {
      attempt->swallow = true;
      attempt->outcome = strcmp (outcome, "not-run") == 0 ? ATTEMPT_NOT_RUN
                                                          : ATTEMPT_UNKNOWN;
      return true;
    }
  attempt->outcome = ATTEMPT_RAN;
  cp_id_text (&call->id, id);
  snprintf (own, sizeof own,
            HEADER_REQUEST ": %s\r\n" HEADER_OUTCOME ": ran\r\n" HEADER_PATH
                           ": %s, %s, %s\r\n",
            id, daemon->settings.vm, attempt->from, attempt->target.name);
  return answer_head (&call->answer, head, own);
}

static bool
on_body (void *context, const char *data, size_t size)
{
  struct attempt *attempt = context;

  if (attempt->swallow)
    return true;
  return answer_body (&attempt->call->answer, data, size);
}

static struct curl_slist *
peer_headers (const struct attempt *attempt)
{
  const struct call *call = attempt->call;
  const struct daemon *daemon = call->outbound->daemon;
  struct curl_slist *headers = forward_headers (call->request);
  uint64_t now = cp_clock_now_us (daemon->clock);
  char text[CP_ID_TEXT_BYTES];

  cp_id_text (&call->id, text);
  append_header (&headers, HEADER_REQUEST, "%s", text);
  cp_id_text (&attempt->id, text);
  append_header (&headers, HEADER_ATTEMPT, "%s", text);
  append_header (&headers, HEADER_INCARNATION, "%016" PRIx64,
                 attempt->incarnation);
  append_header (&headers, HEADER_REMAINING_US, "%" PRIu64,
                 call->deadline_us > now ? call->deadline_us - now : 0);
  append_header (&headers, HEADER_IDEMPOTENT, "%s",
                 call->idempotent ? "yes" : "no");
  append_header (&headers, HEADER_PRIORITY, "%s",
                 priority_names[call->route->priority]);
  append_header (&headers, HEADER_FROM, "%s", daemon->settings.vm);
  return headers;
}

static char *
full_path (const struct request *request)
{
  const struct mg_request_info *info = request->info;

  if (info->query_string == NULL)
    return g_strdup (info->request_uri);
  return g_strconcat (info->request_uri, "?", info->query_string, NULL);
}

static enum upstream_result
send_attempt (struct attempt *attempt)
{
  struct call *call = attempt->call;
  CP_AUTO_FREE char *path = full_path (call->request);
  struct curl_slist *headers = peer_headers (attempt);
  struct upstream_call upstream
      = { .address = attempt->target.has_daemon ? &attempt->target.daemon
                                                : &attempt->target.address,
          .method = call->request->info->request_method,
          .path = path,
          .headers = headers,
          .has_body = call->request->body_size != 0,
          .body_size = call->request->body_size,
          .deadline_us = call->deadline_us,
          .caller_fd = call->request->caller_fd,
          .context = attempt,
          .read_body = read_body,
          .on_head = on_head,
          .on_body = on_body };
  enum upstream_result result;

  call->body_at = 0;
  result = upstream_perform (&call->outbound->daemon->upstreams, &upstream);
  curl_slist_free_all (headers);
  return result;
}

/* Asks for proof that the attempt did not run and never will.  */
static enum attempt_outcome
fence (struct attempt *attempt)
{
  struct call *call = attempt->call;
  enum fence_result result;

  if (!attempt->target.has_daemon || attempt->incarnation == 0)
    return ATTEMPT_UNKNOWN;
  daemon_count (call->outbound->daemon, COUNT_FENCES);
  result
      = rpc_fence (&attempt->target.daemon, &attempt->id, attempt->incarnation,
                   REGISTER_MARGIN_US, true, FENCE_TIMEOUT_US);
  attempt_record (attempt, CP_DECISION_FENCE, fence_names[result], 0);
  if (result == FENCE_FENCED)
    return ATTEMPT_NOT_RUN;
  return ATTEMPT_UNKNOWN;
}

static enum cp_call_result
call_result (const struct attempt *attempt, enum upstream_result result)
{
  if (result == UPSTREAM_NOT_SENT)
    return CP_CALL_NO_CONTACT;
  if (attempt->outcome == ATTEMPT_NOT_RUN)
    return CP_CALL_REFUSED;
  if (result != UPSTREAM_COMPLETE || attempt->call->answer.status >= 500)
    return CP_CALL_FAILED;
  return CP_CALL_ANSWERED;
}

enum upstream_result
attempt_make (struct attempt *attempt)
{
  struct call *call = attempt->call;
  struct daemon *daemon = call->outbound->daemon;
  enum upstream_result result;

  attempt->started_us = cp_clock_now_us (daemon->clock);
  attempt->outcome = ATTEMPT_UNKNOWN;
  daemon_count (daemon, COUNT_FORWARDED);
  attempt_record (attempt, CP_DECISION_SEND, "sent", 0);
  result = send_attempt (attempt);
  if (result == UPSTREAM_NOT_SENT)
    attempt->outcome = ATTEMPT_NOT_RUN;
  else if (result != UPSTREAM_COMPLETE && !call->answer.head_sent)
    attempt->outcome = fence (attempt);
  attempt_record (attempt, CP_DECISION_ATTEMPT_END,
                  outcome_names[attempt->outcome], call->answer.status);
  cp_balancer_done (call->balancer, attempt->target.name,
                    call_result (attempt, result),
                    cp_clock_now_us (daemon->clock) - attempt->started_us);
  return result;
}

bool
attempt_learn_incarnation (struct attempt *attempt)
{
  struct cp_report report;

  if (attempt->incarnation != 0 || attempt->call->idempotent
      || !attempt->target.has_daemon)
    return true;
  if (!rpc_load (&attempt->target.daemon, &report, LOAD_TIMEOUT_US))
    return false;
  cp_balancer_report (attempt->call->balancer, attempt->target.name, &report);
  attempt->incarnation = report.incarnation;
  return true;
}

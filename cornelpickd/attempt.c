#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

#define FENCE_TIMEOUT_US (50 * CP_US_PER_MS)
/* An inbound side that sends no first byte within this multiple of its mean
   latency is queried about the attempt.  */
#define SILENCE_LATENCY_FACTOR 4
#define SILENCE_US_MIN (100 * CP_US_PER_MS)
/* Time allowed for an answer that the inbound side has sent to arrive.  */
#define ANSWER_GRACE_US (100 * CP_US_PER_MS)
/* After this many consecutive fence queries without a reply, the connection of
   an idempotent attempt is given up.  */
#define FENCE_FAILURES_MAX 2
/* A connection idle for longer is not used for a non-idempotent call.  */
#define NON_IDEMPOTENT_IDLE_US (CP_US_PER_S)
#define LOAD_TIMEOUT_US (50 * CP_US_PER_MS)
/* At most this fraction (1/4) of the remaining time is reserved for the
   fence.  */
#define FENCE_TIME_DIVISOR 4

static const char *const priority_names[CP_PRIORITY_COUNT]
    = { "low", "normal", "high" };

static const char *const outcome_names[] = { [ATTEMPT_RAN] = "ran",
                                             [ATTEMPT_NOT_RUN] = "not-run",
                                             [ATTEMPT_UNKNOWN] = "unknown" };

static const char *const fence_names[] = { [FENCE_FENCED] = "fenced",
                                           [FENCE_STARTED] = "started",
                                           [FENCE_ANSWERED] = "answered",
                                           [FENCE_NO_PROOF] = "no proof" };

/* Adds a decision record of the attempt.  */
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

/* Reads the kept body first, then the rest from the caller.  What is read from
   the caller is kept until it exceeds replay_bytes.  */
static ssize_t
read_body (void *context, char *buffer, size_t size)
{
  struct attempt *attempt = context;
  struct call *call = attempt->call;
  ssize_t count;

  if (attempt->body_at < call->body->len)
    {
      size_t left = call->body->len - attempt->body_at;

      size = size < left ? size : left;
      memcpy (buffer, call->body->data + attempt->body_at, size);
      attempt->body_at += size;
      return (ssize_t)size;
    }
  count = request_read (call->request, buffer, size);
  if (count <= 0 || call->body_incomplete)
    return count;
  if (call->body->len + (size_t)count > call->route->replay_bytes)
    {
      call->body_incomplete = true;
      return count;
    }
  g_byte_array_append (call->body, (const guint8 *)buffer, (guint)count);
  attempt->body_at = call->body->len;
  return count;
}

static void
update_load_report (struct attempt *attempt, const struct upstream_head *head)
{
  char text[CP_LOAD_REPORT_TEXT_BYTES];
  struct cp_load_report report;

  if (upstream_header_value (head, HEADER_LOAD, text, sizeof text)
      && cp_load_report_parse (&report, text))
    cp_balancer_add_report (attempt->call->balancer, attempt->target.name,
                            &report);
}

/* Updates the clock sample and the mean latency of the inbound side.  */
static void
update_peer_clock (const struct attempt *attempt,
                   const struct upstream_head *head)
{
  struct cp_peer_clocks *peers = &attempt->call->outbound->peers;
  const char *address = attempt->target.daemon.text;
  char text[CP_PEER_CLOCK_TEXT_BYTES];
  uint64_t incarnation;
  uint64_t clock_us;

  if (upstream_header_value (head, HEADER_CLOCK, text, sizeof text)
      && cp_peer_clock_parse (text, &incarnation, &clock_us))
    cp_peer_clocks_update (peers, address, incarnation, clock_us);
  cp_peer_clocks_add_latency (
      peers, address, cp_clock_now_us (peers->clock) - attempt->started_us);
}

/* Returns whether the answer carries the ID of this attempt.  */
static bool
answer_matches_attempt (const struct attempt *attempt,
                        const struct upstream_head *head)
{
  char expected[CP_ID_TEXT_BYTES];
  char named[CP_ID_TEXT_BYTES];

  if (!upstream_header_value (head, HEADER_ATTEMPT, named, sizeof named))
    return false;
  cp_id_text (&attempt->id, expected);
  if (strcmp (named, expected) == 0)
    return true;
  daemon_count (attempt->call->outbound->daemon, COUNT_MIXED_ANSWERS);
  return false;
}

/* Reads the outcome from the answer of the inbound side.  An answer without
   one comes from the HTTP server of the inbound side, not from the target.  */
static enum attempt_outcome
parse_outcome (const struct attempt *attempt, const struct upstream_head *head)
{
  char outcome[16];

  if (!attempt->target.has_daemon)
    return ATTEMPT_RAN;
  if (!answer_matches_attempt (attempt, head))
    return ATTEMPT_UNKNOWN;
  if (!upstream_header_value (head, HEADER_OUTCOME, outcome, sizeof outcome))
    return ATTEMPT_UNKNOWN;
  if (strcmp (outcome, "ran") == 0)
    return ATTEMPT_RAN;
  return strcmp (outcome, "not-run") == 0 ? ATTEMPT_NOT_RUN : ATTEMPT_UNKNOWN;
}

static bool
on_head (void *context, const struct upstream_head *head)
{
  struct attempt *attempt = context;
  struct call *call = attempt->call;
  const struct daemon *daemon = call->outbound->daemon;
  char id[CP_ID_TEXT_BYTES];
  char extra_headers[512];

  update_load_report (attempt, head);
  update_peer_clock (attempt, head);
  attempt->head_us = cp_clock_now_us (daemon->clock);
  attempt->status = head->status;
  upstream_header_value (head, HEADER_FROM, attempt->from,
                         sizeof attempt->from);
  attempt->outcome = parse_outcome (attempt, head);
  attempt->discard = attempt->outcome != ATTEMPT_RAN;
  /* While the other attempt of a hedged call is in progress, its answer may
     still be better than a server error.  */
  if (attempt->outcome == ATTEMPT_RAN && call->hedging && head->status >= 500)
    attempt->discard = true;
  if (attempt->discard)
    return true;
  if (call->answer.head_sent)
    return false;
  attempt->chosen = true;
  cp_id_text (&call->id, id);
  snprintf (extra_headers, sizeof extra_headers,
            HEADER_REQUEST ": %s\r\n" HEADER_OUTCOME ": ran\r\n" HEADER_PATH
                           ": %s, %s, %s\r\n",
            id, daemon->settings.vm, attempt->from, attempt->target.name);
  return answer_head (&call->answer, head, extra_headers);
}

static bool
on_body (void *context, const char *data, size_t size)
{
  struct attempt *attempt = context;

  if (attempt->discard)
    return true;
  return answer_body (&attempt->call->answer, data, size);
}

static struct curl_slist *
compose_peer_headers (const struct attempt *attempt)
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
                 attempt->deadline_us > now ? attempt->deadline_us - now : 0);
  if (attempt->start_by_us != 0)
    append_header (&headers, HEADER_START_BY, "%" PRIu64,
                   attempt->start_by_us);
  append_header (&headers, HEADER_IDEMPOTENT, "%s",
                 call->idempotent ? "yes" : "no");
  append_header (&headers, HEADER_PRIORITY, "%s",
                 priority_names[call->route->priority]);
  append_header (&headers, HEADER_FROM, "%s", daemon->settings.vm);
  return headers;
}

/* Called when no first byte came in time.  Queries the inbound side by RPC,
   which does not use the silent connection.  An attempt that has not arrived
   there is fenced and ended; one that has arrived is waited for.  */
static uint64_t
on_silent (void *context)
{
  struct attempt *attempt = context;
  struct daemon *daemon = attempt->call->outbound->daemon;
  enum fence_result result
      = rpc_fence (&attempt->target.daemon, &attempt->id, attempt->incarnation,
                   attempt->start_by_us, false, FENCE_TIMEOUT_US);
  uint64_t now = cp_clock_now_us (daemon->clock);

  attempt->silence_timeout_us *= 2;
  switch (result)
    {
    case FENCE_FENCED:
      attempt->outcome = ATTEMPT_NOT_RUN;
      g_strlcpy (attempt->call->silent_target, attempt->target.name,
                 CP_NAME_BYTES);
      return 0;
    case FENCE_STARTED:
      attempt->fence_failures = 0;
      return now + attempt->silence_timeout_us;
    case FENCE_ANSWERED:
      if (attempt->peer_answered)
        return 0;
      attempt->peer_answered = true;
      return now + ANSWER_GRACE_US;
    default:
      attempt->fence_failures++;
      if (attempt->call->idempotent
          && attempt->fence_failures >= FENCE_FAILURES_MAX)
        return 0;
      return now + attempt->silence_timeout_us;
    }
}

/* Sets the silence timeout and returns the time after which the first byte is
   overdue, or 0 when the inbound side can not be queried.  */
static uint64_t
first_byte_deadline_us (struct attempt *attempt)
{
  struct cp_peer_clock entry;
  uint64_t bound_us;

  if (attempt->start_by_us == 0
      || !cp_peer_clocks_get (&attempt->call->outbound->peers,
                              attempt->target.daemon.text, &entry, &bound_us))
    return 0;
  attempt->silence_timeout_us = entry.latency_us * SILENCE_LATENCY_FACTOR;
  if (attempt->silence_timeout_us < SILENCE_US_MIN)
    attempt->silence_timeout_us = SILENCE_US_MIN;
  /* The way may be slow rather than silent.  */
  if (attempt->call->silent_target_used)
    attempt->silence_timeout_us *= 2;
  return attempt->started_us + attempt->silence_timeout_us;
}

static void
compose_upstream_call (struct attempt *attempt,
                       struct attempt_request *outgoing)
{
  struct call *call = attempt->call;

  outgoing->path = request_path (call->request);
  outgoing->headers = compose_peer_headers (attempt);
  outgoing->upstream = (struct upstream_call){
    .address = attempt->target.has_daemon ? &attempt->target.daemon
                                          : &attempt->target.address,
    .method = call->request->info->request_method,
    .path = outgoing->path,
    .headers = outgoing->headers,
    .has_body = call->request->body_size != 0,
    .body_size = call->request->body_size,
    .deadline_us = attempt->deadline_us,
    .first_byte_us = first_byte_deadline_us (attempt),
    .idle_max_us = call->idempotent ? 0 : NON_IDEMPOTENT_IDLE_US,
    .on_silent = on_silent,
    .caller_fd = call->request->caller_fd,
    .context = attempt,
    .read_body = read_body,
    .on_head = on_head,
    .on_body = on_body
  };
}

void
attempt_release (struct attempt_request *outgoing)
{
  free (outgoing->path);
  curl_slist_free_all (outgoing->headers);
}

/* Fences the attempt.  On success it has not run and never will.  */
static enum attempt_outcome
fence (struct attempt *attempt)
{
  const struct call *call = attempt->call;
  struct daemon *daemon = call->outbound->daemon;
  enum fence_result result;

  if (!attempt->target.has_daemon || attempt->start_by_us == 0)
    return ATTEMPT_UNKNOWN;
  daemon_count (daemon, COUNT_FENCES);
  result
      = rpc_fence (&attempt->target.daemon, &attempt->id, attempt->incarnation,
                   attempt->start_by_us, true, FENCE_TIMEOUT_US);
  attempt_record (attempt, CP_DECISION_FENCE, fence_names[result], 0);
  if (result == FENCE_FENCED)
    return ATTEMPT_NOT_RUN;
  return ATTEMPT_UNKNOWN;
}

static enum cp_call_result
call_result (const struct attempt *attempt, enum upstream_result result)
{
  if (result == UPSTREAM_NOT_SENT)
    return CP_CALL_NO_CONNECTION;
  if (attempt->outcome == ATTEMPT_NOT_RUN)
    return CP_CALL_REFUSED;
  /* An attempt cancelled because the other one of a hedged call answered first
     is not a failure of its target.  */
  if (result == UPSTREAM_ABORTED && !attempt->chosen
      && attempt->call->answer.head_sent)
    return CP_CALL_ANSWERED;
  if (result != UPSTREAM_COMPLETE || attempt->status >= 500)
    return CP_CALL_FAILED;
  return CP_CALL_ANSWERED;
}

/* Sets the deadline of the attempt: that of the call less the time reserved
   for a fence.  The start-by time is the same time on the clock of the inbound
   side, computed from the lower bound of that clock.  */
static void
set_deadline (struct attempt *attempt, uint64_t now)
{
  const struct call *call = attempt->call;
  uint64_t left_us = call->deadline_us > now ? call->deadline_us - now : 0;
  uint64_t reserved_us = left_us / FENCE_TIME_DIVISOR;
  struct cp_peer_clock entry;
  uint64_t bound_us;

  if (reserved_us > FENCE_TIMEOUT_US)
    reserved_us = FENCE_TIMEOUT_US;
  attempt->deadline_us = call->deadline_us - reserved_us;
  if (!attempt->target.has_daemon
      || !cp_peer_clocks_get (&call->outbound->peers,
                              attempt->target.daemon.text, &entry, &bound_us))
    {
      attempt->incarnation = 0;
      return;
    }
  attempt->incarnation = entry.incarnation;
  attempt->start_by_us = bound_us + left_us - reserved_us;
}

void
attempt_begin (struct attempt *attempt, struct attempt_request *outgoing)
{
  struct daemon *daemon = attempt->call->outbound->daemon;

  attempt->started_us = cp_clock_now_us (daemon->clock);
  attempt->outcome = ATTEMPT_UNKNOWN;
  set_deadline (attempt, attempt->started_us);
  daemon_count (daemon, COUNT_FORWARDED);
  attempt_record (attempt, CP_DECISION_SEND, "sent", 0);
  compose_upstream_call (attempt, outgoing);
}

void
attempt_end (struct attempt *attempt, enum upstream_result result)
{
  struct call *call = attempt->call;
  struct daemon *daemon = call->outbound->daemon;
  uint64_t took_us = cp_clock_now_us (daemon->clock) - attempt->started_us;

  if (result == UPSTREAM_NOT_SENT)
    attempt->outcome = ATTEMPT_NOT_RUN;
  else if (attempt->outcome == ATTEMPT_UNKNOWN)
    attempt->outcome = fence (attempt);
  call->timed_out = call->timed_out || result == UPSTREAM_DEADLINE;
  if (result == UPSTREAM_SILENT)
    daemon_count (daemon, COUNT_SILENT_CONNECTIONS);
  attempt_record (attempt, CP_DECISION_ATTEMPT_END,
                  outcome_names[attempt->outcome], attempt->status);
  cp_balancer_end_call (call->balancer, attempt->target.name,
                        call_result (attempt, result), took_us);
}

bool
attempt_ensure_incarnation (struct attempt *attempt)
{
  struct cp_peer_clock entry;
  uint64_t bound_us;
  struct cp_load_report report;

  if (attempt->call->idempotent || !attempt->target.has_daemon)
    return true;
  if (cp_peer_clocks_get (&attempt->call->outbound->peers,
                          attempt->target.daemon.text, &entry, &bound_us))
    return true;
  if (!rpc_load (&attempt->target.daemon, &report, LOAD_TIMEOUT_US))
    return false;
  cp_balancer_add_report (attempt->call->balancer, attempt->target.name,
                          &report);
  return true;
}

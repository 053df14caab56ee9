#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

/* A start-by time further in the future was not computed from this daemon's
   clock.  */
#define START_BY_AHEAD_MAX (CP_ATTEMPT_TABLE_KEEP_MAX_US + CP_US_PER_S)
/* A connection idle for longer is not used for a non-idempotent call.  */
#define NON_IDEMPOTENT_IDLE_US (CP_US_PER_S)
#define SLOTS_DEFAULT 12
#define RESPONSE_HEADERS_BYTES 768

/* An attempt received by the inbound side.  */
struct inbound_call
{
  struct inbound *inbound;
  struct request *request;
  struct cp_id id;
  struct cp_id attempt;
  struct cp_target target;
  char from[CP_NAME_BYTES];
  uint64_t deadline_us;
  uint64_t start_by_us;
  uint64_t drain_within_us;
  uint64_t sent_us;
  bool idempotent;
  bool started; /* the target may have seen the call */
  enum cp_priority priority;
  struct answer answer;
  enum daemon_counter refusal_counter; /* counts the call if it is not sent */
};

int
inbound_init (struct inbound *inbound, struct daemon *daemon,
              struct cp_error *error)
{
  char path[320];

  memset (inbound, 0, sizeof *inbound);
  inbound->daemon = daemon;
  pthread_mutex_init (&inbound->lock, NULL);
  snprintf (path, sizeof path, "%s/attempt.json", daemon->settings.charts);
  if (cp_chart_load (&inbound->chart, path, &cp_attempt_names, error) != 0)
    return -1;
  cp_attempt_table_init (&inbound->attempts, daemon->clock, &inbound->chart,
                         CP_ATTEMPT_TABLE_CAPACITY);
  cp_admission_init (&inbound->admission, daemon->clock, SLOTS_DEFAULT);
  return 0;
}

void
inbound_finish (struct inbound *inbound)
{
  cp_attempt_table_finish (&inbound->attempts);
  cp_admission_finish (&inbound->admission);
  pthread_mutex_destroy (&inbound->lock);
}

/* Finds the target whose daemon this is.  */
static const struct cp_target *
local_target (const struct daemon *daemon, const struct cp_document *document,
              const struct cp_service **service)
{
  for (unsigned s = 0; s < document->n_services; s++)
    for (unsigned t = 0; t < document->services[s].n_targets; t++)
      {
        const struct cp_target *target = &document->services[s].targets[t];

        if (!target->has_daemon
            || strcmp (target->daemon.text, daemon->settings.peers.text) != 0)
          continue;
        *service = &document->services[s];
        return target;
      }
  return NULL;
}

void
inbound_update (struct inbound *inbound, const struct cp_document *document)
{
  const struct cp_service *service = NULL;
  const struct cp_target *target
      = local_target (inbound->daemon, document, &service);

  measure_update (&inbound->daemon->measure, &document->fleet, service,
                  target);
  if (target != NULL)
    cp_admission_set_slots (&inbound->admission, service->slots);
}

void
inbound_report (struct inbound *inbound, struct cp_load_report *report)
{
  memset (report, 0, sizeof *report);
  report->incarnation = inbound->daemon->incarnation;
  report->life = members_leaving (&inbound->daemon->members)
                     ? CP_DAEMON_DRAINING
                     : daemon_life (inbound->daemon);
  cp_admission_report (&inbound->admission, report);
  measure_report (&inbound->daemon->measure, report);
}

/* Formats the header lines added to each answer to a daemon: outcome, load and
   clock of this inbound side, VM and attempt ID.  */
static void
response_headers (const struct inbound_call *call, const char *outcome,
                  char *text, size_t size)
{
  const struct daemon *daemon = call->inbound->daemon;
  struct cp_load_report report;
  char load[CP_LOAD_REPORT_TEXT_BYTES];
  char clock[CP_PEER_CLOCK_TEXT_BYTES];
  char attempt[CP_ID_TEXT_BYTES];

  inbound_report (call->inbound, &report);
  cp_load_report_format (&report, load);
  cp_peer_clock_text (daemon->incarnation, cp_clock_now_us (daemon->clock),
                      clock);
  cp_id_text (&call->attempt, attempt);
  snprintf (text, size,
            HEADER_OUTCOME ": %s\r\n" HEADER_LOAD ": %s\r\n" HEADER_CLOCK
                           ": %s\r\n" HEADER_FROM ": %s\r\n" HEADER_ATTEMPT
                           ": %s\r\n",
            outcome, load, clock, daemon->settings.vm, attempt);
}

/* Adds a decision record of the call.  KIND defines what DURATION_US
   measures.  */
static void
call_record (const struct inbound_call *call, enum cp_decision_kind kind,
             const char *reason, int status, uint64_t duration_us)
{
  struct cp_decision decision = { .kind = kind,
                                  .request = call->id,
                                  .attempt = call->attempt,
                                  .status = status,
                                  .duration_us = duration_us };

  g_strlcpy (decision.target, call->target.name, sizeof decision.target);
  g_strlcpy (decision.reason, reason, sizeof decision.reason);
  decision.reason[strcspn (decision.reason, "\n")] = '\0';
  daemon_record (call->inbound->daemon, &decision);
}

/* Returns the time since the call arrived.  */
static uint64_t
call_age_us (const struct inbound_call *call)
{
  return cp_clock_now_us (call->inbound->daemon->clock)
         - call->request->arrived_us;
}

/* Answers the call without the target's answer.  */
static void
refuse (struct inbound_call *call, int status, const char *outcome,
        const char *reason)
{
  char headers[RESPONSE_HEADERS_BYTES];

  if (!call->started)
    call_record (call, CP_DECISION_REFUSE, reason, status, call_age_us (call));
  response_headers (call, outcome, headers, sizeof headers);
  request_answer (call->request, status, headers, "text/plain", reason);
}

/* Reads the headers that the outbound side added.  Returns false when one that
   is required is missing or a time is too far in the future.  */
static bool
read_headers (struct inbound_call *call)
{
  const struct request *request = call->request;
  const char *remaining = request_header (request, HEADER_REMAINING_US);
  const char *idempotent = request_header (request, HEADER_IDEMPOTENT);
  const char *priority = request_header (request, HEADER_PRIORITY);
  const char *from = request_header (request, HEADER_FROM);
  const char *start_by = request_header (request, HEADER_START_BY);
  uint64_t remaining_us;

  cp_id_parse (&call->id, request_header (request, HEADER_REQUEST));
  if (!cp_id_parse (&call->attempt, request_header (request, HEADER_ATTEMPT))
      || remaining == NULL || from == NULL)
    return false;
  remaining_us = strtoull (remaining, NULL, 10);
  if (remaining_us > CP_ATTEMPT_TABLE_KEEP_MAX_US)
    return false;
  snprintf (call->from, sizeof call->from, "%s", from);
  call->deadline_us = request->arrived_us + remaining_us;
  call->idempotent = idempotent != NULL && strcmp (idempotent, "yes") == 0;
  call->start_by_us = call->deadline_us;
  if (start_by != NULL)
    call->start_by_us = strtoull (start_by, NULL, 10);
  else if (!call->idempotent)
    return false;
  if (call->start_by_us > request->arrived_us + START_BY_AHEAD_MAX)
    return false;
  if (call->deadline_us > call->start_by_us)
    call->deadline_us = call->start_by_us;
  call->priority = CP_PRIORITY_NORMAL;
  if (priority != NULL && strcmp (priority, "high") == 0)
    call->priority = CP_PRIORITY_HIGH;
  if (priority != NULL && strcmp (priority, "low") == 0)
    call->priority = CP_PRIORITY_LOW;
  return true;
}

/* Returns whether the call is for this incarnation.  Only idempotent calls may
   omit the incarnation.  */
static bool
incarnation_matches (const struct inbound_call *call)
{
  const char *text = request_header (call->request, HEADER_INCARNATION);
  uint64_t addressed = text == NULL ? 0 : strtoull (text, NULL, 16);

  if (addressed == 0)
    return call->idempotent;
  return addressed == call->inbound->daemon->incarnation;
}

/* Applies EVENT to the attempt in the register.  STATE is set to the state of
   the attempt.  */
static enum cp_attempt_table_result
try_step_attempt (struct inbound_call *call, enum cp_attempt_event event,
                  enum cp_attempt_state *state)
{
  return cp_attempt_table_step (&call->inbound->attempts, &call->attempt,
                                event, call->start_by_us, state);
}

/* As try_step_attempt; returns whether the event was accepted.  */
static bool
step_attempt (struct inbound_call *call, enum cp_attempt_event event)
{
  enum cp_attempt_state state;

  return try_step_attempt (call, event, &state) == CP_ATTEMPT_TABLE_DONE;
}

/* Counts a start that violates a guarantee: after the deadline, or later after
   the start of the drain than the document allows.  */
static void
count_late_starts (const struct inbound_call *call)
{
  struct daemon *daemon = call->inbound->daemon;
  uint64_t now = cp_clock_now_us (daemon->clock);
  uint64_t drain_started_us
      = __atomic_load_n (&daemon->drain_started_us, __ATOMIC_ACQUIRE);

  if (now >= call->deadline_us)
    daemon_count (daemon, COUNT_LATE_STARTS);
  if (drain_started_us != 0 && now > drain_started_us + call->drain_within_us)
    daemon_count (daemon, COUNT_LEAVING_STARTS);
}

/* Last check, immediately before the first byte is sent to the target.  The
   attempt is marked as started here.  */
static bool
before_send (void *context)
{
  struct inbound_call *call = context;
  uint64_t now;

  if (!configuration_usable (&call->inbound->daemon->configuration))
    {
      call->refusal_counter = COUNT_REFUSED_UNVERIFIED;
      return false;
    }
  now = cp_clock_now_us (call->inbound->daemon->clock);
  if (now >= call->deadline_us)
    {
      call->refusal_counter = COUNT_REFUSED_DEADLINE;
      return false;
    }
  call->sent_us = now;
  call->refusal_counter = COUNT_REFUSED_DUPLICATE;
  call->started = step_attempt (call, CP_ATTEMPT_START);
  if (!call->started)
    return false;
  count_late_starts (call);
  call_record (call, CP_DECISION_START, "sent to the target", 0,
               call_age_us (call));
  return true;
}

static ssize_t
read_body (void *context, char *buffer, size_t size)
{
  struct inbound_call *call = context;

  return request_read (call->request, buffer, size);
}

static bool
on_head (void *context, const struct upstream_head *head)
{
  struct inbound_call *call = context;
  const char *request_id = request_header (call->request, HEADER_REQUEST);
  char echoed_id[CP_ID_TEXT_BYTES];
  char headers[RESPONSE_HEADERS_BYTES];

  /* A target may echo the request ID.  A different ID shows that the answer
     belongs to another request.  */
  if (request_id != NULL
      && upstream_header_value (head, HEADER_REQUEST, echoed_id,
                                sizeof echoed_id)
      && strcmp (request_id, echoed_id) != 0)
    {
      daemon_count (call->inbound->daemon, COUNT_MIXED_ANSWERS);
      return false;
    }
  response_headers (call, "ran", headers, sizeof headers);
  return answer_head (&call->answer, head, headers);
}

static bool
on_body (void *context, const char *data, size_t size)
{
  struct inbound_call *call = context;

  return answer_body (&call->answer, data, size);
}

static struct curl_slist *
target_headers (const struct inbound_call *call)
{
  const struct request *request = call->request;
  struct curl_slist *headers = forward_headers (request);
  const char *id = request_header (request, HEADER_REQUEST);
  uint64_t now = cp_clock_now_us (call->inbound->daemon->clock);
  uint64_t left = call->deadline_us > now ? call->deadline_us - now : 0;

  append_header (&headers, HEADER_REQUEST, "%s", id == NULL ? "" : id);
  append_header (&headers, HEADER_REMAINING, "%" PRIu64, left / CP_US_PER_MS);
  append_header (&headers, HEADER_RETRY, "none");
  return headers;
}

/* Updates the register and the statistics after the call to the target, and
   ends the answer.  */
static void
finish_call (struct inbound_call *call, enum upstream_result result)
{
  struct inbound *inbound = call->inbound;
  struct daemon *daemon = inbound->daemon;
  uint64_t latency;

  if (result == UPSTREAM_NOT_SENT)
    {
      step_attempt (call, CP_ATTEMPT_REFUSE);
      daemon_count (daemon, call->refusal_counter);
      if (call->started)
        call_record (call, CP_DECISION_END, upstream_result_names[result], 0,
                     0);
      refuse (call, 503, "not-run", "the target was not reached\n");
      return;
    }
  latency = cp_clock_now_us (daemon->clock) - call->sent_us;
  step_attempt (call, result == UPSTREAM_COMPLETE ? CP_ATTEMPT_ANSWER
                                                  : CP_ATTEMPT_FAIL);
  if (result == UPSTREAM_COMPLETE)
    cp_histogram_add (&inbound->latency, latency);
  else
    daemon_count (daemon, COUNT_CUT_ANSWERS);
  call_record (call, CP_DECISION_END, upstream_result_names[result],
               call->answer.status, latency);
  if (call->answer.head_sent)
    answer_end (&call->answer, result == UPSTREAM_COMPLETE);
  else
    refuse (call, result == UPSTREAM_DEADLINE ? 504 : 502, "unknown",
            "the target gave no whole answer\n");
}

/* Calls the target.  The call holds an admission slot, which is released
   here.  */
static void
call_target (struct inbound_call *call)
{
  struct daemon *daemon = call->inbound->daemon;
  CP_AUTO_FREE char *path = request_path (call->request);
  struct curl_slist *headers = target_headers (call);
  struct upstream_call upstream
      = { .address = &call->target.address,
          .method = call->request->info->request_method,
          .path = path,
          .headers = headers,
          .has_body = call->request->body_size != 0,
          .body_size = call->request->body_size,
          .deadline_us = call->deadline_us,
          .idle_max_us = call->idempotent ? 0 : NON_IDEMPOTENT_IDLE_US,
          .caller_fd = call->request->caller_fd,
          .context = call,
          .before_send = before_send,
          .read_body = read_body,
          .on_head = on_head,
          .on_body = on_body };
  enum upstream_result result;
  uint64_t latency_us = 0;

  call->answer.request = call->request;
  call->refusal_counter = COUNT_REFUSED_FULL;
  result = upstream_perform (&daemon->upstreams, &upstream);
  curl_slist_free_all (headers);
  if (call->sent_us != 0)
    latency_us = cp_clock_now_us (daemon->clock) - call->sent_us;
  cp_admission_leave (&call->inbound->admission, call->from, latency_us,
                      result != UPSTREAM_COMPLETE
                          || call->answer.status >= 500);
  finish_call (call, result);
}

/* Adds the attempt to the register.  Returns false when the call was
   refused.  */
static bool
register_attempt (struct inbound_call *call)
{
  struct daemon *daemon = call->inbound->daemon;
  enum cp_attempt_state state;
  bool fenced;

  switch (try_step_attempt (call, CP_ATTEMPT_ARRIVE, &state))
    {
    case CP_ATTEMPT_TABLE_DONE:
      return true;
    case CP_ATTEMPT_TABLE_FULL:
      daemon_count (daemon, COUNT_REFUSED_FULL);
      refuse (call, 503, "not-run", "the register of attempts is full\n");
      return false;
    case CP_ATTEMPT_TABLE_LATE:
      daemon_count (daemon, COUNT_REFUSED_DEADLINE);
      refuse (call, 504, "unknown", "the time to start is over\n");
      return false;
    default:
      daemon_count (daemon, COUNT_REFUSED_DUPLICATE);
      fenced = state == CP_ATTEMPT_FENCED || state == CP_ATTEMPT_CANCELLED;
      refuse (call, 409, fenced ? "not-run" : "unknown",
              "the attempt was seen before or fenced\n");
      return false;
    }
}

static bool
caller_gone (void *context)
{
  const struct inbound_call *call = context;

  return request_caller_gone (call->request);
}

/* Waits for an admission slot and calls the target, or refuses the call.  */
static void
admit (struct inbound_call *call)
{
  struct daemon *daemon = call->inbound->daemon;
  const struct cp_caller_presence presence = { caller_gone, call };
  enum cp_admission_result result;

  result = cp_admission_enter (&call->inbound->admission, call->priority,
                               call->from, call->deadline_us, &presence);
  if (result == CP_ADMITTED)
    {
      call_record (call, CP_DECISION_ADMIT, call->from, 0, call_age_us (call));
      call_target (call);
      return;
    }
  step_attempt (call, CP_ATTEMPT_REFUSE);
  daemon_count (daemon, result == CP_ADMISSION_DEADLINE
                            ? COUNT_REFUSED_DEADLINE
                            : COUNT_REFUSED_FULL);
  refuse (call, result == CP_ADMISSION_FULL ? STATUS_NO_ROOM : 503, "not-run",
          "the target has no room\n");
}

static bool
find_local_target (struct inbound_call *call)
{
  struct daemon *daemon = call->inbound->daemon;
  struct cp_document *document = configuration_get (&daemon->configuration);
  const struct cp_service *service = NULL;
  const struct cp_target *target = NULL;

  if (document != NULL)
    target = local_target (daemon, document, &service);
  if (target != NULL)
    {
      call->target = *target;
      call->drain_within_us = service->drain_within_us;
    }
  cp_document_unref (document);
  return target != NULL;
}

/* Refuses a call that has not run.  */
static void
refuse_unregistered (struct inbound_call *call, enum daemon_counter counter,
                     int status, const char *reason)
{
  daemon_count (call->inbound->daemon, counter);
  refuse (call, status, "not-run", reason);
}

/* Refuses a call whose attempt is in the register and has not started.  */
static void
refuse_registered (struct inbound_call *call, enum daemon_counter counter,
                   const char *reason)
{
  step_attempt (call, CP_ATTEMPT_REFUSE);
  refuse_unregistered (call, counter, 503, reason);
}

/* Makes the checks that do not need the register.  Returns false when the call
   was refused.  */
static bool
check_call (struct inbound_call *call)
{
  struct daemon *daemon = call->inbound->daemon;
  const char *address = call->request->info->remote_addr;

  if (!configuration_usable (&daemon->configuration))
    refuse_unregistered (call, COUNT_REFUSED_UNVERIFIED, 503,
                         "this daemon has no verified view\n");
  else if (!members_known (&daemon->members, address))
    refuse_unregistered (call, COUNT_REFUSED_PEERS, 403,
                         "this address is no peer\n");
  else if (!read_headers (call))
    refuse_unregistered (call, COUNT_BAD_REQUESTS, 400,
                         "a header of the attempt is missing\n");
  else if (!incarnation_matches (call))
    refuse_unregistered (call, COUNT_REFUSED_INCARNATION, 503,
                         "another incarnation is meant\n");
  else
    return true;
  return false;
}

static void
serve (struct inbound_call *call)
{
  struct daemon *daemon = call->inbound->daemon;

  if (!check_call (call) || !register_attempt (call))
    return;
  if (daemon_life (daemon) != CP_DAEMON_SERVING
      || members_leaving (&daemon->members))
    refuse_registered (call, COUNT_REFUSED_LEAVING,
                       "this daemon is not serving\n");
  else if (measure_leaving (&daemon->measure, call->deadline_us))
    refuse_registered (call, COUNT_REFUSED_LEAVING, "the target is leaving\n");
  else if (!find_local_target (call))
    refuse_registered (call, COUNT_REFUSED_LEAVING,
                       "no target is beside this daemon\n");
  else
    admit (call);
}

void
inbound_handle (void *context, struct request *request)
{
  struct inbound_call call = { .inbound = context, .request = request };

  __atomic_fetch_add (&call.inbound->in_flight, 1, __ATOMIC_RELAXED);
  serve (&call);
  __atomic_fetch_sub (&call.inbound->in_flight, 1, __ATOMIC_RELAXED);
}

/* Adds the names of the local target and its service to DUMP.  */
static void
dump_target (struct inbound *inbound, json_t *dump)
{
  struct daemon *daemon = inbound->daemon;
  struct cp_document *document = configuration_get (&daemon->configuration);
  const struct cp_service *service = NULL;
  const struct cp_target *target = NULL;

  if (document != NULL)
    target = local_target (daemon, document, &service);
  if (target != NULL)
    {
      json_object_set_new (dump, "target", json_string (target->name));
      json_object_set_new (dump, "service", json_string (service->name));
    }
  cp_document_unref (document);
}

json_t *
inbound_dump (struct inbound *inbound)
{
  struct cp_load_report report;
  json_t *load;
  json_t *dump;

  inbound_report (inbound, &report);
  load = json_pack (
      "{s:I, s:I, s:I, s:I, s:I}", "in_flight", (json_int_t)report.in_flight,
      "queued", (json_int_t)report.queued, "limit", (json_int_t)report.limit,
      "errors_permille", (json_int_t)report.errors_permille, "age_us",
      (json_int_t)report.age_us);
  dump = json_pack (
      "{s:i, s:o, s:i, s:o, s:I, s:I}", "in_flight",
      (int)__atomic_load_n (&inbound->in_flight, __ATOMIC_RELAXED),
      "admission", cp_admission_dump (&inbound->admission), "register_entries",
      (int)cp_attempt_table_count (&inbound->attempts), "load", load, "p50_us",
      (json_int_t)cp_histogram_quantile (&inbound->latency, 0.5), "p99_us",
      (json_int_t)cp_histogram_quantile (&inbound->latency, 0.99));
  dump_target (inbound, dump);
  return dump;
}

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

/* A start-by time further ahead than this is no time of this clock.  */
#define START_BY_AHEAD_MAX (CP_ATTEMPT_TABLE_KEEP_MAX_US + CP_US_PER_S)
/* A connection idle for longer is not used for a call that runs once.  */
#define IDLE_ONCE_US (CP_US_PER_S)
#define SLOTS_DEFAULT 12
#define OWN_HEADERS_BYTES 768

/* A forwarded call at the inbound side.  */
struct visit
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
  enum daemon_counter refused_as;
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

/* Finds the target beside this daemon.  */
static const struct cp_target *
own_target (const struct daemon *daemon, const struct cp_document *document,
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
      = own_target (inbound->daemon, document, &service);

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

/* Composes the header lines that go with each answer to a daemon.  */
static void
own_headers (const struct visit *visit, const char *outcome, char *text,
             size_t size)
{
  const struct daemon *daemon = visit->inbound->daemon;
  struct cp_load_report report;
  char load[CP_LOAD_REPORT_TEXT_BYTES];
  char clock[CP_PEER_CLOCK_TEXT_BYTES];
  char attempt[CP_ID_TEXT_BYTES];

  inbound_report (visit->inbound, &report);
  cp_load_report_format (&report, load);
  cp_peer_clock_text (daemon->incarnation, cp_clock_now_us (daemon->clock),
                      clock);
  cp_id_text (&visit->attempt, attempt);
  snprintf (text, size,
            HEADER_OUTCOME ": %s\r\n" HEADER_LOAD ": %s\r\n" HEADER_CLOCK
                           ": %s\r\n" HEADER_FROM ": %s\r\n" HEADER_ATTEMPT
                           ": %s\r\n",
            outcome, load, clock, daemon->settings.vm, attempt);
}

/* Records a step of the visit; DURATION_US as the kind says.  */
static void
visit_record (const struct visit *visit, enum cp_decision_kind kind,
              const char *reason, int status, uint64_t duration_us)
{
  struct cp_decision decision = { .kind = kind,
                                  .request = visit->id,
                                  .attempt = visit->attempt,
                                  .status = status,
                                  .duration_us = duration_us };

  g_strlcpy (decision.target, visit->target.name, sizeof decision.target);
  g_strlcpy (decision.reason, reason, sizeof decision.reason);
  decision.reason[strcspn (decision.reason, "\n")] = '\0';
  daemon_record (visit->inbound->daemon, &decision);
}

/* Returns the time since the call arrived.  */
static uint64_t
visit_age_us (const struct visit *visit)
{
  return cp_clock_now_us (visit->inbound->daemon->clock)
         - visit->request->arrived_us;
}

static void
refuse (struct visit *visit, int status, const char *outcome,
        const char *reason)
{
  char headers[OWN_HEADERS_BYTES];

  if (!visit->started)
    visit_record (visit, CP_DECISION_REFUSE, reason, status,
                  visit_age_us (visit));
  own_headers (visit, outcome, headers, sizeof headers);
  request_answer (visit->request, status, headers, "text/plain", reason);
}

/* Reads the headers that the outbound side added.  */
static bool
read_headers (struct visit *visit)
{
  const struct request *request = visit->request;
  const char *remaining = request_header (request, HEADER_REMAINING_US);
  const char *idempotent = request_header (request, HEADER_IDEMPOTENT);
  const char *priority = request_header (request, HEADER_PRIORITY);
  const char *from = request_header (request, HEADER_FROM);
  const char *start_by = request_header (request, HEADER_START_BY);
  uint64_t remaining_us;

  cp_id_parse (&visit->id, request_header (request, HEADER_REQUEST));
  if (!cp_id_parse (&visit->attempt, request_header (request, HEADER_ATTEMPT))
      || remaining == NULL || from == NULL)
    return false;
  remaining_us = strtoull (remaining, NULL, 10);
  if (remaining_us > CP_ATTEMPT_TABLE_KEEP_MAX_US)
    return false;
  snprintf (visit->from, sizeof visit->from, "%s", from);
  visit->deadline_us = request->arrived_us + remaining_us;
  visit->idempotent = idempotent != NULL && strcmp (idempotent, "yes") == 0;
  visit->start_by_us = visit->deadline_us;
  if (start_by != NULL)
    visit->start_by_us = strtoull (start_by, NULL, 10);
  else if (!visit->idempotent)
    return false;
  if (visit->start_by_us > request->arrived_us + START_BY_AHEAD_MAX)
    return false;
  if (visit->deadline_us > visit->start_by_us)
    visit->deadline_us = visit->start_by_us;
  visit->priority = CP_PRIORITY_NORMAL;
  if (priority != NULL && strcmp (priority, "high") == 0)
    visit->priority = CP_PRIORITY_HIGH;
  if (priority != NULL && strcmp (priority, "low") == 0)
    visit->priority = CP_PRIORITY_LOW;
  return true;
}

static bool
right_incarnation (const struct visit *visit)
{
  const char *text = request_header (visit->request, HEADER_INCARNATION);
  uint64_t addressed = text == NULL ? 0 : strtoull (text, NULL, 16);

  if (addressed == 0)
    return visit->idempotent;
  return addressed == visit->inbound->daemon->incarnation;
}

static enum cp_attempt_table_result
try_step (struct visit *visit, enum cp_attempt_event event,
          enum cp_attempt_state *state)
{
  return cp_attempt_table_step (&visit->inbound->attempts, &visit->attempt,
                                event, visit->start_by_us, state);
}

static bool
step (struct visit *visit, enum cp_attempt_event event)
{
  enum cp_attempt_state state;

  return try_step (visit, event, &state) == CP_ATTEMPT_TABLE_DONE;
}

/* Counts a start that breaks a promise: after the deadline, or longer after
   the begin of the drain than the document allows.  */
static void
count_broken_promises (const struct visit *visit)
{
  struct daemon *daemon = visit->inbound->daemon;
  uint64_t now = cp_clock_now_us (daemon->clock);
  uint64_t drained_us
      = __atomic_load_n (&daemon->drained_us, __ATOMIC_ACQUIRE);

  if (now >= visit->deadline_us)
    daemon_count (daemon, COUNT_LATE_STARTS);
  if (drained_us != 0 && now > drained_us + visit->drain_within_us)
    daemon_count (daemon, COUNT_LEAVING_STARTS);
}

/* The last check, immediately before the target sees the call.  */
static bool
before_send (void *context)
{
  struct visit *visit = context;
  uint64_t now;

  if (!configuration_usable (&visit->inbound->daemon->configuration))
    {
      visit->refused_as = COUNT_REFUSED_UNVERIFIED;
      return false;
    }
  now = cp_clock_now_us (visit->inbound->daemon->clock);
  if (now >= visit->deadline_us)
    {
      visit->refused_as = COUNT_REFUSED_DEADLINE;
      return false;
    }
  visit->sent_us = now;
  visit->refused_as = COUNT_REFUSED_DUPLICATE;
  visit->started = step (visit, CP_ATTEMPT_START);
  if (!visit->started)
    return false;
  count_broken_promises (visit);
  visit_record (visit, CP_DECISION_START, "sent to the target", 0,
                visit_age_us (visit));
  return true;
}

static ssize_t
read_body (void *context, char *buffer, size_t size)
{
  struct visit *visit = context;

  return request_read (visit->request, buffer, size);
}

static bool
on_head (void *context, const struct upstream_head *head)
{
  struct visit *visit = context;
  const char *asked = request_header (visit->request, HEADER_REQUEST);
  char answered[CP_ID_TEXT_BYTES];
  char headers[OWN_HEADERS_BYTES];

  /* A target may repeat the request ID; another one shows that this answer is
     not for this request.  */
  if (asked != NULL
      && head_value (head, HEADER_REQUEST, answered, sizeof answered)
      && strcmp (asked, answered) != 0)
    {
      daemon_count (visit->inbound->daemon, COUNT_MIXED_ANSWERS);
      return false;
    }
  own_headers (visit, "ran", headers, sizeof headers);
  return answer_head (&visit->answer, head, headers);
}

static bool
on_body (void *context, const char *data, size_t size)
{
  struct visit *visit = context;

  return answer_body (&visit->answer, data, size);
}

static struct curl_slist *
target_headers (const struct visit *visit)
{
  const struct request *request = visit->request;
  struct curl_slist *headers = forward_headers (request);
  const char *id = request_header (request, HEADER_REQUEST);
  uint64_t now = cp_clock_now_us (visit->inbound->daemon->clock);
  uint64_t left = visit->deadline_us > now ? visit->deadline_us - now : 0;

  append_header (&headers, HEADER_REQUEST, "%s", id == NULL ? "" : id);
  append_header (&headers, HEADER_REMAINING, "%" PRIu64, left / CP_US_PER_MS);
  append_header (&headers, HEADER_RETRY, "none");
  return headers;
}

static void
finish_visit (struct visit *visit, enum upstream_result result)
{
  struct inbound *inbound = visit->inbound;
  struct daemon *daemon = inbound->daemon;
  uint64_t latency;

  if (result == UPSTREAM_NOT_SENT)
    {
      step (visit, CP_ATTEMPT_REFUSE);
      daemon_count (daemon, visit->refused_as);
      if (visit->started)
        visit_record (visit, CP_DECISION_END, upstream_result_names[result], 0,
                      0);
      refuse (visit, 503, "not-run", "the target was not reached\n");
      return;
    }
  latency = cp_clock_now_us (daemon->clock) - visit->sent_us;
  step (visit,
        result == UPSTREAM_COMPLETE ? CP_ATTEMPT_ANSWER : CP_ATTEMPT_FAIL);
  if (result == UPSTREAM_COMPLETE)
    cp_histogram_add (&inbound->latency, latency);
  else
    daemon_count (daemon, COUNT_CUT_ANSWERS);
  visit_record (visit, CP_DECISION_END, upstream_result_names[result],
                visit->answer.status, latency);
  if (visit->answer.head_sent)
    answer_end (&visit->answer, result == UPSTREAM_COMPLETE);
  else
    refuse (visit, result == UPSTREAM_DEADLINE ? 504 : 502, "unknown",
            "the target gave no whole answer\n");
}

/* Calls the target; a slot is held.  */
static void
call_target (struct visit *visit)
{
  struct daemon *daemon = visit->inbound->daemon;
  CP_AUTO_FREE char *path = request_path (visit->request);
  struct curl_slist *headers = target_headers (visit);
  struct upstream_call call
      = { .address = &visit->target.address,
          .method = visit->request->info->request_method,
          .path = path,
          .headers = headers,
          .has_body = visit->request->body_size != 0,
          .body_size = visit->request->body_size,
          .deadline_us = visit->deadline_us,
          .idle_max_us = visit->idempotent ? 0 : IDLE_ONCE_US,
          .caller_fd = visit->request->caller_fd,
          .context = visit,
          .before_send = before_send,
          .read_body = read_body,
          .on_head = on_head,
          .on_body = on_body };
  enum upstream_result result;
  uint64_t latency_us = 0;

  visit->answer.request = visit->request;
  visit->refused_as = COUNT_REFUSED_FULL;
  result = upstream_perform (&daemon->upstreams, &call);
  curl_slist_free_all (headers);
  if (visit->sent_us != 0)
    latency_us = cp_clock_now_us (daemon->clock) - visit->sent_us;
  cp_admission_leave (&visit->inbound->admission, visit->from, latency_us,
                      result != UPSTREAM_COMPLETE
                          || visit->answer.status >= 500);
  finish_visit (visit, result);
}

/* Enters the attempt.  Returns false when it was refused.  */
static bool
enter (struct visit *visit)
{
  struct daemon *daemon = visit->inbound->daemon;
  enum cp_attempt_state state;
  bool given_up;

  switch (try_step (visit, CP_ATTEMPT_ARRIVE, &state))
    {
    case CP_ATTEMPT_TABLE_DONE:
      return true;
    case CP_ATTEMPT_TABLE_FULL:
      daemon_count (daemon, COUNT_REFUSED_FULL);
      refuse (visit, 503, "not-run", "the register of attempts is full\n");
      return false;
    case CP_ATTEMPT_TABLE_LATE:
      daemon_count (daemon, COUNT_REFUSED_DEADLINE);
      refuse (visit, 504, "unknown", "the time to start is over\n");
      return false;
    default:
      daemon_count (daemon, COUNT_REFUSED_DUPLICATE);
      given_up = state == CP_ATTEMPT_FENCED || state == CP_ATTEMPT_CANCELLED;
      refuse (visit, 409, given_up ? "not-run" : "unknown",
              "the attempt was seen before or fenced\n");
      return false;
    }
}

static bool
caller_gone (void *context)
{
  const struct visit *visit = context;

  return request_caller_gone (visit->request);
}

static void
admit (struct visit *visit)
{
  struct daemon *daemon = visit->inbound->daemon;
  const struct cp_caller_presence presence = { caller_gone, visit };
  enum cp_admission_result result;

  result = cp_admission_enter (&visit->inbound->admission, visit->priority,
                               visit->from, visit->deadline_us, &presence);
  if (result == CP_ADMITTED)
    {
      visit_record (visit, CP_DECISION_ADMIT, visit->from, 0,
                    visit_age_us (visit));
      call_target (visit);
      return;
    }
  step (visit, CP_ATTEMPT_REFUSE);
  daemon_count (daemon, result == CP_ADMISSION_DEADLINE
                            ? COUNT_REFUSED_DEADLINE
                            : COUNT_REFUSED_FULL);
  refuse (visit, result == CP_ADMISSION_FULL ? STATUS_NO_ROOM : 503, "not-run",
          "the target has no room\n");
}

static bool
find_own_target (struct visit *visit)
{
  struct daemon *daemon = visit->inbound->daemon;
  struct cp_document *document = configuration_get (&daemon->configuration);
  const struct cp_service *service = NULL;
  const struct cp_target *target = NULL;

  if (document != NULL)
    target = own_target (daemon, document, &service);
  if (target != NULL)
    {
      visit->target = *target;
      visit->drain_within_us = service->drain_within_us;
    }
  cp_document_unref (document);
  return target != NULL;
}

/* Refuses a call that was not entered; it has not run.  */
static void
refuse_early (struct visit *visit, enum daemon_counter counter, int status,
              const char *reason)
{
  daemon_count (visit->inbound->daemon, counter);
  refuse (visit, status, "not-run", reason);
}

/* Refuses a call that was entered and has not started.  */
static void
refuse_entered (struct visit *visit, enum daemon_counter counter,
                const char *reason)
{
  step (visit, CP_ATTEMPT_REFUSE);
  refuse_early (visit, counter, 503, reason);
}

/* Checks what does not need the register.  Returns false when the call was
   refused.  */
static bool
check_visit (struct visit *visit)
{
  struct daemon *daemon = visit->inbound->daemon;
  const char *address = visit->request->info->remote_addr;

  if (!configuration_usable (&daemon->configuration))
    refuse_early (visit, COUNT_REFUSED_UNVERIFIED, 503,
                  "this daemon has no verified view\n");
  else if (!members_known (&daemon->members, address))
    refuse_early (visit, COUNT_REFUSED_PEERS, 403,
                  "this address is no peer\n");
  else if (!read_headers (visit))
    refuse_early (visit, COUNT_BAD_REQUESTS, 400,
                  "a header of the attempt is missing\n");
  else if (!right_incarnation (visit))
    refuse_early (visit, COUNT_REFUSED_INCARNATION, 503,
                  "another incarnation is meant\n");
  else
    return true;
  return false;
}

static void
serve (struct visit *visit)
{
  struct daemon *daemon = visit->inbound->daemon;

  if (!check_visit (visit) || !enter (visit))
    return;
  if (daemon_life (daemon) != CP_DAEMON_SERVING
      || members_leaving (&daemon->members))
    refuse_entered (visit, COUNT_REFUSED_LEAVING,
                    "this daemon is not serving\n");
  else if (measure_leaving (&daemon->measure, visit->deadline_us))
    refuse_entered (visit, COUNT_REFUSED_LEAVING, "the target is leaving\n");
  else if (!find_own_target (visit))
    refuse_entered (visit, COUNT_REFUSED_LEAVING,
                    "no target is beside this daemon\n");
  else
    admit (visit);
}

void
inbound_handle (void *context, struct request *request)
{
  struct visit visit = { .inbound = context, .request = request };

  __atomic_fetch_add (&visit.inbound->in_flight, 1, __ATOMIC_RELAXED);
  serve (&visit);
  __atomic_fetch_sub (&visit.inbound->in_flight, 1, __ATOMIC_RELAXED);
}

/* Adds the name of the target beside this daemon and of its service.  */
static void
dump_target (struct inbound *inbound, json_t *dump)
{
  struct daemon *daemon = inbound->daemon;
  struct cp_document *document = configuration_get (&daemon->configuration);
  const struct cp_service *service = NULL;
  const struct cp_target *target = NULL;

  if (document != NULL)
    target = own_target (daemon, document, &service);
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

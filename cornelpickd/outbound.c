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

/* The balancer of one service.  */
struct service_balancer
{
  struct cds_list_head node;
  struct cp_balancer balancer;
};

/* One call of a caller.  */
struct call
{
  struct outbound *outbound;
  struct request *request;
  const struct cp_route *route;
  struct cp_balancer *balancer;
  struct cp_id id;
  uint64_t deadline_us;
  bool idempotent;
  bool may_retry;
  struct cp_tried tried;
  GByteArray *body; /* what was read of the body, for another attempt */
  size_t body_at;
  bool body_lost; /* more was read than is kept */
  struct answer answer;
};

/* What an attempt has come to.  */
enum attempt_outcome
{
  ATTEMPT_RAN,
  ATTEMPT_NOT_RUN,
  ATTEMPT_UNKNOWN
};

/* One try of a call at one target.  */
struct attempt
{
  struct call *call;
  struct cp_id id;
  struct cp_target target;
  uint64_t incarnation;
  uint64_t started_us;
  bool swallow; /* the answer is not for the caller */
  enum attempt_outcome outcome;
  char from[CP_NAME_BYTES];
};

int
outbound_init (struct outbound *outbound, struct daemon *daemon)
{
  memset (outbound, 0, sizeof *outbound);
  outbound->daemon = daemon;
  pthread_mutex_init (&outbound->lock, NULL);
  CDS_INIT_LIST_HEAD (&outbound->balancers);
  return 0;
}

void
outbound_finish (struct outbound *outbound)
{
  struct service_balancer *entry, *next;

  cds_list_for_each_entry_safe (entry, next, &outbound->balancers, node)
  {
    cds_list_del (&entry->node);
    cp_balancer_finish (&entry->balancer);
    free (entry);
  }
  pthread_mutex_destroy (&outbound->lock);
}

/* Finds the balancer of a service; the lock is held.  */
static struct cp_balancer *
find_balancer (struct outbound *outbound, const char *service)
{
  struct service_balancer *entry;

  cds_list_for_each_entry (entry, &outbound->balancers, node)
  {
    if (strcmp (entry->balancer.service, service) == 0)
      return &entry->balancer;
  }
  return NULL;
}

static struct cp_balancer *
get_balancer (struct outbound *outbound, const char *service)
{
  struct cp_balancer *balancer;
  struct service_balancer *entry;

  CP_LOCK_SCOPE (&outbound->lock);
  balancer = find_balancer (outbound, service);
  if (balancer != NULL)
    return balancer;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    abort ();
  cp_balancer_init (&entry->balancer, &cp_picker_two_choices,
                    outbound->daemon->clock, service,
                    outbound->daemon->settings.failure_domain);
  cds_list_add (&entry->node, &outbound->balancers);
  return &entry->balancer;
}

void
outbound_update (struct outbound *outbound, const struct cp_document *document)
{
  for (unsigned i = 0; i < document->n_services; i++)
    cp_balancer_update (get_balancer (outbound, document->services[i].name),
                        &document->services[i]);
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

  if (!attempt->target.has_daemon || attempt->incarnation == 0)
    return ATTEMPT_UNKNOWN;
  daemon_count (call->outbound->daemon, COUNT_FENCES);
  if (rpc_fence (&attempt->target.daemon, &attempt->id, attempt->incarnation,
                 REGISTER_MARGIN_US, true, FENCE_TIMEOUT_US)
      == FENCE_FENCED)
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

/* Makes one attempt and tells what it has come to.  */
static enum upstream_result
make_attempt (struct attempt *attempt)
{
  struct call *call = attempt->call;
  struct daemon *daemon = call->outbound->daemon;
  enum upstream_result result;

  attempt->started_us = cp_clock_now_us (daemon->clock);
  attempt->outcome = ATTEMPT_UNKNOWN;
  daemon_count (daemon, COUNT_FORWARDED);
  result = send_attempt (attempt);
  if (result == UPSTREAM_NOT_SENT)
    attempt->outcome = ATTEMPT_NOT_RUN;
  else if (result != UPSTREAM_COMPLETE && !call->answer.head_sent)
    attempt->outcome = fence (attempt);
  cp_balancer_done (call->balancer, attempt->target.name,
                    call_result (attempt, result),
                    cp_clock_now_us (daemon->clock) - attempt->started_us);
  return result;
}

/* A non-idempotent attempt must name the incarnation it is meant for.  */
static bool
learn_incarnation (struct attempt *attempt)
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

static void
add_tried (struct call *call, const char *name)
{
  if (call->tried.count < CP_TRIED_MAX)
    snprintf (call->tried.names[call->tried.count++], CP_NAME_BYTES, "%s",
              name);
}

/* Tells the caller that there is no answer.  */
static void
answer_outcome (struct call *call, enum attempt_outcome outcome)
{
  struct daemon *daemon = call->outbound->daemon;
  bool late = cp_clock_now_us (daemon->clock) >= call->deadline_us;
  char id[CP_ID_TEXT_BYTES];
  char headers[256];

  cp_id_text (&call->id, id);
  if (outcome == ATTEMPT_NOT_RUN)
    {
      daemon_count (daemon, COUNT_NOT_RUN);
      snprintf (headers, sizeof headers,
                HEADER_REQUEST ": %s\r\n" HEADER_OUTCOME
                               ": not-run\r\nRetry-After: 1\r\n",
                id);
      request_answer (call->request, late ? 504 : 503, headers, "text/plain",
                      "The request was not run; it can be sent again.\n");
      return;
    }
  daemon_count (daemon, COUNT_UNKNOWN);
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

static void
run_call (struct call *call)
{
  struct daemon *daemon = call->outbound->daemon;
  enum attempt_outcome outcome = ATTEMPT_NOT_RUN;

  for (unsigned attempts = 1;; attempts++)
    {
      struct attempt attempt = { .call = call };
      enum upstream_result result = UPSTREAM_NOT_SENT;

      if (!cp_balancer_pick (call->balancer, &call->tried, cp_random_thread (),
                             &attempt.target, &attempt.incarnation))
        break;
      cp_id_create (&attempt.id, cp_random_thread ());
      attempt.outcome = ATTEMPT_NOT_RUN;
      if (learn_incarnation (&attempt))
        result = make_attempt (&attempt);
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

/* Sets deadline, idempotency and retry right: the document's, which the
   caller's headers can only tighten.  */
static void
set_limits (struct call *call)
{
  const char *remaining = request_header (call->request, HEADER_REMAINING);
  const char *retry = request_header (call->request, HEADER_RETRY);
  const char *idempotent = request_header (call->request, HEADER_IDEMPOTENT);
  uint64_t limit_us = call->route->deadline_us;

  if (remaining != NULL)
    {
      uint64_t asked_us = strtoull (remaining, NULL, 10) * CP_US_PER_MS;

      limit_us = asked_us < limit_us ? asked_us : limit_us;
    }
  call->deadline_us = call->request->arrived_us + limit_us;
  call->idempotent = call->route->idempotent
                     && (idempotent == NULL || strcmp (idempotent, "no") != 0);
  call->may_retry = retry == NULL || strcmp (retry, "none") != 0;
}

static void
answer_no_route (struct request *request, bool known_path)
{
  static const char headers[] = HEADER_OUTCOME ": not-run\r\n";

  if (known_path)
    request_answer (request, 405, headers, "text/plain",
                    "No route takes this method.\n");
  else
    request_answer (request, 404, headers, "text/plain",
                    "No route takes this host and path.\n");
}

static void
serve (struct outbound *outbound, struct request *request,
       const struct cp_document *document)
{
  const char *host = request_header (request, "Host");
  bool known_path = false;
  struct call call = { .outbound = outbound, .request = request };

  call.route = cp_document_route (
      document, host == NULL ? "" : host, request->info->request_uri,
      cp_method_parse (request->info->request_method), &known_path);
  if (call.route == NULL)
    {
      daemon_count (outbound->daemon, COUNT_NO_ROUTE);
      answer_no_route (request, known_path);
      return;
    }
  set_limits (&call);
  cp_id_create (&call.id, cp_random_thread ());
  call.answer.request = request;
  call.balancer = get_balancer (outbound, call.route->service->name);
  call.body = g_byte_array_new ();
  run_call (&call);
  g_byte_array_unref (call.body);
  cp_histogram_add (&outbound->latency,
                    cp_clock_now_us (outbound->daemon->clock)
                        - request->arrived_us);
}

void
outbound_handle (void *context, struct request *request)
{
  struct outbound *outbound = context;
  struct daemon *daemon = outbound->daemon;
  struct cp_document *document;

  __atomic_fetch_add (&outbound->in_flight, 1, __ATOMIC_RELAXED);
  daemon_count (daemon, COUNT_CALLS);
  document = configuration_get (&daemon->configuration);
  if (document == NULL || daemon_life (daemon) != CP_LIFE_SERVING)
    {
      daemon_count (daemon, COUNT_NOT_RUN);
      request_answer (request, 503,
                      HEADER_OUTCOME ": not-run\r\nRetry-After: 1\r\n",
                      "text/plain", "This daemon is not serving.\n");
    }
  else
    serve (outbound, request, document);
  cp_document_unref (document);
  __atomic_fetch_sub (&outbound->in_flight, 1, __ATOMIC_RELAXED);
}

json_t *
outbound_dump (struct outbound *outbound)
{
  struct service_balancer *entry;
  json_t *services = json_object ();

  CP_LOCK_SCOPE (&outbound->lock);
  cds_list_for_each_entry (entry, &outbound->balancers, node)
      json_object_set_new (services, entry->balancer.service,
                           cp_balancer_dump (&entry->balancer));
  return json_pack (
      "{s:i, s:I, s:I, s:o}", "in_flight",
      (int)__atomic_load_n (&outbound->in_flight, __ATOMIC_RELAXED), "p50_us",
      (json_int_t)cp_histogram_quantile (&outbound->latency, 0.5), "p99_us",
      (json_int_t)cp_histogram_quantile (&outbound->latency, 0.99), "services",
      services);
}

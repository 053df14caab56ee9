#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

#define READER_INTERVAL_MS 100
#define BUDGET_RETRY_US (250 * CP_US_PER_MS)
#define SETTLE_MARGIN_US 500 /* reservation minus time limit of a reading */
#define PAGE_BYTES_MAX 1024
#define HEAD_BYTES_MAX 512     /* of the request, and of the answer */
#define PACKET_HEADER_BYTES 40 /* IP and TCP headers */
#define PAGE_PACKETS 8         /* of one reading on a kept-alive connection */
#define QUERY_BYTES 240        /* a load query and its answer on the wire */
#define IN_FLIGHT_MAX 1000000  /* a higher number on the page is invalid */

/* One reading of a page.  */
struct reading
{
  struct measure *measure;
  enum cp_page page;
  enum cp_measuring_reason reason;
  struct cp_target target;
  char path[128];
  uint64_t reserved_us;
  unsigned grant;
  uint64_t started_us;
  uint64_t took_us;
  uint64_t bytes;
  int status;
  GString *body;
};

static void
init_condition (pthread_cond_t *condition)
{
  pthread_condattr_t attributes;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (condition, &attributes);
  pthread_condattr_destroy (&attributes);
}

/* Waits for at most TIME_US; the lock is held.  */
static void
wait_for (struct measure *measure, pthread_cond_t *condition, uint64_t time_us)
{
  const uint64_t ns_per_s = CP_US_PER_S * CP_NS_PER_US;
  struct timespec until;
  uint64_t ns;

  clock_gettime (CLOCK_MONOTONIC, &until);
  ns = (uint64_t)until.tv_nsec + time_us * CP_NS_PER_US;
  until.tv_sec += (time_t)(ns / ns_per_s);
  until.tv_nsec = (long)(ns % ns_per_s);
  pthread_cond_timedwait (condition, &measure->lock, &until);
}

void
measure_init (struct measure *measure, struct daemon *daemon)
{
  memset (measure, 0, sizeof *measure);
  measure->daemon = daemon;
  pthread_mutex_init (&measure->lock, NULL);
  init_condition (&measure->wake_reader);
  init_condition (&measure->page_read);
  cp_budget_init (&measure->budget, 0, 0);
  cp_measuring_init (&measure->measuring);
}

void
measure_update (struct measure *measure, const struct cp_fleet *fleet,
                const struct cp_service *service,
                const struct cp_target *target)
{
  CP_LOCK_SCOPE (&measure->lock);
  measure->has_target = target != NULL;
  if (target == NULL)
    return;
  if (strcmp (measure->target.address.text, target->address.text) != 0)
    cp_measuring_init (&measure->measuring);
  measure->target = *target;
  g_strlcpy (measure->service, service->name, sizeof measure->service);
  g_strlcpy (measure->paths[CP_PAGE_LOAD], service->load.path,
             sizeof measure->paths[0]);
  g_strlcpy (measure->paths[CP_PAGE_HEALTH], service->health.path,
             sizeof measure->paths[0]);
  measure->probe_cost_us = fleet->probe_us;
  measure->max_age_us = service->drain_within_us;
  cp_budget_set_limits (&measure->budget, (uint64_t)fleet->target_us_per_s,
                        (uint64_t)fleet->bytes_per_s);
  cp_measuring_set_intervals (&measure->measuring, service->load.interval_us,
                              service->health.interval_us);
}

static void
record_decision (const struct measure *measure, enum cp_decision_kind kind,
                 const char *reason, uint64_t duration_us, uint64_t value)
{
  struct cp_decision decision
      = { .kind = kind, .duration_us = duration_us, .value = value };

  g_strlcpy (decision.service, measure->service, sizeof decision.service);
  g_strlcpy (decision.target, measure->target.name, sizeof decision.target);
  g_strlcpy (decision.reason, reason, sizeof decision.reason);
  daemon_record (measure->daemon, &decision);
}

/* Reserves the cost of READING.  A refusal is recorded and delays the next
   try; the lock is held.  */
static bool
reserve_budget (struct measure *measure, struct reading *reading)
{
  const uint64_t bytes = PAGE_BYTES_MAX + 2 * HEAD_BYTES_MAX
                         + PAGE_PACKETS * PACKET_HEADER_BYTES;
  uint64_t now_us = cp_clock_now_us (measure->daemon->clock);
  enum cp_budget_result result;
  char reason[CP_REASON_BYTES];

  reading->reserved_us = cp_measuring_reserve_us (
      &measure->measuring, reading->page, measure->probe_cost_us,
      measure->budget.work_us_limit);
  result = cp_budget_reserve (&measure->budget, now_us, reading->reserved_us,
                              bytes, &reading->grant);
  if (result == CP_BUDGET_GRANTED)
    return true;
  daemon_count (measure->daemon, COUNT_BUDGET_REFUSED);
  snprintf (reason, sizeof reason, "%s: %s", cp_page_names[reading->page],
            cp_budget_result_names[result]);
  record_decision (measure, CP_DECISION_BUDGET, reason, reading->reserved_us,
                   bytes);
  measure->not_before_us[reading->page] = now_us + BUDGET_RETRY_US;
  return false;
}

static bool
on_page_head (void *context, const struct upstream_head *head)
{
  struct reading *reading = context;
  char id[CP_ID_TEXT_BYTES];

  reading->status = head->status;
  for (const struct curl_slist *line = head->headers; line != NULL;
       line = line->next)
    reading->bytes += strlen (line->data) + 2;
  /* No read of a page has a request ID, so this answer is to a request.  The
     page itself may follow, and would be taken for the answer to the next
     request on the connection.  */
  if (upstream_header_value (head, HEADER_REQUEST, id, sizeof id)
      && id[0] != '\0')
    return false;
  return head->length <= PAGE_BYTES_MAX;
}

static bool
on_page_body (void *context, const char *data, size_t size)
{
  struct reading *reading = context;

  reading->bytes += size;
  if (reading->body->len + size > PAGE_BYTES_MAX)
    return false;
  g_string_append_len (reading->body, data, (gssize)size);
  return true;
}

/* Parses the body of the answer into CONTENT.  */
static void
parse_page (const struct reading *reading, struct cp_page_reading *content)
{
  CP_AUTO_JSON json_t *root
      = json_loadb (reading->body->str, reading->body->len, 0, NULL);
  json_t *in_flight = json_object_get (root, "in_flight");
  json_int_t value = json_integer_value (in_flight);

  content->result = CP_PAGE_ANSWERED;
  content->draining = json_is_true (json_object_get (root, "draining"));
  if (!json_is_integer (in_flight))
    return;
  content->impossible = value < 0 || value > IN_FLIGHT_MAX;
  content->has_in_flight = !content->impossible;
  content->in_flight = content->impossible ? 0 : (uint32_t)value;
}

/* Reads the page.  A header tells the target when to give up, so that a page
   that hangs costs it no more than was reserved.  */
static void
read_page (struct reading *reading, struct cp_page_reading *content)
{
  struct daemon *daemon = reading->measure->daemon;
  uint64_t limit_us = reading->reserved_us - SETTLE_MARGIN_US;
  struct curl_slist *headers = NULL;
  struct upstream_call call = { .address = &reading->target.address,
                                .method = "GET",
                                .path = reading->path,
                                .caller_fd = -1,
                                .background = true,
                                .context = reading,
                                .on_head = on_page_head,
                                .on_body = on_page_body };
  enum upstream_result result;

  append_header (&headers, HEADER_REMAINING, "%" PRIu64,
                 (limit_us + CP_US_PER_MS - 1) / CP_US_PER_MS);
  call.headers = headers;
  reading->started_us = cp_clock_now_us (daemon->clock);
  call.deadline_us = reading->started_us + limit_us;
  result = upstream_perform (&daemon->upstreams, &call);
  reading->took_us = cp_clock_now_us (daemon->clock) - reading->started_us;
  curl_slist_free_all (headers);
  if (result == UPSTREAM_COMPLETE)
    parse_page (reading, content);
  else if (result == UPSTREAM_DEADLINE)
    content->result = CP_PAGE_HUNG;
  else
    content->result = CP_PAGE_UNREADABLE;
}

/* Charges the reading to the budget and records it; the lock is held.  */
static void
settle_reading (struct reading *reading, const struct cp_page_reading *content,
                const struct cp_inbound_stats *inbound_stats)
{
  struct measure *measure = reading->measure;
  uint64_t now_us = cp_clock_now_us (measure->daemon->clock);
  uint64_t work_us = reading->took_us;
  char reason[CP_REASON_BYTES];

  /* Time beyond the reservation is a late wake-up of this process, not work
     of the target, which was told to give up earlier.  */
  if (work_us > reading->reserved_us)
    work_us = reading->reserved_us;
  if (work_us < measure->probe_cost_us && content->result == CP_PAGE_ANSWERED)
    work_us = measure->probe_cost_us;
  reading->bytes += HEAD_BYTES_MAX + PAGE_PACKETS * PACKET_HEADER_BYTES;
  cp_budget_settle (&measure->budget, reading->grant, now_us, work_us,
                    reading->bytes);
  cp_measuring_record (&measure->measuring, reading->page, content,
                       inbound_stats, work_us, now_us);
  snprintf (reason, sizeof reason, "%s: %s%s", cp_page_names[reading->page],
            cp_measuring_reason_names[reading->reason],
            content->result == CP_PAGE_ANSWERED ? ""
            : content->result == CP_PAGE_HUNG   ? ", hung"
                                                : ", unreadable");
  record_decision (measure, CP_DECISION_PROBE, reason, reading->took_us,
                   work_us);
  daemon_count (measure->daemon, COUNT_PROBES);
  if (content->result == CP_PAGE_HUNG)
    daemon_count (measure->daemon, COUNT_PROBES_HUNG);
}

/* Reads PAGE when that is due and the budget allows it; the lock is held on
   entry and exit, and released while reading.  */
static void
read_if_due (struct measure *measure, enum cp_page page)
{
  struct daemon *daemon = measure->daemon;
  struct reading reading = { .measure = measure, .page = page };
  struct cp_page_reading content = { 0 };
  struct cp_inbound_stats inbound_stats;
  uint64_t now_us = cp_clock_now_us (daemon->clock);

  if (now_us < measure->not_before_us[page])
    return;
  cp_admission_get_stats (&daemon->inbound.admission, &inbound_stats);
  inbound_stats.arrivals
      += __atomic_load_n (&measure->refused_calls, __ATOMIC_RELAXED);
  if (!cp_measuring_is_due (&measure->measuring, page, &inbound_stats,
                            measure->waiting_calls > 0, now_us,
                            &reading.reason)
      || !reserve_budget (measure, &reading))
    return;
  reading.target = measure->target;
  g_strlcpy (reading.path, measure->paths[page], sizeof reading.path);
  pthread_mutex_unlock (&measure->lock);
  reading.body = g_string_new (NULL);
  read_page (&reading, &content);
  g_string_free (reading.body, TRUE);
  pthread_mutex_lock (&measure->lock);
  settle_reading (&reading, &content, &inbound_stats);
}

/* Returns whether the last reading is too old for a call; the lock is
   held.  */
static bool
needs_reading (struct measure *measure)
{
  return measure->has_target
         && cp_measuring_needs_refresh (
             &measure->measuring, measure->max_age_us,
             cp_clock_now_us (measure->daemon->clock));
}

static void *
run_reader (void *context)
{
  struct measure *measure = context;

  CP_LOCK_SCOPE (&measure->lock);
  while (!measure->stop)
    {
      /* The health page is first, because calls wait for it.  */
      if (measure->has_target)
        read_if_due (measure, CP_PAGE_HEALTH);
      pthread_cond_broadcast (&measure->page_read);
      if (measure->has_target && !measure->stop)
        read_if_due (measure, CP_PAGE_LOAD);
      if (!measure->stop)
        wait_for (measure, &measure->wake_reader,
                  READER_INTERVAL_MS * CP_US_PER_MS);
    }
  return NULL;
}

int
measure_start (struct measure *measure, struct cp_error *error)
{
  if (pthread_create (&measure->reader, NULL, run_reader, measure) != 0)
    return cp_error_set (error, CP_ERROR_MEMORY, "measure",
                         "raise the limit of threads",
                         "cannot start a thread");
  measure->running = true;
  return 0;
}

void
measure_stop (struct measure *measure)
{
  if (!measure->running)
    return;
  pthread_mutex_lock (&measure->lock);
  measure->stop = true;
  pthread_cond_broadcast (&measure->wake_reader);
  pthread_cond_broadcast (&measure->page_read);
  pthread_mutex_unlock (&measure->lock);
  pthread_join (measure->reader, NULL);
  measure->running = false;
}

bool
measure_leaving (struct measure *measure, uint64_t deadline_us)
{
  const struct cp_clock *clock = measure->daemon->clock;
  uint64_t now_us = cp_clock_now_us (clock);
  uint64_t until_us;
  bool leaving;

  CP_LOCK_SCOPE (&measure->lock);
  until_us = MIN (deadline_us, now_us + measure->budget.work_us_limit);
  if (measure->running && needs_reading (measure))
    {
      measure->waiting_calls++;
      pthread_cond_signal (&measure->wake_reader);
      while (needs_reading (measure) && now_us < until_us && !measure->stop)
        {
          wait_for (measure, &measure->page_read, until_us - now_us);
          now_us = cp_clock_now_us (clock);
        }
      measure->waiting_calls--;
    }
  leaving
      = cp_measuring_draining (&measure->measuring, cp_clock_now_us (clock));
  if (leaving)
    __atomic_fetch_add (&measure->refused_calls, 1, __ATOMIC_RELAXED);
  return leaving;
}

void
measure_report (struct measure *measure, struct cp_load_report *report)
{
  uint64_t now_us;

  CP_LOCK_SCOPE (&measure->lock);
  now_us = cp_clock_now_us (measure->daemon->clock);
  report->in_flight
      += cp_measuring_hidden_in_flight (&measure->measuring, now_us);
  if (report->life == CP_DAEMON_SERVING
      && cp_measuring_draining (&measure->measuring, now_us))
    report->life = CP_DAEMON_DRAINING;
}

bool
measure_allow_query (struct measure *measure)
{
  uint64_t now_us;

  CP_LOCK_SCOPE (&measure->lock);
  now_us = cp_clock_now_us (measure->daemon->clock);
  /* Without a document there is no budget yet, and no target to measure.  */
  if (!measure->has_target
      || cp_budget_spend_bytes (&measure->budget, now_us, QUERY_BYTES))
    return true;
  daemon_count (measure->daemon, COUNT_QUERIES_REFUSED);
  return false;
}

json_t *
measure_dump (struct measure *measure)
{
  uint64_t now_us;

  CP_LOCK_SCOPE (&measure->lock);
  now_us = cp_clock_now_us (measure->daemon->clock);
  return json_pack ("{s:b, s:s, s:o, s:o}", "has_target",
                    (int)measure->has_target, "target", measure->target.name,
                    "budget", cp_budget_dump (&measure->budget, now_us),
                    "pages", cp_measuring_dump (&measure->measuring, now_us));
}

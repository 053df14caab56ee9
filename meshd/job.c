/* Jobs of the inbound side: how they begin, and the one message with which
   each ends.  */
#include <stdlib.h>
#include <string.h>

#include "meshd/inbound_internal.h"
#include "meshd/log.h"
#include "net/turns.h"

/* Maximum wait for a slot, as a share of the objective.  A refused request
   goes to another server.  A run takes about half of the objective, so a
   longer wait here would leave no time there.  */
#define QUEUE_WAIT_MAX_SHARE 0.2

/* The same for a call of a running request, as a share of the time that its
   parent has left: if it is refused, the work of its parent is lost.  The
   first servers may have been chosen by an old load report while others have
   room, so the share grows with each server that the call has been sent to. In
   the model of check_overload_order, half of the time at the first server
   served 0.66 of the callers of calling services at the service's room, this
   0.99.  */
#define NESTED_WAIT_STEP_SHARE 0.1
#define NESTED_WAIT_MAX_SHARE 0.5

/* Largest share of the objective that an unknown kind of request is expected
   to take.  The mean of the service may be that of much longer kinds.  */
#define UNKNOWN_WORK_MAX_SHARE 0.5

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

void
mesh_job_free (struct mesh_job *job)
{
  mesh_job_release_calls (job);
  cp_run_calls_finish (&job->made);
  cds_list_del (&job->node);
  g_hash_table_remove (job->inbound->by_stream, &job->key);
  if (job->kept_message != NULL)
    g_byte_array_unref (job->kept_message);
  g_byte_array_unref (job->body);
  g_free (job->request_id);
  g_free (job->instance);
  g_free (job->head);
  g_free (job);
}

bool
mesh_job_reserve_calls (struct mesh_job *job)
{
  struct mesh_inbound *inbound = job->inbound;

  return !job->repeat
         || inbound->events->reserve_calls (inbound->context, job->head,
                                            &job->reserved);
}

void
mesh_job_release_calls (struct mesh_job *job)
{
  struct mesh_inbound *inbound = job->inbound;

  inbound->events->release_calls (inbound->context, &job->reserved);
  cp_run_calls_finish (&job->reserved);
}

/* Returns whether the result of JOB must be kept.  MESSAGE may be lost with
   its link, and the sender must not be told then that the job is unknown.
   Results of idempotent jobs are not kept, to save memory: the call can be
   repeated.  */
static bool
must_keep_result (const struct mesh_job *job,
                  const struct cp_peer_message *message)
{
  return !job->local && !job->idempotent && message->kind != CP_PEER_REFUSAL;
}

/* Ends JOB with MESSAGE, its result, and sends it unless nobody waits for
   it.  An answer that cannot be sent is replaced by a failure.  */
static void
job_end (struct mesh_job *job, const struct cp_peer_message *message)
{
  struct mesh_inbound *inbound = job->inbound;
  struct mesh_link *link = job->link;
  bool local = job->local;
  const struct cp_peer_message failure
      = { .kind = CP_PEER_FAILURE,
          .cp_peer_message_u.failure
          = { .stream = job->key.stream, .reason = MESH_REASON_GARBLED } };

  job->state = MESH_JOB_ENDED;
  job->ended_us = now_us ();
  mesh_job_release_calls (job);
  if (job->no_reply)
    {
      mesh_job_free (job);
      return;
    }
  if (must_keep_result (job, message))
    {
      job->kept_message = mesh_message_encode (message);
      if (job->kept_message == NULL)
        job->kept_message = mesh_message_encode (&failure);
    }
  else
    mesh_job_free (job);
  if (local)
    mesh_replies_add (&inbound->replies, message);
  else if (link != NULL && !mesh_link_send (link, message))
    mesh_link_send (link, &failure);
}

/* Returns the time from the arrival of JOB until AT_US in microseconds,
   negative if that was before it.  */
static int64_t
since_arrival (const struct mesh_job *job, uint64_t at_us)
{
  return (int64_t)(at_us - job->entry.arrived_us);
}

static void
log_end (const struct mesh_job *job, const char *outcome, const char *reason,
         unsigned status)
{
  const struct mesh_inbound *inbound = job->inbound;
  const struct cp_job_queue_entry *entry = &job->entry;
  enum mesh_log_kind kind
      = status >= 200 && status < 400 ? MESH_LOG_JOB_END : MESH_LOG_JOB_FAILED;
  uint64_t now = now_us ();
  char id[128];

  if (!mesh_log_allowed (kind))
    return;
  mesh_log (
      kind,
      "\"request\":\"%s\",\"stream\":%" G_GUINT64_FORMAT
      ",\"outcome\":\"%s\",\"reason\":\"%s\",\"status\":%u,"
      "\"waited_us\":%" G_GINT64_FORMAT ",\"ran_us\":%" G_GUINT64_FORMAT
      ",\"running\":%u,\"queued\":%u,\"limit\":%u,\"slowness\":%u"
      ",\"rank\":%u,\"priority\":%u,\"nested\":%s"
      ",\"parent_priority\":%u,\"repeat\":%s"
      ",\"objective_left_us\":%" G_GINT64_FORMAT
      ",\"deadline_left_us\":%" G_GINT64_FORMAT
      ",\"allowed_wait_us\":%" G_GINT64_FORMAT
      ",\"work_us\":%" G_GUINT64_FORMAT ",\"overtaken_by\":%u"
      ",\"delay_us\":%" G_GUINT64_FORMAT,
      mesh_log_sanitize (job->request_id, id, sizeof id), job->key.stream,
      outcome, reason, status,
      since_arrival (job, job->started_us == 0 ? now : job->started_us),
      job->started_us == 0 ? 0 : now - job->started_us, inbound->queue.running,
      inbound->queue.queued, inbound->queue.limit, inbound->slowness_percent,
      entry->rank.priority, job->priority, job->nested ? "true" : "false",
      job->parent_priority, job->repeat ? "true" : "false",
      since_arrival (job, entry->rank.objective_us),
      since_arrival (job, job->deadline_us),
      since_arrival (job, entry->wait_until_us), entry->work_us,
      entry->overtaken_by, job->delay_us);
}

void
mesh_job_refuse (struct mesh_job *job, enum mesh_reason reason, bool reached)
{
  struct mesh_inbound *inbound = job->inbound;
  struct cp_peer_message message = { .kind = CP_PEER_REFUSAL };
  struct cp_peer_refusal *refusal = &message.cp_peer_message_u.refusal;

  refusal->stream = job->key.stream;
  refusal->reason = reason;
  refusal->reached = reached;
  mesh_inbound_fill_load (inbound, &refusal->load);
  inbound->counts.refused[reason]++;
  inbound->counts.refused_by_priority[job->entry.rank.priority]++;
  if (reason == MESH_REASON_OVERTAKEN)
    inbound->counts.overtaken_by_priority[job->entry.rank.priority]++;
  log_end (job, "refused", mesh_reason_names[reason], 0);
  job_end (job, &message);
}

void
mesh_job_fail (struct mesh_job *job, enum mesh_reason reason)
{
  struct mesh_inbound *inbound = job->inbound;
  struct cp_peer_message message = { .kind = CP_PEER_FAILURE };
  struct cp_peer_failure *failure = &message.cp_peer_message_u.failure;

  failure->stream = job->key.stream;
  failure->reason = reason;
  mesh_inbound_fill_load (inbound, &failure->load);
  inbound->counts.failed[reason]++;
  log_end (job, "failed", mesh_reason_names[reason], 0);
  job_end (job, &message);
}

void
mesh_job_answer (struct mesh_job *job, const struct net_message *answer)
{
  struct mesh_inbound *inbound = job->inbound;
  struct cp_peer_message message = { .kind = CP_PEER_ANSWER };
  struct cp_peer_answer *to = &message.cp_peer_message_u.answer;
  GString *head = g_string_sized_new (256);

  platform_write_response (head, &answer->headers);
  to->stream = job->key.stream;
  to->status = answer->parser.status_code;
  to->head = head->str;
  to->body.cp_peer_body_len = answer->body->len;
  to->body.cp_peer_body_val = (char *)answer->body->data;
  mesh_inbound_fill_load (inbound, &to->load);
  inbound->counts.answered++;
  if (to->status < 500)
    inbound->events->run_succeeded (inbound->context, job->head, &job->made);
  log_end (job, "answered", "", to->status);
  job_end (job, &message);
  g_string_free (head, TRUE);
}

/* Returns the time until which JOB may wait.  */
static uint64_t
wait_until_us (const struct mesh_job *job,
               const struct cp_peer_request *request, uint64_t now)
{
  uint64_t left_us = job->deadline_us - MIN (job->deadline_us, now);

  if (request->hedge)
    return now;
  if (request->nested)
    return now
           + (uint64_t)(MIN (NESTED_WAIT_STEP_SHARE * request->tried,
                             NESTED_WAIT_MAX_SHARE)
                        * (double)left_us);
  return MIN (
      job->deadline_us,
      now + (uint64_t)(QUEUE_WAIT_MAX_SHARE * (double)job->objective_us));
}

/* Returns the time that JOB is expected to take at a server that is not
   slow.  */
static uint64_t
expected_work_us (const struct mesh_job *job, uint64_t now)
{
  uint64_t work_us = cp_service_times_get (
      &job->inbound->service_times, job->priority, job->objective_us, now);

  if (work_us > 0)
    return work_us;
  return (uint64_t)MIN (job->inbound->service_us,
                        UNKNOWN_WORK_MAX_SHARE * (double)job->objective_us);
}

/* Returns the time that was LEFT_MS away when the sender sent a message that
   arrives at NOW and was on its way for DELAY_US.  */
static uint64_t
time_at_sender (u_int left_ms, uint64_t now, uint64_t delay_us)
{
  return now + left_ms * CP_US_PER_MS - MIN (now, delay_us);
}

static void
fill_entry (struct mesh_job *job, const struct cp_peer_request *request,
            uint64_t now)
{
  struct cp_job_queue_entry *entry = &job->entry;

  entry->arrived_us = now;
  entry->wait_until_us = wait_until_us (job, request, now);
  entry->work_us = expected_work_us (job, now);
  entry->rank = (struct cp_request_rank){
    .priority = cp_request_rank_priority (request->priority, request->nested,
                                          request->parent_priority),
    .nested = request->nested,
    .repeat = request->repeat,
    .deadline_us = job->deadline_us,
  };
  if (request->objective_left > 0)
    entry->rank.objective_us
        = time_at_sender (request->objective_left, now, job->unread_us);
  else if (request->objective > 0)
    entry->rank.objective_us = now - 1; /* missed */
}

struct mesh_job *
mesh_job_create (struct mesh_inbound *inbound, struct mesh_link *link,
                 const struct cp_peer_request *request)
{
  struct mesh_job *job = g_new0 (struct mesh_job, 1);
  uint64_t now = now_us ();
  uint64_t objective_us = request->objective * CP_US_PER_MS;

  job->inbound = inbound;
  job->link = link;
  job->local = link == NULL;
  job->key.source = link == NULL ? inbound->incarnation : link->incarnation;
  job->key.stream = request->stream;
  job->digest = request->digest;
  job->request_id = g_strdup (request->request_id);
  job->instance = g_strdup (request->instance);
  job->head = g_strdup (request->head);
  job->body = g_byte_array_new ();
  g_byte_array_append (job->body,
                       (const guint8 *)request->body.cp_peer_body_val,
                       request->body.cp_peer_body_len);
  job->idempotent = request->idempotent;
  job->nested = request->nested;
  job->repeat = request->repeat;
  job->priority = request->priority;
  job->parent_priority = request->parent_priority;
  job->objective_us = objective_us;
  job->delay_us = link == NULL ? 0 : mesh_link_delay_us (link, request->clock);
  /* A long body is on its way for as long without waiting.  */
  if (net_turns_stood_since (inbound->loop, now - MIN (now, job->delay_us)))
    job->unread_us = job->delay_us;
  job->deadline_us = time_at_sender (request->left, now, job->unread_us);
  fill_entry (job, request, now);
  cds_list_add_tail (&job->node, &inbound->jobs);
  g_hash_table_insert (inbound->by_stream, &job->key, job);
  return job;
}

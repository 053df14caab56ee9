#include <stdlib.h>
#include <string.h>

#include "meshd/inbound.h"
#include "meshd/inbound_internal.h"
#include "net/turns.h"

/* Slots of a server that has not reported how many it has; the servers of both
   users have more.  */
#define CAPACITY_DEFAULT 10

/* Interval of queue checks while a job is queued, in ms.  */
#define QUEUE_TICK_MS 10
#define TICK_MS 25

/* How long the result of a job, or a queued job whose link broke, is kept for
   its sender.  Senders reconnect within the time to detect silence and to
   connect.  They take "unknown attempt" as proof only until half a second less
   than this has passed since they sent the attempt.  */
#define RESULT_KEEP_US UINT64_C (3000000)

/* How long jobs for an instance are refused after the server answered that it
   is another one.  A server takes longer than this to start, under the old
   instance name or a new one.  */
#define ENDED_INSTANCE_KEEP_US UINT64_C (1000000)

/* How long an idempotent job stays queued or running after its link broke.  By
   then its caller has gone or has been served elsewhere.  */
#define IDEMPOTENT_ORPHAN_KEEP_US UINT64_C (400000)

/* Interval between reports that the server is down.  Peers disregard one that
   is two seconds old.  */
#define DOWN_REPORT_INTERVAL_US UINT64_C (1000000)

/* How long a request ID counts as sent to the server.  No attempt of a request
   begins later than this after another: its caller has left by then.  */
#define SENT_ID_KEEP_US UINT64_C (10000000)

/* Longest time for which an attempt may have waited unread.  Its sender may
   not know yet, for as long, that its caller has left, and no request may
   reach a server half a second after that.  */
#define DELAY_MAX_US UINT64_C (300000)

/* How long a job may run past its deadline.  The server itself answers at the
   deadline.  */
#define DEADLINE_GRACE_US UINT64_C (150000)

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

static guint
key_hash (const void *item)
{
  const struct mesh_job_key *key = item;

  return (guint)(key->stream * 2654435761U ^ key->source);
}

static gboolean
key_equal (const void *a, const void *b)
{
  return memcmp (a, b, sizeof (struct mesh_job_key)) == 0;
}

/* Returns the time that the server takes for a request at present.  */
static uint64_t
current_service_us (const struct mesh_inbound *inbound)
{
  return (uint64_t)(inbound->service_us * inbound->slowness_percent
                    / CP_SLOWNESS_NORMAL_PERCENT);
}

bool
mesh_inbound_is_down (const struct mesh_inbound *inbound)
{
  return inbound->server.length != 0
         && (!inbound->reached || inbound->instance[0] == '\0');
}

void
mesh_inbound_get_load (const struct mesh_inbound *inbound,
                       struct cp_server_load *load)
{
  uint64_t service_us = current_service_us (inbound);

  *load = (struct cp_server_load){
    .running = cp_job_queue_busy (&inbound->queue, now_us (), service_us),
    .queued = inbound->queue.queued,
    .limit = cp_job_queue_concurrency (&inbound->queue, service_us),
    .slowness_percent = inbound->slowness_percent,
    .pace_permille = (unsigned)(inbound->pace * 1000),
    .leaving = inbound->server_leaving,
    .down = mesh_inbound_is_down (inbound),
    .cold_us = cp_warm_up_left_us (&inbound->queue.warm_up, now_us ()),
  };
}

void
mesh_inbound_fill_load (struct mesh_inbound *inbound,
                        struct cp_peer_load *load)
{
  struct cp_server_load own;

  mesh_inbound_get_load (inbound, &own);
  mesh_load_to_wire (load, &own, inbound->instance);
}

/* Returns whether the server gets no more requests, since it leaves.  */
static bool
is_drained (const struct mesh_inbound *inbound, uint64_t now)
{
  return inbound->drain_deadline_us != 0 && now > inbound->drain_deadline_us;
}

enum mesh_reason
mesh_job_check (const struct mesh_job *job)
{
  uint64_t now = now_us ();

  if (job->inbound->evacuated)
    return MESH_REASON_EVACUATED;
  if (job->deadline_us <= now)
    return MESH_REASON_WAITED;
  return is_drained (job->inbound, now) ? MESH_REASON_LEAVING
                                        : MESH_REASON_NONE;
}

/* Starts JOB, which holds a slot.  */
static void
job_start (struct mesh_job *job)
{
  struct mesh_inbound *inbound = job->inbound;
  enum mesh_reason reason = mesh_job_check (job);

  job->state = MESH_JOB_RUNNING;
  if (reason != MESH_REASON_NONE)
    {
      cp_job_queue_done (&inbound->queue);
      mesh_job_refuse (job, reason, false);
      return;
    }
  if (!mesh_job_reserve_calls (job))
    {
      cp_job_queue_done (&inbound->queue);
      mesh_job_refuse (job, MESH_REASON_NO_BUDGET, false);
      return;
    }
  job->started_us = now_us ();
  inbound->counts.admitted++;
  mesh_server_send (inbound, job);
}

/* Refuses the queued jobs whose wait is over, or that can no longer be
   answered in time.  */
static void
refuse_queued (struct mesh_inbound *inbound)
{
  static const enum mesh_reason reasons[] = {
    [CP_JOB_QUEUE_EXPIRED] = MESH_REASON_WAITED,
    [CP_JOB_QUEUE_OVERTAKEN] = MESH_REASON_OVERTAKEN,
    [CP_JOB_QUEUE_TOO_SLOW] = MESH_REASON_FULL,
  };
  struct cp_job_queue_entry *entry;

  while ((entry = cp_job_queue_take_expired (&inbound->queue, now_us ()))
         != NULL)
    mesh_job_refuse (caa_container_of (entry, struct mesh_job, entry),
                     reasons[entry->state], false);
}

void
mesh_inbound_start_queued (struct mesh_inbound *inbound)
{
  struct cp_job_queue_entry *entry;

  if (net_turns_is_behind (inbound->loop))
    return;
  cp_job_queue_set_pace (&inbound->queue, current_service_us (inbound),
                         inbound->slowness_percent);
  while ((entry = cp_job_queue_start_next (&inbound->queue, now_us ()))
         != NULL)
    job_start (caa_container_of (entry, struct mesh_job, entry));
  refuse_queued (inbound);
}

void
mesh_inbound_release_slot (struct mesh_inbound *inbound)
{
  cp_job_queue_done (&inbound->queue);
  mesh_inbound_start_queued (inbound);
}

/* Starts the queued jobs that the server's rate limit allows by now, and
   refuses those that have to be.  */
static void
on_queue_timer (uv_timer_t *timer)
{
  struct mesh_inbound *inbound = timer->data;

  mesh_inbound_start_queued (inbound);
  if (inbound->queue.queued == 0)
    uv_timer_stop (timer);
}

/* Returns whether JOB is for an instance that is known to have ended.  */
static bool
is_for_ended_instance (const struct mesh_job *job, uint64_t now)
{
  const struct mesh_inbound *inbound = job->inbound;

  return inbound->ended_instance[0] != '\0'
         && strcmp (job->instance, inbound->ended_instance) == 0
         && now - inbound->ended_instance_us < ENDED_INSTANCE_KEEP_US;
}

/* Returns whether the server runs, or will run, a suspect other than JOB.  */
static bool
runs_other_suspect (const struct mesh_inbound *inbound,
                    const struct mesh_job *job)
{
  const struct mesh_job *other;

  cds_list_for_each_entry (other, &inbound->jobs, node)
  {
    if (other != job && other->state != MESH_JOB_ENDED
        && mesh_suspects_contain (inbound->suspects, other->digest))
      return true;
  }
  return false;
}

/* Returns whether JOB ends before this daemon does.  */
static bool
fits_into_stop (const struct mesh_job *job, uint64_t now)
{
  const struct cp_stop_plan *stop = job->inbound->stop;

  return stop == NULL
         || cp_stop_plan_admits (stop, now, job->deadline_us,
                                 MAX (job->objective_us, job->entry.work_us));
}

/* Returns whether the retry budgets cover the calls of JOB at present.  */
static bool
calls_are_covered (struct mesh_job *job)
{
  bool covered = mesh_job_reserve_calls (job);

  mesh_job_release_calls (job);
  return covered;
}

/* Queues, starts or refuses JOB.  */
static void
admit (struct mesh_job *job)
{
  struct mesh_inbound *inbound = job->inbound;
  uint64_t now = now_us ();

  job->state = MESH_JOB_QUEUED;
  cp_job_queue_set_pace (&inbound->queue, current_service_us (inbound),
                         inbound->slowness_percent);
  if (inbound->server.length == 0)
    mesh_job_refuse (job, MESH_REASON_NO_SERVER, false);
  else if (inbound->evacuated)
    mesh_job_refuse (job, MESH_REASON_EVACUATED, false);
  else if (is_drained (inbound, now) || !fits_into_stop (job, now))
    mesh_job_refuse (job, MESH_REASON_LEAVING, false);
  else if (job->deadline_us <= now)
    mesh_job_refuse (job, MESH_REASON_WAITED, false);
  else if (job->unread_us > DELAY_MAX_US)
    mesh_job_refuse (job, MESH_REASON_DELAYED, false);
  else if (inbound->connect_refusals >= MESH_CONNECT_REFUSALS_MAX)
    mesh_job_refuse (job, MESH_REASON_NO_SERVER, false);
  else if (is_for_ended_instance (job, now))
    mesh_job_refuse (job, MESH_REASON_OTHER_INSTANCE, false);
  else if (mesh_suspects_hold_back (inbound->suspects, job->digest))
    mesh_job_refuse (job, MESH_REASON_HELD_BACK, false);
  else if (mesh_suspects_contain (inbound->suspects, job->digest)
           && runs_other_suspect (inbound, job))
    mesh_job_refuse (job, MESH_REASON_SUSPECT, false);
  else if (!calls_are_covered (job))
    mesh_job_refuse (job, MESH_REASON_NO_BUDGET, false);
  else
    switch (cp_job_queue_submit (&inbound->queue, &job->entry, now,
                                 current_service_us (inbound)))
      {
      case CP_JOB_QUEUE_RUN:
        job_start (job);
        break;
      case CP_JOB_QUEUE_WAIT:
        if (!uv_is_active ((uv_handle_t *)&inbound->queue_timer))
          uv_timer_start (&inbound->queue_timer, on_queue_timer, QUEUE_TICK_MS,
                          QUEUE_TICK_MS);
        refuse_queued (inbound);
        break;
      case CP_JOB_QUEUE_REFUSE:
        mesh_job_refuse (job, MESH_REASON_FULL, false);
        break;
      }
}

void
mesh_inbound_offer (struct mesh_inbound *inbound, struct mesh_link *link,
                    const struct cp_peer_request *request)
{
  struct mesh_job *job = mesh_job_create (inbound, link, request);

  inbound->last_job_us = now_us ();
  /* The cancel of the job may be unread, and so may news of the server.  */
  if (!net_turns_is_behind (inbound->loop))
    admit (job);
}

static struct mesh_job *
find_job_in_state (struct mesh_inbound *inbound, enum mesh_job_state state)
{
  struct mesh_job *job;

  cds_list_for_each_entry (job, &inbound->jobs, node)
  {
    if (job->state == state)
      return job;
  }
  return NULL;
}

void
mesh_inbound_settle (struct mesh_inbound *inbound)
{
  struct mesh_job *job;

  /* One may end others, so the list is read from its head again.  */
  while ((job = find_job_in_state (inbound, MESH_JOB_HELD)) != NULL)
    admit (job);
  mesh_inbound_start_queued (inbound);
  mesh_server_settle (inbound);
}

static struct mesh_job *
find_job (struct mesh_inbound *inbound, struct mesh_link *link,
          uint64_t stream)
{
  struct mesh_job_key key
      = { .source = link == NULL ? inbound->incarnation : link->incarnation,
          .stream = stream };

  return g_hash_table_lookup (inbound->by_stream, &key);
}

/* Drops JOB without a message to its sender.  A job that must not be repeated
   runs on.  */
static void
job_drop (struct mesh_job *job)
{
  struct mesh_inbound *inbound = job->inbound;

  job->no_reply = true;
  if (job->state == MESH_JOB_QUEUED)
    {
      cp_job_queue_remove (&inbound->queue, &job->entry);
      mesh_job_free (job);
    }
  else if (job->state == MESH_JOB_HELD || job->state == MESH_JOB_ENDED)
    mesh_job_free (job);
  else if (job->idempotent)
    mesh_server_abort (job, MESH_REASON_CANCELLED);
}

void
mesh_inbound_cancel (struct mesh_inbound *inbound, struct mesh_link *link,
                     uint64_t stream)
{
  struct mesh_job *job = find_job (inbound, link, stream);

  if (job != NULL)
    job_drop (job);
}

static GByteArray *
copy_bytes (const GByteArray *bytes)
{
  GByteArray *copy = g_byte_array_sized_new (bytes->len);

  return g_byte_array_append (copy, bytes->data, bytes->len);
}

void
mesh_inbound_resume (struct mesh_inbound *inbound, struct mesh_link *link,
                     uint64_t stream)
{
  struct mesh_job *job = find_job (inbound, link, stream);
  struct cp_peer_message message = { .kind = CP_PEER_REFUSAL };

  if (job == NULL)
    {
      message.cp_peer_message_u.refusal.stream = stream;
      message.cp_peer_message_u.refusal.reason = MESH_REASON_UNKNOWN_ATTEMPT;
      mesh_inbound_fill_load (inbound,
                              &message.cp_peer_message_u.refusal.load);
      mesh_link_send (link, &message);
      return;
    }
  job->link = link;
  job->lost_us = 0;
  if (job->state == MESH_JOB_ENDED)
    net_link_send (&link->net, copy_bytes (job->kept_message));
}

void
mesh_inbound_link_lost (struct mesh_inbound *inbound, struct mesh_link *link)
{
  struct mesh_job *job;
  uint64_t now = now_us ();

  cds_list_for_each_entry (job, &inbound->jobs, node) if (job->link == link)
  {
    job->link = NULL;
    job->lost_us = now;
  }
}

bool
mesh_inbound_find_parent (struct mesh_inbound *inbound, const char *request_id,
                          struct mesh_parent *parent)
{
  const char *suffix = strrchr (request_id, '.');
  struct mesh_job *job;
  size_t length;

  if (suffix == NULL || suffix == request_id)
    return false;
  length = (size_t)(suffix - request_id);
  cds_list_for_each_entry (job, &inbound->jobs, node)
  {
    if (job->state != MESH_JOB_RUNNING || strlen (job->request_id) != length
        || memcmp (job->request_id, request_id, length) != 0)
      continue;
    *parent = (struct mesh_parent){
      .priority = job->entry.rank.priority,
      .repeat = job->repeat,
      .deadline_us = job->deadline_us,
      .made = &job->made,
      .reserved = &job->reserved,
    };
    return true;
  }
  return false;
}

unsigned
mesh_inbound_count_jobs (const struct mesh_inbound *inbound)
{
  const struct mesh_job *job;
  unsigned count = 0;

  cds_list_for_each_entry (job, &inbound->jobs, node) count
      += job->state != MESH_JOB_ENDED || job->lost_us != 0;
  return count;
}

/* Returns whether JOB has been kept for its sender long enough.  */
static bool
is_expired (const struct mesh_job *job, uint64_t now)
{
  if (job->state == MESH_JOB_ENDED)
    return now - job->ended_us > RESULT_KEEP_US;
  if (job->lost_us == 0)
    return false;
  if (job->idempotent)
    return now - job->lost_us > IDEMPOTENT_ORPHAN_KEEP_US;
  return job->state == MESH_JOB_QUEUED && now - job->lost_us > RESULT_KEEP_US;
}

/* Drops or aborts JOB if its time is over.  Returns whether it did.  */
static bool
check_job (struct mesh_job *job, uint64_t now)
{
  if (is_expired (job, now))
    job_drop (job);
  else if (job->state == MESH_JOB_RUNNING
           && now > job->deadline_us + DEADLINE_GRACE_US)
    mesh_server_abort (job, MESH_REASON_TIMEOUT);
  else
    return false;
  return true;
}

static void
check_jobs (struct mesh_inbound *inbound, uint64_t now)
{
  struct mesh_job *job;
  bool found = true;

  /* Ending one job may start or end others, so the list is read from its head
     again.  */
  while (found)
    {
      found = false;
      cds_list_for_each_entry (job, &inbound->jobs,
                               node) if (check_job (job, now))
      {
        found = true;
        break;
      }
    }
}

void
mesh_inbound_report_load (struct mesh_inbound *inbound)
{
  struct cp_peer_message message = { .kind = CP_PEER_LOAD };
  struct cp_server_load load;
  enum cp_report_scope scope;
  uint64_t now = now_us ();

  mesh_inbound_get_load (inbound, &load);
  scope = cp_report_filter_check (&inbound->report_filter, &load);
  if (load.down && now - inbound->down_reported_us >= DOWN_REPORT_INTERVAL_US)
    scope = CP_REPORT_ALL;
  if (scope == CP_REPORT_NONE)
    return;
  if (load.down && scope == CP_REPORT_ALL)
    inbound->down_reported_us = now;
  mesh_inbound_fill_load (inbound, &message.cp_peer_message_u.load);
  inbound->events->load (inbound->context, &message,
                         scope == CP_REPORT_OWN_DOMAIN);
}

static void
on_tick (uv_timer_t *timer)
{
  struct mesh_inbound *inbound = timer->data;
  uint64_t now = now_us ();

  if (net_turns_defer (timer, on_tick))
    return;
  check_jobs (inbound, now);
  mesh_warm_up_check (inbound, now);
  mesh_server_tick (inbound, now);
  mesh_server_check_end (inbound, now);
  mesh_inbound_report_load (inbound);
}

void
mesh_inbound_init (struct mesh_inbound *inbound, uv_loop_t *loop,
                   const struct cp_address *server, uint64_t incarnation,
                   struct mesh_suspects *suspects,
                   const struct mesh_inbound_events *events, void *context)
{
  *inbound
      = (struct mesh_inbound){ .loop = loop,
                               .server = *server,
                               .slowness_percent = CP_SLOWNESS_NORMAL_PERCENT,
                               .incarnation = incarnation,
                               .suspects = suspects,
                               .events = events,
                               .context = context };
  CDS_INIT_LIST_HEAD (&inbound->jobs);
  CDS_INIT_LIST_HEAD (&inbound->idle);
  CDS_INIT_LIST_HEAD (&inbound->connections);
  inbound->by_stream = g_hash_table_new (key_hash, key_equal);
  inbound->cut_jobs = g_array_new (FALSE, FALSE, sizeof (struct mesh_cut_job));
  cp_recent_ids_init (&inbound->sent_ids, SENT_ID_KEEP_US);
  cp_job_queue_init (&inbound->queue);
  inbound->queue.unproved = true;
  cp_warm_up_await_configuration (&inbound->queue.warm_up);
  cp_report_filter_init (&inbound->report_filter);
  cp_job_queue_set_capacity (&inbound->queue, CAPACITY_DEFAULT);
  uv_timer_init (loop, &inbound->tick);
  uv_timer_init (loop, &inbound->queue_timer);
  mesh_replies_init (&inbound->replies, loop, events->reply, context);
  inbound->tick.data = inbound;
  inbound->queue_timer.data = inbound;
  uv_timer_start (&inbound->tick, on_tick, TICK_MS, TICK_MS);
  mesh_server_check_reachable (inbound);
}

/* Divides the memory for answers among the slots.  */
static void
update_answer_budget (struct mesh_inbound *inbound)
{
  inbound->answer_budget.max = inbound->answer_memory;
  inbound->answer_budget.share
      = inbound->answer_memory / (inbound->queue.limit + 1);
}

void
mesh_inbound_set_answer_memory (struct mesh_inbound *inbound, uint64_t bytes)
{
  inbound->answer_memory = bytes;
  update_answer_budget (inbound);
}

void
mesh_inbound_set_server (struct mesh_inbound *inbound,
                         const struct cp_server *server,
                         const char *health_path)
{
  bool is_new = false;

  if (health_path != NULL)
    g_strlcpy (inbound->health_path, health_path, sizeof inbound->health_path);
  if (server == NULL)
    return;
  if (strcmp (inbound->instance, server->instance) != 0
      || inbound->born_ms != server->born_ms)
    {
      g_strlcpy (inbound->instance, server->instance,
                 sizeof inbound->instance);
      inbound->born_ms = server->born_ms;
      inbound->service_us = 0;
      inbound->pace = 0;
      cp_service_times_init (&inbound->service_times);
      inbound->connect_refusals = 0;
      inbound->queue.unproved = true;
      inbound->server_number++;
      mesh_inbound_forget_notices (inbound);
      mesh_server_close_idle (inbound);
      mesh_server_check_reachable (inbound);
      cp_report_filter_init (&inbound->report_filter);
      is_new = true;
    }
  mesh_warm_up_read_entry (inbound, server, is_new);
  if (server->capacity != inbound->capacity)
    {
      inbound->capacity = server->capacity;
      cp_job_queue_set_capacity (&inbound->queue, server->capacity);
      update_answer_budget (inbound);
      mesh_inbound_start_queued (inbound);
    }
  mesh_inbound_report_load (inbound);
}

void
mesh_inbound_set_drain_deadline (struct mesh_inbound *inbound,
                                 uint64_t drain_deadline_us)
{
  inbound->drain_deadline_us = drain_deadline_us;
}

void
mesh_inbound_plan_stop (struct mesh_inbound *inbound,
                        const struct cp_stop_plan *plan)
{
  inbound->stop = plan;
}

unsigned
mesh_inbound_set_evacuated (struct mesh_inbound *inbound, bool evacuated)
{
  struct mesh_job *job;
  unsigned refused = 0;

  /* The server may have become cold or ended meanwhile, since it got neither
     requests nor health checks.  */
  if (inbound->evacuated && !evacuated)
    inbound->queue.unproved = true;
  inbound->evacuated = evacuated;
  /* A refusal may end other jobs, so the list is read from its head again.  */
  while (evacuated
         && (job = find_job_in_state (inbound, MESH_JOB_QUEUED)) != NULL)
    {
      cp_job_queue_remove (&inbound->queue, &job->entry);
      mesh_job_refuse (job, MESH_REASON_EVACUATED, false);
      refused++;
    }
  return refused;
}

/* Aborts or drops all jobs.  */
static void
end_jobs (struct mesh_inbound *inbound)
{
  struct mesh_job *job;

  while (!cds_list_empty (&inbound->jobs))
    {
      job = cds_list_first_entry (&inbound->jobs, struct mesh_job, node);
      job->no_reply = true;
      if (job->state == MESH_JOB_RUNNING)
        mesh_server_abort (job, MESH_REASON_LEAVING);
      else
        job_drop (job);
    }
}

void
mesh_inbound_stop (struct mesh_inbound *inbound)
{
  uv_close ((uv_handle_t *)&inbound->tick, NULL);
  uv_close ((uv_handle_t *)&inbound->queue_timer, NULL);
  mesh_replies_stop (&inbound->replies);
  /* Draining, so that released slots start no further job.  */
  inbound->drain_deadline_us = 1;
  end_jobs (inbound);
  mesh_server_close_all (inbound);
  cp_recent_ids_finish (&inbound->sent_ids);
  g_hash_table_unref (inbound->by_stream);
  g_array_unref (inbound->cut_jobs);
}

#include <glib.h>

#include "lib/job_queue.h"

/* Share of a server's slots that is used.  The servers of both users take 1.7
   times as long once more than 0.8 of their slots are busy (site files,
   "knee"), which costs more throughput than the additional slots give.  */
#define UTILIZATION_MAX 0.8

/* Entries that run at the same time until the server has answered.  */
#define UNPROVED_MAX 2

/* Starts of more urgent entries after which one is reserved for a lower
   priority: the requirements give the lower priorities one start in eight.  */
#define PASSED_MAX 7

/* Least share of the arrivals of a priority that starts, relative to that of
   all, from the requirements.  */
#define STARTED_SHARE_MIN 0.25

/* Interval at which the counts of arrivals and starts are halved, so that they
   describe the last seconds.  */
#define HALVING_US UINT64_C (1000000)

#define NORMAL_PERCENT 100

/* The waiting entries in the order in which they will start.  */
struct schedule
{
  const struct cp_job_queue *queue;
  struct cds_list_head *next[CP_JOB_QUEUE_PRIORITIES];
  unsigned passed[CP_JOB_QUEUE_PRIORITIES];
  unsigned started[CP_JOB_QUEUE_PRIORITIES];
  uint64_t offered_all;
  uint64_t started_all;
  unsigned levels;        /* a bit for each priority that has entries left */
  unsigned ahead;         /* entries that have been returned */
  uint64_t ahead_work_us; /* their work */
};

/* Service time assumed of a cold server that has not answered yet.  */
#define COLD_SERVICE_DEFAULT_US UINT64_C (100000)

void
cp_job_queue_init (struct cp_job_queue *queue)
{
  *queue = (struct cp_job_queue){ .limit = 1,
                                  .slowness_percent = NORMAL_PERCENT };
  cp_rate_limit_init (&queue->rate);
  CDS_INIT_LIST_HEAD (&queue->refused);
  cp_warm_up_init (&queue->warm_up);
  for (unsigned i = 0; i < CP_JOB_QUEUE_PRIORITIES; i++)
    CDS_INIT_LIST_HEAD (&queue->queues[i]);
}

void
cp_job_queue_set_capacity (struct cp_job_queue *queue, unsigned capacity)
{
  queue->limit = (unsigned)(UTILIZATION_MAX * capacity);
  if (queue->limit == 0)
    queue->limit = 1;
}

void
cp_job_queue_set_pace (struct cp_job_queue *queue, uint64_t service_us,
                       unsigned slowness_percent)
{
  queue->service_us = service_us;
  queue->slowness_percent = slowness_percent;
}

static unsigned
free_slots (const struct cp_job_queue *queue)
{
  unsigned limit
      = queue->unproved ? MIN (queue->limit, UNPROVED_MAX) : queue->limit;

  return limit - MIN (limit, queue->running);
}

/* Takes one of the starts that the server allows now.  Returns false if there
   is none.  */
static bool
take_start (struct cp_job_queue *queue, uint64_t now_us)
{
  cp_warm_up_update (&queue->warm_up, now_us);
  if (!cp_warm_up_allows (&queue->warm_up, now_us)
      || !cp_rate_limit_take (&queue->rate, now_us))
    return false;
  cp_warm_up_count (&queue->warm_up, now_us);
  return true;
}

/* Returns how long an entry waits that has AHEAD queued entries before it,
   whose work is AHEAD_WORK_US.  */
static uint64_t
expected_wait_us (const struct cp_job_queue *queue, unsigned ahead,
                  uint64_t ahead_work_us, uint64_t now_us)
{
  uint64_t slot_us = 0;

  if (ahead >= free_slots (queue))
    slot_us = (queue->service_us + ahead_work_us) / queue->limit;
  slot_us
      = MAX (slot_us, cp_warm_up_wait_us (&queue->warm_up, ahead + 1, now_us));
  return MAX (slot_us,
              cp_rate_limit_wait_us (&queue->rate, ahead + 1, now_us));
}

/* Records a start of priority LEVEL in PASSED.  WAITING has a bit for each
   priority that still waits.  A start that is reserved for a more urgent of
   the lower priorities stays reserved.  */
static void
count_start (unsigned passed[CP_JOB_QUEUE_PRIORITIES], unsigned level,
             unsigned waiting)
{
  unsigned i = level;

  passed[i] = 0;
  while (i > 0 && (waiting & 1U << (i - 1)) == 0)
    passed[--i] = 0;
  for (i = level + 1; i < CP_JOB_QUEUE_PRIORITIES; i++)
    passed[i] = MIN (passed[i] + 1, PASSED_MAX);
}

/* Returns a bit for each priority of which entries wait.  */
static unsigned
waiting_levels (const struct cp_job_queue *queue)
{
  unsigned levels = 0;

  for (unsigned i = 0; i < CP_JOB_QUEUE_PRIORITIES; i++)
    if (queue->lengths[i] > 0)
      levels |= 1U << i;
  return levels;
}

static void
schedule_init (struct schedule *schedule, const struct cp_job_queue *queue)
{
  *schedule
      = (struct schedule){ .queue = queue, .levels = waiting_levels (queue) };
  for (unsigned i = 0; i < CP_JOB_QUEUE_PRIORITIES; i++)
    {
      schedule->next[i] = queue->queues[i].next;
      schedule->passed[i] = queue->passed[i];
      schedule->started[i] = queue->started[i];
      schedule->offered_all += queue->offered[i];
      schedule->started_all += queue->started[i];
    }
}

/* Returns the most urgent priority from FIRST on of which SCHEDULE has entries
   left, or CP_JOB_QUEUE_PRIORITIES.  */
static unsigned
next_level_from (const struct schedule *schedule, unsigned first)
{
  unsigned levels = schedule->levels >> first;

  return levels == 0 ? CP_JOB_QUEUE_PRIORITIES
                     : first + (unsigned)__builtin_ctz (levels);
}

/* Returns whether as large a share of the entries of priority A starts as of
   those of priority B, or a smaller one.  */
static bool
starts_no_more_often (const struct schedule *schedule, unsigned a, unsigned b)
{
  const unsigned *offered = schedule->queue->offered;

  return (uint64_t)schedule->started[a] * offered[b]
         <= (uint64_t)schedule->started[b] * offered[a];
}

/* Returns the least urgent priority after FIRST that lacks at least one start
   to its least share, or FIRST.  */
static unsigned
find_starved (const struct schedule *schedule, unsigned first)
{
  const unsigned *offered = schedule->queue->offered;

  for (unsigned i = CP_JOB_QUEUE_PRIORITIES - 1; i > first; i--)
    if ((schedule->levels & 1U << i) != 0
        && STARTED_SHARE_MIN * (double)schedule->started_all * offered[i]
               >= (schedule->started[i] + 1.0) * (double)schedule->offered_all)
      return i;
  return first;
}

/* Returns the priority that starts next.  */
static unsigned
next_level (const struct schedule *schedule)
{
  unsigned first = next_level_from (schedule, 0);

  if ((schedule->levels & (schedule->levels - 1)) == 0)
    return first; /* one at most */
  for (unsigned i = 1; i < CP_JOB_QUEUE_PRIORITIES; i++)
    if (schedule->passed[i] >= PASSED_MAX)
      {
        unsigned level = next_level_from (schedule, MAX (i, first));

        while (level < CP_JOB_QUEUE_PRIORITIES
               && !starts_no_more_often (schedule, level, first))
          level = next_level_from (schedule, level + 1);
        if (level < CP_JOB_QUEUE_PRIORITIES)
          return level;
        break;
      }
  return find_starved (schedule, first);
}

/* Returns the next entry in the order of starts, or NULL.  The entry may be
   removed from the queue before the next call.  */
static struct cp_job_queue_entry *
schedule_next (struct schedule *schedule)
{
  unsigned level = next_level (schedule);
  struct cp_job_queue_entry *entry;

  if (level == CP_JOB_QUEUE_PRIORITIES)
    return NULL;
  entry = cds_list_entry (schedule->next[level], struct cp_job_queue_entry,
                          node);
  schedule->next[level] = schedule->next[level]->next;
  if (schedule->next[level] == &schedule->queue->queues[level])
    schedule->levels &= ~(1U << level);
  return entry;
}

/* Counts ENTRY, which schedule_next returned, as one that starts.  */
static void
schedule_count (struct schedule *schedule,
                const struct cp_job_queue_entry *entry)
{
  schedule->ahead++;
  schedule->ahead_work_us += entry->rank.work_us > 0
                                 ? entry->rank.work_us
                                 : schedule->queue->service_us;
  count_start (schedule->passed, entry->rank.priority, schedule->levels);
  schedule->started[entry->rank.priority]++;
  schedule->started_all++;
}

/* Returns when ENTRY will start if it comes next.  */
static uint64_t
expected_start_us (const struct schedule *schedule, uint64_t now_us)
{
  uint64_t wait_us = expected_wait_us (schedule->queue, schedule->ahead,
                                       schedule->ahead_work_us, now_us);

  return wait_us > UINT64_MAX - now_us ? UINT64_MAX : now_us + wait_us;
}

static void
take_out (struct cp_job_queue *queue, struct cp_job_queue_entry *entry)
{
  entry->state = CP_JOB_QUEUE_OUTSIDE;
  cds_list_del (&entry->node);
  queue->lengths[entry->rank.priority]--;
  queue->queued--;
}

/* Moves ENTRY, which waits, to those that are to be refused.  */
static void
turn_away (struct cp_job_queue *queue, struct cp_job_queue_entry *entry,
           enum cp_job_queue_state state)
{
  take_out (queue, entry);
  entry->state = state;
  cds_list_add_tail (&entry->node, &queue->refused);
}

static enum cp_job_queue_state
cause_of_lateness (const struct cp_job_queue_entry *entry)
{
  return entry->overtaken_by > 0 ? CP_JOB_QUEUE_OVERTAKEN
                                 : CP_JOB_QUEUE_TOO_SLOW;
}

/* Links ENTRY before the entries of its priority that rank after it.  */
static void
insert (struct cp_job_queue *queue, struct cp_job_queue_entry *entry,
        uint64_t now_us)
{
  struct cds_list_head *head = &queue->queues[entry->rank.priority];
  struct cds_list_head *after = head->prev;

  while (after != head
         && cp_request_rank_compare (
                &cds_list_entry (after, struct cp_job_queue_entry, node)->rank,
                &entry->rank, now_us)
                > 0)
    after = after->prev;
  cds_list_add (&entry->node, after);
}

static void
set_work (const struct cp_job_queue *queue, struct cp_job_queue_entry *entry)
{
  entry->rank.work_us
      = entry->work_us * queue->slowness_percent / NORMAL_PERCENT;
}

/* Brings the order up to date: entries may have missed their objective, and
   the slowness of the server may have changed.  Entries that could not be
   answered in time if they started now are turned away.  */
static void
update_order (struct cp_job_queue *queue, uint64_t now_us)
{
  for (unsigned i = 0; i < CP_JOB_QUEUE_PRIORITIES; i++)
    {
      struct cds_list_head old;
      struct cp_job_queue_entry *entry;
      struct cp_job_queue_entry *next;

      if (queue->lengths[i] == 0)
        continue;
      CDS_INIT_LIST_HEAD (&old);
      cds_list_splice (&queue->queues[i], &old);
      CDS_INIT_LIST_HEAD (&queue->queues[i]);
      cds_list_for_each_entry_safe (entry, next, &old, node)
      {
        cds_list_del (&entry->node);
        set_work (queue, entry);
        insert (queue, entry, now_us);
        if (!cp_request_rank_can_end (&entry->rank, now_us))
          turn_away (queue, entry, cause_of_lateness (entry));
      }
    }
}

/* Turns away the entries that would start too late to be answered before their
   deadline.  */
static void
turn_away_late (struct cp_job_queue *queue, uint64_t now_us)
{
  struct schedule schedule;
  struct cp_job_queue_entry *entry;

  schedule_init (&schedule, queue);
  while ((entry = schedule_next (&schedule)) != NULL)
    if (cp_request_rank_can_end (&entry->rank,
                                 expected_start_us (&schedule, now_us)))
      schedule_count (&schedule, entry);
    else
      turn_away (queue, entry, cause_of_lateness (entry));
}

/* Sets SCHEDULE to the starts from ENTRY on, which has been linked.  Returns
   whether it will start in time for its deadline and its allowed wait.  */
static bool
will_start (struct schedule *schedule, const struct cp_job_queue *queue,
            const struct cp_job_queue_entry *entry, uint64_t now_us)
{
  const struct cp_job_queue_entry *next;
  uint64_t start_us;

  schedule_init (schedule, queue);
  while ((next = schedule_next (schedule)) != entry)
    schedule_count (schedule, next);
  start_us = expected_start_us (schedule, now_us);
  schedule_count (schedule, entry);
  return now_us < entry->wait_until_us && start_us <= entry->wait_until_us
         && cp_request_rank_can_end (&entry->rank, start_us);
}

/* Counts an arrival with those that it overtakes, the rest of SCHEDULE.  Turns
   away the entries that would start too late for their deadline, and of those
   that would wait for longer than they allow, the worst-ranked.  */
static void
overtake (struct cp_job_queue *queue, struct schedule *schedule,
          uint64_t now_us)
{
  struct cp_job_queue_entry *entry;
  struct cp_job_queue_entry *worst = NULL;

  while ((entry = schedule_next (schedule)) != NULL)
    {
      uint64_t start_us = expected_start_us (schedule, now_us);

      entry->overtaken_by++;
      if (!cp_request_rank_can_end (&entry->rank, start_us))
        {
          turn_away (queue, entry, CP_JOB_QUEUE_OVERTAKEN);
          continue;
        }
      if (start_us > entry->wait_until_us
          && (worst == NULL || entry->rank.priority >= worst->rank.priority))
        worst = entry;
      schedule_count (schedule, entry);
    }
  if (worst != NULL)
    turn_away (queue, worst, CP_JOB_QUEUE_OVERTAKEN);
}

static struct cp_job_queue_entry *
first_to_start (const struct cp_job_queue *queue)
{
  struct schedule schedule;

  schedule_init (&schedule, queue);
  return schedule_next (&schedule);
}

static void
count_offered (struct cp_job_queue *queue, unsigned level, uint64_t now_us)
{
  if (now_us - queue->halved_us >= HALVING_US)
    {
      queue->halved_us = now_us;
      for (unsigned i = 0; i < CP_JOB_QUEUE_PRIORITIES; i++)
        {
          queue->offered[i] /= 2;
          queue->started[i] /= 2;
        }
    }
  queue->offered[level]++;
}

/* Counts ENTRY, which has been linked, as running.  */
static void
start (struct cp_job_queue *queue, struct cp_job_queue_entry *entry)
{
  take_out (queue, entry);
  count_start (queue->passed, entry->rank.priority, waiting_levels (queue));
  queue->started[entry->rank.priority]++;
  queue->running++;
}

enum cp_job_queue_result
cp_job_queue_submit (struct cp_job_queue *queue,
                     struct cp_job_queue_entry *entry, uint64_t now_us,
                     uint64_t service_us)
{
  struct schedule schedule;

  entry->arrived_us = now_us;
  entry->overtaken_by = 0;
  entry->state = CP_JOB_QUEUE_OUTSIDE;
  entry->rank.priority
      = MIN (entry->rank.priority, CP_JOB_QUEUE_PRIORITIES - 1U);
  entry->rank.arrival = ++queue->arrivals;
  queue->service_us = service_us;
  set_work (queue, entry);
  count_offered (queue, entry->rank.priority, now_us);
  if (!cp_request_rank_can_end (&entry->rank, now_us))
    return CP_JOB_QUEUE_REFUSE;
  if (free_slots (queue) > 0 && queue->queued == 0
      && take_start (queue, now_us))
    {
      queue->started[entry->rank.priority]++;
      queue->running++;
      return CP_JOB_QUEUE_RUN;
    }
  update_order (queue, now_us);
  insert (queue, entry, now_us);
  queue->lengths[entry->rank.priority]++;
  queue->queued++;
  if (free_slots (queue) > 0 && first_to_start (queue) == entry
      && take_start (queue, now_us))
    {
      start (queue, entry);
      return CP_JOB_QUEUE_RUN;
    }
  if (!will_start (&schedule, queue, entry, now_us))
    {
      take_out (queue, entry);
      return CP_JOB_QUEUE_REFUSE;
    }
  entry->state = CP_JOB_QUEUE_WAITING;
  overtake (queue, &schedule, now_us);
  return CP_JOB_QUEUE_WAIT;
}

void
cp_job_queue_done (struct cp_job_queue *queue)
{
  queue->running--;
}

void
cp_job_queue_remove (struct cp_job_queue *queue,
                     struct cp_job_queue_entry *entry)
{
  if (entry->state == CP_JOB_QUEUE_WAITING)
    take_out (queue, entry);
  else if (entry->state != CP_JOB_QUEUE_OUTSIDE)
    {
      cds_list_del (&entry->node);
      entry->state = CP_JOB_QUEUE_OUTSIDE;
    }
}

struct cp_job_queue_entry *
cp_job_queue_start_next (struct cp_job_queue *queue, uint64_t now_us)
{
  struct cp_job_queue_entry *entry;

  if (queue->queued == 0 || free_slots (queue) == 0)
    return NULL;
  update_order (queue, now_us);
  entry = first_to_start (queue);
  if (entry == NULL || !take_start (queue, now_us))
    return NULL;
  start (queue, entry);
  return entry;
}

/* Turns away the entries that have waited for as long as allowed.  */
static void
turn_away_expired (struct cp_job_queue *queue, uint64_t now_us)
{
  struct cp_job_queue_entry *entry;
  struct cp_job_queue_entry *next;

  for (unsigned i = 0; i < CP_JOB_QUEUE_PRIORITIES; i++)
    cds_list_for_each_entry_safe (entry, next, &queue->queues[i],
                                  node) if (entry->wait_until_us <= now_us)
        turn_away (queue, entry, CP_JOB_QUEUE_EXPIRED);
}

struct cp_job_queue_entry *
cp_job_queue_take_expired (struct cp_job_queue *queue, uint64_t now_us)
{
  struct cp_job_queue_entry *entry;

  if (cds_list_empty (&queue->refused) && queue->queued > 0)
    {
      turn_away_expired (queue, now_us);
      update_order (queue, now_us);
      turn_away_late (queue, now_us);
    }
  if (cds_list_empty (&queue->refused))
    return NULL;
  entry = cds_list_first_entry (&queue->refused, struct cp_job_queue_entry,
                                node);
  cds_list_del (&entry->node);
  CDS_INIT_LIST_HEAD (&entry->node); /* for a later removal */
  return entry;
}

/* Returns how many entries RATE lets run at the same time if each takes
   SERVICE_US, or LIMIT if that is less.  */
static unsigned
concurrency_by_rate (const struct cp_rate_limit *rate, uint64_t service_us,
                     unsigned limit)
{
  double by_rate = rate->per_s * (double)service_us / 1e6;

  if (!rate->active || service_us == 0 || by_rate >= limit)
    return limit;
  return MAX (1U, (unsigned)(by_rate + 0.5));
}

unsigned
cp_job_queue_concurrency (const struct cp_job_queue *queue,
                          uint64_t service_us)
{
  unsigned limit
      = concurrency_by_rate (&queue->rate, service_us, queue->limit);

  return concurrency_by_rate (
      &queue->warm_up.bucket,
      service_us == 0 ? COLD_SERVICE_DEFAULT_US : service_us, limit);
}

unsigned
cp_job_queue_busy (const struct cp_job_queue *queue, uint64_t now_us,
                   uint64_t service_us)
{
  double used = cp_rate_limit_used_share (&queue->rate, now_us);
  unsigned limit = cp_job_queue_concurrency (queue, service_us);

  if (!cp_warm_up_allows (&queue->warm_up, now_us))
    return MAX (queue->running, limit);
  return MAX (queue->running, (unsigned)(used * limit + 0.5));
}

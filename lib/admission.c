#include <string.h>
#include <time.h>

#include "lib/admission.h"
#include "lib/cleanup.h"

/* Longest queue, in calls per slot.  */
#define QUEUE_PER_SLOT 2

/* Number of recorded calling VMs from which idle ones are removed.  */
#define CALLERS_PURGE_COUNT 256

/* The moving average of errors covers about this many calls.  */
#define ERROR_SHARE_CALLS 64

/* How often a waiting thread checks whether the caller has disconnected.  */
#define PRESENCE_POLL_US (10 * CP_US_PER_MS)

#define PERMILLE 1000
#define MEDIAN 0.5

/* Age from which the shortest service time is not used.  */
#define ESTIMATE_MAX_AGE_US CP_US_PER_S

const char *const cp_admission_result_names[CP_ADMISSION_RESULT_COUNT]
    = { [CP_ADMITTED] = "admitted",
        [CP_ADMISSION_FULL] = "full",
        [CP_ADMISSION_DEADLINE] = "deadline",
        [CP_ADMISSION_CALLER_GONE] = "caller-gone" };

void
cp_admission_init (struct cp_admission *admission,
                   const struct cp_clock *clock, unsigned slots)
{
  memset (admission, 0, sizeof *admission);
  pthread_mutex_init (&admission->lock, NULL);
  admission->clock = clock;
  admission->slots = slots;
  cp_limit_init (&admission->limit, slots);
  CDS_INIT_LIST_HEAD (&admission->queue);
  admission->queue_empty_us = cp_clock_now_us (clock);
  admission->callers
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free);
  cp_recent_histogram_init (&admission->latency, cp_clock_now_us (clock));
}

void
cp_admission_finish (struct cp_admission *admission)
{
  g_hash_table_destroy (admission->callers);
  pthread_mutex_destroy (&admission->lock);
}

static gboolean
is_idle (gpointer key, gpointer value, gpointer context)
{
  const struct cp_caller *caller = value;

  (void)key;
  (void)context;
  return caller->in_flight == 0 && caller->waiting == 0;
}

static struct cp_caller *
get_caller (struct cp_admission *admission, const char *vm)
{
  struct cp_caller *caller = g_hash_table_lookup (admission->callers, vm);

  if (caller != NULL)
    return caller;
  if (g_hash_table_size (admission->callers) >= CALLERS_PURGE_COUNT)
    g_hash_table_foreach_remove (admission->callers, is_idle, NULL);
  caller = calloc (1, sizeof *caller);
  if (caller == NULL)
    abort ();
  g_strlcpy (caller->vm, vm, sizeof caller->vm);
  g_hash_table_insert (admission->callers, caller->vm, caller);
  return caller;
}

/* Adds to the calls of CALLER and updates the totals and the number of active
   callers.  */
static void
add_calls (struct cp_admission *admission, struct cp_caller *caller,
           int in_flight, int waiting)
{
  bool was_active = caller->in_flight + caller->waiting > 0;
  bool is_active;

  caller->in_flight += (unsigned)in_flight;
  caller->waiting += (unsigned)waiting;
  is_active = caller->in_flight + caller->waiting > 0;
  admission->active_callers += (unsigned)is_active - (unsigned)was_active;
  admission->in_flight += (unsigned)in_flight;
  admission->waiting += (unsigned)waiting;
  if (in_flight != 0)
    cp_in_flight_window_add (&admission->in_flight_window,
                             cp_clock_now_us (admission->clock),
                             admission->in_flight);
}

/* Returns whether CALLER has fewer calls in flight than its fair share.  */
static bool
is_below_fair_share (const struct cp_admission *admission,
                     const struct cp_caller *caller)
{
  return caller->in_flight * admission->active_callers
         < cp_limit_value (&admission->limit);
}

static bool
is_overloaded (const struct cp_admission *admission, uint64_t now_us)
{
  return admission->waiting > 0
         && now_us - admission->queue_empty_us > CP_ADMISSION_INTERVAL_US;
}

/* Mean time between the ends of two calls when the limit is used up.  */
static uint64_t
departure_interval_us (const struct cp_admission *admission)
{
  unsigned limit = cp_limit_value (&admission->limit);

  return limit == 0 ? 0 : admission->limit.median_us / limit;
}

/* Shortest time that a call takes at the target, for the check of deadlines; 0
   when no call ended there within ESTIMATE_MAX_AGE_US.  Otherwise an old
   estimate would refuse every call and, as none ended, would never be
   corrected.  */
static uint64_t
min_service_us (const struct cp_admission *admission, uint64_t now_us)
{
  if (now_us - admission->last_end_us > ESTIMATE_MAX_AGE_US)
    return 0;
  return admission->limit.fastest_us;
}

/* RFC 8289, section 4.4: the target delay must allow at least one unit to be
   transmitted; here it allows two calls.  */
static uint64_t
queue_delay_target_us (const struct cp_admission *admission)
{
  uint64_t least_us = 2 * departure_interval_us (admission);

  return least_us > CP_ADMISSION_TARGET_US ? least_us : CP_ADMISSION_TARGET_US;
}

/* Returns the longest time that a call may wait.  */
static uint64_t
max_wait_us (const struct cp_admission *admission, enum cp_priority priority,
             const struct cp_caller *caller, uint64_t now_us)
{
  if (!is_overloaded (admission, now_us))
    return CP_ADMISSION_INTERVAL_US;
  if (priority == CP_PRIORITY_LOW)
    return 0;
  if (is_below_fair_share (admission, caller))
    return CP_ADMISSION_INTERVAL_US;
  if (priority == CP_PRIORITY_HIGH)
    return 2 * queue_delay_target_us (admission);
  return queue_delay_target_us (admission);
}

/* Returns whether A is admitted before B.  */
static bool
has_precedence (const struct cp_admission *admission,
                const struct cp_ticket *a, const struct cp_ticket *b)
{
  bool a_below = is_below_fair_share (admission, a->caller);
  bool b_below = is_below_fair_share (admission, b->caller);

  if (a_below != b_below)
    return a_below;
  if (a->priority != b->priority)
    return a->priority > b->priority;
  if (a->caller->in_flight != b->caller->in_flight)
    return a->caller->in_flight < b->caller->in_flight;
  return a->arrived_us < b->arrived_us;
}

/* Returns whether A is shed before B: the lower class, then the VM with the
   most calls in flight and waiting, then the newer call.  */
static bool
shed_before (const struct cp_ticket *a, const struct cp_ticket *b)
{
  unsigned a_holds = a->caller->in_flight + a->caller->waiting;
  unsigned b_holds = b->caller->in_flight + b->caller->waiting;

  if (a->priority != b->priority)
    return a->priority < b->priority;
  if (a_holds != b_holds)
    return a_holds > b_holds;
  return a->arrived_us > b->arrived_us;
}

static void
set_result (struct cp_admission *admission, struct cp_ticket *ticket,
            enum cp_admission_result result)
{
  bool waited = ticket->waiting;

  ticket->waiting = false;
  ticket->result = result;
  admission->results[result]++;
  if (waited)
    cds_list_del (&ticket->node);
  add_calls (admission, ticket->caller, result == CP_ADMITTED, -(int)waited);
  if (admission->waiting == 0)
    admission->queue_empty_us = cp_clock_now_us (admission->clock);
  if (ticket->decided != NULL)
    pthread_cond_signal (ticket->decided);
}

/* Refuses the calls that have waited for too long.  */
static void
shed_expired (struct cp_admission *admission, uint64_t now_us)
{
  struct cp_ticket *ticket, *next;

  cds_list_for_each_entry_safe (ticket, next, &admission->queue, node)
  {
    uint64_t waited_us = now_us - ticket->arrived_us;

    if (now_us >= ticket->deadline_us)
      set_result (admission, ticket, CP_ADMISSION_DEADLINE);
    else if (waited_us > max_wait_us (admission, ticket->priority,
                                      ticket->caller, now_us))
      set_result (admission, ticket, CP_ADMISSION_FULL);
  }
}

static struct cp_ticket *
find_next (const struct cp_admission *admission)
{
  struct cp_ticket *best = NULL;
  struct cp_ticket *ticket;

  cds_list_for_each_entry (ticket, &admission->queue, node)
  {
    if (best == NULL || has_precedence (admission, ticket, best))
      best = ticket;
  }
  return best;
}

static void
admit_waiting (struct cp_admission *admission, uint64_t now_us)
{
  shed_expired (admission, now_us);
  while (admission->in_flight < cp_limit_value (&admission->limit))
    {
      struct cp_ticket *ticket = find_next (admission);

      if (ticket == NULL)
        return;
      set_result (admission, ticket, CP_ADMITTED);
    }
}

void
cp_admission_set_slots (struct cp_admission *admission, unsigned slots)
{
  CP_LOCK_SCOPE (&admission->lock);
  admission->slots = slots;
  cp_limit_set_max (&admission->limit, slots);
  admit_waiting (admission, cp_clock_now_us (admission->clock));
}

/* Makes room for TICKET in a full queue by shedding a waiting call that ranks
   below it.  Returns false when there is none.  */
static bool
make_room (struct cp_admission *admission, const struct cp_ticket *ticket)
{
  struct cp_ticket *worst = NULL;
  struct cp_ticket *other;

  if (admission->waiting < QUEUE_PER_SLOT * admission->slots)
    return true;
  cds_list_for_each_entry (other, &admission->queue, node)
  {
    if (worst == NULL || shed_before (other, worst))
      worst = other;
  }
  if (worst == NULL || !shed_before (worst, ticket))
    return false;
  set_result (admission, worst, CP_ADMISSION_FULL);
  return true;
}

/* Returns the number of waiting calls that are admitted before TICKET.  */
static unsigned
count_ahead (const struct cp_admission *admission,
             const struct cp_ticket *ticket)
{
  unsigned ahead = 0;
  struct cp_ticket *other;

  cds_list_for_each_entry (other, &admission->queue, node)
  {
    if (!has_precedence (admission, ticket, other))
      ahead++;
  }
  return ahead;
}

/* Queues TICKET, or refuses it when it would not be admitted in time.  */
static void
enqueue (struct cp_admission *admission, struct cp_ticket *ticket,
         uint64_t now_us)
{
  uint64_t wait_us = (count_ahead (admission, ticket) + 1)
                     * departure_interval_us (admission);
  uint64_t done_us = now_us + wait_us + min_service_us (admission, now_us);

  if (done_us >= ticket->deadline_us)
    set_result (admission, ticket, CP_ADMISSION_DEADLINE);
  else if (wait_us > max_wait_us (admission, ticket->priority, ticket->caller,
                                  now_us)
           || !make_room (admission, ticket))
    set_result (admission, ticket, CP_ADMISSION_FULL);
  else
    {
      if (admission->waiting == 0)
        admission->queue_empty_us = now_us;
      ticket->waiting = true;
      cds_list_add_tail (&ticket->node, &admission->queue);
      add_calls (admission, ticket->caller, 0, 1);
    }
}

static void
request_slot (struct cp_admission *admission, struct cp_ticket *ticket,
              enum cp_priority priority, const char *caller_vm,
              uint64_t deadline_us)
{
  uint64_t now_us = cp_clock_now_us (admission->clock);

  ticket->caller = get_caller (admission, caller_vm);
  ticket->priority = priority;
  ticket->arrived_us = now_us;
  ticket->deadline_us = deadline_us;
  ticket->waiting = false;
  admission->arrivals++;
  admit_waiting (admission, now_us);
  if (now_us + min_service_us (admission, now_us) >= deadline_us)
    set_result (admission, ticket, CP_ADMISSION_DEADLINE);
  else if (admission->waiting == 0
           && admission->in_flight < cp_limit_value (&admission->limit))
    set_result (admission, ticket, CP_ADMITTED);
  else
    enqueue (admission, ticket, now_us);
}

void
cp_admission_request (struct cp_admission *admission, struct cp_ticket *ticket,
                      enum cp_priority priority, const char *caller_vm,
                      uint64_t deadline_us)
{
  CP_LOCK_SCOPE (&admission->lock);
  request_slot (admission, ticket, priority, caller_vm, deadline_us);
}

void
cp_admission_withdraw (struct cp_admission *admission,
                       struct cp_ticket *ticket,
                       enum cp_admission_result result)
{
  CP_LOCK_SCOPE (&admission->lock);
  if (ticket->waiting)
    set_result (admission, ticket, result);
}

static uint64_t
wait_until (const struct cp_admission *admission,
            const struct cp_ticket *ticket, uint64_t now_us)
{
  uint64_t until_us
      = ticket->arrived_us
        + max_wait_us (admission, ticket->priority, ticket->caller, now_us);

  return until_us < ticket->deadline_us ? until_us : ticket->deadline_us;
}

uint64_t
cp_admission_wait_until (struct cp_admission *admission,
                         const struct cp_ticket *ticket)
{
  CP_LOCK_SCOPE (&admission->lock);
  return wait_until (admission, ticket, cp_clock_now_us (admission->clock));
}

/* Waits on DECIDED for TIME_US at most; the lock is held.  */
static void
wait_for (struct cp_admission *admission, pthread_cond_t *decided,
          uint64_t time_us)
{
  struct timespec until;
  uint64_t ns;

  clock_gettime (CLOCK_MONOTONIC, &until);
  ns = (uint64_t)until.tv_nsec + time_us * CP_NS_PER_US;
  until.tv_sec += (time_t)(ns / (CP_US_PER_S * CP_NS_PER_US));
  until.tv_nsec = (long)(ns % (CP_US_PER_S * CP_NS_PER_US));
  pthread_cond_timedwait (decided, &admission->lock, &until);
}

/* Waits until TICKET has a result; the lock is held.  */
static void
wait_for_result (struct cp_admission *admission, struct cp_ticket *ticket,
                 const struct cp_caller_presence *presence)
{
  while (ticket->waiting)
    {
      uint64_t now_us = cp_clock_now_us (admission->clock);
      uint64_t until_us = wait_until (admission, ticket, now_us);
      uint64_t time_us = until_us > now_us ? until_us - now_us : 0;

      if (time_us == 0)
        {
          set_result (admission, ticket,
                      now_us >= ticket->deadline_us ? CP_ADMISSION_DEADLINE
                                                    : CP_ADMISSION_FULL);
          return;
        }
      /* One more microsecond: the limit is exceeded only after its last
         instant.  */
      time_us = MIN (time_us + 1, PRESENCE_POLL_US);
      wait_for (admission, ticket->decided, time_us);
      if (ticket->waiting && presence != NULL
          && presence->gone (presence->context))
        set_result (admission, ticket, CP_ADMISSION_CALLER_GONE);
    }
}

enum cp_admission_result
cp_admission_enter (struct cp_admission *admission, enum cp_priority priority,
                    const char *caller_vm, uint64_t deadline_us,
                    const struct cp_caller_presence *presence)
{
  pthread_condattr_t attributes;
  pthread_cond_t decided;
  struct cp_ticket ticket = { .decided = NULL };

  CP_LOCK_SCOPE (&admission->lock);
  request_slot (admission, &ticket, priority, caller_vm, deadline_us);
  if (!ticket.waiting)
    return ticket.result;
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&decided, &attributes);
  ticket.decided = &decided;
  wait_for_result (admission, &ticket, presence);
  pthread_cond_destroy (&decided);
  pthread_condattr_destroy (&attributes);
  return ticket.result;
}

void
cp_admission_leave (struct cp_admission *admission, const char *caller_vm,
                    uint64_t latency_us, bool failed)
{
  uint64_t now_us;

  CP_LOCK_SCOPE (&admission->lock);
  /* Read under the lock, so that no ticket has a later arrival time.  */
  now_us = cp_clock_now_us (admission->clock);
  if (latency_us > 0)
    {
      admission->ended++;
      admission->last_end_us = now_us;
      admission->failed += failed;
      admission->error_share
          += ((double)failed - admission->error_share) / ERROR_SHARE_CALLS;
    }
  if (latency_us > 0 && !failed)
    {
      cp_limit_add_sample (&admission->limit, latency_us,
                           admission->in_flight);
      cp_recent_histogram_add (&admission->latency, now_us, latency_us);
    }
  add_calls (admission, get_caller (admission, caller_vm), -1, 0);
  admit_waiting (admission, now_us);
}

void
cp_admission_report (struct cp_admission *admission,
                     struct cp_load_report *report)
{
  CP_LOCK_SCOPE (&admission->lock);
  report->in_flight = admission->in_flight;
  report->queued = admission->waiting;
  report->limit = cp_limit_value (&admission->limit);
  report->latency_us
      = cp_recent_histogram_quantile (&admission->latency, MEDIAN);
  report->errors_permille = (uint32_t)(admission->error_share * PERMILLE);
}

void
cp_admission_get_stats (struct cp_admission *admission,
                        struct cp_inbound_stats *own)
{
  CP_LOCK_SCOPE (&admission->lock);
  own->in_flight = admission->in_flight;
  own->limit = cp_limit_value (&admission->limit);
  own->arrivals = admission->arrivals;
  own->ended = admission->ended;
  own->failed = admission->failed;
  cp_in_flight_window_get (&admission->in_flight_window,
                           cp_clock_now_us (admission->clock),
                           &own->min_in_flight, &own->max_in_flight);
}

json_t *
cp_admission_dump (struct cp_admission *admission)
{
  uint64_t now_us;
  json_t *results = json_object ();

  CP_LOCK_SCOPE (&admission->lock);
  now_us = cp_clock_now_us (admission->clock);
  for (unsigned i = 0; i < CP_ADMISSION_RESULT_COUNT; i++)
    json_object_set_new (results, cp_admission_result_names[i],
                         json_integer ((json_int_t)admission->results[i]));
  return json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:b, s:I, s:I, s:o}", "slots",
      (json_int_t)admission->slots, "limit",
      (json_int_t)cp_limit_value (&admission->limit), "in_flight",
      (json_int_t)admission->in_flight, "waiting",
      (json_int_t)admission->waiting, "calling_vms",
      (json_int_t)admission->active_callers, "overloaded",
      (int)is_overloaded (admission, now_us), "latency_median_us",
      (json_int_t)admission->limit.median_us, "latency_past_us",
      (json_int_t)admission->limit.baseline_us, "results", results);
}

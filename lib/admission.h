/* Admission of calls at the inbound side of one target.

   Calls in flight are bounded by the slots that the document gives the target
   and, below that, by a limit that adapts to the target's latency
   (lib/limit.h).  Further calls wait in a queue.  Waiting time is bounded as
   in CoDel: a call may wait for one interval, but once the queue has not been
   empty for an interval, only for a short target delay.  A standing queue is
   thus shed early while a burst is not.  The length of the queue is bounded
   too, in proportion to the slots.  Sources: K. Nichols and V. Jacobson,
   Controlling Queue Delay, ACM Queue 10(5), 2012 (RFC 8289); B. Maurer, Fail
   at Scale, ACM Queue 13(8), 2015, for its use on calls.

   Order: calls of the lowest priority class are shed first.  Of the waiting
   calls, those of a calling VM below its max-min fair share of the limit are
   admitted first, then those of the higher class, then those of the VM with
   the fewest calls in flight, then the oldest.  Source for max-min fairness:
   D. Bertsekas and R. Gallager, Data Networks, section 6.5.2, 1992.

   A call whose deadline cannot be met is refused at once.  Every refusal
   precedes the start of the call, so it proves that nothing was run.

   cp_admission_request, cp_admission_leave and cp_admission_withdraw do not
   block; cp_admission_enter blocks until there is a result.  All functions
   lock the admission.  */
#ifndef CP_ADMISSION_H
#define CP_ADMISSION_H

#include <glib.h>
#include <pthread.h>
#include <urcu/list.h>

#include "lib/clock.h"
#include "lib/document.h"
#include "lib/limit.h"
#include "lib/load_report.h"
#include "lib/measuring.h"
#include "lib/recent_histogram.h"

#define CP_ADMISSION_INTERVAL_US (100 * CP_US_PER_MS)
#define CP_ADMISSION_TARGET_US (5 * CP_US_PER_MS)

enum cp_admission_result
{
  CP_ADMITTED,
  CP_ADMISSION_FULL,     /* the queue is full, or the wait would be too long */
  CP_ADMISSION_DEADLINE, /* the deadline cannot be met */
  CP_ADMISSION_CALLER_GONE, /* the caller disconnected while the call waited */
  CP_ADMISSION_RESULT_COUNT
};

extern const char *const cp_admission_result_names[CP_ADMISSION_RESULT_COUNT];

/* Calls of one calling VM at this target.  */
struct cp_caller
{
  char vm[CP_NAME_BYTES];
  unsigned in_flight;
  unsigned waiting;
};

/* A call that requests a slot; allocated by whoever requests it.  */
struct cp_ticket
{
  struct cds_list_head node;
  struct cp_caller *caller;
  enum cp_priority priority;
  uint64_t arrived_us;
  uint64_t deadline_us;
  bool waiting;
  enum cp_admission_result result; /* valid when WAITING is false */
  pthread_cond_t *decided; /* signalled when there is a result, or NULL */
};

struct cp_admission
{
  pthread_mutex_t lock;
  const struct cp_clock *clock;
  struct cp_limit limit;
  unsigned slots;
  unsigned in_flight;
  struct cds_list_head queue;
  unsigned waiting;
  uint64_t queue_empty_us; /* last time when the queue was empty */
  GHashTable *callers;
  unsigned active_callers; /* VMs with calls in flight or waiting */
  struct cp_recent_histogram latency;
  struct cp_in_flight_window in_flight_window;
  uint64_t last_end_us; /* when the last call ended at the target */
  double error_share;   /* moving average of the failed share of calls */
  uint64_t arrivals;
  uint64_t ended;
  uint64_t failed;
  uint64_t results[CP_ADMISSION_RESULT_COUNT];
};

/* Reports, while a call waits, whether its caller has disconnected.  */
struct cp_caller_presence
{
  bool (*gone) (void *context);
  void *context;
};

void cp_admission_init (struct cp_admission *admission,
                        const struct cp_clock *clock, unsigned slots);
void cp_admission_finish (struct cp_admission *admission);
void cp_admission_set_slots (struct cp_admission *admission, unsigned slots);

/* Requests a slot for a call of CALLER_VM.  Afterwards TICKET either waits or
   has a result.  The DECIDED field of TICKET is set beforehand.  */
void cp_admission_request (struct cp_admission *admission,
                           struct cp_ticket *ticket, enum cp_priority priority,
                           const char *caller_vm, uint64_t deadline_us);

/* Removes TICKET from the queue, with RESULT, if it still waits.  */
void cp_admission_withdraw (struct cp_admission *admission,
                            struct cp_ticket *ticket,
                            enum cp_admission_result result);

/* Returns the time until which TICKET may wait under present conditions.  */
uint64_t cp_admission_wait_until (struct cp_admission *admission,
                                  const struct cp_ticket *ticket);

/* Requests a slot and waits for the result.  PRESENCE may be NULL.  After
   CP_ADMITTED, cp_admission_leave must be called when the call has ended.  */
enum cp_admission_result
cp_admission_enter (struct cp_admission *admission, enum cp_priority priority,
                    const char *caller_vm, uint64_t deadline_us,
                    const struct cp_caller_presence *presence);

/* Releases the slot.  LATENCY_US is the time that the call took at the target,
   0 when it did not reach the target; FAILED tells whether it failed there.
   */
void cp_admission_leave (struct cp_admission *admission, const char *caller_vm,
                         uint64_t latency_us, bool failed);

/* Fills in the load and latency fields of REPORT.  */
void cp_admission_report (struct cp_admission *admission,
                          struct cp_load_report *report);

/* Fills in what this inbound side observes of its target.  */
void cp_admission_get_stats (struct cp_admission *admission,
                             struct cp_inbound_stats *own);

json_t *cp_admission_dump (struct cp_admission *admission);

#endif

/* Admission of forwarded calls at the inbound side of one target.

   Calls in flight are bounded by the document's slots, and under them by a
   limit that adapts to the target's latency (lib/limit.h).  What does not fit
   waits in a queue that is bounded by waiting time, not by length: a call may
   wait for one interval, but while the queue has not been empty for that long
   only for a short target time, so that a standing queue is shed early and a
   burst is not.  Sources: K. Nichols and V. Jacobson, Controlling Queue Delay,
   ACM Queue 10(5), 2012 (RFC 8289); B. Maurer, Fail at Scale, ACM Queue 13(8),
   2015, for its use on calls.

   Order: calls of the lowest priority class are shed first.  Of the waiting
   ones, those of a calling VM that is below its max-min fair share of the
   limit go first, then the higher class, then the VM with fewest calls in
   flight, then the oldest.  Source for max-min fairness: D. Bertsekas and R.
   Gallager, Data Networks, section 6.5.2, 1992.

   A call whose deadline can not be met is refused at once.  Every refusal
   comes before the call has been started, so that it proves that nothing was
   run.

   cp_admission_request, cp_admission_leave and cp_admission_withdraw decide
   and never wait; cp_admission_enter waits on top of them.  All functions lock
   the admission.  */
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
  CP_ADMISSION_FULL,        /* no room, or it would wait for too long */
  CP_ADMISSION_DEADLINE,    /* the deadline can not be met */
  CP_ADMISSION_CALLER_GONE, /* the caller left while it waited */
  CP_ADMISSION_RESULT_COUNT
};

extern const char *const cp_admission_result_names[CP_ADMISSION_RESULT_COUNT];

/* What one calling VM has at this target.  */
struct cp_caller
{
  char vm[CP_NAME_BYTES];
  unsigned in_flight;
  unsigned waiting;
};

/* A call that asks for a slot; memory of the asker.  */
struct cp_ticket
{
  struct cds_list_head node;
  struct cp_caller *caller;
  enum cp_priority priority;
  uint64_t arrived_us;
  uint64_t deadline_us;
  bool waiting;
  enum cp_admission_result result; /* once it does not wait any more */
  pthread_cond_t *decided;         /* signalled then; NULL for none */
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
  uint64_t queue_empty_us; /* when the queue was empty last */
  GHashTable *callers;
  unsigned active_callers; /* with calls in flight or waiting */
  struct cp_recent_histogram latency;
  struct cp_extent extent;
  uint64_t last_end_us; /* when a call ended at the target last */
  double error_share;   /* moving mean over calls */
  uint64_t arrivals;
  uint64_t ended;
  uint64_t failed;
  uint64_t results[CP_ADMISSION_RESULT_COUNT];
};

/* Tells while a call waits whether its caller has left.  */
struct cp_caller_presence
{
  bool (*gone) (void *context);
  void *context;
};

void cp_admission_init (struct cp_admission *admission,
                        const struct cp_clock *clock, unsigned slots);
void cp_admission_finish (struct cp_admission *admission);
void cp_admission_set_slots (struct cp_admission *admission, unsigned slots);

/* Asks for a slot for a call of CALLER_VM.  Afterwards TICKET either waits or
   has a result.  TICKET's DECIDED is set by the caller before.  */
void cp_admission_request (struct cp_admission *admission,
                           struct cp_ticket *ticket, enum cp_priority priority,
                           const char *caller_vm, uint64_t deadline_us);

/* Takes a ticket that still waits out of the queue, with RESULT.  */
void cp_admission_withdraw (struct cp_admission *admission,
                            struct cp_ticket *ticket,
                            enum cp_admission_result result);

/* Returns until when TICKET may wait by what is known now.  */
uint64_t cp_admission_wait_until (struct cp_admission *admission,
                                  const struct cp_ticket *ticket);

/* Asks for a slot and waits for the result.  PRESENCE may be NULL.  On
   CP_ADMITTED the caller must end with cp_admission_leave.  */
enum cp_admission_result
cp_admission_enter (struct cp_admission *admission, enum cp_priority priority,
                    const char *caller_vm, uint64_t deadline_us,
                    const struct cp_caller_presence *presence);

/* Gives the slot back.  LATENCY_US is the time at the target, 0 when the call
   did not get there; FAILED tells an error there.  */
void cp_admission_leave (struct cp_admission *admission, const char *caller_vm,
                         uint64_t latency_us, bool failed);

/* Fills in the load of REPORT.  */
void cp_admission_report (struct cp_admission *admission,
                          struct cp_load_report *report);

/* Fills in what this side sees of its target.  */
void cp_admission_view (struct cp_admission *admission,
                        struct cp_own_view *own);

json_t *cp_admission_dump (struct cp_admission *admission);

#endif

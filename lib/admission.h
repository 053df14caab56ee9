/* Admission of forwarded calls at the inbound side of one target: a hard limit
   of calls in flight.  */
#ifndef CP_ADMISSION_H
#define CP_ADMISSION_H

#include <pthread.h>

#include "lib/clock.h"
#include "lib/document.h"
#include "lib/report.h"

struct cp_admission
{
  pthread_mutex_t lock;
  const struct cp_clock *clock;
  unsigned slots;
  unsigned in_flight;
};

enum cp_admission_result
{
  CP_ADMITTED,
  CP_ADMISSION_FULL,
  CP_ADMISSION_DEADLINE
};

void cp_admission_init (struct cp_admission *admission,
                        const struct cp_clock *clock, unsigned slots);
void cp_admission_finish (struct cp_admission *admission);
void cp_admission_set_slots (struct cp_admission *admission, unsigned slots);

/* Asks for a slot for a call of CALLER_VM; may wait in the queue until
   DEADLINE_US.  On CP_ADMITTED the caller must end with
   cp_admission_leave.  */
enum cp_admission_result cp_admission_enter (struct cp_admission *admission,
                                             enum cp_priority priority,
                                             const char *caller_vm,
                                             uint64_t deadline_us);

/* LATENCY_US is the time at the target; FAILED tells an error there.  */
void cp_admission_leave (struct cp_admission *admission, const char *caller_vm,
                         uint64_t latency_us, bool failed);

/* Fills in the load of REPORT.  */
void cp_admission_report (struct cp_admission *admission,
                          struct cp_report *report);

json_t *cp_admission_dump (struct cp_admission *admission);

#endif

#include "lib/admission.h"
#include "lib/cleanup.h"

void
cp_admission_init (struct cp_admission *admission,
                   const struct cp_clock *clock, unsigned slots)
{
  pthread_mutex_init (&admission->lock, NULL);
  admission->clock = clock;
  admission->slots = slots;
  admission->in_flight = 0;
}

void
cp_admission_finish (struct cp_admission *admission)
{
  pthread_mutex_destroy (&admission->lock);
}

void
cp_admission_set_slots (struct cp_admission *admission, unsigned slots)
{
  CP_LOCK_SCOPE (&admission->lock);
  admission->slots = slots;
}

enum cp_admission_result
cp_admission_enter (struct cp_admission *admission, enum cp_priority priority,
                    const char *caller_vm, uint64_t deadline_us)
{
  (void)priority;
  (void)caller_vm;
  CP_LOCK_SCOPE (&admission->lock);
  if (cp_clock_now_us (admission->clock) >= deadline_us)
    return CP_ADMISSION_DEADLINE;
  if (admission->in_flight >= admission->slots)
    return CP_ADMISSION_FULL;
  admission->in_flight++;
  return CP_ADMITTED;
}

void
cp_admission_leave (struct cp_admission *admission, const char *caller_vm,
                    uint64_t latency_us, bool failed)
{
  (void)caller_vm;
  (void)latency_us;
  (void)failed;
  CP_LOCK_SCOPE (&admission->lock);
  admission->in_flight--;
}

void
cp_admission_report (struct cp_admission *admission, struct cp_report *report)
{
  CP_LOCK_SCOPE (&admission->lock);
  report->in_flight = admission->in_flight;
  report->limit = admission->slots;
}

json_t *
cp_admission_dump (struct cp_admission *admission)
{
  CP_LOCK_SCOPE (&admission->lock);
  return json_pack ("{s:I, s:I}", "slots", (json_int_t)admission->slots,
                    "in_flight", (json_int_t)admission->in_flight);
}

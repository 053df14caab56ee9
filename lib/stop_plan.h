/* The times of a planned stop, from the signal to the end of the process, and
   which work is still let in.

   Work that is let in ends before the process does: a request gets no more
   time than is left, so that its server answers it at that time at the latest,
   and one that usually takes longer is refused, which tells its caller that it
   has not run.  All times are in microseconds.  */
#ifndef CP_STOP_PLAN_H
#define CP_STOP_PLAN_H

#include <stdbool.h>
#include <stdint.h>

struct cp_stop_plan
{
  uint64_t announce_us;     /* the peers are told, and send no more requests */
  uint64_t close_us;        /* no connection is accepted, and each gets its
                               last answer */
  uint64_t work_until_us;   /* servers end their work */
  uint64_t answer_until_us; /* the last answers are written */
  uint64_t end_us;          /* everything that is left is closed */
};

/* Plans a stop that was asked for at NOW_US and ends the process by force
   GRACE_US later.  */
void cp_stop_plan_init (struct cp_stop_plan *plan, uint64_t now_us,
                        uint64_t grace_us);

/* Returns whether a request is let in at NOW_US that has time until
   DEADLINE_US and usually takes at most USUAL_US.  */
bool cp_stop_plan_admits (const struct cp_stop_plan *plan, uint64_t now_us,
                          uint64_t deadline_us, uint64_t usual_us);

#endif

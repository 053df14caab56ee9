/* The time that a refused caller is told to wait.

   The caller waits at most a third of the time that it has left, so a longer
   wait than that is never told.  The value is drawn uniformly between the
   expected time until there is room and that third, so that the refused
   callers do not form a second wave.  The more urgent priorities are told the
   earlier part of the range.

   Performs no I/O.  */
#ifndef CP_RETRY_AFTER_H
#define CP_RETRY_AFTER_H

#include "lib/clock.h"

struct cp_refused_request
{
  uint64_t left_us; /* until the caller gives up */
  uint64_t room_us; /* expected time until there is room; 0 if not known */
  uint64_t work_us; /* time that a run needs */
  unsigned priority;
};

/* Returns the time to wait, at least 1 ms.  */
uint64_t cp_retry_after_us (const struct cp_refused_request *request,
                            const struct cp_random *random);

#endif

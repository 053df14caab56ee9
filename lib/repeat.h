/* The budget of repeats that all daemons share, as one daemon sees it.

   In any window, a service may get RATIO repeats a request plus a slack, where
   the requests are those of that window, of the one before it or of the one
   half a window before it, whichever has most.  The ratio holds for each
   daemon on its own requests; the slack is divided by the number of daemons
   that are alive.  Repeats are counted over a whole window, requests over the
   last half: whatever window a repeat falls into, one of the three holds that
   half, so that no window is overdrawn however the load moves.  The window is
   kept in CP_REPEAT_BUCKETS steps.  Pure; not thread-safe.  */
#ifndef CP_REPEAT_H
#define CP_REPEAT_H

#include <stdbool.h>
#include <stdint.h>

#define CP_REPEAT_BUCKETS 50

struct cp_repeat_bucket
{
  uint64_t number; /* of the step since time 0 */
  uint32_t requests;
  uint32_t repeats;
};

struct cp_repeat_budget
{
  uint64_t bucket_us;
  struct cp_repeat_bucket buckets[CP_REPEAT_BUCKETS];
};

void cp_repeat_budget_init (struct cp_repeat_budget *budget,
                            uint64_t window_us);

/* Counts a request, at its first attempt.  */
void cp_repeat_budget_count_request (struct cp_repeat_budget *budget,
                                     uint64_t now_us);

/* Takes one repeat if the budget has room.  SLACK is this daemon's part.  */
bool cp_repeat_budget_take (struct cp_repeat_budget *budget, uint64_t now_us,
                            double ratio, double slack);

#endif

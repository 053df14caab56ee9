/* Budget of repeated attempts that all daemons share, as seen by one daemon.

   In any window, a service may get RATIO repeats per request plus a slack.
   The requests counted are those of that window, of the window before it or of
   the one that starts half a window earlier, whichever has the most.  The
   ratio applies to each daemon's own requests; the slack is divided by the
   number of daemons alive.  A repeat is checked against the repeats of the
   last whole window and the requests of the last half window.  That half lies
   within one of the three windows, whichever window the repeat belongs to, so
   no window exceeds its budget however the load changes.  The counts are kept
   in CP_REPEAT_BUCKETS time buckets.

   The current time is passed in.  Not thread-safe.  */
#ifndef CP_REPEAT_BUDGET_H
#define CP_REPEAT_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define CP_REPEAT_BUCKETS 50

struct cp_repeat_bucket
{
  uint64_t number; /* index of the bucket since time 0 */
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

/* Counts a request at its first attempt.  */
void cp_repeat_budget_count_request (struct cp_repeat_budget *budget,
                                     uint64_t now_us);

/* Counts one repeat if the budget allows it, else returns false.  SLACK is
   this daemon's part of the slack.  */
bool cp_repeat_budget_take (struct cp_repeat_budget *budget, uint64_t now_us,
                            double ratio, double slack);

#endif

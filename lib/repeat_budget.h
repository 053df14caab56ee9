/* Budget of repeats that all daemons share, as kept by one daemon.

   A repeat is an arrival at a server beyond the first of its request, and any
   arrival of a call that a repeated run makes.  In any window, a service may
   get RATIO repeats per request plus a slack, where the requests are those of
   that window, of the one that starts half a window earlier or of the one
   before it, whichever has the most.

   The sum over all daemons must hold although none knows the counts of the
   others, and although load moves between them.  Each daemon therefore keeps
   the bound in a form that adds up: in no window does it take more repeats
   than RATIO times the mean of its own requests of that window and of the one
   that starts half a window earlier, plus its part of the slack.  Were each
   daemon free to use its best window, the sum could exceed the bound: load
   that moves from one daemon to another would be used twice.

   The mean is used since with the window itself, repeats of earlier requests
   would wait for later ones, and with the earlier one, a load that has just
   begun could not repeat anything for half a window.

   The slack is divided by the highest number of daemons seen within a window.
   A daemon that has just started, or that stood still, uses no slack for a
   window: what it or its predecessor used is not known, and others may have
   divided the slack without it.  Others must see a daemon, or its absence,
   within CP_REPEAT_SETTLE_US.

   The counts are kept in buckets.  A repeat may arrive up to one bucket after
   it was taken.

   Times are passed in and must not decrease.  Not thread-safe.  */
#ifndef CP_REPEAT_BUDGET_H
#define CP_REPEAT_BUDGET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clock.h"

/* Buckets of a window, and those that are kept: a window, one bucket for late
   arrivals, one that is only partly inside, and the half window before.  */
#define CP_REPEAT_WINDOW_BUCKETS 50
#define CP_REPEAT_BUCKETS 75

/* Time within which a daemon sees that others have started or ended.  The
   store's changes reach all daemons within some tens of milliseconds.  */
#define CP_REPEAT_SETTLE_US UINT64_C (1000000)

struct cp_repeat_bucket
{
  uint64_t number; /* index of the bucket since time 0 */
  uint32_t requests;
  uint32_t repeats;
  uint32_t daemons; /* highest number seen; used in one list only */
};

struct cp_repeat_budgets
{
  double ratio;
  double slack; /* for all daemons together */
  uint64_t bucket_us;
  GHashTable *by_service; /* name to struct cp_repeat_budget */
  struct cp_repeat_bucket seen[CP_REPEAT_BUCKETS];
  uint64_t seen_bucket_us; /* their length, in which all cover the pause of the
                              slack */
  uint64_t seen_us;        /* when the daemons were last counted */
  uint64_t slack_from_us;  /* when the slack may be used */
};

/* A daemon starts at NOW_US.  Its settings follow.  */
void cp_repeat_budgets_init (struct cp_repeat_budgets *budgets,
                             uint64_t now_us);
void cp_repeat_budgets_finish (struct cp_repeat_budgets *budgets);

/* Sets the bounds.  Another window discards all counts, and the slack is not
   used for the first such window.  */
void cp_repeat_budgets_configure (struct cp_repeat_budgets *budgets,
                                  double ratio, double slack,
                                  uint64_t window_us, uint64_t now_us);

/* Records that N_DAEMONS, this one included, are known.  Called several times
   within CP_REPEAT_SETTLE_US; after a longer pause the slack is not used
   for a window.  */
void cp_repeat_budgets_see_daemons (struct cp_repeat_budgets *budgets,
                                    unsigned n_daemons, uint64_t now_us);

/* Returns this daemon's part of the slack, 0 while it must not use it.  */
double cp_repeat_budgets_slack (const struct cp_repeat_budgets *budgets,
                                uint64_t now_us);

/* Counts a request for SERVICE.  Calls that a repeated run makes are not
   counted.  */
void cp_repeat_budgets_count_request (struct cp_repeat_budgets *budgets,
                                      const char *service, uint64_t now_us);

/* Takes one repeat if the budget of SERVICE allows it, else returns false.  */
bool cp_repeat_budgets_take (struct cp_repeat_budgets *budgets,
                             const char *service, uint64_t now_us);

/* Gives back a repeat that was taken at TAKEN_US and has not arrived.  */
void cp_repeat_budgets_give_back (struct cp_repeat_budgets *budgets,
                                  const char *service, uint64_t taken_us);

/* Reserves REPEATS of the budget of SERVICE for the calls of a run.  Returns
   false if they do not fit beside those reserved.  What is reserved cannot be
   taken until it is released.  */
bool cp_repeat_budgets_reserve (struct cp_repeat_budgets *budgets,
                                const char *service, double repeats,
                                uint64_t now_us);
void cp_repeat_budgets_release (struct cp_repeat_budgets *budgets,
                                const char *service, double repeats);

/* Records whether a server of SERVICE rejected an attempt that reached it.  */
void cp_repeat_budgets_record_attempt (struct cp_repeat_budgets *budgets,
                                       const char *service, bool rejected);

/* Returns whether a retry is worth sending.  While the servers reject more
   than half of the recent attempts, it is sent with the probability of twice
   the accepted share.  */
bool cp_repeat_budgets_allow_retry (struct cp_repeat_budgets *budgets,
                                    const char *service,
                                    const struct cp_random *random);

#endif

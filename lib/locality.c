#include <glib.h>
#include <math.h>

#include "lib/locality.h"

/* Shares of late answers assumed before any was seen.  */
#define LATE_NORMAL_DEFAULT 0.05
#define LATE_SLOW_DEFAULT 0.5

/* Weight of one answer in the moving averages, and how many answers the
   assumed shares count for: the first answers weigh more.  */
#define LATE_WEIGHT 0.05
#define LATE_DEFAULT_ANSWERS 3

/* Expected time, as a share of the time that is left, from which requests
   leave, and from which all of them do.  */
#define TIME_FROM 0.6
#define TIME_ALL 1.0

/* Largest ratio of the times in another domain and in the own one for which
   requests leave.  Reports from other domains are older.  */
#define OTHER_TIME_RATIO 0.85

/* Utilization from which requests leave, and from which all of them do.
   Reports lag behind: of the servers that seem to have one slot left, some
   have none.  */
#define UTILIZATION_FROM 0.8
#define UTILIZATION_ALL 1.05

/* Utilization up to which another domain has room for what leaves.  */
#define UTILIZATION_ROOM 0.75

/* Share of answers that a slow machine makes late, beyond those that are late
   anyway, from which requests leave it, and from which all of them do.  */
#define LATE_FROM 0.05
#define LATE_ALL 0.3

/* Largest share that leaves a slow machine.  */
#define LEAVING_SLOW_MAX 0.95

void
cp_lateness_init (struct cp_lateness *lateness)
{
  *lateness = (struct cp_lateness){ .normal = LATE_NORMAL_DEFAULT,
                                    .slow = LATE_SLOW_DEFAULT };
}

void
cp_lateness_add (struct cp_lateness *lateness, bool was_slow, bool late)
{
  double *share = was_slow ? &lateness->slow : &lateness->normal;
  unsigned *seen = was_slow ? &lateness->n_slow : &lateness->n_normal;
  double weight = 1.0 / (++*seen + LATE_DEFAULT_ANSWERS);

  *share += MAX (weight, LATE_WEIGHT) * ((late ? 1.0 : 0.0) - *share);
}

/* Returns how far VALUE has come from FROM to ALL, within 0 and 1.  */
static double
ramp (double value, double from, double all)
{
  return CLAMP ((value - from) / (all - from), 0.0, 1.0);
}

double
cp_locality_leaving_share (const struct cp_prospect *own,
                           const struct cp_prospect *other,
                           const struct cp_lateness *lateness)
{
  double for_time = 0;
  double for_room = 0;
  double for_slowness = 0;

  if (isinf (own->time) || isinf (other->time))
    return isinf (other->time) ? 0 : 1;
  if (other->time < own->time * OTHER_TIME_RATIO)
    for_time = ramp (own->time, TIME_FROM, TIME_ALL);
  if (other->utilization <= UTILIZATION_ROOM && !other->slow)
    for_room = ramp (own->utilization, UTILIZATION_FROM, UTILIZATION_ALL);
  if (own->slow && !other->slow)
    for_slowness
        = LEAVING_SLOW_MAX
          * ramp (lateness->slow - lateness->normal, LATE_FROM, LATE_ALL);
  return 1 - (1 - for_time) * (1 - for_room) * (1 - for_slowness);
}

/* Mean service times of the kinds of requests at one server.

   A kind is what requests of the same route have in common where routes are
   not known: the priority and the objective.  The means are moving averages of
   times that have been corrected for the slowness of the server.  A mean to
   which nothing was added for a second is not used.  Otherwise an estimate
   that is too high would refuse every request that could correct it.

   Performs no I/O; not thread-safe.  */
#ifndef CP_SERVICE_TIMES_H
#define CP_SERVICE_TIMES_H

#include <stdint.h>

/* The busiest servers seen run six kinds.  */
#define CP_SERVICE_TIMES_KINDS 16

struct cp_service_time
{
  unsigned priority;
  uint64_t objective_us;
  double mean_us;
  uint64_t updated_us; /* 0: not used */
};

struct cp_service_times
{
  struct cp_service_time kinds[CP_SERVICE_TIMES_KINDS];
};

void cp_service_times_init (struct cp_service_times *times);

/* Adds a service time of TOOK_US.  The kind that was updated least recently
   gives way to a new one.  */
void cp_service_times_add (struct cp_service_times *times, unsigned priority,
                           uint64_t objective_us, double took_us,
                           uint64_t now_us);

/* Returns the mean of a kind in microseconds, or 0 if it is not known.  */
uint64_t cp_service_times_get (const struct cp_service_times *times,
                               unsigned priority, uint64_t objective_us,
                               uint64_t now_us);

#endif

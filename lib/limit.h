/* An adaptive limit of calls in flight at one target, from its latency.

   The latency of the last calls is compared with that of a longer past.  Their
   ratio, the gradient, shrinks the limit when calls have become slower, since
   more of them in flight would only wait at the target; the square root of the
   limit is added as room for a small queue, so that the limit grows again when
   latency is steady.  Medians are compared, so that a few long uploads among
   short reads do not count.  A lasting change of latency becomes the new past
   within some tens of windows.

   Source: the Gradient2 limit of Netflix concurrency-limits (2018), after the
   delay-based window of L. Brakmo and L. Peterson, TCP Vegas: End to End
   Congestion Avoidance on a Global Internet, IEEE JSAC 13(8), 1995.

   Pure; not thread-safe.  */
#ifndef CP_LIMIT_H
#define CP_LIMIT_H

#include <stdint.h>

#define CP_LIMIT_WINDOW 32 /* calls */

struct cp_limit
{
  unsigned max;   /* the hard limit */
  double current; /* between the least and MAX */
  uint64_t window[CP_LIMIT_WINDOW];
  unsigned count;
  unsigned peak;       /* most in flight during the window */
  double baseline_us;  /* moving mean of the windows' medians; 0 for none */
  uint64_t median_us;  /* of the last whole window; 0 for none */
  uint64_t fastest_us; /* since the last whole window began; 0 for none */
};

void cp_limit_init (struct cp_limit *limit, unsigned max);
void cp_limit_set_max (struct cp_limit *limit, unsigned max);

/* Takes the latency of a call that ended while IN_FLIGHT were in flight.  */
void cp_limit_add_sample (struct cp_limit *limit, uint64_t latency_us,
                          unsigned in_flight);

/* Returns the limit in force, at least 1 unless MAX is 0.  */
unsigned cp_limit_value (const struct cp_limit *limit);

#endif

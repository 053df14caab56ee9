/* An adaptive limit of calls in flight at one target, computed from its
   latency.

   The median latency of the last window of calls is compared with a long-term
   baseline.  The ratio of baseline to median, the gradient, lowers the limit
   when calls have become slower, since more calls in flight would only queue
   at the target.  The square root of the limit is added as room for a small
   queue, so the limit grows again when the latency is steady.  Medians are
   used so that a few long uploads among short reads have no effect.  A lasting
   change of latency becomes the new baseline within some tens of windows.

   Source: the Gradient2 limit of Netflix concurrency-limits (2018), after the
   delay-based window of L. Brakmo and L. Peterson, TCP Vegas: End to End
   Congestion Avoidance on a Global Internet, IEEE JSAC 13(8), 1995.

   Reads no clock; not thread-safe.  */
#ifndef CP_LIMIT_H
#define CP_LIMIT_H

#include <stdint.h>

#define CP_LIMIT_WINDOW 32 /* calls */

struct cp_limit
{
  unsigned max;                     /* upper bound of the limit */
  double current;                   /* adaptive limit, not rounded */
  uint64_t window[CP_LIMIT_WINDOW]; /* latencies of the current window */
  unsigned count;                   /* number of latencies in WINDOW */
  unsigned peak;       /* most calls in flight during the window */
  double baseline_us;  /* moving mean of the windows' medians; 0: none */
  uint64_t median_us;  /* median of the last complete window; 0: none */
  uint64_t fastest_us; /* lowest latency since that window began; 0: none */
};

void cp_limit_init (struct cp_limit *limit, unsigned max);
void cp_limit_set_max (struct cp_limit *limit, unsigned max);

/* Adds the latency of a call that ended while IN_FLIGHT calls were in
   flight.  */
void cp_limit_add_sample (struct cp_limit *limit, uint64_t latency_us,
                          unsigned in_flight);

/* Returns the current limit, at least 1 unless MAX is 0.  */
unsigned cp_limit_value (const struct cp_limit *limit);

#endif

/* Clocks and random number generators as parameters, so that tests and replay
   can control them.  */
#ifndef CP_CLOCK_H
#define CP_CLOCK_H

#include <glib.h>
#include <pthread.h>
#include <stdint.h>

#define CP_US_PER_MS UINT64_C (1000)
#define CP_US_PER_S UINT64_C (1000000)
#define CP_NS_PER_US UINT64_C (1000)

/* A monotonic clock.  NOW_US returns microseconds since an arbitrary start,
   including time in which the machine was suspended.  */
struct cp_clock
{
  uint64_t (*now_us) (void *context);
  void *context;
};

/* A random number generator.  NEXT returns 64 uniform random bits.  */
struct cp_random
{
  uint64_t (*next) (void *context);
  void *context;
};

/* The machine's clock, CLOCK_BOOTTIME.  */
extern const struct cp_clock cp_clock_boot;

static inline uint64_t
cp_clock_now_us (const struct cp_clock *clock)
{
  return clock->now_us (clock->context);
}

/* A clock that advances only when TIME_US is set.  */
struct cp_virtual_clock
{
  struct cp_clock clock;
  uint64_t time_us;
};

void cp_virtual_clock_init (struct cp_virtual_clock *clock, uint64_t start_us);

/* A seeded generator (GLib's GRand, a Mersenne Twister).  Not thread-safe.  */
struct cp_seeded_random
{
  struct cp_random random;
  GRand *generator;
};

void cp_seeded_random_init (struct cp_seeded_random *random, uint64_t seed);
void cp_seeded_random_finish (struct cp_seeded_random *random);

/* Returns the generator of the calling thread, seeded by the kernel and freed
   when the thread ends.  */
const struct cp_random *cp_random_thread (void);

/* Returns a uniform number below LIMIT, which must not be 0.  */
static inline uint64_t
cp_random_below (const struct cp_random *random, uint64_t limit)
{
  return random->next (random->context) % limit;
}

/* Returns a uniform number in [0, 1).  */
static inline double
cp_random_unit (const struct cp_random *random)
{
  return (double)(random->next (random->context) >> 11) * 0x1.0p-53;
}

#endif

#include "fakes/fakes.h"

/* Notes the load at NOW_US; the target's lock is held.  */
void
fake_lag_note (struct fake_lag *lag, uint64_t now_us, unsigned load)
{
  lag->samples[lag->added++ % FAKE_LAG_SAMPLES]
      = (struct fake_load){ now_us, load };
}

/* Returns the load as it was at TIME_US, or the oldest that is kept.  */
unsigned
fake_lag_at (const struct fake_lag *lag, uint64_t time_us)
{
  uint64_t kept
      = lag->added < FAKE_LAG_SAMPLES ? lag->added : FAKE_LAG_SAMPLES;
  unsigned load = 0;

  for (uint64_t i = 1; i <= kept; i++)
    {
      const struct fake_load *sample
          = &lag->samples[(lag->added - i) % FAKE_LAG_SAMPLES];

      load = sample->load;
      if (sample->time_us <= time_us)
        return load;
    }
  return kept < FAKE_LAG_SAMPLES ? 0 : load;
}

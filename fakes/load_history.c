#include "fakes/fakes.h"

/* Adds the load at NOW_US; the target's lock is held.  */
void
fake_load_history_add (struct fake_load_history *history, uint64_t now_us,
                       unsigned load)
{
  history->samples[history->added++ % FAKE_LOAD_SAMPLES]
      = (struct fake_load_sample){ now_us, load };
}

/* Returns the load at TIME_US.  Before the oldest sample it was 0, or, once
   samples have been overwritten, it is taken from the oldest one.  */
unsigned
fake_load_history_at (const struct fake_load_history *history,
                      uint64_t time_us)
{
  uint64_t kept = history->added < FAKE_LOAD_SAMPLES ? history->added
                                                     : FAKE_LOAD_SAMPLES;
  unsigned load = 0;

  for (uint64_t i = 1; i <= kept; i++)
    {
      const struct fake_load_sample *sample
          = &history->samples[(history->added - i) % FAKE_LOAD_SAMPLES];

      load = sample->load;
      if (sample->time_us <= time_us)
        return load;
    }
  return kept < FAKE_LOAD_SAMPLES ? 0 : load;
}

#include "lib/repeat.h"

/* Steps that lie within half a window; the window has CP_REPEAT_STEPS - 1.  */
#define HALF_STEPS ((CP_REPEAT_STEPS - 2) / 2)

void
cp_repeat_init (struct cp_repeat *repeat, uint64_t window_us)
{
  /* One step more than the window holds, since the oldest is only partly
     inside it.  */
  *repeat = (struct cp_repeat){ .step_us = window_us / (CP_REPEAT_STEPS - 1) };
}

static struct cp_repeat_step *
current (struct cp_repeat *repeat, uint64_t now_us)
{
  uint64_t number = now_us / repeat->step_us;
  struct cp_repeat_step *step = &repeat->steps[number % CP_REPEAT_STEPS];

  if (step->number != number)
    *step = (struct cp_repeat_step){ .number = number };
  return step;
}

void
cp_repeat_request (struct cp_repeat *repeat, uint64_t now_us)
{
  current (repeat, now_us)->requests++;
}

bool
cp_repeat_take (struct cp_repeat *repeat, uint64_t now_us, double ratio,
                double slack)
{
  struct cp_repeat_step *step = current (repeat, now_us);
  uint64_t oldest = step->number < CP_REPEAT_STEPS
                        ? 0
                        : step->number - CP_REPEAT_STEPS + 1;
  uint64_t half
      = step->number < HALF_STEPS ? 0 : step->number - HALF_STEPS + 1;
  uint64_t requests = 0;
  uint64_t repeats = 0;

  for (unsigned i = 0; i < CP_REPEAT_STEPS; i++)
    {
      if (repeat->steps[i].number >= oldest)
        repeats += repeat->steps[i].repeats;
      if (repeat->steps[i].number >= half)
        requests += repeat->steps[i].requests;
    }
  if ((double)(repeats + 1) > ratio * (double)requests + slack)
    return false;
  step->repeats++;
  return true;
}

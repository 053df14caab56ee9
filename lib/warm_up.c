#include <glib.h>

#include "lib/clock.h"
#include "lib/warm_up.h"

#define SLOT_US (CP_US_PER_S / (CP_WARM_UP_SLOTS - 1))

/* Bounds until the settings are read; those of the platform.  */
#define OVERSHOOT_DEFAULT 1.5
#define SLACK_DEFAULT 8.0

/* Remaining time that is reported of a server of which it is unknown.  */
#define UNKNOWN_LEFT_US UINT64_C (1000000)

void
cp_warm_up_init (struct cp_warm_up *warm_up)
{
  *warm_up = (struct cp_warm_up){ .configured = true,
                                  .overshoot = OVERSHOOT_DEFAULT,
                                  .slack = SLACK_DEFAULT };
  cp_rate_limit_init (&warm_up->bucket);
}

void
cp_warm_up_await_configuration (struct cp_warm_up *warm_up)
{
  warm_up->configured = false;
}

void
cp_warm_up_set_bounds (struct cp_warm_up *warm_up, double overshoot,
                       double slack)
{
  warm_up->overshoot = overshoot;
  warm_up->slack = slack;
}

/* Returns how many requests may start within a second.  */
static double
starts_max (const struct cp_warm_up *warm_up)
{
  double half = warm_up->slack / 2;
  double bound = warm_up->per_s * warm_up->overshoot + warm_up->slack;

  if (!warm_up->configured)
    return MAX (1.0, half);
  return MAX (1.0, MIN (warm_up->per_s + half, bound));
}

static bool
is_cold (const struct cp_warm_up *warm_up, uint64_t now_us)
{
  if (!warm_up->configured || warm_up->per_s <= 0)
    return false;
  return !warm_up->proved || now_us < warm_up->cold_until_us
         || (warm_up->assumed
             && now_us < warm_up->since_us + warm_up->duration_us);
}

bool
cp_warm_up_update (struct cp_warm_up *warm_up, uint64_t now_us)
{
  bool was_cold = warm_up->cold;

  warm_up->cold = is_cold (warm_up, now_us);
  if (!warm_up->cold)
    cp_rate_limit_lift (&warm_up->bucket);
  else if (!warm_up->bucket.active || warm_up->bucket.per_s != warm_up->per_s)
    cp_rate_limit_set (&warm_up->bucket, warm_up->per_s, now_us);
  return warm_up->cold != was_cold;
}

void
cp_warm_up_configure (struct cp_warm_up *warm_up, uint64_t duration_us,
                      double per_s, bool checked, uint64_t now_us)
{
  warm_up->configured = true;
  warm_up->duration_us = duration_us;
  warm_up->per_s = per_s;
  /* Without health checks, only the time can prove it warm.  */
  if (!checked && !warm_up->proved)
    {
      warm_up->proved = true;
      warm_up->assumed = true;
      warm_up->since_us = now_us;
    }
  cp_warm_up_update (warm_up, now_us);
}

void
cp_warm_up_begin (struct cp_warm_up *warm_up, uint64_t entry_until_us,
                  uint64_t now_us)
{
  warm_up->since_us = now_us;
  warm_up->answered = false;
  warm_up->assumed = entry_until_us != 0;
  warm_up->cold_until_us = 0;
  warm_up->entry_until_us = 0;
  cp_warm_up_read_entry (warm_up, entry_until_us, now_us);
}

void
cp_warm_up_read_entry (struct cp_warm_up *warm_up, uint64_t entry_until_us,
                       uint64_t now_us)
{
  if (entry_until_us != UINT64_MAX
      && entry_until_us != warm_up->entry_until_us)
    {
      warm_up->entry_until_us = entry_until_us;
      if (!warm_up->answered || entry_until_us > warm_up->cold_until_us)
        warm_up->cold_until_us = entry_until_us;
      if (!warm_up->answered && entry_until_us == 0)
        warm_up->assumed = false;
    }
  cp_warm_up_update (warm_up, now_us);
}

void
cp_warm_up_read_check (struct cp_warm_up *warm_up, uint64_t left_us,
                       uint64_t now_us)
{
  warm_up->cold_until_us = left_us == 0 ? 0 : now_us + left_us;
  cp_warm_up_read_bare_check (warm_up, now_us);
}

void
cp_warm_up_read_bare_check (struct cp_warm_up *warm_up, uint64_t now_us)
{
  warm_up->answered = true;
  warm_up->proved = true;
  warm_up->assumed = false;
  cp_warm_up_update (warm_up, now_us);
}

uint64_t
cp_warm_up_left_us (const struct cp_warm_up *warm_up, uint64_t now_us)
{
  uint64_t until_us = warm_up->cold_until_us;

  if (!warm_up->cold)
    return 0;
  if (warm_up->assumed)
    until_us = MAX (until_us, warm_up->since_us + warm_up->duration_us);
  if (!warm_up->proved)
    until_us = MAX (until_us, now_us + UNKNOWN_LEFT_US);
  return until_us - MIN (until_us, now_us);
}

/* Returns the slot that is AGE slots older than the last one.  */
static unsigned
starts_at (const struct cp_warm_up *warm_up, unsigned age)
{
  return warm_up->starts[(warm_up->slot - age) % CP_WARM_UP_SLOTS];
}

/* Returns how many slots the last one with a start is behind NOW_US.  */
static uint64_t
slots_behind (const struct cp_warm_up *warm_up, uint64_t now_us)
{
  return now_us / SLOT_US - MIN (warm_up->slot, now_us / SLOT_US);
}

unsigned
cp_warm_up_starts (const struct cp_warm_up *warm_up, uint64_t now_us)
{
  uint64_t behind = slots_behind (warm_up, now_us);
  unsigned sum = 0;

  for (unsigned age = 0; age + behind < CP_WARM_UP_SLOTS; age++)
    sum += starts_at (warm_up, age);
  return sum;
}

void
cp_warm_up_count (struct cp_warm_up *warm_up, uint64_t now_us)
{
  uint64_t behind = slots_behind (warm_up, now_us);

  for (uint64_t i = 0; i < MIN (behind, CP_WARM_UP_SLOTS); i++)
    warm_up->starts[(now_us / SLOT_US - i) % CP_WARM_UP_SLOTS] = 0;
  warm_up->slot += behind;
  warm_up->starts[warm_up->slot % CP_WARM_UP_SLOTS]++;
  cp_rate_limit_take (&warm_up->bucket, now_us);
}

/* Returns the time until COUNT requests may start by the starts of the last
   second.  */
static uint64_t
window_wait_us (const struct cp_warm_up *warm_up, unsigned count,
                uint64_t now_us)
{
  uint64_t behind = slots_behind (warm_up, now_us);
  unsigned sum = cp_warm_up_starts (warm_up, now_us);
  double max = starts_max (warm_up);

  if (sum + count <= max)
    return 0;
  for (unsigned age = CP_WARM_UP_SLOTS; age > 0; age--)
    {
      if (age - 1 + behind >= CP_WARM_UP_SLOTS)
        continue;
      sum -= starts_at (warm_up, age - 1);
      if (sum + count <= max)
        return (warm_up->slot - (age - 1) + CP_WARM_UP_SLOTS) * SLOT_US
               - now_us;
    }
  return CP_US_PER_S;
}

uint64_t
cp_warm_up_wait_us (const struct cp_warm_up *warm_up, unsigned count,
                    uint64_t now_us)
{
  if (!warm_up->cold && warm_up->configured)
    return 0;
  return MAX (window_wait_us (warm_up, count, now_us),
              cp_rate_limit_wait_us (&warm_up->bucket, count, now_us));
}

bool
cp_warm_up_allows (const struct cp_warm_up *warm_up, uint64_t now_us)
{
  if (!warm_up->cold && warm_up->configured)
    return true;
  /* Not the wait for a token, which is rounded down.  */
  return window_wait_us (warm_up, 1, now_us) == 0
         && cp_rate_limit_used_share (&warm_up->bucket, now_us) < 1;
}

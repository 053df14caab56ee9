#include "lib/send_pace.h"
#include "lib/clock.h"

bool
cp_send_pace_allows (const struct cp_send_pace *pace, uint64_t now_us)
{
  return pace->full_until_us <= now_us + CP_SEND_PACE_BACKLOG_US;
}

void
cp_send_pace_add (struct cp_send_pace *pace, size_t bytes, uint64_t now_us)
{
  if (pace->full_until_us < now_us)
    pace->full_until_us = now_us;
  pace->full_until_us += bytes * CP_US_PER_S / CP_SEND_PACE_BYTES_PER_S;
}

#include <stddef.h>

#include "lib/service_times.h"

/* Weight of one service time in the mean.  */
#define WEIGHT 0.1

#define AGE_MAX_US UINT64_C (1000000)

void
cp_service_times_init (struct cp_service_times *times)
{
  *times = (struct cp_service_times){ 0 };
}

static const struct cp_service_time *
find (const struct cp_service_times *times, unsigned priority,
      uint64_t objective_us)
{
  for (unsigned i = 0; i < CP_SERVICE_TIMES_KINDS; i++)
    {
      const struct cp_service_time *kind = &times->kinds[i];

      if (kind->updated_us != 0 && kind->priority == priority
          && kind->objective_us == objective_us)
        return kind;
    }
  return NULL;
}

static struct cp_service_time *
find_oldest (struct cp_service_times *times)
{
  struct cp_service_time *oldest = &times->kinds[0];

  for (unsigned i = 1; i < CP_SERVICE_TIMES_KINDS; i++)
    if (times->kinds[i].updated_us < oldest->updated_us)
      oldest = &times->kinds[i];
  return oldest;
}

void
cp_service_times_add (struct cp_service_times *times, unsigned priority,
                      uint64_t objective_us, double took_us, uint64_t now_us)
{
  struct cp_service_time *kind
      = (struct cp_service_time *)find (times, priority, objective_us);

  if (kind == NULL)
    {
      kind = find_oldest (times);
      *kind = (struct cp_service_time){ .priority = priority,
                                        .objective_us = objective_us,
                                        .mean_us = took_us };
    }
  kind->mean_us += WEIGHT * (took_us - kind->mean_us);
  kind->updated_us = now_us;
}

uint64_t
cp_service_times_get (const struct cp_service_times *times, unsigned priority,
                      uint64_t objective_us, uint64_t now_us)
{
  const struct cp_service_time *kind = find (times, priority, objective_us);

  if (kind == NULL || now_us - kind->updated_us > AGE_MAX_US)
    return 0;
  return (uint64_t)kind->mean_us;
}

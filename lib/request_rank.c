#include <glib.h>

#include "lib/request_rank.h"

unsigned
cp_request_rank_priority (unsigned priority, bool nested,
                          unsigned parent_priority)
{
  if (nested)
    priority = MIN (priority, parent_priority);
  return MIN (priority, CP_REQUEST_RANK_PRIORITIES - 1U);
}

/* Returns whether work of WORK_US from START_US on ends by END_US.  */
static bool
ends_by (uint64_t start_us, uint64_t work_us, uint64_t end_us)
{
  return end_us == 0 || (start_us <= end_us && work_us <= end_us - start_us);
}

bool
cp_request_rank_can_end (const struct cp_request_rank *rank, uint64_t start_us)
{
  return ends_by (start_us, rank->work_us, rank->deadline_us);
}

bool
cp_request_rank_meets_objective (const struct cp_request_rank *rank,
                                 uint64_t start_us)
{
  return ends_by (start_us, rank->work_us, rank->objective_us);
}

static int
compare_numbers (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

/* Returns the latest start that meets the objective, or the deadline if the
   objective is MISSED.  Without either, any start will do.  */
static uint64_t
latest_start (const struct cp_request_rank *rank, bool missed)
{
  uint64_t end_us = missed ? rank->deadline_us : rank->objective_us;

  if (end_us == 0)
    return UINT64_MAX;
  return end_us - MIN (end_us, rank->work_us);
}

int
cp_request_rank_compare (const struct cp_request_rank *a,
                         const struct cp_request_rank *b, uint64_t now_us)
{
  bool a_missed = !cp_request_rank_meets_objective (a, now_us);
  bool b_missed = !cp_request_rank_meets_objective (b, now_us);
  int order = compare_numbers (a->priority, b->priority);

  if (order == 0)
    order = a_missed - b_missed;
  if (order == 0)
    order = b->nested - a->nested;
  if (order == 0)
    order = a->repeat - b->repeat;
  if (order == 0)
    order = compare_numbers (latest_start (a, a_missed),
                             latest_start (b, b_missed));
  if (order == 0)
    order = compare_numbers (a->arrival, b->arrival);
  return order;
}

/* The budget of measuring one target: work on the target and bytes on the
   wire, as token buckets that refuse.

   A token that was spent comes back one window of 1 s after the spending
   ended, not at a steady rate, and a grant holds its tokens from its start.
   So what is granted in any window of 1 s, wherever it begins, is at most
   the budget, and all of the budget can be used: a bucket of burst B that
   refills at rate R keeps within the same limit only when B + R is the
   budget, and then the steady rate is R.

   Time is passed in.  Not thread-safe.  */
#ifndef CP_BUDGET_H
#define CP_BUDGET_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#define CP_BUDGET_WINDOW_US UINT64_C (1000000)
#define CP_BUDGET_ENTRIES 64

enum cp_budget_result
{
  CP_BUDGET_GRANTED,
  CP_BUDGET_NO_WORK,  /* refused: not enough time on the target is left */
  CP_BUDGET_NO_BYTES, /* refused: not enough bytes are left */
  CP_BUDGET_NO_ENTRY, /* refused: too many grants are open */
  CP_BUDGET_RESULT_COUNT
};

extern const char *const cp_budget_result_names[CP_BUDGET_RESULT_COUNT];

/* One spending: open from the grant to its settlement, and then kept for one
   window.  */
struct cp_budget_entry
{
  bool used;
  bool open;
  uint64_t ended_us;
  uint64_t work_us;
  uint64_t bytes;
};

struct cp_budget
{
  uint64_t work_us_limit; /* per window */
  uint64_t bytes_limit;   /* per window */
  struct cp_budget_entry entries[CP_BUDGET_ENTRIES];
  uint64_t work_us_spent; /* since the start */
  uint64_t bytes_spent;   /* since the start */
  uint64_t grants;
  uint64_t refusals[CP_BUDGET_RESULT_COUNT];
  uint64_t overdrafts; /* settlements that passed the limit: a defect */
};

void cp_budget_init (struct cp_budget *budget, uint64_t work_us_per_s,
                     uint64_t bytes_per_s);

/* Changes the limits.  What was granted before stays spent.  */
void cp_budget_set_limits (struct cp_budget *budget, uint64_t work_us_per_s,
                           uint64_t bytes_per_s);

/* The part of a budget of PER_S that each of SPENDERS may use alone, for a
   target that has no daemon beside it.  */
uint64_t cp_budget_share (uint64_t per_s, unsigned spenders);

/* Reserves WORK_US and BYTES.  On CP_BUDGET_GRANTED, *GRANT must be passed to
   cp_budget_settle; else the refusal is counted.  */
enum cp_budget_result cp_budget_reserve (struct cp_budget *budget,
                                         uint64_t now_us, uint64_t work_us,
                                         uint64_t bytes, unsigned *grant);

/* Ends GRANT with what was really spent and gives back the rest.  More than
   was reserved is charged; it counts as an overdraft when it passes the
   limit.  */
void cp_budget_settle (struct cp_budget *budget, unsigned grant,
                       uint64_t now_us, uint64_t work_us, uint64_t bytes);

/* Spends BYTES at once.  Returns false, and counts the refusal, when they are
   not left.  */
bool cp_budget_spend_bytes (struct cp_budget *budget, uint64_t now_us,
                            uint64_t bytes);

/* What can be granted now.  */
uint64_t cp_budget_work_left (struct cp_budget *budget, uint64_t now_us);
uint64_t cp_budget_bytes_left (struct cp_budget *budget, uint64_t now_us);

json_t *cp_budget_dump (struct cp_budget *budget, uint64_t now_us);

#endif

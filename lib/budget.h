/* Budget for probing one target: work on the target and bytes on the wire,
   each limited over a sliding window of 1 s.

   A grant reserves its tokens when it starts; they become available again one
   window after it was settled, rather than at a constant refill rate.  So the
   grants in any window of 1 s, wherever it begins, stay within the budget, and
   the whole budget can be used.  A token bucket of burst B and refill rate R
   stays within the same limit only when B + R is the budget, and then its
   sustained rate is only R.

   The caller passes the current time.  Not thread-safe.  */
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

/* One grant: open until it is settled, then charged for one more window.  */
struct cp_budget_entry
{
  bool used;
  bool open;
  uint64_t ended_us; /* when it was settled */
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
  uint64_t overdrafts; /* settlements that exceeded the limit: a defect */
};

void cp_budget_init (struct cp_budget *budget, uint64_t work_us_per_s,
                     uint64_t bytes_per_s);

/* Changes the limits.  Earlier grants stay charged.  */
void cp_budget_set_limits (struct cp_budget *budget, uint64_t work_us_per_s,
                           uint64_t bytes_per_s);

/* Returns the share of a budget of PER_S for each of SPENDERS VMs that probe
   the same target independently, because it has no daemon beside it.  */
uint64_t cp_budget_share (uint64_t per_s, unsigned spenders);

/* Reserves WORK_US and BYTES.  On CP_BUDGET_GRANTED, *GRANT must be passed to
   cp_budget_settle; otherwise the refusal is counted.  */
enum cp_budget_result cp_budget_reserve (struct cp_budget *budget,
                                         uint64_t now_us, uint64_t work_us,
                                         uint64_t bytes, unsigned *grant);

/* Closes GRANT with the actual cost and releases the rest of the reservation.
   A cost above the reservation is charged in full, and counts as an overdraft
   when it exceeds the limit.  */
void cp_budget_settle (struct cp_budget *budget, unsigned grant,
                       uint64_t now_us, uint64_t work_us, uint64_t bytes);

/* Reserves and settles BYTES in one step.  Returns false, and counts the
   refusal, when they exceed what is left.  */
bool cp_budget_spend_bytes (struct cp_budget *budget, uint64_t now_us,
                            uint64_t bytes);

/* Returns how much can be granted now.  */
uint64_t cp_budget_work_left (struct cp_budget *budget, uint64_t now_us);
uint64_t cp_budget_bytes_left (struct cp_budget *budget, uint64_t now_us);

json_t *cp_budget_dump (struct cp_budget *budget, uint64_t now_us);

#endif

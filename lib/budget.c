#include <string.h>

#include "lib/budget.h"

const char *const cp_budget_result_names[CP_BUDGET_RESULT_COUNT]
    = { [CP_BUDGET_GRANTED] = "granted",
        [CP_BUDGET_NO_WORK] = "no-work-left",
        [CP_BUDGET_NO_BYTES] = "no-bytes-left",
        [CP_BUDGET_NO_ENTRY] = "too-many-open" };

void
cp_budget_init (struct cp_budget *budget, uint64_t work_us_per_s,
                uint64_t bytes_per_s)
{
  memset (budget, 0, sizeof *budget);
  cp_budget_set_limits (budget, work_us_per_s, bytes_per_s);
}

void
cp_budget_set_limits (struct cp_budget *budget, uint64_t work_us_per_s,
                      uint64_t bytes_per_s)
{
  budget->work_us_limit = work_us_per_s;
  budget->bytes_limit = bytes_per_s;
}

uint64_t
cp_budget_share (uint64_t per_s, unsigned spenders)
{
  return spenders == 0 ? 0 : per_s / spenders;
}

/* Work and bytes charged in the current window.  */
struct usage
{
  uint64_t work_us;
  uint64_t bytes;
};

/* Frees the entries whose window has passed and returns the sum of the
   others.  */
static struct usage
current_usage (struct cp_budget *budget, uint64_t now_us)
{
  struct usage usage = { 0, 0 };

  for (unsigned i = 0; i < CP_BUDGET_ENTRIES; i++)
    {
      struct cp_budget_entry *entry = &budget->entries[i];

      if (!entry->used)
        continue;
      if (!entry->open && now_us >= entry->ended_us + CP_BUDGET_WINDOW_US)
        {
          entry->used = false;
          continue;
        }
      usage.work_us += entry->work_us;
      usage.bytes += entry->bytes;
    }
  return usage;
}

static uint64_t
remaining (uint64_t limit, uint64_t used)
{
  return used < limit ? limit - used : 0;
}

uint64_t
cp_budget_work_left (struct cp_budget *budget, uint64_t now_us)
{
  return remaining (budget->work_us_limit,
                    current_usage (budget, now_us).work_us);
}

uint64_t
cp_budget_bytes_left (struct cp_budget *budget, uint64_t now_us)
{
  return remaining (budget->bytes_limit, current_usage (budget, now_us).bytes);
}

static struct cp_budget_entry *
unused_entry (struct cp_budget *budget)
{
  for (unsigned i = 0; i < CP_BUDGET_ENTRIES; i++)
    if (!budget->entries[i].used)
      return &budget->entries[i];
  return NULL;
}

/* Frees an entry by merging the settled one that ended first into the settled
   one that ended next.  The merged charge stays longer than needed, never
   shorter.  Returns NULL when fewer than two entries are settled.  */
static struct cp_budget_entry *
merge_oldest (struct cp_budget *budget)
{
  struct cp_budget_entry *oldest = NULL;
  struct cp_budget_entry *next = NULL;

  for (unsigned i = 0; i < CP_BUDGET_ENTRIES; i++)
    {
      struct cp_budget_entry *entry = &budget->entries[i];

      if (entry->open)
        continue;
      if (oldest == NULL || entry->ended_us < oldest->ended_us)
        {
          next = oldest;
          oldest = entry;
        }
      else if (next == NULL || entry->ended_us < next->ended_us)
        next = entry;
    }
  if (next == NULL)
    return NULL;
  next->work_us += oldest->work_us;
  next->bytes += oldest->bytes;
  oldest->used = false;
  return oldest;
}

static enum cp_budget_result
check_limits (const struct cp_budget *budget, const struct usage *usage,
              uint64_t work_us, uint64_t bytes)
{
  if (work_us > remaining (budget->work_us_limit, usage->work_us))
    return CP_BUDGET_NO_WORK;
  if (bytes > remaining (budget->bytes_limit, usage->bytes))
    return CP_BUDGET_NO_BYTES;
  return CP_BUDGET_GRANTED;
}

enum cp_budget_result
cp_budget_reserve (struct cp_budget *budget, uint64_t now_us, uint64_t work_us,
                   uint64_t bytes, unsigned *grant)
{
  struct usage usage = current_usage (budget, now_us);
  enum cp_budget_result result = check_limits (budget, &usage, work_us, bytes);
  struct cp_budget_entry *entry = NULL;

  if (result == CP_BUDGET_GRANTED)
    {
      entry = unused_entry (budget);
      if (entry == NULL)
        entry = merge_oldest (budget);
      if (entry == NULL)
        result = CP_BUDGET_NO_ENTRY;
    }
  if (result != CP_BUDGET_GRANTED)
    {
      budget->refusals[result]++;
      return result;
    }
  budget->grants++;
  *entry = (struct cp_budget_entry){
    .used = true, .open = true, .work_us = work_us, .bytes = bytes
  };
  *grant = (unsigned)(entry - budget->entries);
  return CP_BUDGET_GRANTED;
}

void
cp_budget_settle (struct cp_budget *budget, unsigned grant, uint64_t now_us,
                  uint64_t work_us, uint64_t bytes)
{
  struct cp_budget_entry *entry = &budget->entries[grant];
  bool exceeds_reservation = work_us > entry->work_us || bytes > entry->bytes;
  struct usage usage;

  entry->open = false;
  entry->ended_us = now_us;
  entry->work_us = work_us;
  entry->bytes = bytes;
  budget->work_us_spent += work_us;
  budget->bytes_spent += bytes;
  if (!exceeds_reservation)
    return;
  usage = current_usage (budget, now_us);
  if (usage.work_us > budget->work_us_limit
      || usage.bytes > budget->bytes_limit)
    budget->overdrafts++;
}

bool
cp_budget_spend_bytes (struct cp_budget *budget, uint64_t now_us,
                       uint64_t bytes)
{
  unsigned grant;

  if (cp_budget_reserve (budget, now_us, 0, bytes, &grant)
      != CP_BUDGET_GRANTED)
    return false;
  cp_budget_settle (budget, grant, now_us, 0, bytes);
  return true;
}

json_t *
cp_budget_dump (struct cp_budget *budget, uint64_t now_us)
{
  struct usage usage = current_usage (budget, now_us);
  json_t *refusals = json_object ();

  for (unsigned i = CP_BUDGET_NO_WORK; i < CP_BUDGET_RESULT_COUNT; i++)
    json_object_set_new (refusals, cp_budget_result_names[i],
                         json_integer ((json_int_t)budget->refusals[i]));
  return json_pack (
      "{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o, s:I}", "work_us_per_s",
      (json_int_t)budget->work_us_limit, "bytes_per_s",
      (json_int_t)budget->bytes_limit, "work_us_in_window",
      (json_int_t)usage.work_us, "bytes_in_window", (json_int_t)usage.bytes,
      "work_us_spent", (json_int_t)budget->work_us_spent, "bytes_spent",
      (json_int_t)budget->bytes_spent, "grants", (json_int_t)budget->grants,
      "refusals", refusals, "overdrafts", (json_int_t)budget->overdrafts);
}

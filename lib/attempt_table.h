/* Table of the attempts at an inbound side.

   An attempt is entered before the target sees it, and its entry is kept for
   as long as a message about it may still be acted upon.  The state chart
   charts/attempt.json defines the transitions.  A fence for an attempt that
   has not started is recorded, so that the attempt is refused if it arrives
   later.

   Each attempt has a time, on the clock of this table, after which it may not
   start.  Its entry is kept at least until then.  Afterwards a new attempt
   with the same ID is refused because of its time, and a fence that finds no
   entry proves nothing.  Removing the entry is therefore safe.

   Memory: an entry takes CP_ATTEMPT_TABLE_ENTRY_BYTES, including its share of
   the hash table and of malloc.  A table for CP_ATTEMPT_TABLE_CALLS_PER_S
   attempts a second, each kept for CP_ATTEMPT_TABLE_KEEP_MAX_US, holds
   CP_ATTEMPT_TABLE_CAPACITY entries and takes 19 MB.  A full table accepts no
   new entry; the caller then refuses the attempt, which has not run.

   The entries are distributed over CP_ATTEMPT_TABLE_SHARDS hash tables with a
   mutex each.  Each shard has a timer wheel with one slot per second (G.
   Varghese and A. Lauck, Hashed and Hierarchical Timing Wheels, SOSP 1987),
   which frees entries one by one as they expire.  */
#ifndef CP_ATTEMPT_TABLE_H
#define CP_ATTEMPT_TABLE_H

#include <pthread.h>
#include <urcu/list.h>

#include "lib/chart.h"
#include "lib/clock.h"
#include "lib/id.h"

#define CP_ATTEMPT_TABLE_CALLS_PER_S 320
#define CP_ATTEMPT_TABLE_KEEP_MAX_US (600 * CP_US_PER_S)
#define CP_ATTEMPT_TABLE_CAPACITY                                             \
  (CP_ATTEMPT_TABLE_CALLS_PER_S                                               \
   * (unsigned)(CP_ATTEMPT_TABLE_KEEP_MAX_US / CP_US_PER_S))
#define CP_ATTEMPT_TABLE_ENTRY_BYTES 100
#define CP_ATTEMPT_TABLE_SHARDS 16
#define CP_ATTEMPT_TABLE_SLOTS 1024

enum cp_attempt_state
{
  CP_ATTEMPT_UNKNOWN,
  CP_ATTEMPT_QUEUED,
  CP_ATTEMPT_STARTED,
  CP_ATTEMPT_ANSWERED,
  CP_ATTEMPT_FAILED,
  CP_ATTEMPT_CANCELLED,
  CP_ATTEMPT_FENCED,
  CP_ATTEMPT_STATE_COUNT
};

enum cp_attempt_event
{
  CP_ATTEMPT_ARRIVE,
  CP_ATTEMPT_START,
  CP_ATTEMPT_ANSWER,
  CP_ATTEMPT_FAIL,
  CP_ATTEMPT_CANCEL,
  CP_ATTEMPT_REFUSE,
  CP_ATTEMPT_FENCE, /* cancel the attempt unless it has started */
  CP_ATTEMPT_QUERY, /* cancel it only if it has not arrived */
  CP_ATTEMPT_EVENT_COUNT
};

extern const struct cp_chart_names cp_attempt_names;

/* A hash table with its lock and timer wheel.  */
struct cp_attempt_table_shard
{
  pthread_mutex_t lock;
  GHashTable *entries;
  uint64_t wheel_s; /* the second that the wheel has been advanced to */
  struct cds_list_head wheel[CP_ATTEMPT_TABLE_SLOTS];
};

struct cp_attempt_table
{
  const struct cp_clock *clock;
  const struct cp_chart *chart;
  unsigned capacity;
  unsigned count;
  struct cp_attempt_table_shard *shards;
};

enum cp_attempt_table_result
{
  CP_ATTEMPT_TABLE_DONE,          /* the transition was made */
  CP_ATTEMPT_TABLE_NO_TRANSITION, /* the state has no such transition */
  CP_ATTEMPT_TABLE_FULL,          /* no room for a new attempt */
  CP_ATTEMPT_TABLE_LATE           /* no entry, and its start time has passed */
};

/* Allocates the shards; ends the process when there is no memory.  */
void cp_attempt_table_init (struct cp_attempt_table *table,
                            const struct cp_clock *clock,
                            const struct cp_chart *chart, unsigned capacity);
void cp_attempt_table_finish (struct cp_attempt_table *table);

/* Applies EVENT to the attempt ID, which may not start after START_BY_US.  An
   attempt without an entry is in the state CP_ATTEMPT_UNKNOWN; it is entered
   if START_BY_US has not passed.  CP_ATTEMPT_START is refused once START_BY_US
   has passed.  *STATE is set to the state after the call.  */
enum cp_attempt_table_result
cp_attempt_table_step (struct cp_attempt_table *table, const struct cp_id *id,
                       enum cp_attempt_event event, uint64_t start_by_us,
                       enum cp_attempt_state *state);

unsigned cp_attempt_table_count (struct cp_attempt_table *table);

#endif

#include <stdlib.h>
#include <string.h>

#include "lib/attempt_table.h"
#include "lib/cleanup.h"

static const char *const state_names[CP_ATTEMPT_STATE_COUNT]
    = { "unknown", "queued",    "started", "answered",
        "failed",  "cancelled", "fenced" };

static const char *const event_names[CP_ATTEMPT_EVENT_COUNT]
    = { "arrive", "start",  "answer", "fail",
        "cancel", "refuse", "fence",  "query" };

const struct cp_chart_names cp_attempt_names
    = { state_names, CP_ATTEMPT_STATE_COUNT, event_names,
        CP_ATTEMPT_EVENT_COUNT };

struct entry
{
  struct cp_id id;
  int state;
  uint64_t keep_until_us;
  struct cds_list_head timer;
};

/* IDs are random, so their first bytes serve as the hash.  */
static guint
hash_id (gconstpointer key)
{
  guint hash;

  memcpy (&hash, key, sizeof hash);
  return hash;
}

static gboolean
same_id (gconstpointer a, gconstpointer b)
{
  return cp_id_equal (a, b);
}

void
cp_attempt_table_init (struct cp_attempt_table *table,
                       const struct cp_clock *clock,
                       const struct cp_chart *chart, unsigned capacity)
{
  memset (table, 0, sizeof *table);
  table->clock = clock;
  table->chart = chart;
  table->capacity = capacity;
  table->shards = calloc (CP_ATTEMPT_TABLE_SHARDS, sizeof *table->shards);
  if (table->shards == NULL)
    abort ();
  for (unsigned i = 0; i < CP_ATTEMPT_TABLE_SHARDS; i++)
    {
      struct cp_attempt_table_shard *shard = &table->shards[i];

      pthread_mutex_init (&shard->lock, NULL);
      shard->entries = g_hash_table_new_full (hash_id, same_id, free, NULL);
      shard->wheel_s = cp_clock_now_us (clock) / CP_US_PER_S;
    }
}

void
cp_attempt_table_finish (struct cp_attempt_table *table)
{
  for (unsigned i = 0; i < CP_ATTEMPT_TABLE_SHARDS; i++)
    {
      g_hash_table_destroy (table->shards[i].entries);
      pthread_mutex_destroy (&table->shards[i].lock);
    }
  free (table->shards);
}

/* Returns the wheel slot of a second, initialized on first use.  */
static struct cds_list_head *
get_slot (struct cp_attempt_table_shard *shard, uint64_t second)
{
  struct cds_list_head *slot = &shard->wheel[second % CP_ATTEMPT_TABLE_SLOTS];

  if (slot->next == NULL)
    CDS_INIT_LIST_HEAD (slot);
  return slot;
}

/* Puts an entry into the slot of the second after its keep time ends, or into
   the last slot that the wheel covers.  */
static void
add_timer (struct cp_attempt_table_shard *shard, struct entry *entry)
{
  uint64_t second = entry->keep_until_us / CP_US_PER_S + 1;
  uint64_t last = shard->wheel_s + CP_ATTEMPT_TABLE_SLOTS - 1;

  if (second > last)
    second = last;
  if (second <= shard->wheel_s)
    second = shard->wheel_s + 1;
  cds_list_add (&entry->timer, get_slot (shard, second));
}

static bool
is_expired (const struct entry *entry, uint64_t now)
{
  return entry->keep_until_us <= now && entry->state != CP_ATTEMPT_QUEUED
         && entry->state != CP_ATTEMPT_STARTED;
}

/* Frees the expired entries of the current slot, reschedules the others.  */
static void
expire_slot (struct cp_attempt_table *table,
             struct cp_attempt_table_shard *shard, uint64_t now)
{
  struct cds_list_head *slot = get_slot (shard, shard->wheel_s);
  struct cds_list_head due;
  struct entry *entry, *next;

  CDS_INIT_LIST_HEAD (&due);
  cds_list_splice (slot, &due);
  CDS_INIT_LIST_HEAD (slot);
  cds_list_for_each_entry_safe (entry, next, &due, timer)
  {
    if (!is_expired (entry, now))
      {
        add_timer (shard, entry);
        continue;
      }
    g_hash_table_remove (shard->entries, &entry->id);
    __atomic_fetch_sub (&table->count, 1, __ATOMIC_RELAXED);
  }
}

/* Advances the wheel to the present second, by one revolution at most.  */
static void
advance_wheel (struct cp_attempt_table *table,
               struct cp_attempt_table_shard *shard, uint64_t now)
{
  uint64_t second = now / CP_US_PER_S;

  if (second > shard->wheel_s + CP_ATTEMPT_TABLE_SLOTS)
    shard->wheel_s = second - CP_ATTEMPT_TABLE_SLOTS;
  while (shard->wheel_s < second)
    {
      shard->wheel_s++;
      expire_slot (table, shard, now);
    }
}

static struct entry *
add_entry (struct cp_attempt_table *table,
           struct cp_attempt_table_shard *shard, const struct cp_id *id,
           uint64_t keep_until_us)
{
  struct entry *entry;

  if (__atomic_add_fetch (&table->count, 1, __ATOMIC_RELAXED)
      > table->capacity)
    {
      __atomic_fetch_sub (&table->count, 1, __ATOMIC_RELAXED);
      return NULL;
    }
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    abort ();
  entry->id = *id;
  entry->state = table->chart->initial;
  entry->keep_until_us = keep_until_us;
  g_hash_table_add (shard->entries, entry);
  add_timer (shard, entry);
  return entry;
}

/* Frees the expired entries of all shards, to make room in a full table.  */
static void
advance_all_wheels (struct cp_attempt_table *table, uint64_t now)
{
  for (unsigned i = 0; i < CP_ATTEMPT_TABLE_SHARDS; i++)
    {
      CP_LOCK_SCOPE (&table->shards[i].lock);
      advance_wheel (table, &table->shards[i], now);
    }
}

static enum cp_attempt_table_result
step (struct cp_attempt_table *table, struct cp_attempt_table_shard *shard,
      const struct cp_id *id, enum cp_attempt_event event,
      uint64_t start_by_us, enum cp_attempt_state *state)
{
  uint64_t now = cp_clock_now_us (table->clock);
  struct entry *entry;

  CP_LOCK_SCOPE (&shard->lock);
  advance_wheel (table, shard, now);
  entry = g_hash_table_lookup (shard->entries, id);
  *state = CP_ATTEMPT_UNKNOWN;
  if (entry == NULL && now >= start_by_us)
    return CP_ATTEMPT_TABLE_LATE;
  if (entry == NULL)
    entry = add_entry (table, shard, id, start_by_us);
  if (entry == NULL)
    return CP_ATTEMPT_TABLE_FULL;
  if (entry->keep_until_us < start_by_us)
    entry->keep_until_us = start_by_us;
  *state = (enum cp_attempt_state)entry->state;
  if (event == CP_ATTEMPT_START && now >= start_by_us)
    return CP_ATTEMPT_TABLE_NO_TRANSITION;
  if (!cp_chart_step (table->chart, &entry->state, (int)event))
    return CP_ATTEMPT_TABLE_NO_TRANSITION;
  *state = (enum cp_attempt_state)entry->state;
  return CP_ATTEMPT_TABLE_DONE;
}

enum cp_attempt_table_result
cp_attempt_table_step (struct cp_attempt_table *table, const struct cp_id *id,
                       enum cp_attempt_event event, uint64_t start_by_us,
                       enum cp_attempt_state *state)
{
  struct cp_attempt_table_shard *shard
      = &table->shards[id->bytes[CP_ID_BYTES - 1] % CP_ATTEMPT_TABLE_SHARDS];
  enum cp_attempt_table_result result
      = step (table, shard, id, event, start_by_us, state);

  if (result != CP_ATTEMPT_TABLE_FULL)
    return result;
  advance_all_wheels (table, cp_clock_now_us (table->clock));
  return step (table, shard, id, event, start_by_us, state);
}

unsigned
cp_attempt_table_count (struct cp_attempt_table *table)
{
  advance_all_wheels (table, cp_clock_now_us (table->clock));
  return __atomic_load_n (&table->count, __ATOMIC_RELAXED);
}

#include <stdlib.h>
#include <string.h>

#include "lib/cleanup.h"
#include "lib/register.h"

#define SWEEP_INTERVAL_US (CP_US_PER_S)

static const char *const state_names[CP_ATTEMPT_STATE_COUNT]
    = { "unknown", "queued",    "started", "answered",
        "failed",  "cancelled", "fenced" };

static const char *const event_names[CP_ATTEMPT_EVENT_COUNT]
    = { "arrive", "start", "answer", "fail", "cancel", "refuse", "fence" };

const struct cp_chart_names cp_attempt_names
    = { state_names, CP_ATTEMPT_STATE_COUNT, event_names,
        CP_ATTEMPT_EVENT_COUNT };

struct entry
{
  struct cp_id id;
  int state;
  uint64_t keep_until_us;
};

/* The identifiers are random, so that their first bytes serve as hash.  */
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
cp_register_init (struct cp_register *attempts, const struct cp_clock *clock,
                  const struct cp_chart *chart, unsigned capacity)
{
  memset (attempts, 0, sizeof *attempts);
  pthread_mutex_init (&attempts->lock, NULL);
  attempts->clock = clock;
  attempts->chart = chart;
  attempts->capacity = capacity;
  attempts->entries = g_hash_table_new_full (hash_id, same_id, NULL, free);
}

void
cp_register_finish (struct cp_register *attempts)
{
  g_hash_table_destroy (attempts->entries);
  pthread_mutex_destroy (&attempts->lock);
}

static gboolean
is_over (gpointer key, gpointer value, gpointer now)
{
  const struct entry *entry = value;

  (void)key;
  return entry->keep_until_us <= *(const uint64_t *)now
         && entry->state != CP_ATTEMPT_QUEUED
         && entry->state != CP_ATTEMPT_STARTED;
}

static void
sweep (struct cp_register *attempts)
{
  uint64_t now = cp_clock_now_us (attempts->clock);

  if (now < attempts->next_sweep_us)
    return;
  attempts->next_sweep_us = now + SWEEP_INTERVAL_US;
  g_hash_table_foreach_remove (attempts->entries, is_over, &now);
}

static struct entry *
add_entry (struct cp_register *attempts, const struct cp_id *id)
{
  struct entry *entry;

  if (g_hash_table_size (attempts->entries) >= attempts->capacity)
    return NULL;
  entry = calloc (1, sizeof *entry);
  if (entry == NULL)
    return NULL;
  entry->id = *id;
  entry->state = CP_ATTEMPT_UNKNOWN;
  g_hash_table_insert (attempts->entries, &entry->id, entry);
  return entry;
}

enum cp_register_result
cp_register_step (struct cp_register *attempts, const struct cp_id *id,
                  enum cp_attempt_event event, uint64_t keep_until_us,
                  enum cp_attempt_state *state)
{
  struct entry *entry;
  bool moved;

  CP_LOCK_SCOPE (&attempts->lock);
  sweep (attempts);
  entry = g_hash_table_lookup (attempts->entries, id);
  *state = CP_ATTEMPT_UNKNOWN;
  if (entry == NULL)
    entry = add_entry (attempts, id);
  if (entry == NULL)
    return CP_REGISTER_FULL;
  if (entry->keep_until_us < keep_until_us)
    entry->keep_until_us = keep_until_us;
  moved = cp_chart_step (attempts->chart, &entry->state, (int)event);
  *state = (enum cp_attempt_state)entry->state;
  return moved ? CP_REGISTER_DONE : CP_REGISTER_NO_STEP;
}

unsigned
cp_register_count (struct cp_register *attempts)
{
  CP_LOCK_SCOPE (&attempts->lock);
  return g_hash_table_size (attempts->entries);
}

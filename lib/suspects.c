#include <string.h>

#include "lib/clock.h"
#include "lib/suspects.h"

/* How long a record is kept after its last change.  A request that ends
   servers does so until the server's software is changed, so it may be tried
   again only seldom; one that is held back by mistake comes back by itself. */
#define KEEP_US (10 * 60 * CP_US_PER_S)

void
cp_suspects_init (struct cp_suspects *suspects)
{
  suspects->by_digest
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

void
cp_suspects_finish (struct cp_suspects *suspects)
{
  g_hash_table_unref (suspects->by_digest);
}

bool
cp_suspects_are_empty (const struct cp_suspects *suspects)
{
  return g_hash_table_size (suspects->by_digest) == 0;
}

static bool
is_expired (const struct cp_suspect *record, uint64_t now_us)
{
  return now_us - record->changed_us >= KEEP_US;
}

const struct cp_suspect *
cp_suspects_find (const struct cp_suspects *suspects, uint64_t digest,
                  uint64_t now_us)
{
  const struct cp_suspect *record
      = g_hash_table_lookup (suspects->by_digest, &digest);

  return record == NULL || is_expired (record, now_us) ? NULL : record;
}

bool
cp_suspects_contain (const struct cp_suspects *suspects, uint64_t digest,
                     uint64_t now_us)
{
  const struct cp_suspect *record
      = cp_suspects_find (suspects, digest, now_us);

  return record != NULL && record->n_ends > 0;
}

bool
cp_suspects_hold_back (const struct cp_suspects *suspects, uint64_t digest,
                       uint64_t now_us)
{
  const struct cp_suspect *record
      = cp_suspects_find (suspects, digest, now_us);

  return record != NULL && record->n_ends == CP_SUSPECT_ENDS && record->alone;
}

uint64_t
cp_suspects_held_back_us (const struct cp_suspects *suspects, uint64_t digest,
                          uint64_t now_us)
{
  if (!cp_suspects_hold_back (suspects, digest, now_us))
    return 0;
  return cp_suspects_find (suspects, digest, now_us)->changed_us + KEEP_US
         - now_us;
}

/* Forgets the record that matters least: the fewest ends, then the oldest.  */
static void
forget_one (struct cp_suspects *suspects)
{
  const struct cp_suspect *least = NULL;
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, suspects->by_digest);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cp_suspect *record = value;

      if (least == NULL || record->n_ends < least->n_ends
          || (record->n_ends == least->n_ends
              && record->changed_us < least->changed_us))
        least = record;
    }
  g_hash_table_remove (suspects->by_digest, &least->digest);
}

static struct cp_suspect *
get_or_add (struct cp_suspects *suspects, uint64_t digest, uint64_t changed_us,
            uint64_t now_us)
{
  struct cp_suspect *record
      = g_hash_table_lookup (suspects->by_digest, &digest);

  if (record != NULL && !is_expired (record, now_us))
    return record;
  if (record != NULL)
    g_hash_table_remove (suspects->by_digest, &digest);
  else if (g_hash_table_size (suspects->by_digest) >= CP_SUSPECTS_MAX)
    forget_one (suspects);
  record = g_new0 (struct cp_suspect, 1);
  record->digest = digest;
  record->changed_us = changed_us;
  g_hash_table_insert (suspects->by_digest, &record->digest, record);
  return record;
}

/* Adds END in its place.  Returns whether RECORD has changed: an end that is
   known, or one above a full list of lower ones, adds nothing.  All daemons
   keep the lowest, so that they agree.  */
static bool
add_end (struct cp_suspect *record, uint64_t end)
{
  unsigned at = 0;
  unsigned n_after;

  while (at < record->n_ends && record->ends[at] < end)
    at++;
  if (at == CP_SUSPECT_ENDS
      || (at < record->n_ends && record->ends[at] == end))
    return false;
  n_after = MIN (record->n_ends, CP_SUSPECT_ENDS - 1) - at;
  memmove (&record->ends[at + 1], &record->ends[at],
           n_after * sizeof record->ends[0]);
  record->ends[at] = end;
  record->n_ends = MIN (record->n_ends + 1, CP_SUSPECT_ENDS);
  return true;
}

static bool
blame_one (struct cp_suspects *suspects, uint64_t digest, uint64_t server_end,
           bool alone, uint64_t now_us)
{
  struct cp_suspect *record = get_or_add (suspects, digest, now_us, now_us);
  bool changed = add_end (record, server_end);

  changed = changed || (alone && !record->alone);
  record->alone = record->alone || alone;
  if (changed)
    record->changed_us = now_us;
  return changed;
}

static void
add_digest (GArray *digests, uint64_t digest)
{
  for (guint i = 0; i < digests->len; i++)
    if (g_array_index (digests, uint64_t, i) == digest)
      return;
  g_array_append_val (digests, digest);
}

/* Returns those of the N DIGESTS that the end of their server is put down to,
   each once.  */
static GArray *
select_blamed (const struct cp_suspects *suspects, const uint64_t *digests,
               unsigned n, uint64_t now_us)
{
  GArray *blamed = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (unsigned i = 0; i < n; i++)
    if (cp_suspects_contain (suspects, digests[i], now_us))
      add_digest (blamed, digests[i]);
  if (blamed->len > 0)
    return blamed;
  for (unsigned i = 0; i < n; i++)
    add_digest (blamed, digests[i]);
  return blamed;
}

GArray *
cp_suspects_blame (struct cp_suspects *suspects, const uint64_t *digests,
                   unsigned n, uint64_t server_end, uint64_t now_us)
{
  GArray *changed = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  g_autoptr (GArray) blamed = select_blamed (suspects, digests, n, now_us);

  for (guint i = 0; i < blamed->len; i++)
    {
      uint64_t digest = g_array_index (blamed, uint64_t, i);

      if (blame_one (suspects, digest, server_end, blamed->len == 1, now_us))
        g_array_append_val (changed, digest);
    }
  return changed;
}

bool
cp_suspects_clear (struct cp_suspects *suspects, uint64_t digest,
                   uint64_t now_us)
{
  struct cp_suspect *record;

  if (!cp_suspects_contain (suspects, digest, now_us))
    return false;
  record = g_hash_table_lookup (suspects->by_digest, &digest);
  record->epoch++;
  record->n_ends = 0;
  record->alone = false;
  record->changed_us = now_us;
  return true;
}

bool
cp_suspects_merge (struct cp_suspects *suspects,
                   const struct cp_suspect *other, uint64_t now_us)
{
  struct cp_suspect *record;
  bool changed = false;

  if (is_expired (other, now_us) || other->n_ends > CP_SUSPECT_ENDS)
    return false;
  record = get_or_add (suspects, other->digest, other->changed_us, now_us);
  if (other->epoch < record->epoch)
    return false;
  if (other->epoch > record->epoch)
    {
      record->epoch = other->epoch;
      record->n_ends = 0;
      record->alone = false;
      changed = true;
    }
  for (unsigned i = 0; i < other->n_ends; i++)
    changed = add_end (record, other->ends[i]) || changed;
  if (other->alone && !record->alone)
    {
      record->alone = true;
      changed = true;
    }
  if (changed)
    record->changed_us = MAX (record->changed_us, other->changed_us);
  return changed;
}

void
cp_suspects_expire (struct cp_suspects *suspects, uint64_t now_us)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, suspects->by_digest);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_expired (value, now_us))
      g_hash_table_iter_remove (&iter);
}

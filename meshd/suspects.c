#include <inttypes.h>

#include "lib/clock.h"
#include "meshd/log.h"
#include "meshd/suspects.h"

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

void
mesh_suspects_init (struct mesh_suspects *suspects, struct mesh_peers *peers)
{
  cp_suspects_init (&suspects->table);
  suspects->peers = peers;
}

void
mesh_suspects_finish (struct mesh_suspects *suspects)
{
  cp_suspects_finish (&suspects->table);
}

bool
mesh_suspects_contain (const struct mesh_suspects *suspects, uint64_t digest)
{
  return !cp_suspects_are_empty (&suspects->table)
         && cp_suspects_contain (&suspects->table, digest, now_us ());
}

bool
mesh_suspects_hold_back (const struct mesh_suspects *suspects, uint64_t digest)
{
  return !cp_suspects_are_empty (&suspects->table)
         && cp_suspects_hold_back (&suspects->table, digest, now_us ());
}

uint64_t
mesh_suspects_held_back_us (const struct mesh_suspects *suspects,
                            uint64_t digest)
{
  return cp_suspects_held_back_us (&suspects->table, digest, now_us ());
}

static void
log_record (const struct mesh_suspects *suspects, uint64_t digest,
            const char *source)
{
  const struct cp_suspect *record
      = cp_suspects_find (&suspects->table, digest, now_us ());

  if (record == NULL || !mesh_log_allowed (MESH_LOG_SUSPECT))
    return;
  mesh_log (MESH_LOG_SUSPECT,
            "\"digest\":\"%016" PRIx64 "\",\"ends\":%u,\"alone\":%s,"
            "\"held_back\":%s,\"source\":\"%s\"",
            digest, record->n_ends, record->alone ? "true" : "false",
            mesh_suspects_hold_back (suspects, digest) ? "true" : "false",
            source);
}

static void
fill_record (cp_peer_suspect *to, const struct cp_suspect *from, uint64_t now)
{
  *to = (cp_peer_suspect){
    .digest = from->digest,
    .epoch = from->epoch,
    .alone = from->alone,
    .age = (u_int)((now - from->changed_us) / CP_US_PER_MS),
  };
  to->ends.ends_len = from->n_ends;
  to->ends.ends_val = (u_quad_t *)from->ends;
}

/* Returns a message with the records of DIGESTS.  Its array belongs to the
   caller; what is in it belongs to the table.  */
static struct cp_peer_message
compose (const struct mesh_suspects *suspects, const GArray *digests)
{
  struct cp_peer_message message = { .kind = CP_PEER_SUSPECTS };
  cp_peer_suspects *list = &message.cp_peer_message_u.suspects;
  uint64_t now = now_us ();

  list->cp_peer_suspects_val = g_new0 (cp_peer_suspect, digests->len);
  for (guint i = 0; i < digests->len; i++)
    {
      const struct cp_suspect *record = cp_suspects_find (
          &suspects->table, g_array_index (digests, uint64_t, i), now);

      if (record != NULL)
        fill_record (&list->cp_peer_suspects_val[list->cp_peer_suspects_len++],
                     record, now);
    }
  return message;
}

/* A message on its way to all daemons but SOURCE, which is NULL for our
   own.  */
struct spread
{
  const struct cp_peer_message *message;
  const struct mesh_link *source;
};

static void
spread_to (void *context, struct mesh_link *link)
{
  const struct spread *spread = context;
  const struct mesh_link *source = spread->source;

  if (source == NULL
      || (link != source && !(source->same_domain && link->same_domain)))
    mesh_link_send (link, spread->message);
}

static void
spread_records (struct mesh_suspects *suspects, const GArray *digests,
                const struct mesh_link *source)
{
  struct cp_peer_message message;
  struct spread spread = { &message, source };

  if (digests->len == 0)
    return;
  for (guint i = 0; i < digests->len; i++)
    log_record (suspects, g_array_index (digests, uint64_t, i),
                source == NULL ? "own" : "peer");
  message = compose (suspects, digests);
  mesh_peers_for_each_link (suspects->peers, spread_to, &spread);
  g_free (message.cp_peer_message_u.suspects.cp_peer_suspects_val);
}

void
mesh_suspects_blame (struct mesh_suspects *suspects, const uint64_t *digests,
                     unsigned n, uint64_t server_end)
{
  g_autoptr (GArray) changed = NULL;

  cp_suspects_expire (&suspects->table, now_us ());
  changed = cp_suspects_blame (&suspects->table, digests, n, server_end,
                               now_us ());
  spread_records (suspects, changed, NULL);
}

void
mesh_suspects_clear (struct mesh_suspects *suspects, uint64_t digest)
{
  g_autoptr (GArray) changed = NULL;

  if (cp_suspects_are_empty (&suspects->table)
      || !cp_suspects_clear (&suspects->table, digest, now_us ()))
    return;
  changed = g_array_new (FALSE, FALSE, sizeof digest);
  g_array_append_val (changed, digest);
  spread_records (suspects, changed, NULL);
}

static struct cp_suspect
read_record (const cp_peer_suspect *from, uint64_t now)
{
  struct cp_suspect record = {
    .digest = from->digest,
    .epoch = from->epoch,
    .n_ends = MIN (from->ends.ends_len, (u_int)CP_SUSPECT_ENDS),
    .alone = from->alone,
    .changed_us = now - MIN (now, from->age * CP_US_PER_MS),
  };

  for (unsigned i = 0; i < record.n_ends; i++)
    record.ends[i] = from->ends.ends_val[i];
  return record;
}

void
mesh_suspects_receive (struct mesh_suspects *suspects, struct mesh_link *link,
                       const cp_peer_suspects *received)
{
  g_autoptr (GArray) changed = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  uint64_t now = now_us ();

  for (u_int i = 0; i < received->cp_peer_suspects_len; i++)
    {
      struct cp_suspect record
          = read_record (&received->cp_peer_suspects_val[i], now);

      if (cp_suspects_merge (&suspects->table, &record, now))
        g_array_append_val (changed, record.digest);
    }
  spread_records (suspects, changed, link);
}

void
mesh_suspects_introduce (struct mesh_suspects *suspects,
                         struct mesh_link *link)
{
  g_autoptr (GArray) digests = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  struct cp_peer_message message;
  GHashTableIter iter;
  void *value;

  cp_suspects_expire (&suspects->table, now_us ());
  g_hash_table_iter_init (&iter, suspects->table.by_digest);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    g_array_append_val (digests, ((struct cp_suspect *)value)->digest);
  if (digests->len == 0)
    return;
  message = compose (suspects, digests);
  mesh_link_send (link, &message);
  g_free (message.cp_peer_message_u.suspects.cp_peer_suspects_val);
}

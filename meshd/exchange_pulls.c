#include "lib/cleanup.h"
#include "meshd/exchange_internal.h"
#include "meshd/log.h"

/* Maximum number of items in one message.  */
#define ITEMS_MAX 1000

/* Length of the values of an answer from which it is logged, and waits until
   others have left.  */
#define LONG_BYTES 4096

/* Time in which the answer to a pull arrives.  One that repeats it is not
   answered again.  */
#define ANSWER_US UINT64_C (900000)

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

/* Converts to the form in messages.  */
static u_int
unsure_to_wire (uint64_t until_us)
{
  uint64_t now = now_us ();

  if (until_us == 0)
    return 0;
  if (until_us <= now)
    return 1;
  return (u_int)MAX ((until_us - now) / CP_US_PER_MS, 1U);
}

/* Converts the time of a change to its age in messages.  */
static u_int
age_to_wire (uint64_t changed_us)
{
  uint64_t age_ms = (now_us () - changed_us) / CP_US_PER_MS + 1;

  return changed_us == 0 ? CP_PEER_AGE_UNKNOWN
                         : (u_int)MIN (age_ms, CP_PEER_AGE_UNKNOWN);
}

/* Changes that are collected for a peer.  */
struct item_batch
{
  struct mesh_link *link;
  bool whole;
  uint64_t unsure_until_us; /* of items that are missing */
  struct cp_peer_item items[ITEMS_MAX];
  unsigned count;
  gsize bytes; /* length of their values on the link */
};

static void
log_items (const struct item_batch *batch, struct cp_store_position position)
{
  if (batch->bytes >= LONG_BYTES && mesh_log_allowed (MESH_LOG_ITEMS))
    mesh_log (MESH_LOG_ITEMS,
              "\"process\":\"%" G_GINT64_MODIFIER "x\",\"domain\":\"%s\","
              "\"items\":%u,\"bytes\":%" G_GSIZE_FORMAT ",\"whole\":%s,"
              "\"era\":%" G_GUINT64_FORMAT ",\"revision\":%" G_GUINT64_FORMAT,
              batch->link->incarnation, batch->link->domain, batch->count,
              batch->bytes, batch->whole ? "true" : "false", position.era,
              position.revision);
}

/* Sends what has been collected; POSITION has revision 0 if more follows.  */
static void
send_items (struct item_batch *batch, struct cp_store_position position)
{
  struct cp_peer_message message = { .kind = CP_PEER_ITEMS };
  struct cp_peer_items *items = &message.cp_peer_message_u.items;

  items->clock = now_us ();
  items->position = mesh_position_to_wire (position);
  items->whole = batch->whole;
  items->unsure_ms = unsure_to_wire (batch->unsure_until_us);
  items->items.items_len = batch->count;
  items->items.items_val = batch->items;
  mesh_link_send (batch->link, &message);
  log_items (batch, position);
  batch->count = 0;
  batch->bytes = 0;
}

/* Sets VALUE and LENGTH to the value of RECORD as it is sent, NULL if it was
   removed.  Returns whether it is packed.  */
static bool
value_to_send (struct platform_record *record, const void **value,
               gsize *length)
{
  GBytes *packed = platform_record_packed (record);
  GBytes *bytes = packed == NULL ? record->value : packed;

  *length = 0;
  *value = bytes == NULL ? NULL : g_bytes_get_data (bytes, length);
  return packed != NULL;
}

static void
add_to_batch (void *context, struct platform_record *record)
{
  struct item_batch *batch = context;
  struct cp_peer_item *item;
  const void *value;
  gsize length;
  bool is_packed = value_to_send (record, &value, &length);

  if (batch->count == ITEMS_MAX)
    send_items (batch, (struct cp_store_position){ 0, 0 });
  item = &batch->items[batch->count++];
  *item = (struct cp_peer_item){ .key = record->key,
                                 .position
                                 = mesh_position_to_wire (record->position),
                                 .removed = record->value == NULL,
                                 .unsure_ms
                                 = unsure_to_wire (record->unsure_until_us),
                                 .age = age_to_wire (record->changed_us) };
  item->value.value_val = (char *)value;
  item->value.value_len = (u_int)length;
  batch->bytes += length;
  if (is_packed)
    item->uncompressed_length = (u_int)g_bytes_get_size (record->value);
}

static void
add_length (void *context, struct platform_record *record)
{
  gsize *sum = context;
  const void *value;
  gsize length;

  value_to_send (record, &value, &length);
  *sum += length;
}

/* Returns whether LENGTH bytes may be sent now, and counts them if so.  */
static bool
take_pace (struct mesh_exchange *exchange, gsize length)
{
  uint64_t now = now_us ();

  if (length < LONG_BYTES)
    return true;
  if (!cp_send_pace_allows (&exchange->pace, now))
    return false;
  cp_send_pace_add (&exchange->pace, length, now);
  return true;
}

/* Answers the pull of LINK unless it has to wait.  */
static void
answer_pull (struct mesh_exchange *exchange, struct mesh_link *link)
{
  CP_AUTO_FREE struct item_batch *batch = NULL;
  struct cp_store_position since = link->pull.since;
  bool whole
      = cp_store_position_after (exchange->registry.removals_from, since);
  gsize length = 0;

  if (whole)
    since = (struct cp_store_position){ 0, 0 };
  platform_registry_foreach_since (&exchange->registry, since, add_length,
                                   &length);
  link->pull.waits = !take_pace (exchange, length);
  if (link->pull.waits)
    return;
  link->pull.answered_us = now_us ();
  batch = g_new0 (struct item_batch, 1);
  batch->link = link;
  batch->whole = whole;
  batch->unsure_until_us = mesh_exchange_unsure_until_us (exchange);
  platform_registry_foreach_since (&exchange->registry, since, add_to_batch,
                                   batch);
  send_items (batch, exchange->registry.position);
}

void
mesh_exchange_answer_pull (struct mesh_exchange *exchange,
                           struct mesh_link *link,
                           const struct cp_peer_position *position)
{
  struct mesh_pull *pull = &link->pull;
  struct cp_store_position since = mesh_position_from_wire (position);

  if (pull->answered_us != 0 && pull->since.era == since.era
      && pull->since.revision == since.revision
      && now_us () - pull->answered_us < ANSWER_US)
    return;
  *pull = (struct mesh_pull){ .since = since };
  answer_pull (exchange, link);
}

static void
answer_if_waiting (struct mesh_exchange *exchange, struct mesh_link *link)
{
  struct cp_store_position reported
      = mesh_position_from_wire (&link->view.position);

  if (!link->pull.waits || link->net.failed
      || !cp_send_pace_allows (&exchange->pace, now_us ()))
    return;
  if (cp_store_position_after (reported, link->pull.since))
    link->pull.since = reported;
  if (cp_store_position_after (exchange->registry.position, link->pull.since))
    answer_pull (exchange, link);
  else
    link->pull.waits = false;
}

void
mesh_exchange_answer_waiting (struct mesh_exchange *exchange)
{
  struct mesh_link *link;
  struct mesh_peer *peer;

  cds_list_for_each_entry (link, &exchange->peers->incoming, node)
      answer_if_waiting (exchange, link);
  cds_list_for_each_entry (peer, &exchange->peers->outgoing,
                           node) if (peer->link != NULL)
      answer_if_waiting (exchange, peer->link);
}

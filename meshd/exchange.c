#include <string.h>

#include "lib/cleanup.h"
#include "lib/pack.h"
#include "lib/watchers.h"
#include "meshd/exchange.h"
#include "meshd/log.h"

/* Daemons of a failure domain that watch, at least, and in all of them.  When
   a third of all VMs loses the store without notice, eight watchers hear
   nothing in one case of 5,000.  */
#define WATCHERS_LEAST 2
#define WATCHERS_IN_ALL 8

/* Failure domains that are told apart.  */
#define DOMAINS_MOST 16

/* Daemons of a failure domain that may call the store while it does not
   answer; more would press a store that is in trouble.  */
#define TRYING_MOST 6

/* Daemons that are told at once of a newer state; each tells as many, so that
   one of 22 in a failure domain learns of it in three steps.  */
#define TOLD_MOST 4

/* A removal this soon after a failed call of the store proves nothing.  */
#define DISTURBED_US UINT64_C (3000000)

/* How long a watcher whose watch waits may lag behind a peer before it asks
   for the changes; an answer of the store takes some milliseconds.  */
#define BEHIND_US UINT64_C (400000)

/* Least time between two such questions.  */
#define ASK_US UINT64_C (200000)

/* Entries in one message of changes.  */
#define ITEMS_MAX 1000

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

static void
send_view (const struct mesh_exchange *exchange, struct mesh_link *link)
{
  struct cp_peer_message message = { .kind = CP_PEER_VIEW };

  message.cp_peer_message_u.view = exchange->peers->view;
  mesh_link_send (link, &message);
}

/* Returns whether LINK leads to a daemon of the own failure domain.  */
static bool
is_near (const struct mesh_exchange *exchange, const struct mesh_link *link)
{
  return link->domain != NULL
         && strcmp (link->domain, exchange->peers->domain) == 0;
}

/* Tells some daemons of the failure domain that are not known to have it of
   the newest state, drawn at random.  */
static void
announce (struct mesh_exchange *exchange)
{
  struct mesh_link *told[TOLD_MOST];
  struct mesh_link *link;
  unsigned n = 0;
  unsigned seen = 0;

  cds_list_for_each_entry (link, &exchange->peers->incoming, node)
  {
    unsigned place = seen;

    if (!is_near (exchange, link) || link->link.failed
        || link->view.revision >= exchange->registry.revision)
      continue;
    seen++;
    if (n < TOLD_MOST)
      n++;
    else
      place = (unsigned)cp_random_below (exchange->random, seen);
    if (place < TOLD_MOST)
      told[place] = link;
  }
  for (unsigned i = 0; i < n; i++)
    send_view (exchange, told[i]);
}

/* Tells all daemons of the failure domain whether the store answers.  */
static void
announce_state (struct mesh_exchange *exchange)
{
  struct mesh_link *link;
  struct mesh_link *next;

  cds_list_for_each_entry_safe (link, next, &exchange->peers->incoming,
                                node) if (is_near (exchange, link))
      send_view (exchange, link);
}

/* Every change up to REVISION is known.  */
static void
reached (struct mesh_exchange *exchange, uint64_t revision)
{
  platform_registry_advance (&exchange->registry, revision);
  if (exchange->peers->view.revision == exchange->registry.revision)
    return;
  exchange->peers->view.revision = exchange->registry.revision;
  announce (exchange);
}

/* Returns whether a removal that is learned now may be due to a disturbance of
   the store.  */
static bool
is_disturbed (const struct mesh_exchange *exchange)
{
  const struct platform_store *store = &exchange->store;

  return !store->reachable
         || (store->last_failure_us != 0
             && now_us () - store->last_failure_us < DISTURBED_US);
}

static void
on_item (void *context, const struct platform_item *item)
{
  struct mesh_exchange *exchange = context;

  platform_registry_apply (&exchange->registry, item, is_disturbed (exchange));
}

static void
on_reread (void *context, uint64_t revision)
{
  struct mesh_exchange *exchange = context;

  platform_registry_end_listing (&exchange->registry, revision,
                                 is_disturbed (exchange));
}

static void
on_reached (void *context, uint64_t revision)
{
  reached (context, revision);
}

static void
on_store_state (void *context, bool answers, const char *reason)
{
  struct mesh_exchange *exchange = context;

  if (mesh_log_due (MESH_LOG_STORE))
    mesh_log (
        MESH_LOG_STORE,
        "\"answers\":%s,\"reason\":\"%s\",\"revision\":%" G_GUINT64_FORMAT,
        answers ? "true" : "false", reason == NULL ? "" : reason,
        exchange->registry.revision);
  if (exchange->peers->view.store_answers == answers)
    return;
  exchange->peers->view.store_answers = answers;
  announce_state (exchange);
}

static const struct platform_store_events store_events
    = { on_item, on_reread, on_reached, on_store_state };

/* The failure domains seen, and peers of the own one that may watch.  */
struct candidates
{
  const char *domains[DOMAINS_MOST];
  unsigned n_domains;
  const char **all;
  const char **answering; /* those whose store answers */
  unsigned n_all;
  unsigned n_answering;
};

static void
note_domain (struct candidates *candidates, const char *domain)
{
  for (unsigned i = 0; i < candidates->n_domains; i++)
    if (strcmp (candidates->domains[i], domain) == 0)
      return;
  if (candidates->n_domains < DOMAINS_MOST)
    candidates->domains[candidates->n_domains++] = domain;
}

static void
find_candidates (const struct mesh_exchange *exchange,
                 struct candidates *candidates)
{
  struct mesh_way *way;

  note_domain (candidates, exchange->peers->domain);
  cds_list_for_each_entry (way, &exchange->peers->ways, node)
  {
    if (!way->up || way->leaving)
      continue;
    note_domain (candidates, way->link->domain);
    if (!is_near (exchange, way->link))
      continue;
    candidates->all[candidates->n_all++] = way->address.text;
    if (way->link->view.store_answers)
      candidates->answering[candidates->n_answering++] = way->address.text;
  }
}

static bool
is_elected (const struct mesh_exchange *exchange)
{
  const struct mesh_peers *peers = exchange->peers;
  CP_AUTO_FREE const char **all = g_new (const char *, peers->n_up + 1);
  CP_AUTO_FREE const char **answering = g_new (const char *, peers->n_up + 1);
  struct candidates candidates = { .all = all, .answering = answering };
  unsigned wanted;

  find_candidates (exchange, &candidates);
  wanted = (WATCHERS_IN_ALL + candidates.n_domains - 1) / candidates.n_domains;
  wanted = MAX (wanted, WATCHERS_LEAST);
  return cp_watchers_elected (peers->domain, exchange->own_address, answering,
                              candidates.n_answering, wanted)
         && cp_watchers_elected (peers->domain, exchange->own_address, all,
                                 candidates.n_all, MAX (wanted, TRYING_MOST));
}

static void
elect (struct mesh_exchange *exchange)
{
  bool elected = is_elected (exchange);

  if (elected == exchange->watching)
    return;
  exchange->watching = elected;
  platform_store_set_active (&exchange->store, elected);
  if (mesh_log_due (MESH_LOG_WATCH))
    mesh_log (MESH_LOG_WATCH,
              "\"watches\":%s,\"peers\":%u,\"revision\":%" G_GUINT64_FORMAT,
              elected ? "true" : "false", exchange->peers->n_up,
              exchange->registry.revision);
}

void
mesh_exchange_viewed (struct mesh_exchange *exchange, struct mesh_link *link)
{
  struct cp_peer_message message = { .kind = CP_PEER_PULL };
  uint64_t known = exchange->registry.revision;
  uint64_t now = now_us ();

  if (link->view.revision <= known)
    return;
  if (exchange->behind_revision <= known)
    {
      exchange->behind_revision = link->view.revision;
      exchange->behind_us = now;
    }
  if (exchange->store.reachable && exchange->store.call == PLATFORM_STORE_WATCH
      && now - exchange->behind_us < BEHIND_US)
    return;
  if (now - exchange->asked_us < ASK_US)
    return;
  exchange->asked_us = now;
  message.cp_peer_message_u.revision = known;
  mesh_link_send (link, &message);
}

/* Asks a peer that knows more, if there is one: what it said may have come too
   soon to ask.  */
static void
catch_up (struct mesh_exchange *exchange)
{
  struct mesh_link *link;

  cds_list_for_each_entry (link, &exchange->peers->incoming, node)
  {
    if (link->view.revision <= exchange->registry.revision
        || link->link.failed)
      continue;
    mesh_exchange_viewed (exchange, link);
    return;
  }
}

void
mesh_exchange_tick (struct mesh_exchange *exchange)
{
  elect (exchange);
  catch_up (exchange);
}

/* Changes that are being put together for a peer.  */
struct collecting
{
  struct mesh_link *link;
  bool whole;
  bool unsure;
  struct cp_peer_item items[ITEMS_MAX];
  unsigned count;
};

static void
send_items (struct collecting *collecting, uint64_t revision)
{
  struct cp_peer_message message = { .kind = CP_PEER_ITEMS };
  struct cp_peer_items *items = &message.cp_peer_message_u.items;

  items->revision = revision;
  items->whole = collecting->whole;
  items->unsure = collecting->unsure;
  items->items.items_len = collecting->count;
  items->items.items_val = collecting->items;
  mesh_link_send (collecting->link, &message);
  collecting->count = 0;
}

static void
collect (void *context, struct platform_record *record)
{
  struct collecting *collecting = context;
  GBytes *packed = platform_record_packed (record);
  GBytes *value = packed == NULL ? record->value : packed;
  struct cp_peer_item *item;
  gsize length = 0;

  if (collecting->count == ITEMS_MAX)
    send_items (collecting, 0);
  item = &collecting->items[collecting->count++];
  *item = (struct cp_peer_item){ .key = record->key,
                                 .revision = record->revision,
                                 .removed = record->value == NULL,
                                 .unsure = record->unsure };
  if (value != NULL)
    item->value.value_val = (char *)g_bytes_get_data (value, &length);
  item->value.value_len = (u_int)length;
  if (packed != NULL)
    item->unpacked = (u_int)g_bytes_get_size (record->value);
}

void
mesh_exchange_answer (struct mesh_exchange *exchange, struct mesh_link *link,
                      uint64_t revision)
{
  struct collecting *collecting = g_new0 (struct collecting, 1);

  collecting->link = link;
  collecting->whole = revision < exchange->registry.removals_from;
  collecting->unsure = is_disturbed (exchange);
  if (collecting->whole)
    revision = 0;
  platform_registry_foreach_since (&exchange->registry, revision, collect,
                                   collecting);
  send_items (collecting, exchange->registry.revision);
  g_free (collecting);
}

static void
take_value (struct mesh_exchange *exchange, const struct cp_peer_item *from,
            const char *value, size_t length, bool listed)
{
  struct platform_item item = { .key = from->key,
                                .value = value,
                                .length = length,
                                .revision = from->revision,
                                .removed = from->removed,
                                .listed = listed };

  platform_registry_apply (&exchange->registry, &item, from->unsure);
}

/* Returns false when the value of FROM cannot be read.  */
static bool
take_item (struct mesh_exchange *exchange, const struct cp_peer_item *from,
           bool listed)
{
  struct platform_registry *registry = &exchange->registry;
  struct cp_error error = { 0 };
  GBytes *value;

  if (from->unpacked == 0)
    {
      take_value (exchange, from, from->value.value_val, from->value.value_len,
                  listed);
      return true;
    }
  if (from->unpacked > CP_PEER_VALUE_MAX)
    {
      cp_error_set (&error, CP_ERROR_LIMIT, from->key,
                    "make it shorter in the store",
                    "the value has %u bytes, more than %d", from->unpacked,
                    CP_PEER_VALUE_MAX);
      registry->events->unreadable (registry->context, from->key, &error);
      return false;
    }
  value = cp_unpack (from->value.value_val, from->value.value_len,
                     from->unpacked, from->key, &error);
  if (value == NULL)
    {
      registry->events->unreadable (registry->context, from->key, &error);
      return false;
    }
  take_value (exchange, from, g_bytes_get_data (value, NULL), from->unpacked,
              listed);
  g_bytes_unref (value);
  return true;
}

void
mesh_exchange_take (struct mesh_exchange *exchange,
                    const struct cp_peer_items *items)
{
  bool good = true;

  for (u_int i = 0; i < items->items.items_len; i++)
    good &= take_item (exchange, &items->items.items_val[i], items->whole);
  /* What cannot be read is not known, so the peer is asked again.  */
  if (items->revision == 0 || !good)
    return;
  if (items->whole)
    {
      platform_registry_end_listing (&exchange->registry, items->revision,
                                     items->unsure || is_disturbed (exchange));
      platform_store_adopt_snapshot (&exchange->store, items->revision);
    }
  reached (exchange, items->revision);
  platform_store_advance (&exchange->store, items->revision);
}

void
mesh_exchange_init (struct mesh_exchange *exchange, uv_loop_t *loop,
                    const struct cp_address *store,
                    const struct cp_address *own, struct mesh_peers *peers,
                    const struct cp_random *random,
                    const struct platform_registry_events *events,
                    void *context)
{
  *exchange = (struct mesh_exchange){ .peers = peers,
                                      .random = random,
                                      .watching = true };
  g_strlcpy (exchange->own_address, own->text, sizeof exchange->own_address);
  platform_registry_init (&exchange->registry, events, context);
  platform_store_init (&exchange->store, loop, store, random, &store_events,
                       exchange);
}

void
mesh_exchange_start (struct mesh_exchange *exchange)
{
  platform_store_start (&exchange->store);
}

void
mesh_exchange_stop (struct mesh_exchange *exchange)
{
  platform_store_stop (&exchange->store);
}

void
mesh_exchange_finish (struct mesh_exchange *exchange)
{
  platform_registry_finish (&exchange->registry);
}

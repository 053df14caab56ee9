#include <string.h>

#include "lib/cleanup.h"
#include "lib/compress.h"
#include "lib/watchers.h"
#include "meshd/exchange_internal.h"
#include "meshd/log.h"

/* Minimum number of watchers in a failure domain, and in all domains together.
   If a third of all VMs lose the store without notice, all eight watchers are
   among them in one case of 5,000.  */
#define WATCHERS_PER_DOMAIN_MIN 2
#define WATCHERS_TOTAL 8

/* Failure domains that are counted; further ones are ignored.  */
#define DOMAINS_MAX 16

/* Maximum number of daemons of a failure domain that call the store while it
   does not answer; more would add load to a store that is in trouble.  */
#define WATCHERS_STORE_DOWN_MAX 6

/* Daemons that are told at once of a newer revision.  Each tells as many, so
   that any of the 22 daemons of a failure domain knows it after three
   steps.  */
#define ANNOUNCE_MAX 4

/* Daemons of each other failure domain that a watcher tells of a state that it
   has from the store: their own watchers may wait for answers to calls that
   the store has forgotten.  */
#define ANNOUNCE_OTHER_DOMAIN_MAX 1

/* How long after the return of the store, or its loss of an entry, a server
   whose entry disappeared is kept.  Entries of running servers are back within
   two seconds of the return.  A request must not reach a server later than the
   drain time, also two seconds, after its entry was removed.  */
#define LAPSED_ENTRY_KEEP_US UINT64_C (1800000)

/* How long a watcher with a pending watch may lag behind a peer before it
   pulls the changes.  A store call takes some milliseconds.  */
#define WATCH_LAG_MAX_US UINT64_C (400000)

/* Minimum time between two pulls, and the time after which another peer is
   asked if the first has not answered.  */
#define PULL_INTERVAL_US UINT64_C (200000)
#define PULL_TIMEOUT_US UINT64_C (400000)

/* Minimum time between two pulls from a peer that has not answered.  */
#define PULL_REPEAT_US UINT64_C (1000000)

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

/* Returns whether the peer of LINK has a newer state than POSITION, by what it
   last reported.  */
static bool
is_ahead (const struct mesh_link *link, struct cp_store_position position)
{
  return cp_store_position_after (
      mesh_position_from_wire (&link->view.position), position);
}

static void
send_view (const struct mesh_exchange *exchange, struct mesh_link *link)
{
  struct cp_peer_message message = { .kind = CP_PEER_VIEW };

  message.cp_peer_message_u.view = exchange->peers->view;
  mesh_link_send (link, &message);
}

/* Returns whether the peer of LINK is in our failure domain.  */
static bool
is_same_domain (const struct mesh_exchange *exchange,
                const struct mesh_link *link)
{
  return link->domain != NULL
         && strcmp (link->domain, exchange->peers->domain) == 0;
}

/* The daemons of one failure domain that are told of a newer state.  */
struct recipients
{
  const char *domain;
  struct mesh_link *links[ANNOUNCE_MAX];
  unsigned most; /* at most ANNOUNCE_MAX */
  unsigned seen; /* daemons that could be told */
};

/* Finds the recipients in DOMAIN, or adds it to the N_DOMAINS.  Returns NULL
   when there are too many.  */
static struct recipients *
find_recipients (struct recipients domains[DOMAINS_MAX], unsigned *n_domains,
                 const char *domain)
{
  for (unsigned i = 0; i < *n_domains; i++)
    if (strcmp (domains[i].domain, domain) == 0)
      return &domains[i];
  if (*n_domains == DOMAINS_MAX)
    return NULL;
  domains[*n_domains]
      = (struct recipients){ .domain = domain,
                             .most = ANNOUNCE_OTHER_DOMAIN_MAX };
  return &domains[(*n_domains)++];
}

/* Adds LINK to RECIPIENTS, by reservoir sampling.  */
static void
add_recipient (const struct mesh_exchange *exchange,
               struct recipients *recipients, struct mesh_link *link)
{
  unsigned place = recipients->seen++;

  if (place >= recipients->most)
    place = (unsigned)cp_random_below (exchange->random, recipients->seen);
  if (place < recipients->most)
    recipients->links[place] = link;
}

/* Tells daemons that are not known to have the newest state of it: some of the
   failure domain, and if it came FROM_STORE some of the others.  */
static void
announce_position (struct mesh_exchange *exchange, bool from_store)
{
  struct recipients domains[DOMAINS_MAX]
      = { { .domain = exchange->peers->domain, .most = ANNOUNCE_MAX } };
  unsigned n_domains = 1;
  struct mesh_link *link;

  cds_list_for_each_entry (link, &exchange->peers->incoming, node)
  {
    struct recipients *recipients;

    if (link->net.failed || link->domain == NULL
        || (!from_store && !is_same_domain (exchange, link))
        || !cp_store_position_after (
            exchange->registry.position,
            mesh_position_from_wire (&link->view.position)))
      continue;
    recipients = find_recipients (domains, &n_domains, link->domain);
    if (recipients != NULL)
      add_recipient (exchange, recipients, link);
  }
  for (unsigned d = 0; d < n_domains; d++)
    for (unsigned i = 0; i < MIN (domains[d].seen, domains[d].most); i++)
      send_view (exchange, domains[d].links[i]);
}

/* Sends our view, which says whether the store answers, to all daemons of the
   failure domain.  */
static void
announce_store_state (struct mesh_exchange *exchange)
{
  struct mesh_link *link;
  struct mesh_link *next;

  cds_list_for_each_entry_safe (link, next, &exchange->peers->incoming,
                                node) if (is_same_domain (exchange, link))
      send_view (exchange, link);
}

/* Records that every change up to POSITION is known, and announces it if it is
   new.  */
static void
set_position (struct mesh_exchange *exchange,
              struct cp_store_position position, bool from_store)
{
  struct cp_store_position announced
      = mesh_position_from_wire (&exchange->peers->view.position);

  platform_registry_advance (&exchange->registry, position);
  if (!cp_store_position_after (exchange->registry.position, announced))
    return;
  exchange->peers->view.position
      = mesh_position_to_wire (exchange->registry.position);
  announce_position (exchange, from_store);
}

uint64_t
mesh_exchange_unsure_until_us (const struct mesh_exchange *exchange)
{
  const struct platform_store *store = &exchange->store;
  uint64_t now = now_us ();

  if (!store->reachable)
    return now + LAPSED_ENTRY_KEEP_US;
  if (store->returned_us == 0
      || store->returned_us + LAPSED_ENTRY_KEEP_US <= now)
    return 0;
  return store->returned_us + LAPSED_ENTRY_KEEP_US;
}

/* Converts from the form in a message that was on its way for DELAY_US.  A
   peer cannot make this daemon keep a server for longer than it would by
   itself.  */
static uint64_t
unsure_from_wire (u_int unsure_ms, uint64_t delay_us)
{
  uint64_t left_us = MIN (unsure_ms * CP_US_PER_MS, LAPSED_ENTRY_KEEP_US);

  return unsure_ms == 0 ? 0 : now_us () + left_us - MIN (left_us, delay_us);
}

/* Converts the age of a change in a message that was on its way for DELAY_US
   to its time.  */
static uint64_t
age_from_wire (u_int age_ms, uint64_t delay_us)
{
  uint64_t now = now_us ();
  uint64_t age_us = age_ms * CP_US_PER_MS + delay_us;

  return age_ms == CP_PEER_AGE_UNKNOWN ? 0 : now - MIN (now, age_us);
}

static void
on_item (void *context, const struct platform_item *item)
{
  struct mesh_exchange *exchange = context;

  platform_registry_apply (&exchange->registry, item,
                           mesh_exchange_unsure_until_us (exchange));
}

/* Logs that the state in force is of another era of the store than before,
   KNOWN.  */
static void
log_era (const struct mesh_exchange *exchange, struct cp_store_position known,
         struct cp_store_position position)
{
  if (mesh_log_allowed (MESH_LOG_ERA))
    mesh_log (MESH_LOG_ERA,
              "\"from\":%" G_GUINT64_FORMAT ",\"to\":%" G_GUINT64_FORMAT
              ",\"was_revision\":%" G_GUINT64_FORMAT
              ",\"revision\":%" G_GUINT64_FORMAT ",\"kept\":%u,\"dropped\":%u",
              known.era, position.era, known.revision, position.revision,
              exchange->registry.n_kept, exchange->registry.n_dropped);
}

/* Ends a complete listing as of POSITION, from the store or a peer.
   KEPT_UNTIL_US and COVERED_US are the UNSURE_UNTIL_US and COVERED_US of
   platform_registry_end_listing.  */
static void
end_listing (struct mesh_exchange *exchange, struct cp_store_position position,
             uint64_t kept_until_us, uint64_t covered_us)
{
  struct platform_registry *registry = &exchange->registry;
  struct cp_store_position known = registry->position;

  platform_registry_end_listing (registry, position, kept_until_us,
                                 now_us () + LAPSED_ENTRY_KEEP_US, covered_us);
  if (known.revision != 0 && position.era > known.era)
    log_era (exchange, known, position);
  registry->n_kept = 0;
  registry->n_dropped = 0;
}

static void
on_listing_ended (void *context, struct cp_store_position position)
{
  struct mesh_exchange *exchange = context;

  end_listing (exchange, position, mesh_exchange_unsure_until_us (exchange),
               exchange->store.covered_us);
}

static void
on_advanced (void *context, struct cp_store_position position)
{
  set_position (context, position, true);
}

static void
on_store_state (void *context, bool reachable, const char *reason,
                enum platform_store_call call, uint64_t duration_us)
{
  struct mesh_exchange *exchange = context;

  if (mesh_log_allowed (MESH_LOG_STORE))
    mesh_log (MESH_LOG_STORE,
              "\"answers\":%s,\"reason\":\"%s\",\"call\":\"%s\","
              "\"took_us\":%" G_GUINT64_FORMAT ",\"era\":%" G_GUINT64_FORMAT
              ",\"revision\":%" G_GUINT64_FORMAT,
              reachable ? "true" : "false", reason == NULL ? "" : reason,
              platform_store_call_names[call], duration_us,
              exchange->registry.position.era,
              exchange->registry.position.revision);
  if (exchange->peers->view.store_answers == reachable)
    return;
  exchange->peers->view.store_answers = reachable;
  announce_store_state (exchange);
}

static const struct platform_store_events store_events
    = { on_item, on_listing_ended, on_advanced, on_store_state };

/* The failure domains seen, and the peers in our own domain that may
   watch.  */
struct candidates
{
  const char *domains[DOMAINS_MAX];
  unsigned n_domains;
  const char **all_peers;
  const char **store_up; /* the ones whose store answers */
  unsigned n_all_peers;
  unsigned n_store_up;
};

static void
add_domain (struct candidates *candidates, const char *domain)
{
  for (unsigned i = 0; i < candidates->n_domains; i++)
    if (strcmp (candidates->domains[i], domain) == 0)
      return;
  if (candidates->n_domains < DOMAINS_MAX)
    candidates->domains[candidates->n_domains++] = domain;
}

static void
find_candidates (const struct mesh_exchange *exchange,
                 struct candidates *candidates)
{
  struct mesh_peer *peer;

  add_domain (candidates, exchange->peers->domain);
  cds_list_for_each_entry (peer, &exchange->peers->outgoing, node)
  {
    if (!peer->up || peer->leaving)
      continue;
    add_domain (candidates, peer->link->domain);
    if (!is_same_domain (exchange, peer->link))
      continue;
    candidates->all_peers[candidates->n_all_peers++] = peer->address.text;
    if (peer->link->view.store_answers)
      candidates->store_up[candidates->n_store_up++] = peer->address.text;
  }
}

/* Returns how many of the domains seen come before DOMAIN by name.  */
static unsigned
count_domains_before (const struct candidates *candidates, const char *domain)
{
  unsigned n = 0;

  for (unsigned i = 0; i < candidates->n_domains; i++)
    n += strcmp (candidates->domains[i], domain) < 0;
  return n;
}

/* Returns whether this daemon is to watch the store, and its TURN if so.  */
static bool
is_elected (const struct mesh_exchange *exchange, struct cp_watch_turn *turn)
{
  const struct mesh_peers *peers = exchange->peers;
  CP_AUTO_FREE const char **all = g_new (const char *, peers->n_up + 1);
  CP_AUTO_FREE const char **store_up = g_new (const char *, peers->n_up + 1);
  struct candidates candidates = { .all_peers = all, .store_up = store_up };
  unsigned wanted;
  unsigned rank;

  find_candidates (exchange, &candidates);
  wanted = (WATCHERS_TOTAL + candidates.n_domains - 1) / candidates.n_domains;
  wanted = MAX (wanted, WATCHERS_PER_DOMAIN_MIN);
  rank = cp_watchers_rank (peers->domain, exchange->own_address, store_up,
                           candidates.n_store_up);
  /* Domains take turns, so that the watchers of one that is cut off are not
     next to each other.  */
  turn->watchers
      = MIN (wanted, candidates.n_all_peers + 1) * candidates.n_domains;
  turn->place = rank * candidates.n_domains
                + count_domains_before (&candidates, peers->domain);
  return rank < wanted
         && cp_watchers_elected (peers->domain, exchange->own_address, all,
                                 candidates.n_all_peers,
                                 MAX (wanted, WATCHERS_STORE_DOWN_MAX));
}

static void
update_watching (struct mesh_exchange *exchange)
{
  struct cp_watch_turn turn;
  bool elected = is_elected (exchange, &turn);

  platform_store_set_turn (&exchange->store, &turn);
  if (elected == exchange->watching)
    return;
  exchange->watching = elected;
  platform_store_set_active (&exchange->store, elected);
  if (mesh_log_allowed (MESH_LOG_WATCH))
    mesh_log (MESH_LOG_WATCH,
              "\"watches\":%s,\"peers\":%u,\"era\":%" G_GUINT64_FORMAT
              ",\"revision\":%" G_GUINT64_FORMAT,
              elected ? "true" : "false", exchange->peers->n_up,
              exchange->registry.position.era,
              exchange->registry.position.revision);
}

/* Pulls changes over LINK if its peer has a newer state and it is time to.
   Returns whether a pull was sent.  */
static bool
pull (struct mesh_exchange *exchange, struct mesh_link *link)
{
  struct cp_peer_message message = { .kind = CP_PEER_PULL };
  struct cp_store_position known = exchange->registry.position;
  uint64_t now = now_us ();
  uint64_t pulled_us = now - exchange->last_pull_us;

  if (link->net.failed || !is_ahead (link, known))
    return false;
  if (!cp_store_position_after (exchange->behind, known))
    {
      exchange->behind = mesh_position_from_wire (&link->view.position);
      exchange->behind_since_us = now;
    }
  if (exchange->store.reachable && exchange->store.call == PLATFORM_STORE_WATCH
      && now - exchange->behind_since_us < WATCH_LAG_MAX_US)
    return false;
  if (pulled_us < PULL_INTERVAL_US)
    return false;
  /* The answer may wait for others at the peer that was asked.  */
  if (!exchange->pull_answered
      && pulled_us < (link->incarnation == exchange->pulled_from
                          ? PULL_REPEAT_US
                          : PULL_TIMEOUT_US))
    return false;
  exchange->last_pull_us = now;
  exchange->pulled_from = link->incarnation;
  exchange->pull_answered = false;
  message.cp_peer_message_u.position = mesh_position_to_wire (known);
  mesh_link_send (link, &message);
  return true;
}

void
mesh_exchange_receive_view (struct mesh_exchange *exchange,
                            struct mesh_link *link)
{
  pull (exchange, link);
}

/* Pulls from a peer that has a newer state, if there is one.  Its view may
   have arrived too early for a pull.  */
static void
catch_up (struct mesh_exchange *exchange)
{
  struct mesh_link *link;

  cds_list_for_each_entry (link, &exchange->peers->incoming, node)
  {
    if (pull (exchange, link))
      return;
  }
}

void
mesh_exchange_tick (struct mesh_exchange *exchange)
{
  update_watching (exchange);
  catch_up (exchange);
  mesh_exchange_answer_waiting (exchange);
}

/* How a message with items arrived.  */
struct arrival
{
  bool listed;       /* it holds all items */
  uint64_t delay_us; /* see mesh_link_delay_us */
};

static void
apply_value (struct mesh_exchange *exchange, const struct cp_peer_item *from,
             const char *value, size_t length, const struct arrival *arrival)
{
  struct platform_item item
      = { .key = from->key,
          .value = value,
          .length = length,
          .position = mesh_position_from_wire (&from->position),
          .removed = from->removed,
          .listed = arrival->listed,
          .changed_us = age_from_wire (from->age, arrival->delay_us) };

  platform_registry_apply (
      &exchange->registry, &item,
      unsure_from_wire (from->unsure_ms, arrival->delay_us));
}

/* Applies FROM.  Returns false if its value cannot be read.  */
static bool
apply_item (struct mesh_exchange *exchange, const struct cp_peer_item *from,
            const struct arrival *arrival)
{
  struct platform_registry *registry = &exchange->registry;
  struct cp_error error = { 0 };
  GBytes *value;

  if (from->uncompressed_length == 0)
    {
      apply_value (exchange, from, from->value.value_val,
                   from->value.value_len, arrival);
      return true;
    }
  if (from->uncompressed_length > CP_PEER_VALUE_MAX)
    {
      cp_error_set (&error, CP_ERROR_LIMIT, from->key,
                    "shorten it in the store",
                    "the value has %u bytes; the limit is %d",
                    from->uncompressed_length, CP_PEER_VALUE_MAX);
      platform_registry_report_unreadable (registry, from->key, &error);
      return false;
    }
  value = cp_decompress (from->value.value_val, from->value.value_len,
                         from->uncompressed_length, from->key, &error);
  if (value == NULL)
    {
      platform_registry_report_unreadable (registry, from->key, &error);
      return false;
    }
  apply_value (exchange, from, g_bytes_get_data (value, NULL),
               from->uncompressed_length, arrival);
  g_bytes_unref (value);
  return true;
}

void
mesh_exchange_apply_items (struct mesh_exchange *exchange,
                           struct mesh_link *link,
                           const struct cp_peer_items *items)
{
  const struct arrival arrival
      = { .listed = items->whole,
          .delay_us = mesh_link_delay_us (link, items->clock) };
  struct cp_store_position position
      = mesh_position_from_wire (&items->position);
  bool all_readable = true;

  for (u_int i = 0; i < items->items.items_len; i++)
    all_readable
        &= apply_item (exchange, &items->items.items_val[i], &arrival);
  /* An item that cannot be read leaves our position unchanged, so that it is
     pulled again.  */
  if (position.revision == 0 || !all_readable)
    return;
  exchange->pull_answered = true;
  if (items->whole)
    {
      end_listing (exchange, position,
                   unsure_from_wire (items->unsure_ms, arrival.delay_us), 0);
      platform_store_adopt_snapshot (&exchange->store, position);
    }
  set_position (exchange, position, false);
  platform_store_advance (&exchange->store, position);
}

void
mesh_exchange_init (struct mesh_exchange *exchange, uv_loop_t *loop,
                    const struct cp_address *store,
                    const struct cp_address *own, struct mesh_peers *peers,
                    const struct cp_random *random,
                    const struct platform_registry_events *events,
                    void *context)
{
  *exchange = (struct mesh_exchange){
    .peers = peers, .random = random, .watching = true, .pull_answered = true
  };
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

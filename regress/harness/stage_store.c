/* The stand-in of the platform's store.  */
#include <string.h>
#include <urcu/list.h>

#include "lib/cleanup.h"
#include "net/server.h"
#include "regress/harness/stage_internal.h"

#define WAIT_TICK_MS 20
#define FLOOD_BYTES (64U << 20)

struct item
{
  char *key;
  char *value; /* NULL when it was removed */
  uint64_t revision;
};

/* The store's door for one VM.  */
struct door
{
  struct net_server server;
  struct stage_store *store;
  enum stage_store_mode mode;
};

struct waiting
{
  struct cds_list_head node;
  struct net_exchange *exchange;
  struct door *door;
  uint64_t after;
  uint64_t until_ms;
};

struct stage_store
{
  struct stage *stage;
  struct door doors[STAGE_VMS_MAX + 1];
  GPtrArray *items;
  uint64_t revision;
  uint64_t oldest; /* changes after this one are remembered */
  char era[32];    /* header value in all answers; "" for no header */
  GPtrArray *copy; /* items as of COPY_REVISION, or NULL */
  uint64_t copy_revision;
  bool muted;
  bool cut;
  struct cds_list_head watches;
  uv_timer_t timer;
};

static struct item *
find (const struct stage_store *store, const char *key)
{
  for (unsigned i = 0; i < store->items->len; i++)
    {
      struct item *item = store->items->pdata[i];

      if (strcmp (item->key, key) == 0)
        return item;
    }
  return NULL;
}

static void
item_free (void *data)
{
  struct item *item = data;

  g_free (item->key);
  g_free (item->value);
  g_free (item);
}

static GPtrArray *
copy_items (const GPtrArray *items)
{
  GPtrArray *copy = g_ptr_array_new_with_free_func (item_free);

  for (unsigned i = 0; i < items->len; i++)
    {
      const struct item *from = items->pdata[i];
      struct item *to = g_new0 (struct item, 1);

      *to = (struct item){ .key = g_strdup (from->key),
                           .value = g_strdup (from->value),
                           .revision = from->revision };
      g_ptr_array_add (copy, to);
    }
  return copy;
}

static json_t *
item_json (const struct item *item)
{
  CP_AUTO_FREE char *text = NULL;

  if (item->value == NULL)
    return json_pack ("{s:s, s:I, s:b}", "key", item->key, "rev",
                      (json_int_t)item->revision, "removed", 1);
  text = g_base64_encode ((const guchar *)item->value, strlen (item->value));
  return json_pack ("{s:s, s:s, s:I, s:I, s:i}", "key", item->key, "value",
                    text, "rev", (json_int_t)item->revision, "created",
                    (json_int_t)item->revision, "lease", 0);
}

/* Answers with STATUS, the era of the store and TEXT, which may be NULL.  */
static void
respond (const struct stage_store *store, struct net_exchange *exchange,
         unsigned status, const char *text)
{
  CP_AUTO_FREE char *head = NULL;

  if (store->era[0] == '\0')
    head = g_strdup ("Content-Type: application/json\r\n");
  else
    head = g_strdup_printf (
        "Content-Type: application/json\r\nStore-Era: %s\r\n", store->era);
  net_exchange_respond (exchange, status, head, text,
                        text == NULL ? 0 : strlen (text));
}

static void
answer (const struct stage_store *store, struct net_exchange *exchange,
        json_t *value)
{
  CP_AUTO_FREE char *text = json_dumps (value, JSON_COMPACT);

  respond (store, exchange, 200, text);
  json_decref (value);
}

static void
answer_flood (struct net_exchange *exchange)
{
  CP_AUTO_FREE char *text = g_malloc (FLOOD_BYTES);

  memset (text, '[', FLOOD_BYTES);
  net_exchange_respond (exchange, 200, NULL, text, FLOOD_BYTES);
}

/* The status is not one of HTTP/1.1; otherwise this is a whole answer.  */
static void
answer_broken (struct net_exchange *exchange)
{
  static const char text[] = "{\"items\":[],\"events\":[],\"at\":1}";

  net_exchange_respond (exchange, 600, "Store-Era: 999\r\n", text,
                        strlen (text));
}

/* Returns the text of parameter NAME of TARGET's query, to be freed, or
   NULL.  */
static char *
parameter (const char *target, const char *name)
{
  const char *query = strchr (target, '?');
  g_auto (GStrv) pairs = g_strsplit (query == NULL ? "" : query + 1, "&", -1);
  size_t length = strlen (name);

  for (unsigned i = 0; pairs[i] != NULL; i++)
    if (strncmp (pairs[i], name, length) == 0 && pairs[i][length] == '=')
      return g_uri_unescape_string (pairs[i] + length + 1, NULL);
  return NULL;
}

static void
answer_range (struct stage_store *store, struct net_exchange *exchange)
{
  CP_AUTO_FREE char *prefix
      = parameter (exchange->request.target->str, "prefix");
  json_t *items = json_array ();

  for (unsigned i = 0; i < store->items->len; i++)
    {
      const struct item *item = store->items->pdata[i];

      if (item->value != NULL
          && g_str_has_prefix (item->key, prefix == NULL ? "" : prefix))
        json_array_append_new (items, item_json (item));
    }
  answer (store, exchange,
          json_pack ("{s:o, s:b, s:I}", "items", items, "hasMore", 0, "at",
                     (json_int_t)store->revision));
}

/* Answers a watch if there is anything to say.  Returns whether it did.  */
static bool
answer_watch (struct stage_store *store, struct net_exchange *exchange,
              uint64_t after, bool now)
{
  json_t *events;

  if (store->muted && !now)
    return false;
  if (after > store->revision
      || (after < store->oldest && store->revision > store->oldest))
    {
      respond (store, exchange, 410, NULL);
      return true;
    }
  events = json_array ();
  for (unsigned i = 0; i < store->items->len && after >= store->oldest; i++)
    {
      const struct item *item = store->items->pdata[i];

      if (item->revision > after)
        json_array_append_new (events, item_json (item));
    }
  if (json_array_size (events) == 0 && !now)
    {
      json_decref (events);
      return false;
    }
  answer (store, exchange,
          json_pack ("{s:o, s:I}", "events", events, "at",
                     (json_int_t)MAX (after, store->revision)));
  return true;
}

static void
begin_watch (struct door *door, struct net_exchange *exchange)
{
  struct stage_store *store = door->store;
  CP_AUTO_FREE char *after
      = parameter (exchange->request.target->str, "after");
  CP_AUTO_FREE char *wait
      = parameter (exchange->request.target->str, "waitMs");
  uint64_t revision = after == NULL ? 0 : g_ascii_strtoull (after, NULL, 10);
  struct waiting *waiting;

  if (answer_watch (store, exchange, revision, false))
    return;
  waiting = g_new0 (struct waiting, 1);
  waiting->exchange = exchange;
  waiting->door = door;
  waiting->after = revision;
  waiting->until_ms = uv_now (&store->stage->loop)
                      + (wait == NULL ? 0 : g_ascii_strtoull (wait, NULL, 10));
  exchange->owner = waiting;
  cds_list_add_tail (&waiting->node, &store->watches);
}

static void
on_request (void *context, struct net_exchange *exchange)
{
  struct door *door = context;
  const char *target = exchange->request.target->str;

  pthread_mutex_lock (&door->store->stage->lock);
  if (door->mode == STAGE_STORE_BUSY)
    respond (door->store, exchange, 503, NULL);
  else if (door->mode == STAGE_STORE_SILENT)
    exchange->owner = NULL;
  else if (door->mode == STAGE_STORE_FLOOD)
    answer_flood (exchange);
  else if (door->mode == STAGE_STORE_BROKEN)
    answer_broken (exchange);
  else if (g_str_has_prefix (target, "/cornelpick/kv-range"))
    answer_range (door->store, exchange);
  else if (g_str_has_prefix (target, "/cornelpick/kv-watch"))
    begin_watch (door, exchange);
  else
    net_exchange_respond (exchange, 404, NULL, NULL, 0);
  pthread_mutex_unlock (&door->store->stage->lock);
}

static void
on_abandoned (void *context, struct net_exchange *exchange)
{
  struct waiting *waiting = exchange->owner;

  (void)context;
  cds_list_del (&waiting->node);
  g_free (waiting);
}

static void
on_refused (void *context, unsigned status, const char *reason)
{
  (void)context;
  fprintf (stderr, "the store refuses a call: %u %s\n", status, reason);
}

static const struct net_server_events door_events
    = { on_request, on_abandoned, on_refused };

/* Goes through the watches that wait; the lock is held.  */
static void
check_watches (struct stage_store *store)
{
  uint64_t now = uv_now (&store->stage->loop);
  struct waiting *waiting;
  struct waiting *next;

  cds_list_for_each_entry_safe (waiting, next, &store->watches, node)
  {
    bool silent = waiting->door->mode == STAGE_STORE_SILENT;

    if (store->cut)
      respond (store, waiting->exchange, 500, NULL);
    else if (silent
             || !answer_watch (store, waiting->exchange, waiting->after,
                               waiting->until_ms <= now))
      continue;
    cds_list_del (&waiting->node);
    g_free (waiting);
  }
  store->cut = false;
}

static void
on_timer (uv_timer_t *timer)
{
  stage_store_wake (timer->data);
}

void
stage_store_wake (struct stage_store *store)
{
  pthread_mutex_lock (&store->stage->lock);
  check_watches (store);
  pthread_mutex_unlock (&store->stage->lock);
}

struct stage_store *
stage_store_create (struct stage *stage)
{
  static const struct net_server_limits limits
      = { 65536, 1U << 20, 10000, 60000 };
  struct stage_store *store = g_new0 (struct stage_store, 1);

  store->stage = stage;
  store->items = g_ptr_array_new_with_free_func (item_free);
  store->revision = 1;
  g_strlcpy (store->era, "1", sizeof store->era);
  CDS_INIT_LIST_HEAD (&store->watches);
  for (unsigned vm = 1; vm <= stage->n_vms; vm++)
    {
      struct cp_address address;
      char text[56];
      int error;

      store->doors[vm].store = store;
      cp_address_parse (&address,
                        stage_address (stage, vm, STAGE_PORT_STORE, text));
      error
          = net_server_init (&store->doors[vm].server, &stage->loop, &address,
                             &limits, &door_events, &store->doors[vm]);
      if (error != 0)
        harness_require (false, "%s: %s", text, uv_strerror (error));
    }
  uv_timer_init (&stage->loop, &store->timer);
  store->timer.data = store;
  uv_timer_start (&store->timer, on_timer, WAIT_TICK_MS, WAIT_TICK_MS);
  return store;
}

void
stage_store_stop (struct stage_store *store)
{
  for (unsigned vm = 1; vm <= store->stage->n_vms; vm++)
    net_server_finish (&store->doors[vm].server);
  uv_close ((uv_handle_t *)&store->timer, NULL);
}

void
stage_store_free (struct stage_store *store)
{
  g_ptr_array_unref (store->items);
  if (store->copy != NULL)
    g_ptr_array_unref (store->copy);
  g_free (store);
}

void
stage_store_copy (struct stage *stage)
{
  struct stage_store *store = stage->store;

  pthread_mutex_lock (&stage->lock);
  if (store->copy != NULL)
    g_ptr_array_unref (store->copy);
  store->copy = copy_items (store->items);
  store->copy_revision = store->revision;
  pthread_mutex_unlock (&stage->lock);
}

void
stage_store_return (struct stage *stage)
{
  struct stage_store *store = stage->store;

  pthread_mutex_lock (&stage->lock);
  g_ptr_array_unref (store->items);
  store->items = copy_items (store->copy);
  store->revision = store->copy_revision;
  store->oldest = MIN (store->oldest, store->revision);
  g_snprintf (store->era, sizeof store->era, "%" G_GUINT64_FORMAT,
              g_ascii_strtoull (store->era, NULL, 10) + 1);
  store->cut = true;
  pthread_mutex_unlock (&stage->lock);
  uv_async_send (&stage->wake);
}

void
stage_store_say_era (struct stage *stage, const char *era)
{
  pthread_mutex_lock (&stage->lock);
  g_strlcpy (stage->store->era, era, sizeof stage->store->era);
  pthread_mutex_unlock (&stage->lock);
}

static void
change (struct stage *stage, const char *key, const char *value)
{
  struct stage_store *store = stage->store;
  struct item *item;

  pthread_mutex_lock (&stage->lock);
  item = find (store, key);
  if (item == NULL)
    {
      item = g_new0 (struct item, 1);
      item->key = g_strdup (key);
      g_ptr_array_add (store->items, item);
    }
  g_free (item->value);
  item->value = g_strdup (value);
  item->revision = ++store->revision;
  pthread_mutex_unlock (&stage->lock);
  uv_async_send (&stage->wake);
}

void
stage_put (struct stage *stage, const char *key, const char *value)
{
  change (stage, key, value);
}

void
stage_remove (struct stage *stage, const char *key)
{
  change (stage, key, NULL);
}

void
stage_store_mode (struct stage *stage, unsigned vm, enum stage_store_mode mode)
{
  pthread_mutex_lock (&stage->lock);
  stage->store->doors[vm].mode = mode;
  pthread_mutex_unlock (&stage->lock);
}

unsigned
stage_watches (struct stage *stage)
{
  const struct waiting *waiting;
  unsigned count = 0;

  pthread_mutex_lock (&stage->lock);
  cds_list_for_each_entry (waiting, &stage->store->watches, node) count++;
  pthread_mutex_unlock (&stage->lock);
  return count;
}

void
stage_mute_watches (struct stage *stage)
{
  pthread_mutex_lock (&stage->lock);
  stage->store->muted = true;
  pthread_mutex_unlock (&stage->lock);
}

void
stage_drop_history (struct stage *stage)
{
  pthread_mutex_lock (&stage->lock);
  stage->store->muted = false;
  stage->store->oldest = stage->store->revision;
  stage->store->cut = true;
  pthread_mutex_unlock (&stage->lock);
  uv_async_send (&stage->wake);
}

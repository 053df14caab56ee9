/* The stand-in of the platform's store, which daemons only read.  It keeps all
   changes, so that it can answer with an earlier state.  */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/stand_ins_internal.h"

/* Time for an answer, as in SYSTEM.md.  */
#define ANSWER_MS 4

struct change
{
  char *key;
  char *value; /* NULL: removed */
  uint64_t revision;
  int64_t at_ms;
};

struct store
{
  int listener;
  unsigned page_items;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  GPtrArray *changes;
  uint64_t revision;
  int64_t stale_ms;
};

struct visit
{
  struct store *store;
  struct input input;
};

/* Returns the text of parameter NAME in the request line of HEAD, to be freed,
   or NULL.  */
static char *
parameter (const char *head, const char *name)
{
  char *line = g_strndup (head, strcspn (head, "\r"));
  char *query = strchr (line, '?');
  char *end = strrchr (line, ' ');
  char *found = NULL;
  char **pairs;

  if (end != NULL)
    *end = '\0';
  pairs = g_strsplit (query == NULL ? "" : query + 1, "&", -1);
  for (unsigned i = 0; pairs[i] != NULL && found == NULL; i++)
    if (g_str_has_prefix (pairs[i], name) && pairs[i][strlen (name)] == '=')
      found = g_uri_unescape_string (pairs[i] + strlen (name) + 1, NULL);
  g_strfreev (pairs);
  g_free (line);
  return found;
}

static void
append_change (GString *text, const struct change *change)
{
  char *value;

  if (change->value == NULL)
    {
      g_string_append_printf (text,
                              "{\"key\":\"%s\",\"rev\":%" G_GUINT64_FORMAT
                              ",\"removed\":true}",
                              change->key, change->revision);
      return;
    }
  value = g_base64_encode ((const guchar *)change->value,
                           strlen (change->value));
  g_string_append_printf (text,
                          "{\"key\":\"%s\",\"value\":\"%s\",\"rev\":"
                          "%" G_GUINT64_FORMAT ",\"created\":"
                          "%" G_GUINT64_FORMAT ",\"lease\":0}",
                          change->key, value, change->revision,
                          change->revision);
  g_free (value);
}

static bool
respond (int fd, const char *status, const char *body)
{
  char head[160];

  g_snprintf (head, sizeof head,
              "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
              "Content-Length: %zu\r\n\r\n",
              status, strlen (body));
  return send_bytes (fd, head, strlen (head))
         && send_bytes (fd, body, strlen (body));
}

static int
compare_keys (const void *a, const void *b)
{
  const struct change *const *first = a;
  const struct change *const *second = b;

  return strcmp ((*first)->key, (*second)->key);
}

/* Returns the items as of UNTIL_MS, sorted by key, and their revision.  */
static GPtrArray *
state_at (const struct store *store, int64_t until_ms, uint64_t *revision)
{
  GHashTable *latest = g_hash_table_new (g_str_hash, g_str_equal);
  GPtrArray *items = g_ptr_array_new ();
  GHashTableIter iter;
  void *value;

  *revision = 1;
  for (unsigned i = 0; i < store->changes->len; i++)
    {
      struct change *change = store->changes->pdata[i];

      if (change->at_ms > until_ms)
        break;
      *revision = change->revision;
      g_hash_table_replace (latest, change->key, change);
    }
  g_hash_table_iter_init (&iter, latest);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (((struct change *)value)->value != NULL)
      g_ptr_array_add (items, value);
  g_hash_table_unref (latest);
  g_ptr_array_sort (items, compare_keys);
  return items;
}

/* Composes the page of items with PREFIX that begins after AFTER.  */
static char *
compose_page (const struct store *store, GPtrArray *items, const char *prefix,
              const char *after, uint64_t revision)
{
  GString *text = g_string_new ("{\"items\":[");
  unsigned count = 0;
  bool more = false;

  for (unsigned i = 0; i < items->len && !more; i++)
    {
      const struct change *item = items->pdata[i];

      if (!g_str_has_prefix (item->key, prefix)
          || strcmp (item->key, after) <= 0)
        continue;
      more = count == store->page_items;
      if (more)
        break;
      if (count++ > 0)
        g_string_append_c (text, ',');
      append_change (text, item);
    }
  g_string_append_printf (text,
                          "],\"hasMore\":%s,\"at\":%" G_GUINT64_FORMAT "}",
                          more ? "true" : "false", revision);
  return g_string_free (text, FALSE);
}

static bool
answer_range (struct store *store, int fd, const char *head)
{
  char *prefix = parameter (head, "prefix");
  char *after = parameter (head, "after");
  char *stale = parameter (head, "allowStale");
  int64_t lag_ms = 0;
  uint64_t revision;
  GPtrArray *items;
  char *page;
  bool sent;

  sleep_ms (ANSWER_MS);
  pthread_mutex_lock (&store->lock);
  if (stale != NULL && after != NULL)
    lag_ms = store->stale_ms;
  items = state_at (store, now_ms () - lag_ms, &revision);
  page = compose_page (store, items, prefix == NULL ? "" : prefix,
                       after == NULL ? "" : after, revision);
  pthread_mutex_unlock (&store->lock);
  if (prefix == NULL || strcmp (prefix, "none/") != 0)
    note ("store answers a listing%s%s with the state of revision "
          "%" G_GUINT64_FORMAT,
          stale == NULL ? "" : " that may be stale",
          after == NULL ? "" : ", a later page,", revision);
  sent = respond (fd, "200 OK", page);
  g_ptr_array_unref (items);
  g_free (page);
  g_free (prefix);
  g_free (after);
  g_free (stale);
  return sent;
}

/* Waits until there is a change after AFTER, at most WAIT_MS.  The lock is
   held.  */
static void
wait_for_change (struct store *store, uint64_t after, long wait_ms)
{
  gint64 until_us = g_get_real_time () + wait_ms * 1000;
  struct timespec until = { .tv_sec = until_us / G_USEC_PER_SEC,
                            .tv_nsec = until_us % G_USEC_PER_SEC * 1000 };

  while (store->revision <= after
         && pthread_cond_timedwait (&store->changed, &store->lock, &until)
                == 0)
    ;
}

static bool
answer_watch (struct store *store, int fd, const char *head)
{
  char *prefix = parameter (head, "prefix");
  uint64_t after = (uint64_t)query_number (head, "after", 0);
  GString *text = g_string_new ("{\"events\":[");
  unsigned count = 0;
  uint64_t at;
  bool sent;

  pthread_mutex_lock (&store->lock);
  wait_for_change (store, after, query_number (head, "waitMs", 0));
  for (unsigned i = 0; i < store->changes->len; i++)
    {
      const struct change *change = store->changes->pdata[i];

      if (change->revision <= after
          || !g_str_has_prefix (change->key, prefix == NULL ? "" : prefix))
        continue;
      if (count++ > 0)
        g_string_append_c (text, ',');
      append_change (text, change);
    }
  at = MAX (after, store->revision);
  pthread_mutex_unlock (&store->lock);
  g_string_append_printf (text, "],\"at\":%" G_GUINT64_FORMAT "}", at);
  sent = respond (fd, "200 OK", text->str);
  g_string_free (text, TRUE);
  g_free (prefix);
  return sent;
}

static bool
answer_call (struct store *store, int fd, const char *head)
{
  if (g_str_has_prefix (head, "GET /cornelpick/kv-range"))
    return answer_range (store, fd, head);
  if (g_str_has_prefix (head, "GET /cornelpick/kv-watch"))
    return answer_watch (store, fd, head);
  return respond (fd, "404 Not Found", "{}");
}

static void *
serve (void *context)
{
  struct visit *visit = context;
  char *head;
  bool open = true;

  while (open && (head = read_head (&visit->input)) != NULL)
    {
      open = answer_call (visit->store, visit->input.fd, head);
      g_free (head);
    }
  close (visit->input.fd);
  g_free (visit);
  return NULL;
}

static void *
accept_all (void *context)
{
  struct store *store = context;
  int fd;

  while ((fd = accept4 (store->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
    {
      struct visit *visit = g_new0 (struct visit, 1);

      visit->store = store;
      visit->input.fd = fd;
      start_thread (serve, visit);
    }
  return NULL;
}

struct store *
store_start (const char *ip, unsigned page_items)
{
  struct store *store = g_new0 (struct store, 1);

  store->page_items = page_items;
  store->revision = 1;
  store->changes = g_ptr_array_new ();
  pthread_mutex_init (&store->lock, NULL);
  pthread_cond_init (&store->changed, NULL);
  store->listener = open_listener (ip, PORT_STORE);
  start_thread (accept_all, store);
  return store;
}

static void
add_change (struct store *store, const char *key, const char *value)
{
  struct change *change = g_new0 (struct change, 1);

  pthread_mutex_lock (&store->lock);
  *change = (struct change){ .key = g_strdup (key),
                             .value = g_strdup (value),
                             .revision = ++store->revision,
                             .at_ms = now_ms () };
  g_ptr_array_add (store->changes, change);
  pthread_cond_broadcast (&store->changed);
  pthread_mutex_unlock (&store->lock);
}

void
store_put (struct store *store, const char *key, const char *value)
{
  add_change (store, key, value);
}

void
store_remove (struct store *store, const char *key)
{
  add_change (store, key, NULL);
  note ("store acknowledges that %s is gone, revision %" G_GUINT64_FORMAT, key,
        store->revision);
}

void
store_set_stale (struct store *store, int64_t ms)
{
  pthread_mutex_lock (&store->lock);
  store->stale_ms = ms;
  pthread_mutex_unlock (&store->lock);
}

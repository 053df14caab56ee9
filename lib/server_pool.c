#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "lib/server_pool.h"

static void
server_free (struct cp_server *server)
{
  const struct cp_server_pool *pool = server->pool;

  pool->events->released (pool->context, server->user_data);
  g_free (server->instance);
  g_free (server->service);
  g_free (server);
}

struct cp_server *
cp_server_ref (struct cp_server *server)
{
  server->references++;
  return server;
}

void
cp_server_unref (struct cp_server *server)
{
  if (server != NULL && --server->references == 0)
    server_free (server);
}

static struct cp_server_group *
group_create (void)
{
  struct cp_server_group *group = g_new (struct cp_server_group, 1);

  group->own = g_ptr_array_new ();
  group->others = g_ptr_array_new ();
  return group;
}

static void
group_free (void *value)
{
  struct cp_server_group *group = value;

  g_ptr_array_unref (group->own);
  g_ptr_array_unref (group->others);
  g_free (group);
}

void
cp_server_pool_init (struct cp_server_pool *pool, const char *domain,
                     const char *self,
                     const struct cp_server_pool_events *events, void *context)
{
  *pool = (struct cp_server_pool){ .seed = XXH3_64bits (self, strlen (self)),
                                   .events = events,
                                   .context = context };
  cp_domains_init (&pool->domains, domain);
  pool->by_instance = g_hash_table_new (g_str_hash, g_str_equal);
  pool->by_id = g_hash_table_new (g_int64_hash, g_int64_equal);
  pool->by_service
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, group_free);
  pool->by_address = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                            (GDestroyNotify)g_ptr_array_unref);
}

static void
index_by_address (struct cp_server_pool *pool, struct cp_server *server)
{
  GPtrArray *servers
      = g_hash_table_lookup (pool->by_address, server->address.text);

  if (servers == NULL)
    {
      servers = g_ptr_array_new ();
      g_hash_table_insert (pool->by_address, g_strdup (server->address.text),
                           servers);
    }
  g_ptr_array_add (servers, server);
}

struct cp_server_group *
cp_server_pool_group (const struct cp_server_pool *pool, const char *service)
{
  return g_hash_table_lookup (pool->by_service, service);
}

static GPtrArray *
servers_beside (struct cp_server_group *group, const struct cp_server *server)
{
  return server->same_domain ? group->own : group->others;
}

static void
index_by_service (struct cp_server_pool *pool, struct cp_server *server)
{
  struct cp_server_group *group = cp_server_pool_group (pool, server->service);

  if (group == NULL)
    {
      group = group_create ();
      g_hash_table_insert (pool->by_service, g_strdup (server->service),
                           group);
    }
  g_ptr_array_add (servers_beside (group, server), server);
}

/* Recomputes which servers at ADDRESS have been superseded by one with a later
   start time.  The start time of a replaced server supersedes no other:
   another instance answers at the address, so the time was taken from another
   clock.  */
static void
mark_superseded (const struct cp_server_pool *pool, const char *address)
{
  GPtrArray *servers = g_hash_table_lookup (pool->by_address, address);
  uint64_t last_born_ms = 0;

  for (unsigned i = 0; i < servers->len; i++)
    {
      const struct cp_server *server = servers->pdata[i];

      if (!server->replaced)
        last_born_ms = MAX (last_born_ms, server->born_ms);
    }
  for (unsigned i = 0; i < servers->len; i++)
    {
      struct cp_server *server = servers->pdata[i];

      server->superseded
          = server->born_ms != 0 && server->born_ms < last_born_ms;
    }
}

static void
remove_from_address (struct cp_server_pool *pool, struct cp_server *server)
{
  GPtrArray *servers
      = g_hash_table_lookup (pool->by_address, server->address.text);

  g_ptr_array_remove_fast (servers, server);
  if (servers->len > 0)
    mark_superseded (pool, server->address.text);
  else
    g_hash_table_remove (pool->by_address, server->address.text);
}

static void
remove_server (struct cp_server_pool *pool, struct cp_server *server)
{
  struct cp_server_group *group = cp_server_pool_group (pool, server->service);

  g_hash_table_remove (pool->by_instance, server->instance);
  g_hash_table_remove (pool->by_id, &server->id);
  g_ptr_array_remove_fast (servers_beside (group, server), server);
  remove_from_address (pool, server);
  pool->events->removed (pool->context, server);
  cp_server_unref (server);
}

void
cp_server_pool_finish (struct cp_server_pool *pool)
{
  GHashTableIter iter;
  void *value;

  for (;;)
    {
      g_hash_table_iter_init (&iter, pool->by_instance);
      if (!g_hash_table_iter_next (&iter, NULL, &value))
        break;
      remove_server (pool, value);
    }
  g_hash_table_unref (pool->by_instance);
  g_hash_table_unref (pool->by_id);
  g_hash_table_unref (pool->by_service);
  g_hash_table_unref (pool->by_address);
  cp_domains_finish (&pool->domains);
}

static bool
same_incarnation (const struct cp_server *server,
                  const struct cp_server_entry *entry)
{
  return server->born_ms == entry->born_ms
         && strcmp (server->service, entry->service) == 0
         && strcmp (server->address.text, entry->address.text) == 0;
}

static struct cp_server *
add_server (struct cp_server_pool *pool, const struct cp_server_entry *entry)
{
  struct cp_server *server = g_new0 (struct cp_server, 1);

  server->references = 1;
  server->pool = pool;
  server->instance = g_strdup (entry->instance);
  server->id = cp_server_id (entry->instance);
  server->service = g_strdup (entry->service);
  server->domain = cp_domains_get (&pool->domains, entry->domain);
  server->same_domain = server->domain == pool->domains.own;
  server->address = entry->address;
  server->born_ms = entry->born_ms;
  server->rank = XXH3_64bits_withSeed (server->instance,
                                       strlen (server->instance), pool->seed);
  server->load.slowness_percent = CP_SLOWNESS_NORMAL_PERCENT;
  index_by_service (pool, server);
  index_by_address (pool, server);
  g_hash_table_insert (pool->by_instance, server->instance, server);
  g_hash_table_insert (pool->by_id, &server->id, server);
  return server;
}

/* An entry that does not give the remaining time leaves what is known.  */
static void
set_warm_up (struct cp_server *server, const struct cp_server_entry *entry,
             uint64_t now_us, bool is_new)
{
  if (entry->warm_up_unknown)
    {
      server->warm_up_unknown = server->warm_up_unknown || is_new;
      return;
    }
  server->warm_up_unknown = false;
  server->warm_until_us
      = entry->warm_up_us == 0 ? 0 : now_us + entry->warm_up_us;
}

void
cp_server_pool_update (struct cp_server_pool *pool,
                       const struct cp_server_entry *entry, uint64_t now_us)
{
  struct cp_server *server = cp_server_pool_find (pool, entry->instance);
  bool is_new = false;

  if (server != NULL && !same_incarnation (server, entry))
    {
      remove_server (pool, server);
      server = NULL;
    }
  if (server == NULL)
    {
      server = add_server (pool, entry);
      is_new = true;
    }
  server->capacity = entry->capacity;
  server->draining = entry->draining;
  server->replaced = false;
  server->kept_until_us = 0;
  set_warm_up (server, entry, now_us, is_new);
  mark_superseded (pool, server->address.text);
  if (is_new)
    pool->events->added (pool->context, server);
}

void
cp_server_pool_remove (struct cp_server_pool *pool, const char *instance,
                       uint64_t keep_until_us)
{
  struct cp_server *server = cp_server_pool_find (pool, instance);

  if (server == NULL)
    return;
  if (keep_until_us == 0)
    remove_server (pool, server);
  else if (server->kept_until_us == 0)
    server->kept_until_us = keep_until_us;
}

void
cp_server_pool_mark_replaced (struct cp_server_pool *pool,
                              struct cp_server *server)
{
  server->replaced = true;
  /* SERVER may have left the pool since the request was sent.  */
  if (cp_server_pool_find (pool, server->instance) == server)
    mark_superseded (pool, server->address.text);
}

bool
cp_server_pool_expire (struct cp_server_pool *pool, uint64_t now_us)
{
  GHashTableIter iter;
  void *value;
  bool found = true;
  bool removed = false;

  while (found)
    {
      found = false;
      g_hash_table_iter_init (&iter, pool->by_instance);
      while (!found && g_hash_table_iter_next (&iter, NULL, &value))
        {
          struct cp_server *server = value;

          found
              = server->kept_until_us != 0 && server->kept_until_us <= now_us;
          if (found)
            remove_server (pool, server);
        }
      removed = removed || found;
    }
  return removed;
}

struct cp_server *
cp_server_pool_find (const struct cp_server_pool *pool, const char *instance)
{
  return g_hash_table_lookup (pool->by_instance, instance);
}

struct cp_server *
cp_server_pool_find_at (const struct cp_server_pool *pool, const char *address)
{
  GPtrArray *servers = g_hash_table_lookup (pool->by_address, address);
  struct cp_server *found = NULL;

  for (unsigned i = 0; servers != NULL && i < servers->len; i++)
    {
      struct cp_server *server = servers->pdata[i];

      if (!server->superseded
          && (found == NULL || found->draining
              || (!server->draining && server->born_ms > found->born_ms)))
        found = server;
    }
  return found;
}

uint64_t
cp_server_id (const char *instance)
{
  return XXH3_64bits (instance, strlen (instance));
}

struct cp_server *
cp_server_pool_find_id (const struct cp_server_pool *pool, uint64_t id)
{
  return g_hash_table_lookup (pool->by_id, &id);
}

unsigned
cp_server_pool_count (const struct cp_server_pool *pool)
{
  return g_hash_table_size (pool->by_instance);
}

unsigned
cp_server_pool_count_in (const struct cp_server_pool *pool,
                         const struct cp_domain *domain)
{
  GHashTableIter iter;
  void *value;
  unsigned count = 0;

  g_hash_table_iter_init (&iter, pool->by_instance);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += ((const struct cp_server *)value)->domain == domain;
  return count;
}

void
cp_server_set_load (struct cp_server *server,
                    const struct cp_server_load *load, uint64_t now_us)
{
  server->load = *load;
  server->load_us = now_us;
  server->said_leaving = server->said_leaving || load->leaving;
  server->sent_since = 0;
}

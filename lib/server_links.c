/* The servers to whose daemons links are kept.  */
#include "lib/server_pool.h"

/* Usable servers of each service in other failure domains to which links are
   kept.  Any five of them are compared for a request; with eight, a third may
   be lost at once.  */
#define LINKS_PER_SERVICE 8

/* Returns whether SERVER may be sent requests, or will be when its link is
   up.  */
static bool
is_usable (const struct cp_server *server)
{
  return !server->draining && !server->leaving && !server->replaced
         && !server->superseded && !server->link_failed;
}

static void
set_linked (const struct cp_server_pool *pool, struct cp_server *server,
            bool linked)
{
  /* A link stays while attempts there are open.  */
  if (linked == server->linked || (!linked && server->own_in_flight > 0))
    return;
  server->linked = linked;
  if (linked)
    pool->events->linked (pool->context, server);
  else
    pool->events->unlinked (pool->context, server);
}

static gint
compare_ranks (gconstpointer a, gconstpointer b)
{
  const struct cp_server *first = *(struct cp_server *const *)a;
  const struct cp_server *second = *(struct cp_server *const *)b;

  return first->rank < second->rank ? 1 : first->rank > second->rank ? -1 : 0;
}

static void
update_group (const struct cp_server_pool *pool,
              const struct cp_server_group *group)
{
  unsigned usable = 0;

  for (unsigned i = 0; i < group->own->len; i++)
    set_linked (pool, group->own->pdata[i], true);
  g_ptr_array_sort (group->others, compare_ranks);
  for (unsigned i = 0; i < group->others->len; i++)
    {
      struct cp_server *server = group->others->pdata[i];

      set_linked (pool, server, usable < LINKS_PER_SERVICE);
      usable += is_usable (server);
    }
}

void
cp_server_pool_update_links (const struct cp_server_pool *pool)
{
  GHashTableIter iter;
  void *group;

  g_hash_table_iter_init (&iter, pool->by_service);
  while (g_hash_table_iter_next (&iter, NULL, &group))
    update_group (pool, group);
}

/* The servers to whose daemons links are kept.  */
#include "lib/server_pool.h"

/* Usable servers of each service in other failure domains to which links are
   kept.  Any five of them are compared for a request; with eight, a third may
   be lost at once.  */
#define LINKS_PER_SERVICE 8

/* The same in each region, if regions are known.  With the eight above alone,
   a route that allows one of three regions would find none of its servers
   linked at one daemon in 25; with four, a third may be lost at once.  */
#define LINKS_PER_REGION 4

bool
cp_server_is_usable (const struct cp_server *server)
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

/* Returns whether the region of SERVER has fewer links than it needs.  */
static bool
region_needs_links (const struct cp_server *server)
{
  const struct cp_region *region = server->domain->region;

  return region != NULL && region->usable < LINKS_PER_REGION;
}

static void
reset_regions (const struct cp_server_pool *pool)
{
  GHashTableIter iter;
  void *region;

  g_hash_table_iter_init (&iter, pool->domains.regions);
  while (g_hash_table_iter_next (&iter, NULL, &region))
    ((struct cp_region *)region)->usable = 0;
}

/* Servers of an evacuated domain may keep their links, since attempts may run
   there and the domain may come back, but others are linked in their place. */
static void
update_group (const struct cp_server_pool *pool,
              const struct cp_server_group *group)
{
  unsigned usable = 0;

  for (unsigned i = 0; i < group->own->len; i++)
    set_linked (pool, group->own->pdata[i], true);
  reset_regions (pool);
  g_ptr_array_sort (group->others, compare_ranks);
  for (unsigned i = 0; i < group->others->len; i++)
    {
      struct cp_server *server = group->others->pdata[i];

      set_linked (pool, server,
                  usable < LINKS_PER_SERVICE || region_needs_links (server));
      if (!cp_server_is_usable (server) || server->domain->evacuated)
        continue;
      usable++;
      if (server->domain->region != NULL)
        server->domain->region->usable++;
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

#include <string.h>

#include "lib/cleanup.h"
#include "lib/route_index.h"

/* Longer than any host and path that the checks of a document accept.  */
#define KEY_BYTES 520
#define HOST_BYTES_MAX 253
#define PATH_BYTES_MAX 255

/* Routes with the same host and path but different methods.  */
struct bucket
{
  unsigned count;
  const struct cp_route *routes[7];
};

static void
add_route (GHashTable *index, const struct cp_route *route)
{
  CP_AUTO_FREE char *key = g_strconcat (route->host, route->path, NULL);
  struct bucket *bucket = g_hash_table_lookup (index, key);

  if (bucket == NULL)
    {
      bucket = g_new0 (struct bucket, 1);
      g_hash_table_insert (index, g_strdup (key), bucket);
    }
  if (bucket->count < G_N_ELEMENTS (bucket->routes))
    bucket->routes[bucket->count++] = route;
}

GHashTable *
cp_route_index_create (const struct cp_document *document)
{
  GHashTable *index
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);

  for (unsigned s = 0; s < document->n_services; s++)
    for (unsigned r = 0; r < document->services[s].n_routes; r++)
      add_route (index, &document->services[s].routes[r]);
  return index;
}

/* Writes HOST to KEY in lower case and without its port.  Returns its length,
   or 0 when it is too long.  */
static size_t
copy_host (const char *host, char *key)
{
  size_t length = strcspn (host, ":");

  if (length > HOST_BYTES_MAX)
    return 0;
  for (size_t i = 0; i < length; i++)
    key[i] = g_ascii_tolower (host[i]);
  return length;
}

static const struct cp_route *
route_with_method (const struct bucket *bucket, unsigned method)
{
  for (unsigned i = 0; i < bucket->count; i++)
    if ((bucket->routes[i]->methods & method) != 0)
      return bucket->routes[i];
  return NULL;
}

const struct cp_route *
cp_document_route (const struct cp_document *document, const char *host,
                   const char *path, unsigned method, bool *known_path)
{
  char key[KEY_BYTES];
  size_t host_length = copy_host (host, key);
  size_t length = strlen (path);

  *known_path = false;
  if (host_length == 0)
    return NULL;
  length = MIN (length, PATH_BYTES_MAX + 1);
  memcpy (key + host_length, path, length);
  while (length > 0)
    {
      const struct bucket *bucket;
      const struct cp_route *route = NULL;

      key[host_length + length] = '\0';
      bucket = g_hash_table_lookup (document->routes, key);
      if (bucket != NULL)
        {
          *known_path = true;
          route = route_with_method (bucket, method);
        }
      if (route != NULL)
        return route;
      /* Shorten to the next prefix that ends in "/".  */
      length--;
      while (length > 0 && key[host_length + length - 1] != '/')
        length--;
    }
  return NULL;
}

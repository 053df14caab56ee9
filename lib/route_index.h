/* Lookup of the route of a call.

   Routes are indexed by host and path in a hash table.  A lookup tries the
   path itself, then each shorter prefix that ends in "/", so that its cost
   depends on the length of the longest route, not on the number of routes.  */
#ifndef CP_ROUTE_INDEX_H
#define CP_ROUTE_INDEX_H

#include <glib.h>

#include "lib/document.h"

/* Creates the index of a document's routes; the caller destroys it.  */
GHashTable *cp_route_index_create (const struct cp_document *document);

#endif

/* Lookup of the route for a call.

   Routes are kept in a hash table by host and path.  A lookup tries the path
   itself, then each shorter prefix that ends in "/", so that its cost grows
   with the length of the longest route and not with their number.  */
#ifndef CP_ROUTE_INDEX_H
#define CP_ROUTE_INDEX_H

#include <glib.h>

#include "lib/document.h"

/* Returns the index of a document's routes, which the caller destroys.  */
GHashTable *cp_route_index_create (const struct cp_document *document);

#endif

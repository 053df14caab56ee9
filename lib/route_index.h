/* Lookup of the route for a call.

   Routes are kept in a hash table by host and path.  A lookup tries the path
   itself, then each shorter prefix that ends in "/", so that its cost grows
   with the length of the longest route and not with their number.  */
#ifndef CP_ROUTES_H
#define CP_ROUTES_H

#include <glib.h>

#include "lib/document.h"

/* Returns the index of a document's routes, which the caller destroys.  */
GHashTable *cp_routes_index (const struct cp_document *document);

#endif

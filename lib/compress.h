/* Values made smaller for links of a few Mbit/s.

   The form is that of zlib (RFC 1950), with its fastest setting: JSON shrinks
   to a tenth, and a machine with a tenth of a core packs 250 kB in some tens
   of milliseconds.  Thread-safe.  */
#ifndef CP_COMPRESS_H
#define CP_COMPRESS_H

#include <glib.h>
#include <stddef.h>

#include "lib/error.h"

/* Returns VALUE packed, or NULL when that saves nothing or memory is short; a
   caller then goes on with the value as it is.  */
GBytes *cp_compress (const void *value, size_t length);

/* Unpacks PACKED, which must give LENGTH bytes.  PLACE names the value in
   ERROR.  Returns the value, or NULL with ERROR set.  */
GBytes *cp_decompress (const void *compressed, size_t compressed_length,
                       size_t length, const char *place,
                       struct cp_error *error);

#endif

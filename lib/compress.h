/* Compression of values that are sent over links of a few Mbit/s.

   Uses the zlib format (RFC 1950) at the fastest level, which compresses JSON
   to a tenth; with a tenth of a core, 250 kB take some tens of milliseconds.
   Thread-safe.  */
#ifndef CP_COMPRESS_H
#define CP_COMPRESS_H

#include <glib.h>
#include <stddef.h>

#include "lib/error.h"

/* Returns VALUE compressed, or NULL when that saves no space or zlib runs out
   of memory; the caller then uses the value uncompressed.  */
GBytes *cp_compress (const void *value, size_t length);

/* Decompresses COMPRESSED, whose value must have LENGTH bytes.  PLACE is the
   name of the value in ERROR.  Returns the value, or NULL with ERROR set.  */
GBytes *cp_decompress (const void *compressed, size_t compressed_length,
                       size_t length, const char *place,
                       struct cp_error *error);

#endif

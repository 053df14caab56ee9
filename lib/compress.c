#include <zlib.h>

#include "lib/cleanup.h"
#include "lib/compress.h"

GBytes *
cp_compress (const void *value, size_t length)
{
  uLong bound = compressBound ((uLong)length);
  CP_AUTO_FREE unsigned char *compressed = g_malloc (bound);

  if (compress2 (compressed, &bound, value, (uLong)length, Z_BEST_SPEED)
          != Z_OK
      || bound >= length)
    return NULL;
  return g_bytes_new (compressed, bound);
}

GBytes *
cp_decompress (const void *compressed, size_t compressed_length, size_t length,
               const char *place, struct cp_error *error)
{
  CP_AUTO_FREE unsigned char *value = g_malloc (length);
  uLong found = (uLong)length;
  int status
      = uncompress (value, &found, compressed, (uLong)compressed_length);

  if (status == Z_OK && found == length)
    return g_bytes_new_take (g_steal_pointer (&value), length);
  cp_error_set (error, CP_ERROR_PROTOCOL, place,
                "the daemon requests it again; if this recurs, compare the "
                "versions of the daemons",
                "the compressed value cannot be decompressed: %s, %lu of %zu "
                "bytes",
                status == Z_OK ? "too short" : zError (status), found, length);
  return NULL;
}

#include <string.h>
#include <xxhash.h>

#include "lib/request_digest.h"

/* Adds TEXT and its final null, so that parts cannot run into each other.  */
static uint64_t
add_text (uint64_t digest, const char *text)
{
  if (text == NULL)
    text = "";
  return XXH3_64bits_withSeed (text, strlen (text) + 1, digest);
}

uint64_t
cp_request_digest (const struct cp_request_content *content)
{
  uint64_t digest = 0;

  digest = add_text (digest, content->method);
  digest = add_text (digest, content->host);
  digest = add_text (digest, content->target);
  digest = add_text (digest, content->caller);
  return XXH3_64bits_withSeed (content->body, content->body_bytes, digest);
}

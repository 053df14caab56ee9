/* Digest of what a request asks for, the same at every daemon and for every
   repetition by its caller: method, host, target, calling service and body.
   Request ID and deadline are left out.  */
#ifndef CP_REQUEST_DIGEST_H
#define CP_REQUEST_DIGEST_H

#include <stddef.h>
#include <stdint.h>

struct cp_request_content
{
  const char *method;
  const char *host; /* NULL for none */
  const char *target;
  const char *caller; /* calling service; NULL for none */
  const void *body;
  size_t body_bytes;
};

uint64_t cp_request_digest (const struct cp_request_content *content);

#endif

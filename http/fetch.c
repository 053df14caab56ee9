#include "http/http.h"

/* An answer that is being read.  */
struct fetch
{
  GString *body;
  size_t size_max;
  int status;
};

static bool
on_head (void *context, const struct upstream_head *head)
{
  struct fetch *fetch = context;

  fetch->status = head->status;
  return head->length <= (int64_t)fetch->size_max;
}

static bool
on_body (void *context, const char *data, size_t size)
{
  struct fetch *fetch = context;

  if (fetch->body->len + size > fetch->size_max)
    return false;
  g_string_append_len (fetch->body, data, (gssize)size);
  return true;
}

int
upstream_get (struct upstream_pool *pool, const struct cp_address *address,
              const char *path, size_t size_max, uint64_t timeout_us,
              GString *body)
{
  struct fetch fetch = { .body = body, .size_max = size_max };
  struct upstream_call call
      = { .address = address,
          .method = "GET",
          .path = path,
          .deadline_us = cp_clock_now_us (pool->clock) + timeout_us,
          .caller_fd = -1,
          .background = true,
          .context = &fetch,
          .on_head = on_head,
          .on_body = on_body };

  g_string_truncate (body, 0);
  if (upstream_perform (pool, &call) != UPSTREAM_COMPLETE)
    return 0;
  return fetch.status;
}

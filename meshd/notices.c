/* What the local server says of itself in its answers: its load, and the
   limits that it names.  */
#include "meshd/inbound_internal.h"
#include "meshd/log.h"

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

static void
log_slowness_change (const struct mesh_inbound *inbound, unsigned percent)
{
  if (mesh_log_allowed (MESH_LOG_LOAD))
    mesh_log (MESH_LOG_LOAD,
              "\"server\":\"%s\",\"was\":%u,\"slowness\":%u,"
              "\"running\":%u,\"queued\":%u,\"limit\":%u",
              inbound->instance, inbound->slowness_percent, percent,
              inbound->queue.running, inbound->queue.queued,
              inbound->queue.limit);
}

static void
receive_load (struct mesh_inbound *inbound,
              const struct platform_response *headers)
{
  if (!headers->has_load)
    return;
  inbound->slowness_read_us = now_us ();
  if (inbound->slowness_percent != headers->slowness_percent)
    {
      log_slowness_change (inbound, headers->slowness_percent);
      inbound->slowness_percent = headers->slowness_percent;
      mesh_inbound_report_load (inbound);
    }
  if (inbound->capacity == 0 && headers->slots > 0)
    {
      inbound->capacity = headers->slots;
      cp_job_queue_set_capacity (&inbound->queue, headers->slots);
    }
}

static void
log_rate_limit (const struct mesh_inbound *inbound)
{
  char text[G_ASCII_DTOSTR_BUF_SIZE] = "null";

  if (!mesh_log_allowed (MESH_LOG_RATE_LIMIT))
    return;
  if (inbound->has_rate_limit)
    g_ascii_formatd (text, sizeof text, "%g", inbound->requests_per_s);
  mesh_log (MESH_LOG_RATE_LIMIT,
            "\"server\":\"%s\",\"per_s\":%s,\"admitted\":%" G_GUINT64_FORMAT,
            inbound->instance, text, inbound->counts.admitted);
}

static void
receive_rate_limit (struct mesh_inbound *inbound,
                    const struct platform_response *headers)
{
  if (inbound->has_rate_limit == headers->has_rate_limit
      && inbound->requests_per_s == headers->requests_per_s)
    return;
  inbound->has_rate_limit = headers->has_rate_limit;
  inbound->requests_per_s = headers->requests_per_s;
  log_rate_limit (inbound);
}

void
mesh_inbound_receive_notices (struct mesh_inbound *inbound,
                              const struct platform_response *headers)
{
  receive_load (inbound, headers);
  receive_rate_limit (inbound, headers);
}

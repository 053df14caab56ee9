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
  if (inbound->queue.rate.active)
    g_ascii_formatd (text, sizeof text, "%g", inbound->queue.rate.per_s);
  mesh_log (MESH_LOG_RATE_LIMIT,
            "\"server\":\"%s\",\"per_s\":%s,\"admitted\":%" G_GUINT64_FORMAT,
            inbound->instance, text, inbound->counts.admitted);
}

static void
set_rate_limit (struct mesh_inbound *inbound, double per_s)
{
  struct cp_rate_limit *rate = &inbound->queue.rate;
  bool changed = !rate->active || rate->per_s != per_s;

  inbound->rate_named_us = now_us ();
  if (!changed)
    return;
  cp_rate_limit_set (rate, per_s, now_us ());
  log_rate_limit (inbound);
}

static void
lift_rate_limit (struct mesh_inbound *inbound)
{
  if (!inbound->queue.rate.active)
    return;
  cp_rate_limit_lift (&inbound->queue.rate);
  log_rate_limit (inbound);
}

static void
receive_leaving (struct mesh_inbound *inbound)
{
  if (inbound->server_leaving)
    return;
  inbound->server_leaving = true;
  if (mesh_log_allowed (MESH_LOG_LEAVING))
    mesh_log (MESH_LOG_LEAVING, "\"server\":\"%s\",\"running\":%u",
              inbound->instance, inbound->queue.running);
  inbound->events->leaving (inbound->context);
  mesh_inbound_report_load (inbound);
}

void
mesh_inbound_receive_notices (struct mesh_inbound *inbound,
                              const struct platform_response *headers,
                              uint64_t sent_us)
{
  receive_load (inbound, headers);
  if (headers->has_rate_limit)
    set_rate_limit (inbound, headers->requests_per_s);
  /* An answer to an earlier request may have overtaken the one that named the
     limit.  */
  else if (sent_us > inbound->rate_named_us)
    lift_rate_limit (inbound);
  if (headers->leaving)
    receive_leaving (inbound);
  inbound->queue.unproved = false;
  mesh_inbound_start_queued (inbound);
}

void
mesh_inbound_forget_notices (struct mesh_inbound *inbound)
{
  lift_rate_limit (inbound);
  inbound->server_leaving = false;
}

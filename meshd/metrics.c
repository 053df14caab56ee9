/* Counters, gauges and histograms in the Prometheus text format.  */
#include "lib/counter.h"
#include "meshd/daemon.h"

/* Buckets of the latency histogram, as powers of two in microseconds: 1 ms to
   17 s.  */
#define BUCKET_FIRST 10
#define BUCKET_LAST 24

static void
write_counter (GString *text, const char *name, uint64_t value)
{
  g_string_append_printf (
      text,
      "# TYPE cornelpick_%s counter\ncornelpick_%s %" G_GUINT64_FORMAT "\n",
      name, name, value);
}

static void
write_gauge (GString *text, const char *name, uint64_t value)
{
  g_string_append_printf (
      text,
      "# TYPE cornelpick_%s gauge\ncornelpick_%s %" G_GUINT64_FORMAT "\n",
      name, name, value);
}

static void
write_rate_limit (GString *text, const struct mesh_inbound *inbound)
{
  char limit[G_ASCII_DTOSTR_BUF_SIZE] = "+Inf";

  if (inbound->queue.rate.active)
    g_ascii_formatd (limit, sizeof limit, "%g", inbound->queue.rate.per_s);
  g_string_append_printf (text,
                          "# TYPE cornelpick_server_requests_per_s_limit gauge"
                          "\ncornelpick_server_requests_per_s_limit %s\n",
                          limit);
}

static void
write_counter_by_reason (GString *text, const char *name,
                         const uint64_t counts[MESH_REASON_COUNT])
{
  g_string_append_printf (text, "# TYPE cornelpick_%s counter\n", name);
  for (unsigned i = 1; i < MESH_REASON_COUNT; i++)
    g_string_append_printf (
        text, "cornelpick_%s{reason=\"%s\"} %" G_GUINT64_FORMAT "\n", name,
        mesh_reason_names[i], counts[i]);
}

static void
write_counter_by_priority (GString *text, const char *name,
                           const uint64_t counts[CP_JOB_QUEUE_PRIORITIES])
{
  g_string_append_printf (text, "# TYPE cornelpick_%s counter\n", name);
  for (unsigned i = 0; i < CP_JOB_QUEUE_PRIORITIES; i++)
    g_string_append_printf (
        text, "cornelpick_%s{priority=\"%u\"} %" G_GUINT64_FORMAT "\n", name,
        i, counts[i]);
}

static void
write_latency (GString *text, const struct cp_histogram *histogram)
{
  static const char name[] = "cornelpick_call_latency_seconds";

  g_string_append_printf (text, "# TYPE %s histogram\n", name);
  for (unsigned i = BUCKET_FIRST; i <= BUCKET_LAST; i++)
    g_string_append_printf (text,
                            "%s_bucket{le=\"%g\"} %" G_GUINT64_FORMAT "\n",
                            name, (double)(UINT64_C (1) << i) / 1e6,
                            cp_histogram_count_below (histogram, i));
  g_string_append_printf (text,
                          "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT
                          "\n%s_sum %g\n"
                          "%s_count %" G_GUINT64_FORMAT "\n",
                          name, cp_histogram_count (histogram), name,
                          (double)cp_histogram_sum_us (histogram) / 1e6, name,
                          cp_histogram_count (histogram));
}

static void
write_loop (const struct mesh_daemon *daemon, GString *text)
{
  write_counter (text, "loop_stalls_total", daemon->stalls);
  write_gauge (text, "loop_longest_stall_us", daemon->longest_stall_us);
}

static void
write_outbound (const struct mesh_outbound *outbound, GString *text)
{
  const struct mesh_outbound_counts *counts = &outbound->counts;

  write_counter (text, "calls_total", counts->calls);
  write_counter (text, "calls_answered_total", counts->answered);
  write_counter (text, "calls_refused_total", counts->refused);
  write_counter_by_reason (text, "calls_refused_by_reason_total",
                           counts->refused_by_reason);
  write_counter (text, "calls_failed_total", counts->failed);
  write_counter (text, "calls_timed_out_total", counts->timed_out);
  write_counter (text, "calls_abandoned_total", counts->abandoned);
  write_counter (text, "attempts_total", counts->attempts);
  write_counter (text, "repeats_total", counts->repeats);
  write_counter (text, "hedges_total", counts->hedges);
  write_counter (text, "repeats_over_budget_total", counts->no_budget);
  write_counter (text, "calls_no_room_total", counts->no_room);
  write_counter (text, "calls_sent_to_full_service_total",
                 counts->room_probes);
  write_counter (text, "repeats_stopped_total", counts->stopped);
  write_counter (text, "repeat_calls_total", counts->repeat_calls);
  write_counter (text, "repeat_calls_over_budget_total",
                 counts->repeat_calls_no_budget);
  write_gauge (text, "calls_open", outbound->server.n_exchanges);
  write_gauge (text, "call_connections", outbound->server.n_connections);
  write_gauge (text, "call_body_bytes", outbound->server.body_budget.used);
  write_latency (text, outbound->latency);
}

static void
write_inbound (const struct mesh_inbound *inbound, GString *text)
{
  const struct mesh_inbound_counts *counts = &inbound->counts;
  uint64_t now = cp_clock_now_us (&cp_clock_boot);

  write_counter (text, "jobs_admitted_total", counts->admitted);
  write_counter (text, "jobs_answered_total", counts->answered);
  write_counter_by_reason (text, "jobs_refused_total", counts->refused);
  write_counter_by_priority (text, "jobs_refused_by_priority_total",
                             counts->refused_by_priority);
  write_counter_by_priority (text, "jobs_overtaken_by_priority_total",
                             counts->overtaken_by_priority);
  write_counter_by_reason (text, "jobs_failed_total", counts->failed);
  write_counter (text, "server_connections_total", counts->connections);
  write_counter (text, "server_probes_total", counts->probes);
  write_gauge (text, "jobs_running", inbound->queue.running);
  write_gauge (text, "jobs_queued", inbound->queue.queued);
  write_gauge (text, "jobs_limit", inbound->queue.limit);
  write_gauge (text, "server_slowness_percent", inbound->slowness_percent);
  write_gauge (text, "server_down", mesh_inbound_is_down (inbound));
  write_gauge (text, "server_cold_ms",
               cp_warm_up_left_us (&inbound->queue.warm_up, now)
                   / CP_US_PER_MS);
  write_gauge (text, "server_starts_in_last_s",
               cp_warm_up_starts (&inbound->queue.warm_up, now));
  write_rate_limit (text, inbound);
}

static void
write_traffic_counter (GString *text, const char *name,
                       const uint64_t counts[MESH_MESSAGE_KINDS][2])
{
  static const char *const receivers[2] = { "other", "same" };

  g_string_append_printf (text, "# TYPE cornelpick_%s counter\n", name);
  for (unsigned kind = CP_PEER_HELLO; kind < MESH_MESSAGE_KINDS; kind++)
    for (unsigned i = 0; i < G_N_ELEMENTS (receivers); i++)
      g_string_append_printf (
          text,
          "cornelpick_%s{kind=\"%s\",domain=\"%s\"} %" G_GUINT64_FORMAT "\n",
          name, mesh_message_names[kind], receivers[i], counts[kind][i]);
}

static void
write_traffic (const struct mesh_traffic *traffic, GString *text)
{
  write_traffic_counter (text, "peer_sent_bytes_total", traffic->bytes);
  write_traffic_counter (text, "peer_sent_messages_total", traffic->messages);
}

/* Writes the faults of the configuration in effect.  */
static void
write_faults (const struct platform_registry *registry, GString *text)
{
  g_string_append (text, "# TYPE cornelpick_config_faults gauge\n");
  for (unsigned i = 0; i < CP_TABLE_FAULT_EFFECTS; i++)
    g_string_append_printf (
        text, "cornelpick_config_faults{effect=\"%s\"} %u\n",
        cp_table_fault_effect_names[i],
        registry->table == NULL ? 0 : registry->table->n_faults[i]);
  write_counter (text, "unreadable_items_total", registry->n_unreadable);
}

void
mesh_metrics_write (const struct mesh_daemon *daemon, GString *text)
{
  write_loop (daemon, text);
  write_outbound (&daemon->outbound, text);
  write_inbound (&daemon->inbound, text);
  write_traffic (&daemon->peers.traffic, text);
  write_counter (text, "store_calls_total", daemon->exchange.store.n_calls);
  write_gauge (text, "store_answers", daemon->exchange.store.reachable);
  write_gauge (text, "store_answer_age_ms",
               (cp_clock_now_us (&cp_clock_boot)
                - daemon->exchange.store.last_answer_us)
                   / CP_US_PER_MS);
  write_gauge (text, "store_watching", daemon->exchange.watching);
  write_gauge (text, "store_era", daemon->exchange.registry.position.era);
  write_gauge (text, "store_revision",
               daemon->exchange.registry.position.revision);
  write_gauge (text, "config_version",
               daemon->exchange.registry.table == NULL
                   ? 0
                   : daemon->exchange.registry.table->version);
  write_faults (&daemon->exchange.registry, text);
  write_gauge (text, "servers", cp_server_pool_count (&daemon->pool));
  write_gauge (text, "domains_evacuated", daemon->pool.domains.n_evacuated);
  write_gauge (text, "peers_up", daemon->peers.n_up);
}

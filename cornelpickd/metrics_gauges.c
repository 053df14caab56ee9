/* Gauges and histograms of /metrics.  Each family has a fixed number of
   series: labels name states and buckets, never callers, requests or targets
   of other daemons.  */
#include <inttypes.h>
#include <stdio.h>
#include <sys/resource.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

/* Upper bounds of the buckets are powers of two microseconds, 2^9 (0.512 ms)
   to 2^24 (16.8 s), at which buckets of struct cp_histogram end too.  */
#define BUCKET_POWER_FIRST 9
#define BUCKET_POWER_LAST 24

static void
append_family (GString *text, const char *name, const char *type,
               const char *help)
{
  g_string_append_printf (text,
                          "# HELP cornelpick_%s %s\n# TYPE cornelpick_%s %s\n",
                          name, help, name, type);
}

static void
append_gauge (GString *text, const char *name, const char *help, double value)
{
  append_family (text, name, "gauge", help);
  g_string_append_printf (text, "cornelpick_%s %.15g\n", name, value);
}

/* Appends a label value with the escapes of the text format.  */
static void
append_label (GString *text, const char *value)
{
  for (; *value != '\0'; value++)
    if (*value == '\n')
      g_string_append (text, "\\n");
    else if (*value == '"' || *value == '\\')
      g_string_append_printf (text, "\\%c", *value);
    else
      g_string_append_c (text, *value);
}

static void
append_histogram (GString *text, const char *name, const char *help,
                  const struct cp_histogram *histogram)
{
  uint64_t count = cp_histogram_count (histogram);

  append_family (text, name, "histogram", help);
  for (unsigned power = BUCKET_POWER_FIRST; power <= BUCKET_POWER_LAST;
       power++)
    {
      uint64_t below = cp_histogram_count_below (histogram, power);

      g_string_append_printf (
          text, "cornelpick_%s_bucket{le=\"%.6f\"} %" PRIu64 "\n", name,
          (double)((uint64_t)1 << power) / CP_US_PER_S,
          below < count ? below : count);
    }
  g_string_append_printf (
      text,
      "cornelpick_%s_bucket{le=\"+Inf\"} %" PRIu64 "\ncornelpick_%s_sum %.6f\n"
      "cornelpick_%s_count %" PRIu64 "\n",
      name, count, name, (double)cp_histogram_sum_us (histogram) / CP_US_PER_S,
      name, count);
}

static void
append_identity (GString *text, struct daemon *daemon)
{
  enum cp_daemon_state life = daemon_life (daemon);

  append_family (text, "info", "gauge", "Names this daemon; always 1.");
  g_string_append (text,
                   "cornelpick_info{version=\"" CORNELPICK_VERSION "\",vm=\"");
  append_label (text, daemon->settings.vm);
  g_string_append (text, "\",failure_domain=\"");
  append_label (text, daemon->settings.failure_domain);
  g_string_append (text, "\"} 1\n");
  append_family (text, "life", "gauge", "1 for the state of this daemon.");
  for (int i = 0; i < CP_DAEMON_STATE_COUNT; i++)
    g_string_append_printf (text, "cornelpick_life{state=\"%s\"} %d\n",
                            cp_daemon_state_names[i], i == (int)life);
  append_gauge (text, "uptime_seconds", "Time since the start.",
                (double)(cp_clock_now_us (daemon->clock) - daemon->started_us)
                    / CP_US_PER_S);
}

static void
append_configuration (GString *text, struct daemon *daemon)
{
  CP_AUTO_JSON json_t *dump = configuration_dump (&daemon->configuration);
  json_int_t version = json_integer_value (json_object_get (dump, "version"));
  json_int_t age_us = json_integer_value (json_object_get (dump, "age_us"));

  append_gauge (text, "configuration_version",
                "Version in force, 0 before the first.", (double)version);
  append_gauge (text, "configuration_age_seconds",
                "Time since the version in force was accepted.",
                version == 0 ? 0 : (double)age_us / CP_US_PER_S);
}

static void
append_calls (GString *text, struct daemon *daemon)
{
  struct inbound *inbound = &daemon->inbound;
  struct cp_load_report report;

  inbound_report (inbound, &report);
  append_gauge (
      text, "outbound_in_flight", "Calls that the outbound side holds.",
      __atomic_load_n (&daemon->outbound.in_flight, __ATOMIC_RELAXED));
  append_gauge (text, "inbound_in_flight",
                "Attempts at the target beside this daemon.",
                report.in_flight);
  append_gauge (text, "inbound_queued", "Attempts waiting for a slot.",
                report.queued);
  append_gauge (text, "inbound_limit",
                "Attempts that may be at the target at once.", report.limit);
  append_gauge (text, "register_entries", "Attempts that are remembered.",
                cp_attempt_table_count (&inbound->attempts));
  append_histogram (text, "call_duration_seconds",
                    "Time from a call's arrival to the end of its answer.",
                    &daemon->outbound.latency);
  append_histogram (text, "target_duration_seconds",
                    "Time at the target beside this daemon.",
                    &inbound->latency);
}

static void
append_connections (GString *text, struct daemon *daemon)
{
  CP_AUTO_JSON json_t *list = upstream_dump (&daemon->upstreams);
  json_int_t idle = 0;
  json_int_t busy = 0;
  size_t i;
  json_t *address;

  json_array_foreach (list, i, address)
  {
    idle += json_integer_value (json_object_get (address, "idle"));
    busy += json_integer_value (json_object_get (address, "busy"));
  }
  append_family (text, "connections", "gauge",
                 "Connections to daemons, the target and the platform.");
  g_string_append_printf (
      text,
      "cornelpick_connections{state=\"busy\"} %" JSON_INTEGER_FORMAT
      "\ncornelpick_connections{state=\"idle\"} %" JSON_INTEGER_FORMAT "\n",
      busy, idle);
}

static void
append_measuring (GString *text, struct daemon *daemon)
{
  CP_AUTO_JSON json_t *dump = measure_dump (&daemon->measure);
  json_t *budget = json_object_get (dump, "budget");
  json_int_t overdrafts
      = json_integer_value (json_object_get (budget, "overdrafts"));
  json_int_t spent_us
      = json_integer_value (json_object_get (budget, "work_us_spent"));

  append_family (text, "budget_overdrafts_total", "counter",
                 "Times that measuring cost more than its budget.");
  g_string_append_printf (
      text, "cornelpick_budget_overdrafts_total %" JSON_INTEGER_FORMAT "\n",
      overdrafts);
  append_family (text, "measuring_work_seconds_total", "counter",
                 "Work that measuring has cost the target.");
  g_string_append_printf (text, "cornelpick_measuring_work_seconds_total %f\n",
                          (double)spent_us / CP_US_PER_S);
}

static double
timeval_s (const struct timeval *time)
{
  return (double)time->tv_sec + (double)time->tv_usec / CP_US_PER_S;
}

static void
append_process (GString *text)
{
  CP_AUTO_FILE FILE *file = fopen ("/proc/self/statm", "r");
  struct rusage usage;
  unsigned long pages;

  if (file != NULL && fscanf (file, "%*u %lu", &pages) == 1)
    append_gauge (text, "resident_memory_bytes", "Resident memory.",
                  (double)pages * (double)sysconf (_SC_PAGESIZE));
  if (getrusage (RUSAGE_SELF, &usage) != 0)
    return;
  append_family (text, "processor_seconds_total", "counter",
                 "Processor time of this process.");
  g_string_append_printf (text, "cornelpick_processor_seconds_total %.6f\n",
                          timeval_s (&usage.ru_utime)
                              + timeval_s (&usage.ru_stime));
}

void
metrics_gauges (struct daemon *daemon, GString *text)
{
  append_identity (text, daemon);
  append_configuration (text, daemon);
  append_calls (text, daemon);
  append_connections (text, daemon);
  append_measuring (text, daemon);
  append_process (text);
}

/* Slopes for docs/CAPACITY.md that one machine can show: processor time of a
   call on each side, memory of an attempt in the register, memory and time of
   a target in the document and in a balancer, and an idle daemon.  Each line
   of the output is a JSON object.  */
#include <curl/curl.h>
#include <malloc.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/balancer.h"
#include "lib/cleanup.h"
#include "lib/decision.h"
#include "lib/document.h"
#include "regress/harness/harness.h"

#define PORT_ADMIN 7402
#define CALLERS 4
#define LOST_SHARE_MAX 0.01
#define WARM_CALLS 200
#define CALLS 3000
#define IDLE_S 10
#define TARGETS_FEW 100
#define TARGETS_MANY 4400
#define HELD_FEW 5
#define HELD_MANY 37
#define COMMAND "make bench ONLY=slopes"

/* Ends the program with a message unless HOLDS.  */
static void
require (bool holds, const char *what)
{
  if (holds)
    return;
  fprintf (stderr, "bench_slopes: %s\n", what);
  exit (1);
}

static void
print_slope (const char *name, double slope, const char *unit,
             const char *range)
{
  printf ("{\"name\": \"%s\", \"slope\": %.6g, \"unit\": \"%s\", "
          "\"range\": \"%s\", \"command\": \"%s\"}\n",
          name, slope, unit, range, COMMAND);
  fflush (stdout);
}

/* Reads a series of /metrics.  */
static double
metric (struct fleet *fleet, unsigned vm, const char *name)
{
  char address[56];
  char line[96];
  struct reply reply;
  const char *at;
  double value;

  reply_init (&reply);
  http_call (&reply, fleet_address (fleet, vm, PORT_ADMIN, address), "GET",
             "/metrics", NULL, NULL, 10000);
  snprintf (line, sizeof line, "\ncornelpick_%s ", name);
  at = strstr (reply.body->str, line);
  require (at != NULL, name);
  value = strtod (at + strlen (line), NULL);
  reply_finish (&reply);
  return value;
}

/* Makes calls through VM 1.  Returns how many had another status than 200.  */
static unsigned
load (struct fleet *fleet, unsigned calls)
{
  struct kept_caller callers[CALLERS];
  unsigned lost = 0;

  for (unsigned i = 0; i < CALLERS; i++)
    kept_caller_start (&callers[i], fleet, 1, calls);
  for (unsigned i = 0; i < CALLERS; i++)
    lost += kept_caller_join (&callers[i]);
  require (lost <= LOST_SHARE_MAX * CALLERS * calls, "calls were lost");
  return lost;
}

/* Moves the target of VM 1 to a service of its own, so that calls for "shop"
   only use VM 1's outbound side.  */
static void
move_first_target (json_t *document)
{
  json_t *sections = json_object_get (document, "sections");
  json_t *shop = json_object_get (sections, "shop");
  json_t *spare = json_deep_copy (shop);
  size_t i;
  json_t *route;

  json_object_del (json_object_get (shop, "targets"), "shop-1");
  json_object_del (json_object_get (spare, "targets"), "shop-2");
  json_array_foreach (json_object_get (spare, "routes"), i, route)
      json_object_set_new (route, "host", json_string ("spare.example"));
  json_object_set_new (sections, "spare", spare);
}

/* Measures both sides of a call apart: VM 1 takes it, VM 2 has the target.  */
static void
bench_calls (void)
{
  static struct fleet fleet;
  char range[96];
  double out, in, memory, entries, calls;
  unsigned lost;

  fleet_start (&fleet, 2, 2, move_first_target);
  fleet_control (&fleet, 2, "{\"service_ms\": 0.1, \"slots\": 64}");
  load (&fleet, WARM_CALLS);
  out = metric (&fleet, 1, "processor_seconds_total");
  in = metric (&fleet, 2, "processor_seconds_total");
  memory = metric (&fleet, 2, "resident_memory_bytes");
  entries = metric (&fleet, 2, "register_entries");
  lost = load (&fleet, CALLS);
  calls = (double)CALLERS * CALLS;
  snprintf (range, sizeof range, "%.0f calls on %d connections, %u refused",
            calls, CALLERS, lost);
  print_slope ("outbound_cpu_s_per_call",
               (metric (&fleet, 1, "processor_seconds_total") - out) / calls,
               "s", range);
  print_slope ("inbound_cpu_s_per_call",
               (metric (&fleet, 2, "processor_seconds_total") - in) / calls,
               "s", range);
  entries = metric (&fleet, 2, "register_entries") - entries;
  snprintf (range, sizeof range, "%.0f entries added", entries);
  print_slope ("register_bytes_per_entry",
               (metric (&fleet, 2, "resident_memory_bytes") - memory)
                   / entries,
               "byte", range);
  fleet_stop (&fleet);
}

static void
bench_idle (void)
{
  static struct fleet fleet;
  double cpu, bytes;

  fleet_start (&fleet, 3, 3, NULL);
  cpu = metric (&fleet, 1, "processor_seconds_total");
  bytes = metric (&fleet, 1, "control_bytes_total");
  g_usleep (IDLE_S * G_USEC_PER_SEC);
  cpu = metric (&fleet, 1, "processor_seconds_total") - cpu;
  bytes = metric (&fleet, 1, "control_bytes_total") - bytes;
  print_slope ("idle_cpu_s_per_s", cpu / IDLE_S, "s/s",
               "3 daemons, 10 s, without calls");
  print_slope ("idle_control_bytes_per_s", bytes / IDLE_S, "byte/s",
               "3 daemons, 10 s, without calls");
  print_slope ("idle_resident_bytes",
               metric (&fleet, 1, "resident_memory_bytes"), "byte",
               "32 call threads, 64 peer threads");
  fleet_stop (&fleet);
}

/* Composes a document of one service with COUNT targets.  */
static char *
compose (unsigned count)
{
  struct fleet fleet
      = { .net = "127.9.9", .n_vms = 1, .n_domains = 9, .version = 1 };
  CP_AUTO_JSON json_t *document = fleet_document (&fleet);
  json_t *sections = json_object_get (document, "sections");
  json_t *targets
      = json_object_get (json_object_get (sections, "shop"), "targets");

  for (unsigned i = 2; i <= count; i++)
    {
      char name[32];
      char address[32];
      char daemon[32];

      snprintf (name, sizeof name, "shop-%u", i);
      snprintf (address, sizeof address, "10.1.%u.%u:8080", i / 250,
                i % 250 + 1);
      snprintf (daemon, sizeof daemon, "10.1.%u.%u:7400", i / 250,
                i % 250 + 1);
      json_object_set_new (targets, name,
                           json_pack ("{s:s, s:s, s:s}", "address", address,
                                      "daemon", daemon, "failure_domain",
                                      "domain-1"));
    }
  return json_dumps (document, JSON_COMPACT);
}

/* Returns the bytes allocated, also those in mappings of their own.  */
static double
allocated (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return (double)info.uordblks + (double)info.hblkhd;
}

/* What COUNT targets take.  */
struct cost
{
  double document_bytes;
  double balancer_bytes;
  double compile_s;
};

static void
measure_targets (unsigned count, struct cost *cost)
{
  CP_AUTO_FREE char *text = compose (count);
  struct cp_balancer balancer;
  struct cp_chart chart;
  struct cp_error error;
  char path[256];
  double before = allocated ();
  uint64_t start_us = cp_clock_now_us (&cp_clock_boot);
  struct cp_document *document
      = cp_document_compile ("bench", text, strlen (text), &error);

  require (document != NULL, error.problem);
  cost->compile_s
      = (double)(cp_clock_now_us (&cp_clock_boot) - start_us) / CP_US_PER_S;
  cost->document_bytes = allocated () - before;
  snprintf (path, sizeof path, "%s/charts/target.json",
            getenv ("TOP") == NULL ? "." : getenv ("TOP"));
  require (cp_chart_load (&chart, path, &cp_health_names, &error) == 0, path);
  before = allocated ();
  cp_balancer_init (&balancer, &cp_picker_two_choices, &chart, &cp_clock_boot,
                    "shop", "vm-1", "domain-1");
  cp_balancer_update (&balancer, &document->services[0], 1000);
  cost->balancer_bytes = allocated () - before;
  cp_balancer_finish (&balancer);
  cp_document_unref (document);
}

static void
bench_targets (void)
{
  struct cost few;
  struct cost many;
  struct cost held_few;
  struct cost held_many;
  double n = TARGETS_MANY - TARGETS_FEW;

  measure_targets (TARGETS_FEW, &few);
  measure_targets (TARGETS_MANY, &many);
  measure_targets (HELD_FEW, &held_few);
  measure_targets (HELD_MANY, &held_many);
  print_slope ("document_bytes_per_target",
               (many.document_bytes - few.document_bytes) / n, "byte",
               "100 to 4400 targets");
  print_slope ("balancer_bytes_per_target",
               (held_many.balancer_bytes - held_few.balancer_bytes)
                   / (HELD_MANY - HELD_FEW),
               "byte", "5 to 37 targets, which are a whole subset");
  print_slope ("compile_s_per_target", (many.compile_s - few.compile_s) / n,
               "s", "100 to 4400 targets");
  print_slope ("decision_ring_bytes",
               (double)CP_DECISIONS_MAX * sizeof (struct cp_decision), "byte",
               "4096 records, by size");
}

int
main (void)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
  bench_targets ();
  bench_idle ();
  bench_calls ();
  return 0;
}

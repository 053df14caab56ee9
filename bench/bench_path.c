/* What the path through two daemons adds to a call, how many calls a core
   carries, and how much memory a daemon takes.  With --json the figures are
   printed as JSON lines.  */
#include <curl/curl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "lib/clock.h"
#include "lib/counter.h"
#include "regress/harness/harness.h"

#define PACED_CALLERS 4
#define PACED_RATE_PER_S 320
#define PACED_SECONDS 10
#define FULL_CALLERS 16
#define FULL_SECONDS 5
#define CONNECTIONS 250

static bool json_lines;

static void
print_figure (const char *name, double value, const char *unit)
{
  if (json_lines)
    printf ("{\"name\": \"%s\", \"value\": %g, \"unit\": \"%s\"}\n", name,
            value, unit);
  else
    printf ("%-44s %10.3f %s\n", name, value, unit);
}

/* A caller that measures its calls.  */
struct caller
{
  pthread_t thread;
  struct fleet *fleet;
  unsigned number;
  struct cp_histogram direct;
  struct cp_histogram through;
  uint64_t calls;
  uint64_t failed;
};

static void
timed_call (struct caller *caller, CURL *easy, struct cp_histogram *histogram)
{
  uint64_t start = cp_clock_now_us (&cp_clock_boot);
  long status = kept_connection_call (easy);

  cp_histogram_add (histogram, cp_clock_now_us (&cp_clock_boot) - start);
  caller->calls++;
  if (status != 200)
    caller->failed++;
}

/* Calls the target directly and through the daemons in turn, at a steady
   rate, so that both see the same machine.  */
static void *
make_paced_calls (void *context)
{
  struct caller *caller = context;
  struct curl_slist *headers = curl_slist_append (NULL, "Host: shop.example");
  char address[56];
  CURL *direct = kept_connection_open (
      fleet_address (caller->fleet, 1, 8080, address), headers);
  CURL *through = kept_connection_open (
      fleet_address (caller->fleet, 1, 8000, address), headers);
  uint64_t interval_us = CP_US_PER_S * PACED_CALLERS / PACED_RATE_PER_S;
  uint64_t next = cp_clock_now_us (&cp_clock_boot)
                  + caller->number * interval_us / PACED_CALLERS;
  uint64_t end = next + PACED_SECONDS * CP_US_PER_S;

  for (unsigned i = 0; next < end; i++, next += interval_us / 2)
    {
      uint64_t now = cp_clock_now_us (&cp_clock_boot);

      if (now < next)
        usleep ((useconds_t)(next - now));
      if (i % 2 == 0)
        timed_call (caller, through, &caller->through);
      else
        timed_call (caller, direct, &caller->direct);
    }
  curl_easy_cleanup (direct);
  curl_easy_cleanup (through);
  curl_slist_free_all (headers);
  return NULL;
}

static void *
make_full_calls (void *context)
{
  struct caller *caller = context;
  struct curl_slist *headers = curl_slist_append (NULL, "Host: shop.example");
  char address[56];
  CURL *through = kept_connection_open (
      fleet_address (caller->fleet, 1 + caller->number % 3, 8000, address),
      headers);
  uint64_t end = cp_clock_now_us (&cp_clock_boot) + FULL_SECONDS * CP_US_PER_S;

  while (cp_clock_now_us (&cp_clock_boot) < end)
    timed_call (caller, through, &caller->through);
  curl_easy_cleanup (through);
  curl_slist_free_all (headers);
  return NULL;
}

static struct caller *
run_callers (struct fleet *fleet, unsigned count, void *(*run) (void *))
{
  struct caller *callers = calloc (count, sizeof *callers);

  for (unsigned i = 0; i < count; i++)
    {
      callers[i].fleet = fleet;
      callers[i].number = i;
      pthread_create (&callers[i].thread, NULL, run, &callers[i]);
    }
  for (unsigned i = 0; i < count; i++)
    pthread_join (callers[i].thread, NULL);
  return callers;
}

static void
merge (struct cp_histogram *sum, const struct cp_histogram *part)
{
  for (unsigned i = 0; i < CP_HISTOGRAM_BUCKETS; i++)
    sum->buckets[i] += part->buckets[i];
}

/* Returns the processor time that the daemons have used, in seconds.  */
static double
daemons_cpu_s (const struct fleet *fleet)
{
  unsigned long ticks = 0;

  for (unsigned vm = 1; vm <= fleet->n_vms; vm++)
    {
      char path[64];
      unsigned long user = 0;
      unsigned long system = 0;
      FILE *file;

      snprintf (path, sizeof path, "/proc/%d/stat",
                (int)fleet->daemons[vm].pid);
      file = fopen (path, "r");
      if (file == NULL)
        continue;
      if (fscanf (file,
                  "%*d %*s %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu "
                  "%lu",
                  &user, &system)
          == 2)
        ticks += user + system;
      fclose (file);
    }
  return (double)ticks / (double)sysconf (_SC_CLK_TCK);
}

static double
rss_mb (pid_t pid)
{
  char path[64];
  unsigned long pages = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/statm", (int)pid);
  file = fopen (path, "r");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%*u %lu", &pages) != 1)
    pages = 0;
  fclose (file);
  return (double)pages * (double)sysconf (_SC_PAGESIZE) / 1e6;
}

static void
bench_added_latency (struct fleet *fleet)
{
  static struct cp_histogram direct;
  static struct cp_histogram through;
  CP_AUTO_FREE struct caller *callers
      = run_callers (fleet, PACED_CALLERS, make_paced_calls);
  uint64_t failed = 0;

  for (unsigned i = 0; i < PACED_CALLERS; i++)
    {
      merge (&direct, &callers[i].direct);
      merge (&through, &callers[i].through);
      failed += callers[i].failed;
    }
  for (unsigned i = 0; i < 2; i++)
    {
      double quantile = i == 0 ? 0.5 : 0.99;
      double near = (double)cp_histogram_quantile (&direct, quantile) / 1000;
      double far = (double)cp_histogram_quantile (&through, quantile) / 1000;
      const char *name = i == 0 ? "p50" : "p99";
      char text[64];

      snprintf (text, sizeof text, "direct call, %s", name);
      print_figure (text, near, "ms");
      snprintf (text, sizeof text, "call through two daemons, %s", name);
      print_figure (text, far, "ms");
      snprintf (text, sizeof text, "added by two daemons, %s", name);
      print_figure (text, far - near, "ms");
    }
  print_figure ("paced calls that failed", (double)failed, "calls");
}

static void
bench_saturation (struct fleet *fleet)
{
  double before = daemons_cpu_s (fleet);
  CP_AUTO_FREE struct caller *callers
      = run_callers (fleet, FULL_CALLERS, make_full_calls);
  double cpu_s = daemons_cpu_s (fleet) - before;
  uint64_t calls = 0;
  uint64_t failed = 0;

  for (unsigned i = 0; i < FULL_CALLERS; i++)
    {
      calls += callers[i].calls;
      failed += callers[i].failed;
    }
  print_figure ("calls a second at saturation", (double)calls / FULL_SECONDS,
                "calls/s");
  print_figure ("calls a core-second of the daemons", (double)calls / cpu_s,
                "calls");
  print_figure ("saturating calls that failed", (double)failed, "calls");
}

static void
bench_memory (struct fleet *fleet)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Host: shop.example");
  CURL *connections[CONNECTIONS];
  char address[56];

  print_figure ("memory of a daemon, idle", rss_mb (fleet->daemons[2].pid),
                "MB");
  fleet_address (fleet, 2, 8000, address);
  for (unsigned i = 0; i < CONNECTIONS; i++)
    {
      connections[i] = kept_connection_open (address, headers);
      curl_easy_setopt (connections[i], CURLOPT_TIMEOUT_MS, 5000L);
      curl_easy_perform (connections[i]);
    }
  print_figure ("memory of a daemon, 250 connections",
                rss_mb (fleet->daemons[2].pid), "MB");
  for (unsigned i = 0; i < CONNECTIONS; i++)
    curl_easy_cleanup (connections[i]);
  curl_slist_free_all (headers);
}

int
main (int argc, char **argv)
{
  struct fleet fleet;

  json_lines = argc > 1 && strcmp (argv[1], "--json") == 0;
  fleet_call_threads = 300;
  fleet_start (&fleet, 3, 3, NULL);
  for (unsigned vm = 1; vm <= 3; vm++)
    fleet_control (&fleet, vm, "{\"service_ms\": 0, \"slots\": 100}");
  bench_memory (&fleet);
  bench_added_latency (&fleet);
  bench_saturation (&fleet);
  fleet_stop (&fleet);
  return 0;
}

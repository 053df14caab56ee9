/* The exchange between daemons at several sizes: how soon a change is in force
   everywhere, and what it costs the service and each daemon.

   Prints a table, one JSON line for each fleet, and the slopes against the
   number of daemons, services and document bytes.  usage: bench_fleet
   [SIZE...]
 */
#include <check.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "regress/harness/spread.h"

#define DOMAINS 9
#define CHANGES 10
#define STEADY_S 10
#define CHANGE_GAP_US (G_USEC_PER_SEC / 2)
#define CHANGES_PER_DAY 2800.0
#define SECONDS_PER_DAY 86400.0
#define RUNS_MAX 16
#define TARGETS_EACH 8

/* What one daemon, or all, have used so far.  */
struct usage
{
  double bytes;
  double messages;
  double cpu_s;
  double rss_mb;
  double reads;
  double time_s;
};

/* The figures of one fleet.  */
struct run
{
  double daemons;
  double services;
  double document_bytes;
  double in_force_ms[3]; /* p50, p99, most */
  double cold_reads_per_s;
  double steady_reads_per_s;
  double change_reads_per_s;
  double bytes_per_s; /* per daemon, at CHANGES_PER_DAY */
  double messages_per_s;
  double cpu_share;
  double rss_mb;
};

static unsigned extra_services;

/* Adds services that differ in name, host and addresses.  */
static void
add_services (json_t *document)
{
  json_t *sections = json_object_get (document, "sections");

  for (unsigned i = 0; i < extra_services; i++)
    {
      json_t *extra = json_deep_copy (json_object_get (sections, "shop"));
      json_t *targets = json_object ();
      char name[32];
      char host[48];

      snprintf (name, sizeof name, "extra-%u", i);
      snprintf (host, sizeof host, "%s.example", name);
      for (unsigned t = 0; t < TARGETS_EACH; t++)
        {
          char target[48];
          char address[48];

          snprintf (target, sizeof target, "%s-%u", name, t);
          snprintf (address, sizeof address, "127.0.%u.%u:8080", i + 1, t + 1);
          json_object_set_new (targets, target,
                               json_pack ("{s:s, s:b, s:s}", "address",
                                          address, "daemon", 0,
                                          "failure_domain", "domain-1"));
        }
      json_object_set_new (extra, "targets", targets);
      for (unsigned r = 0; r < 3; r++)
        json_object_set_new (
            json_array_get (json_object_get (extra, "routes"), r), "host",
            json_string (host));
      json_object_set_new (sections, name, extra);
    }
}

/* Changes one number of the service.  */
static void
change_deadline (json_t *document)
{
  json_t *shop
      = json_object_get (json_object_get (document, "sections"), "shop");
  json_int_t version
      = json_integer_value (json_object_get (document, "version"));

  json_object_set_new (shop, "deadline_ms", json_integer (2000 + version));
}

/* Reads the counters, the processor time and the memory of all daemons.  */
static void
read_usage (struct fleet *fleet, struct usage *usage)
{
  memset (usage, 0, sizeof *usage);
  for (unsigned vm = 1; vm <= fleet->n_vms; vm++)
    {
      char path[64];
      char line[1024];
      unsigned long user = 0;
      unsigned long kernel = 0;
      long pages = 0;
      FILE *file;

      usage->bytes += (double)fleet_counter (fleet, vm, "control_bytes_total");
      usage->messages
          += (double)fleet_counter (fleet, vm, "control_messages_total");
      snprintf (path, sizeof path, "/proc/%d/stat", fleet->daemons[vm].pid);
      file = fopen (path, "r");
      if (file == NULL || fgets (line, sizeof line, file) == NULL)
        abort ();
      fclose (file);
      sscanf (strrchr (line, ')') + 2,
              "%*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %lu %lu %*d %*d "
              "%*d %*d %*d %*d %*u %*u %ld",
              &user, &kernel, &pages);
      usage->cpu_s += (double)(user + kernel) / (double)sysconf (_SC_CLK_TCK);
      usage->rss_mb += (double)pages * (double)sysconf (_SC_PAGESIZE) / 1e6;
    }
  usage->reads = (double)fleet_reads (fleet);
  usage->time_s = (double)g_get_monotonic_time () / 1e6;
}

static int
compare_doubles (const void *a, const void *b)
{
  double first = *(const double *)a;
  double second = *(const double *)b;

  return (first > second) - (first < second);
}

/* Makes one change and adds how long it took at each daemon, in ms.  */
static void
time_change (struct fleet *fleet, GArray *times)
{
  gint64 started = g_get_real_time ();

  fleet_change (fleet, change_deadline);
  for (unsigned vm = 1; vm <= fleet->n_vms; vm++)
    {
      gint64 when;
      double ms;

      while ((when = fleet_in_force_at (fleet, vm, fleet->version)) == 0)
        g_usleep (20000);
      ms = MAX (0, (double)(when - started) / 1000);
      g_array_append_val (times, ms);
    }
}

static double
document_bytes (const struct fleet *fleet)
{
  char path[192];
  CP_AUTO_JSON json_t *root = NULL;
  CP_AUTO_FREE char *text = NULL;

  snprintf (path, sizeof path, "%s/document.json", fleet->folder);
  root = json_load_file (path, 0, NULL);
  text = json_dumps (root, JSON_INDENT (2));
  return (double)strlen (text);
}

static double
per_second (double amount, const struct usage *from, const struct usage *to)
{
  return amount / (to->time_s - from->time_s);
}

/* Measures a steady time, then CHANGES changes.  */
static void
measure (struct fleet *fleet, struct run *run)
{
  struct usage start, steady, changed;
  GArray *times = g_array_new (FALSE, FALSE, sizeof (double));
  double per_change;
  double n = run->daemons;

  read_usage (fleet, &start);
  g_usleep (STEADY_S * G_USEC_PER_SEC);
  read_usage (fleet, &steady);
  for (unsigned i = 0; i < CHANGES; i++)
    {
      time_change (fleet, times);
      g_usleep (CHANGE_GAP_US);
    }
  read_usage (fleet, &changed);
  g_array_sort (times, compare_doubles);
  run->in_force_ms[0] = g_array_index (times, double, times->len / 2);
  run->in_force_ms[1] = g_array_index (times, double, times->len * 99 / 100);
  run->in_force_ms[2] = g_array_index (times, double, times->len - 1);
  run->steady_reads_per_s
      = per_second (steady.reads - start.reads, &start, &steady);
  run->change_reads_per_s
      = per_second (changed.reads - steady.reads, &steady, &changed);
  run->bytes_per_s
      = per_second (steady.bytes - start.bytes, &start, &steady) / n;
  run->messages_per_s
      = per_second (steady.messages - start.messages, &start, &steady) / n;
  per_change = (changed.bytes - steady.bytes) / n
               - run->bytes_per_s * (changed.time_s - steady.time_s);
  run->bytes_per_s
      += MAX (0, per_change) / CHANGES * CHANGES_PER_DAY / SECONDS_PER_DAY;
  run->cpu_share
      = per_second (steady.cpu_s - start.cpu_s, &start, &steady) / n;
  run->rss_mb = changed.rss_mb / n;
  run->document_bytes = document_bytes (fleet);
  g_array_free (times, TRUE);
}

static void
print_run (const struct run *run, const char *commit)
{
  printf ("%7.0f %8.0f %8.0f %6.0f %6.0f %6.0f %8.1f %8.1f %8.1f %8.0f %7.1f "
          "%6.2f %6.1f\n",
          run->daemons, run->services, run->document_bytes,
          run->in_force_ms[0], run->in_force_ms[1], run->in_force_ms[2],
          run->cold_reads_per_s, run->steady_reads_per_s,
          run->change_reads_per_s, run->bytes_per_s, run->messages_per_s,
          run->cpu_share * 100, run->rss_mb);
  printf ("{\"bench\": \"fleet\", \"commit\": \"%s\", \"daemons\": %.0f, "
          "\"services\": %.0f, \"document_bytes\": %.0f, "
          "\"in_force_p50_ms\": %.0f, \"in_force_p99_ms\": %.0f, "
          "\"in_force_most_ms\": %.0f, \"cold_reads_per_s\": %.1f, "
          "\"steady_reads_per_s\": %.1f, \"change_reads_per_s\": %.1f, "
          "\"bytes_per_s\": %.0f, \"messages_per_s\": %.2f, "
          "\"cpu_share\": %.5f, \"rss_mb\": %.1f}\n",
          commit, run->daemons, run->services, run->document_bytes,
          run->in_force_ms[0], run->in_force_ms[1], run->in_force_ms[2],
          run->cold_reads_per_s, run->steady_reads_per_s,
          run->change_reads_per_s, run->bytes_per_s, run->messages_per_s,
          run->cpu_share, run->rss_mb);
  fflush (stdout);
}

static void
run_fleet (struct run *run, unsigned daemons, unsigned services,
           const char *commit)
{
  struct fleet fleet;
  gint64 started = g_get_monotonic_time ();

  memset (run, 0, sizeof *run);
  extra_services = services - 1;
  fleet_start (&fleet, daemons, DOMAINS, add_services);
  run->daemons = daemons;
  run->services = services;
  run->cold_reads_per_s
      = (double)fleet_reads (&fleet)
        / ((double)(g_get_monotonic_time () - started) / G_USEC_PER_SEC);
  fleet_list (&fleet, 0);
  measure (&fleet, run);
  fleet_stop (&fleet);
  print_run (run, commit);
}

static double
number_at (const struct run *run, size_t offset)
{
  double number;

  memcpy (&number, (const char *)run + offset, sizeof number);
  return number;
}

/* Prints the least-squares slopes over RUNS against the number at X.  */
static void
print_slopes (const struct run *runs, unsigned count, const char *against,
              size_t x)
{
  static const struct
  {
    const char *name;
    size_t at;
  } figures[]
      = { { "in_force_p99_ms", offsetof (struct run, in_force_ms[1]) },
          { "steady_reads_per_s", offsetof (struct run, steady_reads_per_s) },
          { "bytes_per_s", offsetof (struct run, bytes_per_s) },
          { "messages_per_s", offsetof (struct run, messages_per_s) },
          { "cpu_share", offsetof (struct run, cpu_share) },
          { "rss_mb", offsetof (struct run, rss_mb) } };

  for (unsigned f = 0; f < G_N_ELEMENTS (figures) && count > 1; f++)
    {
      double sx = 0, sy = 0, sxx = 0, sxy = 0;

      for (unsigned i = 0; i < count; i++)
        {
          double a = number_at (&runs[i], x);
          double b = number_at (&runs[i], figures[f].at);

          sx += a;
          sy += b;
          sxx += a * a;
          sxy += a * b;
        }
      printf ("{\"bench\": \"fleet\", \"slope\": \"%s\", \"against\": \"%s\", "
              "\"value\": %.6g}\n",
              figures[f].name, against,
              (count * sxy - sx * sy) / (count * sxx - sx * sx));
    }
}

static void
read_commit (char *commit, size_t size)
{
  FILE *pipe = popen ("git rev-parse --short HEAD", "r");

  g_strlcpy (commit, "unknown", size);
  if (pipe != NULL && fgets (commit, (int)size, pipe) != NULL)
    commit[strcspn (commit, "\n")] = '\0';
  if (pipe != NULL)
    pclose (pipe);
}

int
main (int argc, char **argv)
{
  static const unsigned sizes[] = { 10, 25, 50, 100, 150 };
  static const unsigned services[] = { 1, 20, 60, 119 };
  struct run runs[RUNS_MAX];
  char commit[32];
  unsigned count = 0;

  read_commit (commit, sizeof commit);
  fleet_call_threads = 4;
  fleet_peer_threads = 4;
  fleet_without_targets = true;
  puts ("daemons services    bytes    p50    p99   most   cold/s steady/s "
        "change/s  bytes/s   msg/s   cpu% rss MB");
  for (int i = 1; i < argc && count < RUNS_MAX; i++)
    run_fleet (&runs[count++], (unsigned)strtoul (argv[i], NULL, 10), 1,
               commit);
  for (unsigned i = 0; argc == 1 && i < G_N_ELEMENTS (sizes); i++)
    run_fleet (&runs[count++], sizes[i], 1, commit);
  print_slopes (runs, count, "daemons", offsetof (struct run, daemons));
  count = 0;
  for (unsigned i = 0; argc == 1 && i < G_N_ELEMENTS (services); i++)
    run_fleet (&runs[count++], 25, services[i], commit);
  print_slopes (runs, count, "services", offsetof (struct run, services));
  print_slopes (runs, count, "document_bytes",
                offsetof (struct run, document_bytes));
  return 0;
}

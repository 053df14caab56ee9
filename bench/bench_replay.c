/* The pickers on all traces, and the cost of one decision.  */
#include <glib.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "lib/balancer.h"
#include "lib/replay.h"
#include "lib/subset.h"

#define SEED_FIRST 1
#define SEEDS 12
#define DECISIONS 200000

static const char *const deployments[] = { "lankagiri", "wattlebird" };

static const char *const traces[]
    = { "ordinary-hour",   "holiday-surge",   "moving-neighbour",
        "straggler",       "fast-failer",     "rolling-drain",
        "cold-start",      "load-pages-lag",  "load-pages-idle",
        "load-pages-hang", "paused-outbound", "quiet-night",
        "half-lost" };

static void
fail (const struct cp_error *error)
{
  char text[900];

  cp_error_text (error, text, sizeof text);
  fprintf (stderr, "bench_replay: %s\n", text);
  exit (1);
}

static const char *
top_folder (void)
{
  const char *top = getenv ("TOP");

  return top == NULL ? "." : top;
}

static void
load_chart (struct cp_chart *chart)
{
  char path[512];
  struct cp_error error;

  snprintf (path, sizeof path, "%s/charts/target.json", top_folder ());
  if (cp_chart_load (chart, path, &cp_health_names, &error) != 0)
    fail (&error);
}

/* Prints one row for each picker.  */
static void
bench_trace (const struct cp_chart *chart, const char *deployment,
             const char *name)
{
  char path[512];
  struct cp_trace trace;
  struct cp_error error;

  snprintf (path, sizeof path, "%s/regress/traces/%s-%s.jsonl", top_folder (),
            deployment, name);
  cp_trace_init (&trace);
  if (cp_trace_load (&trace, path, &error) != 0)
    fail (&error);
  for (unsigned i = 0; i < CP_PICKER_COUNT; i++)
    {
      const struct cp_replay_options options
          = { cp_pickers[i], chart, SEED_FIRST, false };
      struct cp_replay_result result;

      if (cp_replay_run_seeds (&trace, &options, SEEDS, &result, &error) != 0)
        fail (&error);
      printf ("%-16s %-16s %8.1f %8.1f %8.1f %8.2f %8.2f\n",
              i == 0 ? name : "", cp_pickers[i]->name,
              (double)result.p50_us / 1000, (double)result.p99_us / 1000,
              (double)result.p999_us / 1000,
              100.0 * (double)result.errors / (double)result.calls,
              100.0 * (double)result.waits / (double)result.calls);
      cp_replay_result_finish (&result);
    }
  cp_trace_finish (&trace);
}

/* Makes calls at a service of COUNT targets; returns ns for a pick and its
   end.  */
static double
decision_ns (const struct cp_chart *chart, const struct cp_picker *picker,
             unsigned count)
{
  struct cp_target *targets = g_new0 (struct cp_target, count);
  struct cp_service service = { .targets = targets,
                                .n_targets = count,
                                .slots = 12,
                                .eject_most_share = 0.4 };
  const struct cp_tried_targets tried = { .count = 0 };
  struct cp_seeded_random random;
  struct cp_balancer balancer;
  uint64_t start_us;
  double ns;

  for (unsigned i = 0; i < count; i++)
    {
      snprintf (targets[i].name, CP_NAME_BYTES, "target-%u", i);
      snprintf (targets[i].failure_domain, CP_NAME_BYTES, "domain-%u", i % 9);
    }
  cp_seeded_random_init (&random, SEED_FIRST);
  cp_balancer_init (&balancer, picker, chart, &cp_clock_boot, "shop", "vm-1",
                    "domain-1");
  if (cp_balancer_update (&balancer, &service, 2000) != 0)
    exit (1);
  start_us = cp_clock_now_us (&cp_clock_boot);
  for (unsigned i = 0; i < DECISIONS; i++)
    {
      struct cp_target target;
      uint64_t incarnation;

      cp_balancer_pick (&balancer, &tried, &random.random, &target,
                        &incarnation);
      cp_balancer_end_call (&balancer, target.name, CP_CALL_ANSWERED, 2000);
    }
  ns = (double)(cp_clock_now_us (&cp_clock_boot) - start_us)
       * (double)CP_NS_PER_US / DECISIONS;
  cp_balancer_finish (&balancer);
  cp_seeded_random_finish (&random);
  g_free (targets);
  return ns;
}

/* Times the rule alone over a view of COUNT targets.  */
static double
rule_ns (const struct cp_picker *picker, unsigned count)
{
  struct cp_target_state *states = g_new0 (struct cp_target_state, count);
  struct cp_target_state **list = g_new0 (struct cp_target_state *, count);
  struct cp_seeded_random random;
  struct cp_pick_view view = { .targets = list,
                               .n_targets = count,
                               .now_us = CP_US_PER_S,
                               .random = &random.random,
                               .slots = 12,
                               .cross_domain_rtt_us = 2000,
                               .mean_latency_us = 2000 };
  const char *reason;
  uint64_t start_us;
  double ns;

  cp_seeded_random_init (&random, SEED_FIRST);
  for (unsigned i = 0; i < count; i++)
    {
      list[i] = &states[i];
      states[i].health.state = CP_HEALTH_HEALTHY;
      states[i].report_us = CP_US_PER_S - i;
      states[i].latency_us = 2000;
      states[i].latency_updated_us = CP_US_PER_S - i;
    }
  start_us = cp_clock_now_us (&cp_clock_boot);
  for (unsigned i = 0; i < DECISIONS; i++)
    {
      view.sequence = i;
      picker->pick (picker->context, &view, &reason);
    }
  ns = (double)(cp_clock_now_us (&cp_clock_boot) - start_us)
       * (double)CP_NS_PER_US / DECISIONS;
  cp_seeded_random_finish (&random);
  g_free (states);
  g_free (list);
  return ns;
}

static void
bench_cost (const struct cp_chart *chart)
{
  static const unsigned sizes[] = { 5, 37, 1000 };

  printf ("\nCost of one decision, ns: the rule over so many targets, and a "
          "pick with its end\nin a balancer, which tracks at most %d\n"
          "%-16s %8s %8s %8s %8s %8s %8s\n",
          CP_SUBSET_TARGETS, "picker", "rule 5", "37", "1000", "whole 5", "37",
          "1000");
  for (unsigned i = 0; i < CP_PICKER_COUNT; i++)
    {
      printf ("%-16s", cp_pickers[i]->name);
      for (unsigned j = 0; j < G_N_ELEMENTS (sizes); j++)
        printf (" %8.0f", rule_ns (cp_pickers[i], sizes[j]));
      for (unsigned j = 0; j < G_N_ELEMENTS (sizes); j++)
        printf (" %8.0f", decision_ns (chart, cp_pickers[i], sizes[j]));
      printf ("\n");
    }
}

int
main (void)
{
  struct cp_chart chart;

  load_chart (&chart);
  for (unsigned i = 0; i < G_N_ELEMENTS (deployments); i++)
    {
      printf ("\n%s: replay, seeds %d to %d\n"
              "%-16s %-16s %8s %8s %8s %8s %8s\n",
              deployments[i], SEED_FIRST, SEED_FIRST + SEEDS - 1, "trace",
              "picker", "p50 ms", "p99 ms", "p99.9 ms", "errors %", "waits %");
      for (unsigned j = 0; j < G_N_ELEMENTS (traces); j++)
        bench_trace (&chart, deployments[i], traces[j]);
    }
  bench_cost (&chart);
  return 0;
}

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cornelpick/cornelpick.h"
#include "lib/cleanup.h"
#include "lib/replay.h"

#define CHARTS_DEFAULT "/usr/local/share/cornelpick/charts"

/* Command line options.  */
struct options
{
  char *picker;
  char *charts;
  gint64 seed;
  gint seeds;
  gboolean json;
};

static double
to_ms (uint64_t time_us)
{
  return (double)time_us / 1000;
}

static void
print_text (const struct cp_trace *trace, const char *picker,
            const struct cp_replay_result *result,
            const struct cp_replay_finding *findings, unsigned count)
{
  printf ("trace    %s of %s: %s\n", trace->name, trace->deployment,
          trace->source);
  printf ("picker   %s\n", picker);
  printf ("calls    %" PRIu64 ", %" PRIu64 " errors, %" PRIu64
          " retries, %" PRIu64 " waits\n",
          result->calls, result->errors, result->retries, result->waits);
  printf ("latency  p50 %.1f ms, p99 %.1f ms, p99.9 %.1f ms\n",
          to_ms (result->p50_us), to_ms (result->p99_us),
          to_ms (result->p999_us));
  for (unsigned i = 0; i < trace->n_targets; i++)
    printf ("target   %s: %" PRIu64 " attempts\n", trace->targets[i].name,
            result->per_target[i]);
  for (unsigned i = 0; i < count; i++)
    printf ("%s %s: %.3f, at most %.3f\n",
            findings[i].holds ? "holds   " : "finding ", findings[i].name,
            findings[i].found, findings[i].bound);
}

static void
print_json (const struct cp_trace *trace, const char *picker,
            const struct cp_replay_result *result,
            const struct cp_replay_finding *findings, unsigned count)
{
  CP_AUTO_JSON json_t *object = json_pack (
      "{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:I, s:I}", "trace", trace->name,
      "deployment", trace->deployment, "picker", picker, "calls",
      (json_int_t)result->calls, "errors", (json_int_t)result->errors,
      "retries", (json_int_t)result->retries, "waits",
      (json_int_t)result->waits, "p50_us", (json_int_t)result->p50_us,
      "p99_us", (json_int_t)result->p99_us, "p999_us",
      (json_int_t)result->p999_us);
  json_t *targets = json_object ();
  json_t *outcomes = json_array ();
  CP_AUTO_FREE char *text = NULL;

  for (unsigned i = 0; i < trace->n_targets; i++)
    json_object_set_new (targets, trace->targets[i].name,
                         json_integer ((json_int_t)result->per_target[i]));
  for (unsigned i = 0; i < count; i++)
    json_array_append_new (outcomes, json_pack ("{s:s, s:f, s:f, s:b}",
                                                "outcome", findings[i].name,
                                                "bound", findings[i].bound,
                                                "found", findings[i].found,
                                                "holds", findings[i].holds));
  json_object_set_new (object, "targets", targets);
  json_object_set_new (object, "outcomes", outcomes);
  text = json_dumps (object, JSON_COMPACT | JSON_REAL_PRECISION (9));
  puts (text);
}

static int
replay_trace (const struct cp_trace *trace, const struct options *options,
              const struct cp_picker *picker, struct cp_error *error)
{
  struct cp_chart chart;
  struct cp_replay_options replay
      = { picker, &chart, (uint64_t)options->seed, false };
  struct cp_replay_result result;
  struct cp_replay_finding findings[CP_TRACE_OUTCOMES_MAX];
  unsigned seeds = (unsigned)options->seeds;
  unsigned count = 0;
  char path[512];
  int status = STATUS_OK;

  snprintf (path, sizeof path, "%s/target.json",
            options->charts == NULL ? CHARTS_DEFAULT : options->charts);
  if (cp_chart_load (&chart, path, &cp_health_names, error) != 0
      || cp_replay_run_seeds (trace, &replay, seeds, &result, error) != 0)
    return report_error (error);
  if (cp_replay_check (trace, &replay, seeds, &result, findings, &count, error)
      != 0)
    status = report_error (error);
  for (unsigned i = 0; i < count; i++)
    if (!findings[i].holds)
      status = STATUS_FINDING;
  (options->json ? print_json : print_text) (trace, picker->name, &result,
                                             findings, count);
  cp_replay_result_finish (&result);
  return status;
}

int
command_replay (int argc, char **argv)
{
  struct options options = { .seed = 1, .seeds = 1 };
  const GOptionEntry entries[] = {
    { "picker", 'p', 0, G_OPTION_ARG_STRING, &options.picker,
      "Picker to use (default: hot-cold)", "NAME" },
    { "seed", 's', 0, G_OPTION_ARG_INT64, &options.seed, "Seed of the choices",
      "NUMBER" },
    { "seeds", 'S', 0, G_OPTION_ARG_INT, &options.seeds,
      "Replay with this many consecutive seeds, as one result", "NUMBER" },
    { "charts", 'c', 0, G_OPTION_ARG_FILENAME, &options.charts,
      "Folder with the state charts", "FOLDER" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &options.json, "Print JSON", NULL },
    G_OPTION_ENTRY_NULL
  };
  const struct cp_picker *picker = &cp_picker_hot_cold;
  struct cp_trace trace;
  struct cp_error error;
  int status;

  if (!parse_arguments (&argc, &argv, entries) || argc != 2
      || options.seeds < 1)
    return usage ();
  if (options.picker != NULL)
    picker = cp_picker_find (options.picker);
  if (picker == NULL)
    {
      fprintf (stderr,
               "cornelpick: unknown picker \"%s\"; use random, round-robin, "
               "least-in-flight, two-choices or hot-cold\n",
               options.picker);
      return usage ();
    }
  cp_trace_init (&trace);
  if (cp_trace_load (&trace, argv[1], &error) != 0)
    status = report_error (&error);
  else
    status = replay_trace (&trace, &options, picker, &error);
  cp_trace_finish (&trace);
  return status;
}

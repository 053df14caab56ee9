/* The story of one request from the logs of several daemons.  */
#include <stdio.h>
#include <string.h>

#include "cornelpick/cornelpick.h"
#include "cornelpick/logs.h"
#include "lib/cleanup.h"

/* Lines of one request that are kept.  */
#define LINES_MAX 256

struct collected
{
  const char *request;
  json_t *lines[LINES_MAX];
  unsigned count;
  bool told[LINES_MAX];
};

static void
keep_line (void *context, json_t *line)
{
  struct collected *collected = context;

  if (strcmp (json_text (line, "request"), collected->request) == 0
      && collected->count < LINES_MAX)
    collected->lines[collected->count++] = json_incref (line);
}

static double
time_of (json_t *line)
{
  return json_number_value (json_object_get (line, "t"));
}

/* Returns whether LINE is of an inbound side.  */
static bool
is_job (json_t *line)
{
  return g_str_has_prefix (json_text (line, "kind"), "job_");
}

static bool
is_kind (json_t *line, const char *kind)
{
  return strcmp (json_text (line, "kind"), kind) == 0;
}

/* Returns the VM whose outbound side took the request, or NULL.  */
static const char *
taker (const struct collected *collected)
{
  for (unsigned i = 0; i < collected->count; i++)
    if (!is_job (collected->lines[i]))
      return json_text (collected->lines[i], "vm");
  return NULL;
}

static double
ms_of (json_t *line, const char *key)
{
  return (double)json_number (line, key) / 1000;
}

static void
tell_send (json_t *line)
{
  printf ("sends it to server %s of %s: %" JSON_INTEGER_FORMAT
          " busy of %" JSON_INTEGER_FORMAT ", slowness %" JSON_INTEGER_FORMAT
          "%%, report %.1f ms old, configuration %" JSON_INTEGER_FORMAT "\n",
          json_text (line, "server"), json_text (line, "service"),
          json_number (line, "busy"), json_number (line, "limit"),
          json_number (line, "slowness"), ms_of (line, "report_age_us"),
          json_number (line, "config"));
}

static void
tell_end (json_t *line)
{
  printf ("the daemon beside the server: %s", json_text (line, "outcome"));
  if (json_number (line, "status") > 0)
    printf (" with status %" JSON_INTEGER_FORMAT,
            json_number (line, "status"));
  if (json_text (line, "reason")[0] != '\0')
    printf (" (%s)", json_text (line, "reason"));
  printf (", waited %.1f ms, ran %.1f ms; %" JSON_INTEGER_FORMAT
          " run, %" JSON_INTEGER_FORMAT " wait, limit %" JSON_INTEGER_FORMAT
          "\n",
          ms_of (line, "waited_us"), ms_of (line, "ran_us"),
          json_number (line, "running"), json_number (line, "queued"),
          json_number (line, "limit"));
}

/* Tells what was tried; the line of a failure holds it.  */
static void
tell_trials (json_t *line)
{
  json_t *trial;
  size_t i;

  json_array_foreach (json_object_get (line, "trials"), i, trial)
  {
    printf ("%15s at %+.1f ms server %s: %" JSON_INTEGER_FORMAT
            " busy of %" JSON_INTEGER_FORMAT ", slowness %" JSON_INTEGER_FORMAT
            "%%, report %.1f ms old; ended: %s\n",
            "tried", ms_of (trial, "after_us"), json_text (trial, "server"),
            json_number (trial, "busy"), json_number (trial, "limit"),
            json_number (trial, "slowness"), ms_of (trial, "report_age_us"),
            json_text (trial, "end"));
  }
}

static void
tell_failed (json_t *line)
{
  printf ("answers %" JSON_INTEGER_FORMAT ": %s; %" JSON_INTEGER_FORMAT
          " asked, %" JSON_INTEGER_FORMAT " reached, %s, %.1f ms in all\n",
          json_number (line, "status"), json_text (line, "reason"),
          json_number (line, "tried"), json_number (line, "sent"),
          json_is_true (json_object_get (line, "may_have_run"))
              ? "may have run"
              : "has not run as far as is known",
          ms_of (line, "took_us"));
  tell_trials (line);
}

static void
tell (json_t *line, double since)
{
  printf ("%+9.1f ms  %s  ", (time_of (line) - since) * 1000,
          json_text (line, "vm"));
  if (is_kind (line, "send"))
    tell_send (line);
  else if (is_job (line))
    tell_end (line);
  else if (is_kind (line, "failed"))
    tell_failed (line);
  else if (is_kind (line, "again"))
    printf ("tries again: %s at %s\n", json_text (line, "reason"),
            json_text (line, "server"));
  else if (is_kind (line, "answer"))
    printf ("answers %" JSON_INTEGER_FORMAT " after %.1f ms\n",
            json_number (line, "status"), ms_of (line, "took_us"));
  else if (is_kind (line, "refused"))
    printf ("answers %" JSON_INTEGER_FORMAT " at once: %s\n",
            json_number (line, "status"), json_text (line, "reason"));
  else
    printf ("%s after %.1f ms\n", json_text (line, "kind"),
            ms_of (line, "took_us"));
}

/* Tells the end of the attempt STREAM at the daemon that had it.  Clocks of
   VMs differ, so it goes behind its cause and not by its time.  */
static void
tell_ends_of (struct collected *collected, json_int_t stream)
{
  for (unsigned i = 0; i < collected->count; i++)
    {
      json_t *line = collected->lines[i];

      if (!collected->told[i] && is_job (line)
          && json_number (line, "stream") == stream)
        {
          collected->told[i] = true;
          tell (line, time_of (line));
        }
    }
}

/* Returns the earliest line of VM that has not been told, or -1.  */
static int
next_of (const struct collected *collected, const char *vm)
{
  int next = -1;

  for (unsigned i = 0; i < collected->count; i++)
    if (!collected->told[i]
        && strcmp (json_text (collected->lines[i], "vm"), vm) == 0
        && !is_job (collected->lines[i])
        && (next < 0
            || time_of (collected->lines[i])
                   < time_of (collected->lines[next])))
      next = (int)i;
  return next;
}

static void
tell_story (struct collected *collected)
{
  const char *vm = taker (collected);
  double since = 0;
  int next;

  while (vm != NULL && (next = next_of (collected, vm)) >= 0)
    {
      json_t *line = collected->lines[next];

      if (since == 0)
        since = time_of (line);
      collected->told[next] = true;
      tell (line, since);
      if (is_kind (line, "send"))
        tell_ends_of (collected, json_number (line, "stream"));
    }
  for (unsigned i = 0; i < collected->count; i++)
    if (!collected->told[i])
      tell (collected->lines[i], time_of (collected->lines[i]));
}

int
logs_explain (char **files, int n_files, const char *request)
{
  CP_AUTO_FREE struct collected *collected = g_new0 (struct collected, 1);
  struct log_counts counts = { 0 };
  struct cp_error error;

  collected->request = request;
  for (int i = 0; i < n_files; i++)
    if (logs_read (files[i], request, keep_line, collected, &counts, &error)
        != 0)
      return report_error (&error);
  logs_report (&counts);
  if (collected->count == 0)
    {
      cp_error_set (&error, CP_ERROR_IO, request,
                    "name the logs of the VM that took it, or look for its "
                    "kind in a line with \"left_out\"",
                    "no line of the files is of this request");
      return report_error (&error);
    }
  tell_story (collected);
  for (unsigned i = 0; i < collected->count; i++)
    json_decref (collected->lines[i]);
  return STATUS_HOLDS;
}

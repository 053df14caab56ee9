/* Prints the timeline of one request from the logs of several daemons.  */
#include <stdio.h>
#include <string.h>

#include "cornelpick/cornelpick.h"
#include "cornelpick/logs.h"
#include "lib/cleanup.h"

/* Most lines of a request that are collected; later ones are left out.  */
#define LINES_MAX 256

struct collected
{
  const char *request;
  json_t *lines[LINES_MAX];
  unsigned count;
  bool printed[LINES_MAX];
};

static void
collect_line (void *context, json_t *line)
{
  struct collected *collected = context;

  if (strcmp (get_string_member (line, "request"), collected->request) == 0
      && collected->count < LINES_MAX)
    collected->lines[collected->count++] = json_incref (line);
}

static double
line_time (json_t *line)
{
  return json_number_value (json_object_get (line, "t"));
}

/* Returns whether LINE was logged by an inbound side.  */
static bool
is_inbound_line (json_t *line)
{
  return g_str_has_prefix (get_string_member (line, "kind"), "job_");
}

static bool
is_kind (json_t *line, const char *kind)
{
  return strcmp (get_string_member (line, "kind"), kind) == 0;
}

/* Returns the VM whose outbound side handled the request, or NULL.  */
static const char *
outbound_vm (const struct collected *collected)
{
  for (unsigned i = 0; i < collected->count; i++)
    if (!is_inbound_line (collected->lines[i]))
      return get_string_member (collected->lines[i], "vm");
  return NULL;
}

static double
get_ms (json_t *line, const char *key)
{
  return (double)get_integer_member (line, key) / 1000;
}

/* Prints that a server was cold by its last report, if it was.  */
static void
print_cold (json_t *line)
{
  json_int_t cold_ms = get_integer_member (line, "cold_ms");

  if (cold_ms > 0)
    printf (", cold for %" JSON_INTEGER_FORMAT " ms", cold_ms);
}

/* What a reason means that the other members of a line don't explain.  */
static const struct
{
  const char *reason;
  const char *meaning;
} reason_meanings[] = {
  { "evacuated", ": the failure domain is evacuated" },
  { "region", ": no server is left in the regions that the route allows" },
};

/* Returns the meaning of REASON, to be printed after it, or "".  */
static const char *
reason_meaning (const char *reason)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (reason_meanings); i++)
    if (strcmp (reason, reason_meanings[i].reason) == 0)
      return reason_meanings[i].meaning;
  return "";
}

static void
print_send (json_t *line)
{
  printf (
      "sends it to server %s of %s: %" JSON_INTEGER_FORMAT
      " busy of %" JSON_INTEGER_FORMAT ", slowness %" JSON_INTEGER_FORMAT
      "%%, report %.1f ms old, configuration %" JSON_INTEGER_FORMAT,
      get_string_member (line, "server"), get_string_member (line, "service"),
      get_integer_member (line, "busy"), get_integer_member (line, "limit"),
      get_integer_member (line, "slowness"), get_ms (line, "report_age_us"),
      get_integer_member (line, "config"));
  print_cold (line);
  putchar ('\n');
}

static bool
get_bool (json_t *line, const char *key)
{
  return json_is_true (json_object_get (line, key));
}

/* Prints what decided the order of the attempt among those that waited.  */
static void
print_rank (json_t *line)
{
  if (json_object_get (line, "rank") == NULL)
    return;
  printf ("%15s rank %" JSON_INTEGER_FORMAT
          " (route's priority %" JSON_INTEGER_FORMAT,
          "order:", get_integer_member (line, "rank"),
          get_integer_member (line, "priority"));
  if (get_bool (line, "nested"))
    printf (", call of a run of priority %" JSON_INTEGER_FORMAT,
            get_integer_member (line, "parent_priority"));
  printf ("%s); on arrival %.1f ms to its objective, %.1f ms to its deadline; "
          "expected work %.1f ms, allowed wait %.1f ms; overtaken by "
          "%" JSON_INTEGER_FORMAT "\n",
          get_bool (line, "repeat") ? ", repeat" : "",
          get_ms (line, "objective_left_us"),
          get_ms (line, "deadline_left_us"), get_ms (line, "work_us"),
          get_ms (line, "allowed_wait_us"),
          get_integer_member (line, "overtaken_by"));
}

static void
print_inbound_end (json_t *line)
{
  printf ("the daemon beside the server: %s",
          get_string_member (line, "outcome"));
  if (get_integer_member (line, "status") > 0)
    printf (" with status %" JSON_INTEGER_FORMAT,
            get_integer_member (line, "status"));
  if (get_string_member (line, "reason")[0] != '\0')
    printf (" (%s%s)", get_string_member (line, "reason"),
            reason_meaning (get_string_member (line, "reason")));
  printf (
      ", waited %.1f ms, ran %.1f ms; %" JSON_INTEGER_FORMAT
      " run, %" JSON_INTEGER_FORMAT " wait, limit %" JSON_INTEGER_FORMAT "\n",
      get_ms (line, "waited_us"), get_ms (line, "ran_us"),
      get_integer_member (line, "running"),
      get_integer_member (line, "queued"), get_integer_member (line, "limit"));
  print_rank (line);
}

/* Prints the attempts that the line of a failure lists.  */
static void
print_trials (json_t *line)
{
  json_t *trial;
  size_t i;

  json_array_foreach (json_object_get (line, "trials"), i, trial)
  {
    printf ("%15s at %+.1f ms server %s: %" JSON_INTEGER_FORMAT
            " busy of %" JSON_INTEGER_FORMAT ", slowness %" JSON_INTEGER_FORMAT
            "%%, report %.1f ms old",
            "tried", get_ms (trial, "after_us"),
            get_string_member (trial, "server"),
            get_integer_member (trial, "busy"),
            get_integer_member (trial, "limit"),
            get_integer_member (trial, "slowness"),
            get_ms (trial, "report_age_us"));
    print_cold (trial);
    printf ("; ended: %s\n", get_string_member (trial, "end"));
  }
}

/* Prints what was known of the room at the servers, and what the caller was
   told.  */
static void
print_room (json_t *line)
{
  json_t *room = json_object_get (line, "room");

  if (get_integer_member (room, "servers") > 0)
    printf ("%15s %" JSON_INTEGER_FORMAT " servers: %" JSON_INTEGER_FORMAT
            " with a free slot, %" JSON_INTEGER_FORMAT
            " with a short queue, %" JSON_INTEGER_FORMAT
            " without a report, reports up to %.1f ms old\n",
            "known of", get_integer_member (room, "servers"),
            get_integer_member (room, "slot"),
            get_integer_member (room, "queue"),
            get_integer_member (room, "unknown"), get_ms (room, "age_us"));
  if (get_integer_member (line, "retry_us") > 0)
    printf (
        "%15s to wait %.1f ms, of %.1f ms left; room expected in %.1f ms\n",
        "told", get_ms (line, "retry_us"), get_ms (line, "left_us"),
        get_ms (room, "wait_us"));
}

static void
print_failure (json_t *line)
{
  printf (
      "answers %" JSON_INTEGER_FORMAT ": %s%s; %" JSON_INTEGER_FORMAT
      " asked, %" JSON_INTEGER_FORMAT " reached, %s, %.1f ms in all\n",
      get_integer_member (line, "status"), get_string_member (line, "reason"),
      reason_meaning (get_string_member (line, "reason")),
      get_integer_member (line, "tried"), get_integer_member (line, "sent"),
      json_is_true (json_object_get (line, "may_have_run"))
          ? "may have run"
          : "has not run as far as is known",
      get_ms (line, "took_us"));
  print_room (line);
  print_trials (line);
}

static void
print_line (json_t *line, double start)
{
  printf ("%+9.1f ms  %s  ", (line_time (line) - start) * 1000,
          get_string_member (line, "vm"));
  if (is_kind (line, "send"))
    print_send (line);
  else if (is_inbound_line (line))
    print_inbound_end (line);
  else if (is_kind (line, "failed"))
    print_failure (line);
  else if (is_kind (line, "again"))
    printf ("tries again: %s%s at %s\n", get_string_member (line, "reason"),
            reason_meaning (get_string_member (line, "reason")),
            get_string_member (line, "server"));
  else if (is_kind (line, "no_retry"))
    printf ("%s: %s of %s\n",
            json_is_true (json_object_get (line, "of_repeat"))
                    && get_integer_member (line, "sent") == 0
                ? "does not send the call of a repeat"
                : "does not try again",
            get_string_member (line, "reason"),
            get_string_member (line, "service"));
  else if (is_kind (line, "answer"))
    printf ("answers %" JSON_INTEGER_FORMAT " after %.1f ms\n",
            get_integer_member (line, "status"), get_ms (line, "took_us"));
  else if (is_kind (line, "refused"))
    printf ("answers %" JSON_INTEGER_FORMAT " at once: %s\n",
            get_integer_member (line, "status"),
            get_string_member (line, "reason"));
  else
    printf ("%s after %.1f ms\n", get_string_member (line, "kind"),
            get_ms (line, "took_us"));
}

/* Prints the inbound lines of the attempt STREAM.  They follow the line of
   its send and are not sorted by time, because the clocks of VMs differ.  */
static void
print_inbound_ends (struct collected *collected, json_int_t stream)
{
  for (unsigned i = 0; i < collected->count; i++)
    {
      json_t *line = collected->lines[i];

      if (!collected->printed[i] && is_inbound_line (line)
          && get_integer_member (line, "stream") == stream)
        {
          collected->printed[i] = true;
          print_line (line, line_time (line));
        }
    }
}

/* Returns the index of the earliest outbound line of VM that has not been
   printed, or -1.  */
static int
next_line (const struct collected *collected, const char *vm)
{
  int next = -1;

  for (unsigned i = 0; i < collected->count; i++)
    if (!collected->printed[i]
        && strcmp (get_string_member (collected->lines[i], "vm"), vm) == 0
        && !is_inbound_line (collected->lines[i])
        && (next < 0
            || line_time (collected->lines[i])
                   < line_time (collected->lines[next])))
      next = (int)i;
  return next;
}

static void
print_timeline (struct collected *collected)
{
  const char *vm = outbound_vm (collected);
  double start = 0;
  int next;

  while (vm != NULL && (next = next_line (collected, vm)) >= 0)
    {
      json_t *line = collected->lines[next];

      if (start == 0)
        start = line_time (line);
      collected->printed[next] = true;
      print_line (line, start);
      if (is_kind (line, "send"))
        print_inbound_ends (collected, get_integer_member (line, "stream"));
    }
  for (unsigned i = 0; i < collected->count; i++)
    if (!collected->printed[i])
      print_line (collected->lines[i], line_time (collected->lines[i]));
}

int
logs_explain (char **files, int n_files, const char *request)
{
  CP_AUTO_FREE struct collected *collected = g_new0 (struct collected, 1);
  struct log_counts counts = { 0 };
  struct cp_error error;

  collected->request = request;
  for (int i = 0; i < n_files; i++)
    if (logs_read (files[i], request, collect_line, collected, &counts, &error)
        != 0)
      return report_error (&error);
  logs_report_skipped (&counts);
  if (collected->count == 0)
    {
      cp_error_set (&error, CP_ERROR_IO, request,
                    "name the logs of the VM that took it, or look for its "
                    "kind in a line with \"left_out\"",
                    "the files have no line of this request");
      return report_error (&error);
    }
  print_timeline (collected);
  for (unsigned i = 0; i < collected->count; i++)
    json_decref (collected->lines[i]);
  return STATUS_OK;
}

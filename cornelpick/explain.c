#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "cornelpick/cornelpick.h"
#include "cornelpick/logs.h"
#include "cornelpick/progress.h"
#include "cornelpick/story.h"
#include "lib/cleanup.h"

#define ATTEMPTS_MAX 16

/* An attempt and the inbound side that it was sent to.  */
struct hop
{
  const struct cp_decision *send;
  char admin[CP_ADDRESS_TEXT_BYTES]; /* empty when there is no daemon or it is
                                        unknown */
  json_t *records;
  struct story story;
  char *fault; /* why there are no records, or NULL */
};

struct explanation
{
  const char *address;
  const char *request;
  int admin_port; /* 0 for the port of ADDRESS */
  json_t *records;
  struct story story;
  struct hop hops[ATTEMPTS_MAX];
  size_t n_hops;
};

static void
explanation_finish (struct explanation *explanation)
{
  for (size_t i = 0; i < explanation->n_hops; i++)
    {
      json_decref (explanation->hops[i].records);
      story_finish (&explanation->hops[i].story);
      g_free (explanation->hops[i].fault);
    }
  json_decref (explanation->records);
  story_finish (&explanation->story);
}

/* Reports why the daemon has no record of the request: overwritten in its ring
   buffer, or never seen.  */
static int
report_missing (const struct explanation *explanation)
{
  struct cp_error error;
  CP_AUTO_JSON json_t *state = admin_get_state (explanation->address, &error);
  json_t *ring = json_object_get (state, "decisions");
  json_int_t added = json_integer_value (json_object_get (ring, "added"));
  json_int_t capacity
      = json_integer_value (json_object_get (ring, "capacity"));
  json_int_t age_us
      = json_integer_value (json_object_get (ring, "oldest_age_us"));

  if (state == NULL)
    return report_error (&error);
  if (added > capacity)
    cp_error_set (&error, CP_ERROR_PROTOCOL, explanation->request,
                  "ask the daemon that took the call, the first name in "
                  "Cornelpick-Path; if it was this one, the records are gone",
                  "is not among the last %" JSON_INTEGER_FORMAT
                  " records of %s, which reach back %.1f s",
                  capacity, explanation->address, (double)age_us / 1e6);
  else
    cp_error_set (&error, CP_ERROR_PROTOCOL, explanation->request,
                  "ask the daemon that took the call, the first name in "
                  "Cornelpick-Path, and check the ID",
                  "was never seen by %s since it started",
                  explanation->address);
  return report_error (&error);
}

/* Finds the peer address of the daemon beside a target.  */
static bool
find_target_daemon (const struct explanation *explanation,
                    const struct cp_decision *send, struct cp_address *daemon,
                    struct cp_error *error)
{
  CP_AUTO_FREE char *path
      = g_strdup_printf ("/targets?service=%s", send->service);
  CP_AUTO_JSON json_t *targets
      = admin_get_list (explanation->address, path, error);
  size_t i;
  json_t *target;

  if (targets == NULL)
    return false;
  json_array_foreach (targets, i, target)
  {
    if (strcmp (get_string_member (target, "name"), send->target) == 0)
      {
        if (cp_address_parse (daemon, get_string_member (target, "daemon")))
          return true;
        cp_error_set (error, CP_ERROR_USAGE, send->target,
                      "read the target's own log", "has no daemon beside it");
        return false;
      }
  }
  cp_error_set (error, CP_ERROR_USAGE, send->target,
                "find its VM in an earlier document",
                "is no longer in the document");
  return false;
}

/* Writes the admin address of the daemon whose peer address is PEERS.  */
static void
admin_address (const struct explanation *explanation,
               const struct cp_address *peers, char *text, size_t size)
{
  struct cp_address asked;
  char host[64];
  unsigned port = (unsigned)explanation->admin_port;

  if (port == 0 && cp_address_parse (&asked, explanation->address))
    port = cp_address_port (&asked);
  cp_address_host (peers, host, sizeof host);
  snprintf (text, size, strchr (host, ':') != NULL ? "[%s]:%u" : "%s:%u", host,
            port);
}

/* Reads the records of the inbound side that an attempt was sent to.  */
static void
query_hop (const struct explanation *explanation, struct hop *hop)
{
  struct cp_address peers;
  struct cp_error error;
  char id[CP_ID_TEXT_BYTES];
  char path[80];
  char text[900];

  if (!find_target_daemon (explanation, hop->send, &peers, &error))
    {
      cp_error_text (&error, text, sizeof text);
      hop->fault = g_strdup (text);
      return;
    }
  admin_address (explanation, &peers, hop->admin, sizeof hop->admin);
  cp_id_text (&hop->send->attempt, id);
  snprintf (path, sizeof path, "/decisions?attempt=%s", id);
  hop->records = admin_get_list (hop->admin, path, &error);
  if (hop->records == NULL)
    hop->fault = g_strdup_printf (
        "%s does not answer; give its port with --admin-port, or run "
        "\"cornelpick explain %s %s\" on that VM",
        hop->admin, hop->admin, explanation->request);
  else if (story_init (&hop->story, hop->records) == 0
           && hop->story.count == 0)
    hop->fault = g_strdup_printf (
        "%s has no record of attempt %.8s: it never came there, the "
        "daemon restarted, or the records are gone",
        hop->admin, id);
}

static void
query_hops (struct explanation *explanation)
{
  for (size_t i = 0; i < explanation->story.count; i++)
    {
      const struct cp_decision *record = &explanation->story.records[i];
      struct hop *hop = &explanation->hops[explanation->n_hops];

      if (record->kind != CP_DECISION_SEND
          || explanation->n_hops == ATTEMPTS_MAX)
        continue;
      hop->send = record;
      query_hop (explanation, hop);
      explanation->n_hops++;
    }
}

static void
print_hop (const struct hop *hop)
{
  char id[STORY_ID_BYTES];

  story_short_id (&hop->send->attempt, id);
  printf ("\nAttempt %s, inbound side of %s", id, hop->send->target);
  if (hop->admin[0] != '\0')
    printf (" (%s)", hop->admin);
  putchar ('\n');
  if (hop->fault != NULL)
    printf ("  Not available: %s.\n", hop->fault);
  story_print (&hop->story, STORY_INBOUND, stdout);
}

/* Prints the records of a daemon that got the request from another daemon.  */
static void
print_inbound_part (const struct explanation *explanation)
{
  const struct cp_decision *admit
      = story_find (&explanation->story, CP_DECISION_ADMIT, NULL);

  printf ("Request %s, only its part at %s\n", explanation->request,
          explanation->address);
  story_print (&explanation->story, STORY_BOTH, stdout);
  if (admit != NULL)
    printf ("\n%s sent it here; ask that daemon for the whole call.\n",
            admit->reason);
}

static void
print_request (const struct explanation *explanation)
{
  struct story inbound[ATTEMPTS_MAX];

  printf ("Request %s\n\nOutbound side (%s)\n", explanation->request,
          explanation->address);
  story_print (&explanation->story, STORY_OUTBOUND, stdout);
  for (size_t i = 0; i < explanation->n_hops; i++)
    {
      print_hop (&explanation->hops[i]);
      inbound[i] = explanation->hops[i].story;
    }
  story_print_proof (&explanation->story, inbound, explanation->n_hops,
                     stdout);
}

static void
print_json (const struct explanation *explanation)
{
  json_t *hops = json_array ();
  CP_AUTO_JSON json_t *whole = json_pack (
      "{s:s, s:s, s:O, s:o}", "request", explanation->request, "asked",
      explanation->address, "records", explanation->records, "hops", hops);
  CP_AUTO_FREE char *text = NULL;

  for (size_t i = 0; i < explanation->n_hops; i++)
    {
      const struct hop *hop = &explanation->hops[i];
      json_t *body = json_pack ("{s:s, s:s, s:s}", "target", hop->send->target,
                                "admin", hop->admin, "fault",
                                hop->fault == NULL ? "" : hop->fault);

      if (hop->records != NULL)
        json_object_set (body, "records", hop->records);
      json_array_append_new (hops, body);
    }
  text = json_dumps (whole, JSON_INDENT (2));
  puts (text == NULL ? "{}" : text);
}

static bool
is_outbound (const struct story *story)
{
  return story_find (story, CP_DECISION_PICK, NULL) != NULL
         || story_find (story, CP_DECISION_SEND, NULL) != NULL
         || story_find (story, CP_DECISION_OUTCOME, NULL) != NULL;
}

/* Reads and prints the records; returns the exit status.  */
static int
explain (struct explanation *explanation, bool json)
{
  struct cp_error error;
  struct progress progress;
  char path[80];
  int status = STATUS_OK;

  snprintf (path, sizeof path, "/decisions?request=%s", explanation->request);
  explanation->records = admin_get_list (explanation->address, path, &error);
  if (explanation->records == NULL)
    return report_error (&error);
  if (story_init (&explanation->story, explanation->records) != 0
      || explanation->story.count == 0)
    return report_missing (explanation);
  progress_begin (&progress, "asking the inbound sides");
  query_hops (explanation);
  progress_end (&progress);
  for (size_t i = 0; i < explanation->n_hops; i++)
    if (explanation->hops[i].fault != NULL)
      status = STATUS_FINDING;
  if (json)
    print_json (explanation);
  else if (is_outbound (&explanation->story))
    print_request (explanation);
  else
    print_inbound_part (explanation);
  return status;
}

int
command_explain (int argc, char **argv)
{
  gboolean json = FALSE;
  gboolean from_logs = FALSE;
  struct explanation explanation = { 0 };
  const GOptionEntry entries[]
      = { { "json", 'j', 0, G_OPTION_ARG_NONE, &json,
            "Print the records as JSON", NULL },
          { "admin-port", 'p', 0, G_OPTION_ARG_INT, &explanation.admin_port,
            "Admin port of the other daemons", "PORT" },
          { "log", 'l', 0, G_OPTION_ARG_NONE, &from_logs,
            "Explain from the logs of cornelpick-meshd", NULL },
          G_OPTION_ENTRY_NULL };
  struct cp_error error;
  struct cp_id id;
  int status;

  if (!parse_arguments (&argc, &argv, entries))
    return usage ();
  if (from_logs && argc >= 3)
    return logs_explain (argv + 1, argc - 2, argv[argc - 1]);
  if (from_logs || argc != 3 || explanation.admin_port < 0
      || explanation.admin_port > 65535)
    return usage ();
  if (!cp_id_parse (&id, argv[2]))
    {
      cp_error_set (&error, CP_ERROR_USAGE, argv[2],
                    "copy the value of the answer's header "
                    "Cornelpick-Request, 32 hexadecimal digits",
                    "is not a request ID");
      report_error (&error);
      return STATUS_USAGE;
    }
  explanation.address = argv[1];
  explanation.request = argv[2];
  status = explain (&explanation, json);
  explanation_finish (&explanation);
  return status;
}

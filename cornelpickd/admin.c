#include <string.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

static void
answer_state (struct daemon *daemon, struct request *request)
{
  CP_AUTO_JSON json_t *dump = daemon_dump (daemon);
  CP_AUTO_FREE char *text = json_dumps (dump, JSON_INDENT (2));

  request_answer (request, 200, NULL, "application/json",
                  text == NULL ? "{}" : text);
}

/* Copies the value of NAME in the query to VALUE, which has SIZE bytes.
   Returns false when it is missing, empty or too long.  */
static bool
query_value (const struct request *request, const char *name, char *value,
             size_t size)
{
  const char *query = request->info->query_string;

  return query != NULL
         && mg_get_var (query, strlen (query), name, value, size) > 0;
}

/* Answers /decisions; ?request=ID or ?attempt=ID selects those of one request
   or attempt.  */
static void
answer_decisions (struct daemon *daemon, struct request *request)
{
  char text[CP_ID_TEXT_BYTES];
  struct cp_id id;
  bool by_id = query_value (request, "request", text, sizeof text)
               || query_value (request, "attempt", text, sizeof text);
  CP_AUTO_JSON json_t *list = NULL;
  CP_AUTO_FREE char *dump = NULL;

  if (by_id && !cp_id_parse (&id, text))
    {
      request_answer (request, 400, NULL, "text/plain",
                      "Write the ID as 32 hexadecimal digits.\n");
      return;
    }
  list = cp_decisions_dump (&daemon->decisions, by_id ? &id : NULL);
  dump = json_dumps (list, JSON_COMPACT);
  request_answer (request, 200, NULL, "application/json",
                  dump == NULL ? "[]" : dump);
}

/* Answers /targets?service=NAME with the addresses of the service's
   targets.  */
static void
answer_targets (struct daemon *daemon, struct request *request)
{
  struct cp_document *document = configuration_get (&daemon->configuration);
  CP_AUTO_JSON json_t *list = json_array ();
  CP_AUTO_FREE char *dump = NULL;
  char name[CP_NAME_BYTES] = "";

  query_value (request, "service", name, sizeof name);
  for (unsigned s = 0; document != NULL && s < document->n_services; s++)
    for (unsigned t = 0; t < document->services[s].n_targets; t++)
      {
        const struct cp_target *target = &document->services[s].targets[t];

        if (strcmp (document->services[s].name, name) == 0)
          json_array_append_new (
              list, json_pack ("{s:s, s:s, s:s, s:s}", "name", target->name,
                               "address", target->address.text, "daemon",
                               target->has_daemon ? target->daemon.text : "",
                               "failure_domain", target->failure_domain));
      }
  cp_document_unref (document);
  dump = json_dumps (list, JSON_COMPACT);
  request_answer (request, 200, NULL, "application/json",
                  dump == NULL ? "[]" : dump);
}

static void
answer_metrics (struct daemon *daemon, struct request *request)
{
  CP_AUTO_FREE char *text = metrics_text (daemon);

  request_answer (request, 200, NULL, "text/plain; version=0.0.4", text);
}

static void
answer_health (struct daemon *daemon, struct request *request)
{
  enum cp_daemon_state life = daemon_life (daemon);

  request_answer (request, life == CP_DAEMON_SERVING ? 200 : 503, NULL,
                  "text/plain", cp_daemon_state_names[life]);
}

void
admin_handle (void *context, struct request *request)
{
  struct daemon *daemon = context;
  const char *path = request->info->request_uri;

  if (strcmp (path, "/state") == 0)
    answer_state (daemon, request);
  else if (strcmp (path, "/decisions") == 0)
    answer_decisions (daemon, request);
  else if (strcmp (path, "/targets") == 0)
    answer_targets (daemon, request);
  else if (strcmp (path, "/metrics") == 0)
    answer_metrics (daemon, request);
  else if (strcmp (path, "/healthz") == 0)
    answer_health (daemon, request);
  else
    request_answer (request, 404, NULL, "text/plain",
                    "Use /healthz, /state, /metrics, /decisions or "
                    "/targets?service=NAME.\n");
}

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

/* Answers /decisions, or /decisions?request=ID for one request.  */
static void
answer_decisions (struct daemon *daemon, struct request *request)
{
  const char *query = request->info->query_string;
  struct cp_id id;
  bool one = query != NULL && strncmp (query, "request=", 8) == 0
             && cp_id_parse (&id, query + 8);
  CP_AUTO_JSON json_t *list
      = cp_decisions_dump (&daemon->decisions, one ? &id : NULL);
  CP_AUTO_FREE char *text = json_dumps (list, JSON_COMPACT);

  request_answer (request, 200, NULL, "application/json",
                  text == NULL ? "[]" : text);
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
  enum cp_life life = daemon_life (daemon);

  request_answer (request, life == CP_LIFE_SERVING ? 200 : 503, NULL,
                  "text/plain", cp_life_names[life]);
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
  else if (strcmp (path, "/metrics") == 0)
    answer_metrics (daemon, request);
  else if (strcmp (path, "/healthz") == 0)
    answer_health (daemon, request);
  else
    request_answer (request, 404, NULL, "text/plain",
                    "Use /healthz, /state, /metrics or /decisions.\n");
}

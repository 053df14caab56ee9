/* Relates the calls that the local server makes to the requests that it runs:
   learns how many calls a run makes, and reserves the retry budgets for the
   calls of repeats.  */
#include <string.h>

#include "meshd/daemon_internal.h"

/* Returns the route of the request with HEAD, its request line and headers, or
   NULL.  */
static struct cp_route_table_entry *
find_route (const struct mesh_daemon *daemon, const char *head)
{
  static const char host_name[] = "\r\nHost:";
  g_auto (GStrv) words = g_strsplit_set (head, " \r", 3);
  const char *at = strcasestr (head, host_name);
  g_autofree char *host = NULL;

  if (daemon->exchange.registry.table == NULL || at == NULL
      || g_strv_length (words) < 3)
    return NULL;
  at += strlen (host_name);
  at += strspn (at, " \t");
  host = g_strndup (at, strcspn (at, " \t\r"));
  return cp_route_table_find (daemon->exchange.registry.table, host, words[1]);
}

bool
mesh_daemon_find_parent (void *context, const char *request_id,
                         const char *service, struct mesh_parent *parent)
{
  struct mesh_daemon *daemon = context;
  double reserved;

  if (!mesh_inbound_find_parent (&daemon->inbound, request_id, parent))
    return false;
  cp_run_calls_add (parent->made, service, 1);
  reserved = MIN (1, cp_run_calls_get (parent->reserved, service));
  if (reserved > 0)
    {
      cp_run_calls_add (parent->reserved, service, -reserved);
      cp_repeat_budgets_release (&daemon->budgets, service, reserved);
    }
  /* The call may outlive its parent.  */
  parent->made = NULL;
  parent->reserved = NULL;
  return true;
}

bool
mesh_daemon_reserve_calls (void *context, const char *head,
                           struct cp_run_calls *reserved)
{
  struct mesh_daemon *daemon = context;
  const struct cp_route_table_entry *route = find_route (daemon, head);
  const struct cp_run_calls *expected
      = route == NULL ? NULL
                      : cp_call_fan_out_find (&daemon->fan_out, route->host,
                                              route->prefix);
  uint64_t now = cp_clock_now_us (&cp_clock_boot);

  for (unsigned i = 0; expected != NULL && i < expected->n_services; i++)
    {
      const char *service = expected->of[i].service;
      double calls = expected->of[i].calls;

      if (!cp_repeat_budgets_reserve (&daemon->budgets, service, calls, now))
        {
          mesh_daemon_release_calls (daemon, reserved);
          cp_run_calls_finish (reserved);
          return false;
        }
      cp_run_calls_add (reserved, service, calls);
    }
  return true;
}

void
mesh_daemon_release_calls (void *context, const struct cp_run_calls *reserved)
{
  struct mesh_daemon *daemon = context;

  for (unsigned i = 0; i < reserved->n_services; i++)
    cp_repeat_budgets_release (&daemon->budgets, reserved->of[i].service,
                               reserved->of[i].calls);
}

void
mesh_daemon_record_run (void *context, const char *head,
                        const struct cp_run_calls *made)
{
  struct mesh_daemon *daemon = context;
  const struct cp_route_table_entry *route = find_route (daemon, head);

  if (route != NULL)
    cp_call_fan_out_record (&daemon->fan_out, route->host, route->prefix,
                            made);
}

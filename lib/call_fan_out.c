#include "lib/call_fan_out.h"

/* Weight of one run in the means.  */
#define RUN_WEIGHT (1.0 / 16)

/* Routes whose means are kept.  A configuration has some tens; those of former
   configurations are discarded together when there are more.  */
#define ROUTES_MAX 4096

static void
free_route (void *data)
{
  cp_run_calls_finish (data);
  g_free (data);
}

void
cp_call_fan_out_init (struct cp_call_fan_out *fan_out)
{
  fan_out->routes
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_route);
}

void
cp_call_fan_out_finish (struct cp_call_fan_out *fan_out)
{
  g_hash_table_unref (fan_out->routes);
}

const struct cp_run_calls *
cp_call_fan_out_find (const struct cp_call_fan_out *fan_out, const char *host,
                      const char *prefix)
{
  g_autofree char *name = g_strconcat (host, prefix, NULL);

  return g_hash_table_lookup (fan_out->routes, name);
}

void
cp_call_fan_out_record (struct cp_call_fan_out *fan_out, const char *host,
                        const char *prefix, const struct cp_run_calls *run)
{
  g_autofree char *name = g_strconcat (host, prefix, NULL);
  struct cp_run_calls *mean = g_hash_table_lookup (fan_out->routes, name);

  if (mean == NULL)
    {
      if (g_hash_table_size (fan_out->routes) >= ROUTES_MAX)
        g_hash_table_remove_all (fan_out->routes);
      mean = g_new0 (struct cp_run_calls, 1);
      cp_run_calls_copy (mean, run);
      g_hash_table_insert (fan_out->routes, g_steal_pointer (&name), mean);
      return;
    }
  for (unsigned i = 0; i < mean->n_services; i++)
    mean->of[i].calls -= mean->of[i].calls * RUN_WEIGHT;
  for (unsigned i = 0; i < run->n_services; i++)
    cp_run_calls_add (mean, run->of[i].service, run->of[i].calls * RUN_WEIGHT);
}

void
cp_run_calls_add (struct cp_run_calls *run, const char *service, double calls)
{
  unsigned i = 0;

  while (i < run->n_services && g_strcmp0 (run->of[i].service, service) != 0)
    i++;
  if (i == CP_RUN_SERVICES_MAX || (i == run->n_services && calls <= 0))
    return;
  if (i == run->n_services)
    run->of[run->n_services++].service = g_strdup (service);
  run->of[i].calls = MAX (0, run->of[i].calls + calls);
}

double
cp_run_calls_get (const struct cp_run_calls *run, const char *service)
{
  for (unsigned i = 0; i < run->n_services; i++)
    if (g_strcmp0 (run->of[i].service, service) == 0)
      return run->of[i].calls;
  return 0;
}

void
cp_run_calls_copy (struct cp_run_calls *to, const struct cp_run_calls *from)
{
  cp_run_calls_finish (to);
  for (unsigned i = 0; i < from->n_services; i++)
    cp_run_calls_add (to, from->of[i].service, from->of[i].calls);
}

void
cp_run_calls_finish (struct cp_run_calls *run)
{
  for (unsigned i = 0; i < run->n_services; i++)
    g_free (run->of[i].service);
  *run = (struct cp_run_calls){ 0 };
}

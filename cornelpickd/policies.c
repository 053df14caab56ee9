#include <stdlib.h>
#include <string.h>

#include "cornelpickd/policies.h"
#include "lib/cleanup.h"

static void
free_policy (void *value)
{
  struct policy *policy = value;

  cp_retry_finish (&policy->retry);
  cp_hedge_finish (&policy->hedge);
  free (policy);
}

void
policies_init (struct policies *policies, const struct cp_clock *clock)
{
  pthread_mutex_init (&policies->lock, NULL);
  policies->clock = clock;
  policies->services
      = g_hash_table_new_full (g_str_hash, g_str_equal, free, free_policy);
}

void
policies_finish (struct policies *policies)
{
  g_hash_table_destroy (policies->services);
  pthread_mutex_destroy (&policies->lock);
}

struct policy *
policies_get (struct policies *policies, const char *service)
{
  struct policy *policy;

  CP_LOCK_SCOPE (&policies->lock);
  policy = g_hash_table_lookup (policies->services, service);
  if (policy != NULL)
    return policy;
  policy = calloc (1, sizeof *policy);
  if (policy == NULL)
    abort ();
  cp_retry_init (&policy->retry);
  cp_hedge_init (&policy->hedge, cp_clock_now_us (policies->clock));
  g_hash_table_insert (policies->services, strdup (service), policy);
  return policy;
}

void
policies_update (struct policies *policies, const struct cp_document *document)
{
  for (unsigned i = 0; i < document->n_services; i++)
    {
      const struct cp_service *service = &document->services[i];
      struct policy *policy = policies_get (policies, service->name);

      cp_retry_configure (&policy->retry, service->retry_share,
                          service->max_retries);
      cp_hedge_configure (&policy->hedge, service->hedge_share,
                          service->hedge_quantile);
    }
}

json_t *
policies_dump (struct policies *policies)
{
  json_t *dump = json_object ();
  GHashTableIter iterator;
  gpointer key;
  gpointer value;

  CP_LOCK_SCOPE (&policies->lock);
  g_hash_table_iter_init (&iterator, policies->services);
  while (g_hash_table_iter_next (&iterator, &key, &value))
    {
      struct policy *policy = value;

      json_object_set_new (dump, key,
                           json_pack ("{s:o, s:o}", "retry",
                                      cp_retry_dump (&policy->retry), "hedge",
                                      cp_hedge_dump (&policy->hedge)));
    }
  return dump;
}

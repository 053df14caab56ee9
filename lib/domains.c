#include <string.h>

#include "lib/domains.h"

static void
region_free (void *value)
{
  struct cp_region *region = value;

  g_free (region->name);
  g_free (region);
}

static void
domain_free (void *value)
{
  struct cp_domain *domain = value;

  g_free (domain->name);
  g_free (domain);
}

void
cp_domains_init (struct cp_domains *domains, const char *own)
{
  *domains = (struct cp_domains){ .n_evacuated = 0 };
  domains->by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, domain_free);
  domains->regions
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, region_free);
  domains->own = cp_domains_get (domains, own);
}

void
cp_domains_finish (struct cp_domains *domains)
{
  g_hash_table_unref (domains->by_name);
  g_hash_table_unref (domains->regions);
}

struct cp_domain *
cp_domains_get (struct cp_domains *domains, const char *name)
{
  struct cp_domain *domain = g_hash_table_lookup (domains->by_name, name);

  if (domain == NULL)
    {
      domain = g_new0 (struct cp_domain, 1);
      domain->name = g_strdup (name);
      g_hash_table_insert (domains->by_name, domain->name, domain);
    }
  return domain;
}

static struct cp_region *
get_region (struct cp_domains *domains, const char *name)
{
  struct cp_region *region = g_hash_table_lookup (domains->regions, name);

  if (region == NULL)
    {
      region = g_new0 (struct cp_region, 1);
      region->name = g_strdup (name);
      g_hash_table_insert (domains->regions, region->name, region);
    }
  return region;
}

void
cp_domains_clear_regions (struct cp_domains *domains)
{
  GHashTableIter iter;
  void *value;

  g_hash_table_iter_init (&iter, domains->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct cp_domain *)value)->region = NULL;
  domains->own_region = NULL;
}

void
cp_domains_set_region (struct cp_domains *domains, const char *name,
                       const char *region)
{
  cp_domains_get (domains, name)->region = get_region (domains, region);
}

void
cp_domains_set_own_region (struct cp_domains *domains, const char *region)
{
  domains->own_region = region[0] == '\0' ? domains->own->region
                                          : get_region (domains, region);
  if (domains->own->region == NULL)
    domains->own->region = domains->own_region;
}

bool
cp_domains_evacuate (struct cp_domains *domains, const char *name)
{
  struct cp_domain *domain = cp_domains_get (domains, name);

  domain->lapses_us = 0;
  if (domain->evacuated)
    return false;
  domain->evacuated = true;
  domains->n_evacuated++;
  return true;
}

static void
bring_back (struct cp_domains *domains, struct cp_domain *domain,
            uint64_t now_us)
{
  domain->evacuated = false;
  domain->lapses_us = 0;
  domain->returned_us = now_us;
  domains->n_evacuated--;
  domains->returning_until_us = now_us + CP_DOMAINS_RETURN_US;
}

bool
cp_domains_bring_back (struct cp_domains *domains, const char *name,
                       uint64_t now_us)
{
  struct cp_domain *domain = g_hash_table_lookup (domains->by_name, name);

  if (domain == NULL || !domain->evacuated)
    return false;
  bring_back (domains, domain, now_us);
  return true;
}

void
cp_domains_lapse (struct cp_domains *domains, const char *name,
                  uint64_t until_us)
{
  struct cp_domain *domain = g_hash_table_lookup (domains->by_name, name);

  if (domain != NULL && domain->evacuated && domain->lapses_us == 0)
    domain->lapses_us = until_us;
}

const struct cp_domain *
cp_domains_expire (struct cp_domains *domains, uint64_t now_us)
{
  GHashTableIter iter;
  void *value;

  if (domains->n_evacuated == 0)
    return NULL;
  g_hash_table_iter_init (&iter, domains->by_name);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cp_domain *domain = value;

      if (domain->lapses_us == 0 || domain->lapses_us > now_us)
        continue;
      bring_back (domains, domain, now_us);
      return domain;
    }
  return NULL;
}

double
cp_domain_share (const struct cp_domain *domain, uint64_t now_us)
{
  if (domain->evacuated)
    return 0;
  if (domain->returned_us == 0
      || now_us >= domain->returned_us + CP_DOMAINS_RETURN_US)
    return 1;
  if (now_us <= domain->returned_us)
    return 0;
  return (double)(now_us - domain->returned_us) / (double)CP_DOMAINS_RETURN_US;
}

bool
cp_domains_allow (const struct cp_domains *domains,
                  const struct cp_domain *domain, char *const *regions)
{
  if (regions == NULL)
    return true;
  if (regions[0] == NULL && domains->own_region == NULL)
    return domain == domains->own;
  if (regions[0] == NULL)
    return domain->region == domains->own_region;
  for (unsigned i = 0; regions[i] != NULL && domain->region != NULL; i++)
    if (strcmp (regions[i], domain->region->name) == 0)
      return true;
  return false;
}

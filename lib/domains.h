/* Failure domains: their regions, which of them the operator has evacuated,
   and the gradual return of those that were brought back.

   An evacuated domain gets no requests.  After it was brought back, a share of
   the requests considers its servers; the share grows from 0 to 1 over
   CP_DOMAINS_RETURN_US.  All daemons learn of the return within milliseconds
   of each other, and their reports of its servers show them idle, so without
   the ramp all of them would send there at the same time.

   When it is not certain that the operator brought a domain back, since the
   store has lost what was written, the evacuation LAPSES: it stays in effect
   until a given time.

   A domain or region, once named, stays in memory until the end: their number
   is that of the names in use.  Performs no I/O; not thread-safe.  */
#ifndef CP_DOMAINS_H
#define CP_DOMAINS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Time in which the servers of a domain that was brought back get their full
   share of requests.  */
#define CP_DOMAINS_RETURN_US UINT64_C (3000000)

struct cp_region
{
  char *name;
  unsigned usable; /* scratch value of lib/server_links.c */
};

struct cp_domain
{
  char *name;
  struct cp_region *region; /* NULL if not known */
  bool evacuated;
  uint64_t lapses_us;   /* when the evacuation ends, 0 for not by itself */
  uint64_t returned_us; /* when it was brought back, 0 for never */
};

struct cp_domains
{
  GHashTable *by_name;
  GHashTable *regions;          /* name to struct cp_region */
  struct cp_domain *own;        /* that of this daemon */
  struct cp_region *own_region; /* NULL if not known */
  unsigned n_evacuated;
  uint64_t returning_until_us; /* no domain returns later */
};

/* OWN is the name of this daemon's domain.  */
void cp_domains_init (struct cp_domains *domains, const char *own);
void cp_domains_finish (struct cp_domains *domains);

/* Returns the domain NAME, which is added if it is not known.  */
struct cp_domain *cp_domains_get (struct cp_domains *domains,
                                  const char *name);

/* Forgets the regions of all domains.  */
void cp_domains_clear_regions (struct cp_domains *domains);

/* Sets the region of the domain NAME.  */
void cp_domains_set_region (struct cp_domains *domains, const char *name,
                            const char *region);

/* Sets the region of this daemon to REGION, or to that of its domain if REGION
   is empty.  It is also that of its domain, if that has none.  */
void cp_domains_set_own_region (struct cp_domains *domains,
                                const char *region);

/* Evacuate the domain NAME, or bring it back.  Return whether it was not so
   before.  */
bool cp_domains_evacuate (struct cp_domains *domains, const char *name);
bool cp_domains_bring_back (struct cp_domains *domains, const char *name,
                            uint64_t now_us);

/* Lets the evacuation of NAME, if there is one, end at UNTIL_US unless NAME is
   evacuated again before.  */
void cp_domains_lapse (struct cp_domains *domains, const char *name,
                       uint64_t until_us);

/* Brings back a domain whose evacuation has lapsed, and returns it; NULL when
   there is none.  */
const struct cp_domain *cp_domains_expire (struct cp_domains *domains,
                                           uint64_t now_us);

/* Returns the share of the requests that consider the servers of DOMAIN.  */
double cp_domain_share (const struct cp_domain *domain, uint64_t now_us);

/* Returns whether servers of DOMAIN may serve requests of a route that allows
   REGIONS, a list of names that ends with NULL.  An empty list allows only the
   region of this daemon, and only its domain if that is not known; NULL allows
   all.  */
bool cp_domains_allow (const struct cp_domains *domains,
                       const struct cp_domain *domain, char *const *regions);

#endif

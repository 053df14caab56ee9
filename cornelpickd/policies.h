/* What the outbound side keeps for each service about retries and hedges.  */
#ifndef POLICIES_H
#define POLICIES_H

#include <glib.h>
#include <jansson.h>
#include <pthread.h>

#include "lib/clock.h"
#include "lib/document.h"
#include "lib/hedge.h"
#include "lib/retry.h"

struct policy
{
  struct cp_retry retry;
  struct cp_hedge hedge;
};

struct policies
{
  pthread_mutex_t lock;
  const struct cp_clock *clock;
  GHashTable *services;
};

void policies_init (struct policies *policies, const struct cp_clock *clock);
void policies_finish (struct policies *policies);

/* Takes the shares of a new document.  */
void policies_update (struct policies *policies,
                      const struct cp_document *document);

/* Returns the policy of a service, which stays until policies_finish.  */
struct policy *policies_get (struct policies *policies, const char *service);

json_t *policies_dump (struct policies *policies);

#endif

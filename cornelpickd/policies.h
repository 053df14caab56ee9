/* Retry and hedge state of the outbound side, one for each service.  */
#ifndef POLICIES_H
#define POLICIES_H

#include <glib.h>
#include <jansson.h>
#include <pthread.h>

#include "lib/clock.h"
#include "lib/document.h"
#include "lib/hedge.h"
#include "lib/retry.h"

/* State of one service.  */
struct policy
{
  struct cp_retry retry;
  struct cp_hedge hedge;
};

struct policies
{
  pthread_mutex_t lock;
  const struct cp_clock *clock;
  GHashTable *services; /* service name to struct policy */
};

void policies_init (struct policies *policies, const struct cp_clock *clock);
void policies_finish (struct policies *policies);

/* Applies the retry and hedge limits of a new document.  */
void policies_update (struct policies *policies,
                      const struct cp_document *document);

/* Returns the policy of a service, which is created if needed.  It is valid
   until policies_finish.  */
struct policy *policies_get (struct policies *policies, const char *service);

json_t *policies_dump (struct policies *policies);

#endif

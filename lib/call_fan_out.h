/* How many calls a run of a request makes, learned from the runs at the local
   server.

   Kept for each route, named by its host and path prefix, and service called:
   the moving mean of the calls per run.  A run counts its calls in struct
   cp_run_calls and is recorded when it has succeeded.  Runs that fail are left
   out, since they may have ended before their calls.

   Performs no I/O; not thread-safe.  */
#ifndef CP_CALL_FAN_OUT_H
#define CP_CALL_FAN_OUT_H

#include <glib.h>

/* Services that one run calls; calls of others are not learned.  */
#define CP_RUN_SERVICES_MAX 8

struct cp_call_fan_out
{
  GHashTable *routes; /* name to struct cp_fan_out_route */
};

/* The calls of a run, or the mean calls of a route.  All zero: none.  */
struct cp_run_calls
{
  struct
  {
    char *service;
    double calls;
  } of[CP_RUN_SERVICES_MAX];
  unsigned n_services;
};

void cp_call_fan_out_init (struct cp_call_fan_out *fan_out);
void cp_call_fan_out_finish (struct cp_call_fan_out *fan_out);

/* Takes a successful run of a route into the means.  */
void cp_call_fan_out_record (struct cp_call_fan_out *fan_out, const char *host,
                             const char *prefix,
                             const struct cp_run_calls *run);

/* Returns the mean calls of a route, owned by FAN_OUT, or NULL if none of its
   runs has been recorded.  */
const struct cp_run_calls *
cp_call_fan_out_find (const struct cp_call_fan_out *fan_out, const char *host,
                      const char *prefix);

/* Adds CALLS of SERVICE, or takes them off if negative, down to 0.  */
void cp_run_calls_add (struct cp_run_calls *run, const char *service,
                       double calls);
double cp_run_calls_get (const struct cp_run_calls *run, const char *service);
void cp_run_calls_copy (struct cp_run_calls *to,
                        const struct cp_run_calls *from);
void cp_run_calls_finish (struct cp_run_calls *run);

#endif

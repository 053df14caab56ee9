#include <string.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

#define QUERIES_MAX 8
#define QUERY_TIMEOUT_US (10 * CP_US_PER_MS)
#define QUERY_INTERVAL_US (250 * CP_US_PER_MS)

void
outbound_query_loads (struct cp_balancer *balancer)
{
  struct cp_target targets[QUERIES_MAX];
  unsigned count = cp_balancer_due_queries (balancer, targets, QUERIES_MAX);

  for (unsigned i = 0; i < count; i++)
    {
      struct cp_load_report report;

      if (rpc_load (&targets[i].daemon, &report, QUERY_TIMEOUT_US))
        cp_balancer_add_report (balancer, targets[i].name, &report);
    }
}

/* Waits for the query interval.  Returns false when the thread must stop.  */
static bool
wait_interval (struct outbound *outbound)
{
  uint64_t until_us = (uint64_t)g_get_monotonic_time () + QUERY_INTERVAL_US;
  const struct timespec until
      = { .tv_sec = (time_t)(until_us / CP_US_PER_S),
          .tv_nsec = (long)(until_us % CP_US_PER_S * CP_NS_PER_US) };
  int status = 0;

  CP_LOCK_SCOPE (&outbound->query_lock);
  while (!outbound->stop_queries && status == 0)
    status = pthread_cond_clockwait (&outbound->query_stopped,
                                     &outbound->query_lock, CLOCK_MONOTONIC,
                                     &until);
  return !outbound->stop_queries;
}

static void *
query_loop (void *context)
{
  struct outbound *outbound = context;

  while (wait_interval (outbound))
    {
      struct cp_balancer *balancer;

      for (unsigned i = 0;
           (balancer = outbound_balancer_at (outbound, i)) != NULL; i++)
        outbound_query_loads (balancer);
    }
  return NULL;
}

int
outbound_start_load_queries (struct outbound *outbound, struct cp_error *error)
{
  pthread_mutex_init (&outbound->query_lock, NULL);
  pthread_cond_init (&outbound->query_stopped, NULL);
  if (pthread_create (&outbound->query_thread, NULL, query_loop, outbound)
      != 0)
    return cp_error_set (error, CP_ERROR_LIMIT, "outbound side",
                         "raise the limit of threads",
                         "cannot start the load query thread");
  outbound->query_running = true;
  return 0;
}

void
outbound_stop_load_queries (struct outbound *outbound)
{
  if (!outbound->query_running)
    return;
  pthread_mutex_lock (&outbound->query_lock);
  outbound->stop_queries = true;
  pthread_cond_signal (&outbound->query_stopped);
  pthread_mutex_unlock (&outbound->query_lock);
  pthread_join (outbound->query_thread, NULL);
  outbound->query_running = false;
}

#include <string.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

#define ASK_MOST 8
#define ASK_TIMEOUT_US (10 * CP_US_PER_MS)
#define ASK_INTERVAL_US (250 * CP_US_PER_MS)

void
outbound_ask (struct cp_balancer *balancer)
{
  struct cp_target targets[ASK_MOST];
  unsigned count = cp_balancer_due_queries (balancer, targets, ASK_MOST);

  for (unsigned i = 0; i < count; i++)
    {
      struct cp_load_report report;

      if (rpc_load (&targets[i].daemon, &report, ASK_TIMEOUT_US))
        cp_balancer_add_report (balancer, targets[i].name, &report);
    }
}

/* Waits for the interval; returns false when asking ends.  */
static bool
wait_interval (struct outbound *outbound)
{
  uint64_t until_us = (uint64_t)g_get_monotonic_time () + ASK_INTERVAL_US;
  const struct timespec until
      = { .tv_sec = (time_t)(until_us / CP_US_PER_S),
          .tv_nsec = (long)(until_us % CP_US_PER_S * CP_NS_PER_US) };
  int status = 0;

  CP_LOCK_SCOPE (&outbound->asking_lock);
  while (!outbound->stop_asking && status == 0)
    status = pthread_cond_clockwait (&outbound->asking_end,
                                     &outbound->asking_lock, CLOCK_MONOTONIC,
                                     &until);
  return !outbound->stop_asking;
}

static void *
ask_on (void *context)
{
  struct outbound *outbound = context;

  while (wait_interval (outbound))
    {
      struct cp_balancer *balancer;

      for (unsigned i = 0;
           (balancer = outbound_balancer_at (outbound, i)) != NULL; i++)
        outbound_ask (balancer);
    }
  return NULL;
}

int
outbound_start_asking (struct outbound *outbound, struct cp_error *error)
{
  pthread_mutex_init (&outbound->asking_lock, NULL);
  pthread_cond_init (&outbound->asking_end, NULL);
  if (pthread_create (&outbound->asker, NULL, ask_on, outbound) != 0)
    return cp_error_set (error, CP_ERROR_LIMIT, "outbound side",
                         "raise the limit of threads",
                         "the thread that asks for loads can not start");
  outbound->asking = true;
  return 0;
}

void
outbound_stop_asking (struct outbound *outbound)
{
  if (!outbound->asking)
    return;
  pthread_mutex_lock (&outbound->asking_lock);
  outbound->stop_asking = true;
  pthread_cond_signal (&outbound->asking_end);
  pthread_mutex_unlock (&outbound->asking_lock);
  pthread_join (outbound->asker, NULL);
  outbound->asking = false;
}

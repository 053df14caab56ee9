#include <time.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

void
worker_init (struct worker *worker, const struct cp_clock *clock)
{
  pthread_condattr_t attributes;

  worker->clock = clock;
  worker->running = false;
  worker->stop = false;
  pthread_mutex_init (&worker->lock, NULL);
  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (&worker->changed, &attributes);
  pthread_condattr_destroy (&attributes);
}

int
worker_start (struct worker *worker, const char *name,
              void *(*run) (void *context), void *context,
              struct cp_error *error)
{
  if (pthread_create (&worker->thread, NULL, run, context) != 0)
    return cp_error_set (error, CP_ERROR_MEMORY, name,
                         "raise the limit of threads",
                         "cannot start a thread");
  worker->running = true;
  return 0;
}

void
worker_stop (struct worker *worker)
{
  if (!worker->running)
    return;
  pthread_mutex_lock (&worker->lock);
  worker->stop = true;
  pthread_cond_broadcast (&worker->changed);
  pthread_mutex_unlock (&worker->lock);
  pthread_join (worker->thread, NULL);
  worker->running = false;
}

bool
worker_wait (struct worker *worker, uint64_t until_us)
{
  uint64_t now = cp_clock_now_us (worker->clock);
  uint64_t left = until_us > now ? until_us - now : 0;
  struct timespec until;

  if (worker->stop || left == 0)
    return !worker->stop;
  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += (time_t)(left / CP_US_PER_S);
  until.tv_nsec += (long)(left % CP_US_PER_S * CP_NS_PER_US);
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  pthread_cond_timedwait (&worker->changed, &worker->lock, &until);
  return !worker->stop;
}

void
worker_wake (struct worker *worker)
{
  pthread_cond_broadcast (&worker->changed);
}

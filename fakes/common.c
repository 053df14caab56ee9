#include <time.h>

#include "fakes/fakes.h"

void
fake_condition_init (pthread_cond_t *condition)
{
  pthread_condattr_t attributes;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (condition, &attributes);
  pthread_condattr_destroy (&attributes);
}

void
fake_wait_until (pthread_cond_t *condition, pthread_mutex_t *lock,
                 uint64_t until_us)
{
  uint64_t now = cp_clock_now_us (&cp_clock_boot);
  struct timespec until;
  uint64_t left;

  if (until_us <= now)
    return;
  left = until_us - now;
  clock_gettime (CLOCK_MONOTONIC, &until);
  until.tv_sec += (time_t)(left / CP_US_PER_S);
  until.tv_nsec += (long)(left % CP_US_PER_S * CP_NS_PER_US);
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  pthread_cond_timedwait (condition, lock, &until);
}

bool
fake_read_body (struct request *request, GString *body)
{
  char buffer[16384];
  ssize_t count;

  while ((count = request_read (request, buffer, sizeof buffer)) > 0)
    {
      if (body->len + (size_t)count > 2 * CP_DOCUMENT_BYTES_MAX)
        return false;
      g_string_append_len (body, buffer, count);
    }
  return count == 0;
}

static unsigned thread_count_override;

void
fake_set_thread_count (unsigned count)
{
  thread_count_override = count;
}

unsigned
fake_thread_count (unsigned default_count)
{
  return thread_count_override == 0 ? default_count : thread_count_override;
}

#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "cornelpick/progress.h"
#include "lib/cleanup.h"

#define DELAY_S 2

static void
print_step (const struct progress *progress, unsigned seconds)
{
  fprintf (stderr, "\rcornelpick: %s, %u s", progress->what, seconds);
  fflush (stderr);
}

static void *
update_thread (void *context)
{
  struct progress *progress = context;
  struct timespec until;
  unsigned seconds = 0;

  clock_gettime (CLOCK_REALTIME, &until);
  CP_LOCK_SCOPE (&progress->lock);
  while (!progress->ended)
    {
      until.tv_sec++;
      seconds++;
      while (!progress->ended
             && pthread_cond_timedwait (&progress->changed, &progress->lock,
                                        &until)
                    == 0)
        ;
      if (!progress->ended && seconds >= DELAY_S)
        print_step (progress, seconds);
    }
  if (seconds > DELAY_S)
    fputs ("\r\033[K", stderr);
  return NULL;
}

void
progress_begin (struct progress *progress, const char *what)
{
  memset (progress, 0, sizeof *progress);
  progress->what = what;
  if (!isatty (STDERR_FILENO))
    return;
  pthread_mutex_init (&progress->lock, NULL);
  pthread_cond_init (&progress->changed, NULL);
  progress->shown
      = pthread_create (&progress->thread, NULL, update_thread, progress) == 0;
}

void
progress_end (struct progress *progress)
{
  if (!progress->shown)
    return;
  pthread_mutex_lock (&progress->lock);
  progress->ended = true;
  pthread_cond_signal (&progress->changed);
  pthread_mutex_unlock (&progress->lock);
  pthread_join (progress->thread, NULL);
  progress->shown = false;
}

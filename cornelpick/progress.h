/* Shows a progress line on standard error when an operation takes two seconds
   or more.  Nothing is shown when standard error is not a terminal.  */
#ifndef PROGRESS_H
#define PROGRESS_H

#include <pthread.h>
#include <stdbool.h>

struct progress
{
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  const char *what;
  bool ended;
  bool shown;
};

/* Starts the timer.  WHAT describes the operation; it must stay valid until
   progress_end.  */
void progress_begin (struct progress *progress, const char *what);

/* Stops the timer and erases the line.  */
void progress_end (struct progress *progress);

#endif

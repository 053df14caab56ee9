/* A line on the terminal while something takes more than two seconds.  Nothing
   is shown when standard error is no terminal.  */
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

/* Starts to count; WHAT says what is being done and must outlive the end.  */
void progress_begin (struct progress *progress, const char *what);

/* Removes the line.  */
void progress_end (struct progress *progress);

#endif

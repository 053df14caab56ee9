/* Attributes that release a variable's resource when it goes out of scope.  */
#ifndef CP_CLEANUP_H
#define CP_CLEANUP_H

#include <jansson.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

static inline void
cp_cleanup_free (void *variable)
{
  free (*(void **)variable);
}

static inline void
cp_cleanup_file (FILE **variable)
{
  if (*variable != NULL)
    fclose (*variable);
}

static inline void
cp_cleanup_fd (const int *variable)
{
  if (*variable >= 0)
    close (*variable);
}

static inline void
cp_cleanup_json (json_t **variable)
{
  json_decref (*variable);
}

static inline void
cp_cleanup_unlock (pthread_mutex_t **variable)
{
  pthread_mutex_unlock (*variable);
}

#define CP_AUTO_FREE __attribute__ ((cleanup (cp_cleanup_free)))
#define CP_AUTO_FILE __attribute__ ((cleanup (cp_cleanup_file)))
#define CP_AUTO_FD __attribute__ ((cleanup (cp_cleanup_fd)))
#define CP_AUTO_JSON __attribute__ ((cleanup (cp_cleanup_json)))

/* Locks MUTEX until the end of the enclosing scope.  */
#define CP_LOCK_SCOPE(mutex)                                                  \
  __attribute__ ((cleanup (cp_cleanup_unlock))) pthread_mutex_t *cp_locked    \
      = (mutex);                                                              \
  pthread_mutex_lock (cp_locked)

#endif

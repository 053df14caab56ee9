/* The measuring of the target beside a daemon: the only reader of its load and
   health pages, inside the budget of the document.  */
#ifndef MEASURE_H
#define MEASURE_H

#include <pthread.h>

#include "lib/budget.h"
#include "lib/document.h"
#include "lib/measuring.h"
#include "lib/report.h"

struct daemon;

struct measure
{
  struct daemon *daemon;
  pthread_t reader;
  bool running;
  pthread_mutex_t lock;
  pthread_cond_t wake_reader; /* for the reader */
  pthread_cond_t page_read;   /* for calls that wait for a word */
  bool stop;
  unsigned waiting_calls; /* calls that wait for a word */
  uint64_t refused_calls; /* calls refused since the target leaves */
  bool has_target;
  struct cp_target target;
  char service[CP_NAME_BYTES];
  char paths[CP_PAGE_COUNT][128];
  uint64_t probe_cost_us;
  uint64_t max_age_us; /* how fast a leaving target must be known */
  uint64_t not_before_us[CP_PAGE_COUNT]; /* not before, after a refusal */
  struct cp_budget budget;
  struct cp_measuring measuring;
};

/* Prepares MEASURE, so that the other functions can be called.  */
void measure_init (struct measure *measure, struct daemon *daemon);

/* Starts the reader.  Returns 0, or -1 when there are no threads left.  */
int measure_start (struct measure *measure, struct cp_error *error);
void measure_stop (struct measure *measure);

/* Takes the target, pages and budget of a new document; TARGET is NULL when
   none is beside this daemon.  */
void measure_update (struct measure *measure, const struct cp_fleet *fleet,
                     const struct cp_service *service,
                     const struct cp_target *target);

/* Returns whether the target is leaving, by its pages.  After a quiet time the
   call waits for a reading, at most until DEADLINE_US.  */
bool measure_leaving (struct measure *measure, uint64_t deadline_us);

/* Adds to REPORT what the pages tell.  */
void measure_report (struct measure *measure, struct cp_report *report);

/* Counts a load query of another daemon; false when the budget does not allow
   an answer.  */
bool measure_allow_query (struct measure *measure);

json_t *measure_dump (struct measure *measure);

#endif

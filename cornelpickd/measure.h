/* Reads the load and health pages of the target beside this daemon, within the
   probing budget of the document.  Nothing else reads these pages.  */
#ifndef MEASURE_H
#define MEASURE_H

#include <pthread.h>

#include "lib/budget.h"
#include "lib/document.h"
#include "lib/load_report.h"
#include "lib/measuring.h"

struct daemon;

struct measure
{
  struct daemon *daemon;
  pthread_t reader;
  bool running;
  pthread_mutex_t lock;
  pthread_cond_t wake_reader; /* signalled when a call waits */
  pthread_cond_t page_read; /* signalled after each check of the health page */
  bool stop;
  unsigned waiting_calls; /* calls that wait for a reading */
  uint64_t refused_calls; /* calls refused because the target drains */
  bool has_target;
  struct cp_target target;
  char service[CP_NAME_BYTES];
  char paths[CP_PAGE_COUNT][128];
  uint64_t probe_cost_us;
  uint64_t max_age_us; /* a call waits for a reading when the last is older */
  uint64_t not_before_us[CP_PAGE_COUNT]; /* next try after a refusal */
  struct cp_budget budget;
  struct cp_measuring measuring;
};

/* Initializes MEASURE.  The other functions can be called from then on.  */
void measure_init (struct measure *measure, struct daemon *daemon);

/* Starts the reader thread.  Returns 0, or -1 when it can not be created.  */
int measure_start (struct measure *measure, struct cp_error *error);
void measure_stop (struct measure *measure);

/* Applies the target, pages and budget of a new document.  TARGET is NULL when
   there is no target beside this daemon.  */
void measure_update (struct measure *measure, const struct cp_fleet *fleet,
                     const struct cp_service *service,
                     const struct cp_target *target);

/* Returns whether the target drains, according to its pages.  When the last
   reading is too old, waits for a new one, at most until DEADLINE_US.  */
bool measure_leaving (struct measure *measure, uint64_t deadline_us);

/* Adds to REPORT the hidden load and the draining state read from the
   pages.  */
void measure_report (struct measure *measure, struct cp_load_report *report);

/* Charges a load query of another daemon to the budget.  Returns false when
   the budget does not allow an answer.  */
bool measure_allow_query (struct measure *measure);

json_t *measure_dump (struct measure *measure);

#endif

/* Small programs that take the place of a target and of the platform in
   tests.  */
#ifndef FAKES_H
#define FAKES_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "http/http.h"
#include "lib/clock.h"
#include "lib/document.h"

/* How a target answers.  */
enum fake_mode
{
  FAKE_NORMAL,
  FAKE_FAIL,   /* answers 500 at once */
  FAKE_SHED,   /* answers 503 at once */
  FAKE_SILENT, /* takes the call and never answers */
  FAKE_CUT,    /* sends half of the body and closes */
  FAKE_MODE_COUNT
};

#define FAKE_PROBES_KEPT 256
#define FAKE_LOAD_SAMPLES 4096
#define FAKE_COLD_FACTOR 8

/* The load at one time.  */
struct fake_load_sample
{
  uint64_t time_us;
  unsigned load;
};

/* The load over time, for a page that lags.  */
struct fake_load_history
{
  struct fake_load_sample samples[FAKE_LOAD_SAMPLES];
  uint64_t added;
};

void fake_load_history_add (struct fake_load_history *load_history,
                            uint64_t now_us, unsigned load);
unsigned fake_load_history_at (const struct fake_load_history *load_history,
                               uint64_t time_us);

/* A target: serves calls within its slots and keeps a journal.  */
struct fake_target
{
  struct listener listener;
  struct cp_seeded_random random;
  pthread_mutex_t lock;
  pthread_cond_t slot_freed;
  char name[CP_NAME_BYTES];
  unsigned slots;
  unsigned in_flight;
  unsigned waiting;
  double service_ms; /* mean; the distribution is exponential */
  double fixed_ms;   /* added to each service time */
  enum fake_mode mode;
  bool draining;
  bool stopping;
  bool lie_idle;        /* the load page always says idle */
  uint64_t load_lag_us; /* age of what the load page says */
  struct fake_load_history load_history;
  uint64_t cold_since_us;
  uint64_t cold_us; /* service times fall to normal within this time */
  bool hang_pages;  /* the load and health pages never answer */
  uint64_t probes;  /* reads of the load and health pages */
  uint64_t probe_times_us[FAKE_PROBES_KEPT]; /* of the last ones */
  struct cds_list_head journal;
  unsigned journal_count;
};

int fake_target_start (struct fake_target *target, const char *name,
                       const struct cp_address *address, uint64_t seed,
                       struct cp_error *error);
void fake_target_stop (struct fake_target *target);

/* Changes the target as a JSON object says; returns false when a key or value
   is not known.  */
bool fake_target_control (struct fake_target *target, const char *text,
                          size_t length);

/* The platform: the configuration service and the VM list.  */
struct fake_platform
{
  struct listener listener;
  pthread_mutex_t lock;
  pthread_cond_t changed;
  GString *document;
  GString *stale_document; /* what a stale replica serves, or NULL */
  uint64_t version;
  GString *vms;
  GString *pending_vms; /* what the list will say after its lag, or NULL */
  uint64_t pending_vms_time_us; /* when */
  uint64_t vms_lag_us;
  uint64_t reads;
  bool down;
  bool document_down; /* the VM list still answers */
  bool stopping;
};

int fake_platform_start (struct fake_platform *platform,
                         const struct cp_address *address,
                         struct cp_error *error);
void fake_platform_stop (struct fake_platform *platform);
bool fake_platform_set_document (struct fake_platform *platform,
                                 const char *text, size_t length);
void fake_platform_set_vms (struct fake_platform *platform, const char *text,
                            size_t length);

/* Reads a whole body of at most CP_DOCUMENT_BYTES_MAX; false when longer.  */
bool fake_read_body (struct request *request, GString *body);

/* Waits on CONDITION until UNTIL_US of the boot clock.  */
void fake_wait_until (pthread_cond_t *condition, pthread_mutex_t *lock,
                      uint64_t until_us);

/* Prepares CONDITION for fake_wait_until.  */
void fake_condition_init (pthread_cond_t *condition);

/* Sets how many threads the stand-ins that start later use; 0 for their usual
   number.  Small fleets need few, and a machine has a limit of threads.  */
void fake_set_thread_count (unsigned count);

/* Returns what was set, or USUAL.  */
unsigned fake_thread_count (unsigned default_count);

#endif

/* Fake targets and a fake platform (configuration service and VM list), for
   tests and for cornelpick run.  */
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
  FAKE_SILENT, /* accepts the call and never answers */
  FAKE_CUT,    /* sends half of the body, then closes */
  FAKE_MODE_COUNT
};

#define FAKE_PROBES_KEPT 256
#define FAKE_LOAD_SAMPLES 4096
#define FAKE_COLD_FACTOR 8

/* The load at a point in time.  */
struct fake_load_sample
{
  uint64_t time_us;
  unsigned load;
};

/* Ring buffer of past loads, for /load reports that lag behind.  */
struct fake_load_history
{
  struct fake_load_sample samples[FAKE_LOAD_SAMPLES];
  uint64_t added;
};

void fake_load_history_add (struct fake_load_history *load_history,
                            uint64_t now_us, unsigned load);
unsigned fake_load_history_at (const struct fake_load_history *load_history,
                               uint64_t time_us);

/* A target that serves at most SLOTS calls at once and keeps a journal of
   the calls that it received.  */
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
  bool lie_idle;        /* /load always reports 0 in flight */
  uint64_t load_lag_us; /* age of the load that /load reports */
  struct fake_load_history load_history;
  uint64_t cold_since_us;
  uint64_t cold_us; /* time until service times are normal */
  bool hang_pages;  /* /load and /health never answer */
  uint64_t probes;  /* reads of /load and /health */
  uint64_t probe_times_us[FAKE_PROBES_KEPT]; /* of the last ones */
  struct cds_list_head journal;
  unsigned journal_count;
};

int fake_target_start (struct fake_target *target, const char *name,
                       const struct cp_address *address, uint64_t seed,
                       struct cp_error *error);
void fake_target_stop (struct fake_target *target);

/* Applies the settings in the JSON object TEXT; returns false at the first
   unknown key or value.  */
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
  GString *pending_vms; /* list served once the lag has passed, or NULL */
  uint64_t pending_vms_time_us; /* when pending_vms is served */
  uint64_t vms_lag_us;
  uint64_t reads;
  bool down;
  bool document_down; /* only the document; the VM list still answers */
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

/* Reads a whole body of at most 2 * CP_DOCUMENT_BYTES_MAX bytes; returns false
   when it is longer or cannot be read.  */
bool fake_read_body (struct request *request, GString *body);

/* Waits on CONDITION until it is signalled or the boot clock reaches
   UNTIL_US.  */
void fake_wait_until (pthread_cond_t *condition, pthread_mutex_t *lock,
                      uint64_t until_us);

/* Prepares CONDITION for fake_wait_until.  */
void fake_condition_init (pthread_cond_t *condition);

/* Sets the number of threads of each fake that is started later; 0 for its
   default.  Small fleets need few, and the number of threads of a machine is
   limited.  */
void fake_set_thread_count (unsigned count);

/* Returns the number that was set, or DEFAULT_COUNT.  */
unsigned fake_thread_count (unsigned default_count);

#endif

/* When to read a target's load and health pages, and how far to believe them.

   The inbound side sees every call that it passes to its target, so a page
   tells it only two things that it does not know: that the target is leaving,
   and work at the target that does not come through this side, "hidden" work
   such as that of a noisy neighbour.  A page may lag, always say idle, or
   never answer.  Three rules follow:

   - A page is read only when its word could change a decision: it is old, the
     target still has room to draw calls, or the last words differed.  Traffic
     that ends normally takes the place of the load page; without traffic
     nothing is decided, and the pages are read once in a long while.
   - A word counts only as far as it can be true.  The number of calls on the
     load page can not be below what this side had in flight at every moment
     of the time by which a page may lag; each such word halves the trust in
     the page, each credible one restores an eighth of what is missing.
   - Only calls above the most that this side had in flight in that time are
     taken as hidden work, weighed by trust and age.

   Pure: time is passed in.  Not thread-safe.  */
#ifndef CP_MEASURING_H
#define CP_MEASURING_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/document.h"

enum cp_page
{
  CP_PAGE_LOAD,
  CP_PAGE_HEALTH,
  CP_PAGE_COUNT
};

extern const char *const cp_page_names[CP_PAGE_COUNT];

/* The least and the most calls in flight over the time by which a page may
   lag, in steps.  */
#define CP_IN_FLIGHT_WINDOW_STEPS 12
#define CP_IN_FLIGHT_WINDOW_STEP_US UINT64_C (250000)

struct cp_in_flight_window
{
  uint64_t step; /* number of the newest step */
  uint32_t last;
  uint32_t min[CP_IN_FLIGHT_WINDOW_STEPS];
  uint32_t max[CP_IN_FLIGHT_WINDOW_STEPS];
};

void cp_in_flight_window_add (struct cp_in_flight_window *window,
                              uint64_t now_us, uint32_t in_flight);
void cp_in_flight_window_get (struct cp_in_flight_window *window,
                              uint64_t now_us, uint32_t *min, uint32_t *max);

/* What the inbound side sees itself.  */
struct cp_inbound_stats
{
  uint32_t in_flight;
  uint32_t limit;
  uint32_t min_in_flight; /* of the extent */
  uint32_t max_in_flight;
  uint64_t arrivals; /* calls that asked to be admitted, since the start */
  uint64_t ended;    /* calls that the target answered, since the start */
  uint64_t failed;   /* those of them that failed */
};

/* How a reading ended.  */
enum cp_page_result
{
  CP_PAGE_ANSWERED,
  CP_PAGE_UNREADABLE, /* an answer that is no page, or no connection */
  CP_PAGE_HUNG        /* cut off at the time limit */
};

/* What a page said.  */
struct cp_page_reading
{
  enum cp_page_result result;
  bool has_in_flight;
  bool impossible; /* a number of calls that can not be */
  uint32_t in_flight;
  bool draining;
};

/* Why a page is read, or is not.  */
enum cp_measuring_reason
{
  CP_MEASURING_FIRST,         /* read: nothing is known yet */
  CP_MEASURING_OLD,           /* read: the word is old and calls come in */
  CP_MEASURING_MOVING,        /* read: the last words differed */
  CP_MEASURING_LEAVING,       /* read: it said it leaves; did it return? */
  CP_MEASURING_FAILING,       /* read: calls fail at the target */
  CP_MEASURING_ASKED,         /* read: a call waits for the word */
  CP_MEASURING_KEEP_ALIVE,    /* read: quiet for a long time */
  CP_MEASURING_NOT_DUE,       /* not read: the word is fresh */
  CP_MEASURING_TRAFFIC_TELLS, /* not read: calls tell the same */
  CP_MEASURING_QUIET,         /* not read: no call since the last reading */
  CP_MEASURING_FULL,          /* not read: it draws no calls now */
  CP_MEASURING_BACKED_OFF,    /* not read: it hung or could not be read */
  CP_MEASURING_UNTRUSTED,     /* not read: its words were not true */
  CP_MEASURING_NO_PAGE,       /* not read: the document names no page */
  CP_MEASURING_REASON_COUNT
};

extern const char *const cp_measuring_reason_names[CP_MEASURING_REASON_COUNT];

/* What is known by one page.  */
struct cp_page_state
{
  uint64_t interval_us; /* from the document; 0 for no page */
  uint64_t read_us;     /* last reading that was answered; 0 for never */
  uint64_t tried_us;    /* last reading; 0 for never */
  unsigned misses;      /* readings in a row that were not answered */
  unsigned unchanged;   /* words in a row that did not differ */
  double trust;         /* 0 to 1 */
  uint64_t cost_us;     /* moving mean of the time that it takes */
  struct cp_page_reading last;
  uint64_t arrivals; /* of the own view, at the last reading */
  uint64_t ended;
  uint64_t failed;
  uint64_t reads;
  uint64_t hung;
  uint64_t untrue;
  uint64_t reasons[CP_MEASURING_REASON_COUNT];
};

struct cp_measuring
{
  struct cp_page_state pages[CP_PAGE_COUNT];
  double hidden_in_flight;    /* calls at the target that are not ours */
  uint64_t hidden_updated_us; /* when that was learnt */
};

void cp_measuring_init (struct cp_measuring *measuring);

/* Takes the document's intervals; 0 for a page that it does not name.  */
void cp_measuring_set_intervals (struct cp_measuring *measuring,
                                 uint64_t load_interval_us,
                                 uint64_t health_interval_us);

/* Returns whether PAGE is worth a reading now.  ASKED tells that a call waits
   for its word.  *REASON is set in both cases.  */
bool cp_measuring_is_due (struct cp_measuring *measuring, enum cp_page page,
                          const struct cp_inbound_stats *stats, bool asked,
                          uint64_t now_us, enum cp_measuring_reason *reason);

/* Returns the work that a reading of PAGE should reserve, between PROBE_US,
   what the document says of a reading, and LIMIT_US.  */
uint64_t cp_measuring_reserve_us (const struct cp_measuring *measuring,
                                  enum cp_page page, uint64_t probe_us,
                                  uint64_t limit_us);

/* Takes a word of PAGE, whose reading took COST_US.  */
void cp_measuring_record (struct cp_measuring *measuring, enum cp_page page,
                          const struct cp_page_reading *reading,
                          const struct cp_inbound_stats *stats,
                          uint64_t cost_us, uint64_t now_us);

/* Returns the calls at the target that are not ours, as far as they are to be
   believed now.  */
uint32_t cp_measuring_hidden_in_flight (const struct cp_measuring *measuring,
                                        uint64_t now_us);

/* Returns whether the last word of a page, which may lag behind the other one,
   is that the target leaves.  */
bool cp_measuring_draining (const struct cp_measuring *measuring,
                            uint64_t now_us);

/* Returns whether the newest word on whether the target leaves is older than
   WITHIN_US, and a reading could renew it.  */
bool cp_measuring_needs_refresh (const struct cp_measuring *measuring,
                                 uint64_t within_us, uint64_t now_us);

json_t *cp_measuring_dump (const struct cp_measuring *measuring,
                           uint64_t now_us);

#endif

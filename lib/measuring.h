/* Decides when to read a target's load and health pages, and how far to trust
   them.

   The inbound side sees every call that it passes to its target.  A page adds
   only two facts: that the target is draining, and the load at the target that
   does not come through this inbound side, the "hidden" load, such as that of
   a noisy neighbour.  A page may lag, report idle at all times, or hang.
   Therefore:

   - A page is read only when its content could change a decision: the last
     reading is old, the target has room for more calls, or the last readings
     differed.  Calls that end normally replace readings of the load page.
     Without traffic there is nothing to decide, and the pages are read only
     once a minute.
   - A reading is checked against local knowledge.  The number of calls on the
     load page can not be below the minimum that this side had in flight over
     the time by which a page may lag.  Each reading that is below it halves
     the trust in the page; each plausible one, while that minimum is above 0,
     restores an eighth of the missing trust.
   - Only calls above the maximum that this side had in flight over that time
     count as hidden load, scaled by trust and fading with age.

   The caller passes the current time.  Not thread-safe.  */
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

/* Sliding minimum and maximum of the calls in flight over 3 s, the time by
   which a page may lag, in steps of 250 ms.  */
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

/* Counts of the inbound side itself, for comparison with the pages.  */
struct cp_inbound_stats
{
  uint32_t in_flight;
  uint32_t limit;
  uint32_t min_in_flight; /* over the in-flight window */
  uint32_t max_in_flight;
  uint64_t arrivals; /* calls that asked to be admitted, since the start */
  uint64_t ended;    /* calls that the target answered, since the start */
  uint64_t failed;   /* those of them that failed */
};

/* Result of reading a page.  */
enum cp_page_result
{
  CP_PAGE_ANSWERED,
  CP_PAGE_UNREADABLE, /* no valid page in the answer, or no connection */
  CP_PAGE_HUNG        /* stopped at the time limit */
};

/* Content of a page.  */
struct cp_page_reading
{
  enum cp_page_result result;
  bool has_in_flight;
  bool impossible; /* the number of calls is out of range */
  uint32_t in_flight;
  bool draining;
};

/* Why a page is due or not; values up to CP_MEASURING_KEEP_ALIVE mean due.  */
enum cp_measuring_reason
{
  CP_MEASURING_FIRST,         /* due: not read yet */
  CP_MEASURING_OLD,           /* due: the reading is old and calls arrive */
  CP_MEASURING_MOVING,        /* due: the last two readings differed */
  CP_MEASURING_LEAVING,       /* due: the last reading said draining */
  CP_MEASURING_FAILING,       /* due: calls fail at the target */
  CP_MEASURING_ASKED,         /* due: a call waits for the reading */
  CP_MEASURING_KEEP_ALIVE,    /* due: no call and no reading for a minute */
  CP_MEASURING_NOT_DUE,       /* not due: the reading is fresh */
  CP_MEASURING_TRAFFIC_TELLS, /* not due: enough calls ended since */
  CP_MEASURING_QUIET,         /* not due: no call since the last reading */
  CP_MEASURING_FULL,          /* not due: the target has no room */
  CP_MEASURING_BACKED_OFF,    /* not due: reading failed, backing off */
  CP_MEASURING_UNTRUSTED,     /* not due: trust in the page is low */
  CP_MEASURING_NO_PAGE,       /* not due: no page is configured */
  CP_MEASURING_REASON_COUNT
};

extern const char *const cp_measuring_reason_names[CP_MEASURING_REASON_COUNT];

/* State of one page.  */
struct cp_page_state
{
  uint64_t interval_us; /* from the document; 0: no page */
  uint64_t read_us;     /* last answered reading; 0: never */
  uint64_t tried_us;    /* last reading, answered or not; 0: never */
  unsigned misses;      /* consecutive readings without an answer */
  unsigned unchanged;   /* consecutive readings without a change */
  double trust;         /* 0 to 1 */
  uint64_t cost_us;     /* moving mean of the reading time */
  struct cp_page_reading last;
  uint64_t arrivals; /* inbound statistics at the last reading */
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
  double hidden_in_flight;    /* calls that did not come through here */
  uint64_t hidden_updated_us; /* when that was estimated */
};

void cp_measuring_init (struct cp_measuring *measuring);

/* Sets the intervals from the document; 0 for a page that it does not name.
 */
void cp_measuring_set_intervals (struct cp_measuring *measuring,
                                 uint64_t load_interval_us,
                                 uint64_t health_interval_us);

/* Returns whether PAGE should be read now.  ASKED says that a call waits for
   the reading.  *REASON is set in both cases.  */
bool cp_measuring_is_due (struct cp_measuring *measuring, enum cp_page page,
                          const struct cp_inbound_stats *stats, bool asked,
                          uint64_t now_us, enum cp_measuring_reason *reason);

/* Returns how much work to reserve for a reading of PAGE: at least PROBE_US,
   the cost that the document states, and at most LIMIT_US.  */
uint64_t cp_measuring_reserve_us (const struct cp_measuring *measuring,
                                  enum cp_page page, uint64_t probe_us,
                                  uint64_t limit_us);

/* Records a reading of PAGE that cost COST_US.  */
void cp_measuring_record (struct cp_measuring *measuring, enum cp_page page,
                          const struct cp_page_reading *reading,
                          const struct cp_inbound_stats *stats,
                          uint64_t cost_us, uint64_t now_us);

/* Returns the estimated number of calls at the target that did not come
   through this inbound side, scaled by trust and age.  */
uint32_t cp_measuring_hidden_in_flight (const struct cp_measuring *measuring,
                                        uint64_t now_us);

/* Returns whether the last reading of either page, if recent, says that the
   target drains.  One page may lag behind the other.  */
bool cp_measuring_draining (const struct cp_measuring *measuring,
                            uint64_t now_us);

/* Returns whether the newest answered reading is older than WITHIN_US and a
   page can be read again now.  */
bool cp_measuring_needs_refresh (const struct cp_measuring *measuring,
                                 uint64_t within_us, uint64_t now_us);

json_t *cp_measuring_dump (const struct cp_measuring *measuring,
                           uint64_t now_us);

#endif

/* Limit of the requests that a server gets while it is cold.

   A server is cold for some time after its start, and may become cold again at
   any moment.  While cold it tolerates a rate of requests.  It counts as cold
   until it is proved warm: by a health check, or by the entry of a new server
   that says so.

   In no second may a cold server get more than the rate times the overshoot
   plus the slack.  All requests pass through one daemon, which keeps the sum.
   The starts of the last second are always counted, so that the sum also holds
   for the second in which a server turns cold.  While it is cold, a start
   needs fewer starts in the last second than the rate plus half of the slack,
   and a token of a bucket of the rate that is empty at the beginning.  The
   other half of the slack is for the starts between the moment at which a
   server turns cold and the health check that says so, and for those of a
   daemon that has been replaced.

   Until the configuration is known, it is unknown whether servers have a rate,
   and only half of the slack may start in a second.

   Performs no I/O; not thread-safe.  */
#ifndef CP_WARM_UP_H
#define CP_WARM_UP_H

#include <stdbool.h>
#include <stdint.h>

#include "lib/rate_limit.h"

/* The starts are counted in slots of 40 ms; 25 of them and the current one
   cover at least the last second.  */
#define CP_WARM_UP_SLOTS 26

struct cp_warm_up
{
  bool configured;      /* the next two are known */
  double per_s;         /* requests that a cold server takes; 0 for no limit */
  uint64_t duration_us; /* how long a server is cold after its start */
  double overshoot;
  double slack;
  bool proved;             /* a health check has told whether it is cold */
  bool assumed;            /* it is new, and its entry doesn't say that it is
                              warm */
  bool answered;           /* health checks since it is known */
  bool cold;               /* as of the last update */
  uint64_t since_us;       /* when the server became known */
  uint64_t cold_until_us;  /* as it last said */
  uint64_t entry_until_us; /* as its entry last said */
  struct cp_rate_limit bucket;
  uint64_t slot; /* number of the last slot in which one started */
  unsigned starts[CP_WARM_UP_SLOTS];
};

/* No limit.  */
void cp_warm_up_init (struct cp_warm_up *warm_up);

/* Waits for the configuration: a daemon that has just started knows neither
   the rate nor whether the server is cold.  */
void cp_warm_up_await_configuration (struct cp_warm_up *warm_up);

/* Sets the operator's bounds.  */
void cp_warm_up_set_bounds (struct cp_warm_up *warm_up, double overshoot,
                            double slack);

/* Sets what the configuration says of the service: a server is cold for
   DURATION_US after its start and then takes PER_S requests a second, 0 for no
   limit.  CHECKED: it has health checks.  */
void cp_warm_up_configure (struct cp_warm_up *warm_up, uint64_t duration_us,
                           double per_s, bool checked, uint64_t now_us);

/* Begins with a new server or incarnation, whose entry says that it is cold
   until ENTRY_UNTIL_US; 0 for warm, UINT64_MAX for unknown.  */
void cp_warm_up_begin (struct cp_warm_up *warm_up, uint64_t entry_until_us,
                       uint64_t now_us);

/* Takes in an entry of the same server.  It may be older than what health
   checks have said, so after the first one it can only make the time
   longer.  */
void cp_warm_up_read_entry (struct cp_warm_up *warm_up,
                            uint64_t entry_until_us, uint64_t now_us);

/* Takes in a health check that gives LEFT_US as the remaining time; 0 for
   warm.  */
void cp_warm_up_read_check (struct cp_warm_up *warm_up, uint64_t left_us,
                            uint64_t now_us);

/* Takes in a health check that gives no remaining time: a server that was only
   assumed to be cold is warm; one that has said that it is cold stays so until
   the time that it said.  */
void cp_warm_up_read_bare_check (struct cp_warm_up *warm_up, uint64_t now_us);

/* Updates whether the server is cold, and returns whether that changed.  */
bool cp_warm_up_update (struct cp_warm_up *warm_up, uint64_t now_us);

/* Returns the remaining time, 0 if the server is warm.  */
uint64_t cp_warm_up_left_us (const struct cp_warm_up *warm_up,
                             uint64_t now_us);

/* Returns whether a request may start now, as of the last update.  */
bool cp_warm_up_allows (const struct cp_warm_up *warm_up, uint64_t now_us);

/* Counts a start.  */
void cp_warm_up_count (struct cp_warm_up *warm_up, uint64_t now_us);

/* Returns the time until COUNT requests may have started, in microseconds.  */
uint64_t cp_warm_up_wait_us (const struct cp_warm_up *warm_up, unsigned count,
                             uint64_t now_us);

/* Returns the number of starts in the last second.  */
unsigned cp_warm_up_starts (const struct cp_warm_up *warm_up, uint64_t now_us);

#endif

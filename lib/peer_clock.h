/* Lower bounds, kept by an outbound side, of the clocks of inbound sides.

   The clocks of different VMs have different origins.  An inbound side sends
   its clock with each answer.  At any later time its clock shows at least that
   value plus the time since the answer arrived.  With this lower bound an
   outbound side states, on the clock of the inbound side, a time after which
   an attempt may not start there.  That time is early by the network delay of
   the answer and never late, however long the attempt takes to arrive.

   A sample is valid for one incarnation.  Clock rates may differ by
   CP_CLOCK_DRIFT_PPM; the bound grows slower by that fraction.  */
#ifndef CP_PEER_CLOCK_H
#define CP_PEER_CLOCK_H

#include <glib.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/clock.h"

#define CP_CLOCK_DRIFT_PPM 500
#define CP_PEER_CLOCKS_MAX 8192
#define CP_PEER_CLOCK_TEXT_BYTES 40

/* Last clock sample and latency of one inbound side.  */
struct cp_peer_clock
{
  uint64_t incarnation;
  uint64_t clock_us;    /* remote clock in the answer */
  uint64_t received_us; /* local clock when the answer arrived */
  uint64_t latency_us;  /* moving mean to the first byte; 0: none */
};

/* Returns a lower bound, at NOW_US, of the clock that CLOCK is a sample of; 0
   if there is none.  */
uint64_t cp_peer_clock_bound (const struct cp_peer_clock *clock,
                              uint64_t now_us);

/* Records a sample, received at NOW_US, unless the bound of the same
   incarnation is already as high.  */
void cp_peer_clock_update (struct cp_peer_clock *clock, uint64_t incarnation,
                           uint64_t clock_us, uint64_t now_us);

struct cp_peer_clocks
{
  pthread_mutex_t lock;
  const struct cp_clock *clock;
  GHashTable *peers; /* address string to struct cp_peer_clock */
};

void cp_peer_clocks_init (struct cp_peer_clocks *peers,
                          const struct cp_clock *clock);
void cp_peer_clocks_finish (struct cp_peer_clocks *peers);

/* Records a clock sample of the inbound side at ADDRESS, unless the bound of
   the same incarnation is already as high.  When a new address would exceed
   CP_PEER_CLOCKS_MAX, all entries are dropped; the next answers restore
   them.  */
void cp_peer_clocks_update (struct cp_peer_clocks *peers, const char *address,
                            uint64_t incarnation, uint64_t clock_us);

/* Adds a time to the first byte of an answer to the moving mean.  */
void cp_peer_clocks_add_latency (struct cp_peer_clocks *peers,
                                 const char *address, uint64_t latency_us);

/* Copies the entry of ADDRESS to ENTRY and sets *BOUND_US to the lower bound
   of its clock now.  Returns false when there is no sample.  */
bool cp_peer_clocks_get (struct cp_peer_clocks *peers, const char *address,
                         struct cp_peer_clock *entry, uint64_t *bound_us);

/* Removes the entry of ADDRESS.  */
void cp_peer_clocks_remove (struct cp_peer_clocks *peers, const char *address);

/* Format and parse a sample as answers carry it: incarnation and clock,
   "%016x %u".  Parsing returns false when TEXT has another form.  */
void cp_peer_clock_text (uint64_t incarnation, uint64_t clock_us,
                         char text[CP_PEER_CLOCK_TEXT_BYTES]);
bool cp_peer_clock_parse (const char *text, uint64_t *incarnation,
                          uint64_t *clock_us);

#endif

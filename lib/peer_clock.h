/* What an outbound side knows of the clocks of inbound sides.

   Clocks of different VMs share no start.  An inbound side tells its clock on
   each answer; at any later time it shows at least that much plus the time
   that has passed since the answer came.  This lower bound lets an outbound
   side name a time, on the clock of the inbound side, after which an attempt
   may not start there: the time named is early by the message's time on the
   way, never late, however long the attempt takes to arrive.

   A sample belongs to one incarnation.  Clocks may run apart by
   CP_CLOCK_DRIFT_PPM; the bound grows slower by that share.  */
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

/* What is known of one inbound side.  */
struct cp_peer_clock
{
  uint64_t incarnation;
  uint64_t clock_us;    /* its clock when it answered */
  uint64_t received_us; /* own clock when the answer came */
  uint64_t latency_us;  /* moving mean to the first byte; 0 for none yet */
};

struct cp_peer_clocks
{
  pthread_mutex_t lock;
  const struct cp_clock *clock;
  GHashTable *peers; /* address text to struct cp_peer_clock */
};

void cp_peer_clocks_init (struct cp_peer_clocks *peers,
                          const struct cp_clock *clock);
void cp_peer_clocks_finish (struct cp_peer_clocks *peers);

/* Takes the clock of the inbound side at ADDRESS.  Beyond CP_PEER_CLOCKS_MAX
   addresses all are forgotten, and learnt again from the next answers.  */
void cp_peer_clocks_update (struct cp_peer_clocks *peers, const char *address,
                            uint64_t incarnation, uint64_t clock_us);

/* Takes the time to the first byte of an answer.  */
void cp_peer_clocks_add_latency (struct cp_peer_clocks *peers,
                                 const char *address, uint64_t latency_us);

/* Copies what is known of ADDRESS; *BOUND_US is a lower bound of its clock
   now. Returns false when nothing is known.  */
bool cp_peer_clocks_get (struct cp_peer_clocks *peers, const char *address,
                         struct cp_peer_clock *peer, uint64_t *bound_us);

/* Forgets ADDRESS.  */
void cp_peer_clocks_remove (struct cp_peer_clocks *peers, const char *address);

/* The form on answers: incarnation and clock, "%016x %u".  Parsing returns
   false when TEXT is of another form.  */
void cp_peer_clock_text (uint64_t incarnation, uint64_t clock_us,
                         char text[CP_PEER_CLOCK_TEXT_BYTES]);
bool cp_peer_clock_parse (const char *text, uint64_t *incarnation,
                          uint64_t *clock_us);

#endif

/* The parts of the exchange: exchange.c follows the store and the peers, and
   exchange_pulls.c answers the pulls of peers.  */
#ifndef MESHD_EXCHANGE_INTERNAL_H
#define MESHD_EXCHANGE_INTERNAL_H

#include "meshd/exchange.h"

/* Returns until when a server may write its entry again whose removal is
   learned now from the store; 0 if the removal cannot be due to a failure of
   the store.  A call that fails late says nothing of the present: what counts
   is when the store answered again.  */
uint64_t mesh_exchange_unsure_until_us (const struct mesh_exchange *exchange);

/* Answers the pulls that had to wait and may be answered now.  */
void mesh_exchange_answer_waiting (struct mesh_exchange *exchange);

#endif

/* Decision records told in sentences.  */
#ifndef STORY_H
#define STORY_H

#include <stdio.h>

#include "lib/decision.h"

/* Records of one daemon, oldest first.  */
struct story
{
  struct cp_decision *records;
  size_t count;
};

/* Parses LIST, an array of records as /decisions gives it; what is no record
   is passed over.  Returns 0, or -1 when memory ran out.  */
int story_init (struct story *story, json_t *list);
void story_finish (struct story *story);

/* Returns the first record of KIND for ATTEMPT, or NULL.  ATTEMPT may be NULL
   for any.  */
const struct cp_decision *story_find (const struct story *story,
                                      enum cp_decision_kind kind,
                                      const struct cp_id *attempt);

/* Which records of a daemon are told.  */
enum story_side
{
  STORY_BOTH,
  STORY_OUTBOUND,
  STORY_INBOUND
};

/* Writes one sentence a record of SIDE; times count from the first.  */
void story_print (const struct story *story, enum story_side side,
                  FILE *stream);

/* Writes what proves the outcome: OUTBOUND holds the records of the daemon
   that took the call, INBOUND[i] those of the i-th attempt's inbound side, in
   the order of the send records; the latter are empty where none could be
   had.  */
void story_print_proof (const struct story *outbound,
                        const struct story *inbound, size_t n_inbound,
                        FILE *stream);

/* The first digits of an attempt's ID, by which sentences name it.  */
#define STORY_ID_BYTES 9

const char *story_short_id (const struct cp_id *id, char text[STORY_ID_BYTES]);

#endif

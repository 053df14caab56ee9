/* Prints decision records as sentences.  */
#ifndef STORY_H
#define STORY_H

#include <stdio.h>

#include "lib/decision.h"

/* The records of one daemon about a request, oldest first.  */
struct story
{
  struct cp_decision *records;
  size_t count;
};

/* Parses LIST, an array of records as /decisions gives it; invalid
   records are skipped.  Returns 0, or -1 when memory ran out.  */
int story_init (struct story *story, json_t *list);
void story_finish (struct story *story);

/* Returns the first record of KIND for ATTEMPT, or NULL.  ATTEMPT may be NULL
   for any.  */
const struct cp_decision *story_find (const struct story *story,
                                      enum cp_decision_kind kind,
                                      const struct cp_id *attempt);

/* Which records of a daemon are printed.  */
enum story_side
{
  STORY_BOTH,
  STORY_OUTBOUND,
  STORY_INBOUND
};

/* Writes one sentence for each record of SIDE, with its time since the first
   one.  */
void story_print (const struct story *story, enum story_side side,
                  FILE *stream);

/* Writes the evidence for the outcome of each attempt.  OUTBOUND holds the
   records of the daemon that received the call, INBOUND[i] those of the i-th
   attempt's inbound side, in the order of the send records; it is empty when
   they could not be read.  */
void story_print_proof (const struct story *outbound,
                        const struct story *inbound, size_t n_inbound,
                        FILE *stream);

/* Size of a shortened attempt ID: its first 8 digits and a NUL.  */
#define STORY_ID_BYTES 9

const char *story_short_id (const struct cp_id *id, char text[STORY_ID_BYTES]);

#endif

/* Answers for a stand-in of a server, good and broken ones.  The first '@'
   stands for the request ID where the platform's servers name it.  Each list
   ends with an answer without bytes.  */
#ifndef BROKEN_ANSWERS_H
#define BROKEN_ANSWERS_H

#include <stddef.h>

/* An answer, which may contain NULs.  */
struct script
{
  const char *bytes;
  size_t length;
};

/* Whole answers with the body "whole" that HTTP/1.1 allows.  */
extern const struct script good_answers[];
extern const struct script good_chunks[];

/* Answers without a body; the length in a 304 is that of the body that a 200
   would have.  */
extern const struct script without_body[];

/* Answers that HTTP/1.1 does not allow, or that are encoded.  */
extern const struct script broken_status_lines[];
extern const struct script switches[];
extern const struct script broken_fields[];
extern const struct script encoded[];
extern const struct script broken_lengths[];
extern const struct script unknown_codings[];
extern const struct script broken_chunks[];

/* The same; the body is clear if the ends of lines and extensions are read
   with leniency.  */
extern const struct script broken_chunk_lines[];

#endif

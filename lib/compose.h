/* Composition of a valid document from the held texts of sections and newer
   candidates.  */
#ifndef CP_COMPOSE_H
#define CP_COMPOSE_H

#include <stdbool.h>

#include "lib/document.h"
#include "lib/error.h"

/* The texts of one section; HELD or CANDIDATE may be NULL.  */
struct cp_section_choice
{
  const char *name;
  const char *held;
  const char *candidate;
  uint64_t since;        /* oldest document version with the candidate */
  bool chosen;           /* the candidate is used, not the held text */
  struct cp_error error; /* why the candidate is not used */
};

#define CP_COMPOSE_PASSES_MAX 3

/* Chooses as many candidates as are valid together with the held texts of the
   other sections.  Tries, until a document is valid:

   1. all candidates;
   2. the candidates that are valid with the fleet section alone;
   3. one candidate after the other on top of the held texts, the fleet section
      first, then by SINCE and name.  This compiles each candidate at most
      CP_COMPOSE_PASSES_MAX times, and once more when the held texts alone are
      not valid.

   Returns the compiled document of VERSION, or NULL with ERROR set when no
   choice is valid.  */
struct cp_document *cp_document_compose (struct cp_section_choice *choices,
                                         unsigned count, uint64_t version,
                                         struct cp_error *error);

#endif

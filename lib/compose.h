/* The choice between held sections and candidates for them.  */
#ifndef CP_COMPOSE_H
#define CP_COMPOSE_H

#include <stdbool.h>

#include "lib/document.h"
#include "lib/error.h"

/* One section: HELD or CANDIDATE may be NULL.  */
struct cp_section_choice
{
  const char *name;
  const char *held;
  const char *candidate;
  uint64_t since;        /* of the candidate */
  bool chosen;           /* the candidate takes effect */
  struct cp_error error; /* why not */
};

/* Chooses as many candidates as are valid together with what is held: all at
   once if they are; else those are left out that are not valid by themselves;
   else they are tried one after the other, the fleet section first, then by
   SINCE and name.  Costs at most CP_COMPOSE_PASSES_MAX compilations for each
   candidate.  Returns the compiled document of VERSION, or NULL with ERROR set
   when no choice is valid.  */
#define CP_COMPOSE_PASSES_MAX 3

struct cp_document *cp_document_compose (struct cp_section_choice *choices,
                                         unsigned count, uint64_t version,
                                         struct cp_error *error);

#endif

/* Error reporting.

   A function that can fail takes a pointer to the caller's struct cp_error as
   its last argument and returns 0, or -1 with the error filled in.  An error
   has a location, a problem and a remedy.  */
#ifndef CP_ERROR_H
#define CP_ERROR_H

#include <stddef.h>

enum cp_error_kind
{
  CP_ERROR_NONE = 0,
  CP_ERROR_USAGE,
  CP_ERROR_SETTINGS,
  CP_ERROR_DOCUMENT,
  CP_ERROR_CHART,
  CP_ERROR_TRACE,
  CP_ERROR_IO,
  CP_ERROR_NETWORK,
  CP_ERROR_PROTOCOL,
  CP_ERROR_LIMIT,
  CP_ERROR_MEMORY
};

struct cp_error
{
  enum cp_error_kind kind;
  char place[192];   /* file, file:line, or address */
  char problem[384]; /* what is wrong */
  char remedy[256];  /* what to do about it */
};

/* Fills in ERROR, which may be NULL, and returns -1.  PROBLEM and REMEDY are
   copied; PROBLEM is a printf format for the arguments that follow.  */
int cp_error_set (struct cp_error *error, enum cp_error_kind kind,
                  const char *place, const char *remedy, const char *problem,
                  ...) __attribute__ ((format (printf, 5, 6)));

/* Writes "PLACE: PROBLEM; REMEDY" to TEXT of SIZE bytes.  */
void cp_error_text (const struct cp_error *error, char *text, size_t size);

/* Returns the name of KIND, for logs.  */
const char *cp_error_kind_name (enum cp_error_kind kind);

#endif

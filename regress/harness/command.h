/* Runs of cornelpick, the operator's command, in tests.  */
#ifndef COMMAND_H
#define COMMAND_H

#include "regress/harness/harness.h"

/* What a command printed.  */
struct result
{
  char *out;
  char *err;
  int status;
};

/* Returns the path of the command, to be freed.  */
char *command_path (void);

/* Runs cornelpick with the arguments that follow, up to NULL.  */
struct result command_run_with (const char *first, ...)
    __attribute__ ((sentinel));

void result_release (struct result *result);

/* Asserts that PART is in TEXT.  */
void assert_has (const char *text, const char *part);

/* Asserts a fault: STATUS, nothing printed, one line with TEXT on standard
   error.  Releases RESULT.  */
void assert_fault (struct result result, int status, const char *text);

/* Calls METHOD PATH through VM 1 and copies the request's ID.  Returns the
   status.  */
int call_for_id (struct fleet *fleet, const char *method, const char *path,
                 char id[64]);

#endif

/* Reads the daemons' structured logs (docs/LOGS.md) line by line.

   A file may hold lines of other programs, which are counted, and a prefix
   before each line, which is skipped.  Memory is bounded by LOG_LINE_MAX,
   whatever the size of the files.  */
#ifndef LOGS_H
#define LOGS_H

#include <jansson.h>
#include <stdint.h>

#include "lib/error.h"

/* Longest line that is read; daemons write shorter ones.  */
#define LOG_LINE_MAX 65536

struct log_counts
{
  uint64_t lines;      /* of daemons */
  uint64_t foreign;    /* of other programs */
  uint64_t unreadable; /* truncated, or longer than LOG_LINE_MAX */
};

/* Calls VISIT for each daemon's line that contains WORD in PATH.  Returns 0,
   or -1 with ERROR set.  */
int logs_read (const char *path, const char *word,
               void (*visit) (void *context, json_t *line), void *context,
               struct log_counts *counts, struct cp_error *error);

/* Prints to standard error how many lines were not used.  */
void logs_report_skipped (const struct log_counts *counts);

/* Prints what the files log about REQUEST, in order.  Returns an exit
   status.  */
int logs_explain (char **files, int n_files, const char *request);

#endif

/* Reading of the daemons' structured logs (docs/LOGS.md), as streams.

   A file may hold lines of other programs and text before each line; what is
   no line of a daemon is counted.  Memory is bounded by the longest line that
   is read, whatever the size of the files.  */
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
  uint64_t unreadable; /* cut, or longer than LOG_LINE_MAX */
};

/* Calls VISIT for each line of the file at PATH that holds WORD.  Returns 0,
   or -1 with ERROR set.  */
int logs_read (const char *path, const char *word,
               void (*visit) (void *context, json_t *line), void *context,
               struct log_counts *counts, struct cp_error *error);

/* Says on standard error what could not be read.  */
void logs_report_skipped (const struct log_counts *counts);

/* Tells the story of REQUEST from the files.  Returns an exit status.  */
int logs_explain (char **files, int n_files, const char *request);

#endif

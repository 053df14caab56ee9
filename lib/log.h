/* Asynchronous logger: one line for each event, written by a separate thread.

   A line has a level, the name of a component and a short message.  Logging
   never waits for the output: lines go into a bounded ring buffer, and lines
   that do not fit are dropped and counted.  Each component writes at most
   CP_LOG_LINES_PER_S lines a second; further lines are suppressed, and their
   number is logged with the first line of a later second.  */
#ifndef CP_LOG_H
#define CP_LOG_H

#include <stdbool.h>
#include <stdint.h>

#define CP_LOG_LINES_PER_S 20

enum cp_log_level
{
  CP_LOG_DEBUG,
  CP_LOG_INFO,
  CP_LOG_WARNING,
  CP_LOG_ERROR
};

enum cp_log_format
{
  CP_LOG_TEXT,
  CP_LOG_JSON
};

/* The components that log; their names are the prefixes of lines.  */
enum cp_log_part
{
  CP_PART_DAEMON,
  CP_PART_OUTBOUND,
  CP_PART_INBOUND,
  CP_PART_CONFIGURATION,
  CP_PART_MEMBERS,
  CP_PART_MEASURE,
  CP_PART_RPC,
  CP_PART_ADMIN,
  CP_PART_HTTP,
  CP_PART_FAKES,
  CP_PART_COUNT
};

/* Starts the writer thread.  Lines go to descriptor FD.  */
int cp_log_start (enum cp_log_level level, enum cp_log_format format, int fd);

/* Writes the remaining lines and joins the writer thread.  */
void cp_log_stop (void);

void cp_log_set_level (enum cp_log_level level);

/* Each returns false when NAME is unknown.  */
bool cp_log_level_parse (const char *name, enum cp_log_level *level);
bool cp_log_format_parse (const char *name, enum cp_log_format *format);

void cp_log (enum cp_log_level level, enum cp_log_part part,
             const char *format, ...) __attribute__ ((format (printf, 3, 4)));

/* Returns how many lines were dropped because the ring was full.  */
uint64_t cp_log_dropped (void);

#endif

/* Logger: one line an event, written by a thread of its own.

   A line has a level, the prefix of the part that speaks, and a short
   sentence.  Adding a line never waits for the output: lines go into a
   bounded ring, and what does not fit is dropped and counted.  Each part
   writes at most CP_LOG_LINES_PER_S lines a second; the rest is counted and
   said in one line when the second is over.  */
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

/* The parts that log, each with a fixed prefix.  */
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

/* Writes what is left and ends the writer thread.  */
void cp_log_stop (void);

void cp_log_set_level (enum cp_log_level level);

/* Returns false when NAME names no level.  */
bool cp_log_level_parse (const char *name, enum cp_log_level *level);
bool cp_log_format_parse (const char *name, enum cp_log_format *format);

void cp_log (enum cp_log_level level, enum cp_log_part part,
             const char *format, ...) __attribute__ ((format (printf, 3, 4)));

/* Returns how many lines were dropped because the ring was full.  */
uint64_t cp_log_dropped (void);

#endif

/* Structured log: JSON lines on standard output.

   Each kind of line has a rate limit per second.  Lines above it are not
   built; their number is reported in a line of their own.  The limit for lines
   of failed requests is ten times as high.  A thread writes the buffer out.
   If the output blocks, lines are dropped and counted, and no caller waits.
   The fields are listed in docs/LOGS.md.  */
#ifndef MESHD_LOG_H
#define MESHD_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum mesh_log_kind
{
  MESH_LOG_START,
  MESH_LOG_STOP,
  MESH_LOG_RELOAD,
  MESH_LOG_STATE,
  MESH_LOG_STALL,
  MESH_LOG_SHUTDOWN,
  MESH_LOG_STORE,
  MESH_LOG_WATCH,
  MESH_LOG_ITEMS,
  MESH_LOG_ERA,
  MESH_LOG_TABLE,
  MESH_LOG_SERVER,
  MESH_LOG_UNREADABLE,
  MESH_LOG_EVACUATION,
  MESH_LOG_PEER,
  MESH_LOG_UNSENDABLE,
  MESH_LOG_LOAD,
  MESH_LOG_RATE_LIMIT,
  MESH_LOG_LEAVING,
  MESH_LOG_REACHED,
  MESH_LOG_COLD,
  MESH_LOG_SERVER_ENDED,
  MESH_LOG_SUSPECT,
  MESH_LOG_SEND,
  MESH_LOG_AGAIN,
  MESH_LOG_NO_RETRY,
  MESH_LOG_ANSWER,
  MESH_LOG_FAILED,
  MESH_LOG_ABANDONED,
  MESH_LOG_REFUSED,
  MESH_LOG_JOB_END,
  MESH_LOG_JOB_FAILED,
  MESH_LOG_KINDS
};

/* Starts the writer thread.  Every line carries VM.  Returns 0, or -1 if the
   thread cannot be started.  */
int mesh_log_start (const char *vm);
void mesh_log_stop (void);

/* Returns whether the rate limit allows a line of KIND now, and counts the
   line as written or suppressed.  */
bool mesh_log_allowed (enum mesh_log_kind kind);

/* Writes a line.  FORMAT and its arguments give the JSON members without
   braces.  Strings from outside must pass through mesh_log_sanitize.  */
void mesh_log (enum mesh_log_kind kind, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Copies TEXT, which may be NULL, into BUFFER of SIZE bytes and replaces
   control characters, quotes, backslashes and bytes beyond ASCII by '?'.
   Returns BUFFER.  */
const char *mesh_log_sanitize (const char *text, char *buffer, size_t size);

#endif

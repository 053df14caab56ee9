/* Structured log: JSON lines on standard output.

   A line is built only when its kind may still write in this second; what is
   left out is counted and told in a line of its own.  Lines of failed requests
   have a bound of their own, ten times as high.  A thread writes the
   buffer out; when the output does not take it, lines are dropped and counted,
   and nothing waits.  The fields are listed in docs/LOGS.md.  */
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
  MESH_LOG_STORE,
  MESH_LOG_WATCH,
  MESH_LOG_TABLE,
  MESH_LOG_SERVER,
  MESH_LOG_UNREADABLE,
  MESH_LOG_PEER,
  MESH_LOG_LOAD,
  MESH_LOG_SEND,
  MESH_LOG_AGAIN,
  MESH_LOG_ANSWER,
  MESH_LOG_FAILED,
  MESH_LOG_ABANDONED,
  MESH_LOG_REFUSED,
  MESH_LOG_JOB_END,
  MESH_LOG_JOB_FAILED,
  MESH_LOG_KINDS
};

/* Starts the writer.  Lines carry VM.  */
int mesh_log_start (const char *vm);
void mesh_log_stop (void);

/* Returns whether a line of KIND may be written now; counts it if not.  */
bool mesh_log_allowed (enum mesh_log_kind kind);

/* Writes a line; FORMAT and what follows are JSON members without braces.
   Strings that come from outside go through mesh_log_quote.  */
void mesh_log (enum mesh_log_kind kind, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

/* Copies TEXT, which may be NULL, into BUFFER of SIZE with what JSON forbids
   replaced.  Returns BUFFER.  */
const char *mesh_log_sanitize (const char *text, char *buffer, size_t size);

#endif

#include <check.h>
#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "regress/harness/harness.h"

#define ARGUMENTS_MAX 16
#define POLL_US 10000
#define STOP_WAIT_US (60 * G_USEC_PER_SEC)

void
harness_require (bool holds, const char *format, ...)
{
  va_list arguments;

  if (holds)
    return;
  va_start (arguments, format);
  vfprintf (stderr, format, arguments);
  va_end (arguments);
  fputc ('\n', stderr);
  abort ();
}

static const char *
build_folder (void)
{
  const char *build = getenv ("BUILD");

  return build == NULL ? "build" : build;
}

void
process_start (struct process *process, const char *log, const char *program,
               ...)
{
  char path[512];
  char *arguments[ARGUMENTS_MAX];
  unsigned count = 1;
  va_list list;

  snprintf (path, sizeof path, "%s/%s", build_folder (), program);
  arguments[0] = path;
  va_start (list, program);
  do
    {
      harness_require (count < ARGUMENTS_MAX, "too many arguments");
      arguments[count] = va_arg (list, char *);
    }
  while (arguments[count++] != NULL);
  va_end (list);
  process->pid = fork ();
  harness_require (process->pid >= 0, "cannot start a process");
  if (process->pid > 0)
    return;
  int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2 (fd, STDOUT_FILENO);
  dup2 (fd, STDERR_FILENO);
  execv (path, arguments);
  _exit (127);
}

int
process_wait (struct process *process)
{
  gint64 until = g_get_monotonic_time () + STOP_WAIT_US;
  int status = 0;

  while (waitpid (process->pid, &status, WNOHANG) == 0)
    {
      harness_require (g_get_monotonic_time () < until,
                       "process %d does not end", (int)process->pid);
      g_usleep (POLL_US);
    }
  process->pid = 0;
  return status;
}

/* Waits until all threads of PROCESS stand still.  On a busy machine they go
   on for a while after the signal was sent.  */
static void
wait_stopped (const struct process *process)
{
  int status;

  ck_assert_int_eq (waitpid (process->pid, &status, WUNTRACED), process->pid);
  ck_assert (WIFSTOPPED (status));
}

int
process_signal (struct process *process, int signal)
{
  if (process->pid == 0)
    return 0;
  kill (process->pid, signal);
  if (signal == SIGSTOP)
    wait_stopped (process);
  if (signal != SIGKILL && signal != SIGTERM)
    return 0;
  return process_wait (process);
}

unsigned long
process_peak_kb (const struct process *process)
{
  char path[64];
  char line[128];
  unsigned long kb = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/status", (int)process->pid);
  file = fopen (path, "r");
  harness_require (file != NULL, "%s cannot be read", path);
  while (fgets (line, sizeof line, file) != NULL)
    if (strncmp (line, "VmHWM:", 6) == 0)
      kb = strtoul (line + 6, NULL, 10);
  fclose (file);
  return kb;
}

void
harness_release_freed_memory (void)
{
  const char *options = getenv ("ASAN_OPTIONS");
  CP_AUTO_FREE char *text = g_strdup_printf ("%s%squarantine_size_mb=1",
                                             options == NULL ? "" : options,
                                             options == NULL ? "" : ":");

  setenv ("ASAN_OPTIONS", text, 1);
}

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "cornelpick/cornelpick.h"

static const struct command commands[] = {
  { "check", "FILE", command_check },
  { "explain", "[--json] [--admin-port PORT] ADDRESS REQUEST-ID",
    command_explain },
  { "run", "--document FILE SETTINGS", command_run },
  { "state", "[--json] [--wait-serving SECONDS] ADDRESS", command_state },
  { "top", "[--once] [--interval-ms MILLISECONDS] ADDRESS...", command_top },
};

int
usage (void)
{
  fputs ("usage: cornelpick COMMAND [OPTIONS] [ARGUMENTS]\n"
         "commands:\n",
         stderr);
  for (unsigned i = 0; i < G_N_ELEMENTS (commands); i++)
    fprintf (stderr, "  %s %s\n", commands[i].name, commands[i].arguments);
  return STATUS_USAGE;
}

/* Returns STATUS, or STATUS_FINDING when the output could not be written.  A
   reader that went away, such as head(1), needs no message.  */
static int
flush_output (int status)
{
  if (fflush (stdout) == 0 && !ferror (stdout))
    return status;
  if (errno != EPIPE)
    fprintf (stderr,
             "cornelpick: standard output: %s; write to a place with room, or "
             "read the pipe faster\n",
             strerror (errno));
  return STATUS_FINDING;
}

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  if (argc < 2)
    return usage ();
  for (unsigned i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return flush_output (commands[i].run (argc - 1, argv + 1));
  fprintf (stderr, "cornelpick: \"%s\" is no command\n", argv[1]);
  return usage ();
}

#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "cornelpick/cornelpick.h"
#include "cornelpickd/cornelpickd.h"

static const struct command commands[] = {
  { "check", "[--section NAME] [--json] FILE", command_check },
  { "diff", "OLD NEW", command_diff },
  { "explain", "[--json] [--admin-port PORT] ADDRESS REQUEST-ID",
    command_explain },
  { "explain", "--log FILE... REQUEST-ID", command_explain },
  { "log", "[--failed] FILE...", command_log },
  { "record", "[--out FILE] [--from-us TIME] ADDRESS...", command_record },
  { "replay", "[--picker NAME] [--seed N] [--seeds N] [--json] TRACE",
    command_replay },
  { "run", "--document FILE SETTINGS", command_run },
  { "state", "[--json] [--wait-serving SECONDS] ADDRESS", command_state },
  { "top", "[--once] [--interval-ms MILLISECONDS] ADDRESS...", command_top },
};

static void
print_usage (FILE *stream)
{
  fputs ("usage: cornelpick COMMAND [OPTIONS] [ARGUMENTS]\n"
         "commands:\n",
         stream);
  for (unsigned i = 0; i < G_N_ELEMENTS (commands); i++)
    fprintf (stream, "  %s %s\n", commands[i].name, commands[i].arguments);
}

int
usage (void)
{
  print_usage (stderr);
  return STATUS_USAGE;
}

/* Answers "help" and "--version".  Returns whether it was one of them.  */
static bool
answer_general (const char *word)
{
  if (strcmp (word, "--version") == 0)
    puts ("cornelpick " CORNELPICK_VERSION);
  else if (strcmp (word, "help") == 0 || strcmp (word, "--help") == 0)
    print_usage (stdout);
  else
    return false;
  return true;
}

/* Returns STATUS, or STATUS_FINDING when the output could not be written.  No
   message is printed when the reader of a pipe, such as head(1), has exited.
 */
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
  if (answer_general (argv[1]))
    return flush_output (STATUS_OK);
  for (unsigned i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return flush_output (commands[i].run (argc - 1, argv + 1));
  fprintf (stderr, "cornelpick: unknown command \"%s\"\n", argv[1]);
  return usage ();
}

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "cornelpick/cornelpick.h"

static const struct command commands[] = {
  { "check", "[--section NAME] [--json] FILE", command_check },
  { "diff", "OLD NEW", command_diff },
  { "run", "--document FILE SETTINGS", command_run },
  { "state", "[--json] [--wait-serving SECONDS] ADDRESS", command_state },
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

int
main (int argc, char **argv)
{
  signal (SIGPIPE, SIG_IGN);
  if (argc < 2)
    return usage ();
  for (unsigned i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return commands[i].run (argc - 1, argv + 1);
  fprintf (stderr, "cornelpick: \"%s\" is no command\n", argv[1]);
  return usage ();
}

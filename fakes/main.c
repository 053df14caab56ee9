#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fakes.h"
#include "lib/cleanup.h"
#include "lib/log.h"

/* Command line options.  */
struct options
{
  char *listen;
  char *target;
  char *document;
  char *control;
  gint64 seed;
  gint threads;
};

static int
usage (void)
{
  fputs ("usage: cornelpick-fakes --listen ADDRESS --target NAME\n"
         "       cornelpick-fakes --listen ADDRESS --document FILE\n",
         stderr);
  return 2;
}

static bool
parse_options (int argc, char **argv, struct options *options)
{
  const GOptionEntry entries[]
      = { { "listen", 'l', 0, G_OPTION_ARG_STRING, &options->listen,
            "Listen at ADDRESS", "ADDRESS" },
          { "target", 't', 0, G_OPTION_ARG_STRING, &options->target,
            "Run a fake target NAME", "NAME" },
          { "document", 'd', 0, G_OPTION_ARG_FILENAME, &options->document,
            "Run a fake platform that serves the document in FILE", "FILE" },
          { "control", 'c', 0, G_OPTION_ARG_STRING, &options->control,
            "Start the target with these values, a JSON object", "JSON" },
          { "seed", 's', 0, G_OPTION_ARG_INT64, &options->seed,
            "Seed of the service times", "NUMBER" },
          { "threads", 0, 0, G_OPTION_ARG_INT, &options->threads,
            "Number of server threads", "NUMBER" },
          G_OPTION_ENTRY_NULL };
  GOptionContext *context = g_option_context_new (NULL);
  GError *parse_error = NULL;
  bool parsed;

  g_option_context_add_main_entries (context, entries, NULL);
  parsed = g_option_context_parse (context, &argc, &argv, &parse_error);
  g_option_context_free (context);
  if (!parsed)
    fprintf (stderr, "cornelpick-fakes: %s\n", parse_error->message);
  g_clear_error (&parse_error);
  return parsed && argc == 1 && options->listen != NULL;
}

static int
print_error (const struct cp_error *error)
{
  char text[900];

  cp_error_text (error, text, sizeof text);
  fprintf (stderr, "cornelpick-fakes: %s\n", text);
  return 1;
}

static void
wait_for_signal (const sigset_t *signals)
{
  int number;

  puts ("ready");
  fflush (stdout);
  sigwait (signals, &number);
}

static int
run_target (const struct options *options, const struct cp_address *address,
            const sigset_t *signals)
{
  static struct fake_target target;
  struct cp_error error;

  if (fake_target_start (&target, options->target, address,
                         (uint64_t)options->seed, &error)
      != 0)
    return print_error (&error);
  if (options->control != NULL
      && !fake_target_control (&target, options->control,
                               strlen (options->control)))
    return usage ();
  wait_for_signal (signals);
  fake_target_stop (&target);
  return 0;
}

static int
run_platform (const struct options *options, const struct cp_address *address,
              const sigset_t *signals)
{
  static struct fake_platform platform;
  struct cp_error error;
  CP_AUTO_FREE char *text = NULL;
  gsize length;

  if (!g_file_get_contents (options->document, &text, &length, NULL))
    {
      fprintf (stderr, "cornelpick-fakes: %s cannot be read\n",
               options->document);
      return 1;
    }
  if (fake_platform_start (&platform, address, &error) != 0)
    return print_error (&error);
  fake_platform_set_document (&platform, text, length);
  wait_for_signal (signals);
  fake_platform_stop (&platform);
  return 0;
}

int
main (int argc, char **argv)
{
  struct options options = { .seed = 1 };
  struct cp_address address;
  sigset_t signals;

  if (!parse_options (argc, argv, &options)
      || !cp_address_parse (&address, options.listen)
      || (options.target == NULL) == (options.document == NULL))
    return usage ();
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  mg_init_library (0);
  if (options.threads > 0)
    fake_set_thread_count ((unsigned)options.threads);
  if (options.target != NULL)
    return run_target (&options, &address, &signals);
  return run_platform (&options, &address, &signals);
}

#include <errno.h>
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

enum exit_status
{
  STATUS_OK = 0,
  STATUS_ERROR = 1,
  STATUS_USAGE = 2
};

/* Options of the command line.  */
struct options
{
  char *settings;
  char *log_level;
  char *log_format;
  gboolean check;
  gboolean foreground;
  gboolean version;
};

static int
usage (void)
{
  fputs ("usage: cornelpickd [--check] [--foreground] [--version]\n"
         "       [--log-level LEVEL] [--log-format FORMAT] --settings FILE\n",
         stderr);
  return STATUS_USAGE;
}

static bool
parse_options (int argc, char **argv, struct options *options)
{
  const GOptionEntry entries[]
      = { { "settings", 's', 0, G_OPTION_ARG_FILENAME, &options->settings,
            "Read the settings from FILE", "FILE" },
          { "check", 'c', 0, G_OPTION_ARG_NONE, &options->check,
            "Check the settings and exit", NULL },
          { "foreground", 'f', 0, G_OPTION_ARG_NONE, &options->foreground,
            "Stay in the foreground, which is the default", NULL },
          { "log-level", 0, 0, G_OPTION_ARG_STRING, &options->log_level,
            "debug, info, warning or error", "LEVEL" },
          { "log-format", 0, 0, G_OPTION_ARG_STRING, &options->log_format,
            "text or json", "FORMAT" },
          { "version", 0, 0, G_OPTION_ARG_NONE, &options->version,
            "Print the version", NULL },
          G_OPTION_ENTRY_NULL };
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;
  bool parsed;

  g_option_context_add_main_entries (context, entries, NULL);
  parsed = g_option_context_parse (context, &argc, &argv, &error);
  g_option_context_free (context);
  if (!parsed)
    fprintf (stderr, "cornelpickd: %s\n", error->message);
  g_clear_error (&error);
  return parsed && argc == 1;
}

/* Overrides the settings by the options.  Returns false when a value is
   invalid.  */
static bool
apply_options (struct cp_settings *settings, const struct options *options)
{
  if (options->log_level != NULL
      && !cp_log_level_parse (options->log_level, &settings->log_level))
    return false;
  return options->log_format == NULL
         || cp_log_format_parse (options->log_format, &settings->log_format);
}

static void
reload (struct daemon *daemon)
{
  struct cp_settings settings;
  struct cp_error error;
  char text[900];

  if (cp_settings_load (&settings, daemon->settings.file, &error) != 0)
    {
      cp_error_text (&error, text, sizeof text);
      cp_log (CP_LOG_ERROR, CP_PART_DAEMON, "Settings kept: %s.", text);
      return;
    }
  cp_log_set_level (settings.log_level);
  cp_log (CP_LOG_INFO, CP_PART_DAEMON,
          "Settings read: the log level may change, all else needs a "
          "restart.");
}

/* Waits for SIGTERM or SIGINT and starts the drain.  SIGHUP reloads the
   settings.  */
static void
wait_for_shutdown (struct daemon *daemon, const sigset_t *signals)
{
  int number;

  while (sigwait (signals, &number) == 0 && number == SIGHUP)
    reload (daemon);
  daemon_drain (daemon);
}

/* Thread that exits at once on a second SIGTERM or SIGINT, without waiting for
   the drain.  */
static void *
exit_on_second_signal (void *context)
{
  const sigset_t *signals = context;
  int number;

  while (sigwait (signals, &number) == 0)
    if (number != SIGHUP)
      _exit (STATUS_ERROR);
  return NULL;
}

static int
print_failure (const struct cp_error *error)
{
  char text[900];

  cp_error_text (error, text, sizeof text);
  fprintf (stderr, "cornelpickd: %s\n", text);
  return STATUS_ERROR;
}

/* Blocks the signals that wait_for_shutdown waits for.  Must be called before
   any thread is created, since a signal is delivered to any thread that does
   not block it.  */
static void
block_signals (sigset_t *signals)
{
  sigemptyset (signals);
  sigaddset (signals, SIGTERM);
  sigaddset (signals, SIGINT);
  sigaddset (signals, SIGHUP);
  pthread_sigmask (SIG_BLOCK, signals, NULL);
  signal (SIGPIPE, SIG_IGN);
}

static int
run (const struct cp_settings *settings, sigset_t *signals)
{
  static struct daemon daemon;
  struct cp_error error;
  pthread_t signal_thread;

  if (daemon_start (&daemon, settings, &error) != 0)
    {
      cp_log_stop ();
      return print_failure (&error);
    }
  wait_for_shutdown (&daemon, signals);
  if (pthread_create (&signal_thread, NULL, exit_on_second_signal, signals)
      == 0)
    pthread_detach (signal_thread);
  if (!daemon_wait_idle (&daemon))
    cp_log (CP_LOG_WARNING, CP_PART_DAEMON,
            "The drain's limit passed with calls in flight.");
  daemon_stop (&daemon);
  cp_log_stop ();
  return STATUS_OK;
}

int
main (int argc, char **argv)
{
  struct options options = { 0 };
  struct cp_settings settings;
  struct cp_error error;
  sigset_t signals;

  if (!parse_options (argc, argv, &options))
    return usage ();
  if (options.version)
    {
      puts ("cornelpickd " CORNELPICK_VERSION);
      return STATUS_OK;
    }
  if (options.settings == NULL)
    return usage ();
  if (cp_settings_load (&settings, options.settings, &error) != 0)
    return print_failure (&error);
  if (!apply_options (&settings, &options))
    return usage ();
  if (options.check)
    return STATUS_OK;
  block_signals (&signals);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  mg_init_library (0);
  if (cp_log_start (settings.log_level, settings.log_format, STDERR_FILENO)
      != 0)
    return STATUS_ERROR;
  return run (&settings, &signals);
}

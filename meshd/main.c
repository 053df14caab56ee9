/* cornelpick-meshd: the daemon that runs beside a server on the users'
   platform.  */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "meshd/daemon.h"
#include "meshd/log.h"

#define EXIT_ERROR 1
#define EXIT_USAGE 2

/* Command-line options.  */
struct options
{
  char *settings;
  char *charts;
  char *metrics;
  gboolean check;
};

static void
usage (void)
{
  fputs ("usage: cornelpick-meshd [--settings FILE] [--charts DIR]\n"
         "           [--metrics IP:PORT] [--check]\n",
         stderr);
}

static int
parse_options (struct options *options, int argc, char **argv)
{
  const GOptionEntry entries[]
      = { { "settings", 's', 0, G_OPTION_ARG_FILENAME, &options->settings,
            "settings file of the platform", "FILE" },
          { "charts", 'c', 0, G_OPTION_ARG_FILENAME, &options->charts,
            "directory of the state charts", "DIR" },
          { "metrics", 'm', 0, G_OPTION_ARG_STRING, &options->metrics,
            "address of the metrics endpoint", "IP:PORT" },
          { "check", 'n', 0, G_OPTION_ARG_NONE, &options->check,
            "check the settings and exit", NULL },
          G_OPTION_ENTRY_NULL };
  GOptionContext *context = g_option_context_new (NULL);
  GError *error = NULL;
  int result = 0;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || argc > 1)
    {
      if (error != NULL)
        fprintf (stderr, "cornelpick-meshd: %s\n", error->message);
      g_clear_error (&error);
      usage ();
      result = -1;
    }
  g_option_context_free (context);
  return result;
}

/* Validates the settings file at PATH and prints every error in it.  Returns
   the exit status.  */
static int
check_settings (const char *path)
{
  struct platform_settings settings;
  struct cp_error error = { 0 };
  char *faults = NULL;
  char text[1024];

  if (platform_settings_load (&settings, path, &faults, &error) == 0)
    {
      printf ("%s: no errors found\n", path);
      return EXIT_SUCCESS;
    }
  cp_error_text (&error, text, sizeof text);
  fprintf (stderr, "%s", faults == NULL ? text : faults);
  if (faults == NULL)
    fputc ('\n', stderr);
  g_free (faults);
  return EXIT_ERROR;
}

static int
run_daemon (const struct options *options, const char *path)
{
  static struct mesh_daemon daemon;
  struct cp_error error = { 0 };
  char text[1024];

  signal (SIGPIPE, SIG_IGN);
  if (mesh_daemon_init (&daemon, path,
                        options->charts == NULL ? "charts" : options->charts,
                        options->metrics, &error)
      != 0)
    {
      cp_error_text (&error, text, sizeof text);
      fprintf (stderr, "cornelpick-meshd: %s\n", text);
      return EXIT_ERROR;
    }
  if (mesh_log_start (daemon.settings.vm) != 0)
    fputs ("cornelpick-meshd: cannot start the log thread; nothing will be "
           "logged\n",
           stderr);
  mesh_log (MESH_LOG_START,
            "\"service\":\"%s\",\"domain\":\"%s\",\"calls\":\"%s\"",
            daemon.settings.service, daemon.settings.domain,
            daemon.settings.call_listen.text);
  mesh_daemon_run (&daemon);
  mesh_log (MESH_LOG_STOP, "\"reason\":\"signal\"");
  mesh_log_stop ();
  mesh_daemon_finish (&daemon);
  return EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  struct options options = { 0 };
  const char *path;

  if (parse_options (&options, argc, argv) != 0)
    return EXIT_USAGE;
  path = options.settings != NULL ? options.settings
                                  : getenv (PLATFORM_SETTINGS_VARIABLE);
  if (path == NULL)
    {
      fputs ("cornelpick-meshd: no settings file given; use --settings "
             "or set " PLATFORM_SETTINGS_VARIABLE "\n",
             stderr);
      return EXIT_USAGE;
    }
  return options.check ? check_settings (path) : run_daemon (&options, path);
}

/* cornelpick-meshd: the daemon beside a server on the users' platform.  */
#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "meshd/daemon.h"
#include "meshd/log.h"

#define EXIT_FINDING 1
#define EXIT_USAGE 2

/* How the program was called.  */
struct invocation
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
parse (struct invocation *invocation, int argc, char **argv)
{
  const GOptionEntry entries[]
      = { { "settings", 's', 0, G_OPTION_ARG_FILENAME, &invocation->settings,
            "settings file of the platform", "FILE" },
          { "charts", 'c', 0, G_OPTION_ARG_FILENAME, &invocation->charts,
            "directory of the state charts", "DIR" },
          { "metrics", 'm', 0, G_OPTION_ARG_STRING, &invocation->metrics,
            "address for metrics", "IP:PORT" },
          { "check", 'n', 0, G_OPTION_ARG_NONE, &invocation->check,
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

/* Says every fault of the settings.  */
static int
check (const char *path)
{
  struct platform_settings settings;
  struct cp_error error = { 0 };
  char *faults = NULL;
  char text[1024];

  if (platform_settings_load (&settings, path, &faults, &error) == 0)
    {
      printf ("%s: in order\n", path);
      return EXIT_SUCCESS;
    }
  cp_error_text (&error, text, sizeof text);
  fprintf (stderr, "%s", faults == NULL ? text : faults);
  if (faults == NULL)
    fputc ('\n', stderr);
  g_free (faults);
  return EXIT_FINDING;
}

static int
run (const struct invocation *invocation, const char *path)
{
  static struct mesh_daemon daemon;
  struct cp_error error = { 0 };
  char text[1024];

  signal (SIGPIPE, SIG_IGN);
  if (mesh_daemon_init (&daemon, path,
                        invocation->charts == NULL ? "charts"
                                                   : invocation->charts,
                        invocation->metrics, &error)
      != 0)
    {
      cp_error_text (&error, text, sizeof text);
      fprintf (stderr, "cornelpick-meshd: %s\n", text);
      return EXIT_FINDING;
    }
  if (mesh_log_start (daemon.settings.vm) != 0)
    fputs ("cornelpick-meshd: no thread for the log; it stays empty\n",
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
  struct invocation invocation = { 0 };
  const char *path;

  if (parse (&invocation, argc, argv) != 0)
    return EXIT_USAGE;
  path = invocation.settings != NULL ? invocation.settings
                                     : getenv (PLATFORM_SETTINGS_VARIABLE);
  if (path == NULL)
    {
      fputs ("cornelpick-meshd: no settings file; name one with --settings "
             "or in " PLATFORM_SETTINGS_VARIABLE "\n",
             stderr);
      return EXIT_USAGE;
    }
  return invocation.check ? check (path) : run (&invocation, path);
}

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "cornelpick/cornelpick.h"
#include "cornelpickd/cornelpickd.h"
#include "fakes/fakes.h"
#include "lib/cleanup.h"

#define FIRST_SEED 1
#define TARGETS_MAX 16

/* A daemon with a fake platform and fake targets, all in one process.  */
struct deployment
{
  struct fake_platform platform;
  struct fake_target targets[TARGETS_MAX];
  unsigned n_targets;
  struct daemon daemon;
};

static int
start_targets (struct deployment *deployment,
               const struct cp_document *document, struct cp_error *error)
{
  for (unsigned s = 0; s < document->n_services; s++)
    for (unsigned t = 0; t < document->services[s].n_targets; t++)
      {
        const struct cp_target *target = &document->services[s].targets[t];

        if (deployment->n_targets == TARGETS_MAX)
          return cp_error_set (error, CP_ERROR_LIMIT, target->name,
                               "name at most 16 targets",
                               "is one target too many for cornelpick run");
        if (fake_target_start (&deployment->targets[deployment->n_targets],
                               target->name, &target->address,
                               FIRST_SEED + deployment->n_targets, error)
            != 0)
          return -1;
        deployment->n_targets++;
      }
  return 0;
}

static int
start_all (struct deployment *deployment, const struct cp_settings *settings,
           const char *text, size_t length, const struct cp_document *document,
           struct cp_error *error)
{
  if (fake_platform_start (&deployment->platform,
                           &settings->configuration_service, error)
      != 0)
    return -1;
  fake_platform_set_document (&deployment->platform, text, length);
  if (start_targets (deployment, document, error) != 0)
    return -1;
  return daemon_start (&deployment->daemon, settings, error);
}

static void
stop_all (struct deployment *deployment)
{
  daemon_drain (&deployment->daemon);
  daemon_wait_idle (&deployment->daemon);
  daemon_stop (&deployment->daemon);
  for (unsigned i = 0; i < deployment->n_targets; i++)
    fake_target_stop (&deployment->targets[i]);
  fake_platform_stop (&deployment->platform);
}

static int
run_deployment (const struct cp_settings *settings, const char *text,
                size_t length, const struct cp_document *document)
{
  static struct deployment deployment;
  struct cp_error error;
  sigset_t signals;
  int number;

  sigemptyset (&signals);
  sigaddset (&signals, SIGINT);
  sigaddset (&signals, SIGTERM);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  mg_init_library (0);
  if (start_all (&deployment, settings, text, length, document, &error) != 0)
    return report_error (&error);
  printf ("calls at %s, admin at %s; end with ^C\n", settings->calls.text,
          settings->admin.text);
  fflush (stdout);
  sigwait (&signals, &number);
  stop_all (&deployment);
  return STATUS_OK;
}

int
command_run (int argc, char **argv)
{
  char *document_file = NULL;
  const GOptionEntry entries[]
      = { { "document", 'd', 0, G_OPTION_ARG_FILENAME, &document_file,
            "The document to serve", "FILE" },
          G_OPTION_ENTRY_NULL };
  CP_AUTO_FREE char *text = NULL;
  size_t length;
  struct cp_settings settings;
  struct cp_error error;
  struct cp_document *document;
  int status;

  if (!parse_arguments (&argc, &argv, entries) || argc != 2
      || document_file == NULL)
    return usage ();
  if (cp_settings_load (&settings, argv[1], &error) != 0)
    return report_error (&error);
  if (read_file (document_file, &text, &length, &error) != 0)
    return report_error (&error);
  document = cp_document_compile (document_file, text, length, &error);
  if (document == NULL)
    return report_error (&error);
  status = run_deployment (&settings, text, length, document);
  cp_document_unref (document);
  return status;
}

#include <stdio.h>

#include "cornelpick/cornelpick.h"
#include "lib/cleanup.h"
#include "lib/document.h"

int
command_check (int argc, char **argv)
{
  const GOptionEntry entries[] = { G_OPTION_ENTRY_NULL };
  CP_AUTO_FREE char *text = NULL;
  struct cp_document *document;
  struct cp_error error;
  GError *fault = NULL;
  gsize length;

  if (!parse_arguments (&argc, &argv, entries) || argc != 2)
    return usage ();
  if (!g_file_get_contents (argv[1], &text, &length, &fault))
    {
      cp_error_set (&error, CP_ERROR_IO, argv[1],
                    "name a file that can be "
                    "read",
                    "%s", fault->message);
      g_error_free (fault);
      return report_error (&error);
    }
  document = cp_document_compile (argv[1], text, length, &error);
  if (document == NULL)
    return report_error (&error);
  printf ("%s: %u services, no faults\n", argv[1], document->n_services);
  cp_document_unref (document);
  return STATUS_HOLDS;
}

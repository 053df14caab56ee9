#include <stdio.h>

#include "cornelpick/cornelpick.h"
#include "lib/check.h"
#include "lib/cleanup.h"
#include "lib/difference.h"

static void
print_sentence (void *context, const char *sentence)
{
  unsigned *count = context;

  puts (sentence);
  (*count)++;
}

/* Loads a document; returns NULL with ERROR set when it has faults.  */
static json_t *
load_document (const char *file, struct cp_error *error)
{
  CP_AUTO_FREE char *text = NULL;
  struct cp_faults faults;
  size_t length;
  bool valid;

  if (read_file (file, &text, &length, error) != 0)
    return NULL;
  cp_faults_init (&faults);
  valid = cp_document_check (text, length, &faults);
  if (!valid)
    cp_error_set (error, CP_ERROR_DOCUMENT, file,
                  "run cornelpick check on it first", "has %u faults",
                  faults.count);
  cp_faults_finish (&faults);
  return valid ? json_loadb (text, length, 0, NULL) : NULL;
}

int
command_diff (int argc, char **argv)
{
  const GOptionEntry entries[] = { G_OPTION_ENTRY_NULL };
  CP_AUTO_JSON json_t *old = NULL;
  CP_AUTO_JSON json_t *fresh = NULL;
  unsigned count = 0;
  struct cp_error error;

  if (!parse_arguments (&argc, &argv, entries) || argc != 3)
    return usage ();
  old = load_document (argv[1], &error);
  if (old == NULL)
    return report_error (&error);
  fresh = load_document (argv[2], &error);
  if (fresh == NULL)
    return report_error (&error);
  cp_difference (old, fresh, print_sentence, &count);
  if (count > 0)
    return STATUS_FINDING;
  puts ("nothing changes");
  return STATUS_OK;
}

#include <stdio.h>
#include <string.h>

#include "cornelpick/cornelpick.h"
#include "lib/check.h"
#include "lib/cleanup.h"
#include "platform/check.h"

/* Prints the faults, when SECTION is not NULL only those of it and those of no
   section.  Returns how many were printed.  */
static unsigned
print_faults (const char *file, const struct cp_faults *faults,
              const char *section)
{
  const struct cp_fault *fault;
  unsigned count = 0;
  char text[900];

  cds_list_for_each_entry (fault, &faults->list, node)
  {
    if (section != NULL && *fault->section != '\0'
        && strcmp (fault->section, section) != 0)
      continue;
    cp_fault_text (fault, file, text, sizeof text);
    puts (text);
    count++;
  }
  return count;
}

static json_t *
fault_json (const struct cp_fault *fault)
{
  return json_pack ("{s:i, s:s, s:s, s:s, s:s, s:s}", "line", (int)fault->line,
                    "section", fault->section, "path", fault->path, "problem",
                    fault->problem, "remedy", fault->remedy, "owner",
                    fault->owner);
}

static unsigned
print_json (const struct cp_faults *faults, const char *section)
{
  CP_AUTO_JSON json_t *list = json_array ();
  const struct cp_fault *fault;
  CP_AUTO_FREE char *text = NULL;

  cds_list_for_each_entry (fault, &faults->list, node)
  {
    if (section == NULL || strcmp (fault->section, section) == 0)
      json_array_append_new (list, fault_json (fault));
  }
  text = json_dumps (list, JSON_INDENT (2));
  puts (text == NULL ? "[]" : text);
  return (unsigned)json_array_size (list);
}

static bool
has_section (const char *text, size_t length, const char *section)
{
  CP_AUTO_JSON json_t *root = json_loadb (text, length, 0, NULL);

  return root == NULL
         || json_object_get (json_object_get (root, "sections"), section)
                != NULL;
}

static int
check_text (const char *file, const char *text, size_t length,
            const char *section, bool json)
{
  struct cp_faults faults;
  unsigned count;
  struct cp_error error;

  if (section != NULL && !has_section (text, length, section))
    {
      cp_error_set (&error, CP_ERROR_USAGE, file,
                    "name a section of the document with --section",
                    "has no section \"%s\"", section);
      return report_error (&error);
    }
  cp_faults_init (&faults);
  if (!platform_check_table (text, length, &faults))
    cp_document_check (text, length, &faults);
  count = json ? print_json (&faults, section)
               : print_faults (file, &faults, section);
  if (faults.count > CP_FAULTS_MAX)
    fprintf (stderr, "cornelpick: %s: %u faults, the first %d are shown\n",
             file, faults.count, CP_FAULTS_MAX);
  cp_faults_finish (&faults);
  if (count > 0)
    return STATUS_FINDING;
  if (!json)
    printf ("%s: no faults\n", file);
  return STATUS_OK;
}

int
command_check (int argc, char **argv)
{
  char *section = NULL;
  gboolean json = FALSE;
  const GOptionEntry entries[]
      = { { "section", 's', 0, G_OPTION_ARG_STRING, &section,
            "Show the faults of one section", "NAME" },
          { "json", 'j', 0, G_OPTION_ARG_NONE, &json, "Print JSON", NULL },
          G_OPTION_ENTRY_NULL };
  CP_AUTO_FREE char *text = NULL;
  size_t length;
  struct cp_error error;

  if (!parse_arguments (&argc, &argv, entries) || argc != 2)
    return usage ();
  if (read_file (argv[1], &text, &length, &error) != 0)
    return report_error (&error);
  return check_text (argv[1], text, length, section, json);
}

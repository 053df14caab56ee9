#include <glib.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/faults.h"

void
cp_faults_init (struct cp_faults *faults)
{
  CDS_INIT_LIST_HEAD (&faults->list);
  faults->count = 0;
}

void
cp_faults_finish (struct cp_faults *faults)
{
  struct cp_fault *fault, *next;

  cds_list_for_each_entry_safe (fault, next, &faults->list, node)
  {
    cds_list_del (&fault->node);
    free (fault);
  }
}

void
cp_faults_add (struct cp_faults *faults, unsigned line, const char *section,
               const char *path, const char *owner, const char *remedy,
               const char *problem, ...)
{
  struct cp_fault *fault;
  va_list arguments;

  faults->count++;
  if (faults->count > CP_FAULTS_MAX)
    return;
  fault = calloc (1, sizeof *fault);
  if (fault == NULL)
    return;
  fault->line = line;
  g_strlcpy (fault->section, section, sizeof fault->section);
  g_strlcpy (fault->path, path, sizeof fault->path);
  g_strlcpy (fault->owner, owner, sizeof fault->owner);
  g_strlcpy (fault->remedy, remedy, sizeof fault->remedy);
  va_start (arguments, problem);
  vsnprintf (fault->problem, sizeof fault->problem, problem, arguments);
  va_end (arguments);
  cds_list_add_tail (&fault->node, &faults->list);
}

void
cp_fault_text (const struct cp_fault *fault, const char *file, char *text,
               size_t size)
{
  const char *separator
      = *fault->section != '\0' && *fault->path != '\0' ? "/" : "";
  char line[16] = "";
  int length;

  if (fault->line > 0)
    snprintf (line, sizeof line, ":%u", fault->line);
  length = snprintf (text, size, "%s%s: %s%s%s: %s; %s", file, line,
                     fault->section, separator, fault->path, fault->problem,
                     fault->remedy);

  if (*fault->owner != '\0' && length > 0 && (size_t)length < size)
    snprintf (text + length, size - (size_t)length, " (%s)", fault->owner);
}

bool
cp_faults_in_section (const struct cp_faults *faults, const char *section)
{
  const struct cp_fault *fault;

  cds_list_for_each_entry (fault, &faults->list, node)
  {
    if (strcmp (fault->section, section) == 0)
      return true;
  }
  return false;
}

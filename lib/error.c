#include <stdarg.h>
#include <stdio.h>

#include "lib/error.h"

static const char *const kind_names[] = {
  [CP_ERROR_NONE] = "none",
  [CP_ERROR_USAGE] = "usage",
  [CP_ERROR_SETTINGS] = "settings",
  [CP_ERROR_DOCUMENT] = "document",
  [CP_ERROR_CHART] = "chart",
  [CP_ERROR_TRACE] = "trace",
  [CP_ERROR_IO] = "io",
  [CP_ERROR_NETWORK] = "network",
  [CP_ERROR_PROTOCOL] = "protocol",
  [CP_ERROR_LIMIT] = "limit",
  [CP_ERROR_MEMORY] = "memory",
};

int
cp_error_set (struct cp_error *error, enum cp_error_kind kind,
              const char *place, const char *remedy, const char *problem, ...)
{
  va_list arguments;

  if (error == NULL)
    return -1;
  error->kind = kind;
  snprintf (error->place, sizeof error->place, "%s", place);
  snprintf (error->remedy, sizeof error->remedy, "%s", remedy);
  va_start (arguments, problem);
  vsnprintf (error->problem, sizeof error->problem, problem, arguments);
  va_end (arguments);
  return -1;
}

void
cp_error_text (const struct cp_error *error, char *text, size_t size)
{
  snprintf (text, size, "%s: %s; %s", error->place, error->problem,
            error->remedy);
}

const char *
cp_error_kind_name (enum cp_error_kind kind)
{
  return kind_names[kind];
}

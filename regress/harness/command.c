#include <check.h>
#include <glib.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>

#include "regress/harness/command.h"

#define ARGUMENTS_MAX 12

/* Characters of a text that a failed assertion shows.  */
#define SHOWN_MAX 4000

/* Returns the folder that the variable NAME gives.  */
static const char *
folder_of (const char *name, const char *fallback)
{
  const char *folder = getenv (name);

  return folder == NULL ? fallback : folder;
}

char *
command_path (void)
{
  return g_strconcat (folder_of ("BUILD", "build"), "/cornelpick/cornelpick",
                      NULL);
}

void
result_release (struct result *result)
{
  g_free (result->out);
  g_free (result->err);
}

struct result
command_run_with (const char *first, ...)
{
  char *path = command_path ();
  char *arguments[ARGUMENTS_MAX] = { path, (char *)first };
  unsigned count = 2;
  struct result result = { 0 };
  va_list list;

  va_start (list, first);
  while ((arguments[count] = va_arg (list, char *)) != NULL)
    ck_assert_uint_lt (++count, ARGUMENTS_MAX);
  va_end (list);
  ck_assert (g_spawn_sync (NULL, arguments, NULL, G_SPAWN_DEFAULT, NULL, NULL,
                           &result.out, &result.err, &result.status, NULL));
  ck_assert_msg (WIFEXITED (result.status), "ended by signal: %s", result.err);
  result.status = WEXITSTATUS (result.status);
  g_free (path);
  return result;
}

void
assert_has (const char *text, const char *part)
{
  /* A message that is too long ends the program without being shown.  */
  ck_assert_msg (strstr (text, part) != NULL, "\"%s\" is not in:\n%.*s", part,
                 SHOWN_MAX, text);
}

void
assert_fault (struct result result, int status, const char *text)
{
  ck_assert_msg (result.status == status, "status %d: %s", result.status,
                 result.err);
  ck_assert_str_eq (result.out, "");
  assert_has (result.err, text);
  ck_assert_ptr_eq (strchr (result.err, '\n'),
                    result.err + strlen (result.err) - 1);
  result_release (&result);
}

int
call_for_id (struct fleet *fleet, const char *method, const char *path,
             char id[64])
{
  struct reply reply;
  int status;

  reply_init (&reply);
  fleet_call (fleet, &reply, 1, method, path, NULL,
              strcmp (method, "POST") == 0 ? "leopard" : NULL);
  ck_assert (reply_header (&reply, "Cornelpick-Request", id, 64));
  status = reply.status;
  reply_finish (&reply);
  return status;
}

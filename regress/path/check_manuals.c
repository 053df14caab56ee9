/* The manual pages: their examples work and they describe every key.  */
#include <stdio.h>
#include <string.h>
#include <sys/wait.h>

#include "lib/check.h"
#include "lib/cleanup.h"
#include "lib/schema.h"
#include "regress/harness/harness.h"
#include "regress/harness/suite.h"

#define PORT_ADMIN 7402

static char *
read_page (const char *name)
{
  const char *top = getenv ("TOP");
  CP_AUTO_FREE char *path
      = g_strconcat (top == NULL ? "." : top, "/", name, NULL);
  char *text = NULL;

  ck_assert_msg (g_file_get_contents (path, &text, NULL, NULL), "no %s", path);
  return text;
}

/* Returns the text of the display that follows the comment "example NAME".  */
static char *
read_example (const char *page, const char *name)
{
  CP_AUTO_FREE char *text = read_page (page);
  CP_AUTO_FREE char *mark = g_strconcat (".\\\" example ", name, "\n", NULL);
  const char *start = strstr (text, mark);
  const char *end;

  ck_assert_msg (start != NULL, "%s has no example %s", page, name);
  start = strchr (start + strlen (mark), '\n') + 1;
  end = strstr (start, "\n.Ed\n");
  ck_assert_ptr_nonnull (end);
  return g_strndup (start, (gsize)(end - start) + 1);
}

/* Replaces each OLD in TEXT.  */
static char *
replace (const char *text, const char *old, const char *new)
{
  gchar **parts = g_strsplit (text, old, -1);
  char *joined = g_strjoinv (new, parts);

  g_strfreev (parts);
  return joined;
}

/* Runs the lines that start with "$ ".  Each must end with status 0.  */
static void
run_commands (const char *text, const char *folder)
{
  gchar **lines = g_strsplit (text, "\n", -1);

  for (gchar **line = lines; *line != NULL; line++)
    {
      CP_AUTO_FREE char *script = g_strdup_printf (
          "PATH=%s/cornelpick:%s/cornelpickd:$PATH; %s", getenv ("BUILD"),
          getenv ("BUILD"), *line + strlen ("$ "));
      char *arguments[] = { "sh", "-c", script, NULL };
      char *out = NULL;
      char *err = NULL;
      int status;

      if (strncmp (*line, "$ ", 2) != 0)
        continue;
      ck_assert (g_spawn_sync (folder, arguments, NULL, G_SPAWN_SEARCH_PATH,
                               NULL, NULL, &out, &err, &status, NULL));
      ck_assert_msg (status == 0, "%s: status %d: %s%s", *line,
                     WEXITSTATUS (status), out, err);
      g_free (out);
      g_free (err);
    }
  g_strfreev (lines);
}

/* Asserts that PAGE names each of KEYS at the begin of an item or of what an
   item says: alone, after the objects that hold it, or before what it
   holds.  */
static void
assert_described (const char *page, const struct cp_schema_key *keys)
{
  for (; keys->name != NULL; keys++)
    {
      CP_AUTO_FREE char *pattern = g_strdup_printf (
          "^\\.(It )?Cm (.*[., ])?%s([. ].*)?$", keys->name);

      ck_assert_msg (
          g_regex_match_simple (pattern, page, G_REGEX_MULTILINE, 0),
          "no item for %s", keys->name);
      if (keys->keys != NULL)
        assert_described (page, keys->keys);
    }
}

START_TEST (every_key_of_the_document_is_described)
{
  CP_AUTO_FREE char *page = read_page ("cornelpickd/cornelpick.json.5");

  assert_described (page, cp_root_keys);
  assert_described (page, cp_fleet_keys);
  assert_described (page, cp_service_keys);
}
END_TEST

START_TEST (the_example_document_has_no_faults)
{
  CP_AUTO_FREE char *text
      = read_example ("cornelpickd/cornelpick.json.5", "document");
  struct cp_faults faults;

  cp_faults_init (&faults);
  ck_assert (cp_document_check (text, strlen (text), &faults));
  cp_faults_finish (&faults);
}
END_TEST

START_TEST (the_daemon_takes_the_example_settings)
{
  CP_AUTO_FREE char *settings
      = read_example ("cornelpickd/cornelpickd.8", "settings");
  CP_AUTO_FREE char *commands
      = read_example ("cornelpickd/cornelpickd.8", "commands");
  CP_AUTO_FREE char *folder
      = g_dir_make_tmp ("cornelpick-manual-XXXXXX", NULL);
  CP_AUTO_FREE char *path = g_build_filename (folder, "settings.json", NULL);

  ck_assert (g_file_set_contents (path, settings, -1, NULL));
  run_commands (commands, folder);
  remove (path);
  remove (folder);
}
END_TEST

START_TEST (the_commands_work_on_a_fleet)
{
  struct fleet fleet;
  struct reply reply;
  char admin[56];
  char id[64];
  CP_AUTO_FREE char *commands
      = read_example ("cornelpick/cornelpick.1", "commands");
  CP_AUTO_FREE char *explain
      = read_example ("cornelpick/cornelpick.1", "explain");
  CP_AUTO_FREE char *text = NULL;
  CP_AUTO_FREE char *with_id = NULL;
  CP_AUTO_FREE char *story = NULL;

  fleet_start (&fleet, 1, 1, NULL);
  fleet_address (&fleet, 1, PORT_ADMIN, admin);
  reply_init (&reply);
  fleet_call (&fleet, &reply, 1, "GET", "/items/1", NULL, NULL);
  ck_assert (reply_header (&reply, "Cornelpick-Request", id, sizeof id));
  reply_finish (&reply);
  text = replace (commands, "127.0.0.1:7402", admin);
  run_commands (text, getenv ("TOP"));
  with_id = replace (explain, "5f2b7c0de1f04a6ba2c1d3e4f5061728", id);
  story = replace (with_id, "127.0.0.1:7402", admin);
  ck_assert_ptr_nonnull (strstr (story, id));
  run_commands (story, getenv ("TOP"));
  fleet_stop (&fleet);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, every_key_of_the_document_is_described);
  tcase_add_test (tests, the_example_document_has_no_faults);
  tcase_add_test (tests, the_daemon_takes_the_example_settings);
  tcase_add_test (tests, the_commands_work_on_a_fleet);
}

int
main (void)
{
  return suite_run ("manuals", add_tests, 120);
}

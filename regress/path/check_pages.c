/* The pages: what they name exists, and the capacity page follows from the
   recorded slopes.  */
#include <glib.h>
#include <string.h>
#include <sys/wait.h>

#include "lib/cleanup.h"
#include "regress/harness/suite.h"

static const char *
top_folder (void)
{
  const char *top = getenv ("TOP");

  return top == NULL ? "." : top;
}

/* Runs SCRIPT by sh in the top folder; returns its status and output.  */
static int
run_script (const char *script, char **out)
{
  char *arguments[] = { "sh", "-c", (char *)script, NULL };
  int status;

  ck_assert (g_spawn_sync (top_folder (), arguments, NULL, G_SPAWN_SEARCH_PATH,
                           NULL, NULL, out, NULL, &status, NULL));
  return WEXITSTATUS (status);
}

START_TEST (pages_name_what_exists)
{
  CP_AUTO_FREE char *out = NULL;
  int status = run_script ("scripts/check-pages ARCHITECTURE.md docs/*.md "
                           "docs/design/*.md",
                           &out);

  ck_assert_msg (status == 0, "%s", out);
}
END_TEST

START_TEST (the_index_names_every_design_note)
{
  CP_AUTO_FREE char *out = NULL;
  int status = run_script ("for page in docs/design/*.md; do"
                           " name=${page##*/};"
                           " [ $name = README.md ]"
                           " || grep -q \"($name)\" docs/design/README.md"
                           " || echo $name; done",
                           &out);

  ck_assert_int_eq (status, 0);
  ck_assert_msg (*out == '\0', "not in the index: %s", out);
}
END_TEST

START_TEST (the_capacity_page_follows_from_the_slopes)
{
  CP_AUTO_FREE char *out = NULL;
  int status = run_script ("scripts/check-capacity", &out);

  ck_assert_msg (status == 0, "%s", out);
}
END_TEST

/* Checks a copy of the capacity page after the sed command EDIT.  */
static int
check_edited (const char *edit, char **out)
{
  CP_AUTO_FREE char *script = g_strdup_printf (
      "page=$(mktemp) && sed '%s' docs/CAPACITY.md >$page"
      " && ! cmp -s $page docs/CAPACITY.md"
      " && scripts/check-capacity --page $page; status=$?; rm $page;"
      " exit $status",
      edit);

  return run_script (script, out);
}

START_TEST (a_capacity_page_with_a_fault_is_found)
{
  static const char *const edits[] = {
    "s/| `servers` | 4400 |/| `servers` | 4500 |/",
    "s/| 3.67 MB |/| 3.66 MB |/",
    "s/\\*\\*does not fit\\*\\*/fits/",
    "0,/| not measured yet |/s/| not measured yet |/| 1 % |/",
  };

  for (unsigned i = 0; i < G_N_ELEMENTS (edits); i++)
    {
      CP_AUTO_FREE char *out = NULL;

      ck_assert_int_eq (check_edited (edits[i], &out), 1);
      ck_assert_msg (strstr (out, "but must be") != NULL, "%s: %s", edits[i],
                     out);
    }
}
END_TEST

START_TEST (the_report_has_a_page_and_plots)
{
  CP_AUTO_FREE char *out = NULL;
  int status = run_script (
      "folder=$(mktemp -d) && scripts/report --out $folder 2>/dev/null"
      " && grep '^!' $folder/README.md | sed 's/.*(//; s/)//'"
      " | while read -r plot; do grep -q '</svg>' $folder/$plot"
      " && echo plot; done; status=$?; rm -r $folder; exit $status",
      &out);

  ck_assert_int_eq (status, 0);
  ck_assert_ptr_nonnull (strstr (out, "README.md\nplot\nplot\n"));
}
END_TEST

START_TEST (a_line_that_is_no_figure_is_named)
{
  CP_AUTO_FREE char *out = NULL;
  int status
      = run_script ("file=$(mktemp) && echo '{\"name\": \"a\"}' >$file"
                    " && scripts/report --results $file --out /nowhere 2>&1;"
                    " status=$?; rm $file; exit $status",
                    &out);

  ck_assert_int_eq (status, 1);
  ck_assert_msg (strstr (out, ":1: no figure with name, value") != NULL, "%s",
                 out);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, pages_name_what_exists);
  tcase_add_test (tests, the_index_names_every_design_note);
  tcase_add_test (tests, the_capacity_page_follows_from_the_slopes);
  tcase_add_test (tests, a_capacity_page_with_a_fault_is_found);
  tcase_add_test (tests, the_report_has_a_page_and_plots);
  tcase_add_test (tests, a_line_that_is_no_figure_is_named);
}

int
main (void)
{
  return suite_run ("pages", add_tests, 60);
}

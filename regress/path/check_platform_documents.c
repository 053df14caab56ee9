/* Tests of cornelpick check on configurations in the platform's format.  */
#include <string.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "regress/harness/command.h"
#include "regress/harness/suite.h"

#define DOCUMENT                                                              \
  "{\"version\":7,\"listeners\":[{\"host\":\"a.test\",\"rules\":[%s]}],"      \
  "\"clusters\":[{\"name\":\"s\",\"healthPath\":\"/health\"}]}"
#define RULE                                                                  \
  "{\"name\":\"r\",\"kind\":\"%s\",\"match\":{\"prefix\":\"/p/\"},"           \
  "\"action\":{\"service\":\"s\"%s}}"

static char path[] = "/tmp/cornelpick-document-XXXXXX";

static void
setup (void)
{
  int fd = mkstemp (path);

  ck_assert_int_ge (fd, 0);
  close (fd);
}

static void
teardown (void)
{
  unlink (path);
}

static struct result
check_text (const char *text, bool json)
{
  ck_assert (g_file_set_contents (path, text, -1, NULL));
  return json ? command_run_with ("check", "--json", path, NULL)
              : command_run_with ("check", path, NULL);
}

START_TEST (a_valid_configuration_has_no_faults)
{
  CP_AUTO_FREE char *rule
      = g_strdup_printf (RULE, "download", ",\"timeout\":\"1s\"");
  CP_AUTO_FREE char *text = g_strdup_printf (DOCUMENT, rule);
  struct result result = check_text (text, false);

  ck_assert_msg (result.status == 0, "%s%s", result.out, result.err);
  assert_has (result.out, "no faults");
  result_release (&result);
}
END_TEST

/* Guards against faults that are found only after the configuration has been
   published, when routes answer 503.  */
START_TEST (each_fault_is_listed_with_its_consequence)
{
  CP_AUTO_FREE char *first = g_strdup_printf (RULE, "sometimes", "");
  CP_AUTO_FREE char *second
      = g_strdup_printf (RULE, "sometimes", ",\"timeout\":\"1s\"");
  CP_AUTO_FREE char *rules = g_strdup_printf ("%s,%s,7", first, second);
  CP_AUTO_FREE char *text = g_strdup_printf (DOCUMENT, rules);
  struct result result = check_text (text, false);
  json_t *faults;

  ck_assert_int_eq (result.status, 1);
  /* No line is known; a wrong one would mislead.  */
  ck_assert (g_str_has_prefix (result.out, path));
  ck_assert (g_str_has_prefix (result.out + strlen (path), ": "));
  assert_has (result.out, "route r at a.test/p/: it has no valid timeout; its "
                          "requests are answered with 503");
  assert_has (result.out, "route r at a.test/p/: unknown kind sometimes; its "
                          "requests run at most once");
  assert_has (result.out, "a route at a.test: it has no prefix; it is left "
                          "out");
  result_release (&result);
  result = check_text (text, true);
  ck_assert_int_eq (result.status, 1);
  faults = json_loads (result.out, 0, NULL);
  ck_assert_uint_eq (json_array_size (faults), 3);
  ck_assert_str_eq (
      json_string_value (json_object_get (json_array_get (faults, 0), "path")),
      "route r at a.test/p/");
  json_decref (faults);
  result_release (&result);
}
END_TEST

START_TEST (a_configuration_that_is_refused_as_a_whole_is_an_error)
{
  struct result result
      = check_text ("{\"listeners\":[],\"clusters\":[]}", false);

  ck_assert_int_eq (result.status, 1);
  assert_has (result.out, "has no version; the configuration is refused");
  result_release (&result);
  result
      = check_text ("{\"version\":7,\"listeners\":{},\"clusters\":[]}", true);
  ck_assert_int_eq (result.status, 1);
  assert_has (result.out, "has no listeners or no clusters");
  result_release (&result);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, a_valid_configuration_has_no_faults);
  tcase_add_test (tests, each_fault_is_listed_with_its_consequence);
  tcase_add_test (tests,
                  a_configuration_that_is_refused_as_a_whole_is_an_error);
}

int
main (void)
{
  return suite_run ("platform_documents", add_tests, 20);
}

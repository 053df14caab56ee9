/* The main function of a check program.  */
#ifndef SUITE_H
#define SUITE_H

#include <check.h>
#include <stdlib.h>

/* Runs the tests of CASE_FUNCTION, which adds them to a test case.  Each test
   may take LIMIT_S seconds.  */
static inline int
suite_run (const char *name, void (*add_tests) (TCase *), double limit_s)
{
  Suite *suite = suite_create (name);
  TCase *tests = tcase_create (name);
  SRunner *runner;
  int failed;

  tcase_set_timeout (tests, limit_s);
  add_tests (tests);
  suite_add_tcase (suite, tests);
  runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif

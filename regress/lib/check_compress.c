/* Packed values: what is packed comes back, what is broken is refused.  */
#include <string.h>

#include "lib/cleanup.h"
#include "lib/compress.h"
#include "regress/harness/suite.h"

#define ROUTES 1341

/* Returns text like a configuration of many routes.  */
static char *
long_text (void)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = 0; i < ROUTES; i++)
    g_string_append_printf (text,
                            "{\"name\":\"route-%u\",\"kind\":\"idempotent\","
                            "\"match\":{\"prefix\":\"/r%u/\"},\"action\":{"
                            "\"service\":\"alpha\",\"timeout\":\"2000ms\"}},",
                            i, i);
  return g_string_free (text, FALSE);
}

/* A tenth is what the sums of docs/CAPACITY.md go by.  */
START_TEST (a_long_configuration_shrinks_to_a_tenth_and_comes_back)
{
  CP_AUTO_FREE char *text = long_text ();
  size_t length = strlen (text);
  GBytes *packed = cp_pack (text, length);
  GBytes *value;
  struct cp_error error = { 0 };

  ck_assert_ptr_nonnull (packed);
  ck_assert_uint_le (g_bytes_get_size (packed), length / 10);
  value = cp_unpack (g_bytes_get_data (packed, NULL),
                     g_bytes_get_size (packed), length, "x", &error);
  ck_assert_ptr_nonnull (value);
  ck_assert_mem_eq (g_bytes_get_data (value, NULL), text, length);
  g_bytes_unref (packed);
  g_bytes_unref (value);
}
END_TEST

START_TEST (what_does_not_shrink_is_left_as_it_is)
{
  ck_assert_ptr_null (cp_pack ("q7", 2));
  ck_assert_ptr_null (cp_pack ("", 0));
}
END_TEST

/* Cut short, with a wrong byte in the middle, with another length.  */
START_TEST (a_broken_value_is_refused_by_name)
{
  CP_AUTO_FREE char *text = long_text ();
  size_t length = strlen (text);
  GBytes *packed = cp_pack (text, length);
  size_t size = g_bytes_get_size (packed);
  CP_AUTO_FREE char *copy = g_memdup2 (g_bytes_get_data (packed, NULL), size);
  struct cp_error error = { 0 };

  if (_i == 0)
    size /= 2;
  else if (_i == 1)
    copy[size / 2] ^= 1;
  else
    length += _i == 2 ? 1 : -1;
  ck_assert_ptr_null (cp_unpack (copy, size, length, "op/config", &error));
  ck_assert_int_eq (error.kind, CP_ERROR_PROTOCOL);
  ck_assert_str_eq (error.place, "op/config");
  g_bytes_unref (packed);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests,
                  a_long_configuration_shrinks_to_a_tenth_and_comes_back);
  tcase_add_test (tests, what_does_not_shrink_is_left_as_it_is);
  tcase_add_loop_test (tests, a_broken_value_is_refused_by_name, 0, 4);
}

int
main (void)
{
  return suite_run ("pack", add_tests, 20);
}

/* Compression: values round-trip, and corrupt ones are refused.  */
#include <string.h>

#include "lib/cleanup.h"
#include "lib/compress.h"
#include "regress/harness/suite.h"

#define ROUTES 1341

/* Returns a text like a configuration with many routes.  */
static char *
make_long_configuration (void)
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

/* The calculations of docs/CAPACITY.md assume compression to a tenth.  */
START_TEST (a_long_configuration_compresses_to_a_tenth_and_round_trips)
{
  CP_AUTO_FREE char *text = make_long_configuration ();
  size_t length = strlen (text);
  GBytes *compressed = cp_compress (text, length);
  GBytes *value;
  struct cp_error error = { 0 };

  ck_assert_ptr_nonnull (compressed);
  ck_assert_uint_le (g_bytes_get_size (compressed), length / 10);
  value = cp_decompress (g_bytes_get_data (compressed, NULL),
                         g_bytes_get_size (compressed), length, "x", &error);
  ck_assert_ptr_nonnull (value);
  ck_assert_mem_eq (g_bytes_get_data (value, NULL), text, length);
  g_bytes_unref (compressed);
  g_bytes_unref (value);
}
END_TEST

START_TEST (an_incompressible_value_is_not_compressed)
{
  ck_assert_ptr_null (cp_compress ("q7", 2));
  ck_assert_ptr_null (cp_compress ("", 0));
}
END_TEST

/* Truncated, with a flipped bit in the middle, and with an expected length
   that is one too large or one too small.  */
START_TEST (a_corrupt_value_is_refused_by_name)
{
  CP_AUTO_FREE char *text = make_long_configuration ();
  size_t length = strlen (text);
  GBytes *compressed = cp_compress (text, length);
  size_t size = g_bytes_get_size (compressed);
  CP_AUTO_FREE char *copy
      = g_memdup2 (g_bytes_get_data (compressed, NULL), size);
  struct cp_error error = { 0 };

  if (_i == 0)
    size /= 2;
  else if (_i == 1)
    copy[size / 2] ^= 1;
  else
    length += _i == 2 ? 1 : -1;
  ck_assert_ptr_null (cp_decompress (copy, size, length, "op/config", &error));
  ck_assert_int_eq (error.kind, CP_ERROR_PROTOCOL);
  ck_assert_str_eq (error.place, "op/config");
  g_bytes_unref (compressed);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests,
                  a_long_configuration_compresses_to_a_tenth_and_round_trips);
  tcase_add_test (tests, an_incompressible_value_is_not_compressed);
  tcase_add_loop_test (tests, a_corrupt_value_is_refused_by_name, 0, 4);
}

int
main (void)
{
  return suite_run ("compress", add_tests, 20);
}

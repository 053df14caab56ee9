/* Validation, compilation, routing and differences of documents.  */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "lib/check.h"
#include "lib/cleanup.h"
#include "lib/difference.h"
#include "lib/document.h"
#include "regress/harness/suite.h"

static char *
read_example (size_t *length)
{
  CP_AUTO_FREE char *path
      = g_build_filename (getenv ("TOP"), "examples", "first-look.json", NULL);
  char *text = NULL;

  ck_assert (g_file_get_contents (path, &text, length, NULL));
  return text;
}

/* Returns the example with the first occurrence of FROM replaced by TO.  */
static char *
edit_example (const char *from, const char *to)
{
  size_t length;
  CP_AUTO_FREE char *text = read_example (&length);
  char *at = strstr (text, from);
  GString *changed = g_string_new (NULL);

  ck_assert_msg (at != NULL, "%s is not in the example", from);
  g_string_append_len (changed, text, at - text);
  g_string_append (changed, to);
  g_string_append (changed, at + strlen (from));
  return g_string_free (changed, FALSE);
}

/* A change of the example and the fault that the check must report for it.  */
struct mutation
{
  const char *from;
  const char *to;
  const char *expected; /* part of the printed fault */
};

static const struct mutation mutations[] = {
  { "\"slots\": 12", "\"slost\": 12", "write \"slots\"" },
  { "\"slots\": 12", "\"slots\": \"12\"",
    "catalogue/slots: is not a whole number" },
  { "\"slots\": 12", "\"slots\": 0", "0 is out of range" },
  { "\"slots\": 12", "\"slots\": 1.5", "is not a whole number" },
  { "\"slots\": 12", "\"slots\": 12, \"slots\": 13",
    "duplicate key \"slots\"" },
  { "\"calls_share\": 0.1", "\"calls_share\": 1.5", "at most 1" },
  { "\"calls_share\": 0.1", "\"calls_share\": 0", "above 0" },
  { "\"domain-b\"}", "\"domain-x\"}", "\"domain-x\" is not a failure domain" },
  { "127.0.1.2:8080", "127.0.1.1:8080", "also used by catalogue/catalogue-1" },
  { "127.0.1.2:8080", "127.0.1.1:7401", "also used by catalogue/catalogue-1" },
  { "127.0.1.2:8080", "shop:8080", "not an IP address with a port" },
  { "127.0.1.2:7400", "127.0.1.2:65535", "does not exist" },
  { "\"/orders\", \"methods\": [\"POST\"]",
    "\"/items/\", \"methods\": [\"GET\"]",
    "also a route of catalogue (catalogue team)" },
  { "\"POST\"], \"idempotent\": false", "\"POST\"]",
    "routes[1]/idempotent: is missing on a route with POST" },
  { "\"POST\"]", "\"FETCH\"]", "element 0 is not a supported method" },
  { "\"deadline_ms\": 2000", "\"deadline_ms\": 8",
    "not longer than the network round trip" },
  { "\"interval_ms\": 1000", "\"interval_ms\": 100",
    "the probes cost the target 63 ms per s" },
  { "\"region\": \"region-1\"", "\"region\": \"\"", "is empty" },
  { "\"kind\": \"service\"", "\"kind\": \"servce\"", "fleet or service" },
  { "\"kind\": \"fleet\"", "\"kind\": \"service\"", "no section of kind" },
  { "\"format\": 1", "\"format\": 2", "out of range" },
  { "\"version\": 1", "\"version\": 0", "out of range" },
  { "\"priority\": \"normal\"", "\"priority\": \"urgent\"", "not a priority" },
  { "\"shop.example\"", "\"Shop.example:80\"", "is not a host name" },
  { "\"/items/\"", "\"items/\"", "is not a valid path" },
  { "\"/items/\"", "\"/items/../\"", "is not a valid path" },
  { "\"connections\": 250", "\"connections\": 5", "is less than slots" },
  { "\"finish_ms\": 30000", "\"finish_ms\": 10", "less than within_ms" },
  { "\"routes\": [", "\"routes\": [[],", "is not an object" },
  { "\"owner\": \"catalogue team\"", "\"owner\": \"\xff\"", "UTF" },
  { "\"kind\": \"service\",", "\"kind\": \"service\"", "correct the JSON" },
};

START_TEST (each_fault_is_named)
{
  const struct mutation *mutation = &mutations[_i];
  CP_AUTO_FREE char *text = edit_example (mutation->from, mutation->to);
  struct cp_faults faults;
  const struct cp_fault *fault;
  bool found = false;
  char line[900] = "none";

  cp_faults_init (&faults);
  ck_assert (!cp_document_check (text, strlen (text), &faults));
  cds_list_for_each_entry (fault, &faults.list, node)
  {
    cp_fault_text (fault, "FILE", line, sizeof line);
    found = found || strstr (line, mutation->expected) != NULL;
  }
  ck_assert_msg (found, "%s: %s", mutation->to, line);
  cp_faults_finish (&faults);
}
END_TEST

START_TEST (faults_have_line_and_owner)
{
  CP_AUTO_FREE char *text = edit_example ("\"slots\": 12", "\"slots\": -1");
  struct cp_faults faults;
  char line[900];

  cp_faults_init (&faults);
  cp_document_check (text, strlen (text), &faults);
  ck_assert_uint_eq (faults.count, 1);
  cp_fault_text (cds_list_first_entry (&faults.list, struct cp_fault, node),
                 "FILE", line, sizeof line);
  ck_assert_str_eq (line, "FILE:26: catalogue/slots: -1 is out of range; "
                          "write a whole number from 1 to 100000 "
                          "(catalogue team)");
  ck_assert (cp_faults_in_section (&faults, "catalogue"));
  ck_assert (!cp_faults_in_section (&faults, "fleet"));
  cp_faults_finish (&faults);
}
END_TEST

START_TEST (owners_of_conflicting_routes_are_both_named)
{
  size_t length;
  CP_AUTO_FREE char *text = read_example (&length);
  CP_AUTO_JSON json_t *root = json_loadb (text, length, 0, NULL);
  json_t *sections = json_object_get (root, "sections");
  json_t *copy = json_deep_copy (json_object_get (sections, "catalogue"));
  json_t *targets = json_object_get (copy, "targets");
  CP_AUTO_FREE char *changed = NULL;
  struct cp_faults faults;
  char line[900];

  json_object_set_new (copy, "owner", json_string ("other team"));
  json_object_clear (targets);
  json_object_set_new (targets, "other-1",
                       json_pack ("{s:s, s:b, s:s}", "address",
                                  "127.0.1.9:8080", "daemon", 0,
                                  "failure_domain", "domain-a"));
  json_object_set_new (sections, "other", copy);
  changed = json_dumps (root, JSON_INDENT (1));
  cp_faults_init (&faults);
  cp_document_check (changed, strlen (changed), &faults);
  ck_assert_uint_gt (faults.count, 0);
  cp_fault_text (cds_list_first_entry (&faults.list, struct cp_fault, node),
                 "FILE", line, sizeof line);
  ck_assert_ptr_nonnull (strstr (line, "catalogue team"));
  ck_assert_ptr_nonnull (strstr (line, "other team"));
  cp_faults_finish (&faults);
}
END_TEST

static unsigned
count_faults (const char *text, size_t length)
{
  struct cp_faults faults;

  cp_faults_init (&faults);
  cp_document_check (text, length, &faults);
  cp_faults_finish (&faults);
  return faults.count;
}

START_TEST (deep_truncated_empty_and_oversized_texts_are_refused)
{
  GString *deep = g_string_new (NULL);
  size_t length;
  CP_AUTO_FREE char *text = read_example (&length);

  for (unsigned i = 0; i < 100000; i++)
    g_string_append (deep, "[");
  ck_assert_uint_eq (count_faults (deep->str, deep->len), 1);
  ck_assert_uint_eq (count_faults (text, length / 2), 1);
  ck_assert_uint_eq (count_faults ("", 0), 1);
  ck_assert_uint_eq (count_faults ("[]", 2), 1);
  g_string_set_size (deep, CP_DOCUMENT_BYTES_MAX + 1);
  ck_assert_uint_eq (count_faults (deep->str, deep->len), 1);
  g_string_free (deep, TRUE);
}
END_TEST

START_TEST (the_longest_route_wins)
{
  CP_AUTO_FREE char *text = edit_example (
      "\"routes\": [",
      "\"routes\": [{\"host\": \"shop.example\", \"path\": \"/items/new/\", "
      "\"methods\": [\"GET\"], \"priority\": \"high\"},");
  struct cp_error error;
  struct cp_document *document
      = cp_document_compile ("text", text, strlen (text), &error);
  const struct cp_route *route;
  bool known;

  ck_assert_ptr_nonnull (document);
  route = cp_document_route (document, "shop.example", "/items/new/1",
                             CP_METHOD_GET, &known);
  ck_assert_str_eq (route->path, "/items/new/");
  route = cp_document_route (document, "SHOP.example:8000", "/items/1",
                             CP_METHOD_GET, &known);
  ck_assert_str_eq (route->path, "/items/");
  route = cp_document_route (document, "shop.example", "/items/new/1",
                             CP_METHOD_HEAD, &known);
  ck_assert_str_eq (route->path, "/items/");
  route = cp_document_route (document, "shop.example", "/orders",
                             CP_METHOD_POST, &known);
  ck_assert (!route->idempotent);
  ck_assert_ptr_null (cp_document_route (document, "shop.example", "/orders/1",
                                         CP_METHOD_POST, &known));
  ck_assert (!known);
  ck_assert_ptr_null (cp_document_route (document, "shop.example", "/orders",
                                         CP_METHOD_GET, &known));
  ck_assert (known);
  ck_assert_ptr_null (
      cp_document_route (document, "shop", "/orders", CP_METHOD_POST, &known));
  cp_document_unref (document);
}
END_TEST

static void
collect_message (void *context, const char *message)
{
  g_string_append_printf (context, "%s\n", message);
}

START_TEST (differences_are_reported_one_per_message)
{
  size_t length;
  CP_AUTO_FREE char *text = read_example (&length);
  CP_AUTO_FREE char *other = edit_example ("\"slots\": 12", "\"slots\": 8");
  CP_AUTO_JSON json_t *old = json_loadb (text, length, 0, NULL);
  CP_AUTO_JSON json_t *updated = json_loads (other, 0, NULL);
  json_t *catalogue
      = json_object_get (json_object_get (updated, "sections"), "catalogue");
  GString *messages = g_string_new (NULL);

  cp_difference (old, old, collect_message, messages);
  ck_assert_str_eq (messages->str, "");
  json_object_del (json_object_get (catalogue, "targets"), "catalogue-3");
  json_array_remove (json_object_get (catalogue, "routes"), 2);
  json_object_set_new (updated, "version", json_integer (2));
  cp_difference (old, updated, collect_message, messages);
  ck_assert_str_eq (
      messages->str,
      "document: version rises from 1 to 2.\n"
      "catalogue: target catalogue-3 at 127.0.1.3:8080 is removed.\n"
      "catalogue: route PUT shop.example/uploads/ is removed.\n"
      "catalogue: slots changes from 12 to 8.\n");
  g_string_free (messages, TRUE);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, each_fault_is_named, 0,
                       G_N_ELEMENTS (mutations));
  tcase_add_test (tests, faults_have_line_and_owner);
  tcase_add_test (tests, owners_of_conflicting_routes_are_both_named);
  tcase_add_test (tests, deep_truncated_empty_and_oversized_texts_are_refused);
  tcase_add_test (tests, the_longest_route_wins);
  tcase_add_test (tests, differences_are_reported_one_per_message);
}

int
main (void)
{
  return suite_run ("document", add_tests, 30);
}

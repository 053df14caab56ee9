/* Tests of the decoding of the platform's settings, configuration, server
   entries and headers, and of the registry.  */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "lib/clock.h"
#include "platform/decode.h"
#include "platform/headers.h"
#include "platform/registry.h"
#include "platform/settings.h"
#include "platform/value.h"
#include "regress/harness/suite.h"

#define RULE                                                                  \
  "{\"name\":\"r\",\"kind\":\"%s\",\"targetLatency\":\"200ms\","              \
  "\"priority\":2,\"match\":{\"prefix\":\"/p/\"},\"action\":{%s}}"
#define DOCUMENT                                                              \
  "{\"version\":7,\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"     \
  "67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15s\"},"           \
  "\"listeners\":[{\"host\":\"A.test\",\"rules\":[%s]}],\"clusters\":"        \
  "[{\"name\":\"s\",\"healthPath\":\"/health\",\"maxConnections\":240}]}"

static struct cp_error error;

static struct cp_route_table *
decode (const char *kind, const char *action)
{
  char *rule = g_strdup_printf (RULE, kind, action);
  char *document = g_strdup_printf (DOCUMENT, rule);
  struct cp_route_table *table = NULL;

  memset (&error, 0, sizeof error);
  platform_decode_table (document, strlen (document), NULL, &table, &error);
  g_free (document);
  g_free (rule);
  return table;
}

START_TEST (configuration_is_decoded)
{
  struct cp_route_table *table = decode (
      "upload", "\"weightedServices\":[{\"service\":\"s\",\"weight\":90},"
                "{\"service\":\"t\",\"weight\":10}],\"timeout\":\"0.8s\","
                "\"maxAttempts\":2");
  const struct cp_route_table_entry *route;

  ck_assert_ptr_nonnull (table);
  route = cp_route_table_find (table, "a.test", "/p/1");
  ck_assert_uint_eq (table->version, 7);
  ck_assert_uint_eq (table->limits.idle_us, 15 * CP_US_PER_S);
  ck_assert_int_eq (route->idempotency, CP_NON_IDEMPOTENT);
  ck_assert_uint_eq (route->timeout_us, 800 * CP_US_PER_MS);
  ck_assert_uint_eq (route->objective_us, 200 * CP_US_PER_MS);
  ck_assert_uint_eq (route->priority, 2);
  ck_assert_uint_eq (route->attempts, 2);
  ck_assert_uint_eq (route->n_services, 2);
  ck_assert_uint_eq (route->services[1].weight, 10);
  ck_assert_str_eq (cp_route_table_find_service (table, "s")->health_path,
                    "/health");
  cp_route_table_unref (table);
}
END_TEST

START_TEST (invalid_documents_are_rejected)
{
  static const char *const texts[]
      = { "",
          "[]",
          "{",
          "null",
          "{\"version\":\"7\"}",
          "{\"version\":7}",
          "{\"version\":7,\"listeners\":[],\"clusters\":{}}",
          "{\"version\":7,\"listeners\":{},\"clusters\":[]}",
          "{\"listeners\":[],\"clusters\":[]}",
          "\xff\xfe" };
  struct cp_route_table *table;

  for (unsigned i = 0; i < G_N_ELEMENTS (texts); i++)
    {
      ck_assert_int_eq (platform_decode_table (texts[i], strlen (texts[i]),
                                               NULL, &table, &error),
                        -1);
      ck_assert_ptr_null (table);
    }
}
END_TEST

#define ENTRY                                                                 \
  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","            \
  "\"version\":\"v1\",\"capacity\":%s,\"state\":\"%s\",\"warmupLeft\":"       \
  "\"1500ms\",\"sequence\":4%s}"

static int
decode_entry (struct platform_server *server, const char *capacity,
              const char *state, const char *more)
{
  char *text = g_strdup_printf (ENTRY, capacity, state, more);
  int result
      = platform_decode_server (server, "i-1", text, strlen (text), &error);

  g_free (text);
  return result;
}

START_TEST (entries_are_decoded_or_rejected)
{
  struct platform_server server;

  ck_assert_int_eq (
      decode_entry (&server, "13", "draining", ",\"born\":1700000000000"), 0);
  ck_assert_str_eq (server.entry.service, "s");
  ck_assert_uint_eq (server.entry.capacity, 13);
  ck_assert (server.entry.draining);
  ck_assert_uint_eq (server.entry.born_ms, UINT64_C (1700000000000));
  ck_assert_uint_eq (server.entry.warm_up_us, 1500 * CP_US_PER_MS);
  platform_server_finish (&server);
  ck_assert_int_eq (decode_entry (&server, "13", "ready", ""), 0);
  platform_server_finish (&server);
  ck_assert_int_eq (decode_entry (&server, "\"13\"", "ready", ""), -1);
  ck_assert_int_eq (decode_entry (&server, "0", "ready", ""), -1);
  ck_assert_int_eq (decode_entry (&server, "1.5", "ready", ""), -1);
  ck_assert_int_eq (decode_entry (&server, "13", "up", ""), -1);
  ck_assert_int_eq (decode_entry (&server, "13", "ready", ",\"born\":0.5"),
                    -1);
}
END_TEST

static unsigned n_tables;
static unsigned n_unreadable;
static unsigned n_servers;
static unsigned n_removed;
static unsigned n_unsure; /* of those removed */

static void
on_table (void *context, struct cp_route_table *table,
          struct cp_store_position position)
{
  (void)context;
  (void)table;
  (void)position;
  n_tables++;
}

static void
on_server (void *context, const struct cp_server_entry *entry,
           struct cp_store_position position)
{
  (void)context;
  (void)entry;
  (void)position;
  n_servers++;
}

static void
on_removed (void *context, const char *instance, uint64_t unsure_until_us,
            uint64_t changed_us, struct cp_store_position position)
{
  (void)changed_us;
  (void)context;
  (void)instance;
  (void)position;
  n_removed++;
  n_unsure += unsure_until_us != 0;
}

static void
on_unreadable (void *context, const char *key, const struct cp_error *why)
{
  (void)context;
  (void)key;
  (void)why;
  n_unreadable++;
}

static void
on_evacuation (void *context, const char *domain, bool evacuated, bool unsure,
               struct cp_store_position position)
{
  (void)context;
  (void)domain;
  (void)evacuated;
  (void)unsure;
  (void)position;
}

static const struct platform_registry_events registry_events
    = { on_table, on_server, on_removed, on_unreadable, on_evacuation };

static uint64_t era; /* of the items that are applied */

static void
apply (struct platform_registry *registry, const char *key, const char *value,
       uint64_t revision, bool listed)
{
  struct platform_item item = { .key = key,
                                .value = value,
                                .length = value == NULL ? 0 : strlen (value),
                                .position = { era, revision },
                                .removed = value == NULL,
                                .listed = listed };

  platform_registry_apply (registry, &item, 0);
}

static void
end_listing (struct platform_registry *registry, uint64_t revision)
{
  platform_registry_end_listing (
      registry, (struct cp_store_position){ era, revision }, 0, 1, 0);
}

START_TEST (newest_revision_of_each_key_wins)
{
  struct platform_registry registry;
  char *entry = g_strdup_printf (ENTRY, "13", "ready", "");
  char *seven = g_strdup_printf (DOCUMENT, "");

  platform_registry_init (&registry, &registry_events, NULL);
  apply (&registry, "servers/a", entry, 5, false);
  apply (&registry, "servers/a", NULL, 4, false);
  ck_assert_uint_eq (n_servers, 1);
  ck_assert_uint_eq (n_removed, 0);
  apply (&registry, "servers/a", NULL, 6, false);
  apply (&registry, "servers/a", entry, 5, true);
  ck_assert_uint_eq (n_servers, 1);
  ck_assert_uint_eq (n_removed, 1);
  apply (&registry, "op/config", seven, 7, false);
  apply (&registry, "op/config", "{}", 8, false);
  apply (&registry, "op/config",
         "{\"version\":6,\"listeners\":[],"
         "\"clusters\":[]}",
         9, false);
  ck_assert_uint_eq (n_tables, 1);
  ck_assert_uint_eq (n_unreadable, 2);
  ck_assert_uint_eq (registry.table->version, 7);
  platform_registry_finish (&registry);
  g_free (entry);
  g_free (seven);
}
END_TEST

/* Guards against items that are left out after the store has given out their
   revisions again.  */
START_TEST (a_later_era_is_newer_whatever_its_revisions)
{
  struct platform_registry registry;
  char *entry = g_strdup_printf (ENTRY, "13", "ready", "");

  platform_registry_init (&registry, &registry_events, NULL);
  era = 1;
  apply (&registry, "servers/a", entry, 1000, false);
  era = 2;
  apply (&registry, "servers/a", NULL, 951, false);
  ck_assert_uint_eq (n_removed, 1);
  era = 1;
  apply (&registry, "servers/a", entry, 2000, false);
  ck_assert_uint_eq (n_servers, 1);
  era = 0;
  platform_registry_finish (&registry);
  g_free (entry);
}
END_TEST

/* Guards against a configuration, a state of a server, or a server that has
   left, that come back with the copy that the store came back from.  */
START_TEST (what_is_older_in_a_copy_does_not_come_back)
{
  struct platform_registry registry;
  char *seven = g_strdup_printf (DOCUMENT, "");
  char *entry = g_strdup_printf (ENTRY, "13", "ready", "");

  platform_registry_init (&registry, &registry_events, NULL);
  era = 1;
  apply (&registry, "op/config", seven, 40, false);
  apply (&registry, "servers/left", entry, 41, false);
  apply (&registry, "servers/left", NULL, 42, false);
  era = 2;
  apply (&registry, "op/config",
         "{\"version\":6,\"listeners\":[],\"clusters\":[]}", 30, true);
  apply (&registry, "servers/left", entry, 31, true);
  end_listing (&registry, 35);
  ck_assert_uint_eq (n_tables, 1);
  ck_assert_uint_eq (n_unreadable, 0);
  ck_assert_uint_eq (n_servers, 1);
  ck_assert_uint_eq (registry.n_kept, 2);
  /* What is written again after the return is new.  */
  apply (&registry, "servers/left", entry, 36, false);
  ck_assert_uint_eq (n_servers, 2);
  era = 0;
  platform_registry_finish (&registry);
  g_free (entry);
  g_free (seven);
}
END_TEST

/* Guards against a live server, or the configuration, that is dropped since
   the copy lacks it.  */
START_TEST (what_a_copy_lacks_may_be_written_again)
{
  struct platform_registry registry;
  char *seven = g_strdup_printf (DOCUMENT, "");
  char *entry = g_strdup_printf (ENTRY, "13", "ready", "");

  platform_registry_init (&registry, &registry_events, NULL);
  era = 1;
  apply (&registry, "op/config", seven, 40, false);
  apply (&registry, "servers/a", entry, 41, false);
  era = 2;
  end_listing (&registry, 35);
  ck_assert_uint_eq (n_removed, 1);
  ck_assert_uint_eq (n_unsure, 1);
  ck_assert_uint_eq (registry.table->version, 7);
  apply (&registry, "servers/a", entry, 36, true);
  ck_assert_uint_eq (n_servers, 2);
  era = 0;
  platform_registry_finish (&registry);
  g_free (entry);
  g_free (seven);
}
END_TEST

/* Guards against a server that has left and is kept since the first daemon to
   tell of it had just lost the store.  */
START_TEST (a_sure_removal_replaces_an_unsure_one)
{
  struct platform_registry registry;
  struct platform_item removal
      = { .key = "servers/a", .position = { .revision = 6 }, .removed = true };
  char *entry = g_strdup_printf (ENTRY, "13", "ready", "");

  platform_registry_init (&registry, &registry_events, NULL);
  apply (&registry, "servers/a", entry, 5, false);
  platform_registry_apply (&registry, &removal, 1000);
  ck_assert_uint_eq (n_removed, 1);
  ck_assert_uint_eq (n_unsure, 1);
  /* The time that was learned first holds.  */
  platform_registry_apply (&registry, &removal, 2000);
  ck_assert_uint_eq (n_removed, 1);
  for (unsigned i = 0; i < 2; i++)
    platform_registry_apply (&registry, &removal, 0);
  ck_assert_uint_eq (n_removed, 2);
  ck_assert_uint_eq (n_unsure, 1);
  platform_registry_finish (&registry);
  g_free (entry);
}
END_TEST

START_TEST (unlisted_keys_are_removed_unless_newer)
{
  struct platform_registry registry;
  char *entry = g_strdup_printf (ENTRY, "13", "ready", "");

  platform_registry_init (&registry, &registry_events, NULL);
  apply (&registry, "servers/a", entry, 5, true);
  apply (&registry, "servers/b", entry, 6, true);
  end_listing (&registry, 6);
  ck_assert_uint_eq (n_removed, 0);
  apply (&registry, "servers/c", entry, 9, false);
  apply (&registry, "servers/b", entry, 6, true);
  end_listing (&registry, 8);
  ck_assert_uint_eq (n_removed, 1);
  end_listing (&registry, 8);
  ck_assert_uint_eq (n_removed, 2);
  platform_registry_finish (&registry);
  g_free (entry);
}
END_TEST

static struct net_message message;

static void
parse_response (const char *headers)
{
  static const struct net_limits limits = { .head = 0 };
  char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\n%sContent-Length: 0\r\n\r\n", headers);
  size_t used;

  net_message_init (&message, HTTP_RESPONSE, &limits);
  net_message_feed (&message, text, strlen (text), &used);
  g_free (text);
}

START_TEST (response_headers_are_decoded)
{
  struct platform_response response;
  GString *head = g_string_new (NULL);

  parse_response (
      "X-Cornelpick-Server-Load: 3, 1,8,400\r\n"
      "X-Cornelpick-Response-Signature: s\r\n"
      "Keep-Alive: max=5, timeout=7\r\nConnection: Close\r\n"
      "Content-Encoding: gzip\r\nX-Cornelpick-Not-Executed: 1\r\n"
      "Server-Limit: 24.8\r\nServer-Leaving: 1\r\nX-Kept: yes\r\n");
  platform_read_response (&response, &message.headers);
  ck_assert (response.has_rate_limit && response.leaving);
  ck_assert_double_eq (response.requests_per_s, 24.8);
  ck_assert (response.has_load && response.is_signed && response.closes
             && response.encoded && response.not_run);
  ck_assert_uint_eq (response.slots, 8);
  ck_assert_uint_eq (response.slowness_percent, 400);
  ck_assert_uint_eq (response.keep_alive_us, 7 * CP_US_PER_S);
  platform_write_response (head, &message.headers);
  ck_assert_ptr_nonnull (strstr (head->str, "X-Kept: yes\r\n"));
  ck_assert_ptr_null (strstr (head->str, "Keep-Alive"));
  ck_assert_ptr_null (strstr (head->str, "Server-Load"));
  net_message_finish (&message);
  parse_response ("X-Cornelpick-Server-Load: 3,x,8\r\n");
  platform_read_response (&response, &message.headers);
  ck_assert (!response.has_load);
  net_message_finish (&message);
  parse_response ("X-Cornelpick-Server-Load: 3,0,8\r\n");
  platform_read_response (&response, &message.headers);
  ck_assert (response.has_load);
  ck_assert_uint_eq (response.slowness_percent, 100);
  net_message_finish (&message);
  g_string_free (head, TRUE);
}
END_TEST

START_TEST (settings_report_every_fault)
{
  char path[] = "/tmp/cornelpick-settings-XXXXXX";
  struct platform_settings settings;
  char *faults = NULL;
  int fd = mkstemp (path);

  ck_assert_int_ge (fd, 0);
  close (fd);
  ck_assert (g_file_set_contents (
      path,
      "{\"nodeName\":\"n\",\"zone\":7,\"unknown\":1,\"listenAddrs\":"
      "{\"outbound\":\"10.0.0.1:80\",\"inbound\":\"name:80\"},\"platform\":"
      "{\"address\":\"10.0.0.2:80\"},\"bounds\":{\"grace\":6}}",
      -1, NULL));
  ck_assert_int_eq (platform_settings_load (&settings, path, &faults, &error),
                    -1);
  ck_assert_ptr_nonnull (strstr (faults, "zone is not a string"));
  ck_assert_ptr_nonnull (strstr (faults, "listenAddrs.inbound is not"));
  ck_assert_ptr_nonnull (strstr (faults, "listenAddrs.ready is missing"));
  ck_assert_ptr_nonnull (strstr (faults, "bounds.grace is not"));
  ck_assert_ptr_null (strstr (faults, "unknown"));
  g_free (faults);
  ck_assert (g_file_set_contents (path, "[", -1, NULL));
  ck_assert_int_eq (platform_settings_load (&settings, path, NULL, &error),
                    -1);
  unlink (path);
  ck_assert_int_eq (platform_settings_load (&settings, path, NULL, &error),
                    -1);
}
END_TEST

START_TEST (a_rate_limit_that_is_no_decimal_number_is_ignored)
{
  static const char *const bad[]
      = { "", "x", "3,5", "-1", "nan", "inf", "7 a second" };
  struct platform_response response;

  for (unsigned i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      char *header = g_strdup_printf ("Server-Limit: %s\r\n", bad[i]);

      parse_response (header);
      platform_read_response (&response, &message.headers);
      ck_assert (!response.has_rate_limit);
      net_message_finish (&message);
      g_free (header);
    }
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, configuration_is_decoded);
  tcase_add_test (tests, invalid_documents_are_rejected);
  tcase_add_test (tests, entries_are_decoded_or_rejected);
  tcase_add_test (tests, newest_revision_of_each_key_wins);
  tcase_add_test (tests, a_later_era_is_newer_whatever_its_revisions);
  tcase_add_test (tests, what_is_older_in_a_copy_does_not_come_back);
  tcase_add_test (tests, what_a_copy_lacks_may_be_written_again);
  tcase_add_test (tests, a_sure_removal_replaces_an_unsure_one);
  tcase_add_test (tests, unlisted_keys_are_removed_unless_newer);
  tcase_add_test (tests, response_headers_are_decoded);
  tcase_add_test (tests, a_rate_limit_that_is_no_decimal_number_is_ignored);
  tcase_add_test (tests, settings_report_every_fault);
}

int
main (void)
{
  return suite_run ("platform", add_tests, 20);
}

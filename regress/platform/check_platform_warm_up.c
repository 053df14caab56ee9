/* What the platform says of cold servers: fields of the configuration, of
   entries and of the settings, and the header of health checks.

   Invalid values must neither remove a limit nor a server, nor refuse a
   configuration: the last valid value stays in effect, and the log names the
   field.  */
#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "lib/clock.h"
#include "platform/decode.h"
#include "platform/headers.h"
#include "platform/registry.h"
#include "platform/settings.h"
#include "regress/harness/suite.h"

static struct cp_error error;
static unsigned n_unreadable;
static unsigned n_servers;
static unsigned n_removed;
static bool entry_unknown;

static struct cp_route_table *
decode (const char *fields, const struct cp_route_table *old)
{
  CP_AUTO_FREE char *text = g_strdup_printf (
      "{\"version\":3,\"listeners\":[],\"clusters\":[{\"name\":\"a\","
      "\"healthPath\":\"/health\"%s}]}",
      fields);
  struct cp_route_table *table;

  memset (&error, 0, sizeof error);
  ck_assert_int_eq (
      platform_decode_table (text, strlen (text), old, &table, &error), 0);
  return table;
}

START_TEST (the_configuration_sets_duration_and_rate)
{
  struct cp_route_table *table
      = decode (",\"warmup\":\"3s\",\"warmupPerS\":11.0", NULL);
  const struct cp_service_rule *rule
      = cp_route_table_find_service (table, "a");

  ck_assert_uint_eq (rule->warm_up_us, 3 * CP_US_PER_S);
  ck_assert_double_eq (rule->warm_up_per_s, 11);
  ck_assert_uint_eq (table->faults->len, 0);
  cp_route_table_unref (table);
  table = decode ("", NULL);
  rule = cp_route_table_find_service (table, "a");
  ck_assert_uint_eq (rule->warm_up_us, 0);
  ck_assert_double_eq (rule->warm_up_per_s, 0);
  cp_route_table_unref (table);
}
END_TEST

static const char *const bad_durations[]
    = { "-3",         "\"-3s\"", "3",    "\"3\"", "\"3m\"",
        "\"86401s\"", "\"\"",    "null", "[]" };
static const char *const bad_rates[]
    = { "-1", "\"11\"", "1000001", "1e300", "null", "true" };

static void
check_kept (const char *field, const char *value)
{
  CP_AUTO_FREE char *more = g_strdup_printf (
      ",\"%s\":%s,\"%s\":%s", field, value,
      strcmp (field, "warmup") == 0 ? "warmupPerS" : "warmup",
      strcmp (field, "warmup") == 0 ? "7" : "\"9s\"");
  struct cp_route_table *old
      = decode (",\"warmup\":\"3s\",\"warmupPerS\":11", NULL);
  struct cp_route_table *table = decode (more, old);
  const struct cp_service_rule *rule
      = cp_route_table_find_service (table, "a");
  const struct cp_table_fault *fault;

  ck_assert_uint_eq (rule->warm_up_us, strcmp (field, "warmup") == 0
                                           ? 3 * CP_US_PER_S
                                           : 9 * CP_US_PER_S);
  ck_assert_double_eq (rule->warm_up_per_s,
                       strcmp (field, "warmup") == 0 ? 7 : 11);
  ck_assert_str_eq (rule->health_path, "/health");
  ck_assert_uint_eq (table->faults->len, 1);
  fault = table->faults->pdata[0];
  ck_assert_str_eq (fault->error.place, "service a");
  ck_assert_msg (strstr (fault->error.problem, field) != NULL, "%s",
                 fault->error.problem);
  cp_route_table_unref (table);
  cp_route_table_unref (old);
}

START_TEST (an_invalid_field_keeps_the_last_valid_value)
{
  for (unsigned i = 0; i < G_N_ELEMENTS (bad_durations); i++)
    check_kept ("warmup", bad_durations[i]);
  for (unsigned i = 0; i < G_N_ELEMENTS (bad_rates); i++)
    check_kept ("warmupPerS", bad_rates[i]);
}
END_TEST

static void
read_header (struct platform_response *response, const char *value)
{
  static const struct net_limits limits = { .head = 65536, .body = 1000 };
  CP_AUTO_FREE char *text = g_strdup_printf (
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n%s%s%s\r\n",
      value == NULL ? "" : "X-Cornelpick-Warmup-Remaining-Ms: ",
      value == NULL ? "" : value, value == NULL ? "" : "\r\n");
  struct net_message message;
  size_t used;

  net_message_init (&message, HTTP_RESPONSE, &limits);
  ck_assert_int_eq (net_message_feed (&message, text, strlen (text), &used),
                    NET_COMPLETE);
  platform_read_response (response, &message.headers);
  net_message_finish (&message);
}

START_TEST (a_health_check_gives_the_time_left)
{
  static const char *const bad[]
      = { "-1", "abc", "", "1s", "86400001", "0x10", "1e999", "12 13" };
  struct platform_response response;

  read_header (&response, "1500");
  ck_assert (response.has_warm_up && !response.warm_up_invalid);
  ck_assert_uint_eq (response.warm_up_us, 1500 * CP_US_PER_MS);
  read_header (&response, "0");
  ck_assert (response.has_warm_up);
  ck_assert_uint_eq (response.warm_up_us, 0);
  read_header (&response, NULL);
  ck_assert (!response.has_warm_up && !response.warm_up_invalid);
  for (unsigned i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      read_header (&response, bad[i]);
      ck_assert_msg (!response.has_warm_up && response.warm_up_invalid, "%s",
                     bad[i]);
    }
}
END_TEST

static void
on_table (void *context, struct cp_route_table *table,
          struct cp_store_position position)
{
  (void)context;
  (void)table;
  (void)position;
}

static void
on_server (void *context, const struct cp_server_entry *entry,
           struct cp_store_position position)
{
  (void)context;
  (void)position;
  n_servers++;
  entry_unknown = entry->warm_up_unknown;
}

static void
on_removed (void *context, const char *instance, uint64_t unsure_until_us,
            uint64_t changed_us, struct cp_store_position position)
{
  (void)changed_us;
  (void)context;
  (void)instance;
  (void)unsure_until_us;
  (void)position;
  n_removed++;
}

static void
on_unreadable (void *context, const char *key, const struct cp_error *why)
{
  (void)context;
  (void)key;
  (void)why;
  n_unreadable++;
}

static const struct platform_registry_events events
    = { .table = on_table,
        .server = on_server,
        .removed = on_removed,
        .unreadable = on_unreadable };

static void
apply (struct platform_registry *registry, const char *key, const char *value)
{
  static uint64_t revision;
  struct platform_item item = { .key = key,
                                .value = value,
                                .length = strlen (value),
                                .position = { 1, ++revision } };

  platform_registry_apply (registry, &item, 0);
}

/* Guards against a server that is removed from the choice because its entry
   gives an invalid time, and against faults that no log line names.  */
START_TEST (a_fault_is_reported_and_the_rest_is_applied)
{
  static const char *const bad[]
      = { "\"-1s\"", "\"5\"", "7", "\"90000s\"", "null" };
  struct platform_registry registry;

  platform_registry_init (&registry, &events, NULL);
  for (unsigned i = 0; i < G_N_ELEMENTS (bad); i++)
    {
      CP_AUTO_FREE char *entry = g_strdup_printf (
          "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
          "\"capacity\":13,\"state\":\"ready\",\"warmupLeft\":%s,"
          "\"sequence\":4}",
          bad[i]);

      n_unreadable = n_servers = n_removed = 0;
      apply (&registry, "servers/i-1", entry);
      ck_assert_uint_eq (n_servers, 1);
      ck_assert_uint_eq (n_removed, 0);
      ck_assert_uint_eq (n_unreadable, 1);
      ck_assert (entry_unknown);
    }
  n_unreadable = 0;
  apply (&registry, "op/config",
         "{\"version\":3,\"listeners\":[],\"clusters\":[{\"name\":\"a\","
         "\"warmup\":7}]}");
  ck_assert_uint_eq (n_unreadable, 1);
  ck_assert_ptr_nonnull (registry.table);
  platform_registry_finish (&registry);
}
END_TEST

static struct cp_server_pool_events pool_events;

static void
ignore_server (void *context, struct cp_server *server)
{
  (void)context;
  (void)server;
}

static void
ignore_released (void *context, void *user_data)
{
  (void)context;
  (void)user_data;
}

/* Guards against an entry without a time that makes a cold server warm.  */
START_TEST (an_entry_without_a_time_keeps_the_last_one)
{
  struct cp_server_pool pool;
  struct cp_server_entry entry = { .instance = "i-1",
                                   .service = "s",
                                   .domain = "z",
                                   .capacity = 13,
                                   .warm_up_us = 5000,
                                   .warm_up_unknown = true };
  const struct cp_server *server;

  pool_events = (struct cp_server_pool_events){ .added = ignore_server,
                                                .removed = ignore_server,
                                                .released = ignore_released };
  cp_address_parse (&entry.address, "10.0.0.1:80");
  cp_server_pool_init (&pool, "z", "self", &pool_events, NULL);
  cp_server_pool_update (&pool, &entry, 1000);
  server = cp_server_pool_find (&pool, "i-1");
  ck_assert (server->warm_up_unknown);
  entry.warm_up_unknown = false;
  cp_server_pool_update (&pool, &entry, 1000);
  ck_assert (!server->warm_up_unknown);
  ck_assert_uint_eq (server->warm_until_us, 6000);
  entry.warm_up_unknown = true;
  cp_server_pool_update (&pool, &entry, 2000);
  ck_assert_uint_eq (server->warm_until_us, 6000);
  entry.warm_up_unknown = false;
  entry.warm_up_us = 0;
  cp_server_pool_update (&pool, &entry, 2000);
  ck_assert_uint_eq (server->warm_until_us, 0);
  cp_server_pool_finish (&pool);
}
END_TEST

static void
load_settings (struct platform_settings *settings, const char *bounds)
{
  CP_AUTO_FREE char *path = NULL;
  CP_AUTO_FREE char *text = g_strdup_printf (
      "{\"nodeName\":\"v\",\"zone\":\"z\",\"listenAddrs\":{\"outbound\":"
      "\"10.0.0.1:1\",\"inbound\":\"10.0.0.1:2\",\"ready\":\"10.0.0.1:3\"},"
      "\"platform\":{\"address\":\"10.0.0.1:4\"},\"bounds\":{%s}}",
      bounds);
  int fd = g_file_open_tmp ("cornelpick-XXXXXX", &path, NULL);

  ck_assert_int_ge (fd, 0);
  ck_assert (g_file_set_contents (path, text, -1, NULL));
  ck_assert_int_eq (platform_settings_load (settings, path, NULL, &error), 0);
  g_close (fd, NULL);
  unlink (path);
}

START_TEST (the_settings_give_the_bounds)
{
  struct platform_settings settings;

  load_settings (&settings, "");
  ck_assert_double_eq (settings.warm_up_overshoot, 1.5);
  ck_assert_double_eq (settings.warm_up_slack, 8);
  load_settings (&settings, "\"warmupOvershoot\":2,\"warmupSlack\":3.5");
  ck_assert_double_eq (settings.warm_up_overshoot, 2);
  ck_assert_double_eq (settings.warm_up_slack, 3.5);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, the_configuration_sets_duration_and_rate);
  tcase_add_test (tests, an_invalid_field_keeps_the_last_valid_value);
  tcase_add_test (tests, a_health_check_gives_the_time_left);
  tcase_add_test (tests, a_fault_is_reported_and_the_rest_is_applied);
  tcase_add_test (tests, an_entry_without_a_time_keeps_the_last_one);
  tcase_add_test (tests, the_settings_give_the_bounds);
}

int
main (void)
{
  return suite_run ("platform_warm_up", add_tests, 20);
}

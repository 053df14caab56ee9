/* Tests of evacuations and regions in what the platform's store and settings
   say.  */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "lib/clock.h"
#include "platform/registry.h"
#include "platform/settings.h"
#include "regress/harness/suite.h"

#define DOCUMENT                                                              \
  "{\"version\":7,\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":"     \
  "67108864,\"headerTimeout\":\"3000ms\",\"idleTimeout\":\"15s\"},"           \
  "\"listeners\":[{\"host\":\"A.test\",\"rules\":[%s]}],\"clusters\":"        \
  "[{\"name\":\"s\",\"healthPath\":\"/health\",\"maxConnections\":240}]}"
#define ENTRY                                                                 \
  "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","            \
  "\"version\":\"v1\",\"capacity\":%s,\"state\":\"%s\",\"warmupLeft\":"       \
  "\"1500ms\",\"sequence\":4%s}"

static struct cp_error error;
static unsigned n_tables;
static unsigned n_unreadable;

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
}

static void
on_unreadable (void *context, const char *key, const struct cp_error *why)
{
  (void)context;
  (void)key;
  (void)why;
  n_unreadable++;
}

/* Evacuations as reported, such as "+near -far ?far"; "?" is an unsure one. */
static char evacuations[256];

static void
on_evacuation (void *context, const char *domain, bool evacuated, bool unsure,
               struct cp_store_position position)
{
  char *before = g_strdup (evacuations);

  (void)context;
  (void)position;
  g_snprintf (evacuations, sizeof evacuations, "%s%c%s ", before,
              evacuated ? '+'
              : unsure  ? '?'
                        : '-',
              domain);
  g_free (before);
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

/* Guards against an evacuation whose value is not the usual one, and against
   an older state that overrides a later one.  */
START_TEST (evacuations_are_reported_in_the_order_of_positions)
{
  struct platform_registry registry;

  evacuations[0] = '\0';
  platform_registry_init (&registry, &registry_events, NULL);
  apply (&registry, "op/evacuate/far", "{}", 5, false);
  apply (&registry, "op/evacuate/near", "no json", 8, false);
  apply (&registry, "op/evacuate/near", NULL, 7, false);
  apply (&registry, "op/evacuate/far", NULL, 9, false);
  apply (&registry, "op/evacuate/far", "{}", 6, false);
  apply (&registry, "op/evacuated", "{}", 10, false);
  ck_assert_str_eq (evacuations, "+far +near -far ");
  platform_registry_finish (&registry);
}
END_TEST

/* Guards against an evacuation that ends at once since a copy of the store
   lacks it, and against a withdrawn one that the copy has and that is left
   out.  */
START_TEST (evacuations_of_a_copy_count)
{
  struct platform_registry registry;

  evacuations[0] = '\0';
  platform_registry_init (&registry, &registry_events, NULL);
  era = 1;
  apply (&registry, "op/evacuate/kept", "{}", 41, false);
  apply (&registry, "op/evacuate/lost", "{}", 42, false);
  apply (&registry, "op/evacuate/back", "{}", 43, false);
  apply (&registry, "op/evacuate/back", NULL, 44, false);
  evacuations[0] = '\0';
  era = 2;
  apply (&registry, "op/evacuate/kept", "{}", 30, true);
  apply (&registry, "op/evacuate/back", "{}", 31, true);
  end_listing (&registry, 35);
  ck_assert_str_eq (evacuations, "+kept +back ?lost ");
  apply (&registry, "op/evacuate/lost", NULL, 36, false);
  ck_assert_str_eq (evacuations, "+kept +back ?lost -lost ");
  era = 0;
  platform_registry_finish (&registry);
}
END_TEST

static void
record_first_key (void *context, struct platform_record *record)
{
  const char **first = context;

  if (*first == NULL)
    *first = record->key;
}

/* Guards against a daemon that starts and learns of servers, from messages
   that hold 1,000 items each, before it knows that their domain is
   evacuated.  */
START_TEST (evacuations_are_passed_on_first)
{
  struct platform_registry registry;
  char *entry = g_strdup_printf (ENTRY, "13", "ready", "");
  const char *first = NULL;

  platform_registry_init (&registry, &registry_events, NULL);
  for (unsigned i = 0; i < 1500; i++)
    {
      char *key = g_strdup_printf ("servers/%u", i);

      apply (&registry, key, entry, 5 + i, false);
      g_free (key);
    }
  apply (&registry, "op/evacuate/far", "{}", 3000, false);
  platform_registry_foreach_since (
      &registry, (struct cp_store_position){ 0, 0 }, record_first_key, &first);
  ck_assert_str_eq (first, "op/evacuate/far");
  platform_registry_finish (&registry);
  g_free (entry);
}
END_TEST

#define REGIONS_RULE                                                          \
  "{\"name\":\"r\",\"kind\":\"upload\",\"match\":{\"prefix\":\"/p/\"},%s"     \
  "\"action\":{\"service\":\"s\",\"timeout\":\"1s\"}}"

/* Applies a configuration whose route has MEMBERS.  Returns its regions joined
   by commas, "all" if there is no list.  The caller frees them.  */
static char *
decode_regions (struct platform_registry *registry, const char *members,
                uint64_t revision)
{
  char *rule = g_strdup_printf (REGIONS_RULE, members);
  char *document = g_strdup_printf (DOCUMENT, rule);
  const struct cp_route_table_entry *route;

  apply (registry, "op/config", document, revision, false);
  g_free (document);
  g_free (rule);
  route = cp_route_table_find (registry->table, "a.test", "/p/1");
  ck_assert_ptr_nonnull (route);
  return route->regions == NULL ? g_strdup ("all")
                                : g_strjoinv (",", route->regions);
}

/* The members of a route, its regions, and the lines that are logged.  */
static const struct
{
  const char *members;
  const char *regions;
  unsigned unreadable;
} region_lists[] = {
  { "", "all", 0 },
  { "\"allowedRegions\":[\"eu\",\"us\"],", "eu,us", 0 },
  { "\"allowedRegions\":[],", "", 1 },
  { "\"allowedRegions\":\"eu\",", "", 1 },
  { "\"allowedRegions\":{\"eu\":1},", "", 1 },
  { "\"allowedRegions\":null,", "", 1 },
  { "\"allowedRegions\":[\"eu\",7],", "", 1 },
};

/* Guards against a list of regions that cannot be read and allows all, or
   makes the whole configuration unreadable.  */
START_TEST (regions_of_routes_are_decoded)
{
  struct platform_registry registry;
  char *regions;

  n_unreadable = n_tables = 0;
  platform_registry_init (&registry, &registry_events, NULL);
  regions = decode_regions (&registry, region_lists[_i].members, 5);
  ck_assert_str_eq (regions, region_lists[_i].regions);
  ck_assert_uint_eq (n_tables, 1);
  ck_assert_uint_eq (n_unreadable, region_lists[_i].unreadable);
  platform_registry_finish (&registry);
  g_free (regions);
}
END_TEST

#define SETTINGS                                                              \
  "{\"nodeName\":\"n\",\"zone\":\"z\",\"listenAddrs\":{\"outbound\":"         \
  "\"10.0.0.1:80\",\"inbound\":\"10.0.0.1:81\",\"ready\":\"10.0.0.1:82\"}"    \
  ",\"platform\":{\"address\":\"10.0.0.2:80\"}%s}"

/* Loads settings with MEMBERS, each with a comma before it.  */
static int
load_settings (struct platform_settings *settings, const char *members)
{
  char path[] = "/tmp/cornelpick-settings-XXXXXX";
  char *text = g_strdup_printf (SETTINGS, members);
  int fd = mkstemp (path);
  int result;

  ck_assert_int_ge (fd, 0);
  close (fd);
  ck_assert (g_file_set_contents (path, text, -1, NULL));
  result = platform_settings_load (settings, path, NULL, &error);
  unlink (path);
  g_free (text);
  return result;
}

START_TEST (regions_and_the_bound_of_evacuations_are_read)
{
  struct platform_settings settings;

  ck_assert_int_eq (load_settings (&settings, ""), 0);
  ck_assert_uint_eq (settings.evacuation_us, 5 * CP_US_PER_S);
  ck_assert_uint_eq (settings.n_zones, 0);
  ck_assert_str_eq (settings.region, "");
  ck_assert_int_eq (
      load_settings (&settings, ",\"region\":\"eu\",\"zones\":{\"z\":\"eu\","
                                "\"y\":\"us\"},\"bounds\":{\"evacuation\":"
                                "\"2500ms\"}"),
      0);
  ck_assert_uint_eq (settings.evacuation_us, 2500 * CP_US_PER_MS);
  ck_assert_uint_eq (settings.n_zones, 2);
  ck_assert_str_eq (settings.zones[1].domain, "y");
  ck_assert_str_eq (settings.zones[1].region, "us");
  ck_assert_str_eq (settings.region, "eu");
  ck_assert_int_eq (load_settings (&settings, ",\"zones\":{\"z\":7}"), -1);
  ck_assert_int_eq (load_settings (&settings, ",\"zones\":[]"), -1);
  ck_assert_int_eq (load_settings (&settings, ",\"region\":7"), -1);
  ck_assert_int_eq (
      load_settings (&settings, ",\"bounds\":{\"evacuation\":5}"), -1);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, evacuations_are_reported_in_the_order_of_positions);
  tcase_add_test (tests, evacuations_of_a_copy_count);
  tcase_add_test (tests, evacuations_are_passed_on_first);
  tcase_add_loop_test (tests, regions_of_routes_are_decoded, 0,
                       G_N_ELEMENTS (region_lists));
  tcase_add_test (tests, regions_and_the_bound_of_evacuations_are_read);
}

int
main (void)
{
  return suite_run ("platform_evacuation", add_tests, 20);
}

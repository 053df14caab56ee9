/* Tests of configurations that hold something unknown or invalid: what is
   disabled is only the part concerned.  */
#include <string.h>

#include "lib/clock.h"
#include "platform/decode.h"
#include "platform/registry.h"
#include "regress/harness/suite.h"

#define RULE                                                                  \
  "{\"name\":\"r\",\"kind\":%s,\"match\":{\"prefix\":\"/p/\"},"               \
  "\"action\":{%s}}"
#define DOCUMENT                                                              \
  "{\"version\":%u,\"listeners\":[{\"host\":\"a.test\",\"rules\":[%s,"        \
  "{\"name\":\"other\",\"kind\":\"idempotent\",\"match\":{\"prefix\":"        \
  "\"/other/\"},\"action\":{\"service\":\"s\",\"timeout\":\"1s\"}}]}],"       \
  "\"clusters\":[{\"name\":\"s\",\"healthPath\":\"/health\"}]}"
#define VALID "\"service\":\"s\",\"timeout\":\"1s\",\"maxAttempts\":2"

static struct cp_error error;

static struct cp_route_table *
decode_document (const char *document, const struct cp_route_table *old)
{
  struct cp_route_table *table = NULL;

  platform_decode_table (document, strlen (document), old, &table, &error);
  ck_assert_ptr_nonnull (table);
  return table;
}

/* Decodes a configuration with RULE as its first.  */
static struct cp_route_table *
decode_text (const char *rule, const struct cp_route_table *old)
{
  char *document = g_strdup_printf (
      DOCUMENT, old == NULL ? 7U : (unsigned)old->version + 1, rule);
  struct cp_route_table *table = decode_document (document, old);

  g_free (document);
  return table;
}

/* Decodes a configuration whose first rule has KIND, a JSON value, and ACTION,
   members of a JSON object.  */
static struct cp_route_table *
decode_rule (const char *kind, const char *action,
             const struct cp_route_table *old)
{
  char *rule = g_strdup_printf (RULE, kind, action);
  struct cp_route_table *table = decode_text (rule, old);

  g_free (rule);
  return table;
}

static const struct cp_route_table_entry *
find (const struct cp_route_table *table, const char *target)
{
  const struct cp_route_table_entry *route
      = cp_route_table_find (table, "a.test", target);

  ck_assert_ptr_nonnull (route);
  return route;
}

/* Asserts that TABLE has one fault, of EFFECT, whose place and problem contain
   these words.  */
static void
assert_one_fault (const struct cp_route_table *table,
                  enum cp_table_fault_effect effect, const char *place,
                  const char *problem)
{
  const struct cp_table_fault *fault;

  ck_assert_uint_eq (table->faults->len, 1);
  fault = table->faults->pdata[0];
  ck_assert_uint_eq (table->n_faults[effect], 1);
  ck_assert_int_eq (fault->effect, effect);
  ck_assert_msg (strstr (fault->error.place, place) != NULL, "%s",
                 fault->error.place);
  ck_assert_msg (strstr (fault->error.problem, problem) != NULL, "%s",
                 fault->error.problem);
  ck_assert_str_ne (fault->error.remedy, "");
}

static const struct
{
  const char *kind;
  enum cp_idempotency idempotency;
  bool known;
} kinds[] = {
  { "\"idempotent\"", CP_IDEMPOTENT, true },
  { "\"download\"", CP_IDEMPOTENT, true },
  { "\"non_idempotent\"", CP_NON_IDEMPOTENT, true },
  { "\"upload\"", CP_NON_IDEMPOTENT, true },
  { "\"sometimes\"", CP_NON_IDEMPOTENT, false },
  { "\"Idempotent\"", CP_NON_IDEMPOTENT, false },
  { "\"\"", CP_NON_IDEMPOTENT, false },
  { "7", CP_NON_IDEMPOTENT, false },
  { "null", CP_NON_IDEMPOTENT, false },
};

/* Guards against a configuration that is refused as a whole for one route of
   an unknown kind, and against a request of unknown kind that runs twice.  */
START_TEST (a_route_of_any_kind_is_usable)
{
  struct cp_route_table *table = decode_rule (kinds[_i].kind, VALID, NULL);
  const struct cp_route_table_entry *route
      = cp_route_table_find (table, "a.test", "/p/1");

  ck_assert_ptr_nonnull (route);
  ck_assert (!route->unusable);
  ck_assert_int_eq (route->idempotency, kinds[_i].idempotency);
  ck_assert_uint_eq (route->timeout_us, CP_US_PER_S);
  ck_assert_ptr_nonnull (cp_route_table_find (table, "a.test", "/other/1"));
  if (kinds[_i].known)
    ck_assert_uint_eq (table->faults->len, 0);
  else
    assert_one_fault (table, CP_TABLE_FAULT_KIND, "route r at a.test/p/",
                      "kind");
  cp_route_table_unref (table);
}
END_TEST

/* An action, and a word that the problem must contain.  */
static const char *const bad_actions[][2] = {
  { "\"service\":\"s\",\"maxAttempts\":2", "timeout" },
  { "\"service\":\"s\",\"timeout\":800", "timeout" },
  { "\"service\":\"s\",\"timeout\":\"-1ms\"", "timeout" },
  { "\"service\":\"s\",\"timeout\":\"1e999s\"", "timeout" },
  { "\"service\":\"s\",\"timeout\":\"0ms\"", "timeout" },
  { "\"timeout\":\"1s\"", "no service" },
  { "\"service\":7,\"timeout\":\"1s\"", "no service" },
  { "\"service\":\"\",\"timeout\":\"1s\"", "no service" },
  { "\"weightedServices\":{},\"timeout\":\"1s\"", "no service" },
  { "\"weightedServices\":[7],\"timeout\":\"1s\"", "weightedServices" },
  { "\"weightedServices\":[{\"service\":\"s\",\"weight\":0}],"
    "\"timeout\":\"1s\"",
    "weights" },
  { "\"weightedServices\":[{\"service\":\"s\",\"weight\":1},"
    "{\"service\":\"s\",\"weight\":-1}],\"timeout\":\"1s\"",
    "weightedServices" },
};

/* Guards against a whole configuration that is refused for one route, and
   against a route that is answered with 404 or used half.  */
START_TEST (a_route_that_cannot_be_used_disables_only_itself)
{
  struct cp_route_table *table
      = decode_rule ("\"idempotent\"", bad_actions[_i][0], NULL);

  ck_assert (find (table, "/p/1")->unusable);
  ck_assert (!find (table, "/other/1")->unusable);
  assert_one_fault (table, CP_TABLE_FAULT_UNUSABLE, "route r at a.test/p/",
                    bad_actions[_i][1]);
  cp_route_table_unref (table);
}
END_TEST

/* Guards against a route that works and goes out of service by a faulty
   change, also after a further configuration with the same fault.  */
START_TEST (the_previous_route_stays_in_effect)
{
  struct cp_route_table *table
      = decode_rule ("\"upload\"",
                     "\"weightedServices\":[{\"service\":\"s\",\"weight\":3},"
                     "{\"service\":\"t\",\"weight\":1}],\"timeout\":\"0.7s\","
                     "\"maxAttempts\":4",
                     NULL);

  cp_route_table_pick_service (cp_route_table_find (table, "a.test", "/p/1"));
  for (unsigned i = 0; i < 2; i++)
    {
      struct cp_route_table *old = table;
      const struct cp_route_table_entry *route;

      table = decode_rule ("\"idempotent\"", bad_actions[_i][0], old);
      cp_route_table_unref (old);
      route = find (table, "/p/1");
      assert_one_fault (table, CP_TABLE_FAULT_KEPT, "route r at a.test/p/",
                        bad_actions[_i][1]);
      ck_assert (!route->unusable);
      ck_assert_int_eq (route->idempotency, CP_NON_IDEMPOTENT);
      ck_assert_uint_eq (route->timeout_us, 700 * CP_US_PER_MS);
      ck_assert_uint_eq (route->attempts, 4);
      ck_assert_uint_eq (route->n_services, 2);
      ck_assert_str_eq (route->services[0].service, "s");
      ck_assert_uint_eq (route->services[0].weight, 3);
      ck_assert_int_eq (route->services[0].credit, -1);
    }
  cp_route_table_unref (table);
}
END_TEST

/* Guards against an unusable route that replaces itself, and against one that
   takes over the route of a shorter prefix.  */
START_TEST (an_unusable_route_or_a_shorter_one_is_not_kept)
{
  struct cp_route_table *first
      = decode_rule ("\"idempotent\"", bad_actions[0][0], NULL);
  struct cp_route_table *second
      = decode_rule ("\"idempotent\"", bad_actions[0][0], first);
  struct cp_route_table *third;

  ck_assert (find (second, "/p/1")->unusable);
  cp_route_table_unref (first);
  third = decode_text ("{\"kind\":\"upload\",\"match\":{\"prefix\":"
                       "\"/other/longer/\"},\"action\":{}}",
                       second);
  ck_assert (find (third, "/other/longer/1")->unusable);
  ck_assert (!find (third, "/other/1")->unusable);
  cp_route_table_unref (second);
  cp_route_table_unref (third);
}
END_TEST

/* A faulty member of a rule, and its name.  */
static const struct
{
  const char *member;
  const char *name;
} bad_fields[] = {
  { "\"targetLatency\":\"soon\"", "targetLatency" },
  { "\"targetLatency\":0.3", "targetLatency" },
  { "\"priority\":-1", "priority" },
  { "\"priority\":\"high\"", "priority" },
  { "\"priority\":1.5", "priority" },
};

#define RULE_WITH                                                             \
  "{\"name\":\"r\",\"kind\":\"idempotent\",%s,\"match\":{\"prefix\":"         \
  "\"/p/\"},\"action\":{" VALID "}}"

/* Guards against a route that is lost by one field, or that becomes more
   urgent or later due than its owner has ever said.  */
START_TEST (a_faulty_field_keeps_its_previous_value)
{
  char *good = g_strdup_printf (RULE_WITH,
                                "\"targetLatency\":\"300ms\",\"priority\":5");
  char *bad = g_strdup_printf (RULE_WITH, bad_fields[_i].member);
  struct cp_route_table *old = decode_text (good, NULL);
  struct cp_route_table *table = decode_text (bad, old);
  const struct cp_route_table_entry *route = find (table, "/p/1");
  bool is_priority = strcmp (bad_fields[_i].name, "priority") == 0;

  assert_one_fault (table, CP_TABLE_FAULT_FIELD, "route r at a.test/p/",
                    bad_fields[_i].name);
  ck_assert (!route->unusable);
  if (is_priority)
    ck_assert_uint_eq (route->priority, 5);
  else
    ck_assert_uint_eq (route->objective_us, 300 * CP_US_PER_MS);
  cp_route_table_unref (table);
  /* Without a previous route, the default applies.  */
  table = decode_text (bad, NULL);
  ck_assert_uint_eq (find (table, "/p/1")->priority, 0);
  ck_assert_uint_eq (find (table, "/p/1")->objective_us, CP_US_PER_S);
  cp_route_table_unref (table);
  cp_route_table_unref (old);
  g_free (good);
  g_free (bad);
}
END_TEST

START_TEST (a_faulty_number_of_attempts_is_ignored)
{
  struct cp_route_table *table
      = decode_rule ("\"idempotent\"",
                     "\"service\":\"s\",\"timeout\":\"1s\","
                     "\"maxAttempts\":\"many\"",
                     NULL);

  ck_assert_uint_eq (find (table, "/p/1")->attempts, 1);
  assert_one_fault (table, CP_TABLE_FAULT_FIELD, "route r at a.test/p/",
                    "maxAttempts");
  cp_route_table_unref (table);
}
END_TEST

/* Rules without a place in the table, listeners and services.  */
static const struct
{
  const char *document;
  const char *place;
  unsigned n_routes;
} left_out[] = {
  { "{\"version\":7,\"clusters\":[],\"listeners\":[{\"host\":\"a.test\","
    "\"rules\":[{\"name\":\"n\",\"kind\":\"upload\",\"action\":{" VALID
    "}}]}]}",
    "route n at a.test", 0 },
  { "{\"version\":7,\"clusters\":[],\"listeners\":[{\"host\":\"a.test\","
    "\"rules\":[7]}]}",
    "a route at a.test", 0 },
  { "{\"version\":7,\"clusters\":[],\"listeners\":[{\"host\":\"a.test\","
    "\"rules\":[{\"match\":{\"prefix\":\"p/\"}}]}]}",
    "a route at a.test", 0 },
  { "{\"version\":7,\"clusters\":[],\"listeners\":[{\"rules\":[]}]}",
    "listener 0", 0 },
  { "{\"version\":7,\"clusters\":[],\"listeners\":[{\"host\":\"b.test\"}]}",
    "listener b.test", 0 },
  { "{\"version\":7,\"clusters\":[{}],\"listeners\":[{\"host\":\"a.test\","
    "\"rules\":[{\"match\":{\"prefix\":\"/p/\"},\"kind\":\"upload\","
    "\"action\":{" VALID "}}]}]}",
    "service 0", 1 },
};

START_TEST (what_has_no_place_in_the_table_is_left_out)
{
  struct cp_route_table *table = decode_document (left_out[_i].document, NULL);

  ck_assert_uint_eq (table->n_routes, left_out[_i].n_routes);
  assert_one_fault (table, CP_TABLE_FAULT_LEFT_OUT, left_out[_i].place, "");
  cp_route_table_unref (table);
}
END_TEST

#define SERVICE                                                               \
  "{\"version\":%u,\"listeners\":[],\"clusters\":[{\"name\":\"s\","           \
  "\"healthPath\":%s,\"maxConnections\":%s}],\"limits\":{\"maxHeaderBytes\":" \
  "%s,\"maxBodyBytes\":9000,\"headerTimeout\":\"3s\",\"idleTimeout\":\"5s\"}" \
  "}"

/* Guards against a service that loses more than the faulty field, and against
   limits that are refused as a whole.  */
START_TEST (a_service_and_the_limits_lose_only_the_faulty_field)
{
  char *good = g_strdup_printf (SERVICE, 7U, "\"/health\"", "20", "4096");
  char *path = g_strdup_printf (SERVICE, 8U, "7", "30", "4096");
  char *number = g_strdup_printf (SERVICE, 8U, "\"/ready\"", "\"x\"", "4096");
  char *limit = g_strdup_printf (SERVICE, 8U, "\"/ready\"", "30", "-1");
  struct cp_route_table *old = decode_document (good, NULL);
  struct cp_route_table *table = decode_document (path, old);
  const struct cp_service_rule *service
      = cp_route_table_find_service (table, "s");

  ck_assert_str_eq (service->health_path, "/health");
  ck_assert_uint_eq (service->connections, 30);
  assert_one_fault (table, CP_TABLE_FAULT_FIELD, "service s", "healthPath");
  cp_route_table_unref (table);
  table = decode_document (number, old);
  service = cp_route_table_find_service (table, "s");
  ck_assert_str_eq (service->health_path, "/ready");
  ck_assert_uint_eq (service->connections, 20);
  assert_one_fault (table, CP_TABLE_FAULT_FIELD, "service s",
                    "maxConnections");
  cp_route_table_unref (table);
  table = decode_document (limit, old);
  ck_assert_uint_eq (table->limits.head_bytes, 4096);
  ck_assert_uint_eq (table->limits.body_bytes, 9000);
  assert_one_fault (table, CP_TABLE_FAULT_FIELD, "limits", "maxHeaderBytes");
  cp_route_table_unref (table);
  cp_route_table_unref (old);
  g_free (good);
  g_free (path);
  g_free (number);
  g_free (limit);
}
END_TEST

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
on_unreadable (void *context, const char *key, const struct cp_error *why)
{
  (void)context;
  (void)why;
  ck_assert_str_eq (key, "op/config");
  n_unreadable++;
}

static void
apply (struct platform_registry *registry, unsigned version,
       const char *action, uint64_t revision)
{
  char *rule = g_strdup_printf (RULE, "\"idempotent\"", action);
  char *document = g_strdup_printf (DOCUMENT, version, rule);
  struct platform_item item = { .key = "op/config",
                                .value = document,
                                .length = strlen (document),
                                .position = { 0, revision } };

  platform_registry_apply (registry, &item, 0);
  g_free (rule);
  g_free (document);
}

/* Guards against faults that are not reported, or are reported of a
   configuration that does not come into force.  */
START_TEST (faults_of_a_configuration_in_force_are_reported_once)
{
  static const struct platform_registry_events events
      = { .table = on_table, .unreadable = on_unreadable };
  struct platform_registry registry;

  platform_registry_init (&registry, &events, NULL);
  apply (&registry, 7, VALID, 1);
  ck_assert_uint_eq (n_unreadable, 0);
  apply (&registry, 8, "\"timeout\":\"1s\"", 2);
  apply (&registry, 8, "\"timeout\":\"1s\"", 2);
  ck_assert_uint_eq (n_tables, 2);
  ck_assert_uint_eq (n_unreadable, 1);
  ck_assert_uint_eq (registry.n_unreadable, 0);
  /* It is older: one report says so, and none is about its route.  */
  apply (&registry, 6, "\"timeout\":\"1s\"", 3);
  ck_assert_uint_eq (n_tables, 2);
  ck_assert_uint_eq (n_unreadable, 2);
  ck_assert_uint_eq (registry.n_unreadable, 1);
  platform_registry_finish (&registry);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, a_route_of_any_kind_is_usable, 0,
                       G_N_ELEMENTS (kinds));
  tcase_add_loop_test (tests, a_route_that_cannot_be_used_disables_only_itself,
                       0, G_N_ELEMENTS (bad_actions));
  tcase_add_loop_test (tests, the_previous_route_stays_in_effect, 0,
                       G_N_ELEMENTS (bad_actions));
  tcase_add_test (tests, an_unusable_route_or_a_shorter_one_is_not_kept);
  tcase_add_loop_test (tests, a_faulty_field_keeps_its_previous_value, 0,
                       G_N_ELEMENTS (bad_fields));
  tcase_add_test (tests, a_faulty_number_of_attempts_is_ignored);
  tcase_add_loop_test (tests, what_has_no_place_in_the_table_is_left_out, 0,
                       G_N_ELEMENTS (left_out));
  tcase_add_test (tests, a_service_and_the_limits_lose_only_the_faulty_field);
  tcase_add_test (tests, faults_of_a_configuration_in_force_are_reported_once);
}

int
main (void)
{
  return suite_run ("decode", add_tests, 20);
}

/* Acceptance of single sections: whatever the order and the source of offers,
   versions never decrease, an invalid section keeps its last accepted text,
   and stores that exchange their sections converge.  */
#include <stdio.h>
#include <string.h>

#include "lib/cleanup.h"
#include "lib/clock.h"
#include "lib/sections.h"
#include "regress/harness/suite.h"

#define STORES 6
#define VERSIONS 24
#define SERVICES 5
#define ROUNDS 200
#define SEEDS 40

static json_t *
fleet_section (void)
{
  return json_pack (
      "{s:s, s:s, s:{s:{s:s}}, s:{s:i, s:i}, s:i, s:{s:i, s:f, s:i},"
      " s:{s:i, s:i, s:i}}",
      "owner", "platform", "kind", "fleet", "failure_domains", "east",
      "region", "one", "one_way_ms", "between_failure_domains", 1,
      "to_callers", 3, "new_connection_ms", 1, "configuration_service",
      "reads_per_s", 2000, "most_share", 0.25, "in_force_ms", 3000,
      "measuring", "probe_ms", 6, "target_ms_per_s", 12, "bytes_per_s", 4000);
}

/* Returns a service section with the route PATH.  Variants differ in SLOTS; 0
   makes the section invalid.  */
static json_t *
service_section (unsigned number, int slots, const char *path)
{
  char address[32];
  char daemon[32];

  snprintf (address, sizeof address, "10.0.0.%u:8080", number + 1);
  snprintf (daemon, sizeof daemon, "10.0.0.%u:7400", number + 1);
  return json_pack (
      "{s:s, s:s, s:{s:{s:s, s:s, s:s}}, s:i, s:i, s:i, s:{s:s, s:i},"
      " s:{s:s, s:i}, s:{s:i, s:i}, s:{s:f, s:i}, s:{s:f, s:f}, s:{s:f},"
      " s:[{s:s, s:s, s:[s], s:b}]}",
      "owner", "team", "kind", "service", "targets", "target", "address",
      address, "daemon", daemon, "failure_domain", "east", "slots", slots,
      "connections", 250, "deadline_ms", 2000, "load", "path", "/load",
      "interval_ms", 1000, "health", "path", "/health", "interval_ms", 2000,
      "drain", "within_ms", 3000, "finish_ms", 30000, "retry", "calls_share",
      0.1, "most", 2, "hedge", "calls_share", 0.05, "after_quantile", 0.95,
      "eject", "most_share", 0.4, "routes", "host", "shop.example", "path",
      path, "methods", "GET", "idempotent", 1);
}

static void
service_name (unsigned number, char name[16])
{
  snprintf (name, 16, "service-%u", number);
}

/* Returns the document of VERSION; services with negative SLOTS are left
   out.  */
static json_t *
make_document (unsigned version, const int slots[SERVICES])
{
  json_t *sections = json_object ();

  json_object_set_new (sections, "fleet", fleet_section ());
  for (unsigned i = 0; i < SERVICES; i++)
    {
      char name[16];
      char path[16];

      service_name (i, name);
      snprintf (path, sizeof path, "/%u/", i);
      if (slots[i] >= 0)
        json_object_set_new (sections, name,
                             service_section (i, slots[i], path));
    }
  return json_pack ("{s:i, s:i, s:o}", "format", 1, "version", (int)version,
                    "sections", sections);
}

static void
parse_offer (struct cp_offer *offer, json_t *body)
{
  CP_AUTO_FREE char *text = json_dumps (body, 0);
  struct cp_error error;

  ck_assert_int_eq (
      cp_offer_parse (offer, "test", text, strlen (text), &error), 0);
  json_decref (body);
}

/* Applies an offer and checks that no version decreased.  */
static enum cp_apply_result
apply_offer (struct cp_sections *store, const struct cp_offer *offer,
             unsigned *refused)
{
  CP_AUTO_FREE struct cp_digest *before = malloc (sizeof *before);
  struct cp_document *compiled;
  struct cp_error error;
  enum cp_apply_result result;

  cp_sections_digest (store, before);
  result = cp_sections_apply (store, offer, 1, &compiled, refused, &error);
  ck_assert_uint_ge (store->version, before->version);
  for (unsigned i = 0; i < before->count; i++)
    {
      const struct cp_section *section
          = cp_sections_find (store, before->entries[i].name);

      if (section != NULL)
        ck_assert_uint_ge (section->entry.version, before->entries[i].version);
    }
  if (compiled != NULL)
    ck_assert_uint_eq (compiled->version, store->version);
  cp_document_unref (compiled);
  return result;
}

static enum cp_apply_result
apply_document (struct cp_sections *store, json_t *body, unsigned *refused)
{
  CP_AUTO_FREE struct cp_offer *offer = malloc (sizeof *offer);
  enum cp_apply_result result;

  parse_offer (offer, body);
  result = apply_offer (store, offer, refused);
  cp_offer_finish (offer);
  return result;
}

/* Applies the sections of PEER to STORE as the network protocol does: first
   the digest, then the needed texts, of which a share of LOSS_RATE is lost. */
static enum cp_apply_result
apply_from_peer (struct cp_sections *store, const struct cp_sections *peer,
                 const struct cp_random *random, double loss_rate)
{
  CP_AUTO_FREE struct cp_offer *offer = calloc (1, sizeof *offer);
  CP_AUTO_FREE struct cp_digest *held = malloc (sizeof *held);
  unsigned refused;
  enum cp_apply_result result;

  cp_sections_digest (peer, &offer->digest);
  cp_sections_digest (store, held);
  for (unsigned i = 0; i < offer->digest.count; i++)
    {
      offer->refusals[i] = peer->list[i].refusal;
      if (cp_sections_needs_text (store, held, &offer->digest,
                                  &offer->digest.entries[i])
          && cp_random_unit (random) >= loss_rate)
        offer->texts[i] = g_strdup (peer->list[i].text);
    }
  result = apply_offer (store, offer, &refused);
  cp_offer_finish (offer);
  return result;
}

static uint64_t
digest_root (const struct cp_sections *store)
{
  CP_AUTO_FREE struct cp_digest *digest = malloc (sizeof *digest);

  cp_sections_digest (store, digest);
  return cp_digest_hash (digest);
}

/* Fills in the slots of the services in each version: sections change, become
   invalid, are removed and return.  */
static void
make_history (int history[VERSIONS][SERVICES], const struct cp_random *random)
{
  for (unsigned i = 0; i < SERVICES; i++)
    history[0][i] = 1;
  for (unsigned v = 1; v < VERSIONS; v++)
    for (unsigned i = 0; i < SERVICES; i++)
      {
        history[v][i] = history[v - 1][i];
        if (cp_random_unit (random) < 0.3)
          history[v][i] = (int)cp_random_below (random, 6) - 1;
      }
}

START_TEST (stores_converge_in_any_order)
{
  struct cp_seeded_random seeded;
  struct cp_sections stores[STORES];
  int history[VERSIONS][SERVICES];
  const struct cp_random *random = &seeded.random;
  unsigned refused;

  cp_seeded_random_init (&seeded, (uint64_t)_i + 1);
  make_history (history, random);
  for (unsigned s = 0; s < STORES; s++)
    cp_sections_init (&stores[s]);
  for (unsigned round = 0; round < ROUNDS; round++)
    {
      unsigned s = (unsigned)cp_random_below (random, STORES);
      unsigned v
          = (unsigned)cp_random_below (random, 1 + round * VERSIONS / ROUNDS);

      if (cp_random_unit (random) < 0.3)
        apply_document (&stores[s], make_document (v + 1, history[v]),
                        &refused);
      else
        apply_from_peer (&stores[s], &stores[cp_random_below (random, STORES)],
                         random, 0.2);
    }
  for (unsigned round = 0; round < 4; round++)
    for (unsigned s = 0; s < STORES; s++)
      for (unsigned p = 0; p < STORES; p++)
        apply_from_peer (&stores[s], &stores[p], random, 0);
  for (unsigned s = 1; s < STORES; s++)
    ck_assert_uint_eq (digest_root (&stores[s]), digest_root (&stores[0]));
  for (unsigned s = 0; s < STORES; s++)
    cp_sections_finish (&stores[s]);
  cp_seeded_random_finish (&seeded);
}
END_TEST

START_TEST (a_faulty_section_keeps_its_last_text)
{
  static const int good[SERVICES] = { 1, 1, 1, 1, 1 };
  static const int mixed[SERVICES] = { 2, 0, 2, 2, 2 };
  static const int corrected[SERVICES] = { 2, 3, 2, 2, 2 };
  struct cp_sections store;
  const struct cp_section *section;
  unsigned refused;
  uint64_t hash;

  cp_sections_init (&store);
  ck_assert_int_eq (apply_document (&store, make_document (1, good), &refused),
                    CP_APPLY_CHANGED);
  hash = cp_sections_find (&store, "service-1")->entry.hash;
  ck_assert_int_eq (
      apply_document (&store, make_document (2, mixed), &refused),
      CP_APPLY_CHANGED);
  ck_assert_uint_eq (refused, 1);
  section = cp_sections_find (&store, "service-1");
  ck_assert_uint_eq (section->entry.version, 1);
  ck_assert_uint_eq (section->entry.hash, hash);
  ck_assert_uint_eq (section->refusal.version, 2);
  ck_assert_ptr_nonnull (strstr (section->refusal.text, "slots"));
  ck_assert_uint_eq (cp_sections_find (&store, "service-0")->entry.version, 2);
  apply_document (&store, make_document (3, corrected), &refused);
  section = cp_sections_find (&store, "service-1");
  ck_assert_uint_eq (section->entry.version, 3);
  ck_assert_uint_eq (section->refusal.version, 0);
  cp_sections_finish (&store);
}
END_TEST

START_TEST (an_older_document_changes_nothing)
{
  static const int first[SERVICES] = { 1, 1, 1, 1, 1 };
  static const int second[SERVICES] = { 2, -1, 2, 2, 2 };
  struct cp_sections store;
  unsigned refused;
  uint64_t hash;

  cp_sections_init (&store);
  apply_document (&store, make_document (9, second), &refused);
  hash = cp_sections_find (&store, "service-0")->entry.hash;
  ck_assert_int_ne (
      apply_document (&store, make_document (8, first), &refused),
      CP_APPLY_CHANGED);
  ck_assert_ptr_null (cp_sections_find (&store, "service-1"));
  ck_assert_uint_eq (cp_sections_find (&store, "service-0")->entry.hash, hash);
  ck_assert_uint_eq (store.version, 9);
  cp_sections_finish (&store);
}
END_TEST

START_TEST (a_service_that_was_never_valid_has_no_text)
{
  static const int none[SERVICES] = { 0, 0, 0, 0, 0 };
  static const int one[SERVICES] = { 0, 0, 1, 0, 0 };
  struct cp_sections store;
  unsigned refused;

  cp_sections_init (&store);
  apply_document (&store, make_document (1, none), &refused);
  for (unsigned i = 0; i < store.count; i++)
    if (strcmp (store.list[i].entry.name, "fleet") != 0)
      ck_assert_ptr_null (store.list[i].text);
  ck_assert_int_eq (apply_document (&store, make_document (2, one), &refused),
                    CP_APPLY_CHANGED);
  ck_assert_uint_eq (refused, SERVICES - 1);
  ck_assert_ptr_nonnull (cp_sections_find (&store, "service-2")->text);
  ck_assert_uint_eq (cp_sections_find (&store, "service-3")->refusal.version,
                     2);
  cp_sections_finish (&store);
}
END_TEST

START_TEST (the_fleet_section_keeps_its_last_text)
{
  static const int first[SERVICES] = { 1, 1, 1, 1, 1 };
  static const int second[SERVICES] = { 2, 2, 2, 2, 2 };
  struct cp_sections store;
  json_t *body = make_document (2, second);
  unsigned refused;

  cp_sections_init (&store);
  apply_document (&store, make_document (1, first), &refused);
  json_object_del (
      json_object_get (json_object_get (body, "sections"), "fleet"),
      "measuring");
  apply_document (&store, body, &refused);
  ck_assert_uint_eq (refused, 1);
  ck_assert_uint_eq (cp_sections_find (&store, "fleet")->entry.version, 1);
  ck_assert_uint_eq (cp_sections_find (&store, "service-0")->entry.version, 2);
  cp_sections_finish (&store);
}
END_TEST

/* The canonical text of a section does not depend on the order of keys.  */
START_TEST (reordered_keys_are_not_a_change)
{
  static const int slots[SERVICES] = { 1, 1, 1, 1, 1 };
  struct cp_sections store;
  json_t *body = make_document (2, slots);
  json_t *sections = json_object_get (body, "sections");
  json_t *fleet = json_incref (json_object_get (sections, "fleet"));
  unsigned refused;
  uint64_t hash;

  cp_sections_init (&store);
  apply_document (&store, make_document (1, slots), &refused);
  hash = cp_sections_find (&store, "fleet")->entry.hash;
  json_object_del (sections, "fleet");
  json_object_set_new (sections, "fleet", fleet);
  ck_assert_int_eq (apply_document (&store, body, &refused),
                    CP_APPLY_CONFIRMED);
  ck_assert_uint_eq (cp_sections_find (&store, "fleet")->entry.hash, hash);
  ck_assert_uint_eq (cp_sections_find (&store, "fleet")->entry.version, 2);
  ck_assert_uint_eq (cp_sections_find (&store, "fleet")->entry.since, 1);
  cp_sections_finish (&store);
}
END_TEST

/* When two sections have the same route, the one in force stays and the new
   one is refused.  */
START_TEST (a_route_conflict_keeps_the_section_in_force)
{
  static const int slots[SERVICES] = { 1, 1, 1, 1, 1 };
  struct cp_sections store;
  json_t *body = make_document (2, slots);
  json_t *sections = json_object_get (body, "sections");
  unsigned refused;

  cp_sections_init (&store);
  apply_document (&store, make_document (1, slots), &refused);
  json_object_set_new (sections, "service-0", service_section (0, 7, "/3/"));
  json_object_set_new (sections, "service-4", service_section (4, 7, "/4/"));
  apply_document (&store, body, &refused);
  ck_assert_uint_eq (refused, 1);
  ck_assert_uint_eq (cp_sections_find (&store, "service-0")->entry.version, 1);
  ck_assert_uint_eq (cp_sections_find (&store, "service-0")->refusal.version,
                     2);
  ck_assert_uint_eq (cp_sections_find (&store, "service-3")->entry.version, 2);
  ck_assert_uint_eq (cp_sections_find (&store, "service-4")->entry.version, 2);
  cp_sections_finish (&store);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_loop_test (tests, stores_converge_in_any_order, 0, SEEDS);
  tcase_add_test (tests, a_faulty_section_keeps_its_last_text);
  tcase_add_test (tests, an_older_document_changes_nothing);
  tcase_add_test (tests, a_service_that_was_never_valid_has_no_text);
  tcase_add_test (tests, the_fleet_section_keeps_its_last_text);
  tcase_add_test (tests, reordered_keys_are_not_a_change);
  tcase_add_test (tests, a_route_conflict_keeps_the_section_in_force);
}

int
main (void)
{
  return suite_run ("sections", add_tests, 60);
}

/* Exchange of store items between two daemons that share the event loop of the
   test.  Neither has a store that answers.  */
#include <string.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "meshd/exchange.h"
#include "regress/harness/suite.h"

#define LONG_BYTES 230000
#define REVISION 7
#define RUN_MS 5000

static uv_loop_t loop;
static struct mesh_peers first;
static struct mesh_peers second;
static struct mesh_exchange sender;
static struct mesh_exchange receiver;
static struct mesh_peer *peer;
static uv_timer_t limit;
static char *long_value;
static bool corrupt_value;      /* corrupt the value in the received message */
static u_int sent_bytes;        /* the value's length in the message */
static unsigned items_messages; /* received messages of items */
static char unreadable[64];     /* key reported as unreadable */

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
on_unreadable (void *context, const char *key, const struct cp_error *error)
{
  (void)context;
  (void)error;
  g_strlcpy (unreadable, key, sizeof unreadable);
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

static void
stop_loop (void)
{
  if (!uv_is_closing ((uv_handle_t *)&limit))
    uv_close ((uv_handle_t *)&limit, NULL);
  mesh_peers_stop (&first);
  mesh_peers_stop (&second);
}

static void
on_time (uv_timer_t *timer)
{
  (void)timer;
  stop_loop ();
}

static void
on_up (void *context, struct mesh_peer *up)
{
  struct cp_peer_message message = { .kind = CP_PEER_PULL };

  (void)context;
  mesh_peer_send (up, &message);
}

static void
on_down (void *context, struct mesh_peer *down, const char *reason)
{
  (void)context;
  (void)down;
  (void)reason;
}

static void
on_link (void *context, struct mesh_link *link)
{
  (void)context;
  (void)link;
}

static void
receive_items (struct mesh_link *link, struct cp_peer_items *items)
{
  items_messages++;
  ck_assert_uint_eq (items->items.items_len, 1);
  sent_bytes = items->items.items_val[0].value.value_len;
  if (corrupt_value)
    items->items.items_val[0].value.value_val[sent_bytes / 2] ^= 1;
  mesh_exchange_apply_items (&receiver, link, items);
  stop_loop ();
}

static void
on_message (void *context, struct mesh_link *link,
            const struct cp_peer_message *message)
{
  if (message->kind == CP_PEER_PULL && context == &first)
    mesh_exchange_answer_pull (&sender, link,
                               &message->cp_peer_message_u.position);
  else if (message->kind == CP_PEER_ITEMS && context == &second)
    receive_items (link,
                   (struct cp_peer_items *)&message->cp_peer_message_u.items);
}

static const struct mesh_peers_events peers_events
    = { on_up, on_down, on_link, on_link, on_message, on_link };

static struct cp_address
address_of (unsigned vm)
{
  struct cp_address address;
  char text[56];
  unsigned number = (unsigned)getpid ();

  g_snprintf (text, sizeof text, "127.%u.%u.%u:7401", number >> 8 & 127,
              number & 255, vm);
  ck_assert (cp_address_parse (&address, text));
  return address;
}

static void
start (struct mesh_peers *peers, struct mesh_exchange *exchange, unsigned vm)
{
  struct cp_address own = address_of (vm);
  struct cp_address store = address_of (9);

  ck_assert_int_eq (
      mesh_peers_init (peers, &loop, &own, vm, "zone-a", &peers_events, peers),
      0);
  mesh_exchange_init (exchange, &loop, &store, &own, peers,
                      cp_random_thread (), &registry_events, NULL);
}

/* Returns text that compresses like a configuration of many routes.  */
static char *
long_text (void)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = 0; text->len < LONG_BYTES; i++)
    g_string_append_printf (text,
                            "{\"name\":\"route-%u\",\"kind\":\"idempotent\","
                            "\"match\":{\"prefix\":\"/r%u/\"},\"action\":{"
                            "\"service\":\"alpha\",\"timeout\":\"2000ms\"}},",
                            i, i);
  return g_string_free (text, FALSE);
}

static void
setup (void)
{
  struct platform_item item
      = { .key = "op/other", .position.revision = REVISION };
  struct cp_address to = address_of (1);

  long_value = long_text ();
  item.value = long_value;
  item.length = strlen (long_value);
  uv_loop_init (&loop);
  start (&first, &sender, 1);
  start (&second, &receiver, 2);
  platform_registry_apply (&sender.registry, &item, 0);
  platform_registry_advance (
      &sender.registry, (struct cp_store_position){ .revision = REVISION });
  peer = mesh_peer_acquire (&second, &to);
  uv_timer_init (&loop, &limit);
  uv_timer_start (&limit, on_time, RUN_MS, 0);
}

static void
teardown (void)
{
  mesh_exchange_finish (&sender);
  mesh_exchange_finish (&receiver);
  g_free (long_value);
}

/* Guards against sending values uncompressed.  On a link of 10 Mbit/s the
   compressed value takes 19 ms and the whole value 190 ms, and each daemon
   sends it to four others.  */
START_TEST (a_long_value_takes_a_tenth_of_its_length_on_a_link)
{
  const struct platform_record *record;

  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_uint_eq (items_messages, 1);
  ck_assert_uint_le (sent_bytes, LONG_BYTES / 10);
  record = g_hash_table_lookup (receiver.registry.records, "op/other");
  ck_assert_ptr_nonnull (record);
  ck_assert_uint_eq (g_bytes_get_size (record->value), strlen (long_value));
  ck_assert_mem_eq (g_bytes_get_data (record->value, NULL), long_value,
                    strlen (long_value));
  ck_assert_uint_eq (receiver.registry.position.revision, REVISION);
}
END_TEST

/* The revision must not advance past a corrupt value, so that it is pulled
   again.  */
START_TEST (a_value_that_arrives_broken_is_named_and_not_taken)
{
  corrupt_value = true;
  uv_run (&loop, UV_RUN_DEFAULT);
  ck_assert_uint_eq (items_messages, 1);
  ck_assert_str_eq (unreadable, "op/other");
  ck_assert_ptr_null (
      g_hash_table_lookup (receiver.registry.records, "op/other"));
  ck_assert_uint_eq (receiver.registry.position.revision, 0);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_checked_fixture (tests, setup, teardown);
  tcase_add_test (tests, a_long_value_takes_a_tenth_of_its_length_on_a_link);
  tcase_add_test (tests, a_value_that_arrives_broken_is_named_and_not_taken);
}

int
main (void)
{
  return suite_run ("mesh_items", add_tests, 30);
}

#include <string.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

#define LIST_BYTES_MAX 4194304
#define READ_TIMEOUT_US (2 * CP_US_PER_S)
#define HTTP_OVERHEAD_BYTES 700

/* Updates the table from the text of the VM list; the lock is held.  */
static void
update_from_list (struct members *members, const char *text, size_t length)
{
  CP_AUTO_JSON json_t *root = json_loadb (text, length, 0, NULL);
  const struct cp_member *own;

  if (!cp_members_set_list (&members->table, json_object_get (root, "vms")))
    {
      cp_log (CP_LOG_WARNING, CP_PART_MEMBERS, "The VM list is no list.");
      return;
    }
  own = cp_members_find (&members->table, members->table.own_ip);
  __atomic_store_n (&members->leaving, own != NULL && own->listed_leaving,
                    __ATOMIC_RELEASE);
}

static void
read_list_once (struct members *members, GString *body)
{
  struct daemon *daemon = members->daemon;
  bool done;

  daemon_count (daemon, COUNT_LIST_READS);
  done = upstream_get (&daemon->upstreams, &daemon->settings.vm_list, "/vms",
                       LIST_BYTES_MAX, READ_TIMEOUT_US, body)
         == 200;
  cp_counters_add (&daemon->counters, COUNT_CONTROL_MESSAGES, 2);
  cp_counters_add (&daemon->counters, COUNT_CONTROL_BYTES,
                   HTTP_OVERHEAD_BYTES + body->len);
  CP_LOCK_SCOPE (&members->reader.lock);
  if (done)
    {
      members->list_bytes = body->len;
      update_from_list (members, body->str, body->len);
    }
  members->read_failures = done ? 0 : members->read_failures + 1;
  members->list_read_done = true;
}

static uint64_t
next_read_us (struct members *members)
{
  struct cp_read_budget reads;

  configuration_read_parameters (&members->daemon->configuration, &reads);
  return cp_read_next_delay_us (
      cp_read_list_interval_us (&reads, members->list_bytes),
      members->read_failures, cp_random_thread ());
}

static bool
wait_until_due (struct members *members, uint64_t until_us)
{
  bool go_on;

  CP_LOCK_SCOPE (&members->reader.lock);
  do
    go_on = worker_wait (&members->reader, until_us);
  while (go_on && cp_clock_now_us (members->daemon->clock) < until_us);
  return go_on;
}

/* Reads the VM list periodically.  The first read is at a random time, since
   all daemons may have started at once; the second is at least one full
   interval later.  */
static void *
read_list (void *context)
{
  struct members *members = context;
  const struct cp_clock *clock = members->daemon->clock;
  GString *body = g_string_new (NULL);
  struct cp_read_budget reads;
  uint64_t due = cp_clock_now_us (clock);

  configuration_read_parameters (&members->daemon->configuration, &reads);
  due += cp_read_first_delay_us (&reads, cp_random_thread ());
  if (wait_until_due (members, due))
    {
      read_list_once (members, body);
      configuration_read_parameters (&members->daemon->configuration, &reads);
      due = cp_clock_now_us (clock)
            + cp_read_list_interval_us (&reads, members->list_bytes);
      while (wait_until_due (members, due + next_read_us (members)))
        {
          read_list_once (members, body);
          due = cp_clock_now_us (clock);
        }
    }
  g_string_free (body, TRUE);
  return NULL;
}

int
members_init (struct members *members, struct daemon *daemon)
{
  memset (members, 0, sizeof *members);
  members->daemon = daemon;
  worker_init (&members->reader, daemon->clock);
  cp_members_init (&members->table, &daemon->settings.peers);
  return 0;
}

int
members_start (struct members *members, struct cp_error *error)
{
  return worker_start (&members->reader, "members", read_list, members, error);
}

void
members_stop (struct members *members)
{
  worker_stop (&members->reader);
}

void
members_finish (struct members *members)
{
  cp_members_finish (&members->table);
}

bool
members_known (struct members *members, const char *ip)
{
  CP_LOCK_SCOPE (&members->reader.lock);
  return cp_members_find (&members->table, ip) != NULL;
}

bool
members_leaving (struct members *members)
{
  return __atomic_load_n (&members->leaving, __ATOMIC_ACQUIRE);
}

void
members_take_document (struct members *members,
                       const struct cp_document *document)
{
  CP_LOCK_SCOPE (&members->reader.lock);
  cp_members_set_document (&members->table, document);
}

json_t *
members_dump (struct members *members)
{
  CP_LOCK_SCOPE (&members->reader.lock);
  return cp_members_dump (&members->table,
                          cp_clock_now_us (members->daemon->clock));
}

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

#define LIST_BYTES_MAX 1048576
#define READ_INTERVAL_S 2
#define READ_TIMEOUT_US (2 * CP_US_PER_S)

/* One VM of the platform's list.  */
struct vm
{
  struct cds_list_head node;
  char name[CP_NAME_BYTES];
  char ip[INET6_ADDRSTRLEN];
  bool leaving;
};

static void
clear_vms (struct cds_list_head *vms)
{
  struct vm *vm, *next;

  cds_list_for_each_entry_safe (vm, next, vms, node)
  {
    cds_list_del (&vm->node);
    free (vm);
  }
}

/* Takes a list as the platform gives it.  */
static void
take_list (struct members *members, const char *text, size_t length)
{
  CP_AUTO_JSON json_t *root = json_loadb (text, length, 0, NULL);
  json_t *list = json_object_get (root, "vms");
  size_t i;
  json_t *body;

  if (!json_is_array (list))
    {
      cp_log (CP_LOG_WARNING, CP_PART_MEMBERS, "The VM list is no list.");
      return;
    }
  CP_LOCK_SCOPE (&members->lock);
  clear_vms (&members->vms);
  json_array_foreach (list, i, body)
  {
    const char *name = json_string_value (json_object_get (body, "name"));
    const char *ip = json_string_value (json_object_get (body, "ip"));
    const char *state = json_string_value (json_object_get (body, "state"));
    struct vm *vm;

    if (name == NULL || ip == NULL)
      continue;
    vm = calloc (1, sizeof *vm);
    if (vm == NULL)
      return;
    g_strlcpy (vm->name, name, sizeof vm->name);
    g_strlcpy (vm->ip, ip, sizeof vm->ip);
    vm->leaving = state != NULL && strcmp (state, "leaving") == 0;
    cds_list_add (&vm->node, &members->vms);
  }
}

static bool
wait_for_next (struct members *members)
{
  struct timespec until;

  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += READ_INTERVAL_S;
  CP_LOCK_SCOPE (&members->lock);
  if (!members->stop)
    pthread_cond_timedwait (&members->changed, &members->lock, &until);
  return !members->stop;
}

static void *
read_list (void *context)
{
  struct members *members = context;
  struct daemon *daemon = members->daemon;
  GString *body = g_string_new (NULL);

  do
    {
      if (upstream_get (&daemon->upstreams, &daemon->settings.vm_list, "/vms",
                        LIST_BYTES_MAX, READ_TIMEOUT_US, body)
          == 200)
        take_list (members, body->str, body->len);
    }
  while (wait_for_next (members));
  g_string_free (body, TRUE);
  return NULL;
}

int
members_start (struct members *members, struct daemon *daemon,
               struct cp_error *error)
{
  memset (members, 0, sizeof *members);
  members->daemon = daemon;
  pthread_mutex_init (&members->lock, NULL);
  pthread_cond_init (&members->changed, NULL);
  CDS_INIT_LIST_HEAD (&members->vms);
  if (pthread_create (&members->reader, NULL, read_list, members) != 0)
    return cp_error_set (error, CP_ERROR_MEMORY, "members",
                         "raise the limit of threads",
                         "cannot start a thread");
  members->reading = true;
  return 0;
}

void
members_stop (struct members *members)
{
  if (!members->reading)
    return;
  pthread_mutex_lock (&members->lock);
  members->stop = true;
  pthread_cond_broadcast (&members->changed);
  pthread_mutex_unlock (&members->lock);
  pthread_join (members->reader, NULL);
  members->reading = false;
  clear_vms (&members->vms);
}

static bool
in_list (struct members *members, const char *ip)
{
  struct vm *vm;

  CP_LOCK_SCOPE (&members->lock);
  cds_list_for_each_entry (vm, &members->vms, node)
  {
    if (strcmp (vm->ip, ip) == 0)
      return true;
  }
  return false;
}

static bool
in_document (const struct cp_document *document, const char *ip)
{
  struct cp_address address;
  char text[INET6_ADDRSTRLEN + 8];

  g_snprintf (text, sizeof text, strchr (ip, ':') ? "[%s]:1" : "%s:1", ip);
  if (!cp_address_parse (&address, text))
    return false;
  for (unsigned s = 0; s < document->n_services; s++)
    for (unsigned t = 0; t < document->services[s].n_targets; t++)
      {
        const struct cp_target *target = &document->services[s].targets[t];

        if (target->has_daemon
            && cp_address_same_host (&address, &target->daemon))
          return true;
      }
  return false;
}

bool
members_known (struct members *members, const char *ip)
{
  struct cp_document *document;
  bool known;

  if (in_list (members, ip))
    return true;
  document = configuration_get (&members->daemon->configuration);
  known = document != NULL && in_document (document, ip);
  cp_document_unref (document);
  return known;
}

json_t *
members_dump (struct members *members)
{
  json_t *list = json_array ();
  struct vm *vm;

  CP_LOCK_SCOPE (&members->lock);
  cds_list_for_each_entry (vm, &members->vms, node) json_array_append_new (
      list, json_pack ("{s:s, s:s, s:b}", "name", vm->name, "ip", vm->ip,
                       "leaving", (int)vm->leaving));
  return list;
}

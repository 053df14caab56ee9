#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/members.h"
#include "lib/watchers.h"

void
cp_members_init (struct cp_members *members, const struct cp_address *own)
{
  memset (members, 0, sizeof *members);
  members->by_ip = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free);
  members->peer_port = cp_address_port (own);
  cp_address_host (own, members->own_ip, sizeof members->own_ip);
}

void
cp_members_finish (struct cp_members *members)
{
  g_hash_table_destroy (members->by_ip);
}

static bool
set_peer_address (struct cp_member *member, unsigned port)
{
  char text[CP_ADDRESS_TEXT_BYTES + 8];

  snprintf (text, sizeof text,
            strchr (member->ip, ':') == NULL ? "%s:%u" : "[%s]:%u", member->ip,
            port);
  return cp_address_parse (&member->peer_address, text);
}

/* Finds or adds a member.  Returns NULL when IP is not an IP address or the
   table is full.  */
static struct cp_member *
get_member (struct cp_members *members, const char *ip)
{
  struct cp_member *member = g_hash_table_lookup (members->by_ip, ip);

  if (member != NULL)
    return member;
  if (g_hash_table_size (members->by_ip) >= CP_MEMBERS_MAX
      || strlen (ip) >= sizeof member->ip)
    return NULL;
  member = calloc (1, sizeof *member);
  if (member == NULL)
    abort ();
  g_strlcpy (member->ip, ip, sizeof member->ip);
  if (!set_peer_address (member, members->peer_port))
    {
      free (member);
      return NULL;
    }
  member->life = CP_DAEMON_SERVING;
  g_hash_table_insert (members->by_ip, member->ip, member);
  return member;
}

static gboolean
is_unlisted (gpointer key, gpointer value, gpointer context)
{
  const struct cp_member *member = value;

  (void)key;
  (void)context;
  return !member->listed && !member->in_document;
}

static void
remove_unlisted (struct cp_members *members)
{
  g_hash_table_foreach_remove (members->by_ip, is_unlisted, NULL);
}

static void
add_listed (struct cp_members *members, json_t *body)
{
  const char *name = json_string_value (json_object_get (body, "name"));
  const char *ip = json_string_value (json_object_get (body, "ip"));
  const char *state = json_string_value (json_object_get (body, "state"));
  const char *domain
      = json_string_value (json_object_get (body, "failure_domain"));
  struct cp_member *member = ip == NULL ? NULL : get_member (members, ip);

  if (member == NULL)
    return;
  member->listed = true;
  member->listed_leaving = state != NULL && strcmp (state, "leaving") == 0;
  members->listed++;
  if (name != NULL)
    g_strlcpy (member->name, name, sizeof member->name);
  if (domain != NULL)
    g_strlcpy (member->failure_domain, domain, sizeof member->failure_domain);
}

bool
cp_members_set_list (struct cp_members *members, json_t *list)
{
  GHashTableIter iter;
  gpointer value;
  size_t i;
  json_t *body;

  if (!json_is_array (list))
    return false;
  members->listed = 0;
  g_hash_table_iter_init (&iter, members->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct cp_member *member = value;

      member->listed = false;
      member->listed_leaving = false;
    }
  json_array_foreach (list, i, body) add_listed (members, body);
  remove_unlisted (members);
  return true;
}

static void
add_target (struct cp_members *members, const struct cp_target *target)
{
  char ip[INET6_ADDRSTRLEN];
  struct cp_member *member;

  if (!target->has_daemon)
    return;
  cp_address_host (&target->daemon, ip, sizeof ip);
  member = get_member (members, ip);
  if (member == NULL)
    return;
  if (!member->in_document)
    members->in_document++;
  member->in_document = true;
  member->peer_address = target->daemon;
  g_strlcpy (member->failure_domain, target->failure_domain,
             sizeof member->failure_domain);
}

void
cp_members_set_document (struct cp_members *members,
                         const struct cp_document *document)
{
  GHashTableIter iter;
  gpointer value;

  members->in_document = 0;
  g_hash_table_iter_init (&iter, members->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((struct cp_member *)value)->in_document = false;
  for (unsigned s = 0; s < document->n_services; s++)
    for (unsigned t = 0; t < document->services[s].n_targets; t++)
      add_target (members, &document->services[s].targets[t]);
  remove_unlisted (members);
}

const struct cp_member *
cp_members_find (const struct cp_members *members, const char *ip)
{
  return g_hash_table_lookup (members->by_ip, ip);
}

bool
cp_members_record_status (struct cp_members *members, const char *ip,
                          const struct cp_member_status *status,
                          uint64_t now_us)
{
  struct cp_member *member = g_hash_table_lookup (members->by_ip, ip);

  if (member == NULL)
    return false;
  g_strlcpy (member->name, status->name, sizeof member->name);
  g_strlcpy (member->failure_domain, status->failure_domain,
             sizeof member->failure_domain);
  if (status->peer_port > 0 && status->peer_port < 65536)
    set_peer_address (member, status->peer_port);
  member->incarnation = status->incarnation;
  member->life = status->life;
  member->heard_us = now_us;
  member->missed_answers = 0;
  member->retry_at_us = 0;
  return true;
}

void
cp_members_record_missed_answer (struct cp_members *members, const char *ip,
                                 uint64_t now_us)
{
  struct cp_member *member = g_hash_table_lookup (members->by_ip, ip);
  uint64_t delay_us = CP_MEMBER_BACKOFF_US;

  if (member == NULL)
    return;
  for (unsigned i = 0;
       i < member->missed_answers && delay_us < CP_MEMBER_BACKOFF_MAX_US; i++)
    delay_us *= 2;
  member->missed_answers++;
  member->retry_at_us = now_us + delay_us;
}

bool
cp_members_is_alive (const struct cp_members *members,
                     const struct cp_member *member, uint64_t now_us)
{
  if (strcmp (member->ip, members->own_ip) == 0)
    return true;
  if (member->listed_leaving || member->life >= CP_DAEMON_DRAINING
      || member->missed_answers >= CP_MEMBER_MISSED_MAX)
    return false;
  if (member->listed || members->listed == 0)
    return true;
  return member->incarnation != 0
         && now_us - member->heard_us < CP_MEMBER_ALIVE_US;
}

/* Returns whether a member may be contacted.  RELAXED ignores its domain,
   retry time and state.  */
static bool
is_eligible (const struct cp_members *members, const struct cp_member *member,
             const char *domain, enum cp_members_scope scope, uint64_t now_us,
             bool relaxed)
{
  bool same = strcmp (member->failure_domain, domain) == 0;

  if (strcmp (member->ip, members->own_ip) == 0)
    return false;
  if (relaxed)
    return true;
  return same == (scope == CP_MEMBERS_SAME_DOMAIN)
         && member->retry_at_us <= now_us && member->life != CP_DAEMON_GONE;
}

/* Chooses uniformly in one pass by reservoir sampling.  Source: J. Vitter,
   Random Sampling with a Reservoir, ACM Transactions on Mathematical Software
   11(1), 1985.  */
bool
cp_members_choose (const struct cp_members *members, const char *domain,
                   enum cp_members_scope scope, const struct cp_random *random,
                   uint64_t now_us, struct cp_address *address)
{
  const struct cp_member *chosen = NULL;

  for (unsigned relaxed = 0; relaxed < 2 && chosen == NULL; relaxed++)
    {
      GHashTableIter iter;
      gpointer value;
      unsigned n_eligible = 0;

      g_hash_table_iter_init (&iter, members->by_ip);
      while (g_hash_table_iter_next (&iter, NULL, &value))
        if (is_eligible (members, value, domain, scope, now_us, relaxed == 1)
            && cp_random_below (random, ++n_eligible) == 0)
          chosen = value;
    }
  if (chosen != NULL)
    *address = chosen->peer_address;
  return chosen != NULL;
}

unsigned
cp_members_count (const struct cp_members *members, unsigned limit)
{
  unsigned n_known = MAX (members->listed, members->in_document);

  return n_known == 0 ? limit : MIN (n_known, limit);
}

bool
cp_members_is_watcher (const struct cp_members *members, const char *domain,
                       unsigned wanted, uint64_t now_us)
{
  uint64_t own = cp_watchers_weight (domain, members->own_ip);
  unsigned n_above = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cp_member *member = value;

      if (strcmp (member->failure_domain, domain) == 0
          && cp_members_is_alive (members, member, now_us)
          && cp_watchers_weight (domain, member->ip) > own)
        n_above++;
    }
  return n_above < wanted;
}

json_t *
cp_members_dump (const struct cp_members *members, uint64_t now_us)
{
  json_t *list = json_array ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, members->by_ip);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct cp_member *member = value;

      json_array_append_new (
          list, json_pack (
                    "{s:s, s:s, s:s, s:b, s:b, s:b, s:b, s:s, s:I}", "name",
                    member->name, "ip", member->ip, "failure_domain",
                    member->failure_domain, "listed", (int)member->listed,
                    "leaving", (int)member->listed_leaving, "in_document",
                    (int)member->in_document, "alive",
                    (int)cp_members_is_alive (members, member, now_us), "life",
                    cp_daemon_state_names[member->life], "heard_us",
                    (json_int_t)(member->incarnation == 0
                                     ? -1
                                     : (int64_t)(now_us - member->heard_us))));
    }
  return list;
}

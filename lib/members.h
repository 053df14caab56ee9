/* Who is in the fleet: the VM list, which lags, joined with the document and
   with what daemons say of themselves.

   A member is known by its IP number.  It counts as alive while there is no
   evidence against it: it said that it leaves, or the list says so, or it has
   not answered for a while.  Silence of one member is suspicion: it is asked
   less often, and forgotten as soon as it is heard again.  Not thread-safe;
   the caller locks.  */
#ifndef CP_MEMBERS_H
#define CP_MEMBERS_H

#include <glib.h>
#include <jansson.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/address.h"
#include "lib/clock.h"
#include "lib/daemon_state.h"
#include "lib/document.h"

#define CP_MEMBERS_MAX 16384

/* A member that was heard counts as alive for so long although the list does
   not name it.  */
#define CP_MEMBER_ALIVE_US (60 * CP_US_PER_S)

/* Answers missed in a row after which a member does not count as alive.  */
#define CP_MEMBER_MISSED_MAX 3

/* Time for which a silent member is not asked; it doubles with each miss.  The
   longest is short, because the halves of a fleet find each other again only
   by asking.  */
#define CP_MEMBER_BACKOFF_US (500 * CP_US_PER_MS)
#define CP_MEMBER_BACKOFF_MAX_US CP_US_PER_S

struct cp_member
{
  char ip[INET6_ADDRSTRLEN];
  char name[CP_NAME_BYTES];
  char failure_domain[CP_NAME_BYTES];
  struct cp_address peer_address; /* of its daemon */
  bool listed;
  bool listed_leaving;
  bool in_document;
  uint64_t incarnation;      /* 0: not heard yet */
  enum cp_daemon_state life; /* as it said itself */
  uint64_t heard_us;
  unsigned missed_answers;
  uint64_t retry_at_us;
};

struct cp_members
{
  GHashTable *by_ip;
  char own_ip[INET6_ADDRSTRLEN];
  unsigned peer_port;
  unsigned listed;
  unsigned in_document;
};

/* What a daemon says of itself.  */
struct cp_member_status
{
  const char *name;
  const char *failure_domain;
  unsigned peer_port;
  uint64_t incarnation;
  enum cp_daemon_state life;
};

/* OWN is the peer address of this daemon; members of the list are taken to use
   the same port until they say otherwise.  */
void cp_members_init (struct cp_members *members,
                      const struct cp_address *own);
void cp_members_finish (struct cp_members *members);

/* Takes the platform's list.  Returns false when it is no list.  */
bool cp_members_set_list (struct cp_members *members, json_t *list);
void cp_members_set_document (struct cp_members *members,
                              const struct cp_document *document);

const struct cp_member *cp_members_find (const struct cp_members *members,
                                         const char *ip);

/* Notes what a member, which must be known, said.  Returns false otherwise. */
bool cp_members_record_status (struct cp_members *members, const char *ip,
                               const struct cp_member_status *status,
                               uint64_t now_us);

/* Notes that a member did not answer.  */
void cp_members_record_missed_answer (struct cp_members *members,
                                      const char *ip, uint64_t now_us);

/* Returns whether the member is believed to be alive.  */
bool cp_members_is_alive (const struct cp_members *members,
                          const struct cp_member *member, uint64_t now_us);

/* Which members to choose from.  */
enum cp_members_scope
{
  CP_MEMBERS_SAME_DOMAIN,
  CP_MEMBERS_OTHER_DOMAIN
};

/* Chooses a random member to ask, which is neither this daemon nor silent, and
   copies its address; falls back to any other member.  */
bool cp_members_choose (const struct cp_members *members, const char *domain,
                        enum cp_members_scope from,
                        const struct cp_random *random, uint64_t now_us,
                        struct cp_address *address);

/* Returns the number of daemons that there may be: the larger of the list and
   the document, at most LIMIT; LIMIT when neither is known.  */
unsigned cp_members_count (const struct cp_members *members, unsigned limit);

/* Returns whether this daemon is elected to watch for DOMAIN.  */
bool cp_members_is_watcher (const struct cp_members *members,
                            const char *domain, unsigned wanted,
                            uint64_t now_us);

json_t *cp_members_dump (const struct cp_members *members, uint64_t now_us);

#endif

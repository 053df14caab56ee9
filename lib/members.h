/* Membership of the fleet: the platform's VM list, which lags, combined with
   the document and with the status that daemons send.

   A member is identified by its IP address.  It counts as alive unless it said
   that it leaves, the list says so, or it has missed several answers.  A
   silent member is only suspected: it is contacted less often, and the
   suspicion ends with its next message.  Not thread-safe; the caller locks.
   */
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

/* Time for which a member counts as alive after its last message although the
   VM list does not contain it.  */
#define CP_MEMBER_ALIVE_US (60 * CP_US_PER_S)

/* Consecutive missed answers from which a member does not count as alive.  */
#define CP_MEMBER_MISSED_MAX 3

/* Time for which a silent member is not contacted; it doubles with each missed
   answer.  The maximum is short, because the two sides of a healed partition
   find each other only by contacting silent members.  */
#define CP_MEMBER_BACKOFF_US (500 * CP_US_PER_MS)
#define CP_MEMBER_BACKOFF_MAX_US CP_US_PER_S

struct cp_member
{
  char ip[INET6_ADDRSTRLEN];
  char name[CP_NAME_BYTES];
  char failure_domain[CP_NAME_BYTES];
  struct cp_address peer_address; /* of its daemon, for other daemons */
  bool listed;
  bool listed_leaving;
  bool in_document;
  uint64_t incarnation;      /* 0 until its first message */
  enum cp_daemon_state life; /* as it reported */
  uint64_t heard_us;         /* time of its last message */
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

/* Status that a daemon reports of itself.  */
struct cp_member_status
{
  const char *name;
  const char *failure_domain;
  unsigned peer_port;
  uint64_t incarnation;
  enum cp_daemon_state life;
};

/* OWN is the peer address of this daemon.  Members from the VM list are
   assumed to use the same port until their status tells another.  */
void cp_members_init (struct cp_members *members,
                      const struct cp_address *own);
void cp_members_finish (struct cp_members *members);

/* Applies the VM list of the platform.  Returns false if LIST is no array.  */
bool cp_members_set_list (struct cp_members *members, json_t *list);
void cp_members_set_document (struct cp_members *members,
                              const struct cp_document *document);

const struct cp_member *cp_members_find (const struct cp_members *members,
                                         const char *ip);

/* Records the status of a member.  Returns false when IP is not a member.  */
bool cp_members_record_status (struct cp_members *members, const char *ip,
                               const struct cp_member_status *status,
                               uint64_t now_us);

/* Records that a member did not answer.  */
void cp_members_record_missed_answer (struct cp_members *members,
                                      const char *ip, uint64_t now_us);

/* Returns whether the member counts as alive.  */
bool cp_members_is_alive (const struct cp_members *members,
                          const struct cp_member *member, uint64_t now_us);

/* Members to choose from, relative to a failure domain.  */
enum cp_members_scope
{
  CP_MEMBERS_SAME_DOMAIN,
  CP_MEMBERS_OTHER_DOMAIN
};

/* Chooses a random member that is neither this daemon nor silent, and copies
   its address.  If there is none, chooses any other member.  */
bool cp_members_choose (const struct cp_members *members, const char *domain,
                        enum cp_members_scope scope,
                        const struct cp_random *random, uint64_t now_us,
                        struct cp_address *address);

/* Returns the assumed number of daemons: the larger of the numbers in the VM
   list and in the document, at most LIMIT; LIMIT when both are empty.  */
unsigned cp_members_count (const struct cp_members *members, unsigned limit);

/* Returns whether this daemon is among the WANTED watchers elected for
   DOMAIN.  */
bool cp_members_is_watcher (const struct cp_members *members,
                            const char *domain, unsigned wanted,
                            uint64_t now_us);

json_t *cp_members_dump (const struct cp_members *members, uint64_t now_us);

#endif

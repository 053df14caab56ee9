/* Requests that may end the servers that run them.

   When a server ends, the requests that it ran are suspected.  A suspect that
   a server answers is cleared.  One that has run at the end of three servers,
   at one of them as the only suspect, is held back for some minutes.  If a
   known suspect ran at the end of a server, it explains the end, and what ran
   beside it is not suspected.  Users of this module let a server run one
   suspect at a time, so that the next end tells which of them it was.

   Every daemon keeps a table of its own and hands changes to the others.  The
   record of a request merges in any order and any number of times: an end is
   named by the server that ended, a clearing begins a new epoch.  A record
   expires; a table has a maximum size, above which it forgets the record with
   the fewest ends, of these the oldest.

   Performs no I/O; not thread-safe.  */
#ifndef CP_SUSPECTS_H
#define CP_SUSPECTS_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Ends of servers from which a request is held back.  */
#define CP_SUSPECT_ENDS 3

#define CP_SUSPECTS_MAX 1024

struct cp_suspect
{
  uint64_t digest;                /* of its content */
  uint32_t epoch;                 /* rises when it is cleared */
  unsigned n_ends;                /* 0 when cleared */
  uint64_t ends[CP_SUSPECT_ENDS]; /* of servers, in rising order */
  bool alone;                     /* it was the only suspect at one */
  uint64_t changed_us;
};

struct cp_suspects
{
  GHashTable *by_digest;
};

void cp_suspects_init (struct cp_suspects *suspects);
void cp_suspects_finish (struct cp_suspects *suspects);

bool cp_suspects_are_empty (const struct cp_suspects *suspects);

/* Returns the record of DIGEST, or NULL.  It is valid until the next change of
   SUSPECTS.  */
const struct cp_suspect *cp_suspects_find (const struct cp_suspects *suspects,
                                           uint64_t digest, uint64_t now_us);

/* Returns whether requests of DIGEST are suspected; whether they are held
   back.  */
bool cp_suspects_contain (const struct cp_suspects *suspects, uint64_t digest,
                          uint64_t now_us);
bool cp_suspects_hold_back (const struct cp_suspects *suspects,
                            uint64_t digest, uint64_t now_us);

/* Returns how long requests of DIGEST, which are held back, still will be.  */
uint64_t cp_suspects_held_back_us (const struct cp_suspects *suspects,
                                   uint64_t digest, uint64_t now_us);

/* Records that server SERVER_END has ended while it ran the requests of the N
   DIGESTS.  Returns the digests whose records have changed, which the caller
   frees with g_array_unref.  */
GArray *cp_suspects_blame (struct cp_suspects *suspects,
                           const uint64_t *digests, unsigned n,
                           uint64_t server_end, uint64_t now_us);

/* Records that a server has answered a request of DIGEST.  Returns whether it
   was suspected.  */
bool cp_suspects_clear (struct cp_suspects *suspects, uint64_t digest,
                        uint64_t now_us);

/* Takes in a record of another daemon.  Returns whether it says more than the
   own one.  */
bool cp_suspects_merge (struct cp_suspects *suspects,
                        const struct cp_suspect *other, uint64_t now_us);

/* Forgets the records that have expired.  */
void cp_suspects_expire (struct cp_suspects *suspects, uint64_t now_us);

#endif

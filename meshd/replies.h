/* Results of the jobs of our own outbound side, on their way to it.

   A result is delivered when the event loop comes round, never by the call
   that ended the job: its receiver ends calls, writes to callers and drops
   other jobs, which must not happen while the inbound side handles one.  All
   functions run on the event loop's thread.  */
#ifndef MESHD_REPLIES_H
#define MESHD_REPLIES_H

#include <urcu/list.h>
#include <uv.h>

#include "meshd/wire.h"

struct mesh_replies
{
  uv_idle_t idle; /* active while a result waits */
  struct cds_list_head waiting;
  void (*deliver) (void *context, const struct cp_peer_message *message);
  void *context;
};

/* DELIVER is called for each result, in the order in which they were added.
   It may add others.  */
void mesh_replies_init (
    struct mesh_replies *replies, uv_loop_t *loop,
    void (*deliver) (void *context, const struct cp_peer_message *message),
    void *context);

/* Delivers the results that wait.  */
void mesh_replies_deliver (struct mesh_replies *replies);

/* Drops the results that wait.  The loop must run until the handle is
   closed.  */
void mesh_replies_stop (struct mesh_replies *replies);

/* Adds a copy of MESSAGE: an answer, a refusal or a failure.  */
void mesh_replies_add (struct mesh_replies *replies,
                       const struct cp_peer_message *message);

#endif

/* Turns of an event loop, and what is known after it stood still.

   A loop stands while a callback takes long or the process does not run.  What
   arrives meanwhile waits unread: a request, the cancel behind it, the answer
   that a timer waits for.  The first to be handled would decide by what was
   known before.  A loop that has stood is therefore behind until it has polled
   often enough to have read all that.  What starts work, or gives it up, asks
   net_turns_is_behind first, and waits for SETTLED if so.

   The user data of a loop leads to its turns; a loop without any is never
   behind.  All functions run on the event loop's thread.  */
#ifndef NET_TURNS_H
#define NET_TURNS_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/* Callbacks.  STOOD: nothing was read for DURATION_US.  SETTLED: the loop is
   no longer behind.  */
struct net_turns_events
{
  void (*stood) (void *context, uint64_t duration_us);
  void (*settled) (void *context);
};

struct net_turns
{
  uv_prepare_t prepare;
  uv_check_t check;
  uv_idle_t idle;          /* active while the loop is behind, which keeps a
                              poll from waiting */
  uint64_t poll_began_us;  /* when the last poll began */
  uint64_t read_until_us;  /* what had arrived by then has been read */
  uint64_t stood_until_us; /* when the loop was last found to have stood */
  unsigned polls_left;     /* until the loop is no longer behind */
  bool settled;            /* in this turn: nothing waits any longer */
  const struct net_turns_events *events;
  void *context;
};

/* Watches the turns of LOOP, whose user data it takes.  */
void net_turns_init (struct net_turns *turns, uv_loop_t *loop,
                     const struct net_turns_events *events, void *context);

/* Closes the handles of TURNS.  */
void net_turns_stop (struct net_turns *turns);

/* Returns whether LOOP has stood and has not read yet what arrived
   meanwhile.  */
bool net_turns_is_behind (uv_loop_t *loop);

/* Returns whether LOOP has stood at some time after SINCE_US, of the clock
   that counts suspended time.  What was sent before that may have waited for
   the loop, also if it is read when the loop is no longer behind: what a full
   socket held back arrives later.  */
bool net_turns_stood_since (uv_loop_t *loop, uint64_t since_us);

/* Called by CALLBACK of TIMER before it does anything.  If the loop is behind,
   returns true and has CALLBACK called again soon.  */
bool net_turns_defer (uv_timer_t *timer, uv_timer_cb callback);

/* Returns a time, of the clock that counts suspended time, such that all that
   had arrived by then has been read; 0 if that is not known.  */
uint64_t net_turns_read_until_us (const uv_loop_t *loop);

#endif

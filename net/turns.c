#include "net/turns.h"
#include "lib/clock.h"

/* A loop that has read nothing for this long has stood.  It must be more than
   two intervals of the most frequent timer of the loop, since a poll may wait
   for that.  */
#define STOOD_US UINT64_C (100000)

/* Polls after which nothing is unread that arrived while the loop stood: they
   accept connections, read requests, and find that a client has left.  */
#define POLLS_TO_SETTLE 3

/* Delay of a deferred timer, in ms.  One without a delay would be called again
   before the next poll.  */
#define DEFER_MS 1

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

static void
on_idle (uv_idle_t *idle)
{
  (void)idle;
}

/* Returns for how long nothing has been read, if the loop has stood, or 0. The
   loop is behind then.  */
static uint64_t
check_stood (struct net_turns *turns)
{
  uint64_t now = now_us ();
  uint64_t unread_us = now - turns->read_until_us;

  if (unread_us <= STOOD_US)
    return 0;
  turns->stood_until_us = now;
  if (turns->polls_left == 0)
    {
      turns->polls_left = POLLS_TO_SETTLE;
      uv_idle_start (&turns->idle, on_idle);
    }
  return unread_us;
}

static void
on_prepare (uv_prepare_t *prepare)
{
  struct net_turns *turns = prepare->data;
  uint64_t stood_us = check_stood (turns);

  turns->settled = false;
  turns->poll_began_us = now_us ();
  if (stood_us > 0)
    turns->events->stood (turns->context, stood_us);
}

static void
on_check (uv_check_t *check)
{
  struct net_turns *turns = check->data;

  turns->read_until_us = turns->poll_began_us;
  if (turns->polls_left == 0 || --turns->polls_left > 0)
    return;
  uv_idle_stop (&turns->idle);
  turns->settled = true;
  turns->events->settled (turns->context);
}

void
net_turns_init (struct net_turns *turns, uv_loop_t *loop,
                const struct net_turns_events *events, void *context)
{
  uint64_t now = now_us ();

  *turns = (struct net_turns){ .poll_began_us = now,
                               .read_until_us = now,
                               .events = events,
                               .context = context };
  loop->data = turns;
  uv_prepare_init (loop, &turns->prepare);
  uv_check_init (loop, &turns->check);
  uv_idle_init (loop, &turns->idle);
  turns->prepare.data = turns;
  turns->check.data = turns;
  uv_prepare_start (&turns->prepare, on_prepare);
  uv_check_start (&turns->check, on_check);
}

void
net_turns_stop (struct net_turns *turns)
{
  turns->prepare.loop->data = NULL;
  uv_close ((uv_handle_t *)&turns->prepare, NULL);
  uv_close ((uv_handle_t *)&turns->check, NULL);
  uv_close ((uv_handle_t *)&turns->idle, NULL);
}

bool
net_turns_is_behind (uv_loop_t *loop)
{
  struct net_turns *turns = loop->data;

  if (turns == NULL || turns->settled)
    return false;
  if (turns->polls_left == 0)
    check_stood (turns);
  return turns->polls_left > 0;
}

bool
net_turns_stood_since (uv_loop_t *loop, uint64_t since_us)
{
  const struct net_turns *turns = loop->data;

  return net_turns_is_behind (loop)
         || (turns != NULL && turns->stood_until_us > since_us);
}

bool
net_turns_defer (uv_timer_t *timer, uv_timer_cb callback)
{
  if (!net_turns_is_behind (timer->loop))
    return false;
  uv_timer_start (timer, callback, DEFER_MS, uv_timer_get_repeat (timer));
  return true;
}

uint64_t
net_turns_read_until_us (const uv_loop_t *loop)
{
  const struct net_turns *turns = loop->data;

  return turns == NULL ? 0 : turns->read_until_us;
}

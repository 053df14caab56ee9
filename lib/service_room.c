#include "lib/service_room.h"

/* Share of the requests that are sent although every server is full.  */
#define PROBE_SHARE 0.1

/* Longest time from one request that is sent to the next while every server is
   full: at least five a second are sent.  The time is drawn from the upper
   half, so that daemons which stopped at the same report do not send
   together.  */
#define PROBE_INTERVAL_US UINT64_C (200000)

/* Part of a queue that is assumed to be served before a request, by its
   priority.  Reports do not give it; a low value only lets the server decide.
 */
static const double queue_ahead_shares[] = { 0.5, 0.75, 1.0 };

static double
queue_ahead_share (unsigned priority)
{
  return queue_ahead_shares[MIN (priority,
                                 G_N_ELEMENTS (queue_ahead_shares) - 1)];
}

/* Returns how long REQUEST is expected to wait at SERVER, which has no free
   slot.  */
static uint64_t
expected_wait_us (const struct cp_server *server,
                  const struct cp_room_request *request)
{
  const struct cp_server_load *load = &server->load;
  double over = (double)load->running + load->queued + server->sent_since
                - load->limit;
  double ahead = over * queue_ahead_share (request->priority);
  double slowness
      = MAX (1.0, (double)load->slowness_percent / CP_SLOWNESS_NORMAL_PERCENT);

  return (uint64_t)((ahead + 1) * (double)request->work_us * slowness
                    / load->limit);
}

void
cp_room_view_add (struct cp_room_view *view, const struct cp_server *server,
                  const struct cp_room_request *request)
{
  const struct cp_server_load *load = &server->load;
  uint64_t age_us = request->now_us - MIN (request->now_us, server->load_us);
  uint64_t wait_us;

  view->servers++;
  if (server->load_us == 0 || age_us > CP_ROOM_FRESH_US || load->limit == 0)
    {
      view->unknown++;
      return;
    }
  view->age_us = MAX (view->age_us, age_us);
  if (load->running + load->queued + server->sent_since < load->limit)
    {
      view->with_slot++;
      return;
    }
  wait_us = expected_wait_us (server, request);
  if (wait_us <= request->wait_us)
    {
      view->with_queue++;
      return;
    }
  wait_us -= request->wait_us;
  if (view->wait_us == 0 || wait_us < view->wait_us)
    view->wait_us = wait_us;
}

bool
cp_room_view_is_full (const struct cp_room_view *view)
{
  return view->servers > 0 && view->with_slot == 0 && view->with_queue == 0
         && view->unknown == 0;
}

uint64_t
cp_room_view_wait_us (const struct cp_room_view *view)
{
  return cp_room_view_is_full (view) ? view->wait_us : 0;
}

/* Sets when the next request is due, counted from SINCE_US.  */
static void
set_due (struct cp_service_room *room, uint64_t since_us,
         const struct cp_random *random)
{
  room->probe_due_us = since_us
                       + (uint64_t)((0.5 + 0.5 * cp_random_unit (random))
                                    * (double)PROBE_INTERVAL_US);
}

enum cp_room_result
cp_service_room_check (struct cp_service_room *room,
                       const struct cp_room_view *view, uint64_t now_us,
                       const struct cp_random *random)
{
  if (!cp_room_view_is_full (view))
    {
      set_due (room, now_us, random);
      return CP_ROOM_SEND;
    }
  /* Counted from when it was due, since requests seldom come just then.  */
  if (now_us >= room->probe_due_us)
    {
      set_due (
          room,
          MAX (room->probe_due_us, now_us - MIN (now_us, PROBE_INTERVAL_US)),
          random);
      return CP_ROOM_PROBE;
    }
  return cp_random_unit (random) < PROBE_SHARE ? CP_ROOM_PROBE
                                               : CP_ROOM_REFUSE;
}

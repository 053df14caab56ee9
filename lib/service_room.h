/* Room for a request at the servers of a service, by their load reports, and
   the decision whether a request is sent when there is none.

   A server has room if it has a free slot, or if its queue is short enough for
   the wait that the request allows.  A report does not say which priorities
   wait, so a part of the queue is assumed to be behind urgent requests.
   Reports older than CP_ROOM_FRESH_US say nothing, and a service with a server
   of which nothing is known counts as having room.

   While every server is full, a part of the requests is sent all the same:
   otherwise no daemon would find out that there is room again.  The part is
   drawn at random for each request and the times in between at random for each
   daemon, since hundreds of daemons act on the same reports.

   Performs no I/O; not thread-safe.  */
#ifndef CP_SERVICE_ROOM_H
#define CP_SERVICE_ROOM_H

#include "lib/server_pool.h"

/* Age up to which a report is used.  */
#define CP_ROOM_FRESH_US UINT64_C (400000)

/* The request for which room is looked for.  */
struct cp_room_request
{
  uint64_t now_us;
  uint64_t work_us; /* its usual time at a server that is not slow */
  uint64_t wait_us; /* how long it may wait for a slot */
  unsigned priority;
};

/* What the reports say of the servers of a service.  */
struct cp_room_view
{
  unsigned servers;    /* that the request may be sent to */
  unsigned with_slot;  /* of these: with a free slot */
  unsigned with_queue; /* with a queue that is short enough */
  unsigned unknown;    /* without a fresh report */
  uint64_t age_us;     /* of the oldest fresh report */
  uint64_t wait_us;    /* until the first full server is expected to have
                          room */
};

/* Adds SERVER to VIEW, which is all zeros before the first.  */
void cp_room_view_add (struct cp_room_view *view,
                       const struct cp_server *server,
                       const struct cp_room_request *request);

/* Returns whether all servers of VIEW, at least one, are full.  */
bool cp_room_view_is_full (const struct cp_room_view *view);

/* Returns the expected time until there is room; 0 if there is or may be.  */
uint64_t cp_room_view_wait_us (const struct cp_room_view *view);

/* State of a service at one daemon.  All zeros at first.  */
struct cp_service_room
{
  uint64_t probe_due_us; /* from then on, the next request is sent */
};

enum cp_room_result
{
  CP_ROOM_SEND,  /* there is or may be room */
  CP_ROOM_PROBE, /* there is none, but it is sent to find out */
  CP_ROOM_REFUSE
};

enum cp_room_result cp_service_room_check (struct cp_service_room *room,
                                           const struct cp_room_view *view,
                                           uint64_t now_us,
                                           const struct cp_random *random);

#endif

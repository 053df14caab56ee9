/* Calls and the room that load reports show: refusal at the entry, and the
   time that refused callers are told to wait.  */
#include "lib/retry_after.h"
#include "meshd/outbound_internal.h"

/* How long a request may wait for a slot, as a share of its objective: what
   the inbound side allows (QUEUE_WAIT_MAX_SHARE in meshd/job.c).  */
#define WAIT_SHARE 0.2

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

static unsigned
call_priority (const struct mesh_call *call)
{
  return call->nested ? MIN (call->route->priority, call->parent.priority)
                      : call->route->priority;
}

struct survey
{
  struct cp_room_view *view;
  struct cp_room_request request;
};

static void
add_server (void *context, const struct cp_server *server)
{
  struct survey *survey = context;

  cp_room_view_add (survey->view, server, &survey->request);
}

/* Records in CALL what the reports say now of the servers that it may be sent
   to.  */
static void
survey_room (struct mesh_call *call, uint64_t now)
{
  const struct mesh_outbound *outbound = call->outbound;
  const struct cp_server_request request = { .service = call->service,
                                             .now_us = now,
                                             .regions = call->route->regions };
  struct survey survey = {
    .view = &call->room,
    .request
    = { .now_us = now,
        .work_us = mesh_call_expected_work (call),
        .wait_us = (uint64_t)(WAIT_SHARE * (double)call->route->objective_us),
        .priority = call_priority (call) },
  };

  call->room = (struct cp_room_view){ 0 };
  cp_server_pool_for_each_candidate (outbound->pool, &request, add_server,
                                     &survey);
}

static struct cp_service_room *
service_room (struct mesh_outbound *outbound, const char *service)
{
  struct cp_service_room *room
      = g_hash_table_lookup (outbound->rooms, service);

  if (room == NULL)
    {
      room = g_new0 (struct cp_service_room, 1);
      g_hash_table_insert (outbound->rooms, g_strdup (service), room);
    }
  return room;
}

bool
mesh_call_may_enter (struct mesh_call *call)
{
  struct mesh_outbound *outbound = call->outbound;
  uint64_t now = now_us ();

  survey_room (call, now);
  if (call->nested)
    return true;
  switch (cp_service_room_check (service_room (outbound, call->service),
                                 &call->room, now, outbound->random))
    {
    case CP_ROOM_REFUSE:
      outbound->counts.no_room++;
      return false;
    case CP_ROOM_PROBE:
      outbound->counts.room_probes++;
      return true;
    default:
      return true;
    }
}

uint64_t
mesh_call_retry_after_us (struct mesh_call *call)
{
  uint64_t now = now_us ();
  struct cp_refused_request request
      = { .left_us = call->deadline_us - MIN (call->deadline_us, now),
          .work_us = mesh_call_expected_work (call),
          .priority = call_priority (call) };

  survey_room (call, now);
  request.room_us = cp_room_view_wait_us (&call->room);
  return cp_retry_after_us (&request, call->outbound->random);
}

/* Log lines of calls.  */
#include "lib/cleanup.h"
#include "meshd/log.h"
#include "meshd/outbound_internal.h"

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

/* Returns the attempts of CALL as a JSON list.  The caller frees it.  */
static char *
trials_text (const struct mesh_call *call)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = 0; i < call->n_tried; i++)
    {
      const struct mesh_trial *trial = &call->trials[i];

      g_string_append_printf (
          text,
          "%s{\"server\":\"%s\",\"stream\":%" G_GUINT64_FORMAT
          ",\"after_us\":%" G_GUINT64_FORMAT ",\"busy\":%u,\"limit\":%u,"
          "\"slowness\":%u,\"report_age_us\":%" G_GUINT64_FORMAT
          ",\"cold_ms\":%" G_GUINT64_FORMAT ",\"end\":\"%s\"}",
          i == 0 ? "" : ",", call->tried[i]->instance, trial->stream,
          trial->sent_us - MIN (trial->sent_us, call->began_us), trial->busy,
          trial->limit, trial->slowness_percent, trial->report_age_us,
          trial->cold_us / CP_US_PER_MS, mesh_reason_names[trial->end]);
    }
  return g_string_free (text, FALSE);
}

/* Returns what was known of the room at the servers as a JSON object.  The
   caller frees it.  */
static char *
room_text (const struct cp_room_view *room)
{
  return g_strdup_printf (
      "{\"servers\":%u,\"slot\":%u,\"queue\":%u,\"unknown\":%u,"
      "\"age_us\":%" G_GUINT64_FORMAT ",\"wait_us\":%" G_GUINT64_FORMAT "}",
      room->servers, room->with_slot, room->with_queue, room->unknown,
      room->age_us, cp_room_view_wait_us (room));
}

/* Logs a failed call with all its attempts, so that the cause can be
   determined even if other lines were suppressed.  */
void
mesh_call_log_failed (const struct mesh_call *call, unsigned status)
{
  CP_AUTO_FREE char *trials = NULL;
  CP_AUTO_FREE char *room = NULL;
  char id[128];

  if (!mesh_log_allowed (MESH_LOG_FAILED))
    return;
  trials = trials_text (call);
  room = room_text (&call->room);
  mesh_log (
      MESH_LOG_FAILED,
      "\"request\":\"%s\",\"status\":%u,\"reason\":\"%s\",\"route\":\"%s\","
      "\"service\":\"%s\",\"config\":%" G_GUINT64_FORMAT
      ",\"tried\":%u,\"sent\":%u,\"may_have_run\":%s,\"took_us\":"
      "%" G_GUINT64_FORMAT ",\"left_us\":%" G_GUINT64_FORMAT
      ",\"retry_us\":%" G_GUINT64_FORMAT ",\"room\":%s,\"trials\":[%s]",
      mesh_log_sanitize (call->request_id, id, sizeof id), status,
      mesh_reason_names[call->reason], call->route->name, call->service,
      call->table->version, call->n_tried, call->n_sent,
      call->may_have_run ? "true" : "false", now_us () - call->began_us,
      call->deadline_us - MIN (call->deadline_us, now_us ()), call->retry_us,
      room, trials);
}

void
mesh_call_record_trial (struct mesh_call *call,
                        const struct mesh_attempt *attempt)
{
  const struct cp_server *server = attempt->server;

  call->trials[call->n_tried] = (struct mesh_trial){
    .stream = attempt->stream,
    .sent_us = attempt->sent_us,
    .report_age_us
    = server->load_us == 0 ? 0 : attempt->sent_us - server->load_us,
    .busy = server->load.running + server->load.queued + server->sent_since,
    .limit = server->load.limit,
    .slowness_percent = server->load.slowness_percent,
    .cold_us = server->load.cold_us,
  };
}

void
mesh_call_record_end (const struct mesh_attempt *attempt,
                      enum mesh_reason reason)
{
  struct mesh_call *call = attempt->call;
  bool link_failed = reason == MESH_REASON_LINK_LOST
                     || reason == MESH_REASON_RESTARTED
                     || reason == MESH_REASON_UNKNOWN_ATTEMPT
                     || reason == MESH_REASON_DELAYED;

  for (unsigned i = 0; i < call->n_tried; i++)
    if (call->trials[i].stream == attempt->stream)
      {
        call->trials[i].end = reason;
        call->trials[i].link_failed = link_failed;
      }
}

void
mesh_call_log_send (const struct mesh_call *call,
                    const struct mesh_attempt *attempt)
{
  const struct mesh_trial *trial = &call->trials[call->n_tried - 1];
  char id[128];

  if (!mesh_log_allowed (MESH_LOG_SEND))
    return;
  mesh_log (
      MESH_LOG_SEND,
      "\"request\":\"%s\",\"stream\":%" G_GUINT64_FORMAT
      ",\"server\":\"%s\",\"service\":\"%s\",\"config\":%" G_GUINT64_FORMAT
      ",\"busy\":%u,\"limit\":%u,\"slowness\":%u,\"report_age_us\":"
      "%" G_GUINT64_FORMAT ",\"cold_ms\":%" G_GUINT64_FORMAT
      ",\"own\":%u,\"failures\":%.2f,\"tried\":%u",
      mesh_log_sanitize (call->request_id, id, sizeof id), attempt->stream,
      attempt->server->instance, call->service, call->table->version,
      trial->busy, trial->limit, trial->slowness_percent, trial->report_age_us,
      trial->cold_us / CP_US_PER_MS, attempt->server->own_in_flight,
      attempt->server->failures, call->n_tried);
}

void
mesh_call_log_next_attempt (const struct mesh_call *call)
{
  char id[128];

  if (mesh_log_allowed (MESH_LOG_AGAIN))
    mesh_log (MESH_LOG_AGAIN,
              "\"request\":\"%s\",\"reason\":\"%s\",\"tried\":%u,\"sent\":%u,"
              "\"server\":\"%s\"",
              mesh_log_sanitize (call->request_id, id, sizeof id),
              mesh_reason_names[call->reason], call->n_tried, call->n_sent,
              call->tried[call->n_tried - 1]->instance);
}

void
mesh_call_log_no_retry (const struct mesh_call *call, const char *reason)
{
  char id[128];

  if (mesh_log_allowed (MESH_LOG_NO_RETRY))
    mesh_log (MESH_LOG_NO_RETRY,
              "\"request\":\"%s\",\"service\":\"%s\",\"reason\":\"%s\","
              "\"of_repeat\":%s,\"sent\":%u",
              mesh_log_sanitize (call->request_id, id, sizeof id),
              call->service, reason, call->parent.repeat ? "true" : "false",
              call->n_sent);
}

void
mesh_call_log_answer (const struct mesh_call *call, unsigned status,
                      uint64_t took_us)
{
  char id[128];

  if (mesh_log_allowed (MESH_LOG_ANSWER))
    mesh_log (MESH_LOG_ANSWER,
              "\"request\":\"%s\",\"status\":%u,\"tried\":%u,\"took_us\":"
              "%" G_GUINT64_FORMAT,
              mesh_log_sanitize (call->request_id, id, sizeof id), status,
              call->n_tried, took_us);
}

void
mesh_call_log_abandoned (const struct mesh_call *call)
{
  char id[128];

  if (mesh_log_allowed (MESH_LOG_ABANDONED))
    mesh_log (MESH_LOG_ABANDONED,
              "\"request\":\"%s\",\"tried\":%u,\"took_us\":%" G_GUINT64_FORMAT,
              mesh_log_sanitize (call->request_id, id, sizeof id),
              call->n_tried, now_us () - call->began_us);
}

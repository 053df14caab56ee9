/* The inbound side's connections to the server beside this daemon.  */
#include <stdlib.h>
#include <string.h>

#include "meshd/inbound_internal.h"
#include "meshd/log.h"
#include "platform/headers.h"

#define HEAD_BYTES_MAX 65536
#define ANSWER_BYTES_MAX (64U << 20)

/* Idle time that is trusted of a server that does not say its own.  */
#define KEEP_UNKNOWN_US UINT64_C (4000000)

/* Share of a server's idle time for which a connection is used; the rest
   covers the way of the close.  */
#define KEEP_SHARE 0.8

/* Time between probes of a server that takes no connection.  */
#define PROBE_DOWN_US UINT64_C (300000)

/* A server that has said nothing for this long is asked how slow its machine
   is; that changes about each 300 ms (site files).  */
#define PROBE_QUIET_US UINT64_C (50000)

/* A server that has had no job for this long is not probed.  */
#define PROBE_USED_US UINT64_C (5000000)

#define PROBE_TIMEOUT_US UINT64_C (1000000)

#define SERVICE_WEIGHT 0.1 /* of one answer in the moving means */

struct mesh_connection
{
  struct net_client client;
  struct cds_list_head all;  /* until it is released */
  struct cds_list_head node; /* while idle */
  struct mesh_inbound *inbound;
  struct mesh_job *job;
  bool probe;
  bool idle;
  uint64_t idle_us;
  uint64_t keep_us;
};

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

static void
leave_idle (struct mesh_connection *connection)
{
  if (!connection->idle)
    return;
  connection->idle = false;
  cds_list_del (&connection->node);
}

static void
connection_close (struct mesh_connection *connection)
{
  leave_idle (connection);
  if (connection->probe)
    connection->inbound->probing = false;
  connection->probe = false;
  net_client_close (&connection->client);
}

/* Keeps CONNECTION for the next job, or closes it.  */
static void
connection_release (struct mesh_connection *connection, bool closes)
{
  if (closes || !connection->client.reusable
      || net_client_is_writing (&connection->client))
    {
      connection_close (connection);
      return;
    }
  connection->idle = true;
  connection->idle_us = now_us ();
  cds_list_add (&connection->node, &connection->inbound->idle);
}

static void
write_job (struct mesh_connection *connection)
{
  struct mesh_job *job = connection->job;
  GByteArray *request = g_byte_array_sized_new (job->body->len + 1024);
  GString *head = g_string_new (job->head);
  uint64_t now = now_us ();
  uint64_t left_us = job->deadline_us > now ? job->deadline_us - now : 1000;
  bool bodiless = g_str_has_prefix (job->head, "HEAD ");
  bool framed = job->body->len > 0 || g_str_has_prefix (job->head, "POST ")
                || g_str_has_prefix (job->head, "PUT ")
                || g_str_has_prefix (job->head, "PATCH ");

  platform_write_attempt (head, job->instance, left_us);
  if (framed)
    g_string_append_printf (head, "Content-Length: %u\r\n", job->body->len);
  g_string_append (head, "\r\n");
  g_byte_array_append (request, (const guint8 *)head->str, (guint)head->len);
  g_byte_array_append (request, job->body->data, job->body->len);
  g_string_free (head, TRUE);
  net_client_send (&connection->client, request, bodiless);
}

static void
write_probe (struct mesh_connection *connection)
{
  struct mesh_inbound *inbound = connection->inbound;
  GByteArray *request = g_byte_array_new ();
  char *text = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
                                inbound->health_path, inbound->server.text);

  inbound->counts.probes++;
  g_byte_array_append (request, (const guint8 *)text, (guint)strlen (text));
  g_free (text);
  net_client_send (&connection->client, request, false);
}

static void
on_connected (struct net_client *client)
{
  struct mesh_connection *connection = client->context;

  if (connection->job != NULL)
    write_job (connection);
  else if (connection->probe)
    write_probe (connection);
  else
    connection_release (connection, false);
}

static void
log_slowness (const struct mesh_inbound *inbound, unsigned percent)
{
  if (mesh_log_due (MESH_LOG_LOAD))
    mesh_log (MESH_LOG_LOAD,
              "\"server\":\"%s\",\"was\":%u,\"slowness\":%u,"
              "\"running\":%u,\"queued\":%u,\"limit\":%u",
              inbound->instance, inbound->slowness_percent, percent,
              inbound->gate.running, inbound->gate.queued,
              inbound->gate.limit);
}

static void
take_load (struct mesh_inbound *inbound, const struct platform_response *says)
{
  if (!says->has_load)
    return;
  inbound->slowness_us = now_us ();
  if (inbound->slowness_percent != says->slowness_percent)
    {
      log_slowness (inbound, says->slowness_percent);
      inbound->slowness_percent = says->slowness_percent;
      mesh_inbound_tell (inbound);
    }
  if (inbound->capacity == 0 && says->slots > 0)
    {
      inbound->capacity = says->slots;
      cp_gate_set_capacity (&inbound->gate, says->slots);
    }
}

/* Takes the time of JOB, whose answer is the server's, into the means.  */
static void
take_time (struct mesh_inbound *inbound, const struct mesh_job *job)
{
  double took_us = (double)(now_us () - job->started_us) * CP_SLOWNESS_USUAL
                   / inbound->slowness_percent;
  double pace
      = job->objective_us == 0 ? 0 : took_us / (double)job->objective_us;

  if (inbound->service_us <= 0)
    {
      inbound->service_us = took_us;
      inbound->pace = pace;
      return;
    }
  inbound->service_us += SERVICE_WEIGHT * (took_us - inbound->service_us);
  inbound->pace += SERVICE_WEIGHT * (pace - inbound->pace);
}

/* The server beside is not the instance that JOB is meant for.  */
static void
note_ended (struct mesh_inbound *inbound, const struct mesh_job *job)
{
  g_strlcpy (inbound->ended, job->instance, sizeof inbound->ended);
  inbound->ended_us = now_us ();
}

/* Ends JOB by what its answer says of itself.  */
static void
conclude (struct mesh_job *job, const struct net_message *answer,
          const struct platform_response *says)
{
  unsigned status = answer->parser.status_code;

  if (status == 421)
    {
      note_ended (job->inbound, job);
      mesh_job_refuse (job, MESH_REASON_OTHER_INSTANCE, true);
    }
  else if (says->not_run && status != 400)
    mesh_job_refuse (job, MESH_REASON_SERVER_FULL, true);
  else if (says->encoded)
    mesh_job_fail (job, MESH_REASON_GARBLED);
  else if (status >= 200 && status < 300 && !says->is_signed)
    mesh_job_fail (job, MESH_REASON_UNSIGNED);
  else
    mesh_job_answer (job, answer);
}

static void
probe_answered (struct mesh_connection *connection, unsigned status,
                bool closes)
{
  struct mesh_inbound *inbound = connection->inbound;

  inbound->probing = false;
  connection->probe = false;
  if (status == 200)
    inbound->refusals = 0;
  connection_release (connection, closes);
}

static bool
on_answered (struct net_client *client, const struct net_message *answer)
{
  struct mesh_connection *connection = client->context;
  struct mesh_inbound *inbound = connection->inbound;
  struct mesh_job *job = connection->job;
  struct platform_response says;

  platform_read_response (&says, &answer->headers);
  take_load (inbound, &says);
  if (says.keep_alive_us > 0)
    connection->keep_us = says.keep_alive_us;
  if (job == NULL)
    {
      probe_answered (connection, answer->parser.status_code, says.closes);
      return true;
    }
  if (says.request_id != NULL && job->request_id[0] != '\0'
      && strcmp (says.request_id, job->request_id) != 0)
    return false;
  connection->job = NULL;
  job->connection = NULL;
  inbound->refusals = 0;
  if (!says.not_run)
    take_time (inbound, job);
  connection_release (connection, says.closes);
  conclude (job, answer, &says);
  mesh_inbound_slot_free (inbound);
  return true;
}

static void
fail_job (struct mesh_job *job, enum net_failure failure)
{
  struct mesh_inbound *inbound = job->inbound;

  switch (failure)
    {
    case NET_FAILED_CONNECT:
      inbound->refusals++;
      mesh_job_refuse (job, MESH_REASON_NO_SERVER, false);
      break;
    case NET_FAILED_UNSENT:
      if (!job->again)
        {
          job->again = true;
          mesh_server_send (inbound, job);
          return;
        }
      mesh_job_refuse (job, MESH_REASON_NO_SERVER, false);
      break;
    case NET_FAILED_CUT:
      mesh_job_fail (job, MESH_REASON_CUT);
      break;
    case NET_FAILED_GARBLED:
    case NET_FAILED_TOO_LONG:
      mesh_job_fail (job, MESH_REASON_GARBLED);
      break;
    default:
      mesh_job_fail (job, MESH_REASON_CLOSED);
    }
  mesh_inbound_slot_free (inbound);
}

static void
on_failed (struct net_client *client, enum net_failure failure)
{
  struct mesh_connection *connection = client->context;
  struct mesh_inbound *inbound = connection->inbound;
  struct mesh_job *job = connection->job;

  if (connection->probe && failure == NET_FAILED_CONNECT)
    inbound->refusals++;
  connection->job = NULL;
  connection_close (connection);
  if (job != NULL)
    {
      job->connection = NULL;
      fail_job (job, failure);
    }
}

static void
on_released (struct net_client *client)
{
  struct mesh_connection *connection = client->context;

  cds_list_del (&connection->all);
  free (connection);
}

static const struct net_client_events client_events
    = { .connected = on_connected,
        .responded = on_answered,
        .failed = on_failed,
        .released = on_released };

/* Returns whether CONNECTION, which is idle, is likely to be open still.  */
static bool
is_fresh (const struct mesh_connection *connection, uint64_t now)
{
  uint64_t keep_us
      = connection->keep_us > 0 ? connection->keep_us : KEEP_UNKNOWN_US;

  return now - connection->idle_us < (uint64_t)(KEEP_SHARE * (double)keep_us);
}

/* Returns the connection that was used last, or a new one.  */
static struct mesh_connection *
take_connection (struct mesh_inbound *inbound, bool fresh)
{
  struct mesh_connection *connection;
  uint64_t now = now_us ();

  while (!fresh && !cds_list_empty (&inbound->idle))
    {
      connection = cds_list_first_entry (&inbound->idle,
                                         struct mesh_connection, node);
      if (is_fresh (connection, now))
        {
          leave_idle (connection);
          return connection;
        }
      connection_close (connection);
    }
  connection = g_new0 (struct mesh_connection, 1);
  connection->inbound = inbound;
  cds_list_add (&connection->all, &inbound->connections);
  inbound->counts.connections++;
  return connection;
}

/* Sends what CONNECTION was taken for.  */
static void
use_connection (struct mesh_connection *connection)
{
  static const struct net_limits limits = { HEAD_BYTES_MAX, ANSWER_BYTES_MAX };
  struct mesh_inbound *inbound = connection->inbound;

  if (connection->client.is_connected)
    on_connected (&connection->client);
  else
    net_client_connect (&connection->client, inbound->loop, &inbound->server,
                        &limits, &client_events, connection);
}

void
mesh_server_send (struct mesh_inbound *inbound, struct mesh_job *job)
{
  struct mesh_connection *connection = take_connection (inbound, job->again);

  connection->job = job;
  job->connection = connection;
  use_connection (connection);
}

void
mesh_server_abort (struct mesh_job *job, enum mesh_reason reason)
{
  struct mesh_inbound *inbound = job->inbound;
  struct mesh_connection *connection = job->connection;

  job->connection = NULL;
  connection->job = NULL;
  connection_close (connection);
  mesh_job_fail (job, reason);
  mesh_inbound_slot_free (inbound);
}

/* Returns how long to wait between probes now; 0 for no probe.  */
static uint64_t
probe_pause (const struct mesh_inbound *inbound, uint64_t now)
{
  if (inbound->refusals >= MESH_REFUSALS_MAX)
    return PROBE_DOWN_US;
  if (now - inbound->used_us > PROBE_USED_US
      || now - inbound->slowness_us < PROBE_QUIET_US)
    return 0;
  return PROBE_QUIET_US;
}

static void
probe (struct mesh_inbound *inbound, uint64_t now)
{
  struct mesh_connection *connection;
  uint64_t pause_us = probe_pause (inbound, now);

  if (inbound->server.length == 0 || inbound->health_path[0] == '\0'
      || pause_us == 0 || now - inbound->probe_us < pause_us)
    return;
  if (inbound->probing && now - inbound->probe_us < PROBE_TIMEOUT_US)
    return;
  inbound->probe_us = now;
  inbound->probing = true;
  connection = take_connection (inbound, false);
  connection->probe = true;
  use_connection (connection);
}

void
mesh_server_tick (struct mesh_inbound *inbound, uint64_t now)
{
  struct mesh_connection *connection;
  struct mesh_connection *next;

  cds_list_for_each_entry_safe (connection, next, &inbound->idle,
                                node) if (!is_fresh (connection, now))
      connection_close (connection);
  probe (inbound, now);
}

void
mesh_server_forget (struct mesh_inbound *inbound)
{
  struct mesh_connection *connection;
  struct mesh_connection *next;

  cds_list_for_each_entry_safe (connection, next, &inbound->idle, node)
      connection_close (connection);
}

void
mesh_server_close_all (struct mesh_inbound *inbound)
{
  struct mesh_connection *connection;
  struct mesh_connection *next;

  cds_list_for_each_entry_safe (connection, next, &inbound->connections, all)
      connection_close (connection);
}

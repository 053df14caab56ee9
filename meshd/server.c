/* Connections of the inbound side to the local server.  */
#include <stdlib.h>
#include <string.h>

#include "meshd/inbound_internal.h"
#include "meshd/log.h"
#include "net/turns.h"
#include "platform/headers.h"

#define HEAD_BYTES_MAX 65536
#define ANSWER_BYTES_MAX (64U << 20)

/* Idle timeout assumed for a server that does not announce one.  */
#define IDLE_TIMEOUT_DEFAULT_US UINT64_C (4000000)

/* Share of the server's idle timeout for which a connection is reused.  The
   rest covers the time that the server's close takes to arrive.  */
#define IDLE_TIMEOUT_SHARE 0.8

/* Minimum time between checks whether the server is reachable.  */
#define CHECK_INTERVAL_US UINT64_C (100000)

/* Minimum time between a probe and one that is to show whether the server has
   ended.  All requests at a server that ends are cut off within a fraction of
   it.  */
#define PROBE_END_INTERVAL_US UINT64_C (10000)

#define PROBE_TIMEOUT_US UINT64_C (1000000)

#define SERVICE_WEIGHT 0.1 /* weight of one answer in the moving averages */

struct mesh_connection
{
  struct net_client client;
  struct cds_list_head all_node;  /* in all connections */
  struct cds_list_head idle_node; /* in the idle connections */
  struct mesh_inbound *inbound;
  struct mesh_job *job;
  unsigned server_number; /* of the server it was opened to */
  bool idle;
  bool held; /* the job is sent when the event loop is no longer behind */
  uint64_t idle_us;
  uint64_t idle_timeout_us;
};

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

static void
remove_from_idle (struct mesh_connection *connection)
{
  if (!connection->idle)
    return;
  connection->idle = false;
  cds_list_del (&connection->idle_node);
}

/* Returns whether a health check is under way on CONNECTION.  */
static bool
is_probe (const struct mesh_connection *connection)
{
  return connection->inbound->probe == connection;
}

static void
connection_close (struct mesh_connection *connection)
{
  remove_from_idle (connection);
  if (is_probe (connection))
    connection->inbound->probe = NULL;
  net_client_close (&connection->client);
}

static void
connection_keep (struct mesh_connection *connection)
{
  connection->idle = true;
  connection->idle_us = now_us ();
  cds_list_add (&connection->idle_node, &connection->inbound->idle);
}

/* Makes CONNECTION idle, or closes it if it cannot be reused.  */
static void
connection_release (struct mesh_connection *connection, bool closes)
{
  if (closes || !connection->client.reusable
      || connection->server_number != connection->inbound->server_number
      || net_client_is_writing (&connection->client))
    {
      connection_close (connection);
      return;
    }
  connection_keep (connection);
}

/* Returns the time until which the server may work on JOB.  */
static uint64_t
work_until (const struct mesh_job *job)
{
  const struct cp_stop_plan *stop = job->inbound->stop;

  return stop == NULL ? job->deadline_us
                      : MIN (job->deadline_us, stop->work_until_us);
}

static void
write_job (struct mesh_connection *connection)
{
  struct mesh_job *job = connection->job;
  GByteArray *request = g_byte_array_sized_new (job->body->len + 1024);
  GString *head = g_string_new (job->head);
  uint64_t now = now_us ();
  uint64_t until_us = work_until (job);
  uint64_t left_us = until_us > now ? until_us - now : 1000;
  bool is_head_request = g_str_has_prefix (job->head, "HEAD ");
  bool has_length = job->body->len > 0 || g_str_has_prefix (job->head, "POST ")
                    || g_str_has_prefix (job->head, "PUT ")
                    || g_str_has_prefix (job->head, "PATCH ");

  platform_write_attempt (head, job->instance, left_us);
  if (has_length)
    g_string_append_printf (head, "Content-Length: %u\r\n", job->body->len);
  g_string_append (head, "\r\n");
  g_byte_array_append (request, (const guint8 *)head->str, (guint)head->len);
  g_byte_array_append (request, job->body->data, job->body->len);
  g_string_free (head, TRUE);
  net_client_send (&connection->client, request, is_head_request);
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

/* Refuses the job of CONNECTION, which the server has not received.  */
static void
refuse_unsent (struct mesh_connection *connection, enum mesh_reason reason)
{
  struct mesh_inbound *inbound = connection->inbound;
  struct mesh_job *job = connection->job;

  connection->job = NULL;
  job->connection = NULL;
  connection_release (connection, false);
  mesh_job_refuse (job, reason, false);
  mesh_inbound_release_slot (inbound);
}

/* Sends the job of CONNECTION, unless that is no longer allowed: connecting
   may have taken long.  */
static void
send_job (struct mesh_connection *connection)
{
  enum mesh_reason reason = mesh_job_check (connection->job);

  if (reason == MESH_REASON_NONE)
    write_job (connection);
  else
    refuse_unsent (connection, reason);
}

static void
on_connected (struct net_client *client)
{
  struct mesh_connection *connection = client->context;
  struct mesh_inbound *inbound = connection->inbound;

  if (connection->server_number == inbound->server_number)
    mesh_server_record_reached (inbound);
  if (connection->job != NULL && net_turns_is_behind (inbound->loop))
    connection->held = true;
  else if (connection->job != NULL)
    send_job (connection);
  else if (is_probe (connection) && inbound->health_path[0] != '\0')
    write_probe (connection);
  else
    {
      inbound->probe = is_probe (connection) ? NULL : inbound->probe;
      connection_keep (connection);
    }
}

/* Adds the service time of JOB, which the server answered, to the moving
   averages.  */
static void
update_service_time (struct mesh_inbound *inbound, const struct mesh_job *job)
{
  double took_us = (double)(now_us () - job->started_us)
                   * CP_SLOWNESS_NORMAL_PERCENT / inbound->slowness_percent;
  double pace
      = job->objective_us == 0 ? 0 : took_us / (double)job->objective_us;

  cp_service_times_add (&inbound->service_times, job->priority,
                        job->objective_us, took_us, now_us ());
  if (inbound->service_us <= 0)
    {
      inbound->service_us = took_us;
      inbound->pace = pace;
      return;
    }
  inbound->service_us += SERVICE_WEIGHT * (took_us - inbound->service_us);
  inbound->pace += SERVICE_WEIGHT * (pace - inbound->pace);
}

/* Records that the local server is not the instance that JOB is for.  */
static void
record_ended_instance (struct mesh_inbound *inbound,
                       const struct mesh_job *job)
{
  g_strlcpy (inbound->ended_instance, job->instance,
             sizeof inbound->ended_instance);
  inbound->ended_instance_us = now_us ();
}

/* Ends JOB according to the status and headers of ANSWER.  */
static void
finish_job (struct mesh_job *job, const struct net_message *answer,
            const struct platform_response *headers)
{
  unsigned status = answer->parser.status_code;

  if (status == 421)
    {
      record_ended_instance (job->inbound, job);
      mesh_job_refuse (job, MESH_REASON_OTHER_INSTANCE, true);
    }
  else if (headers->not_run && status != 400)
    mesh_job_refuse (job, MESH_REASON_SERVER_FULL, true);
  else if (headers->encoded)
    mesh_job_fail (job, MESH_REASON_GARBLED);
  else if (status >= 200 && status < 300 && !headers->is_signed)
    mesh_job_fail (job, MESH_REASON_UNSIGNED);
  else
    {
      if (status < 500)
        mesh_suspects_clear (job->inbound->suspects, job->digest);
      mesh_job_answer (job, answer);
    }
}

static void
probe_answered (struct mesh_connection *connection, unsigned status,
                bool closes)
{
  struct mesh_inbound *inbound = connection->inbound;

  inbound->probe = NULL;
  if (status == 200)
    {
      inbound->connect_refusals = 0;
      mesh_server_record_alive (inbound, inbound->last_probe_us);
    }
  connection_release (connection, closes);
}

/* Takes in what the server says of itself, unless the answer is from another
   one at the same address: an earlier one, or one that denies its instance. */
static void
receive_notices (const struct mesh_connection *connection,
                 const struct platform_response *headers, uint64_t sent_us,
                 unsigned status)
{
  struct mesh_inbound *inbound = connection->inbound;

  if (connection->server_number == inbound->server_number && status != 421)
    mesh_inbound_receive_notices (inbound, headers, sent_us);
}

/* Returns whether an answer with HEADERS may be the one to JOB, or to a health
   check if JOB is NULL.  One that names another request belongs to that.  */
static bool
may_be_for (const struct mesh_job *job,
            const struct platform_response *headers)
{
  const char *id = job == NULL ? "" : job->request_id;

  return headers->request_id == NULL || strcmp (headers->request_id, id) == 0;
}

static bool
on_answered (struct net_client *client, const struct net_message *answer)
{
  struct mesh_connection *connection = client->context;
  struct mesh_inbound *inbound = connection->inbound;
  struct mesh_job *job = connection->job;
  unsigned status = answer->parser.status_code;
  struct platform_response headers;

  platform_read_response (&headers, &answer->headers);
  if (headers.keep_alive_us > 0)
    connection->idle_timeout_us = headers.keep_alive_us;
  if (!may_be_for (job, &headers))
    return false;
  if (job == NULL)
    {
      receive_notices (connection, &headers, inbound->last_probe_us, status);
      if (connection->server_number == inbound->server_number && status != 421)
        mesh_warm_up_receive (inbound, &headers, status);
      probe_answered (connection, status, headers.closes);
      return true;
    }
  receive_notices (connection, &headers, job->started_us, status);
  connection->job = NULL;
  job->connection = NULL;
  inbound->connect_refusals = 0;
  /* Servers name the request in every answer.  One that names none may belong
     to an earlier request, so it proves nothing of this one.  */
  if (headers.request_id == NULL && job->request_id[0] != '\0')
    {
      connection_close (connection);
      mesh_job_fail (job, MESH_REASON_GARBLED);
      mesh_inbound_release_slot (inbound);
      return true;
    }
  if (!headers.not_run)
    update_service_time (inbound, job);
  connection_release (connection, headers.closes);
  finish_job (job, answer, &headers);
  mesh_inbound_release_slot (inbound);
  return true;
}

static void
fail_job (struct mesh_job *job, enum net_failure failure)
{
  struct mesh_inbound *inbound = job->inbound;

  switch (failure)
    {
    case NET_FAILED_CONNECT:
      mesh_server_record_refused_connection (inbound);
      mesh_job_refuse (job, MESH_REASON_NO_SERVER, false);
      break;
    case NET_FAILED_UNSENT:
      if (inbound->evacuated)
        {
          mesh_job_refuse (job, MESH_REASON_EVACUATED, false);
          break;
        }
      if (!job->resent)
        {
          job->resent = true;
          mesh_server_send (inbound, job);
          return;
        }
      mesh_job_refuse (job, MESH_REASON_NO_SERVER, false);
      break;
    case NET_FAILED_CUT:
      mesh_server_record_cut (inbound, job);
      mesh_job_fail (job, MESH_REASON_CUT);
      break;
    case NET_FAILED_GARBLED:
    case NET_FAILED_TOO_LONG:
      mesh_job_fail (job, MESH_REASON_GARBLED);
      break;
    default:
      mesh_server_record_cut (inbound, job);
      mesh_job_fail (job, MESH_REASON_CLOSED);
    }
  mesh_inbound_release_slot (inbound);
}

/* Checks whether the server is reachable, if that is due, at most once in each
   interval: a server may close every connection at once.  */
static void
check_if_wanted (struct mesh_inbound *inbound, uint64_t now)
{
  if (inbound->check_wanted
      && now - inbound->last_check_us >= CHECK_INTERVAL_US)
    mesh_server_check_reachable (inbound);
}

static void
on_failed (struct net_client *client, enum net_failure failure)
{
  struct mesh_connection *connection = client->context;
  struct mesh_inbound *inbound = connection->inbound;
  struct mesh_job *job = connection->job;

  bool was_idle = connection->idle;

  if (is_probe (connection) && failure == NET_FAILED_CONNECT)
    mesh_server_record_refused_connection (inbound);
  connection->job = NULL;
  connection_close (connection);
  /* A server that ends closes its idle connections as well.  */
  if (was_idle)
    {
      inbound->check_wanted = true;
      check_if_wanted (inbound, now_us ());
    }
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

  cds_list_del (&connection->all_node);
  free (connection);
}

static const struct net_client_events client_events
    = { .connected = on_connected,
        .responded = on_answered,
        .failed = on_failed,
        .released = on_released };

/* Returns whether CONNECTION, which is idle, is probably still open on the
   server's side.  */
static bool
is_likely_open (const struct mesh_connection *connection, uint64_t now)
{
  uint64_t timeout_us = connection->idle_timeout_us > 0
                            ? connection->idle_timeout_us
                            : IDLE_TIMEOUT_DEFAULT_US;

  return now - connection->idle_us
         < (uint64_t)(IDLE_TIMEOUT_SHARE * (double)timeout_us);
}

/* Returns the most recently used idle connection that is likely to be open, or
   a new connection.  FORCE_NEW skips the idle ones.  */
static struct mesh_connection *
get_connection (struct mesh_inbound *inbound, bool force_new)
{
  struct mesh_connection *connection;
  uint64_t now = now_us ();

  while (!force_new && !cds_list_empty (&inbound->idle))
    {
      connection = cds_list_first_entry (&inbound->idle,
                                         struct mesh_connection, idle_node);
      if (is_likely_open (connection, now))
        {
          remove_from_idle (connection);
          return connection;
        }
      connection_close (connection);
    }
  connection = g_new0 (struct mesh_connection, 1);
  connection->inbound = inbound;
  connection->server_number = inbound->server_number;
  cds_list_add (&connection->all_node, &inbound->connections);
  inbound->counts.connections++;
  return connection;
}

/* Sends the job or probe of CONNECTION, after connecting if necessary.  */
static void
start_request (struct mesh_connection *connection)
{
  struct mesh_inbound *inbound = connection->inbound;
  struct net_limits limits
      = { HEAD_BYTES_MAX, ANSWER_BYTES_MAX, &inbound->answer_budget };

  if (connection->client.is_connected)
    on_connected (&connection->client);
  else
    net_client_connect (&connection->client, inbound->loop, &inbound->server,
                        &limits, &client_events, connection);
}

/* Returns whether JOB needs a connection that has carried no request yet.  A
   server may write an answer twice, the second time much later.  Only the
   request ID tells whose it is, and all attempts of a request have the same:
   on a connection that has carried an earlier one, such a copy would count as
   the answer to the next.  The same holds for requests without an ID.  */
static bool
needs_new_connection (struct mesh_inbound *inbound, const struct mesh_job *job)
{
  return job->resent || job->request_id[0] == '\0'
         || cp_recent_ids_add (&inbound->sent_ids, job->request_id, now_us ());
}

/* Closes the idle connection that has not been used for the longest time, if
   there is one.  */
static void
close_oldest_idle (struct mesh_inbound *inbound)
{
  if (!cds_list_empty (&inbound->idle))
    connection_close (cds_list_entry (inbound->idle.prev,
                                      struct mesh_connection, idle_node));
}

void
mesh_server_send (struct mesh_inbound *inbound, struct mesh_job *job)
{
  bool needs_new = needs_new_connection (inbound, job);
  struct mesh_connection *connection = get_connection (inbound, needs_new);

  /* The new connection takes the place of one that is kept, since servers
     accept a limited number.  */
  if (needs_new)
    close_oldest_idle (inbound);
  connection->job = job;
  job->connection = connection;
  start_request (connection);
}

void
mesh_server_settle (struct mesh_inbound *inbound)
{
  struct mesh_connection *connection;
  struct mesh_connection *next;

  /* A connection stays in the list until the event loop comes round.  */
  cds_list_for_each_entry_safe (connection, next, &inbound->connections,
                                all_node)
  {
    if (!connection->held)
      continue;
    connection->held = false;
    if (connection->job != NULL)
      send_job (connection);
  }
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
  mesh_inbound_release_slot (inbound);
}

/* Sends a probe.  FORCE_NEW sends it on a new connection.  */
static void
send_probe (struct mesh_inbound *inbound, bool force_new)
{
  inbound->last_probe_us = now_us ();
  inbound->probe = get_connection (inbound, force_new);
  start_request (inbound->probe);
}

/* Without a health path, a server that is down is probed by connecting.  */
static bool
can_be_probed (const struct mesh_inbound *inbound)
{
  return inbound->server.length != 0 && !inbound->evacuated
         && (inbound->health_path[0] != '\0' || !inbound->reached);
}

static void
probe (struct mesh_inbound *inbound, uint64_t now)
{
  uint64_t pause_us = mesh_probe_interval_us (inbound, now);

  if (!can_be_probed (inbound) || pause_us == 0
      || now - inbound->last_probe_us < pause_us)
    return;
  if (inbound->probe != NULL)
    {
      if (now - inbound->last_probe_us < PROBE_TIMEOUT_US)
        return;
      connection_close (inbound->probe);
    }
  send_probe (inbound, false);
}

void
mesh_server_probe_end (struct mesh_inbound *inbound)
{
  if (!can_be_probed (inbound)
      || now_us () - inbound->last_probe_us < PROBE_END_INTERVAL_US)
    return;
  if (inbound->probe != NULL)
    connection_close (inbound->probe);
  send_probe (inbound, true);
}

void
mesh_server_check_reachable (struct mesh_inbound *inbound)
{
  if (inbound->server.length == 0 || inbound->probe != NULL)
    return;
  inbound->check_wanted = false;
  inbound->last_check_us = now_us ();
  inbound->probe = get_connection (inbound, true);
  start_request (inbound->probe);
}

void
mesh_server_tick (struct mesh_inbound *inbound, uint64_t now)
{
  struct mesh_connection *connection;
  struct mesh_connection *next;

  cds_list_for_each_entry_safe (
      connection, next, &inbound->idle,
      idle_node) if (!is_likely_open (connection, now))
      connection_close (connection);
  probe (inbound, now);
  check_if_wanted (inbound, now);
}

void
mesh_server_close_idle (struct mesh_inbound *inbound)
{
  struct mesh_connection *connection;
  struct mesh_connection *next;

  cds_list_for_each_entry_safe (connection, next, &inbound->idle, idle_node)
      connection_close (connection);
}

void
mesh_server_close_all (struct mesh_inbound *inbound)
{
  struct mesh_connection *connection;
  struct mesh_connection *next;

  cds_list_for_each_entry_safe (connection, next, &inbound->connections,
                                all_node) connection_close (connection);
}

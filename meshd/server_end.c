/* Finds out that the local server has ended while it ran requests.

   A server that ends closes all its connections at once, and new ones are
   refused.  A connection that closes under a request is followed by a health
   check on a new connection, unless the server has no health path; then the
   next request shows it.  */
#include <inttypes.h>
#include <string.h>
#include <xxhash.h>

#include "meshd/inbound_internal.h"
#include "meshd/log.h"

/* Maximum time between the close of a connection and the refusal of another
   one for both to be taken for the end of the server.  A server is back after
   some seconds.  */
#define END_PROOF_US UINT64_C (1000000)

/* Maximum number of requests that are remembered as cut off.  More than a
   server runs.  */
#define CUT_JOBS_MAX 256

static uint64_t
now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

void
mesh_server_record_cut (struct mesh_inbound *inbound,
                        const struct mesh_job *job)
{
  struct mesh_cut_job cut = {
    .digest = job->digest,
    .cut_us = now_us (),
    .server_end = XXH3_64bits_withSeed (job->instance, strlen (job->instance),
                                        inbound->born_ms),
  };

  if (inbound->cut_jobs->len >= CUT_JOBS_MAX)
    g_array_remove_index (inbound->cut_jobs, 0);
  g_strlcpy (cut.request_id, job->request_id, sizeof cut.request_id);
  g_array_append_val (inbound->cut_jobs, cut);
  mesh_server_probe_end (inbound);
}

static void
log_reached (const struct mesh_inbound *inbound)
{
  if (mesh_log_allowed (MESH_LOG_REACHED))
    mesh_log (MESH_LOG_REACHED, "\"server\":\"%s\",\"reached\":%s",
              inbound->instance, inbound->reached ? "true" : "false");
}

void
mesh_server_record_refused_connection (struct mesh_inbound *inbound)
{
  inbound->connect_refusals++;
  inbound->connect_refused_us = now_us ();
  if (!inbound->reached)
    return;
  inbound->reached = false;
  log_reached (inbound);
  mesh_inbound_report_load (inbound);
}

void
mesh_server_record_reached (struct mesh_inbound *inbound)
{
  inbound->connect_refusals = 0;
  if (inbound->reached)
    return;
  inbound->reached = true;
  log_reached (inbound);
  mesh_inbound_report_load (inbound);
}

void
mesh_server_record_alive (struct mesh_inbound *inbound, uint64_t sent_us)
{
  GArray *cuts = inbound->cut_jobs;

  for (guint i = cuts->len; i > 0; i--)
    if (g_array_index (cuts, struct mesh_cut_job, i - 1).cut_us < sent_us)
      g_array_remove_index (cuts, i - 1);
}

static void
log_end (const struct mesh_inbound *inbound, const struct mesh_cut_job *cut)
{
  char id[sizeof cut->request_id];

  if (mesh_log_allowed (MESH_LOG_SERVER_ENDED))
    mesh_log (MESH_LOG_SERVER_ENDED,
              "\"server\":\"%s\",\"request\":\"%s\",\"digest\":\"%016" PRIx64
              "\",\"running\":%u",
              inbound->instance,
              mesh_log_sanitize (cut->request_id, id, sizeof id), cut->digest,
              inbound->cut_jobs->len);
}

/* Blames the requests that ran at the end of one start of the server, the
   first of CUTS, and removes them from CUTS.  */
static void
blame_first_end (struct mesh_inbound *inbound, GArray *cuts)
{
  g_autoptr (GArray) digests = g_array_new (FALSE, FALSE, sizeof (uint64_t));
  uint64_t server_end
      = g_array_index (cuts, struct mesh_cut_job, 0).server_end;

  for (guint i = 0; i < cuts->len;)
    {
      const struct mesh_cut_job *cut
          = &g_array_index (cuts, struct mesh_cut_job, i);

      if (cut->server_end != server_end)
        {
          i++;
          continue;
        }
      log_end (inbound, cut);
      g_array_append_val (digests, cut->digest);
      g_array_remove_index (cuts, i);
    }
  mesh_suspects_blame (inbound->suspects, (const uint64_t *)digests->data,
                       digests->len, server_end);
}

void
mesh_server_check_end (struct mesh_inbound *inbound, uint64_t now)
{
  GArray *cuts = inbound->cut_jobs;

  if (cuts->len == 0)
    return;
  if (now - inbound->connect_refused_us < END_PROOF_US)
    {
      while (cuts->len > 0)
        blame_first_end (inbound, cuts);
      return;
    }
  while (cuts->len > 0
         && now - g_array_index (cuts, struct mesh_cut_job, 0).cut_us
                > END_PROOF_US)
    g_array_remove_index (cuts, 0);
}

#include <inttypes.h>

#include "cornelpickd/cornelpickd.h"

struct metric
{
  const char *name;
  const char *help;
};

static const struct metric descriptions[COUNT_END] = {
  [COUNT_CALLS] = { "calls_total", "Calls taken by the outbound side." },
  [COUNT_FORWARDED] = { "attempts_total", "Attempts sent to targets." },
  [COUNT_RAN] = { "outcome_ran_total", "Calls answered whole." },
  [COUNT_NOT_RUN] = { "outcome_not_run_total", "Calls proven not run." },
  [COUNT_UNKNOWN] = { "outcome_unknown_total", "Calls of unknown outcome." },
  [COUNT_RETRIES] = { "retries_total", "Attempts after the first." },
  [COUNT_HEDGES] = { "hedges_total", "Second attempts sent in parallel." },
  [COUNT_FENCES] = { "fences_total", "Fences asked for." },
  [COUNT_BAD_REQUESTS] = { "bad_requests_total", "Malformed requests." },
  [COUNT_NO_ROUTE] = { "no_route_total", "Calls that no route takes." },
  [COUNT_CUT_ANSWERS] = { "cut_answers_total", "Answers cut short." },
  [COUNT_CALLERS_GONE] = { "callers_gone_total", "Callers that left." },
  [COUNT_SILENT_CONNECTIONS]
  = { "silent_connections_total", "Connections that went silent." },
  [COUNT_REFUSED_PEERS]
  = { "refused_peer_total", "Forwarded calls from unknown addresses." },
  [COUNT_REFUSED_LEAVING]
  = { "refused_leaving_total", "Forwarded calls refused while leaving." },
  [COUNT_REFUSED_INCARNATION]
  = { "refused_incarnation_total", "Attempts meant for another incarnation." },
  [COUNT_REFUSED_DUPLICATE]
  = { "refused_duplicate_total", "Attempts seen before or fenced." },
  [COUNT_REFUSED_FULL]
  = { "refused_full_total", "Attempts refused for lack of room." },
  [COUNT_REFUSED_DEADLINE]
  = { "refused_deadline_total", "Attempts whose time had run out." },
  [COUNT_REFUSED_UNVERIFIED]
  = { "refused_unverified_total", "Attempts refused for an unverified view." },
  [COUNT_RPC_CALLS] = { "rpc_calls_total", "RPC calls served." },
  [COUNT_RPC_REFUSED] = { "rpc_refused_total", "RPC calls refused." },
  [COUNT_CONFIGURATION_READS]
  = { "configuration_reads_total", "Reads of the configuration service." },
  [COUNT_CONFIGURATION_ACCEPTED]
  = { "configuration_accepted_total", "Documents put in force." },
  [COUNT_CONFIGURATION_REFUSED]
  = { "configuration_refused_total", "Documents refused by the checks." },
  [COUNT_CONFIGURATION_OLDER]
  = { "configuration_older_total", "Documents refused as older." },
  [COUNT_PAUSES] = { "pauses_total", "Pauses of this process noticed." },
  [COUNT_LATE_STARTS]
  = { "late_starts_total", "Attempts started after their deadline." },
  [COUNT_MIXED_ANSWERS]
  = { "mixed_answers_total", "Answers dropped as those of other requests." },
  [COUNT_LEAVING_STARTS]
  = { "leaving_starts_total",
      "Attempts started later after the begin of the drain than allowed." },
  [COUNT_PROBES] = { "probes_total", "Readings of the target's pages." },
  [COUNT_PROBES_HUNG]
  = { "probes_hung_total", "Readings cut off at their time limit." },
  [COUNT_BUDGET_REFUSED]
  = { "budget_refused_total", "Readings that the budget refused." },
  [COUNT_QUERIES_REFUSED]
  = { "queries_refused_total", "Load queries that the budget refused." },
  [COUNT_LIST_READS] = { "list_reads_total", "Reads of the VM list." },
  [COUNT_DIGESTS_SENT] = { "digests_sent_total", "Digests sent to peers." },
  [COUNT_SECTIONS_FETCHED]
  = { "sections_fetched_total", "Sections taken from peers." },
  [COUNT_CONTROL_MESSAGES]
  = { "control_messages_total",
      "Messages for configuration and membership, both ways." },
  [COUNT_CONTROL_BYTES]
  = { "control_bytes_total",
      "Bytes of these messages with their headers, both ways." },
};

char *
metrics_text (struct daemon *daemon)
{
  GString *text = g_string_new (NULL);

  for (unsigned i = 0; i < COUNT_END; i++)
    g_string_append_printf (
        text,
        "# HELP cornelpick_%s %s\n# TYPE cornelpick_%s counter\n"
        "cornelpick_%s %" PRIu64 "\n",
        descriptions[i].name, descriptions[i].help, descriptions[i].name,
        descriptions[i].name, cp_counters_read (&daemon->counters, i));
  metrics_gauges (daemon, text);
  return g_string_free (text, FALSE);
}

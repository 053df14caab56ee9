#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "lib/load_report.h"

#define IN_FLIGHT_MAX 1000000
#define PERMILLE 1000

void
cp_load_report_format (const struct cp_load_report *report,
                       char text[CP_LOAD_REPORT_TEXT_BYTES])
{
  snprintf (text, CP_LOAD_REPORT_TEXT_BYTES,
            "inc=%016" PRIx64 " life=%s fl=%" PRIu32 " q=%" PRIu32
            " lim=%" PRIu32 " lat=%" PRIu64 " err=%" PRIu32 " age=%" PRIu64,
            report->incarnation, cp_daemon_state_names[report->life],
            report->in_flight, report->queued, report->limit,
            report->latency_us, report->errors_permille, report->age_us);
}

bool
cp_load_report_parse (struct cp_load_report *report, const char *text)
{
  char life[16];

  memset (report, 0, sizeof *report);
  if (text == NULL || strchr (text, '-') != NULL)
    return false;
  if (sscanf (text,
              "inc=%16" SCNx64 " life=%15s fl=%" SCNu32 " q=%" SCNu32
              " lim=%" SCNu32 " lat=%" SCNu64 " err=%" SCNu32 " age=%" SCNu64,
              &report->incarnation, life, &report->in_flight, &report->queued,
              &report->limit, &report->latency_us, &report->errors_permille,
              &report->age_us)
      != 8)
    return false;
  report->life = cp_daemon_state_parse (life);
  return report->errors_permille <= PERMILLE
         && report->in_flight <= IN_FLIGHT_MAX
         && report->queued <= IN_FLIGHT_MAX;
}

/* Load reports: the state of a target as its inbound side reports it.  They
   are sent with responses as the value of the header Cornelpick-Load.  */
#ifndef CP_LOAD_REPORT_H
#define CP_LOAD_REPORT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "lib/daemon_state.h"

#define CP_LOAD_REPORT_TEXT_BYTES 192

struct cp_load_report
{
  uint64_t incarnation;
  enum cp_daemon_state life;
  uint32_t in_flight;
  uint32_t queued;
  uint32_t limit;
  uint64_t latency_us;      /* median of recent calls at the target */
  uint32_t errors_permille; /* of recent calls at the target */
  uint64_t age_us;          /* age of the values when the report was sent */
};

void cp_load_report_format (const struct cp_load_report *report,
                            char text[CP_LOAD_REPORT_TEXT_BYTES]);

/* Returns false when TEXT, which may be NULL, is not a load report or has
   implausible values.  */
bool cp_load_report_parse (struct cp_load_report *report, const char *text);

#endif

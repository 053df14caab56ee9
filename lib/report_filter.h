/* Decides which changes of a server's load are reported, and how far.

   Daemons of the same failure domain compare servers by their load for each
   request, and get every change that is large enough to affect the choice.
   Daemons of other domains send a request only when their own domain cannot
   serve it in time.  They get only what rules a server out or in: a change of
   the machine's slowness, that its slots are taken or free again, that it is
   leaving, and that it is down or back, and that it is cold or warm.

   Performs no I/O; not thread-safe.  */
#ifndef CP_REPORT_FILTER_H
#define CP_REPORT_FILTER_H

#include <stdbool.h>

#include "lib/server_pool.h"

enum cp_report_scope
{
  CP_REPORT_NONE,
  CP_REPORT_OWN_DOMAIN,
  CP_REPORT_ALL
};

struct cp_report_filter
{
  bool fresh;                     /* nothing has been reported yet */
  struct cp_server_load reported; /* last report in the own domain */
  unsigned slowness_percent;      /* last report to all */
  bool full;                      /* the same */
};

/* The next report goes to all, since peers know nothing of the server.  */
void cp_report_filter_init (struct cp_report_filter *filter);

/* Returns how far LOAD is to be reported, and records that it is.  */
enum cp_report_scope
cp_report_filter_check (struct cp_report_filter *filter,
                        const struct cp_server_load *load);

#endif

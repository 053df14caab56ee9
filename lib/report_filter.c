#include "lib/report_filter.h"

/* Change of the busy slots that is reported, as a share of all slots.  */
#define BUSY_CHANGE_SHARE 0.25

/* Change of slowness that is reported.  */
#define SLOWNESS_CHANGE_PERCENT (CP_SLOWNESS_NORMAL_PERCENT / 4)

/* A full server counts as free again from this share of busy slots on, so that
   one which stays nearly full is not reported for each request.  */
#define FREE_SHARE 0.75

void
cp_report_filter_init (struct cp_report_filter *filter)
{
  *filter = (struct cp_report_filter){ .fresh = true,
                                       .slowness_percent
                                       = CP_SLOWNESS_NORMAL_PERCENT };
}

static bool
differs_by_more_than (unsigned a, unsigned b, unsigned by)
{
  return a > b + by || b > a + by;
}

static bool
is_full (const struct cp_report_filter *filter,
         const struct cp_server_load *load)
{
  unsigned busy = load->running + load->queued;

  if (filter->full)
    return busy > FREE_SHARE * load->limit;
  return busy >= load->limit;
}

enum cp_report_scope
cp_report_filter_check (struct cp_report_filter *filter,
                        const struct cp_server_load *load)
{
  const struct cp_server_load *reported = &filter->reported;
  bool full = is_full (filter, load);
  bool slowness_changed
      = differs_by_more_than (load->slowness_percent, filter->slowness_percent,
                              SLOWNESS_CHANGE_PERCENT);
  bool changed
      = differs_by_more_than (load->running + load->queued,
                              reported->running + reported->queued,
                              (unsigned)(BUSY_CHANGE_SHARE * load->limit))
        || load->limit != reported->limit;
  bool matters_to_all
      = filter->fresh || full != filter->full || slowness_changed
        || load->leaving != reported->leaving || load->down != reported->down
        || (load->cold_us > 0) != (reported->cold_us > 0);

  if (!matters_to_all && !changed)
    return CP_REPORT_NONE;
  filter->fresh = false;
  filter->reported = *load;
  if (!matters_to_all)
    return CP_REPORT_OWN_DOMAIN;
  filter->full = full;
  filter->slowness_percent = load->slowness_percent;
  return CP_REPORT_ALL;
}

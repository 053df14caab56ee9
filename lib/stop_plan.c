#include <glib.h>

#include "lib/clock.h"
#include "lib/stop_plan.h"

/* Clients stop sending after two failed readiness checks, one second apart;
   until then their calls are served as before.  */
#define ANNOUNCE_DELAY_US UINT64_C (1800000)
#define CLOSE_DELAY_US UINT64_C (2300000)

/* The same as shares of a short grace time.  */
#define ANNOUNCE_SHARE 0.3
#define CLOSE_SHARE 0.4

/* Reserved for the exit of the process, as time and as a share.  */
#define EXIT_MARGIN_US UINT64_C (400000)
#define EXIT_MARGIN_SHARE 0.1

/* Reserved for an answer on its way to the caller, and for that of a server
   that ends its work on its way here.  */
#define ANSWER_MARGIN_US UINT64_C (100000)
#define WORK_MARGIN_US UINT64_C (150000)

static uint64_t
share_of (uint64_t grace_us, double share)
{
  return (uint64_t)((double)grace_us * share);
}

/* Returns the time MARGIN_US before UNTIL_US, but not before SINCE_US.  */
static uint64_t
before (uint64_t until_us, uint64_t margin_us, uint64_t since_us)
{
  return until_us - MIN (margin_us, until_us - since_us);
}

void
cp_stop_plan_init (struct cp_stop_plan *plan, uint64_t now_us,
                   uint64_t grace_us)
{
  plan->announce_us
      = now_us + MIN (ANNOUNCE_DELAY_US, share_of (grace_us, ANNOUNCE_SHARE));
  plan->close_us
      = now_us + MIN (CLOSE_DELAY_US, share_of (grace_us, CLOSE_SHARE));
  plan->end_us
      = now_us + grace_us
        - MIN (EXIT_MARGIN_US, share_of (grace_us, EXIT_MARGIN_SHARE));
  plan->answer_until_us
      = before (plan->end_us, ANSWER_MARGIN_US, plan->close_us);
  plan->work_until_us
      = before (plan->answer_until_us, WORK_MARGIN_US, plan->close_us);
}

bool
cp_stop_plan_admits (const struct cp_stop_plan *plan, uint64_t now_us,
                     uint64_t deadline_us, uint64_t usual_us)
{
  return deadline_us <= plan->work_until_us
         || now_us + usual_us <= plan->work_until_us;
}

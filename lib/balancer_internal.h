/* Functions shared by the parts of the balancer.  The caller holds the
   lock.  */
#ifndef CP_BALANCER_INTERNAL_H
#define CP_BALANCER_INTERNAL_H

#include "lib/balancer.h"

/* Fills in VIEW with the targets that may be picked.  */
void cp_balancer_view (const struct cp_balancer *balancer,
                       const struct cp_random *random, uint64_t now_us,
                       struct cp_pick_view *view);

/* Each passes a decision record to the observer, if there is one.  */
void cp_balancer_record_pick (const struct cp_balancer *balancer,
                              const struct cp_pick_view *view,
                              const struct cp_tried_targets *tried,
                              const struct cp_target_state *chosen,
                              const char *reason);
void cp_balancer_record_report (const struct cp_balancer *balancer,
                                const struct cp_target_state *state);
void cp_balancer_record_health (const struct cp_balancer *balancer,
                                const struct cp_target_state *state,
                                const char *cause);

#endif

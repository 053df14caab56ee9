/* Choice of a target for one call, for one service.

   A balancer belongs to one outbound side.  It holds what that side knows of
   each target and asks a picker.  All functions lock the balancer; none
   waits.  */
#ifndef CP_BALANCER_H
#define CP_BALANCER_H

#include <pthread.h>

#include "lib/clock.h"
#include "lib/document.h"
#include "lib/report.h"

/* What an outbound side knows of one target.  */
struct cp_target_state
{
  struct cp_target target;
  uint32_t own_in_flight; /* own calls sent and not yet ended */
  uint32_t sent_since_report;
  uint64_t report_us; /* when the last report came; 0 for never */
  struct cp_report report;
  uint64_t own_latency_us; /* moving mean of own calls */
  bool same_domain;
};

/* The targets that a picker may choose from.  */
struct cp_pick_view
{
  struct cp_target_state *const *targets;
  unsigned n_targets;
  uint64_t now_us;
  const struct cp_random *random;
};

/* A rule for choosing.  PICK returns an index into the view, which has at
   least one target.  */
struct cp_picker
{
  const char *name;
  unsigned (*pick) (void *context, const struct cp_pick_view *view);
  void *context;
};

struct cp_balancer
{
  pthread_mutex_t lock;
  const struct cp_clock *clock;
  struct cp_picker picker;
  char failure_domain[CP_NAME_BYTES];
  char service[CP_NAME_BYTES];
  struct cp_target_state *targets;
  unsigned n_targets;
};

/* The targets that a call may not go to (again).  */
#define CP_TRIED_MAX 8

struct cp_tried
{
  char names[CP_TRIED_MAX][CP_NAME_BYTES];
  unsigned count;
};

/* How a call at a target ended.  */
enum cp_call_result
{
  CP_CALL_ANSWERED,  /* status below 500 */
  CP_CALL_FAILED,    /* the target answered with an error, or cut its answer */
  CP_CALL_REFUSED,   /* the inbound side refused; nothing ran */
  CP_CALL_NO_CONTACT /* no connection */
};

void cp_balancer_init (struct cp_balancer *balancer,
                       const struct cp_picker *picker,
                       const struct cp_clock *clock, const char *service,
                       const char *failure_domain);
void cp_balancer_finish (struct cp_balancer *balancer);

/* Takes the targets of SERVICE; keeps what is known of those that stay.
   Returns 0, or -1 when memory ran out.  */
int cp_balancer_update (struct cp_balancer *balancer,
                        const struct cp_service *service);

/* Chooses a target that is not in TRIED, copies it to TARGET and counts the
   call as in flight there.  *INCARNATION is that of the daemon beside it, 0
   when not known.  Returns false when there is no target left.  */
bool cp_balancer_pick (struct cp_balancer *balancer,
                       const struct cp_tried *tried,
                       const struct cp_random *random,
                       struct cp_target *target, uint64_t *incarnation);

/* Ends a call that was picked.  LATENCY_US counts from the send.  */
void cp_balancer_done (struct cp_balancer *balancer, const char *target,
                       enum cp_call_result result, uint64_t latency_us);

/* Takes a load report of TARGET.  */
void cp_balancer_report (struct cp_balancer *balancer, const char *target,
                         const struct cp_report *report);

/* Returns an array that describes the targets.  */
json_t *cp_balancer_dump (struct cp_balancer *balancer);

/* Two random targets; the one with fewer calls in flight by report and own
   count.  Source: M. Mitzenmacher, The Power of Two Choices in Randomized Load
   Balancing, IEEE TPDS 12(10), 2001.  */
extern const struct cp_picker cp_picker_two_choices;

#endif

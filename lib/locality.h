/* Choice between the caller's failure domain and the others.

   Traffic stays in the caller's failure domain as long as a server there is
   expected to answer in time.  Three things make a part of it leave, and only
   while another domain is expected to do better: an expected time that comes
   close to the time that is left, slots that are nearly all taken, and a slow
   machine.  What share of the answers of slow machines is late depends on the
   service and on how its machines slow down; it is measured, not assumed.  A
   few requests always go to slow machines, so that it stays known.

   The part is drawn at random for each request: daemons that act on the same
   reports leave in proportion, and traffic returns as the delay falls, without
   all of them switching at once.  Weighed against it in
   docs/design/locality.md: shares by local capacity, priority levels by
   health, and locality-weighted picks.

   Performs no I/O; not thread-safe.  */
#ifndef CP_LOCALITY_H
#define CP_LOCALITY_H

#include <stdbool.h>

/* Shares of late answers, as moving averages, by whether the server was slow
   when the request was sent.  */
struct cp_lateness
{
  double normal;
  double slow;
  unsigned n_normal; /* answers seen */
  unsigned n_slow;
};

void cp_lateness_init (struct cp_lateness *lateness);

/* Adds an answer.  WAS_SLOW: its server was slow when the request was sent.
   LATE: it missed its objective.  */
void cp_lateness_add (struct cp_lateness *lateness, bool was_slow, bool late);

/* What is expected of the best server in a failure domain.  */
struct cp_prospect
{
  double time;        /* until the answer, as a share of the time that is left;
                         INFINITY when there is no server */
  double utilization; /* busy slots as a share of all; exceeds 1 when requests
                         wait */
  bool slow;          /* its machine is slow */
};

/* Returns the share of requests that leave the failure domain.  OWN and OTHER
   are the prospects in the caller's domain and in the best other one.  */
double cp_locality_leaving_share (const struct cp_prospect *own,
                                  const struct cp_prospect *other,
                                  const struct cp_lateness *lateness);

#endif

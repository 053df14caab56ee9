/* Order of the requests that wait for a server.

   Priority comes first.  A call, which a server makes while it runs another
   request, has the better of its own priority and that of its parent, since
   refusing it wastes the run of its parent.  Within a priority, requests that
   can still meet their objective precede those that cannot, calls precede
   other requests, first tries precede repeats, and the least slack goes first.
   The last tie-break is the order of arrival.

   Performs no I/O; not thread-safe.  */
#ifndef CP_REQUEST_RANK_H
#define CP_REQUEST_RANK_H

#include <stdbool.h>
#include <stdint.h>

#define CP_REQUEST_RANK_PRIORITIES 8

/* Times are absolute; 0 stands for none.  */
struct cp_request_rank
{
  unsigned priority;     /* see cp_request_rank_priority */
  bool nested;           /* a call of a running request */
  bool repeat;           /* a server may have received it before */
  uint64_t objective_us; /* an answer by then earns full credit */
  uint64_t deadline_us;  /* an answer after it is lost */
  uint64_t work_us; /* expected time at the server when it starts now; 0 if
                       not known */
  uint64_t arrival; /* number in the order of arrival */
};

/* Returns the priority in the order of a request whose route has PRIORITY.
   PARENT_PRIORITY counts if it is a call.  Values beyond the last priority
   stand for the last.  */
unsigned cp_request_rank_priority (unsigned priority, bool nested,
                                   unsigned parent_priority);

/* Returns whether a request that starts at START_US can be answered before its
   deadline, or by its objective.  */
bool cp_request_rank_can_end (const struct cp_request_rank *rank,
                              uint64_t start_us);
bool cp_request_rank_meets_objective (const struct cp_request_rank *rank,
                                      uint64_t start_us);

/* Returns a negative value if A goes before B at NOW_US, a positive one if it
   goes after B, 0 if they are the same request.  */
int cp_request_rank_compare (const struct cp_request_rank *a,
                             const struct cp_request_rank *b, uint64_t now_us);

#endif

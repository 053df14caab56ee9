/* Admission queue of a server: a concurrency limit, with a queue of those that
   wait, in the order of lib/request_rank.h.

   Up to the limit, entries run at once.  The others wait, each at most until
   the time that it allows.  An entry whose expected wait is longer, or that
   could not be answered before its deadline after it, is refused at once.  A
   waiting entry is refused as soon as it can no longer be answered before its
   deadline, because more urgent ones have arrived or the server has become
   slow.  When an arrival makes the expected wait of others too long, the
   worst-ranked of these is refused.  That bounds the queue by what can be
   served within the allowed waits.

   One start in eight is reserved for the lower priorities, so that none is
   starved.  When several wait, each gets a start for seven of the most urgent
   one.  A priority whose entries start more often, as a share of those that
   arrive, than those of the most urgent one that waits uses no reserved start:
   it would be served better than the more urgent ones.  One of whose entries
   less than a quarter as large a share starts as of all comes next at once.

   The limit is below the server's number of slots, since servers slow down
   when they are nearly full and a few requests fewer give a higher throughput.
   A server may also limit the entries that start within a second, and takes
   only some while it is cold.  Until it has answered for the first time, it is
   not known whether it does, and only a few run at the same time.

   An entry that runs at once costs a constant time, any other one a time
   proportional to the length of the queue.  Nothing is allocated.

   Performs no I/O; not thread-safe.  */
#ifndef CP_JOB_QUEUE_H
#define CP_JOB_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#include "lib/rate_limit.h"
#include "lib/request_rank.h"
#include "lib/warm_up.h"

#define CP_JOB_QUEUE_PRIORITIES CP_REQUEST_RANK_PRIORITIES

/* State of an entry, and why one that waited is refused.  */
enum cp_job_queue_state
{
  CP_JOB_QUEUE_OUTSIDE,
  CP_JOB_QUEUE_WAITING,
  CP_JOB_QUEUE_EXPIRED,   /* it has waited for as long as allowed */
  CP_JOB_QUEUE_OVERTAKEN, /* more urgent ones arrived, and it would start too
                             late */
  CP_JOB_QUEUE_TOO_SLOW   /* it would start too late without them as well */
};

struct cp_job_queue_entry
{
  struct cds_list_head node;
  uint64_t arrived_us;
  uint64_t wait_until_us; /* latest time until which it may wait */
  struct cp_request_rank rank;
  uint64_t work_us;      /* expected work at a server that is not slow */
  unsigned overtaken_by; /* entries that arrived later and go before it */
  enum cp_job_queue_state state;
};

struct cp_job_queue
{
  unsigned limit;
  unsigned running;
  unsigned queued;
  bool unproved;             /* the server has not answered yet */
  uint64_t service_us;       /* present service time of the server */
  unsigned slowness_percent; /* present slowness of the server */
  uint64_t arrivals;
  struct cp_rate_limit rate; /* of entries that start */
  struct cp_warm_up warm_up; /* the same, while the server is cold */
  struct cds_list_head queues[CP_JOB_QUEUE_PRIORITIES];
  unsigned lengths[CP_JOB_QUEUE_PRIORITIES];
  /* For each priority: starts of more urgent ones since the last start of this
     or a lower priority, up to those after which a start is reserved.  */
  unsigned passed[CP_JOB_QUEUE_PRIORITIES];
  struct cds_list_head refused; /* entries that are to be refused */
  /* Entries of each priority that arrived and that started; halved every
     second.  */
  unsigned offered[CP_JOB_QUEUE_PRIORITIES];
  unsigned started[CP_JOB_QUEUE_PRIORITIES];
  uint64_t halved_us;
};

enum cp_job_queue_result
{
  CP_JOB_QUEUE_RUN,
  CP_JOB_QUEUE_WAIT,
  CP_JOB_QUEUE_REFUSE
};

void cp_job_queue_init (struct cp_job_queue *queue);

/* Derives the limit from the server's CAPACITY in slots.  */
void cp_job_queue_set_capacity (struct cp_job_queue *queue, unsigned capacity);

/* Sets the present mean service time of the server and its slowness, 100 being
   normal.  */
void cp_job_queue_set_pace (struct cp_job_queue *queue, uint64_t service_us,
                            unsigned slowness_percent);

/* Runs, queues or refuses ENTRY, whose rank, work_us and wait_until_us are
   set; the queue sets the rank's work and arrival.  SERVICE_US is the present
   service time of the server.  Entries that it displaces are returned by
   cp_job_queue_take_expired.  */
enum cp_job_queue_result cp_job_queue_submit (struct cp_job_queue *queue,
                                              struct cp_job_queue_entry *entry,
                                              uint64_t now_us,
                                              uint64_t service_us);

/* Records that a running entry has ended.  */
void cp_job_queue_done (struct cp_job_queue *queue);

/* Removes the next entry that may run from its queue, counts it as running and
   returns it; NULL when there is none.  */
struct cp_job_queue_entry *cp_job_queue_start_next (struct cp_job_queue *queue,
                                                    uint64_t now_us);

/* Returns how many entries can run at the same time: the limit, or what the
   rate allows at the present service time if that is less.  */
unsigned cp_job_queue_concurrency (const struct cp_job_queue *queue,
                                   uint64_t service_us);

/* Returns how much of that is taken, by running entries or because the rate
   allows no more of them now.  */
unsigned cp_job_queue_busy (const struct cp_job_queue *queue, uint64_t now_us,
                            uint64_t service_us);

/* Removes ENTRY from its queue, if it waits.  */
void cp_job_queue_remove (struct cp_job_queue *queue,
                          struct cp_job_queue_entry *entry);

/* Removes and returns an entry that is to be refused, or NULL: its waiting
   time is over, or it would start too late.  Its state tells which.  */
struct cp_job_queue_entry *
cp_job_queue_take_expired (struct cp_job_queue *queue, uint64_t now_us);

#endif

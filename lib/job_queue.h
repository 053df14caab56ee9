/* Admission at the one way into a server.

   As many entries run as the limit says.  Others wait, the most urgent
   priority first and in order of arrival within it, for no longer than each
   allows; an entry whose wait would be longer by what is known is turned away
   at once.  The limit stays below the server's slots by a share, since servers
   slow down when they are nearly full, and running a few less gives more
   answers a second.  Pure; not thread-safe.  */
#ifndef CP_JOB_QUEUE_H
#define CP_JOB_QUEUE_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#define CP_JOB_QUEUE_PRIORITIES 8

struct cp_job_queue_entry
{
  struct cds_list_head node;
  uint64_t arrived_us;
  uint64_t wait_until_us; /* it may not wait longer */
  unsigned priority;
  bool waiting;
};

struct cp_job_queue
{
  unsigned limit;
  unsigned running;
  unsigned queued;
  struct cds_list_head queues[CP_JOB_QUEUE_PRIORITIES];
  unsigned lengths[CP_JOB_QUEUE_PRIORITIES];
};

enum cp_job_queue_result
{
  CP_JOB_QUEUE_RUN,
  CP_JOB_QUEUE_WAIT,
  CP_JOB_QUEUE_REFUSE
};

void cp_job_queue_init (struct cp_job_queue *queue);

/* Takes the limit that follows from the server's CAPACITY in slots.  */
void cp_job_queue_set_capacity (struct cp_job_queue *queue, unsigned capacity);

/* Judges ENTRY, whose priority and times are set.  SERVICE_US is what an
   entry takes at the server now.  */
enum cp_job_queue_result cp_job_queue_submit (struct cp_job_queue *queue,
                                              struct cp_job_queue_entry *entry,
                                              uint64_t now_us,
                                              uint64_t service_us);

/* Says that one that ran has ended.  */
void cp_job_queue_done (struct cp_job_queue *queue);

/* Returns the next entry that may run now, counted as running, or NULL.  */
struct cp_job_queue_entry *
cp_job_queue_start_next (struct cp_job_queue *queue);

/* Takes ENTRY out of its queue.  */
void cp_job_queue_remove (struct cp_job_queue *queue,
                          struct cp_job_queue_entry *entry);

/* Returns an entry whose wait is over, taken out, or NULL.  */
struct cp_job_queue_entry *
cp_job_queue_take_expired (struct cp_job_queue *queue, uint64_t now_us);

#endif

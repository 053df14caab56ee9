/* Admission at the one way into a server.

   As many entries run as the limit says.  Others wait, the most urgent
   priority first and in order of arrival within it, for no longer than each
   allows; an entry whose wait would be longer by what is known is turned away
   at once.  The limit stays below the server's slots by a share, since servers
   slow down when they are nearly full, and running a few less gives more
   answers a second.  Pure; not thread-safe.  */
#ifndef CP_GATE_H
#define CP_GATE_H

#include <stdbool.h>
#include <stdint.h>
#include <urcu/list.h>

#define CP_GATE_PRIORITIES 8

struct cp_gate_entry
{
  struct cds_list_head node;
  uint64_t arrived_us;
  uint64_t give_up_us; /* it may not wait longer */
  unsigned priority;
  bool waiting;
};

struct cp_gate
{
  unsigned limit;
  unsigned running;
  unsigned queued;
  struct cds_list_head queues[CP_GATE_PRIORITIES];
  unsigned lengths[CP_GATE_PRIORITIES];
};

enum cp_gate_verdict
{
  CP_GATE_RUN,
  CP_GATE_WAIT,
  CP_GATE_FULL
};

void cp_gate_init (struct cp_gate *gate);

/* Takes the limit that follows from the server's CAPACITY in slots.  */
void cp_gate_set_capacity (struct cp_gate *gate, unsigned capacity);

/* Judges ENTRY, whose priority and times are set.  SERVICE_US is what an
   entry takes at the server now.  */
enum cp_gate_verdict cp_gate_offer (struct cp_gate *gate,
                                    struct cp_gate_entry *entry,
                                    uint64_t now_us, uint64_t service_us);

/* Says that one that ran has ended.  */
void cp_gate_done (struct cp_gate *gate);

/* Returns the next entry that may run now, counted as running, or NULL.  */
struct cp_gate_entry *cp_gate_next (struct cp_gate *gate);

/* Takes ENTRY out of its queue.  */
void cp_gate_remove (struct cp_gate *gate, struct cp_gate_entry *entry);

/* Returns an entry whose wait is over, taken out, or NULL.  */
struct cp_gate_entry *cp_gate_expired (struct cp_gate *gate, uint64_t now_us);

#endif

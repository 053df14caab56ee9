#include "lib/job_queue.h"

/* Share of a server's slots that are used.  The servers of both users take
   1.7 times as long once more than 0.8 of their slots are busy (site files,
   "knee"), which costs more than the slots give.  */
#define USED_SHARE 0.8

void
cp_gate_init (struct cp_gate *gate)
{
  *gate = (struct cp_gate){ .limit = 1 };
  for (unsigned i = 0; i < CP_GATE_PRIORITIES; i++)
    CDS_INIT_LIST_HEAD (&gate->queues[i]);
}

void
cp_gate_set_capacity (struct cp_gate *gate, unsigned capacity)
{
  gate->limit = (unsigned)(USED_SHARE * capacity);
  if (gate->limit == 0)
    gate->limit = 1;
}

static unsigned
queue_of (const struct cp_gate_entry *entry)
{
  return entry->priority < CP_GATE_PRIORITIES ? entry->priority
                                              : CP_GATE_PRIORITIES - 1;
}

/* Returns how many wait that go before ENTRY.  */
static unsigned
ahead_of (const struct cp_gate *gate, const struct cp_gate_entry *entry)
{
  unsigned ahead = 0;

  for (unsigned i = 0; i <= queue_of (entry); i++)
    ahead += gate->lengths[i];
  return ahead;
}

enum cp_gate_verdict
cp_gate_offer (struct cp_gate *gate, struct cp_gate_entry *entry,
               uint64_t now_us, uint64_t service_us)
{
  unsigned queue = queue_of (entry);
  unsigned ahead = ahead_of (gate, entry);
  uint64_t wait_us;

  entry->arrived_us = now_us;
  entry->waiting = false;
  if (gate->running < gate->limit && ahead == 0)
    {
      gate->running++;
      return CP_GATE_RUN;
    }
  wait_us = (uint64_t)(ahead + 1) * service_us / gate->limit;
  if (now_us + wait_us > entry->give_up_us)
    return CP_GATE_FULL;
  entry->waiting = true;
  cds_list_add_tail (&entry->node, &gate->queues[queue]);
  gate->lengths[queue]++;
  gate->queued++;
  return CP_GATE_WAIT;
}

void
cp_gate_done (struct cp_gate *gate)
{
  gate->running--;
}

void
cp_gate_remove (struct cp_gate *gate, struct cp_gate_entry *entry)
{
  if (!entry->waiting)
    return;
  entry->waiting = false;
  cds_list_del (&entry->node);
  gate->lengths[queue_of (entry)]--;
  gate->queued--;
}

struct cp_gate_entry *
cp_gate_next (struct cp_gate *gate)
{
  if (gate->running >= gate->limit)
    return NULL;
  for (unsigned i = 0; i < CP_GATE_PRIORITIES; i++)
    if (gate->lengths[i] > 0)
      {
        struct cp_gate_entry *entry = cds_list_first_entry (
            &gate->queues[i], struct cp_gate_entry, node);

        cp_gate_remove (gate, entry);
        gate->running++;
        return entry;
      }
  return NULL;
}

struct cp_gate_entry *
cp_gate_expired (struct cp_gate *gate, uint64_t now_us)
{
  struct cp_gate_entry *entry;

  for (unsigned i = 0; i < CP_GATE_PRIORITIES; i++)
    cds_list_for_each_entry (entry, &gate->queues[i],
                             node) if (entry->give_up_us <= now_us)
    {
      cp_gate_remove (gate, entry);
      return entry;
    }
  return NULL;
}

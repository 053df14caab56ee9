/* Pace of long messages to many receivers.

   What one process sends to many shares one link, and whatever it sends next
   waits behind that: requests, cancels, and the answers to pings by which its
   peers know that it lives.  The link's rate is not known, so a low one is
   assumed.

   Performs no I/O; not thread-safe.  Zeroed memory is a valid start.  */
#ifndef CP_SEND_PACE_H
#define CP_SEND_PACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Assumed rate of the link: 10 Mbit/s.  */
#define CP_SEND_PACE_BYTES_PER_S 1250000

/* Longest time for which what has been sent may fill the link when a long
   message is added.  */
#define CP_SEND_PACE_BACKLOG_US 100000

struct cp_send_pace
{
  uint64_t full_until_us; /* when the link has carried all that was sent */
};

/* Returns whether a long message may be sent at NOW_US.  */
bool cp_send_pace_allows (const struct cp_send_pace *pace, uint64_t now_us);

/* Adds BYTES that are sent at NOW_US.  */
void cp_send_pace_add (struct cp_send_pace *pace, size_t bytes,
                       uint64_t now_us);

#endif

/* Bytes on the wire: connections on which a test writes a request itself, so
   that it can send it late, twice or in part.  */
#ifndef WIRE_H
#define WIRE_H

#include <glib.h>

#include "regress/harness/harness.h"

/* Opens a connection to "IP:PORT" from the IP number of VM.  Returns the
   socket.  */
int wire_open (const struct fleet *fleet, unsigned vm, const char *address);

/* Writes all of TEXT.  */
void wire_send (int fd, const char *text);

/* Reads until the peer closes or TIMEOUT_MS pass without a byte.  Returns
   whether the peer closed.  */
bool wire_read (int fd, GString *text, int timeout_ms);

/* A forwarded call as one daemon sends it to another.  */
struct wire_attempt
{
  const char *method;
  const char *path;
  const char *request;   /* request ID */
  const char *attempt;   /* attempt ID */
  uint64_t incarnation;  /* of the inbound side */
  uint64_t remaining_us; /* time left */
  uint64_t start_by_us;  /* on the clock of the inbound side */
  const char *body;      /* NULL for none */
};

/* Composes the request, which asks to close the connection.  */
char *wire_attempt_text (const struct wire_attempt *attempt);

/* Sends the attempt from VM 1's IP number to VM's inbound side and reads the
   answer.  Returns its status.  */
int wire_attempt (struct fleet *fleet, unsigned vm,
                  const struct wire_attempt *attempt, GString *answer);

/* Sends a fence from the IP number of VM FROM to VM's inbound side.  Returns
   the status of the reply, or -1 when there was none.  */
int wire_fence (struct fleet *fleet, unsigned from, unsigned vm,
                const char *attempt, uint64_t incarnation,
                uint64_t start_by_us, bool cancel);

/* Returns the incarnation of VM's daemon.  */
uint64_t wire_incarnation (struct fleet *fleet, unsigned vm);

/* Returns the time on the clock that all daemons of this machine share.  */
uint64_t wire_now_us (void);

#endif

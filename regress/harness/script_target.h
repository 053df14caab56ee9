/* A target that answers as scripted, byte by byte: what its HTTP answers look
   like follows from the last part of the path.

   whole       Content-Length and a whole body
   chunked     a whole chunked body
   closed      no length; the end of the connection ends the body
   short       Content-Length of twice the bytes that follow, then the end
   long        more bytes than Content-Length says
   cutchunk    a chunked body without its last chunk, then the end
   excess      a whole answer and another that nobody asked for, at once
   stray       the same, the other 20 ms later and with another request ID
   interim     an interim 103 before the answer
   204, 304    these statuses, without a body
   early       an answer before the body of the request is read
   upload-READ-MS-END
               having read READ bytes of the body, a part of an answer without
               length; MS later, END "reset" resets the connection, "fin" ends
               it in an orderly way at once and resets it then
   continue    100 before the body is read
   chain       as an application that calls on: after CHAIN_WORK_US it calls
               the same path through the daemon at NEXT, passing on the time
               left and a depth that is one less (header Test-Depth); the body
               lists the time left in ms at each hop, a line each
   script-N    the Nth of the scripts, byte by byte, then the end
   Otherwise a body is the request ID, repeated SCRIPT_REPEATS times.  */
#ifndef SCRIPT_TARGET_H
#define SCRIPT_TARGET_H

#include <pthread.h>

#include "regress/harness/broken_answers.h"
#include "regress/harness/harness.h"

#define SCRIPT_REPEATS 200
#define SCRIPT_CONNECTIONS_MAX 512
#define CHAIN_WORK_US 5000

struct script_target
{
  pthread_t thread;
  int listen_fd;
  bool stop;
  char next[56]; /* address of a daemon, for chains */
  const struct script *scripts;
  int receive_bytes; /* size of the receive buffers; 0 for the default */
  bool stray_pages;  /* sends a stray answer before each page */
  unsigned n_connections;
  pthread_t connections[SCRIPT_CONNECTIONS_MAX];
};

void script_target_start (struct script_target *target, const char *address);

/* The same; the target calls on through the daemon at NEXT.  */
void script_target_start_chained (struct script_target *target,
                                  const char *address, const char *next);

/* The same, with SCRIPTS.  The system buffers little of an upload that the
   target does not read.  */
#define SCRIPT_RECEIVE_BYTES 65536
void script_target_start_scripted (struct script_target *target,
                                   const char *address,
                                   const struct script *scripts);

/* The same; the target answers a read of a page, such as that of its health,
   with a stray answer first, and STRAY_PAGE_US later with the page.  */
#define STRAY_PAGE_US 100000
void script_target_start_straying (struct script_target *target,
                                   const char *address);

/* Ends the threads; their connections must have been closed.  */
void script_target_stop (struct script_target *target);

/* Composes the body that belongs to a request ID.  */
void script_body (const char *request, GString *body);

#endif

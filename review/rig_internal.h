/* Shared by the files of the rig: rig.c (processes and settings), rig_store.c
   (the platform's store), rig_server.c (servers), rig_client.c (clients),
   rig_relay.c (links) and rig_http.c (what these have in common).  */
#ifndef RIG_INTERNAL_H
#define RIG_INTERNAL_H

#include "review/rig.h"

#define RIG_PORT_SERVER 8080
#define RIG_PORT_CALLS 8000
#define RIG_PORT_PEERS 7400
#define RIG_PORT_READY 8025
#define RIG_PORT_METRICS 9464
#define RIG_PORT_STORE 9000

#define RIG_HEAD_BYTES 20000

/* The head of a request or answer.  */
struct rig_head
{
  char text[RIG_HEAD_BYTES]; /* with the empty line, ended by NUL */
  size_t length;
  size_t surplus; /* bytes read behind the head */
  char rest[RIG_HEAD_BYTES];
};

/* Ends the case with 2: it could not run.  */
void rig_require (bool condition, const char *problem);

/* Returns SIZE bytes of zeros.  */
void *rig_allocate (size_t size) __attribute__ ((returns_nonnull));

/* Returns a socket that listens at PORT of VM, or -1.  */
int rig_listen (unsigned vm, unsigned port);

/* Connects to PORT of VM within TIMEOUT_MS, or returns -1.  */
int rig_open (unsigned vm, unsigned port, unsigned timeout_ms);

/* Writes all of TEXT.  Returns false on failure.  */
bool rig_write (int fd, const char *text, size_t length);

/* Writes "127.A.B.VM:PORT" to TEXT.  */
const char *rig_address (unsigned vm, unsigned port, char text[64]);

/* Reads a head, which may begin with what an earlier call read behind its own
   message.  Returns false at the end of the connection or when the time-out of
   the socket is over.  */
bool rig_read_head (int fd, struct rig_head *head);

/* Takes up to LENGTH bytes of body.  Returns their number, or 0 at the end of
   the connection.  */
size_t rig_read_body (int fd, struct rig_head *head, size_t length);

/* Copies the value of header NAME, "" if there is none.  */
void rig_header (const struct rig_head *head, const char *name, char *value,
                 size_t size);

/* Returns the number of parameter NAME in the query of the request line, or
   0.  */
size_t rig_parameter (const struct rig_head *head, const char *name);

unsigned rig_n_vms (void);
const char *rig_service (unsigned vm);
bool rig_is_stopping (void);

/* The instance of VM's server.  */
const char *rig_instance (unsigned vm, char text[64]);

/* Starts the store's door for VIEWER.  */
void rig_store_start (unsigned viewer);

/* Puts VALUE, in which "@" stands for the address of VM's server.  */
void rig_store_put (const char *key, const char *value, unsigned vm);

/* Host numbers of the store's door for VIEWER, and of the relay through which
   it reaches the daemon of VM.  */
unsigned rig_store_host (unsigned viewer);
unsigned rig_relay_host (unsigned viewer, unsigned vm);
bool rig_has_relays (void);
void rig_relay_start (unsigned viewer, unsigned vm);
void rig_server_start (unsigned vm);
void rig_client_init (void);

#endif

/* Shared by the stand-ins.  */
#ifndef STAND_INS_INTERNAL_H
#define STAND_INS_INTERNAL_H

#include "review/stand_ins.h"

#define PORT_SERVER 8080
#define PORT_CONTROL 7401
#define PORT_CALLS 8000
#define PORT_PEERS 7400
#define PORT_PEERS_OF_CLIENTS 7500
#define PORT_READY 8025
#define PORT_METRICS 9464
#define PORT_STORE 9000

/* Starts the clock and the record.  */
void open_record (const char *path);

/* Relays connections to PORT at IP on to TO_PORT there, at no more than MBPS
   in each direction.  */
void link_start (const char *ip, unsigned port, unsigned to_port, double mbps);

/* Kills the daemons of the deployment, if there is one.  */
void kill_daemons (void);

#endif

/* A network between the VMs of a fleet that can be cut, in a thread of the
   test.

   The daemons listen at shifted ports; the relays here hold the addresses by
   which they know each other and the platform, and pass bytes and datagrams on
   from the IP number that they came from.  Across a cut, datagrams vanish, new
   connections are reset, and open ones are reset.  */
#ifndef CUTS_H
#define CUTS_H

#include "regress/harness/harness.h"

/* Ports at which daemons and the platform listen behind the relays.  */
#define CUTS_PORT_PEERS 7500
#define CUTS_PORT_RPC 7501
#define CUTS_PORT_PLATFORM 9100

/* Starts the relays of N_VMS VMs and of the platform, VM 250, on NET.  */
void cuts_start (const char *net, unsigned n_vms);
void cuts_stop (void);

/* Cuts the VMs FROM to TO off from OTHER_FROM to OTHER_TO, takes that cut
   back, and heals all cuts.  */
void cuts_add (unsigned from, unsigned to, unsigned other_from,
               unsigned other_to);
void cuts_remove (unsigned from, unsigned to, unsigned other_from,
                  unsigned other_to);
void cuts_heal (void);

#endif

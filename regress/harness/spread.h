/* Help for tests of the exchange between daemons: the VM list, versions in
   force, and cuts of the network (regress/harness/cuts.h).  */
#ifndef HARNESS_SPREAD_H
#define HARNESS_SPREAD_H

#include "regress/harness/harness.h"

/* Puts all VMs on the platform's list; LEAVING, if not 0, as leaving.  */
void fleet_list (struct fleet *fleet, unsigned leaving);

/* Lets fleets that are started from now on obey cuts.  */
void fleet_allow_cuts (void);

/* Cuts the VMs FROM to TO off from OTHER_FROM to OTHER_TO, takes that cut
   back, and heals all cuts.  The platform is VM 250.  */
void fleet_cut (unsigned from, unsigned to, unsigned other_from,
                unsigned other_to);
void fleet_reconnect (unsigned from, unsigned to, unsigned other_from,
                      unsigned other_to);
void fleet_heal (void);

/* Returns the version in force at a daemon; 0 when it does not answer.  */
uint64_t fleet_version (struct fleet *fleet, unsigned vm);

/* Returns when VM logged that VERSION was in force, in microseconds of the
   wall clock, or 0 when it has not yet.  */
gint64 fleet_in_force_at (const struct fleet *fleet, unsigned vm,
                          uint64_t version);

/* Waits until VERSION is in force at the VMs FROM to TO.  */
void fleet_wait_version (struct fleet *fleet, unsigned from, unsigned to,
                         uint64_t version);

/* Copies a text of a daemon's "configuration" state.  */
void fleet_configuration (struct fleet *fleet, unsigned vm, const char *key,
                          char *value, size_t size);

/* Waits until that text is VALUE.  */
void fleet_wait_configuration (struct fleet *fleet, unsigned vm,
                               const char *key, const char *value);

/* Returns the reads that the platform counted.  */
uint64_t fleet_reads (struct fleet *fleet);

/* Waits until VM answers COUNT calls in a row with status 200.  */
void fleet_wait_calls (struct fleet *fleet, unsigned vm, unsigned count);

#endif

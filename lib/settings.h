/* Settings of one daemon, read from a JSON file.

   vm                     name of the VM, unique in the fleet
   failure_domain         failure domain of the VM
   calls                  address for calls of applications and callers
   peers                  address for calls forwarded by other daemons; the
                          document's "daemon".  ONC RPC, on UDP and TCP, uses
                          the next port
   peers_listen           local address for forwarded calls, when network
                          address translation is used; default: peers
   rpc_listen             local address for ONC RPC, likewise; default: the
                          port after peers
   admin                  address for /healthz, /state and /metrics
   configuration_service  address of the configuration service
   configuration_key      path of the document on it; default /document
   vm_list                address of the service with the VM list; default:
                          configuration_service
   charts                 directory with the state charts
   call_threads           threads for calls; default 64
   peer_threads           threads for forwarded calls; default 300
   daemons_most           largest number of daemons in the fleet; default 5000.
                          Spreads the first reads of the platform while the
                          size of the fleet is not known
   log_level, log_format  default info, text  */
#ifndef CP_SETTINGS_H
#define CP_SETTINGS_H

#include "lib/address.h"
#include "lib/document.h"
#include "lib/error.h"
#include "lib/log.h"

struct cp_settings
{
  char file[256];
  char vm[CP_NAME_BYTES];
  char failure_domain[CP_NAME_BYTES];
  struct cp_address calls;
  struct cp_address peers;
  struct cp_address peers_listen;
  struct cp_address rpc_listen;
  struct cp_address admin;
  struct cp_address configuration_service;
  char configuration_key[128];
  struct cp_address vm_list;
  char charts[256];
  unsigned call_threads;
  unsigned peer_threads;
  unsigned daemons_most;
  enum cp_log_level log_level;
  enum cp_log_format log_format;
};

/* Reads SETTINGS from the file PATH and fills in the defaults.  Returns 0, or
   -1 with ERROR set to the key, the problem and the remedy.  */
int cp_settings_load (struct cp_settings *settings, const char *path,
                      struct cp_error *error);

#endif

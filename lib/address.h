/* Socket addresses, written as IP address and port: "10.1.1.1:80" or
   "[2001:db8::1]:80".  Host names are not resolved.  */
#ifndef CP_ADDRESS_H
#define CP_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stddef.h>

#define CP_ADDRESS_TEXT_BYTES 56
#define CP_PORT_MAX 65535

struct cp_address
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in v4;
    struct sockaddr_in6 v6;
  } socket;
  socklen_t length;
  char text[CP_ADDRESS_TEXT_BYTES]; /* as parsed */
};

/* Returns false when TEXT is NULL or not an IP address with a port from 1 to
   65535.  */
bool cp_address_parse (struct cp_address *address, const char *text);

unsigned cp_address_port (const struct cp_address *address);

/* Returns whether A and B have the same IP address; ports are ignored.  */
bool cp_address_same_host (const struct cp_address *a,
                           const struct cp_address *b);

/* Sets *RPC to the address where the daemon at PEERS serves ONC RPC: the same
   IP address and the next port, since HTTP uses the TCP port of PEERS.  */
void cp_address_rpc (const struct cp_address *peers, struct cp_address *rpc);

/* Writes the IP address without brackets or port to TEXT of SIZE bytes.  */
void cp_address_host (const struct cp_address *address, char *text,
                      size_t size);

#endif

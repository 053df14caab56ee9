/* libFuzzer: any bytes are decoded as each RPC message and load report without
   a crash or a leak.  The first byte chooses the message.  */
#include <rpc/rpc.h>
#include <stdlib.h>
#include <string.h>

#include "lib/load_report.h"
#include "rpc/cornelpick.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

static void
decode (xdrproc_t routine, void *message, const uint8_t *data, size_t size)
{
  XDR stream;

  xdrmem_create (&stream, (char *)data, (u_int)size, XDR_DECODE);
  routine (&stream, message);
  xdr_free (routine, message);
  xdr_destroy (&stream);
}

static void
decode_report (const uint8_t *data, size_t size)
{
  char *text = strndup ((const char *)data, size);
  struct cp_load_report report;

  cp_load_report_parse (&report, text);
  free (text);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  union
  {
    cp_rpc_load load;
    cp_rpc_fence_args fence;
    cp_rpc_digest digest;
    cp_rpc_section_args section_args;
    cp_rpc_section section;
  } message;

  if (size == 0)
    return 0;
  memset (&message, 0, sizeof message);
  switch (data[0] % 6)
    {
    case 0:
      decode ((xdrproc_t)xdr_cp_rpc_load, &message, data + 1, size - 1);
      break;
    case 1:
      decode ((xdrproc_t)xdr_cp_rpc_fence_args, &message, data + 1, size - 1);
      break;
    case 2:
      decode ((xdrproc_t)xdr_cp_rpc_digest, &message, data + 1, size - 1);
      break;
    case 3:
      decode ((xdrproc_t)xdr_cp_rpc_section_args, &message, data + 1,
              size - 1);
      break;
    case 4:
      decode ((xdrproc_t)xdr_cp_rpc_section, &message, data + 1, size - 1);
      break;
    default:
      decode_report (data + 1, size - 1);
      break;
    }
  return 0;
}

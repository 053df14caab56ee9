#include <check.h>
#include <inttypes.h>
#include <poll.h>
#include <rpc/rpc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "lib/address.h"
#include "lib/cleanup.h"
#include "lib/clock.h"
#include "lib/id.h"
#include "regress/harness/wire.h"
#include "rpc/cornelpick.h"

#define PORT_PEERS 7400
#define PORT_RPC 7401
#define RPC_BYTES_MAX 16384
#define ANSWER_WAIT_MS 15000

int
wire_open (const struct fleet *fleet, unsigned vm, const char *address)
{
  struct cp_address to;
  struct cp_address from;
  char text[56];
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  ck_assert (cp_address_parse (&to, address));
  ck_assert (cp_address_parse (&from, fleet_address (fleet, vm, 1, text)));
  from.socket.v4.sin_port = 0;
  ck_assert_int_ge (fd, 0);
  ck_assert_int_eq (bind (fd, &from.socket.any, from.length), 0);
  ck_assert_int_eq (connect (fd, &to.socket.any, to.length), 0);
  return fd;
}

void
wire_send (int fd, const char *text)
{
  size_t left = strlen (text);

  while (left > 0)
    {
      ssize_t count = send (fd, text, left, MSG_NOSIGNAL);

      ck_assert_int_gt (count, 0);
      text += count;
      left -= (size_t)count;
    }
}

bool
wire_read (int fd, GString *text, int timeout_ms)
{
  char buffer[4096];

  for (;;)
    {
      struct pollfd poller = { .fd = fd, .events = POLLIN };
      ssize_t count;

      if (poll (&poller, 1, timeout_ms) <= 0)
        return false;
      count = recv (fd, buffer, sizeof buffer, 0);
      if (count <= 0)
        return true;
      g_string_append_len (text, buffer, count);
    }
}

char *
wire_attempt_text (const struct wire_attempt *attempt)
{
  const char *body = attempt->body == NULL ? "" : attempt->body;

  return g_strdup_printf (
      "%s %s HTTP/1.1\r\nHost: shop.example\r\nConnection: close\r\n"
      "Content-Length: %zu\r\nCornelpick-Request: %s\r\n"
      "Cornelpick-Attempt: %s\r\nCornelpick-Incarnation: %016" PRIx64
      "\r\nCornelpick-Remaining-Us: %" PRIu64
      "\r\nCornelpick-Start-By-Us: %" PRIu64
      "\r\nCornelpick-Idempotent: no\r\nCornelpick-From: vm-1\r\n\r\n%s",
      attempt->method, attempt->path, strlen (body), attempt->request,
      attempt->attempt, attempt->incarnation, attempt->remaining_us,
      attempt->start_by_us, body);
}

int
wire_attempt (struct fleet *fleet, unsigned vm,
              const struct wire_attempt *attempt, GString *answer)
{
  CP_AUTO_FREE char *text = wire_attempt_text (attempt);
  char address[56];
  int fd
      = wire_open (fleet, 1, fleet_address (fleet, vm, PORT_PEERS, address));

  wire_send (fd, text);
  g_string_truncate (answer, 0);
  wire_read (fd, answer, ANSWER_WAIT_MS);
  close (fd);
  if (strncmp (answer->str, "HTTP/1.1 ", 9) != 0)
    return 0;
  return atoi (answer->str + 9);
}

int
wire_fence (struct fleet *fleet, unsigned from_vm, unsigned vm,
            const char *attempt, uint64_t incarnation, uint64_t start_by_us,
            bool cancel)
{
  struct timeval timeout = { .tv_sec = 2 };
  cp_rpc_fence_args args = { .incarnation = incarnation,
                             .start_by_us = start_by_us,
                             .cancel = cancel };
  cp_rpc_fence_reply reply = { 0 };
  struct cp_address to;
  struct cp_address from;
  struct cp_id id;
  struct netbuf server = { .maxlen = sizeof to.socket, .buf = &to.socket };
  char text[56];
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  int status = -1;
  CLIENT *client;

  ck_assert (cp_id_parse (&id, attempt));
  memcpy (args.attempt, id.bytes, sizeof args.attempt);
  ck_assert (
      cp_address_parse (&to, fleet_address (fleet, vm, PORT_RPC, text)));
  ck_assert (
      cp_address_parse (&from, fleet_address (fleet, from_vm, 1, text)));
  from.socket.v4.sin_port = 0;
  ck_assert_int_eq (bind (fd, &from.socket.any, from.length), 0);
  server.len = to.length;
  client = clnt_dg_create (fd, &server, CP_RPC_PROGRAM, CP_RPC_V1,
                           RPC_BYTES_MAX, RPC_BYTES_MAX);
  ck_assert_ptr_nonnull (client);
  clnt_control (client, CLSET_TIMEOUT, (char *)&timeout);
  if (cp_rpc_fence_1 (&args, &reply, client) == RPC_SUCCESS)
    status = (int)reply.status;
  clnt_destroy (client);
  close (fd);
  return status;
}

uint64_t
wire_incarnation (struct fleet *fleet, unsigned vm)
{
  CP_AUTO_JSON json_t *state = fleet_state (fleet, vm);
  const char *text
      = json_string_value (json_object_get (state, "incarnation"));

  ck_assert_ptr_nonnull (text);
  return strtoull (text, NULL, 16);
}

uint64_t
wire_now_us (void)
{
  return cp_clock_now_us (&cp_clock_boot);
}

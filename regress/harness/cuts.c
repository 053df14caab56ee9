#include <arpa/inet.h>
#include <string.h>
#include <uv.h>

#include "lib/address.h"
#include "lib/cleanup.h"
#include "regress/harness/cuts.h"

#define CUTS_MAX 16
#define LISTENERS_MAX (3 * FLEET_VMS_MAX + 1)
#define PLATFORM_VM 250
#define BACKLOG 128
#define BUFFER_BYTES 65536

struct range
{
  unsigned from;
  unsigned to;
  unsigned other_from;
  unsigned other_to;
};

/* One TCP port that is relayed.  */
struct door
{
  uv_tcp_t tcp;
  unsigned vm;
  struct cp_address server;
};

/* One UDP port that is relayed.  */
struct window
{
  uv_udp_t udp;
  unsigned vm;
  struct cp_address server;
  GHashTable *guests; /* text of the sender's address to struct guest */
};

/* A sender at a window.  */
struct guest
{
  uv_udp_t udp;
  struct window *window;
  struct sockaddr_in address;
};

/* A relayed connection: end 0 is the client's.  */
struct pair
{
  uv_tcp_t ends[2];
  uv_connect_t connect;
  unsigned client_vm;
  unsigned server_vm;
  bool connected;
  unsigned n_closed;
  bool closing;
};

struct parcel
{
  uv_write_t request;
  uv_udp_send_t datagram;
  char *bytes;
};

static struct
{
  pthread_t thread;
  pthread_mutex_t lock;
  uv_loop_t loop;
  uv_async_t changed;
  bool stopping;
  bool running;
  struct range cuts[CUTS_MAX];
  unsigned n_cuts;
  GPtrArray *pairs;
  struct door *doors[LISTENERS_MAX];
  unsigned n_doors;
  struct window *windows[LISTENERS_MAX];
  unsigned n_windows;
  char buffer[BUFFER_BYTES];
} cuts = { .lock = PTHREAD_MUTEX_INITIALIZER };

static bool
within (unsigned vm, unsigned from, unsigned to)
{
  return vm >= from && vm <= to;
}

static bool
is_cut (unsigned a, unsigned b)
{
  CP_LOCK_SCOPE (&cuts.lock);

  for (unsigned i = 0; i < cuts.n_cuts; i++)
    {
      const struct range *cut = &cuts.cuts[i];

      if ((within (a, cut->from, cut->to)
           && within (b, cut->other_from, cut->other_to))
          || (within (b, cut->from, cut->to)
              && within (a, cut->other_from, cut->other_to)))
        return true;
    }
  return false;
}

/* Returns the number of the VM at ADDRESS, or 0 for the test itself, which
   calls from 127.0.0.1.  */
static unsigned
vm_of (const struct sockaddr_in *address)
{
  uint32_t number = ntohl (address->sin_addr.s_addr);

  return number >> 8 == INADDR_LOOPBACK >> 8 ? 0 : number & 255;
}

static void
provide_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  (void)handle;
  (void)suggested;
  *buffer = uv_buf_init (cuts.buffer, sizeof cuts.buffer);
}

static void
on_pair_closed (uv_handle_t *handle)
{
  struct pair *pair = handle->data;

  if (++pair->n_closed == 2)
    {
      g_ptr_array_remove_fast (cuts.pairs, pair);
      g_free (pair);
    }
}

/* Ends both sides; those behind a cut see a reset.  */
static void
pair_close (struct pair *pair, bool reset)
{
  if (pair->closing)
    return;
  pair->closing = true;
  for (unsigned i = 0; i < 2; i++)
    if (!reset || uv_tcp_close_reset (&pair->ends[i], on_pair_closed) != 0)
      uv_close ((uv_handle_t *)&pair->ends[i], on_pair_closed);
}

static void
on_written (uv_write_t *request, int status)
{
  struct parcel *parcel = request->data;

  (void)status;
  g_free (parcel->bytes);
  g_free (parcel);
}

static void
on_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  struct pair *pair = stream->data;
  unsigned other = stream == (uv_stream_t *)&pair->ends[0] ? 1 : 0;
  struct parcel *parcel;
  uv_buf_t out;

  if (count <= 0)
    {
      if (count < 0)
        pair_close (pair, count != UV_EOF);
      return;
    }
  parcel = g_new0 (struct parcel, 1);
  parcel->bytes = g_memdup2 (buffer->base, (gsize)count);
  parcel->request.data = parcel;
  out = uv_buf_init (parcel->bytes, (unsigned)count);
  uv_write (&parcel->request, (uv_stream_t *)&pair->ends[other], &out, 1,
            on_written);
}

static void
on_connected (uv_connect_t *request, int status)
{
  struct pair *pair = request->data;

  if (pair->closing)
    return;
  if (status != 0)
    {
      pair_close (pair, true);
      return;
    }
  uv_tcp_nodelay (&pair->ends[0], 1);
  uv_tcp_nodelay (&pair->ends[1], 1);
  uv_read_start ((uv_stream_t *)&pair->ends[0], provide_buffer, on_read);
  uv_read_start ((uv_stream_t *)&pair->ends[1], provide_buffer, on_read);
}

static void
on_accept (uv_stream_t *listener, int status)
{
  struct door *door = listener->data;
  struct pair *pair = g_new0 (struct pair, 1);
  struct sockaddr_in client = { 0 };
  int length = sizeof client;

  (void)status;
  for (unsigned i = 0; i < 2; i++)
    {
      uv_tcp_init (&cuts.loop, &pair->ends[i]);
      pair->ends[i].data = pair;
    }
  g_ptr_array_add (cuts.pairs, pair);
  if (uv_accept (listener, (uv_stream_t *)&pair->ends[0]) != 0)
    {
      pair_close (pair, false);
      return;
    }
  uv_tcp_getpeername (&pair->ends[0], (struct sockaddr *)&client, &length);
  pair->client_vm = vm_of (&client);
  pair->server_vm = door->vm;
  if (is_cut (pair->client_vm, pair->server_vm))
    {
      pair_close (pair, true);
      return;
    }
  client.sin_port = 0;
  uv_tcp_bind (&pair->ends[1], (struct sockaddr *)&client, 0);
  pair->connect.data = pair;
  if (uv_tcp_connect (&pair->connect, &pair->ends[1], &door->server.socket.any,
                      on_connected)
      != 0)
    pair_close (pair, true);
}

static void
on_sent (uv_udp_send_t *request, int status)
{
  struct parcel *parcel = request->data;

  (void)status;
  g_free (parcel->bytes);
  g_free (parcel);
}

static void
pass_datagram (uv_udp_t *from, const char *data, ssize_t count,
               const struct sockaddr *to)
{
  struct parcel *parcel = g_new0 (struct parcel, 1);
  uv_buf_t out;

  parcel->bytes = g_memdup2 (data, (gsize)count);
  parcel->datagram.data = parcel;
  out = uv_buf_init (parcel->bytes, (unsigned)count);
  if (uv_udp_send (&parcel->datagram, from, &out, 1, to, on_sent) != 0)
    on_sent (&parcel->datagram, UV_ECANCELED);
}

/* A datagram comes back from the server.  */
static void
on_reply (uv_udp_t *udp, ssize_t count, const uv_buf_t *buffer,
          const struct sockaddr *from, unsigned flags)
{
  struct guest *guest = udp->data;

  (void)flags;
  if (count <= 0 || from == NULL
      || is_cut (vm_of (&guest->address), guest->window->vm))
    return;
  pass_datagram (&guest->window->udp, buffer->base, count,
                 (const struct sockaddr *)&guest->address);
}

static struct guest *
guest_of (struct window *window, const struct sockaddr_in *from)
{
  char *key = g_strdup_printf ("%u:%u", from->sin_addr.s_addr, from->sin_port);
  struct guest *guest = g_hash_table_lookup (window->guests, key);
  struct sockaddr_in own = *from;

  if (guest != NULL)
    {
      g_free (key);
      return guest;
    }
  guest = g_new0 (struct guest, 1);
  guest->window = window;
  guest->address = *from;
  own.sin_port = 0;
  uv_udp_init (&cuts.loop, &guest->udp);
  guest->udp.data = guest;
  uv_udp_bind (&guest->udp, (struct sockaddr *)&own, 0);
  uv_udp_recv_start (&guest->udp, provide_buffer, on_reply);
  g_hash_table_insert (window->guests, key, guest);
  return guest;
}

static void
on_datagram (uv_udp_t *udp, ssize_t count, const uv_buf_t *buffer,
             const struct sockaddr *from, unsigned flags)
{
  struct window *window = udp->data;
  const struct sockaddr_in *sender = (const struct sockaddr_in *)from;

  (void)flags;
  if (count <= 0 || from == NULL || is_cut (vm_of (sender), window->vm))
    return;
  pass_datagram (&guest_of (window, sender)->udp, buffer->base, count,
                 &window->server.socket.any);
}

static void
parse (struct cp_address *address, const char *net, unsigned vm, unsigned port)
{
  char text[56];

  g_snprintf (text, sizeof text, "%s.%u:%u", net, vm, port);
  harness_require (cp_address_parse (address, text), "bad address %s", text);
}

static void
open_door (const char *net, unsigned vm, unsigned port, unsigned behind)
{
  struct door *door = g_new0 (struct door, 1);
  struct cp_address own;
  int error;

  parse (&own, net, vm, port);
  parse (&door->server, net, vm, behind);
  door->vm = vm;
  uv_tcp_init (&cuts.loop, &door->tcp);
  door->tcp.data = door;
  error = uv_tcp_bind (&door->tcp, &own.socket.any, 0);
  if (error == 0)
    error = uv_listen ((uv_stream_t *)&door->tcp, BACKLOG, on_accept);
  if (error != 0)
    harness_require (false, "cannot listen at %s: %s", own.text,
                     uv_strerror (error));
  cuts.doors[cuts.n_doors++] = door;
}

static void
open_window (const char *net, unsigned vm, unsigned port, unsigned behind)
{
  struct window *window = g_new0 (struct window, 1);
  struct cp_address own;
  int error;

  parse (&own, net, vm, port);
  parse (&window->server, net, vm, behind);
  window->vm = vm;
  window->guests
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  uv_udp_init (&cuts.loop, &window->udp);
  window->udp.data = window;
  error = uv_udp_bind (&window->udp, &own.socket.any, 0);
  if (error == 0)
    error = uv_udp_recv_start (&window->udp, provide_buffer, on_datagram);
  if (error != 0)
    harness_require (false, "cannot receive at %s: %s", own.text,
                     uv_strerror (error));
  cuts.windows[cuts.n_windows++] = window;
}

/* Resets the connections across the cuts that are new.  */
static void
on_changed (uv_async_t *async)
{
  bool stopping;

  (void)async;
  pthread_mutex_lock (&cuts.lock);
  stopping = cuts.stopping;
  pthread_mutex_unlock (&cuts.lock);
  for (unsigned i = 0; i < cuts.pairs->len; i++)
    {
      struct pair *pair = cuts.pairs->pdata[i];

      if (is_cut (pair->client_vm, pair->server_vm))
        pair_close (pair, true);
    }
  if (stopping)
    uv_stop (&cuts.loop);
}

static void *
run (void *context)
{
  (void)context;
  uv_run (&cuts.loop, UV_RUN_DEFAULT);
  return NULL;
}

void
cuts_start (const char *net, unsigned n_vms)
{
  uv_loop_init (&cuts.loop);
  uv_async_init (&cuts.loop, &cuts.changed, on_changed);
  cuts.pairs = g_ptr_array_new ();
  for (unsigned vm = 1; vm <= n_vms; vm++)
    {
      open_door (net, vm, 7400, CUTS_PORT_PEERS);
      open_door (net, vm, 7401, CUTS_PORT_RPC);
      open_window (net, vm, 7401, CUTS_PORT_RPC);
    }
  open_door (net, PLATFORM_VM, 9000, CUTS_PORT_PLATFORM);
  cuts.running = true;
  harness_require (pthread_create (&cuts.thread, NULL, run, NULL) == 0,
                   "no thread for the relays");
}

static void
close_any (uv_handle_t *handle, void *context)
{
  (void)context;
  if (!uv_is_closing (handle))
    uv_close (handle, NULL);
}

void
cuts_stop (void)
{
  if (!cuts.running)
    return;
  pthread_mutex_lock (&cuts.lock);
  cuts.stopping = true;
  pthread_mutex_unlock (&cuts.lock);
  uv_async_send (&cuts.changed);
  pthread_join (cuts.thread, NULL);
  cuts.running = false;
  uv_walk (&cuts.loop, close_any, NULL);
  uv_run (&cuts.loop, UV_RUN_DEFAULT);
  uv_loop_close (&cuts.loop);
  cuts.stopping = false;
  cuts.n_doors = cuts.n_windows = cuts.n_cuts = 0;
}

void
cuts_add (unsigned from, unsigned to, unsigned other_from, unsigned other_to)
{
  pthread_mutex_lock (&cuts.lock);
  harness_require (cuts.n_cuts < CUTS_MAX, "too many cuts");
  cuts.cuts[cuts.n_cuts++] = (struct range){ from, to, other_from, other_to };
  pthread_mutex_unlock (&cuts.lock);
  if (cuts.running)
    uv_async_send (&cuts.changed);
}

void
cuts_remove (unsigned from, unsigned to, unsigned other_from,
             unsigned other_to)
{
  const struct range cut = { from, to, other_from, other_to };
  unsigned kept = 0;

  pthread_mutex_lock (&cuts.lock);
  for (unsigned i = 0; i < cuts.n_cuts; i++)
    {
      if (memcmp (&cuts.cuts[i], &cut, sizeof cut) != 0)
        cuts.cuts[kept++] = cuts.cuts[i];
    }
  harness_require (kept < cuts.n_cuts, "no such cut");
  cuts.n_cuts = kept;
  pthread_mutex_unlock (&cuts.lock);
}

void
cuts_heal (void)
{
  pthread_mutex_lock (&cuts.lock);
  cuts.n_cuts = 0;
  pthread_mutex_unlock (&cuts.lock);
}

/* The stand-in of a server.  */
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <urcu/list.h>

#include "lib/cleanup.h"
#include "net/message.h"
#include "net/stream.h"
#include "regress/harness/stage_internal.h"

#define SLOTS 13

/* Bytes of a flood that are queued at once, and the interval in ms.  */
#define FLOOD_BYTES (1U << 20)
#define FLOOD_MS 2

/* Size of the receive buffers, far less than the uploads of ?early.  */
#define RECEIVE_BYTES 65536

/* Time from the begin of a request that ends the server to its end.  */
#define CRASH_MS 20

/* One connection to the server.  */
struct guest
{
  struct cds_list_head node;
  struct net_stream stream;
  struct stage_server *server;
  struct net_message request;
  uv_timer_t timer;
  bool working;     /* at a request that is not answered */
  bool has_refused; /* a request that asked for ?late-copy */
  unsigned n_open;  /* handles that are not closed yet */
};

static bool
asks (const struct guest *guest, const char *what)
{
  const char *query = strchr (guest->request.target->str, '?');

  return query != NULL && strstr (query, what) != NULL;
}

static const char *
request_id (const struct guest *guest)
{
  const char *id
      = net_headers_find (&guest->request.headers, "X-Cornelpick-Request-Id");

  return id == NULL ? "" : id;
}

/* Counts a run.  Returns how many of the request there were before.  */
static unsigned
count_run (struct guest *guest)
{
  struct stage *stage = guest->server->stage;
  char *key = g_strdup (request_id (guest));
  gint64 now = g_get_monotonic_time ();
  unsigned before;

  pthread_mutex_lock (&stage->lock);
  before = GPOINTER_TO_UINT (g_hash_table_lookup (stage->runs, key));
  g_hash_table_replace (stage->runs, key, GUINT_TO_POINTER (before + 1));
  guest->server->runs++;
  g_array_append_val (guest->server->starts, now);
  g_string_truncate (guest->server->headers, 0);
  for (unsigned i = 0; i < guest->request.headers.count; i++)
    g_string_append_printf (guest->server->headers, "%s: %s\n",
                            net_headers_name (&guest->request.headers, i),
                            net_headers_value (&guest->request.headers, i));
  pthread_mutex_unlock (&stage->lock);
  return before;
}

static void
send_text (struct guest *guest, const char *text)
{
  GByteArray *bytes = g_byte_array_new ();

  g_byte_array_append (bytes, (const guint8 *)text, (guint)strlen (text));
  net_stream_write (&guest->stream, bytes);
}

/* Sends SCRIPT, with the request ID in its place.  Returns false if the script
   is empty.  */
static bool
send_script (struct guest *guest, const GByteArray *script)
{
  struct stage *stage = guest->server->stage;
  const char *id = request_id (guest);
  GByteArray *bytes = g_byte_array_new ();
  const guint8 *place;
  guint before;
  bool empty;

  pthread_mutex_lock (&stage->lock);
  empty = script->len == 0;
  place = empty ? NULL : memchr (script->data, '@', script->len);
  before = place == NULL ? script->len : (guint)(place - script->data);
  g_byte_array_append (bytes, script->data, before);
  if (place != NULL)
    {
      g_byte_array_append (bytes, (const guint8 *)id, (guint)strlen (id));
      g_byte_array_append (bytes, place + 1, script->len - before - 1);
    }
  pthread_mutex_unlock (&stage->lock);
  net_stream_write (&guest->stream, bytes);
  return !empty;
}

static unsigned
slowness_of (const struct stage_server *server)
{
  unsigned percent;

  pthread_mutex_lock (&server->stage->lock);
  percent = server->slowness_percent;
  pthread_mutex_unlock (&server->stage->lock);
  return percent;
}

static char *
copy_notice (const struct stage_server *server)
{
  char *notice;

  pthread_mutex_lock (&server->stage->lock);
  notice = g_strdup (server->notice);
  pthread_mutex_unlock (&server->stage->lock);
  return notice;
}

/* Composes an answer.  LENGTH below 0 gives none.  */
static char *
compose (const struct guest *guest, const char *status, const char *id,
         const char *more, const char *body, int length)
{
  char framing[64] = "Connection: close\r\n";
  CP_AUTO_FREE char *notice = copy_notice (guest->server);

  if (length >= 0)
    g_snprintf (framing, sizeof framing, "Content-Length: %d\r\n", length);
  return g_strdup_printf (
      "HTTP/1.1 %s\r\nX-Cornelpick-Request-Id: %s\r\n%s%s"
      "X-Cornelpick-Server-Load: %u,0,%d,%u\r\nKeep-Alive: timeout=10\r\n"
      "%s\r\n%s",
      status, id, more, notice, guest->server->running, SLOTS,
      slowness_of (guest->server), framing, body);
}

#define SIGNATURE "X-Cornelpick-Response-Signature: test\r\n"

static void
answer (struct guest *guest, const char *status, const char *more,
        const char *body)
{
  CP_AUTO_FREE char *text = compose (guest, status, request_id (guest), more,
                                     body, (int)strlen (body));

  send_text (guest, text);
}

static void
reset (struct guest *guest)
{
  struct linger linger = { .l_onoff = 1 };
  uv_os_fd_t fd;

  uv_fileno ((uv_handle_t *)&guest->stream.tcp, &fd);
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
  net_stream_close (&guest->stream);
}

/* Sends more of a head or body without end.  */
static void
on_flood (uv_timer_t *timer)
{
  struct guest *guest = timer->data;
  GByteArray *bytes;

  if (guest->stream.closing)
    {
      uv_timer_stop (timer);
      return;
    }
  if (guest->stream.unwritten >= FLOOD_BYTES)
    return;
  bytes = g_byte_array_sized_new (FLOOD_BYTES);
  g_byte_array_set_size (bytes, FLOOD_BYTES);
  memset (bytes->data, 'x', FLOOD_BYTES);
  net_stream_write (&guest->stream, bytes);
}

/* Begins an answer whose head or body never ends.  */
static void
begin_flood (struct guest *guest)
{
  CP_AUTO_FREE char *text = NULL;

  if (asks (guest, "flood-body"))
    text = compose (guest, "200 OK", request_id (guest), SIGNATURE, "", -1);
  else
    text = g_strdup ("HTTP/1.1 200 OK\r\nX-Long: ");
  send_text (guest, text);
  uv_timer_start (&guest->timer, on_flood, FLOOD_MS, FLOOD_MS);
}

/* Gives the answer that the query asks for when it is a bad one.  Returns
   false when it asks for none.  */
static bool
answer_badly (struct guest *guest)
{
  CP_AUTO_FREE char *text = NULL;
  const char *id = request_id (guest);
  const char *head = strstr (guest->request.target->str, "head=");

  if (head != NULL)
    {
      text = compose (guest, "200 OK", id, SIGNATURE, "whole", 5);
      text[MIN (strlen (text), g_ascii_strtoull (head + 5, NULL, 10))] = '\0';
      send_text (guest, text);
      net_stream_shutdown (&guest->stream);
      return true;
    }

  if (asks (guest, "scripted"))
    {
      send_script (guest, guest->server->script);
      net_stream_shutdown (&guest->stream);
      return true;
    }
  if (asks (guest, "cut"))
    text = compose (guest, "200 OK", id, SIGNATURE, "half", 400);
  else if (asks (guest, "reset"))
    text = compose (guest, "200 OK", id, SIGNATURE, "half", -1);
  else if (asks (guest, "garble"))
    text = g_strdup ("\001\002\003 not an answer\r\n\r\n");
  else
    return false;
  send_text (guest, text);
  if (asks (guest, "cut"))
    net_stream_close (&guest->stream);
  else if (asks (guest, "reset"))
    reset (guest);
  return true;
}

static void
answer_well (struct guest *guest)
{
  CP_AUTO_FREE char *text = NULL;
  const char *id = request_id (guest);

  if (asks (guest, "stray"))
    {
      CP_AUTO_FREE char *stray
          = compose (guest, "200 OK", "another", SIGNATURE, "stray", 5);

      send_text (guest, stray);
    }
  if (asks (guest, "unframed"))
    {
      text = compose (guest, "200 OK", id, SIGNATURE, "whole", -1);
      send_text (guest, text);
      net_stream_shutdown (&guest->stream);
      return;
    }
  answer (guest, "200 OK", asks (guest, "unsigned") ? "" : SIGNATURE,
          guest->request.body->len == 0 ? "whole" : "taken");
  if (asks (guest, "extra"))
    answer (guest, "200 OK", SIGNATURE, "extra");
}

/* Ends the work at a request.  */
static void
finish (struct guest *guest, bool badly)
{
  guest->working = false;
  guest->server->running--;
  if (badly && asks (guest, "error"))
    answer (guest, "500 Internal Server Error", SIGNATURE, "failed");
  else if (!badly || !answer_badly (guest))
    answer_well (guest);
  if (!guest->stream.closing)
    net_message_reset (&guest->request);
}

static void
on_worked (uv_timer_t *timer)
{
  finish (timer->data, false);
}

static bool
is_mute (const struct stage_server *server)
{
  bool mute;

  pthread_mutex_lock (&server->stage->lock);
  mute = server->mute_health;
  pthread_mutex_unlock (&server->stage->lock);
  return mute;
}

/* Returns the header that gives the remaining warm-up time, to be freed.  */
static char *
warm_up_header (const struct stage_server *server)
{
  gint64 left_us;

  pthread_mutex_lock (&server->stage->lock);
  left_us = server->cold_until_us - g_get_monotonic_time ();
  pthread_mutex_unlock (&server->stage->lock);
  if (left_us <= 0)
    return g_strdup ("");
  return g_strdup_printf ("X-Cornelpick-Warmup-Remaining-Ms: %" G_GINT64_FORMAT
                          "\r\n",
                          left_us / 1000 + 1);
}

static void
answer_health (struct guest *guest, const char *own)
{
  CP_AUTO_FREE char *warm_up = warm_up_header (guest->server);
  CP_AUTO_FREE char *more = g_strconcat (own, warm_up, NULL);

  answer (guest, "200 OK", more, "");
}

/* Returns whether the request has been refused on any connection.  */
static bool
was_refused (const struct guest *guest)
{
  return strcmp (guest->server->refused_id, request_id (guest)) == 0;
}

static void
refuse (struct guest *guest)
{
  answer (guest, "503 Service Unavailable", "X-Cornelpick-Not-Executed: 1\r\n",
          "");
}

static void
refuse_first (struct guest *guest)
{
  struct stage_server *server = guest->server;

  g_strlcpy (server->refused_id, request_id (guest),
             sizeof server->refused_id);
  guest->has_refused = true;
  refuse (guest);
}

static void
misdirected (struct guest *guest, const char *own)
{
  struct stage_server *server = guest->server;

  pthread_mutex_lock (&server->stage->lock);
  server->misdirected++;
  pthread_mutex_unlock (&server->stage->lock);
  answer (guest, "421 Misdirected Request", own, "");
}

/* Answers what is not run.  Returns false when the request is to run.  */
static bool
turn_away (struct guest *guest)
{
  const struct stage_server *server = guest->server;
  const char *expected = net_headers_find (&guest->request.headers,
                                           "X-Cornelpick-Expect-Instance");
  CP_AUTO_FREE char *own
      = g_strdup_printf ("X-Cornelpick-Instance-Id: %s\r\n", server->instance);

  if (strcmp (guest->request.target->str, "/health") == 0 && is_mute (server))
    return true;
  if (strcmp (guest->request.target->str, "/health") == 0)
    {
      if (!send_script (guest, server->health))
        answer_health (guest, own);
    }
  else if (expected != NULL && strcmp (expected, server->instance) != 0)
    misdirected (guest, own);
  else if (asks (guest, "shed"))
    refuse (guest);
  else if (asks (guest, "late-copy") && !was_refused (guest))
    refuse_first (guest);
  else
    return false;
  net_message_reset (&guest->request);
  return true;
}

static void server_close (struct stage_server *server);

static void
on_crash (uv_timer_t *timer)
{
  struct guest *guest = timer->data;
  struct stage_server *server = guest->server;

  pthread_mutex_lock (&server->stage->lock);
  server->crashes++;
  server->wanted = false;
  pthread_mutex_unlock (&server->stage->lock);
  server_close (server);
}

/* Writes a refusal again that belongs to an earlier request, or names none. */
static void
refuse_again (struct guest *guest)
{
  CP_AUTO_FREE char *text = g_strdup_printf (
      "HTTP/1.1 503 Service Unavailable\r\n%sX-Cornelpick-Not-Executed: 1\r\n"
      "Content-Length: 0\r\n\r\n",
      asks (guest, "nameless") ? "" : "X-Cornelpick-Request-Id: earlier\r\n");

  send_text (guest, text);
}

static void
work (struct guest *guest)
{
  const char *slow = strstr (guest->request.target->str, "slow=");
  unsigned before;
  bool badly;

  if (turn_away (guest))
    return;
  before = count_run (guest);
  badly = before == 0 || !asks (guest, "once");
  guest->working = true;
  guest->server->running++;
  if (asks (guest, "refuse-again"))
    refuse_again (guest);
  if (asks (guest, "late-copy") && guest->has_refused)
    refuse (guest);
  if (badly && asks (guest, "hang"))
    return;
  if (badly && asks (guest, "crash"))
    {
      uv_timer_start (&guest->timer, on_crash, CRASH_MS, 0);
      return;
    }
  if (badly && asks (guest, "flood"))
    {
      begin_flood (guest);
      return;
    }
  if (slow != NULL)
    uv_timer_start (&guest->timer, on_worked,
                    g_ascii_strtoull (slow + 5, NULL, 10), 0);
  else
    finish (guest, badly);
}

/* Returns the number behind NAME in the query, or 0.  */
static guint64
number_of (const struct guest *guest, const char *name)
{
  const char *at = strstr (guest->request.target->str, name);

  return at == NULL ? 0 : g_ascii_strtoull (at + strlen (name), NULL, 10);
}

static void
on_reset (uv_timer_t *timer)
{
  struct guest *guest = timer->data;

  guest->working = false;
  guest->server->running--;
  reset (guest);
}

/* Answers in part while the request is still being sent, if it asks for that.
 */
static void
answer_early (struct guest *guest)
{
  CP_AUTO_FREE char *text = NULL;

  if (!guest->request.headers_complete || !asks (guest, "early=")
      || guest->request.body->len < number_of (guest, "early="))
    return;
  count_run (guest);
  guest->working = true;
  guest->server->running++;
  net_stream_set_reading (&guest->stream, false);
  text = compose (
      guest, asks (guest, "too-large") ? "413 Content Too Large" : "200 OK",
      request_id (guest), SIGNATURE, "half", -1);
  send_text (guest, text);
  if (asks (guest, "fin"))
    net_stream_shutdown (&guest->stream);
  uv_timer_start (&guest->timer, on_reset, number_of (guest, "ms="), 0);
}

static void
on_data (struct net_stream *stream, const char *data, size_t length)
{
  struct guest *guest = stream->context;

  while (length > 0 && !stream->closing && !guest->working)
    {
      size_t used;
      enum net_parse_state state
          = net_message_feed (&guest->request, data, length, &used);

      data += used;
      length -= used;
      if (state == NET_INCOMPLETE)
        answer_early (guest);
      else if (state == NET_COMPLETE)
        work (guest);
      else
        {
          fprintf (stderr, "server %u gets what is no request\n",
                   guest->server->vm);
          net_stream_close (stream);
        }
    }
}

static void
on_ended (struct net_stream *stream, int error)
{
  struct guest *guest = stream->context;

  (void)error;
  if (guest->working)
    {
      pthread_mutex_lock (&guest->server->stage->lock);
      guest->server->left++;
      pthread_mutex_unlock (&guest->server->stage->lock);
      guest->server->running--;
      guest->working = false;
      uv_timer_stop (&guest->timer);
    }
  net_stream_close (stream);
}

static void
guest_free_when_closed (struct guest *guest)
{
  if (--guest->n_open > 0)
    return;
  cds_list_del (&guest->node);
  net_message_finish (&guest->request);
  g_free (guest);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  guest_free_when_closed (handle->data);
}

static void
on_released (struct net_stream *stream)
{
  struct guest *guest = stream->context;

  uv_close ((uv_handle_t *)&guest->timer, on_timer_closed);
  guest_free_when_closed (guest);
}

static const struct net_stream_events guest_events
    = { .data = on_data, .ended = on_ended, .released = on_released };

static void
on_accept (uv_stream_t *listener, int status)
{
  static const struct net_limits limits = { .head = 65536, .body = 1U << 24 };
  struct stage_server *server = listener->data;
  int receive_bytes = RECEIVE_BYTES;
  struct guest *guest;

  if (status < 0)
    return;
  guest = g_new0 (struct guest, 1);
  guest->server = server;
  guest->n_open = 2;
  net_message_init (&guest->request, HTTP_REQUEST, &limits);
  uv_timer_init (&server->stage->loop, &guest->timer);
  guest->timer.data = guest;
  cds_list_add_tail (&guest->node, &server->guests);
  if (net_stream_accept (&guest->stream, listener, &guest_events, guest) == 0)
    uv_recv_buffer_size ((uv_handle_t *)&guest->stream.tcp, &receive_bytes);
}

void
stage_server_set_instance (struct stage_server *server)
{
  server->born_ms = (uint64_t)g_get_real_time () / 1000;
  g_snprintf (server->instance, sizeof server->instance,
              "i-%u-%" G_GUINT64_FORMAT, server->vm, server->born_ms);
}

static void
server_listen (struct stage_server *server)
{
  struct cp_address address;
  char text[56];
  int error;

  cp_address_parse (&address, stage_address (server->stage, server->vm,
                                             STAGE_PORT_SERVER, text));
  error = net_listen (&server->listener, &server->stage->loop, &address,
                      on_accept);
  if (error != 0)
    harness_require (false, "%s: %s", text, uv_strerror (error));
  server->listener.data = server;
  server->listening = true;
}

struct stage_server *
stage_server_create (struct stage *stage, unsigned vm)
{
  struct stage_server *server = g_new0 (struct stage_server, 1);

  server->stage = stage;
  server->vm = vm;
  server->wanted = true;
  server->slowness_percent = 100;
  server->headers = g_string_new (NULL);
  server->script = g_byte_array_new ();
  server->health = g_byte_array_new ();
  server->starts = g_array_new (FALSE, FALSE, sizeof (gint64));
  CDS_INIT_LIST_HEAD (&server->guests);
  stage_server_set_instance (server);
  server_listen (server);
  return server;
}

static void
on_listener_closed (uv_handle_t *handle)
{
  struct stage_server *server = handle->data;

  server->closing = false;
}

static void
server_close (struct stage_server *server)
{
  struct guest *guest;

  if (server->listening)
    {
      server->closing = true;
      uv_close ((uv_handle_t *)&server->listener, on_listener_closed);
    }
  server->listening = false;
  cds_list_for_each_entry (guest, &server->guests, node)
  {
    uv_timer_stop (&guest->timer);
    net_stream_close (&guest->stream);
  }
}

void
stage_server_close (struct stage_server *server)
{
  server_close (server);
}

void
stage_server_wake (struct stage_server *server)
{
  bool wanted;

  pthread_mutex_lock (&server->stage->lock);
  wanted = server->wanted;
  pthread_mutex_unlock (&server->stage->lock);
  if (!wanted)
    {
      server_close (server);
      pthread_mutex_lock (&server->stage->lock);
      server->stopped = true;
      pthread_mutex_unlock (&server->stage->lock);
    }
  else if (!server->listening && !server->closing)
    server_listen (server);
}

void
stage_server_free (struct stage_server *server)
{
  g_string_free (server->headers, TRUE);
  g_byte_array_unref (server->script);
  g_byte_array_unref (server->health);
  g_array_unref (server->starts);
  g_free (server);
}

const char *
stage_server_instance (const struct stage_server *server)
{
  return server->instance;
}

uint64_t
stage_server_born (const struct stage_server *server)
{
  return server->born_ms;
}

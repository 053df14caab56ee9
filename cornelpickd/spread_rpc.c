#include <arpa/inet.h>
#include <rpc/rpc.h>
#include <string.h>
#include <sys/socket.h>
#include <xxhash.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"
#include "rpc/cornelpick.h"

#define UDP_BYTES_MAX 16384

/* Bytes of a message without its arguments: IP and UDP headers, and the RPC
   header of a call or reply with an empty credential (RFC 5531); and those of
   a new TCP connection.  */
#define CALL_HEADER_BYTES (28 + 40)
#define REPLY_HEADER_BYTES (28 + 24)
#define CONNECTION_OVERHEAD_BYTES 400

/* No more sections are fetched for an offer that has reached this size.  */
#define OFFER_BYTES_MAX (2 * CP_DOCUMENT_BYTES_MAX)

/* libtirpc registers services per process and passes no context to their
   procedures.  */
static struct daemon *served;

/* Adds a call and its reply, sent or received, to the control traffic
   counters.  REPLY is NULL when there was none.  */
static void
count_call (struct daemon *daemon, xdrproc_t call_routine, void *call,
            xdrproc_t reply_routine, void *reply)
{
  uint64_t bytes = CALL_HEADER_BYTES + xdr_sizeof (call_routine, call);

  if (reply != NULL)
    bytes += REPLY_HEADER_BYTES + xdr_sizeof (reply_routine, reply);
  cp_counters_add (&daemon->counters, COUNT_CONTROL_MESSAGES,
                   reply == NULL ? 1 : 2);
  cp_counters_add (&daemon->counters, COUNT_CONTROL_BYTES, bytes);
}

uint64_t
spread_digest_root (struct spread *spread, uint64_t *version)
{
  struct configuration *configuration = &spread->daemon->configuration;
  CP_AUTO_FREE struct cp_digest *digest = malloc (sizeof *digest);

  if (digest == NULL)
    abort ();
  CP_LOCK_SCOPE (&configuration->watch.lock);
  cp_sections_digest (&configuration->sections, digest);
  *version = digest->version;
  return cp_digest_hash (digest);
}

/* Fills in the digest of this daemon without entries; the strings are
   allocated.  */
static void
fill_digest (struct daemon *daemon, cp_rpc_digest *message)
{
  struct configuration *configuration = &daemon->configuration;
  uint64_t version;

  memset (message, 0, sizeof *message);
  message->sender = strdup (daemon->settings.vm);
  message->failure_domain = strdup (daemon->settings.failure_domain);
  message->peers_port = cp_address_port (&daemon->settings.peers);
  message->incarnation = daemon->incarnation;
  message->life = strdup (cp_daemon_state_names[daemon_life (daemon)]);
  message->current
      = configuration_state (configuration) == CONFIGURATION_CURRENT;
  message->root = spread_digest_root (&daemon->spread, &version);
  message->document_version = version;
}

static void
fill_entry (cp_rpc_digest_entry *entry, const struct cp_section *section)
{
  entry->section = strdup (section->entry.name);
  entry->section_version = section->entry.version;
  entry->since = section->entry.since;
  entry->hash = section->entry.hash;
  entry->refused_version = section->refusal.version;
  entry->refused_hash = section->refusal.hash;
  entry->refused = strdup (section->refusal.text);
}

/* Adds the entries, and the root and version again, so that all are from the
   same moment.  */
static void
fill_entries (struct daemon *daemon, cp_rpc_digest *message)
{
  struct configuration *configuration = &daemon->configuration;
  const struct cp_sections *sections = &configuration->sections;
  CP_AUTO_FREE struct cp_digest *digest = malloc (sizeof *digest);

  CP_LOCK_SCOPE (&configuration->watch.lock);
  message->entries.entries_val
      = calloc (sections->count + 1, sizeof (cp_rpc_digest_entry));
  if (digest == NULL || message->entries.entries_val == NULL)
    abort ();
  cp_sections_digest (sections, digest);
  message->root = cp_digest_hash (digest);
  message->document_version = digest->version;
  message->entries.entries_len = sections->count;
  for (unsigned i = 0; i < sections->count; i++)
    fill_entry (&message->entries.entries_val[i], &sections->list[i]);
}

static bool
sender_ip (struct svc_req *request, char ip[INET6_ADDRSTRLEN])
{
  const struct netbuf *sender = svc_getrpccaller (request->rq_xprt);
  const struct sockaddr *address = sender->buf;
  const void *number
      = address->sa_family == AF_INET6
            ? (const void *)&((const struct sockaddr_in6 *)address)->sin6_addr
            : (const void *)&((const struct sockaddr_in *)address)->sin_addr;

  return inet_ntop (address->sa_family, number, ip, INET6_ADDRSTRLEN) != NULL;
}

/* Updates the member with address IP from its digest and sets *PEER to its
   address.  Returns false when it is not a known member.  */
static bool
update_member (struct daemon *daemon, const char *ip,
               const cp_rpc_digest *message, struct cp_address *peer)
{
  struct cp_member_status news
      = { .name = message->sender,
          .failure_domain = message->failure_domain,
          .peer_port = message->peers_port,
          .incarnation = message->incarnation,
          .life = cp_daemon_state_parse (message->life) };
  const struct cp_member *member;

  CP_LOCK_SCOPE (&daemon->members.reader.lock);
  if (!cp_members_record_status (&daemon->members.table, ip, &news,
                                 cp_clock_now_us (daemon->clock)))
    return false;
  member = cp_members_find (&daemon->members.table, ip);
  *peer = member->peer_address;
  return true;
}

/* Returns whether the sender is not a known member; its call gets no
   answer.  */
static bool
refuse_unknown_sender (struct svc_req *request, char ip[INET6_ADDRSTRLEN])
{
  if (sender_ip (request, ip) && members_known (&served->members, ip))
    return false;
  daemon_count (served, COUNT_RPC_REFUSED);
  return true;
}

bool_t
cp_rpc_digest_1_svc (cp_rpc_digest *args, cp_rpc_digest *reply,
                     struct svc_req *request)
{
  char ip[INET6_ADDRSTRLEN];
  struct cp_address peer;

  daemon_count (served, COUNT_RPC_CALLS);
  memset (reply, 0, sizeof *reply);
  if (refuse_unknown_sender (request, ip)
      || !update_member (served, ip, args, &peer))
    return FALSE;
  fill_digest (served, reply);
  if (args->whole)
    fill_entries (served, reply);
  spread_handle_digest (&served->spread, &peer, args->document_version,
                        args->root);
  count_call (served, (xdrproc_t)xdr_cp_rpc_digest, args,
              (xdrproc_t)xdr_cp_rpc_digest, reply);
  return TRUE;
}

bool_t
cp_rpc_section_1_svc (cp_rpc_section_args *args, cp_rpc_section *reply,
                      struct svc_req *request)
{
  struct configuration *configuration = &served->configuration;
  const struct cp_section *section;
  char ip[INET6_ADDRSTRLEN];

  daemon_count (served, COUNT_RPC_CALLS);
  memset (reply, 0, sizeof *reply);
  if (refuse_unknown_sender (request, ip))
    return FALSE;
  pthread_mutex_lock (&configuration->watch.lock);
  section = cp_sections_find (&configuration->sections, args->section);
  if (section != NULL && section->text != NULL
      && section->entry.hash == args->hash)
    {
      reply->text.text_val = strdup (section->text);
      reply->text.text_len = (u_int)strlen (section->text);
    }
  pthread_mutex_unlock (&configuration->watch.lock);
  count_call (served, (xdrproc_t)xdr_cp_rpc_section_args, args,
              (xdrproc_t)xdr_cp_rpc_section, reply);
  return TRUE;
}

void
spread_rpc_init (struct daemon *daemon)
{
  served = daemon;
}

/* RPC client with its own socket.  */
struct spread_client
{
  int fd;
  CLIENT *client;
};

static void
close_client (struct spread_client *client)
{
  if (client->client != NULL)
    clnt_destroy (client->client);
  if (client->fd >= 0)
    close (client->fd);
}

static struct timeval
time_value (uint64_t time_us)
{
  return (struct timeval){ .tv_sec = (time_t)(time_us / CP_US_PER_S),
                           .tv_usec = (long)(time_us % CP_US_PER_S) };
}

/* Opens a socket that is bound to the IP address of this daemon, by which
   peers identify it.  */
static bool
open_socket (struct spread_client *client, const struct cp_address *own,
             int type, uint64_t timeout_us)
{
  struct cp_address local = *own;
  struct timeval timeout = time_value (timeout_us);

  if (local.socket.any.sa_family == AF_INET6)
    local.socket.v6.sin6_port = 0;
  else
    local.socket.v4.sin_port = 0;
  client->client = NULL;
  client->fd = socket (local.socket.any.sa_family, type | SOCK_CLOEXEC, 0);
  if (client->fd < 0)
    return false;
  setsockopt (client->fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  return bind (client->fd, &local.socket.any, local.length) == 0;
}

static bool
open_client (struct spread_client *client, const struct spread *spread,
             const struct cp_address *peer, int type, uint64_t timeout_us)
{
  struct cp_address rpc;
  struct netbuf server = { .maxlen = sizeof rpc.socket, .buf = &rpc.socket };
  struct timeval timeout = time_value (timeout_us);

  cp_address_rpc (peer, &rpc);
  server.len = rpc.length;
  if (!open_socket (client, &spread->daemon->settings.peers, type, timeout_us))
    return false;
  if (type == SOCK_DGRAM)
    client->client = clnt_dg_create (client->fd, &server, CP_RPC_PROGRAM,
                                     CP_RPC_V1, UDP_BYTES_MAX, UDP_BYTES_MAX);
  else if (connect (client->fd, &rpc.socket.any, rpc.length) == 0)
    client->client = clnt_vc_create (client->fd, &server, CP_RPC_PROGRAM,
                                     CP_RPC_V1, 0, 0);
  if (client->client == NULL)
    return false;
  clnt_control (client->client, CLSET_TIMEOUT, (char *)&timeout);
  if (type == SOCK_DGRAM)
    clnt_control (client->client, CLSET_RETRY_TIMEOUT, (char *)&timeout);
  return true;
}

static void
record_missed_answer (struct daemon *daemon, const struct cp_address *peer)
{
  char ip[INET6_ADDRSTRLEN];

  cp_address_host (peer, ip, sizeof ip);
  CP_LOCK_SCOPE (&daemon->members.reader.lock);
  cp_members_record_missed_answer (&daemon->members.table, ip,
                                   cp_clock_now_us (daemon->clock));
}

/* Sends the digest and updates the member from the reply.  WHOLE asks for the
   entries.  */
static bool
call_digest (struct spread *spread, struct spread_client *client,
             const struct cp_address *peer, bool whole, cp_rpc_digest *reply)
{
  struct daemon *daemon = spread->daemon;
  cp_rpc_digest args;
  struct cp_address advertised;
  char ip[INET6_ADDRSTRLEN];
  bool done;

  fill_digest (daemon, &args);
  args.whole = whole;
  memset (reply, 0, sizeof *reply);
  done = cp_rpc_digest_1 (&args, reply, client->client) == RPC_SUCCESS;
  count_call (daemon, (xdrproc_t)xdr_cp_rpc_digest, &args,
              (xdrproc_t)xdr_cp_rpc_digest, done ? reply : NULL);
  xdr_free ((xdrproc_t)xdr_cp_rpc_digest, (char *)&args);
  cp_address_host (peer, ip, sizeof ip);
  if (done)
    update_member (daemon, ip, reply, &advertised);
  return done;
}

bool
spread_exchange (struct spread *spread, const struct cp_address *peer,
                 uint64_t timeout_us, struct spread_answer *answer)
{
  struct spread_client client __attribute__ ((cleanup (close_client)));
  cp_rpc_digest reply;

  daemon_count (spread->daemon, COUNT_DIGESTS_SENT);
  if (!open_client (&client, spread, peer, SOCK_DGRAM, timeout_us)
      || !call_digest (spread, &client, peer, false, &reply))
    {
      record_missed_answer (spread->daemon, peer);
      return false;
    }
  answer->version = reply.document_version;
  answer->root = reply.root;
  answer->current = reply.current;
  xdr_free ((xdrproc_t)xdr_cp_rpc_digest, (char *)&reply);
  return true;
}

/* Copies the entries of a peer's digest.  Returns false when one is invalid or
   they are not in ascending order of names.  */
static bool
copy_digest (struct cp_offer *offer, const cp_rpc_digest *reply)
{
  struct cp_digest *digest = &offer->digest;

  digest->version = reply->document_version;
  for (u_int i = 0; i < reply->entries.entries_len; i++)
    {
      const cp_rpc_digest_entry *from = &reply->entries.entries_val[i];
      struct cp_digest_entry *entry = &digest->entries[i];
      struct cp_refusal *refusal = &offer->refusals[i];

      if (strlen (from->section) >= sizeof entry->name
          || (i > 0
              && strcmp (from->section, digest->entries[i - 1].name) <= 0)
          || from->section_version > digest->version)
        return false;
      g_strlcpy (entry->name, from->section, sizeof entry->name);
      entry->version = from->section_version;
      entry->since = from->since;
      entry->hash = from->hash;
      refusal->version = from->refused_version;
      refusal->hash = from->refused_hash;
      g_strlcpy (refusal->text, from->refused, sizeof refusal->text);
      digest->count++;
    }
  return true;
}

/* Fetches the text of a section.  Returns NULL when the peer does not have it
   or its hash does not match.  */
static char *
fetch_text (struct spread *spread, struct spread_client *client,
            struct cp_digest_entry *entry)
{
  cp_rpc_section_args args = { .section = entry->name, .hash = entry->hash };
  cp_rpc_section reply;
  char *text = NULL;

  memset (&reply, 0, sizeof reply);
  if (cp_rpc_section_1 (&args, &reply, client->client) != RPC_SUCCESS)
    return NULL;
  count_call (spread->daemon, (xdrproc_t)xdr_cp_rpc_section_args, &args,
              (xdrproc_t)xdr_cp_rpc_section, &reply);
  if (reply.text.text_len > 0
      && XXH3_64bits (reply.text.text_val, reply.text.text_len) == entry->hash)
    text = g_strndup (reply.text.text_val, reply.text.text_len);
  xdr_free ((xdrproc_t)xdr_cp_rpc_section, (char *)&reply);
  daemon_count (spread->daemon, COUNT_SECTIONS_FETCHED);
  return text;
}

/* Fetches the texts of OFFER that this daemon needs.  Stops at the first that
   the peer does not return.  */
static void
fetch_texts (struct spread *spread, struct spread_client *client,
             struct cp_offer *offer)
{
  struct configuration *configuration = &spread->daemon->configuration;
  CP_AUTO_FREE struct cp_digest *held = malloc (sizeof *held);
  bool wanted[CP_SECTIONS_MAX] = { false };
  size_t bytes = 0;

  if (held == NULL)
    abort ();
  pthread_mutex_lock (&configuration->watch.lock);
  cp_sections_digest (&configuration->sections, held);
  for (unsigned i = 0; i < offer->digest.count; i++)
    wanted[i]
        = cp_sections_needs_text (&configuration->sections, held,
                                  &offer->digest, &offer->digest.entries[i]);
  pthread_mutex_unlock (&configuration->watch.lock);
  for (unsigned i = 0; i < offer->digest.count && bytes < OFFER_BYTES_MAX; i++)
    {
      if (!wanted[i])
        continue;
      offer->texts[i] = fetch_text (spread, client, &offer->digest.entries[i]);
      if (offer->texts[i] == NULL)
        return;
      bytes += strlen (offer->texts[i]);
    }
}

bool
spread_fetch (struct spread *spread, const struct cp_address *peer,
              uint64_t timeout_us, enum cp_apply_result *result)
{
  struct spread_client client __attribute__ ((cleanup (close_client)));
  CP_AUTO_FREE struct cp_offer *offer = calloc (1, sizeof *offer);
  cp_rpc_digest reply;
  char source[CP_NAME_BYTES];
  bool valid;

  if (offer == NULL)
    abort ();
  cp_counters_add (&spread->daemon->counters, COUNT_CONTROL_BYTES,
                   CONNECTION_OVERHEAD_BYTES);
  if (!open_client (&client, spread, peer, SOCK_STREAM, timeout_us)
      || !call_digest (spread, &client, peer, true, &reply))
    {
      record_missed_answer (spread->daemon, peer);
      /* The cleanup attribute frees OFFER.  */
      /* cppcheck-suppress memleak */
      return false;
    }
  valid = copy_digest (offer, &reply);
  g_strlcpy (source, reply.sender, sizeof source);
  xdr_free ((xdrproc_t)xdr_cp_rpc_digest, (char *)&reply);
  *result = CP_APPLY_UNCHANGED;
  if (valid)
    {
      fetch_texts (spread, &client, offer);
      *result
          = configuration_take (&spread->daemon->configuration, source, offer);
    }
  cp_offer_finish (offer);
  return true;
}

#include <string.h>

#include "cornelpickd/cornelpickd.h"
#include "lib/cleanup.h"

/* Mean interval between exchanges with a random peer.  */
#define EXCHANGE_INTERVAL_US (500 * CP_US_PER_MS)

/* Number of peers that get the digest at once after a change: one in this
   failure domain and three in others.  */
#define FAN_OUT 4

#define EXCHANGE_TIMEOUT_US (250 * CP_US_PER_MS)
#define FETCH_TIMEOUT_US CP_US_PER_S

/* A daemon that starts queries peers until one of these limits is reached:
   answers, tries or time.  */
#define START_ANSWERS_WANTED 4
#define START_TRIES_MAX 8
#define START_TIMEOUT_US (5 * CP_US_PER_S / 2)
#define START_POLL_US (20 * CP_US_PER_MS)

/* Verification after a pause: peers asked per round, and the time between
   rounds.  */
#define VERIFY_PEERS 3
#define VERIFY_RETRY_US (200 * CP_US_PER_MS)

/* Chooses a random peer: in this failure domain when INDEX is a multiple of
   FAN_OUT, otherwise in another.  */
static bool
choose_peer (struct spread *spread, unsigned index, struct cp_address *peer)
{
  struct daemon *daemon = spread->daemon;

  CP_LOCK_SCOPE (&daemon->members.reader.lock);
  return cp_members_choose (
      &daemon->members.table, daemon->settings.failure_domain,
      index % FAN_OUT == 0 ? CP_MEMBERS_SAME_DOMAIN : CP_MEMBERS_OTHER_DOMAIN,
      cp_random_thread (), cp_clock_now_us (daemon->clock), peer);
}

static bool
is_unproductive (struct spread *spread, uint64_t root)
{
  CP_LOCK_SCOPE (&spread->worker.lock);
  for (unsigned i = 0; i < SPREAD_UNPRODUCTIVE_MAX; i++)
    if (root != 0 && spread->unproductive[i] == root)
      return true;
  return false;
}

/* Remembers the root of a fetch that brought nothing new.  Otherwise two
   daemons of which one refuses a section that the other accepts would fetch
   from each other forever.  */
static void
record_fetch (struct spread *spread, uint64_t root,
              enum cp_apply_result result)
{
  CP_LOCK_SCOPE (&spread->worker.lock);
  if (result == CP_APPLY_CHANGED || result == CP_APPLY_CONFIRMED)
    memset (spread->unproductive, 0, sizeof spread->unproductive);
  else
    spread->unproductive[spread->n_unproductive++ % SPREAD_UNPRODUCTIVE_MAX]
        = root;
}

/* Fetches the newer sections of PEER, whose digest has the root ROOT.  */
static void
fetch_newer (struct spread *spread, const struct cp_address *peer,
             uint64_t root)
{
  enum cp_apply_result result;

  if (spread_fetch (spread, peer, FETCH_TIMEOUT_US, &result))
    record_fetch (spread, root, result);
}

/* Exchanges digests with PEER and fetches its newer sections.  Returns whether
   it answered; *CURRENT is set to whether its configuration is current.  */
static bool
exchange_digests (struct spread *spread, const struct cp_address *peer,
                  bool *current)
{
  struct spread_answer answer;
  uint64_t version;

  if (!spread_exchange (spread, peer, EXCHANGE_TIMEOUT_US, &answer))
    return false;
  *current = answer.current;
  if (answer.root != spread_digest_root (spread, &version)
      && answer.version >= version && !is_unproductive (spread, answer.root))
    fetch_newer (spread, peer, answer.root);
  return true;
}

/* Exchanges digests with up to COUNT random peers.  */
static void
push_to_peers (struct spread *spread, unsigned count)
{
  struct cp_address peer;
  bool current;

  for (unsigned i = 0; i < count; i++)
    if (choose_peer (spread, i, &peer))
      exchange_digests (spread, &peer, &current);
}

/* Executes the scheduled fetches, except those whose root equals the local one
   by now.  */
static void
run_pulls (struct spread *spread)
{
  struct spread_pull pulls[SPREAD_PULLS_MAX];
  unsigned count;

  pthread_mutex_lock (&spread->worker.lock);
  count = spread->n_pulls;
  memcpy (pulls, spread->pulls, sizeof pulls);
  spread->n_pulls = 0;
  pthread_mutex_unlock (&spread->worker.lock);
  for (unsigned i = 0; i < count; i++)
    {
      uint64_t version;

      if (pulls[i].root != spread_digest_root (spread, &version))
        fetch_newer (spread, &pulls[i].address, pulls[i].root);
    }
}

/* Asks peers whether the document is outdated.  One peer in the state
   "current" is enough, after its newer sections were fetched.  Without one,
   another round is scheduled.  */
static void
verify_with_peers (struct spread *spread)
{
  struct configuration *configuration = &spread->daemon->configuration;
  struct cp_address peer;

  if (configuration_state (configuration) != CONFIGURATION_UNVERIFIED)
    return;
  for (unsigned i = 0; i < VERIFY_PEERS; i++)
    {
      bool current = false;

      if (choose_peer (spread, i, &peer)
          && exchange_digests (spread, &peer, &current) && current)
        {
          configuration_verified (configuration);
          return;
        }
    }
  pthread_mutex_lock (&spread->worker.lock);
  spread->verify = true;
  pthread_mutex_unlock (&spread->worker.lock);
}

/* Waits until the first read of the VM list has ended.  Returns false when the
   thread has to end.  */
static bool
wait_for_list (struct spread *spread)
{
  struct members *members = &spread->daemon->members;
  bool list_read_done = false;
  bool go_on = true;

  while (go_on && !list_read_done)
    {
      pthread_mutex_lock (&members->reader.lock);
      list_read_done = members->list_read_done;
      pthread_mutex_unlock (&members->reader.lock);
      if (list_read_done)
        break;
      CP_LOCK_SCOPE (&spread->worker.lock);
      go_on = worker_wait (&spread->worker,
                           cp_clock_now_us (spread->daemon->clock)
                               + START_POLL_US);
    }
  return go_on;
}

/* Queries peers in several failure domains, before the daemon serves.  */
static void
query_peers_at_start (struct spread *spread)
{
  const struct cp_clock *clock = spread->daemon->clock;
  uint64_t until;
  unsigned answers = 0;

  if (!wait_for_list (spread))
    return;
  until = cp_clock_now_us (clock) + START_TIMEOUT_US;
  for (unsigned i = 0; i < START_TRIES_MAX && answers < START_ANSWERS_WANTED
                       && cp_clock_now_us (clock) < until;
       i++)
    {
      struct cp_address peer;
      bool current;

      if (!choose_peer (spread, i, &peer))
        break;
      answers += exchange_digests (spread, &peer, &current);
    }
  cp_log (CP_LOG_INFO, CP_PART_CONFIGURATION,
          "%u peers answered at the start.", answers);
  configuration_peers_queried (&spread->daemon->configuration);
}

/* Waits until DUE_US or for scheduled work.  *PUSH and *VERIFY_NOW are set to
   what was scheduled.  Returns false when the thread has to end.  */
static bool
wait_for_work (struct spread *spread, uint64_t due_us, bool *push,
               bool *verify_now)
{
  uint64_t now = cp_clock_now_us (spread->daemon->clock);
  bool go_on = true;

  CP_LOCK_SCOPE (&spread->worker.lock);
  if (spread->verify)
    due_us = MIN (due_us, now + VERIFY_RETRY_US);
  if (!spread->push && spread->n_pulls == 0)
    go_on = worker_wait (&spread->worker, due_us);
  *push = spread->push;
  *verify_now = spread->verify;
  spread->push = false;
  spread->verify = false;
  return go_on && !spread->worker.stop;
}

static uint64_t
next_exchange_us (const struct cp_clock *clock)
{
  return cp_clock_now_us (clock) + EXCHANGE_INTERVAL_US / 2
         + cp_random_below (cp_random_thread (), EXCHANGE_INTERVAL_US);
}

static void *
run_spread (void *context)
{
  struct spread *spread = context;
  const struct cp_clock *clock = spread->daemon->clock;
  unsigned turn = 0;
  bool push;
  bool verify_now;
  uint64_t due;

  query_peers_at_start (spread);
  due = next_exchange_us (clock);
  while (wait_for_work (spread, due, &push, &verify_now))
    {
      run_pulls (spread);
      if (verify_now)
        verify_with_peers (spread);
      if (push)
        push_to_peers (spread, FAN_OUT);
      if (cp_clock_now_us (clock) >= due)
        {
          struct cp_address peer;
          bool current;

          /* Two exchanges in this failure domain, then two in others.  */
          if (choose_peer (spread, turn++ / 2 % 2 * (FAN_OUT - 1), &peer))
            exchange_digests (spread, &peer, &current);
          due = next_exchange_us (clock);
        }
    }
  return NULL;
}

void
spread_init (struct spread *spread, struct daemon *daemon)
{
  memset (spread, 0, sizeof *spread);
  spread->daemon = daemon;
  worker_init (&spread->worker, daemon->clock);
}

int
spread_start (struct spread *spread, struct cp_error *error)
{
  return worker_start (&spread->worker, "spread", run_spread, spread, error);
}

void
spread_stop (struct spread *spread)
{
  worker_stop (&spread->worker);
}

void
spread_schedule_push (struct spread *spread)
{
  CP_LOCK_SCOPE (&spread->worker.lock);
  spread->push = true;
  worker_wake (&spread->worker);
}

void
spread_schedule_verify (struct spread *spread)
{
  CP_LOCK_SCOPE (&spread->worker.lock);
  spread->verify = true;
  worker_wake (&spread->worker);
}

void
spread_handle_digest (struct spread *spread, const struct cp_address *peer,
                      uint64_t version, uint64_t root)
{
  uint64_t held_version;

  if (root == spread_digest_root (spread, &held_version)
      || version <= held_version || is_unproductive (spread, root))
    return;
  CP_LOCK_SCOPE (&spread->worker.lock);
  for (unsigned i = 0; i < spread->n_pulls; i++)
    if (spread->pulls[i].root == root)
      return;
  if (spread->n_pulls == SPREAD_PULLS_MAX)
    return;
  spread->pulls[spread->n_pulls].address = *peer;
  spread->pulls[spread->n_pulls++].root = root;
  worker_wake (&spread->worker);
}

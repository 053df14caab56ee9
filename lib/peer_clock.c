#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/cleanup.h"
#include "lib/peer_clock.h"

#define PPM 1000000
#define LATENCY_WEIGHT 8

void
cp_peer_clocks_init (struct cp_peer_clocks *peers,
                     const struct cp_clock *clock)
{
  pthread_mutex_init (&peers->lock, NULL);
  peers->clock = clock;
  peers->peers = g_hash_table_new_full (g_str_hash, g_str_equal, free, free);
}

void
cp_peer_clocks_finish (struct cp_peer_clocks *peers)
{
  g_hash_table_destroy (peers->peers);
  pthread_mutex_destroy (&peers->lock);
}

uint64_t
cp_peer_clock_bound (const struct cp_peer_clock *clock, uint64_t now_us)
{
  uint64_t elapsed_us = now_us - clock->received_us;

  if (clock->incarnation == 0)
    return 0;
  return clock->clock_us + elapsed_us - elapsed_us / PPM * CP_CLOCK_DRIFT_PPM
         - elapsed_us % PPM * CP_CLOCK_DRIFT_PPM / PPM;
}

void
cp_peer_clock_update (struct cp_peer_clock *clock, uint64_t incarnation,
                      uint64_t clock_us, uint64_t now_us)
{
  if (clock->incarnation == incarnation
      && cp_peer_clock_bound (clock, now_us) >= clock_us)
    return;
  clock->incarnation = incarnation;
  clock->clock_us = clock_us;
  clock->received_us = now_us;
}

/* Returns the entry of ADDRESS, created when it is missing.  */
static struct cp_peer_clock *
get_peer (struct cp_peer_clocks *peers, const char *address)
{
  struct cp_peer_clock *peer = g_hash_table_lookup (peers->peers, address);

  if (peer != NULL)
    return peer;
  if (g_hash_table_size (peers->peers) >= CP_PEER_CLOCKS_MAX)
    g_hash_table_remove_all (peers->peers);
  peer = calloc (1, sizeof *peer);
  if (peer == NULL)
    abort ();
  g_hash_table_insert (peers->peers, strdup (address), peer);
  return peer;
}

void
cp_peer_clocks_update (struct cp_peer_clocks *peers, const char *address,
                       uint64_t incarnation, uint64_t clock_us)
{
  uint64_t now_us = cp_clock_now_us (peers->clock);

  CP_LOCK_SCOPE (&peers->lock);
  cp_peer_clock_update (get_peer (peers, address), incarnation, clock_us,
                        now_us);
}

void
cp_peer_clocks_add_latency (struct cp_peer_clocks *peers, const char *address,
                            uint64_t latency_us)
{
  struct cp_peer_clock *peer;

  CP_LOCK_SCOPE (&peers->lock);
  peer = g_hash_table_lookup (peers->peers, address);
  if (peer == NULL)
    return;
  if (peer->latency_us == 0)
    peer->latency_us = latency_us;
  peer->latency_us = (peer->latency_us * (LATENCY_WEIGHT - 1) + latency_us)
                     / LATENCY_WEIGHT;
}

bool
cp_peer_clocks_get (struct cp_peer_clocks *peers, const char *address,
                    struct cp_peer_clock *entry, uint64_t *bound_us)
{
  const struct cp_peer_clock *peer;

  CP_LOCK_SCOPE (&peers->lock);
  peer = g_hash_table_lookup (peers->peers, address);
  if (peer == NULL || peer->incarnation == 0)
    return false;
  *entry = *peer;
  *bound_us = cp_peer_clock_bound (peer, cp_clock_now_us (peers->clock));
  return true;
}

void
cp_peer_clocks_remove (struct cp_peer_clocks *peers, const char *address)
{
  CP_LOCK_SCOPE (&peers->lock);
  g_hash_table_remove (peers->peers, address);
}

void
cp_peer_clock_text (uint64_t incarnation, uint64_t clock_us,
                    char text[CP_PEER_CLOCK_TEXT_BYTES])
{
  snprintf (text, CP_PEER_CLOCK_TEXT_BYTES, "%016" PRIx64 " %" PRIu64,
            incarnation, clock_us);
}

bool
cp_peer_clock_parse (const char *text, uint64_t *incarnation,
                     uint64_t *clock_us)
{
  if (strchr (text, '-') != NULL)
    return false;
  return sscanf (text, "%16" SCNx64 " %" SCNu64, incarnation, clock_us) == 2
         && *incarnation != 0;
}

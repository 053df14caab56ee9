/* What registering and fencing add to a call.  */
#include <malloc.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lib/attempt_table.h"
#include "lib/peer_clock.h"

#define CALLS 200000
#define KEEP_US (10 * CP_US_PER_S)
#define THREADS 4

/* One thread's share.  */
struct worker
{
  pthread_t thread;
  struct cp_attempt_table *attempts;
  struct cp_id *ids;
  uint64_t took_us;
};

static void
step (struct cp_attempt_table *attempts, const struct cp_id *id,
      enum cp_attempt_event event, uint64_t until)
{
  enum cp_attempt_state state;

  cp_attempt_table_step (attempts, id, event, until, &state);
}

static void *
register_calls (void *context)
{
  struct worker *worker = context;
  uint64_t began = cp_clock_now_us (&cp_clock_boot);
  uint64_t until = began + KEEP_US;

  for (unsigned i = 0; i < CALLS / THREADS; i++)
    {
      step (worker->attempts, &worker->ids[i], CP_ATTEMPT_ARRIVE, until);
      step (worker->attempts, &worker->ids[i], CP_ATTEMPT_START, until);
      step (worker->attempts, &worker->ids[i], CP_ATTEMPT_ANSWER, until);
    }
  worker->took_us = cp_clock_now_us (&cp_clock_boot) - began;
  return NULL;
}

static void
print_registering (struct cp_attempt_table *attempts, struct cp_id *ids)
{
  struct worker workers[THREADS];
  uint64_t took_us = 0;

  for (unsigned i = 0; i < THREADS; i++)
    {
      workers[i] = (struct worker){ .attempts = attempts,
                                    .ids = ids + i * (CALLS / THREADS) };
      pthread_create (&workers[i].thread, NULL, register_calls, &workers[i]);
    }
  for (unsigned i = 0; i < THREADS; i++)
    {
      pthread_join (workers[i].thread, NULL);
      took_us += workers[i].took_us;
    }
  printf ("%-44s %10.3f ns\n", "registering a call (3 steps, 4 threads)",
          (double)took_us * 1000 / CALLS);
}

static void
print_fencing (struct cp_attempt_table *attempts, struct cp_id *ids)
{
  uint64_t began = cp_clock_now_us (&cp_clock_boot);

  for (unsigned i = 0; i < CALLS; i++)
    step (attempts, &ids[i], CP_ATTEMPT_FENCE, began + KEEP_US);
  printf ("%-44s %10.3f ns\n", "fencing an attempt",
          (double)(cp_clock_now_us (&cp_clock_boot) - began) * 1000 / CALLS);
}

static void
print_clock (void)
{
  struct cp_peer_clocks peers;
  struct cp_peer_clock known;
  uint64_t bound;
  uint64_t began;

  cp_peer_clocks_init (&peers, &cp_clock_boot);
  began = cp_clock_now_us (&cp_clock_boot);
  for (unsigned i = 0; i < CALLS; i++)
    {
      cp_peer_clocks_update (&peers, "127.0.0.1:7400", 1, began + i);
      cp_peer_clocks_get (&peers, "127.0.0.1:7400", &known, &bound);
    }
  printf ("%-44s %10.3f ns\n", "learning and reading a peer's clock",
          (double)(cp_clock_now_us (&cp_clock_boot) - began) * 1000 / CALLS);
  cp_peer_clocks_finish (&peers);
}

/* Prints the bytes of the headers that attempts add on the wire.  */
static void
print_bytes (void)
{
  static const char request[]
      = "Cornelpick-Attempt: 00112233445566778899aabbccddeeff\r\n"
        "Cornelpick-Incarnation: 0011223344556677\r\n"
        "Cornelpick-Remaining-Us: 1950000\r\n"
        "Cornelpick-Start-By-Us: 1234567890123\r\n";
  static const char answer[]
      = "Cornelpick-Attempt: 00112233445566778899aabbccddeeff\r\n"
        "Cornelpick-Clock: 0011223344556677 1234567890123\r\n";

  printf ("%-44s %10zu bytes\n", "headers of an attempt", strlen (request));
  printf ("%-44s %10zu bytes\n", "headers of its answer", strlen (answer));
}

int
main (void)
{
  struct cp_id *ids = calloc (CALLS, sizeof *ids);
  struct cp_attempt_table attempts;
  struct cp_chart chart;
  struct cp_error error;
  char path[256];
  size_t before;

  snprintf (path, sizeof path, "%s/charts/attempt.json", getenv ("TOP"));
  if (ids == NULL
      || cp_chart_load (&chart, path, &cp_attempt_names, &error) != 0)
    return EXIT_FAILURE;
  for (unsigned i = 0; i < CALLS; i++)
    cp_id_create (&ids[i], cp_random_thread ());
  cp_attempt_table_init (&attempts, &cp_clock_boot, &chart, 2 * CALLS);
  before = mallinfo2 ().uordblks;
  print_registering (&attempts, ids);
  printf ("%-44s %10zu bytes\n", "memory of an entry",
          (mallinfo2 ().uordblks - before) / CALLS);
  for (unsigned i = 0; i < CALLS; i++)
    cp_id_create (&ids[i], cp_random_thread ());
  print_fencing (&attempts, ids);
  print_clock ();
  print_bytes ();
  cp_attempt_table_finish (&attempts);
  free (ids);
  return EXIT_SUCCESS;
}

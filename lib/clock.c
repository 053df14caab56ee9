#include <stdlib.h>
#include <sys/random.h>
#include <time.h>

#include "lib/clock.h"

static uint64_t
boot_now_us (void *context)
{
  struct timespec now;

  (void)context;
  clock_gettime (CLOCK_BOOTTIME, &now);
  return (uint64_t)now.tv_sec * CP_US_PER_S
         + (uint64_t)now.tv_nsec / CP_NS_PER_US;
}

const struct cp_clock cp_clock_boot = { boot_now_us, NULL };

static uint64_t
virtual_now_us (void *context)
{
  const struct cp_virtual_clock *clock = context;

  return clock->time_us;
}

void
cp_virtual_clock_init (struct cp_virtual_clock *clock, uint64_t start_us)
{
  clock->clock.now_us = virtual_now_us;
  clock->clock.context = clock;
  clock->time_us = start_us;
}

static uint64_t
seeded_next (void *context)
{
  GRand *generator = context;
  uint64_t high = g_rand_int (generator);

  return high << 32 | g_rand_int (generator);
}

void
cp_seeded_random_init (struct cp_seeded_random *random, uint64_t seed)
{
  guint32 words[2] = { (guint32)seed, (guint32)(seed >> 32) };

  random->generator = g_rand_new_with_seed_array (words, 2);
  random->random.next = seeded_next;
  random->random.context = random->generator;
}

void
cp_seeded_random_finish (struct cp_seeded_random *random)
{
  g_rand_free (random->generator);
  random->generator = NULL;
}

static pthread_key_t thread_key;
static pthread_once_t thread_once = PTHREAD_ONCE_INIT;

static void
release_thread_random (void *value)
{
  struct cp_seeded_random *random = value;

  cp_seeded_random_finish (random);
  free (random);
}

static void
create_thread_key (void)
{
  pthread_key_create (&thread_key, release_thread_random);
}

const struct cp_random *
cp_random_thread (void)
{
  static __thread struct cp_seeded_random *thread_random;
  uint64_t seed = 0;

  if (thread_random != NULL)
    return &thread_random->random;
  pthread_once (&thread_once, create_thread_key);
  thread_random = calloc (1, sizeof *thread_random);
  if (thread_random == NULL)
    abort ();
  if (getrandom (&seed, sizeof seed, 0) != sizeof seed)
    seed = cp_clock_now_us (&cp_clock_boot) ^ (uintptr_t)thread_random;
  cp_seeded_random_init (thread_random, seed);
  pthread_setspecific (thread_key, thread_random);
  return &thread_random->random;
}

/* Eight of 28 clients send requests behind each other and leave before they
   are answered; with TROUBLE=0 they wait for all answers.  The other clients
   call on kept connections.  */
#include <poll.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "review/rig.h"

#define LEAVERS 8
#define RUN_MS 60000

/* What a leaver sends in one burst, and the pause between two requests.  */
#define DEPTH 6
#define GAP_MS 8

/* How long after its last request a leaver closes: within half of the
   objective.  */
#define LEAVE_MS_MAX 100
#define OBJECTIVE_MS 200
#define DEADLINE_MS 800

/* Longer than "contact", so that the machines are in touch.  */
#define PAUSE_MS 4000

#define BETWEEN_BURSTS_MS 100

static pthread_barrier_t burst;
static bool stopping;
static bool go_on; /* written by the first, read behind a barrier */
static unsigned sent;
static unsigned answered;
static unsigned left;

static void
add (unsigned *count, unsigned number)
{
  __atomic_fetch_add (count, number, __ATOMIC_SEQ_CST);
}

static unsigned
count_answers (const char *bytes, size_t length)
{
  static const char text[] = "HTTP/1.1 ";
  const char *end = bytes + length;
  unsigned count = 0;

  while ((bytes = memmem (bytes, (size_t)(end - bytes), text, sizeof text - 1))
         != NULL)
    {
      bytes += sizeof text - 1;
      count++;
    }
  return count;
}

/* Reads answers until UNTIL_MS, until all have come, or until the connection
   closes.  Returns how many came.  */
static unsigned
read_answers (int fd, uint64_t until_ms)
{
  char bytes[65536];
  unsigned count = 0;

  while (count < DEPTH)
    {
      uint64_t now_ms = rig_now_ms ();
      struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
      ssize_t length;

      if (now_ms >= until_ms
          || poll (&poll_fd, 1, (int)(until_ms - now_ms)) <= 0)
        break;
      length = recv (fd, bytes, sizeof bytes, 0);
      if (length <= 0)
        break;
      count += count_answers (bytes, (size_t)length);
    }
  return count;
}

static void
send_burst (unsigned number, unsigned *last_id, unsigned *seed)
{
  int fd = rig_connect (1);
  uint64_t until_ms;

  if (fd < 0)
    return;
  for (unsigned i = 0; i < DEPTH; i++)
    {
      char text[400];

      ++*last_id;
      snprintf (text, sizeof text,
                "GET /read/p%u?work=150&bytes=400 HTTP/1.1\r\n"
                "Host: catalogue.example\r\n"
                "X-Cornelpick-Request-Id: %08x%08x\r\n"
                "X-Cornelpick-Deadline-Ms: %d\r\n\r\n",
                *last_id, 0xb0000000U + number, *last_id, DEADLINE_MS);
      send (fd, text, strlen (text), MSG_NOSIGNAL);
      rig_sleep_ms (GAP_MS);
    }
  add (&sent, DEPTH);
  until_ms = rig_now_ms ();
  until_ms += rig_trouble () ? (uint64_t)rand_r (seed) % (LEAVE_MS_MAX + 1)
                             : 2 * DEADLINE_MS;
  add (&answered, read_answers (fd, until_ms));
  close (fd);
  add (&left, 1);
}

static void *
run_leaver (void *context)
{
  unsigned number = (unsigned)(uintptr_t)context;
  unsigned seed = number + 1;
  unsigned last_id = 0;

  for (;;)
    {
      if (number == 0)
        go_on = !__atomic_load_n (&stopping, __ATOMIC_SEQ_CST);
      pthread_barrier_wait (&burst);
      if (!go_on)
        return NULL;
      send_burst (number, &last_id, &seed);
      rig_sleep_ms (BETWEEN_BURSTS_MS);
      pthread_barrier_wait (&burst);
    }
}

int
main (void)
{
  static const char *const services[] = { "catalogue", "adoptions" };
  static const struct rig_load loads[]
      = { { 1, "adoptions.example", "/read/b?work=60&bytes=400", 6, 2000 },
          { 2, "catalogue.example", "/read/c?work=60&bytes=400", 2, 2000 },
          { 2, "adoptions.example", "/write/d?work=20&bytes=400", 12, 2000 } };
  pthread_t threads[LEAVERS];
  bool broken;

  rig_start (2, services);
  rig_configure (DEADLINE_MS, OBJECTIVE_MS);
  rig_start_daemons ();
  for (unsigned i = 0; i < sizeof loads / sizeof loads[0]; i++)
    rig_load_start (&loads[i]);
  rig_sleep_ms (PAUSE_MS);
  pthread_barrier_init (&burst, NULL, LEAVERS);
  for (unsigned i = 0; i < LEAVERS; i++)
    pthread_create (&threads[i], NULL, run_leaver, (void *)(uintptr_t)i);
  rig_sleep_ms (RUN_MS);
  __atomic_store_n (&stopping, true, __ATOMIC_SEQ_CST);
  for (unsigned i = 0; i < LEAVERS; i++)
    pthread_join (threads[i], NULL);
  rig_load_stop ();
  rig_sleep_ms (500);
  rig_record (
      "the %d leavers on vm 1 sent %u requests of /read/ in %u bursts, "
      "got %u answers and closed their connections %s",
      LEAVERS, sent, left, answered,
      rig_trouble () ? "before the others" : "after the last one");
  broken = rig_judge_lost (1);
  rig_record (broken ? "the rule was broken" : "the rule held");
  rig_stop ();
  return broken;
}

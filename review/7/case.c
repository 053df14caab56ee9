/* A daemon starts while a server leaves, and reads a listing of several pages,
   of which the later ones are stale.  The server must get no requests later
   than the drain time after the store acknowledged that it is gone.

   Variant "own": it is the daemon beside the server.
   Variant "other": it is that of another machine; the one beside the server
   runs undisturbed.  */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "review/stand_ins.h"

/* Machine 1 has the server that leaves.  */
#define MACHINES 4
#define LEAVING "i-z-1"

/* Entries of other servers, whose machines are down, so that a listing has two
   pages.  Their keys come before those of the servers of alpha.  */
#define OTHERS 52
#define FIRST_OTHER 100
#define PAGE_ITEMS 50

#define STALE_MS 2000
#define CALLERS 8
#define WORK_MS 300

/* Time for which the daemon is down, and from the removal to its start.  */
#define DOWN_MS 1000
#define START_OWN_MS 700
#define START_OTHER_MS 5

/* Time from a change of another entry to the removal.  */
#define CHANGE_MS 100

/* After the removal: from when late requests are counted, drain and some time
   on the way, or the start, contact and some time; and the end of the
   server.  */
#define COUNT_OWN_MS 5000
#define COUNT_OTHER_MS 2300
#define END_MS 9000

static struct deployment deployment;
static int stopping;
static int lost;

static void *
call_on (void *context)
{
  unsigned caller = GPOINTER_TO_UINT (context);
  struct client client;
  struct answer answer;
  unsigned number = 0;
  char path[64];
  char id[32];

  g_snprintf (path, sizeof path, "/write/1?ms=%d", WORK_MS);
  while (!g_atomic_int_get (&stopping))
    {
      g_snprintf (id, sizeof id, "write-%u-%u", caller, ++number);
      client_open (&client, &deployment, 1);
      if (client_send (&client, "POST", path, id, 3000, 100))
        {
          client_read (&client, &answer);
          note ("%s gets %d", id, answer.status);
          if (answer.status == 502)
            g_atomic_int_inc (&lost);
        }
      client_close (&client);
      sleep_ms (50);
    }
  return NULL;
}

static const char *
service_of (unsigned machine)
{
  return machine == MACHINES ? "beta" : "alpha";
}

/* Returns the server that will leave.  */
static struct server *
start_servers (void)
{
  struct server *leaving = NULL;
  char ip[24];
  char id[16];

  for (unsigned i = FIRST_OTHER; i < FIRST_OTHER + OTHERS; i++)
    {
      g_snprintf (id, sizeof id, "i-a-%u", i);
      deployment_enter (&deployment, i, id, "beta", "ready");
    }
  for (unsigned i = 1; i <= MACHINES; i++)
    {
      struct server *server;

      g_snprintf (id, sizeof id, "i-m-%u", i);
      server = server_start (machine_ip (&deployment, i, ip),
                             i == 1 ? LEAVING : id);
      leaving = i == 1 ? server : leaving;
      deployment_enter (&deployment, i, i == 1 ? LEAVING : id, service_of (i),
                        "ready");
    }
  return leaving;
}

static void
start_all (void)
{
  for (unsigned i = 1; i <= MACHINES; i++)
    daemon_start (&deployment, i, service_of (i));
  for (unsigned i = 1; i <= MACHINES; i++)
    daemon_wait_ready (&deployment, i);
  sleep_ms (4000);
  for (unsigned i = 1; i <= CALLERS; i++)
    start_thread (call_on, GUINT_TO_POINTER (i));
  sleep_ms (1000);
}

/* Kills the daemon of MACHINE, removes the entry of the server that leaves,
   and starts the daemon START_MS later.  Returns the time of the removal.  */
static int64_t
remove_and_start (unsigned machine, int64_t start_ms)
{
  int64_t gone_ms;

  daemon_signal (&deployment, machine, SIGKILL);
  sleep_ms (DOWN_MS - CHANGE_MS - start_ms);
  deployment_enter (&deployment, 2, "i-m-2", "alpha", "ready");
  sleep_ms (CHANGE_MS);
  if (has_trouble ())
    store_set_stale (deployment.store, STALE_MS);
  store_remove (deployment.store, "servers/" LEAVING);
  gone_ms = now_ms ();
  sleep_ms (start_ms);
  daemon_start (&deployment, machine, service_of (machine));
  daemon_wait_ready (&deployment, machine);
  return gone_ms;
}

int
main (int argc, char **argv)
{
  struct server *leaving;
  int64_t gone_ms;
  int64_t count_ms;
  unsigned late;
  bool own;

  need (argc == 3, "usage: case RECORD own|other");
  own = strcmp (argv[2], "own") == 0;
  count_ms = own ? COUNT_OWN_MS : COUNT_OTHER_MS;
  deployment_init (&deployment, argv[1], PAGE_ITEMS);
  deployment_configure (&deployment, 1);
  leaving = start_servers ();
  start_all ();
  gone_ms = own ? remove_and_start (1, START_OWN_MS)
                : remove_and_start (MACHINES, START_OTHER_MS);
  sleep_ms (gone_ms + count_ms - now_ms ());
  late = server_runs (leaving);
  sleep_ms (gone_ms + END_MS - now_ms ());
  late = server_runs (leaving) - late;
  server_end (leaving);
  sleep_ms (1500);
  g_atomic_int_set (&stopping, 1);
  sleep_ms (500);
  note ("%s: %u requests reached " LEAVING " later than %d ms after it was "
        "gone; %d were answered 502; the rule %s",
        argv[2], late, (int)count_ms, g_atomic_int_get (&lost),
        late > 0 ? "is broken" : "held");
  deployment_finish (&deployment);
  return late > 0 ? RULE_BROKEN : RULE_HELD;
}

/* All daemons are killed at once, just after a server has left, and start
   again. The later pages of the listings that they read are stale.  The server
   must get no requests later than the drain time after the store acknowledged
   that it is gone.  */
#include <signal.h>
#include <stdio.h>

#include "review/stand_ins.h"

/* Machines 1 to 3 have servers of alpha, the others of beta.  That of machine
   1 leaves.  Its key comes last, so that it is on the second page.  */
#define MACHINES 56
#define SERVERS_OF_ALPHA 3
#define LEAVING "i-z-1"
#define PAGE_ITEMS 50

#define DRAIN_MS 2500

#define STALE_MS 2000
#define CALLERS 8
#define WORK_MS 300

/* After the removal: the kill of the daemons, their start, from when late
   requests are counted (the start, contact and some time), and the end of the
   server.  */
#define KILL_MS 200
#define START_MS 700
#define COUNT_MS 5000
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
  return machine <= SERVERS_OF_ALPHA ? "alpha" : "beta";
}

/* Returns the server that will leave.  */
static struct server *
start_servers (void)
{
  struct server *leaving = NULL;
  char ip[24];
  char id[16];

  for (unsigned i = 1; i <= MACHINES; i++)
    {
      struct server *server;

      g_snprintf (id, sizeof id, "i-a-%u", i);
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

/* Kills all daemons and starts them again START_MS after GONE_MS.  */
static void
restart_all (int64_t gone_ms)
{
  for (unsigned i = 1; i <= MACHINES; i++)
    daemon_signal (&deployment, i, SIGKILL);
  sleep_ms (gone_ms + START_MS - now_ms ());
  for (unsigned i = 1; i <= MACHINES; i++)
    daemon_start (&deployment, i, service_of (i));
  for (unsigned i = 1; i <= MACHINES; i++)
    daemon_wait_ready (&deployment, i);
}

int
main (int argc, char **argv)
{
  static const unsigned seeds[3] = { 2, 3, 4 };
  struct server *leaving;
  int64_t gone_ms;
  unsigned late;

  need (argc == 2, "usage: case RECORD");
  deployment_init (&deployment, argv[1], PAGE_ITEMS);
  deployment.drain_ms = DRAIN_MS;
  deployment_seed (&deployment, seeds);
  deployment_configure (&deployment, 1);
  leaving = start_servers ();
  start_all ();
  if (has_trouble ())
    store_set_stale (deployment.store, STALE_MS);
  store_remove (deployment.store, "servers/" LEAVING);
  gone_ms = now_ms ();
  sleep_ms (KILL_MS);
  restart_all (gone_ms);
  sleep_ms (gone_ms + COUNT_MS - now_ms ());
  late = server_runs (leaving);
  sleep_ms (gone_ms + END_MS - now_ms ());
  late = server_runs (leaving) - late;
  server_end (leaving);
  sleep_ms (1500);
  g_atomic_int_set (&stopping, 1);
  sleep_ms (500);
  note ("%u requests reached " LEAVING " later than %d ms after it was gone; "
        "%d were answered 502; the rule %s",
        late, COUNT_MS, g_atomic_int_get (&lost),
        late > 0 ? "is broken" : "held");
  deployment_finish (&deployment);
  return late > 0 ? RULE_BROKEN : RULE_HELD;
}

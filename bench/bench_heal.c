/* After a partition: time from its end until the newest version is in force
   everywhere.  The far half of the fleet reaches neither the near one nor the
   service while a change is made; the service is down when the cut heals, so
   that only the exchange between daemons can carry the change over.  */
#include <stdio.h>
#include <stdlib.h>

#include "regress/harness/spread.h"

#define DOMAINS 9
#define ROUNDS 5
#define CUT_US (5 * G_USEC_PER_SEC)

/* Returns the time at which VERSION was in force at all, after waiting.  */
static gint64
last_in_force (const struct fleet *fleet)
{
  gint64 last = 0;

  for (unsigned vm = 1; vm <= fleet->n_vms; vm++)
    {
      gint64 when;

      while ((when = fleet_in_force_at (fleet, vm, fleet->version)) == 0)
        g_usleep (20000);
      last = MAX (last, when);
    }
  return last;
}

static void
run_fleet (unsigned daemons)
{
  struct fleet fleet;
  unsigned half = daemons / 2;
  double most = 0;
  double sum = 0;

  fleet_start (&fleet, daemons, DOMAINS, NULL);
  fleet_list (&fleet, 0);
  for (unsigned i = 0; i < ROUNDS; i++)
    {
      gint64 healed;
      double ms;

      fleet_cut (1, half, half + 1, daemons);
      fleet_cut (half + 1, daemons, 250, 250);
      fleet_change (&fleet, NULL);
      fleet_wait_version (&fleet, 1, half, fleet.version);
      g_usleep (CUT_US);
      fleet_control (&fleet, 0, "{\"down\": true}");
      healed = g_get_real_time ();
      fleet_heal ();
      ms = MAX (0, (double)(last_in_force (&fleet) - healed) / 1000);
      fleet_control (&fleet, 0, "{\"down\": false}");
      sum += ms;
      most = MAX (most, ms);
    }
  printf ("{\"bench\": \"heal\", \"daemons\": %u, \"rounds\": %d, "
          "\"mean_ms\": %.0f, \"most_ms\": %.0f}\n",
          daemons, ROUNDS, sum / ROUNDS, most);
  fflush (stdout);
  fleet_stop (&fleet);
}

int
main (void)
{
  static const unsigned sizes[] = { 6, 25, 50 };

  fleet_call_threads = 4;
  fleet_peer_threads = 4;
  fleet_without_targets = true;
  fleet_allow_cuts ();
  for (unsigned i = 0; i < G_N_ELEMENTS (sizes); i++)
    run_fleet (sizes[i]);
  return 0;
}

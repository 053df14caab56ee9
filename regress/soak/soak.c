/* A campaign of mixed faults over six daemons and six targets.

   SECONDS is how long it takes (600), SEED makes the choice of faults
   repeatable.  Ends with status 1 when a call ran twice, when not-run was said
   of one that ran, or when an answer was mixed up or cut and looked whole.  */
#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "lib/clock.h"
#include "regress/harness/campaign.h"
#include "regress/harness/relay.h"
#include "regress/harness/suite.h"

#define VMS 6
#define RELAYED_VM 2
#define CALLERS 6
#define SECONDS_DEFAULT 600
#define SEED_DEFAULT 1
#define PAUSE_MS_MAX 3000
#define BETWEEN_MS_MAX 400
#define STOP_SECONDS 120

struct soak
{
  struct fleet fleet;
  struct relay relay;
  struct campaign orders;
  struct campaign reads;
  struct cp_seeded_random random;
  unsigned faults;
};

static unsigned
number_from (const char *name, unsigned otherwise)
{
  const char *text = getenv (name);

  return text == NULL ? otherwise : (unsigned)strtoul (text, NULL, 10);
}

static unsigned
draw (struct soak *soak, unsigned limit)
{
  return (unsigned)cp_random_below (&soak->random.random, limit);
}

static void
wait_ms (struct soak *soak, unsigned most)
{
  usleep ((1 + draw (soak, most)) * 1000);
}

static void
kill_daemon (struct soak *soak, unsigned vm)
{
  process_signal (&soak->fleet.daemons[vm], SIGKILL);
  wait_ms (soak, BETWEEN_MS_MAX);
  fleet_start_daemon (&soak->fleet, vm);
}

static void
restart_daemon (struct soak *soak, unsigned vm)
{
  process_signal (&soak->fleet.daemons[vm], SIGTERM);
  fleet_start_daemon (&soak->fleet, vm);
}

static void
pause_daemon (struct soak *soak, unsigned vm)
{
  process_signal (&soak->fleet.daemons[vm], SIGSTOP);
  wait_ms (soak, PAUSE_MS_MAX);
  process_signal (&soak->fleet.daemons[vm], SIGCONT);
}

static void
disturb_target (struct soak *soak, unsigned vm)
{
  static const char *const modes[]
      = { "{\"mode\": \"silent\"}", "{\"mode\": \"cut\"}",
          "{\"mode\": \"fail\"}", "{\"mode\": \"shed\"}" };

  fleet_control (&soak->fleet, vm, modes[draw (soak, G_N_ELEMENTS (modes))]);
  wait_ms (soak, BETWEEN_MS_MAX);
  fleet_control (&soak->fleet, vm, "{\"mode\": \"normal\"}");
}

static void
silence_connections (struct soak *soak, unsigned vm)
{
  (void)vm;
  relay_silence (&soak->relay,
                 draw (soak, 2) == 0 ? RELAY_SWALLOW : RELAY_DROP_ANSWER);
}

static void
hold_connections (struct soak *soak, unsigned vm)
{
  (void)vm;
  relay_hold (&soak->relay, true);
  wait_ms (soak, PAUSE_MS_MAX);
  relay_hold (&soak->relay, false);
}

static void
inject (struct soak *soak)
{
  static void (*const faults[]) (struct soak *, unsigned)
      = { kill_daemon,    restart_daemon,      pause_daemon,
          disturb_target, silence_connections, hold_connections };

  faults[draw (soak, G_N_ELEMENTS (faults))](soak, 1 + draw (soak, VMS));
  soak->faults++;
}

static void
start_calls (struct soak *soak, struct campaign *campaign, const char *method,
             const char *path, const char *body)
{
  campaign->fleet = &soak->fleet;
  campaign->method = method;
  campaign->path = path;
  campaign->body = body;
  campaign->first_vm = 1;
  campaign->last_vm = VMS;
  campaign->n_callers = CALLERS;
  campaign_start (campaign);
}

static bool
print_totals (const char *name, const struct campaign_totals *totals)
{
  printf ("%s: calls %u, ran %u, not run %u, unknown %u (%.4f of all), "
          "refused connections %u, no whole answer %u\n"
          "  duplicates %u, false not-run %u, false ran %u, mixed answers %u, "
          "cut answers that looked whole %u\n",
          name, totals->calls, totals->told[TOLD_RAN],
          totals->told[TOLD_NOT_RUN], totals->told[TOLD_UNKNOWN],
          totals->calls == 0
              ? 0
              : (double)totals->told[TOLD_UNKNOWN] / totals->calls,
          totals->told[TOLD_REFUSED], totals->told[TOLD_NOTHING],
          totals->duplicates, totals->false_not_run, totals->false_ran,
          totals->mixed, totals->cut);
  return totals->false_not_run + totals->false_ran + totals->mixed
             + totals->cut
         == 0;
}

START_TEST (faults_mixed_over_the_fleet)
{
  static struct soak soak;
  uint64_t seconds = number_from ("SECONDS", SECONDS_DEFAULT);
  uint64_t until;
  struct campaign_totals orders;
  struct campaign_totals reads;
  char address[56];
  char from[56];
  char server[56];
  bool held;

  setvbuf (stdout, NULL, _IOLBF, 0);
  cp_seeded_random_init (&soak.random, number_from ("SEED", SEED_DEFAULT));
  fleet_start_relayed (&soak.fleet, VMS, 3, NULL, RELAYED_VM);
  relay_start (&soak.relay,
               fleet_address (&soak.fleet, RELAYED_VM, 7400, address),
               fleet_address (&soak.fleet, 1, 1, from),
               fleet_address (&soak.fleet, RELAYED_VM, 7500, server));
  start_calls (&soak, &soak.orders, "POST", "/orders", "elephant");
  start_calls (&soak, &soak.reads, "GET", "/items/1", NULL);
  until = cp_clock_now_us (&cp_clock_boot) + seconds * CP_US_PER_S;
  while (cp_clock_now_us (&cp_clock_boot) < until)
    {
      inject (&soak);
      wait_ms (&soak, BETWEEN_MS_MAX);
    }
  __atomic_store_n (&soak.orders.stop, true, __ATOMIC_RELEASE);
  __atomic_store_n (&soak.reads.stop, true, __ATOMIC_RELEASE);
  campaign_end (&soak.orders, &orders);
  campaign_end (&soak.reads, &reads);
  printf ("faults %u\n", soak.faults);
  held = print_totals ("orders", &orders);
  held = print_totals ("reads", &reads) && held && orders.duplicates == 0;
  fleet_stop (&soak.fleet);
  relay_stop (&soak.relay);
  ck_assert (held);
}
END_TEST

static void
add_tests (TCase *tests)
{
  tcase_add_test (tests, faults_mixed_over_the_fleet);
}

int
main (void)
{
  return suite_run ("soak", add_tests,
                    number_from ("SECONDS", SECONDS_DEFAULT) + STOP_SECONDS);
}

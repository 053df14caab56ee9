/* One of two servers refuses some requests, and of one refusal in ten it sends
   a second copy, late, on the same connection.  At that moment the link
   between the two daemons goes silent and is reset, so that the refusal does
   not arrive.  With TROUBLE=0 there is none of this.  */
#include <stdio.h>
#include <unistd.h>

#include "review/rig.h"

#define CALLER_VM 1
#define FAULTY_VM 3 /* in the failure domain of the caller */
#define REQUESTS 600
#define DEADLINE_MS 1000
#define OBJECTIVE_MS 250

/* Of the requests at the faulty server, and of these refusals.  */
#define SHED_PERCENT 30
#define COPY_PERCENT 10

/* How long the link is silent before it is reset.  */
#define SILENT_MS 5

/* Longer than "contact", and than the time after its start in which a daemon
   does not use the slack of the retry budget.  */
#define PAUSE_MS 16000

static unsigned resets;

static void *
reset_link (void *context)
{
  (void)context;
  rig_sleep_ms (SILENT_MS);
  rig_relay_reset (CALLER_VM, FAULTY_VM);
  rig_relay_hold (CALLER_VM, FAULTY_VM, false);
  return NULL;
}

static void
on_copy (unsigned vm)
{
  resets++;
  rig_relay_hold (CALLER_VM, vm, true);
  rig_thread (reset_link, NULL);
}

/* The requests of a client, and what became of them.  */
struct outcome
{
  unsigned served;
  unsigned refused;
  unsigned failed;
  unsigned twice;         /* ran more than once */
  unsigned refused_wrong; /* answered 503 although they ran */
};

static bool
is_refusal (unsigned status)
{
  return status == 503 || status == 429 || status == 408 || status == 421;
}

static int
call (int fd, unsigned number, struct outcome *outcome)
{
  char id[32];
  struct rig_request request = { .method = "POST",
                                 .host = "adoptions.example",
                                 .target = "/write/a?work=20&bytes=400",
                                 .id = id,
                                 .deadline_ms = DEADLINE_MS,
                                 .body_bytes = 300 };
  struct rig_answer answer;
  bool complete;
  unsigned runs;

  if (fd < 0)
    fd = rig_connect (CALLER_VM);
  snprintf (id, sizeof id, "9c41d07b%08u", number);
  complete = rig_call (fd, &request, &answer);
  outcome->served += complete && answer.status == 200;
  outcome->refused += complete && is_refusal (answer.status);
  outcome->failed += !complete || answer.status >= 500;
  runs = rig_runs (id);
  if (runs > 1 || (is_refusal (answer.status) && runs > 0))
    rig_record ("request %s (POST, non_idempotent) was answered %u and ran %u "
                "times",
                id, answer.status, runs);
  outcome->twice += runs > 1;
  outcome->refused_wrong += is_refusal (answer.status) && runs > 0;
  if (complete)
    return fd;
  close (fd);
  return -1;
}

int
main (void)
{
  static const char *const services[]
      = { "catalogue", "adoptions", "adoptions" };
  static const struct rig_server_faults faults
      = { SHED_PERCENT, COPY_PERCENT, on_copy };
  struct outcome outcome = { 0 };
  bool broken;
  int fd = -1;

  rig_use_relays ();
  rig_start (3, services);
  rig_configure (DEADLINE_MS, OBJECTIVE_MS);
  rig_start_daemons ();
  rig_sleep_ms (PAUSE_MS);
  if (rig_trouble ())
    rig_server_set_faults (FAULTY_VM, &faults);
  for (unsigned i = 0; i < REQUESTS; i++)
    fd = call (fd, i, &outcome);
  if (fd >= 0)
    close (fd);
  broken = outcome.twice > 0;
  rig_record ("%d requests: %u served, %u refused, %u failed; %u copies and "
              "resets; %u ran more than once, %u ran and were refused",
              REQUESTS, outcome.served, outcome.refused, outcome.failed,
              resets, outcome.twice, outcome.refused_wrong);
  rig_record (broken ? "the rule was broken" : "the rule held");
  rig_stop ();
  return broken;
}

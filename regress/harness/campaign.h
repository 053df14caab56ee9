/* Calls made by several threads, and the check of what they were told against
   the targets' journals.  */
#ifndef CAMPAIGN_H
#define CAMPAIGN_H

#include <glib.h>
#include <pthread.h>

#include "regress/harness/harness.h"

#define CAMPAIGN_CALLERS_MAX 64

/* What a caller was told of one call.  */
enum told
{
  TOLD_RAN,
  TOLD_NOT_RUN,
  TOLD_UNKNOWN,
  TOLD_REFUSED, /* there was no connection */
  TOLD_NOTHING  /* no whole answer */
};

struct campaign_call
{
  char request[40]; /* empty when there was no answer */
  enum told told;
  int status;
  bool mixed; /* the answer names another request */
  bool cut;   /* a whole answer without the target's body */
};

struct campaign_caller
{
  struct campaign *campaign;
  pthread_t thread;
  unsigned vm;
  unsigned seed;
  GArray *calls; /* of struct campaign_call */
};

struct campaign
{
  struct fleet *fleet;
  const char *method;
  const char *path;
  const char *headers;
  const char *body;
  unsigned first_vm; /* daemons that are called, first to last */
  unsigned last_vm;
  unsigned n_callers;
  unsigned calls_each; /* 0: until it is stopped */
  bool stop;
  struct campaign_caller callers[CAMPAIGN_CALLERS_MAX];
};

/* What came of a campaign.  */
struct campaign_totals
{
  unsigned calls;
  unsigned told[TOLD_NOTHING + 1];
  unsigned runs;
  unsigned duplicates;    /* further runs of orders in the journals */
  unsigned false_not_run; /* told not-run, in a journal */
  unsigned false_ran;     /* told ran, in no journal */
  unsigned mixed;         /* answers that name another request */
  unsigned cut;           /* answers that were cut and looked whole */
};

/* Makes one call and notes what was told.  */
void campaign_call (struct campaign *campaign, unsigned vm,
                    struct campaign_call *call);

void campaign_start (struct campaign *campaign);

/* Waits for the callers and compares with the journals of all targets.  */
void campaign_end (struct campaign *campaign, struct campaign_totals *totals);

/* Compares the calls of CAMPAIGN with the journals: fails when one ran twice,
   when not-run was said of one that ran, or an answer was mixed up.  */
void campaign_check (struct campaign *campaign,
                     struct campaign_totals *totals);

/* An edit of the document that moves VM 1's target to a service of its own,
   so that its outbound side calls the others only.  */
void campaign_gate (json_t *document);

#endif

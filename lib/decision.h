/* Decision records: typed records of what a daemon decided.  They are kept in
   a ring buffer and written as JSON lines.

   A record has a kind and the fields that this kind uses; the others are
   zero.  The ring buffer holds the last CP_DECISIONS_MAX records; adding one
   holds a mutex while the record is copied.  */
#ifndef CP_DECISION_H
#define CP_DECISION_H

#include <jansson.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/document.h"
#include "lib/id.h"
#include "lib/load_report.h"

#define CP_DECISIONS_MAX 4096
#define CP_CANDIDATES_MAX 6
#define CP_REASON_BYTES 64

enum cp_decision_kind
{
  CP_DECISION_NONE,
  CP_DECISION_PICK,        /* outbound: a target was chosen */
  CP_DECISION_SEND,        /* outbound: an attempt was sent */
  CP_DECISION_ATTEMPT_END, /* outbound: an attempt ended */
  CP_DECISION_FENCE,       /* outbound: a fence was requested */
  CP_DECISION_OUTCOME,     /* outbound: the caller got its answer */
  CP_DECISION_ADMIT,       /* inbound: an attempt got a slot */
  CP_DECISION_REFUSE, /* inbound: an attempt was refused and did not run */
  CP_DECISION_START,  /* inbound: an attempt was sent to the target */
  CP_DECISION_END,    /* inbound: the target's answer ended */
  CP_DECISION_FENCED, /* inbound: a fence was answered */
  CP_DECISION_PROBE,  /* measuring: a page of the target was read */
  CP_DECISION_BUDGET, /* measuring: the budget refused */
  CP_DECISION_REPORT, /* outbound: a load report was accepted */
  CP_DECISION_HEALTH, /* outbound: a target's health state changed */
  CP_DECISION_CONFIGURATION, /* a section was accepted or refused */
  CP_DECISION_PAUSE,         /* the process had been paused */
  CP_DECISION_KIND_COUNT
};

extern const char *const cp_decision_names[CP_DECISION_KIND_COUNT];

/* State of a target when one was picked.  */
struct cp_candidate
{
  char target[CP_NAME_BYTES];
  uint64_t report_age_us; /* UINT64_MAX: no report */
  uint32_t in_flight;     /* estimate */
  uint64_t latency_us;    /* estimate */
  char health[16];
};

struct cp_decision
{
  enum cp_decision_kind kind;
  uint64_t time_us;
  struct cp_id request;
  struct cp_id attempt;
  char service[CP_NAME_BYTES];
  char target[CP_NAME_BYTES];   /* section name for a configuration */
  char reason[CP_REASON_BYTES]; /* reason or result */
  int status;                   /* HTTP status; 0: none */
  uint64_t duration_us;
  uint64_t value; /* version, bytes or count, by kind */
  unsigned n_candidates;
  struct cp_candidate candidates[CP_CANDIDATES_MAX];
};

struct cp_decisions
{
  pthread_mutex_t lock;
  struct cp_decision *ring;
  uint64_t added;
};

/* Returns 0, or -1 when out of memory.  */
int cp_decisions_init (struct cp_decisions *decisions);
void cp_decisions_finish (struct cp_decisions *decisions);
void cp_decisions_add (struct cp_decisions *decisions,
                       const struct cp_decision *decision);

/* Returns a JSON array of the kept records, oldest first; when ID is not NULL,
   only those of that request or attempt.  Records are copied in batches, so
   threads that add records wait for at most one batch.  */
json_t *cp_decisions_dump (struct cp_decisions *decisions,
                           const struct cp_id *id);

/* Returns the number of records added since the start.  */
uint64_t cp_decisions_added (struct cp_decisions *decisions);

/* Returns the time of the oldest kept record, 0 when there is none.  */
uint64_t cp_decisions_oldest_us (struct cp_decisions *decisions);

/* Returns DECISION as a JSON object.  */
json_t *cp_decision_json (const struct cp_decision *decision);

/* Fills in DECISION from the JSON object VALUE.  Returns false when that is
   not a decision record.  */
bool cp_decision_parse (struct cp_decision *decision, json_t *value);

#endif

/* Traces of calls, kept as JSON lines.

   The first line is the header: "format" (1), "trace", "deployment",
   "service", "source" (how it was made), "slots", "one_way_us" between
   failure domains, "eject_most_share", "deadline_us", "targets" and "outbound"
   (lists of [name, failure domain]) and "outcomes" (maps the name of an
   outcome to its bound; see lib/replay.h).  Then, in order of "t",
   microseconds from the start:

     {"call": ID, "t": T, "from": OUTBOUND}
     {"answer": ID, "t": T, "target": TARGET, "service_us": N, "status": N,
      "load": N, "age_us": N}
     {"fault": KIND, "t": T, "target": TARGET, "value": N}

   TARGET and OUTBOUND are indices into the header's lists.  An answer's "load"
   is the target's calls in flight by the report that came with it, "age_us"
   the age of that report.  The last line is {"end": N} with the number of
   calls.  */
#ifndef CP_TRACE_H
#define CP_TRACE_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "lib/document.h"
#include "lib/error.h"

#define CP_TRACE_FORMAT 1
#define CP_TRACE_MEMBERS_MAX 64
#define CP_TRACE_OUTCOMES_MAX 16
#define CP_TRACE_OUTCOME_BYTES 40

/* A target or an outbound side.  */
struct cp_trace_member
{
  char name[CP_NAME_BYTES];
  char failure_domain[CP_NAME_BYTES];
};

enum cp_trace_fault_kind
{
  CP_FAULT_SLOW,  /* service times are multiplied by VALUE; 1 ends it */
  CP_FAULT_FAIL,  /* answers 500 at once; 0 ends it */
  CP_FAULT_GONE,  /* refuses connections; 0 ends it */
  CP_FAULT_DRAIN, /* its daemon refuses new work; 0 ends it */
  CP_FAULT_LIE,   /* reports no calls in flight; 0 ends it */
  CP_FAULT_LAG,   /* reports carry the load of VALUE ms ago; 0 ends it */
  CP_FAULT_HANG,  /* no reports come; 0 ends it */
  CP_FAULT_PAUSE, /* the outbound side is suspended; 0 ends it */
  CP_FAULT_KIND_COUNT
};

extern const char *const cp_trace_fault_names[CP_FAULT_KIND_COUNT];

struct cp_trace_fault
{
  uint64_t time_us;
  enum cp_trace_fault_kind kind;
  unsigned index; /* of the target, or of the outbound side for a pause */
  unsigned value;
};

struct cp_trace_call
{
  uint64_t id;
  uint64_t time_us;
  unsigned outbound;
  unsigned target;
  uint64_t answer_us;  /* time of the answer; 0: none was recorded */
  uint64_t service_us; /* time at the target */
  int status;
  uint32_t load;
  uint64_t report_age_us;
};

/* A measure of a replay and its upper bound.  */
struct cp_trace_outcome
{
  char name[CP_TRACE_OUTCOME_BYTES];
  double bound;
};

struct cp_trace
{
  char name[CP_NAME_BYTES];
  char deployment[CP_NAME_BYTES];
  char service[CP_NAME_BYTES];
  char source[256];
  unsigned slots;
  uint64_t one_way_us;
  double eject_most_share;
  uint64_t deadline_us;
  struct cp_trace_member targets[CP_TRACE_MEMBERS_MAX];
  unsigned n_targets;
  struct cp_trace_member outbound[CP_TRACE_MEMBERS_MAX];
  unsigned n_outbound;
  struct cp_trace_outcome outcomes[CP_TRACE_OUTCOMES_MAX];
  unsigned n_outcomes;
  GArray *calls;  /* of struct cp_trace_call, by time */
  GArray *faults; /* of struct cp_trace_fault, by time */
};

void cp_trace_init (struct cp_trace *trace);
void cp_trace_finish (struct cp_trace *trace);

/* Parses the trace in TEXT; NAME is used in messages.  Returns 0, or -1 with
   ERROR set, whose place names the line.  */
int cp_trace_parse (struct cp_trace *trace, const char *name, const char *text,
                    struct cp_error *error);

/* Reads and parses the trace at PATH.  */
int cp_trace_load (struct cp_trace *trace, const char *path,
                   struct cp_error *error);

/* Appends the trace to TEXT in the format that cp_trace_parse reads.  */
void cp_trace_write (const struct cp_trace *trace, GString *text);

/* Adds the calls in a daemon's decision records to TRACE.  RECORDS is the
   array that the admin path /decisions returns, OUTBOUND the daemon's index,
   and START_US the time that becomes 0 in the trace; earlier records are
   ignored. Unknown targets are added.  Calls stay in the order of RECORDS
   until cp_trace_sort.  Returns the number of calls added, or -1 with ERROR
   set.  */
int cp_trace_add_records (struct cp_trace *trace, unsigned outbound,
                          json_t *records, uint64_t start_us,
                          struct cp_error *error);

/* Sorts calls and faults by time and numbers the calls.  */
void cp_trace_sort (struct cp_trace *trace);

#endif

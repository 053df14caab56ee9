/* A model of services under overload, in virtual time.

   Three services call each other: a run at a front server makes a call to the
   middle service, whose run makes one to the back service.  Other requests go
   to the back service directly, which is the bottleneck.  Senders choose
   servers by load reports that are 200 ms old, and try up to five.  Each
   server has a job queue, which is under test.  */
#ifndef OVERLOAD_MODEL_H
#define OVERLOAD_MODEL_H

#include <stdbool.h>
#include <stdint.h>

#include "lib/clock.h"

#define MODEL_FRONT 0
#define MODEL_BACK 2
#define MODEL_SERVICES 3
#define MODEL_SERVERS 6 /* of each service */

/* Time of a run at the back service.  At the others, half of it is spent
   before and half after the call.  */
#define MODEL_WORK_US (40 * CP_US_PER_MS)

/* Runs a second at the back service: 8 of 10 slots of each server are used. */
#define MODEL_ROOM (MODEL_SERVERS * 8 * 1e6 / MODEL_WORK_US)

/* Arrivals before this time are not counted.  */
#define MODEL_WARM_S 2

#define MODEL_LOADS_MAX 5

/* Requests of one route.  */
struct load
{
  unsigned service;
  unsigned priority;
  double per_s;
  uint64_t objective_us;
  uint64_t timeout_us;
  bool repeat;
  uint64_t from_us;
  uint64_t until_us; /* 0: until the end */
  /* Results, of those that arrived after the first second.  */
  unsigned offered;
  unsigned in_time;   /* answered by the objective */
  unsigned late;      /* answered after the deadline */
  unsigned answered;  /* before the deadline */
  unsigned failed;    /* a run that failed, since its call was refused */
  unsigned attempted; /* attempts that a server ran */
};

/* What the servers know of a request, to compare orders.  */
enum model_order
{
  MODEL_ORDER_RANK,
  MODEL_ORDER_ARRIVAL,
  MODEL_ORDER_DEADLINE,   /* earliest first */
  MODEL_ORDER_SLACK,      /* least first */
  MODEL_ORDER_CALLS_FIRST /* all calls before all other requests */
};

extern enum model_order model_order;
extern struct load model_loads[MODEL_LOADS_MAX];
extern unsigned model_n_loads;

/* Starts a model without load, at the time of 1 s.  */
void model_begin (void);

/* Adds requests at SHARE of the back service's room.  */
struct load *model_add_load (unsigned service, unsigned priority,
                             double share);
void model_start_loads (void);
void model_run_until (uint64_t s);

/* Makes a server of the back service take PERCENT of its usual time.  */
void model_set_slowness (unsigned server, unsigned percent);

/* Ends all loads and what still runs.  */
void model_finish (void);

#endif

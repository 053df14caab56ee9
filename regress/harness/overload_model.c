#include <glib.h>
#include <string.h>

#include "lib/job_queue.h"
#include "lib/service_times.h"
#include "regress/harness/overload_model.h"

#define MS CP_US_PER_MS
#define SERVICES MODEL_SERVICES
#define SERVERS MODEL_SERVERS
#define SLOTS 10
#define SENDERS 8
#define TRIES 5
#define HOP_US (1 * MS)
#define REPORT_US (20 * MS)
#define REPORTS 10 /* kept: the oldest is 200 ms old */
#define TICK_US (10 * MS)
#define CALL_PRIORITY 3 /* of the routes of the calls */
#define CALL_OBJECTIVE_US (150 * MS)
#define CALL_TIMEOUT_US (500 * MS)

enum model_order model_order = MODEL_ORDER_RANK;
struct load model_loads[MODEL_LOADS_MAX];
unsigned model_n_loads;

struct request
{
  struct cp_job_queue_entry entry;
  struct load *load;
  struct request *parent; /* NULL if it is no call */
  unsigned service;
  unsigned priority;
  unsigned rank;
  unsigned sender;
  unsigned tried; /* servers, as bits */
  unsigned n_tried;
  struct server *server;
  uint64_t began_us;
  uint64_t started_us;
  uint64_t called_us;
  uint64_t objective_us;
  uint64_t deadline_us;
  bool counted;
  bool in_second_half;
};

struct server
{
  struct cp_job_queue queue;
  struct cp_service_times times;
  double service_us;
  unsigned slowness_percent;
  unsigned history[REPORTS];
};

enum event_kind
{
  EVENT_ARRIVAL,
  EVENT_DELIVERY,
  EVENT_WORK_DONE,
  EVENT_REPORT,
  EVENT_TICK
};

struct event
{
  uint64_t at_us;
  uint64_t number;
  enum event_kind kind;
  void *item;
};

static struct model
{
  uint64_t now_us;
  uint64_t end_us;
  uint64_t events_made;
  GArray *events; /* binary heap of struct event */
  struct cp_seeded_random random;
  struct server servers[SERVICES][SERVERS];
  unsigned reported[SERVICES][SERVERS];
  unsigned sent_since[SERVICES * SERVERS + SENDERS][SERVICES][SERVERS];
  unsigned n_reports;
} model;

static bool
is_earlier (const struct event *a, const struct event *b)
{
  return a->at_us != b->at_us ? a->at_us < b->at_us : a->number < b->number;
}

static struct event *
event_at (unsigned i)
{
  return &g_array_index (model.events, struct event, i);
}

static void
swap_events (unsigned i, unsigned j)
{
  struct event kept = *event_at (i);

  *event_at (i) = *event_at (j);
  *event_at (j) = kept;
}

static void
add_event (uint64_t at_us, enum event_kind kind, void *item)
{
  struct event event = { at_us, model.events_made++, kind, item };
  unsigned i = model.events->len;

  g_array_append_val (model.events, event);
  while (i > 0 && is_earlier (event_at (i), event_at ((i - 1) / 2)))
    {
      swap_events (i, (i - 1) / 2);
      i = (i - 1) / 2;
    }
}

static struct event
take_event (void)
{
  struct event first = *event_at (0);
  unsigned i = 0;
  unsigned child;

  swap_events (0, model.events->len - 1);
  g_array_set_size (model.events, model.events->len - 1);
  while ((child = 2 * i + 1) < model.events->len)
    {
      if (child + 1 < model.events->len
          && is_earlier (event_at (child + 1), event_at (child)))
        child++;
      if (!is_earlier (event_at (child), event_at (i)))
        break;
      swap_events (i, child);
      i = child;
    }
  return first;
}

static double
random_unit (void)
{
  return cp_random_unit (&model.random.random);
}

/* Returns a random time between half and one and a half of MEAN_US.  */
static uint64_t
random_time (double mean_us)
{
  return (uint64_t)(mean_us * (0.5 + random_unit ()));
}

static void try_next (struct request *request);

static struct request *
create_request (struct load *load, unsigned service)
{
  struct request *request = g_new0 (struct request, 1);

  request->load = load;
  request->service = service;
  request->began_us = model.now_us;
  return request;
}

/* Makes the call of PARENT, which runs.  */
static void
call (struct request *parent)
{
  struct request *request = create_request (parent->load, parent->service + 1);

  request->parent = parent;
  request->priority = CALL_PRIORITY;
  request->rank = cp_request_rank_priority (CALL_PRIORITY, true, parent->rank);
  request->sender
      = SENDERS + parent->service * SERVERS
        + (unsigned)(parent->server - model.servers[parent->service]);
  request->objective_us = model.now_us + CALL_OBJECTIVE_US;
  request->deadline_us
      = MIN (model.now_us + CALL_TIMEOUT_US, parent->deadline_us);
  parent->called_us = model.now_us;
  try_next (request);
}

static void end_run (struct request *request, bool failed);

/* Ends REQUEST without a run, or after one that FAILED or was answered.  */
static void
end_request (struct request *request, bool ran, bool failed)
{
  struct load *load = request->load;
  struct request *parent = request->parent;

  if (parent == NULL && request->counted)
    {
      load->failed += failed;
      if (ran && !failed)
        {
          load->in_time += model.now_us <= request->objective_us;
          load->answered += model.now_us <= request->deadline_us;
          load->late += model.now_us > request->deadline_us;
        }
    }
  if (parent != NULL && (failed || !ran))
    end_run (parent, true);
  else if (parent != NULL)
    {
      parent->in_second_half = true;
      add_event (model.now_us
                     + random_time (MODEL_WORK_US / 2.0
                                    * parent->server->slowness_percent / 100),
                 EVENT_WORK_DONE, parent);
    }
  g_free (request);
}

static void
start (struct request *request)
{
  double work_us
      = request->service == MODEL_BACK ? MODEL_WORK_US : MODEL_WORK_US / 2.0;

  request->started_us = model.now_us;
  request->load->attempted += request->parent == NULL && request->counted;
  add_event (
      model.now_us
          + random_time (work_us * request->server->slowness_percent / 100),
      EVENT_WORK_DONE, request);
}

/* Sends REQUEST, which a server has refused, to another one.  */
static void
refuse (struct request *request)
{
  request->server = NULL;
  add_event (model.now_us + HOP_US, EVENT_DELIVERY, request);
}

static void
start_queued (struct server *server)
{
  struct cp_job_queue_entry *entry;

  cp_job_queue_set_pace (
      &server->queue,
      (uint64_t)(server->service_us * server->slowness_percent / 100),
      server->slowness_percent);
  while ((entry = cp_job_queue_start_next (&server->queue, model.now_us))
         != NULL)
    start (caa_container_of (entry, struct request, entry));
  while ((entry = cp_job_queue_take_expired (&server->queue, model.now_us))
         != NULL)
    refuse (caa_container_of (entry, struct request, entry));
}

/* Ends the run of REQUEST.  */
static void
end_run (struct request *request, bool failed)
{
  struct server *server = request->server;
  double took_us = (double)(model.now_us - request->started_us) * 100
                   / server->slowness_percent;

  if (!failed)
    {
      server->service_us += 0.1 * (took_us - server->service_us);
      cp_service_times_add (&server->times, request->priority,
                            request->objective_us - request->began_us, took_us,
                            model.now_us);
    }
  cp_job_queue_done (&server->queue);
  end_request (request, true, failed);
  start_queued (server);
}

/* Hides from the queue what the order under test does not use.  */
static void
restrict_rank (const struct request *request, struct cp_request_rank *rank)
{
  switch (model_order)
    {
    case MODEL_ORDER_RANK:
      return;
    case MODEL_ORDER_ARRIVAL:
      rank->objective_us = 0;
      break;
    case MODEL_ORDER_DEADLINE:
      rank->objective_us = request->deadline_us + request->entry.work_us;
      break;
    case MODEL_ORDER_SLACK:
      break;
    case MODEL_ORDER_CALLS_FIRST:
      rank->priority = rank->nested ? 0 : rank->priority + 1;
      return;
    }
  rank->priority = 0;
  rank->nested = false;
  rank->repeat = false;
}

static void
fill_entry (struct request *request, const struct server *server)
{
  struct cp_job_queue_entry *entry = &request->entry;
  uint64_t objective_us = request->objective_us - request->began_us;
  uint64_t left_us
      = request->deadline_us - MIN (request->deadline_us, model.now_us);

  *entry = (struct cp_job_queue_entry){
    .rank = { .priority = request->rank,
              .nested = request->parent != NULL,
              .repeat = request->load->repeat,
              .objective_us = request->objective_us,
              .deadline_us = request->deadline_us },
    .work_us = cp_service_times_get (&server->times, request->priority,
                                     objective_us, model.now_us),
    .wait_until_us
    = model.now_us
      + (request->parent == NULL ? objective_us / 5
                                 : left_us * request->n_tried / 10),
  };
  if (entry->work_us == 0)
    entry->work_us = MIN ((uint64_t)server->service_us, objective_us / 2);
  restrict_rank (request, &entry->rank);
}

/* Offers REQUEST to its server, or to another one if it was refused.  */
static void
deliver (struct request *request)
{
  struct server *server = request->server;

  if (server == NULL)
    {
      try_next (request);
      return;
    }
  fill_entry (request, server);
  switch (cp_job_queue_submit (
      &server->queue, &request->entry, model.now_us,
      (uint64_t)(server->service_us * server->slowness_percent / 100)))
    {
    case CP_JOB_QUEUE_RUN:
      start (request);
      break;
    case CP_JOB_QUEUE_WAIT:
      start_queued (server);
      break;
    case CP_JOB_QUEUE_REFUSE:
      refuse (request);
      break;
    }
}

/* Sends REQUEST to the server that seems to be the least busy.  */
static void
try_next (struct request *request)
{
  unsigned service = request->service;
  unsigned best = SERVERS;
  double best_cost = 0;

  if (request->n_tried == TRIES || model.now_us >= request->deadline_us)
    {
      end_request (request, false, false);
      return;
    }
  for (unsigned i = 0; i < SERVERS; i++)
    {
      double cost = model.reported[service][i]
                    + model.sent_since[request->sender][service][i]
                    + random_unit ();

      if ((request->tried & 1U << i) != 0
          || (best < SERVERS && cost >= best_cost))
        continue;
      best = i;
      best_cost = cost;
    }
  model.sent_since[request->sender][service][best]++;
  request->tried |= 1U << best;
  request->n_tried++;
  request->server = &model.servers[service][best];
  add_event (model.now_us + HOP_US, EVENT_DELIVERY, request);
}

static void
arrive (struct load *load)
{
  struct request *request;

  if (load->until_us != 0 && model.now_us > load->until_us)
    return;
  request = create_request (load, load->service);
  request->priority = load->priority;
  request->rank = cp_request_rank_priority (load->priority, false, 0);
  request->sender = (unsigned)cp_random_below (&model.random.random, SENDERS);
  request->objective_us = model.now_us + load->objective_us;
  request->deadline_us = model.now_us + load->timeout_us;
  request->counted = model.now_us >= MODEL_WARM_S * CP_US_PER_S;
  load->offered += request->counted;
  try_next (request);
  add_event (model.now_us + (uint64_t)(random_unit () * 2e6 / load->per_s + 1),
             EVENT_ARRIVAL, load);
}

static void
end_work (struct request *request)
{
  if (request->service != MODEL_BACK && !request->in_second_half)
    call (request);
  else
    end_run (request, false);
}

static void
report (void)
{
  unsigned slot = model.n_reports++ % REPORTS;

  for (unsigned i = 0; i < SERVICES; i++)
    for (unsigned j = 0; j < SERVERS; j++)
      {
        struct server *server = &model.servers[i][j];

        model.reported[i][j] = server->history[slot];
        server->history[slot] = server->queue.running + server->queue.queued;
      }
  memset (model.sent_since, 0, sizeof model.sent_since);
  add_event (model.now_us + REPORT_US, EVENT_REPORT, NULL);
}

static void
tick (void)
{
  for (unsigned i = 0; i < SERVICES; i++)
    for (unsigned j = 0; j < SERVERS; j++)
      start_queued (&model.servers[i][j]);
  add_event (model.now_us + TICK_US, EVENT_TICK, NULL);
}

static void
handle (const struct event *event)
{
  model.now_us = event->at_us;
  switch (event->kind)
    {
    case EVENT_ARRIVAL:
      arrive (event->item);
      break;
    case EVENT_DELIVERY:
      deliver (event->item);
      break;
    case EVENT_WORK_DONE:
      end_work (event->item);
      break;
    case EVENT_REPORT:
      report ();
      break;
    case EVENT_TICK:
      tick ();
      break;
    }
}

void
model_begin (void)
{
  memset (&model, 0, sizeof model);
  memset (model_loads, 0, sizeof model_loads);
  model_n_loads = 0;
  model.now_us = CP_US_PER_S;
  model.events = g_array_new (FALSE, FALSE, sizeof (struct event));
  cp_seeded_random_init (&model.random, 1);
  for (unsigned i = 0; i < SERVICES; i++)
    for (unsigned j = 0; j < SERVERS; j++)
      {
        struct server *server = &model.servers[i][j];

        cp_job_queue_init (&server->queue);
        cp_job_queue_set_capacity (&server->queue, SLOTS);
        server->slowness_percent = 100;
        server->service_us = MODEL_WORK_US;
      }
  add_event (model.now_us, EVENT_REPORT, NULL);
  add_event (model.now_us, EVENT_TICK, NULL);
}

struct load *
model_add_load (unsigned service, unsigned priority, double share)
{
  struct load *load = &model_loads[model_n_loads++];

  *load = (struct load){ .service = service,
                         .priority = priority,
                         .per_s = share * MODEL_ROOM,
                         .objective_us
                         = service == MODEL_BACK ? 200 * MS : 600 * MS,
                         .timeout_us
                         = service == MODEL_BACK ? 600 * MS : 1200 * MS };
  return load;
}

void
model_start_loads (void)
{
  for (unsigned i = 0; i < model_n_loads; i++)
    add_event (MAX (model.now_us, model_loads[i].from_us), EVENT_ARRIVAL,
               &model_loads[i]);
}

void
model_run_until (uint64_t s)
{
  while (event_at (0)->at_us < s * CP_US_PER_S)
    {
      struct event event = take_event ();

      handle (&event);
    }
}

void
model_finish (void)
{
  /* What still runs ends without further arrivals; requests are freed.  */
  for (unsigned i = 0; i < model_n_loads; i++)
    model_loads[i].until_us = 1;
  model_run_until (model.now_us / CP_US_PER_S + 4);
  g_array_unref (model.events);
  cp_seeded_random_finish (&model.random);
}

void
model_set_slowness (unsigned server, unsigned percent)
{
  model.servers[MODEL_BACK][server].slowness_percent = percent;
}

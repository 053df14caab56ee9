/* What the files of the stage share.  All functions but those of stage.h run
   on its loop.  */
#ifndef STAGE_INTERNAL_H
#define STAGE_INTERNAL_H

#include <urcu/list.h>

#include "regress/harness/stage.h"

#define STAGE_PORT_SERVER 8080
#define STAGE_PORT_CALLS 8000
#define STAGE_PORT_PEERS 7400
#define STAGE_PORT_READY 8025
#define STAGE_PORT_STORE 9000
#define STAGE_PORT_METRICS 9464

struct stage_store *stage_store_create (struct stage *stage);
void stage_store_wake (struct stage_store *store);
void stage_store_stop (struct stage_store *store);
void stage_store_free (struct stage_store *store);

/* The lock of the stage guards what a test sets or reads.  */
struct stage_server
{
  struct stage *stage;
  unsigned vm;
  uv_tcp_t listener;
  bool listening;
  bool closing;
  bool stopped;     /* since it was last wanted */
  bool mute_health; /* health checks get no answer */
  unsigned slowness_percent;
  gint64 cold_until_us; /* by g_get_monotonic_time; 0 for warm */
  GArray *starts;       /* gint64, when each request arrived */
  bool wanted;          /* it should listen */
  char notice[128];     /* header lines in all its answers */
  GByteArray *script;   /* the answer to what asks for ?scripted */
  GByteArray *health;   /* the answer to health checks, or empty */
  char instance[32];
  char refused_id[64]; /* of the last request that asked for ?late-copy */
  uint64_t born_ms;
  struct cds_list_head guests;
  unsigned running;
  unsigned runs;
  unsigned left;
  unsigned crashes;
  unsigned misdirected; /* requests for another instance */
  GString *headers;     /* of the last request, "Name: value\n" */
};

/* Gives SERVER a new instance name and start time.  */
void stage_server_set_instance (struct stage_server *server);

struct stage_server *stage_server_create (struct stage *stage, unsigned vm);
void stage_server_wake (struct stage_server *server);
void stage_server_close (struct stage_server *server);
void stage_server_free (struct stage_server *server);
const char *stage_server_instance (const struct stage_server *server);
uint64_t stage_server_born (const struct stage_server *server);

#endif

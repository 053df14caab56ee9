/* What the files of the stage share.  All functions but those of stage.h run
   on its loop.  */
#ifndef STAGE_INTERNAL_H
#define STAGE_INTERNAL_H

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

struct stage_server *stage_server_create (struct stage *stage, unsigned vm);
void stage_server_wake (struct stage_server *server);
void stage_server_close (struct stage_server *server);
void stage_server_free (struct stage_server *server);
const char *stage_server_instance (const struct stage_server *server);
uint64_t stage_server_born (const struct stage_server *server);

#endif

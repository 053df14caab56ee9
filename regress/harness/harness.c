#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "lib/cleanup.h"
#include "regress/harness/cuts.h"
#include "regress/harness/harness.h"

#define PORT_CALLS 8000
#define PORT_TARGET 8080
#define PORT_PEERS 7400
#define PORT_RELAYED 7500
#define PORT_ADMIN 7402
#define PORT_PLATFORM 9000
#define PLATFORM_THREADS 32
#define PLATFORM_THREADS_EACH                                                 \
  3 /* a watch and a read for each VM, and more                               \
     */
#define TARGET_THREADS "128"
#define PLATFORM_VM 250
#define POLL_US 10000

int fleet_call_threads = 32;
bool fleet_without_targets;
bool fleet_behind_cuts;
int fleet_peer_threads = 64;

static const char *
top_folder (void)
{
  const char *top = getenv ("TOP");

  return top == NULL ? "." : top;
}

const char *
fleet_address (const struct fleet *fleet, unsigned vm, unsigned port,
               char text[56])
{
  snprintf (text, 56, "%s.%u:%u", fleet->net, vm, port);
  return text;
}

/* Returns the number of a VM's failure domain.  */
static unsigned
domain_of (const struct fleet *fleet, unsigned vm)
{
  if (fleet->n_domains == 0)
    return 1;
  return (vm - 1) % fleet->n_domains + 1;
}

static json_t *
service_section (const struct fleet *fleet)
{
  json_t *targets = json_object ();

  for (unsigned i = 1; i <= fleet->n_vms; i++)
    {
      char name[32];
      char address[56];
      char daemon[56];
      char domain[32];

      snprintf (name, sizeof name, "shop-%u", i);
      snprintf (domain, sizeof domain, "domain-%u", domain_of (fleet, i));
      json_object_set_new (
          targets, name,
          json_pack ("{s:s, s:s, s:s}", "address",
                     fleet_address (fleet, i, PORT_TARGET, address), "daemon",
                     fleet_address (fleet, i, PORT_PEERS, daemon),
                     "failure_domain", domain));
    }
  return json_pack (
      "{s:s, s:s, s:o, s:i, s:i, s:i, s:{s:s, s:i}, s:{s:s, s:i},"
      " s:{s:i, s:i}, s:{s:f, s:i}, s:{s:f, s:f}, s:{s:f},"
      " s:[{s:s, s:s, s:[s, s], s:b}, {s:s, s:s, s:[s], s:b, s:i},"
      "    {s:s, s:s, s:[s], s:b, s:i, s:i}]}",
      "owner", "shop team", "kind", "service", "targets", targets, "slots", 12,
      "connections", 250, "deadline_ms", 2000, "load", "path", "/load",
      "interval_ms", 1000, "health", "path", "/health", "interval_ms", 2000,
      "drain", "within_ms", 3000, "finish_ms", 30000, "retry", "calls_share",
      0.1, "most", 2, "hedge", "calls_share", 0.05, "after_quantile", 0.95,
      "eject", "most_share", 0.4, "routes", "host", "shop.example", "path",
      "/items/", "methods", "GET", "HEAD", "idempotent", 1, "host",
      "shop.example", "path", "/orders", "methods", "POST", "idempotent", 0,
      "deadline_ms", 10000, "host", "shop.example", "path", "/uploads/",
      "methods", "PUT", "idempotent", 1, "deadline_ms", 60000, "replay_bytes",
      8388608);
}

json_t *
fleet_document (const struct fleet *fleet)
{
  json_t *domains = json_object ();
  json_t *section;

  for (unsigned i = 1; i <= fleet->n_domains; i++)
    {
      char name[32];

      snprintf (name, sizeof name, "domain-%u", i);
      json_object_set_new (domains, name,
                           json_pack ("{s:s}", "region", "region-1"));
    }
  section = json_pack (
      "{s:s, s:s, s:o, s:{s:i, s:i}, s:i, s:{s:i, s:f, s:i},"
      " s:{s:i, s:i, s:i}}",
      "owner", "platform", "kind", "fleet", "failure_domains", domains,
      "one_way_ms", "between_failure_domains", 1, "to_callers", 3,
      "new_connection_ms", 1, "configuration_service", "reads_per_s", 2000,
      "most_share", 0.25, "in_force_ms", 3000, "measuring", "probe_ms", 6,
      "target_ms_per_s", 12, "bytes_per_s", 4000);
  return json_pack ("{s:i, s:I, s:{s:o, s:o}}", "format", 1, "version",
                    (json_int_t)fleet->version, "sections", "fleet", section,
                    "shop", service_section (fleet));
}

static void
write_file (const struct fleet *fleet, const char *name, json_t *value)
{
  char path[256];

  snprintf (path, sizeof path, "%s/%s", fleet->folder, name);
  harness_require (json_dump_file (value, path, JSON_INDENT (2)) == 0,
                   "cannot write %s", path);
  json_decref (value);
}

static void
log_path (const struct fleet *fleet, const char *name, unsigned vm,
          char path[256])
{
  snprintf (path, 256, "%s/%s-%u.log", fleet->folder, name, vm);
}

void
fleet_start_platform (struct fleet *fleet)
{
  char address[56];
  char log[256];
  char document[256];
  char threads[16];

  log_path (fleet, "platform", 0, log);
  snprintf (document, sizeof document, "%s/document.json", fleet->folder);
  snprintf (threads, sizeof threads, "%u",
            PLATFORM_THREADS + PLATFORM_THREADS_EACH * fleet->n_vms);
  process_start (
      &fleet->platform, log, "fakes/cornelpick-fakes", "--listen",
      fleet_address (fleet, PLATFORM_VM,
                     fleet_behind_cuts ? CUTS_PORT_PLATFORM : PORT_PLATFORM,
                     address),
      "--document", document, "--threads", threads, NULL);
}

void
fleet_start_target (struct fleet *fleet, unsigned vm, const char *control)
{
  char address[56];
  char log[256];
  char name[32];
  char seed[16];

  log_path (fleet, "target", vm, log);
  snprintf (name, sizeof name, "shop-%u", vm);
  snprintf (seed, sizeof seed, "%u", vm);
  process_start (&fleet->targets[vm], log, "fakes/cornelpick-fakes",
                 "--listen", fleet_address (fleet, vm, PORT_TARGET, address),
                 "--target", name, "--seed", seed, "--threads", TARGET_THREADS,
                 "--control", control == NULL ? "{}" : control, NULL);
}

void
fleet_start_daemon (struct fleet *fleet, unsigned vm)
{
  char calls[56];
  char peers[56];
  char listen[56];
  char rpc[56];
  char admin[56];
  char platform[56];
  char charts[256];
  char domain[32];
  char name[32];
  char path[256];
  char log[256];

  snprintf (name, sizeof name, "vm-%u", vm);
  snprintf (domain, sizeof domain, "domain-%u", domain_of (fleet, vm));
  snprintf (charts, sizeof charts, "%s/charts", top_folder ());
  snprintf (path, sizeof path, "%s/vm-%u.json", fleet->folder, vm);
  log_path (fleet, "daemon", vm, log);
  snprintf (name, sizeof name, "vm-%u.json", vm);
  write_file (
      fleet, name,
      json_pack (
          "{s:s#, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:i, s:i, s:i, s:s}",
          "vm", name, (int)(strlen (name) - strlen (".json")),
          "failure_domain", domain, "calls",
          fleet_address (fleet, vm, PORT_CALLS, calls), "peers",
          fleet_address (fleet, vm, PORT_PEERS, peers), "peers_listen",
          fleet_address (fleet, vm,
                         fleet->relayed_vm == vm || fleet_behind_cuts
                             ? PORT_RELAYED
                             : PORT_PEERS,
                         listen),
          "rpc_listen",
          fleet_address (fleet, vm,
                         fleet_behind_cuts ? CUTS_PORT_RPC : PORT_PEERS + 1,
                         rpc),
          "admin", fleet_address (fleet, vm, PORT_ADMIN, admin),
          "configuration_service",
          fleet_address (fleet, PLATFORM_VM, PORT_PLATFORM, platform),
          "charts", charts, "call_threads", fleet_call_threads, "peer_threads",
          fleet_peer_threads, "daemons_most", (int)MAX (fleet->n_vms, 10),
          "log_level", "debug"));
  process_start (&fleet->daemons[vm], log, "cornelpickd/cornelpickd",
                 "--settings", path, NULL);
}

/* A daemon that a test waits for.  */
struct awaited
{
  struct fleet *fleet;
  unsigned vm;
};

static bool
is_serving (void *context)
{
  struct awaited *awaited = context;
  char address[56];
  struct reply reply;
  bool serving;

  reply_init (&reply);
  http_call (&reply,
             fleet_address (awaited->fleet, awaited->vm, PORT_ADMIN, address),
             "GET", "/healthz", NULL, NULL, 1000);
  serving = reply.status == 200;
  reply_finish (&reply);
  return serving;
}

void
fleet_wait_serving (struct fleet *fleet, unsigned vm)
{
  struct awaited awaited = { fleet, vm };

  wait_until (is_serving, &awaited);
}

static bool
target_answers (void *context)
{
  struct awaited *awaited = context;
  char address[56];
  struct reply reply;
  bool answers;

  reply_init (&reply);
  http_call (&reply,
             fleet_address (awaited->fleet, awaited->vm, PORT_TARGET, address),
             "GET", "/fake/journal", NULL, NULL, 1000);
  answers = reply.status == 200;
  reply_finish (&reply);
  return answers;
}

void
fleet_start (struct fleet *fleet, unsigned n_vms, unsigned n_domains,
             void (*edit) (json_t *document))
{
  fleet_start_relayed (fleet, n_vms, n_domains, edit, 0);
}

void
fleet_start_relayed (struct fleet *fleet, unsigned n_vms, unsigned n_domains,
                     void (*edit) (json_t *document), unsigned relayed_vm)
{
  json_t *document;

  harness_require (n_domains > 0, "a fleet needs a failure domain");
  memset (fleet, 0, sizeof *fleet);
  snprintf (fleet->net, sizeof fleet->net, "127.%d.%d",
            1 + (int)getpid () % 250, (int)getpid () / 250 % 250);
  strcpy (fleet->folder, "/tmp/cornelpick-fleet-XXXXXX");
  harness_require (mkdtemp (fleet->folder) != NULL, "cannot make a folder");
  fleet->n_vms = n_vms;
  fleet->relayed_vm = relayed_vm;
  fleet->n_domains = n_domains;
  fleet->version = 1;
  fleet->edit = edit;
  document = fleet_document (fleet);
  if (edit != NULL)
    edit (document);
  write_file (fleet, "document.json", document);
  if (fleet_behind_cuts)
    cuts_start (fleet->net, n_vms);
  fleet_start_platform (fleet);
  for (unsigned i = 1; i <= n_vms && !fleet_without_targets; i++)
    fleet_start_target (fleet, i, NULL);
  for (unsigned i = 1; i <= n_vms; i++)
    fleet_start_daemon (fleet, i);
  for (unsigned i = 1; i <= n_vms; i++)
    {
      struct awaited awaited = { fleet, i };

      if (!fleet_without_targets)
        wait_until (target_answers, &awaited);
      fleet_wait_serving (fleet, i);
    }
}

static void
remove_folder (const char *folder)
{
  GDir *entries = g_dir_open (folder, 0, NULL);
  const char *name;

  while (entries != NULL && (name = g_dir_read_name (entries)) != NULL)
    {
      CP_AUTO_FREE char *path = g_build_filename (folder, name, NULL);

      unlink (path);
    }
  if (entries != NULL)
    g_dir_close (entries);
  rmdir (folder);
}

/* Ends the processes of one kind at the same time.  */
static bool
stop_all (struct process *processes, unsigned count)
{
  bool clean = true;

  for (unsigned i = 1; i <= count; i++)
    if (processes[i].pid != 0)
      kill (processes[i].pid, SIGTERM);
  for (unsigned i = 1; i <= count; i++)
    if (processes[i].pid != 0 && process_wait (&processes[i]) != 0)
      clean = false;
  return clean;
}

void
fleet_stop (struct fleet *fleet)
{
  bool clean = stop_all (fleet->daemons, fleet->n_vms);

  if (fleet->platform.pid != 0)
    kill (fleet->platform.pid, SIGTERM);
  stop_all (fleet->targets, fleet->n_vms);
  process_signal (&fleet->platform, SIGTERM);
  cuts_stop ();
  harness_require (clean, "a daemon did not end with status 0; see %s",
                   fleet->folder);
  remove_folder (fleet->folder);
}

void
fleet_change (struct fleet *fleet, void (*edit) (json_t *document))
{
  json_t *document;
  CP_AUTO_FREE char *text = NULL;
  char address[56];
  struct reply reply;

  fleet->version++;
  document = fleet_document (fleet);
  if (fleet->edit != NULL)
    fleet->edit (document);
  if (edit != NULL)
    edit (document);
  text = json_dumps (document, JSON_INDENT (2));
  write_file (fleet, "document.json", document);
  reply_init (&reply);
  http_call (&reply,
             fleet_address (fleet, PLATFORM_VM, PORT_PLATFORM, address), "PUT",
             "/document", NULL, text, 5000);
  harness_require (reply.status == 200, "status %d", reply.status);
  reply_finish (&reply);
}

void
fleet_call (struct fleet *fleet, struct reply *reply, unsigned vm,
            const char *method, const char *path, const char *headers,
            const char *body)
{
  char address[56];
  CP_AUTO_FREE char *all = g_strconcat ("Host: shop.example\n", headers, NULL);

  http_call (reply, fleet_address (fleet, vm, PORT_CALLS, address), method,
             path, all, body, 30000);
}

void
fleet_control (struct fleet *fleet, unsigned vm, const char *json)
{
  char address[56];
  struct reply reply;

  reply_init (&reply);
  if (vm == 0)
    fleet_address (fleet, PLATFORM_VM, PORT_PLATFORM, address);
  else
    fleet_address (fleet, vm, PORT_TARGET, address);
  http_call (&reply, address, "POST", "/fake/control", NULL, json, 5000);
  harness_require (reply.status == 200, "status %d", reply.status);
  reply_finish (&reply);
}

unsigned
fleet_runs (struct fleet *fleet, const char *request)
{
  unsigned runs = 0;

  for (unsigned vm = 1; vm <= fleet->n_vms; vm++)
    {
      char address[56];
      struct reply reply;
      const char *at;

      if (fleet->targets[vm].pid == 0)
        continue;
      reply_init (&reply);
      http_call (&reply, fleet_address (fleet, vm, PORT_TARGET, address),
                 "GET", "/fake/journal", NULL, NULL, 10000);
      harness_require (reply.status == 200, "status %d", reply.status);
      for (at = reply.body->str; (at = strstr (at, request)) != NULL; at++)
        runs++;
      reply_finish (&reply);
    }
  return runs;
}

json_t *
fleet_state (struct fleet *fleet, unsigned vm)
{
  char address[56];
  struct reply reply;
  json_t *state;

  reply_init (&reply);
  http_call (&reply, fleet_address (fleet, vm, PORT_ADMIN, address), "GET",
             "/state", NULL, NULL, 10000);
  state = json_loads (reply.body->str, 0, NULL);
  reply_finish (&reply);
  return state;
}

uint64_t
fleet_counter (struct fleet *fleet, unsigned vm, const char *name)
{
  char address[56];
  char line[96];
  struct reply reply;
  const char *at;
  uint64_t value = 0;

  reply_init (&reply);
  http_call (&reply, fleet_address (fleet, vm, PORT_ADMIN, address), "GET",
             "/metrics", NULL, NULL, 10000);
  snprintf (line, sizeof line, "\ncornelpick_%s ", name);
  at = strstr (reply.body->str, line);
  harness_require (at != NULL, "no counter %s", name);
  if (at != NULL)
    value = strtoull (at + strlen (line), NULL, 10);
  reply_finish (&reply);
  return value;
}

void
wait_until (bool (*condition) (void *context), void *context)
{
  gint64 until = g_get_monotonic_time () + FLEET_WAIT_US;

  while (!condition (context))
    {
      harness_require (g_get_monotonic_time () < until,
                       "the condition did not come about");
      g_usleep (POLL_US);
    }
}

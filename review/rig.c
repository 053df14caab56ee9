#include <fcntl.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include "review/rig_internal.h"

/* The daemon, as in deploy/system.toml.  */
#define PROGRAM "target/meshd/cornelpick-meshd"

/* How often the platform looks at its processes, and how long after its end
   one is started again, in ms.  */
#define WATCH_MS 1
#define RESTART_MS 300

#define READY_TIMEOUT_MS 15000

struct vm
{
  const char *service;
  pid_t pid; /* 0 if no process runs */
  bool signalled;
  enum rig_end last_end;
  unsigned ends;
  unsigned long memory_peak; /* in bytes */
  uint64_t ended_ms;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct vm vms[RIG_VMS_MAX + 1];
static unsigned n_vms;
static bool stopping;
static bool watching;
static bool with_relays;
static char network[32];
static char folder[] = "/tmp/cornelpick-review-XXXXXX";
static FILE *record_file;
static uint64_t began_ms;

bool
rig_trouble (void)
{
  const char *text = getenv ("TROUBLE");

  return text == NULL || strcmp (text, "0") != 0;
}

void
rig_record (const char *format, ...)
{
  static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
  char line[1024];
  va_list arguments;

  va_start (arguments, format);
  vsnprintf (line, sizeof line, format, arguments);
  va_end (arguments);
  pthread_mutex_lock (&record_lock);
  printf ("%7llu ms  %s\n", (unsigned long long)(rig_now_ms () - began_ms),
          line);
  fflush (stdout);
  if (record_file != NULL)
    {
      fprintf (record_file, "%7llu ms  %s\n",
               (unsigned long long)(rig_now_ms () - began_ms), line);
      fflush (record_file);
    }
  pthread_mutex_unlock (&record_lock);
}

void
rig_require (bool condition, const char *problem)
{
  if (condition)
    return;
  rig_record ("the case could not run: %s", problem);
  rig_stop ();
  _exit (2);
}

void *
rig_allocate (size_t size)
{
  void *memory = calloc (1, size);

  rig_require (memory != NULL, "no memory");
  if (memory == NULL)
    _exit (2);
  return memory;
}

const char *
rig_address (unsigned vm, unsigned port, char text[64])
{
  snprintf (text, 64, "%s.%u:%u", network, vm, port);
  return text;
}

unsigned
rig_n_vms (void)
{
  return n_vms;
}

const char *
rig_service (unsigned vm)
{
  return vms[vm].service;
}

unsigned
rig_store_host (unsigned viewer)
{
  return 200 + viewer;
}

unsigned
rig_relay_host (unsigned viewer, unsigned vm)
{
  return 10 + 20 * viewer + vm;
}

void
rig_use_relays (void)
{
  with_relays = true;
}

bool
rig_has_relays (void)
{
  return with_relays;
}

bool
rig_is_stopping (void)
{
  return __atomic_load_n (&stopping, __ATOMIC_SEQ_CST);
}

const char *
rig_instance (unsigned vm, char text[64])
{
  snprintf (text, 64, "i-7f3a91c%u", vm);
  return text;
}

static void
path_of (unsigned vm, const char *kind, char path[128])
{
  snprintf (path, 128, "%s/%s-%u", folder, kind, vm);
}

static void
write_settings (unsigned vm)
{
  char path[128];
  char calls[64];
  char peers[64];
  char ready[64];
  char server[64];
  char store[64];
  FILE *file;

  path_of (vm, "settings", path);
  file = fopen (path, "w");
  rig_require (file != NULL, "cannot write the settings");
  fprintf (
      file,
      "{\"nodeName\":\"sidecar-%u\",\"zone\":\"%s\",\"region\":\"lk-west\","
      "\"zones\":{\"colombo-a\":\"lk-west\",\"colombo-b\":\"lk-west\"},"
      "\"service\":\"%s\",\"listenAddrs\":{\"outbound\":\"%s\","
      "\"inbound\":\"%s\",\"ready\":\"%s\"},\"appAddr\":\"%s\","
      "\"platform\":{\"address\":\"%s\"},\"seedNodes\":[],"
      "\"limits\":{\"memoryMb\":%d,\"maxFds\":4100},"
      "\"bounds\":{\"contact\":\"3000ms\",\"drain\":\"2000ms\","
      "\"grace\":\"6s\",\"lost_time\":\"200ms\",\"configApply\":\"2000ms\","
      "\"budgetRatio\":0.2,\"budgetWindow\":\"10s\",\"budgetSlack\":60}}\n",
      vm, vm % 2 == 0 ? "colombo-b" : "colombo-a", vms[vm].service,
      rig_address (vm, RIG_PORT_CALLS, calls),
      rig_address (vm, RIG_PORT_PEERS, peers),
      rig_address (vm, RIG_PORT_READY, ready),
      rig_address (vm, RIG_PORT_SERVER, server),
      rig_address (rig_store_host (vm), RIG_PORT_STORE, store), RIG_MEMORY_MB);
  fclose (file);
}

static void
enter_server (unsigned vm)
{
  char key[128];
  char value[512];
  char instance[64];

  snprintf (key, sizeof key, "servers/%s", rig_instance (vm, instance));
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"@\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"capacity\":13,\"state\":\"ready\","
            "\"warmupLeft\":\"0ms\",\"sequence\":4,\"born\":1700000000000}",
            vms[vm].service, vm % 2 == 0 ? "colombo-b" : "colombo-a");
  rig_store_put (key, value, vm);
}

static char *
append_rule (char *to, const char *service, const char *name, const char *kind,
             unsigned timeout_ms, unsigned objective_ms)
{
  return to
         + sprintf (to,
                    "{\"name\":\"r-%s\",\"kind\":\"%s\",\"targetLatency\":"
                    "\"%ums\",\"priority\":1,\"match\":{\"prefix\":\"/%s/\"}"
                    ",\"action\":{\"service\":\"%s\",\"timeout\":\"%ums\","
                    "\"maxAttempts\":2}}",
                    name, kind, objective_ms, name, service, timeout_ms);
}

/* Returns whether a VM before VM has the same service.  */
static bool
is_repeated (unsigned vm)
{
  for (unsigned other = 1; other < vm; other++)
    if (strcmp (vms[other].service, vms[vm].service) == 0)
      return true;
  return false;
}

void
rig_configure (unsigned timeout_ms, unsigned objective_ms)
{
  char value[8000];
  char clusters[1000] = "";
  char *to = value;
  const char *separator = "";

  to += sprintf (to, "{\"version\":7,\"limits\":{\"maxHeaderBytes\":16384,"
                     "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
                     "\"idleTimeout\":\"15000ms\"},\"listeners\":[");
  for (unsigned vm = 1; vm <= n_vms; vm++)
    {
      const char *service = vms[vm].service;

      if (is_repeated (vm))
        continue;
      to += sprintf (to, "%s{\"host\":\"%s.example\",\"rules\":[", separator,
                     service);
      to = append_rule (to, service, "read", "idempotent", timeout_ms,
                        objective_ms);
      *to++ = ',';
      to = append_rule (to, service, "write", "non_idempotent", timeout_ms,
                        objective_ms);
      *to++ = ',';
      to = append_rule (to, service, "upload", "upload", timeout_ms,
                        objective_ms);
      *to++ = ',';
      to = append_rule (to, service, "download", "download", timeout_ms,
                        objective_ms);
      to += sprintf (to, "]}");
      sprintf (clusters + strlen (clusters),
               "%s{\"name\":\"%s\",\"healthPath\":\"/health\","
               "\"maxConnections\":240}",
               separator, service);
      separator = ",";
    }
  sprintf (to, "],\"clusters\":[%s]}", clusters);
  rig_store_put ("op/config", value, 0);
}

/* Starts the daemon of VM.  The lock is held.  */
static void
start_process (unsigned vm)
{
  char settings[128];
  char log[128];
  char metrics[64];
  pid_t pid;

  path_of (vm, "settings", settings);
  path_of (vm, "log", log);
  rig_address (vm, RIG_PORT_METRICS, metrics);
  pid = fork ();
  if (pid == 0)
    {
      struct rlimit no_core = { 0, 0 };
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);

      setrlimit (RLIMIT_CORE, &no_core);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      setenv ("CORNELPICK_CONFIG", settings, 1);
      execl (PROGRAM, PROGRAM, "--metrics", metrics, (char *)NULL);
      _exit (127);
    }
  vms[vm].pid = pid;
  vms[vm].signalled = false;
  vms[vm].last_end = RIG_RUNNING;
}

/* Returns the memory of process PID in bytes, or 0.  */
static unsigned long
read_memory (pid_t pid)
{
  char path[64];
  unsigned long size = 0;
  unsigned long resident = 0;
  FILE *file;

  snprintf (path, sizeof path, "/proc/%d/statm", (int)pid);
  file = fopen (path, "r");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%lu %lu", &size, &resident) != 2)
    resident = 0;
  fclose (file);
  return resident * (unsigned long)sysconf (_SC_PAGESIZE);
}

/* Records the last line that the daemon of VM wrote.  */
static void
record_last_line (unsigned vm)
{
  char path[128];
  char line[512] = "";
  FILE *file;

  path_of (vm, "log", path);
  file = fopen (path, "r");
  if (file == NULL)
    return;
  while (fgets (line, sizeof line, file) != NULL)
    ;
  fclose (file);
  line[strcspn (line, "\n")] = '\0';
  rig_record ("its last line: %s", line);
}

static void
record_end (unsigned vm, int status)
{
  struct vm *of = &vms[vm];

  of->pid = 0;
  of->ended_ms = rig_now_ms ();
  if (of->signalled)
    of->last_end = RIG_STOPPED;
  else if (of->last_end == RIG_RUNNING)
    of->last_end = RIG_ENDED_BY_ITSELF;
  if (of->last_end != RIG_STOPPED)
    of->ends++;
  if (WIFSIGNALED (status))
    rig_record ("the daemon on vm %u ended by signal %d (%s)", vm,
                WTERMSIG (status),
                of->last_end == RIG_STOPPED       ? "sent by the case"
                : of->last_end == RIG_OVER_MEMORY ? "from the platform, over "
                                                    "its memory limit"
                                                  : "by itself");
  else
    {
      rig_record ("the daemon on vm %u ended with status %d", vm,
                  WEXITSTATUS (status));
      record_last_line (vm);
    }
}

/* Does for VM what the platform does: ends a process that is over its memory
   limit, and starts one again that has ended.  The lock is held.  */
static void
watch_vm (unsigned vm)
{
  struct vm *of = &vms[vm];
  unsigned long memory;
  int status;

  if (of->pid == 0)
    {
      if (of->last_end != RIG_STOPPED && of->ended_ms != 0
          && rig_now_ms () - of->ended_ms >= RESTART_MS)
        start_process (vm);
      return;
    }
  memory = read_memory (of->pid);
  if (memory > of->memory_peak)
    of->memory_peak = memory;
  if (memory > RIG_MEMORY_MB * 1024UL * 1024UL && of->last_end == RIG_RUNNING)
    {
      rig_record ("the daemon on vm %u has %lu MB; the platform ends it", vm,
                  memory >> 20);
      of->last_end = RIG_OVER_MEMORY;
      kill (of->pid, SIGKILL);
    }
  if (waitpid (of->pid, &status, WNOHANG) == of->pid)
    record_end (vm, status);
}

static void *
watch (void *context)
{
  (void)context;
  while (!rig_is_stopping ())
    {
      pthread_mutex_lock (&lock);
      for (unsigned vm = 1; vm <= n_vms && watching; vm++)
        watch_vm (vm);
      pthread_mutex_unlock (&lock);
      rig_sleep_ms (WATCH_MS);
    }
  return NULL;
}

/* Chooses a network of this case in which the ports are free.  */
static void
choose_network (void)
{
  for (unsigned i = 0; i < 50; i++)
    {
      unsigned number = (unsigned)getpid () + i * 977;
      int fd;

      snprintf (network, sizeof network, "127.%u.%u", 1 + number % 250,
                number / 250 % 250);
      fd = rig_listen (1, RIG_PORT_CALLS);
      if (fd < 0)
        continue;
      close (fd);
      return;
    }
  rig_require (false, "no free ports");
}

void
rig_start (unsigned count, const char *const *services)
{
  const char *path = getenv ("RECORD");

  began_ms = rig_now_ms ();
  signal (SIGPIPE, SIG_IGN);
  if (path != NULL)
    record_file = fopen (path, "w");
  rig_require (mkdtemp (folder) != NULL, "cannot make a folder");
  rig_require (access (PROGRAM, X_OK) == 0, "the daemon is not built");
  choose_network ();
  n_vms = count;
  rig_record ("%u vms, trouble %s", count, rig_trouble () ? "on" : "off");
  rig_client_init ();
  for (unsigned vm = 1; vm <= count; vm++)
    {
      vms[vm].service = services[vm - 1];
      rig_store_start (vm);
      rig_server_start (vm);
      for (unsigned other = 1; other <= count && with_relays; other++)
        if (other != vm)
          rig_relay_start (vm, other);
      enter_server (vm);
      write_settings (vm);
    }
  rig_thread (watch, NULL);
}

static bool
is_ready (unsigned vm)
{
  static const char text[]
      = "GET /cornelpick/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
  struct rig_head *head = rig_allocate (sizeof *head);
  int fd = rig_open (vm, RIG_PORT_READY, 1000);
  bool ready = false;

  if (fd >= 0 && rig_write (fd, text, sizeof text - 1)
      && rig_read_head (fd, head))
    ready = strncmp (head->text, "HTTP/1.1 200", 12) == 0;
  if (fd >= 0)
    close (fd);
  free (head);
  return ready;
}

void
rig_start_daemons (void)
{
  uint64_t until_ms = rig_now_ms () + READY_TIMEOUT_MS;

  pthread_mutex_lock (&lock);
  for (unsigned vm = 1; vm <= n_vms; vm++)
    start_process (vm);
  watching = true;
  pthread_mutex_unlock (&lock);
  for (unsigned vm = 1; vm <= n_vms; vm++)
    while (!is_ready (vm))
      {
        rig_require (rig_now_ms () < until_ms, "a daemon is not ready");
        rig_sleep_ms (50);
      }
  rig_record ("all daemons are ready");
}

void
rig_stop (void)
{
  char path[128];

  __atomic_store_n (&stopping, true, __ATOMIC_SEQ_CST);
  pthread_mutex_lock (&lock);
  for (unsigned vm = 1; vm <= n_vms; vm++)
    if (vms[vm].pid > 0)
      {
        kill (vms[vm].pid, SIGKILL);
        waitpid (vms[vm].pid, NULL, 0);
        vms[vm].pid = 0;
      }
  for (unsigned vm = 1; vm <= n_vms; vm++)
    {
      path_of (vm, "settings", path);
      unlink (path);
      path_of (vm, "log", path);
      unlink (path);
    }
  rmdir (folder);
  pthread_mutex_unlock (&lock);
}

void
rig_signal (unsigned vm, int number)
{
  pthread_mutex_lock (&lock);
  vms[vm].signalled = true;
  if (vms[vm].pid > 0)
    kill (vms[vm].pid, number);
  pthread_mutex_unlock (&lock);
}

enum rig_end
rig_last_end (unsigned vm)
{
  enum rig_end end;

  pthread_mutex_lock (&lock);
  end = vms[vm].last_end;
  pthread_mutex_unlock (&lock);
  return end;
}

unsigned
rig_ends (unsigned vm)
{
  unsigned ends;

  pthread_mutex_lock (&lock);
  ends = vms[vm].ends;
  pthread_mutex_unlock (&lock);
  return ends;
}

unsigned
rig_memory_peak_mb (unsigned vm)
{
  unsigned long peak;

  pthread_mutex_lock (&lock);
  peak = vms[vm].memory_peak;
  pthread_mutex_unlock (&lock);
  return (unsigned)(peak >> 20);
}

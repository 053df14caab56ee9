/* The deployment: settings, daemons and their ends; and clients.  */
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "review/stand_ins_internal.h"

/* The command of deploy/system.toml.  */
#define DAEMON "target/meshd/cornelpick-meshd"

#define READY_WAIT_MS 15000
#define END_WAIT_MS 7000
#define RESTART_DELAY_MS 500

static struct deployment *started;

void
kill_daemons (void)
{
  for (unsigned i = 1; started != NULL && i <= MACHINES_MAX; i++)
    if (started->daemons[i] > 0)
      kill (started->daemons[i], SIGKILL);
}

const char *
machine_ip (const struct deployment *deployment, unsigned machine, char ip[24])
{
  g_snprintf (ip, 24, "%s.%u", deployment->net, machine);
  return ip;
}

void
deployment_init (struct deployment *deployment, const char *record,
                 unsigned page_items)
{
  int pid = (int)getpid ();
  char ip[24];

  memset (deployment, 0, sizeof *deployment);
  open_record (record);
  signal (SIGPIPE, SIG_IGN);
  g_snprintf (deployment->net, sizeof deployment->net, "127.%d.%d",
              1 + pid % 250, pid / 250 % 250);
  g_strlcpy (deployment->folder, "/tmp/review-2-XXXXXX",
             sizeof deployment->folder);
  need (mkdtemp (deployment->folder) != NULL, "cannot make a folder");
  deployment->memory_mb = 260;
  deployment->drain_ms = 2000;
  deployment->timeout_ms = 8000;
  deployment->objective_ms = 1500;
  g_strlcpy (deployment->seeds, "[]", sizeof deployment->seeds);
  deployment->store
      = store_start (machine_ip (deployment, 250, ip), page_items);
  started = deployment;
}

void
deployment_seed (struct deployment *deployment, const unsigned machines[3])
{
  GString *text = g_string_new ("[");
  char ip[24];

  for (unsigned i = 0; i < 3; i++)
    if (machines[i] > 0)
      g_string_append_printf (text, "%s\"%s:%d\"", text->len > 1 ? "," : "",
                              machine_ip (deployment, machines[i], ip),
                              PORT_CONTROL);
  g_string_append_c (text, ']');
  g_strlcpy (deployment->seeds, text->str, sizeof deployment->seeds);
  g_string_free (text, TRUE);
}

static unsigned
peers_port (const struct deployment *deployment, unsigned machine)
{
  return machine <= deployment->n_clients ? PORT_PEERS_OF_CLIENTS : PORT_PEERS;
}

void
deployment_link (struct deployment *deployment, unsigned n, unsigned clients,
                 double mbps)
{
  char ip[24];

  deployment->n_clients = clients;
  for (unsigned i = 1; i <= n; i++)
    {
      unsigned own = peers_port (deployment, i);

      link_start (machine_ip (deployment, i, ip),
                  PORT_PEERS + PORT_PEERS_OF_CLIENTS - own, own, mbps);
    }
}

void
deployment_configure (struct deployment *deployment, uint64_t version)
{
  static const char *const kinds[][2] = { { "read", "idempotent" },
                                          { "write", "non_idempotent" },
                                          { "upload", "upload" } };
  GString *text = g_string_new (NULL);

  g_string_append_printf (
      text,
      "{\"version\":%" G_GUINT64_FORMAT ",\"limits\":{\"maxHeaderBytes\":16384"
      ",\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
      "\"idleTimeout\":\"15000ms\"},\"listeners\":[{\"host\":\"a.test\","
      "\"rules\":[",
      version);
  for (unsigned i = 0; i < G_N_ELEMENTS (kinds); i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"%s\",\"kind\":\"%s\",\"targetLatency\":\"%ums\","
        "\"priority\":1,\"match\":{\"prefix\":\"/%s/\"},\"action\":{"
        "\"service\":\"alpha\",\"timeout\":\"%ums\",\"maxAttempts\":2}}",
        i == 0 ? "" : ",", kinds[i][0], kinds[i][1], deployment->objective_ms,
        kinds[i][0], deployment->timeout_ms);
  g_string_append (text, "]}],\"clusters\":[{\"name\":\"alpha\","
                         "\"healthPath\":\"/health\",\"maxConnections\":240},"
                         "{\"name\":\"beta\",\"healthPath\":\"/health\","
                         "\"maxConnections\":240}]}");
  store_put (deployment->store, "op/config", text->str);
  g_string_free (text, TRUE);
}

void
deployment_enter (struct deployment *deployment, unsigned machine,
                  const char *id, const char *service, const char *state)
{
  char key[96];
  char text[512];
  char ip[24];

  g_snprintf (key, sizeof key, "servers/%s", id);
  g_snprintf (text, sizeof text,
              "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"zone-%s\","
              "\"version\":\"v1\",\"capacity\":12,\"state\":\"%s\","
              "\"warmupLeft\":\"0ms\",\"sequence\":4,\"born\":1779664081%03u}",
              service, machine_ip (deployment, machine, ip), PORT_SERVER,
              machine % 2 == 0 ? "b" : "a", state, machine);
  store_put (deployment->store, key, text);
}

static char *
settings_path (const struct deployment *deployment, unsigned machine)
{
  return g_strdup_printf ("%s/settings-%u.json", deployment->folder, machine);
}

static void
write_settings (const struct deployment *deployment, unsigned machine,
                const char *service)
{
  char ip[24];
  const char *own = machine_ip (deployment, machine, ip);
  char *path = settings_path (deployment, machine);
  char *text = g_strdup_printf (
      "{\"nodeName\":\"sidecar-%u\",\"role\":\"sidecar\",\"machineClass\":"
      "\"sidecar\",\"serves\":[\"sidecar\",\"control_plane\"],\"ip\":\"%s\","
      "\"zone\":\"zone-%s\",\"region\":\"r\",\"zones\":{\"zone-a\":\"r\","
      "\"zone-b\":\"r\"},\"listenAddrs\":{\"inbound\":\"%s:%d\",\"outbound\":"
      "\"%s:%d\",\"ready\":\"%s:%d\",\"control\":\"%s:%d\"},\"portRange\":"
      "[7600,7615],\"seedNodes\":%s,\"bootstrap\":true,\"limits\":{\"cpuShare"
      "\":0.2,\"cpuCores\":1,\"memoryMb\":%u,\"maxFds\":4100,\"linkMbps\":"
      "1000.0,\"diskMb\":0},\"dataDir\":null,\"heartbeat\":\"1500ms\","
      "\"bounds\":{\"contact\":\"3000ms\",\"drain\":\"%ums\",\"grace\":\"6s"
      "\",\"configApply\":\"2000ms\",\"budgetRatio\":0.2,\"budgetWindow\":"
      "\"10s\",\"budgetSlack\":60},\"appAddr\":\"%s:%d\",\"service\":\"%s\","
      "\"platform\":{\"address\":\"%s.250:%d\",\"form\":\"read\","
      "\"readsPerS\":2000,\"history\":\"20s\",\"valueBytes\":1048576}}",
      machine, own, machine % 2 == 0 ? "b" : "a", own,
      peers_port (deployment, machine), own, PORT_CALLS, own, PORT_READY, own,
      PORT_CONTROL, deployment->seeds, deployment->memory_mb,
      deployment->drain_ms, own, PORT_SERVER, service, deployment->net,
      PORT_STORE);

  need (g_file_set_contents (path, text, -1, NULL), "cannot write %s", path);
  g_free (path);
  g_free (text);
}

/* Becomes the daemon of MACHINE.  */
static void
execute (const struct deployment *deployment, unsigned machine)
{
  char *path = settings_path (deployment, machine);
  char *log = g_strdup_printf ("%s/log-%u", deployment->folder, machine);
  char *metrics
      = g_strdup_printf ("%s.%u:%d", deployment->net, machine, PORT_METRICS);
  int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);

  /* No daemon outlives the script, whatever ends it.  */
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  setenv ("CORNELPICK_CONFIG", path, 1);
  dup2 (fd, STDOUT_FILENO);
  dup2 (fd, STDERR_FILENO);
  execl (DAEMON, DAEMON, "--metrics", metrics, (char *)NULL);
  _exit (127);
}

void
daemon_start (struct deployment *deployment, unsigned machine,
              const char *service)
{
  pid_t pid;

  write_settings (deployment, machine, service);
  note ("daemon %u starts", machine);
  pid = fork ();
  need (pid >= 0, "cannot start a process");
  if (pid == 0)
    execute (deployment, machine);
  deployment->daemons[machine] = pid;
}

static bool
is_ready (const struct deployment *deployment, unsigned machine)
{
  struct input input = { .fd = -1 };
  char ip[24];
  char *head = NULL;
  bool ready;

  input.fd
      = open_connection (machine_ip (deployment, machine, ip), PORT_READY);
  if (input.fd < 0)
    return false;
  if (send_bytes (input.fd,
                  "GET /cornelpick/ready HTTP/1.1\r\nHost: a\r\n\r\n", 43))
    head = read_head (&input);
  ready = head != NULL && g_str_has_prefix (head, "HTTP/1.1 200");
  g_free (head);
  close (input.fd);
  return ready;
}

void
daemon_wait_ready (struct deployment *deployment, unsigned machine)
{
  int64_t until = now_ms () + READY_WAIT_MS;

  while (!is_ready (deployment, machine))
    {
      need (now_ms () < until, "daemon %u is not ready", machine);
      sleep_ms (20);
    }
  note ("daemon %u is ready", machine);
}

bool
daemon_has_ended (struct deployment *deployment, unsigned machine)
{
  int status;

  if (deployment->daemons[machine] <= 0
      || waitpid (deployment->daemons[machine], &status, WNOHANG)
             != deployment->daemons[machine])
    return false;
  deployment->daemons[machine] = 0;
  return true;
}

static void
wait_for_end (struct deployment *deployment, unsigned machine)
{
  int64_t until = now_ms () + END_WAIT_MS;

  while (!daemon_has_ended (deployment, machine))
    {
      if (now_ms () > until)
        kill (deployment->daemons[machine], SIGKILL);
      sleep_ms (5);
    }
}

void
daemon_signal (struct deployment *deployment, unsigned machine, int signal)
{
  if (deployment->daemons[machine] <= 0)
    return;
  note ("daemon %u gets %s", machine, strsignal (signal));
  kill (deployment->daemons[machine], signal);
  if (signal == SIGKILL || signal == SIGTERM)
    wait_for_end (deployment, machine);
}

long
daemon_memory_kb (const struct deployment *deployment, unsigned machine,
                  bool peak)
{
  const char *name = peak ? "\nVmHWM:" : "\nVmRSS:";
  char path[64];
  char *text = NULL;
  const char *at;
  long kb = 0;

  g_snprintf (path, sizeof path, "/proc/%d/status",
              (int)deployment->daemons[machine]);
  if (deployment->daemons[machine] <= 0
      || !g_file_get_contents (path, &text, NULL, NULL))
    return 0;
  at = strstr (text, name);
  if (at != NULL)
    kb = strtol (at + strlen (name), NULL, 10);
  g_free (text);
  return kb;
}

bool
platform_check_memory (struct deployment *deployment, unsigned machine,
                       const char *service)
{
  long kb = daemon_memory_kb (deployment, machine, false);

  /* Read as MiB, the larger of the two meanings of MB.  */
  if (kb <= (long)deployment->memory_mb * 1024)
    return false;
  note ("platform: daemon %u has %ld kB, more than %u MB", machine, kb,
        deployment->memory_mb);
  daemon_signal (deployment, machine, SIGKILL);
  sleep_ms (RESTART_DELAY_MS);
  daemon_start (deployment, machine, service);
  daemon_wait_ready (deployment, machine);
  return true;
}

static void
remove_folder (const struct deployment *deployment)
{
  GDir *dir = g_dir_open (deployment->folder, 0, NULL);
  const char *name;

  while (dir != NULL && (name = g_dir_read_name (dir)) != NULL)
    {
      char *path = g_build_filename (deployment->folder, name, NULL);

      unlink (path);
      g_free (path);
    }
  if (dir != NULL)
    g_dir_close (dir);
  rmdir (deployment->folder);
}

void
deployment_finish (struct deployment *deployment)
{
  for (unsigned i = 1; i <= MACHINES_MAX; i++)
    if (deployment->daemons[i] > 0)
      kill (deployment->daemons[i], SIGKILL);
  for (unsigned i = 1; i <= MACHINES_MAX; i++)
    if (deployment->daemons[i] > 0)
      wait_for_end (deployment, i);
  if (getenv ("KEEP") == NULL)
    remove_folder (deployment);
}

void
client_open (struct client *client, const struct deployment *deployment,
             unsigned machine)
{
  char ip[24];

  client->fd
      = open_connection (machine_ip (deployment, machine, ip), PORT_CALLS);
  client->input.fd = client->fd;
  client->input.start = client->input.end = 0;
}

void
client_close (struct client *client)
{
  if (client->fd >= 0)
    close (client->fd);
  client->fd = -1;
}

bool
client_send (struct client *client, const char *method, const char *path,
             const char *id, unsigned deadline_ms, size_t body)
{
  char head[512];

  if (client->fd < 0)
    return false;
  g_snprintf (head, sizeof head,
              "%s %s HTTP/1.1\r\nHost: a.test\r\n"
              "X-Cornelpick-Request-Id: %s\r\n"
              "X-Cornelpick-Deadline-Ms: %u\r\n",
              method, path, id, deadline_ms);
  if (strcmp (method, "GET") != 0)
    g_snprintf (head + strlen (head), sizeof head - strlen (head),
                "Content-Length: %zu\r\n", body);
  g_strlcat (head, "\r\n", sizeof head);
  return send_bytes (client->fd, head, strlen (head))
         && (strcmp (method, "GET") == 0 || send_filler (client->fd, body));
}

void
client_read (struct client *client, struct answer *answer)
{
  char *head = client->fd < 0 ? NULL : read_head (&client->input);
  char length[32];
  size_t expected;

  memset (answer, 0, sizeof *answer);
  if (head == NULL)
    return;
  g_strlcpy (answer->head, head, sizeof answer->head);
  find_header (head, "Content-Length", length, sizeof length);
  expected = (size_t)strtoul (length, NULL, 10);
  answer->length = drop_bytes (&client->input, expected);
  if (answer->length == expected)
    answer->status = (int)strtol (head + strlen ("HTTP/1.1 "), NULL, 10);
  g_free (head);
}

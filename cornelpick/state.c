#include <stdio.h>
#include <string.h>

#include "cornelpick/cornelpick.h"
#include "cornelpick/progress.h"
#include "lib/cleanup.h"

#define POLL_INTERVAL_US 50000

static const char *
get_string_member_or_dash (json_t *object, const char *key)
{
  const char *text = get_string_member (object, key);

  return *text == '\0' ? "-" : text;
}

static double
get_seconds (json_t *object, const char *key)
{
  return (double)get_integer_member (object, key) / CP_US_PER_S;
}

static void
print_daemon (json_t *state)
{
  json_t *addresses = json_object_get (state, "addresses");
  json_t *ring = json_object_get (state, "decisions");

  printf ("vm             %s (%s), cornelpickd %s\n",
          get_string_member_or_dash (state, "vm"),
          get_string_member_or_dash (state, "failure_domain"),
          get_string_member_or_dash (state, "version"));
  printf ("life           %s, up %.1f s, %lld pauses noticed\n",
          get_string_member_or_dash (state, "life"),
          get_seconds (state, "uptime_us"),
          (long long)get_integer_member (state, "pauses"));
  printf ("incarnation    %s\n",
          get_string_member_or_dash (state, "incarnation"));
  printf ("addresses      calls %s, peers %s, admin %s\n",
          get_string_member_or_dash (addresses, "calls"),
          get_string_member_or_dash (addresses, "peers"),
          get_string_member_or_dash (addresses, "admin"));
  printf ("decisions      %lld added, the last %lld kept, reaching back "
          "%.1f s\n",
          (long long)get_integer_member (ring, "added"),
          (long long)get_integer_member (ring, "capacity"),
          get_seconds (ring, "oldest_age_us"));
}

static void
print_configuration (json_t *configuration)
{
  const char *refused = get_string_member (configuration, "refused");

  if (get_integer_member (configuration, "version") == 0)
    printf ("configuration  none accepted yet\n");
  else
    printf ("configuration  version %lld, hash %s, in force for %.1f s, "
            "%s%s\n",
            (long long)get_integer_member (configuration, "version"),
            get_string_member_or_dash (configuration, "hash"),
            get_seconds (configuration, "age_us"),
            get_string_member_or_dash (configuration, "state"),
            json_is_true (json_object_get (configuration, "watching"))
                ? ", watching the service"
                : "");
  if (*refused != '\0')
    printf ("  refused      %s\n", refused);
}

/* Prints one line for each section of the configuration.  Dumps without
   sections print none.  */
static void
print_sections (json_t *configuration)
{
  json_t *sections = json_object_get (configuration, "sections");
  const char *name;
  json_t *section;

  json_object_foreach (sections, name, section)
  {
    printf ("  section      %s: version %lld, hash %s", name,
            (long long)get_integer_member (section, "version"),
            get_string_member_or_dash (section, "hash"));
    if (json_object_get (section, "age_us") != NULL)
      printf (", %.1f s old", get_seconds (section, "age_us"));
    if (*get_string_member (section, "refused") != '\0')
      printf (", refused: %s", get_string_member (section, "refused"));
    putchar ('\n');
  }
}

static void
print_members (json_t *state)
{
  json_t *members = json_object_get (state, "members");
  size_t listed = 0;
  size_t leaving = 0;
  size_t alive = 0;
  size_t i;
  json_t *vm;

  json_array_foreach (members, i, vm)
  {
    listed += json_is_true (json_object_get (vm, "listed"));
    leaving += json_is_true (json_object_get (vm, "leaving"));
    alive += json_is_true (json_object_get (vm, "alive"));
  }
  printf ("members        %zu VMs known, %zu in the list, %zu leaving, "
          "%zu alive\n",
          json_array_size (members), listed, leaving, alive);
}

static void
print_target (json_t *target)
{
  printf ("  target       %-16s %-10s %lld own calls, %lld in flight",
          get_string_member_or_dash (target, "name"),
          get_string_member (target, "health"),
          (long long)get_integer_member (target, "own_in_flight"),
          (long long)get_integer_member (target, "in_flight"));
  if (json_object_get (target, "report_age_us") != NULL)
    printf (", report %.1f ms old",
            (double)get_integer_member (target, "report_age_us")
                / CP_US_PER_MS);
  putchar ('\n');
}

static void
print_outbound (json_t *outbound)
{
  const char *name;
  json_t *service;
  size_t i;
  json_t *target;

  printf ("outbound       %lld in flight, p50 %.3f ms, p99 %.3f ms\n",
          (long long)get_integer_member (outbound, "in_flight"),
          (double)get_integer_member (outbound, "p50_us") / CP_US_PER_MS,
          (double)get_integer_member (outbound, "p99_us") / CP_US_PER_MS);
  json_object_foreach (json_object_get (outbound, "services"), name, service)
  {
    json_t *targets = json_is_array (service)
                          ? service
                          : json_object_get (service, "targets");

    printf ("  service      %s, %zu targets\n", name,
            json_array_size (targets));
    json_array_foreach (targets, i, target) print_target (target);
  }
}

static void
print_inbound (json_t *inbound)
{
  json_t *load = json_object_get (inbound, "load");

  printf ("inbound        %s: %lld in flight, %lld queued, limit %lld, "
          "p50 %.3f ms, p99 %.3f ms\n",
          get_string_member_or_dash (inbound, "target"),
          (long long)get_integer_member (load, "in_flight"),
          (long long)get_integer_member (load, "queued"),
          (long long)get_integer_member (load, "limit"),
          (double)get_integer_member (inbound, "p50_us") / CP_US_PER_MS,
          (double)get_integer_member (inbound, "p99_us") / CP_US_PER_MS);
  printf ("  attempts     %lld in the register\n",
          (long long)get_integer_member (inbound, "register_entries"));
}

/* Prints the budget for load measurement; nothing when the dump has none.  */
static void
print_measuring (json_t *measuring)
{
  json_t *budget = json_object_get (measuring, "budget");

  if (budget == NULL)
    return;
  printf ("measuring      %lld of %lld us/s of work, %lld of %lld bytes/s, "
          "%lld grants, %lld overdrafts\n",
          (long long)get_integer_member (budget, "work_us_in_window"),
          (long long)get_integer_member (budget, "work_us_per_s"),
          (long long)get_integer_member (budget, "bytes_in_window"),
          (long long)get_integer_member (budget, "bytes_per_s"),
          (long long)get_integer_member (budget, "grants"),
          (long long)get_integer_member (budget, "overdrafts"));
}

static void
print_connections (json_t *list)
{
  json_int_t idle = 0;
  json_int_t busy = 0;
  size_t i;
  json_t *address;

  json_array_foreach (list, i, address)
  {
    idle += get_integer_member (address, "idle");
    busy += get_integer_member (address, "busy");
  }
  printf ("connections    %lld busy, %lld idle, to %zu addresses\n",
          (long long)busy, (long long)idle, json_array_size (list));
}

static void
print_summary (json_t *state)
{
  json_t *configuration = json_object_get (state, "configuration");

  print_daemon (state);
  print_configuration (configuration);
  print_sections (configuration);
  print_members (state);
  print_outbound (json_object_get (state, "outbound"));
  print_inbound (json_object_get (state, "inbound"));
  print_measuring (json_object_get (state, "measuring"));
  print_connections (json_object_get (state, "connections"));
}

/* Polls /healthz until it answers 200 or TIMEOUT_S has passed.  Returns
   whether the daemon serves.  */
static bool
wait_serving (const char *address, int timeout_s)
{
  uint64_t until
      = cp_clock_now_us (&cp_clock_boot) + (uint64_t)timeout_s * CP_US_PER_S;
  GString *body = g_string_new (NULL);
  struct cp_error error;
  struct progress progress;
  bool serving = false;

  progress_begin (&progress, "waiting until the daemon serves");
  while (!serving && cp_clock_now_us (&cp_clock_boot) < until)
    {
      serving = admin_get (address, "/healthz", body, &error) == 0;
      if (!serving)
        g_usleep (POLL_INTERVAL_US);
    }
  progress_end (&progress);
  g_string_free (body, TRUE);
  return serving;
}

int
command_state (int argc, char **argv)
{
  gboolean json = FALSE;
  gint wait = 0;
  const GOptionEntry entries[]
      = { { "json", 'j', 0, G_OPTION_ARG_NONE, &json, "Print the whole dump",
            NULL },
          { "wait-serving", 'w', 0, G_OPTION_ARG_INT, &wait,
            "Wait until the daemon serves", "SECONDS" },
          G_OPTION_ENTRY_NULL };
  CP_AUTO_JSON json_t *state = NULL;
  CP_AUTO_FREE char *text = NULL;
  struct cp_error error;

  if (!parse_arguments (&argc, &argv, entries) || argc != 2)
    return usage ();
  if (wait > 0 && !wait_serving (argv[1], wait))
    {
      cp_error_set (&error, CP_ERROR_NETWORK, argv[1],
                    "look at the daemon's log", "is not serving after %d s",
                    wait);
      return report_error (&error);
    }
  state = admin_get_state (argv[1], &error);
  if (state == NULL)
    return report_error (&error);
  if (!json)
    {
      print_summary (state);
      return STATUS_OK;
    }
  text = json_dumps (state, JSON_INDENT (2));
  puts (text == NULL ? "{}" : text);
  return STATUS_OK;
}

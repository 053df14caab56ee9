#include <stdio.h>
#include <string.h>

#include "cornelpick/cornelpick.h"
#include "lib/cleanup.h"

#define WAIT_STEP_US 50000

static const char *
text_of (json_t *object, const char *key)
{
  const char *text = json_string_value (json_object_get (object, key));

  return text == NULL ? "-" : text;
}

static void
print_summary (json_t *state)
{
  json_t *configuration = json_object_get (state, "configuration");
  json_t *outbound = json_object_get (state, "outbound");
  json_t *inbound = json_object_get (state, "inbound");

  printf ("vm             %s (%s)\n", text_of (state, "vm"),
          text_of (state, "failure_domain"));
  printf ("life           %s\n", text_of (state, "life"));
  printf ("incarnation    %s\n", text_of (state, "incarnation"));
  printf ("configuration  version %lld, hash %s\n",
          (long long)json_integer_value (
              json_object_get (configuration, "version")),
          text_of (configuration, "hash"));
  printf (
      "outbound       %lld in flight\n",
      (long long)json_integer_value (json_object_get (outbound, "in_flight")));
  printf (
      "inbound        %lld in flight\n",
      (long long)json_integer_value (json_object_get (inbound, "in_flight")));
}

/* Waits until the daemon is serving.  */
static bool
wait_serving (const char *address, int seconds)
{
  uint64_t until
      = cp_clock_now_us (&cp_clock_boot) + (uint64_t)seconds * CP_US_PER_S;
  GString *body = g_string_new (NULL);
  struct cp_error error;
  bool serving = false;

  while (!serving && cp_clock_now_us (&cp_clock_boot) < until)
    {
      serving = admin_get (address, "/healthz", body, &error) == 0;
      if (!serving)
        g_usleep (WAIT_STEP_US);
    }
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
  GString *body;
  struct cp_error error;
  int status = STATUS_HOLDS;

  if (!parse_arguments (&argc, &argv, entries) || argc != 2)
    return usage ();
  if (wait > 0 && !wait_serving (argv[1], wait))
    {
      cp_error_set (&error, CP_ERROR_NETWORK, argv[1],
                    "look at the daemon's log", "is not serving after %d s",
                    wait);
      return report_error (&error);
    }
  body = g_string_new (NULL);
  if (admin_get (argv[1], "/state", body, &error) != 0)
    status = report_error (&error);
  else if (json)
    puts (body->str);
  else
    {
      CP_AUTO_JSON json_t *state = json_loads (body->str, 0, NULL);

      print_summary (state);
    }
  g_string_free (body, TRUE);
  return status;
}

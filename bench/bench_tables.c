/* Processor time that a daemon's loop takes for a configuration of the users'
   platform, by the number of its routes: the first one, and one in which a
   single route has changed.  */
#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <time.h>

#include "lib/compress.h"
#include "platform/decode.h"

#define SERVICES 20
#define ROUNDS 5

static double
now_ms (void)
{
  struct timespec time;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &time);
  return (double)time.tv_sec * 1e3 + (double)time.tv_nsec / 1e6;
}

/* Returns configuration VERSION of COUNT routes.  The timeout of the first one
   is that of no other version.  */
static GString *
compose_configuration (unsigned version, unsigned count)
{
  GString *text = g_string_new (NULL);

  g_string_printf (text, "{\"version\":%u,\"clusters\":[", version);
  for (unsigned i = 0; i < SERVICES; i++)
    g_string_append_printf (text,
                            "%s{\"name\":\"service-%u\",\"healthPath\":"
                            "\"/health\",\"maxConnections\":100}",
                            i == 0 ? "" : ",", i);
  g_string_append (text, "],\"listeners\":[{\"host\":\"h.example\","
                         "\"rules\":[");
  for (unsigned i = 0; i < count; i++)
    g_string_append_printf (
        text,
        "%s{\"name\":\"route-%u\",\"match\":{\"prefix\":\"/p%u/\"},"
        "\"kind\":\"idempotent\",\"priority\":2,\"targetLatency\":\"200ms\","
        "\"action\":{\"service\":\"service-%u\",\"timeout\":\"%ums\","
        "\"maxAttempts\":2}}",
        i == 0 ? "" : ",", i, i, i % SERVICES, i == 0 ? 2000 + version : 2000);
  return g_string_append (text, "]}]}");
}

static double
parse_ms (const GString *text)
{
  double began = now_ms ();

  json_decref (json_loadb (text->str, text->len, 0, NULL));
  return now_ms () - began;
}

/* Puts the table of TEXT in the place of *TABLE.  */
static double
replace_ms (const GString *text, struct cp_route_table **table)
{
  double began = now_ms ();
  struct cp_route_table *next;
  struct cp_error error;

  if (platform_decode_table (text->str, text->len, *table, &next, &error) != 0)
    g_error ("%s: %s", error.place, error.problem);
  cp_route_table_unref (*table);
  *table = next;
  return now_ms () - began;
}

static double
compress_ms (const GString *text, size_t *length)
{
  double began = now_ms ();
  GBytes *packed = cp_compress (text->str, text->len);

  *length = packed == NULL ? text->len : g_bytes_get_size (packed);
  g_clear_pointer (&packed, g_bytes_unref);
  return now_ms () - began;
}

static void
bench_table (unsigned count)
{
  struct cp_route_table *table = NULL;
  GString *text = compose_configuration (1, count);
  double first = replace_ms (text, &table);
  double changed = G_MAXDOUBLE;
  double parse = G_MAXDOUBLE;
  double compress = G_MAXDOUBLE;
  size_t packed = 0;

  for (unsigned version = 2; version < 2 + ROUNDS; version++)
    {
      g_string_free (text, TRUE);
      text = compose_configuration (version, count);
      changed = MIN (changed, replace_ms (text, &table));
      parse = MIN (parse, parse_ms (text));
      compress = MIN (compress, compress_ms (text, &packed));
    }
  printf ("table  %6u routes %8zu bytes: first %7.2f ms, one changed %7.2f ms,"
          " of it JSON %7.2f ms; packed %7zu bytes in %6.2f ms\n",
          count, text->len, first, changed, parse, packed, compress);
  cp_route_table_unref (table);
  g_string_free (text, TRUE);
}

int
main (void)
{
  bench_table (20);
  bench_table (1420);
  bench_table (5000);
  bench_table (20000);
  return 0;
}

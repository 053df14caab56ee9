/* Cost of checking documents of 1 MB and of routing.  */
#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "lib/check.h"
#include "lib/clock.h"
#include "lib/document.h"

#define ROUTE_LOOKUPS 200000

static double
check_ms (const char *text, size_t length)
{
  struct cp_faults faults;
  uint64_t start = cp_clock_now_us (&cp_clock_boot);

  cp_faults_init (&faults);
  cp_document_check (text, length, &faults);
  cp_faults_finish (&faults);
  return (double)(cp_clock_now_us (&cp_clock_boot) - start) / 1000;
}

/* Appends PIECE until the text has about 1 MB, then END.  */
static GString *
fill (const char *start, const char *piece, const char *end, bool numbered)
{
  GString *text = g_string_new (start);

  for (unsigned i = 0;
       text->len + strlen (piece) + strlen (end) + 16 < CP_DOCUMENT_BYTES_MAX;
       i++)
    if (numbered)
      g_string_append_printf (text, "\"%x\":%s", i, piece);
    else
      g_string_append (text, piece);
  return g_string_append (text, end);
}

static void
bench_shape (const char *name, GString *text)
{
  double best = check_ms (text->str, text->len);

  for (unsigned i = 0; i < 4; i++)
    {
      double ms = check_ms (text->str, text->len);

      best = ms < best ? ms : best;
    }
  printf ("check  %-22s %8zu bytes %8.1f ms\n", name, text->len, best);
  g_string_free (text, TRUE);
}

/* A document with one service of COUNT routes.  */
static GString *
routes_document (unsigned count)
{
  GString *text = g_string_new (
      "{\"format\":1,\"version\":1,\"sections\":{\"fleet\":{\"owner\":\"p\","
      "\"kind\":\"fleet\",\"failure_domains\":{\"a\":{\"region\":\"r\"}},"
      "\"one_way_ms\":{\"between_failure_domains\":1,\"to_callers\":3},"
      "\"new_connection_ms\":1,\"configuration_service\":{\"reads_per_s\":"
      "2000,\"most_share\":0.25,\"in_force_ms\":3000},\"measuring\":{"
      "\"probe_ms\":6,\"target_ms_per_s\":12,\"bytes_per_s\":4000}},\"s\":{"
      "\"owner\":\"o\",\"kind\":\"service\",\"targets\":{\"t\":{\"address\":"
      "\"10.0.0.1:80\",\"daemon\":\"10.0.0.1:7400\",\"failure_domain\":\"a\"}"
      "},\"slots\":12,\"connections\":250,\"deadline_ms\":2000,\"drain\":{"
      "\"within_ms\":3000,\"finish_ms\":30000},\"routes\":[");

  for (unsigned i = 0; i < count; i++)
    g_string_append_printf (text,
                            "%s{\"host\":\"h.example\",\"path\":\"/p%u/\","
                            "\"methods\":[\"GET\"]}",
                            i == 0 ? "" : ",", i);
  return g_string_append (text, "]}}}");
}

static void
bench_routing (unsigned count)
{
  GString *text = routes_document (count);
  struct cp_error error;
  struct cp_document *document
      = cp_document_compile ("bench", text->str, text->len, &error);
  uint64_t start = cp_clock_now_us (&cp_clock_boot);
  unsigned found = 0;

  if (document == NULL)
    {
      printf ("route  %u routes: %s\n", count, error.problem);
      return;
    }
  for (unsigned i = 0; i < ROUTE_LOOKUPS; i++)
    {
      bool known;

      if (cp_document_route (document, "h.example", "/p3/some/longer/path",
                             CP_METHOD_GET, &known)
          != NULL)
        found++;
    }
  printf ("route  %6u routes  %6.0f ns a lookup (%u found)\n", count,
          (double)(cp_clock_now_us (&cp_clock_boot) - start) * 1000
              / ROUTE_LOOKUPS,
          found);
  cp_document_unref (document);
  g_string_free (text, TRUE);
}

int
main (void)
{
  bench_shape ("empty lines", fill ("", "\n", "{}", false));
  bench_shape ("unknown keys", fill ("{", "1,\n", "\"z\":1}", true));
  bench_shape ("unknown keys, one line", fill ("{", "1,", "\"z\":1}", true));
  bench_shape ("list of numbers", fill ("[", "1,", "1]", false));
  bench_shape ("sections",
               fill ("{\"sections\":{", "{},", "\"z\":{}}}", true));
  bench_shape ("valid routes", routes_document (17000));
  bench_routing (10);
  bench_routing (1000);
  bench_routing (10000);
  return 0;
}

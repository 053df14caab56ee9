#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <unistd.h>

#include "cornelpick/cornelpick.h"
#include "cornelpick/progress.h"
#include "lib/cleanup.h"

#define INTERVAL_DEFAULT_MS 1000
#define INTERVAL_MIN_MS 100
#define CELL_BYTES 40
#define NO_VALUE (-1)

enum column
{
  COLUMN_TARGET,
  COLUMN_SERVICE,
  COLUMN_HEALTH,
  COLUMN_IN_FLIGHT,
  COLUMN_QUEUED,
  COLUMN_LIMIT,
  COLUMN_P50,
  COLUMN_P99,
  COLUMN_ERRORS,
  COLUMN_MEASURING,
  COLUMN_SEEN,
  COLUMN_COUNT
};

/* On a narrow terminal the columns with the highest rank are dropped first. */
static const struct
{
  const char *title;
  unsigned rank;
} columns[COLUMN_COUNT] = {
  [COLUMN_TARGET] = { "TARGET", 0 }, [COLUMN_SERVICE] = { "SERVICE", 8 },
  [COLUMN_HEALTH] = { "HEALTH", 2 }, [COLUMN_IN_FLIGHT] = { "INFL", 1 },
  [COLUMN_QUEUED] = { "QUEUE", 3 },  [COLUMN_LIMIT] = { "LIMIT", 5 },
  [COLUMN_P50] = { "P50ms", 6 },     [COLUMN_P99] = { "P99ms", 4 },
  [COLUMN_ERRORS] = { "ERR%", 7 },   [COLUMN_MEASURING] = { "MEAS%", 9 },
  [COLUMN_SEEN] = { "SEEN", 10 },
};

/* A target as its own daemon reports it, or else as the daemon with the
   youngest load report sees it.  Unknown numbers are NO_VALUE.  */
struct row
{
  char target[CELL_BYTES];
  char service[CELL_BYTES];
  char health[CELL_BYTES];
  json_int_t in_flight;
  json_int_t queued;
  json_int_t limit;
  json_int_t p50_us;
  json_int_t p99_us;
  json_int_t errors_permille;
  double measuring_share; /* spent share of the budget */
  json_int_t report_age_us;
  bool own; /* the numbers are from its own inbound side */
};

struct table
{
  GPtrArray *rows;
  unsigned failed; /* addresses that did not answer */
};

static struct row *
get_row (struct table *table, const char *target)
{
  struct row *row;

  for (guint i = 0; i < table->rows->len; i++)
    {
      row = table->rows->pdata[i];
      if (strcmp (row->target, target) == 0)
        return row;
    }
  row = g_new0 (struct row, 1);
  g_strlcpy (row->target, target, sizeof row->target);
  g_strlcpy (row->health, "-", sizeof row->health);
  row->in_flight = row->queued = row->limit = NO_VALUE;
  row->p50_us = row->p99_us = row->errors_permille = NO_VALUE;
  row->report_age_us = NO_VALUE;
  row->measuring_share = NO_VALUE;
  g_ptr_array_add (table->rows, row);
  return row;
}

/* Returns the number KEY of OBJECT, or NO_VALUE when it has none.  */
static json_int_t
get_integer_or_none (json_t *object, const char *key)
{
  json_t *value = json_object_get (object, key);

  return json_is_number (value) ? (json_int_t)json_number_value (value)
                                : NO_VALUE;
}

/* Adds what an inbound side reports about its own target.  */
static void
add_inbound_state (struct table *table, json_t *inbound, json_t *budget)
{
  json_t *load = json_object_get (inbound, "load");
  struct row *row;

  if (*get_string_member (inbound, "target") == '\0')
    return;
  row = get_row (table, get_string_member (inbound, "target"));
  row->own = true;
  g_strlcpy (row->service, get_string_member (inbound, "service"),
             sizeof row->service);
  row->in_flight = get_integer_or_none (load, "in_flight");
  row->queued = get_integer_or_none (load, "queued");
  row->limit = get_integer_or_none (load, "limit");
  row->errors_permille = get_integer_or_none (load, "errors_permille");
  row->p50_us = get_integer_or_none (inbound, "p50_us");
  row->p99_us = get_integer_or_none (inbound, "p99_us");
  if (get_integer_member (budget, "work_us_per_s") > 0)
    row->measuring_share
        = (double)get_integer_member (budget, "work_us_in_window")
          / (double)get_integer_member (budget, "work_us_per_s");
}

/* Adds an outbound side's view of a target, unless the row has numbers of the
   target's own daemon or a younger report.  */
static void
add_outbound_view (struct table *table, const char *service, json_t *target)
{
  struct row *row = get_row (table, get_string_member (target, "name"));
  json_int_t age_us = get_integer_or_none (target, "report_age_us");

  if (*get_string_member (target, "health") != '\0')
    g_strlcpy (row->health, get_string_member (target, "health"),
               sizeof row->health);
  if (row->own
      || (row->report_age_us != NO_VALUE
          && (age_us == NO_VALUE || age_us >= row->report_age_us)))
    return;
  g_strlcpy (row->service, service, sizeof row->service);
  row->report_age_us = age_us;
  row->in_flight = get_integer_or_none (target, "in_flight");
  row->queued = get_integer_or_none (target, "queued");
  row->limit = get_integer_or_none (target, "limit");
  row->p50_us = get_integer_or_none (target, "estimated_latency_us");
  if (row->p50_us == NO_VALUE)
    row->p50_us = get_integer_or_none (target, "own_latency_us");
  if (json_is_number (json_object_get (target, "error_share")))
    row->errors_permille = (json_int_t)(1000
                                        * json_number_value (json_object_get (
                                            target, "error_share")));
}

static void
add_state (struct table *table, json_t *state)
{
  json_t *services
      = json_object_get (json_object_get (state, "outbound"), "services");
  const char *service;
  json_t *list;
  json_t *target;
  size_t i;

  add_inbound_state (
      table, json_object_get (state, "inbound"),
      json_object_get (json_object_get (state, "measuring"), "budget"));
  json_object_foreach (services, service, list)
  {
    json_t *targets
        = json_is_array (list) ? list : json_object_get (list, "targets");

    json_array_foreach (targets, i, target)
        add_outbound_view (table, service, target);
  }
}

static int
compare_services (const void *left, const void *right)
{
  const struct row *a = *(struct row *const *)left;
  const struct row *b = *(struct row *const *)right;
  int order = strcmp (a->service, b->service);

  return order != 0 ? order : strcmp (a->target, b->target);
}

/* Reads the state dumps of all addresses into TABLE.  */
static void
collect (struct table *table, char **addresses)
{
  struct progress progress;

  table->rows = g_ptr_array_new_with_free_func (g_free);
  table->failed = 0;
  progress_begin (&progress, "asking the daemons");
  for (char **address = addresses; *address != NULL; address++)
    {
      struct cp_error error;
      CP_AUTO_JSON json_t *state = admin_get_state (*address, &error);

      if (state != NULL)
        add_state (table, state);
      else
        {
          table->failed++;
          report_error (&error);
        }
    }
  progress_end (&progress);
  g_ptr_array_sort (table->rows, compare_services);
}

static void
set_number (char *cell, json_int_t value)
{
  if (value == NO_VALUE)
    g_strlcpy (cell, "-", CELL_BYTES);
  else
    snprintf (cell, CELL_BYTES, "%" JSON_INTEGER_FORMAT, value);
}

static void
set_scaled (char *cell, json_int_t value, double unit)
{
  if (value == NO_VALUE)
    g_strlcpy (cell, "-", CELL_BYTES);
  else
    snprintf (cell, CELL_BYTES, "%.1f", (double)value / unit);
}

static void
set_seen (char *cell, const struct row *row)
{
  if (row->own)
    g_strlcpy (cell, "own", CELL_BYTES);
  else if (row->report_age_us == NO_VALUE)
    g_strlcpy (cell, "-", CELL_BYTES);
  else
    snprintf (cell, CELL_BYTES, "%.0fms", (double)row->report_age_us / 1e3);
}

static void
fill_cells (const struct row *row, char cells[COLUMN_COUNT][CELL_BYTES])
{
  g_strlcpy (cells[COLUMN_TARGET], row->target, CELL_BYTES);
  g_strlcpy (cells[COLUMN_SERVICE], row->service, CELL_BYTES);
  g_strlcpy (cells[COLUMN_HEALTH], row->health, CELL_BYTES);
  set_number (cells[COLUMN_IN_FLIGHT], row->in_flight);
  set_number (cells[COLUMN_QUEUED], row->queued);
  set_number (cells[COLUMN_LIMIT], row->limit);
  set_scaled (cells[COLUMN_P50], row->p50_us, 1e3);
  set_scaled (cells[COLUMN_P99], row->p99_us, 1e3);
  set_scaled (cells[COLUMN_ERRORS], row->errors_permille, 10);
  if (row->measuring_share < 0)
    g_strlcpy (cells[COLUMN_MEASURING], "-", CELL_BYTES);
  else
    snprintf (cells[COLUMN_MEASURING], CELL_BYTES, "%.0f",
              100 * row->measuring_share);
  set_seen (cells[COLUMN_SEEN], row);
}

static void
compute_widths (const struct table *table, unsigned widths[COLUMN_COUNT])
{
  char cells[COLUMN_COUNT][CELL_BYTES];

  for (unsigned c = 0; c < COLUMN_COUNT; c++)
    widths[c] = (unsigned)strlen (columns[c].title);
  for (guint i = 0; i < table->rows->len; i++)
    {
      fill_cells (table->rows->pdata[i], cells);
      for (unsigned c = 0; c < COLUMN_COUNT; c++)
        if (strlen (cells[c]) > widths[c])
          widths[c] = (unsigned)strlen (cells[c]);
    }
}

/* Sets to 0 the widths of columns that do not fit into WIDTH.  */
static void
drop_columns (unsigned widths[COLUMN_COUNT], unsigned width)
{
  for (unsigned rank = COLUMN_COUNT; rank > 0; rank--)
    {
      unsigned total = 0;

      for (unsigned c = 0; c < COLUMN_COUNT; c++)
        total += widths[c] == 0 ? 0 : widths[c] + 1;
      if (total <= width + 1)
        return;
      for (unsigned c = 0; c < COLUMN_COUNT; c++)
        if (columns[c].rank == rank)
          widths[c] = 0;
    }
  if (widths[COLUMN_TARGET] > width)
    widths[COLUMN_TARGET] = width;
}

static const char *
health_colour (const struct row *row)
{
  if (strcmp (row->health, "ejected") == 0
      || strcmp (row->health, "gone") == 0)
    return "\033[31m";
  if (strcmp (row->health, "suspect") == 0
      || strcmp (row->health, "leaving") == 0)
    return "\033[33m";
  return "";
}

static void
print_cells (const unsigned widths[COLUMN_COUNT],
             char cells[COLUMN_COUNT][CELL_BYTES], GString *text)
{
  const char *gap = "";

  for (unsigned c = 0; c < COLUMN_COUNT; c++)
    {
      bool left
          = c == COLUMN_TARGET || c == COLUMN_SERVICE || c == COLUMN_HEALTH;

      if (widths[c] == 0)
        continue;
      g_string_append_printf (text, left ? "%s%-*.*s" : "%s%*.*s", gap,
                              (int)widths[c], (int)widths[c], cells[c]);
      gap = " ";
    }
}

static void
print_table (const struct table *table, unsigned width, bool colour,
             GString *text)
{
  char cells[COLUMN_COUNT][CELL_BYTES];
  unsigned widths[COLUMN_COUNT];

  compute_widths (table, widths);
  drop_columns (widths, width);
  for (unsigned c = 0; c < COLUMN_COUNT; c++)
    g_strlcpy (cells[c], columns[c].title, CELL_BYTES);
  print_cells (widths, cells, text);
  g_string_append_c (text, '\n');
  for (guint i = 0; i < table->rows->len; i++)
    {
      const struct row *row = table->rows->pdata[i];
      const char *start = colour ? health_colour (row) : "";

      fill_cells (row, cells);
      g_string_append (text, start);
      print_cells (widths, cells, text);
      g_string_append (text, *start == '\0' ? "\n" : "\033[0m\n");
    }
}

static unsigned
terminal_size (bool rows)
{
  struct winsize size;

  if (ioctl (STDOUT_FILENO, TIOCGWINSZ, &size) != 0 || size.ws_col == 0)
    return rows ? 24 : 80;
  return rows ? size.ws_row : size.ws_col;
}

/* Keeps the first lines of TEXT that fit on the terminal.  */
static void
truncate_to_terminal (GString *text)
{
  unsigned lines = terminal_size (true);
  const char *at = text->str;

  while (lines > 1 && (at = strchr (at, '\n')) != NULL)
    {
      at++;
      lines--;
    }
  if (at != NULL)
    g_string_truncate (text, (gsize)(at - text->str));
}

/* Prints the table once; when LIVE, clears the terminal first and fits the
   table to it.  */
static int
print_once (char **addresses, bool live, bool colour)
{
  struct table table;
  GString *text = g_string_new (live ? "\033[H\033[J" : "");
  int status;

  collect (&table, addresses);
  print_table (&table, live ? terminal_size (false) : UINT16_MAX, colour,
               text);
  if (live)
    truncate_to_terminal (text);
  fputs (text->str, stdout);
  fflush (stdout);
  status = table.failed > 0 ? STATUS_FINDING : STATUS_OK;
  g_string_free (text, TRUE);
  g_ptr_array_free (table.rows, TRUE);
  return status;
}

static bool
check_addresses (char **texts)
{
  for (char **text = texts; *text != NULL; text++)
    {
      struct cp_address address;

      if (!cp_address_parse (&address, *text))
        {
          struct cp_error error;

          cp_error_set (&error, CP_ERROR_USAGE, *text,
                        "write the admin address as in the settings, for "
                        "example 127.0.0.1:7402",
                        "is no IP number with port");
          report_error (&error);
          return false;
        }
    }
  return true;
}

int
command_top (int argc, char **argv)
{
  gint interval_ms = INTERVAL_DEFAULT_MS;
  gboolean once = FALSE;
  const GOptionEntry entries[]
      = { { "interval-ms", 'i', 0, G_OPTION_ARG_INT, &interval_ms,
            "Time between two tables on a terminal", "MILLISECONDS" },
          { "once", '1', 0, G_OPTION_ARG_NONE, &once,
            "Print one table, also on a terminal", NULL },
          G_OPTION_ENTRY_NULL };
  const char *no_colour = getenv ("NO_COLOR");
  bool colour
      = isatty (STDOUT_FILENO) && (no_colour == NULL || *no_colour == '\0');

  if (!parse_arguments (&argc, &argv, entries) || argc < 2
      || interval_ms < INTERVAL_MIN_MS)
    return usage ();
  if (!check_addresses (argv + 1))
    return STATUS_USAGE;
  if (once || !isatty (STDOUT_FILENO))
    return print_once (argv + 1, false, colour);
  while (!ferror (stdout))
    {
      print_once (argv + 1, true, colour);
      g_usleep ((gulong)interval_ms * 1000);
    }
  return STATUS_OK;
}

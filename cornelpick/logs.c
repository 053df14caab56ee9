#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "cornelpick/cornelpick.h"
#include "cornelpick/logs.h"
#include "lib/cleanup.h"

/* Each line of a daemon starts with this member.  */
#define LINE_PREFIX "{\"t\":"

/* Limits of the summary: causes, and request IDs per cause.  */
#define CAUSES_MAX 256
#define EXAMPLES_MAX 3

/* Counts one line of a file; calls VISIT when it is a daemon's and contains
   WORD.  */
static void
parse_line (char *text, const char *word,
            void (*visit) (void *context, json_t *line), void *context,
            struct log_counts *counts)
{
  CP_AUTO_JSON json_t *line = NULL;
  char *start = strstr (text, LINE_PREFIX);

  if (start == NULL)
    {
      counts->foreign++;
      return;
    }
  if (strstr (start, word) == NULL)
    {
      counts->lines++;
      return;
    }
  line = json_loads (start, JSON_DISABLE_EOF_CHECK, NULL);
  if (line == NULL)
    {
      counts->unreadable++;
      return;
    }
  counts->lines++;
  visit (context, line);
}

/* Skips the rest of a line that is too long.  */
static void
skip_line (FILE *file)
{
  int c;

  do
    c = getc_unlocked (file);
  while (c != '\n' && c != EOF);
}

int
logs_read (const char *path, const char *word,
           void (*visit) (void *context, json_t *line), void *context,
           struct log_counts *counts, struct cp_error *error)
{
  CP_AUTO_FILE FILE *file = fopen (path, "r");
  static char text[LOG_LINE_MAX];

  if (file == NULL)
    return cp_error_set (error, CP_ERROR_IO, path, "name a readable file",
                         "%s", strerror (errno));
  while (fgets (text, sizeof text, file) != NULL)
    if (strchr (text, '\n') == NULL && strlen (text) == sizeof text - 1)
      {
        counts->unreadable++;
        skip_line (file);
      }
    else
      parse_line (text, word, visit, context, counts);
  if (ferror (file))
    return cp_error_set (error, CP_ERROR_IO, path, "copy the file and retry",
                         "it cannot be read to its end");
  return 0;
}

void
logs_report_skipped (const struct log_counts *counts)
{
  if (counts->unreadable > 0)
    fprintf (stderr,
             "cornelpick: %" G_GUINT64_FORMAT " lines are cut or too "
             "long and were left out\n",
             counts->unreadable);
  if (counts->foreign > 0)
    fprintf (stderr,
             "cornelpick: %" G_GUINT64_FORMAT " lines are of other "
             "programs\n",
             counts->foreign);
}

/* Failed requests with the same status and reason.  */
struct cause
{
  int status;
  char reason[32];
  unsigned count;
  char examples[EXAMPLES_MAX][128];
};

struct summary
{
  bool list; /* print a line for each request */
  struct cause causes[CAUSES_MAX];
  unsigned n_causes;
};

/* Finds or adds a cause.  When there are CAUSES_MAX already, new ones are
   counted with the last.  */
static struct cause *
find_cause (struct summary *summary, int status, const char *reason)
{
  struct cause *cause;

  for (unsigned i = 0; i < summary->n_causes; i++)
    if (summary->causes[i].status == status
        && strcmp (summary->causes[i].reason, reason) == 0)
      return &summary->causes[i];
  if (summary->n_causes == CAUSES_MAX)
    return &summary->causes[CAUSES_MAX - 1];
  cause = &summary->causes[summary->n_causes++];
  cause->status = status;
  g_strlcpy (cause->reason, reason, sizeof cause->reason);
  return cause;
}

/* Counts a line of a request that failed or was refused.  */
static void
count_failure (void *context, json_t *line)
{
  struct summary *summary = context;
  const char *kind = get_string_member (line, "kind");
  const char *request = get_string_member (line, "request");
  int status = (int)get_integer_member (line, "status");
  struct cause *cause;

  if ((strcmp (kind, "failed") != 0 && strcmp (kind, "refused") != 0)
      || status == 0)
    return;
  cause = find_cause (summary, status, get_string_member (line, "reason"));
  if (cause->count < EXAMPLES_MAX)
    g_strlcpy (cause->examples[cause->count], request,
               sizeof cause->examples[0]);
  cause->count++;
  if (summary->list)
    printf ("%s %d %s %s sent=%" JSON_INTEGER_FORMAT " took_ms=%.1f\n",
            request, status, get_string_member (line, "reason"),
            get_string_member (line, "vm"), get_integer_member (line, "sent"),
            (double)get_integer_member (line, "took_us") / 1000);
}

static int
compare_counts (const void *a, const void *b)
{
  const struct cause *first = a;
  const struct cause *second = b;

  return (first->count < second->count) - (first->count > second->count);
}

static void
print_causes (struct summary *summary)
{
  qsort (summary->causes, summary->n_causes, sizeof summary->causes[0],
         compare_counts);
  printf ("%7s  %6s  %-16s  %s\n", "COUNT", "STATUS", "CAUSE", "EXAMPLES");
  for (unsigned i = 0; i < summary->n_causes; i++)
    {
      const struct cause *cause = &summary->causes[i];

      printf ("%7u  %6d  %-16s ", cause->count, cause->status, cause->reason);
      for (unsigned j = 0; j < MIN (cause->count, EXAMPLES_MAX); j++)
        printf (" %s", cause->examples[j]);
      putchar ('\n');
    }
}

int
command_log (int argc, char **argv)
{
  CP_AUTO_FREE struct summary *summary = g_new0 (struct summary, 1);
  gboolean list = FALSE;
  const GOptionEntry entries[]
      = { { "failed", 'f', 0, G_OPTION_ARG_NONE, &list,
            "Print a line for each failed request", NULL },
          G_OPTION_ENTRY_NULL };
  struct log_counts counts = { 0 };
  struct cp_error error;

  if (!parse_arguments (&argc, &argv, entries) || argc < 2)
    return usage ();
  summary->list = list;
  for (int i = 1; i < argc; i++)
    if (logs_read (argv[i], "\"status\":", count_failure, summary, &counts,
                   &error)
        != 0)
      return report_error (&error);
  if (!list)
    print_causes (summary);
  logs_report_skipped (&counts);
  return summary->n_causes > 0 ? STATUS_FINDING : STATUS_OK;
}

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "regress/harness/exposition.h"

/* A family while its samples are read.  */
struct family
{
  char *name;
  char *type;
  unsigned n_series;
  double last_bucket;
  double last_bound;
  double count;
  bool has_sum;
};

struct reader
{
  GHashTable *seen; /* names of families and whole series */
  struct family family;
  unsigned series_max;
  char *fault;
};

static bool
fail (struct reader *reader, const char *line, const char *problem)
{
  if (reader->fault == NULL)
    reader->fault = g_strdup_printf ("%s: %s", problem, line);
  return false;
}

/* Returns the length of the metric name at TEXT.  */
static size_t
name_length (const char *text)
{
  size_t length = strspn (text, "abcdefghijklmnopqrstuvwxyz_");

  return length == 0 ? 0
                     : length
                           + strspn (text + length,
                                     "abcdefghijklmnopqrstuvwxyz_0123456789");
}

static bool
check_unit (struct reader *reader, const char *line)
{
  const struct family *family = &reader->family;
  bool total = g_str_has_suffix (family->name, "_total");
  bool time = strstr (family->name, "duration") != NULL
              || strstr (family->name, "age") != NULL
              || strstr (family->name, "uptime") != NULL;

  if (total != (strcmp (family->type, "counter") == 0))
    return fail (reader, line, "_total belongs to counters only");
  if (time && !g_str_has_suffix (family->name, "_seconds")
      && strstr (family->name, "messages") == NULL)
    return fail (reader, line, "a duration is not in seconds");
  if (strstr (family->name, "memory") != NULL
      && !g_str_has_suffix (family->name, "_bytes"))
    return fail (reader, line, "memory is not in bytes");
  return true;
}

/* Checks the family that ends here.  */
static bool
end_family (struct reader *reader)
{
  struct family *family = &reader->family;
  bool good = true;

  if (family->name != NULL && family->n_series == 0)
    good = fail (reader, family->name, "no samples");
  if (good && family->type != NULL && strcmp (family->type, "histogram") == 0)
    {
      if (!isinf (family->last_bound) || !family->has_sum
          || family->count != family->last_bucket)
        good = fail (reader, family->name, "histogram is not whole");
    }
  g_free (family->name);
  g_free (family->type);
  memset (family, 0, sizeof *family);
  family->last_bound = -1;
  return good;
}

static bool
read_help (struct reader *reader, const char *line)
{
  const char *name = line + strlen ("# HELP ");
  size_t length = name_length (name);

  if (!end_family (reader))
    return false;
  if (length == 0 || name[length] != ' ' || name[length + 1] == '\0')
    return fail (reader, line, "HELP without name or text");
  reader->family.name = g_strndup (name, length);
  if (!g_hash_table_add (reader->seen, g_strdup (reader->family.name)))
    return fail (reader, line, "family comes twice");
  return true;
}

static bool
read_type (struct reader *reader, const char *line)
{
  const char *name = line + strlen ("# TYPE ");
  size_t length = name_length (name);
  struct family *family = &reader->family;

  if (family->name == NULL || family->type != NULL
      || length != strlen (family->name)
      || strncmp (name, family->name, length) != 0 || name[length] != ' ')
    return fail (reader, line, "TYPE does not follow its HELP");
  family->type = g_strdup (name + length + 1);
  if (strcmp (family->type, "counter") != 0
      && strcmp (family->type, "gauge") != 0
      && strcmp (family->type, "histogram") != 0)
    return fail (reader, line, "type is unknown");
  return check_unit (reader, line);
}

/* Reads {name="value",...} at *AT; keeps the value of le in BOUND.  */
static bool
read_labels (const char **at, double *bound)
{
  if (**at != '{')
    return true;
  do
    {
      const char *name = ++*at;
      size_t length = name_length (name);
      const char *value = name + length + 2;

      if (length == 0 || strncmp (name + length, "=\"", 2) != 0)
        return false;
      if (length == 2 && strncmp (name, "le", 2) == 0)
        *bound = strncmp (value, "+Inf", 4) == 0 ? INFINITY
                                                 : strtod (value, NULL);
      for (*at = value; **at != '"'; ++*at)
        if (**at == '\0' || (**at == '\\' && strchr ("\\\"n", *++*at) == NULL))
          return false;
      ++*at;
    }
  while (**at == ',');
  return *(*at)++ == '}';
}

/* Takes a sample of a histogram, whose name has SUFFIX.  */
static bool
take_part (struct reader *reader, const char *line, const char *suffix,
           double bound, double value)
{
  struct family *family = &reader->family;

  if (strcmp (suffix, "_sum") == 0)
    return family->has_sum = true;
  if (strcmp (suffix, "_count") == 0)
    {
      family->count = value;
      return true;
    }
  if (strcmp (suffix, "_bucket") != 0 || bound <= family->last_bound
      || value < family->last_bucket)
    return fail (reader, line, "bucket is out of order");
  family->last_bound = bound;
  family->last_bucket = value;
  return true;
}

static bool
read_sample (struct reader *reader, const char *line)
{
  struct family *family = &reader->family;
  size_t length = name_length (line);
  size_t own = family->name == NULL ? 0 : strlen (family->name);
  const char *at = line + length;
  double bound = -2;
  char *end;
  double value;

  if (family->name == NULL || family->type == NULL || length < own
      || strncmp (line, family->name, own) != 0)
    return fail (reader, line, "sample outside its family");
  if (!read_labels (&at, &bound) || *at++ != ' ')
    return fail (reader, line, "labels are malformed");
  if (!g_hash_table_add (reader->seen, g_strndup (line, at - line)))
    return fail (reader, line, "series comes twice");
  value = strtod (at, &end);
  if (end == at || *end != '\0' || !isfinite (value) || value < 0)
    return fail (reader, line, "value is no number");
  if (++family->n_series > reader->series_max)
    return fail (reader, line, "too many series");
  if (strcmp (family->type, "histogram") == 0)
    {
      char *suffix = g_strndup (line + own, length - own);
      bool taken = take_part (reader, line, suffix, bound, value);

      g_free (suffix);
      return taken;
    }
  return length == own || fail (reader, line, "sample of another family");
}

static bool
read_line (struct reader *reader, const char *line)
{
  if (strncmp (line, "# HELP ", 7) == 0)
    return read_help (reader, line);
  if (strncmp (line, "# TYPE ", 7) == 0)
    return read_type (reader, line);
  return read_sample (reader, line);
}

char *
exposition_check (const char *text, unsigned series_max)
{
  struct reader reader = { .series_max = series_max };
  gchar **lines;

  if (!g_str_has_suffix (text, "\n"))
    return g_strdup ("the last line has no end");
  reader.seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  reader.family.last_bound = -1;
  lines = g_strsplit (text, "\n", -1);
  for (gchar **line = lines; line[1] != NULL; line++)
    if (!read_line (&reader, *line))
      break;
  end_family (&reader);
  g_strfreev (lines);
  g_hash_table_destroy (reader.seen);
  return reader.fault;
}

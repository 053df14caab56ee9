#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>
#include <yajl/yajl_parse.h>

#include "lib/cleanup.h"
#include "lib/line_index.h"

/* An object or array that is being parsed.  */
struct container
{
  bool is_array;
  unsigned index;     /* of the next element of an array */
  size_t path_length; /* length of the container's own path */
};

/* The path of the value that is being parsed.  */
struct path
{
  size_t length;
  char text[CP_PATH_BYTES];
};

struct reader
{
  struct cp_line_index *index;
  struct cp_faults *faults;
  unsigned line;
  unsigned depth;
  bool too_deep;
  struct container containers[CP_JSON_DEPTH_MAX];
  struct path path;
};

/* Paths are not stored; the hash itself is the key of the table.  Two paths
   with the same hash would be reported as a duplicate member.  */
static gpointer
path_hash (const char *path, size_t length)
{
  return (gpointer)(uintptr_t)XXH3_64bits (path, length);
}

/* Truncates the path to that of the innermost open container.  */
static void
truncate_path (struct reader *reader)
{
  reader->path.length = reader->containers[reader->depth - 1].path_length;
}

/* Text beyond CP_PATH_BYTES is cut off.  */
static void
append_to_path (struct reader *reader, const char *text, size_t length)
{
  struct path *path = &reader->path;

  length = MIN (length, sizeof path->text - path->length);
  memcpy (path->text + path->length, text, length);
  path->length += length;
}

static void
append_index (struct reader *reader, unsigned index)
{
  char text[16];
  int length = snprintf (text, sizeof text, "[%u]", index);

  append_to_path (reader, text, (size_t)length);
}

/* Records the current line for the value at the current path.  */
static void
record_line (struct reader *reader)
{
  g_hash_table_insert (reader->index->lines,
                       path_hash (reader->path.text, reader->path.length),
                       GUINT_TO_POINTER (reader->line));
}

static bool
in_array (const struct reader *reader)
{
  return reader->depth > 0 && reader->containers[reader->depth - 1].is_array;
}

static int
enter_container (struct reader *reader, bool is_array)
{
  if (in_array (reader))
    {
      truncate_path (reader);
      append_index (reader, reader->containers[reader->depth - 1].index++);
    }
  record_line (reader);
  if (reader->depth == CP_JSON_DEPTH_MAX)
    {
      reader->too_deep = true;
      return 0;
    }
  reader->containers[reader->depth++]
      = (struct container){ .is_array = is_array,
                            .path_length = reader->path.length };
  return 1;
}

static int
leave_container (void *context)
{
  struct reader *reader = context;

  truncate_path (reader);
  reader->depth--;
  return 1;
}

/* Scalar elements of an array are not recorded; they are found at the line of
   the array.  */
static int
on_scalar (void *context)
{
  struct reader *reader = context;

  if (!in_array (reader))
    record_line (reader);
  return 1;
}

static int
on_boolean (void *context, int value)
{
  (void)value;
  return on_scalar (context);
}

static int
on_string (void *context, const unsigned char *text, size_t length)
{
  (void)text;
  (void)length;
  return on_scalar (context);
}

static int
on_number (void *context, const char *text, size_t length)
{
  (void)text;
  (void)length;
  return on_scalar (context);
}

static int
on_object (void *context)
{
  return enter_container (context, false);
}

static int
on_array (void *context)
{
  return enter_container (context, true);
}

static int
on_key (void *context, const unsigned char *text, size_t length)
{
  struct reader *reader = context;

  truncate_path (reader);
  if (reader->path.length > 0)
    append_to_path (reader, "/", 1);
  append_to_path (reader, (const char *)text, length);
  if (g_hash_table_contains (
          reader->index->lines,
          path_hash (reader->path.text, reader->path.length)))
    {
      CP_AUTO_FREE char *path
          = g_strndup (reader->path.text, reader->path.length);

      cp_faults_add (reader->faults, reader->line, "", path, "",
                     "remove one of the two", "duplicate key \"%.*s\"",
                     (int)MIN (length, 40), (const char *)text);
    }
  return 1;
}

static const yajl_callbacks callbacks = { .yajl_null = on_scalar,
                                          .yajl_boolean = on_boolean,
                                          .yajl_number = on_number,
                                          .yajl_string = on_string,
                                          .yajl_start_map = on_object,
                                          .yajl_map_key = on_key,
                                          .yajl_end_map = leave_container,
                                          .yajl_start_array = on_array,
                                          .yajl_end_array = leave_container };

/* Adds the first line of yajl's error message.  */
static void
add_syntax_fault (struct reader *reader, yajl_handle parser)
{
  unsigned char *message = yajl_get_error (parser, 0, NULL, 0);
  char *text = (char *)message;

  text[strcspn (text, "\n")] = '\0';
  cp_faults_add (reader->faults, reader->line, "", "", "",
                 "correct the JSON at this line", "%s", text);
  yajl_free_error (parser, message);
}

/* Passes TEXT to the parser line by line and counts the lines.  */
static yajl_status
parse_by_line (struct reader *reader, yajl_handle parser, const char *text,
               size_t length)
{
  const char *end = text + length;
  yajl_status status = yajl_status_ok;

  while (text < end && status == yajl_status_ok)
    {
      const char *line_end = memchr (text, '\n', (size_t)(end - text));
      size_t size = line_end == NULL ? (size_t)(end - text)
                                     : (size_t)(line_end - text) + 1;

      reader->line++;
      status = yajl_parse (parser, (const unsigned char *)text, size);
      text += size;
    }
  if (status == yajl_status_ok)
    status = yajl_complete_parse (parser);
  return status;
}

bool
cp_line_index_init (struct cp_line_index *index, const char *text,
                    size_t length, struct cp_faults *faults)
{
  struct reader *reader = calloc (1, sizeof *reader);
  yajl_handle parser;
  yajl_status status;

  index->lines = g_hash_table_new (NULL, NULL);
  if (reader == NULL)
    return false;
  reader->index = index;
  reader->faults = faults;
  parser = yajl_alloc (&callbacks, NULL, reader);
  status = parse_by_line (reader, parser, text, length);
  index->last = reader->line;
  if (reader->too_deep)
    cp_faults_add (faults, reader->line, "", "", "", "reduce the nesting",
                   "values are nested more than %d levels deep",
                   CP_JSON_DEPTH_MAX);
  else if (status != yajl_status_ok)
    add_syntax_fault (reader, parser);
  yajl_free (parser);
  free (reader);
  return status == yajl_status_ok;
}

void
cp_line_index_finish (struct cp_line_index *index)
{
  g_hash_table_destroy (index->lines);
}

unsigned
cp_line_index_find (const struct cp_line_index *index, const char *path)
{
  char text[CP_PATH_BYTES];
  size_t length;

  g_strlcpy (text, path, sizeof text);
  for (;;)
    {
      gpointer line;

      if (g_hash_table_lookup_extended (
              index->lines, path_hash (text, strlen (text)), NULL, &line))
        return GPOINTER_TO_UINT (line);
      length = strlen (text);
      while (length > 0 && text[length - 1] != '/' && text[length - 1] != '[')
        length--;
      if (length == 0)
        return 1;
      text[length - 1] = '\0';
    }
}

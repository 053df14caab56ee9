/* Line numbers of the values in a JSON text, for error messages.

   The text is passed to yajl line by line, and each value gets the number of
   the line that yajl is parsing when it reports the value.  Values are
   identified by their path: member names are separated by "/", array elements
   are written "[0]".  */
#ifndef CP_LINE_INDEX_H
#define CP_LINE_INDEX_H

#include <glib.h>

#include "lib/faults.h"

#define CP_JSON_DEPTH_MAX 16
#define CP_PATH_BYTES 512

struct cp_line_index
{
  GHashTable *lines; /* hash of the path -> line number */
  unsigned last;     /* number of the last line parsed */
};

/* Reads TEXT and adds a fault for JSON that is malformed, not UTF-8, nested
   more than CP_JSON_DEPTH_MAX deep, or has duplicate members.  Returns whether
   the text can be parsed.  */
bool cp_line_index_init (struct cp_line_index *index, const char *text,
                         size_t length, struct cp_faults *faults);
void cp_line_index_finish (struct cp_line_index *index);

/* Returns the line of the value at PATH or, when it is not indexed, of the
   innermost value around it that is; 1 when there is none.  */
unsigned cp_line_index_find (const struct cp_line_index *index,
                             const char *path);

#endif

/* Lines of a JSON text's values, for messages.

   The text is read with yajl line by line, so that each value can be given the
   line on which it ends.  A value is named by its path: member names are
   separated by "/", list entries are written "[0]".  */
#ifndef CP_LINE_INDEX_H
#define CP_LINE_INDEX_H

#include <glib.h>

#include "lib/faults.h"

#define CP_JSON_DEPTH_MAX 16
#define CP_PATH_BYTES 512

struct cp_line_index
{
  GHashTable *lines; /* hash of the path -> line */
  unsigned last;
};

/* Reads TEXT and adds a fault for JSON that is malformed, not UTF-8, nested
   more than CP_JSON_DEPTH_MAX deep, or has a member twice.  Returns whether
   the text can be parsed.  */
bool cp_line_index_init (struct cp_line_index *index, const char *text,
                         size_t length, struct cp_faults *faults);
void cp_line_index_finish (struct cp_line_index *index);

/* Returns the line of PATH, or of the nearest value around it.  */
unsigned cp_line_index_find (const struct cp_line_index *index,
                             const char *path);

#endif

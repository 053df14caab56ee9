/* The keys of a document: names, types, ranges.  cornelpick.json(5) describes
   them.  */
#ifndef CP_SCHEMA_H
#define CP_SCHEMA_H

#include <jansson.h>

#include "lib/faults.h"
#include "lib/line_index.h"

enum cp_value_type
{
  CP_VALUE_OBJECT,           /* members: see keys */
  CP_VALUE_MAP,              /* any names; each member: see keys */
  CP_VALUE_ARRAY,            /* each entry: see keys */
  CP_VALUE_METHODS,          /* list of HTTP methods */
  CP_VALUE_NAME,             /* text of 1 to 63 bytes */
  CP_VALUE_HOST,             /* lower-case host name without port */
  CP_VALUE_PATH,             /* absolute path */
  CP_VALUE_ADDRESS,          /* IP number with port */
  CP_VALUE_ADDRESS_OR_FALSE, /* the same, or false */
  CP_VALUE_PRIORITY,         /* low, normal or high */
  CP_VALUE_INTEGER,          /* whole number */
  CP_VALUE_NUMBER,           /* number */
  CP_VALUE_FRACTION,         /* number above 0 and at most 1 */
  CP_VALUE_BOOLEAN
};

struct cp_schema_key
{
  const char *name;
  enum cp_value_type type;
  bool required;
  double minimum;
  double maximum;
  const struct cp_schema_key *keys; /* ended by a NULL name */
};

extern const struct cp_schema_key cp_fleet_keys[];
extern const struct cp_schema_key cp_service_keys[];
extern const struct cp_schema_key cp_root_keys[];

/* Where a check is.  PREFIX is the path of the section in the whole text.  */
struct cp_check_context
{
  struct cp_faults *faults;
  const struct cp_line_index *line_index;
  const char *prefix;
  const char *section;
  const char *owner;
};

/* Adds a fault at PATH within the section.  */
void cp_check_add_fault (const struct cp_check_context *context,
                         const char *path, const char *remedy,
                         const char *problem, ...)
    __attribute__ ((format (printf, 4, 5)));

/* Checks OBJECT, which is at PATH within the section, against KEYS.  */
void cp_schema_check (const struct cp_check_context *context, const char *path,
                      json_t *object, const struct cp_schema_key *keys);

#endif

/* Schema of the configuration document: the name, type and range of each key.
   cornelpick.json(5) describes the keys.  */
#ifndef CP_SCHEMA_H
#define CP_SCHEMA_H

#include <jansson.h>

#include "lib/faults.h"
#include "lib/line_index.h"

enum cp_value_type
{
  CP_VALUE_OBJECT,           /* members are described by keys */
  CP_VALUE_MAP,              /* any names; keys describes each value */
  CP_VALUE_ARRAY,            /* keys describes each element */
  CP_VALUE_METHODS,          /* array of HTTP methods */
  CP_VALUE_NAME,             /* string of 1 to 63 bytes */
  CP_VALUE_HOST,             /* lower-case host name without port */
  CP_VALUE_PATH,             /* absolute path */
  CP_VALUE_ADDRESS,          /* IP address with port */
  CP_VALUE_ADDRESS_OR_FALSE, /* IP address with port, or false */
  CP_VALUE_PRIORITY,         /* low, normal or high */
  CP_VALUE_INTEGER,
  CP_VALUE_NUMBER,
  CP_VALUE_FRACTION, /* number above 0 and at most 1 */
  CP_VALUE_BOOLEAN
};

/* One key of an object.  MINIMUM and MAXIMUM apply to numbers only.  */
struct cp_schema_key
{
  const char *name;
  enum cp_value_type type;
  bool required;
  double minimum;
  double maximum;
  const struct cp_schema_key *keys; /* nested keys; ends with a NULL name */
};

extern const struct cp_schema_key cp_fleet_keys[];
extern const struct cp_schema_key cp_service_keys[];
extern const struct cp_schema_key cp_root_keys[];

/* The section that is being checked and where its faults are added.  PREFIX is
   the path of the section in the document.  */
struct cp_check_context
{
  struct cp_faults *faults;
  const struct cp_line_index *line_index;
  const char *prefix;
  const char *section;
  const char *owner;
};

/* Adds a fault at PATH, relative to the section.  PROBLEM is a printf format
   for the arguments that follow.  */
void cp_check_add_fault (const struct cp_check_context *context,
                         const char *path, const char *remedy,
                         const char *problem, ...)
    __attribute__ ((format (printf, 4, 5)));

/* Checks OBJECT, which is at PATH relative to the section, against KEYS: no
   unknown keys, no required key missing, every value of its type and in its
   range.  */
void cp_schema_check (const struct cp_check_context *context, const char *path,
                      json_t *object, const struct cp_schema_key *keys);

#endif

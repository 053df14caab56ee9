/* Shared declarations of the cornelpick command.  */
#ifndef CORNELPICK_H
#define CORNELPICK_H

#include <glib.h>
#include <jansson.h>
#include <stdbool.h>

#include "http/http.h"
#include "lib/error.h"

enum exit_status
{
  STATUS_OK = 0,      /* success, and nothing was found */
  STATUS_FINDING = 1, /* faults or differences were found, or an error */
  STATUS_USAGE = 2
};

/* One subcommand: ARGV[0] is its name.  */
struct command
{
  const char *name;
  const char *arguments;
  int (*run) (int argc, char **argv);
};

int command_check (int argc, char **argv);
int command_diff (int argc, char **argv);
int command_explain (int argc, char **argv);
int command_log (int argc, char **argv);
int command_state (int argc, char **argv);
int command_top (int argc, char **argv);
int command_run (int argc, char **argv);
int command_record (int argc, char **argv);
int command_replay (int argc, char **argv);

/* Prints the usage of all subcommands; returns STATUS_USAGE.  */
int usage (void);

/* Parses the options of a subcommand.  Returns false, with a message on
   standard error, when they are wrong.  */
bool parse_arguments (int *argc, char ***argv, const GOptionEntry *entries);

/* Prints ERROR; returns STATUS_USAGE for an error of usage, else
   STATUS_FINDING.  */
int report_error (const struct cp_error *error);

/* Reads the file at PATH into *TEXT, which the caller frees.  Returns 0, or -1
   with ERROR set.  */
int read_file (const char *path, char **text, size_t *length,
               struct cp_error *error);

/* Reads PATH from the admin address TEXT.  Returns 0, or -1 with ERROR set. */
int admin_get (const char *text, const char *path, GString *body,
               struct cp_error *error);

/* Reads the state dump.  Returns NULL with ERROR set.  */
json_t *admin_get_state (const char *text, struct cp_error *error);

/* Reads PATH, which must give a JSON array.  Returns NULL with ERROR set.  */
json_t *admin_get_list (const char *text, const char *path,
                        struct cp_error *error);

/* Returns the string KEY of OBJECT, or "" when it has none.  */
const char *get_string_member (json_t *object, const char *key);

/* Returns the integer KEY of OBJECT, or 0 when it has none.  */
json_int_t get_integer_member (json_t *object, const char *key);

#endif

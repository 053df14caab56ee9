/* List of all faults found in a document, each with its place, a remedy and
   the owner of the section.  */
#ifndef CP_FAULTS_H
#define CP_FAULTS_H

#include <stdbool.h>
#include <stddef.h>
#include <urcu/list.h>

/* Faults beyond this number are counted but not stored.  */
#define CP_FAULTS_MAX 1000

struct cp_fault
{
  struct cds_list_head node;
  unsigned line;
  char section[64];
  char path[160];
  char problem[224];
  char remedy[160];
  char owner[64]; /* empty when unknown */
};

struct cp_faults
{
  struct cds_list_head list; /* of struct cp_fault, in the order found */
  unsigned count;            /* includes those that are not stored */
};

void cp_faults_init (struct cp_faults *faults);
void cp_faults_finish (struct cp_faults *faults);

/* Returns whether further faults are only counted, so that the caller need not
   format their messages.  */
static inline bool
cp_faults_full (const struct cp_faults *faults)
{
  return faults->count >= CP_FAULTS_MAX;
}

/* Adds a fault; SECTION and OWNER may be empty.  PROBLEM is a printf format
   for the arguments that follow.  */
void cp_faults_add (struct cp_faults *faults, unsigned line,
                    const char *section, const char *path, const char *owner,
                    const char *remedy, const char *problem, ...)
    __attribute__ ((format (printf, 7, 8)));

/* Writes "FILE:LINE: SECTION/PATH: PROBLEM; REMEDY (OWNER)", without LINE if
   it is 0, which stands for not known.  */
void cp_fault_text (const struct cp_fault *fault, const char *file, char *text,
                    size_t size);

/* Returns whether a fault was found in SECTION.  */
bool cp_faults_in_section (const struct cp_faults *faults,
                           const char *section);

#endif

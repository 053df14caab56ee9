/* Validation of a configuration document: JSON syntax, schema, and constraints
   within and across sections.  */
#ifndef CP_CHECK_H
#define CP_CHECK_H

#include "lib/faults.h"

/* Adds all faults of TEXT to FAULTS.  Returns true when FAULTS is empty.  */
bool cp_document_check (const char *text, size_t length,
                        struct cp_faults *faults);

#endif

/* Checks of a whole document.  */
#ifndef CP_CHECK_H
#define CP_CHECK_H

#include "lib/faults.h"

/* Adds all faults of TEXT to FAULTS.  Returns whether there are none.  */
bool cp_document_check (const char *text, size_t length,
                        struct cp_faults *faults);

#endif

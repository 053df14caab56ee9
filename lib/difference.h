/* What changes in force from one document to another, in sentences.  */
#ifndef CP_DIFFERENCE_H
#define CP_DIFFERENCE_H

#include <jansson.h>

/* Calls TELL with one sentence for each change from OLD to FRESH, which must
   both have passed cp_document_check.  */
void cp_difference (json_t *old, json_t *updated,
                    void (*report) (void *context, const char *message),
                    void *context);

#endif

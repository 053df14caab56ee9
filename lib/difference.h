/* Differences between two configuration documents, as text messages.  */
#ifndef CP_DIFFERENCE_H
#define CP_DIFFERENCE_H

#include <jansson.h>

/* Calls REPORT with one message for each change from OLD to UPDATED, which
   must both have passed cp_document_check.  */
void cp_difference (json_t *old, json_t *updated,
                    void (*report) (void *context, const char *message),
                    void *context);

#endif

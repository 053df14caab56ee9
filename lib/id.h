/* Identifiers of requests and attempts: 128 random bits, written as 32
   hexadecimal digits.  */
#ifndef CP_ID_H
#define CP_ID_H

#include <stdbool.h>
#include <stdint.h>

#include "lib/clock.h"

#define CP_ID_BYTES 16
#define CP_ID_TEXT_BYTES (2 * CP_ID_BYTES + 1)

struct cp_id
{
  unsigned char bytes[CP_ID_BYTES];
};

void cp_id_create (struct cp_id *id, const struct cp_random *random);
void cp_id_text (const struct cp_id *id, char text[CP_ID_TEXT_BYTES]);

/* Returns false when TEXT, which may be NULL, is not an ID.  */
bool cp_id_parse (struct cp_id *id, const char *text);

bool cp_id_equal (const struct cp_id *a, const struct cp_id *b);

#endif

#include <stdio.h>
#include <string.h>

#include "lib/id.h"

void
cp_id_create (struct cp_id *id, const struct cp_random *random)
{
  uint64_t words[2];

  words[0] = random->next (random->context);
  words[1] = random->next (random->context);
  memcpy (id->bytes, words, sizeof words);
}

void
cp_id_text (const struct cp_id *id, char text[CP_ID_TEXT_BYTES])
{
  static const char digits[] = "0123456789abcdef";

  for (unsigned i = 0; i < CP_ID_BYTES; i++)
    {
      text[2 * i] = digits[id->bytes[i] >> 4];
      text[2 * i + 1] = digits[id->bytes[i] & 15];
    }
  text[CP_ID_TEXT_BYTES - 1] = '\0';
}

bool
cp_id_parse (struct cp_id *id, const char *text)
{
  if (text == NULL || strlen (text) != CP_ID_TEXT_BYTES - 1)
    return false;
  for (unsigned i = 0; i < CP_ID_BYTES; i++)
    {
      int high = g_ascii_xdigit_value (text[2 * i]);
      int low = g_ascii_xdigit_value (text[2 * i + 1]);

      if (high < 0 || low < 0)
        return false;
      id->bytes[i] = (unsigned char)(high << 4 | low);
    }
  return true;
}

bool
cp_id_equal (const struct cp_id *a, const struct cp_id *b)
{
  return memcmp (a->bytes, b->bytes, CP_ID_BYTES) == 0;
}

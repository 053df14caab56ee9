/* libFuzzer: any text is checked, and compiled when it has no faults, without
   a crash.  */
#include <stddef.h>
#include <stdint.h>

#include "lib/check.h"
#include "lib/document.h"

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct cp_error error;
  struct cp_document *document
      = cp_document_compile ("fuzz", (const char *)data, size, &error);

  cp_document_unref (document);
  return 0;
}

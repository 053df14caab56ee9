/* Check of the head of an HTTP/1.1 response against the grammar of RFC 9112,
   sections 4 and 5.

   libhttp-parser accepts much that the grammar does not allow: any number as a
   status or version, control bytes in the reason phrase and at the start of
   values, folded lines, line ends other than CR LF.  What such bytes mean is
   not defined, and the next recipient may read them in another way, so a
   response that has them is rejected.  The lenient readings that RFC 9112
   permits are not used: those of a bare LF, and of a status line without the
   space after the status code. Not thread-safe.  */
#ifndef CP_HTTP_SYNTAX_H
#define CP_HTTP_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>

enum cp_http_syntax_state
{
  CP_HTTP_VERSION,
  CP_HTTP_MINOR_VERSION,
  CP_HTTP_STATUS_SPACE,
  CP_HTTP_STATUS,
  CP_HTTP_REASON_SPACE,
  CP_HTTP_REASON,
  CP_HTTP_FIELD_START,
  CP_HTTP_FIELD_NAME,
  CP_HTTP_FIELD_VALUE,
  CP_HTTP_LINE_END, /* CR was read, LF must follow */
  CP_HTTP_LAST_END, /* the same, at the end of the head */
  CP_HTTP_END,      /* the head has been read */
  CP_HTTP_INVALID
};

/* MINOR_VERSION and STATUS are valid once the status line has been read.  */
struct cp_http_syntax
{
  enum cp_http_syntax_state state;
  unsigned minor_version;
  unsigned status;
  unsigned n_read; /* bytes of the version, or digits of the status, read */
};

/* Returns whether BYTE may be part of a field value or a reason phrase: HTAB,
   SP, VCHAR and obs-text.  */
bool cp_http_is_text_byte (char byte);

void cp_http_syntax_init (struct cp_http_syntax *syntax);

/* Prepares SYNTAX for a trailer section, which has no status line.  */
void cp_http_syntax_init_trailer (struct cp_http_syntax *syntax);

/* Checks up to LENGTH bytes of DATA, which follow those of the last call.
   Returns how many belong to the head; afterwards the state is CP_HTTP_END,
   CP_HTTP_INVALID or, if the head goes on, another one.  */
size_t cp_http_syntax_feed (struct cp_http_syntax *syntax, const char *data,
                            size_t length);

#endif
